/* Verdicts on one upstream by what became of requests there. */
#include <glib.h>

#include "balance/outlier.h"

#define START_MS 100000
/* Longer than any pause after a verdict. */
#define LONG_MS 60000

static struct rg_endpoint
fresh_boot(void)
{
    return (struct rg_endpoint){.token = 77};
}

static enum rg_verdict
judge(struct rg_endpoint *b, double usual, uint64_t now_ms)
{
    struct rg_outlier_opts opts = {
        .usual = usual, .may_condemn = true, .now_ms = now_ms};

    return rg_endpoint_check_outlier(b, &opts);
}

static void
condemn(struct rg_endpoint *b, uint64_t now_ms)
{
    rg_endpoint_add_outcome(b, RG_OUTCOME_FAILED, now_ms);
    rg_endpoint_add_outcome(b, RG_OUTCOME_FAILED, now_ms);
    g_assert_cmpint(judge(b, 0, now_ms), ==, RG_OUTLIER_DETECTED);
}

static bool
may_probe(const struct rg_endpoint *b, uint64_t self, uint64_t now_ms)
{
    struct rg_probe_opts opts = {
        .self = self, .instances = 16, .repeatable = true, .now_ms = now_ms};

    return rg_endpoint_may_probe(b, &opts);
}

/* One failure is chance; two without an answer between them are not. */
static void
test_condemned(void)
{
    struct rg_endpoint b = fresh_boot();

    for (int i = 0; i < 10; i++) {
        rg_endpoint_add_outcome(&b, RG_OUTCOME_ANSWERED, START_MS);
    }
    rg_endpoint_add_outcome(&b, RG_OUTCOME_FAILED, START_MS + 1);
    g_assert_true(rg_endpoint_is_suspect(&b, START_MS + 1));
    g_assert_cmpint(judge(&b, 0, START_MS + 1), ==, RG_OUTLIER_UNCHANGED);
    rg_endpoint_add_outcome(&b, RG_OUTCOME_FAILED, START_MS + 2);
    g_assert_cmpint(judge(&b, 0, START_MS + 2), ==, RG_OUTLIER_DETECTED);
    g_assert_true(rg_endpoint_is_outlier(&b));
}

/* Pattern: each instance sees one failure only; together they know. */
static void
test_condemned_by_others(void)
{
    struct rg_endpoint b = fresh_boot();

    b.requests.others.counts[RG_OUTCOME_FAILED] = 2;
    b.requests.others.failed_ms = START_MS;
    g_assert_cmpint(judge(&b, 0, START_MS), ==, RG_OUTLIER_DETECTED);
}

/* Pattern: requests fail here and there. One that does as others do stands. */
static void
test_as_usual(void)
{
    struct rg_endpoint b = fresh_boot();

    rg_endpoint_add_outcome(&b, RG_OUTCOME_FAILED, START_MS);
    rg_endpoint_add_outcome(&b, RG_OUTCOME_FAILED, START_MS);
    for (int i = 0; i < 8; i++) {
        rg_endpoint_add_outcome(&b, RG_OUTCOME_ANSWERED, START_MS);
    }
    g_assert_cmpint(judge(&b, 0, START_MS), ==, RG_OUTLIER_UNCHANGED);
    for (int i = 0; i < 4; i++) {
        rg_endpoint_add_outcome(&b, RG_OUTCOME_FAILED, START_MS);
    }
    g_assert_cmpint(judge(&b, 0.2, START_MS), ==, RG_OUTLIER_UNCHANGED);
    g_assert_cmpint(judge(&b, 0.1, START_MS), ==, RG_OUTLIER_DETECTED);
}

/* Pattern: too much is asked, and queues make requests wait everywhere. */
static void
test_crowded(void)
{
    struct rg_endpoint b = fresh_boot();
    struct rg_outlier_opts opts = {
        .may_condemn = true, .crowded = true, .now_ms = START_MS};

    rg_endpoint_add_outcome(&b, RG_OUTCOME_FAILED, START_MS);
    rg_endpoint_add_outcome(&b, RG_OUTCOME_FAILED, START_MS);
    g_assert_cmpint(rg_endpoint_check_outlier(&b, &opts), ==,
                    RG_OUTLIER_UNCHANGED);
    rg_endpoint_add_outcome(&b, RG_OUTCOME_FAILED, START_MS);
    struct rg_endpoint late = b;
    rg_endpoint_add_outcome(&late, RG_OUTCOME_LATE, START_MS);
    g_assert_cmpint(rg_endpoint_check_outlier(&late, &opts), ==,
                    RG_OUTLIER_UNCHANGED);
    g_assert_cmpint(rg_endpoint_check_outlier(&b, &opts), ==,
                    RG_OUTLIER_DETECTED);
}

/* The floor: none is condemned where few others are left. */
static void
test_floor(void)
{
    struct rg_endpoint b = fresh_boot();
    struct rg_outlier_opts opts = {.now_ms = START_MS};

    rg_endpoint_add_outcome(&b, RG_OUTCOME_FAILED, START_MS);
    rg_endpoint_add_outcome(&b, RG_OUTCOME_FAILED, START_MS);
    g_assert_cmpint(rg_endpoint_check_outlier(&b, &opts), ==,
                    RG_OUTLIER_UNCHANGED);
    g_assert_cmpfloat(rg_endpoint_pooled_failure_rate(&b, START_MS), >, 0.5);
}

