/* Outcomes of requests: counted here, shared with peers, and evaluated
 * together with theirs. */
#include "balance/evidence.h"
#include "balance/priv.h"

/* An instance at which more of its own requests fail than this shares no
 * outcomes, since the fault may be its own. */
#define SHARE_FAILURE_RATE_MAX 0.6

double
rg_bal_usual_failing(const struct rg_balancer *b, uint32_t service)
{
    if (service >= b->service_count) {
        return 0;
    }
    return rg_outcomes_failing(&b->services[service].outcomes, b->now_ms);
}

static void
log_change(const struct rg_balancer *b, const struct rg_boot *boot,
           const char *event, const struct rg_standing *before)
{
    uint64_t now = b->now_ms;

    rg_log_event(
        b->opts.log, RG_LOG_NOTICE, event,
        "upstream=\"%s\" why=\"requests\" failed_own=\"%u\" "
        "answered_own=\"%u\" failed_others=\"%u\" answered_others=\"%u\" "
        "usual_failing=\"%.2f\" in_a_row=\"%u\" until_ms=\"%llu\"",
        boot->id.s, rg_outcomes_count(&before->own, RG_OUTCOME_FAILED, now),
        rg_outcomes_count(&before->own, RG_OUTCOME_ANSWERED, now),
        before->reported.counts[RG_OUTCOME_FAILED],
        before->reported.counts[RG_OUTCOME_ANSWERED],
        rg_bal_usual_failing(b, boot->service),
        boot->outlier.recent_detections,
        (unsigned long long)(boot->outlier.detections > 0
                                 ? boot->outlier.until_ms - now
                                 : 0));
}

/* True if at most half of the upstreams of a service are suspect or ejected.
 * If requests fail at more of them, the cause probably lies elsewhere, and the
 * rest could not take the load. */
static bool
enough_remain(const struct rg_balancer *b, uint32_t service)
{
    size_t count;
    struct rg_boot *const *boots = rg_pool_boots(b->pool, service, &count);
    size_t unhealthy = 0;

    for (size_t i = 0; i < count; i++) {
        unhealthy += rg_boot_suspect(boots[i], b->now_ms) ||
                     rg_boot_ejected(boots[i], b->now_ms);
    }
    return unhealthy * 2 <= count;
}

bool
rg_bal_is_crowded(const struct rg_balancer *b, uint32_t service)
{
    return service < b->service_count &&
           rg_admit_is_crowded(&b->services[service].admit);
}

static void
update_reported(struct rg_balancer *b, struct rg_boot *boot)
{
    boot->outlier.reported =
        rg_pooled_others(b->pooled, boot->token, boot->outlier.changed_ms);
}

static void
check_outlier(struct rg_balancer *b, struct rg_boot *boot)
{
    struct rg_standing before = boot->outlier;
    struct rg_judge_opts opts = {
        .service_failure_rate = rg_bal_usual_failing(b, boot->service),
        .may_exclude = enough_remain(b, boot->service),
        .overloaded = rg_bal_is_crowded(b, boot->service),
        .now_ms = b->now_ms,
    };

    switch (rg_boot_judge(boot, &opts)) {
    case RG_VERDICT_NONE:
        break;
    case RG_VERDICT_CONDEMNED:
        rg_bal_count(b, RG_TALLY_EJECTIONS);
        update_reported(b, boot);
        log_change(b, boot, "EJECTED", &before);
        break;
    case RG_VERDICT_CLEARED:
        boot->last_choice = 0;
        rg_boot_forgive(boot);
        log_change(b, boot, "RETURNED", &before);
        break;
    }
}

/* Puts this instance's outcomes at an endpoint into the table for its
 * peers. */
static void
share_outcomes(struct rg_balancer *b, const struct rg_boot *boot)
{
    const struct rg_standing *s = &boot->outlier;
    struct rg_pooled_row row = {
        .token = boot->token,
        .source = rg_pooled_self(b->pooled),
        .serial = s->serial,
        .last_ms = b->now_ms,
        .failed_ms = s->own.last_ms[RG_OUTCOME_FAILED],
        .answered_ms = s->own.last_ms[RG_OUTCOME_ANSWERED],
    };

    if (rg_bal_usual_failing(b, boot->service) > SHARE_FAILURE_RATE_MAX) {
        return;
    }
    for (int kind = 0; kind < RG_OUTCOMES; kind++) {
        row.counts[kind] = rg_outcomes_count(&s->own, kind, b->now_ms);
    }
    rg_pooled_put(b->pooled, &row, b->now_ms);
}

void
rg_bal_add_outcome(struct rg_balancer *b, struct rg_boot *boot,
                   enum rg_outcome outcome)
{
    if (boot->service < b->service_count) {
        rg_outcomes_add(&b->services[boot->service].outcomes, outcome,
                        b->now_ms);
    }
    /* While a service is overloaded, a request may wait long at any
     * upstream. */
    if (outcome == RG_OUTCOME_ANSWERED ||
        (outcome == RG_OUTCOME_FAILED && !rg_bal_is_crowded(b, boot->service)))
    {
        rg_boot_outcome(boot, outcome == RG_OUTCOME_FAILED, b->now_ms);
    }
    rg_boot_request(boot, outcome, b->now_ms);
    if (rg_boot_suspect(boot, b->now_ms)) {
        share_outcomes(b, boot);
        check_outlier(b, boot);
    }
}

void
rg_balancer_hear_outcomes(struct rg_balancer *b,
                          const struct rg_pooled_row *row, uint64_t now_ms)
{
    struct rg_boot *boot = rg_pool_by_token(b->pool, row->token);

    b->now_ms = now_ms;
    if (!boot || boot->state == RG_BOOT_GONE ||
        !rg_pooled_put(b->pooled, row, now_ms))
    {
        return;
    }
    rg_bal_count(b, RG_TALLY_OUTCOMES_HEARD);
    update_reported(b, boot);
    check_outlier(b, boot);
}

size_t
rg_balancer_outcomes(struct rg_balancer *b, struct rg_pooled_row *out,
                     size_t max)
{
    return rg_pooled_next(b->pooled, out, max);
}

bool
rg_balancer_has_news(const struct rg_balancer *b)
{
    return rg_pooled_urgent(b->pooled);
}

void
rg_bal_tick_pooled(struct rg_balancer *b)
{
    uint32_t token;

    while ((token = rg_pooled_expire(b->pooled, b->now_ms)) != 0) {
        struct rg_boot *boot = rg_pool_by_token(b->pool, token);
        if (boot) {
            update_reported(b, boot);
        }
    }
}
