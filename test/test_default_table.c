/* The default table of a service: same hash, same upstream everywhere, and few
 * hashes that move when upstreams come or go. */
#include <glib.h>

#include "common/mem.h"
#include "common/rand.h"
#include "core/default_table.h"

#define HASHES 20000
#define WHOLE 100 /* weight of a whole upstream */

/* Members 1 to `count` in slots from `first_slot`, without the member
 * `without`, 0 for none. */
static void
set(struct rg_default_table *t, uint32_t count, uint32_t first_slot,
    uint32_t without)
{
    struct rg_default_table_member *members =
        rg_calloc(count, sizeof(*members));
    uint32_t n = 0;

    for (uint32_t id = 1; id <= count; id++) {
        if (id != without) {
            members[n++] =
                (struct rg_default_table_member){id, first_slot + id, WHOLE};
        }
    }
    rg_default_table_set(t, members, n);
}

static uint32_t
pick(const struct rg_default_table *t, uint32_t i)
{
    return rg_default_table_pick(t, rg_mix64(i + 1), 0);
}

/* Instances give slots as they like; identities place the hashes. */
static void
test_same_everywhere(void)
{
    struct rg_default_table a = {0};
    struct rg_default_table b = {0};

    set(&a, 40, 0, 0);
    set(&b, 40, 1000, 0);
    for (uint32_t i = 0; i < HASHES; i++) {
        g_assert_cmpuint(pick(&a, i) + 1000, ==, pick(&b, i));
    }
    rg_default_table_clear(&a);
    rg_default_table_clear(&b);
}

/* Only the hashes of the one that went lead elsewhere. */
static void
test_one_goes(void)
{
    struct rg_default_table before = {0};
    struct rg_default_table after = {0};
    uint32_t moved = 0;

    set(&before, 40, 0, 0);
    set(&after, 40, 0, 7);
    g_assert_cmpuint(before.size, ==, after.size);
    for (uint32_t i = 0; i < HASHES; i++) {
        g_assert_cmpuint(pick(&after, i), !=, 7);
        if (pick(&before, i) != pick(&after, i)) {
            g_assert_cmpuint(pick(&before, i), ==, 7);
            moved++;
        }
    }
    g_assert_cmpuint(moved, >, 0);
    rg_default_table_clear(&before);
    rg_default_table_clear(&after);
}

static void
test_weights(void)
{
    struct rg_default_table t = {0};
    struct rg_default_table_member *members = rg_calloc(2, sizeof(*members));
    uint32_t light = 0;

    members[0] = (struct rg_default_table_member){1, 0, WHOLE};
    members[1] = (struct rg_default_table_member){2, 1, WHOLE / 4};
    rg_default_table_set(&t, members, 2);
    for (uint32_t i = 0; i < HASHES; i++) {
        light += pick(&t, i) == 1;
    }
    /* A fifth, within what 256 entries drawn at random allow (4 sigma). */
    g_assert_cmpuint(light, >, HASHES / 10);
    g_assert_cmpuint(light, <, HASHES * 3 / 10);
    rg_default_table_clear(&t);
}

/* A configuration that changes nothing for a service costs no filling. */
static void
test_unchanged_is_kept(void)
{
    struct rg_default_table t = {0};

    set(&t, 10, 0, 0);
    const uint16_t *entries = t.entries;
    t.entries[0] ^= 1; /* shows whether the table is filled again */
    uint16_t mark = t.entries[0];
    set(&t, 10, 0, 0);
    g_assert_true(t.entries == entries);
    g_assert_cmpuint(t.entries[0], ==, mark);
    set(&t, 10, 0, 3);
    g_assert_cmpuint(t.member_count, ==, 9);
    for (uint32_t i = 0; i < t.size; i++) {
        g_assert_cmpuint(t.entries[i], <, 9);
    }
    rg_default_table_clear(&t);
}

static void
test_emptied(void)
{
    struct rg_default_table t = {0};

    set(&t, 1, 0, 0);
    g_assert_cmpuint(pick(&t, 5), ==, 1);
    set(&t, 1, 0, 1);
    g_assert_cmpuint(t.size, ==, 0);
    set(&t, 1, 0, 0);
    g_assert_cmpuint(pick(&t, 5), ==, 1);
    rg_default_table_clear(&t);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/table/same-everywhere", test_same_everywhere);
    g_test_add_func("/table/one-goes", test_one_goes);
    g_test_add_func("/table/weights", test_weights);
    g_test_add_func("/table/unchanged-is-kept", test_unchanged_is_kept);
    g_test_add_func("/table/emptied", test_emptied);
    return g_test_run();
}