/* Pattern: a condemned upstream comes back. Instances probe it one after the
 * other, and an answer to one of them clears it; what was sent before the
 * verdict and is answered right after it does not. */
static void
test_return(void)
{
    struct rg_endpoint b = fresh_boot();

    condemn(&b, START_MS);
    rg_endpoint_add_outcome(&b, RG_OUTCOME_ANSWERED, START_MS + 10);
    g_assert_cmpint(judge(&b, 0, START_MS + 10), ==, RG_OUTLIER_UNCHANGED);
    uint64_t until = b.requests.until_ms;
    int first = 0;
    for (uint64_t self = 0; self < 1000; self++) {
        g_assert_false(may_probe(&b, self, until - 1));
        first += may_probe(&b, self, until);
        g_assert_true(may_probe(&b, self, until + LONG_MS));
    }
    /* One of 16 instances, on average. */
    g_assert_cmpint(first, >, 30);
    g_assert_cmpint(first, <, 100);
    b.requests.others.answered_ms = until + 50;
    g_assert_cmpint(judge(&b, 0, until + 60), ==, RG_OUTLIER_CLEARED);
    g_assert_false(rg_endpoint_is_outlier(&b));
}

/* Pattern: it fails its probes. Each one, whoever sent it, makes the pause
 * longer, up to a bound. */
static void
test_probes_fail(void)
{
    struct rg_endpoint b = fresh_boot();
    uint64_t now = START_MS;
    uint64_t pause = 0;

    condemn(&b, now);
    for (int i = 0; i < 10; i++) {
        uint64_t before = pause;
        pause = b.requests.until_ms - now;
        g_assert_cmpuint(pause, >=, before);
        now = b.requests.until_ms + 10;
        b.requests.others.failed_ms = now;
        g_assert_cmpint(judge(&b, 0, now), ==, RG_OUTLIER_DETECTED);
    }
    g_assert_cmpuint(pause, >=, 4000);
    g_assert_cmpuint(pause, <=, 10000);
}

/* Requests that may run once only do not probe while others can. */
static void
test_probe_unsafe(void)
{
    struct rg_endpoint b = fresh_boot();

    condemn(&b, START_MS);
    struct rg_probe_opts opts = {.instances = 1,
                                 .now_ms = b.requests.until_ms + 500};
    g_assert_false(rg_endpoint_may_probe(&b, &opts));
    opts.now_ms += LONG_MS;
    g_assert_true(rg_endpoint_may_probe(&b, &opts));
}

/* Pattern: an upstream turns slow. It is left, but what it still does is not
 * taken for lost, then or when it is probed. */
static void
test_slow(void)
{
    struct rg_endpoint b = fresh_boot();

    condemn(&b, START_MS);
    g_assert_true(rg_endpoint_is_unresponsive(&b, START_MS));
    rg_endpoint_add_outcome(&b, RG_OUTCOME_LATE, START_MS + 100);
    judge(&b, 0, START_MS + 100);
    g_assert_false(rg_endpoint_is_unresponsive(&b, START_MS + 100));
    uint64_t probe = b.requests.until_ms + LONG_MS;
    rg_endpoint_add_outcome(&b, RG_OUTCOME_FAILED, probe);
    g_assert_cmpint(judge(&b, 0, probe), ==, RG_OUTLIER_DETECTED);
    g_assert_false(rg_endpoint_is_unresponsive(&b, probe));
}

/* A clean record is not held against it for ever. */
static void
test_forgiven(void)
{
    struct rg_endpoint b = fresh_boot();

    condemn(&b, START_MS);
    uint64_t first = b.requests.until_ms - START_MS;
    uint64_t back = b.requests.until_ms + 10;
    rg_endpoint_add_outcome(&b, RG_OUTCOME_ANSWERED, back);
    g_assert_cmpint(judge(&b, 0, back), ==, RG_OUTLIER_CLEARED);
    struct rg_endpoint soon = b;
    condemn(&soon, back + 100);
    g_assert_cmpuint(soon.requests.until_ms - back - 100, ==, 2 * first);
    condemn(&b, back + LONG_MS);
    g_assert_cmpuint(b.requests.until_ms - back - LONG_MS, ==, first);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/standing/condemned", test_condemned);
    g_test_add_func("/standing/condemned-by-others", test_condemned_by_others);
    g_test_add_func("/standing/as-usual", test_as_usual);
    g_test_add_func("/standing/crowded", test_crowded);
    g_test_add_func("/standing/floor", test_floor);
    g_test_add_func("/standing/return", test_return);
    g_test_add_func("/standing/probes-fail", test_probes_fail);
    g_test_add_func("/standing/probe-unsafe", test_probe_unsafe);
    g_test_add_func("/standing/slow", test_slow);
    g_test_add_func("/standing/forgiven", test_forgiven);
    return g_test_run();
}
