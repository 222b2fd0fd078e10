/* The balancer's use of admission control: one controller for each service. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "balance/passive_health.h"
#include "balance/priv.h"
#include "common/mem.h"

void
rg_bal_reserve_service(struct rg_balancer *b, uint32_t service)
{
    if (service < b->service_count) {
        return;
    }
    size_t count = service + 1;
    b->services = rg_realloc(b->services, count * sizeof(*b->services));
    memset(b->services + b->service_count, 0,
           (count - b->service_count) * sizeof(*b->services));
    b->service_count = count;
}

bool
rg_bal_admits(struct rg_balancer *b, const struct rg_route *route,
              uint32_t service)
{
    /* Both the opening and the request take a round trip before the answer. */
    double wait_ms = route->target_ms == 0
                         ? INFINITY
                         : fmax(route->target_ms - 2 * b->opening_ms, 0);
    return rg_admit_opening(&b->services[service].admit, route->priority,
                            wait_ms);
}

/* Outstanding requests of this instance at a service, and its share of the
 * slots there, which equals its share of new flows. Evacuated upstreams are
 * left out, and those that do not respond. If the latter are the majority of
 * the rest, slots are unlimited, so that no opening is refused and the
 * upstreams' recovery is noticed. */
static struct rg_admit_load
load_of(const struct rg_balancer *b, uint32_t service)
{
    size_t count;
    struct rg_endpoint *const *endpoints =
        rg_pool_endpoints(b->pool, service, &count);
    struct rg_admit_load load = {0};
    size_t unresponsive = 0;
    size_t evacuated = 0;

    for (size_t i = 0; i < count; i++) {
        if (endpoints[i]->data_centre->evacuation->in_force) {
            evacuated++;
            continue;
        }
        if (endpoints[i]->retransmissions != 0 ||
            rg_endpoint_is_outlier(endpoints[i]) ||
            rg_endpoint_is_ejected(endpoints[i], b->now_ms))
        {
            unresponsive++;
            continue;
        }
        load.slots += endpoints[i]->slots;
        load.open += endpoints[i]->open_work;
    }
    load.slots = unresponsive * 2 > count - evacuated
                     ? INFINITY
                     : load.slots * b->fleet.share;
    return load;
}

void
rg_bal_tick_admission(struct rg_balancer *b)
{
    for (uint32_t i = 0; i < b->service_count; i++) {
        struct rg_admit *a = &b->services[i].admit;
        struct rg_admit_load load = {0};
        if (rg_admit_needs_load(a)) {
            load = load_of(b, i);
        }
        bool before = a->full;
        rg_admit_tick(a, RG_BALANCER_TICK_MS, &load);
        if (rg_admit_is_overloaded(a)) {
            b->services[i].overloaded_ms = b->now_ms;
        }
        if (a->full != before) {
            rg_bal_log_admission(b, i, &load);
        }
    }
}
