/* Pool of known upstreams: tokens, endpoints, lapsed entries, listings. */
#include <glib.h>
#include <stdio.h>

#include "balance/pool.h"
#include "balance/revision.h"
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
create_pool(void)
{
    struct rg_pool_opts opts = {.data_centre = name("dc1"),
                                .retain_ms = RETAIN_MS};

    return rg_pool_create(&opts);
}

static struct rg_endpoint_info
make_info(const char *id, uint64_t boot_ms)
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
usable_count(const struct rg_pool *p)
{
    size_t count;

    rg_pool_endpoints(p, 0, &count);
    return count;
}

/* Every instance derives the same token, a different one for each endpoint,
 * and never RG_TOKEN_NONE. */
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

/* An upstream restarts under the same name: there are two endpoints with two
 * tokens. New flows go only to the newer one, and packets of old flows still
 * find the older one. */
static void
test_restart(void)
{
    struct rg_pool *p = create_pool();
    struct rg_endpoint_info r = make_info("u-1", 5);

    rg_pool_update(p, &r, 1, 100);
    r.boot_ms = 6;
    rg_pool_update(p, &r, 2, 200);
    g_assert_cmpuint(usable_count(p), ==, 1);
    g_assert_cmpuint(rg_pool_by_token(p, token("u-1", 5))->state, ==,
                     RG_ENDPOINT_GONE);
    g_assert_cmpuint(rg_pool_by_token(p, token("u-1", 6))->state, ==,
                     RG_ENDPOINT_READY);
    rg_pool_destroy(p);
}

/* Guards against the token of an opening being taken for that of an open flow,
 * or for the opening of another flow. */
static void
test_opening_tokens(void)
{
    uint32_t own = token("u-1", 5);

    for (uint32_t seq = 0; seq < 1000; seq++) {
        uint32_t opening = rg_token_of_opening(own, seq);
        g_assert_cmpuint(opening, !=, own);
        g_assert_cmpuint(rg_token_of_opening(opening, seq), ==, own);
        g_assert_cmpuint(rg_token_of_opening(opening, seq + 1), !=, own);
    }
}

/* A token is kept after its entry has gone for the maximum lifetime of a flow,
 * then it is removed. */
static void
test_token_outlives_entry(void)
{
    struct rg_pool *p = create_pool();
    struct rg_endpoint_info r = make_info("u-1", 5);

    rg_pool_update(p, &r, 1, 100);
    rg_pool_remove(p, &r.id, 2, 0, 200);
    g_assert_cmpuint(usable_count(p), ==, 0);
    rg_pool_tick(p, 200 + RETAIN_MS - 1);
    g_assert_nonnull(rg_pool_by_token(p, token("u-1", 5)));
    rg_pool_tick(p, 200 + RETAIN_MS);
    g_assert_null(rg_pool_by_token(p, token("u-1", 5)));
    g_assert_cmpuint(rg_pool_known_count(p), ==, 0);
    rg_pool_destroy(p);
}

