/* Store sync: which call is made when, and how recent the view is. */
#include <glib.h>

#include "balance/revision.h"
#include "balance/store_sync.h"

#define BOUND_MS 3000
#define SETTLE_MS 2000
/* Time for entries to return, and three heartbeats. */
#define SECOND_LISTING_MS (SETTLE_MS + 3 * 1200)

static struct rg_store_sync *
create_sync(void)
{
    struct rg_store_sync_opts opts =
        rg_store_sync_opts_for(BOUND_MS, SETTLE_MS);

    opts.seed = 3;
    return rg_store_sync_create(&opts);
}

/* Has listed the store at revision 10. */
static struct rg_store_sync *
create_listed_sync(uint64_t now_ms)
{
    struct rg_store_sync *s = create_sync();

    g_assert_true(rg_store_sync_listed(s, "b", false, 10, now_ms));
    rg_store_sync_watched(s, 10, false, now_ms);
    return s;
}

static void
expect_sample(struct rg_store_sync *s, uint64_t now_ms)
{
    struct rg_store_sync_step step = rg_store_sync_next(s, now_ms);

    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_SAMPLE);
    g_assert_false(step.stale);
    rg_store_sync_sampled(s, now_ms);
}

/* After the first of several pages a sample of the upstreams is read, from a
 * position that differs between instances and never as a stale read; then the
 * listing continues. */
static void
test_sample(void)
{
    struct rg_store_sync *s = create_sync();

    rg_store_sync_listed(s, "k50", true, 10, 1000);
    uint32_t position = rg_store_sync_next(s, 1000).position;
    g_assert_cmpuint(rg_store_sync_next(s, 1000).position, !=, position);
    expect_sample(s, 1000);
    g_assert_false(rg_store_sync_complete(s));
    g_assert_cmpuint(rg_store_sync_revision(s), ==, 0);
    struct rg_store_sync_step step = rg_store_sync_next(s, 1000);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    g_assert_cmpstr(step.after, ==, "k50");
    rg_store_sync_destroy(s);
    /* A failed sample is not retried, since the listing matters more. */
    s = create_sync();
    rg_store_sync_listed(s, "k50", true, 10, 1000);
    rg_store_sync_failed(s, 1010);
    step = rg_store_sync_next(s, rg_store_sync_next(s, 1010).at_ms);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    rg_store_sync_destroy(s);
}

/* Pages are read one after the other. The watch starts at the first page's
 * revision, since a later page does not contain changes to earlier ones. */
static void
test_listing_pages(void)
{
    struct rg_store_sync *s = create_sync();
    struct rg_store_sync_step step = rg_store_sync_next(s, 1000);

    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    g_assert_cmpstr(step.after, ==, "");
    g_assert_false(rg_store_sync_listed(s, "k50", true, 10, 1010));
    expect_sample(s, 1010);
    step = rg_store_sync_next(s, 1010);
    g_assert_cmpstr(step.after, ==, "k50");
    g_assert_false(rg_store_sync_complete(s));
    g_assert_true(rg_store_sync_listed(s, "k70", false, 14, 1020));
    step = rg_store_sync_next(s, 1020);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(step.revision, ==, 10);
    rg_store_sync_destroy(s);
}

/* Guards against a view that counts as more recent than its rows: those of the
 * first page, the configuration among them, may have changed while the others
 * were read, and stale pages lack changes until the watch after them. */
