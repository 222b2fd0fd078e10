#include "balance/balancer.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "balance/passive_health.h"
#include "balance/pick.h"
#include "balance/priv.h"
#include "balance/token.h"
#include "common/mem.h"

/* An opening is overdue after this many times the usual time to an answer, and
 * no sooner than the least. */
#define OVERDUE_TIMES 4
#define OVERDUE_LEAST_MS 25
#define OVERDUE_MOST_MS 1000
/* Before the usual time is known: as long as a caller waits for its first
 * copy. */
#define OVERDUE_UNKNOWN_MS 200
/* Share of a tick in the mean of new flows a second. */
#define OPENINGS_GAIN 0.05

static struct rg_decision
dropped(struct rg_balancer *b, enum rg_metric_counter why)
{
    rg_bal_count(b, why);
    return (struct rg_decision){.kind = RG_DECISION_DROP};
}

/* --- openings ------------------------------------------------------------ */

static uint32_t
overdue_ms(const struct rg_balancer *b)
{
    if (b->opening_ms == 0) {
        return OVERDUE_UNKNOWN_MS;
    }
    return (uint32_t)fmin(
        fmax(b->opening_ms * OVERDUE_TIMES, OVERDUE_LEAST_MS),
        OVERDUE_MOST_MS);
}

static uint64_t
flow_hash(const struct rg_flow_id *f)
{
    return rg_mix64((uint64_t)f->caller_ip << 32 | f->service_ip) ^
           ((uint64_t)f->caller_port << 16 | f->service_port);
}

