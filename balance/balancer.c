#include "balance/balancer.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "balance/passive_health.h"
#include "balance/pick.h"
#include "balance/priv.h"
#include "balance/token.h"
#include "common/mem.h"

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
/* Gain of the moving average of openings per second, for each tick. */
#define OPENINGS_GAIN 0.05

/* --- openings ------------------------------------------------------------ */

static uint32_t
overdue_ms(const struct rg_balancer *b)
{
    if (b->opening_ms == 0) {
        return OVERDUE_DEFAULT_MS;
    }
    return (uint32_t)fmin(fmax(b->opening_ms * OVERDUE_FACTOR, OVERDUE_MIN_MS),
                          OVERDUE_MAX_MS);
}

static uint64_t
flow_hash(const struct rg_flow_id *f)
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
    if (t->probe) {
        /* The probe failed: the outlier stays excluded, and peers need not
         * probe it for a while. */
        t->probe = false;
        rg_bal_add_outcome(b, t->endpoint, RG_OUTCOME_FAILED);
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
    struct rg_pick_opts opts = {
        .service = service,
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
    };
    struct rg_pick picked = rg_pick_upstream(b->pool, &opts);

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

    if (came_too_soon(b, t)) {
        return same;
    }
    bool stays = s->ack <= 1 && has_responded_since(b, t);
    note_unanswered_opening(b, t);
    return stays ? same : pick_upstream(b, t, route, service);
}

static struct rg_decision
forward(struct rg_balancer *b, const struct rg_endpoint *endpoint)
{
    rg_bal_count(b, RG_METRIC_FORWARDED);
    return (struct rg_decision){.kind = RG_DECISION_FORWARD,
                                .endpoint = endpoint,
                                .token = endpoint->token};
}

/* A copy of the opening that the entry began with. The ports of an ended flow
 * may be used again, but a new flow begins with another sequence number. */
static bool
is_copy(const struct rg_tracked_flow *t, const struct rg_segment *s)
{
    return t && s->seq == t->opening_seq;
}

/* True if the store confirmed the view recently, so that what the view lacks
 * does not exist. */
static bool
is_confirmed(const struct rg_balancer *b)
{
    return b->confirmed_ms != 0 &&
           b->now_ms - b->confirmed_ms <= b->opts.stale_ms;
}

/* An opening to an address without a route. If it is a copy, the flow may be
 * open by way of an instance that has a newer version, unless the route is one
 * that was removed. */
static struct rg_decision
opening_without_route(struct rg_balancer *b, const struct rg_segment *s,
                      bool may_be_open)
{
    if (!is_confirmed(b)) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_STALE_VIEW, "stale-view");
    }
    if (may_be_open && !rg_routes_was_removed(b->routes, s->flow.service_ip,
                                              s->flow.service_port))
    {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_UNKNOWN_ROUTE,
                           "unknown-route");
    }
    return rg_bal_refuse(b, s, RG_METRIC_REFUSED_NO_ROUTE, "no-route");
}

static struct rg_decision
opening_without_upstream(struct rg_balancer *b, const struct rg_segment *s,
                         bool may_be_open, const char *reason)
{
    if (!is_confirmed(b)) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_STALE_VIEW, "stale-view");
    }
    if (may_be_open) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_NO_UPSTREAM, reason);
    }
    return rg_bal_refuse(b, s, RG_METRIC_REFUSED_NO_UPSTREAM, reason);
}

