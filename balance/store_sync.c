#include "balance/store_sync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

/* Percentages of the bound on the view's lag. In the worst case a change falls
 * into a pause, the next watch hangs on a dead connection, and the call after
 * that must still be answered in time. */
#define PAUSE_PERCENT 20
#define WATCH_PERCENT 25
#define CALL_PERCENT 12
#define CONNECT_PERCENT 8
/* Minimum timeouts, for a store that is reachable but slow. */
#define CALL_MIN_MS 300
#define CONNECT_MIN_MS 150

/* How often an instance in standby checks whether it still is. */
#define STANDBY_CHECK_MS 1000

/* A watch with a shorter wait may return without changes at any time. */
#define EARLY_RETURN_MIN_WAIT_MS 200

/* A watch that returns only what is already there. */
#define CATCH_UP_WAIT_MS 1

/* Pauses after failures. Random, so that not all instances call a recovering
 * store at once. */
#define RETRY_FIRST_MS 80
#define RETRY_MAX_MS 500

struct rg_store_sync {
    struct rg_store_sync_opts opts;
    struct rg_rand rand;
    bool listing;     /* else watching */
    bool strict;      /* stale reads are not allowed in the listing */
    bool catching_up; /* the next watch completes a listing of stale reads */
    bool complete;
    bool sampled; /* or reading it failed */
    bool standby;
    bool refresh; /* make one call in spite of standby */
    char after[RG_STORE_SYNC_KEY_MAX + 1];
    uint64_t listing_revision; /* oldest of its pages */
    uint64_t revision;
    uint64_t not_before_ms; /* make no call before */
    uint64_t confirmed_ms;
    uint64_t recovered_ms; /* first response after the last failure */
    uint32_t failures;     /* in a row */
};

static uint32_t
percent(uint32_t whole, uint32_t share)
{
    return (uint32_t)((uint64_t)whole * share / 100);
}

static uint32_t
max_u32(uint32_t value, uint32_t min)
{
    return value > min ? value : min;
}

static void
restart_listing(struct rg_store_sync *f)
{
    f->listing = true;
    f->after[0] = '\0';
}

static void
call_succeeded(struct rg_store_sync *f, uint64_t now_ms)
{
    if (f->failures > 0) {
        f->recovered_ms = now_ms;
    }
    f->failures = 0;
    f->refresh = false;
    f->confirmed_ms = now_ms;
}

/* The first page is never a stale read: a listing of one page is then complete
 * at once, and of a longer listing only one page counts against the store's
 * rate limits. */
static bool
allows_stale_read(const struct rg_store_sync *f)
{
    return !f->strict && !rg_store_sync_is_first_page(f);
}

static bool
wants_sample(const struct rg_store_sync *f)
{
    return f->listing && !f->complete && !f->sampled &&
           !rg_store_sync_is_first_page(f);
}

struct rg_store_sync_step
rg_store_sync_next(struct rg_store_sync *f, uint64_t now_ms)
{
    if (now_ms < f->not_before_ms) {
        return (struct rg_store_sync_step){.kind = RG_STORE_SYNC_WAIT,
                                           .at_ms = f->not_before_ms};
    }
    if (f->standby && f->complete && !f->refresh) {
        return (struct rg_store_sync_step){.kind = RG_STORE_SYNC_WAIT,
                                           .at_ms = now_ms + STANDBY_CHECK_MS};
    }
    if (wants_sample(f)) {
        return (struct rg_store_sync_step){
            .kind = RG_STORE_SYNC_SAMPLE,
            .place = (uint32_t)rg_rand_next(&f->rand),
            .timeout_ms = f->opts.call_ms,
        };
    }
    if (f->listing) {
        return (struct rg_store_sync_step){.kind = RG_STORE_SYNC_LIST,
                                           .after = f->after,
                                           .stale = allows_stale_read(f),
                                           .timeout_ms = f->opts.call_ms};
    }
    uint32_t wait_ms =
        f->catching_up || f->standby ? CATCH_UP_WAIT_MS : f->opts.watch_ms;
    return (struct rg_store_sync_step){
        .kind = RG_STORE_SYNC_WATCH,
        .revision = f->revision,
        .wait_ms = wait_ms,
        .timeout_ms = wait_ms + f->opts.call_ms,
    };
}

static bool
is_watch_answer(const struct rg_store_sync_step *asked,
                const struct rg_store_sync_response *got)
{
    if (got->revision < asked->revision) {
        return false;
    }
    if (got->oldest_change != 0) {
        return got->oldest_change > asked->revision;
    }
    return asked->wait_ms < EARLY_RETURN_MIN_WAIT_MS ||
           got->revision > asked->revision ||
           got->took_ms * 2 >= asked->wait_ms;
}

bool
rg_store_sync_is_response(const struct rg_store_sync_step *asked,
                          const struct rg_store_sync_response *got)
{
    switch (asked->kind) {
    case RG_STORE_SYNC_WATCH:
        return is_watch_answer(asked, got);
    case RG_STORE_SYNC_LIST:
        return got->last_key[0] == '\0' ||
               strcmp(got->last_key, asked->after) > 0;
    default:
        return true;
    }
}

