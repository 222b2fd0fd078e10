/* Passive health checks: what the packets of callers show about upstreams,
 * namely which of them respond, how fast, and which are silent. A balancer
 * sees only the callers' half of a flow. */
#ifndef RG_BALANCE_PASSIVE_HEALTH_H
#define RG_BALANCE_PASSIVE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "balance/pool.h"

/* Callers have given up an opening that has waited longer than this for an
 * answer. */
#define RG_OPENING_TIMEOUT_MS 1600

/* An opening was sent to `e`. */
void rg_endpoint_opening_sent(struct rg_endpoint *e, uint64_t now_ms);
/* An opening was retransmitted: `e` did not answer the previous one. */
void rg_endpoint_opening_retransmitted(struct rg_endpoint *e, uint64_t now_ms);
/* A peer has ejected `e`, which makes it less preferred but does not eject
 * it. */
void rg_endpoint_reported_ejected(struct rg_endpoint *e, uint64_t now_ms);
/* A caller received something from `e`. */
void rg_endpoint_responded(struct rg_endpoint *e, uint64_t now_ms);
/* A request was answered after `ms`. */
void rg_endpoint_request_answered(struct rg_endpoint *e, double ms,
                                  uint64_t now_ms);
/* Updates the failure rate with the outcome of a request, as its caller's
 * packets show it. */
void rg_endpoint_update_failure_rate(struct rg_endpoint *e, bool failed,
                                     uint64_t now_ms);
/* Sets the failure rate to zero. */
void rg_endpoint_reset_failure_rate(struct rg_endpoint *e);
/* Recent failure rate, 0 to 1, decaying with time. */
double rg_endpoint_failure_rate(const struct rg_endpoint *e, uint64_t now_ms);
/* True while new flows avoid `e` because openings or requests there got no
 * response. */
bool rg_endpoint_is_ejected(const struct rg_endpoint *e, uint64_t now_ms);
/* The request of a flow to `e` was retransmitted for the first time: the
 * request or its answer was lost. */
void rg_endpoint_request_retransmitted(struct rg_endpoint *e, uint64_t now_ms);
/* True if `e` must be considered dead or unreachable: openings or requests of
 * several flows were retransmitted for some time and nothing has come from it
 * since, while other upstreams do respond. */
bool rg_endpoint_is_unreachable(const struct rg_endpoint *e, uint64_t now_ms);

#endif
