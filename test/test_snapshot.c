/* A view passed between instances: whole or not at all, never older. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "balance/snapshot.h"
#include "common/rand.h"

#define SEED 31
#define ROUNDS 3000
#define ROUTES 40
#define UPSTREAMS 50

static struct rg_name
name(const char *format, int i)
{
    struct rg_name n;
    char text[32];

    snprintf(text, sizeof(text), format, i);
    g_assert_true(rg_name_set(&n, rg_str_of(text)));
    return n;
}

static struct rg_balancer *
make_balancer(void)
{
    struct rg_balancer_opts opts = {
        .data_centre = name("dc%d", 1),
        .flow_age_ms = 60000,
        .stale_ms = 3000,
        .tracked_flows = 64,
    };

    return rg_balancer_create(&opts, 1000);
}

static void
add_upstream(struct rg_balancer *b, int i, bool draining, uint64_t revision)
{
    struct rg_endpoint_info r = {
        .id = name("u-%x", i),
        .wire_id = (uint64_t)i,
        .boot_ms = 7,
        .service = name("shop%d", i % 3),
        .data_centre = name("dc%d", i % 2),
        .slots = 2,
        .draining = draining,
        .cold_left_ms = 500,
    };

    rg_addr_parse(&r.addr, "10.0.0.1:80");
    rg_pool_update(rg_balancer_pool(b), &r, revision, 1000);
}

static struct rg_balancer *
full_balancer(uint64_t version)
{
    struct rg_balancer *b = make_balancer();
    struct rg_route *routes = calloc(ROUTES, sizeof(*routes));

    for (int i = 0; i < ROUTES; i++) {
        routes[i].ip = 0xc6120000 + (uint32_t)i;
        routes[i].port = 443;
        routes[i].share_count = 1;
        routes[i].shares[0].service = name("shop%d", i % 3);
        routes[i].shares[0].weight = 5;
    }
    rg_balancer_set_routes(b, rg_routes_create(version, routes, ROUTES));
    for (int i = 0; i < UPSTREAMS; i++) {
        add_upstream(b, i, i % 10 == 0, 100 + (uint64_t)i);
    }
    return b;
}

static bool
pass(struct rg_balancer *from, uint64_t revision, struct rg_balancer *to,
     uint64_t *own)
{
    struct rg_snapshot_base base = {.version = rg_balancer_version(to),
                                    .revision = *own};
    RG_STRBUF_AUTO bytes = {0};

    rg_snapshot_write(from, revision, &base, 1000, &bytes);
    return rg_snapshot_read(to, (struct rg_str){bytes.s, bytes.len}, own,
                            1000);
}

static void
test_whole(void)
{
    struct rg_balancer *from = full_balancer(5);
    struct rg_balancer *to = make_balancer();
    uint64_t revision = 0;
    size_t count;

    g_assert_true(pass(from, 200, to, &revision));
    g_assert_cmpuint(revision, ==, 200);
    g_assert_cmpuint(rg_balancer_version(to), ==, 5);
    g_assert_cmpuint(rg_routes_count(rg_balancer_routes(to)), ==, ROUTES);
    g_assert_cmpuint(rg_pool_listed_count(rg_balancer_pool(to)), ==,
                     UPSTREAMS);
    struct rg_name shop = name("shop%d", 0);
    uint32_t service = rg_pool_service(rg_balancer_pool(to), &shop);
    struct rg_endpoint *const *boots =
        rg_pool_endpoints(rg_balancer_pool(to), service, &count);
    g_assert_cmpuint(count, ==, (UPSTREAMS + 2) / 3);
    g_assert_cmpuint(boots[0]->cold_until_ms, ==, 1500);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* State of the upstream u-I, GONE if it is not listed. */
static enum rg_endpoint_state
state_of(struct rg_balancer *b, int i)
{
    struct rg_name shop = name("shop%d", i % 3);
    struct rg_pool *pool = rg_balancer_pool(b);
    size_t count;
    struct rg_endpoint *const *boots =
        rg_pool_endpoints(pool, rg_pool_service(pool, &shop), &count);

    for (size_t n = 0; n < count; n++) {
        if (boots[n]->wire_id == (uint64_t)i) {
            return boots[n]->state;
        }
    }
    return RG_ENDPOINT_GONE;
}