static void
test_age_of_listing(void)
{
    struct rg_store_sync *s = create_listed_sync(1000);

    rg_store_sync_history_gone(s, 2000);
    rg_store_sync_listed(s, "k50", true, 20, 2010);
    g_assert_false(rg_store_sync_is_current(s));
    rg_store_sync_listed(s, "k70", false, 20, 2900);
    g_assert_false(rg_store_sync_is_current(s)); /* k70 was a stale read */
    rg_store_sync_watched(s, 21, true, 2910);
    g_assert_true(rg_store_sync_is_current(s));
    g_assert_cmpuint(rg_store_sync_confirmed_ms(s), ==, 2910);
    rg_store_sync_destroy(s);
    /* The same with a listing that has no stale pages. */
    s = create_listed_sync(1000);
    struct rg_store_sync_step call = rg_store_sync_next(s, 1000);
    rg_store_sync_check_era(s, &call, 0, 1000);
    rg_store_sync_check_era(s, &call, 1, 2000);
    rg_store_sync_listed(s, "k50", true, rg_revision_make(1, 5), 2010);
    g_assert_false(rg_store_sync_is_current(s));
    rg_store_sync_listed(s, "k70", false, rg_revision_make(1, 5), 2900);
    g_assert_true(rg_store_sync_is_current(s));
    g_assert_cmpuint(rg_store_sync_confirmed_ms(s), ==, 2010);
    rg_store_sync_destroy(s);
}

/* Guards against a watch that is repeated for ever since its response would be
 * too long (review/8): everything is listed without stale reads, whose watch
 * would return the same changes, and the next watch begins where that ends. */
static void
test_changes_too_long(void)
{
    struct rg_store_sync *s = create_listed_sync(1000);

    g_assert_cmpint(rg_store_sync_next(s, 1000).kind, ==, RG_STORE_SYNC_WATCH);
    rg_store_sync_changes_too_long(s, 1500);
    struct rg_store_sync_step step = rg_store_sync_next(s, 1500);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    g_assert_cmpstr(step.after, ==, "");
    rg_store_sync_listed(s, "k50", true, 30, 1510);
    step = rg_store_sync_next(s, 1510);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    g_assert_false(step.stale);
    rg_store_sync_listed(s, "k70", false, 32, 1600);
    g_assert_true(rg_store_sync_is_current(s));
    /* Large changes that go on do not make it list all the time. */
    step = rg_store_sync_next(s, 1600);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WAIT);
    g_assert_cmpuint(step.at_ms, >, 1600);
    step = rg_store_sync_next(s, step.at_ms);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(step.revision, ==, 30);
    rg_store_sync_destroy(s);
}

/* Pages after the first may be stale reads. The view is complete only once a
 * watch that does not wait has returned what they lack, starting at the oldest
 * page. If the history for that watch is gone, the next listing uses no stale
 * reads. */
static void
test_stale_pages(void)
{
    struct rg_store_sync *s = create_sync();

    g_assert_false(rg_store_sync_next(s, 1000).stale);
    g_assert_false(rg_store_sync_listed(s, "b", true, 10, 1000));
    expect_sample(s, 1000);
    g_assert_true(rg_store_sync_next(s, 1000).stale);
    g_assert_true(rg_store_sync_listed(s, "c", false, 7, 1000));
    g_assert_false(rg_store_sync_complete(s));
    struct rg_store_sync_step step = rg_store_sync_next(s, 1000);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(step.wait_ms, <=, 1);
    g_assert_cmpuint(step.revision, ==, 7);
    rg_store_sync_history_gone(s, 1000);
    rg_store_sync_listed(s, "b", true, 12, 1000);
    g_assert_false(rg_store_sync_next(s, 1000).stale);
    g_assert_true(rg_store_sync_listed(s, "c", false, 12, 1000));
    g_assert_true(rg_store_sync_complete(s));
    step = rg_store_sync_next(s, 1010);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(step.wait_ms, >, 100);
    rg_store_sync_history_gone(s, 2000);
    rg_store_sync_listed(s, "b", true, 20, 2000);
    g_assert_true(rg_store_sync_next(s, 2000).stale);
    rg_store_sync_destroy(s);
}

/* With a single page the view is complete at once, without another call. */
static void
test_one_page(void)
{
    struct rg_store_sync *s = create_sync();

    g_assert_true(rg_store_sync_listed(s, "b", false, 10, 1000));
    g_assert_true(rg_store_sync_complete(s));
    g_assert_cmpuint(rg_store_sync_revision(s), ==, 10);
    rg_store_sync_destroy(s);
}

