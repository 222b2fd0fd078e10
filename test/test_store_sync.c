/* Following the store: what is called when, and how fresh the view is. */
#include <glib.h>

#include "balance/store_sync.h"

#define BOUND_MS 3000
#define SETTLE_MS 2000

static struct rg_store_sync *
make_follow(void)
{
    struct rg_store_sync_opts opts =
        rg_store_sync_opts_for(BOUND_MS, SETTLE_MS);

    opts.seed = 3;
    return rg_store_sync_create(&opts);
}

/* A follower that has listed at revision 10. */
static struct rg_store_sync *
listed_follow(uint64_t now_ms)
{
    struct rg_store_sync *f = make_follow();

    g_assert_true(rg_store_sync_listed(f, "b", false, 10, now_ms));
    rg_store_sync_watched(f, 10, false, now_ms);
    return f;
}

/* After the first of several pages a sample of the upstreams is read, from a
 * place that differs between instances and never stale, and then the rest. */
static void
expect_sample(struct rg_store_sync *f, uint64_t now_ms)
{
    struct rg_store_sync_step step = rg_store_sync_next(f, now_ms);

    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_SAMPLE);
    g_assert_false(step.stale);
    rg_store_sync_sampled(f, now_ms);
}

static void
test_sample(void)
{
    struct rg_store_sync *f = make_follow();

    rg_store_sync_listed(f, "k50", true, 10, 1000);
    uint32_t place = rg_store_sync_next(f, 1000).place;
    g_assert_cmpuint(rg_store_sync_next(f, 1000).place, !=, place);
    expect_sample(f, 1000);
    g_assert_false(rg_store_sync_complete(f));
    g_assert_cmpuint(rg_store_sync_revision(f), ==, 0);
    struct rg_store_sync_step step = rg_store_sync_next(f, 1000);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    g_assert_cmpstr(step.after, ==, "k50");
    rg_store_sync_destroy(f);
    /* One that fails is not asked for again: the listing matters more. */
    f = make_follow();
    rg_store_sync_listed(f, "k50", true, 10, 1000);
    rg_store_sync_failed(f, 1010);
    step = rg_store_sync_next(f, rg_store_sync_next(f, 1010).at_ms);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    rg_store_sync_destroy(f);
}

/* Pages are read one after the other; changes count from the first on, since
 * a page says nothing of what changed on those before it. */
static void
test_pages(void)
{
    struct rg_store_sync *f = make_follow();
    struct rg_store_sync_step step = rg_store_sync_next(f, 1000);

    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    g_assert_cmpstr(step.after, ==, "");
    g_assert_false(rg_store_sync_listed(f, "k50", true, 10, 1010));
    expect_sample(f, 1010);
    step = rg_store_sync_next(f, 1010);
    g_assert_cmpstr(step.after, ==, "k50");
    g_assert_false(rg_store_sync_complete(f));
    g_assert_true(rg_store_sync_listed(f, "k70", false, 14, 1020));
    step = rg_store_sync_next(f, 1020);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(step.revision, ==, 10);
    rg_store_sync_destroy(f);
}

/* Pages after the first may be stale: the view counts only once a watch that
 * does not wait has brought what they lack, from the oldest page on. The
 * listing after one whose history is gone is not stale. */
static void
test_stale_pages(void)
{
    struct rg_store_sync *f = make_follow();

    g_assert_false(rg_store_sync_next(f, 1000).stale);
    g_assert_false(rg_store_sync_listed(f, "b", true, 10, 1000));
    expect_sample(f, 1000);
    g_assert_true(rg_store_sync_next(f, 1000).stale);
    g_assert_true(rg_store_sync_listed(f, "c", false, 7, 1000));
    g_assert_false(rg_store_sync_complete(f));
    struct rg_store_sync_step step = rg_store_sync_next(f, 1000);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(step.wait_ms, <=, 1);
    g_assert_cmpuint(step.revision, ==, 7);
    rg_store_sync_history_gone(f, 1000);
    rg_store_sync_listed(f, "b", true, 12, 1000);
    g_assert_false(rg_store_sync_next(f, 1000).stale);
    g_assert_true(rg_store_sync_listed(f, "c", false, 12, 1000));
    g_assert_true(rg_store_sync_complete(f));
    step = rg_store_sync_next(f, 1010);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(step.wait_ms, >, 100);
    rg_store_sync_history_gone(f, 2000);
    rg_store_sync_listed(f, "b", true, 20, 2000);
    g_assert_true(rg_store_sync_next(f, 2000).stale);
    rg_store_sync_destroy(f);
}

