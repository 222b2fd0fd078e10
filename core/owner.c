/* The owner's part of steering: forwards packets by the flow record, opens or
 * refuses flows, and looks up missing records on other instances. */
#include "core/steer.h"

#include <string.h>

#include <xxhash.h>

/* Packets after the opening that are forwarded through the replica. With more
 * than one, a lost packet does not leave the replica without the record. Must
 * be the same as in records.c. */
#define REPLICATIONS 2
/* A packet goes through the replica at least this many times per idle timeout,
 * so that the replica's record does not expire. */
#define REPLICATIONS_PER_EXPIRY 4
/* The default table is followed until a bucket's owner has been the same for
 * this long. */
#define DEVIATION_SETTLE_MS 5000
/* A new record stays tentative for this long: a packet that went through the
 * replica may still come back with another choice. */
#define TENTATIVE_MS 2000
/* Retransmissions of an opening keep going to a draining upstream for this
 * long. */
#define DRAIN_GRACE_MS 3000
/* While members are missing, a packet of an unknown flow is held back until
 * it has arrived this many times over at least this time. */
#define HELD_ARRIVALS_MIN 7
#define HELD_MS_MIN 8000

static void on_missing_record(struct rg_transit *t);

/* --- flows with a record, and new flows ---------------------------------- */

static enum rg_flow_state
next_state(const struct rg_transit *t, const struct rg_flow *f)
{
    if (rg_steer_is_closing(t) || f->state == RG_FLOW_CLOSING) {
        return RG_FLOW_CLOSING;
    }
    if (t->opening) {
        return f->state;
    }
    /* The first datagram of a UDP flow counts as its opening. Its record has
     * been neither used nor replicated since its insertion. */
    return rg_steer_is_udp(t) && f->seen_ms == f->replicated_ms &&
                   f->replications_left == REPLICATIONS &&
                   f->state == RG_FLOW_OPENING
               ? RG_FLOW_OPENING
               : RG_FLOW_ESTABLISHED;
}

/* A TCP caller that sends more than its SYN has received an answer of the
 * upstream. */
static void
note_if_answered(struct rg_transit *t, const struct rg_flow *f,
                 enum rg_flow_state state)
{
    if (!rg_steer_is_udp(t) && f->state == RG_FLOW_OPENING &&
        state == RG_FLOW_ESTABLISHED)
    {
        rg_upstreams_note_answered(t->core->upstreams, f->upstream);
    }
}

static bool
replica_refresh_due(const struct rg_core *core, const struct rg_flow *f)
{
    uint32_t idle = f->key.proto == RG_PROTO_UDP
                        ? core->settings->flows.udp_ms
                        : core->settings->flows.established_ms;

    return core->now_ms - f->replicated_ms > idle / REPLICATIONS_PER_EXPIRY;
}

/* True if this packet must be forwarded through the replica. A new replica
 * starts the replications again. */
static bool
must_replicate(const struct rg_transit *t, struct rg_flow *f, uint16_t replica)
{
    if (replica == RG_RANK_NONE) {
        return false;
    }
    if (f->peer != replica) {
        f->peer = replica;
        f->replications_left = REPLICATIONS;
    }
    if (t->opening || rg_steer_is_closing(t) || f->replications_left > 0) {
        return true;
    }
    return replica_refresh_due(t->core, f);
}

/* Forwards a packet as owner of its flow and sets the record's state. */
static void
forward_in_state(struct rg_transit *t, struct rg_flow *f,
                 enum rg_flow_state state)
{
    struct rg_core *core = t->core;
    uint16_t replica = rg_steer_replica(t);

