#include "balance/outlier.h"

#include <math.h>

#include "common/rand.h"

/* Failed requests that make an outlier, or confirm each other where none is
 * made: a single one may be chance. */
#define OUTLIER_MIN_FAILURES 2
/* The same while the service is overloaded, when requests fail because of
 * queues, too. */
#define OUTLIER_MIN_FAILURES_OVERLOADED 3
/* Minimum failure rate of an outlier. */
#define OUTLIER_MIN_RATE 0.25
/* Minimum failure rate relative to that of the service, and the upper limit of
 * the threshold that results. */
#define OUTLIER_RATE_FACTOR 3
#define OUTLIER_RATE_LIMIT 0.9
#define EXCLUDE_MIN_MS 1000
#define EXCLUDE_MAX_MS 8000
/* Outcomes count as those of probes after this share of the exclusion time. */
#define PROBE_OUTCOMES_FROM_PERCENT 75
/* The exclusion time starts at its minimum again once an upstream has not been
 * an outlier for this long. */
#define BACKOFF_RESET_MS 10000

/* One more instance may probe an outlier after each interval of this length;
 * by then the outcome of a probe has reached the peers. */
#define PROBE_STAGGER_MS 600
/* A request that tests whether a failure was chance is sent only this long
 * after it, a gossip period and a tick: in a large fleet others have seen
 * failures there, too, by then, and no further one is needed. */
#define SECOND_REQUEST_AFTER_MS 300
/* A flow whose requests are not safe to retry may be a probe only this long
 * after the exclusion, when no other flow has probed the outlier by then. */
#define PROBE_UNSAFE_AFTER_MS 4000
/* Minimum interval between two probes by one instance, or two requests that
 * test whether a failure was chance. */
#define PROBE_INTERVAL_MS 1000

static uint32_t
total(const struct rg_endpoint *e, enum rg_outcome kind, uint64_t now_ms)
{
    const struct rg_outlier_state *s = &e->outlier;

    return rg_outcomes_count(&s->own, kind, now_ms) + s->reported.counts[kind];
}

static uint64_t
later(uint64_t a, uint64_t b)
{
    return a > b ? a : b;
}

static uint64_t
last_failed_ms(const struct rg_outlier_state *s)
{
    return later(s->own.last_ms[RG_OUTCOME_FAILED], s->reported.failed_ms);
}

static uint64_t
last_answered_ms(const struct rg_outlier_state *s)
{
    return later(s->own.last_ms[RG_OUTCOME_ANSWERED], s->reported.answered_ms);
}

/* Last answer that is known, late ones included. */
static uint64_t
last_any_answer_ms(const struct rg_endpoint *e)
{
    const struct rg_outlier_state *s = &e->outlier;

    return later(later(last_answered_ms(s), s->answered_ms),
                 later(e->latency_at_ms, s->own.last_ms[RG_OUTCOME_LATE]));
}

uint64_t
rg_endpoint_failing_since_ms(const struct rg_endpoint *e)
{
    const struct rg_outlier_state *s = &e->outlier;
    uint64_t answered_ms = last_any_answer_ms(e);
    uint64_t failed_ms =
        later(s->own.last_ms[RG_OUTCOME_FAILED], s->reported_failed_ms);

    /* Which failure was the first after a late report of an answer is not
     * known, but none was before the answer. */
    return failed_ms > answered_ms ? later(s->failing_since_ms, answered_ms)
                                   : 0;
}

/* Failures become known in any order. */
static void
note_failing(struct rg_endpoint *e, uint64_t at_ms)
{
    struct rg_outlier_state *s = &e->outlier;
    uint64_t answered_ms = last_any_answer_ms(e);
    bool is_known = s->failing_since_ms > answered_ms;

    if (at_ms > answered_ms && (!is_known || at_ms < s->failing_since_ms)) {
        s->failing_since_ms = at_ms;
    }
}

void
rg_endpoint_add_reported_failure(struct rg_endpoint *e, uint64_t at_ms)
{
    note_failing(e, at_ms);
}

bool
rg_endpoint_is_outlier(const struct rg_endpoint *e)
{
    return e->outlier.detections > 0;
}

bool
rg_endpoint_is_suspect(const struct rg_endpoint *e, uint64_t now_ms)
{
    return rg_endpoint_is_outlier(e) ||
           total(e, RG_OUTCOME_FAILED, now_ms) > 0;
}

