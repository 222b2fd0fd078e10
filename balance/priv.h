/* Private declarations shared by the balancer's source files. */
#ifndef RG_BALANCE_PRIV_H
#define RG_BALANCE_PRIV_H

#include "balance/admission_queue.h"
#include "balance/admit.h"
#include "balance/balancer.h"
#include "balance/capacity.h"
#include "balance/cold_start.h"
#include "balance/flow_homes.h"
#include "balance/flow_records.h"
#include "balance/locality.h"
#include "balance/moved_flows.h"
#include "balance/outcome_table.h"
#include "balance/outlier.h"
#include "balance/pick.h"
#include "balance/tracked_flows.h"
#include "common/rand.h"

/* Longest deadline of a service of which one route has none. */
#define RG_BAL_NO_DEADLINE UINT32_MAX

/* State kept for each service. */
struct rg_bal_service {
    uint32_t
        deadline_max_ms; /* longest of its routes, in any version so far */
    struct rg_admit admit;
    struct rg_capacity capacity;
    uint32_t capacity_ticks; /* since its slots were last counted */
    bool limiting;           /* as last logged */
    double lost; /* moving average: share of openings without an answer, at
                    upstreams that are not known to respond */
    uint64_t loss_ms;   /* since when many are lost, 0: they are not */
    uint64_t silent_ms; /* when no upstream had responded lately, 0: never */
    double revived;     /* moving average: share of openings to unresponsive
                           upstreams that is answered */
    struct rg_outcomes outcomes; /* of this instance's requests */
    struct rg_usual_time usual;  /* of its answers, over all routes */
    uint64_t choices;            /* upstream choices made so far */
    uint64_t overloaded_ms;      /* last time it was overloaded, 0: never */
    double cold_per_s;           /* configured limit, 0: none */
    struct rg_cold_start cold;   /* what this instance may send */
    struct rg_locality locality;
    uint64_t locality_step_ms;  /* next step of `locality` */
    uint64_t locality_since_ms; /* its share is above 0 since then, 0: it is
                                   not */
    uint64_t locality_log_ms;   /* its share was last logged */
    double locality_logged;     /* share that was last logged */
    bool locality_logged_full;  /* the others were logged as full */
};

struct rg_balancer {
    struct rg_balancer_opts opts;
    struct rg_pool *pool;
    struct rg_routes *routes; /* NULL until the first are set */
    struct rg_tracked_flows *flows;
    struct rg_rand rand;
    struct rg_metrics metrics;
    struct rg_outcome_table *outcome_table;
    struct rg_moved_flows moved;
    struct rg_flow_sync flow_sync;
    struct rg_flow_homes homes;
    struct rg_bal_service *services; /* by service index */
    size_t service_count;
    struct rg_fleet fleet;
    struct rg_instances_known instances_known;
    struct rg_instances *instances; /* registered in the store */
    double openings_per_s;          /* moving average */
    uint64_t openings_before;       /* value of the counter at the last tick */
    /* Moving averages: share of openings that were lost and retransmitted,
     * time from an opening to the caller's next packet, and time between two
     * responses of any upstreams. */
    double lost_share;
    double opening_ms;
    double response_gap_ms;
    uint64_t last_response_ms; /* last response of any upstream */
    uint64_t started_ms;
    uint64_t paused_ms;       /* last end of a suspension, 0: none */
    uint64_t confirmed_ms;    /* store last confirmed the view, 0: never */
    uint64_t partial_ms;      /* partial view was last current, 0: never */
    uint64_t ticked_ms;       /* last tick */
    uint64_t late_tick_ms;    /* last tick that was late, 0: none */
    uint32_t dropped_lines;   /* dropped and held packets logged
                                  since then */
    uint32_t untracked_lines; /* untracked flows logged since then */
    uint64_t peer_heard_ms;   /* last message of any peer, 0: none */
    uint64_t now_ms;
    bool held_in_vain; /* the present packet was held, and no peer knows it */
    bool leaving;      /* this instance is about to stop */
    bool granted;      /* the present opening has waited and found room */
    struct rg_admission_queue *waiting;
};

/* Version of the routes in force, 0 if there are none. */
static inline uint64_t
rg_bal_version(const struct rg_balancer *b)
{
    return b->routes ? rg_routes_version(b->routes) : 0;
}

/* State of a service by its index, NULL if no configuration has named it:
 * entries of upstreams may name any. */