/* A failed page is requested again, but not the pages before it. */
static void
test_listing_resumes(void)
{
    struct rg_store_sync *s = create_sync();

    rg_store_sync_listed(s, "k50", true, 10, 1000);
    expect_sample(s, 1005);
    rg_store_sync_failed(s, 1010);
    struct rg_store_sync_step step = rg_store_sync_next(s, 1010);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WAIT);
    step = rg_store_sync_next(s, step.at_ms);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    g_assert_cmpstr(step.after, ==, "k50");
    rg_store_sync_destroy(s);
}

/* Worst case of the bound: a change falls into a pause, the next watch hangs
 * on a dead connection, and the call after that succeeds. */
static void
test_bound_with_silent_connection(void)
{
    struct rg_store_sync *s = create_listed_sync(1000);
    uint64_t changed_ms = 1000;

    rg_store_sync_watched(s, 11, true, changed_ms);
    struct rg_store_sync_step step = rg_store_sync_next(s, changed_ms);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WAIT);
    uint64_t now = step.at_ms;
    step = rg_store_sync_next(s, now);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    now += step.timeout_ms;
    rg_store_sync_failed(s, now);
    step = rg_store_sync_next(s, now);
    now = step.kind == RG_STORE_SYNC_WAIT ? step.at_ms : now;
    g_assert_cmpint(rg_store_sync_next(s, now).kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(now - changed_ms, <, BOUND_MS - 200);
    rg_store_sync_destroy(s);
}

/* With a tight bound the timeouts still suffice for a reachable store, and the
 * bound is met. */
static void
test_tight_bound(void)
{
    struct rg_store_sync_opts opts = rg_store_sync_opts_for(1000, SETTLE_MS);

    g_assert_cmpuint(opts.call_ms, >=, 300);
    g_assert_cmpuint(opts.pause_ms + opts.watch_ms + opts.call_ms, <, 1000);
}

/* A watch without changes is repeated at once, one with changes after a pause.
 * Revisions never decrease. */
static void
test_pause_after_changes(void)
{
    struct rg_store_sync *s = create_listed_sync(1000);

    rg_store_sync_watched(s, 12, false, 2000);
    g_assert_cmpint(rg_store_sync_next(s, 2000).kind, ==, RG_STORE_SYNC_WATCH);
    rg_store_sync_watched(s, 15, true, 2100);
    g_assert_cmpint(rg_store_sync_next(s, 2100).kind, ==, RG_STORE_SYNC_WAIT);
    rg_store_sync_watched(s, 9, false, 4000);
    g_assert_cmpuint(rg_store_sync_next(s, 4000).revision, ==, 15);
    rg_store_sync_destroy(s);
}

/* The store no longer has the history: everything is listed again at once. */
static void
test_history_gone(void)
{
    struct rg_store_sync *s = create_listed_sync(1000);

    rg_store_sync_history_gone(s, 1500);
    struct rg_store_sync_step step = rg_store_sync_next(s, 1500);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    g_assert_cmpstr(step.after, ==, "");
    g_assert_true(rg_store_sync_complete(s));
    rg_store_sync_destroy(s);
}

/* In standby the view is still completed, but then no call is made except for
 * a refresh. When standby ends, the next watch starts at once. */
static void
test_standby(void)
{
    struct rg_store_sync *s = create_sync();

    rg_store_sync_set_standby(s, true);
    g_assert_cmpint(rg_store_sync_next(s, 1000).kind, ==, RG_STORE_SYNC_LIST);
    rg_store_sync_destroy(s);
    s = create_listed_sync(1000);
    rg_store_sync_set_standby(s, true);
    g_assert_cmpint(rg_store_sync_next(s, 1000).kind, ==, RG_STORE_SYNC_WAIT);
    rg_store_sync_refresh(s);
    struct rg_store_sync_step step = rg_store_sync_next(s, 1000);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(step.wait_ms, <=, 1);
    rg_store_sync_watched(s, 11, false, 1010);
    g_assert_cmpint(rg_store_sync_next(s, 1010).kind, ==, RG_STORE_SYNC_WAIT);
    rg_store_sync_set_standby(s, false);
    g_assert_cmpint(rg_store_sync_next(s, 1010).kind, ==, RG_STORE_SYNC_WATCH);
    rg_store_sync_destroy(s);
}

