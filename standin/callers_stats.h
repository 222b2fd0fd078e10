/* What the callers count, and how long they waited. */
#ifndef RG_STANDIN_TALLY_H
#define RG_STANDIN_TALLY_H

#include <stddef.h>
#include <stdint.h>

struct sd_callers_stats {
    uint64_t flows;
    uint64_t opened;
    uint64_t answered;
    uint64_t broken;
    uint64_t refused;
    uint64_t unanswered; /* openings nobody answered */
    uint64_t wrong;      /* answers that were not the caller's own */
    uint64_t false_refusals;
    uint64_t unsure_refusals; /* the upstreams did not say */
    uint32_t *waits_ms;       /* times to answer, the first million */
    size_t wait_count;
};

void sd_callers_stats_add_latency(struct sd_callers_stats *t,
                                  uint32_t wait_ms);
/* Prints one line of JSON; sorts the waits. */
void sd_callers_stats_print(struct sd_callers_stats *t);

#endif
