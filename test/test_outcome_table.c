/* Outcomes told between instances: nothing counted twice, nothing kept for
 * ever, the most urgent first. */
#include <glib.h>

#include "balance/outcome_table.h"

#define SELF 7
#define OTHER 8
#define TOKEN 100
#define START_MS 100000

static struct rg_outcome_row
row_of(uint32_t token, uint32_t source, uint32_t serial, uint32_t failed)
{
    return (struct rg_outcome_row){
        .token = token,
        .source = source,
        .serial = serial,
        .counts = {[RG_OUTCOME_FAILED] = failed},
        .last_ms = START_MS,
        .failed_ms = START_MS,
    };
}

static bool
put(struct rg_outcome_table *p, struct rg_outcome_row row)
{
    return rg_outcome_table_put(p, &row, START_MS);
}

/* Pattern: a row arrives by several ways, and late. */
static void
test_nothing_twice(void)
{
    struct rg_outcome_table *p = rg_outcome_table_create(SELF);

    g_assert_true(put(p, row_of(TOKEN, OTHER, 2, 2)));
    g_assert_false(put(p, row_of(TOKEN, OTHER, 2, 2)));
    g_assert_false(put(p, row_of(TOKEN, OTHER, 1, 1)));
    g_assert_true(put(p, row_of(TOKEN, OTHER + 1, 1, 1)));
    g_assert_true(put(p, row_of(TOKEN + 1, OTHER, 5, 9)));
    struct rg_outcome_sum sum = rg_outcome_table_sum_others(p, TOKEN, 0);
    g_assert_cmpuint(sum.counts[RG_OUTCOME_FAILED], ==, 3);
    g_assert_true(put(p, row_of(TOKEN, OTHER, 3, 4)));
    sum = rg_outcome_table_sum_others(p, TOKEN, 0);
    g_assert_cmpuint(sum.counts[RG_OUTCOME_FAILED], ==, 5);
    rg_outcome_table_destroy(p);
}

/* What this instance has seen itself, and what was judged already, is not
 * among what others say. */
static void
test_others(void)
{
    struct rg_outcome_table *p = rg_outcome_table_create(SELF);

    put(p, row_of(TOKEN, SELF, 1, 3));
    g_assert_cmpuint(
        rg_outcome_table_sum_others(p, TOKEN, 0).counts[RG_OUTCOME_FAILED], ==,
        0);
    put(p, row_of(TOKEN, OTHER, 1, 3));
    g_assert_cmpuint(rg_outcome_table_sum_others(p, TOKEN, START_MS)
                         .counts[RG_OUTCOME_FAILED],
                     ==, 0);
    g_assert_cmpuint(rg_outcome_table_sum_others(p, TOKEN, START_MS - 1)
                         .counts[RG_OUTCOME_FAILED],
                     ==, 3);
    rg_outcome_table_destroy(p);
}

/* Own failures are told at once, before what others have told, and each row a
 * few times only, never twice in one message. */
static void
test_telling(void)
{
    struct rg_outcome_table *p = rg_outcome_table_create(SELF);
    struct rg_outcome_row out[4];

    put(p, row_of(TOKEN, OTHER, 1, 1));
    g_assert_false(rg_outcome_table_has_unsent_failure(p));
    put(p, row_of(TOKEN, SELF, 1, 1));
    g_assert_true(rg_outcome_table_has_unsent_failure(p));
    g_assert_cmpuint(rg_outcome_table_next(p, out, 1), ==, 1);
    g_assert_cmpuint(out[0].source, ==, SELF);
    g_assert_false(rg_outcome_table_has_unsent_failure(p));
    g_assert_cmpuint(rg_outcome_table_next(p, out, 4), ==, 2);
    uint32_t told = 0;
    while (told < 100 && rg_outcome_table_next(p, out, 4) > 0) {
        told++;
    }
    g_assert_cmpuint(told, <, 5);
    put(p, row_of(TOKEN, SELF, 2, 2));
    g_assert_true(rg_outcome_table_has_unsent_failure(p));
    rg_outcome_table_destroy(p);
}

/* Pattern: more news than room, as when a data centre falls silent. */
static void
test_bounded(void)
{
    struct rg_outcome_table *p = rg_outcome_table_create(SELF);

    for (uint32_t i = 0; i < 3 * RG_OUTCOME_ROWS_MAX; i++) {
        struct rg_outcome_row row = row_of(TOKEN + i, OTHER, 1, 1);
        row.last_ms = START_MS + i;
        g_assert_true(rg_outcome_table_put(p, &row, START_MS + i));
    }
    g_assert_cmpuint(rg_outcome_table_count(p), ==, RG_OUTCOME_ROWS_MAX);
    uint32_t newest = TOKEN + 3 * RG_OUTCOME_ROWS_MAX - 1;
    g_assert_cmpuint(
        rg_outcome_table_sum_others(p, newest, 0).counts[RG_OUTCOME_FAILED],
        ==, 1);
    rg_outcome_table_destroy(p);
}

/* Pattern: an instance was paused and passes on what it knew before. */
static void
test_too_old(void)
{
    struct rg_outcome_table *p = rg_outcome_table_create(SELF);
    struct rg_outcome_row row = row_of(TOKEN, OTHER, 1, 1);
    uint64_t end = START_MS + RG_OUTCOME_ROW_LIFETIME_MS;

    g_assert_false(rg_outcome_table_put(p, &row, end));
    g_assert_true(rg_outcome_table_put(p, &row, end - 1));
    g_assert_cmpuint(rg_outcome_table_expire(p, end - 1), ==, 0);
    g_assert_cmpuint(rg_outcome_table_expire(p, end), ==, TOKEN);
    g_assert_cmpuint(rg_outcome_table_expire(p, end), ==, 0);
    g_assert_cmpuint(rg_outcome_table_count(p), ==, 0);
    rg_outcome_table_destroy(p);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooled/nothing-twice", test_nothing_twice);
    g_test_add_func("/pooled/others", test_others);
    g_test_add_func("/pooled/telling", test_telling);
    g_test_add_func("/pooled/bounded", test_bounded);
    g_test_add_func("/pooled/too-old", test_too_old);
    return g_test_run();
}
