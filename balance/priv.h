/* Private part of the balancer, shared by its source files only. */
#ifndef RG_BALANCE_PRIV_H
#define RG_BALANCE_PRIV_H

#include "balance/admit.h"
#include "balance/balancer.h"
#include "balance/outcome_table.h"
#include "balance/outlier.h"
#include "balance/pick.h"
#include "balance/tracked_flows.h"
#include "common/rand.h"

/* What the balancer keeps for each service. */
struct rg_bal_service {
    struct rg_admit admit;
    struct rg_outcomes outcomes; /* of this instance's requests */
    uint64_t choices;            /* of its upstreams made so far */
    uint64_t crowded_ms;         /* it was crowded last, 0: never */
};

struct rg_balancer {
    struct rg_balancer_opts opts;
    struct rg_pool *pool;
    struct rg_routes *routes; /* NULL before the first */
    struct rg_tracked_flows *tracks;
    struct rg_rand rand;
    struct rg_metrics tally;
    struct rg_outcome_table *pooled;
    struct rg_bal_service *services; /* by their index */
    size_t service_count;
    struct rg_fleet fleet;
    double openings_per_s;    /* mean */
    uint64_t openings_before; /* counted by the last tick */
    double lost_share; /* of recent openings, by those that were repeated */
    double opening_ms; /* usual time from opening to the caller's answer */
    double gap_ms;     /* usual time between two signs of life */
    uint64_t life_ms;  /* last sign of life of an upstream */
    uint64_t started_ms;
    uint64_t confirmed_ms; /* the store confirmed the view, 0: never */
    uint64_t sampled_ms; /* the view in part was the store's then, 0: never */
    uint64_t ticked_ms;  /* last tick */
    uint64_t now_ms;
};

/* Version of the routes in force, 0 for none. */
static inline uint64_t
rg_bal_version(const struct rg_balancer *b)
{
    return b->routes ? rg_routes_version(b->routes) : 0;
}

/* Time since the view, whole or in part, was known to be the store's. */
static inline uint64_t
rg_bal_view_age_ms(const struct rg_balancer *b)
{
    uint64_t at_ms = b->confirmed_ms ? b->confirmed_ms : b->sampled_ms;

    return b->now_ms - at_ms;
}

/* Room for the text of a flow: both ends. */
#define RG_FLOW_TEXT_MAX 48

const char *rg_flow_text(const struct rg_flow_id *f,
                         char out[RG_FLOW_TEXT_MAX]);

/* Defined in report.c. */

void rg_bal_count(struct rg_balancer *b, enum rg_metric_counter c);

/* Counts and logs a refusal. */
struct rg_decision rg_bal_refuse(struct rg_balancer *b,
                                 const struct rg_segment *s,
                                 enum rg_metric_counter why,
                                 const char *reason);

/* An opening was answered, or lost. */
void rg_bal_note_opening(struct rg_balancer *b, bool lost);
void rg_bal_log_opening(const struct rg_balancer *b,
                        const struct rg_segment *s,
                        const struct rg_pick *made);

/* A service has become full, or is no longer. */
void rg_bal_log_admission(const struct rg_balancer *b, uint32_t service,
                          const struct rg_admit_load *load);

/* Admission; defined in admission.c. */

/* Makes room for a service. */
void rg_bal_reserve_service(struct rg_balancer *b, uint32_t service);
/* False if a new flow to this service is to be refused for want of room. */
bool rg_bal_admits(struct rg_balancer *b, const struct rg_route *route,
                   uint32_t service);
/* RG_BALANCER_TICK_MS have passed. */
void rg_bal_tick_admission(struct rg_balancer *b);

/* Outcomes of requests; defined in pooling.c. */

/* A request of this instance had this outcome. */
void rg_bal_outcome(struct rg_balancer *b, struct rg_endpoint *endpoint,
                    enum rg_outcome outcome);
/* More answers of a service are slow than chance explains. */
bool rg_bal_is_overloaded(const struct rg_balancer *b, uint32_t service);
/* Share of this instance's recent requests to a service that failed. */
double rg_bal_service_failure_rate(const struct rg_balancer *b,
                                   uint32_t service);
/* RG_BALANCER_TICK_MS have passed. */
void rg_bal_tick_outcomes(struct rg_balancer *b);

/* Requests that wait; defined in requests.c. */

/* True if the flow's request will not be answered and may be repeated. */
bool rg_request_is_lost(const struct rg_balancer *b,
                        const struct rg_tracked_flow *t);
/* Looks after a request that waits, as time passes. */
void rg_request_tick(struct rg_balancer *b, struct rg_tracked_flow *t);
/* The caller has all of an answer it will get. */
void rg_request_answered(struct rg_balancer *b, struct rg_tracked_flow *t,
                         struct rg_route *route);
/* Logs that nothing of the flow's request, or opening, was answered here. */
void rg_request_log_unanswered(struct rg_balancer *b,
                               const struct rg_tracked_flow *t,
                               const char *done);

/* Tracked flows; defined in flows.c. Each holds a reference to its boot and
 * counts as work there while an opening or a request waits. */

/* A flow whose opening goes to `boot`; NULL, and not tracked, if there is no
 * room. */
struct rg_tracked_flow *rg_flows_start(struct rg_balancer *b,
                                       const struct rg_flow_id *flow,
                                       struct rg_endpoint *endpoint);
/* The flow is at `boot` from now on. */
void rg_flows_move(struct rg_balancer *b, struct rg_tracked_flow *t,
                   struct rg_endpoint *endpoint);
void rg_flows_set_state(struct rg_tracked_flow *t,
                        enum rg_tracked_flow_state state, uint64_t now_ms);
/* Learns from a packet of an open flow. */
void rg_flows_update(struct rg_balancer *b, struct rg_tracked_flow *t,
                     const struct rg_segment *s, struct rg_route *route);
/* Looks after one flow as time passes; true if it is to be forgotten. `ctx` is
 * the balancer. */
bool rg_flows_expired(void *ctx, struct rg_tracked_flow *t);

#endif
