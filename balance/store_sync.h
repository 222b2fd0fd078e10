/* Store sync: determines which call of the store to make next, and knows how
 * recent the view is.
 *
 * Lists all keys, then watches them from the revision of the listing's oldest
 * page. Pages after the first may be stale reads, which are cheaper and not
 * counted against the store's rate limits, so that a fleet that starts all at
 * once does not exhaust these. The watch after such a listing returns what the
 * pages lacked; only then is the view complete. If the first listing has
 * several pages, a sample of the upstreams is read after the first page:
 * enough to open flows with while the rest is read.
 *
 * Each watch that returns changes is followed by a pause, so that one call
 * carries many changes. Listing starts over when the store no longer has the
 * history that a watch needs, or when it was restored from an older copy,
 * which its era shows. The first listing of a new era is provisional: its rows
 * may be older than what is known. A second, authoritative one follows. Failed
 * calls are retried with exponential backoff and jitter. No I/O; the time is
 * passed in; one owner. */
#ifndef RG_BALANCE_STORE_SYNC_H
#define RG_BALANCE_STORE_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rand.h"

/* Maximum length of a key in bytes. */
#define RG_STORE_SYNC_KEY_MAX 200

struct rg_store_sync_opts {
    uint32_t pause_ms;       /* pause after a watch that returned changes */
    uint32_t watch_ms;       /* maximum wait of one watch */
    uint32_t call_ms;        /* timeout of a call, in addition to its wait */
    uint32_t connect_ms;     /* timeout of opening a connection */
    uint32_t retry_first_ms; /* maximum of the first pause after a failure */
    uint32_t retry_max_ms;   /* maximum of any pause after failures */
    uint32_t settle_ms;      /* for entries to return after an outage */
    uint64_t seed;
};

enum rg_store_sync_kind {
    RG_STORE_SYNC_WAIT, /* make no call before at_ms */
    RG_STORE_SYNC_LIST,
    RG_STORE_SYNC_SAMPLE, /* a page of upstreams from a random position */
    RG_STORE_SYNC_WATCH,
};

/* The next call to make. */
struct rg_store_sync_step {
    enum rg_store_sync_kind kind;
    uint64_t at_ms;    /* of a wait */
    const char *after; /* of a listing: last key of the previous page, or "" */
    bool stale;        /* of a listing: may be a stale read, seconds old */
    uint32_t position; /* of a sample: random start */
    uint64_t revision; /* of a watch: return the changes after this one */
    uint32_t era;      /* of the position that the call continues */
    uint32_t wait_ms;  /* of a watch */
    uint32_t timeout_ms; /* of the call */
};

/* The properties of a response that show which call it belongs to. */
struct rg_store_sync_response {
    uint64_t revision;      /* of the store */
    uint64_t oldest_change; /* revision of the oldest change, 0: none */
    const char *last_key;   /* of a listing, "" if it is empty */
    uint64_t took_ms;       /* time since the call */
};

/* False if this cannot be the response to `call` and must be a duplicate of an
 * earlier response: a page that does not continue the listing, changes that
 * are already known, or no changes long before the watch was due to end. */
bool rg_store_sync_is_response(const struct rg_store_sync_step *call,
                               const struct rg_store_sync_response *response);

struct rg_store_sync;

/* What to do with a complete response, whatever its status. */
enum rg_store_sync_use {
    RG_STORE_SYNC_USE,
    RG_STORE_SYNC_DROP, /* it no longer continues the view; no failure */
    RG_STORE_SYNC_FAIL, /* of an older era: the call has failed */
};

/* A response to `call` in the store's era `era` has arrived. A new era makes
 * everything be listed again, without stale reads and in spite of standby.
 * Call it before any other function that reports the response. */
enum rg_store_sync_use
rg_store_sync_check_era(struct rg_store_sync *s,
                        const struct rg_store_sync_step *call, uint32_t era,
                        uint64_t now_ms);

/* True if `call` still continues the view: no snapshot has been applied since
 * that ended its listing or moved the view to another era. */
bool rg_store_sync_continues(const struct rg_store_sync *s,
                             const struct rg_store_sync_step *call);

/* Highest era known of the store. */
uint32_t rg_store_sync_era(const struct rg_store_sync *s);

/* True if rows of the view may be older than what other instances know: until
 * the second listing of a new era, or for as long if nothing was known. */
