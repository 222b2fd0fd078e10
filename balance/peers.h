/* Other instances that steer by token: who they are, how fresh their view is,
 * and whether this instance lags behind them.
 *
 * Instances tell each other digests in turn, a few a second whatever the size
 * of the fleet. What is known of the store spreads through them within a few
 * periods, so that one instance that asks the store often serves all. Nothing
 * depends on them for being correct: an instance that hears no one follows the
 * store by itself. No I/O; time is passed in; one owner. */
#ifndef RG_BALANCE_PEERS_H
#define RG_BALANCE_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/addr.h"
#include "common/str.h"
#include "proto/messages.gen.h"

/* Peers known at once: of a large fleet a random part, and as many of the own
 * data centre as possible beside RG_PEERS_REMOTE_MIN others. */
#define RG_PEERS_MAX 48
#define RG_PEERS_REMOTE_MIN 12

struct rg_peers_opts {
    struct rg_name name;
    struct rg_name data_centre;
    struct rg_addr addr; /* where others reach this instance */
    uint32_t bound_ms;   /* on a view's lag behind the store */
    uint64_t seed;
};

/* This instance's own view. */
struct rg_peers_view {
    uint64_t version;
    uint64_t revision;
    uint64_t confirmed_ms;   /* it was the store's then, 0: never */
    uint32_t openings_per_s; /* new flows this instance gets */
    bool leaving;
};

struct rg_peers;

struct rg_peers *rg_peers_create(const struct rg_peers_opts *opts);
void rg_peers_destroy(struct rg_peers *p);

/* An address to try; its instance is known once it answers. */
void rg_peers_add_seed(struct rg_peers *p, const struct rg_addr *addr);

/* A digest arrived. Those of this instance itself are ignored. */
void rg_peers_digest_received(struct rg_peers *p,
                              const struct rg_msg_digest *digest,
                              uint64_t now_ms);

/* Whom a digest is for. */
enum rg_peers_scope {
    RG_PEERS_ANY,
    RG_PEERS_LOCAL, /* in the own data centre, if one is known */
};

struct rg_peers_target {
    struct rg_addr addr;
    bool local; /* known to be in the own data centre */
};

/* The next digest, without verdicts and outcomes, and whom to send it to;
 * false if nobody is known. Call it RG_PEERS_FANOUT times every
 * RG_PEERS_PERIOD_MS.
 */
#define RG_PEERS_PERIOD_MS 200
/* Digests sent each period. */
#define RG_PEERS_FANOUT 2
bool rg_peers_next_digest(struct rg_peers *p, const struct rg_peers_view *view,
                          enum rg_peers_scope reach, uint64_t now_ms,
                          struct rg_msg_digest *out,
                          struct rg_peers_target *to);

/* True if this instance should ask the store often: it ranks first among the
 * instances it hears, or has not heard for too long that the store answered
 * anyone. */
bool rg_peers_is_store_reader(const struct rg_peers *p, uint64_t now_ms);

/* True if `view` still lacks what was known a while ago. Call it every
 * RG_PEERS_PERIOD_MS. */
bool rg_peers_is_behind(struct rg_peers *p, const struct rg_peers_view *view,
                        uint64_t now_ms);

/* One of the peers whose view is newer than `view`, to have it from, in the
 * own data centre if there is one; false if there is none. */
bool rg_peers_find_newer(struct rg_peers *p, const struct rg_peers_view *view,
                         uint64_t now_ms, struct rg_addr *out);

/* When the store last answered anyone heard of, if `view` lacks nothing that
 * was known then; else 0. */
uint64_t rg_peers_confirmed_ms(const struct rg_peers *p,
                               const struct rg_peers_view *view);

/* Peers heard lately, and those of them in the own data centre. */
size_t rg_peers_count(const struct rg_peers *p, uint64_t now_ms);
size_t rg_peers_local_count(const struct rg_peers *p, uint64_t now_ms);

/* Instances of the whole fleet, this one included: an estimate where they are
 * more than can be known. */
size_t rg_peers_fleet_size(struct rg_peers *p, uint64_t now_ms);

/* This instance's share of the fleet's new flows, by what the peers heard
 * lately get. */
double rg_peers_flow_share(struct rg_peers *p, uint32_t openings_per_s,
                           uint64_t now_ms);

#endif
