/* Flow table: a hash table of flow records with a fixed capacity.
 *
 * A record takes 64 bytes and two 8-byte index slots. There is one
 * least-recently-used list per state, so that expiry and eviction examine only
 * list heads. Opening, refused and held records share a quota, so that a flood
 * of openings evicts such records and never established ones. */
#ifndef RG_CORE_FLOW_H
#define RG_CORE_FLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "core/packet.h"

#define RG_FLOW_NO_UPSTREAM UINT32_MAX

enum rg_flow_state {
    RG_FLOW_OPENING,     /* only opening packets seen */
    RG_FLOW_ESTABLISHED, /* the caller has sent more than its opening */
    RG_FLOW_CLOSING,     /* FIN or RST seen */
    RG_FLOW_REFUSED,     /* the caller was refused; so are retransmissions */
    RG_FLOW_HELD,        /* unknown flow, packets held back, see owner.c */
    RG_FLOW_STATES,
    RG_FLOW_FREE = 7, /* not a record: a free element of the table */
};

/* One record: 64 bytes. */
struct rg_flow {
    struct rg_flow_key key;
    uint32_t upstream;      /* slot of the upstream, or RG_FLOW_NO_UPSTREAM */
    uint32_t seen_ms;       /* last packet; wraps */
    uint32_t replicated_ms; /* last packet through the replica, at first the
                             * insertion; of a held flow: first arrival of
                             * the packet */
    uint16_t isn;           /* low bits of the opening's sequence number; of a
                             * held flow: identifies the packet */
    uint16_t peer;          /* member slot of the other holder; of a held flow:
                             * number of times it arrived */
    uint32_t prev;          /* neighbours in the list of its state */
    uint32_t next : 24;
    uint32_t state : 3;             /* enum rg_flow_state */
    uint32_t replications_left : 2; /* packets still to replicate */
    uint32_t is_default : 1;        /* the upstream was the table's default */
    uint32_t owner : 1;             /* this instance owns the flow */
    uint32_t tentative : 1;         /* the replica may still reject it */
};

/* No other instance is known to hold the record. */
#define RG_FLOW_NO_PEER UINT16_MAX

/* Upper bound of a table's capacity; record numbers have 24 bits. */
#define RG_FLOW_CAPACITY_MAX 0xfffffeu

/* Hash of a flow; all instances with the same `seed` compute the same. */
uint64_t rg_flow_hash(const struct rg_flow_key *key, uint64_t seed);

struct rg_flow_table_opts {
    uint64_t hash_seed;               /* as given to rg_flow_hash() */
    uint32_t capacity;                /* records, all states */
    uint32_t idle_ms[RG_FLOW_STATES]; /* idle timeout by state */
    uint32_t udp_idle_ms;             /* the same, of established UDP flows */
    /* Called for each record that expires or is evicted, before its removal.
     */
    void (*on_drop)(void *ctx, const struct rg_flow *flow);
    void *ctx;
};

struct rg_flow_table;

struct rg_flow_table *
rg_flow_table_create(const struct rg_flow_table_opts *opts);
void rg_flow_table_destroy(struct rg_flow_table *t);

/* NULL if there is no record. `hash` is rg_flow_hash() of the key. The pointer
 * is valid until the next insertion. */
struct rg_flow *rg_flow_find(struct rg_flow_table *t,
                             const struct rg_flow_key *key, uint64_t hash);

/* Inserts a record in `state`; the key must not be present. If the table is
 * full, evicts the oldest held, refused, closing or opening record, in this
 * order, else the longest idle established one if it has been idle for a
 * quarter of its timeout. Returns NULL if nothing may be evicted. */
struct rg_flow *rg_flow_insert(struct rg_flow_table *t,
                               const struct rg_flow_key *key, uint64_t hash,
                               enum rg_flow_state state, uint32_t now_ms);

/* Sets state and time of the last packet, and moves the record to the tail of
 * the list of `state`. */
void rg_flow_touch(struct rg_flow_table *t, struct rg_flow *f,
                   enum rg_flow_state state, uint32_t now_ms);

void rg_flow_remove(struct rg_flow_table *t, struct rg_flow *f);

/* Removes up to `budget` expired records; returns how many. */
uint32_t rg_flow_expire(struct rg_flow_table *t, uint32_t now_ms,
                        uint32_t budget);

uint32_t rg_flow_count(const struct rg_flow_table *t);
uint32_t rg_flow_count_state(const struct rg_flow_table *t,
                             enum rg_flow_state state);
uint64_t rg_flow_evictions(const struct rg_flow_table *t);

/* Iterates over the records by number: returns the first record whose number
 * is at least `from` and stores its number in `*at`; NULL at the end. */
struct rg_flow *rg_flow_at(struct rg_flow_table *t, uint32_t from,
                           uint32_t *at);

#endif