static struct rg_decision
steer_opening(struct rg_balancer *b, const struct rg_segment *s)
{
    const struct rg_route *route =
        rg_routes_find(b->routes, s->flow.service_ip, s->flow.service_port);
    struct rg_tracked_flow *t = rg_tracked_flows_find(b->flows, &s->flow);
    bool copy = is_copy(t, s);
    /* An earlier copy may be answered, and the flow open. */
    bool may_be_open = copy || s->ack != 0;
    uint32_t service;

    rg_bal_count(b, RG_METRIC_OPENINGS);
    if (copy && t->state != RG_TRACKED_OPENING) {
        /* It was late on its way: the flow has opened since. */
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_LATE_OPENING,
                           "late-opening");
    }
    if (!route) {
        return opening_without_route(b, s, may_be_open);
    }
    if (!rg_route_pick_service(route, flow_hash(&s->flow), &service)) {
        return opening_without_upstream(b, s, may_be_open, "no-service");
    }
    if (!may_be_open && !rg_bal_admits(b, route, service)) {
        return rg_bal_refuse(b, s, RG_METRIC_REFUSED_OVERLOAD, "overload");
    }
    struct rg_pick picked = copy ? pick_for_copy(b, s, t, route, service)
                                 : pick_upstream(b, NULL, route, service);
    if (!picked.endpoint) {
        return opening_without_upstream(b, s, may_be_open, "no-upstream");
    }
    rg_bal_log_opening(b, s, t, &picked);
    if (copy) {
        t->repeated = true;
        rg_flows_move(b, t, picked.endpoint);
        rg_flows_set_state(t, RG_TRACKED_OPENING, b->now_ms);
    }
    else {
        t = rg_flows_start(b, t, s, picked.endpoint);
    }
    if (t && picked.rule != RG_PICK_SAME) {
        t->probe = picked.rule == RG_PICK_PROBE;
    }
    rg_endpoint_opening_sent(picked.endpoint, b->now_ms);
    return forward(b, picked.endpoint);
}

/* --- open flows ---------------------------------------------------------- */

/* Whether a packet to this route's address may be sent to the endpoint that
 * its token names. Any endpoint is allowed while flows may exist that were
 * opened before this instance started, under a version of the routes it never
 * had. */
static bool
token_is_allowed(const struct rg_balancer *b, const struct rg_route *route,
                 const struct rg_endpoint *endpoint,
                 const struct rg_tracked_flow *t)
{
    return rg_route_has_service(route, endpoint->service) ||
           (t && t->endpoint == endpoint) ||
           b->now_ms - b->started_ms < b->opts.flow_age_ms;
}

/* A packet of an open flow to an address without a route. The route was
 * removed, or a newer version that only peers have so far adds it. */
static struct rg_decision
handle_missing_route(struct rg_balancer *b, const struct rg_segment *s)
{
    if (!is_confirmed(b) ||
        !rg_routes_was_removed(b->routes, s->flow.service_ip,
                               s->flow.service_port))
    {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_UNKNOWN_ROUTE,
                           "unknown-route");
    }
    return rg_bal_refuse(b, s, RG_METRIC_REFUSED_NO_ROUTE, "route-removed");
}

/* Two upstreams may have answered the opening of a flow, and the caller
 * repeats the last token that it received, also that of an answer it did not
 * take. Moves the flow to the endpoint that the token names, or keeps it at
 * its own; returns where the packet goes. */
static struct rg_endpoint *
correct_token(struct rg_balancer *b, struct rg_tracked_flow *t,
              const struct rg_segment *s, const struct rg_route *route,
              struct rg_endpoint *named)
{
    t->repeated = true;
    if (!rg_flows_confirms_token(t, s) ||
        !token_is_allowed(b, route, named, t)) {
        rg_bal_count(b, RG_METRIC_TOKENS_CORRECTED);
        rg_bal_log_token(b, s, t, named, "KEPT");
        return t->endpoint;
    }
    rg_bal_log_token(b, s, t, named, "MOVED");
    rg_flows_move(b, t, named);
    return named;
}

static struct rg_decision
steer_open(struct rg_balancer *b, const struct rg_segment *s)
{
    struct rg_tracked_flow *t = rg_tracked_flows_find(b->flows, &s->flow);
    struct rg_endpoint *endpoint = rg_pool_by_token(b->pool, s->token);
    struct rg_route *route =
        rg_routes_find(b->routes, s->flow.service_ip, s->flow.service_port);

    if (s->token == RG_TOKEN_NONE) {
        if (t && (s->fin || s->reset)) {
            rg_flows_set_state(t, RG_TRACKED_CLOSED, b->now_ms);
            return forward(b, t->endpoint);
        }
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_NO_TOKEN, "no-token");
    }
    if (!endpoint) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_UNKNOWN_TOKEN,
                           "unknown-token");
    }
    if (!route) {
        return handle_missing_route(b, s);
    }
    if (t && t->endpoint != endpoint) {
        endpoint = correct_token(b, t, s, route, endpoint);
    }
    if (!token_is_allowed(b, route, endpoint, t)) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_WRONG_SERVICE,
                           "wrong-service");
    }
    if (!t) {
        rg_bal_note_untracked(b, s);
    }
    if (t) {
        rg_flows_update(b, t, s, route);
    }
    if (t && rg_request_is_lost(b, t)) {
        rg_request_log_unanswered(b, t, "reset");
        struct rg_decision refused = rg_bal_refuse(
            b, s, RG_METRIC_REFUSED_DEAD_UPSTREAM, "dead-upstream");
        rg_flows_set_state(t, RG_TRACKED_CLOSED, b->now_ms);
        return refused;
    }
    return forward(b, endpoint);
}

