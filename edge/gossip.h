/* Gossip with other instances: sends and receives digests over UDP, and serves
 * and fetches snapshots of the view over HTTP. Both use the peer address. Not
 * thread-safe. */
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
    struct rg_addr listen; /* UDP and HTTP; others connect to peers.addr */
    struct rg_balancer *balancer;         /* borrowed */
    struct rg_store_client *store_client; /* borrowed */
    const struct rg_log *log;             /* borrowed */
};

struct rg_gossip;

/* Returns NULL and adds an error to `err` if the address cannot be bound. */
struct rg_gossip *rg_gossip_create(const struct rg_gossip_opts *opts,
                                   struct rg_err *err);
void rg_gossip_destroy(struct rg_gossip *g);

/* Adds the peer address of another instance found in the store. */
void rg_gossip_add_peer(struct rg_gossip *g, const struct rg_addr *addr);

/* Call it every RG_BALANCER_TICK_MS, after rg_balancer_tick(). */
void rg_gossip_tick(struct rg_gossip *g);

/* Asks peers for flows, and tells them of others, now instead of with the next
 * tick. */
void rg_gossip_exchange_flows(struct rg_gossip *g, uint64_t now_ms);

/* The process was suspended for a while: discards the datagrams that have
 * waited since, as what they say of ages no longer holds. */
void rg_gossip_paused(struct rg_gossip *g);

/* Says in all further digests that this instance is about to stop. */
void rg_gossip_leave(struct rg_gossip *g);

const struct rg_peers *rg_gossip_peers(const struct rg_gossip *g);

#endif