/* After a snapshot was applied, watches start at its revision. */
static void
test_snapshot_applied(void)
{
    struct rg_store_sync *s = create_sync();

    g_assert_cmpuint(rg_store_sync_revision(s), ==, 0);
    rg_store_sync_snapshot_applied(s, 42);
    g_assert_true(rg_store_sync_complete(s));
    struct rg_store_sync_step step = rg_store_sync_next(s, 1000);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(step.revision, ==, 42);
    rg_store_sync_destroy(s);
}

/* Guards against changes that stay unknown because a snapshot of an older
 * build does not carry them: the store is listed again, but not from standby,
 * and the view is used meanwhile. */
static void
test_list_again(void)
{
    struct rg_store_sync *s = create_sync();

    rg_store_sync_snapshot_applied(s, 42);
    rg_store_sync_list_again(s);
    g_assert_true(rg_store_sync_complete(s));
    g_assert_cmpuint(rg_store_sync_revision(s), ==, 42);
    rg_store_sync_set_standby(s, true);
    g_assert_cmpint(rg_store_sync_next(s, 1000).kind, ==, RG_STORE_SYNC_WAIT);
    rg_store_sync_set_standby(s, false);
    struct rg_store_sync_step step = rg_store_sync_next(s, 1000);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    g_assert_cmpstr(step.after, ==, "");
    rg_store_sync_listed(s, "servers/i-1", false, 50, 1010);
    g_assert_cmpint(rg_store_sync_next(s, 1010).kind, ==, RG_STORE_SYNC_WATCH);
    rg_store_sync_destroy(s);
}

/* Pauses after failures grow, are bounded and differ between instances, so
 * that not all of them call a recovering store at once. */
static void
test_backoff(void)
{
    struct rg_store_sync *s = create_listed_sync(1000);
    uint64_t now = 1000;
    uint64_t longest = 0;

    for (int i = 0; i < 100; i++) {
        rg_store_sync_failed(s, now);
        struct rg_store_sync_step step = rg_store_sync_next(s, now);
        g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WAIT);
        longest = MAX(longest, step.at_ms - now);
        now = step.at_ms;
    }
    g_assert_cmpuint(longest, <=, 500);
    g_assert_cmpuint(longest, >, 200);
    rg_store_sync_destroy(s);
}

/* Entries that disappear are kept only in the time after an outage in which
 * live upstreams register again. */
static void
test_lapsed_entries_kept(void)
{
    struct rg_store_sync *s = create_listed_sync(1000);

    g_assert_cmpuint(rg_store_sync_keep_ms(s, 1100), ==, 0);
    rg_store_sync_failed(s, 2000);
    /* The response that ends the outage may itself contain lapsed entries. */
    g_assert_cmpuint(rg_store_sync_keep_ms(s, 5000), ==, SETTLE_MS);
    rg_store_sync_watched(s, 12, true, 5000);
    g_assert_cmpuint(rg_store_sync_keep_ms(s, 5000), ==, SETTLE_MS);
    g_assert_cmpuint(rg_store_sync_keep_ms(s, 5000 + SETTLE_MS - 1), ==, 1);
    g_assert_cmpuint(rg_store_sync_keep_ms(s, 5000 + SETTLE_MS), ==, 0);
    rg_store_sync_destroy(s);
}

/* A server sends a response twice on a reused connection. The duplicate must
 * not be taken for the response to the next call. */
