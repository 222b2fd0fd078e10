/* Exchange of single flows between instances: tells peers of those that two
 * upstreams may have, and asks them for flows whose endpoint is not known
 * here. The datagrams are sent and received by gossip. Not thread-safe. */
#ifndef RG_EDGE_FLOW_GOSSIP_H
#define RG_EDGE_FLOW_GOSSIP_H

#include "balance/balancer.h"
#include "balance/peers.h"
#include "edge/home_gossip.h"
#include "proto/messages.gen.h"

struct rg_flow_gossip_opts {
    struct rg_name name;          /* of this instance */
    struct rg_addr addr;          /* at which peers answer */
    struct rg_balancer *balancer; /* borrowed */
    const struct rg_peers *peers; /* borrowed */
    struct rg_home_gossip *homes; /* borrowed */
    /* Sends a message to the peer at `to`. */
    void (*send)(void *ctx, const struct rg_msg *m, const struct rg_addr *to);
    void *ctx;
};

struct rg_flow_gossip;

struct rg_flow_gossip *
rg_flow_gossip_create(const struct rg_flow_gossip_opts *opts);
void rg_flow_gossip_destroy(struct rg_flow_gossip *g);

/* Call it every RG_BALANCER_TICK_MS, after rg_balancer_tick(). */
void rg_flow_gossip_tick(struct rg_flow_gossip *g, uint64_t now_ms);

/* Asks peers for flows, and tells homes of theirs, without waiting for the
 * next tick. */
void rg_flow_gossip_exchange(struct rg_flow_gossip *g, uint64_t now_ms);

/* Handle the messages of peers. */
void rg_flow_gossip_query(struct rg_flow_gossip *g,
                          const struct rg_msg_flow_query *query,
                          uint64_t now_ms);
void rg_flow_gossip_records(struct rg_flow_gossip *g,
                            const struct rg_msg_flow_records *records,
                            uint64_t now_ms);

void rg_flow_gossip_sightings(struct rg_flow_gossip *g,
                              const struct rg_msg_flow_sightings *sightings,
                              uint64_t now_ms);

/* This instance is about to stop: tells its peers of all flows again. */
void rg_flow_gossip_leave(struct rg_flow_gossip *g);

#endif
