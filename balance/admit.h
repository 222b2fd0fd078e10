/* Admission control of a service that gets more requests than it can serve.
 *
 * Without it, requests queue up at the upstreams and nearly all answers come
 * late. Instead an opening is refused at once if its answer would miss the
 * latency target. Routes of lower priority are refused a little earlier, which
 * keeps the queue as short as the others need. One controller for each
 * service. No I/O; time passes by calls of rg_admit_tick(). */
#ifndef RG_BALANCE_ADMIT_H
#define RG_BALANCE_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Distinct priorities, 0 the highest; greater values count as the last one. */
#define RG_ADMIT_PRIORITIES 8

/* Zero-initialised it admits everything. */
struct rg_admit {
    uint32_t answers;  /* since the last tick */
    uint32_t slow;     /* of these, near or beyond their latency target */
    double slow_share; /* moving average: share of slow answers */
    double waited_ms;  /* total time these waited at the upstreams */
    double busy;       /* moving average: requests at the upstreams at once */
    double rate;       /* moving average: answers per ms */
    double open;       /* outstanding requests */
    bool full;         /* no slot is free and answers are slow */
    double openings[RG_ADMIT_PRIORITIES]; /* recent openings by priority */
};

/* An answer as its caller saw it. */
struct rg_admit_answer {
    double waited_ms;   /* at the upstream, including its queue */
    double total_ms;    /* opening to answer */
    uint32_t target_ms; /* latency target for `total_ms`, 0: none */
};

/* Records an answer. */
void rg_admit_answered(struct rg_admit *a,
                       const struct rg_admit_answer *answer);

/* Load of this instance on the upstreams of the service. */
struct rg_admit_load {
    double slots; /* this instance's share of their slots */
    double open;  /* its outstanding requests there */
};

/* Call after `ms` have passed. While slots are free, nothing is refused, even
 * if answers are slow: refusing would not make them faster. */
void rg_admit_tick(struct rg_admit *a, uint32_t ms,
                   const struct rg_admit_load *load);

/* True if more answers are slow than chance explains. */
bool rg_admit_is_overloaded(const struct rg_admit *a);

/* False if the next rg_admit_tick() does not depend on the load. */
bool rg_admit_needs_load(const struct rg_admit *a);

/* Decides on a new flow on a route of this priority, whose request may wait at
 * its upstream for up to `wait_ms` (INFINITY: without limit). Returns false if
 * it must be refused. */
bool rg_admit_opening(struct rg_admit *a, uint32_t priority, double wait_ms);

#endif