    if (!rg_upstreams_may_send(core->upstreams, f->upstream)) {
        core->counters.dropped_reused_address++;
        rg_steer_remove_record(core, f);
        return;
    }
    if (!f->owner) {
        rg_steer_set_owner(core, f, true);
    }
    if (f->tentative && core->now_ms - f->replicated_ms >= TENTATIVE_MS) {
        f->tentative = 0;
    }
    note_if_answered(t, f, state);
    rg_steer_touch_record(core, f, state);
    rg_steer_trace(t, RG_HOP_OWNER,
                   rg_upstreams_at(core->upstreams, f->upstream)->id,
                   RG_CHOICE_NONE);
    if (!must_replicate(t, f, replica)) {
        rg_steer_send_to_upstream(t, f->upstream);
        return;
    }
    if (!t->opening) {
        f->replications_left -= f->replications_left > 0;
    }
    if (!t->opening && !f->tentative) {
        f->replicated_ms = core->now_ms;
    }
    rg_steer_send_record(t, replica, RG_STEER_TO_REPLICA, f);
}

void
rg_steer_forward_as_owner(struct rg_transit *t, struct rg_flow *f)
{
    forward_in_state(t, f, next_state(t, f));
}

static bool
may_deviate(const struct rg_transit *t)
{
    const struct rg_core *core = t->core;

    if (!rg_steer_uses_owners(core)) {
        return false;
    }
    /* While members change or are missing, two instances may both act as
     * owner. Only the default table lets them choose the same upstream. */
    uint32_t since = core->now_ms - rg_rank_changed_ms(core->rank, t->bucket);
    return since >= DEVIATION_SETTLE_MS &&
           rg_members_missing_count(core->members) == 0 &&
           core->recent_deviated * 100 <=
               core->recent_opened * t->service->deviation_percent;
}

/* True once every opening that an earlier owner forwarded has expired and no
 * leaving instance can still hold records. An opening without a record is then
 * known to be a new flow. An instance that has not joined does not know the
 * earlier owners. */
static bool
ownership_is_settled(const struct rg_transit *t)
{
    const struct rg_core *core = t->core;
    uint32_t limit = core->settings->flows.opening_ms;
    uint32_t changed = rg_rank_changed_ms(core->rank, t->bucket);

    return rg_members_joined(core->members) &&
           core->now_ms - changed >= limit &&
           core->now_ms - rg_members_joined_ms(core->members) >= limit &&
           rg_members_leaving_count(core->members) == 0;
}

struct rg_choose_opts
rg_steer_choose_opts(const struct rg_transit *t)
{
    return (struct rg_choose_opts){
        .hash = t->hash,
        .members = rg_steer_uses_owners(t->core)
                       ? rg_members_alive_count(t->core->members)
                       : 1,
        .may_deviate = may_deviate(t),
        .now_ms = t->core->now_ms,
    };
}

static void
count_choice(struct rg_core *core, enum rg_choice_rule rule)
{
    core->recent_opened++;
    core->recent_deviated += rule != RG_CHOICE_TABLE;
    core->counters.flows_opened++;
    core->counters.flows_by_table += rule == RG_CHOICE_TABLE;
    core->counters.flows_by_balance += rule == RG_CHOICE_BALANCE;
    core->counters.flows_by_fallback += rule == RG_CHOICE_FALLBACK;
}

static void
open_flow(struct rg_transit *t)
{
    struct rg_core *core = t->core;
    struct rg_choose_opts opts = rg_steer_choose_opts(t);
    struct rg_choice choice =
        rg_upstreams_choose(core->upstreams, t->service_index, &opts);

    if (choice.rule == RG_CHOICE_NONE) {
        /* Until ownership is settled, an earlier owner may have forwarded a
         * previous transmission of the opening. Such a flow must not be
         * refused afterwards, so the packet is dropped. */
        if (ownership_is_settled(t)) {
            rg_steer_refuse(t);
        }
        return;
    }
    struct rg_flow *f =
        rg_steer_insert_record(t, RG_FLOW_OPENING, choice.upstream, true);
    if (!f) {
        return;
    }
    f->is_default = choice.rule == RG_CHOICE_TABLE;
    f->tentative = 1;
    count_choice(core, choice.rule);
    rg_steer_trace(t, RG_HOP_OWNER,
                   rg_upstreams_at(core->upstreams, choice.upstream)->id,
                   choice.rule);
    rg_steer_forward_as_owner(t, f);
}

