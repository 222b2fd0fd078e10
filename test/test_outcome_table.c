/* Table of outcomes shared among instances: rows are not counted twice, they
 * expire, and the most urgent ones are sent first. */
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
put(struct rg_outcome_table *t, struct rg_outcome_row row)
{
    return rg_outcome_table_put(t, &row, START_MS);
}

/* A row arrives by several paths and out of order. Nothing may be counted
 * twice, and an older row must not replace a newer one. */
static void
test_no_duplicates(void)
{
    struct rg_outcome_table *t = rg_outcome_table_create(SELF);

    g_assert_true(put(t, row_of(TOKEN, OTHER, 2, 2)));
    g_assert_false(put(t, row_of(TOKEN, OTHER, 2, 2)));
    g_assert_false(put(t, row_of(TOKEN, OTHER, 1, 1)));
    g_assert_true(put(t, row_of(TOKEN, OTHER + 1, 1, 1)));
    g_assert_true(put(t, row_of(TOKEN + 1, OTHER, 5, 9)));
    struct rg_outcome_sum sum = rg_outcome_table_sum_others(t, TOKEN, 0);
    g_assert_cmpuint(sum.counts[RG_OUTCOME_FAILED], ==, 3);
    g_assert_true(put(t, row_of(TOKEN, OTHER, 3, 4)));
    sum = rg_outcome_table_sum_others(t, TOKEN, 0);
    g_assert_cmpuint(sum.counts[RG_OUTCOME_FAILED], ==, 5);
    rg_outcome_table_destroy(t);
}

/* The sum of reported outcomes contains neither those of this instance nor
 * those from before the last change of the outlier state. */
static void
test_sum_of_others(void)
{
    struct rg_outcome_table *t = rg_outcome_table_create(SELF);

    put(t, row_of(TOKEN, SELF, 1, 3));
    g_assert_cmpuint(
        rg_outcome_table_sum_others(t, TOKEN, 0).counts[RG_OUTCOME_FAILED], ==,
        0);
    put(t, row_of(TOKEN, OTHER, 1, 3));
    g_assert_cmpuint(rg_outcome_table_sum_others(t, TOKEN, START_MS)
                         .counts[RG_OUTCOME_FAILED],
                     ==, 0);
    g_assert_cmpuint(rg_outcome_table_sum_others(t, TOKEN, START_MS - 1)
                         .counts[RG_OUTCOME_FAILED],
                     ==, 3);
    rg_outcome_table_destroy(t);
}

/* Own failures are sent at once and before forwarded rows. Each row is sent a
 * few times, and at most once per message. */
static void
test_sending(void)
{
    struct rg_outcome_table *t = rg_outcome_table_create(SELF);
    struct rg_outcome_row out[4];

    put(t, row_of(TOKEN, OTHER, 1, 1));
    g_assert_false(rg_outcome_table_has_unsent_own(t));
    put(t, row_of(TOKEN, SELF, 1, 1));
    g_assert_true(rg_outcome_table_has_unsent_own(t));
    g_assert_cmpuint(rg_outcome_table_next(t, out, 1), ==, 1);
    g_assert_cmpuint(out[0].source, ==, SELF);
    g_assert_false(rg_outcome_table_has_unsent_own(t));
    g_assert_cmpuint(rg_outcome_table_next(t, out, 4), ==, 2);
    uint32_t calls = 0;
    while (calls < 100 && rg_outcome_table_next(t, out, 4) > 0) {
        calls++;
    }
    g_assert_cmpuint(calls, <, 5);
    put(t, row_of(TOKEN, SELF, 2, 2));
    g_assert_true(rg_outcome_table_has_unsent_own(t));
    rg_outcome_table_destroy(t);
}

/* More rows arrive than the table holds, as when a whole data centre becomes
 * silent. The table stays bounded and keeps the newest. */
static void
test_table_full(void)
{
    struct rg_outcome_table *t = rg_outcome_table_create(SELF);

    for (uint32_t i = 0; i < 3 * RG_OUTCOME_ROWS_MAX; i++) {
        struct rg_outcome_row row = row_of(TOKEN + i, OTHER, 1, 1);
        row.last_ms = START_MS + i;
        g_assert_true(rg_outcome_table_put(t, &row, START_MS + i));
    }
    g_assert_cmpuint(rg_outcome_table_count(t), ==, RG_OUTCOME_ROWS_MAX);
    uint32_t newest = TOKEN + 3 * RG_OUTCOME_ROWS_MAX - 1;
    g_assert_cmpuint(
        rg_outcome_table_sum_others(t, newest, 0).counts[RG_OUTCOME_FAILED],
        ==, 1);
    rg_outcome_table_destroy(t);
}

/* An instance that was suspended forwards rows that have expired meanwhile.
 * They are rejected. */
static void
test_expired_rows(void)
{
    struct rg_outcome_table *t = rg_outcome_table_create(SELF);
    struct rg_outcome_row row = row_of(TOKEN, OTHER, 1, 1);
    uint64_t end = START_MS + RG_OUTCOME_ROW_LIFETIME_MS;

    g_assert_false(rg_outcome_table_put(t, &row, end));
    g_assert_true(rg_outcome_table_put(t, &row, end - 1));
    g_assert_cmpuint(rg_outcome_table_expire(t, end - 1), ==, 0);
    g_assert_cmpuint(rg_outcome_table_expire(t, end), ==, TOKEN);
    g_assert_cmpuint(rg_outcome_table_expire(t, end), ==, 0);
    g_assert_cmpuint(rg_outcome_table_count(t), ==, 0);
    rg_outcome_table_destroy(t);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/outcome-table/no-duplicates", test_no_duplicates);
    g_test_add_func("/outcome-table/sum-of-others", test_sum_of_others);
    g_test_add_func("/outcome-table/sending", test_sending);
    g_test_add_func("/outcome-table/table-full", test_table_full);
    g_test_add_func("/outcome-table/expired-rows", test_expired_rows);
    return g_test_run();
}