bool
rg_store_sync_is_first_page(const struct rg_store_sync *f)
{
    return f->after[0] == '\0';
}

bool
rg_store_sync_listed(struct rg_store_sync *f, const char *last_key, bool more,
                     uint64_t revision, uint64_t now_ms)
{
    call_succeeded(f, now_ms);
    if (rg_store_sync_is_first_page(f) || revision < f->listing_revision) {
        f->listing_revision = revision;
    }
    bool was_stale = allows_stale_read(f);
    if (more && last_key[0] != '\0') {
        snprintf(f->after, sizeof(f->after), "%s", last_key);
        return false;
    }
    f->listing = false;
    f->catching_up = was_stale;
    f->complete = f->complete || !was_stale;
    f->strict = false;
    f->revision = f->listing_revision;
    return true;
}

void
rg_store_sync_sampled(struct rg_store_sync *f, uint64_t now_ms)
{
    call_succeeded(f, now_ms);
    f->sampled = true;
}

void
rg_store_sync_watched(struct rg_store_sync *f, uint64_t revision, bool changes,
                      uint64_t now_ms)
{
    call_succeeded(f, now_ms);
    if (revision > f->revision) {
        f->revision = revision;
    }
    if (f->catching_up) {
        f->catching_up = false;
        f->complete = true;
        f->strict = false;
        return;
    }
    if (changes) {
        f->not_before_ms = now_ms + f->opts.pause_ms;
    }
}

void
rg_store_sync_history_gone(struct rg_store_sync *f, uint64_t now_ms)
{
    call_succeeded(f, now_ms);
    /* If the history since a listing of stale reads is gone, another one could
     * fail in the same way. */
    f->strict = f->catching_up;
    f->catching_up = false;
    restart_listing(f);
}

void
rg_store_sync_failed(struct rg_store_sync *f, uint64_t now_ms)
{
    uint64_t max = f->opts.retry_first_ms;

    for (uint32_t i = 0; i < f->failures && max < f->opts.retry_most_ms; i++) {
        max *= 2;
    }
    if (max > f->opts.retry_most_ms) {
        max = f->opts.retry_most_ms;
    }
    f->failures++;
    f->sampled = f->sampled || wants_sample(f);
    f->not_before_ms =
        now_ms + max / 4 + rg_rand_below(&f->rand, (uint32_t)(max * 3 / 4));
}

void
rg_store_sync_paused(struct rg_store_sync *f, uint64_t now_ms)
{
    f->failures++;
    f->not_before_ms = now_ms;
}

void
rg_store_sync_set_standby(struct rg_store_sync *f, bool standby)
{
    f->standby = standby;
}

void
rg_store_sync_refresh(struct rg_store_sync *f)
{
    f->refresh = true;
}

void
rg_store_sync_snapshot_applied(struct rg_store_sync *f, uint64_t revision)
{
    f->listing = false;
    f->catching_up = false;
    f->complete = true;
    f->strict = false;
    f->revision = revision;
}

uint64_t
rg_store_sync_revision(const struct rg_store_sync *f)
{
    return f->complete || f->catching_up ? f->revision : 0;
}

bool
rg_store_sync_failing(const struct rg_store_sync *f)
{
    return f->failures > 0;
}

bool
rg_store_sync_complete(const struct rg_store_sync *f)
{
    return f->complete;
}

uint64_t
rg_store_sync_confirmed_ms(const struct rg_store_sync *f)
{
    return f->confirmed_ms;
}

uint64_t
rg_store_sync_keep_ms(const struct rg_store_sync *f, uint64_t now_ms)
{
    uint64_t until = f->recovered_ms + f->opts.settle_ms;

    if (f->failures > 0) {
        return f->opts.settle_ms; /* the first response is being applied */
    }
    if (f->recovered_ms == 0 || now_ms >= until) {
        return 0;
    }
    return until - now_ms;
}

struct rg_store_sync_opts
rg_store_sync_opts_for(uint32_t bound_ms, uint32_t settle_ms)
{
    return (struct rg_store_sync_opts){
        .pause_ms = percent(bound_ms, PAUSE_PERCENT),
        .watch_ms = percent(bound_ms, WATCH_PERCENT),
        .call_ms = max_u32(percent(bound_ms, CALL_PERCENT), CALL_MIN_MS),
        .connect_ms =
            max_u32(percent(bound_ms, CONNECT_PERCENT), CONNECT_MIN_MS),
        .retry_first_ms = RETRY_FIRST_MS,
        .retry_most_ms = RETRY_MAX_MS,
        .settle_ms = settle_ms,
    };
}

struct rg_store_sync *
rg_store_sync_create(const struct rg_store_sync_opts *opts)
{
    struct rg_store_sync *f = rg_calloc(1, sizeof(*f));

    f->opts = *opts;
    f->rand.state = opts->seed;
    restart_listing(f);
    return f;
}

void
rg_store_sync_destroy(struct rg_store_sync *f)
{
    free(f);
}
