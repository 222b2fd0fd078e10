/* Steering by routing token: decides what happens to each packet of a caller.
 *
 * Packets of an open flow go to the endpoint that their token names, so that
 * any instance can forward them without further state; an instance that tracks
 * the flow may know better and corrects the token. The opening of a flow
 * goes to an upstream chosen here, whose token the flow then carries. One
 * owner; no I/O, clock or threads. */
#ifndef RG_BALANCE_BALANCER_H
#define RG_BALANCE_BALANCER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/admission_queue.h"
#include "balance/cold_start.h"
#include "balance/flow_records.h"
#include "balance/instances.h"
#include "balance/metrics.h"
#include "balance/outcome_table.h"
#include "balance/pool.h"
#include "balance/routes.h"
#include "balance/segment.h"
#include "common/log.h"

struct rg_balancer_opts {
    struct rg_name data_centre;
    uint32_t id;          /* of this instance, see rg_peers_id() */
    uint64_t flow_age_ms; /* maximum lifetime of a flow */
    uint64_t stale_ms;    /* an older view does not refuse openings */
    /* The state of the store that a confirmation of the view speaks of may be
     * older than the confirmation by this. */
    uint64_t confirmation_lag_ms;
    uint64_t partial_view_ms; /* how long a partial view may be used */
    size_t tracked_flows;     /* maximum number of tracked flows */
    uint64_t seed;            /* of random choices */
    const struct rg_log *log; /* borrowed */
    /* Sends a reset to the caller of a flow, as for RG_DECISION_REFUSE; may be
     * called from rg_balancer_tick(). */
    void (*refuse)(void *ctx, const struct rg_segment *last);
    void *ctx;
    bool can_hold; /* RG_DECISION_HOLD and RG_DECISION_WAIT are understood */
    struct rg_cold_bounds cold_bounds; /* of openings to cold upstreams */
};

enum rg_decision_kind {
    RG_DECISION_DROP,
    RG_DECISION_FORWARD, /* to `endpoint`, with `token` in the packet */
    RG_DECISION_REFUSE,  /* reset the flow at its caller */
    RG_DECISION_HOLD,    /* peers are asked where the flow is: pass the packet
                            to rg_balancer_held_packet() as soon as
                            rg_balancer_is_flow_found(), or after a while */
    RG_DECISION_WAIT,    /* keep the opening under `slot` until
                            rg_balancer_next_waiting() returns it */
};

struct rg_decision {
    enum rg_decision_kind kind;
    const struct rg_endpoint *endpoint; /* valid until the next call */
    uint32_t token;
    uint32_t slot; /* below RG_BALANCER_WAITING_MAX */
};

struct rg_balancer;

struct rg_balancer *rg_balancer_create(const struct rg_balancer_opts *opts,
                                       uint64_t now_ms);
void rg_balancer_destroy(struct rg_balancer *b);

/* Takes ownership of `routes` and puts them in force if their version is newer
 * than the current one, else destroys them. Returns true if they are now in
 * force. */
bool rg_balancer_set_routes(struct rg_balancer *b, struct rg_routes *routes);

/* Routes in force, NULL if there are none. */
struct rg_routes *rg_balancer_routes(struct rg_balancer *b);

/* Version of the routes in force, 0 if there are none. */
uint64_t rg_balancer_version(const struct rg_balancer *b);

/* The upstreams; kept up to date by the store client and by snapshots. */
struct rg_pool *rg_balancer_pool(struct rg_balancer *b);

/* Instances registered in the store; kept up to date as the upstreams are. */
struct rg_instances *rg_balancer_instances(struct rg_balancer *b);

/* What is known of the instances that share the upstreams; one by default. */
struct rg_fleet {
    size_t instances;       /* all, this one included */
    size_t local_instances; /* in this data centre, this one included */
    double share;           /* of all new flows that this one gets, 0 to 1 */
    /* All peers tell the tokens of openings from those of open flows. If one
     * does not, openings get the token of open flows. */
    bool opening_tokens;
    /* New flows per second of the local data centre's instances, this one
     * included, and of all others; 0: not known. */
    double local_openings_per_s;
    double remote_openings_per_s;
};
void rg_balancer_set_fleet(struct rg_balancer *b,
                           const struct rg_fleet *fleet);

/* So many instances are registered in the store, whether or not they can be
 * reached. */
void rg_balancer_set_registered(struct rg_balancer *b, size_t instances,
                                uint64_t now_ms);

/* New flows per second that this instance gets (moving average). */
uint32_t rg_balancer_openings_per_s(const struct rg_balancer *b);

/* Services of which new flows leave the data centre on purpose at present, and
 * the largest share. */
struct rg_balancer_leaving {
    size_t services;
    double share;
};
struct rg_balancer_leaving rg_balancer_leaving(const struct rg_balancer *b);

/* The store confirmed at `at_ms` that the view was complete and current. */
void rg_balancer_set_confirmed(struct rg_balancer *b, uint64_t at_ms);

/* The view was current at `at_ms` but holds only some of the upstreams. Until
 * it is complete, openings are forwarded and none is refused. */
void rg_balancer_set_partial(struct rg_balancer *b, uint64_t at_ms);

/* True once there are routes and upstreams to forward to. */
bool rg_balancer_ready(const struct rg_balancer *b);

/* True once the view has been complete. */
bool rg_balancer_has_complete_view(const struct rg_balancer *b);

/* Decides what to do with a packet of a caller. */
struct rg_decision rg_balancer_packet(struct rg_balancer *b,
                                      const struct rg_segment *segment,
                                      uint64_t now_ms);

/* True if a packet that is held need not wait any longer: peers have told
 * where its flow is, or that nothing is known which its token does not say. */
