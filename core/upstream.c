#include "core/upstream.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "common/rand.h"
#include "core/default_table.h"

/* A balance choice must win by this many flows per 100 of weight. */
#define BALANCE_MARGIN 1
/* Further candidates tried when both first ones cannot take the flow. */
#define FALLBACK_TRIES 4
/* Unanswered openings in a row that eject an upstream. */
#define SILENT_LIMIT 5
#define EJECT_MS 5000
/* While ejected, one opening in this time is let through as a trial. */
#define TRIAL_MS 1000
/* Share of a service's upstreams that may be ejected at once, percent. */
#define EJECT_MAX_PERCENT 50
#define WEIGHT_UNIT 100

struct rg_upstreams {
    struct rg_name data_centre;
    const struct rg_config *config;
    struct rg_upstream *slots;
    uint32_t slot_count;
    uint32_t free_count;
    uint32_t *by_id; /* open addressing, slot + 1 */
    uint32_t by_id_mask;
    uint32_t *by_addr; /* the same for addresses in the configuration */
    uint32_t by_addr_mask;
    struct rg_default_table *tables; /* one a service */
    size_t table_count;
    uint32_t ejected;
};

static uint64_t
addr_hash(const struct rg_addr *a)
{
    uint64_t high;
    uint64_t low;

    memcpy(&high, a->ip, sizeof(high));
    memcpy(&low, a->ip + sizeof(high), sizeof(low));
    return rg_mix64(rg_mix64(high) ^ low ^ ((uint64_t)a->port << 32));
}

static void
map_add(uint32_t *map, uint32_t mask, uint64_t hash, uint32_t slot)
{
    uint32_t i = (uint32_t)hash & mask;

    while (map[i]) {
        i = (i + 1) & mask;
    }
    map[i] = slot + 1;
}

/* Rebuilds both maps; called when slots come or go, off the packet path. */
static void
rebuild_maps(struct rg_upstreams *u)
{
    uint32_t size = 64;

    while (size < u->slot_count * 2) {
        size *= 2;
    }
    free(u->by_id);
    free(u->by_addr);
    u->by_id = rg_calloc(size, sizeof(*u->by_id));
    u->by_addr = rg_calloc(size, sizeof(*u->by_addr));
    u->by_id_mask = size - 1;
    u->by_addr_mask = size - 1;
    for (uint32_t i = 0; i < u->slot_count; i++) {
        const struct rg_upstream *up = &u->slots[i];
        if (up->id == 0) {
            continue;
        }
        map_add(u->by_id, u->by_id_mask, rg_mix64(up->id), i);
        if (up->in_config) {
            map_add(u->by_addr, u->by_addr_mask, addr_hash(&up->addr), i);
        }
    }
}

static uint32_t
find_by_addr(const struct rg_upstreams *u, const struct rg_addr *a)
{
    uint32_t i = (uint32_t)addr_hash(a) & u->by_addr_mask;

    for (; u->by_addr[i]; i = (i + 1) & u->by_addr_mask) {
        uint32_t slot = u->by_addr[i] - 1;
        if (rg_addr_eq(&u->slots[slot].addr, a)) {
            return slot;
        }
    }
    return RG_UPSTREAM_NONE;
}

static uint32_t
take_slot(struct rg_upstreams *u)
{
    if (u->free_count > 0) {
        for (uint32_t i = 0; i < u->slot_count; i++) {
            if (u->slots[i].id == 0) {
                u->free_count--;
                return i;
            }
        }
    }
    u->slots = rg_realloc(u->slots, (u->slot_count + 1) * sizeof(*u->slots));
    memset(&u->slots[u->slot_count], 0, sizeof(*u->slots));
    return u->slot_count++;
}

static void
free_slot(struct rg_upstreams *u, uint32_t slot)
{
    struct rg_upstream *up = &u->slots[slot];

    if (up->ejected_until_ms) {
        u->ejected--;
    }
    memset(up, 0, sizeof(*up));
    u->free_count++;
}

static void
take_config_upstream(struct rg_upstreams *u, const struct rg_config *c,
                     const struct rg_config_upstream *from)
{
    uint32_t slot = rg_upstreams_find(u, from->id);

    if (slot == RG_UPSTREAM_NONE) {
        slot = take_slot(u);
    }
    struct rg_upstream *up = &u->slots[slot];
    up->id = from->id;
    up->addr = from->addr;
    up->name = from->name;
    up->service = from->service;
    up->service_id = c->services[from->service].id;
    up->weight = from->weight;
    up->state = from->state;
    up->in_config = true;
    up->local = rg_name_eq(&from->data_centre, &u->data_centre);
}