static void
test_duplicate_response(void)
{
    struct rg_store_sync_step watch = {
        .kind = RG_STORE_SYNC_WATCH, .revision = 10, .wait_ms = 750};
    struct rg_store_sync_response response = {.revision = 10, .last_key = ""};

    response.took_ms = 1; /* duplicate of a response without changes */
    g_assert_false(rg_store_sync_is_response(&watch, &response));
    response.took_ms = 750;
    g_assert_true(rg_store_sync_is_response(&watch, &response));
    response.took_ms = 1; /* duplicate of the changes up to 10 */
    response.oldest_change = 9;
    g_assert_false(rg_store_sync_is_response(&watch, &response));
    response.oldest_change = 11;
    response.revision = 11;
    g_assert_true(rg_store_sync_is_response(&watch, &response));
    response = (struct rg_store_sync_response){.revision = 9, .last_key = ""};
    g_assert_false(rg_store_sync_is_response(&watch, &response));
    watch.wait_ms = 1;
    response.revision = 10;
    g_assert_true(rg_store_sync_is_response(&watch, &response));

    struct rg_store_sync_step page = {.kind = RG_STORE_SYNC_LIST,
                                      .after = "k50"};
    response.last_key = "k50";
    g_assert_false(rg_store_sync_is_response(&page, &response));
    response.last_key = "k99";
    g_assert_true(rg_store_sync_is_response(&page, &response));
    response.last_key = ""; /* the page after the last key */
    g_assert_true(rg_store_sync_is_response(&page, &response));
}

static enum rg_store_sync_use
answer(struct rg_store_sync *s, uint32_t era, uint64_t now_ms)
{
    struct rg_store_sync_step call = rg_store_sync_next(s, now_ms);

    return rg_store_sync_check_era(s, &call, era, now_ms);
}

/* Lists a store of one page at this revision, without a stale read. */
static void
list(struct rg_store_sync *s, uint32_t era, uint64_t number, uint64_t now_ms)
{
    struct rg_store_sync_step step = rg_store_sync_next(s, now_ms);

    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_LIST);
    g_assert_false(step.stale);
    g_assert_cmpint(answer(s, era, now_ms), ==, RG_STORE_SYNC_USE);
    g_assert_true(rg_store_sync_listed(s, "b", false,
                                       rg_revision_make(era, number), now_ms));
}

/* Guards against events of a restored store that are applied as if they
 * continued the old position, since their revisions were reissued: whatever
 * the answer to a watch, everything is listed again, without stale reads. The
 * view goes on to serve, and lapsed entries are kept as after an outage. */
static void
test_new_era(void)
{
    struct rg_store_sync *s = create_listed_sync(1000);

    g_assert_cmpint(answer(s, 0, 2000), ==, RG_STORE_SYNC_USE);
    g_assert_cmpuint(rg_store_sync_keep_ms(s, 2000), ==, 0);
    g_assert_cmpint(answer(s, 1, 2000), ==, RG_STORE_SYNC_DROP);
    g_assert_true(rg_store_sync_complete(s));
    g_assert_false(rg_store_sync_is_current(s));
    g_assert_cmpuint(rg_store_sync_revision(s), ==, 10);
    g_assert_cmpuint(rg_store_sync_keep_ms(s, 2100), ==, SETTLE_MS - 100);
    g_assert_true(rg_store_sync_listing_is_provisional(s));
    g_assert_cmpstr(rg_store_sync_next(s, 2000).after, ==, "");
    g_assert_cmpint(answer(s, 1, 2000), ==, RG_STORE_SYNC_USE);
    uint64_t revision = rg_revision_make(1, 7);
    g_assert_false(rg_store_sync_listed(s, "b", true, revision, 2000));
    g_assert_false(rg_store_sync_next(s, 2000).stale);
    g_assert_true(rg_store_sync_listed(s, "c", false, revision, 2010));
    g_assert_true(rg_store_sync_is_current(s));
    g_assert_cmpuint(rg_store_sync_next(s, 2010).revision, ==, revision);
    rg_store_sync_destroy(s);
}

/* Guards against an entry that a first listing did not take over staying as it
 * is for good: a second listing follows, and another restore delays it. */
