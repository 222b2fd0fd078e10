/* Outcomes of requests: counted here, shared with peers, and evaluated
 * together with theirs. */
#include "balance/passive_health.h"
#include "balance/priv.h"

/* If a greater share of this instance's requests to a service fails, it sends
 * no outcomes to peers, since the fault may be its own. */
#define SHARE_FAILURE_RATE_MAX 0.6

double
rg_bal_service_failure_rate(const struct rg_balancer *b, uint32_t service)
{
    const struct rg_bal_service *s = rg_bal_service(b, service);

    return s ? rg_outcomes_failure_rate(&s->outcomes, b->now_ms) : 0;
}

static void
log_change(const struct rg_balancer *b, const struct rg_endpoint *endpoint,
           const char *event, const struct rg_outlier_state *before)
{
    uint64_t now = b->now_ms;

    rg_log_event(
        b->opts.log, RG_LOG_NOTICE, event,
        "upstream=\"%s\" why=\"requests\" failed_own=\"%u\" "
        "answered_own=\"%u\" failed_others=\"%u\" answered_others=\"%u\" "
        "usual_failing=\"%.2f\" in_a_row=\"%u\" until_ms=\"%llu\"",
        endpoint->id.s,
        rg_outcomes_count(&before->own, RG_OUTCOME_FAILED, now),
        rg_outcomes_count(&before->own, RG_OUTCOME_ANSWERED, now),
        before->reported.counts[RG_OUTCOME_FAILED],
        before->reported.counts[RG_OUTCOME_ANSWERED],
        rg_bal_service_failure_rate(b, endpoint->service),
        endpoint->outlier.recent_detections,
        (unsigned long long)(endpoint->outlier.detections > 0
                                 ? endpoint->outlier.until_ms - now
                                 : 0));
}

/* True if at most half of the upstreams of a service that are not evacuated
 * are suspect or ejected.
 * If requests fail at more of them, the cause probably lies elsewhere, and the
 * rest could not take the load. */
static bool
enough_remain(const struct rg_balancer *b, uint32_t service)
{
    size_t count;
    struct rg_endpoint *const *endpoints =
        rg_pool_endpoints(b->pool, service, &count);
    size_t unhealthy = 0;
    size_t evacuated = 0;

    for (size_t i = 0; i < count; i++) {
        if (endpoints[i]->data_centre->evacuation->in_force) {
            evacuated++;
            continue;
        }
        unhealthy += rg_endpoint_is_suspect(endpoints[i], b->now_ms) ||
                     rg_endpoint_is_ejected(endpoints[i], b->now_ms);
    }
    return unhealthy * 2 <= count - evacuated;
}

bool
rg_bal_is_overloaded(const struct rg_balancer *b, uint32_t service)
{
    const struct rg_bal_service *s = rg_bal_service(b, service);

    return s && (rg_admit_is_overloaded(&s->admit) ||
                 rg_capacity_is_limiting(&s->capacity, b->now_ms));
}

static void
update_reported(struct rg_balancer *b, struct rg_endpoint *endpoint)
{
    struct rg_outlier_state *s = &endpoint->outlier;

    s->reported = rg_outcome_table_sum_others(b->outcome_table,
                                              endpoint->token, s->changed_ms);
    if (s->reported.failed_ms > s->reported_failed_ms) {
        s->reported_failed_ms = s->reported.failed_ms;
    }
}

static void
check_outlier(struct rg_balancer *b, struct rg_endpoint *endpoint)
{
    struct rg_outlier_state before = endpoint->outlier;
    struct rg_outlier_opts opts = {
        .service_failure_rate =
            rg_bal_service_failure_rate(b, endpoint->service),
        .may_exclude = enough_remain(b, endpoint->service),
        .overloaded = rg_bal_is_overloaded(b, endpoint->service),
        .now_ms = b->now_ms,
    };

    switch (rg_endpoint_check_outlier(endpoint, &opts)) {
    case RG_OUTLIER_UNCHANGED:
        break;
    case RG_OUTLIER_DETECTED:
        rg_bal_count(b, RG_METRIC_EJECTIONS);
        update_reported(b, endpoint);
        log_change(b, endpoint, "EJECTED", &before);
        break;
    case RG_OUTLIER_CLEARED:
        endpoint->last_choice = 0;
        rg_endpoint_reset_failure_rate(endpoint);
        log_change(b, endpoint, "RETURNED", &before);
        break;
    }
}

/* A row of this instance without outcomes. */
static struct rg_outcome_row
row_of(const struct rg_balancer *b, const struct rg_endpoint *endpoint)
{
    return (struct rg_outcome_row){
        .token = endpoint->token,
        .source = rg_outcome_table_self(b->outcome_table),
        .serial = endpoint->outlier.serial,
        .last_ms = b->now_ms,
        .unacknowledged = {.at_ms = endpoint->unacknowledged.own_ms},
    };
}

