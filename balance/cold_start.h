/* Limit on the openings that a cold upstream gets from all instances together,
 * in any second.
 *
 * Instances do not talk about it: each keeps to a share that is safe for the
 * number of instances, whether it sees them at present or not. Up to as many
 * instances as the limit allows openings, each spaces its own. Beyond that an
 * instance has a turn in some short windows, drawn by hash. No I/O; the time
 * is passed in. */
#ifndef RG_BALANCE_COLD_START_H
#define RG_BALANCE_COLD_START_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/pool.h"

/* The most that an upstream may get in any second is its service's rate times
 * `overrun`, plus `slack` openings. */
struct rg_cold_bounds {
    double overrun;
    double slack;
};

/* What one instance may send to each cold upstream of a service.
 * Zero-initialised there is no limit. */
struct rg_cold_start {
    double per_s;         /* openings that a cold upstream can handle a second;
                             0: no limit */
    size_t instances;     /* that share it; 0: not known yet, send none */
    uint32_t interval_ms; /* time between two openings, 0: by turns */
    double turn;          /* share of windows in which it has a turn */
};

/* Derives the share of one of `instances`, 0: none. */
void rg_cold_start_set(struct rg_cold_start *c,
                       const struct rg_cold_bounds *bounds, double per_s,
                       size_t instances);

/* True if the limit applies to the upstream now. `c` may be NULL: no limit. */
bool rg_cold_start_applies(const struct rg_cold_start *c,
                           const struct rg_endpoint *e, uint64_t now_ms);

/* False if the instance, identified by `self`, must not send an opening to the
 * upstream now. `c` may be NULL. */
bool rg_cold_start_allows(const struct rg_cold_start *c,
                          const struct rg_endpoint *e, uint64_t self,
                          uint64_t now_ms);

/* The greatest number of instances known lately: a partition of the network
 * must not make an instance believe that it is alone. Zero-initialised it is
 * empty. */
struct rg_instances_known {
    size_t most;        /* since `since_ms` */
    size_t most_before; /* in the period before */
    uint64_t since_ms;
};

void rg_instances_known_add(struct rg_instances_known *k, size_t instances,
                            uint64_t now_ms);

/* An upper bound on the number of instances, with the error of estimates. */
size_t rg_instances_known_bound(const struct rg_instances_known *k);

#endif
