/* Openings of flows: whether one is forwarded, refused or dropped, and where
 * its copies go. */
#include <math.h>
#include <string.h>

#include "balance/passive_health.h"
#include "balance/pick.h"
#include "balance/priv.h"
#include "balance/token.h"

/* An opening is overdue after this many times the mean time until openings are
 * answered, within these limits. */
#define OVERDUE_FACTOR 4
#define OVERDUE_MIN_MS 25
#define OVERDUE_MAX_MS 1000
/* Used before that mean is known: the time after which callers send the first
 * retransmission. */
#define OVERDUE_DEFAULT_MS 200
/* Copies of an opening that arrive closer together than this have waited on
 * their way: callers send them 200 ms apart or more. */
#define COPY_MIN_INTERVAL_MS 100
/* A copy of an opening is at most this many bytes before the packets of its
 * flow. */
#define LATE_COPY_DISTANCE_MAX (1 << 20)
/* Reason of a refusal: the upstreams that are left are cold, and get no more
 * for now. */
#define COLD "cold-upstreams"

static uint32_t
overdue_ms(const struct rg_balancer *b)
{
    if (b->opening_ms == 0) {
        return OVERDUE_DEFAULT_MS;
    }
    return (uint32_t)fmin(fmax(b->opening_ms * OVERDUE_FACTOR, OVERDUE_MIN_MS),
                          OVERDUE_MAX_MS);
}

/* Picks the service of a split route: the same on all instances. */
static uint64_t
share_hash(const struct rg_flow_id *f)
{
    return rg_mix64((uint64_t)f->caller_ip << 32 | f->service_ip) ^
           ((uint64_t)f->caller_port << 16 | f->service_port);
}

/* An opening was retransmitted: its upstream did not answer the previous
 * one. */
static void
note_unanswered_opening(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    bool before = rg_endpoint_is_ejected(t->endpoint, b->now_ms);

    rg_bal_count(b, RG_METRIC_OPENINGS_REPEATED);
    rg_bal_update_lost_share(b, true);
    rg_endpoint_opening_retransmitted(t->endpoint, b->now_ms);
    rg_bal_admission_opened(b, t->endpoint, t->trial, true);
    t->trial = RG_TRIAL_NONE;
    if (t->probe) {
        /* The probe failed: the outlier stays excluded, and peers need not
         * probe it for a while. */
        t->probe = false;
        rg_bal_add_outcome(b, t->endpoint, RG_OUTCOME_FAILED, b->now_ms);
    }
    if (!before && rg_endpoint_is_ejected(t->endpoint, b->now_ms)) {
        rg_bal_count(b, RG_METRIC_EJECTIONS);
        rg_log_event(
            b->opts.log, RG_LOG_NOTICE, "EJECTED",
            "upstream=\"%s\" unanswered=\"%u\" alive_ms_ago=\"%llu\" "
            "until_ms=\"%llu\"",
            t->endpoint->id.s, t->endpoint->unanswered,
            (unsigned long long)(b->now_ms - t->endpoint->last_response_ms),
            (unsigned long long)(t->endpoint->ejected_until_ms - b->now_ms));
    }
    for (int i = 0; i < RG_TRACKED_TRIES_MAX; i++) {
        if (!t->tried[i]) {
            t->tried[i] = t->endpoint;
            t->endpoint->refs++;
            return;
        }
    }
}

static struct rg_pick
pick_upstream(struct rg_balancer *b, const struct rg_tracked_flow *t,
              const struct rg_route *route, uint32_t service)
{
    /* Only first copies: a retransmission goes to whoever responds. */
    const struct rg_data_centre *leaves_for =
        t ? NULL : rg_bal_leaves_for(b, service);
    struct rg_pick_opts opts = {
        .service = service,
        .data_centre = leaves_for,
        .remote_cost = rg_locality_remote_cost(&b->services[service].locality),
        .avoid = t ? t->tried : NULL,
        .avoid_count = t ? RG_TRACKED_TRIES_MAX : 0,
        .now_ms = b->now_ms,
        .choice = ++b->services[service].choices,
        .overdue_ms = overdue_ms(b),
        .lost_share = b->lost_share,
        .service_failure_rate = rg_bal_service_failure_rate(b, service),
        .overloaded = rg_bal_is_overloaded(b, service),
        .probe = {.self = rg_outcome_table_self(b->outcome_table),
                  .instances = b->fleet.local_instances,
                  .idempotent = route->repeat == RG_REPEAT_SAFE,
                  .now_ms = b->now_ms},
        .rand = &b->rand,
        .cold = rg_bal_cold_start(b, service),
    };
    struct rg_pick picked = rg_pick_upstream(b->pool, &opts);

    if (leaves_for && picked.endpoint) {
        rg_bal_count(b, RG_METRIC_OPENINGS_LEAVING);
    }
    else if (leaves_for) {
        opts.data_centre = NULL; /* it has lost its upstreams since */
        picked = rg_pick_upstream(b->pool, &opts);
    }
    if (!picked.endpoint && t) {
        /* Better one that was tried before than none. */
        opts.avoid_count = 0;
        picked = rg_pick_upstream(b->pool, &opts);
    }
    return picked;
}

