/* Keeps the balancer's view in step with the store: makes the calls that
 * rg_follow asks for and applies their answers. Not thread-safe. */
#ifndef RG_EDGE_SYNC_H
#define RG_EDGE_SYNC_H

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
};

struct rg_sync *rg_sync_create(const struct rg_sync_opts *opts);
void rg_sync_destroy(struct rg_sync *s);

/* The process did not run for a while: starts the calls afresh. */
void rg_sync_paused(struct rg_sync *s);

#endif
