/* Outlier detection at one upstream by the outcomes of requests. */
#include <glib.h>

#include "balance/outlier.h"

#define START_MS 100000
/* Longer than any exclusion time. */
#define LONG_MS 60000

static struct rg_endpoint
new_endpoint(void)
{
    return (struct rg_endpoint){.token = 77};
}

static enum rg_outlier_change
check(struct rg_endpoint *e, double service_failure_rate, uint64_t now_ms)
{
    struct rg_outlier_opts opts = {.service_failure_rate =
                                       service_failure_rate,
                                   .may_exclude = true,
                                   .now_ms = now_ms};

    return rg_endpoint_check_outlier(e, &opts);
}

static void
make_outlier(struct rg_endpoint *e, uint64_t now_ms)
{
    rg_endpoint_add_outcome(e, RG_OUTCOME_FAILED, now_ms);
    rg_endpoint_add_outcome(e, RG_OUTCOME_FAILED, now_ms);
    g_assert_cmpint(check(e, 0, now_ms), ==, RG_OUTLIER_DETECTED);
}

static bool
may_probe(const struct rg_endpoint *e, uint64_t self, uint64_t now_ms)
{
    struct rg_probe_opts opts = {
        .self = self, .instances = 16, .idempotent = true, .now_ms = now_ms};

    return rg_endpoint_may_probe(e, &opts);
}

/* A single failure may be chance; two failures without an answer between them
 * make an outlier. */
static void
test_own_failures(void)
{
    struct rg_endpoint e = new_endpoint();

    for (int i = 0; i < 10; i++) {
        rg_endpoint_add_outcome(&e, RG_OUTCOME_ANSWERED, START_MS);
    }
    rg_endpoint_add_outcome(&e, RG_OUTCOME_FAILED, START_MS + 1);
    g_assert_true(rg_endpoint_is_suspect(&e, START_MS + 1));
    g_assert_cmpint(check(&e, 0, START_MS + 1), ==, RG_OUTLIER_UNCHANGED);
    rg_endpoint_add_outcome(&e, RG_OUTCOME_FAILED, START_MS + 2);
    g_assert_cmpint(check(&e, 0, START_MS + 2), ==, RG_OUTLIER_DETECTED);
    g_assert_true(rg_endpoint_is_outlier(&e));
}

/* Each instance sees only one failure, but both failures together are
 * enough. */
static void
test_reported_failures(void)
{
    struct rg_endpoint e = new_endpoint();

    e.outlier.reported.counts[RG_OUTCOME_FAILED] = 2;
    e.outlier.reported.failed_ms = START_MS;
    g_assert_cmpint(check(&e, 0, START_MS), ==, RG_OUTLIER_DETECTED);
}

/* Requests fail at many upstreams. One that fails as often as the others is
 * not an outlier. */
static void
test_failures_everywhere(void)
{
    struct rg_endpoint e = new_endpoint();

    rg_endpoint_add_outcome(&e, RG_OUTCOME_FAILED, START_MS);
    rg_endpoint_add_outcome(&e, RG_OUTCOME_FAILED, START_MS);
    for (int i = 0; i < 8; i++) {
        rg_endpoint_add_outcome(&e, RG_OUTCOME_ANSWERED, START_MS);
    }
    g_assert_cmpint(check(&e, 0, START_MS), ==, RG_OUTLIER_UNCHANGED);
    for (int i = 0; i < 4; i++) {
        rg_endpoint_add_outcome(&e, RG_OUTCOME_FAILED, START_MS);
    }
    g_assert_cmpint(check(&e, 0.2, START_MS), ==, RG_OUTLIER_UNCHANGED);
    g_assert_cmpint(check(&e, 0.1, START_MS), ==, RG_OUTLIER_DETECTED);
}

/* The service is overloaded, and queues make requests wait at all upstreams.
 * Only an upstream that answers nothing, not even late, becomes an outlier,
 * and only after more failures than usual. */
static void
test_overloaded_service(void)
{
    struct rg_endpoint e = new_endpoint();
    struct rg_outlier_opts opts = {
        .may_exclude = true, .overloaded = true, .now_ms = START_MS};

    rg_endpoint_add_outcome(&e, RG_OUTCOME_FAILED, START_MS);
    rg_endpoint_add_outcome(&e, RG_OUTCOME_FAILED, START_MS);
    g_assert_cmpint(rg_endpoint_check_outlier(&e, &opts), ==,
                    RG_OUTLIER_UNCHANGED);
    rg_endpoint_add_outcome(&e, RG_OUTCOME_FAILED, START_MS);
    struct rg_endpoint late = e;
    rg_endpoint_add_outcome(&late, RG_OUTCOME_LATE, START_MS);
    g_assert_cmpint(rg_endpoint_check_outlier(&late, &opts), ==,
                    RG_OUTLIER_UNCHANGED);
    g_assert_cmpint(rg_endpoint_check_outlier(&e, &opts), ==,
                    RG_OUTLIER_DETECTED);
}

/* No upstream becomes an outlier where too few others remain. */
static void
test_few_upstreams_left(void)
{
    struct rg_endpoint e = new_endpoint();
    struct rg_outlier_opts opts = {.now_ms = START_MS};

    rg_endpoint_add_outcome(&e, RG_OUTCOME_FAILED, START_MS);
    rg_endpoint_add_outcome(&e, RG_OUTCOME_FAILED, START_MS);
    g_assert_cmpint(rg_endpoint_check_outlier(&e, &opts), ==,
                    RG_OUTLIER_UNCHANGED);
    g_assert_cmpfloat(rg_endpoint_pooled_failure_rate(&e, START_MS), >, 0.5);
}

