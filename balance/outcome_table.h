/* Outcomes of requests at upstreams, pooled among the instances of a data
 * centre.
 *
 * In a large fleet an instance sees too few requests at one upstream to judge
 * it. So each tells its counts of upstreams under suspicion, and passes on
 * those of others a few times. Counts stay apart by the instance they come
 * from, and a newer row replaces the older one of its source: however often
 * and by whichever way it arrives, nothing is counted twice.
 *
 * Bounded in rows; no I/O; time is passed in; one owner. */
#ifndef RG_BALANCE_OUTCOME_TABLE_H
#define RG_BALANCE_OUTCOME_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/outcomes.h"

/* Rows held; of more, the oldest give way. */
#define RG_OUTCOME_ROWS_MAX 512
/* A row is worth nothing any more this long after its last outcome. */
#define RG_OUTCOME_ROW_LIFETIME_MS 4000

/* What one instance has seen of one upstream since it came under suspicion. */
struct rg_outcome_row {
    uint32_t token;  /* of the upstream's boot */
    uint32_t source; /* instance, told apart by its starts too */
    uint32_t serial; /* rises with each outcome there */
    uint32_t counts[RG_OUTCOME_KINDS];
    uint64_t last_ms;     /* last outcome of any kind */
    uint64_t failed_ms;   /* last failure, 0: none */
    uint64_t answered_ms; /* last answer as usual, 0: none */
};

/* Sum over sources. */
struct rg_outcome_sum {
    uint32_t counts[RG_OUTCOME_KINDS];
    uint64_t failed_ms;
    uint64_t answered_ms;
};

struct rg_outcome_table;

/* `self` names this instance as a source. */
struct rg_outcome_table *rg_outcome_table_create(uint32_t self);
void rg_outcome_table_destroy(struct rg_outcome_table *p);

uint32_t rg_outcome_table_self(const struct rg_outcome_table *p);

/* Takes over a row, of this instance or told by another, unless it is older
 * than the one known of its source. Returns true if it was taken. */
bool rg_outcome_table_put(struct rg_outcome_table *p,
                          const struct rg_outcome_row *row, uint64_t now_ms);

/* Rows to be told next, the own ones and those least told first; each is given
 * out a few times in all. Returns their number. */
size_t rg_outcome_table_next(struct rg_outcome_table *p,
                             struct rg_outcome_row *out, size_t max);

/* True if a failure seen here has not been told to anyone. */
bool rg_outcome_table_has_unsent_failure(const struct rg_outcome_table *p);

/* What others have seen of an upstream, leaving out rows whose last outcome
 * was not after `since_ms`; late answers count all the same, as they show that
 * it is alive. */
struct rg_outcome_sum
rg_outcome_table_sum_others(const struct rg_outcome_table *p, uint32_t token,
                            uint64_t since_ms);

/* Drops one row that has outlived its time and gives its upstream's token; 0
 * if there is none. */
uint32_t rg_outcome_table_expire(struct rg_outcome_table *p, uint64_t now_ms);

size_t rg_outcome_table_count(const struct rg_outcome_table *p);

#endif
