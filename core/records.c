/* Flow records of this instance, their counts, and who else holds them. */
#include "core/steer.h"

#include <string.h>

/* Packets past the opening that go through the replica, so that the loss of
 * one does not leave it without the record. */
#define KEEPS 2

bool
rg_steer_is_udp(const struct rg_transit *t)
{
    return t->p.key.proto == RG_PROTO_UDP;
}

bool
rg_steer_is_closing(const struct rg_transit *t)
{
    return !rg_steer_is_udp(t) && (t->p.tcp_flags & (RG_TCP_FIN | RG_TCP_RST));
}

uint16_t
rg_steer_isn(const struct rg_transit *t)
{
    return (uint16_t)t->p.tcp_seq;
}

bool
rg_steer_uses_records(const struct rg_core *core)
{
    return core->settings->policy != RG_SETTINGS_POLICY_TABLE;
}

bool
rg_steer_uses_owners(const struct rg_core *core)
{
    return core->settings->policy >= RG_SETTINGS_POLICY_OWNER;
}

bool
rg_steer_uses_replicas(const struct rg_core *core)
{
    return core->settings->policy == RG_SETTINGS_POLICY_REPLICA;
}

uint16_t
rg_steer_self_slot(const struct rg_core *core)
{
    return rg_members_self(core->members);
}

void
rg_steer_trace(struct rg_transit *t, enum rg_hop hop, uint64_t upstream,
               enum rg_choice_rule rule)
{
    struct rg_core *core = t->core;
    uint32_t one_in = core->settings->trace_one_in;

    if (one_in == 0 || t->hash % one_in != 0) {
        return;
    }
    struct rg_span *s = &core->spans[core->span_head++ % RG_SPANS_MAX];
    core->span_count += core->span_count < RG_SPANS_MAX;
    *s = (struct rg_span){
        .flow = t->hash,
        .at_ms = core->now64_ms,
        .upstream = upstream,
        .generation = core->config->generation,
        .hop = (uint8_t)hop,
        .hops = t->in.hops,
        .rule = (uint8_t)rule,
        .tcp_flags = t->p.tcp_flags,
    };
}

/* --- records and their counts ------------------------------------------- */

static bool
is_counted(const struct rg_flow *f)
{
    return f->owner && f->state <= RG_FLOW_ESTABLISHED &&
           f->upstream != RG_FLOW_NO_UPSTREAM;
}

static void
count_flow(struct rg_core *core, const struct rg_flow *f, int by)
{
    if (is_counted(f)) {
        rg_upstreams_at(core->upstreams, f->upstream)->own_flows +=
            (uint32_t)by;
    }
}

void
rg_steer_set_owner(struct rg_core *core, struct rg_flow *f, bool owner)
{
    count_flow(core, f, -1);
    f->owner = owner;
    count_flow(core, f, 1);
}

void
rg_steer_set_upstream(struct rg_core *core, struct rg_flow *f, uint32_t slot)
{
    count_flow(core, f, -1);
    if (slot != RG_FLOW_NO_UPSTREAM) {
        rg_upstreams_ref(core->upstreams, slot);
    }
    if (f->upstream != RG_FLOW_NO_UPSTREAM) {
        rg_upstreams_unref(core->upstreams, f->upstream);
    }
    f->upstream = slot;
    count_flow(core, f, 1);
}

void
rg_steer_touch_record(struct rg_core *core, struct rg_flow *f,
                      enum rg_flow_state state)
{
    count_flow(core, f, -1);
    rg_flow_touch(core->flows, f, state, core->now_ms);
    count_flow(core, f, 1);
}

void
rg_steer_on_record_drop(void *ctx, const struct rg_flow *f)
{
    struct rg_core *core = ctx;

    count_flow(core, f, -1);
    if (f->upstream != RG_FLOW_NO_UPSTREAM) {
        rg_upstreams_unref(core->upstreams, f->upstream);
    }
}

void
rg_steer_remove_record(struct rg_core *core, struct rg_flow *f)
{
    rg_steer_on_record_drop(core, f);
    rg_flow_remove(core->flows, f);
}

