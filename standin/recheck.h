/* Asks the upstreams whether refused flows ran after all: one question at a
 * time over their control socket, each asked a few times. */
#ifndef RG_STANDIN_RECHECK_H
#define RG_STANDIN_RECHECK_H

#include "standin/common.h"
#include "standin/tally.h"

struct sd_recheck {
    struct sd_udp udp;
    struct rg_addr upstreams;
    struct sd_tally *tally; /* borrowed; gets the verdicts */
    uint64_t *flows;
    size_t count;
    size_t done;
    int tries;         /* of the question that is open */
    uint64_t asked_ms; /* 0: no question is open */
};

void sd_recheck_open(struct sd_recheck *r, uv_loop_t *loop,
                     const struct rg_addr *listen,
                     const struct rg_addr *upstreams, struct sd_tally *tally);
/* Notes a refused flow. Past 100,000 it counts as one the upstreams did not
 * speak of. */
void sd_recheck_add(struct sd_recheck *r, uint64_t flow);
/* Asks what is due; true once all are settled. */
bool sd_recheck_step(struct sd_recheck *r, uint64_t now_ms);

#endif