static bool
is_active(const struct rg_upstream *up)
{
    return up->in_config && up->state == RG_DOC_UPSTREAM_STATE_ACTIVE;
}

/* Upstreams of the configuration ordered by service, then identity, so that
 * all instances number a service's members alike. */
static int
compare_by_service(const void *a, const void *b)
{
    const struct rg_config_upstream *x =
        *(const struct rg_config_upstream *const *)a;
    const struct rg_config_upstream *y =
        *(const struct rg_config_upstream *const *)b;

    if (x->service != y->service) {
        return x->service < y->service ? -1 : 1;
    }
    return x->id < y->id ? -1 : x->id > y->id;
}

/* Lists the active upstreams that stand in one data centre; returns how many
 * there are. `members` has room for all. */
static uint32_t
collect(const struct rg_upstreams *u, struct rg_default_table_member *members,
        const struct rg_config_upstream *const *from, size_t count,
        const struct rg_name *dc)
{
    uint32_t found = 0;

    for (size_t i = 0; i < count; i++) {
        uint32_t slot = rg_upstreams_find(u, from[i]->id);
        if (is_active(&u->slots[slot]) &&
            rg_name_eq(&from[i]->data_centre, dc)) {
            members[found++] = (struct rg_default_table_member){
                .id = from[i]->id,
                .slot = slot,
                .weight = from[i]->weight,
            };
        }
    }
    return found;
}

/* Builds one service's table: of the local data centre, or of the first of
 * the service's spill list that has an active upstream. */
static void
table_build(const struct rg_upstreams *u, struct rg_default_table *t,
            const struct rg_config_service *service,
            const struct rg_config_upstream *const *from, size_t count)
{
    struct rg_default_table_member *members =
        rg_calloc(count, sizeof(*members));
    uint32_t found = collect(u, members, from, count, &u->data_centre);

    for (size_t i = 0; found == 0 && i < service->spill_count; i++) {
        found = collect(u, members, from, count, &service->spill[i]);
    }
    rg_default_table_set(t, members, found);
}

/* Moves the old tables to where the new configuration has their services, so
 * that unchanged ones need not be filled again. */
static struct rg_default_table *
carry_tables(struct rg_upstreams *u, const struct rg_config *c)
{
    struct rg_default_table *tables =
        rg_calloc(c->service_count, sizeof(*tables));

    for (size_t i = 0; u->config && i < u->table_count; i++) {
        const struct rg_config_service *s = &u->config->services[i];
        const struct rg_config_service *now =
            rg_config_find_service(c, s->ip, s->port, s->proto);
        if (now) {
            tables[now - c->services] = u->tables[i];
        }
        else {
            rg_default_table_clear(&u->tables[i]);
        }
    }
    free(u->tables);
    return tables;
}

static void
build_tables(struct rg_upstreams *u, const struct rg_config *c)
{
    size_t count = c->upstream_count;
    RG_AUTO_FREE const struct rg_config_upstream **order = rg_calloc(
        count, sizeof(*order)); /* NOLINT(bugprone-sizeof-expression) */
    size_t at = 0;

    for (size_t i = 0; i < count; i++) {
        order[i] = &c->upstreams[i];
    }
    /* NOLINTNEXTLINE(bugprone-sizeof-expression) */
    qsort(order, count, sizeof(*order), compare_by_service);
    for (size_t s = 0; s < c->service_count; s++) {
        size_t from = at;
        while (at < count && order[at]->service == s) {
            at++;
        }
        table_build(u, &u->tables[s], &c->services[s], order + from,
                    at - from);
    }
}

static void
drop_unconfigured(struct rg_upstreams *u)
{
    for (uint32_t i = 0; i < u->slot_count; i++) {
        struct rg_upstream *up = &u->slots[i];
        if (up->id != 0 && !up->in_config && up->refs == 0) {
            free_slot(u, i);
        }
    }
}

static uint32_t
scaled_flows(const struct rg_upstream *up)
{
    return up->own_flows * WEIGHT_UNIT / up->weight;
}

/* Restoring an ejected upstream starts with a trial at a time. */
static bool
ejection_allows(const struct rg_upstream *up, uint32_t now_ms)
{
    if (up->ejected_until_ms == 0) {
        return true;
    }
    return (int32_t)(now_ms - up->ejected_until_ms) >= 0 &&
           now_ms - up->last_trial_ms >= TRIAL_MS;
}