static inline struct rg_bal_service *
rg_bal_service(const struct rg_balancer *b, uint32_t service)
{
    return service < b->service_count ? &b->services[service] : NULL;
}

/* Time since the view, complete or partial, was known to be current. */
static inline uint64_t
rg_bal_view_age_ms(const struct rg_balancer *b)
{
    uint64_t at_ms = b->confirmed_ms ? b->confirmed_ms : b->partial_ms;

    return b->now_ms - at_ms;
}

/* Buffer size for a flow as text: "address:port>address:port". */
#define RG_FLOW_TEXT_MAX 48

const char *rg_flow_text(const struct rg_flow_id *f,
                         char out[RG_FLOW_TEXT_MAX]);

/* Counters and log lines, in report.c. */

void rg_bal_count(struct rg_balancer *b, enum rg_metric_counter c);

/* Counts and logs the refusal of a packet. */
struct rg_decision rg_bal_refuse(struct rg_balancer *b,
                                 const struct rg_segment *s,
                                 enum rg_metric_counter counter,
                                 const char *reason);

/* Counts the drop of a packet; logs it within a limit per tick. */
struct rg_decision rg_bal_drop(struct rg_balancer *b,
                               const struct rg_segment *s,
                               enum rg_metric_counter counter,
                               const char *reason);

/* The same for a packet that is held until peers have told of its flow. */
struct rg_decision rg_bal_hold(struct rg_balancer *b,
                               const struct rg_segment *s, const char *reason);

/* Updates the share of lost openings with one that was answered or lost. */
void rg_bal_update_lost_share(struct rg_balancer *b, bool lost);
/* `t` is the flow's entry before this opening, NULL if it is not tracked;
 * `token` is written into the packet. */
void rg_bal_log_opening(const struct rg_balancer *b,
                        const struct rg_segment *s,
                        const struct rg_tracked_flow *t,
                        const struct rg_pick *picked, uint32_t token);
/* Logs that a packet of a tracked flow names another endpoint than before, and
 * whether the flow has moved there or is kept. */
void rg_bal_log_token(const struct rg_balancer *b, const struct rg_segment *s,
                      const struct rg_tracked_flow *t,
                      const struct rg_endpoint *named, const char *event);
/* Logs the first packet that is seen of an untracked flow, and the endpoint it
 * goes to, within a limit per tick. */
void rg_bal_log_untracked(struct rg_balancer *b, const struct rg_segment *s,
                          const struct rg_endpoint *endpoint);
/* Logs that the entry of an open flow which two upstreams may have is removed.
 */
void rg_bal_log_forgotten(const struct rg_balancer *b,
                          const struct rg_tracked_flow *t);

/* Logs that a peer has told the endpoint of a flow. */
void rg_bal_log_flow_record(const struct rg_balancer *b,
                            const struct rg_tracked_flow *t);

/* Logs that admission control of a service starts or stops refusing flows. */
void rg_bal_log_admission(const struct rg_balancer *b, uint32_t service,
                          const struct rg_admit_load *load);

/* Logs the share of a service's new flows that leaves the data centre. */
void rg_bal_log_locality(const struct rg_balancer *b, uint32_t service);
/* Logs that the limit on new flows to a service comes into force or ends. */
void rg_bal_log_limit(const struct rg_balancer *b, uint32_t service);
/* Counts an opening that waits for room; logs it within a limit per tick. */
void rg_bal_log_wait(struct rg_balancer *b, const struct rg_segment *s);

/* Steering of packets, in openings.c and open_flows.c. */

struct rg_decision rg_bal_steer_opening(struct rg_balancer *b,
                                        const struct rg_segment *s);
struct rg_decision rg_bal_steer_open(struct rg_balancer *b,
                                     const struct rg_segment *s);

/* Counts and decides that a packet goes to `endpoint`, with `token` in it. */
struct rg_decision rg_bal_forward(struct rg_balancer *b,
                                  const struct rg_endpoint *endpoint,
                                  uint32_t token);
/* True if the store confirmed the view recently. What the view lacks did not
 * exist then, and may since. */
bool rg_bal_is_confirmed(const struct rg_balancer *b);
/* True if the view was the store's newest state at some time after `at_ms`,
 * and is still confirmed. What existed at `at_ms` and is missing from the view
 * has been removed; it is not missing only because the view is old. Never true
 * while the view is provisional: after a restore the store may lack the newest
 * configuration for a while. */