static bool
may_share_outcomes(const struct rg_balancer *b,
                   const struct rg_endpoint *endpoint)
{
    return rg_bal_service_failure_rate(b, endpoint->service) <=
           SHARE_FAILURE_RATE_MAX;
}

static void
add_counts(const struct rg_balancer *b, const struct rg_endpoint *endpoint,
           struct rg_outcome_row *row)
{
    const struct rg_outcomes *own = &endpoint->outlier.own;

    row->failed_ms = own->last_ms[RG_OUTCOME_FAILED];
    row->answered_ms = own->last_ms[RG_OUTCOME_ANSWERED];
    for (int kind = 0; kind < RG_OUTCOME_KINDS; kind++) {
        row->counts[kind] = rg_outcomes_count(own, kind, b->now_ms);
    }
}

/* Puts this instance's outcomes at an endpoint into the table, from which they
 * are sent to peers. */
static void
share_outcomes(struct rg_balancer *b, const struct rg_endpoint *endpoint)
{
    struct rg_outcome_row row = row_of(b, endpoint);

    if (may_share_outcomes(b, endpoint)) {
        add_counts(b, endpoint, &row);
        rg_outcome_table_put(b->outcome_table, &row, b->now_ms);
    }
}

void
rg_bal_share_response(struct rg_balancer *b, struct rg_endpoint *endpoint)
{
    endpoint->outlier.serial++;
    struct rg_outcome_row row = row_of(b, endpoint);
    /* Answers from before the first failure say nothing. */
    if (rg_endpoint_is_suspect(endpoint, b->now_ms) &&
        may_share_outcomes(b, endpoint))
    {
        add_counts(b, endpoint, &row);
    }
    rg_outcome_table_put(b->outcome_table, &row, b->now_ms);
}

void
rg_bal_add_outcome(struct rg_balancer *b, struct rg_endpoint *endpoint,
                   enum rg_outcome outcome, uint64_t at_ms)
{
    struct rg_bal_service *s = rg_bal_service(b, endpoint->service);

    if (s) {
        rg_outcomes_add(&s->outcomes, outcome, b->now_ms);
    }
    /* While a service is overloaded, a request may wait long at any
     * upstream. */
    if (outcome == RG_OUTCOME_ANSWERED ||
        (outcome == RG_OUTCOME_FAILED &&
         !rg_bal_is_overloaded(b, endpoint->service)))
    {
        rg_endpoint_update_failure_rate(endpoint, outcome == RG_OUTCOME_FAILED,
                                        b->now_ms);
    }
    rg_endpoint_add_outcome_at(endpoint, outcome, at_ms, b->now_ms);
    if (rg_endpoint_is_suspect(endpoint, b->now_ms)) {
        share_outcomes(b, endpoint);
        check_outlier(b, endpoint);
    }
}

void
rg_balancer_add_reported_outcomes(struct rg_balancer *b,
                                  const struct rg_outcome_row *row,
                                  uint64_t now_ms)
{
    struct rg_endpoint *endpoint = rg_pool_by_token(b->pool, row->token);

    b->now_ms = now_ms;
    if (!endpoint || endpoint->state == RG_ENDPOINT_GONE ||
        !rg_outcome_table_put(b->outcome_table, row, now_ms))
    {
        return;
    }
    rg_bal_count(b, RG_METRIC_OUTCOMES_REPORTED);
    if (row->source != rg_outcome_table_self(b->outcome_table)) {
        rg_unacknowledged_add_report(endpoint, row->source,
                                     &row->unacknowledged, now_ms);
    }
    if (row->failed_ms != 0) {
        rg_endpoint_add_reported_failure(endpoint, row->failed_ms);
    }
    update_reported(b, endpoint);
    check_outlier(b, endpoint);
}

size_t
rg_balancer_next_outcomes(struct rg_balancer *b, struct rg_outcome_row *out,
                          size_t max)
{
    size_t count = rg_outcome_table_next(b->outcome_table, out, max);

    for (size_t i = 0; i < count; i++) {
        const struct rg_endpoint *endpoint =
            rg_pool_by_token(b->pool, out[i].token);
        if (endpoint) {
            rg_unacknowledged_update_responses(
                endpoint, &out[i].unacknowledged, b->now_ms);
        }
    }
    return count;
}

bool
rg_balancer_has_unsent_failure(const struct rg_balancer *b)
{
    return rg_outcome_table_has_unsent_own(b->outcome_table);
}

void
rg_bal_tick_outcomes(struct rg_balancer *b)
{
    uint32_t token;

    while ((token = rg_outcome_table_expire(b->outcome_table, b->now_ms)) != 0)
    {
        struct rg_endpoint *endpoint = rg_pool_by_token(b->pool, token);
        if (endpoint) {
            update_reported(b, endpoint);
        }
    }
}
