/* Outcomes of requests, counted in windows of time. */
#include <glib.h>

#include "balance/outcomes.h"

#define START_MS 100000

/* An outcome counts in its own and in the following window. */
static void
test_windows(void)
{
    struct rg_outcomes o = {0};

    rg_outcomes_add(&o, RG_OUTCOME_FAILED, START_MS);
    rg_outcomes_add(&o, RG_OUTCOME_ANSWERED, START_MS + 1);
    g_assert_cmpuint(rg_outcomes_count(&o, RG_OUTCOME_FAILED, START_MS + 1),
                     ==, 1);
    uint64_t next = START_MS + RG_OUTCOMES_WINDOW_MS;
    g_assert_cmpuint(rg_outcomes_count(&o, RG_OUTCOME_FAILED, next), ==, 1);
    rg_outcomes_add(&o, RG_OUTCOME_FAILED, next);
    g_assert_cmpuint(rg_outcomes_count(&o, RG_OUTCOME_FAILED, next), ==, 2);
    next += RG_OUTCOMES_WINDOW_MS;
    g_assert_cmpuint(rg_outcomes_count(&o, RG_OUTCOME_FAILED, next), ==, 1);
    next += RG_OUTCOMES_WINDOW_MS;
    g_assert_cmpuint(rg_outcomes_count(&o, RG_OUTCOME_FAILED, next), ==, 0);
    g_assert_cmpuint(o.last_ms[RG_OUTCOME_ANSWERED], ==, START_MS + 1);
}

/* After a long time without outcomes the old ones no longer count. */
static void
test_old_outcomes_expire(void)
{
    struct rg_outcomes o = {0};
    uint64_t later = START_MS + 100 * RG_OUTCOMES_WINDOW_MS;

    rg_outcomes_add(&o, RG_OUTCOME_FAILED, START_MS);
    rg_outcomes_add(&o, RG_OUTCOME_ANSWERED, later);
    g_assert_cmpuint(rg_outcomes_count(&o, RG_OUTCOME_FAILED, later), ==, 0);
    g_assert_cmpuint(rg_outcomes_count(&o, RG_OUTCOME_ANSWERED, later), ==, 1);
}

/* The failure rate is 0 without outcomes, not undefined. */
static void
test_failure_rate(void)
{
    struct rg_outcomes o = {0};

    g_assert_cmpfloat(rg_outcomes_failure_rate(&o, START_MS), ==, 0);
    for (int i = 0; i < 3; i++) {
        rg_outcomes_add(&o, RG_OUTCOME_ANSWERED, START_MS);
    }
    rg_outcomes_add(&o, RG_OUTCOME_FAILED, START_MS);
    g_assert_cmpfloat(rg_outcomes_failure_rate(&o, START_MS), ==, 0.25);
    rg_outcomes_clear(&o);
    g_assert_cmpfloat(rg_outcomes_failure_rate(&o, START_MS), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/outcomes/windows", test_windows);
    g_test_add_func("/outcomes/old-outcomes-expire", test_old_outcomes_expire);
    g_test_add_func("/outcomes/failure-rate", test_failure_rate);
    return g_test_run();
}
