/* What became of the requests at an upstream over the last seconds.
 *
 * Plain counts in two spans of time: no I/O, time is passed in. */
#ifndef RG_BALANCE_OUTCOMES_H
#define RG_BALANCE_OUTCOMES_H

#include <stdint.h>

enum rg_outcome {
    RG_OUTCOME_ANSWERED, /* as usual */
    RG_OUTCOME_LATE,     /* answered after it had been counted as failed */
    RG_OUTCOME_FAILED,   /* waits far longer than usual, or got an error */
    RG_OUTCOME_KINDS,
};

/* Outcomes are counted for one to two spans. */
#define RG_OUTCOMES_WINDOW_MS 2000

/* Zero-initialised: none. */
struct rg_outcomes {
    uint64_t span_ms; /* when the current span began */
    uint32_t now[RG_OUTCOME_KINDS];
    uint32_t before[RG_OUTCOME_KINDS];  /* in the span before */
    uint64_t last_ms[RG_OUTCOME_KINDS]; /* 0: never */
};

void rg_outcomes_add(struct rg_outcomes *o, enum rg_outcome kind,
                     uint64_t now_ms);

/* Outcomes of a kind in the current span and the one before. */
uint32_t rg_outcomes_count(const struct rg_outcomes *o, enum rg_outcome kind,
                           uint64_t now_ms);

/* Share of requests that failed and were not answered later, 0 without any. */
double rg_outcomes_failure_rate(const struct rg_outcomes *o, uint64_t now_ms);

/* Forgets the counts. */
void rg_outcomes_clear(struct rg_outcomes *o);

#endif