/* An outlier recovers. Instances probe it one after the other, and an answer
 * to one of them clears it. An answer right after the detection, to a request
 * sent before it, does not. */
static void
test_recovery(void)
{
    struct rg_endpoint e = new_endpoint();

    make_outlier(&e, START_MS);
    rg_endpoint_add_outcome(&e, RG_OUTCOME_ANSWERED, START_MS + 10);
    g_assert_cmpint(check(&e, 0, START_MS + 10), ==, RG_OUTLIER_UNCHANGED);
    uint64_t until = e.outlier.until_ms;
    int first = 0;
    for (uint64_t self = 0; self < 1000; self++) {
        g_assert_false(may_probe(&e, self, until - 1));
        first += may_probe(&e, self, until);
        g_assert_true(may_probe(&e, self, until + LONG_MS));
    }
    /* One of 16 instances, on average. */
    g_assert_cmpint(first, >, 30);
    g_assert_cmpint(first, <, 100);
    e.outlier.reported.answered_ms = until + 50;
    g_assert_cmpint(check(&e, 0, until + 60), ==, RG_OUTLIER_CLEARED);
    g_assert_false(rg_endpoint_is_outlier(&e));
}

/* An outlier fails its probes. Each failed probe of any instance extends the
 * exclusion, up to a limit. */
static void
test_failed_probes(void)
{
    struct rg_endpoint e = new_endpoint();
    uint64_t now = START_MS;
    uint64_t exclusion = 0;

    make_outlier(&e, now);
    for (int i = 0; i < 10; i++) {
        uint64_t before = exclusion;
        exclusion = e.outlier.until_ms - now;
        g_assert_cmpuint(exclusion, >=, before);
        now = e.outlier.until_ms + 10;
        e.outlier.reported.failed_ms = now;
        g_assert_cmpint(check(&e, 0, now), ==, RG_OUTLIER_DETECTED);
    }
    g_assert_cmpuint(exclusion, >=, 4000);
    g_assert_cmpuint(exclusion, <=, 10000);
}

/* Requests that are not safe to retry are used as probes only if there are no
 * others. */
static void
test_probe_unsafe(void)
{
    struct rg_endpoint e = new_endpoint();

    make_outlier(&e, START_MS);
    struct rg_probe_opts opts = {.instances = 1,
                                 .now_ms = e.outlier.until_ms + 500};
    g_assert_false(rg_endpoint_may_probe(&e, &opts));
    opts.now_ms += LONG_MS;
    g_assert_true(rg_endpoint_may_probe(&e, &opts));
}

/* An upstream becomes slow. It is avoided, but outstanding requests there do
 * not count as lost, neither then nor when it is probed. */
static void
test_slow_upstream(void)
{
    struct rg_endpoint e = new_endpoint();

    make_outlier(&e, START_MS);
    g_assert_true(rg_endpoint_is_unresponsive(&e, START_MS));
    rg_endpoint_add_outcome(&e, RG_OUTCOME_LATE, START_MS + 100);
    check(&e, 0, START_MS + 100);
    g_assert_false(rg_endpoint_is_unresponsive(&e, START_MS + 100));
    uint64_t probe = e.outlier.until_ms + LONG_MS;
    rg_endpoint_add_outcome(&e, RG_OUTCOME_FAILED, probe);
    g_assert_cmpint(check(&e, 0, probe), ==, RG_OUTLIER_DETECTED);
    g_assert_false(rg_endpoint_is_unresponsive(&e, probe));
}

/* After some time without detections the exclusion time starts at its minimum
 * again. */
static void
test_backoff_resets(void)
{
    struct rg_endpoint e = new_endpoint();

    make_outlier(&e, START_MS);
    uint64_t first = e.outlier.until_ms - START_MS;
    uint64_t back = e.outlier.until_ms + 10;
    rg_endpoint_add_outcome(&e, RG_OUTCOME_ANSWERED, back);
    g_assert_cmpint(check(&e, 0, back), ==, RG_OUTLIER_CLEARED);
    struct rg_endpoint soon = e;
    make_outlier(&soon, back + 100);
    g_assert_cmpuint(soon.outlier.until_ms - back - 100, ==, 2 * first);
    make_outlier(&e, back + LONG_MS);
    g_assert_cmpuint(e.outlier.until_ms - back - LONG_MS, ==, first);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/outlier/own-failures", test_own_failures);
    g_test_add_func("/outlier/reported-failures", test_reported_failures);
    g_test_add_func("/outlier/failures-everywhere", test_failures_everywhere);
    g_test_add_func("/outlier/overloaded-service", test_overloaded_service);
    g_test_add_func("/outlier/few-upstreams-left", test_few_upstreams_left);
    g_test_add_func("/outlier/recovery", test_recovery);
    g_test_add_func("/outlier/failed-probes", test_failed_probes);
    g_test_add_func("/outlier/probe-unsafe", test_probe_unsafe);
    g_test_add_func("/outlier/slow-upstream", test_slow_upstream);
    g_test_add_func("/outlier/backoff-resets", test_backoff_resets);
    return g_test_run();
}
