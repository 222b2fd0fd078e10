/* Counts of what became of requests, over spans of time. */
#include <glib.h>

#include "balance/outcomes.h"

#define START_MS 100000

static void
test_spans(void)
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

/* After a long silence nothing old is left. */
static void
test_long_silence(void)
{
    struct rg_outcomes o = {0};
    uint64_t later = START_MS + 100 * RG_OUTCOMES_WINDOW_MS;

    rg_outcomes_add(&o, RG_OUTCOME_FAILED, START_MS);
    rg_outcomes_add(&o, RG_OUTCOME_ANSWERED, later);
    g_assert_cmpuint(rg_outcomes_count(&o, RG_OUTCOME_FAILED, later), ==, 0);
    g_assert_cmpuint(rg_outcomes_count(&o, RG_OUTCOME_ANSWERED, later), ==, 1);
}

static void
test_failing(void)
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
    g_test_add_func("/outcomes/spans", test_spans);
    g_test_add_func("/outcomes/long-silence", test_long_silence);
    g_test_add_func("/outcomes/failing", test_failing);
    return g_test_run();
}
