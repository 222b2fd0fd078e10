#include "balance/balancer.h"

#include <stdlib.h>

#include "balance/passive_health.h"
#include "balance/priv.h"
#include "common/mem.h"

/* Gain of the moving average of openings per second, for each tick. */
#define OPENINGS_GAIN 0.05

struct rg_decision
rg_bal_forward(struct rg_balancer *b, const struct rg_endpoint *endpoint,
               uint32_t token)
{
    rg_bal_count(b, RG_METRIC_FORWARDED);
    return (struct rg_decision){
        .kind = RG_DECISION_FORWARD, .endpoint = endpoint, .token = token};
}

bool
rg_bal_is_confirmed(const struct rg_balancer *b)
{
    return b->confirmed_ms != 0 &&
           b->now_ms - b->confirmed_ms <= b->opts.stale_ms;
}

bool
rg_bal_is_confirmed_since(const struct rg_balancer *b, uint64_t at_ms)
{
    return rg_bal_is_confirmed(b) && !rg_pool_is_provisional(b->pool) &&
           b->confirmed_ms > at_ms + b->opts.confirmation_lag_ms;
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
    return s->opening ? rg_bal_steer_opening(b, s) : rg_bal_steer_open(b, s);
}

struct rg_decision
rg_balancer_held_packet(struct rg_balancer *b,
                        const struct rg_segment *segment, uint64_t now_ms)
{
    b->held_in_vain = true;
    struct rg_decision decision = rg_balancer_packet(b, segment, now_ms);
    b->held_in_vain = false;
    return decision;
}

/* --- view, peers and time ------------------------------------------------ */

static void
note_deadline(struct rg_balancer *b, uint32_t service, uint32_t timeout_ms)
{
    uint32_t *max_ms = &b->services[service].deadline_max_ms;
    uint32_t deadline_ms = timeout_ms ? timeout_ms : RG_BAL_NO_DEADLINE;

    *max_ms = deadline_ms > *max_ms ? deadline_ms : *max_ms;
}

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
                rg_pool_configured_service(b->pool, &r->shares[j].service);
            rg_bal_reserve_service(b, r->shares[j].service_index);
            note_deadline(b, r->shares[j].service_index, r->timeout_ms);
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
    rg_bal_set_cold_limits(b);
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
    rg_instances_known_add(&b->instances_known, fleet->instances, b->now_ms);
}

struct rg_instances *
rg_balancer_instances(struct rg_balancer *b)
{
    return b->instances;
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
    if (rg_bal_tick_is_late(b)) {
        b->late_tick_ms = now_ms;
    }
    rg_tracked_flows_sweep(b->flows, rg_flows_expired, b);
    update_openings_per_s(b, now_ms - b->ticked_ms);
    b->ticked_ms = now_ms;
    b->dropped_lines = 0;
    b->untracked_lines = 0;
    rg_pool_tick(b->pool, now_ms);
    rg_bal_tick_admission(b);
    rg_bal_tick_outcomes(b);
    rg_bal_tick_cold_start(b);
    rg_bal_tick_locality(b);
    rg_bal_tick_homes(b);
}

void
rg_balancer_set_leaving(struct rg_balancer *b)
{
    b->leaving = true;
}

void
rg_balancer_paused(struct rg_balancer *b, uint64_t now_ms)
{
    b->now_ms = now_ms;
    b->paused_ms = now_ms;
    b->homes.listening_ms = now_ms;
    rg_bal_ignore_untracked(b, RG_TRACKED_IDLE_TIMEOUT_MS);
}

void
rg_balancer_peer_heard(struct rg_balancer *b, uint64_t now_ms)
{
    rg_bal_note_peer_heard(b, now_ms);
    b->peer_heard_ms = now_ms;
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
    b->waiting = rg_admission_queue_create();
    b->instances = rg_instances_create();
    b->outcome_table = rg_outcome_table_create((uint32_t)rg_mix64(opts->seed));
    b->rand.state = opts->seed;
    b->fleet = (struct rg_fleet){.instances = 1,
                                 .local_instances = 1,
                                 .share = 1,
                                 .opening_tokens = true};
    b->flow_sync.round = RG_FLOW_FIRST_ROUND;
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
        rg_admission_queue_destroy(b->waiting);
        rg_instances_destroy(b->instances);
        rg_outcome_table_destroy(b->outcome_table);
        free(b);
    }
}
