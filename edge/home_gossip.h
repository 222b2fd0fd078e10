/* Messages between an instance and the homes of flows, see
 * balance/flow_homes.h. The datagrams are sent and received by gossip. Not
 * thread-safe. */
#ifndef RG_EDGE_HOME_GOSSIP_H
#define RG_EDGE_HOME_GOSSIP_H

#include "balance/balancer.h"
#include "balance/flow_homes.h"
#include "balance/peers.h"
#include "proto/messages.gen.h"

struct rg_home_gossip_opts {
    struct rg_name name;          /* of this instance */
    struct rg_addr addr;          /* at which peers answer */
    struct rg_balancer *balancer; /* borrowed */
    const struct rg_peers *peers; /* borrowed */
    /* Sends a message to the peer at `to`. */
    void (*send)(void *ctx, const struct rg_msg *m, const struct rg_addr *to);
    void *ctx;
};

struct rg_home_gossip;

struct rg_home_gossip *
rg_home_gossip_create(const struct rg_home_gossip_opts *opts);
void rg_home_gossip_destroy(struct rg_home_gossip *h);

/* Flows handled at a time. */
#define RG_HOME_GOSSIP_MAX 64

/* Asks the homes of these flows, at most RG_HOME_GOSSIP_MAX. */
void rg_home_gossip_ask(struct rg_home_gossip *h,
                        const struct rg_flow_id *flows, size_t count,
                        uint64_t now_ms);

/* Tells the homes of flows that have arrived here, and of endpoints. */
void rg_home_gossip_tell(struct rg_home_gossip *h, uint64_t now_ms);

/* Tells the homes of these flows' endpoints, at most RG_HOME_GOSSIP_MAX. */
void rg_home_gossip_tell_records(struct rg_home_gossip *h,
                                 const struct rg_flow_record *records,
                                 size_t count, uint64_t now_ms);

/* Handle the messages of peers. */
void rg_home_gossip_query(struct rg_home_gossip *h,
                          const struct rg_msg_home_query *query,
                          uint64_t now_ms);
void rg_home_gossip_answer(struct rg_home_gossip *h,
                           const struct rg_msg_home_answer *answer,
                           uint64_t now_ms);

#endif
