/* Registers this instance in the store under a lease, so that other instances
 * find it: makes the HTTP calls that rg_registration asks for. Not
 * thread-safe. */
#ifndef RG_EDGE_REGISTRAR_H
#define RG_EDGE_REGISTRAR_H

#include <uv.h>

#include "balance/balancer.h"
#include "common/addr.h"
#include "common/log.h"
#include "common/str.h"

struct rg_registrar_opts {
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

struct rg_registrar;

/* Starts the registration, and renews the lease until rg_registrar_destroy().
 */
struct rg_registrar *rg_registrar_create(const struct rg_registrar_opts *opts);
void rg_registrar_destroy(struct rg_registrar *r);

/* The store is known to be in this era: registers again if it is new. */
void rg_registrar_set_era(struct rg_registrar *r, uint32_t era);

#endif