/* Refuses the caller, unless the replica has a record of the flow. */
void
rg_steer_refuse(struct rg_transit *t)
{
    uint16_t replica = rg_steer_replica(t);

    rg_steer_drop_held(t);
    if (!rg_steer_find_record(t) &&
        !rg_steer_insert_record(t, RG_FLOW_REFUSED, RG_FLOW_NO_UPSTREAM, true))
    {
        return;
    }
    if (replica != RG_RANK_NONE) {
        rg_steer_send_to_peer(t, replica, RG_STEER_REFUSE, RG_FLOW_NO_UPSTREAM,
                              0);
        return;
    }
    rg_steer_send_refusal(t);
}

/* Handles another packet of a flow that was refused. */
static void
on_refused_flow(struct rg_transit *t, struct rg_flow *f)
{
    if (!rg_steer_is_udp(t) && !t->opening) {
        t->core->counters.dropped_no_flow++;
        return;
    }
    if (t->opening && f->isn != rg_steer_isn(t)) {
        rg_steer_remove_record(t->core, f);
        on_missing_record(t);
        return;
    }
    rg_steer_refuse(t);
}

/* True if an unanswered opening should be moved to another upstream. */
bool
rg_steer_should_move(const struct rg_transit *t, const struct rg_flow *f)
{
    const struct rg_core *core = t->core;
    const struct rg_upstream *up =
        rg_upstreams_at(core->upstreams, f->upstream);

    if (up->state == RG_DOC_UPSTREAM_STATE_DOWN || up->ejected_until_ms) {
        return true;
    }
    return up->state == RG_DOC_UPSTREAM_STATE_DRAINING &&
           core->now_ms - f->replicated_ms >= DRAIN_GRACE_MS;
}

/* Handles a SYN whose flow has a record: a retransmission, or a new flow with
 * the same addresses and ports. Returns the record by which to forward it, or
 * NULL if the record was removed, so that an upstream is chosen anew. */
static struct rg_flow *
on_opening_with_record(struct rg_transit *t, struct rg_flow *f)
{
    struct rg_core *core = t->core;
    struct rg_choose_opts opts = rg_steer_choose_opts(t);

    if (f->isn == rg_steer_isn(t)) {
        if (f->state != RG_FLOW_OPENING) {
            return f;
        }
        rg_upstreams_note_unanswered(core->upstreams, f->upstream,
                                     core->now_ms);
        if (!rg_steer_should_move(t, f) ||
            rg_upstreams_choose(core->upstreams, t->service_index, &opts)
                    .rule == RG_CHOICE_NONE)
        {
            return f; /* forwarded before, so it must not be refused now */
        }
        core->counters.flows_moved++;
        rg_steer_remove_record(core, f);
        return NULL;
    }
    if (f->state == RG_FLOW_CLOSING ||
        !rg_upstreams_accepts(core->upstreams, f->upstream, &opts))
    {
        rg_steer_remove_record(core, f);
        return NULL;
    }
    f->isn = rg_steer_isn(t);
    f->replications_left = REPLICATIONS;
    rg_steer_touch_record(core, f, RG_FLOW_OPENING);
    return f;
}

/* Handles a packet as owner of its flow. */
void
rg_steer_handle_as_owner(struct rg_transit *t)
{
    struct rg_flow *f = rg_steer_find_record(t);

    if (f && f->state == RG_FLOW_REFUSED) {
        on_refused_flow(t, f);
        return;
    }
    if (f && f->state == RG_FLOW_HELD) {
        on_missing_record(t);
        return;
    }
    if (f && t->opening) {
        f = on_opening_with_record(t, f);
    }
    if (f) {
        rg_steer_forward_as_owner(t, f);
    }
    else {
        on_missing_record(t);
    }
}

