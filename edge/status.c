#include "edge/status.h"

#include <math.h>

#include "balance/peers.h"
#include "common/clock.h"

/* The limits in force, by service; one without a limit is left out. */
static void
print_limits(struct rg_balancer *b, struct rg_strbuf *body)
{
    rg_strbuf_printf(body, "# TYPE rattangap_limit_per_s gauge\n");
    for (uint32_t i = 0; i < rg_balancer_service_count(b); i++) {
        double per_s = rg_balancer_limit_per_s(b, i);
        if (isfinite(per_s)) {
            rg_strbuf_printf(
                body, "rattangap_limit_per_s{service=\"%s\"} %.1f\n",
                rg_pool_service_name(rg_balancer_pool(b), i)->s, per_s);
        }
    }
    rg_strbuf_printf(body,
                     "# TYPE rattangap_openings_waiting gauge\n"
                     "rattangap_openings_waiting %zu\n",
                     rg_balancer_waiting_count(b));
}

void
rg_status_metrics(struct rg_balancer *b, const struct rg_gossip *gossip,
                  const struct rg_log *log, struct rg_strbuf *body)
{
    const struct rg_pool *pool = rg_balancer_pool(b);
    struct rg_balancer_leaving leaving = rg_balancer_leaving(b);

    rg_metrics_print(rg_balancer_metrics(b), body);
    rg_strbuf_printf(body,
                     "# TYPE rattangap_config_version gauge\n"
                     "rattangap_config_version %llu\n"
                     "# TYPE rattangap_store_era gauge\n"
                     "rattangap_store_era %u\n"
                     "# TYPE rattangap_store_rows_older counter\n"
                     "rattangap_store_rows_older %llu\n"
                     "# TYPE rattangap_upstreams gauge\n"
                     "rattangap_upstreams{listed=\"yes\"} %zu\n"
                     "rattangap_upstreams{listed=\"no\"} %zu\n"
                     "# TYPE rattangap_data_centres_evacuated gauge\n"
                     "rattangap_data_centres_evacuated %zu\n"
                     "# TYPE rattangap_flows_tracked gauge\n"
                     "rattangap_flows_tracked %zu\n"
                     "# TYPE rattangap_peers gauge\n"
                     "rattangap_peers %zu\n"
                     "# TYPE rattangap_services_leaving gauge\n"
                     "rattangap_services_leaving %zu\n"
                     "# TYPE rattangap_share_leaving gauge\n"
                     "rattangap_share_leaving %.3f\n"
                     "# TYPE rattangap_log_suppressed counter\n"
                     "rattangap_log_suppressed %llu\n",
                     (unsigned long long)rg_balancer_version(b),
                     rg_pool_era(pool),
                     (unsigned long long)rg_pool_ignored_rows(pool),
                     rg_pool_listed_count(pool),
                     rg_pool_known_count(pool) - rg_pool_listed_count(pool),
                     rg_evacuations_in_force(rg_pool_evacuations(pool)),
                     rg_balancer_tracked_count(b),
                     gossip ? rg_peers_count(rg_gossip_peers(gossip),
                                             rg_clock_boottime_ms())
                            : 0,
                     leaving.services, leaving.share,
                     (unsigned long long)rg_log_suppressed(log->queue));
    print_limits(b, body);
}