/* The upstream of a repeated opening did not answer the one before. */
static void
note_repeated(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    bool before = rg_endpoint_is_ejected(t->endpoint, b->now_ms);

    rg_bal_count(b, RG_METRIC_OPENINGS_REPEATED);
    rg_bal_note_opening(b, true);
    rg_endpoint_opening_repeated(t->endpoint, b->now_ms);
    if (t->probe) {
        /* Still not back: nobody else needs to try it for a while. */
        t->probe = false;
        rg_bal_outcome(b, t->endpoint, RG_OUTCOME_FAILED);
    }
    if (!before && rg_endpoint_is_ejected(t->endpoint, b->now_ms)) {
        rg_bal_count(b, RG_METRIC_EJECTIONS);
        rg_log_event(
            b->opts.log, RG_LOG_NOTICE, "EJECTED",
            "upstream=\"%s\" unanswered=\"%u\" alive_ms_ago=\"%llu\" "
            "until_ms=\"%llu\"",
            t->endpoint->id.s, t->endpoint->unanswered,
            (unsigned long long)(b->now_ms - t->endpoint->last_alive_ms),
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
choose(struct rg_balancer *b, const struct rg_tracked_flow *t,
       const struct rg_route *route, uint32_t service)
{
    struct rg_pick_opts opts = {
        .service = service,
        .avoid = t ? t->tried : NULL,
        .avoid_count = t ? RG_TRACKED_TRIES_MAX : 0,
        .now_ms = b->now_ms,
        .number = ++b->services[service].choices,
        .overdue_ms = overdue_ms(b),
        .lost_share = b->lost_share,
        .usual_failing = rg_bal_service_failure_rate(b, service),
        .probe = {.self = rg_outcome_table_self(b->pooled),
                  .instances = b->fleet.local_instances,
                  .repeatable = route->repeat == RG_REPEAT_SAFE,
                  .now_ms = b->now_ms},
        .rand = &b->rand,
    };
    struct rg_pick made = rg_pick_upstream(b->pool, &opts);

    if (!made.endpoint && t) {
        opts.avoid_count = 0;
        made = rg_pick_upstream(b->pool, &opts);
    }
    return made;
}

static struct rg_decision
forward(struct rg_balancer *b, const struct rg_endpoint *endpoint)
{
    rg_bal_count(b, RG_METRIC_FORWARDED);
    return (struct rg_decision){.kind = RG_DECISION_FORWARD,
                                .endpoint = endpoint,
                                .token = endpoint->token};
}

/* A caller reuses the ports of a flow that has ended. */
static bool
is_new_flow(const struct rg_tracked_flow *t)
{
    return t->state != RG_TRACKED_OPENING;
}

/* A copy of an opening is not refused for want of room: the first may be
 * answered already. */
static bool
is_copy(const struct rg_segment *s, const struct rg_tracked_flow *t)
{
    return s->ack != 0 || (t && !is_new_flow(t));
}

/* The store has confirmed the view lately: what it lacks is not there. */
static bool
is_fresh(const struct rg_balancer *b)
{
    return b->confirmed_ms != 0 &&
           b->now_ms - b->confirmed_ms <= b->opts.stale_ms;
}

static struct rg_decision
steer_opening(struct rg_balancer *b, const struct rg_segment *s)
{
    const struct rg_route *route =
        rg_routes_find(b->routes, s->flow.service_ip, s->flow.service_port);
    struct rg_tracked_flow *t = rg_tracked_flows_find(b->tracks, &s->flow);
    uint32_t service;

    rg_bal_count(b, RG_METRIC_OPENINGS);
    if (!route && !is_fresh(b)) {
        return dropped(b, RG_METRIC_DROPPED_STALE_VIEW);
    }
    if (!route) {
        return rg_bal_refuse(b, s, RG_METRIC_REFUSED_NO_ROUTE, "no-route");
    }
    if (!rg_route_pick_service(route, flow_hash(&s->flow), &service)) {
        return rg_bal_refuse(b, s, RG_METRIC_REFUSED_NO_UPSTREAM,
                             "no-service");
    }
    if (!is_copy(s, t) && !rg_bal_admits(b, route, service)) {
        return rg_bal_refuse(b, s, RG_METRIC_REFUSED_OVERLOAD, "overload");
    }
    if (t && !is_new_flow(t)) {
        note_repeated(b, t);
    }
    struct rg_pick made = choose(b, t, route, service);
    if (!made.endpoint && !is_fresh(b)) {
        return dropped(b, RG_METRIC_DROPPED_STALE_VIEW);
    }
    if (!made.endpoint) {
        return rg_bal_refuse(b, s, RG_METRIC_REFUSED_NO_UPSTREAM,
                             "no-upstream");
    }
    rg_bal_log_opening(b, s, &made);
    if (t) {
        rg_flows_move(b, t, made.endpoint);
        rg_flows_set_state(t, RG_TRACKED_OPENING, b->now_ms);
    }
    else {
        t = rg_flows_start(b, &s->flow, made.endpoint);
    }
    if (t) {
        t->probe = made.rule == RG_PICK_PROBE;
    }
    rg_endpoint_opening_sent(made.endpoint, b->now_ms);
    return forward(b, made.endpoint);
}

/* --- open flows ---------------------------------------------------------- */

/* Whether a token may lead from this route's address to this boot. Flows
 * older than this instance may have been opened under a version it never
 * saw. */
static bool
may_lead(const struct rg_balancer *b, const struct rg_route *route,
         const struct rg_endpoint *endpoint, const struct rg_tracked_flow *t)
{
    return rg_route_has_service(route, endpoint->service) ||
           (t && t->endpoint == endpoint) ||
           b->now_ms - b->started_ms < b->opts.flow_age_ms;
}

/* A packet of an open flow whose route is not in force here: removed, or added
 * by a version that only other instances hold yet. */
static struct rg_decision
without_route(struct rg_balancer *b, const struct rg_segment *s)
{
    if (!rg_routes_was_removed(b->routes, s->flow.service_ip,
                               s->flow.service_port))
    {
        return dropped(b, RG_METRIC_DROPPED_UNKNOWN_ROUTE);
    }
    return rg_bal_refuse(b, s, RG_METRIC_REFUSED_NO_ROUTE, "route-removed");
}

static struct rg_decision
steer_open(struct rg_balancer *b, const struct rg_segment *s)
{
    struct rg_tracked_flow *t = rg_tracked_flows_find(b->tracks, &s->flow);
    struct rg_endpoint *endpoint = rg_pool_by_token(b->pool, s->token);
    struct rg_route *route =
        rg_routes_find(b->routes, s->flow.service_ip, s->flow.service_port);

    if (s->token == RG_TOKEN_NONE) {
        if (t && (s->fin || s->reset)) {
            rg_flows_set_state(t, RG_TRACKED_CLOSED, b->now_ms);
            return forward(b, t->endpoint);
        }
        return dropped(b, RG_METRIC_DROPPED_NO_TOKEN);
    }
    if (!endpoint) {
        return dropped(b, RG_METRIC_DROPPED_UNKNOWN_TOKEN);
    }
    if (!route) {
        return without_route(b, s);
    }
    if (!may_lead(b, route, endpoint, t)) {
        return dropped(b, RG_METRIC_DROPPED_WRONG_SERVICE);
    }
    if (t && t->endpoint != endpoint) {
        rg_flows_move(b, t, endpoint);
    }
    if (t) {
        rg_flows_update(b, t, s, route);
    }
    if (t && rg_request_is_lost(b, t)) {
        rg_request_log_unanswered(b, t, "reset");
        rg_flows_set_state(t, RG_TRACKED_CLOSED, b->now_ms);
        return rg_bal_refuse(b, s, RG_METRIC_REFUSED_DEAD_UPSTREAM,
                             "dead-upstream");
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
        return dropped(b, RG_METRIC_DROPPED_NOT_READY);
    }
    return s->opening ? steer_opening(b, s) : steer_open(b, s);
}

/* --- the rest ------------------------------------------------------------ */

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

/* Verdicts being gathered. */
struct gather {
    struct rg_balancer_ejection *out;
    size_t count;
    size_t max;
    uint64_t now_ms;
};

static void
gather_verdict(void *ctx, const struct rg_endpoint *endpoint)
{
    struct gather *g = ctx;

    if (g->count < g->max && rg_endpoint_is_ejected(endpoint, g->now_ms)) {
        g->out[g->count++] = (struct rg_balancer_ejection){
            .token = endpoint->token,
            .age_ms = (uint32_t)(g->now_ms - endpoint->unanswered_ms),
        };
    }
}

size_t
rg_balancer_ejections(const struct rg_balancer *b, uint64_t now_ms,
                      struct rg_balancer_ejection *out, size_t max)
{
    struct gather g = {.out = out, .max = max, .now_ms = now_ms};

    rg_pool_each_listed(b->pool, gather_verdict, &g);
    return g.count;
}

void
rg_balancer_add_reported_ejection(struct rg_balancer *b,
                                  const struct rg_balancer_ejection *verdict,
                                  uint64_t now_ms)
{
    struct rg_endpoint *endpoint = rg_pool_by_token(b->pool, verdict->token);

    if (!endpoint || verdict->age_ms > now_ms ||
        endpoint->last_alive_ms > now_ms - verdict->age_ms)
    {
        return;
    }
    rg_bal_count(b, RG_METRIC_VERDICTS_HEARD);
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

/* The running mean of new flows a second. */
static void
note_openings(struct rg_balancer *b, uint64_t ms)
{
    uint64_t openings = b->tally.counters[RG_METRIC_OPENINGS];

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
    if (!b->routes || rg_balancer_has_full_view(b) ||
        rg_pool_listed_count(b->pool) == 0)
    {
        return;
    }
    b->sampled_ms = at_ms;
    rg_log_event(b->opts.log, RG_LOG_NOTICE, "SAMPLED",
                 "version=\"%llu\" upstreams=\"%zu\"",
                 (unsigned long long)rg_bal_version(b),
                 rg_pool_listed_count(b->pool));
}

bool
rg_balancer_has_full_view(const struct rg_balancer *b)
{
    return b->routes && b->confirmed_ms != 0;
}

bool
rg_balancer_ready(const struct rg_balancer *b)
{
    bool sampled =
        b->sampled_ms != 0 && b->now_ms - b->sampled_ms < b->opts.sample_ms;

    return rg_balancer_has_full_view(b) || (b->routes && sampled);
}

void
rg_balancer_tick(struct rg_balancer *b, uint64_t now_ms)
{
    b->now_ms = now_ms;
    rg_tracked_flows_sweep(b->tracks, rg_flows_expired, b);
    note_openings(b, now_ms - b->ticked_ms);
    b->ticked_ms = now_ms;
    rg_pool_tick(b->pool, now_ms);
    rg_bal_tick_admission(b);
    rg_bal_tick_outcomes(b);
}

/* Whoever waited through a pause of this process may have been answered in it.
 */
static bool
excuse(void *ctx, struct rg_tracked_flow *t)
{
    (void)ctx;
    t->overdue = true;
    return false;
}

void
rg_balancer_paused(struct rg_balancer *b, uint64_t now_ms)
{
    b->now_ms = now_ms;
    rg_tracked_flows_sweep(b->tracks, excuse, b);
}

struct rg_metrics *
rg_balancer_metrics(struct rg_balancer *b)
{
    return &b->tally;
}

size_t
rg_balancer_tracked_count(const struct rg_balancer *b)
{
    return rg_tracked_flows_count(b->tracks);
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
    b->tracks = rg_tracked_flows_create(opts->tracked_flows);
    b->pooled = rg_outcome_table_create((uint32_t)rg_mix64(opts->seed));
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
        rg_tracked_flows_destroy(b->tracks);
        rg_pool_destroy(b->pool);
        free(b->services);
        rg_outcome_table_destroy(b->pooled);
        free(b);
    }
}
