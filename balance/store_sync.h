/* Following the store: which call to make next, and how fresh the view is.
 *
 * Lists all keys, then watches them from the revision of the listing's oldest
 * page on. Pages after the first may be stale, which costs less and is not
 * counted against the store's rates: a fleet that starts at once does not
 * exhaust them. The watch after such a listing brings what it lacks, and only
 * then is the view complete. Where the first listing has several pages, a
 * sample of the upstreams is read after the first: enough to open flows with
 * while a fleet that started at once reads the rest. Watches follow each other
 * with a pause after each that brings changes, so that one call carries many.
 * A listing starts again when the store has forgotten the history. Calls that
 * fail are repeated with growing, random pauses. No I/O; time is passed in;
 * one owner. */
#ifndef RG_BALANCE_STORE_SYNC_H
#define RG_BALANCE_STORE_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rand.h"

/* Longest key a store may hold, bytes. */
#define RG_STORE_SYNC_KEY_MAX 200

struct rg_store_sync_opts {
    uint32_t pause_ms;       /* after a watch that brought changes */
    uint32_t watch_ms;       /* longest wait of one watch */
    uint32_t call_ms;        /* limit of a call, beyond its wait */
    uint32_t connect_ms;     /* limit of opening a connection */
    uint32_t retry_first_ms; /* longest first pause after a failure */
    uint32_t retry_most_ms;  /* longest pause after failures */
    uint32_t settle_ms;      /* after an outage: time for entries to return */
    uint64_t seed;
};

enum rg_store_sync_kind {
    RG_STORE_SYNC_WAIT, /* nothing to call before at_ms */
    RG_STORE_SYNC_LIST,
    RG_STORE_SYNC_SAMPLE, /* a page of upstreams from a random place */
    RG_STORE_SYNC_WATCH,
};

/* What to do next. */
struct rg_store_sync_step {
    enum rg_store_sync_kind kind;
    uint64_t at_ms;      /* of a wait */
    const char *after;   /* of a listing: the key before the page, or "" */
    bool stale;          /* of a listing: it may be seconds old */
    uint32_t place;      /* of a sample: random */
    uint64_t revision;   /* of a watch: changes after this one */
    uint32_t wait_ms;    /* of a watch */
    uint32_t timeout_ms; /* of the call */
};

/* What came back, as far as it shows which call it answers. */
struct rg_store_sync_response {
    uint64_t revision;      /* of the store */
    uint64_t oldest_change; /* revision of the oldest change, 0: none */
    const char *last_key;   /* of a listing, "" for none */
    uint64_t took_ms;       /* from the call */
};

/* False if this cannot be the answer to the call asked for, but must be one to
 * a call before it that came twice: a page that does not go on, changes known
 * already, or nothing new long before the watch was over. */
bool rg_store_sync_is_response(const struct rg_store_sync_step *asked,
                               const struct rg_store_sync_response *got);

struct rg_store_sync;

/* Times for a view that must never lag behind the store by `bound_ms`, even
 * if a connection falls silent; sets no seed. */
struct rg_store_sync_opts rg_store_sync_opts_for(uint32_t bound_ms,
                                                 uint32_t settle_ms);

struct rg_store_sync *
rg_store_sync_create(const struct rg_store_sync_opts *opts);
void rg_store_sync_destroy(struct rg_store_sync *f);

struct rg_store_sync_step rg_store_sync_next(struct rg_store_sync *f,
                                             uint64_t now_ms);

/* True if the listing that a page belongs to begins with it. */
bool rg_store_sync_is_first_page(const struct rg_store_sync *f);

/* A page arrived. `last_key` is the last on it; `more` says that others
 * follow. Returns true if the listing is complete. */
bool rg_store_sync_listed(struct rg_store_sync *f, const char *last_key,
                          bool more, uint64_t revision, uint64_t now_ms);

/* A sample arrived. */
void rg_store_sync_sampled(struct rg_store_sync *f, uint64_t now_ms);

/* A watch returned. */
void rg_store_sync_watched(struct rg_store_sync *f, uint64_t revision,
                           bool changes, uint64_t now_ms);

/* The store no longer has the history a watch asked for. */
void rg_store_sync_history_gone(struct rg_store_sync *f, uint64_t now_ms);

/* While covered, another instance asks the store often, and peers pass on what
 * changes: once the view is complete no call is due, but for a refresh. */
void rg_store_sync_set_standby(struct rg_store_sync *f, bool covered);

/* One call is due though covered, once pauses are over. */
void rg_store_sync_refresh(struct rg_store_sync *f);

/* The view was taken from another instance, as of `revision`. */
void rg_store_sync_snapshot_applied(struct rg_store_sync *f,
                                    uint64_t revision);

/* Revision of the store the view stands at, 0 before the first listing has
 * ended. */
uint64_t rg_store_sync_revision(const struct rg_store_sync *f);

/* A call failed or went unanswered. */
void rg_store_sync_failed(struct rg_store_sync *f, uint64_t now_ms);

/* The process did not run for a while: calls in progress are worthless. */
void rg_store_sync_paused(struct rg_store_sync *f, uint64_t now_ms);

/* True while the last call failed. */
bool rg_store_sync_failing(const struct rg_store_sync *f);

/* True once a listing, and after stale pages a watch, has been answered, or a
 * view adopted. */
bool rg_store_sync_complete(const struct rg_store_sync *f);

/* Time of the last answer, 0 for none: the view is this old at most. */
uint64_t rg_store_sync_confirmed_ms(const struct rg_store_sync *f);

/* How long an upstream whose entry vanished now may still be used: entries
 * lapse while the store is away and return soon after it. To be asked while
 * an answer is applied, before rg_store_sync_watched() or
 * rg_store_sync_listed() is told of it. 0 if the store has been in reach for
 * long enough. */
uint64_t rg_store_sync_keep_ms(const struct rg_store_sync *f, uint64_t now_ms);

#endif
