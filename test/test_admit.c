/* Admission control: what is refused, when, and for how long. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "balance/admit.h"

#define TARGET_MS 100
#define TICK_MS 100
#define IMPORTANT 1
#define ORDINARY 2
/* Answers per tick. */
#define ANSWERS 40
#define MANY_SLOTS 1000
#define FEW_SLOTS 5

/* Lets ticks pass in which all answers take `ms`. */
static void
run_ticks(struct rg_admit *a, int ticks, double ms, double slots)
{
    struct rg_admit_answer answer = {ms, ms, TARGET_MS};
    struct rg_admit_load load = {.slots = slots};

    load.open = ANSWERS * ms / TICK_MS;
    for (int i = 0; i < ticks; i++) {
        for (int k = 0; k < ANSWERS; k++) {
            rg_admit_answered(a, &answer);
        }
        rg_admit_tick(a, TICK_MS, &load);
    }
}

/* Number of openings of a priority that are admitted, out of `count`. */
static int
admitted(struct rg_admit *a, uint32_t priority, int count)
{
    int found = 0;

    for (int i = 0; i < count; i++) {
        found += rg_admit_opening(a, priority, TARGET_MS);
    }
    return found;
}

/* Answers meet the target: nothing is refused, however busy the upstreams
 * are. */
static void
test_answers_in_time(void)
{
    struct rg_admit a = {0};

    run_ticks(&a, 20, TARGET_MS * 0.4, FEW_SLOTS);
    g_assert_cmpint(admitted(&a, ORDINARY, 100), ==, 100);
}

/* Answers are late although slots are free: the upstreams are slow, and
 * refusing flows would not make them faster. */
static void
test_slow_upstreams_with_free_slots(void)
{
    struct rg_admit a = {0};

    run_ticks(&a, 20, TARGET_MS * 3, MANY_SLOTS);
    g_assert_cmpint(admitted(&a, ORDINARY, 100), ==, 100);
}

/* The queue is as long as the target allows: only as many flows are admitted
 * as can be answered in time, and fewer of lower priority. */
static void
test_no_free_slots(void)
{
    struct rg_admit a = {0};

    run_ticks(&a, 40, TARGET_MS * 0.8, FEW_SLOTS);
    int ordinary = admitted(&a, ORDINARY, 100);
    g_assert_cmpint(ordinary, ==, 7);
    g_assert_cmpint(admitted(&a, IMPORTANT, 100), ==, 0);
    run_ticks(&a, 1, TARGET_MS * 0.8, FEW_SLOTS);
    ordinary = admitted(&a, ORDINARY, 100);
    g_assert_cmpint(ordinary, ==, ANSWERS / 10 - 1);
    g_assert_cmpint(admitted(&a, IMPORTANT, 100), ==, ANSWERS / 10);
    g_assert_cmpint(admitted(&a, ORDINARY, 100), ==, 0);
}

/* Each answer admits one more opening. */
static void
test_answer_frees_capacity(void)
{
    struct rg_admit a = {0};
    struct rg_admit_answer answer = {TARGET_MS, TARGET_MS, TARGET_MS};

    run_ticks(&a, 20, TARGET_MS * 2, FEW_SLOTS);
    g_assert_cmpint(admitted(&a, ORDINARY, 100), ==, 0);
    for (int i = 0; i < ANSWERS + 3; i++) {
        rg_admit_answered(&a, &answer);
    }
    /* 37 remain outstanding, and fewer than 40 are answered within the
     * target. */
    g_assert_cmpint(admitted(&a, ORDINARY, 100), ==, 2);
}

/* The overload ends: everything is admitted again at once. */
static void
test_overload_ends(void)
{
    struct rg_admit a = {0};

    run_ticks(&a, 20, TARGET_MS * 2, FEW_SLOTS);
    run_ticks(&a, 4, TARGET_MS * 0.3, FEW_SLOTS);
    g_assert_cmpint(admitted(&a, ORDINARY, 100), ==, 100);
}

/* Routes without a latency target contribute no slow answers and are always
 * admitted. Any priority is accepted. */
static void
test_no_target(void)
{
    struct rg_admit a = {0};
    struct rg_admit_answer answer = {100000, 100000, 0};
    struct rg_admit_load load = {.slots = 1, .open = 1000};

    rg_admit_answered(&a, &answer);
    g_assert_false(rg_admit_needs_load(&a));
    rg_admit_tick(&a, TICK_MS, &load);
    g_assert_true(rg_admit_opening(&a, UINT32_MAX, INFINITY));
    run_ticks(&a, 20, TARGET_MS * 2, FEW_SLOTS);
    g_assert_true(rg_admit_opening(&a, UINT32_MAX, INFINITY));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/admit/answers-in-time", test_answers_in_time);
    g_test_add_func("/admit/slow-upstreams-with-free-slots",
                    test_slow_upstreams_with_free_slots);
    g_test_add_func("/admit/no-free-slots", test_no_free_slots);
    g_test_add_func("/admit/answer-frees-capacity",
                    test_answer_frees_capacity);
    g_test_add_func("/admit/overload-ends", test_overload_ends);
    g_test_add_func("/admit/no-target", test_no_target);
    return g_test_run();
}
