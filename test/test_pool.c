/* Known upstreams: tokens, boots, lapses, listings. */
#include <glib.h>
#include <stdio.h>

#include "balance/pool.h"
#include "balance/token.h"
#include "test/captured_log.h"

#define RETAIN_MS 60000
#define KEEP_MS 2000

static struct rg_name
name(const char *text)
{
    struct rg_name n;

    g_assert_true(rg_name_set(&n, rg_str_of(text)));
    return n;
}

static struct rg_pool *
make_pool(void)
{
    struct rg_pool_opts opts = {.data_centre = name("dc1"),
                                .retain_ms = RETAIN_MS};

    return rg_pool_create(&opts);
}

static struct rg_endpoint_info
report_of(const char *id, uint64_t boot_ms)
{
    struct rg_endpoint_info r = {
        .id = name(id),
        .wire_id = 7,
        .boot_ms = boot_ms,
        .service = name("shop"),
        .data_centre = name("dc1"),
        .slots = 2,
    };

    rg_addr_parse(&r.addr, "10.0.0.1:80");
    return r;
}

static uint32_t
token(const char *id, uint64_t boot_ms)
{
    return rg_token_of(rg_str_of(id), boot_ms);
}

static size_t
usable(const struct rg_pool *p)
{
    size_t count;

    rg_pool_endpoints(p, 0, &count);
    return count;
}

/* Every instance derives the same token, another one for each boot, and never
 * the one that means none. */
static void
test_tokens(void)
{
    char id[16];

    g_assert_cmpuint(token("u-1", 5), ==, token("u-1", 5));
    g_assert_cmpuint(token("u-1", 5), !=, token("u-1", 6));
    g_assert_cmpuint(token("u-1", 5), !=, token("u-2", 5));
    for (int i = 0; i < 100000; i++) {
        snprintf(id, sizeof(id), "u-%x", i);
        g_assert_cmpuint(token(id, 1), !=, RG_TOKEN_NONE);
    }
}

/* The same identity starts anew: two boots, two tokens; new flows go to the
 * younger alone, packets of old flows still find the older. */
static void
test_new_boot(void)
{
    struct rg_pool *p = make_pool();
    struct rg_endpoint_info r = report_of("u-1", 5);

    rg_pool_update(p, &r, 1, 100);
    r.boot_ms = 6;
    rg_pool_update(p, &r, 2, 200);
    g_assert_cmpuint(usable(p), ==, 1);
    g_assert_cmpuint(rg_pool_by_token(p, token("u-1", 5))->state, ==,
                     RG_ENDPOINT_GONE);
    g_assert_cmpuint(rg_pool_by_token(p, token("u-1", 6))->state, ==,
                     RG_ENDPOINT_READY);
    rg_pool_destroy(p);
}

/* A token outlives its entry for as long as flows may live, then goes. */
static void
test_token_outlives_entry(void)
{
    struct rg_pool *p = make_pool();
    struct rg_endpoint_info r = report_of("u-1", 5);

    rg_pool_update(p, &r, 1, 100);
    rg_pool_remove(p, &r.id, 2, 0, 200);
    g_assert_cmpuint(usable(p), ==, 0);
    rg_pool_tick(p, 200 + RETAIN_MS - 1);
    g_assert_nonnull(rg_pool_by_token(p, token("u-1", 5)));
    rg_pool_tick(p, 200 + RETAIN_MS);
    g_assert_null(rg_pool_by_token(p, token("u-1", 5)));
    g_assert_cmpuint(rg_pool_known_count(p), ==, 0);
    rg_pool_destroy(p);
}

/* A boot that tracked flows point at is not freed. */
static void
test_references_hold(void)
{
    struct rg_pool *p = make_pool();
    struct rg_endpoint_info r = report_of("u-1", 5);

    rg_pool_update(p, &r, 1, 100);
    struct rg_endpoint *b = rg_pool_by_token(p, token("u-1", 5));
    b->refs = 1;
    rg_pool_remove(p, &r.id, 2, 0, 200);
    rg_pool_tick(p, 200 + 2 * RETAIN_MS);
    g_assert_true(rg_pool_by_token(p, token("u-1", 5)) == b);
    b->refs = 0;
    rg_pool_tick(p, 200 + 2 * RETAIN_MS);
    g_assert_null(rg_pool_by_token(p, token("u-1", 5)));
    rg_pool_destroy(p);
}

