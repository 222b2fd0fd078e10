/* Connections of the stand-in upstreams, found by upstream and flow. Owned by
 * one thread; records stay where they are until removed. */
#ifndef RG_STANDIN_CONNS_H
#define RG_STANDIN_CONNS_H

#include "core/packet.h"
#include "standin/common.h"

struct sd_conn {
    struct sd_conn *next;
    uint32_t upstream;
    struct rg_flow_key key;
    uint32_t peer_isn;
    uint32_t own_isn;
    uint32_t rcv_next;
    uint32_t snd_next; /* next byte to send */
    bool established;
    bool busy; /* a request runs */
    uint64_t seen_ms;
    struct sd_request last; /* request answered last */
    uint32_t last_rcv_next; /* of the segment that carried it */
    uint32_t answer_seq;    /* where its answer starts */
    bool answered;
};

struct sd_conns;

struct sd_conns *sd_conns_create(void);
struct sd_conn *sd_conns_find(const struct sd_conns *t, uint32_t upstream,
                              const struct rg_flow_key *key);
/* Adds one that is not there yet; zeroed but for upstream and key. */
struct sd_conn *sd_conns_add(struct sd_conns *t, uint32_t upstream,
                             const struct rg_flow_key *key);
void sd_conns_remove(struct sd_conns *t, struct sd_conn *c);
/* Calls `cb` with each; it may remove the one it is called with. */
void sd_conns_each(struct sd_conns *t,
                   void (*cb)(void *ctx, struct sd_conn *c), void *ctx);

#endif
