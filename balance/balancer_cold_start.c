/* The balancer's use of limits on openings to cold upstreams. */
#include "balance/priv.h"

/* An instance that has just started does not know how many there are: until
 * then digests have told it of the others. */
#define LEARN_MS 3000

/* The number of instances to share a limit with, 0: not known yet. */
static size_t
instances(const struct rg_balancer *b)
{
    if (b->now_ms - b->started_ms < LEARN_MS) {
        return 0;
    }
    size_t known = rg_instances_known_bound(&b->instances_known);
    return known > 0 ? known : 1;
}

static void
update_share(struct rg_balancer *b, uint32_t service)
{
    struct rg_bal_service *s = &b->services[service];
    size_t count = instances(b);

    if (s->cold.per_s == s->cold_per_s && s->cold.instances == count) {
        return;
    }
    rg_cold_start_set(&s->cold, &b->opts.cold_bounds, s->cold_per_s, count);
    rg_log_event(b->opts.log, RG_LOG_INFO, "COLD_LIMIT",
                 "service=\"%s\" per_s=\"%g\" instances=\"%zu\" "
                 "interval_ms=\"%u\" turn=\"%.6f\"",
                 rg_pool_service_name(b->pool, service)->s, s->cold.per_s,
                 s->cold.instances, s->cold.interval_ms, s->cold.turn);
}

void
rg_bal_set_cold_limits(struct rg_balancer *b)
{
    size_t count;
    const struct rg_cold_limit *limits =
        rg_routes_cold_limits(b->routes, &count);

    for (uint32_t i = 0; i < b->service_count; i++) {
        b->services[i].cold_per_s = 0;
    }
    for (size_t i = 0; i < count; i++) {
        uint32_t service = rg_pool_service(b->pool, &limits[i].service);
        rg_bal_reserve_service(b, service);
        b->services[service].cold_per_s = limits[i].per_s;
    }
    rg_bal_tick_cold_start(b);
}

const struct rg_cold_start *
rg_bal_cold_start(const struct rg_balancer *b, uint32_t service)
{
    const struct rg_bal_service *s = rg_bal_service(b, service);

    return s && s->cold.per_s > 0 ? &s->cold : NULL;
}

bool
rg_bal_cold_start_allows(const struct rg_balancer *b,
                         const struct rg_endpoint *e)
{
    return rg_cold_start_allows(rg_bal_cold_start(b, e->service), e,
                                rg_outcome_table_self(b->outcome_table),
                                b->now_ms);
}

void
rg_bal_cold_start_sent(struct rg_balancer *b, struct rg_endpoint *e)
{
    if (rg_cold_start_applies(rg_bal_cold_start(b, e->service), e, b->now_ms))
    {
        e->cold_opening_ms = b->now_ms;
    }
}

void
rg_bal_tick_cold_start(struct rg_balancer *b)
{
    for (uint32_t i = 0; i < b->service_count; i++) {
        if (b->services[i].cold_per_s > 0 || b->services[i].cold.per_s > 0) {
            update_share(b, i);
        }
    }
}

void
rg_balancer_set_registered(struct rg_balancer *b, size_t instances,
                           uint64_t now_ms)
{
    rg_instances_known_add(&b->instances_known, instances, now_ms);
}
