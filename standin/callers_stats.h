/* Counters of the callers, and the latency of the answers. */
#ifndef RG_STANDIN_CALLERS_STATS_H
#define RG_STANDIN_CALLERS_STATS_H

#include <stddef.h>
#include <stdint.h>

struct sd_callers_stats {
    uint64_t flows;
    uint64_t opened;
    uint64_t answered;
    uint64_t broken; /* flows that failed after they were opened */
    uint64_t refused;
    uint64_t unanswered;      /* openings without an answer */
    uint64_t wrong;           /* answers that do not match the request */
    uint64_t false_refusals;  /* refused flows that were executed */
    uint64_t unsure_refusals; /* refused flows that could not be checked */
    uint32_t *latencies_ms;   /* of the first 2^20 answers */
    size_t latency_count;
};

void sd_callers_stats_add_latency(struct sd_callers_stats *s,
                                  uint32_t latency_ms);
/* Prints one line of JSON; sorts the latencies. */
void sd_callers_stats_print(struct sd_callers_stats *s);

#endif
