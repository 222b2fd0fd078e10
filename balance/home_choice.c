#include "balance/home_choice.h"

#include "common/rand.h"

/* A home of a flow, and its rank among all instances. */
struct ranked_home {
    uint64_t rank;
    struct rg_flow_home home;
};

/* The homes found so far, the one that ranks highest first. */
struct search {
    const struct rg_home_candidates *candidates;
    uint32_t flow_hash;
    struct ranked_home homes[RG_FLOW_HOMES_MAX];
    size_t count;
};

static void
insert(struct search *s, const struct ranked_home *home)
{
    size_t i = s->count;

    while (i > 0 && s->homes[i - 1].rank < home->rank) {
        if (i < RG_FLOW_HOMES_MAX) {
            s->homes[i] = s->homes[i - 1];
        }
        i--;
    }
    if (i < RG_FLOW_HOMES_MAX) {
        s->homes[i] = *home;
    }
    s->count += s->count < RG_FLOW_HOMES_MAX;
}

static void
consider(struct search *s, uint32_t id, const struct rg_addr *addr)
{
    struct ranked_home home = {
        .rank = rg_mix64((uint64_t)id << 32 | s->flow_hash),
        .home = {.id = id,
                 .addr = *addr,
                 .self = rg_addr_eq(addr, &s->candidates->self)},
    };

    insert(s, &home);
}

static void
consider_active(struct search *s)
{
    const struct rg_home_candidates *c = s->candidates;

    for (size_t i = 0; i < c->active->count; i++) {
        const struct rg_fleet_size_entry *e = &c->active->entries[i];
        bool self = rg_addr_eq(&e->addr, &c->self);
        if (e->addr.port != 0 && (self || e->active_ms > c->active_since_ms)) {
            consider(s, e->hash, &e->addr);
        }
    }
}

static void
consider_registered(struct search *s)
{
    const struct rg_home_candidates *c = s->candidates;

    for (size_t i = 0; i < rg_instances_count(c->registered); i++) {
        const struct rg_instance *e = rg_instances_at(c->registered, i);
        if (rg_instance_counts(e, c->now_ms)) {
            consider(s, e->id, &e->addr);
        }
    }
}

static bool
is_large(const struct rg_instances *registered)
{
    return rg_instances_are_complete(registered) &&
           rg_instances_count(registered) >= RG_LARGE_FLEET;
}

size_t
rg_home_choice(const struct rg_home_candidates *candidates, uint32_t flow_hash,
               struct rg_flow_home out[RG_FLOW_HOMES_MAX])
{
    struct search s = {.candidates = candidates, .flow_hash = flow_hash};

    if (is_large(candidates->registered)) {
        consider_registered(&s);
    }
    else {
        consider_active(&s);
    }
    for (size_t i = 0; i < s.count; i++) {
        out[i] = s.homes[i].home;
    }
    return s.count;
}
