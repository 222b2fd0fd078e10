/* Snapshots passed between instances: applied completely or not at all, and
 * never to a newer view. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "balance/revision.h"
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
create_balancer(void)
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
add_entry(struct rg_balancer *b, int i, bool draining, uint64_t heartbeats,
          uint64_t revision)
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
        .heartbeats = heartbeats,
    };

    rg_addr_parse(&r.addr, "10.0.0.1:80");
    rg_pool_update(rg_balancer_pool(b), &r, revision, 1000);
}

static void
add_upstream(struct rg_balancer *b, int i, bool draining, uint64_t revision)
{
    add_entry(b, i, draining, 1, revision);
}

static struct rg_balancer *
create_full_balancer(uint64_t version)
{
    struct rg_balancer *b = create_balancer();
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
transfer(struct rg_balancer *from, uint64_t revision, struct rg_balancer *to,
         uint64_t *own)
{
    struct rg_snapshot_base base = {
        .version = rg_balancer_version(to),
        .revision = *own,
        .provisional = rg_pool_is_provisional(rg_balancer_pool(to)),
    };
    RG_STRBUF_AUTO bytes = {0};

    rg_snapshot_write(from, revision, &base, 1000, &bytes);
    return rg_snapshot_read(to, (struct rg_str){bytes.s, bytes.len}, own,
                            1000);
}

/* An instance without a view gets all routes and upstreams, with the time left
 * until these are warm. */
