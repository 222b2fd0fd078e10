/* The owner of a flow: serves it by its record, opens, reopens or refuses it,
 * and looks a missing record up at other instances. */
#include "core/steer.h"

#include <string.h>

#include <xxhash.h>

/* Packets past the opening that go through the replica, so that the loss of
 * one does not leave it without the record. */
#define KEEPS 2
/* The replica sees a packet at least this many times per idle expiry. */
#define REFRESH_DIV 4
/* No deviation is made while the owner of a bucket has been one for less. */
#define OWNER_SETTLED_MS 5000
/* A record made here is young for this long: a packet that went through the
 * replica may still come back with another choice. */
#define FIRM_MS 2000
/* A repeated opening stays with a draining upstream for this long. */
#define DRAIN_GRACE_MS 3000
/* A segment of no known flow is held back, while members are missing, until
 * it has come this often over this time. */
#define HOLD_TRIES 7
#define HOLD_MS 8000

static void miss(struct rg_transit *t);

/* --- the owner's part ---------------------------------------------------- */

static enum rg_flow_state
state_after(const struct rg_transit *t, const struct rg_flow *f)
{
    if (rg_steer_is_closing(t) || f->state == RG_FLOW_CLOSING) {
        return RG_FLOW_CLOSING;
    }
    if (t->opening) {
        return f->state;
    }
    /* The first datagram of a UDP flow is its opening. */
    return rg_steer_is_udp(t) && f->seen_ms == f->kept_ms &&
                   f->keeps == KEEPS && f->state == RG_FLOW_OPENING
               ? RG_FLOW_OPENING
               : RG_FLOW_ESTABLISHED;
}

static void
note_evidence(struct rg_transit *t, const struct rg_flow *f,
              enum rg_flow_state state)
{
    if (!rg_steer_is_udp(t) && f->state == RG_FLOW_OPENING &&
        state == RG_FLOW_ESTABLISHED)
    {
        rg_upstreams_note_answered(t->core->upstreams, f->upstream);
    }
}

static bool
refresh_due(const struct rg_core *core, const struct rg_flow *f)
{
    uint32_t idle = f->key.proto == RG_PROTO_UDP
                        ? core->settings->flows.udp_ms
                        : core->settings->flows.established_ms;

    return core->now_ms - f->kept_ms > idle / REFRESH_DIV;
}

/* Decides whether this packet has to pass through the replica. */
static bool
must_keep(const struct rg_transit *t, struct rg_flow *f, uint16_t replica)
{
    if (replica == RG_RANK_NONE) {
        return false;
    }
    if (f->peer != replica) {
        f->peer = replica;
        f->keeps = KEEPS;
    }
    if (t->opening || rg_steer_is_closing(t) || f->keeps > 0) {
        return true;
    }
    return refresh_due(t->core, f);
}

/* Forwards a packet of a flow whose record this instance leads, leaving the
 * record in `state`. */
static void
serve_as(struct rg_transit *t, struct rg_flow *f, enum rg_flow_state state)
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
    if (f->young && core->now_ms - f->kept_ms >= FIRM_MS) {
        f->young = 0;
    }
    note_evidence(t, f, state);
    rg_steer_touch_record(core, f, state);
    rg_steer_trace(t, RG_HOP_OWNER,
                   rg_upstreams_at(core->upstreams, f->upstream)->id,
                   RG_CHOICE_NONE);
    if (!must_keep(t, f, replica)) {
        rg_steer_send_to_upstream(t, f->upstream);
        return;
    }
    if (!t->opening) {
        f->keeps -= f->keeps > 0;
    }
    if (!t->opening && !f->young) {
        f->kept_ms = core->now_ms;
    }
    rg_steer_send_record(t, replica, RG_STEER_TO_REPLICA, f);
}

void
rg_steer_forward_as_owner(struct rg_transit *t, struct rg_flow *f)
{
    serve_as(t, f, state_after(t, f));
}

static bool
may_deviate(const struct rg_transit *t)
{
    const struct rg_core *core = t->core;

    if (!rg_steer_uses_owners(core)) {
        return false;
    }
    /* While members change or are missing, two instances may both act as
     * owner; the table is what they agree on. */
    uint32_t since = core->now_ms - rg_rank_changed_ms(core->rank, t->bucket);
    return since >= OWNER_SETTLED_MS &&
           rg_members_missing_count(core->members) == 0 &&
           core->deviated * 100 <=
               core->opened * t->service->deviation_percent;
}

/* True once no opening can be older than this instance's being the owner, and
 * no instance that leaves may still hold a record of it. */
