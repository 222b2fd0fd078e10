/* Table of request outcomes shared among the instances of a data centre.
 *
 * In a large fleet an instance sees too few requests at one upstream to detect
 * an outlier. Each instance therefore sends its counts for suspect upstreams
 * to peers and forwards those of other instances a few times. Rows are kept by
 * source instance, and a newer row replaces the older one of its source, so
 * that nothing is counted twice, however often and by whichever path it
 * arrives.
 *
 * Bounded in size. No I/O; the time is passed in; one owner. */
#ifndef RG_BALANCE_OUTCOME_TABLE_H
#define RG_BALANCE_OUTCOME_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/outcomes.h"
#include "balance/unacknowledged.h"

/* Maximum number of rows; the oldest is replaced. */
#define RG_OUTCOME_ROWS_MAX 512
/* A row expires this long after its last outcome. */
#define RG_OUTCOME_ROW_LIFETIME_MS 4000

/* Outcomes that one instance has seen at one endpoint since it became
 * suspect, and whether it responds. */
struct rg_outcome_row {
    uint32_t token;  /* of the endpoint */
    uint32_t source; /* random number of the instance, new with each start */
    uint32_t serial; /* increases with each outcome */
    uint32_t counts[RG_OUTCOME_KINDS];
    uint64_t last_ms;     /* last outcome of any kind */
    uint64_t failed_ms;   /* last failure, 0: none */
    uint64_t answered_ms; /* last answer in time, 0: none */
    struct rg_unacknowledged_report unacknowledged;
};

/* Sum over several sources. */
struct rg_outcome_sum {
    uint32_t counts[RG_OUTCOME_KINDS];
    uint64_t failed_ms;
    uint64_t answered_ms;
};

struct rg_outcome_table;

/* `self` identifies this instance as a source. */
struct rg_outcome_table *rg_outcome_table_create(uint32_t self);
void rg_outcome_table_destroy(struct rg_outcome_table *t);

uint32_t rg_outcome_table_self(const struct rg_outcome_table *t);

/* Stores a row of this instance or of a peer unless a newer one of the same
 * source is known. Returns true if it was stored. */
bool rg_outcome_table_put(struct rg_outcome_table *t,
                          const struct rg_outcome_row *row, uint64_t now_ms);

/* Copies the rows to send next, with the own ones and those sent least often
 * first. Each row is sent a few times in total. Returns the number of rows. */
size_t rg_outcome_table_next(struct rg_outcome_table *t,
                             struct rg_outcome_row *out, size_t max);

/* True if a row of this instance has not been sent to any peer yet. */
bool rg_outcome_table_has_unsent_own(const struct rg_outcome_table *t);

/* Sum of what other instances have seen at an endpoint. Rows without an
 * outcome after `since_ms` are left out, except for their late answers, which
 * show that the endpoint is alive. */
struct rg_outcome_sum
rg_outcome_table_sum_others(const struct rg_outcome_table *t, uint32_t token,
                            uint64_t since_ms);

/* Removes one expired row and returns the token of its endpoint, 0 if there is
 * none. */
uint32_t rg_outcome_table_expire(struct rg_outcome_table *t, uint64_t now_ms);

size_t rg_outcome_table_count(const struct rg_outcome_table *t);

#endif
