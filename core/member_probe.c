/* Probing of members, and joining: whom to ask next, and what silence means.
 */
#include "core/member_priv.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "config/config.h"

/* A seed, listed or dead address is asked this often. */
#define REJOIN_PROBES 8
/* Until it has joined, an instance asks all it knows of this often. */
#define JOIN_RETRY_MS 100

void
rg_member_shuffle_probe_order(struct rg_members *m)
{
    m->order_count = 0;
    for (uint16_t i = 0; i < m->slot_count; i++) {
        const struct rg_member *e = &m->slots[i];
        if (i != m->self && e->used && e->state != RG_MEMBER_DEAD) {
            m->order[m->order_count++] = i;
        }
    }
    for (uint16_t i = m->order_count; i > 1; i--) {
        uint32_t k = rg_rand_below(m->opts.rand, i);
        uint16_t swap = m->order[i - 1];
        m->order[i - 1] = m->order[k];
        m->order[k] = swap;
    }
}

static uint16_t
next_target(struct rg_members *m)
{
    if (m->order_count == 0) {
        rg_member_shuffle_probe_order(m);
    }
    while (m->order_count > 0) {
        uint16_t slot = m->order[--m->order_count];
        if (m->slots[slot].used && m->slots[slot].state != RG_MEMBER_DEAD) {
            return slot;
        }
    }
    return RG_MEMBER_NONE;
}

void
rg_member_probe_indirectly(struct rg_members *m)
{
    const struct rg_member *target = &m->slots[m->probe.slot];
    struct rg_msg msg = {.kind = RG_MSG_PING_REQUEST};
    uint32_t asked = 0;

    m->probe.indirect = true;
    msg.u.ping_request.seq = m->probe.seq;
    msg.u.ping_request.from = rg_members_own_entry(m);
    msg.u.ping_request.target = target->name;
    uint16_t from = (uint16_t)rg_rand_below(m->opts.rand, m->slot_count);
    for (uint16_t i = 0; i < m->slot_count && asked < m->opts.indirect; i++) {
        uint16_t slot = (uint16_t)((from + i) % m->slot_count);
        const struct rg_member *e = &m->slots[slot];
        if (slot != m->self && slot != m->probe.slot && e->used &&
            e->state == RG_MEMBER_ALIVE)
        {
            rg_members_send(m, &e->addr, &msg);
            asked++;
        }
    }
}

static bool
known_alive_at(const struct rg_members *m, const struct rg_addr *a)
{
    for (uint16_t i = 0; i < m->slot_count; i++) {
        const struct rg_member *e = &m->slots[i];
        if (e->used && e->state != RG_MEMBER_DEAD && rg_addr_eq(&e->addr, a)) {
            return true;
        }
    }
    return false;
}

/* Asks one address that should be a member but is not: a seed, a listed
 * instance, or a dead member that may be back after a split. */
static void
try_rejoin(struct rg_members *m)
{
    size_t total = m->opts.seed_count + m->listed_count + m->slot_count;
    uint32_t from = rg_rand_below(m->opts.rand, (uint32_t)total);

    for (size_t n = 0; n < total; n++) {
        size_t i = (from + n) % total;
        const struct rg_addr *a;
        const struct rg_member *dead = NULL;
        if (i < m->opts.seed_count) {
            a = &m->opts.seeds[i];
        }
        else if (i < m->opts.seed_count + m->listed_count) {
            a = &m->listed[i - m->opts.seed_count];
        }
        else {
            dead = &m->slots[i - m->opts.seed_count - m->listed_count];
            if (!dead->used || dead->state != RG_MEMBER_DEAD) {
                continue;
            }
            a = &dead->addr;
        }
        if (!known_alive_at(m, a)) {
            rg_member_send_ping(m, a, ++m->seq, dead);
            return;
        }
    }
}

void
rg_member_set_joined(struct rg_members *m, uint32_t now_ms)
{
    if (!m->joined) {
        m->joined = true;
        m->joined_ms = now_ms;
    }
}

static bool
is_newborn(const struct rg_members *m, const struct rg_addr *addr)
{
    for (uint16_t i = 0; i < m->slot_count; i++) {
        const struct rg_member *e = &m->slots[i];
        if (e->used && e->state == RG_MEMBER_ALIVE && e->newborn &&
            rg_addr_eq(&e->addr, addr))
        {
            return true;
        }
    }
    return false;
}

