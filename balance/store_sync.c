#include "balance/store_sync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

/* Shares of the bound on a view's lag. A change may fall into a pause, then
 * into a watch on a connection that has fallen silent; the call after that
 * must still be answered in time. */
#define PAUSE_PERCENT 20
#define WATCH_PERCENT 25
#define CALL_PERCENT 12
#define CONNECT_PERCENT 8
/* A store in reach may take as long, whatever the bound. */
#define CALL_LEAST_MS 300
#define CONNECT_LEAST_MS 150

/* How often a covered instance looks whether it still is. */
#define COVERED_WAIT_MS 1000

/* A watch that waits less may come back empty at any time. */
#define EARLY_WAIT_LEAST_MS 200

/* A watch that asks only for what is there already. */
#define CATCH_UP_WAIT_MS 1

/* Pauses after failures: a store that comes back is asked by all at once. */
#define RETRY_FIRST_MS 80
#define RETRY_MOST_MS 500

struct rg_store_sync {
    struct rg_store_sync_opts opts;
    struct rg_rand rand;
    bool listing;     /* else watching */
    bool strict;      /* listings must not be stale */
    bool catching_up; /* the next watch brings what a listing lacks */
    bool complete;
    bool sampled; /* or tried in vain */
    bool covered;
    bool refresh; /* one call is due, though covered */
    char after[RG_STORE_SYNC_KEY_MAX + 1];
    uint64_t listing_revision; /* of the oldest page of the listing */
    uint64_t revision;
    uint64_t not_before_ms; /* no call before */
    uint64_t confirmed_ms;
    uint64_t returned_ms; /* first answer after the last failure */
    uint32_t failures;    /* in a row */
};

static uint32_t
percent(uint32_t whole, uint32_t share)
{
    return (uint32_t)((uint64_t)whole * share / 100);
}

static uint32_t
at_least(uint32_t value, uint32_t least)
{
    return value > least ? value : least;
}

static void
restart_listing(struct rg_store_sync *f)
{
    f->listing = true;
    f->after[0] = '\0';
}

static void
answered(struct rg_store_sync *f, uint64_t now_ms)
{
    if (f->failures > 0) {
        f->returned_ms = now_ms;
    }
    f->failures = 0;
    f->refresh = false;
    f->confirmed_ms = now_ms;
}

/* The first page is never stale: a listing of one page is complete at once,
 * and of many only one counts against the store's rates. */
static bool
is_stale_page(const struct rg_store_sync *f)
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
    if (f->covered && f->complete && !f->refresh) {
        return (struct rg_store_sync_step){.kind = RG_STORE_SYNC_WAIT,
                                           .at_ms = now_ms + COVERED_WAIT_MS};
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
                                           .stale = is_stale_page(f),
                                           .timeout_ms = f->opts.call_ms};
    }
    uint32_t wait_ms =
        f->catching_up || f->covered ? CATCH_UP_WAIT_MS : f->opts.watch_ms;
    return (struct rg_store_sync_step){
        .kind = RG_STORE_SYNC_WATCH,
        .revision = f->revision,
        .wait_ms = wait_ms,
        .timeout_ms = wait_ms + f->opts.call_ms,
    };
}

static bool
is_answer_to_watch(const struct rg_store_sync_step *asked,
                   const struct rg_store_sync_response *got)
{
    if (got->revision < asked->revision) {
        return false;
    }
    if (got->oldest_change != 0) {
        return got->oldest_change > asked->revision;
    }
    return asked->wait_ms < EARLY_WAIT_LEAST_MS ||
           got->revision > asked->revision ||
           got->took_ms * 2 >= asked->wait_ms;
}

bool
rg_store_sync_is_response(const struct rg_store_sync_step *asked,
                          const struct rg_store_sync_response *got)
{
    switch (asked->kind) {
    case RG_STORE_SYNC_WATCH:
        return is_answer_to_watch(asked, got);
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
    answered(f, now_ms);
    if (rg_store_sync_is_first_page(f) || revision < f->listing_revision) {
        f->listing_revision = revision;
    }
    bool was_stale = is_stale_page(f);
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
    answered(f, now_ms);
    f->sampled = true;
}

void
rg_store_sync_watched(struct rg_store_sync *f, uint64_t revision, bool changes,
                      uint64_t now_ms)
{
    answered(f, now_ms);
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
    answered(f, now_ms);
    /* A stale listing whose own history is gone would be of no use again. */
    f->strict = f->catching_up;
    f->catching_up = false;
    restart_listing(f);
}

void
rg_store_sync_failed(struct rg_store_sync *f, uint64_t now_ms)
{
    uint64_t most = f->opts.retry_first_ms;

    for (uint32_t i = 0; i < f->failures && most < f->opts.retry_most_ms; i++)
    {
        most *= 2;
    }
    if (most > f->opts.retry_most_ms) {
        most = f->opts.retry_most_ms;
    }
    f->failures++;
    f->sampled = f->sampled || wants_sample(f);
    f->not_before_ms =
        now_ms + most / 4 + rg_rand_below(&f->rand, (uint32_t)(most * 3 / 4));
}

void
rg_store_sync_paused(struct rg_store_sync *f, uint64_t now_ms)
{
    f->failures++;
    f->not_before_ms = now_ms;
}

void
rg_store_sync_set_standby(struct rg_store_sync *f, bool covered)
{
    f->covered = covered;
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
    uint64_t until = f->returned_ms + f->opts.settle_ms;

    if (f->failures > 0) {
        return f->opts.settle_ms; /* the first answer is being applied */
    }
    if (f->returned_ms == 0 || now_ms >= until) {
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
        .call_ms = at_least(percent(bound_ms, CALL_PERCENT), CALL_LEAST_MS),
        .connect_ms =
            at_least(percent(bound_ms, CONNECT_PERCENT), CONNECT_LEAST_MS),
        .retry_first_ms = RETRY_FIRST_MS,
        .retry_most_ms = RETRY_MOST_MS,
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