struct rg_decision
rg_balancer_packet(struct rg_balancer *b, const struct rg_segment *s,
                   uint64_t now_ms)
{
    b->now_ms = now_ms;
    rg_bal_count(b, RG_METRIC_PACKETS);
    if (!rg_balancer_ready(b)) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_NOT_READY, "not-ready");
    }
    return s->opening ? steer_opening(b, s) : steer_open(b, s);
}

/* --- view, peers and time ------------------------------------------------ */

bool
rg_balancer_set_routes(struct rg_balancer *b, struct rg_routes *routes)
{
    uint64_t version = rg_routes_version(routes);

    if (version <= rg_balancer_version(b)) {
        rg_routes_destroy(routes);
        return false;
    }
    for (size_t i = 0; i < rg_routes_count(routes); i++) {
        struct rg_route *r = rg_routes_at(routes, i);
        for (uint8_t j = 0; j < r->share_count; j++) {
            r->shares[j].service_index =
                rg_pool_service(b->pool, &r->shares[j].service);
            rg_bal_reserve_service(b, r->shares[j].service_index);
        }
    }
    rg_log_event(b->opts.log, RG_LOG_NOTICE, "CONFIG",
                 "version=\"%llu\" before=\"%llu\" routes=\"%zu\"",
                 (unsigned long long)version,
                 (unsigned long long)rg_balancer_version(b),
                 rg_routes_count(routes));
    if (b->routes) {
        rg_routes_carry_over(routes, b->routes);
    }
    rg_routes_destroy(b->routes);
    b->routes = routes;
    return true;
}

struct rg_routes *
rg_balancer_routes(struct rg_balancer *b)
{
    return b->routes;
}

/* Collects the ejected upstreams. */
struct ejection_list {
    struct rg_balancer_ejection *out;
    size_t count;
    size_t max;
    uint64_t now_ms;
};

static void
add_ejected(void *ctx, const struct rg_endpoint *endpoint)
{
    struct ejection_list *list = ctx;

    if (list->count < list->max &&
        rg_endpoint_is_ejected(endpoint, list->now_ms)) {
        list->out[list->count++] = (struct rg_balancer_ejection){
            .token = endpoint->token,
            .age_ms = (uint32_t)(list->now_ms - endpoint->last_unanswered_ms),
        };
    }
}

size_t
rg_balancer_ejections(const struct rg_balancer *b, uint64_t now_ms,
                      struct rg_balancer_ejection *out, size_t max)
{
    struct ejection_list list = {.out = out, .max = max, .now_ms = now_ms};

    rg_pool_each_listed(b->pool, add_ejected, &list);
    return list.count;
}

void
rg_balancer_add_reported_ejection(struct rg_balancer *b,
                                  const struct rg_balancer_ejection *ejection,
                                  uint64_t now_ms)
{
    struct rg_endpoint *endpoint = rg_pool_by_token(b->pool, ejection->token);

    if (!endpoint || ejection->age_ms > now_ms ||
        endpoint->last_response_ms > now_ms - ejection->age_ms)
    {
        return;
    }
    rg_bal_count(b, RG_METRIC_EJECTIONS_REPORTED);
    rg_endpoint_reported_ejected(endpoint, now_ms);
}

uint64_t
rg_balancer_version(const struct rg_balancer *b)
{
    return rg_bal_version(b);
}

struct rg_pool *
rg_balancer_pool(struct rg_balancer *b)
{
    return b->pool;
}