/* True if every other instance that the platform lists is starting too: then
 * none of them can tell of more. Seeds alone do not name everyone. */
static bool
all_are_newborn(const struct rg_members *m)
{
    size_t others = 0;

    for (size_t i = 0; i < m->listed_count; i++) {
        if (rg_addr_eq(&m->listed[i], &m->opts.addr)) {
            continue;
        }
        if (!is_newborn(m, &m->listed[i])) {
            return false;
        }
        others++;
    }
    return others > 0;
}

/* Asks every seed and listed instance at once. */
void
rg_member_try_join(struct rg_members *m, uint32_t now_ms)
{
    if (now_ms - m->first_tick_ms >= RG_MEMBERS_JOIN_TIMEOUT_MS ||
        all_are_newborn(m))
    {
        rg_member_set_joined(m, now_ms);
        return;
    }
    if ((int32_t)(now_ms - m->next_join_ms) < 0) {
        return;
    }
    m->next_join_ms = now_ms + JOIN_RETRY_MS;
    for (size_t i = 0; i < m->opts.seed_count + m->listed_count; i++) {
        const struct rg_addr *a = i < m->opts.seed_count
                                      ? &m->opts.seeds[i]
                                      : &m->listed[i - m->opts.seed_count];
        if (!rg_addr_eq(a, &m->opts.addr)) {
            rg_member_send_ping(m, a, ++m->seq, NULL);
        }
    }
}

void
rg_member_end_probe(struct rg_members *m, uint32_t now_ms)
{
    uint16_t slot = m->probe.slot;

    m->probe.slot = RG_MEMBER_NONE;
    if (slot == RG_MEMBER_NONE) {
        return;
    }
    struct rg_member *e = &m->slots[slot];
    if (m->probe.relayed) {
        rg_member_set_reachable(m, slot, false);
    }
    else if (e->state == RG_MEMBER_ALIVE) {
        rg_member_set_state(m, slot, RG_MEMBER_SUSPECT, e->incarnation,
                            now_ms);
    }
    else if (e->state == RG_MEMBER_LEAVING) {
        rg_member_set_state(m, slot, RG_MEMBER_DEAD, e->incarnation, now_ms);
    }
}

void
rg_member_start_probe(struct rg_members *m, uint32_t now_ms)
{
    uint16_t slot = next_target(m);

    m->probes++;
    if (m->alive <= 1 || m->probes % REJOIN_PROBES == 0) {
        try_rejoin(m);
    }
    if (slot == RG_MEMBER_NONE) {
        return;
    }
    m->probe =
        (struct rg_probe){.slot = slot, .seq = ++m->seq, .sent_ms = now_ms};
    rg_member_send_ping(m, &m->slots[slot].addr, m->probe.seq,
                        &m->slots[slot]);
}

void
rg_member_expire_suspects(struct rg_members *m, uint32_t now_ms)
{
    for (uint16_t i = 0; i < m->slot_count; i++) {
        struct rg_member *e = &m->slots[i];
        if (e->used && e->state == RG_MEMBER_SUSPECT &&
            now_ms - e->changed_ms >= m->opts.suspect_ms)
        {
            rg_member_set_state(m, i, RG_MEMBER_DEAD, e->incarnation, now_ms);
        }
    }
}

/* After a pause of this process nothing heard before it counts: probes are
 * forgotten and suspects get their time anew. */
void
rg_member_detect_pause(struct rg_members *m, uint32_t now_ms)
{
    uint32_t gap = now_ms - m->last_tick_ms;

    if (m->ticked && gap >= m->opts.suspect_ms) {
        rg_log(&m->log, RG_LOG_WARNING, "PAUSED", "no time for %u ms", gap);
        m->stale = m->alive > 1;
        m->probe.slot = RG_MEMBER_NONE;
        m->next_probe_ms = now_ms;
        for (uint16_t i = 0; i < m->slot_count; i++) {
            if (m->slots[i].state == RG_MEMBER_SUSPECT) {
                m->slots[i].changed_ms = now_ms;
            }
        }
    }
    if (!m->ticked) {
        m->first_tick_ms = now_ms;
        m->next_join_ms = now_ms;
    }
    m->ticked = true;
    m->last_tick_ms = now_ms;
}
