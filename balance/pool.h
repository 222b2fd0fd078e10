/* The upstreams known to this instance: every endpoint that may still have
 * flows, by routing token, and the endpoints that new flows may go to, by
 * service.
 *
 * An endpoint is one incarnation of an upstream: a restart makes a new one
 * with a new token. It is kept for `retain_ms` after its entry in the store
 * has been removed, so that packets of its flows still reach it.
 *
 * Entries are ordered by revision, see revision.h. After a restore of the
 * store they may be older than what is known, in spite of a higher revision:
 * the first listing of an era is provisional. One owner; no I/O; the time is
 * passed in. */
#ifndef RG_BALANCE_POOL_H
#define RG_BALANCE_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/evacuation.h"
#include "balance/outcome_table.h"
#include "balance/outcomes.h"
#include "balance/unacknowledged.h"
#include "balance/usual_time.h"
#include "common/addr.h"
#include "common/log.h"
#include "common/str.h"

/* Contents of an upstream's entry in the store. */
struct rg_endpoint_info {
    struct rg_name id;
    uint64_t wire_id; /* identifies it in the header of packets sent to it */
    uint64_t boot_ms; /* wall clock of its start, 0 if unknown */
    struct rg_name service;
    struct rg_name data_centre;
    struct rg_addr addr;
    uint32_t slots; /* requests it processes concurrently, at least 1 */
    bool draining;
    uint32_t cold_left_ms; /* time until it is warm */
    uint64_t heartbeats;   /* number of its last heartbeat, only rises within
                              an incarnation; 0: not known */
};

enum rg_endpoint_state {
    RG_ENDPOINT_READY,
    RG_ENDPOINT_DRAINING, /* keeps its flows, gets no new ones */
    RG_ENDPOINT_MISSING, /* its entry has lapsed; usable until keep_until_ms */
    RG_ENDPOINT_GONE,    /* gets only packets of its flows */
};

/* State of a data centre's upstreams as a whole: a network partition affects
 * all of them at once. */
struct rg_data_centre {
    struct rg_name name;
    const struct rg_evacuation *evacuation; /* borrowed from the pool */
    uint64_t last_response_ms;              /* last response of any of them */
    uint64_t trial_ms; /* last opening sent there while it was suspect */
    bool suspect;      /* several are silent, none has responded since */
    uint32_t retransmissions; /* of requests and openings since the last
                                 response */
    uint64_t first_retransmission_ms; /* when the first of them was seen */
    struct rg_unacknowledged_dc unacknowledged;
};

/* Outcomes of requests at an endpoint, and whether it is an outlier; see
 * outlier.h. */
struct rg_outlier_state {
    struct rg_outcomes own;         /* of this instance's requests */
    struct rg_outcome_sum reported; /* of other instances' requests */
    uint32_t serial;                /* incremented with each own outcome */
    uint32_t detections;            /* in a row, 0: not an outlier */
    uint32_t recent_detections;     /* set the exclusion time; kept for a
                                       while after clearing */
    uint64_t changed_ms;  /* last detection or clearing; earlier outcomes no
                             longer count */
    uint64_t answered_ms; /* last answer known when it changed */
    uint64_t failed_before_ms;   /* own failure before the last one */
    uint64_t reported_failed_ms; /* last failure ever reported */
    uint64_t failing_since_ms;   /* see rg_endpoint_failing_since_ms() */
    uint64_t until_ms;           /* end of the exclusion of an outlier */
    uint64_t probed_ms;          /* last flow sent as a probe */
    bool slow;                   /* an outlier that has answered late */
};

/* One incarnation of an upstream, and what this instance knows of it. */
struct rg_endpoint {
    struct rg_name id;
    uint64_t wire_id;
    uint64_t boot_ms;
    uint32_t token;
    uint32_t service; /* index, see rg_pool_service() */
    struct rg_addr addr;
    struct rg_data_centre *data_centre; /* borrowed from the pool */
    bool local;                         /* in this instance's data centre */
    bool ambiguous; /* another endpoint has its token: no new flows */
    uint8_t state;  /* enum rg_endpoint_state */
    uint32_t slots;
    uint64_t revision;      /* of its entry */
    uint64_t heartbeats;    /* as in its entry */
    uint64_t keep_until_ms; /* MISSING: usable until; GONE: retained until */
    uint64_t cold_until_ms;
    uint64_t cold_opening_ms; /* last opening sent while it was cold */
    uint32_t listing; /* number of the last listing that contained it */
    uint32_t refs;    /* tracked flows that point to it */

    /* Passive health, from the packets of callers. */
    uint32_t open_work;  /* own outstanding openings and requests */
    uint32_t unanswered; /* openings retransmitted since its last response */
    uint32_t retransmissions;         /* of requests and openings since then */
    uint64_t first_retransmission_ms; /* when the first of them was seen */
    uint64_t *any_response_ms; /* last response of any endpoint; in the pool */
    uint64_t last_unanswered_ms; /* when an opening was last retransmitted, or
                                    a peer reported an ejection */
    uint32_t ejections;          /* in a row */
    uint64_t ejected_until_ms;
    uint64_t last_choice; /* number of the choice that last picked it, 0: it
                             has yet to join the rotation */
    uint64_t last_response_ms; /* last response that a caller received */
    uint64_t waiting_since_ms; /* oldest unanswered opening, 0: none */
    double failure_rate;       /* moving average, decays with time */
    uint64_t failure_rate_ms;
    uint32_t sheds;    /* short answers near the service's limit, in a row */
    double latency_ms; /* moving average from request to answer, 0: none */
    uint64_t latency_at_ms;
    struct rg_usual_time usual; /* of its answers that passed here */
    struct rg_outlier_state outlier;
    struct rg_unacknowledged unacknowledged;
};

