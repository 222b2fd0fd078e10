/* The list of members: what is known of each, how news replaces old, and what
 * is passed on. */
#include "core/member_priv.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "config/config.h"

#define UPDATES_MAX                                                           \
    (sizeof(((struct rg_msg_ping *)0)->updates) / sizeof(struct rg_msg_update))
/* News is repeated this many times the logarithm of the group's size. */
#define NEWS_FACTOR 3
/* Dead members are remembered for this long, so that old news of them is
 * known for what it is. */
#define TOMBSTONE_MS 600000
/* A lost member counts as missing for at most this long. */
#define MISSING_MS 300000

static uint64_t
entry_digest(const struct rg_member *e)
{
    return rg_mix64(e->id ^ rg_mix64(e->incarnation * 4 + e->state));
}

bool
rg_member_is_ranked(uint8_t state)
{
    return state == RG_MEMBER_ALIVE || state == RG_MEMBER_SUSPECT;
}

/* Suspicion is left out of the digest: it is news, not a lasting state. */
static bool
in_digest(const struct rg_member *e)
{
    return e->used &&
           (e->state == RG_MEMBER_ALIVE || e->state == RG_MEMBER_LEAVING);
}

void
rg_member_update_digest(struct rg_members *m)
{
    m->digest = 0;
    m->alive = 0;
    m->leaving = 0;
    for (uint16_t i = 0; i < m->slot_count; i++) {
        const struct rg_member *e = &m->slots[i];
        m->digest += in_digest(e) ? entry_digest(e) : 0;
        m->alive += e->used && rg_member_is_ranked(e->state);
        m->leaving += i != m->self && e->used && e->state == RG_MEMBER_LEAVING;
    }
}

void
rg_member_count_missing(struct rg_members *m, uint32_t now_ms)
{
    m->missing = 0;
    for (uint16_t i = 0; i < m->slot_count; i++) {
        struct rg_member *e = &m->slots[i];
        if (e->lost && now_ms - e->changed_ms > MISSING_MS) {
            e->lost = false;
        }
        m->missing += e->lost || (e->used && e->state == RG_MEMBER_SUSPECT);
    }
}

static uint8_t
news_budget(const struct rg_members *m)
{
    uint8_t log2 = 1;

    while ((1u << log2) < m->alive + 1u) {
        log2++;
    }
    return (uint8_t)(NEWS_FACTOR * log2);
}

void
rg_member_set_state(struct rg_members *m, uint16_t slot,
                    enum rg_member_state state, uint64_t incarnation,
                    uint32_t now_ms)
{
    struct rg_member *e = &m->slots[slot];
    enum rg_member_state before = e->state;

    e->state = (uint8_t)state;
    e->incarnation = incarnation;
    e->news = news_budget(m);
    e->changed_ms = now_ms;
    e->lost = rg_member_is_ranked((uint8_t)before) && state == RG_MEMBER_DEAD;
    rg_member_update_digest(m);
    rg_member_count_missing(m, now_ms);
    if (before != state) {
        static const char *const words[] = {"alive", "suspect", "leaving",
                                            "dead"};
        rg_log(&m->log, RG_LOG_INFO, "MEMBER", "%s: %s -> %s", e->name.s,
               words[before], words[state]);
        m->opts.on_change(m->opts.ctx, slot, before);
    }
}

static uint16_t
free_slot(struct rg_members *m, uint32_t now_ms)
{
    for (uint16_t i = 0; i < m->slot_count; i++) {
        const struct rg_member *e = &m->slots[i];
        if (e->state == RG_MEMBER_DEAD &&
            now_ms - e->changed_ms > TOMBSTONE_MS) {
            return i;
        }
    }
    return m->slot_count < RG_MEMBER_MAX ? m->slot_count++ : RG_MEMBER_NONE;
}

static void
add_member(struct rg_members *m, const struct rg_msg_update *u,
           uint32_t now_ms)
{
    uint16_t slot = free_slot(m, now_ms);

    if (slot == RG_MEMBER_NONE) {
        rg_log(&m->log, RG_LOG_WARNING, "MEMBERS_FULL", "%s not taken in",
               u->name.s);
        return;
    }
    struct rg_member *e = &m->slots[slot];
    memset(e, 0, sizeof(*e));
    e->used = true;
    e->name = u->name;
    e->id = rg_identity(rg_name_str(&u->name), rg_str_of(""));
    e->addr = u->addr;
    e->state = RG_MEMBER_DEAD;
    e->synced_ms = now_ms - SYNC_MS;
    rg_member_set_state(m, slot, u->state, u->incarnation, now_ms);
}

