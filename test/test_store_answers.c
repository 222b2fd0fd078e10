/* What is known of the latest answers of the store to any instance. */
#include <glib.h>

#include "balance/store_answers.h"

static void
note(struct rg_store_answers *s, uint32_t source, uint32_t serial,
     uint64_t at_ms)
{
    struct rg_store_answer a = {
        .source = source, .serial = serial, .at_ms = at_ms};

    rg_store_answers_note(s, &a);
}

static uint64_t
latest_ms(const struct rg_store_answers *s)
{
    return rg_store_answers_latest(s)->at_ms;
}

/* Guards against an answer that becomes younger each time that it is heard of
 * by way of a slow link. */
static void
test_same_answer(void)
{
    struct rg_store_answers s = {0};

    g_assert_cmpuint(latest_ms(&s), ==, 0);
    note(&s, 1, 5, 1000);
    for (uint64_t late_ms = 600; late_ms < 6000; late_ms += 600) {
        note(&s, 1, 5, 1000 + late_ms);
        note(&s, 1, 4, 1000 + late_ms);
    }
    g_assert_cmpuint(latest_ms(&s), ==, 1000);
    note(&s, 1, 5, 900);
    g_assert_cmpuint(latest_ms(&s), ==, 900);
    note(&s, 1, 6, 2000);
    g_assert_cmpuint(latest_ms(&s), ==, 2000);
    /* Numbers wrap around. */
    note(&s, 2, UINT32_MAX, 3000);
    note(&s, 2, 0, 3500);
    g_assert_cmpuint(latest_ms(&s), ==, 3500);
}

/* The same while two instances read the store by turns, and no longer. */
static void
test_two_sources(void)
{
    struct rg_store_answers s = {0};

    note(&s, 1, 5, 1000);
    note(&s, 2, 9, 1200);
    for (uint64_t late_ms = 600; late_ms < 6000; late_ms += 600) {
        note(&s, 1, 5, 1000 + late_ms);
        note(&s, 2, 9, 1200 + late_ms);
    }
    g_assert_cmpuint(latest_ms(&s), ==, 1200);
}

/* More sources than are remembered: the oldest are replaced. */
static void
test_many_sources(void)
{
    struct rg_store_answers s = {0};

    for (uint32_t i = 1; i <= 100; i++) {
        note(&s, i, 1, 1000 + i);
        g_assert_cmpuint(latest_ms(&s), ==, 1000 + i);
        note(&s, 1000 + i, 1, 10); /* older than all that are known */
    }
    g_assert_cmpuint(rg_store_answers_latest(&s)->source, ==, 100);
}

/* Digests of older builds do not tell the source; the latest time counts. */
static void
test_older_builds(void)
{
    struct rg_store_answers s = {0};

    note(&s, 0, 0, 1000);
    note(&s, 0, 0, 1600);
    note(&s, 0, 0, 1200);
    note(&s, 0, 0, 0);
    g_assert_cmpuint(latest_ms(&s), ==, 1600);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store-answers/same-answer", test_same_answer);
    g_test_add_func("/store-answers/two-sources", test_two_sources);
    g_test_add_func("/store-answers/many-sources", test_many_sources);
    g_test_add_func("/store-answers/older-builds", test_older_builds);
    return g_test_run();
}