/* One page: the view is complete at once, without another call. */
static void
test_one_page(void)
{
    struct rg_store_sync *f = make_follow();

    g_assert_true(rg_store_sync_listed(f, "b", false, 10, 1000));
    g_assert_true(rg_store_sync_complete(f));
    g_assert_cmpuint(rg_store_sync_revision(f), ==, 10);
    rg_store_sync_destroy(f);
}

/* A failed page is asked for again; what came before is not read twice. */
static void
test_listing_resumes(void)
{
    struct rg_store_sync *f = make_follow();

    rg_store_sync_listed(f, "k50", true, 10, 1000);
    expect_sample(f, 1005);
    rg_store_sync_failed(f, 1010);
    struct rg_store_sync_step step = rg_store_sync_next(f, 1010);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WAIT);
    step = rg_store_sync_next(f, step.at_ms);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    g_assert_cmpstr(step.after, ==, "k50");
    rg_store_sync_destroy(f);
}

/* The worst case of the bound: a change falls into a pause, the watch after it
 * goes out on a connection that is silent, and the call after that answers. */
static void
test_bound_with_silent_connection(void)
{
    struct rg_store_sync *f = listed_follow(1000);
    uint64_t changed_ms = 1000;

    rg_store_sync_watched(f, 11, true, changed_ms);
    struct rg_store_sync_step step = rg_store_sync_next(f, changed_ms);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WAIT);
    uint64_t now = step.at_ms;
    step = rg_store_sync_next(f, now);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    now += step.timeout_ms;
    rg_store_sync_failed(f, now);
    step = rg_store_sync_next(f, now);
    now = step.kind == RG_STORE_SYNC_WAIT ? step.at_ms : now;
    g_assert_cmpint(rg_store_sync_next(f, now).kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(now - changed_ms, <, BOUND_MS - 200);
    rg_store_sync_destroy(f);
}

/* A tight bound leaves a store in reach the time it may take, and is kept. */
static void
test_tight_bound(void)
{
    struct rg_store_sync_opts opts = rg_store_sync_opts_for(1000, SETTLE_MS);

    g_assert_cmpuint(opts.call_ms, >=, 300);
    g_assert_cmpuint(opts.pause_ms + opts.watch_ms + opts.call_ms, <, 1000);
}

/* A watch that brought nothing is repeated at once; one with changes after a
 * pause. Revisions never step back. */
static void
test_pause_after_changes(void)
{
    struct rg_store_sync *f = listed_follow(1000);

    rg_store_sync_watched(f, 12, false, 2000);
    g_assert_cmpint(rg_store_sync_next(f, 2000).kind, ==, RG_STORE_SYNC_WATCH);
    rg_store_sync_watched(f, 15, true, 2100);
    g_assert_cmpint(rg_store_sync_next(f, 2100).kind, ==, RG_STORE_SYNC_WAIT);
    rg_store_sync_watched(f, 9, false, 4000);
    g_assert_cmpuint(rg_store_sync_next(f, 4000).revision, ==, 15);
    rg_store_sync_destroy(f);
}

/* The store forgot the history: everything is listed anew, at once. */
static void
test_forgotten(void)
{
    struct rg_store_sync *f = listed_follow(1000);

    rg_store_sync_history_gone(f, 1500);
    struct rg_store_sync_step step = rg_store_sync_next(f, 1500);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    g_assert_cmpstr(step.after, ==, "");
    g_assert_true(rg_store_sync_complete(f));
    rg_store_sync_destroy(f);
}

/* Covered by others no call is due, but for one when asked for; uncovered it
 * watches at once. */
static void
test_covered(void)
{
    struct rg_store_sync *f = make_follow();

    rg_store_sync_set_standby(f, true);
    g_assert_cmpint(rg_store_sync_next(f, 1000).kind, ==, RG_STORE_SYNC_LIST);
    rg_store_sync_destroy(f);
    f = listed_follow(1000);
    rg_store_sync_set_standby(f, true);
    g_assert_cmpint(rg_store_sync_next(f, 1000).kind, ==, RG_STORE_SYNC_WAIT);
    rg_store_sync_refresh(f);
    struct rg_store_sync_step step = rg_store_sync_next(f, 1000);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(step.wait_ms, <=, 1);
    rg_store_sync_watched(f, 11, false, 1010);
    g_assert_cmpint(rg_store_sync_next(f, 1010).kind, ==, RG_STORE_SYNC_WAIT);
    rg_store_sync_set_standby(f, false);
    g_assert_cmpint(rg_store_sync_next(f, 1010).kind, ==, RG_STORE_SYNC_WATCH);
    rg_store_sync_destroy(f);
}