static void
test_second_listing(void)
{
    struct rg_store_sync *s = create_listed_sync(1000);

    answer(s, 1, 2000);
    list(s, 1, 7, 2000);
    g_assert_cmpint(rg_store_sync_next(s, 2000).kind, ==, RG_STORE_SYNC_WATCH);
    answer(s, 2, 4000);
    list(s, 2, 5, 4000);
    rg_store_sync_next(s, 4000);
    uint64_t due_ms = 4000 + SECOND_LISTING_MS;
    g_assert_cmpint(rg_store_sync_next(s, due_ms - 1).kind, ==,
                    RG_STORE_SYNC_WATCH);
    g_assert_true(rg_store_sync_is_provisional(s));
    g_assert_cmpint(rg_store_sync_next(s, due_ms).kind, ==,
                    RG_STORE_SYNC_LIST);
    g_assert_false(rg_store_sync_listing_is_provisional(s));
    list(s, 2, 9, due_ms);
    g_assert_false(rg_store_sync_is_provisional(s));
    g_assert_cmpint(rg_store_sync_next(s, due_ms * 2).kind, ==,
                    RG_STORE_SYNC_WATCH);
    rg_store_sync_destroy(s);
}

/* Guards against a listing made of two states of the store: pages of a newer
 * era start it over, and a stale read of an older one counts as failed. */
static void
test_pages_of_two_eras(void)
{
    struct rg_store_sync *s = create_sync();

    answer(s, 0, 1000);
    rg_store_sync_listed(s, "k50", true, 10, 1000);
    expect_sample(s, 1000);
    g_assert_cmpint(answer(s, 1, 1010), ==, RG_STORE_SYNC_DROP);
    g_assert_cmpstr(rg_store_sync_next(s, 1010).after, ==, "");
    g_assert_cmpint(answer(s, 1, 1010), ==, RG_STORE_SYNC_USE);
    rg_store_sync_listed(s, "k50", true, rg_revision_make(1, 5), 1010);
    g_assert_cmpint(answer(s, 0, 1020), ==, RG_STORE_SYNC_FAIL);
    rg_store_sync_failed(s, 1020);
    struct rg_store_sync_step step = rg_store_sync_next(s, 3000);
    g_assert_cmpstr(step.after, ==, "k50");
    g_assert_false(step.stale);
    rg_store_sync_destroy(s);
}