void
rg_endpoint_add_outcome_at(struct rg_endpoint *e, enum rg_outcome outcome,
                           uint64_t at_ms, uint64_t now_ms)
{
    struct rg_outlier_state *s = &e->outlier;

    /* Answers from before the first failure say nothing about the upstream
     * since then. */
    if (outcome == RG_OUTCOME_FAILED && !rg_endpoint_is_suspect(e, now_ms)) {
        rg_outcomes_clear(&s->own);
    }
    if (outcome == RG_OUTCOME_FAILED) {
        s->failed_before_ms = s->own.last_ms[RG_OUTCOME_FAILED];
        note_failing(e, at_ms);
    }
    rg_outcomes_add_at(&s->own, outcome, at_ms, now_ms);
    s->serial++;
}

void
rg_endpoint_add_outcome(struct rg_endpoint *e, enum rg_outcome outcome,
                        uint64_t now_ms)
{
    rg_endpoint_add_outcome_at(e, outcome, now_ms, now_ms);
}

double
rg_endpoint_pooled_failure_rate(const struct rg_endpoint *e, uint64_t now_ms)
{
    uint32_t failed = total(e, RG_OUTCOME_FAILED, now_ms);

    if (failed == 0) {
        return 0;
    }
    return (double)failed /
           (failed + total(e, RG_OUTCOME_ANSWERED, now_ms) + 1);
}

bool
rg_endpoint_is_unresponsive(const struct rg_endpoint *e, uint64_t now_ms)
{
    return rg_endpoint_is_outlier(e) && !e->outlier.slow &&
           total(e, RG_OUTCOME_LATE, now_ms) == 0;
}

bool
rg_endpoint_no_answer_since(const struct rg_endpoint *e, uint64_t since_ms,
                            uint64_t now_ms)
{
    return last_any_answer_ms(e) < since_ms &&
           total(e, RG_OUTCOME_LATE, now_ms) == 0;
}

uint64_t
rg_endpoint_other_failure_ms(const struct rg_endpoint *e, uint64_t own_ms)
{
    const struct rg_outlier_state *s = &e->outlier;
    uint64_t last_ms = s->own.last_ms[RG_OUTCOME_FAILED];

    return later(s->reported_failed_ms,
                 last_ms == own_ms ? s->failed_before_ms : last_ms);
}

bool
rg_endpoint_only_failures_since(const struct rg_endpoint *e, uint64_t since_ms,
                                uint64_t now_ms)
{
    return total(e, RG_OUTCOME_FAILED, now_ms) >= OUTLIER_MIN_FAILURES &&
           e->outlier.reported.counts[RG_OUTCOME_ANSWERED] == 0 &&
           rg_endpoint_no_answer_since(e, since_ms, now_ms);
}

bool
rg_endpoint_needs_second_request(const struct rg_endpoint *e, uint64_t now_ms)
{
    const struct rg_outlier_state *s = &e->outlier;

    return !rg_endpoint_is_outlier(e) && e->open_work > 0 &&
           rg_outcomes_count(&s->own, RG_OUTCOME_FAILED, now_ms) == 1 &&
           total(e, RG_OUTCOME_FAILED, now_ms) == 1 &&
           now_ms - s->probed_ms >= PROBE_INTERVAL_MS &&
           now_ms - last_failed_ms(s) >= SECOND_REQUEST_AFTER_MS &&
           rg_endpoint_no_answer_since(e, last_failed_ms(s), now_ms);
}

static uint64_t
exclusion_ms(uint32_t detections)
{
    uint64_t exclusion = EXCLUDE_MIN_MS;

    for (uint32_t i = 1; i < detections && exclusion < EXCLUDE_MAX_MS; i++) {
        exclusion *= 2;
    }
    return exclusion;
}

/* Outcomes from before a change of the state do not count for the next
 * change. */
static void
reset_outcomes(struct rg_outlier_state *s, uint64_t now_ms)
{
    s->changed_ms = now_ms;
    s->answered_ms = later(s->answered_ms, last_answered_ms(s));
    rg_outcomes_clear(&s->own);
    s->reported = (struct rg_outcome_sum){0};
}

/* An outlier that has answered late counts as slow, not as dead, until it is
 * cleared. */
