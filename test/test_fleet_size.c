/* Fleet size estimate where each instance knows only a part of the fleet. */
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
estimate_of(size_t count)
{
    struct rg_fleet_size s = {0};

    for (size_t i = 0; i < count; i++) {
        rg_fleet_size_add(&s, hash_of(i), START_MS, START_MS);
        rg_fleet_size_add(&s, hash_of(i), START_MS, START_MS);
    }
    return s;
}

/* Small fleets are counted exactly. */
static void
test_exact(void)
{
    static const size_t sizes[] = {0, 1, 4, 26, RG_FLEET_SIZE_HASHES_MAX - 1};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct rg_fleet_size s = estimate_of(sizes[i]);
        g_assert_cmpuint(rg_fleet_size_estimate(&s), ==, sizes[i]);
    }
}

/* Large fleets are estimated with bounded state. */
static void
test_estimate(void)
{
    static const size_t sizes[] = {78, 300, 1600, 20000};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct rg_fleet_size s = estimate_of(sizes[i]);
        double ratio = (double)rg_fleet_size_estimate(&s) / (double)sizes[i];
        g_assert_cmpfloat(ratio, >, 0.75);
        g_assert_cmpfloat(ratio, <, 1.25);
    }
}

/* Instances that leave are not counted for ever, and hashes that had been
 * dropped because of them are learned again. */
static void
test_instances_leave(void)
{
    struct rg_fleet_size s = estimate_of(40);
    uint64_t later = START_MS + RG_FLEET_SIZE_EXPIRY_MS;

    for (uint64_t i = 0; i < 10; i++) {
        rg_fleet_size_add(&s, hash_of(i), later - 1, later - 1);
    }
    rg_fleet_size_expire(&s, later - 1);
    g_assert_cmpuint(rg_fleet_size_estimate(&s), ==, 40);
    rg_fleet_size_expire(&s, later);
    g_assert_cmpuint(rg_fleet_size_estimate(&s), ==, 10);
    /* A peer's report about a gone instance is too old to count. */
    rg_fleet_size_add(&s, hash_of(39), START_MS, later);
    g_assert_cmpuint(rg_fleet_size_estimate(&s), ==, 10);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fleet-size/exact", test_exact);
    g_test_add_func("/fleet-size/estimate", test_estimate);
    g_test_add_func("/fleet-size/instances-leave", test_instances_leave);
    return g_test_run();
}