/* --- lookups ------------------------------------------------------------- */

/* Identifies a segment or datagram, to recognise its retransmissions. */
static uint16_t
segment_id(const struct rg_transit *t)
{
    if (rg_steer_is_udp(t)) {
        return (uint16_t)XXH3_64bits(t->p.payload, t->p.payload_len);
    }
    return (uint16_t)t->p.tcp_seq;
}

/* Decides whether to drop a packet of an unknown flow because members are
 * missing. They may hold the record and serve the flow on the other side of a
 * network partition, and the table's default upstream would reset a flow that
 * it does not know. The caller retransmits, and the fabric may deliver a
 * retransmission to the other side. If the same packet keeps arriving here,
 * the other side does not receive it, and it is no longer held back. */
static bool
hold_back(struct rg_transit *t)
{
    struct rg_core *core = t->core;
    struct rg_flow *f = rg_steer_find_record(t);
    uint16_t segment = segment_id(t);

    if (t->opening || (rg_steer_is_udp(t) && t->service->repeatable) ||
        rg_members_missing_count(core->members) == 0)
    {
        return false;
    }
    if (!f) {
        f = rg_steer_insert_record(t, RG_FLOW_HELD, RG_FLOW_NO_UPSTREAM, true);
    }
    if (!f) {
        return true;
    }
    if (f->isn != segment || f->peer == RG_FLOW_NO_PEER) {
        f->isn = segment;
        f->peer = 0;
        f->replicated_ms = core->now_ms;
    }
    f->peer++;
    rg_steer_touch_record(core, f, RG_FLOW_HELD);
    return f->peer < HELD_ARRIVALS_MIN ||
           core->now_ms - f->replicated_ms < HELD_MS_MIN;
}

/* Handles a packet of a flow for which no instance that a lookup can reach
 * has a record. */
static void
on_lookup_exhausted(struct rg_transit *t)
{
    struct rg_core *core = t->core;

    /* Until this instance has joined, it does not know whom to ask, though
     * members may send it packets as the owner already. The caller
     * retransmits. */
    if (!rg_members_joined(core->members) || hold_back(t)) {
        core->counters.packets_held++;
        return;
    }
    rg_steer_drop_held(t);
    if (rg_steer_is_udp(t) || t->opening) {
        open_flow(t);
        return;
    }
    uint32_t slot =
        rg_upstreams_default(core->upstreams, t->service_index, t->hash);
    if (slot == RG_UPSTREAM_NONE || (t->p.tcp_flags & RG_TCP_RST)) {
        core->counters.dropped_no_flow++;
        return;
    }
    core->counters.flows_orphaned++;
    struct rg_flow *f = rg_steer_insert_record(t, RG_FLOW_OPENING, slot, true);
    if (f) {
        f->is_default = 1;
        /* It stays in the opening state until a second packet arrives. That
         * state has a quota, so that stray packets cannot fill the table. */
        forward_in_state(t, f, RG_FLOW_OPENING);
    }
}

void
rg_steer_look_up(struct rg_transit *t)
{
    uint16_t to = rg_steer_uses_replicas(t->core) ? rg_steer_lookup_target(t)
                                                  : RG_RANK_NONE;

    if (to == RG_RANK_NONE) {
        on_lookup_exhausted(t);
        return;
    }
    t->core->counters.lookups++;
    t->in.asked |= rg_steer_asked_bit(to);
    rg_steer_send_to_peer(t, to, RG_STEER_LOOKUP, RG_FLOW_NO_UPSTREAM, 0);
}

static void
on_missing_record(struct rg_transit *t)
{
    if (t->opening && ownership_is_settled(t)) {
        open_flow(t);
        return;
    }
    rg_steer_look_up(t);
}
