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
#ifndef RG_BALANCE_POOLED_H
#define RG_BALANCE_POOLED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/outcomes.h"

/* Maximum number of rows; the oldest is replaced. */
#define RG_POOLED_ROWS_MAX 512
/* A row expires this long after its last outcome. */
#define RG_POOLED_LIFE_MS 4000

/* Outcomes that one instance has seen at one endpoint since it became
 * suspect. */
struct rg_pooled_row {
    uint32_t token;  /* of the endpoint */
    uint32_t source; /* random number of the instance, new with each start */
    uint32_t serial; /* increases with each outcome */
    uint32_t counts[RG_OUTCOMES];
    uint64_t last_ms;     /* last outcome of any kind */
    uint64_t failed_ms;   /* last failure, 0: none */
    uint64_t answered_ms; /* last answer in time, 0: none */
};

/* Sum over several sources. */
struct rg_pooled_sum {
    uint32_t counts[RG_OUTCOMES];
    uint64_t failed_ms;
    uint64_t answered_ms;
};

struct rg_pooled;

/* `self` identifies this instance as a source. */
struct rg_pooled *rg_pooled_create(uint32_t self);
void rg_pooled_destroy(struct rg_pooled *p);

uint32_t rg_pooled_self(const struct rg_pooled *p);

/* Stores a row of this instance or of a peer unless a newer one of the same
 * source is known. Returns true if it was stored. */
bool rg_pooled_put(struct rg_pooled *p, const struct rg_pooled_row *row,
                   uint64_t now_ms);

/* Copies the rows to send next, with the own ones and those sent least often
 * first. Each row is sent a few times in total. Returns the number of rows. */
size_t rg_pooled_next(struct rg_pooled *p, struct rg_pooled_row *out,
                      size_t max);

/* True if a failure seen here has not been sent to any peer yet. */
bool rg_pooled_urgent(const struct rg_pooled *p);

/* Sum of what other instances have seen at an endpoint. Rows without an
 * outcome after `since_ms` are left out, except for their late answers, which
 * show that the endpoint is alive. */
struct rg_pooled_sum rg_pooled_others(const struct rg_pooled *p,
                                      uint32_t token, uint64_t since_ms);

/* Removes one expired row and returns the token of its endpoint, 0 if there is
 * none. */
uint32_t rg_pooled_expire(struct rg_pooled *p, uint64_t now_ms);

size_t rg_pooled_count(const struct rg_pooled *p);

#endif