/* An answer of an older era changes nothing but the next try. */
static void
test_older_era(void)
{
    struct rg_store_sync *s = create_listed_sync(1000);

    answer(s, 3, 2000);
    list(s, 3, 7, 2000);
    g_assert_cmpint(answer(s, 2, 2010), ==, RG_STORE_SYNC_FAIL);
    g_assert_cmpuint(rg_store_sync_era(s), ==, 3);
    struct rg_store_sync_step step = rg_store_sync_next(s, 2010);
    g_assert_cmpint(step.kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_cmpuint(step.revision, ==, rg_revision_make(3, 7));
    rg_store_sync_destroy(s);
}

/* Guards against the answer to a watch of the old position that arrives after
 * a peer's snapshot has moved the view to the new era: its events start after
 * a revision of that era that the view does not have. */
static void
test_snapshot_during_watch(void)
{
    struct rg_store_sync *s = create_listed_sync(1000);
    struct rg_store_sync_step watch = rg_store_sync_next(s, 1000);
    uint64_t revision = rg_revision_make(1, 7);

    rg_store_sync_snapshot_applied(s, revision);
    g_assert_true(rg_store_sync_is_provisional(s));
    g_assert_cmpint(rg_store_sync_check_era(s, &watch, 1, 1100), ==,
                    RG_STORE_SYNC_DROP);
    g_assert_cmpuint(rg_store_sync_next(s, 1100).revision, ==, revision);
    /* A view of an older era does not end the listing of a new one. */
    answer(s, 2, 1200);
    rg_store_sync_snapshot_applied(s, revision + 1);
    g_assert_cmpint(rg_store_sync_next(s, 1200).kind, ==, RG_STORE_SYNC_LIST);
    rg_store_sync_destroy(s);
}

/* An instance that starts after a restore knows nothing that it could lose: no
 * second listing, but its view counts as provisional for that time. */
static void
test_start_after_restore(void)
{
    struct rg_store_sync *s = create_sync();

    list(s, 4, 9, 1000);
    g_assert_cmpint(rg_store_sync_next(s, 1000).kind, ==, RG_STORE_SYNC_WATCH);
    g_assert_true(rg_store_sync_is_provisional(s));
    g_assert_cmpuint(rg_store_sync_keep_ms(s, 1000), ==, 0);
    uint64_t due_ms = 1000 + SECOND_LISTING_MS;
    g_assert_cmpint(rg_store_sync_next(s, due_ms).kind, ==,
                    RG_STORE_SYNC_WATCH);
    g_assert_false(rg_store_sync_is_provisional(s));
    rg_store_sync_destroy(s);
}

/* Guards against a fleet whose instances all list the store twice: in standby
 * peers have as much time again to settle the view. A listing that standby
 * found necessary itself is not interrupted by it. */
static void
test_new_era_in_standby(void)
{
    struct rg_store_sync *s = create_listed_sync(1000);

    rg_store_sync_set_standby(s, true);
    rg_store_sync_snapshot_applied(s, rg_revision_make(1, 7));
    g_assert_cmpint(rg_store_sync_next(s, 2000).kind, ==, RG_STORE_SYNC_WAIT);
    uint64_t due_ms = 2000 + SECOND_LISTING_MS;
    g_assert_cmpint(rg_store_sync_next(s, due_ms + 1000).kind, ==,
                    RG_STORE_SYNC_WAIT);
    g_assert_cmpint(rg_store_sync_next(s, due_ms * 2).kind, ==,
                    RG_STORE_SYNC_LIST);
    rg_store_sync_settled(s);
    rg_store_sync_snapshot_applied(s, rg_revision_make(1, 8));
    rg_store_sync_refresh(s);
    answer(s, 2, due_ms * 2);
    g_assert_cmpint(rg_store_sync_next(s, due_ms * 2).kind, ==,
                    RG_STORE_SYNC_LIST);
    answer(s, 2, due_ms * 2);
    rg_store_sync_listed(s, "b", true, rg_revision_make(2, 5), due_ms * 2);
    g_assert_cmpint(rg_store_sync_next(s, due_ms * 2).kind, ==,
                    RG_STORE_SYNC_LIST);
    rg_store_sync_destroy(s);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store-sync/duplicate-response", test_duplicate_response);
    g_test_add_func("/store-sync/sample", test_sample);
    g_test_add_func("/store-sync/listing-pages", test_listing_pages);
    g_test_add_func("/store-sync/age-of-listing", test_age_of_listing);
    g_test_add_func("/store-sync/changes-too-long", test_changes_too_long);
    g_test_add_func("/store-sync/stale-pages", test_stale_pages);
    g_test_add_func("/store-sync/one-page", test_one_page);
    g_test_add_func("/store-sync/listing-resumes", test_listing_resumes);
    g_test_add_func("/store-sync/bound-with-silent-connection",
                    test_bound_with_silent_connection);
    g_test_add_func("/store-sync/tight-bound", test_tight_bound);
    g_test_add_func("/store-sync/pause-after-changes",
                    test_pause_after_changes);
    g_test_add_func("/store-sync/history-gone", test_history_gone);
    g_test_add_func("/store-sync/standby", test_standby);
    g_test_add_func("/store-sync/snapshot-applied", test_snapshot_applied);
    g_test_add_func("/store-sync/list-again", test_list_again);
    g_test_add_func("/store-sync/backoff", test_backoff);
    g_test_add_func("/store-sync/lapsed-entries-kept",
                    test_lapsed_entries_kept);
    g_test_add_func("/store-sync/new-era", test_new_era);
    g_test_add_func("/store-sync/second-listing", test_second_listing);
    g_test_add_func("/store-sync/pages-of-two-eras", test_pages_of_two_eras);
    g_test_add_func("/store-sync/older-era", test_older_era);
    g_test_add_func("/store-sync/snapshot-during-watch",
                    test_snapshot_during_watch);
    g_test_add_func("/store-sync/start-after-restore",
                    test_start_after_restore);
    g_test_add_func("/store-sync/new-era-in-standby", test_new_era_in_standby);
    return g_test_run();
}
