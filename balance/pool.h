/* The upstreams an instance knows: every boot that may still hold flows, by
 * routing token, and those that new flows may go to, by service.
 *
 * A boot outlives its entry in the store by `retain_ms`, so that packets of
 * its flows still find it. One owner; no I/O; time is passed in. */
#ifndef RG_BALANCE_POOL_H
#define RG_BALANCE_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/outcome_table.h"
#include "balance/outcomes.h"
#include "common/addr.h"
#include "common/log.h"
#include "common/str.h"

/* What an upstream says of itself. */
struct rg_endpoint_info {
    struct rg_name id;
    uint64_t wire_id; /* the identity put before packets sent to it */
    uint64_t boot_ms; /* wall clock of its start; 0 if it does not say */
    struct rg_name service;
    struct rg_name data_centre;
    struct rg_addr addr;
    uint32_t slots; /* requests it works on at once, at least 1 */
    bool draining;
    uint32_t cold_left_ms; /* time until it has warmed up */
};

enum rg_endpoint_state {
    RG_ENDPOINT_READY,
    RG_ENDPOINT_DRAINING, /* keeps its flows, gets no new ones */
    RG_ENDPOINT_MISSING,  /* its entry lapsed; usable until keep_until_ms */
    RG_ENDPOINT_GONE,     /* only packets of its flows go there */
};

/* What is known of a data centre's upstreams as a whole: a cut of the network
 * shows on all of them at once. */
struct rg_data_centre {
    struct rg_name name;
    uint64_t alive_ms;   /* last sign of life of one of them */
    uint64_t trial_ms;   /* last opening sent there while it is suspect */
    bool suspect;        /* several did not answer, and none since */
    uint32_t stalled;    /* repeated requests and openings since alive_ms */
    uint64_t stalled_ms; /* when the first of them was seen */
};

/* What became of requests at an upstream, and the verdict on it; see
 * standing.h. */
struct rg_outlier_state {
    struct rg_outcomes own;       /* of this instance's requests */
    struct rg_outcome_sum others; /* of other instances' */
    uint32_t serial;              /* rises with each own outcome */
    uint32_t condemned; /* verdicts against it in a row, 0: good standing */
    uint32_t record;    /* the same, while it is not forgiven */
    uint64_t judged_ms; /* last verdict; what came before does not count */
    uint64_t until_ms;  /* condemned: gets no flows before */
    uint64_t probed_ms; /* last flow that was to show whether it is back */
    bool slow;          /* condemned, but answered some of them late */
};

struct rg_endpoint {
    struct rg_name id;
    uint64_t wire_id;
    uint64_t boot_ms;
    uint32_t token;
    uint32_t service; /* index, see rg_pool_service() */
    struct rg_addr addr;
    struct rg_data_centre *place; /* its data centre; the pool's */
    bool local;                   /* in this instance's data centre */
    bool ambiguous; /* its token names an older boot too: no new flows */
    uint8_t state;  /* enum rg_endpoint_state */
    uint32_t slots;
    uint64_t revision;      /* of the entry it was read from */
    uint64_t keep_until_ms; /* MISSING: usable until; GONE: kept until */
    uint64_t cold_until_ms;
    uint32_t listing; /* the last listing that named it */
    uint32_t refs;    /* tracked flows that point here */

    /* Evidence from callers' packets. */
    uint32_t open_work;  /* openings and requests of this instance there now */
    uint32_t unanswered; /* openings repeated since the last sign of life */
    uint32_t stalled; /* repeated requests and openings since the last sign of
                         life */
    uint64_t stalled_ms;    /* when the first of them was seen */
    uint64_t *anybody_ms;   /* last sign of life of any boot; the pool's */
    uint64_t unanswered_ms; /* when the last of them was seen */
    uint32_t ejections;     /* in a row */
    uint64_t ejected_until_ms;
    uint64_t chosen; /* number of the last choice that fell on it, 0: it has
                        yet to join the turns */
    uint64_t last_alive_ms;    /* last sign of life */
    uint64_t waiting_since_ms; /* oldest opening without an answer, 0: none */
    double failing;            /* share of late requests that failed, decays */
    uint64_t failing_ms;
    double latency_ms; /* mean time from request to answer, 0: none */
    uint64_t latency_at_ms;
    struct rg_outlier_state requests;
};

struct rg_pool_opts {
    struct rg_name data_centre;
    uint64_t retain_ms;       /* life of a boot after its entry */
    const struct rg_log *log; /* borrowed */
};

struct rg_pool;

struct rg_pool *rg_pool_create(const struct rg_pool_opts *opts);
void rg_pool_destroy(struct rg_pool *p);

/* Index of a service, made if unknown. */
uint32_t rg_pool_service(struct rg_pool *p, const struct rg_name *name);

/* Name of a service by its index. */
const struct rg_name *rg_pool_service_name(const struct rg_pool *p,
                                           uint32_t index);

/* An upstream's entry as of `revision`; older ones than known are ignored. A
 * boot whose token names another known boot is ambiguous and gets no flows. */
void rg_pool_update(struct rg_pool *p, const struct rg_endpoint_info *report,
                    uint64_t revision, uint64_t now_ms);

/* The entry of an upstream is no more as of `revision`. With `keep_ms`, one
 * that was not draining stays usable for that long, since entries lapse when
 * the store is away. */
void rg_pool_remove(struct rg_pool *p, const struct rg_name *id,
                    uint64_t revision, uint64_t keep_ms, uint64_t now_ms);

/* A whole listing as of `revision`: entries named between the two calls stand,
 * and so do those known to be younger; others are removed as by
 * rg_pool_remove(). */
void rg_pool_begin_listing(struct rg_pool *p);
void rg_pool_end_listing(struct rg_pool *p, uint64_t revision,
                         uint64_t keep_ms, uint64_t now_ms);

/* Drops what has outlived its time. Call it a few times a second. */
void rg_pool_tick(struct rg_pool *p, uint64_t now_ms);

/* NULL if no known boot has this token. */
struct rg_endpoint *rg_pool_by_token(const struct rg_pool *p, uint32_t token);

/* Boots of a service with an entry, READY, DRAINING or MISSING, those of the
 * own data centre first. Valid until the next call that changes the pool. */
struct rg_endpoint *const *rg_pool_endpoints(const struct rg_pool *p,
                                             uint32_t service, size_t *count);

/* How many of them are in the own data centre. */
size_t rg_pool_local_count(const struct rg_pool *p, uint32_t service);

/* As rg_pool_remove(), for one boot of an upstream; a younger one stands. */
void rg_pool_remove_endpoint(struct rg_pool *p, const struct rg_name *id,
                             uint64_t boot_ms, uint64_t revision,
                             uint64_t keep_ms, uint64_t now_ms);

/* Calls `cb` for each boot with an entry, or for all that are known. */
void rg_pool_each_listed(const struct rg_pool *p,
                         void (*cb)(void *ctx,
                                    const struct rg_endpoint *endpoint),
                         void *ctx);
void rg_pool_each(const struct rg_pool *p,
                  void (*cb)(void *ctx, const struct rg_endpoint *endpoint),
                  void *ctx);

/* Ends of boots up to this revision may no longer be known. */
uint64_t rg_pool_compacted_revision(const struct rg_pool *p);

/* Boots with an entry, and all that are known. */
size_t rg_pool_listed_count(const struct rg_pool *p);
size_t rg_pool_known_count(const struct rg_pool *p);

#endif
