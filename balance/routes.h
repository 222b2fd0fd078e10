/* Routes: the services that new flows to an address go to.
 *
 * A table is built from one version of the configuration. Afterwards only its
 * statistics change. */
#ifndef RG_BALANCE_ROUTES_H
#define RG_BALANCE_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/* Maximum number of services of one route. */
#define RG_ROUTE_SPLIT_MAX 8

/* Whether a route's requests may be retried after a failure. */
enum rg_repeat {
    RG_REPEAT_SAFE,   /* idempotent */
    RG_REPEAT_UNSAFE, /* must be executed at most once */
};

struct rg_route_share {
    struct rg_name service;
    uint32_t service_index; /* index in the pool, set by the balancer */
    uint32_t weight;
};

struct rg_route {
    uint32_t ip; /* host byte order */
    uint16_t port;
    uint8_t repeat; /* enum rg_repeat */
    uint8_t share_count;
    uint32_t timeout_ms; /* deadline of a request, 0: none */
    uint32_t target_ms;  /* latency target from opening to answer, 0: none */
    uint32_t priority;   /* 0 is the highest */
    struct rg_route_share shares[RG_ROUTE_SPLIT_MAX];
    /* Running medians of what callers received, 0 until the first answer. */
    double median_ms; /* request to answer, without the network round trip */
    double median_bytes; /* size of an answer */
    uint32_t answers;    /* that the medians are based on */
};

/* What an upstream of a service can handle while it is cold. */
struct rg_cold_limit {
    struct rg_name service;
    double per_s; /* openings a second */
};

struct rg_routes;

/* Takes ownership of `routes`, an array allocated with malloc(). Of two routes
 * with the same address the first is used. */
struct rg_routes *rg_routes_create(uint64_t version, struct rg_route *routes,
                                   size_t count);
void rg_routes_destroy(struct rg_routes *r);

/* Limits of the services of this version; takes ownership of `limits`, an
 * array allocated with malloc(). None by default. */
void rg_routes_set_cold_limits(struct rg_routes *r,
                               struct rg_cold_limit *limits, size_t count);
const struct rg_cold_limit *rg_routes_cold_limits(const struct rg_routes *r,
                                                  size_t *count);

uint64_t rg_routes_version(const struct rg_routes *r);
size_t rg_routes_count(const struct rg_routes *r);
struct rg_route *rg_routes_at(struct rg_routes *r, size_t i);

/* NULL if no route has this address. */
struct rg_route *rg_routes_find(const struct rg_routes *r, uint32_t ip,
                                uint16_t port);

/* Copies the medians of routes that `before` has as well, and keeps the routes
 * that only `before` has as removed ones. */
void rg_routes_carry_over(struct rg_routes *r, const struct rg_routes *before);

/* The route with this address as the latest earlier table that had one had it,
 * if this table has none. NULL if no earlier table had one either. */
struct rg_route *rg_routes_find_removed(const struct rg_routes *r, uint32_t ip,
                                        uint16_t port);

/* Updates the medians with an answer. Returns true if it looks like an error:
 * far faster and shorter than usual. */
bool rg_route_answered(struct rg_route *route, double ms, double bytes);

/* Service that a flow with this hash goes to, chosen in proportion to the
 * weights and identically on all instances with this version. Returns false if
 * no service of the route has a weight. */
bool rg_route_pick_service(const struct rg_route *route, uint64_t hash,
                           uint32_t *service_index);

/* True if this is one of the route's services. */
bool rg_route_has_service(const struct rg_route *route,
                          uint32_t service_index);

#endif
