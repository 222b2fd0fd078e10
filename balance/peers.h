/* Peers: the other instances that steer by token, how recent their views are,
 * and whether this instance lags behind them.
 *
 * Instances gossip digests to each other, a few per second whatever the size
 * of the fleet. What is known of the store spreads within a few periods, so
 * that one instance that polls the store serves all. Correctness does not
 * depend on peers: an instance that gets no digests polls the store itself. No
 * I/O; the time is passed in; one owner. */
#ifndef RG_BALANCE_PEERS_H
#define RG_BALANCE_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/home_choice.h"
#include "common/addr.h"
#include "common/str.h"
#include "proto/messages.gen.h"

/* Maximum number of known peers: a random part of a large fleet, with as many
 * as possible of the local data centre and RG_PEERS_REMOTE_MIN others. */
#define RG_PEERS_MAX 48
#define RG_PEERS_REMOTE_MIN 12

struct rg_peers_opts {
    struct rg_name name;
    struct rg_name data_centre;
    struct rg_addr addr; /* at which peers reach this instance */
    uint32_t bound_ms;   /* maximum lag of a view behind the store */
    uint64_t seed;
};

/* State of this instance's own view. */
struct rg_peers_view {
    uint64_t version;
    uint64_t revision;     /* with its era, see revision.h */
    bool provisional;      /* it may be older than what others know */
    uint64_t confirmed_ms; /* when the store last confirmed it, 0: never */
    uint64_t answered_ms; /* when the store last answered this instance itself,
                             0: never */
    uint32_t answers;     /* number of its answers */
    uint32_t openings_per_s; /* new flows this instance gets */
    bool leaving;
};

struct rg_peers;

struct rg_peers *rg_peers_create(const struct rg_peers_opts *opts);
void rg_peers_destroy(struct rg_peers *p);

/* Adds an address to contact; its instance is known once it answers. */
void rg_peers_add_seed(struct rg_peers *p, const struct rg_addr *addr);

/* Handles a digest. Digests of this instance itself are ignored. */
void rg_peers_digest_received(struct rg_peers *p,
                              const struct rg_msg_digest *digest,
                              uint64_t now_ms);

/* Which peers may get a digest. */
enum rg_peers_scope {
    RG_PEERS_ANY,
    RG_PEERS_LOCAL, /* of the local data centre, if any is known */
};

struct rg_peers_target {
    struct rg_addr addr;
    bool local; /* known to be in the local data centre */
};

/* Creates the next digest, without ejections and outcomes, and selects the
 * peer to send it to; false if no peer is known. Call it RG_PEERS_FANOUT times
 * every RG_PEERS_PERIOD_MS. */
#define RG_PEERS_PERIOD_MS 200
/* Digests sent per period. */
#define RG_PEERS_FANOUT 2
bool rg_peers_next_digest(struct rg_peers *p, const struct rg_peers_view *view,
                          enum rg_peers_scope scope, uint64_t now_ms,
                          struct rg_msg_digest *out,
                          struct rg_peers_target *to);

/* True if this instance should poll the store: it ranks first among itself and
 * the recently active peers, or the store has not answered any of them for too
 * long. */
bool rg_peers_is_store_reader(const struct rg_peers *p, uint64_t now_ms);

/* True if `view` still lacks what was known to peers a while ago. Call it
 * every RG_PEERS_PERIOD_MS. */
bool rg_peers_is_behind(struct rg_peers *p, const struct rg_peers_view *view,
                        uint64_t now_ms);

/* True if a newer configuration than that of `view` is known to any instance.
 */
bool rg_peers_knows_newer_version(const struct rg_peers *p,
                                  const struct rg_peers_view *view);

/* Selects a peer with a newer view, or one that settles a provisional view, in
 * the local data centre if possible, to request a snapshot from; false if
 * there is none. */
bool rg_peers_find_newer(struct rg_peers *p, const struct rg_peers_view *view,
                         uint64_t now_ms, struct rg_addr *out);

/* When the store last answered any known instance, provided that `view`
 * contains everything known at that time; else 0. */
uint64_t rg_peers_confirmed_ms(const struct rg_peers *p,
                               const struct rg_peers_view *view);

/* Number of recently active peers, in total and in the local data centre. */
size_t rg_peers_count(const struct rg_peers *p, uint64_t now_ms);
size_t rg_peers_local_count(const struct rg_peers *p, uint64_t now_ms);

/* True if all recently active peers tell the tokens of openings from those of
 * open flows. */
bool rg_peers_read_opening_tokens(const struct rg_peers *p, uint64_t now_ms);

/* Recently active peers that the fabric may hand flows of this instance to, or
 * whose flows it may hand to this one: those of the local data centre, and all
 * if there are few. Returns their number. */
size_t rg_peers_flow_targets(const struct rg_peers *p, uint64_t now_ms,
                             struct rg_addr out[RG_PEERS_MAX]);

/* Homes of a flow, see rg_home_choice(). Returns their number. */
size_t rg_peers_flow_homes(const struct rg_peers *p,
                           const struct rg_instances *registered,
                           uint32_t flow_hash, uint64_t now_ms,
                           struct rg_flow_home out[RG_FLOW_HOMES_MAX]);

/* Identifies an instance by its name. */
uint32_t rg_peers_id(const struct rg_name *name);

/* Size of the whole fleet, this instance included; an estimate if it is larger
 * than the number of instances that can be known. */
size_t rg_peers_fleet_size(struct rg_peers *p, uint64_t now_ms);

/* Share of the fleet's new flows that this instance gets, by what the recent
 * digests of peers say about theirs. */
double rg_peers_flow_share(struct rg_peers *p, uint32_t openings_per_s,
                           uint64_t now_ms);

/* New flows per second of all instances of the local data centre, this one
 * with `openings_per_s` included, and of all others; 0 if no recent digest
 * tells. */
struct rg_peers_openings {
    double local;
    double remote;
};
struct rg_peers_openings rg_peers_openings(struct rg_peers *p,
                                           uint32_t openings_per_s,
                                           uint64_t now_ms);

#endif