bool rg_bal_is_confirmed_since(const struct rg_balancer *b, uint64_t at_ms);

/* Limits on openings to cold upstreams, in balancer_cold_start.c. */

/* Applies the limits of the routes in force. */
void rg_bal_set_cold_limits(struct rg_balancer *b);
/* What this instance may send; NULL: no limit. */
const struct rg_cold_start *rg_bal_cold_start(const struct rg_balancer *b,
                                              uint32_t service);
bool rg_bal_cold_start_allows(const struct rg_balancer *b,
                              const struct rg_endpoint *e);
/* An opening is sent to the upstream. */
void rg_bal_cold_start_sent(struct rg_balancer *b, struct rg_endpoint *e);
/* Call every RG_BALANCER_TICK_MS. */
void rg_bal_tick_cold_start(struct rg_balancer *b);

/* Admission control, in balancer_admission.c. */

/* Allocates the state of services up to this index. */
void rg_bal_reserve_service(struct rg_balancer *b, uint32_t service);
enum rg_bal_admission {
    RG_BAL_ADMITTED,
    RG_BAL_WAITS,   /* queued; `slot` is set */
    RG_BAL_REFUSED, /* for lack of room */
};
/* Whether a new flow may be sent to this service now. */
enum rg_bal_admission rg_bal_admit(struct rg_balancer *b,
                                   const struct rg_segment *s,
                                   const struct rg_route *route,
                                   uint32_t service, uint32_t *slot);
/* An opening goes to `endpoint`; `admitted` is false if rg_bal_admit() was not
 * asked, so that no room has been taken for it. If the opening is a trial,
 * rg_bal_admission_opened() has to be called once it is known whether it was
 * lost. */
enum rg_trial rg_bal_admission_sent(struct rg_balancer *b,
                                    const struct rg_route *route,
                                    const struct rg_endpoint *endpoint,
                                    bool admitted);
void rg_bal_admission_opened(struct rg_balancer *b,
                             const struct rg_endpoint *endpoint,
                             enum rg_trial trial, bool lost);
/* A request follows on an open flow, whose opening did not take room for it.
 */
void rg_bal_admission_request(struct rg_balancer *b,
                              const struct rg_endpoint *endpoint,
                              const struct rg_route *route);
/* True if an answer of this size, or whose first part has it, says that the
 * request was shed for lack of room: it is short, and the service is near its
 * limit. It then says nothing about the upstream's work or health. */
bool rg_bal_is_shed(const struct rg_balancer *b,
                    const struct rg_endpoint *endpoint,
                    const struct rg_route *route, uint32_t bytes);
/* A request was shed, or answered after `ms` at its upstream. */
void rg_bal_admission_shed(struct rg_balancer *b,
                           struct rg_endpoint *endpoint);
void rg_bal_admission_answered(struct rg_balancer *b,
                               const struct rg_endpoint *endpoint,
                               const struct rg_route *route, double ms);
/* Call every RG_BALANCER_TICK_MS. */
void rg_bal_tick_admission(struct rg_balancer *b);

/* Leaving the data centre, in balancer_locality.c. */

/* Counts a new flow of a service. Returns the data centre that it must be sent
 * to, NULL if the choice is free. */
const struct rg_data_centre *rg_bal_leaves_for(struct rg_balancer *b,
                                               uint32_t service);
/* The endpoint has answered an opening after `ms`. */
void rg_bal_locality_opened(struct rg_balancer *b,
                            const struct rg_endpoint *endpoint, double ms);
/* The request of the flow was answered. */
void rg_bal_locality_answered(struct rg_balancer *b,
                              const struct rg_tracked_flow *t,
                              const struct rg_route *route, double bytes,
                              bool shed);
/* Call every RG_BALANCER_TICK_MS. */
void rg_bal_tick_locality(struct rg_balancer *b);

/* Outcomes of requests, in balancer_outcomes.c. */

/* Records the outcome of a request of this instance, as of `at_ms`, and
 * updates the outlier state of its upstream. */
void rg_bal_add_outcome(struct rg_balancer *b, struct rg_endpoint *endpoint,
                        enum rg_outcome outcome, uint64_t at_ms);
/* Tells peers whether the upstream responds, beside the outcomes there. */
void rg_bal_share_response(struct rg_balancer *b,
                           struct rg_endpoint *endpoint);
/* True while so many answers of a service are slow that chance does not
 * explain it, or its limit is in force. */
