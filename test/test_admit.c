/* Admission: who is refused, when, and for how long. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "balance/admit.h"

#define TARGET_MS 100
#define TICK_MS 100
#define IMPORTANT 1
#define ORDINARY 2
/* Answers a tick. */
#define ANSWERS 40
#define MANY_SLOTS 1000
#define FEW_SLOTS 5

/* Ticks in which all answers come after `ms`. */
static void
answers(struct rg_admit *a, int ticks, double ms, double slots)
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

/* Openings of a priority that are admitted of `count`. */
static int
admitted(struct rg_admit *a, uint32_t priority, int count)
{
    int found = 0;

    for (int i = 0; i < count; i++) {
        found += rg_admit_opening(a, priority, TARGET_MS);
    }
    return found;
}

/* Answers in time: nobody is refused, however full the upstreams are. */
static void
test_in_time(void)
{
    struct rg_admit a = {0};

    answers(&a, 20, TARGET_MS * 0.4, FEW_SLOTS);
    g_assert_cmpint(admitted(&a, ORDINARY, 100), ==, 100);
}

/* Answers come late though slots are free: the upstreams are slow, and
 * refusing callers would not make them quicker. */
static void
test_slow_not_full(void)
{
    struct rg_admit a = {0};

    answers(&a, 20, TARGET_MS * 3, MANY_SLOTS);
    g_assert_cmpint(admitted(&a, ORDINARY, 100), ==, 100);
}

/* A queue as long as the target allows: no more are admitted than can be
 * answered in time, the less important ones fewer. */
static void
test_full(void)
{
    struct rg_admit a = {0};

    answers(&a, 40, TARGET_MS * 0.8, FEW_SLOTS);
    int ordinary = admitted(&a, ORDINARY, 100);
    g_assert_cmpint(ordinary, ==, 7);
    g_assert_cmpint(admitted(&a, IMPORTANT, 100), ==, 0);
    answers(&a, 1, TARGET_MS * 0.8, FEW_SLOTS);
    ordinary = admitted(&a, ORDINARY, 100);
    g_assert_cmpint(ordinary, ==, ANSWERS / 10 - 1);
    g_assert_cmpint(admitted(&a, IMPORTANT, 100), ==, ANSWERS / 10);
    g_assert_cmpint(admitted(&a, ORDINARY, 100), ==, 0);
}

/* Each answer makes room for one more. */
static void
test_room(void)
{
    struct rg_admit a = {0};
    struct rg_admit_answer answer = {TARGET_MS, TARGET_MS, TARGET_MS};

    answers(&a, 20, TARGET_MS * 2, FEW_SLOTS);
    g_assert_cmpint(admitted(&a, ORDINARY, 100), ==, 0);
    for (int i = 0; i < ANSWERS + 3; i++) {
        rg_admit_answered(&a, &answer);
    }
    /* 37 are left, and fewer than 40 are answered within the target. */
    g_assert_cmpint(admitted(&a, ORDINARY, 100), ==, 2);
}

/* The rush is over: everybody is admitted again at once. */
static void
test_ends(void)
{
    struct rg_admit a = {0};

    answers(&a, 20, TARGET_MS * 2, FEW_SLOTS);
    answers(&a, 4, TARGET_MS * 0.3, FEW_SLOTS);
    g_assert_cmpint(admitted(&a, ORDINARY, 100), ==, 100);
}

/* Routes without a target say nothing of slowness and are always admitted;
 * any priority is taken. */
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
    answers(&a, 20, TARGET_MS * 2, FEW_SLOTS);
    g_assert_true(rg_admit_opening(&a, UINT32_MAX, INFINITY));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/admit/in-time", test_in_time);
    g_test_add_func("/admit/slow-not-full", test_slow_not_full);
    g_test_add_func("/admit/full", test_full);
    g_test_add_func("/admit/room", test_room);
    g_test_add_func("/admit/ends", test_ends);
    g_test_add_func("/admit/no-target", test_no_target);
    return g_test_run();
}
