/* Entries of upstreams that another writer has put into the store: they name
 * services that no configuration names, and must neither end the process
 * (review/7) nor take an upstream from its callers. */
#include <string.h>

#include "balance/pool.h"
#include "balance/token.h"
#include "test/fake_instances.h"

/* More than a heap that happens to be larger than needed would hide. */
#define OTHER_SERVICES 3000
#define BOOT_MS 5

static struct rg_endpoint_info
entry_of(const char *id, const char *service)
{
    struct rg_endpoint_info info = {
        .id = name(id),
        .wire_id = 1,
        .boot_ms = BOOT_MS,
        .service = name(service),
        .data_centre = name("dc1"),
        .slots = 2,
    };

    rg_addr_parse(&info.addr, "10.0.0.1:80");
    return info;
}

static void
put(struct fixture *f, const char *id, const char *service, uint64_t revision)
{
    struct rg_endpoint_info info = entry_of(id, service);

    rg_pool_update(rg_balancer_pool(f->instances[0]), &info, revision,
                   f->now_ms);
}

/* Entries for services of their own. */
static void
put_other_entries(struct fixture *f)
{
    for (int i = 0; i < OTHER_SERVICES; i++) {
        g_autofree char *text = g_strdup_printf("other-%d", i);
        put(f, text, text, 2);
    }
}

/* Guards against a process that ends as the caller takes the answer to an
 * opening, or repeats it: the upstream's entry has named another service
 * meanwhile. */
static void
test_opening_outstanding(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    put_other_entries(f);
    struct tokens token = open_at(f, 0, 0);
    for (int i = 0; i < UPSTREAMS; i++) {
        g_autofree char *id = g_strdup_printf("u-%d", i);
        put(f, id, "other-2999", 3);
    }
    f->now_ms += RTT_MS;
    g_assert_cmpint(send_data(f, 0, token.opening, 0, 0, 100).kind, ==,
                    RG_DECISION_FORWARD);
    f->now_ms += FIRST_COPY_MS;
    open_copy(f, 0, 1);
    tick_until(f, f->now_ms + 2000);
}

/* The same where the caller has taken the answer of an upstream that this
 * instance knows by the entry of another writer only. */
static void
test_moves_to_other_service(struct fixture *f, gconstpointer unused)
{
    uint32_t token = rg_token_of(rg_str_of("other-2999"), BOOT_MS);

    (void)unused;
    put_other_entries(f);
    open_at(f, 0, 0);
    f->now_ms += RTT_MS;
    g_assert_cmpuint(send_data(f, 0, token, 0, 0, 100).token, ==, token);
    f->now_ms += RTT_MS;
    send_data(f, 0, token, 100, 1000, 100);
    tick_until(f, f->now_ms + 2000);
}

/* Number of openings, of some, that u-0 gets. */
static int
openings_at_first(struct fixture *f)
{
    int count = 0;

    for (uint16_t port = 1; port <= 40; port++) {
        struct rg_segment s = segment_from(port);
        s.opening = true;
        s.seq = OPENING_SEQ;
        struct rg_decision d =
            rg_balancer_packet(f->instances[0], &s, f->now_ms);
        g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
        count += strcmp(d.endpoint->id.s, "u-0") == 0;
    }
    tick_until(f, f->now_ms + 2000); /* the openings are forgotten */
    return count;
}

/* Guards against an upstream that gets no flows since another writer has put
 * an entry in place of its own: it writes its own again soon. */
static void
test_entry_replaced(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    put(f, "u-0", "other", 2);
    g_assert_cmpint(openings_at_first(f), >, 0);
    put(f, "u-0", "shop", 3);
    tick_until(f, f->now_ms + RG_POOL_INVALID_KEEP_MS);
    g_assert_cmpint(openings_at_first(f), >, 0);
}

/* One that does not write its own is not used any more. */
static void
test_entry_not_back(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    put(f, "u-0", "other", 2);
    tick_until(f, f->now_ms + RG_POOL_INVALID_KEEP_MS);
    g_assert_cmpint(openings_at_first(f), ==, 0);
    put(f, "u-0", "other", 3);
    g_assert_cmpint(openings_at_first(f), ==, 0);
    put(f, "u-0", "shop", 4);
    g_assert_cmpint(openings_at_first(f), >, 0);
}

/* The same if the entry of the other writer is found in a listing. */
static void
test_entry_in_listing(struct fixture *f, gconstpointer unused)
{
    struct rg_pool *pool = rg_balancer_pool(f->instances[0]);

    (void)unused;
    rg_pool_begin_listing(pool);
    put(f, "u-0", "other", 2);
    for (int i = 1; i < UPSTREAMS; i++) {
        update_upstream(f->instances[0], i, false, 1);
    }
    rg_pool_end_listing(pool, 3, 0, f->now_ms);
    g_assert_cmpint(openings_at_first(f), >, 0);
    tick_until(f, f->now_ms + RG_POOL_INVALID_KEEP_MS);
    g_assert_cmpint(openings_at_first(f), ==, 0);
}

/* A draining upstream stays so, and one that has started again for another
 * service is not what the flows of the earlier start were opened for: neither
 * gets flows meanwhile. */
static void
test_entry_of_ending_upstream(struct fixture *f, gconstpointer unused)
{
    struct rg_endpoint_info restarted = entry_of("u-0", "other");

    (void)unused;
    update_upstream(f->instances[0], 0, true, 2);
    put(f, "u-0", "other", 3);
    g_assert_cmpint(openings_at_first(f), ==, 0);
    update_upstream(f->instances[0], 0, false, 4);
    g_assert_cmpint(openings_at_first(f), >, 0);
    restarted.boot_ms = BOOT_MS + 1;
    rg_pool_update(rg_balancer_pool(f->instances[0]), &restarted, 5,
                   f->now_ms);
    g_assert_cmpint(openings_at_first(f), ==, 0);
}

/* The upstream's own entry is used although that of the other writer came
 * first. */
static void
test_other_entry_first(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    put(f, "u-9", "other", 2);
    put(f, "u-9", "shop", 3);
    g_assert_cmpuint(rg_pool_local_count(rg_balancer_pool(f->instances[0]), 0),
                     ==, UPSTREAMS + 1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    add_case("/other-writers/opening-outstanding", test_opening_outstanding);
    add_case("/other-writers/moves-to-other-service",
             test_moves_to_other_service);
    add_case("/other-writers/entry-replaced", test_entry_replaced);
    add_case("/other-writers/entry-not-back", test_entry_not_back);
    add_case("/other-writers/entry-in-listing", test_entry_in_listing);
    add_case("/other-writers/entry-of-ending-upstream",
             test_entry_of_ending_upstream);
    add_case("/other-writers/other-entry-first", test_other_entry_first);
    return g_test_run();
}