/* An entry that lapses after an outage stays usable for a while, then goes; if
 * it is back in time, nothing has changed. */
static void
test_lapse(void)
{
    struct rg_pool *p = make_pool();
    struct rg_endpoint_info r = report_of("u-1", 5);

    rg_pool_update(p, &r, 1, 100);
    rg_pool_remove(p, &r.id, 2, KEEP_MS, 200);
    rg_pool_tick(p, 200 + KEEP_MS - 1);
    g_assert_cmpuint(usable(p), ==, 1);
    rg_pool_update(p, &r, 3, 2100);
    rg_pool_tick(p, 200 + KEEP_MS);
    g_assert_cmpuint(rg_pool_by_token(p, token("u-1", 5))->state, ==,
                     RG_ENDPOINT_READY);
    rg_pool_remove(p, &r.id, 4, KEEP_MS, 5000);
    rg_pool_tick(p, 5000 + KEEP_MS);
    g_assert_cmpuint(usable(p), ==, 0);
    rg_pool_destroy(p);
}

/* One that said it was draining does not come back into use by lapsing. */
static void
test_draining_lapse(void)
{
    struct rg_pool *p = make_pool();
    struct rg_endpoint_info r = report_of("u-1", 5);

    r.draining = true;
    rg_pool_update(p, &r, 1, 100);
    rg_pool_remove(p, &r.id, 2, KEEP_MS, 200);
    g_assert_cmpuint(usable(p), ==, 0);
    rg_pool_destroy(p);
}

/* Pages of a listing are no snapshot: what an event said later stands. */
static void
test_older_revision(void)
{
    struct rg_pool *p = make_pool();
    struct rg_endpoint_info r = report_of("u-1", 5);

    r.draining = true;
    rg_pool_update(p, &r, 9, 100);
    r.draining = false;
    rg_pool_update(p, &r, 8, 200);
    g_assert_cmpuint(rg_pool_by_token(p, token("u-1", 5))->state, ==,
                     RG_ENDPOINT_DRAINING);
    rg_pool_remove(p, &r.id, 8, 0, 300);
    g_assert_cmpuint(usable(p), ==, 1);
    rg_pool_destroy(p);
}

/* A whole listing removes what it does not name. */
static void
test_listing(void)
{
    struct rg_pool *p = make_pool();
    struct rg_endpoint_info a = report_of("u-1", 5);
    struct rg_endpoint_info b = report_of("u-2", 5);

    rg_pool_update(p, &a, 1, 100);
    rg_pool_update(p, &b, 2, 100);
    struct rg_endpoint_info c = report_of("u-3", 5);
    rg_pool_update(p, &c, 8, 100);
    rg_pool_begin_listing(p);
    rg_pool_update(p, &b, 2, 200);
    rg_pool_end_listing(p, 7, 0, 200);
    /* The third is younger than the listing, which may be a stale one. */
    g_assert_cmpuint(usable(p), ==, 2);
    g_assert_cmpuint(rg_pool_by_token(p, token("u-1", 5))->state, ==,
                     RG_ENDPOINT_GONE);
    rg_pool_destroy(p);
}

/* A listing of many upstreams is one line; what changes later is one each. */
static void
test_listing_lines(void)
{
    struct captured_log c = captured_log_make(1000);
    struct rg_pool_opts opts = {.retain_ms = RETAIN_MS, .log = &c.log};
    struct rg_pool *p = rg_pool_create(&opts);
    struct rg_endpoint_info r = report_of("u-0", 5);
    char id[16];

    rg_pool_update(p, &r, 1, 50); /* a sample, before the listing */
    rg_pool_begin_listing(p);
    for (int i = 0; i < 300; i++) {
        snprintf(id, sizeof(id), "u-%d", i);
        r = report_of(id, 5);
        rg_pool_update(p, &r, 2, 100);
    }
    rg_pool_end_listing(p, 7, 0, 100);
    rg_log_flush(&c.log, 1000);
    g_autofree char *text = captured_log_read(&c);
    g_assert_null(strstr(text, " UPSTREAM ["));
    g_assert_nonnull(strstr(text, "upstreams=\"300\" new=\"300\""));
    r = report_of("u-new", 5);
    rg_pool_update(p, &r, 8, 200);
    r.draining = true;
    rg_pool_update(p, &r, 9, 200);
    g_assert_cmpuint(captured_log_count(&c, "UPSTREAM"), ==, 2);
    rg_pool_destroy(p);
    captured_log_done(&c);
}