bool rg_balancer_is_flow_found(const struct rg_balancer *b,
                               const struct rg_segment *segment);

/* Decides on a packet that was held. Does not return RG_DECISION_HOLD. */
struct rg_decision rg_balancer_held_packet(struct rg_balancer *b,
                                           const struct rg_segment *segment,
                                           uint64_t now_ms);

/* A message of a peer has come. */
void rg_balancer_peer_heard(struct rg_balancer *b, uint64_t now_ms);

/* An opening that has waited, and what to do with it now: not
 * RG_DECISION_WAIT. */
struct rg_waiting_opening {
    struct rg_segment segment;
    struct rg_decision decision;
    uint32_t slot; /* no longer in use */
};

/* Openings that wait at a time. */
#define RG_BALANCER_WAITING_MAX RG_ADMISSION_QUEUE_MAX

/* Takes the next opening whose wait is over. Call it until it returns false,
 * every few milliseconds while openings wait. */
bool rg_balancer_next_waiting(struct rg_balancer *b, uint64_t now_ms,
                              struct rg_waiting_opening *out);

/* Number of openings that wait. */
size_t rg_balancer_waiting_count(const struct rg_balancer *b);

/* Limit in force on openings a second to a service, by its index; INFINITY if
 * nothing is known of its capacity. */
double rg_balancer_limit_per_s(const struct rg_balancer *b, uint32_t service);
size_t rg_balancer_service_count(const struct rg_balancer *b);

/* This instance is about to stop: the fabric hands its flows to others, so
 * that an answer which does not pass here says nothing. */
void rg_balancer_set_leaving(struct rg_balancer *b);

/* The process was suspended for a while: the time that its flows waited
 * meanwhile says nothing about their upstreams. */
void rg_balancer_paused(struct rg_balancer *b, uint64_t now_ms);

/* Applies timeouts and updates moving averages. Call it about every
 * RG_BALANCER_TICK_MS. */
#define RG_BALANCER_TICK_MS 100
void rg_balancer_tick(struct rg_balancer *b, uint64_t now_ms);

/* Upstreams that this instance has ejected, by token, with the age of the last
 * unanswered opening. Returns their number, at most `max`. */
struct rg_balancer_ejection {
    uint32_t token;
    uint32_t age_ms;
};
size_t rg_balancer_ejections(const struct rg_balancer *b, uint64_t now_ms,
                             struct rg_balancer_ejection *out, size_t max);

/* A peer has ejected an upstream. Unless it has responded here since, it is
 * less preferred for a while; only openings and requests of this instance
 * eject it. */
void
rg_balancer_add_reported_ejection(struct rg_balancer *b,
                                  const struct rg_balancer_ejection *ejection,
                                  uint64_t now_ms);

/* Copies the outcomes of requests to send next to peers of this data centre.
 * Returns the number of rows, at most `max`. */
size_t rg_balancer_next_outcomes(struct rg_balancer *b,
                                 struct rg_outcome_row *out, size_t max);

/* True if a failure seen here has not been sent to any peer yet. */
bool rg_balancer_has_unsent_failure(const struct rg_balancer *b);

/* Takes over outcomes reported by an instance of this data centre. */
void rg_balancer_add_reported_outcomes(struct rg_balancer *b,
                                       const struct rg_outcome_row *row,
                                       uint64_t now_ms);

/* When the fabric last moved flows of this data centre, as far as is known
 * here, 0: never; to be sent to peers of this data centre. It then counts as
 * sent. */
uint64_t rg_balancer_take_flows_moved(struct rg_balancer *b);

/* True if that was seen here and has not been sent to any peer yet. */
bool rg_balancer_has_unsent_move(const struct rg_balancer *b);

/* A peer of this data centre reports such a time. Requests without a packet
 * here since then are neither counted as failed nor reset: their answers may
 * be acknowledged at another instance. */
void rg_balancer_add_reported_move(struct rg_balancer *b, uint64_t at_ms,
                                   uint64_t now_ms);

/* Flows that peers have to be told of; they then count as told. Returns their
 * number, at most `max`. */
size_t rg_balancer_next_flow_records(struct rg_balancer *b,
                                     struct rg_flow_record *out, size_t max);

/* Peers have to be told again of all flows that they were told of. */
void rg_balancer_tell_flows_again(struct rg_balancer *b);

/* Flows that peers have to be asked for. Returns their number, at most `max`.
 */
size_t rg_balancer_next_flow_queries(struct rg_balancer *b,
                                     struct rg_flow_id *out, size_t max);

/* Answers a peer's question; false if the flow's endpoint is not known here.
 */
bool rg_balancer_find_flow_record(const struct rg_balancer *b,
                                  const struct rg_flow_id *flow,
                                  struct rg_flow_record *out);

/* Answers a peer's question: when the last packet of the flow came here, 0 if
 * none has lately. */
uint64_t rg_balancer_flow_seen_ms(const struct rg_balancer *b,
                                  const struct rg_flow_id *flow);

/* A peer got a packet of the flow at `at_ms`. If that was after the last one
 * here, the flow has moved, and its request is none of this instance. */
void rg_balancer_add_flow_sighting(struct rg_balancer *b,
                                   const struct rg_flow_id *flow,
                                   uint64_t at_ms, uint64_t now_ms);

/* Takes over what a peer tells of a flow, unless it is known here. */
void rg_balancer_add_flow_record(struct rg_balancer *b,
                                 const struct rg_flow_record *record,
                                 uint64_t now_ms);

struct rg_metrics *rg_balancer_metrics(struct rg_balancer *b);
size_t rg_balancer_tracked_count(const struct rg_balancer *b);

#endif