static uint32_t
least_loaded(const struct rg_upstreams *u, const struct rg_default_table *t,
             const struct rg_choose_opts *opts)
{
    uint32_t best = RG_UPSTREAM_NONE;

    for (uint32_t i = 0; i < t->member_count; i++) {
        uint32_t slot = t->members[i].slot;
        if (rg_upstreams_accepts(u, slot, opts) &&
            (best == RG_UPSTREAM_NONE ||
             scaled_flows(&u->slots[slot]) < scaled_flows(&u->slots[best])))
        {
            best = slot;
        }
    }
    return best;
}

static struct rg_choice
fallback(const struct rg_upstreams *u, const struct rg_default_table *t,
         const struct rg_choose_opts *opts)
{
    for (uint32_t n = 1; n <= FALLBACK_TRIES; n++) {
        uint32_t slot = rg_default_table_pick(t, opts->hash, n);
        if (rg_upstreams_accepts(u, slot, opts)) {
            return (struct rg_choice){slot, RG_CHOICE_FALLBACK};
        }
    }
    uint32_t slot = least_loaded(u, t, opts);
    return (struct rg_choice){
        slot, slot == RG_UPSTREAM_NONE ? RG_CHOICE_NONE : RG_CHOICE_FALLBACK};
}

static struct rg_choice
choose_member(const struct rg_upstreams *u, uint32_t service,
              const struct rg_choose_opts *opts)
{
    const struct rg_default_table *t = &u->tables[service];

    if (t->size == 0) {
        return (struct rg_choice){RG_UPSTREAM_NONE, RG_CHOICE_NONE};
    }
    uint32_t first = rg_default_table_pick(t, opts->hash, 0);
    if (!rg_upstreams_accepts(u, first, opts)) {
        return fallback(u, t, opts);
    }
    uint32_t other = rg_default_table_pick(t, opts->hash, 1);
    if (opts->may_deviate && rg_upstreams_accepts(u, other, opts) &&
        scaled_flows(&u->slots[other]) + BALANCE_MARGIN <
            scaled_flows(&u->slots[first]))
    {
        return (struct rg_choice){other, RG_CHOICE_BALANCE};
    }
    return (struct rg_choice){first, RG_CHOICE_TABLE};
}

static bool
may_eject(const struct rg_upstreams *u, const struct rg_upstream *up)
{
    const struct rg_default_table *t;
    uint32_t ejected = 0;

    if (up->service == RG_UPSTREAM_NONE) {
        return false;
    }
    t = &u->tables[up->service];
    for (uint32_t i = 0; i < t->member_count; i++) {
        ejected += u->slots[t->members[i].slot].ejected_until_ms != 0;
    }
    return (ejected + 1) * 100 <= t->member_count * EJECT_MAX_PERCENT;
}

struct rg_upstreams *
rg_upstreams_create(struct rg_name data_centre)
{
    struct rg_upstreams *u = rg_calloc(1, sizeof(*u));

    u->data_centre = data_centre;
    rebuild_maps(u);
    return u;
}

void
rg_upstreams_destroy(struct rg_upstreams *u)
{
    if (!u) {
        return;
    }
    for (size_t i = 0; i < u->table_count; i++) {
        rg_default_table_clear(&u->tables[i]);
    }
    free(u->tables);
    free(u->slots);
    free(u->by_id);
    free(u->by_addr);
    free(u);
}

void
rg_upstreams_configure(struct rg_upstreams *u, const struct rg_config *c)
{
    for (uint32_t i = 0; i < u->slot_count; i++) {
        u->slots[i].in_config = false;
        u->slots[i].service = RG_UPSTREAM_NONE;
    }
    for (size_t i = 0; i < c->upstream_count; i++) {
        take_config_upstream(u, c, &c->upstreams[i]);
    }
    drop_unconfigured(u);
    rebuild_maps(u);
    u->tables = carry_tables(u, c);
    u->table_count = c->service_count;
    u->config = c;
    build_tables(u, c);
}

uint32_t
rg_upstreams_find(const struct rg_upstreams *u, uint64_t id)
{
    uint32_t i = (uint32_t)rg_mix64(id) & u->by_id_mask;

    for (; u->by_id[i]; i = (i + 1) & u->by_id_mask) {
        uint32_t slot = u->by_id[i] - 1;
        if (u->slots[slot].id == id) {
            return slot;
        }
    }
    return RG_UPSTREAM_NONE;
}

