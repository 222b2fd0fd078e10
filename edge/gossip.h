/* Talks with other instances: digests over UDP, whole views over HTTP, both at
 * the peer address. Not thread-safe. */
#ifndef RG_EDGE_GOSSIP_H
#define RG_EDGE_GOSSIP_H

#include <uv.h>

#include "balance/balancer.h"
#include "balance/peers.h"
#include "common/err.h"
#include "common/log.h"
#include "edge/store_client.h"

struct rg_gossip_opts {
    uv_loop_t *loop;
    struct rg_peers_opts peers;
    struct rg_addr listen; /* UDP and HTTP; others use the one in `peers` */
    struct rg_balancer *balancer; /* borrowed */
    struct rg_store_client *sync; /* borrowed */
    const struct rg_log *log;     /* borrowed */
};

struct rg_gossip;

/* NULL, with a finding, if the address cannot be bound. */
struct rg_gossip *rg_gossip_create(const struct rg_gossip_opts *opts,
                                   struct rg_err *err);
void rg_gossip_destroy(struct rg_gossip *g);

/* An instance was announced at this address. */
void rg_gossip_add_peer(struct rg_gossip *g, const struct rg_addr *addr);

/* RG_BALANCER_TICK_MS have passed, and rg_balancer_tick() was called. */
void rg_gossip_tick(struct rg_gossip *g);

/* A stop signal came: others are told. */
void rg_gossip_leave(struct rg_gossip *g);

const struct rg_peers *rg_gossip_peers(const struct rg_gossip *g);

#endif