bool rg_store_sync_is_provisional(const struct rg_store_sync *s);

/* True if the listing in progress, or the next one, is provisional. */
bool rg_store_sync_listing_is_provisional(const struct rg_store_sync *s);

/* True while the second listing of an era is in progress. */
bool rg_store_sync_is_settling(const struct rg_store_sync *s);

/* A peer's complete view that was not provisional has been applied. */
void rg_store_sync_settled(struct rg_store_sync *s);

/* Times for a view that must never lag behind the store by more than
 * `bound_ms`, even if a connection hangs. Leaves the seed unset. */
struct rg_store_sync_opts rg_store_sync_opts_for(uint32_t bound_ms,
                                                 uint32_t settle_ms);

struct rg_store_sync *
rg_store_sync_create(const struct rg_store_sync_opts *opts);
void rg_store_sync_destroy(struct rg_store_sync *s);

/* Determines the call to make now. */
struct rg_store_sync_step rg_store_sync_next(struct rg_store_sync *s,
                                             uint64_t now_ms);

/* True if the next or current page is the first one of its listing. */
bool rg_store_sync_is_first_page(const struct rg_store_sync *s);

/* A page was read. `last_key` is the last key on it; `more` says that there
 * are further pages. Returns true if the listing is complete. */
bool rg_store_sync_listed(struct rg_store_sync *s, const char *last_key,
                          bool more, uint64_t revision, uint64_t now_ms);

/* A sample was read. */
void rg_store_sync_sampled(struct rg_store_sync *s, uint64_t now_ms);

/* A watch returned. */
void rg_store_sync_watched(struct rg_store_sync *s, uint64_t revision,
                           bool changes, uint64_t now_ms);

/* The store no longer has the history that the watch needs. */
void rg_store_sync_history_gone(struct rg_store_sync *s, uint64_t now_ms);

/* The changes that the watch asks for are too many for one response. They
 * would be asked for again and again: everything is listed instead, in pages,
 * and without stale reads, from which a watch would return them once more. */
void rg_store_sync_changes_too_long(struct rg_store_sync *s, uint64_t now_ms);

/* In standby, another instance polls the store and peers pass on the changes:
 * once the view is complete no call is made, except for a refresh. */
void rg_store_sync_set_standby(struct rg_store_sync *s, bool standby);

/* Makes one call in spite of standby, after any current pause. */
void rg_store_sync_refresh(struct rg_store_sync *s);

/* A snapshot from another instance was applied, as of `revision`. If its era
 * is new, the view is provisional, see rg_store_sync_settled(). */
void rg_store_sync_snapshot_applied(struct rg_store_sync *s,
                                    uint64_t revision);

/* The view may lack changes: lists the store again once calls are made. */
void rg_store_sync_list_again(struct rg_store_sync *s);

/* Revision of the view, 0 until the first listing has ended. */
uint64_t rg_store_sync_revision(const struct rg_store_sync *s);

/* A call failed or timed out. */
void rg_store_sync_failed(struct rg_store_sync *s, uint64_t now_ms);

/* The process was suspended for a while: calls in progress are abandoned. */
void rg_store_sync_paused(struct rg_store_sync *s, uint64_t now_ms);

/* True if the last call failed. */
bool rg_store_sync_failing(const struct rg_store_sync *s);

/* True once the view is complete: after a listing, plus a watch if some of its
 * pages were stale reads, or after a snapshot. */
bool rg_store_sync_complete(const struct rg_store_sync *s);

/* True if the last response says that the view has all of the store's state:
 * it is complete, and no listing is in progress. */
bool rg_store_sync_is_current(const struct rg_store_sync *s);

/* Time of the last response, 0: none; for a listing, that of its first page,
 * which may have changed since. The view is no older than this. */
uint64_t rg_store_sync_confirmed_ms(const struct rg_store_sync *s);

/* How long an upstream whose entry has just disappeared may still be used.
 * Entries lapse while the store is unreachable and reappear soon after it is
 * back. 0 if the store has been reachable for long enough. Call it while a
 * response is being applied, before rg_store_sync_watched() or
 * rg_store_sync_listed(). */
uint64_t rg_store_sync_keep_ms(const struct rg_store_sync *s, uint64_t now_ms);

#endif
