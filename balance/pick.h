/* Chooses an upstream for a new flow by what this instance knows: its own
 * outstanding work there, the answers that callers got, the upstream's entry
 * and its data centre. */
#ifndef RG_BALANCE_PICK_H
#define RG_BALANCE_PICK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/cold_start.h"
#include "balance/outlier.h"
#include "balance/passive_health.h"
#include "balance/pool.h"
#include "common/rand.h"

/* Why an upstream was chosen. */
enum rg_pick_rule {
    RG_PICK_NONE,   /* no upstream can take the flow */
    RG_PICK_BEST,   /* lowest cost */
    RG_PICK_TRIAL,  /* tests whether a suspected data centre has recovered */
    RG_PICK_PROBE,  /* tests whether an outlier has recovered */
    RG_PICK_SECOND, /* tests whether a single failure was chance */
    RG_PICK_SAME,   /* copy of an opening: stays at its upstream */
};

struct rg_pick_opts {
    uint32_t service;
    /* The flow must leave for this data centre; NULL: the choice is free. */
    const struct rg_data_centre *data_centre;
    double remote_cost; /* of an upstream elsewhere, see locality.h */
    /* Endpoints already tried for this flow; entries may be NULL. */
    struct rg_endpoint *const *avoid;
    size_t avoid_count;
    uint64_t now_ms;
    uint64_t choice;     /* serial number of this choice within the service */
    uint32_t overdue_ms; /* an opening unanswered for longer counts against its
                            upstream */
    double lost_share;   /* of recent openings, 0 to 1 */
    double service_failure_rate; /* of this instance's requests to it */
    bool overloaded; /* the service is: failures are due to queues */
    const struct rg_cold_start *cold; /* limit for cold upstreams, NULL: none;
                                         borrowed */
    struct rg_probe_opts probe;
    struct rg_rand *rand; /* borrowed; for random tie breaking */
};

struct rg_pick {
    struct rg_endpoint *endpoint; /* NULL for RG_PICK_NONE */
    enum rg_pick_rule rule;
    double cost;   /* of the chosen upstream, in queued requests */
    bool diverted; /* upstreams were left out as their data centre is
                      evacuated */
    bool cold;     /* the same as they are cold and get no more for now */
};

/* True if the upstream may get openings at all, whatever its health. */
bool rg_pick_takes_flows(const struct rg_endpoint *e);
/* True if new flows may go to the upstream at present, unless it is an
 * outlier: its entry permits it, and neither it nor its data centre is silent.
 */
bool rg_pick_is_usable(const struct rg_endpoint *e, uint64_t now_ms);

/* Chooses an upstream of the service and records the choice in the pool. */
struct rg_pick rg_pick_upstream(const struct rg_pool *pool,
                                const struct rg_pick_opts *opts);

#endif
