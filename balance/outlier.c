#include "balance/outlier.h"

#include <math.h>

#include "common/rand.h"

/* Failures before a verdict: one may be chance. */
#define CONDEMN_FROM 2
/* The same while its service is crowded: queues fail requests too. */
#define CONDEMN_CROWDED_FROM 3
/* Share of failures from which on an upstream is condemned. */
#define CONDEMN_SHARE 0.25
/* The same, in times of its service's share, and the most that is asked. */
#define CONDEMN_TIMES 3
#define CONDEMN_SHARE_MOST 0.9
#define CONDEMN_FIRST_MS 1000
#define CONDEMN_MOST_MS 8000
/* Share of the pause after which outcomes count as those of probes. */
#define PROBES_FROM_PERCENT 75
/* An upstream cleared for this long has a clean record. */
#define FORGIVE_MS 10000

/* One instance more may probe a condemned upstream after each step of time:
 * the outcome of a probe has got round by then. */
#define PROBE_STEP_MS 600
/* Requests that must not be repeated are used where there are no others. */
#define PROBE_UNSAFE_MS 4000
/* Pause between two probes by one instance. */
#define PROBE_GAP_MS 1000

static uint32_t
total(const struct rg_endpoint *b, enum rg_outcome kind, uint64_t now_ms)
{
    const struct rg_outlier_state *s = &b->requests;

    return rg_outcomes_count(&s->own, kind, now_ms) + s->others.counts[kind];
}

static uint64_t
later(uint64_t a, uint64_t b)
{
    return a > b ? a : b;
}

static uint64_t
last_failed_ms(const struct rg_outlier_state *s)
{
    return later(s->own.last_ms[RG_OUTCOME_FAILED], s->others.failed_ms);
}

static uint64_t
last_answered_ms(const struct rg_outlier_state *s)
{
    return later(s->own.last_ms[RG_OUTCOME_ANSWERED], s->others.answered_ms);
}

bool
rg_endpoint_is_outlier(const struct rg_endpoint *b)
{
    return b->requests.condemned > 0;
}

bool
rg_endpoint_is_suspect(const struct rg_endpoint *b, uint64_t now_ms)
{
    return rg_endpoint_is_outlier(b) ||
           total(b, RG_OUTCOME_FAILED, now_ms) > 0;
}

void
rg_endpoint_add_outcome(struct rg_endpoint *b, enum rg_outcome outcome,
                        uint64_t now_ms)
{
    struct rg_outlier_state *s = &b->requests;

    /* What was answered before the first failure says nothing of what became
     * of the upstream since. */
    if (outcome == RG_OUTCOME_FAILED && !rg_endpoint_is_suspect(b, now_ms)) {
        rg_outcomes_clear(&s->own);
    }
    rg_outcomes_add(&s->own, outcome, now_ms);
    s->serial++;
}

double
rg_endpoint_pooled_failure_rate(const struct rg_endpoint *b, uint64_t now_ms)
{
    uint32_t failed = total(b, RG_OUTCOME_FAILED, now_ms);

    if (failed == 0) {
        return 0;
    }
    return (double)failed /
           (failed + total(b, RG_OUTCOME_ANSWERED, now_ms) + 1);
}

bool
rg_endpoint_is_unresponsive(const struct rg_endpoint *b, uint64_t now_ms)
{
    return rg_endpoint_is_outlier(b) && !b->requests.slow &&
           total(b, RG_OUTCOME_LATE, now_ms) == 0;
}

bool
rg_endpoint_no_answer_since(const struct rg_endpoint *b, uint64_t since_ms,
                            uint64_t now_ms)
{
    const struct rg_outlier_state *s = &b->requests;

    return last_answered_ms(s) < since_ms &&
           s->own.last_ms[RG_OUTCOME_LATE] < since_ms &&
           total(b, RG_OUTCOME_LATE, now_ms) == 0;
}

static uint64_t
pause_ms(uint32_t condemned)
{
    uint64_t pause = CONDEMN_FIRST_MS;

    for (uint32_t i = 1; i < condemned && pause < CONDEMN_MOST_MS; i++) {
        pause *= 2;
    }
    return pause;
}

