/* Choice of an upstream for a new flow, from what this instance sees: its own
 * open work there, the upstream's answers to callers, its entry and its
 * place. */
#ifndef RG_BALANCE_PICK_H
#define RG_BALANCE_PICK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/outlier.h"
#include "balance/passive_health.h"
#include "balance/pool.h"
#include "common/rand.h"

/* Why an upstream was chosen. */
enum rg_pick_rule {
    RG_PICK_NONE,  /* no upstream can take the flow */
    RG_PICK_BEST,  /* least expected wait */
    RG_PICK_TRIAL, /* shows whether a suspected data centre is back */
    RG_PICK_PROBE, /* shows whether a condemned upstream is back */
};

struct rg_pick_opts {
    uint32_t service;
    struct rg_endpoint *const
        *avoid; /* tried for this flow; NULL entries skip */
    size_t avoid_count;
    uint64_t now_ms;
    uint64_t number;      /* of this choice, rising */
    uint32_t overdue_ms;  /* an opening without an answer for this long is
                             evidence against its upstream */
    double lost_share;    /* of recent openings */
    double usual_failing; /* share of the service's requests that fail */
    struct rg_probe_opts probe;
    struct rg_rand *rand; /* borrowed; breaks ties */
};

struct rg_pick {
    struct rg_endpoint *endpoint; /* NULL for RG_PICK_NONE */
    enum rg_pick_rule rule;
    double cost; /* of the chosen, in requests ahead */
};

struct rg_pick rg_pick_upstream(const struct rg_pool *pool,
                                const struct rg_pick_opts *opts);

#endif