static void
test_complete(void)
{
    struct rg_balancer *from = create_full_balancer(5);
    struct rg_balancer *to = create_balancer();
    uint64_t revision = 0;
    size_t count;

    g_assert_true(transfer(from, 200, to, &revision));
    g_assert_cmpuint(revision, ==, 200);
    g_assert_cmpuint(rg_balancer_version(to), ==, 5);
    g_assert_cmpuint(rg_routes_count(rg_balancer_routes(to)), ==, ROUTES);
    g_assert_cmpuint(rg_pool_listed_count(rg_balancer_pool(to)), ==,
                     UPSTREAMS);
    struct rg_name shop = name("shop%d", 0);
    uint32_t service = rg_pool_service(rg_balancer_pool(to), &shop);
    struct rg_endpoint *const *endpoints =
        rg_pool_endpoints(rg_balancer_pool(to), service, &count);
    g_assert_cmpuint(count, ==, (UPSTREAMS + 2) / 3);
    g_assert_cmpuint(endpoints[0]->cold_until_ms, ==, 1500);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* State of the upstream with this number, GONE if it has no entry. */
static enum rg_endpoint_state
state_of(struct rg_balancer *b, int i)
{
    struct rg_name shop = name("shop%d", i % 3);
    struct rg_pool *pool = rg_balancer_pool(b);
    size_t count;
    struct rg_endpoint *const *endpoints =
        rg_pool_endpoints(pool, rg_pool_service(pool, &shop), &count);

    for (size_t n = 0; n < count; n++) {
        if (endpoints[n]->wire_id == (uint64_t)i) {
            return endpoints[n]->state;
        }
    }
    return RG_ENDPOINT_GONE;
}

/* An older snapshot changes nothing. */
static void
test_older(void)
{
    struct rg_balancer *from = create_full_balancer(5);
    struct rg_balancer *to = create_full_balancer(6);
    uint64_t revision = 300;

    add_upstream(to, 900, false, 290);
    g_assert_true(transfer(from, 200, to, &revision));
    g_assert_cmpuint(revision, ==, 300);
    g_assert_cmpuint(rg_balancer_version(to), ==, 6);
    g_assert_cmpuint(rg_pool_listed_count(rg_balancer_pool(to)), ==,
                     UPSTREAMS + 1);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* Only changes are passed: a new upstream, one that drains, one that ended,
 * and one whose entry lapsed in an outage. What is newer at the receiver
 * stays. */
static void
test_changes(void)
{
    struct rg_balancer *from = create_full_balancer(5);
    struct rg_balancer *to = create_full_balancer(5);
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

/* The sender no longer knows which upstreams ended since: the snapshot is
 * complete, and the receiver removes what it does not contain. */
static void
test_compacted_history(void)
{
    struct rg_balancer *from = create_full_balancer(5);
    struct rg_balancer *to = create_full_balancer(5);
    uint64_t revision = 250;
    struct rg_name ended = name("u-%x", 2);

    rg_pool_remove(rg_balancer_pool(from), &ended, 303, 0, 1000);
    rg_pool_tick(rg_balancer_pool(from), 1000 + 60000);
    g_assert_cmpuint(rg_pool_compacted_revision(rg_balancer_pool(from)), ==,
                     303);
    g_assert_true(transfer(from, 310, to, &revision));
    g_assert_cmpint(state_of(to, 2), ==, RG_ENDPOINT_GONE);
    g_assert_cmpuint(rg_pool_listed_count(rg_balancer_pool(to)), ==,
                     UPSTREAMS - 1);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* The sender has just listed the store and does not know which upstreams ended
 * before: the snapshot is complete. The model spec/view.pml requires it; once
 * a fault made receivers miss ends from before the listing. */
static void
test_after_listing(void)
{
    struct rg_balancer *from = create_balancer();
    struct rg_balancer *to = create_full_balancer(5);
    uint64_t revision = 250;

    rg_balancer_set_routes(from, rg_routes_create(5, NULL, 0));
    rg_pool_begin_listing(rg_balancer_pool(from));
    add_upstream(from, 1, false, 101);
    rg_pool_end_listing(rg_balancer_pool(from), 300, 0, 1000);
    g_assert_true(transfer(from, 300, to, &revision));
    g_assert_cmpint(state_of(to, 1), ==, RG_ENDPOINT_READY);
    g_assert_cmpint(state_of(to, 2), ==, RG_ENDPOINT_GONE);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* In a complete snapshot, too, entries that lapsed in an outage stay usable at
 * the receiver for their remaining time. */
static void
test_lapsed_in_complete(void)
{
    struct rg_balancer *from = create_full_balancer(5);
    struct rg_balancer *to = create_full_balancer(5);
    uint64_t revision = 250;
    struct rg_pool *pool = rg_balancer_pool(from);

    rg_pool_begin_listing(pool);
    add_upstream(from, 1, false, 101);
    rg_pool_end_listing(pool, 300, 2000, 1000);
    g_assert_cmpint(state_of(from, 2), ==, RG_ENDPOINT_MISSING);
    g_assert_true(transfer(from, 300, to, &revision));
    g_assert_cmpint(state_of(to, 1), ==, RG_ENDPOINT_READY);
    g_assert_cmpint(state_of(to, 2), ==, RG_ENDPOINT_MISSING);
    rg_pool_tick(rg_balancer_pool(to), 3000);
    g_assert_cmpint(state_of(to, 2), ==, RG_ENDPOINT_GONE);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* A balancer that has listed the store, restored from an older copy: all
 * upstreams are ready there. */
static struct rg_balancer *
create_restored_balancer(uint32_t era, uint64_t heartbeats, bool provisional)
{
    struct rg_balancer *b = create_balancer();
    struct rg_pool *pool = rg_balancer_pool(b);

    rg_balancer_set_routes(b, rg_routes_create(5, NULL, 0));
    rg_pool_set_provisional(pool, provisional);
    rg_pool_begin_listing(pool);
    for (int i = 0; i < UPSTREAMS; i++) {
        add_entry(b, i, false, heartbeats,
                  rg_revision_make(era, 20 + (uint64_t)i));
    }
    rg_pool_end_listing(pool, rg_revision_make(era, 80), 0, 1000);
    return b;
}

/* Guards against an instance that stays in the old era, since the revision of
 * its peer's view is lower than its own: it gets the whole view, as nothing is
 * known of changes between eras. */
static void
test_newer_era(void)
{
    struct rg_balancer *from = create_restored_balancer(1, 9, false);
    struct rg_balancer *to = create_full_balancer(5);
    uint64_t revision = 300;

    add_upstream(to, 900, false, 250);
    g_assert_true(transfer(from, rg_revision_make(1, 80), to, &revision));
    g_assert_cmpuint(revision, ==, rg_revision_make(1, 80));
    g_assert_cmpint(state_of(to, 10), ==, RG_ENDPOINT_READY);
    g_assert_cmpint(state_of(to, 900), ==, RG_ENDPOINT_GONE);
    g_assert_false(rg_pool_is_provisional(rg_balancer_pool(to)));
    /* Nothing comes back from an instance that has not noticed yet. */
    struct rg_balancer *late = create_full_balancer(5);
    add_entry(late, 11, true, 10, 299);
    g_assert_true(transfer(late, 300, to, &revision));
    g_assert_cmpint(state_of(to, 11), ==, RG_ENDPOINT_READY);
    g_assert_cmpuint(revision, ==, rg_revision_make(1, 80));
    rg_balancer_destroy(late);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* Guards against an instance that started after the restore, and has only its
 * older entries, making others forget that an upstream drains or is gone. Once
 * its view is settled, it is authoritative, whatever the revision. */
static void
test_provisional(void)
{
    struct rg_balancer *from = create_restored_balancer(1, 8, true);
    struct rg_balancer *to = create_full_balancer(5);
    struct rg_name gone = name("u-%x", 2);
    uint64_t revision = 300;

    add_entry(to, 1, true, 10, 290);
    add_entry(to, 2, false, 10, 290);
    rg_pool_remove(rg_balancer_pool(to), &gone, 291, 0, 1000);
    add_entry(to, 900, false, 10, 292);
    g_assert_true(transfer(from, rg_revision_make(1, 80), to, &revision));
    g_assert_true(rg_pool_is_provisional(rg_balancer_pool(to)));
    g_assert_cmpint(state_of(to, 1), ==, RG_ENDPOINT_DRAINING);
    g_assert_cmpint(state_of(to, 2), ==, RG_ENDPOINT_GONE);
    g_assert_cmpint(state_of(to, 3), ==, RG_ENDPOINT_READY);
    g_assert_cmpint(state_of(to, 900), ==, RG_ENDPOINT_MISSING);
    /* Only the changes, under the same rules: an old entry, then a new one. */
    add_entry(from, 1, false, 9, rg_revision_make(1, 81));
    g_assert_true(transfer(from, rg_revision_make(1, 81), to, &revision));
    g_assert_cmpint(state_of(to, 1), ==, RG_ENDPOINT_DRAINING);
    add_entry(from, 1, false, 11, rg_revision_make(1, 82));
    g_assert_true(transfer(from, rg_revision_make(1, 82), to, &revision));
    g_assert_cmpint(state_of(to, 1), ==, RG_ENDPOINT_READY);
    g_assert_cmpint(state_of(to, 2), ==, RG_ENDPOINT_GONE);
    rg_pool_set_provisional(rg_balancer_pool(from), false);
    g_assert_true(transfer(from, rg_revision_make(1, 82), to, &revision));
    g_assert_false(rg_pool_is_provisional(rg_balancer_pool(to)));
    g_assert_cmpint(state_of(to, 2), ==, RG_ENDPOINT_READY);
    g_assert_cmpint(state_of(to, 900), ==, RG_ENDPOINT_GONE);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* A truncated snapshot is rejected, also one cut between two messages. */
static void
test_truncated(void)
{
    struct rg_balancer *from = create_full_balancer(40);
    RG_STRBUF_AUTO bytes = {0};

    rg_snapshot_write(from, 200, &(struct rg_snapshot_base){0}, 1000, &bytes);
    for (size_t len = 0; len < bytes.len; len++) {
        struct rg_balancer *to = create_balancer();
        uint64_t revision = 0;
        g_autofree char *copy = g_memdup2(bytes.s, len + 1);
        g_assert_false(
            rg_snapshot_read(to, (struct rg_str){copy, len}, &revision, 1000));
        g_assert_cmpuint(rg_pool_known_count(rg_balancer_pool(to)), ==, 0);
        rg_balancer_destroy(to);
    }
    rg_balancer_destroy(from);
}

/* A truncated snapshot is rejected and changes nothing. A damaged one is
 * rejected likewise, or read as a valid snapshot. */
static void
test_damaged(void)
{
    struct rg_balancer *from = create_full_balancer(5);
    struct rg_rand rand = {.state = SEED};
    RG_STRBUF_AUTO bytes = {0};

    rg_snapshot_write(from, 200, &(struct rg_snapshot_base){0}, 1000, &bytes);
    for (int i = 0; i < ROUNDS; i++) {
        struct rg_balancer *to = create_balancer();
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

/* Instances that count as registered. */
static int
count_registered(struct rg_balancer *b)
{
    const struct rg_instances *x = rg_balancer_instances(b);
    int n = 0;

    for (size_t i = 0; i < rg_instances_count(x); i++) {
        n += rg_instances_at(x, i)->removed_ms == 0;
    }
    return n;
}

/* Guards against instances that choose other homes for a flow since they do
 * not poll the store: registrations and their removals come with the view of a
 * peer. */
static void
test_instances(void)
{
    struct rg_balancer *from = create_full_balancer(5);
    struct rg_balancer *to = create_balancer();
    struct rg_instances *x = rg_balancer_instances(from);
    struct rg_addr addr;
    uint64_t revision = 0;

    rg_addr_parse(&addr, "10.0.0.1:80");
    for (uint32_t id = 1; id <= 100; id++) {
        rg_instances_update(x, id, &addr, id);
    }
    /* Not all are known yet, so none is told. */
    g_assert_true(transfer(from, 200, to, &revision));
    g_assert_cmpint(count_registered(to), ==, 0);
    rg_instances_begin_listing(x);
    for (uint32_t id = 1; id <= 100; id++) {
        rg_instances_update(x, id, &addr, 200 + id);
    }
    rg_instances_end_listing(x, 301, 1000);
    g_assert_true(transfer(from, 301, to, &revision));
    g_assert_cmpint(count_registered(to), ==, 100);
    rg_instances_remove(x, 7, 302, 1000);
    rg_instances_update(x, 101, &addr, 303);
    rg_instances_update(x, 102, &addr, 304);
    g_assert_true(transfer(from, 304, to, &revision));
    g_assert_cmpint(count_registered(to), ==, 101);
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/snapshot/complete", test_complete);
    g_test_add_func("/snapshot/older", test_older);
    g_test_add_func("/snapshot/changes", test_changes);
    g_test_add_func("/snapshot/compacted-history", test_compacted_history);
    g_test_add_func("/snapshot/after-listing", test_after_listing);
    g_test_add_func("/snapshot/lapsed-in-complete", test_lapsed_in_complete);
    g_test_add_func("/snapshot/newer-era", test_newer_era);
    g_test_add_func("/snapshot/provisional", test_provisional);
    g_test_add_func("/snapshot/instances", test_instances);
    g_test_add_func("/snapshot/truncated", test_truncated);
    g_test_add_func("/snapshot/damaged", test_damaged);
    return g_test_run();
}
