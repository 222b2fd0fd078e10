/* Makes the calls that announce this instance in the store. Not thread-safe.
 */
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
    struct rg_name name; /* of this instance */
    struct rg_addr addr; /* where other instances reach it */
    uint32_t delay_ms;   /* before the first call */
    uint32_t connect_ms;
    uint32_t call_ms;
    uint64_t seed;
    struct rg_balancer *balancer; /* borrowed; counts the calls */
    const struct rg_log *log;     /* borrowed */
};

struct rg_registrar;

struct rg_registrar *rg_registrar_create(const struct rg_registrar_opts *opts);
void rg_registrar_destroy(struct rg_registrar *a);

#endif