/* An endpoint referenced by tracked flows is not freed. */
static void
test_references(void)
{
    struct rg_pool *p = create_pool();
    struct rg_endpoint_info r = make_info("u-1", 5);

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

/* An upstream whose entry lapses after an outage stays usable for a while and
 * is then removed. If the entry is back in time, nothing changes. */
static void
test_lapsed_entry(void)
{
    struct rg_pool *p = create_pool();
    struct rg_endpoint_info r = make_info("u-1", 5);

    rg_pool_update(p, &r, 1, 100);
    rg_pool_remove(p, &r.id, 2, KEEP_MS, 200);
    rg_pool_tick(p, 200 + KEEP_MS - 1);
    g_assert_cmpuint(usable_count(p), ==, 1);
    rg_pool_update(p, &r, 3, 2100);
    rg_pool_tick(p, 200 + KEEP_MS);
    g_assert_cmpuint(rg_pool_by_token(p, token("u-1", 5))->state, ==,
                     RG_ENDPOINT_READY);
    rg_pool_remove(p, &r.id, 4, KEEP_MS, 5000);
    rg_pool_tick(p, 5000 + KEEP_MS);
    g_assert_cmpuint(usable_count(p), ==, 0);
    rg_pool_destroy(p);
}

/* A draining upstream does not become usable again because its entry
 * lapses. */
static void
test_lapsed_entry_draining(void)
{
    struct rg_pool *p = create_pool();
    struct rg_endpoint_info r = make_info("u-1", 5);

    r.draining = true;
    rg_pool_update(p, &r, 1, 100);
    rg_pool_remove(p, &r.id, 2, KEEP_MS, 200);
    g_assert_cmpuint(usable_count(p), ==, 0);
    rg_pool_destroy(p);
}

/* The pages of a listing are of different revisions: a later event takes
 * precedence. */
static void
test_older_revision(void)
{
    struct rg_pool *p = create_pool();
    struct rg_endpoint_info r = make_info("u-1", 5);

    r.draining = true;
    rg_pool_update(p, &r, 9, 100);
    r.draining = false;
    rg_pool_update(p, &r, 8, 200);
    g_assert_cmpuint(rg_pool_by_token(p, token("u-1", 5))->state, ==,
                     RG_ENDPOINT_DRAINING);
    rg_pool_remove(p, &r.id, 8, 0, 300);
    g_assert_cmpuint(usable_count(p), ==, 1);
    rg_pool_destroy(p);
}

/* A complete listing removes the upstreams that it does not contain. */
static void
test_listing(void)
{
    struct rg_pool *p = create_pool();
    struct rg_endpoint_info a = make_info("u-1", 5);
    struct rg_endpoint_info b = make_info("u-2", 5);

    rg_pool_update(p, &a, 1, 100);
    rg_pool_update(p, &b, 2, 100);
    struct rg_endpoint_info c = make_info("u-3", 5);
    rg_pool_update(p, &c, 8, 100);
    rg_pool_begin_listing(p);
    rg_pool_update(p, &b, 2, 200);
    rg_pool_end_listing(p, 7, 0, 200);
    /* The third one is newer than the listing, which may be a stale read. */
    g_assert_cmpuint(usable_count(p), ==, 2);
    g_assert_cmpuint(rg_pool_by_token(p, token("u-1", 5))->state, ==,
                     RG_ENDPOINT_GONE);
    rg_pool_destroy(p);
}

/* A listing of many upstreams is logged as one line, each later change as one
 * line of its own. */
static void
test_listing_log(void)
{
    struct captured_log c = captured_log_make(1000);
    struct rg_pool_opts opts = {.retain_ms = RETAIN_MS, .log = &c.log};
    struct rg_pool *p = rg_pool_create(&opts);
    struct rg_endpoint_info r = make_info("u-0", 5);
    char id[16];

    rg_pool_update(p, &r, 1, 50); /* a sample, before the listing */
    rg_pool_begin_listing(p);
    for (int i = 0; i < 300; i++) {
        snprintf(id, sizeof(id), "u-%d", i);
        r = make_info(id, 5);
        rg_pool_update(p, &r, 2, 100);
    }
    rg_pool_end_listing(p, 7, 0, 100);
    rg_log_flush(&c.log, 1000);
    g_autofree char *text = captured_log_read(&c);
    g_assert_null(strstr(text, " UPSTREAM ["));
    g_assert_nonnull(strstr(text, "upstreams=\"300\" new=\"300\""));
    r = make_info("u-new", 5);
    rg_pool_update(p, &r, 8, 200);
    r.draining = true;
    rg_pool_update(p, &r, 9, 200);
    g_assert_cmpuint(captured_log_count(&c, "UPSTREAM"), ==, 2);
    rg_pool_destroy(p);
    captured_log_done(&c);
}

/* Many upstreams are added and removed: exactly the known tokens are found. */
static void
test_many_upstreams(void)
{
    enum {
        COUNT = 3000
    };
    struct rg_pool *p = create_pool();
    char id[16];

    for (int i = 0; i < COUNT; i++) {
        snprintf(id, sizeof(id), "u-%x", i);
        struct rg_endpoint_info r = make_info(id, 5);
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

/* Two endpoints with the same token: one of them has it, whichever becomes
 * known first, and the other gets no new flows. The test searches for a real
 * collision. */
static void
test_token_collision(void)
{
    struct rg_pool *p = create_pool();
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
    struct rg_endpoint_info a = make_info(id, 5);
    snprintf(id, sizeof(id), "u-%x", second);
    struct rg_endpoint_info b = make_info(id, 5);
    const char *holder = strcmp(a.id.s, b.id.s) < 0 ? a.id.s : b.id.s;
    for (int reversed = 0; reversed < 2; reversed++) {
        rg_pool_destroy(p);
        p = create_pool();
        rg_pool_update(p, reversed ? &b : &a, 1, 100);
        rg_pool_update(p, reversed ? &a : &b, 2, 100);
        struct rg_endpoint *found = rg_pool_by_token(p, token(id, 5));
        g_assert_cmpstr(found->id.s, ==, holder);
        g_assert_false(found->ambiguous);
        size_t count;
        struct rg_endpoint *const *endpoints = rg_pool_endpoints(p, 0, &count);
        g_assert_cmpuint(count, ==, 2);
        g_assert_true(endpoints[0]->ambiguous != endpoints[1]->ambiguous);
    }
    bool a_holds = holder == a.id.s;
    /* The other one may come and go. */
    rg_pool_remove(p, a_holds ? &b.id : &a.id, 3, 0, 200);
    rg_pool_tick(p, 200 + RETAIN_MS);
    g_assert_cmpuint(rg_pool_known_count(p), ==, 1);
    g_assert_cmpstr(rg_pool_by_token(p, token(id, 5))->id.s, ==, holder);
    rg_pool_update(p, a_holds ? &b : &a, 4, 200 + RETAIN_MS);
    g_assert_cmpstr(rg_pool_by_token(p, token(id, 5))->id.s, ==, holder);
    /* Once the holder has been forgotten, the other one has the token. */
    uint64_t ends_ms = 200 + RETAIN_MS;
    rg_pool_remove(p, a_holds ? &a.id : &b.id, 5, 0, ends_ms);
    rg_pool_tick(p, ends_ms + RETAIN_MS - 1);
    g_assert_cmpstr(rg_pool_by_token(p, token(id, 5))->id.s, ==, holder);
    rg_pool_tick(p, ends_ms + RETAIN_MS);
    struct rg_endpoint *left = rg_pool_by_token(p, token(id, 5));
    g_assert_cmpstr(left->id.s, ==, a_holds ? b.id.s : a.id.s);
    g_assert_false(left->ambiguous);
    g_hash_table_destroy(seen);
    rg_pool_destroy(p);
}

static enum rg_endpoint_state
state_of(const struct rg_pool *p, const char *id, uint64_t boot_ms)
{
    const struct rg_endpoint *e = rg_pool_by_token(p, token(id, boot_ms));

    return e ? (enum rg_endpoint_state)e->state : RG_ENDPOINT_GONE;
}

/* A pool with one upstream, u-1, whose tenth entry is at revision 300. */
static struct rg_pool *
create_pool_before_restore(struct rg_endpoint_info *r)
{
    struct rg_pool *p = create_pool();

    *r = make_info("u-1", 5);
    r->heartbeats = 10;
    rg_pool_update(p, r, 300, 100);
    return p;
}

/* The store is listed in its first era after a restore, with this entry. */
static void
list_restored(struct rg_pool *p, const struct rg_endpoint_info *r)
{
    rg_pool_begin_provisional_listing(p);
    g_assert_true(rg_pool_listing_is_provisional(p));
    rg_pool_update(p, r, rg_revision_make(1, 30), 200);
    rg_pool_end_listing(p, rg_revision_make(1, 40), KEEP_MS, 200);
    g_assert_false(rg_pool_listing_is_provisional(p));
}

/* Guards against new flows to an upstream that reported draining: the restored
 * store still has an older entry, which must not take that back. An entry that
 * is written later does, and so does the second listing. */
static void
test_restored_entry_of_draining(void)
{
    struct rg_endpoint_info old = make_info("u-1", 5);
    struct rg_endpoint_info r;

    old.heartbeats = 8;
    for (int i = 0; i < 3; i++) {
        struct rg_pool *p = create_pool_before_restore(&r);
        r.draining = true;
        r.heartbeats = i == 2 ? 10 : 11; /* the same number: also ignored */
        rg_pool_update(p, &r, 301, 150);
        old.heartbeats = i == 2 ? 10 : 8;
        list_restored(p, &old);
        g_assert_cmpint(state_of(p, "u-1", 5), ==, RG_ENDPOINT_DRAINING);
        g_assert_cmpuint(rg_pool_ignored_rows(p), ==, 1);
        if (i == 0) {
            r.draining = false;
            r.heartbeats = 12;
            rg_pool_update(p, &r, rg_revision_make(1, 41), 300);
        }
        else {
            rg_pool_begin_listing(p);
            rg_pool_update(p, &old, rg_revision_make(1, 30), 6000);
            rg_pool_end_listing(p, rg_revision_make(1, 45), 0, 6000);
        }
        g_assert_cmpint(state_of(p, "u-1", 5), ==, RG_ENDPOINT_READY);
        rg_pool_destroy(p);
    }
}

/* Guards against changes that are ignored after a restore, as their revisions
 * are lower than those from before. */
static void
test_change_after_restore(void)
{
    struct rg_endpoint_info r;
    struct rg_pool *p = create_pool_before_restore(&r);

    list_restored(p, &r);
    r.draining = true;
    r.heartbeats = 11;
    rg_pool_update(p, &r, rg_revision_make(1, 41), 300);
    g_assert_cmpint(state_of(p, "u-1", 5), ==, RG_ENDPOINT_DRAINING);
    rg_pool_remove(p, &r.id, rg_revision_make(1, 42), 0, 400);
    g_assert_cmpint(state_of(p, "u-1", 5), ==, RG_ENDPOINT_GONE);
    rg_pool_destroy(p);
}

/* Guards against flows to an upstream that has ended, and to the one before a
 * restart: the restored store still has their entries. A higher heartbeat
 * number shows that the upstream has returned since. */
static void
test_restored_entry_of_gone(void)
{
    struct rg_endpoint_info r;
    struct rg_pool *p = create_pool_before_restore(&r);

    rg_pool_remove(p, &r.id, 301, 0, 150);
    list_restored(p, &r);
    g_assert_cmpint(state_of(p, "u-1", 5), ==, RG_ENDPOINT_GONE);
    r.heartbeats = 11;
    list_restored(p, &r);
    g_assert_cmpint(state_of(p, "u-1", 5), ==, RG_ENDPOINT_READY);
    rg_pool_destroy(p);

    p = create_pool_before_restore(&r);
    struct rg_endpoint_info restarted = make_info("u-1", 6);
    restarted.heartbeats = 1;
    rg_pool_update(p, &restarted, 301, 150);
    list_restored(p, &r);
    g_assert_cmpint(state_of(p, "u-1", 6), ==, RG_ENDPOINT_READY);
    g_assert_cmpint(state_of(p, "u-1", 5), ==, RG_ENDPOINT_GONE);
    rg_pool_destroy(p);
}

/* Guards against a service without upstreams since the copy is older than they
 * are: entries that it lacks count as lapsed. */
static void
test_missing_after_restore(void)
{
    struct rg_endpoint_info r;
    struct rg_pool *p = create_pool_before_restore(&r);
    struct rg_endpoint_info other = make_info("u-2", 5);

    list_restored(p, &other);
    g_assert_cmpint(state_of(p, "u-1", 5), ==, RG_ENDPOINT_MISSING);
    r.heartbeats = 11;
    rg_pool_update(p, &r, rg_revision_make(1, 41), 1500);
    rg_pool_tick(p, 200 + KEEP_MS);
    g_assert_cmpint(state_of(p, "u-1", 5), ==, RG_ENDPOINT_READY);
    rg_pool_destroy(p);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pool/tokens", test_tokens);
    g_test_add_func("/pool/opening-tokens", test_opening_tokens);
    g_test_add_func("/pool/restart", test_restart);
    g_test_add_func("/pool/token-outlives-entry", test_token_outlives_entry);
    g_test_add_func("/pool/references", test_references);
    g_test_add_func("/pool/lapsed-entry", test_lapsed_entry);
    g_test_add_func("/pool/lapsed-entry-draining", test_lapsed_entry_draining);
    g_test_add_func("/pool/older-revision", test_older_revision);
    g_test_add_func("/pool/listing", test_listing);
    g_test_add_func("/pool/listing-log", test_listing_log);
    g_test_add_func("/pool/many-upstreams", test_many_upstreams);
    g_test_add_func("/pool/token-collision", test_token_collision);
    g_test_add_func("/pool/restored-entry-of-draining",
                    test_restored_entry_of_draining);
    g_test_add_func("/pool/change-after-restore", test_change_after_restore);
    g_test_add_func("/pool/restored-entry-of-gone",
                    test_restored_entry_of_gone);
    g_test_add_func("/pool/missing-after-restore", test_missing_after_restore);
    return g_test_run();
}