bool rg_bal_is_overloaded(const struct rg_balancer *b, uint32_t service);
/* Share of this instance's recent requests to a service that failed. */
double rg_bal_service_failure_rate(const struct rg_balancer *b,
                                   uint32_t service);
/* Call every RG_BALANCER_TICK_MS. */
void rg_bal_tick_outcomes(struct rg_balancer *b);

/* Flows that peers are told of and asked for, in flow_records.c. */

/* Queues a question for a flow: where it is, and who got packets of it. `seq`
 * is that of one of its packets. */
void rg_bal_ask_for_flow(struct rg_balancer *b, const struct rg_flow_id *flow,
                         uint32_t seq);
/* True if peers can be told where the flow is. */
bool rg_bal_has_record(const struct rg_tracked_flow *t);
/* Queues the flow for peers if they have to be told of it. */
void rg_bal_collect_flow_record(struct rg_balancer *b,
                                struct rg_tracked_flow *t);

/* What the homes of a flow are asked and told, in flow_homes.c. */

/* Notes a question for the flow; false if there was one within this time. */
bool rg_bal_note_asked(struct rg_balancer *b, const struct rg_flow_id *flow,
                       uint32_t seq, uint32_t interval_ms);
/* True if enough homes have answered lately that nobody has told them of the
 * flow's endpoint, and they would have been told. It then has the one that its
 * token names: only flows that two upstreams may have are told of. The flow
 * was not open before `opened_ms`, 0: not known. */
bool rg_bal_no_endpoint_told(const struct rg_balancer *b,
                             const struct rg_flow_id *flow,
                             uint64_t opened_ms);
/* True if this instance started so lately that it may not know all others. */
bool rg_bal_is_starting(const struct rg_balancer *b);
/* True if all homes have answered lately. */
bool rg_bal_homes_have_answered(const struct rg_balancer *b,
                                const struct rg_flow_id *flow);
/* True if enough homes, asked at `asked_after_ms` or later, have answered that
 * no other instance has got packets of the flow since `since_ms`. */
bool rg_bal_has_stayed(const struct rg_balancer *b,
                       const struct rg_flow_id *flow, uint64_t since_ms,
                       uint64_t asked_after_ms);
/* A packet of a flow that passed another instance before. Queues that for its
 * homes. */
void rg_bal_tell_arrival(struct rg_balancer *b, const struct rg_segment *s);
/* Queues the flow for its homes if two upstreams may have it, and its endpoint
 * is known. */
void rg_bal_tell_homes(struct rg_balancer *b, struct rg_tracked_flow *t);
/* A record of the flow was received and could not be kept. */
void rg_bal_record_not_stored(struct rg_balancer *b,
                              const struct rg_flow_id *flow);
/* Call it before each message of a peer is handled. */
void rg_bal_note_peer_heard(struct rg_balancer *b, uint64_t now_ms);
/* Call it every RG_BALANCER_TICK_MS. */
void rg_bal_tick_homes(struct rg_balancer *b);

/* Flows that the fabric has moved to other instances, in moved_flows.c. */

/* A packet of an open flow that is not in the flow table goes to `endpoint`.
 */
void rg_bal_note_untracked(struct rg_balancer *b, const struct rg_segment *s,
                           const struct rg_endpoint *endpoint);
/* A packet of an open flow whose endpoint is not known here. */
void rg_bal_note_open(struct rg_balancer *b, const struct rg_segment *s);
/* True if packets of the flow, open by way of another instance, have come here
 * lately, so that the opening is a late copy. */
bool rg_bal_was_seen_open(struct rg_balancer *b,
                          const struct rg_segment *opening);
/* When the last packet of a flow that is not tracked came here, 0 if none has
 * lately. */
uint64_t rg_bal_untracked_seen_ms(const struct rg_balancer *b,
                                  const struct rg_flow_id *flow);
/* Since when packets of that flow come here, `s` being one of them, 0 if none
 * came before it. */
uint64_t rg_bal_untracked_since_ms(const struct rg_balancer *b,
                                   const struct rg_segment *s);
/* For this long, flows may be missing from the flow table for other reasons
 * than a move. */
void rg_bal_ignore_untracked(struct rg_balancer *b, uint64_t ms);
/* True if the fabric has moved flows since the flow's last packet here, or the
 * process was suspended: later packets may have passed another instance, or
 * were lost here. */
bool rg_bal_may_have_missed_packets(const struct rg_balancer *b,
                                    const struct rg_tracked_flow *t);