static bool
is_settled(const struct rg_transit *t)
{
    const struct rg_core *core = t->core;
    uint32_t limit = core->settings->flows.opening_ms;
    uint32_t changed = rg_rank_changed_ms(core->rank, t->bucket);

    return core->now_ms - changed >= limit &&
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
    core->opened++;
    core->deviated += rule != RG_CHOICE_TABLE;
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
        /* In doubt whether another copy was passed on, it stays silent. */
        if (is_settled(t)) {
            rg_steer_refuse(t);
        }
        return;
    }
    struct rg_flow *f =
        rg_steer_insert_record(t, RG_FLOW_OPENING, choice.upstream, true);
    if (!f) {
        return;
    }
    f->table = choice.rule == RG_CHOICE_TABLE;
    f->young = 1;
    count_choice(core, choice.rule);
    rg_steer_trace(t, RG_HOP_OWNER,
                   rg_upstreams_at(core->upstreams, choice.upstream)->id,
                   choice.rule);
    rg_steer_forward_as_owner(t, f);
}

/* Refuses the caller, unless the replica knows better. */
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

/* A refused flow sends again. */
static void
refused_again(struct rg_transit *t, struct rg_flow *f)
{
    if (!rg_steer_is_udp(t) && !t->opening) {
        t->core->counters.dropped_no_flow++;
        return;
    }
    if (t->opening && f->isn != rg_steer_isn(t)) {
        rg_steer_remove_record(t->core, f);
        miss(t);
        return;
    }
    rg_steer_refuse(t);
}

/* True if an unanswered opening should try another upstream. */
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
           core->now_ms - f->kept_ms >= DRAIN_GRACE_MS;
}

/* An opening segment meets a record. Returns the record if the segment is to
 * follow it, NULL if it is a new flow and the record is gone. */
static struct rg_flow *
reopen(struct rg_transit *t, struct rg_flow *f)
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
            return f; /* it was passed on, so it cannot be refused now */
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
    f->keeps = KEEPS;
    rg_steer_touch_record(core, f, RG_FLOW_OPENING);
    return f;
}

/* Acts as owner of the packet's flow. */
void
rg_steer_handle_as_owner(struct rg_transit *t)
{
    struct rg_flow *f = rg_steer_find_record(t);

    if (f && f->state == RG_FLOW_REFUSED) {
        refused_again(t, f);
        return;
    }
    if (f && f->state == RG_FLOW_HELD) {
        miss(t);
        return;
    }
    if (f && t->opening) {
        f = reopen(t, f);
    }
    if (f) {
        rg_steer_forward_as_owner(t, f);
    }
    else {
        miss(t);
    }
}

/* --- lookups ------------------------------------------------------------- */

/* Tells a repeated segment or datagram from the next one. */
static uint16_t
segment_mark(const struct rg_transit *t)
{
    if (rg_steer_is_udp(t)) {
        return (uint16_t)XXH3_64bits(t->p.payload, t->p.payload_len);
    }
    return (uint16_t)t->p.tcp_seq;
}

/* Nobody here has a record, but members are missing that may hold it and
 * serve the flow on the other side of a split: had the table's upstream this
 * segment, it would reset a flow that is not its own. The caller repeats it,
 * and the fabric may hand it to the other side. Only if the same segment comes
 * again and again has the other side not got it either. */
static bool
hold_back(struct rg_transit *t)
{
    struct rg_core *core = t->core;
    struct rg_flow *f = rg_steer_find_record(t);
    uint16_t segment = segment_mark(t);

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
        f->kept_ms = core->now_ms;
    }
    f->peer++;
    rg_steer_touch_record(core, f, RG_FLOW_HELD);
    return f->peer < HOLD_TRIES || core->now_ms - f->kept_ms < HOLD_MS;
}

/* Nobody has a record. */
static void
missed_everywhere(struct rg_transit *t)
{
    struct rg_core *core = t->core;

    if (hold_back(t)) {
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
        f->table = 1;
        /* It counts as opening until a second packet comes, so that stray
         * packets cannot fill the table. */
        serve_as(t, f, RG_FLOW_OPENING);
    }
}

void
rg_steer_look_up(struct rg_transit *t)
{
    uint16_t to = rg_steer_uses_replicas(t->core) ? rg_steer_lookup_target(t)
                                                  : RG_RANK_NONE;

    if (to == RG_RANK_NONE) {
        missed_everywhere(t);
        return;
    }
    t->core->counters.lookups++;
    t->in.asked |= rg_steer_asked_bit(to);
    rg_steer_send_to_peer(t, to, RG_STEER_LOOKUP, RG_FLOW_NO_UPSTREAM, 0);
}

static void
miss(struct rg_transit *t)
{
    if (t->opening && is_settled(t)) {
        open_flow(t);
        return;
    }
    rg_steer_look_up(t);
}
