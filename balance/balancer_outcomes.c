/* Outcomes of requests: counted here, told to other instances, and judged
 * together with theirs. */
#include "balance/passive_health.h"
#include "balance/priv.h"

/* Where more of the requests of this instance fail, the fault may lie with it:
 * it tells nobody. */
#define TELL_FAILING_MOST 0.6

double
rg_bal_service_failure_rate(const struct rg_balancer *b, uint32_t service)
{
    if (service >= b->service_count) {
        return 0;
    }
    return rg_outcomes_failure_rate(&b->services[service].outcomes, b->now_ms);
}

static void
log_verdict(const struct rg_balancer *b, const struct rg_endpoint *endpoint,
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
        before->others.counts[RG_OUTCOME_FAILED],
        before->others.counts[RG_OUTCOME_ANSWERED],
        rg_bal_service_failure_rate(b, endpoint->service),
        endpoint->requests.record,
        (unsigned long long)(endpoint->requests.condemned > 0
                                 ? endpoint->requests.until_ms - now
                                 : 0));
}

/* A service keeps most of its upstreams, whatever is said of them: if requests
 * fail at more, the cause is likely elsewhere, and the rest could not do the
 * work. */
static bool
has_others(const struct rg_balancer *b, uint32_t service)
{
    size_t count;
    struct rg_endpoint *const *boots =
        rg_pool_endpoints(b->pool, service, &count);
    size_t out = 0;

    for (size_t i = 0; i < count; i++) {
        out += rg_endpoint_is_suspect(boots[i], b->now_ms) ||
               rg_endpoint_is_ejected(boots[i], b->now_ms);
    }
    return out * 2 <= count;
}

bool
rg_bal_is_overloaded(const struct rg_balancer *b, uint32_t service)
{
    return service < b->service_count &&
           rg_admit_is_overloaded(&b->services[service].admit);
}

static void
sum_others(struct rg_balancer *b, struct rg_endpoint *endpoint)
{
    endpoint->requests.others = rg_outcome_table_sum_others(
        b->pooled, endpoint->token, endpoint->requests.judged_ms);
}

static void
judge(struct rg_balancer *b, struct rg_endpoint *endpoint)
{
    struct rg_outlier_state before = endpoint->requests;
    struct rg_outlier_opts opts = {
        .usual = rg_bal_service_failure_rate(b, endpoint->service),
        .may_condemn = has_others(b, endpoint->service),
        .crowded = rg_bal_is_overloaded(b, endpoint->service),
        .now_ms = b->now_ms,
    };

    switch (rg_endpoint_check_outlier(endpoint, &opts)) {
    case RG_OUTLIER_UNCHANGED:
        break;
    case RG_OUTLIER_DETECTED:
        rg_bal_count(b, RG_METRIC_EJECTIONS);
        sum_others(b, endpoint);
        log_verdict(b, endpoint, "EJECTED", &before);
        break;
    case RG_OUTLIER_CLEARED:
        endpoint->chosen = 0;
        rg_endpoint_reset_failure_rate(endpoint);
        log_verdict(b, endpoint, "RETURNED", &before);
        break;
    }
}

/* What this instance knows of an upstream, to be told to others. */
static void
tell(struct rg_balancer *b, const struct rg_endpoint *endpoint)
{
    const struct rg_outlier_state *s = &endpoint->requests;
    struct rg_outcome_row row = {
        .token = endpoint->token,
        .source = rg_outcome_table_self(b->pooled),
        .serial = s->serial,
        .last_ms = b->now_ms,
        .failed_ms = s->own.last_ms[RG_OUTCOME_FAILED],
        .answered_ms = s->own.last_ms[RG_OUTCOME_ANSWERED],
    };

    if (rg_bal_service_failure_rate(b, endpoint->service) > TELL_FAILING_MOST)
    {
        return;
    }
    for (int kind = 0; kind < RG_OUTCOME_KINDS; kind++) {
        row.counts[kind] = rg_outcomes_count(&s->own, kind, b->now_ms);
    }
    rg_outcome_table_put(b->pooled, &row, b->now_ms);
}

void
rg_bal_outcome(struct rg_balancer *b, struct rg_endpoint *endpoint,
               enum rg_outcome outcome)
{
    if (endpoint->service < b->service_count) {
        rg_outcomes_add(&b->services[endpoint->service].outcomes, outcome,
                        b->now_ms);
    }
    /* In a crowded service a request may wait long anywhere. */
    if (outcome == RG_OUTCOME_ANSWERED ||
        (outcome == RG_OUTCOME_FAILED &&
         !rg_bal_is_overloaded(b, endpoint->service)))
    {
        rg_endpoint_update_failure_rate(endpoint, outcome == RG_OUTCOME_FAILED,
                                        b->now_ms);
    }
    rg_endpoint_add_outcome(endpoint, outcome, b->now_ms);
    if (rg_endpoint_is_suspect(endpoint, b->now_ms)) {
        tell(b, endpoint);
        judge(b, endpoint);
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
        !rg_outcome_table_put(b->pooled, row, now_ms))
    {
        return;
    }
    rg_bal_count(b, RG_METRIC_OUTCOMES_HEARD);
    sum_others(b, endpoint);
    judge(b, endpoint);
}

size_t
rg_balancer_next_outcomes(struct rg_balancer *b, struct rg_outcome_row *out,
                          size_t max)
{
    return rg_outcome_table_next(b->pooled, out, max);
}

bool
rg_balancer_has_unsent_failure(const struct rg_balancer *b)
{
    return rg_outcome_table_has_unsent_failure(b->pooled);
}

void
rg_bal_tick_outcomes(struct rg_balancer *b)
{
    uint32_t token;

    while ((token = rg_outcome_table_expire(b->pooled, b->now_ms)) != 0) {
        struct rg_endpoint *endpoint = rg_pool_by_token(b->pool, token);
        if (endpoint) {
            sum_others(b, endpoint);
        }
    }
}