struct rg_pool_opts {
    struct rg_name data_centre;
    uint64_t retain_ms; /* to keep an endpoint after its entry is removed */
    const struct rg_log *log; /* borrowed */
};

struct rg_pool;

struct rg_pool *rg_pool_create(const struct rg_pool_opts *opts);
void rg_pool_destroy(struct rg_pool *p);

/* Index of a service; an unknown one is added. */
uint32_t rg_pool_service(struct rg_pool *p, const struct rg_name *name);

/* The same for a service that a configuration names; entries may name any. */
uint32_t rg_pool_configured_service(struct rg_pool *p,
                                    const struct rg_name *name);

/* Name of a service by index. */
const struct rg_name *rg_pool_service_name(const struct rg_pool *p,
                                           uint32_t index);

/* An upstream whose entry is invalid is removed after this time, unless it has
 * written a valid entry by then: the interval of its heartbeats and a bit. */
#define RG_POOL_INVALID_KEEP_MS 1500

/* Takes over an upstream's entry as of `revision`; an older one than known is
 * ignored. Of endpoints with the same token, the one that started first has
 * it; the others are ambiguous and get no new flows. Returns false if the
 * entry is invalid: it moves a known endpoint from a service that a
 * configuration has named to one that none has. */
bool rg_pool_update(struct rg_pool *p, const struct rg_endpoint_info *info,
                    uint64_t revision, uint64_t now_ms);

/* The entry of an upstream was removed at `revision`. With `keep_ms`, an
 * upstream that was not draining stays usable for that long, since entries
 * also lapse while the store is unreachable. */
void rg_pool_remove(struct rg_pool *p, const struct rg_name *id,
                    uint64_t revision, uint64_t keep_ms, uint64_t now_ms);

/* Applies a complete listing as of `revision`. Upstreams updated between the
 * two calls stay, and so do those with a newer revision; all others are
 * removed as by rg_pool_remove(). */
void rg_pool_begin_listing(struct rg_pool *p);
void rg_pool_end_listing(struct rg_pool *p, uint64_t revision,
                         uint64_t keep_ms, uint64_t now_ms);

/* As rg_pool_begin_listing(), for a listing whose rows may be older than what
 * is known. Until rg_pool_end_listing(), a row is ignored if it is of an older
 * incarnation, has a lower heartbeat number than the known endpoint, takes
 * back that it drains, or would restore one that is gone without a higher
 * number. */
void rg_pool_begin_provisional_listing(struct rg_pool *p);

/* The same rules for rows that are not a complete listing. */
void rg_pool_begin_provisional_rows(struct rg_pool *p);
void rg_pool_end_provisional_rows(struct rg_pool *p);

/* True while rows of a provisional listing are applied, including the call of
 * rg_pool_end_listing(): what such a listing lacks may still be in force. */
bool rg_pool_listing_is_provisional(const struct rg_pool *p);

/* The view as a whole may be older than what other instances know. */
void rg_pool_set_provisional(struct rg_pool *p, bool provisional);
bool rg_pool_is_provisional(const struct rg_pool *p);

/* Era of the store that the last complete listing was of, and the number of
 * rows that provisional listings held and that were ignored. */
uint32_t rg_pool_era(const struct rg_pool *p);
uint64_t rg_pool_ignored_rows(const struct rg_pool *p);

/* Removes expired endpoints. Call it a few times a second. */
void rg_pool_tick(struct rg_pool *p, uint64_t now_ms);

/* The endpoint that has this token, NULL if none is known. */
struct rg_endpoint *rg_pool_by_token(const struct rg_pool *p, uint32_t token);

/* Endpoints of a service that have an entry (READY, DRAINING or MISSING),
 * local ones first. Valid until the next call that changes the pool. */
struct rg_endpoint *const *rg_pool_endpoints(const struct rg_pool *p,
                                             uint32_t service, size_t *count);

/* Number of these in the local data centre. */
size_t rg_pool_local_count(const struct rg_pool *p, uint32_t service);

/* As rg_pool_remove(), for one endpoint; a newer one of the upstream stays. */
void rg_pool_remove_endpoint(struct rg_pool *p, const struct rg_name *id,
                             uint64_t boot_ms, uint64_t revision,
                             uint64_t keep_ms, uint64_t now_ms);

/* Calls `cb` for each endpoint that has an entry, or for each known one. */
void rg_pool_each_listed(const struct rg_pool *p,
                         void (*cb)(void *ctx,
                                    const struct rg_endpoint *endpoint),
                         void *ctx);
void rg_pool_each(const struct rg_pool *p,
                  void (*cb)(void *ctx, const struct rg_endpoint *endpoint),
                  void *ctx);

/* The pool no longer knows every endpoint that ended at or before this
 * revision. */
uint64_t rg_pool_compacted_revision(const struct rg_pool *p);

/* Evacuations of data centres; owned by the pool. */
struct rg_evacuations *rg_pool_evacuations(const struct rg_pool *p);

/* Number of endpoints that have an entry, and of all known ones. */
size_t rg_pool_listed_count(const struct rg_pool *p);
size_t rg_pool_known_count(const struct rg_pool *p);

#endif