/* True if a copy came sooner after the one before it than callers send them:
 * both have waited on their way, and the upstream had no time to answer. */
static bool
came_too_soon(const struct rg_balancer *b, const struct rg_tracked_flow *t)
{
    return b->now_ms - t->last_ms < COPY_MIN_INTERVAL_MS;
}

/* True if the upstream has responded to others since it got the opening, so
 * that only its answer to this one was lost. */
static bool
has_responded_since(const struct rg_balancer *b,
                    const struct rg_tracked_flow *t)
{
    const struct rg_endpoint *e = t->endpoint;

    return e->state == RG_ENDPOINT_READY && !rg_endpoint_is_outlier(e) &&
           !rg_endpoint_is_ejected(e, b->now_ms) &&
           e->last_response_ms > t->last_ms;
}

/* Upstream for a copy of an opening. Two upstreams that answer one opening
 * endanger the flow, so a second one gets a copy only if the first seems to be
 * silent, or has missed two. */
static struct rg_pick
pick_for_copy(struct rg_balancer *b, const struct rg_segment *s,
              struct rg_tracked_flow *t, const struct rg_route *route,
              uint32_t service)
{
    struct rg_pick same = {.endpoint = t->endpoint, .rule = RG_PICK_SAME};
    struct rg_pick none = {
        .rule = RG_PICK_NONE,
        .diverted = t->endpoint->data_centre->evacuation->in_force,
        .cold = !rg_bal_cold_start_allows(b, t->endpoint),
    };

    if (came_too_soon(b, t)) {
        return none.diverted || none.cold ? none : same;
    }
    bool stays = s->ack <= 1 && has_responded_since(b, t) &&
                 rg_pick_takes_flows(t->endpoint) && !none.cold;
    note_unanswered_opening(b, t);
    return stays ? same : pick_upstream(b, t, route, service);
}

/* A copy of the opening that the entry began with. The ports of an ended flow
 * may be used again, but a new flow begins with another sequence number. */
static bool
is_copy(const struct rg_tracked_flow *t, const struct rg_segment *s)
{
    return t && s->seq == t->opening_seq;
}

/* A late copy of the opening of a flow that is tracked from later data on. */
static bool
is_late_copy(const struct rg_tracked_flow *t, const struct rg_segment *s)
{
    uint32_t distance = t ? t->last_seq - s->seq : 0;

    return t && t->resumed && t->state != RG_TRACKED_CLOSED && distance > 0 &&
           distance <= LATE_COPY_DISTANCE_MAX;
}

/* An opening to an address without a route. If it is a copy, the flow may be
 * open by way of an instance that has a newer version, unless the view was
 * confirmed since the first copy came. `t` is the entry of an earlier copy,
 * NULL if there is none. */
static struct rg_decision
opening_without_route(struct rg_balancer *b, const struct rg_segment *s,
                      const struct rg_tracked_flow *t, bool may_be_open)
{
    bool is_removed = t && rg_bal_is_confirmed_since(b, t->opened_ms);

    if (!rg_bal_is_confirmed(b)) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_STALE_VIEW, "stale-view");
    }
    if (may_be_open && !is_removed) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_UNKNOWN_ROUTE,
                           "unknown-route");
    }
    return rg_bal_refuse(b, s, RG_METRIC_REFUSED_NO_ROUTE, "no-route");
}

