/* Keeps the balancer's view in step with the store: makes the calls that
 * rg_follow asks for and applies their answers. Not thread-safe. */
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
    /* Another instance was announced at this peer address. */
    void (*on_instance)(void *ctx, const struct rg_addr *addr);
    void *ctx;
};

struct rg_sync *rg_sync_create(const struct rg_sync_opts *opts);
void rg_sync_destroy(struct rg_sync *s);

/* Asks the store once, though covered. */
void rg_sync_refresh(struct rg_sync *s);

/* See rg_follow_set_covered(). */
void rg_sync_set_covered(struct rg_sync *s, bool covered);

/* The view lacks nothing that the store held at `fresh_ms`. */
void rg_sync_confirm(struct rg_sync *s, uint64_t fresh_ms);

/* The view was taken from another instance whose view stands at `revision` and
 * was confirmed by the store at `fresh_ms`. */
void rg_sync_adopt(struct rg_sync *s, uint64_t revision, uint64_t fresh_ms);

/* The store is at another address from now on. */
void rg_sync_move(struct rg_sync *s, const struct rg_addr *store);

uint64_t rg_sync_revision(const struct rg_sync *s);
/* Time at which the view is known to have been the store's, 0 for none. */
uint64_t rg_sync_fresh_ms(const struct rg_sync *s);
/* True while calls of the store fail. */
bool rg_sync_failing(const struct rg_sync *s);

/* The process did not run for a while: starts the calls afresh. */
void rg_sync_paused(struct rg_sync *s);

#endif