/* An older view changes nothing. */
static void
test_older(void)
{
    struct rg_balancer *from = full_balancer(5);
    struct rg_balancer *to = full_balancer(6);
    uint64_t revision = 300;

    add_upstream(to, 900, false, 290);
    g_assert_true(pass(from, 200, to, &revision));
    g_assert_cmpuint(revision, ==, 300);
    g_assert_cmpuint(rg_balancer_version(to), ==, 6);
    g_assert_cmpuint(rg_pool_listed_count(rg_balancer_pool(to)), ==,
                     UPSTREAMS + 1);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* Only what has changed is passed: a new upstream, one that drains, one that
 * ended, one whose entry lapsed in an outage; and what is younger here
 * stands. */
static void
test_changes(void)
{
    struct rg_balancer *from = full_balancer(5);
    struct rg_balancer *to = full_balancer(5);
    struct rg_snapshot_base base = {.version = 5, .revision = 250};
    uint64_t revision = 250;
    struct rg_name ended = name("u-%x", 2);
    struct rg_name lapsed = name("u-%x", 3);
    RG_STRBUF_AUTO bytes = {0};

    add_upstream(from, 900, false, 301);
    add_upstream(from, 1, true, 302);
    rg_pool_remove(rg_balancer_pool(from), &ended, 303, 0, 1000);
    rg_pool_remove(rg_balancer_pool(from), &lapsed, 304, 2000, 1000);
    add_upstream(to, 4, true, 400);
    rg_snapshot_write(from, 310, &base, 1000, &bytes);
    g_assert_cmpuint(bytes.len, <, 1000);
    g_assert_true(rg_snapshot_read(to, (struct rg_str){bytes.s, bytes.len},
                                   &revision, 1000));
    g_assert_cmpuint(revision, ==, 310);
    g_assert_cmpint(state_of(to, 900), ==, RG_ENDPOINT_READY);
    g_assert_cmpint(state_of(to, 1), ==, RG_ENDPOINT_DRAINING);
    g_assert_cmpint(state_of(to, 2), ==, RG_ENDPOINT_GONE);
    g_assert_cmpint(state_of(to, 3), ==, RG_ENDPOINT_MISSING);
    g_assert_cmpint(state_of(to, 4), ==, RG_ENDPOINT_DRAINING);
    rg_pool_tick(rg_balancer_pool(to), 3000);
    g_assert_cmpint(state_of(to, 3), ==, RG_ENDPOINT_GONE);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* The sender no longer knows what ended since: everything is passed, and what
 * is not named ends. */
static void
test_forgotten_ends(void)
{
    struct rg_balancer *from = full_balancer(5);
    struct rg_balancer *to = full_balancer(5);
    uint64_t revision = 250;
    struct rg_name ended = name("u-%x", 2);

    rg_pool_remove(rg_balancer_pool(from), &ended, 303, 0, 1000);
    rg_pool_tick(rg_balancer_pool(from), 1000 + 60000);
    g_assert_cmpuint(rg_pool_compacted_revision(rg_balancer_pool(from)), ==,
                     303);
    g_assert_true(pass(from, 310, to, &revision));
    g_assert_cmpint(state_of(to, 2), ==, RG_ENDPOINT_GONE);
    g_assert_cmpuint(rg_pool_listed_count(rg_balancer_pool(to)), ==,
                     UPSTREAMS - 1);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* The sender has just listed the store and never knew what ended before:
 * everything is passed. (The model spec/view.pml asked for it; ends before the
 * listing were once lost on receivers.) */
static void
test_after_listing(void)
{
    struct rg_balancer *from = make_balancer();
    struct rg_balancer *to = full_balancer(5);
    uint64_t revision = 250;

    rg_balancer_set_routes(from, rg_routes_create(5, NULL, 0));
    rg_pool_begin_listing(rg_balancer_pool(from));
    add_upstream(from, 1, false, 101);
    rg_pool_end_listing(rg_balancer_pool(from), 300, 0, 1000);
    g_assert_true(pass(from, 300, to, &revision));
    g_assert_cmpint(state_of(to, 1), ==, RG_ENDPOINT_READY);
    g_assert_cmpint(state_of(to, 2), ==, RG_ENDPOINT_GONE);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* Entries that lapsed in an outage stay usable for their time on receivers
 * too, when everything is passed. */
static void
test_lapsed_in_whole(void)
{
    struct rg_balancer *from = full_balancer(5);
    struct rg_balancer *to = full_balancer(5);
    uint64_t revision = 250;
    struct rg_pool *pool = rg_balancer_pool(from);

    rg_pool_begin_listing(pool);
    add_upstream(from, 1, false, 101);
    rg_pool_end_listing(pool, 300, 2000, 1000);
    g_assert_cmpint(state_of(from, 2), ==, RG_ENDPOINT_MISSING);
    g_assert_true(pass(from, 300, to, &revision));
    g_assert_cmpint(state_of(to, 1), ==, RG_ENDPOINT_READY);
    g_assert_cmpint(state_of(to, 2), ==, RG_ENDPOINT_MISSING);
    rg_pool_tick(rg_balancer_pool(to), 3000);
    g_assert_cmpint(state_of(to, 2), ==, RG_ENDPOINT_GONE);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* Cut short anywhere, between messages too: refused. */
static void
test_cut_short(void)
{
    struct rg_balancer *from = full_balancer(40);
    RG_STRBUF_AUTO bytes = {0};

    rg_snapshot_write(from, 200, &(struct rg_snapshot_base){0}, 1000, &bytes);
    for (size_t len = 0; len < bytes.len; len++) {
        struct rg_balancer *to = make_balancer();
        uint64_t revision = 0;
        g_autofree char *copy = g_memdup2(bytes.s, len + 1);
        g_assert_false(
            rg_snapshot_read(to, (struct rg_str){copy, len}, &revision, 1000));
        g_assert_cmpuint(rg_pool_known_count(rg_balancer_pool(to)), ==, 0);
        rg_balancer_destroy(to);
    }
    rg_balancer_destroy(from);
}

/* Cut short or damaged: refused, and nothing changes, or read as a view. */
static void
test_damaged(void)
{
    struct rg_balancer *from = full_balancer(5);
    struct rg_rand rand = {.state = SEED};
    RG_STRBUF_AUTO bytes = {0};

    rg_snapshot_write(from, 200, &(struct rg_snapshot_base){0}, 1000, &bytes);
    for (int i = 0; i < ROUNDS; i++) {
        struct rg_balancer *to = make_balancer();
        uint64_t revision = 0;
        g_autofree char *copy = g_memdup2(bytes.s, bytes.len);
        size_t len = bytes.len;
        if (i % 2) {
            len = rg_rand_below(&rand, (uint32_t)bytes.len);
        }
        else {
            copy[rg_rand_below(&rand, (uint32_t)len)] =
                (char)rg_rand_next(&rand);
        }
        bool ok =
            rg_snapshot_read(to, (struct rg_str){copy, len}, &revision, 1000);
        if (!ok || i % 2) {
            g_assert_false(ok);
            g_assert_cmpuint(revision, ==, 0);
            g_assert_cmpuint(rg_balancer_version(to), ==, 0);
            g_assert_cmpuint(rg_pool_known_count(rg_balancer_pool(to)), ==, 0);
        }
        rg_balancer_destroy(to);
    }
    rg_balancer_destroy(from);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/transfer/whole", test_whole);
    g_test_add_func("/transfer/older", test_older);
    g_test_add_func("/transfer/changes", test_changes);
    g_test_add_func("/transfer/forgotten-ends", test_forgotten_ends);
    g_test_add_func("/transfer/after-listing", test_after_listing);
    g_test_add_func("/transfer/lapsed-in-whole", test_lapsed_in_whole);
    g_test_add_func("/transfer/cut-short", test_cut_short);
    g_test_add_func("/transfer/damaged", test_damaged);
    return g_test_run();
}