struct rg_flow *
rg_steer_find_record(struct rg_transit *t)
{
    return rg_flow_find(t->core->flows, &t->p.key, t->hash);
}

struct rg_flow *
rg_steer_insert_record(struct rg_transit *t, enum rg_flow_state state,
                       uint32_t slot, bool owner)
{
    struct rg_core *core = t->core;
    struct rg_flow *f =
        rg_flow_insert(core->flows, &t->p.key, t->hash, state, core->now_ms);

    if (!f) {
        core->counters.dropped_table_full++;
        return NULL;
    }
    f->isn = t->opening ? rg_steer_isn(t) : 0;
    f->keeps = KEEPS;
    f->owner = owner;
    rg_steer_set_upstream(core, f, slot);
    return f;
}

/* Forgets that the flow was held back; something is known of it now. */
void
rg_steer_drop_held(struct rg_transit *t)
{
    struct rg_flow *f = rg_steer_find_record(t);

    if (f && f->state == RG_FLOW_HELD) {
        rg_steer_remove_record(t->core, f);
    }
}

/* --- who holds what ------------------------------------------------------ */

uint16_t
rg_steer_first_alive(const struct rg_core *core, uint32_t bucket, int start,
                     uint16_t skip)
{
    const uint16_t *chain = rg_rank_chain(core->rank, bucket);

    for (int i = start; i < RG_RANK_CHAIN && chain[i] != RG_RANK_NONE; i++) {
        if (chain[i] != skip &&
            rg_members_at(core->members, chain[i])->state == RG_MEMBER_ALIVE)
        {
            return chain[i];
        }
    }
    return RG_RANK_NONE;
}

/* The instance that acts as owner of the packet's flow: this one if there is
 * no other. After a pause this instance does not trust itself to own. */
uint16_t
rg_steer_acting_owner(const struct rg_transit *t)
{
    const struct rg_core *core = t->core;
    uint16_t self = rg_steer_self_slot(core);
    uint16_t skip = rg_members_stale(core->members) ? self : RG_RANK_NONE;
    uint16_t owner = rg_steer_first_alive(core, t->bucket, 0, skip);

    return owner == RG_RANK_NONE ? self : owner;
}

uint16_t
rg_steer_replica(const struct rg_transit *t)
{
    if (!rg_steer_uses_replicas(t->core)) {
        return RG_RANK_NONE;
    }
    return rg_steer_first_alive(t->core, t->bucket, 0,
                                rg_steer_self_slot(t->core));
}

/* Bit of a member in the set of those asked. Members 64 slots apart share one:
 * of two such candidates only the first is asked. */
uint64_t
rg_steer_asked_bit(uint16_t slot)
{
    return 1ULL << (slot % 64);
}

static bool
may_ask(const struct rg_transit *t, uint16_t slot, enum rg_member_state state)
{
    const struct rg_core *core = t->core;
    const struct rg_member *e = rg_members_at(core->members, slot);

    return slot != rg_steer_self_slot(core) && e->used && e->state == state &&
           (t->in.asked & rg_steer_asked_bit(slot)) == 0;
}

/* The next instance to ask for a record: the rest of the chain, then instances
 * that are leaving, which may not have handed it over yet. */
uint16_t
rg_steer_lookup_target(const struct rg_transit *t)
{
    const struct rg_core *core = t->core;
    const uint16_t *chain = rg_rank_chain(core->rank, t->bucket);
    uint16_t slots = rg_members_slots(core->members);

    for (int i = 0; i < RG_RANK_CHAIN && chain[i] != RG_RANK_NONE; i++) {
        if (may_ask(t, chain[i], RG_MEMBER_ALIVE)) {
            return chain[i];
        }
    }
    if (rg_members_leaving_count(core->members) == 0) {
        return RG_RANK_NONE;
    }
    for (uint16_t i = 0; i < slots; i++) {
        if (may_ask(t, i, RG_MEMBER_LEAVING)) {
            return i;
        }
    }
    return RG_RANK_NONE;
}
