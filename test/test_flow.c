/* The flow table: records are found, its limits hold, and records are evicted
 * and expire in the right order. */
#include <glib.h>
#include <string.h>

#include "common/rand.h"
#include "core/flow.h"

#define SEED 5

static struct rg_flow_table *
make_table(uint32_t capacity)
{
    struct rg_flow_table_opts opts = {
        .hash_seed = SEED,
        .capacity = capacity,
        .idle_ms = {1000, 100000, 500, 700},
        .udp_idle_ms = 4000,
    };

    return rg_flow_table_create(&opts);
}

static struct rg_flow_key
key_of(uint32_t n, uint8_t proto)
{
    struct rg_flow_key key = {.dport = 80, .proto = proto};

    memcpy(key.src + 12, &n, sizeof(n));
    return key;
}

static struct rg_flow *
put(struct rg_flow_table *t, uint32_t n, enum rg_flow_state state,
    uint32_t now)
{
    struct rg_flow_key key = key_of(n, RG_PROTO_TCP);

    return rg_flow_insert(t, &key, rg_flow_hash(&key, SEED), state, now);
}

static struct rg_flow *
get(struct rg_flow_table *t, uint32_t n)
{
    struct rg_flow_key key = key_of(n, RG_PROTO_TCP);

    return rg_flow_find(t, &key, rg_flow_hash(&key, SEED));
}

/* Random insertions, removals and touches, compared with a plain set. Guards
 * against index slots that are lost when another slot is deleted. */
static void
test_matches_reference_set(void)
{
    enum {
        KEYS = 3000,
        ROUNDS = 200000
    };
    struct rg_flow_table *t = make_table(KEYS);
    struct rg_rand rand = {.state = 1};
    static bool present[KEYS];
    uint32_t count = 0;

    for (int i = 0; i < ROUNDS; i++) {
        uint32_t n = rg_rand_below(&rand, KEYS);
        struct rg_flow *f = get(t, n);
        g_assert_cmpint(f != NULL, ==, present[n]);
        if (!f) {
            g_assert_nonnull(put(t, n, RG_FLOW_ESTABLISHED, 0));
        }
        else if (rg_rand_below(&rand, 3) == 0) {
            rg_flow_touch(t, f, RG_FLOW_CLOSING, 0);
            continue;
        }
        else {
            rg_flow_remove(t, f);
        }
        present[n] = !f;
        count += f ? -1u : 1u;
        g_assert_cmpuint(rg_flow_count(t), ==, count);
    }
    rg_flow_table_destroy(t);
}

/* A flood of openings must not evict established flows or exceed its quota. */
static void
test_opening_flood_keeps_established(void)
{
    struct rg_flow_table *t = make_table(1000);

    for (uint32_t n = 0; n < 700; n++) {
        put(t, n, RG_FLOW_ESTABLISHED, 0);
    }
    for (uint32_t n = 10000; n < 60000; n++) {
        g_assert_nonnull(put(t, n, RG_FLOW_OPENING, 1));
    }
    for (uint32_t n = 0; n < 700; n++) {
        g_assert_nonnull(get(t, n));
    }
    g_assert_cmpuint(rg_flow_count_state(t, RG_FLOW_OPENING), <=, 250);
    rg_flow_table_destroy(t);
}

/* A full table may evict idle established flows only; it must refuse a new
 * record rather than evict an active flow. */
static void
test_idle_evicted_before_active(void)
{
    struct rg_flow_table *t = make_table(100);

    for (uint32_t n = 0; n < 100; n++) {
        put(t, n, RG_FLOW_ESTABLISHED, 0);
    }
    /* No record has been idle for a quarter of its timeout yet. */
    g_assert_null(put(t, 500, RG_FLOW_ESTABLISHED, 1000));
    for (uint32_t n = 0; n < 100; n += 2) {
        rg_flow_touch(t, get(t, n), RG_FLOW_ESTABLISHED, 29000);
    }
    for (uint32_t n = 500; n < 550; n++) {
        g_assert_nonnull(put(t, n, RG_FLOW_ESTABLISHED, 30000));
    }
    for (uint32_t n = 0; n < 100; n += 2) {
        g_assert_nonnull(get(t, n));
    }
    g_assert_null(put(t, 600, RG_FLOW_ESTABLISHED, 30000));
    rg_flow_table_destroy(t);
}

/* Each state, and UDP, has its own idle timeout. */
static void
test_expiry_by_state(void)
{
    struct rg_flow_table *t = make_table(100);
    struct rg_flow_key udp = key_of(9, RG_PROTO_UDP);

    put(t, 1, RG_FLOW_OPENING, 0);
    put(t, 2, RG_FLOW_ESTABLISHED, 0);
    put(t, 3, RG_FLOW_CLOSING, 0);
    rg_flow_insert(t, &udp, rg_flow_hash(&udp, SEED), RG_FLOW_ESTABLISHED, 0);
    rg_flow_expire(t, 600, 100);
    g_assert_null(get(t, 3));
    g_assert_nonnull(get(t, 1));
    rg_flow_expire(t, 4500, 100);
    g_assert_null(get(t, 1));
    g_assert_null(rg_flow_find(t, &udp, rg_flow_hash(&udp, SEED)));
    g_assert_nonnull(get(t, 2));
    rg_flow_expire(t, 100001, 100);
    g_assert_cmpuint(rg_flow_count(t), ==, 0);
    rg_flow_table_destroy(t);
}

/* The 32-bit time in ms wraps after 49 days; a record from before must neither
 * expire early nor stay. */
static void
test_time_wraps(void)
{
    struct rg_flow_table *t = make_table(10);

    put(t, 1, RG_FLOW_OPENING, UINT32_MAX - 100);
    rg_flow_expire(t, 500, 10);
    g_assert_nonnull(get(t, 1));
    rg_flow_expire(t, 1000, 10);
    g_assert_null(get(t, 1));
    rg_flow_table_destroy(t);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow/matches-reference-set", test_matches_reference_set);
    g_test_add_func("/flow/opening-flood",
                    test_opening_flood_keeps_established);
    g_test_add_func("/flow/idle-evicted-before-active",
                    test_idle_evicted_before_active);
    g_test_add_func("/flow/expiry-by-state", test_expiry_by_state);
    g_test_add_func("/flow/time-wraps", test_time_wraps);
    return g_test_run();
}
