/* Steering by routing token: what to do with each packet of a caller.
 *
 * Packets of an open flow go to the boot that their token names; whoever
 * receives them needs to know nothing else. An opening goes to an upstream
 * chosen here, under whose token the flow then runs. One owner; no I/O, clock
 * or thread. */
#ifndef RG_BALANCE_BALANCER_H
#define RG_BALANCE_BALANCER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/metrics.h"
#include "balance/outcome_table.h"
#include "balance/pool.h"
#include "balance/routes.h"
#include "balance/segment.h"
#include "common/log.h"

struct rg_balancer_opts {
    struct rg_name data_centre;
    uint64_t flow_age_ms;     /* longest life of a flow */
    uint64_t stale_ms;        /* a view older than this is not relied upon to
                                 refuse */
    uint64_t sample_ms;       /* how long a view in part may serve */
    size_t tracked_flows;     /* most flows tracked at once */
    uint64_t seed;            /* of the random choices */
    const struct rg_log *log; /* borrowed */
    /* Answers the caller of a flow with a reset, as RG_DECISION_REFUSE does;
     * may be called from rg_balancer_tick(). */
    void (*refuse)(void *ctx, const struct rg_segment *last);
    void *ctx;
};

enum rg_decision_kind {
    RG_DECISION_DROP,
    RG_DECISION_FORWARD, /* to `boot`, with `token` in the packet */
    RG_DECISION_REFUSE,  /* answer the caller with a reset */
};

struct rg_decision {
    enum rg_decision_kind kind;
    const struct rg_endpoint
        *endpoint; /* valid until the balancer is next called */
    uint32_t token;
};

struct rg_balancer;

struct rg_balancer *rg_balancer_create(const struct rg_balancer_opts *opts,
                                       uint64_t now_ms);
void rg_balancer_destroy(struct rg_balancer *b);

/* Takes over a table of routes if it is newer than the one in force; an older
 * one is destroyed. Returns true if it is now in force. */
bool rg_balancer_set_routes(struct rg_balancer *b, struct rg_routes *routes);

/* Routes in force, NULL for none. */
struct rg_routes *rg_balancer_routes(struct rg_balancer *b);

/* Version in force, 0 for none. */
uint64_t rg_balancer_version(const struct rg_balancer *b);

/* The upstreams; changed by whoever follows the store. */
struct rg_pool *rg_balancer_pool(struct rg_balancer *b);

/* What is known of the instances that share the upstreams; one alone to begin
 * with. */
struct rg_fleet {
    size_t instances; /* this one included */
    size_t
        local_instances; /* of them in this data centre, this one included */
    double share;        /* of their new flows that come to this one */
};
void rg_balancer_set_fleet(struct rg_balancer *b,
                           const struct rg_fleet *fleet);

/* New flows a second that come to this instance. */
uint32_t rg_balancer_openings_per_s(const struct rg_balancer *b);

/* The view was complete and confirmed by the store at `at_ms`. */
void rg_balancer_set_confirmed(struct rg_balancer *b, uint64_t at_ms);

/* The view was the store's at `at_ms`, but holds only some of the upstreams.
 * Until it is whole, openings are forwarded and none is refused. */
void rg_balancer_set_partial(struct rg_balancer *b, uint64_t at_ms);

/* True once there are routes and upstreams to forward to. */
bool rg_balancer_ready(const struct rg_balancer *b);

/* True once the view has been whole. */
bool rg_balancer_has_full_view(const struct rg_balancer *b);

struct rg_decision rg_balancer_packet(struct rg_balancer *b,
                                      const struct rg_segment *segment,
                                      uint64_t now_ms);

/* The process did not run for a while: what its flows waited meanwhile says
 * nothing of their upstreams. */
void rg_balancer_paused(struct rg_balancer *b, uint64_t now_ms);

/* Time passes; call it every RG_BALANCER_TICK_MS or so. */
#define RG_BALANCER_TICK_MS 100
void rg_balancer_tick(struct rg_balancer *b, uint64_t now_ms);

/* Tokens of upstreams ejected now, by own evidence, and how long ago that was
 * last seen. Returns their number, `max` at most. */
struct rg_balancer_ejection {
    uint32_t token;
    uint32_t age_ms;
};
size_t rg_balancer_ejections(const struct rg_balancer *b, uint64_t now_ms,
                             struct rg_balancer_ejection *out, size_t max);

/* Another instance has ejected an upstream. Unless it has shown life here
 * since, it is avoided for a while; only own evidence ejects it. */
void
rg_balancer_add_reported_ejection(struct rg_balancer *b,
                                  const struct rg_balancer_ejection *verdict,
                                  uint64_t now_ms);

/* Outcomes of requests to be told next to the instances of this data centre;
 * returns their number. */
size_t rg_balancer_next_outcomes(struct rg_balancer *b,
                                 struct rg_outcome_row *out, size_t max);

/* True if a failure seen here has not been told yet. */
bool rg_balancer_has_unsent_failure(const struct rg_balancer *b);

/* An instance of this data centre has told of outcomes. */
void rg_balancer_add_reported_outcomes(struct rg_balancer *b,
                                       const struct rg_outcome_row *row,
                                       uint64_t now_ms);

struct rg_metrics *rg_balancer_metrics(struct rg_balancer *b);
size_t rg_balancer_tracked_count(const struct rg_balancer *b);

#endif
