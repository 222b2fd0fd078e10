#include "balance/routes.h"

#include <math.h>
#include <stdlib.h>

#include "common/mem.h"
#include "common/rand.h"

/* Relative change of a running median per answer. */
#define MEDIAN_STEP 0.03
#define MEDIAN_MIN 0.1 /* 0 means that there is no answer yet */
/* An answer looks like an error if it is below both of these shares of the
 * medians. */
#define ERROR_MS_SHARE 0.35
#define ERROR_BYTES_SHARE 0.5
/* Removed routes to remember; callers of earlier ones have noticed long
 * ago. */
#define REMOVED_MAX 4096

struct rg_routes {
    uint64_t version;
    struct rg_route *routes;
    size_t count;
    uint32_t *slots; /* hash table by address: index + 1, 0 if free */
    size_t size;     /* a power of two */
    struct rg_routes *removed; /* routes of earlier tables, or NULL */
    struct rg_cold_limit *cold_limits;
    size_t cold_limit_count;
};

static uint64_t
address_of(uint32_t ip, uint16_t port)
{
    return (uint64_t)ip << 16 | port;
}

static size_t
slot_of(const struct rg_routes *r, uint32_t ip, uint16_t port)
{
    return rg_mix64(address_of(ip, port)) & (r->size - 1);
}

static void
insert(struct rg_routes *r, size_t index)
{
    const struct rg_route *route = &r->routes[index];
    size_t i = slot_of(r, route->ip, route->port);

    if (rg_routes_find(r, route->ip, route->port)) {
        return;
    }
    while (r->slots[i]) {
        i = (i + 1) & (r->size - 1);
    }
    r->slots[i] = (uint32_t)index + 1;
}

struct rg_routes *
rg_routes_create(uint64_t version, struct rg_route *routes, size_t count)
{
    struct rg_routes *r = rg_calloc(1, sizeof(*r));

    r->version = version;
    r->routes = routes;
    r->count = count;
    r->size = 16;
    while (r->size < count * 2) {
        r->size *= 2;
    }
    r->slots = rg_calloc(r->size, sizeof(*r->slots));
    for (size_t i = 0; i < count; i++) {
        insert(r, i);
    }
    return r;
}

void
rg_routes_destroy(struct rg_routes *r)
{
    if (r) {
        free(r->routes);
        free(r->slots);
        rg_routes_destroy(r->removed);
        free(r->cold_limits);
        free(r);
    }
}

void
rg_routes_set_cold_limits(struct rg_routes *r, struct rg_cold_limit *limits,
                          size_t count)
{
    free(r->cold_limits);
    r->cold_limits = limits;
    r->cold_limit_count = count;
}

const struct rg_cold_limit *
rg_routes_cold_limits(const struct rg_routes *r, size_t *count)
{
    *count = r->cold_limit_count;
    return r->cold_limits;
}

uint64_t
rg_routes_version(const struct rg_routes *r)
{
    return r->version;
}

size_t
rg_routes_count(const struct rg_routes *r)
{
    return r->count;
}

struct rg_route *
rg_routes_at(struct rg_routes *r, size_t i)
{
    return &r->routes[i];
}

struct rg_route *
rg_routes_find(const struct rg_routes *r, uint32_t ip, uint16_t port)
{
    for (size_t i = slot_of(r, ip, port); r->slots[i];
         i = (i + 1) & (r->size - 1)) {
        struct rg_route *route = &r->routes[r->slots[i] - 1];
        if (route->ip == ip && route->port == port) {
            return route;
        }
    }
    return NULL;
}

struct rg_route *
rg_routes_find_removed(const struct rg_routes *r, uint32_t ip, uint16_t port)
{
    return r->removed ? rg_routes_find(r->removed, ip, port) : NULL;
}

/* Collects the routes of `before` that `r` does not have; returns their number
 * with the `count` collected so far. */
static size_t
collect_removed(const struct rg_routes *r, const struct rg_routes *before,
                struct rg_route *out, size_t count)
{
    for (size_t i = 0; i < before->count && count < REMOVED_MAX; i++) {
        const struct rg_route *route = &before->routes[i];
        if (!rg_routes_find(r, route->ip, route->port)) {
            out[count++] = *route;
        }
    }
    return count;
}

static void
keep_removed(struct rg_routes *r, const struct rg_routes *before)
{
    size_t known = before->removed ? before->removed->count : 0;
    struct rg_route *routes =
        rg_calloc(before->count + known + 1, sizeof(*routes));
    size_t count = collect_removed(r, before, routes, 0);

    if (before->removed) {
        count = collect_removed(r, before->removed, routes, count);
    }
    routes = rg_realloc(routes, (count + 1) * sizeof(*routes));
    r->removed = rg_routes_create(before->version, routes, count);
}

void
rg_routes_carry_over(struct rg_routes *r, const struct rg_routes *before)
{
    for (size_t i = 0; i < r->count; i++) {
        struct rg_route *route = &r->routes[i];
        const struct rg_route *old =
            rg_routes_find(before, route->ip, route->port);
        if (old) {
            route->median_ms = old->median_ms;
            route->median_bytes = old->median_bytes;
            route->answers = old->answers;
        }
    }
    keep_removed(r, before);
}

/* Moves a running median towards a value. */
static void
move_median(double *median, double value)
{
    if (*median == 0) {
        *median = value;
    }
    else if (value > *median) {
        *median *= 1 + MEDIAN_STEP;
    }
    else {
        *median *= 1 - MEDIAN_STEP;
    }
}

bool
rg_route_answered(struct rg_route *route, double ms, double bytes)
{
    bool error_like = ms < ERROR_MS_SHARE * route->median_ms &&
                      bytes < ERROR_BYTES_SHARE * route->median_bytes;

    move_median(&route->median_ms, fmax(ms, MEDIAN_MIN));
    move_median(&route->median_bytes, fmax(bytes, MEDIAN_MIN));
    route->answers++;
    return error_like;
}

bool
rg_route_pick_service(const struct rg_route *route, uint64_t hash,
                      uint32_t *service_index)
{
    uint64_t total = 0;

    for (uint8_t i = 0; i < route->share_count; i++) {
        total += route->shares[i].weight;
    }
    if (total == 0) {
        return false;
    }
    uint64_t at = rg_mix64(hash) % total;
    for (uint8_t i = 0; i < route->share_count; i++) {
        if (at < route->shares[i].weight) {
            *service_index = route->shares[i].service_index;
            return true;
        }
        at -= route->shares[i].weight;
    }
    return false;
}

bool
rg_route_has_service(const struct rg_route *route, uint32_t service_index)
{
    for (uint8_t i = 0; i < route->share_count; i++) {
        if (route->shares[i].service_index == service_index) {
            return true;
        }
    }
    return false;
}
