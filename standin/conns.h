/* Connection table of the stand-in upstreams, keyed by upstream and flow. Not
 * thread-safe; pointers to a connection stay valid until it is removed. */
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
    bool busy; /* a request is being served */
    uint64_t last_packet_ms;
    struct sd_request last_request; /* last one answered */
    uint32_t last_request_seq;      /* sequence number of its segment */
    uint32_t answer_seq;            /* sequence number of its answer */
    bool answered;                  /* last_request is set */
};

struct sd_conns;

struct sd_conns *sd_conns_create(void);
struct sd_conn *sd_conns_find(const struct sd_conns *t, uint32_t upstream,
                              const struct rg_flow_key *key);
/* Adds a connection, which must not exist yet. All of it is zero except
 * `upstream` and `key`. */
struct sd_conn *sd_conns_add(struct sd_conns *t, uint32_t upstream,
                             const struct rg_flow_key *key);
void sd_conns_remove(struct sd_conns *t, struct sd_conn *c);
/* Calls `cb` for each connection; `cb` may remove that connection. */
void sd_conns_each(struct sd_conns *t,
                   void (*cb)(void *ctx, struct sd_conn *c), void *ctx);

#endif
