/* Routes: which services new flows to an address go to.
 *
 * A table is built whole from one version of the configuration and then only
 * read. */
#ifndef RG_BALANCE_ROUTES_H
#define RG_BALANCE_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/* Services a route may split its flows over. */
#define RG_ROUTE_SPLIT_MAX 8

/* What a route's requests allow when one of them has failed. */
enum rg_repeat {
    RG_REPEAT_SAFE,   /* running a request twice does no harm */
    RG_REPEAT_UNSAFE, /* a request may run once at most */
};

struct rg_route_share {
    struct rg_name service;
    uint32_t service_index; /* set by whoever owns the index of services */
    uint32_t weight;
};

struct rg_route {
    uint32_t ip; /* host byte order */
    uint16_t port;
    uint8_t repeat; /* enum rg_repeat */
    uint8_t share_count;
    uint32_t timeout_ms; /* a request's deadline, 0 if none is set */
    uint32_t target_ms;  /* aimed at from opening to answer, 0 if none */
    uint32_t priority;   /* 0 is the most important */
    struct rg_route_share shares[RG_ROUTE_SPLIT_MAX];
    /* Medians of what callers got here, 0 before the first. */
    double usual_ms;    /* from request to answer, without the way there */
    double usual_bytes; /* of an answer */
    uint32_t answers;   /* that these rest on */
};

struct rg_routes;

/* Takes over `routes`, an array made with malloc(). Of two routes with one
 * address the first counts. */
struct rg_routes *rg_routes_create(uint64_t version, struct rg_route *routes,
                                   size_t count);
void rg_routes_destroy(struct rg_routes *r);

uint64_t rg_routes_version(const struct rg_routes *r);
size_t rg_routes_count(const struct rg_routes *r);
struct rg_route *rg_routes_at(struct rg_routes *r, size_t i);

/* NULL if no route has this address. */
struct rg_route *rg_routes_find(const struct rg_routes *r, uint32_t ip,
                                uint16_t port);

/* Takes over the medians of routes that `before` has too, and remembers those
 * that it had and this table has not. */
void rg_routes_carry_over(struct rg_routes *r, const struct rg_routes *before);

/* True if an earlier table had a route with this address. */
bool rg_routes_was_removed(const struct rg_routes *r, uint32_t ip,
                           uint16_t port);

/* An answer as a caller got it. Updates the medians. Returns true if it looks
 * like an error rather than an answer: far quicker and shorter than usual. */
bool rg_route_answered(struct rg_route *route, double ms, double bytes);

/* Index of the service a flow with this hash goes to: the same on every
 * instance that holds this version, in proportion to the weights. Returns
 * false if no service of the route has a weight. */
bool rg_route_pick_service(const struct rg_route *route, uint64_t hash,
                           uint32_t *service_index);

/* True if flows of the route may be served by this service. */
bool rg_route_has_service(const struct rg_route *route,
                          uint32_t service_index);

#endif
