/* Flow records: a bounded table of which upstream serves which flow.
 *
 * A record is 64 bytes plus two 8-byte index slots. Records are kept in one
 * least-recently-used list per state, so that expiry and eviction look only
 * at list heads. The opening class has a quota of its own: a flood of opening
 * packets pushes out opening records, never established ones. */
#ifndef RG_CORE_FLOW_H
#define RG_CORE_FLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "core/packet.h"

#define RG_FLOW_NO_UPSTREAM UINT32_MAX

enum rg_flow_state {
    RG_FLOW_OPENING,     /* only opening packets seen */
    RG_FLOW_ESTABLISHED, /* the caller has sent past its opening */
    RG_FLOW_CLOSING,     /* FIN or RST seen */
    RG_FLOW_REFUSED,     /* caller was refused; remembered to stay refused */
    RG_FLOW_HELD,        /* no holder found while members are missing */
    RG_FLOW_STATES,
    RG_FLOW_FREE = 7, /* not a record: a free place in the table */
};

/* One record: 64 bytes. */
struct rg_flow {
    struct rg_flow_key key;
    uint32_t upstream; /* index into the upstream set; unused if refused */
    uint32_t seen_ms;  /* last packet, wraps */
    uint32_t kept_ms;  /* last time a packet went through the replica; of a
                        * held flow: when the segment first came */
    uint16_t isn;      /* low bits of the opening sequence number; of a held
                        * flow: of the segment's */
    uint16_t peer;     /* member index of the other holder; of a held flow:
                        * times the segment has come */
    uint32_t prev;     /* neighbours in the list of its state */
    uint32_t next : 24;
    uint32_t state : 3; /* enum rg_flow_state */
    uint32_t keeps : 2; /* packets still to go through the replica */
    uint32_t table : 1; /* the choice is the table's default */
    uint32_t owner : 1; /* this instance created or leads the record */
    uint32_t young : 1; /* made here so lately that a replica may object */
};

/* No known other holder. */
#define RG_FLOW_NO_PEER UINT16_MAX

/* Most records a table can be made for. */
#define RG_FLOW_CAPACITY_MAX 0xfffffeu

/* Hash of a flow, the same on every instance of a fleet that shares `seed`. */
uint64_t rg_flow_hash(const struct rg_flow_key *key, uint64_t seed);

struct rg_flow_table_opts {
    uint64_t hash_seed;               /* as given to rg_flow_hash() */
    uint32_t capacity;                /* records, all states */
    uint32_t idle_ms[RG_FLOW_STATES]; /* expiry by state, TCP */
    uint32_t udp_idle_ms;             /* expiry of established UDP flows */
    /* Told of each record that expires or is evicted, before it goes. */
    void (*on_drop)(void *ctx, const struct rg_flow *flow);
    void *ctx;
};

struct rg_flow_table;

struct rg_flow_table *
rg_flow_table_create(const struct rg_flow_table_opts *opts);
void rg_flow_table_destroy(struct rg_flow_table *t);

/* NULL on a miss. `hash` is rg_flow_hash() of the key. The pointer is valid
 * until the next insert. */
struct rg_flow *rg_flow_find(struct rg_flow_table *t,
                             const struct rg_flow_key *key, uint64_t hash);

/* Makes a record in `state`; the key must not be present. Evicts, in this
 * order, the oldest refused, closing, opening record, then the longest idle
 * established one if it has been idle for a quarter of its expiry time.
 * Returns NULL if nothing may be evicted. */
struct rg_flow *rg_flow_insert(struct rg_flow_table *t,
                               const struct rg_flow_key *key, uint64_t hash,
                               enum rg_flow_state state, uint32_t now_ms);

/* Notes activity and moves the record to the tail of the list of `state`. */
void rg_flow_touch(struct rg_flow_table *t, struct rg_flow *f,
                   enum rg_flow_state state, uint32_t now_ms);

void rg_flow_remove(struct rg_flow_table *t, struct rg_flow *f);

/* Drops up to `budget` records past their time; returns how many went. */
uint32_t rg_flow_expire(struct rg_flow_table *t, uint32_t now_ms,
                        uint32_t budget);

uint32_t rg_flow_count(const struct rg_flow_table *t);
uint32_t rg_flow_count_state(const struct rg_flow_table *t,
                             enum rg_flow_state state);
uint64_t rg_flow_evictions(const struct rg_flow_table *t);

/* Walks records by number: the record at or after `from`, NULL at the end.
 * `*at` receives its number. */
struct rg_flow *rg_flow_at(struct rg_flow_table *t, uint32_t from,
                           uint32_t *at);

#endif