static void
note_slow(struct rg_endpoint *e, uint64_t now_ms)
{
    if (total(e, RG_OUTCOME_LATE, now_ms) > 0) {
        e->outlier.slow = true;
    }
}

static enum rg_outlier_change
set_outlier(struct rg_endpoint *e, uint64_t now_ms)
{
    struct rg_outlier_state *s = &e->outlier;

    note_slow(e, now_ms);
    if (s->detections == 0 && now_ms - s->changed_ms > BACKOFF_RESET_MS) {
        s->recent_detections = 0;
    }
    s->detections = ++s->recent_detections;
    s->until_ms = now_ms + exclusion_ms(s->detections);
    reset_outcomes(s, now_ms);
    return RG_OUTLIER_DETECTED;
}

/* Outcomes from this time on are those of probes. It lies before the end of
 * the exclusion because peers may have detected the outlier a little earlier;
 * outcomes before it may still be of requests sent before the detection. */
static uint64_t
probe_outcomes_from_ms(const struct rg_outlier_state *s)
{
    uint64_t exclusion = s->until_ms - s->changed_ms;

    return s->changed_ms + exclusion * PROBE_OUTCOMES_FROM_PERCENT / 100;
}

static bool
has_recovered(const struct rg_outlier_state *s)
{
    return last_answered_ms(s) >= probe_outcomes_from_ms(s) &&
           last_answered_ms(s) > last_failed_ms(s);
}

static enum rg_outlier_change
check_recovery(struct rg_endpoint *e, uint64_t now_ms)
{
    struct rg_outlier_state *s = &e->outlier;

    note_slow(e, now_ms);
    if (has_recovered(s)) {
        s->detections = 0;
        s->slow = false;
        reset_outcomes(s, now_ms);
        return RG_OUTLIER_CLEARED;
    }
    if (last_failed_ms(s) >= probe_outcomes_from_ms(s)) {
        return set_outlier(e, now_ms);
    }
    return RG_OUTLIER_UNCHANGED;
}

enum rg_outlier_change
rg_endpoint_check_outlier(struct rg_endpoint *e,
                          const struct rg_outlier_opts *opts)
{
    uint64_t now_ms = opts->now_ms;
    double min_rate =
        fmin(fmax(OUTLIER_RATE_FACTOR * opts->service_failure_rate,
                  OUTLIER_MIN_RATE),
             OUTLIER_RATE_LIMIT);

    if (rg_endpoint_is_outlier(e)) {
        return check_recovery(e, now_ms);
    }
    if (!opts->may_exclude) {
        return RG_OUTLIER_UNCHANGED;
    }
    uint32_t failed = total(e, RG_OUTCOME_FAILED, now_ms);
    uint32_t answered = total(e, RG_OUTCOME_ANSWERED, now_ms);
    uint32_t late = total(e, RG_OUTCOME_LATE, now_ms);
    if (opts->overloaded &&
        (failed < OUTLIER_MIN_FAILURES_OVERLOADED || answered + late > 0))
    {
        return RG_OUTLIER_UNCHANGED;
    }
    if (failed < OUTLIER_MIN_FAILURES ||
        failed < min_rate * (failed + answered)) {
        return RG_OUTLIER_UNCHANGED;
    }
    return set_outlier(e, now_ms);
}

/* Delay after the exclusion until this instance may probe. It is drawn by hash
 * and differs after each detection, so that instances probe one after the
 * other without communication. */
static uint64_t
probe_delay_ms(const struct rg_endpoint *e, const struct rg_probe_opts *opts)
{
    uint64_t draw = rg_mix64(
        opts->self ^ rg_mix64(e->token + e->outlier.recent_detections));

    return draw % opts->instances * PROBE_STAGGER_MS;
}

bool
rg_endpoint_may_probe(const struct rg_endpoint *e,
                      const struct rg_probe_opts *opts)
{
    const struct rg_outlier_state *s = &e->outlier;

    if (opts->now_ms < s->until_ms ||
        opts->now_ms - s->probed_ms < PROBE_INTERVAL_MS)
    {
        return false;
    }
    uint64_t waited = opts->now_ms - s->until_ms;
    if (!opts->idempotent && waited < PROBE_UNSAFE_AFTER_MS) {
        return false;
    }
    return waited >= probe_delay_ms(e, opts);
}
