/* Outcomes of requests: counted here, told to other instances, and judged
 * together with theirs. */
#include "balance/evidence.h"
#include "balance/priv.h"

/* Where more of the requests of this instance fail, the fault may lie with it:
 * it tells nobody. */
#define TELL_FAILING_MOST 0.6

double
rg_bal_usual_failing(const struct rg_balancer *b, uint32_t service)
{
    if (service >= b->service_count) {
        return 0;
    }
    return rg_outcomes_failing(&b->services[service].outcomes, b->now_ms);
}

static void
log_verdict(const struct rg_balancer *b, const struct rg_boot *boot,
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
        before->others.counts[RG_OUTCOME_FAILED],
        before->others.counts[RG_OUTCOME_ANSWERED],
        rg_bal_usual_failing(b, boot->service), boot->requests.record,
        (unsigned long long)(boot->requests.condemned > 0
                                 ? boot->requests.until_ms - now
                                 : 0));
}

/* A service keeps most of its upstreams, whatever is said of them: if requests
 * fail at more, the cause is likely elsewhere, and the rest could not do the
 * work. */
static bool
has_others(const struct rg_balancer *b, uint32_t service)
{
    size_t count;
    struct rg_boot *const *boots = rg_pool_boots(b->pool, service, &count);
    size_t out = 0;

    for (size_t i = 0; i < count; i++) {
        out += rg_boot_suspect(boots[i], b->now_ms) ||
               rg_boot_ejected(boots[i], b->now_ms);
    }
    return out * 2 <= count;
}

bool
rg_bal_is_crowded(const struct rg_balancer *b, uint32_t service)
{
    return service < b->service_count &&
           rg_admit_is_crowded(&b->services[service].admit);
}

static void
sum_others(struct rg_balancer *b, struct rg_boot *boot)
{
    boot->requests.others =
        rg_pooled_others(b->pooled, boot->token, boot->requests.judged_ms);
}

static void
judge(struct rg_balancer *b, struct rg_boot *boot)
{
    struct rg_standing before = boot->requests;
    struct rg_judge_opts opts = {
        .usual = rg_bal_usual_failing(b, boot->service),
        .may_condemn = has_others(b, boot->service),
        .crowded = rg_bal_is_crowded(b, boot->service),
        .now_ms = b->now_ms,
    };

    switch (rg_boot_judge(boot, &opts)) {
    case RG_VERDICT_NONE:
        break;
    case RG_VERDICT_CONDEMNED:
        rg_bal_count(b, RG_TALLY_EJECTIONS);
        sum_others(b, boot);
        log_verdict(b, boot, "EJECTED", &before);
        break;
    case RG_VERDICT_CLEARED:
        boot->chosen = 0;
        rg_boot_forgive(boot);
        log_verdict(b, boot, "RETURNED", &before);
        break;
    }
}

/* What this instance knows of an upstream, to be told to others. */
static void
tell(struct rg_balancer *b, const struct rg_boot *boot)
{
    const struct rg_standing *s = &boot->requests;
    struct rg_pooled_row row = {
        .token = boot->token,
        .source = rg_pooled_self(b->pooled),
        .serial = s->serial,
        .last_ms = b->now_ms,
        .failed_ms = s->own.last_ms[RG_OUTCOME_FAILED],
        .answered_ms = s->own.last_ms[RG_OUTCOME_ANSWERED],
    };

    if (rg_bal_usual_failing(b, boot->service) > TELL_FAILING_MOST) {
        return;
    }
    for (int kind = 0; kind < RG_OUTCOMES; kind++) {
        row.counts[kind] = rg_outcomes_count(&s->own, kind, b->now_ms);
    }
    rg_pooled_put(b->pooled, &row, b->now_ms);
}

void
rg_bal_outcome(struct rg_balancer *b, struct rg_boot *boot,
               enum rg_outcome outcome)
{
    if (boot->service < b->service_count) {
        rg_outcomes_add(&b->services[boot->service].outcomes, outcome,
                        b->now_ms);
    }
    /* In a crowded service a request may wait long anywhere. */
    if (outcome == RG_OUTCOME_ANSWERED ||
        (outcome == RG_OUTCOME_FAILED && !rg_bal_is_crowded(b, boot->service)))
    {
        rg_boot_outcome(boot, outcome == RG_OUTCOME_FAILED, b->now_ms);
    }
    rg_boot_request(boot, outcome, b->now_ms);
    if (rg_boot_suspect(boot, b->now_ms)) {
        tell(b, boot);
        judge(b, boot);
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
    sum_others(b, boot);
    judge(b, boot);
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
            sum_others(b, boot);
        }
    }
}
