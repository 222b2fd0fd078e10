/* Admission of new flows to a service that is asked for more than it can do.
 *
 * Without it every request waits in its upstream's queue, and nearly all
 * answers come late. Instead an opening is refused at once if its answer would
 * come late, those of less important routes a little sooner, so that the queue
 * stays as short as the others need. One for each service; no I/O; time passes
 * by calls of rg_admit_tick(). */
#ifndef RG_BALANCE_ADMIT_H
#define RG_BALANCE_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Priorities told apart, 0 the highest; lower ones count as the last. */
#define RG_ADMIT_PRIORITIES 8

/* Zero-initialised: everything is admitted. */
struct rg_admit {
    uint32_t answers; /* since the last tick */
    uint32_t slow;    /* of these, near their target or past it */
    double slow_share;
    double waited_ms; /* at the upstreams, by all of these */
    double busy;      /* requests of this instance at the upstreams at once */
    double rate;      /* answers a millisecond */
    double open;      /* requests not answered yet */
    bool full;        /* no slot is free, and answers are slow */
    double asked[RG_ADMIT_PRIORITIES]; /* recent openings of each priority */
};

/* What a caller saw of an answer. */
struct rg_admit_answer {
    double waited_ms;   /* request to answer at the upstream, queue included */
    double total_ms;    /* opening to answer */
    uint32_t target_ms; /* aimed at for the latter, 0: no target */
};

void rg_admit_answered(struct rg_admit *a,
                       const struct rg_admit_answer *answer);

/* What this instance has at the upstreams of the service. */
struct rg_admit_load {
    double slots; /* of those upstreams, as many as are this one's share */
    double open;  /* requests that wait for an answer there */
};

/* `ms` have passed. While slots are free, slow answers refuse nobody: refusing
 * would not make them quicker. */
void rg_admit_tick(struct rg_admit *a, uint32_t ms,
                   const struct rg_admit_load *load);

/* True if more of the answers are slow than chance explains. */
bool rg_admit_is_overloaded(const struct rg_admit *a);

/* False if the next rg_admit_tick() has no use for the load. */
bool rg_admit_needs_load(const struct rg_admit *a);

/* A new flow on a route with this priority, whose request may wait at its
 * upstream for `wait_ms` (INFINITY: as long as it takes): false if it is to be
 * refused. */
bool rg_admit_opening(struct rg_admit *a, uint32_t priority, double wait_ms);

#endif
