/* The size of a fleet of which each instance knows a part. */
#include <glib.h>

#include "balance/fleet_size.h"
#include "common/rand.h"

#define START_MS 100000

static uint32_t
hash_of(uint64_t i)
{
    return (uint32_t)(rg_mix64(i + 1) >> 32);
}

static struct rg_fleet_size
census_of(size_t count)
{
    struct rg_fleet_size c = {0};

    for (size_t i = 0; i < count; i++) {
        rg_fleet_size_add(&c, hash_of(i), START_MS, START_MS);
        rg_fleet_size_add(&c, hash_of(i), START_MS, START_MS);
    }
    return c;
}

/* Small fleets are counted. */
static void
test_exact(void)
{
    static const size_t sizes[] = {0, 1, 4, 26, RG_FLEET_SIZE_HASHES_MAX - 1};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct rg_fleet_size c = census_of(sizes[i]);
        g_assert_cmpuint(rg_fleet_size_estimate(&c), ==, sizes[i]);
    }
}

/* Large ones are estimated, from as much state. */
static void
test_estimate(void)
{
    static const size_t sizes[] = {78, 300, 1600, 20000};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct rg_fleet_size c = census_of(sizes[i]);
        double ratio = (double)rg_fleet_size_estimate(&c) / (double)sizes[i];
        g_assert_cmpfloat(ratio, >, 0.75);
        g_assert_cmpfloat(ratio, <, 1.25);
    }
}

/* Pattern: instances go for good. They are not counted for ever, and those
 * behind them in the order are learnt again. */
static void
test_gone(void)
{
    struct rg_fleet_size c = census_of(40);
    uint64_t later = START_MS + RG_FLEET_SIZE_EXPIRY_MS;

    for (uint64_t i = 0; i < 10; i++) {
        rg_fleet_size_add(&c, hash_of(i), later - 1, later - 1);
    }
    rg_fleet_size_expire(&c, later - 1);
    g_assert_cmpuint(rg_fleet_size_estimate(&c), ==, 40);
    rg_fleet_size_expire(&c, later);
    g_assert_cmpuint(rg_fleet_size_estimate(&c), ==, 10);
    /* What another still tells of them is too old. */
    rg_fleet_size_add(&c, hash_of(39), START_MS, later);
    g_assert_cmpuint(rg_fleet_size_estimate(&c), ==, 10);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/census/exact", test_exact);
    g_test_add_func("/census/estimate", test_estimate);
    g_test_add_func("/census/gone", test_gone);
    return g_test_run();
}
