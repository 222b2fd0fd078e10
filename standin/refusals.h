/* Asks the upstreams whether refused flows ran after all: one question at a
 * time over their control socket, each asked a few times. */
#ifndef RG_STANDIN_RECHECK_H
#define RG_STANDIN_RECHECK_H

#include "standin/callers_stats.h"
#include "standin/common.h"

struct sd_refusals {
    struct sd_udp udp;
    struct rg_addr upstreams;
    struct sd_callers_stats *tally; /* borrowed; gets the verdicts */
    uint64_t *flows;
    size_t count;
    size_t done;
    int tries;         /* of the question that is open */
    uint64_t asked_ms; /* 0: no question is open */
};

void sd_refusals_open(struct sd_refusals *r, uv_loop_t *loop,
                      const struct rg_addr *listen,
                      const struct rg_addr *upstreams,
                      struct sd_callers_stats *tally);
/* Notes a refused flow. Past 100,000 it counts as one the upstreams did not
 * speak of. */
void sd_refusals_add(struct sd_refusals *r, uint64_t flow);
/* Asks what is due; true once all are settled. */
bool sd_refusals_step(struct sd_refusals *r, uint64_t now_ms);

#endif