uint32_t
rg_upstreams_learn(struct rg_upstreams *u, uint64_t id,
                   const struct rg_addr *addr, uint64_t service_id)
{
    uint32_t slot = rg_upstreams_find(u, id);

    if (id == 0) {
        return RG_UPSTREAM_NONE;
    }
    if (slot != RG_UPSTREAM_NONE) {
        bool same = u->slots[slot].service_id == service_id;
        return same && rg_upstreams_may_send(u, slot) ? slot
                                                      : RG_UPSTREAM_NONE;
    }
    uint32_t holder = find_by_addr(u, addr);
    if (holder != RG_UPSTREAM_NONE &&
        u->slots[holder].service_id != service_id) {
        return RG_UPSTREAM_NONE;
    }
    slot = take_slot(u);
    u->slots[slot].id = id;
    u->slots[slot].addr = *addr;
    u->slots[slot].service_id = service_id;
    u->slots[slot].service = RG_UPSTREAM_NONE;
    u->slots[slot].weight = WEIGHT_UNIT;
    u->slots[slot].state = RG_DOC_UPSTREAM_STATE_DRAINING;
    rebuild_maps(u);
    return slot;
}

struct rg_upstream *
rg_upstreams_at(struct rg_upstreams *u, uint32_t slot)
{
    return &u->slots[slot];
}

uint32_t
rg_upstreams_slots(const struct rg_upstreams *u)
{
    return u->slot_count;
}

void
rg_upstreams_ref(struct rg_upstreams *u, uint32_t slot)
{
    u->slots[slot].refs++;
}

void
rg_upstreams_unref(struct rg_upstreams *u, uint32_t slot)
{
    struct rg_upstream *up = &u->slots[slot];

    up->refs--;
    if (up->refs == 0 && !up->in_config) {
        free_slot(u, slot);
        rebuild_maps(u);
    }
}

bool
rg_upstreams_may_send(const struct rg_upstreams *u, uint32_t slot)
{
    const struct rg_upstream *up = &u->slots[slot];

    if (up->in_config) {
        return true;
    }
    uint32_t holder = find_by_addr(u, &up->addr);
    return holder == RG_UPSTREAM_NONE ||
           u->slots[holder].service_id == up->service_id;
}

bool
rg_upstreams_accepts(const struct rg_upstreams *u, uint32_t slot,
                     const struct rg_choose_opts *opts)
{
    const struct rg_upstream *up = &u->slots[slot];

    if (!is_active(up) || !ejection_allows(up, opts->now_ms)) {
        return false;
    }
    uint32_t limit = u->config->services[up->service].max_flows_per_upstream;
    return (uint64_t)up->own_flows * opts->members < limit;
}

uint32_t
rg_upstreams_default(const struct rg_upstreams *u, uint32_t service,
                     uint64_t hash)
{
    const struct rg_default_table *t = &u->tables[service];

    return t->size == 0 ? RG_UPSTREAM_NONE : rg_default_table_pick(t, hash, 0);
}

struct rg_choice
rg_upstreams_choose(struct rg_upstreams *u, uint32_t service,
                    const struct rg_choose_opts *opts)
{
    struct rg_choice choice = choose_member(u, service, opts);

    if (choice.upstream != RG_UPSTREAM_NONE) {
        u->slots[choice.upstream].last_trial_ms = opts->now_ms;
    }
    return choice;
}

void
rg_upstreams_note_unanswered(struct rg_upstreams *u, uint32_t slot,
                             uint32_t now_ms)
{
    struct rg_upstream *up = &u->slots[slot];

    up->silent++;
    if (up->silent < SILENT_LIMIT) {
        return;
    }
    if (up->ejected_until_ms == 0) {
        if (!may_eject(u, up)) {
            return;
        }
        u->ejected++;
    }
    up->ejected_until_ms = (now_ms + EJECT_MS) | 1;
    up->last_trial_ms = now_ms;
}

void
rg_upstreams_note_answered(struct rg_upstreams *u, uint32_t slot)
{
    struct rg_upstream *up = &u->slots[slot];

    up->silent = 0;
    if (up->ejected_until_ms != 0) {
        up->ejected_until_ms = 0;
        u->ejected--;
    }
}

uint32_t
rg_upstreams_ejected(const struct rg_upstreams *u)
{
    return u->ejected;
}
