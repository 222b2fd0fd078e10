/* Keeps the balancer's view in sync with the store: makes the HTTP calls that
 * rg_follow asks for and applies the responses. Not thread-safe. */
#ifndef RG_EDGE_SYNC_H
#define RG_EDGE_SYNC_H

#include <stdbool.h>
#include <uv.h>

#include "balance/balancer.h"
#include "balance/follow.h"
#include "common/log.h"

struct rg_sync;

struct rg_sync_opts {
    uv_loop_t *loop;
    struct rg_addr store;
    struct rg_follow_opts follow;
    struct rg_balancer *balancer; /* borrowed */
    const struct rg_log *log;     /* borrowed */
    /* Another instance is registered with this peer address. */
    void (*on_instance)(void *ctx, const struct rg_addr *addr);
    void *ctx;
};

struct rg_sync *rg_sync_create(const struct rg_sync_opts *opts);
void rg_sync_destroy(struct rg_sync *s);

/* Calls the store once, even on standby. */
void rg_sync_refresh(struct rg_sync *s);

/* See rg_follow_set_covered(). */
void rg_sync_set_covered(struct rg_sync *s, bool covered);

/* The view has everything that the store held at `fresh_ms`. */
void rg_sync_confirm(struct rg_sync *s, uint64_t fresh_ms);

/* A snapshot from another instance was applied: the view is at `revision` now.
 * `fresh_ms` is as for rg_sync_confirm(), 0 if not known. */
void rg_sync_adopt(struct rg_sync *s, uint64_t revision, uint64_t fresh_ms);

/* Changes the address of the store. Drops a call in progress. */
void rg_sync_move(struct rg_sync *s, const struct rg_addr *store);

/* Revision of the store that the view is at, 0 before the first listing. */
uint64_t rg_sync_revision(const struct rg_sync *s);

/* When the store last confirmed the view, 0 for never. */
uint64_t rg_sync_fresh_ms(const struct rg_sync *s);

/* True if the last call of the store failed. */
bool rg_sync_failing(const struct rg_sync *s);

/* The process did not run for a while: ends the call in progress and makes the
 * next one. */
void rg_sync_paused(struct rg_sync *s);

#endif
