/* What the balancer tells admission, one for each service. */
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
    /* An opening takes one way there and back, its request another. */
    double wait_ms = route->target_ms == 0
                         ? INFINITY
                         : fmax(route->target_ms - 2 * b->opening_ms, 0);
    return rg_admit_opening(&b->services[service].admit, route->priority,
                            wait_ms);
}

/* This instance's work at a service, and its share of the slots there, which
 * is that of the new flows it gets. Upstreams that do not answer are left out;
 * if they are most, their return is waited for with every opening, and no slot
 * counts as taken. */
static struct rg_admit_load
load_of(const struct rg_balancer *b, uint32_t service)
{
    size_t count;
    struct rg_endpoint *const *boots =
        rg_pool_endpoints(b->pool, service, &count);
    struct rg_admit_load load = {0};
    size_t silent = 0;

    for (size_t i = 0; i < count; i++) {
        if (boots[i]->stalled != 0 || rg_endpoint_is_outlier(boots[i]) ||
            rg_endpoint_is_ejected(boots[i], b->now_ms))
        {
            silent++;
            continue;
        }
        load.slots += boots[i]->slots;
        load.open += boots[i]->open_work;
    }
    load.slots = silent * 2 > count ? INFINITY : load.slots * b->fleet.share;
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
            b->services[i].crowded_ms = b->now_ms;
        }
        if (a->full != before) {
            rg_bal_log_admission(b, i, &load);
        }
    }
}
