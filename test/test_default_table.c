/* The default table of a service: all instances map a hash to the same
 * upstream, and few hashes move when upstreams are added or removed. */
#include <glib.h>

#include "common/mem.h"
#include "common/rand.h"
#include "core/default_table.h"

#define HASHES 20000
#define FULL_WEIGHT 100 /* of an upstream with a full share */

/* Sets the members 1 to `count`, in slots from `first_slot` on, except the
 * member `without`; 0 for none. */
static void
set_members(struct rg_default_table *t, uint32_t count, uint32_t first_slot,
            uint32_t without)
{
    struct rg_default_table_member *members =
        rg_calloc(count, sizeof(*members));
    uint32_t n = 0;

    for (uint32_t id = 1; id <= count; id++) {
        if (id != without) {
            members[n++] = (struct rg_default_table_member){
                id, first_slot + id, FULL_WEIGHT};
        }
    }
    rg_default_table_set(t, members, n);
}

static uint32_t
pick(const struct rg_default_table *t, uint32_t i)
{
    return rg_default_table_pick(t, rg_mix64(i + 1), 0);
}

/* Instances number slots differently. If the table depended on slots instead
 * of identities, they would choose different upstreams. */
static void
test_independent_of_slots(void)
{
    struct rg_default_table a = {0};
    struct rg_default_table b = {0};

    set_members(&a, 40, 0, 0);
    set_members(&b, 40, 1000, 0);
    for (uint32_t i = 0; i < HASHES; i++) {
        g_assert_cmpuint(pick(&a, i) + 1000, ==, pick(&b, i));
    }
    rg_default_table_clear(&a);
    rg_default_table_clear(&b);
}

/* When a member is removed, only its own hashes may move; others would lose
 * their flows' upstream. */
static void
test_removal_moves_few_hashes(void)
{
    struct rg_default_table before = {0};
    struct rg_default_table after = {0};
    uint32_t moved = 0;

    set_members(&before, 40, 0, 0);
    set_members(&after, 40, 0, 7);
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

/* A member's share of the hashes follows its weight. */
static void
test_weights(void)
{
    struct rg_default_table t = {0};
    struct rg_default_table_member *members = rg_calloc(2, sizeof(*members));
    uint32_t light = 0;

    members[0] = (struct rg_default_table_member){1, 0, FULL_WEIGHT};
    members[1] = (struct rg_default_table_member){2, 1, FULL_WEIGHT / 4};
    rg_default_table_set(&t, members, 2);
    for (uint32_t i = 0; i < HASHES; i++) {
        light += pick(&t, i) == 1;
    }
    /* A fifth, within 4 standard deviations for 256 random entries. */
    g_assert_cmpuint(light, >, HASHES / 10);
    g_assert_cmpuint(light, <, HASHES * 3 / 10);
    rg_default_table_clear(&t);
}

/* A new configuration that leaves a service's members unchanged must not
 * compute its table again. */
static void
test_unchanged_members_keep_entries(void)
{
    struct rg_default_table t = {0};

    set_members(&t, 10, 0, 0);
    const uint16_t *entries = t.entries;
    t.entries[0] ^= 1; /* reveals whether entries are computed again */
    uint16_t changed = t.entries[0];
    set_members(&t, 10, 0, 0);
    g_assert_true(t.entries == entries);
    g_assert_cmpuint(t.entries[0], ==, changed);
    set_members(&t, 10, 0, 3);
    g_assert_cmpuint(t.member_count, ==, 9);
    for (uint32_t i = 0; i < t.size; i++) {
        g_assert_cmpuint(t.entries[i], <, 9);
    }
    rg_default_table_clear(&t);
}

/* A table without members is empty, and can be filled again. */
static void
test_empty_and_refill(void)
{
    struct rg_default_table t = {0};

    set_members(&t, 1, 0, 0);
    g_assert_cmpuint(pick(&t, 5), ==, 1);
    set_members(&t, 1, 0, 1);
    g_assert_cmpuint(t.size, ==, 0);
    set_members(&t, 1, 0, 0);
    g_assert_cmpuint(pick(&t, 5), ==, 1);
    rg_default_table_clear(&t);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/default-table/independent-of-slots",
                    test_independent_of_slots);
    g_test_add_func("/default-table/removal-moves-few-hashes",
                    test_removal_moves_few_hashes);
    g_test_add_func("/default-table/weights", test_weights);
    g_test_add_func("/default-table/unchanged-members-keep-entries",
                    test_unchanged_members_keep_entries);
    g_test_add_func("/default-table/empty-and-refill", test_empty_and_refill);
    return g_test_run();
}
