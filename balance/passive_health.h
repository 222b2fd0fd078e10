/* What callers' packets show of upstreams: who answers, how fast, and who has
 * fallen silent. Balancers see only callers' half of a flow. */
#ifndef RG_BALANCE_PASSIVE_HEALTH_H
#define RG_BALANCE_PASSIVE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "balance/pool.h"

/* An opening without an answer for longer was given up by its caller. */
#define RG_OPENING_TIMEOUT_MS 1600

/* An opening was sent to `b`. */
void rg_endpoint_opening_sent(struct rg_endpoint *b, uint64_t now_ms);
/* An opening was repeated: `b` did not answer the last one. */
void rg_endpoint_opening_repeated(struct rg_endpoint *b, uint64_t now_ms);
/* Another instance has found it silent: it is avoided, but not ejected. */
void rg_endpoint_reported_ejected(struct rg_endpoint *b, uint64_t now_ms);
/* A caller heard from `b`. */
void rg_endpoint_responded(struct rg_endpoint *b, uint64_t now_ms);
/* A request was answered after `ms`. */
void rg_endpoint_request_answered(struct rg_endpoint *b, double ms,
                                  uint64_t now_ms);
/* A request there failed, by what its caller saw, or not. */
void rg_endpoint_update_failure_rate(struct rg_endpoint *b, bool failed,
                                     uint64_t now_ms);
/* Its failures no longer count. */
void rg_endpoint_reset_failure_rate(struct rg_endpoint *b);
/* Share of recent requests that failed. */
double rg_endpoint_failure_rate(const struct rg_endpoint *b, uint64_t now_ms);
bool rg_endpoint_is_ejected(const struct rg_endpoint *b, uint64_t now_ms);
/* A flow's request to `b` was repeated for the first time: neither it nor an
 * answer came through. */
void rg_endpoint_request_repeated(struct rg_endpoint *b, uint64_t now_ms);
/* True if `b` must be taken for dead, or out of reach: requests or openings of
 * several flows there were repeated, for a while, and nothing came from it
 * meanwhile, though other upstreams do answer. */
bool rg_endpoint_is_unreachable(const struct rg_endpoint *b, uint64_t now_ms);

#endif