static struct rg_decision
opening_without_upstream(struct rg_balancer *b, const struct rg_segment *s,
                         bool may_be_open, const char *reason)
{
    if (!rg_bal_is_confirmed(b)) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_STALE_VIEW, "stale-view");
    }
    if (may_be_open) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_NO_UPSTREAM, reason);
    }
    return rg_bal_refuse(b, s,
                         strcmp(reason, COLD) == 0
                             ? RG_METRIC_REFUSED_COLD
                             : RG_METRIC_REFUSED_NO_UPSTREAM,
                         reason);
}

/* The token for an opening. It must not be taken for that of an open flow. */
static uint32_t
opening_token(const struct rg_balancer *b, const struct rg_endpoint *endpoint,
              uint32_t opening_seq)
{
    uint32_t token = rg_token_of_opening(endpoint->token, opening_seq);

    if (!b->fleet.opening_tokens || token == RG_TOKEN_NONE ||
        rg_pool_by_token(b->pool, token))
    {
        return endpoint->token;
    }
    return token;
}

struct rg_decision
rg_bal_steer_opening(struct rg_balancer *b, const struct rg_segment *s)
{
    const struct rg_route *route =
        rg_routes_find(b->routes, s->flow.service_ip, s->flow.service_port);
    struct rg_tracked_flow *t = rg_tracked_flows_find(b->flows, &s->flow);
    bool copy = is_copy(t, s);
    /* An earlier copy may be answered, and the flow open. */
    bool may_be_open = copy || s->ack != 0;
    uint32_t service;

    if (!b->granted) {
        rg_bal_count(b, RG_METRIC_OPENINGS);
    }
    if ((copy && t->state != RG_TRACKED_OPENING) || is_late_copy(t, s) ||
        (!copy && rg_bal_was_seen_open(b, s)))
    {
        /* It was late on its way: the flow has opened since. */
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_LATE_OPENING,
                           "late-opening");
    }
    if (!route) {
        return opening_without_route(b, s, copy ? t : NULL, may_be_open);
    }
    if (!rg_route_pick_service(route, share_hash(&s->flow), &service)) {
        return opening_without_upstream(b, s, may_be_open, "no-service");
    }
    if (s->ack != 0 && rg_admission_queue_has(b->waiting, s)) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_WAITING, "waiting");
    }
    if (!may_be_open) {
        uint32_t slot;
        switch (rg_bal_admit(b, s, route, service, &slot)) {
        case RG_BAL_ADMITTED:
            break;
        case RG_BAL_WAITS:
            return (struct rg_decision){.kind = RG_DECISION_WAIT,
                                        .slot = slot};
        case RG_BAL_REFUSED:
            return rg_bal_refuse(b, s, RG_METRIC_REFUSED_OVERLOAD, "overload");
        }
    }
    struct rg_pick picked = copy ? pick_for_copy(b, s, t, route, service)
                                 : pick_upstream(b, NULL, route, service);
    if (picked.diverted) {
        rg_bal_count(b, RG_METRIC_OPENINGS_DIVERTED);
    }
    if (!picked.endpoint) {
        return opening_without_upstream(b, s, may_be_open,
                                        picked.cold ? COLD : "no-upstream");
    }
    uint32_t token = opening_token(b, picked.endpoint, s->seq);
    rg_bal_log_opening(b, s, t, &picked, token);
    if (copy) {
        t->repeated = true;
        rg_flows_move(b, t, picked.endpoint);
        rg_flows_set_state(t, RG_TRACKED_OPENING, b->now_ms);
    }
    else {
        t = rg_flows_start(b, t, s, picked.endpoint);
    }
    enum rg_trial trial = RG_TRIAL_NONE;
    if (picked.rule != RG_PICK_SAME) {
        trial = rg_bal_admission_sent(b, route, picked.endpoint, !may_be_open);
    }
    if (t && picked.rule != RG_PICK_SAME) {
        t->trial = (uint8_t)trial;
        t->probe = picked.rule == RG_PICK_PROBE;
    }
    if (!picked.endpoint->local) {
        rg_bal_count(b, RG_METRIC_OPENINGS_REMOTE);
    }
    rg_endpoint_opening_sent(picked.endpoint, b->now_ms);
    rg_bal_cold_start_sent(b, picked.endpoint);
    return rg_bal_forward(b, picked.endpoint, token);
}
