/* Outcomes of the requests at an upstream during the last seconds, counted in
 * two windows of time. No I/O; the time is passed in. */
#ifndef RG_BALANCE_OUTCOMES_H
#define RG_BALANCE_OUTCOMES_H

#include <stdint.h>

enum rg_outcome {
    RG_OUTCOME_ANSWERED, /* in time, and not like an error */
    RG_OUTCOME_LATE,     /* answered after it had been counted as failed */
    RG_OUTCOME_FAILED,   /* waits far longer than usual, or got an error */
    RG_OUTCOME_KINDS,
};

/* Length of a window; an outcome counts for one to two of them. */
#define RG_OUTCOMES_WINDOW_MS 2000

/* Zero-initialise it. */
struct rg_outcomes {
    uint64_t window_start_ms; /* when the current window began */
    uint32_t current[RG_OUTCOME_KINDS];
    uint32_t previous[RG_OUTCOME_KINDS]; /* in the previous window */
    uint64_t last_ms[RG_OUTCOME_KINDS];  /* last outcome, 0: never */
};

void rg_outcomes_add(struct rg_outcomes *o, enum rg_outcome kind,
                     uint64_t now_ms);
/* The same for an outcome of `at_ms` that becomes known now. */
void rg_outcomes_add_at(struct rg_outcomes *o, enum rg_outcome kind,
                        uint64_t at_ms, uint64_t now_ms);

/* Outcomes of a kind in the current and the previous window. */
uint32_t rg_outcomes_count(const struct rg_outcomes *o, enum rg_outcome kind,
                           uint64_t now_ms);

/* Failed requests divided by failed and answered ones, 0 if there are none. */
double rg_outcomes_failure_rate(const struct rg_outcomes *o, uint64_t now_ms);

/* Resets the counts, but not `last_ms`. */
void rg_outcomes_clear(struct rg_outcomes *o);

#endif
