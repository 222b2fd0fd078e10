/* Checks that flows refused to the callers were not executed after all: asks
 * the upstreams over their control socket, about one flow at a time, with a
 * few retries. */
#ifndef RG_STANDIN_REFUSALS_H
#define RG_STANDIN_REFUSALS_H

#include "standin/callers_stats.h"
#include "standin/common.h"

struct sd_refusals {
    struct sd_udp udp;
    struct rg_addr upstreams;
    /* Borrowed; the results are counted there. */
    struct sd_callers_stats *stats;
    uint64_t *flows; /* ids of the refused flows */
    size_t count;
    size_t done;      /* flows checked so far; also the next one's index */
    int attempts;     /* for that flow */
    uint64_t sent_ms; /* its last query; 0: none yet */
};

void sd_refusals_open(struct sd_refusals *r, uv_loop_t *loop,
                      const struct rg_addr *listen,
                      const struct rg_addr *upstreams,
                      struct sd_callers_stats *stats);
/* Adds a refused flow. Flows past 100,000 are not checked, but counted as
 * unsure_refusals. */
void sd_refusals_add(struct sd_refusals *r, uint64_t flow);
/* Sends the query that is due; true once all flows are checked. */
bool sd_refusals_step(struct sd_refusals *r, uint64_t now_ms);

#endif