/* Outcomes before a verdict do not count for the next one. */
static void
begin_anew(struct rg_outlier_state *s, uint64_t now_ms)
{
    s->judged_ms = now_ms;
    rg_outcomes_clear(&s->own);
    s->others = (struct rg_outcome_sum){0};
}

/* What answers late is alive, for as long as it stays condemned. */
static void
note_slow(struct rg_endpoint *b, uint64_t now_ms)
{
    if (total(b, RG_OUTCOME_LATE, now_ms) > 0) {
        b->requests.slow = true;
    }
}

static enum rg_verdict
condemn(struct rg_endpoint *b, uint64_t now_ms)
{
    struct rg_outlier_state *s = &b->requests;

    note_slow(b, now_ms);
    if (s->condemned == 0 && now_ms - s->judged_ms > FORGIVE_MS) {
        s->record = 0;
    }
    s->condemned = ++s->record;
    s->until_ms = now_ms + pause_ms(s->condemned);
    begin_anew(s, now_ms);
    return RG_OUTLIER_DETECTED;
}

/* From here on outcomes are of probes: others may have judged a little sooner.
 * What comes before may still be of requests sent before the verdict. */
static uint64_t
probes_from_ms(const struct rg_outlier_state *s)
{
    uint64_t pause = s->until_ms - s->judged_ms;

    return s->judged_ms + pause * PROBES_FROM_PERCENT / 100;
}

static bool
is_back(const struct rg_outlier_state *s)
{
    return last_answered_ms(s) >= probes_from_ms(s) &&
           last_answered_ms(s) > last_failed_ms(s);
}

static enum rg_verdict
judge_condemned(struct rg_endpoint *b, uint64_t now_ms)
{
    struct rg_outlier_state *s = &b->requests;

    note_slow(b, now_ms);
    if (is_back(s)) {
        s->condemned = 0;
        s->slow = false;
        begin_anew(s, now_ms);
        return RG_OUTLIER_CLEARED;
    }
    if (last_failed_ms(s) >= probes_from_ms(s)) {
        return condemn(b, now_ms);
    }
    return RG_OUTLIER_UNCHANGED;
}

enum rg_verdict
rg_endpoint_check_outlier(struct rg_endpoint *b,
                          const struct rg_outlier_opts *opts)
{
    uint64_t now_ms = opts->now_ms;
    double limit = fmin(fmax(CONDEMN_TIMES * opts->usual, CONDEMN_SHARE),
                        CONDEMN_SHARE_MOST);

    if (rg_endpoint_is_outlier(b)) {
        return judge_condemned(b, now_ms);
    }
    if (!opts->may_condemn) {
        return RG_OUTLIER_UNCHANGED;
    }
    uint32_t failed = total(b, RG_OUTCOME_FAILED, now_ms);
    uint32_t answered = total(b, RG_OUTCOME_ANSWERED, now_ms);
    uint32_t late = total(b, RG_OUTCOME_LATE, now_ms);
    if (opts->crowded &&
        (failed < CONDEMN_CROWDED_FROM || answered + late > 0)) {
        return RG_OUTLIER_UNCHANGED;
    }
    if (failed < CONDEMN_FROM || failed < limit * (failed + answered)) {
        return RG_OUTLIER_UNCHANGED;
    }
    return condemn(b, now_ms);
}

/* How long after the pause it is this instance's turn to probe: one at a time,
 * in an order that differs after each verdict, without a word between them. */
static uint64_t
turn_ms(const struct rg_endpoint *b, const struct rg_probe_opts *opts)
{
    uint64_t draw =
        rg_mix64(opts->self ^ rg_mix64(b->token + b->requests.record));

    return draw % opts->instances * PROBE_STEP_MS;
}

bool
rg_endpoint_may_probe(const struct rg_endpoint *b,
                      const struct rg_probe_opts *opts)
{
    const struct rg_outlier_state *s = &b->requests;

    if (opts->now_ms < s->until_ms ||
        opts->now_ms - s->probed_ms < PROBE_GAP_MS) {
        return false;
    }
    uint64_t waited = opts->now_ms - s->until_ms;
    if (!opts->repeatable && waited < PROBE_UNSAFE_MS) {
        return false;
    }
    return waited >= turn_ms(b, opts);
}