/* Many upstreams come and go; every token known is found, no other. */
static void
test_many(void)
{
    enum {
        COUNT = 3000
    };
    struct rg_pool *p = make_pool();
    char id[16];

    for (int i = 0; i < COUNT; i++) {
        snprintf(id, sizeof(id), "u-%x", i);
        struct rg_endpoint_info r = report_of(id, 5);
        rg_pool_update(p, &r, 1, 100);
    }
    for (int i = 0; i < COUNT; i += 2) {
        snprintf(id, sizeof(id), "u-%x", i);
        struct rg_name n = name(id);
        rg_pool_remove(p, &n, 2, 0, 200);
    }
    rg_pool_tick(p, 200 + RETAIN_MS);
    g_assert_cmpuint(rg_pool_known_count(p), ==, COUNT / 2);
    for (int i = 0; i < COUNT; i++) {
        snprintf(id, sizeof(id), "u-%x", i);
        g_assert_true((rg_pool_by_token(p, token(id, 5)) != NULL) ==
                      (i % 2 == 1));
    }
    rg_pool_destroy(p);
}

/* Two boots with one token: the later one gets no new flows. The collision is
 * searched for, so that it is a real one. */
static void
test_collision(void)
{
    struct rg_pool *p = make_pool();
    GHashTable *seen = g_hash_table_new(NULL, NULL);
    char id[16];
    int first = -1;
    int second;

    for (second = 0; first < 0; second++) {
        snprintf(id, sizeof(id), "u-%x", second);
        gpointer key = GUINT_TO_POINTER(token(id, 5));
        gpointer found = g_hash_table_lookup(seen, key);
        if (found) {
            first = GPOINTER_TO_INT(found) - 1;
            break;
        }
        g_hash_table_insert(seen, key, GINT_TO_POINTER(second + 1));
    }
    snprintf(id, sizeof(id), "u-%x", first);
    struct rg_endpoint_info a = report_of(id, 5);
    rg_pool_update(p, &a, 1, 100);
    snprintf(id, sizeof(id), "u-%x", second);
    struct rg_endpoint_info b = report_of(id, 5);
    rg_pool_update(p, &b, 2, 100);
    g_assert_cmpstr(rg_pool_by_token(p, token(id, 5))->id.s, ==, a.id.s);
    size_t count;
    struct rg_endpoint *const *boots = rg_pool_endpoints(p, 0, &count);
    g_assert_cmpuint(count, ==, 2);
    g_assert_true(boots[0]->ambiguous != boots[1]->ambiguous);
    rg_pool_remove(p, &b.id, 3, 0, 200);
    rg_pool_tick(p, 200 + RETAIN_MS);
    g_assert_nonnull(rg_pool_by_token(p, token(id, 5)));
    g_hash_table_destroy(seen);
    rg_pool_destroy(p);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pool/tokens", test_tokens);
    g_test_add_func("/pool/new-boot", test_new_boot);
    g_test_add_func("/pool/token-outlives-entry", test_token_outlives_entry);
    g_test_add_func("/pool/references-hold", test_references_hold);
    g_test_add_func("/pool/lapse", test_lapse);
    g_test_add_func("/pool/draining-lapse", test_draining_lapse);
    g_test_add_func("/pool/older-revision", test_older_revision);
    g_test_add_func("/pool/listing", test_listing);
    g_test_add_func("/pool/listing-lines", test_listing_lines);
    g_test_add_func("/pool/many", test_many);
    g_test_add_func("/pool/collision", test_collision);
    return g_test_run();
}
