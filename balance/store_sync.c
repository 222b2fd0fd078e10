#include "balance/store_sync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance/revision.h"
#include "common/mem.h"

/* Percentages of the bound on the view's lag. In the worst case a change falls
 * into a pause, the next watch hangs on a dead connection, and the call after
 * that must still be answered in time. */
#define PAUSE_PERCENT 20
#define WATCH_PERCENT 25
#define CALL_PERCENT 12
#define CONNECT_PERCENT 8
/* Minimum timeouts, whatever the bound: a reachable store may take this
 * long. */
#define CALL_MIN_MS 300
#define CONNECT_MIN_MS 150

/* How often an instance in standby checks whether it still is. */
#define STANDBY_CHECK_MS 1000

/* A watch with a shorter wait may return without changes at any time. */
#define EARLY_RETURN_MIN_WAIT_MS 200

/* A watch that returns only what is already there. */
#define CATCH_UP_WAIT_MS 1

/* Maximum pauses after failures. They are random, so that not all instances
 * call a recovering store at once. */
#define RETRY_FIRST_MS 80
#define RETRY_MAX_MS 500

/* Interval at which upstreams write their entries. */
#define HEARTBEAT_MS 1200
/* After its return an upstream has written its entry so many times before the
 * second listing of an era, even if two of them were late. */
#define HEARTBEATS_BEFORE_SETTLING 3