/* The latest life of a member; NONE if it is not known. */
uint16_t
rg_member_find_latest(const struct rg_members *m, uint64_t id)
{
    uint16_t best = RG_MEMBER_NONE;

    for (uint16_t i = 0; i < m->slot_count; i++) {
        const struct rg_member *e = &m->slots[i];
        if (e->used && e->id == id &&
            (best == RG_MEMBER_NONE ||
             e->incarnation > m->slots[best].incarnation))
        {
            best = i;
        }
    }
    return best;
}

/* Somebody says that this instance is suspect, dead or of an older life. */
static void
refute(struct rg_members *m, const struct rg_msg_update *u, uint32_t now_ms)
{
    struct rg_member *self = &m->slots[m->self];

    if (u->incarnation < self->incarnation || u->state == self->state) {
        return;
    }
    if (u->incarnation >> RG_INCARNATION_START_SHIFT > self->incarnation >>
        RG_INCARNATION_START_SHIFT)
    {
        rg_log(&m->log, RG_LOG_ERR, "NAME_TAKEN",
               "another instance runs under the name %s", self->name.s);
        return;
    }
    rg_member_set_state(m, m->self, self->state, u->incarnation + 1, now_ms);
}

void
rg_member_apply_update(struct rg_members *m, const struct rg_msg_update *u,
                       uint32_t now_ms)
{
    uint64_t id = rg_identity(rg_name_str(&u->name), rg_str_of(""));
    uint16_t slot = rg_member_find_latest(m, id);

    if (u->state > RG_MEMBER_DEAD || u->name.len == 0) {
        return;
    }
    if (slot == m->self) {
        refute(m, u, now_ms);
        return;
    }
    if (slot == RG_MEMBER_NONE) {
        if (u->state != RG_MEMBER_DEAD) {
            add_member(m, u, now_ms);
        }
        return;
    }
    struct rg_member *e = &m->slots[slot];
    if (u->incarnation >> RG_INCARNATION_START_SHIFT > e->incarnation >>
        RG_INCARNATION_START_SHIFT)
    {
        if (e->state != RG_MEMBER_DEAD) {
            rg_member_set_state(m, slot, RG_MEMBER_DEAD, e->incarnation,
                                now_ms);
        }
        e->lost = false;
        rg_member_count_missing(m, now_ms);
        if (u->state != RG_MEMBER_DEAD) {
            add_member(m, u, now_ms);
        }
        return;
    }
    if (u->incarnation > e->incarnation ||
        (u->incarnation == e->incarnation && u->state > e->state))
    {
        e->addr = u->addr;
        rg_member_set_state(m, slot, u->state, u->incarnation, now_ms);
    }
}

struct rg_msg_update
rg_member_entry(const struct rg_member *e)
{
    return (struct rg_msg_update){
        .name = e->name,
        .addr = e->addr,
        .state = e->state,
        .incarnation = e->incarnation,
    };
}

/* Picks the news told the fewest times so far. */
uint16_t
rg_member_pick_updates(struct rg_members *m, struct rg_msg_update *out,
                       size_t max)
{
    uint16_t count = 0;
    uint16_t picked[UPDATES_MAX];

    while (count < max) {
        uint16_t best = RG_MEMBER_NONE;
        for (uint16_t i = 0; i < m->slot_count; i++) {
            bool taken = false;
            for (uint16_t k = 0; k < count; k++) {
                taken |= picked[k] == i;
            }
            if (!taken && m->slots[i].news > 0 &&
                (best == RG_MEMBER_NONE ||
                 m->slots[i].news > m->slots[best].news))
            {
                best = i;
            }
        }
        if (best == RG_MEMBER_NONE) {
            break;
        }
        m->slots[best].news--;
        picked[count] = best;
        out[count++] = rg_member_entry(&m->slots[best]);
    }
    return count;
}