void
rg_balancer_set_fleet(struct rg_balancer *b, const struct rg_fleet *fleet)
{
    b->fleet = *fleet;
}

uint32_t
rg_balancer_openings_per_s(const struct rg_balancer *b)
{
    return (uint32_t)(b->openings_per_s + 0.5);
}

/* Moving average of openings per second. */
static void
update_openings_per_s(struct rg_balancer *b, uint64_t ms)
{
    uint64_t openings = b->metrics.counters[RG_METRIC_OPENINGS];

    if (ms == 0) {
        return;
    }
    double rate = (double)(openings - b->openings_before) * 1000 / (double)ms;
    b->openings_per_s += OPENINGS_GAIN * (rate - b->openings_per_s);
    b->openings_before = openings;
}

void
rg_balancer_set_confirmed(struct rg_balancer *b, uint64_t at_ms)
{
    b->confirmed_ms = at_ms;
}

void
rg_balancer_set_partial(struct rg_balancer *b, uint64_t at_ms)
{
    if (!b->routes || rg_balancer_has_complete_view(b) ||
        rg_pool_listed_count(b->pool) == 0)
    {
        return;
    }
    b->partial_ms = at_ms;
    rg_log_event(b->opts.log, RG_LOG_NOTICE, "SAMPLED",
                 "version=\"%llu\" upstreams=\"%zu\"",
                 (unsigned long long)rg_bal_version(b),
                 rg_pool_listed_count(b->pool));
}

bool
rg_balancer_has_complete_view(const struct rg_balancer *b)
{
    return b->routes && b->confirmed_ms != 0;
}

bool
rg_balancer_ready(const struct rg_balancer *b)
{
    bool has_partial_view = b->partial_ms != 0 && b->now_ms - b->partial_ms <
                                                      b->opts.partial_view_ms;

    return rg_balancer_has_complete_view(b) || (b->routes && has_partial_view);
}

void
rg_balancer_tick(struct rg_balancer *b, uint64_t now_ms)
{
    b->now_ms = now_ms;
    rg_tracked_flows_sweep(b->flows, rg_flows_expired, b);
    update_openings_per_s(b, now_ms - b->ticked_ms);
    b->ticked_ms = now_ms;
    b->dropped_lines = 0;
    rg_pool_tick(b->pool, now_ms);
    rg_bal_tick_admission(b);
    rg_bal_tick_outcomes(b);
}

void
rg_balancer_paused(struct rg_balancer *b, uint64_t now_ms)
{
    b->now_ms = now_ms;
    b->paused_ms = now_ms;
    rg_bal_ignore_untracked(b, RG_TRACKED_IDLE_TIMEOUT_MS);
}

struct rg_metrics *
rg_balancer_metrics(struct rg_balancer *b)
{
    return &b->metrics;
}

size_t
rg_balancer_tracked_count(const struct rg_balancer *b)
{
    return rg_tracked_flows_count(b->flows);
}

struct rg_balancer *
rg_balancer_create(const struct rg_balancer_opts *opts, uint64_t now_ms)
{
    struct rg_balancer *b = rg_calloc(1, sizeof(*b));
    struct rg_pool_opts pool = {
        .data_centre = opts->data_centre,
        .retain_ms = opts->flow_age_ms,
        .log = opts->log,
    };

    b->opts = *opts;
    b->pool = rg_pool_create(&pool);
    b->flows = rg_tracked_flows_create(opts->tracked_flows);
    b->outcome_table = rg_outcome_table_create((uint32_t)rg_mix64(opts->seed));
    b->rand.state = opts->seed;
    b->fleet =
        (struct rg_fleet){.instances = 1, .local_instances = 1, .share = 1};
    b->ticked_ms = now_ms;
    b->started_ms = now_ms;
    b->now_ms = now_ms;
    return b;
}

void
rg_balancer_destroy(struct rg_balancer *b)
{
    if (b) {
        rg_routes_destroy(b->routes);
        rg_tracked_flows_destroy(b->flows);
        rg_pool_destroy(b->pool);
        free(b->services);
        rg_outcome_table_destroy(b->outcome_table);
        free(b);
    }
}
