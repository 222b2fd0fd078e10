/* What the daemon shows of itself. */
#ifndef RG_EDGE_STATUS_H
#define RG_EDGE_STATUS_H

#include "balance/balancer.h"
#include "common/log.h"
#include "common/strbuf.h"
#include "edge/gossip.h"

/* Appends counters, histograms and gauges in the Prometheus text format.
 * `gossip` is NULL if no peers are heard. */
void rg_status_metrics(struct rg_balancer *b, const struct rg_gossip *gossip,
                       const struct rg_log *log, struct rg_strbuf *body);

#endif