/* A view taken from another instance is watched on from its revision. */
static void
test_adopt(void)
{
    struct rg_store_sync *f = make_follow();

    g_assert_cmpuint(rg_store_sync_revision(f), ==, 0);
    rg_store_sync_snapshot_applied(f, 42);
    g_assert_true(rg_store_sync_complete(f));
    struct rg_store_sync_step step = rg_store_sync_next(f, 1000);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(step.revision, ==, 42);
    rg_store_sync_destroy(f);
}

/* Failures in a row: pauses grow, stay bounded, and differ between instances,
 * so that a store that comes back is not asked by all at once. */
static void
test_retries(void)
{
    struct rg_store_sync *f = listed_follow(1000);
    uint64_t now = 1000;
    uint64_t longest = 0;

    for (int i = 0; i < 100; i++) {
        rg_store_sync_failed(f, now);
        struct rg_store_sync_step step = rg_store_sync_next(f, now);
        g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WAIT);
        longest = MAX(longest, step.at_ms - now);
        now = step.at_ms;
    }
    g_assert_cmpuint(longest, <=, 500);
    g_assert_cmpuint(longest, >, 200);
    rg_store_sync_destroy(f);
}

/* Entries that vanish are kept only in the time after an outage in which live
 * upstreams return. */
static void
test_keep(void)
{
    struct rg_store_sync *f = listed_follow(1000);

    g_assert_cmpuint(rg_store_sync_keep_ms(f, 1100), ==, 0);
    rg_store_sync_failed(f, 2000);
    /* The answer that ends an outage brings the lapses itself. */
    g_assert_cmpuint(rg_store_sync_keep_ms(f, 5000), ==, SETTLE_MS);
    rg_store_sync_watched(f, 12, true, 5000);
    g_assert_cmpuint(rg_store_sync_keep_ms(f, 5000), ==, SETTLE_MS);
    g_assert_cmpuint(rg_store_sync_keep_ms(f, 5000 + SETTLE_MS - 1), ==, 1);
    g_assert_cmpuint(rg_store_sync_keep_ms(f, 5000 + SETTLE_MS), ==, 0);
    rg_store_sync_destroy(f);
}

/* Pattern: a server sends an answer twice, on a connection that is in use
 * again. The copy must not pass for the answer to the next call. */
static void
test_answer_sent_twice(void)
{
    struct rg_store_sync_step watch = {
        .kind = RG_STORE_SYNC_WATCH, .revision = 10, .wait_ms = 750};
    struct rg_store_sync_response got = {.revision = 10, .last_key = ""};

    got.took_ms = 1; /* a copy of "nothing new" */
    g_assert_false(rg_store_sync_is_response(&watch, &got));
    got.took_ms = 750;
    g_assert_true(rg_store_sync_is_response(&watch, &got));
    got.took_ms = 1; /* a copy of the changes up to 10 */
    got.oldest_change = 9;
    g_assert_false(rg_store_sync_is_response(&watch, &got));
    got.oldest_change = 11;
    got.revision = 11;
    g_assert_true(rg_store_sync_is_response(&watch, &got));
    got = (struct rg_store_sync_response){.revision = 9, .last_key = ""};
    g_assert_false(rg_store_sync_is_response(&watch, &got));
    watch.wait_ms = 1;
    got.revision = 10;
    g_assert_true(rg_store_sync_is_response(&watch, &got));

    struct rg_store_sync_step page = {.kind = RG_STORE_SYNC_LIST,
                                      .after = "k50"};
    got.last_key = "k50";
    g_assert_false(rg_store_sync_is_response(&page, &got));
    got.last_key = "k99";
    g_assert_true(rg_store_sync_is_response(&page, &got));
    got.last_key = ""; /* the page behind the last key */
    g_assert_true(rg_store_sync_is_response(&page, &got));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/follow/answer-sent-twice", test_answer_sent_twice);
    g_test_add_func("/follow/sample", test_sample);
    g_test_add_func("/follow/pages", test_pages);
    g_test_add_func("/follow/stale-pages", test_stale_pages);
    g_test_add_func("/follow/one-page", test_one_page);
    g_test_add_func("/follow/listing-resumes", test_listing_resumes);
    g_test_add_func("/follow/bound-with-silent-connection",
                    test_bound_with_silent_connection);
    g_test_add_func("/follow/tight-bound", test_tight_bound);
    g_test_add_func("/follow/pause-after-changes", test_pause_after_changes);
    g_test_add_func("/follow/forgotten", test_forgotten);
    g_test_add_func("/follow/covered", test_covered);
    g_test_add_func("/follow/adopt", test_adopt);
    g_test_add_func("/follow/retries", test_retries);
    g_test_add_func("/follow/keep", test_keep);
    return g_test_run();
}
