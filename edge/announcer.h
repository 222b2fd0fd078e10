/* Registers this instance in the store, so that other instances find it: makes
 * the HTTP calls that rg_announce asks for. Not thread-safe. */
#ifndef RG_EDGE_ANNOUNCER_H
#define RG_EDGE_ANNOUNCER_H

#include <uv.h>

#include "balance/balancer.h"
#include "common/addr.h"
#include "common/log.h"
#include "common/str.h"

struct rg_announcer_opts {
    uv_loop_t *loop;
    struct rg_addr store;
    struct rg_name name;          /* of this instance */
    struct rg_addr addr;          /* where other instances reach this one */
    uint32_t delay_ms;            /* before the first call */
    uint32_t connect_ms;          /* timeout of a connection attempt */
    uint32_t call_ms;             /* timeout of a call */
    uint64_t seed;                /* of the retry jitter */
    struct rg_balancer *balancer; /* borrowed; its metrics count the calls */
    const struct rg_log *log;     /* borrowed */
};

struct rg_announcer;

/* Starts the registration, which is renewed until rg_announcer_destroy(). */
struct rg_announcer *rg_announcer_create(const struct rg_announcer_opts *opts);
void rg_announcer_destroy(struct rg_announcer *a);

#endif
