/* Instances that are registered in the store: which of them count, in whatever
 * order changes arrive. */
#include <glib.h>

#include "balance/instances.h"

#define START_MS 5000

static struct rg_addr
addr_of(uint32_t id)
{
    g_autofree char *text = g_strdup_printf("10.0.0.%u:7000", id);
    struct rg_addr a;

    g_assert_true(rg_addr_parse(&a, text));
    return a;
}

static void
add(struct rg_instances *x, uint32_t id, uint64_t revision)
{
    struct rg_addr addr = addr_of(id);

    rg_instances_update(x, id, &addr, revision);
}

/* Number of instances that count. */
static int
count(const struct rg_instances *x, uint64_t now_ms)
{
    int n = 0;

    for (size_t i = 0; i < rg_instances_count(x); i++) {
        n += rg_instance_counts(rg_instances_at(x, i), now_ms);
    }
    return n;
}

/* Guards against an instance that is gone coming back by an older message, and
 * one that has come back being removed by one. */
static void
test_any_order(void)
{
    struct rg_instances *x = rg_instances_create();
    uint64_t later_ms = START_MS + RG_INSTANCES_GRACE_MS;

    add(x, 1, 10);
    rg_instances_remove(x, 1, 12, START_MS);
    add(x, 1, 11);
    g_assert_cmpint(count(x, later_ms), ==, 0);
    add(x, 1, 14);
    rg_instances_remove(x, 1, 13, START_MS);
    g_assert_cmpint(count(x, later_ms), ==, 1);
    rg_instances_remove(x, 2, 15, START_MS); /* never known */
    g_assert_cmpint(count(x, later_ms), ==, 1);
    rg_instances_destroy(x);
}

/* Guards against a fleet without homes after a restore of the store: all
 * registrations are missing until they are written again. */
static void
test_restore(void)
{
    struct rg_instances *x = rg_instances_create();

    rg_instances_begin_listing(x);
    for (uint32_t id = 1; id <= 4; id++) {
        add(x, id, id);
    }
    g_assert_false(rg_instances_are_complete(x));
    rg_instances_end_listing(x, 10, START_MS);
    g_assert_true(rg_instances_are_complete(x));
    /* A listing that may be older than what is known removes nothing. */
    rg_instances_begin_listing(x);
    rg_instances_end_listing(x, 0, START_MS);
    g_assert_cmpint(count(x, START_MS + RG_INSTANCES_GRACE_MS), ==, 4);
    rg_instances_begin_listing(x);
    rg_instances_end_listing(x, 20, START_MS);
    g_assert_cmpint(count(x, START_MS + RG_INSTANCES_GRACE_MS - 1), ==, 4);
    add(x, 1, 21);
    g_assert_cmpint(count(x, START_MS + RG_INSTANCES_GRACE_MS), ==, 1);
    rg_instances_destroy(x);
}

/* Guards against unbounded memory, and against a table that stays full of
 * instances that are gone. */
static void
test_bounded(void)
{
    struct rg_instances *x = rg_instances_create();
    struct rg_addr addr = addr_of(1);

    for (uint32_t id = 1; id <= RG_INSTANCES_MAX + 10; id++) {
        rg_instances_update(x, id, &addr, 1);
    }
    g_assert_cmpuint(rg_instances_count(x), ==, RG_INSTANCES_MAX);
    for (uint32_t id = 1; id <= RG_INSTANCES_MAX; id++) {
        rg_instances_remove(x, id, 2, START_MS);
    }
    rg_instances_begin_listing(x);
    rg_instances_end_listing(x, 3, START_MS + RG_INSTANCES_REMOVED_KEPT_MS);
    g_assert_cmpuint(rg_instances_count(x), ==, 0);
    rg_instances_destroy(x);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/instances/any-order", test_any_order);
    g_test_add_func("/instances/restore", test_restore);
    g_test_add_func("/instances/bounded", test_bounded);
    return g_test_run();
}