/* A tick is late after this many periods. */
#define RG_BAL_LATE_TICKS 2

/* True if the next tick is late: received packets may wait to be read. */
static inline bool
rg_bal_tick_is_late(const struct rg_balancer *b)
{
    return b->now_ms - b->ticked_ms > RG_BAL_LATE_TICKS * RG_BALANCER_TICK_MS;
}

/* Requests waiting for an answer, in requests.c. */

/* Why a request will not be answered. */
enum rg_lost {
    RG_LOST_NOT,
    RG_LOST_GONE,        /* its upstream's entry is gone */
    RG_LOST_DATA_CENTRE, /* its upstream's data centre is silent */
    RG_LOST_UPSTREAM,    /* its upstream is silent */
    RG_LOST_HUNG,        /* acknowledged, but its upstream answers nothing */
};

/* Whether the flow's request will not be answered and is safe to retry. For
 * use when a packet of the flow has come: it has not moved. */
enum rg_lost rg_request_is_lost(const struct rg_balancer *b,
                                const struct rg_tracked_flow *t);
/* Counts and logs that the flow of a lost request is reset, and ends it. */
void rg_request_reset(struct rg_balancer *b, struct rg_tracked_flow *t,
                      const struct rg_segment *last, enum rg_lost why);
/* The request was retransmitted. */
void rg_request_retransmitted(struct rg_balancer *b,
                              struct rg_tracked_flow *t);
/* Checks the deadlines of a waiting request. */
void rg_request_tick(struct rg_balancer *b, struct rg_tracked_flow *t);
/* The caller will receive no more of the answer to its last request. Records
 * the outcome, if there was an answer at all. */
void rg_request_answered(struct rg_balancer *b, struct rg_tracked_flow *t,
                         struct rg_route *route);
/* Counts and logs an opening or request that got no answer here. `done` says
 * how the flow ended. */
void rg_request_log_unanswered(struct rg_balancer *b,
                               const struct rg_tracked_flow *t,
                               const char *done);

/* Tracked flows, in flows.c. Each holds a reference to its endpoint, and
 * counts as outstanding work there while an opening or a request waits. */

/* Starts tracking a flow whose opening goes to `endpoint`. `earlier` is the
 * entry of an ended flow with the same ports, NULL if there is none. Returns
 * NULL if the table is full; the flow is then not tracked. */
struct rg_tracked_flow *rg_flows_start(struct rg_balancer *b,
                                       struct rg_tracked_flow *earlier,
                                       const struct rg_segment *opening,
                                       struct rg_endpoint *endpoint);
/* Starts tracking a flow that was opened by way of another instance. NULL if
 * the table is full. */
struct rg_tracked_flow *rg_flows_adopt(struct rg_balancer *b,
                                       struct rg_tracked_flow *earlier,
                                       const struct rg_flow_id *flow,
                                       uint32_t opening_seq,
                                       struct rg_endpoint *endpoint);
/* Starts tracking a flow again that was idle for long, or has moved here, from
 * data with the token of an open flow. */
void rg_flows_resume(struct rg_balancer *b, const struct rg_segment *s,
                     struct rg_endpoint *endpoint, struct rg_route *route);
/* Moves the flow to another endpoint. */
void rg_flows_move(struct rg_balancer *b, struct rg_tracked_flow *t,
                   struct rg_endpoint *endpoint);
void rg_flows_set_state(struct rg_tracked_flow *t,
                        enum rg_tracked_flow_state state, uint64_t now_ms);
/* For fleets with instances that write the same token into openings and other
 * packets: true if the packet's token is probably that of the upstream which
 * the caller took. The packet is the first after the opening, or a pure
 * acknowledgement of new bytes, which is mostly sent as soon as they arrive.
 * Data and closes are sent later, after other answers to the opening may have
 * come. Also true for a packet of another flow with the same ports. */
bool rg_flows_confirms_token(const struct rg_tracked_flow *t,
                             const struct rg_segment *s);
/* Updates the state of the flow, and that of its endpoint, from a packet of an
 * open flow. */
void rg_flows_update(struct rg_balancer *b, struct rg_tracked_flow *t,
                     const struct rg_segment *s, struct rg_route *route);
/* Checks the timeouts of one flow; true if its entry must be removed. `ctx` is
 * the balancer. */
bool rg_flows_expired(void *ctx, struct rg_tracked_flow *t);

#endif