struct rg_store_sync {
    struct rg_store_sync_opts opts;
    struct rg_rand rand;
    bool listing;      /* else watching */
    bool strict;       /* stale reads are not allowed in the listing */
    bool many_changes; /* listing, since a watch had too many changes */
    bool catching_up;  /* the next watch completes a listing of stale reads */
    bool complete;
    bool sampled; /* a sample was read, or reading it failed */
    bool standby;
    bool refresh;          /* make one call in spite of standby */
    uint32_t era;          /* highest known of the store */
    bool known;            /* the era has been seen, or a snapshot applied */
    bool relisting;        /* listing, since the era is new */
    bool provisional;      /* rows may be older than what others know */
    bool exact;            /* all rows are from the store of this era */
    bool settling;         /* the listing is the second one of the era */
    uint64_t settle_at_ms; /* when that is due, 0: not determined yet */
    char after[RG_STORE_SYNC_KEY_MAX + 1];
    uint64_t listing_revision; /* oldest of its pages */
    uint64_t listing_ms;       /* when the first of its pages arrived */
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
restart_listing(struct rg_store_sync *s)
{
    s->listing = true;
    s->after[0] = '\0';
}

static void
call_succeeded(struct rg_store_sync *s, uint64_t now_ms)
{
    if (s->failures > 0) {
        s->recovered_ms = now_ms;
    }
    s->failures = 0;
    s->refresh = false;
    s->confirmed_ms = now_ms;
}

/* The first page is never a stale read: a listing of one page is then complete
 * at once, and of a longer listing only one page counts against the store's
 * rate limits. */
static bool
allows_stale_read(const struct rg_store_sync *s)
{
    return !s->strict && !rg_store_sync_is_first_page(s);
}

static bool
wants_sample(const struct rg_store_sync *s)
{
    return s->listing && !s->complete && !s->sampled &&
           !rg_store_sync_is_first_page(s);
}

static uint32_t
settle_delay_ms(const struct rg_store_sync *s)
{
    return s->opts.settle_ms + HEARTBEATS_BEFORE_SETTLING * HEARTBEAT_MS;
}

void
rg_store_sync_settled(struct rg_store_sync *s)
{
    s->provisional = false;
    s->settling = false;
    s->settle_at_ms = 0;
}

/* Starts the second listing once it is due. In standby a peer's snapshot
 * usually makes it needless. */
static void
settle_if_due(struct rg_store_sync *s, uint64_t now_ms)
{
    if (!s->provisional || s->settling || s->listing || s->catching_up) {
        return;
    }
    if (s->settle_at_ms == 0) {
        s->settle_at_ms = now_ms + settle_delay_ms(s);
    }
    uint64_t at_ms = s->settle_at_ms;
    if (s->standby && !s->exact) {
        at_ms += settle_delay_ms(s) / 2 +
                 (uint32_t)s->opts.seed % (settle_delay_ms(s) / 2 + 1);
    }
    if (now_ms < at_ms) {
        return;
    }
    if (s->exact) {
        rg_store_sync_settled(s);
        return;
    }
    s->settling = true;
    restart_listing(s);
}

struct rg_store_sync_step
rg_store_sync_next(struct rg_store_sync *s, uint64_t now_ms)
{
    settle_if_due(s, now_ms);
    if (now_ms < s->not_before_ms) {
        return (struct rg_store_sync_step){.kind = RG_STORE_SYNC_WAIT,
                                           .at_ms = s->not_before_ms};
    }
    if (s->standby && s->complete && !s->refresh && !s->relisting &&
        !s->settling) {
        return (struct rg_store_sync_step){.kind = RG_STORE_SYNC_WAIT,
                                           .at_ms = now_ms + STANDBY_CHECK_MS};
    }
    if (wants_sample(s)) {
        return (struct rg_store_sync_step){
            .kind = RG_STORE_SYNC_SAMPLE,
            .position = (uint32_t)rg_rand_next(&s->rand),
            .era = s->era,
            .timeout_ms = s->opts.call_ms,
        };
    }
    if (s->listing) {
        return (struct rg_store_sync_step){.kind = RG_STORE_SYNC_LIST,
                                           .after = s->after,
                                           .stale = allows_stale_read(s),
                                           .era = s->era,
                                           .timeout_ms = s->opts.call_ms};
    }
    uint32_t wait_ms =
        s->catching_up || s->standby ? CATCH_UP_WAIT_MS : s->opts.watch_ms;
    return (struct rg_store_sync_step){
        .kind = RG_STORE_SYNC_WATCH,
        .revision = s->revision,
        .era = rg_revision_era(s->revision),
        .wait_ms = wait_ms,
        .timeout_ms = wait_ms + s->opts.call_ms,
    };
}

static bool
is_watch_response(const struct rg_store_sync_step *call,
                  const struct rg_store_sync_response *response)
{
    if (response->revision < call->revision) {
        return false;
    }
    if (response->oldest_change != 0) {
        return response->oldest_change > call->revision;
    }
    return call->wait_ms < EARLY_RETURN_MIN_WAIT_MS ||
           response->revision > call->revision ||
           response->took_ms * 2 >= call->wait_ms;
}

bool
rg_store_sync_is_response(const struct rg_store_sync_step *call,
                          const struct rg_store_sync_response *response)
{
    switch (call->kind) {
    case RG_STORE_SYNC_WATCH:
        return is_watch_response(call, response);
    case RG_STORE_SYNC_LIST:
        return response->last_key[0] == '\0' ||
               strcmp(response->last_key, call->after) > 0;
    default:
        return true;
    }
}

/* The view goes on to serve, and its entries are kept as after an outage. */
static void
begin_era(struct rg_store_sync *s, uint32_t era, uint64_t now_ms)
{
    s->era = era;
    s->provisional = true;
    s->exact = !s->known;
    s->strict = s->known;
    s->relisting = s->known;
    s->settling = false;
    s->settle_at_ms = 0;
    s->catching_up = false;
    s->failures = 0;
    s->refresh = false;
    if (s->known) {
        s->recovered_ms = now_ms;
    }
    restart_listing(s);
}

bool
rg_store_sync_continues(const struct rg_store_sync *s,
                        const struct rg_store_sync_step *call)
{
    switch (call->kind) {
    case RG_STORE_SYNC_LIST:
        return s->listing && call->era == s->era &&
               strcmp(call->after, s->after) == 0;
    case RG_STORE_SYNC_WATCH:
        return !s->listing && call->era == rg_revision_era(s->revision);
    default:
        return call->era == s->era;
    }
}

enum rg_store_sync_use
rg_store_sync_check_era(struct rg_store_sync *s,
                        const struct rg_store_sync_step *call, uint32_t era,
                        uint64_t now_ms)
{
    if (era < s->era) {
        /* A stale read, or a duplicate of an earlier response. */
        s->strict = s->strict || s->listing;
        return RG_STORE_SYNC_FAIL;
    }
    if (era == s->era) {
        s->known = true;
        return rg_store_sync_continues(s, call) ? RG_STORE_SYNC_USE
                                                : RG_STORE_SYNC_DROP;
    }
    /* The first page is never a stale read. */
    bool is_first_page = s->listing && call->kind == RG_STORE_SYNC_LIST &&
                         call->after[0] == '\0';
    begin_era(s, era, now_ms);
    s->known = true;
    return is_first_page ? RG_STORE_SYNC_USE : RG_STORE_SYNC_DROP;
}

bool
rg_store_sync_is_first_page(const struct rg_store_sync *s)
{
    return s->after[0] == '\0';
}

bool
rg_store_sync_listed(struct rg_store_sync *s, const char *last_key, bool more,
                     uint64_t revision, uint64_t now_ms)
{
    call_succeeded(s, now_ms);
    if (rg_store_sync_is_first_page(s)) {
        s->listing_ms = now_ms;
    }
    s->confirmed_ms = s->listing_ms;
    if (rg_store_sync_is_first_page(s) || revision < s->listing_revision) {
        s->listing_revision = revision;
    }
    bool was_stale = allows_stale_read(s);
    if (more && last_key[0] != '\0') {
        snprintf(s->after, sizeof(s->after), "%s", last_key);
        return false;
    }
    s->listing = false;
    s->catching_up = was_stale;
    s->complete = s->complete || !was_stale;
    s->strict = false;
    s->relisting = false;
    s->revision = s->listing_revision;
    if (s->settling) {
        rg_store_sync_settled(s);
    }
    if (s->many_changes) {
        s->many_changes = false;
        s->not_before_ms = now_ms + s->opts.pause_ms;
    }
    return true;
}

void
rg_store_sync_sampled(struct rg_store_sync *s, uint64_t now_ms)
{
    call_succeeded(s, now_ms);
    s->sampled = true;
}

void
rg_store_sync_watched(struct rg_store_sync *s, uint64_t revision, bool changes,
                      uint64_t now_ms)
{
    call_succeeded(s, now_ms);
    if (revision > s->revision) {
        s->revision = revision;
    }
    if (s->catching_up) {
        s->catching_up = false;
        s->complete = true;
        s->strict = false;
        return;
    }
    if (changes) {
        s->not_before_ms = now_ms + s->opts.pause_ms;
    }
}

void
rg_store_sync_history_gone(struct rg_store_sync *s, uint64_t now_ms)
{
    call_succeeded(s, now_ms);
    /* If the history needed to complete a listing of stale reads is gone,
     * another such listing could fail in the same way. */
    s->strict = s->catching_up;
    s->catching_up = false;
    restart_listing(s);
}

void
rg_store_sync_changes_too_long(struct rg_store_sync *s, uint64_t now_ms)
{
    rg_store_sync_history_gone(s, now_ms);
    s->strict = true;
    s->many_changes = true;
}

void
rg_store_sync_failed(struct rg_store_sync *s, uint64_t now_ms)
{
    uint64_t max = s->opts.retry_first_ms;

    for (uint32_t i = 0; i < s->failures && max < s->opts.retry_max_ms; i++) {
        max *= 2;
    }
    if (max > s->opts.retry_max_ms) {
        max = s->opts.retry_max_ms;
    }
    s->failures++;
    s->sampled = s->sampled || wants_sample(s);
    s->not_before_ms =
        now_ms + max / 4 + rg_rand_below(&s->rand, (uint32_t)(max * 3 / 4));
}

void
rg_store_sync_paused(struct rg_store_sync *s, uint64_t now_ms)
{
    s->failures++;
    s->not_before_ms = now_ms;
}

void
rg_store_sync_set_standby(struct rg_store_sync *s, bool standby)
{
    s->standby = standby;
}

void
rg_store_sync_refresh(struct rg_store_sync *s)
{
    s->refresh = true;
}

void
rg_store_sync_snapshot_applied(struct rg_store_sync *s, uint64_t revision)
{
    uint32_t era = rg_revision_era(revision);

    if (era < s->era) {
        return; /* a listing of a newer era is in progress */
    }
    if (era > s->era) {
        s->era = era;
        s->provisional = true;
        s->exact = false;
        s->settle_at_ms = 0;
    }
    s->known = true;
    s->relisting = false;
    s->settling = false;
    s->listing = false;
    s->catching_up = false;
    s->complete = true;
    s->strict = false;
    s->revision = revision;
}

void
rg_store_sync_list_again(struct rg_store_sync *s)
{
    restart_listing(s);
}

uint64_t
rg_store_sync_revision(const struct rg_store_sync *s)
{
    return s->complete || s->catching_up ? s->revision : 0;
}

bool
rg_store_sync_failing(const struct rg_store_sync *s)
{
    return s->failures > 0;
}

bool
rg_store_sync_is_current(const struct rg_store_sync *s)
{
    return s->complete && !s->listing && !s->catching_up;
}

uint32_t
rg_store_sync_era(const struct rg_store_sync *s)
{
    return s->era;
}

bool
rg_store_sync_is_provisional(const struct rg_store_sync *s)
{
    return s->provisional;
}

bool
rg_store_sync_listing_is_provisional(const struct rg_store_sync *s)
{
    return s->provisional && !s->settling;
}

bool
rg_store_sync_is_settling(const struct rg_store_sync *s)
{
    return s->settling;
}

bool
rg_store_sync_complete(const struct rg_store_sync *s)
{
    return s->complete;
}

uint64_t
rg_store_sync_confirmed_ms(const struct rg_store_sync *s)
{
    return s->confirmed_ms;
}

uint64_t
rg_store_sync_keep_ms(const struct rg_store_sync *s, uint64_t now_ms)
{
    uint64_t until = s->recovered_ms + s->opts.settle_ms;

    if (s->failures > 0) {
        return s->opts.settle_ms; /* the first response is being applied */
    }
    if (s->recovered_ms == 0 || now_ms >= until) {
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
        .retry_max_ms = RETRY_MAX_MS,
        .settle_ms = settle_ms,
    };
}

struct rg_store_sync *
rg_store_sync_create(const struct rg_store_sync_opts *opts)
{
    struct rg_store_sync *s = rg_calloc(1, sizeof(*s));

    s->opts = *opts;
    s->rand.state = opts->seed;
    restart_listing(s);
    return s;
}

void
rg_store_sync_destroy(struct rg_store_sync *s)
{
    free(s);
}
