/* Requests waiting for an answer: when they count as failed, and when their
 * flow is reset so that the caller retries. */
#include <math.h>

#include "balance/outlier.h"
#include "balance/passive_health.h"
#include "balance/priv.h"
#include "balance/unacknowledged.h"
#include "balance/usual_time.h"

/* A request is overdue, and counts as failed, after this many times the median
 * answer time of its route, and not before the minimum. */
#define OVERDUE_FACTOR 6
#define OVERDUE_MIN_MS 100
/* Nor before this many times the usual time of its upstream over all routes:
 * some requests take several times the mean, others wait for them. */
#define OVERDUE_USUAL_FACTOR 4
/* The same for a probe of an outlier. */
#define PROBE_OVERDUE_FACTOR 5
#define PROBE_OVERDUE_MIN_MS 60
/* A request that has waited this long at an unresponsive outlier is reset if
 * it is safe to retry. The share of its deadline leaves time to see whether
 * other requests are answered late there, and time for the retry. */
#define LOST_FACTOR 16
#define LOST_MIN_MS 250
#define LOST_DEADLINE_SHARE 0.4
#define LOST_DEADLINE_SHARE_MAX 0.5
/* Nor before this many times the usual time of its upstream over all routes:
 * its work takes seven times as long at times. */
#define LOST_USUAL_FACTOR 8
/* Nor before this many times the longest time that an answer of the service
 * took of late: its upstreams may all have become slow at once. */
#define LOST_LONGEST_FACTOR 3
/* A long deadline delays the reset no further than this, at an outlier and at
 * another upstream: what is known of the upstream is out of date by then. */
#define LOST_WAIT_MAX_MS 1600
#define LOST_NO_OUTLIER_WAIT_MAX_MS 2000
/* Another request must have failed there, and the fault must have been active
 * within this time, see fault_shown_ms(). Requests fail within 500 ms, so it
 * has ended less than 5 s ago, if at all. */
#define LOST_EVIDENCE_MAX_MS 4500
/* The same where requests fail but the upstream is no outlier. */
#define LOST_NO_OUTLIER_FACTOR 32
/* Answers needed before the median of a route is relied on. */
#define LOST_MIN_ANSWERS 5
/* A request is reset as unreachable within this time of its last
 * retransmission; later its flow may have moved, or a path may have been
 * mended. */
#define RETRANSMITTED_MAX_MS 500
/* Callers send the second retransmission of a request 600 ms after it. Copies
 * that come much sooner have waited on their way. */
#define RETRANSMITTED_TWICE_MIN_MS 400
/* An answer counts as complete, and its outcome is recorded, once no more of
 * it has come for this long: several retransmissions of its packets. */
#define ANSWER_COMPLETE_MS 1000
/* Queues may remain for this long after a service was overloaded. */
#define OVERLOAD_EXPIRY_MS 3000
/* From this share of its deadline on, peers are asked at intervals whether the
 * flow of a waiting request has moved. */
#define ASK_DEADLINE_SHARE 0.2
#define ASK_INTERVAL_MS 500
/* They are asked again at each tick from this long before the request may be
 * reset, since its flow may have moved after the last question. */
#define ASK_BEFORE_RESET_MS 200
/* The answer to an older question is out of date, and the question is repeated
 * before a reset. */
#define ASK_VALID_MS (ASK_INTERVAL_MS + RG_BALANCER_TICK_MS)
/* The last response of any upstream may be this many mean intervals old; if it
 * is older, the fault may be in this instance. */
#define RESPONSE_GAP_FACTOR 4

static const struct rg_route *
route_of(const struct rg_balancer *b, const struct rg_tracked_flow *t)
{
    return rg_routes_find(b->routes, t->flow.service_ip, t->flow.service_port);
}

/* What requests at an upstream take, over all routes. */
static double
usual_ms(const struct rg_balancer *b, const struct rg_endpoint *e)
{
    const struct rg_bal_service *s = rg_bal_service(b, e->service);
    double own = rg_usual_time_ms(&e->usual);

    return s ? fmax(own, rg_usual_time_ms(&s->usual)) : own;
}

/* What a request may take there although its upstream is sound. */
static double
possible_ms(const struct rg_balancer *b, const struct rg_endpoint *e)
{
    const struct rg_bal_service *s = rg_bal_service(b, e->service);
    double longest = s ? rg_usual_time_longest_ms(&s->usual, b->now_ms) : 0;

    return fmax(LOST_USUAL_FACTOR * usual_ms(b, e),
                LOST_LONGEST_FACTOR * longest);
}

static double
overdue_after_ms(const struct rg_balancer *b, const struct rg_route *route,
                 const struct rg_tracked_flow *t)
{
    double limit =
        t->probe ? fmax(PROBE_OVERDUE_FACTOR * route->median_ms,
                        PROBE_OVERDUE_MIN_MS)
                 : fmax(OVERDUE_FACTOR * route->median_ms, OVERDUE_MIN_MS);

    return fmax(limit, OVERDUE_USUAL_FACTOR * usual_ms(b, t->endpoint));
}

static double
lost_after_ms(const struct rg_balancer *b, const struct rg_route *route,
              const struct rg_tracked_flow *t)
{
    double limit = fmax(LOST_FACTOR * route->median_ms, LOST_MIN_MS);

    limit = fmax(limit, fmin(LOST_DEADLINE_SHARE * route->timeout_ms,
                             LOST_WAIT_MAX_MS));
    limit = fmin(limit, LOST_DEADLINE_SHARE_MAX * route->timeout_ms);
    limit = fmax(limit, possible_ms(b, t->endpoint));
    return fmax(limit, overdue_after_ms(b, route, t));
}

/* True within OVERLOAD_EXPIRY_MS of the upstream's service being overloaded.
 */
static bool
was_overloaded(const struct rg_balancer *b, const struct rg_endpoint *e)
{
    const struct rg_bal_service *s = rg_bal_service(b, e->service);
    uint64_t at_ms = s ? s->overloaded_ms : 0;

    return at_ms != 0 && b->now_ms - at_ms <= OVERLOAD_EXPIRY_MS;
}

/* When the upstream of an overdue request was last known to hang, 0: never.
 * Requests that a fault has left hanging keep its slots until their callers
 * give up, and later ones wait behind them although the fault may be over. So
 * the first failure after the last answer shows the fault, at that time. A
 * later one shows it only if those requests must have gone when it was sent,
 * and not after the longest deadline before that. */
static uint64_t
fault_shown_ms(const struct rg_balancer *b, const struct rg_tracked_flow *t)
{
    const struct rg_bal_service *s = rg_bal_service(b, t->endpoint->service);
    uint64_t since_ms = rg_endpoint_failing_since_ms(t->endpoint);

    if (since_ms == 0 || !s || s->deadline_max_ms == RG_BAL_NO_DEADLINE ||
        t->since_ms < s->deadline_max_ms)
    {
        return since_ms;
    }
    uint64_t earliest_ms = t->since_ms - s->deadline_max_ms;
    return earliest_ms > since_ms ? earliest_ms : since_ms;
}

static bool
is_recent_evidence(const struct rg_balancer *b, uint64_t at_ms)
{
    return at_ms != 0 && b->now_ms - at_ms <= LOST_EVIDENCE_MAX_MS;
}

/* A long wait proves a failure only if the median of the route is known well
 * enough, neither a queue at the upstreams nor the usual work there explains
 * it, and another request has failed there lately. When the request of an
 * adopted flow was sent, and whether it has been answered elsewhere, is not
 * known; nor whether an upstream of another data centre answers others, since
 * outcomes are not told across data centres. */
static bool
wait_proves_failure(const struct rg_balancer *b,
                    const struct rg_tracked_flow *t,
                    const struct rg_route *route)
{
    uint64_t failed_ms =
        rg_endpoint_other_failure_ms(t->endpoint, t->overdue_ms);

    return rg_bal_service(b, t->endpoint->service) && !t->adopted &&
           t->endpoint->local && route->answers >= LOST_MIN_ANSWERS &&
           possible_ms(b, t->endpoint) <=
               LOST_DEADLINE_SHARE_MAX * route->timeout_ms &&
           is_recent_evidence(b, failed_ms) &&
           is_recent_evidence(b, fault_shown_ms(b, t)) &&
           !was_overloaded(b, t->endpoint);
}

/* The same for a request at an upstream that is no outlier, for example
 * because requests fail everywhere. */
static double
lost_no_outlier_after_ms(const struct rg_route *route)
{
    double share_ms = fmin(LOST_DEADLINE_SHARE_MAX * route->timeout_ms,
                           LOST_NO_OUTLIER_WAIT_MAX_MS);

    return fmax(LOST_NO_OUTLIER_FACTOR * route->median_ms,
                fmax(share_ms, LOST_MIN_MS));
}

/* True if other upstreams respond as often as usual, so that the fault is not
 * in this instance. */
static bool
others_respond(const struct rg_balancer *b, const struct rg_tracked_flow *t,
               const struct rg_route *route)
{
    double silent_ms = (double)(b->now_ms - *t->endpoint->any_response_ms);

    return silent_ms <= fmax(overdue_after_ms(b, route, t),
                             RESPONSE_GAP_FACTOR * b->response_gap_ms);
}

/* True if received packets may not have been read yet. A late tick runs before
 * they are. */
static bool
has_backlog(const struct rg_balancer *b)
{
    return rg_bal_tick_is_late(b) ||
           (b->late_tick_ms != 0 &&
            b->now_ms - b->late_tick_ms < RG_BALANCER_TICK_MS);
}

/* Whether the upstream cannot be reached: it is silent, and the request was
 * retransmitted more than once. A sound upstream that is busy need not
 * acknowledge a request before its answer, but it acknowledges a copy, so that
 * there is no further one. */
static enum rg_lost
check_unreachable(const struct rg_balancer *b, const struct rg_tracked_flow *t,
                  const struct rg_route *route)
{
    static const enum rg_lost reasons[] = {
        [RG_REACHABLE] = RG_LOST_NOT,
        [RG_UNREACHABLE_GONE] = RG_LOST_GONE,
        [RG_UNREACHABLE_DATA_CENTRE] = RG_LOST_DATA_CENTRE,
        [RG_UNREACHABLE_UPSTREAM] = RG_LOST_UPSTREAM,
    };
    struct rg_unacknowledged_request request = {
        .sent_ms = t->since_ms,
        .timeout_ms = route->timeout_ms,
        .instances = b->fleet.local_instances,
        .overloaded = was_overloaded(b, t->endpoint),
    };

    if (t->retransmissions < RG_UNACKNOWLEDGED_REPEATS ||
        b->now_ms - t->retransmitted_ms > RETRANSMITTED_MAX_MS ||
        b->now_ms - t->since_ms < RETRANSMITTED_TWICE_MIN_MS ||
        !rg_endpoint_no_answer_since(t->endpoint, t->since_ms, b->now_ms))
    {
        return RG_LOST_NOT;
    }
    return reasons[rg_unacknowledged_check(t->endpoint, &request, b->now_ms)];
}

/* True if the request was acknowledged, and its upstream answers nothing. */
static bool
is_hung(const struct rg_balancer *b, const struct rg_tracked_flow *t,
        const struct rg_route *route)
{
    const struct rg_endpoint *e = t->endpoint;

    if (t->retransmissions >= RG_UNACKNOWLEDGED_REPEATS &&
        rg_unacknowledged_can_wait(route->timeout_ms))
    {
        return false;
    }
    /* Without a deadline nobody knows how long callers would have waited. */
    if (route->timeout_ms == 0 || !t->overdue ||
        b->now_ms < e->cold_until_ms || !others_respond(b, t, route) ||
        !wait_proves_failure(b, t, route) ||
        rg_unacknowledged_may_be_frozen(e, route->timeout_ms, b->now_ms))
    {
        return false;
    }
    double waited_ms = (double)(b->now_ms - t->since_ms);
    if (rg_endpoint_is_unresponsive(e, b->now_ms) &&
        rg_endpoint_no_answer_since(e, t->since_ms, b->now_ms) &&
        waited_ms >= lost_after_ms(b, route, t))
    {
        return true;
    }
    return waited_ms >= lost_no_outlier_after_ms(route) &&
           rg_endpoint_only_failures_since(e, t->since_ms, b->now_ms);
}

/* A reset makes the caller retry now instead of after its deadline. Requests
 * that are not safe to retry are left alone, since nobody knows whether they
 * were executed. */
enum rg_lost
rg_request_is_lost(const struct rg_balancer *b,
                   const struct rg_tracked_flow *t)
{
    const struct rg_route *route = route_of(b, t);

    if (t->state != RG_TRACKED_REQUEST || !route ||
        route->repeat != RG_REPEAT_SAFE || has_backlog(b) ||
        rg_bal_may_have_missed_packets(b, t))
    {
        return RG_LOST_NOT;
    }
    enum rg_lost why = check_unreachable(b, t, route);
    if (why != RG_LOST_NOT) {
        return why;
    }
    return is_hung(b, t, route) ? RG_LOST_HUNG : RG_LOST_NOT;
}

void
rg_request_retransmitted(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    if (t->retransmissions < UINT8_MAX) {
        t->retransmissions++;
    }
    t->retransmitted_ms = b->now_ms;
    if (t->retransmissions == 1) {
        rg_endpoint_request_retransmitted(t->endpoint, b->now_ms);
    }
    if (t->retransmissions < RG_UNACKNOWLEDGED_REPEATS || has_backlog(b) ||
        rg_bal_may_have_missed_packets(b, t) ||
        b->now_ms - t->since_ms < RETRANSMITTED_TWICE_MIN_MS)
    {
        return;
    }
    rg_unacknowledged_add(t->endpoint, t->since_ms, t->retransmissions,
                          b->now_ms);
    rg_bal_share_response(b, t->endpoint);
}

static void
ask(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    t->asked_ms = b->now_ms;
    rg_bal_ask_for_flow(b, &t->flow, t->last_seq);
}

static bool
is_near(double waited_ms, double limit_ms)
{
    return waited_ms >= limit_ms - ASK_BEFORE_RESET_MS && waited_ms < limit_ms;
}

/* Asks peers whether the flow of a waiting request has moved. Its answer may
 * have gone by way of one of them. */
static void
ask_if_waiting(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    const struct rg_route *route = route_of(b, t);
    double waited_ms = (double)(b->now_ms - t->since_ms);

    if (t->state != RG_TRACKED_REQUEST || !route ||
        route->repeat != RG_REPEAT_SAFE || route->timeout_ms == 0)
    {
        return;
    }
    bool near =
        t->overdue && (is_near(waited_ms, lost_after_ms(b, route, t)) ||
                       is_near(waited_ms, lost_no_outlier_after_ms(route)));
    bool waits = waited_ms >= ASK_DEADLINE_SHARE * route->timeout_ms;
    uint64_t asked_ms_ago = b->now_ms - t->asked_ms;
    if ((waits &&
         (t->asked_ms <= t->since_ms || asked_ms_ago >= ASK_INTERVAL_MS)) ||
        near)
    {
        ask(b, t);
    }
}

/* True if the flow's homes have answered a recent question: no other instance
 * has got packets of it since its request came here. Retransmissions show by
 * themselves that it has not moved. An instance that is about to stop gets no
 * more packets of its flows. */
static bool
has_not_moved(const struct rg_balancer *b, const struct rg_tracked_flow *t,
              enum rg_lost why)
{
    uint64_t asked_after_ms = b->now_ms - ASK_VALID_MS;

    if (why != RG_LOST_HUNG) {
        return true;
    }
    return !b->leaving &&
           rg_bal_has_stayed(b, &t->flow, t->since_ms, asked_after_ms);
}

void
rg_request_reset(struct rg_balancer *b, struct rg_tracked_flow *t,
                 const struct rg_segment *last, enum rg_lost why)
{
    static const struct {
        enum rg_metric_counter counter;
        const char *text;
    } reasons[] = {
        [RG_LOST_NOT] = {RG_METRIC_RESET_HUNG, "reset"},
        [RG_LOST_GONE] = {RG_METRIC_RESET_GONE, "reset: upstream gone"},
        [RG_LOST_DATA_CENTRE] = {RG_METRIC_RESET_DATA_CENTRE,
                                 "reset: data centre silent"},
        [RG_LOST_UPSTREAM] = {RG_METRIC_RESET_UPSTREAM,
                              "reset: upstream silent"},
        [RG_LOST_HUNG] = {RG_METRIC_RESET_HUNG, "reset: upstream hung"},
    };

    rg_bal_count(b, reasons[why].counter);
    rg_request_log_unanswered(b, t, reasons[why].text);
    rg_bal_refuse(b, last, RG_METRIC_REFUSED_DEAD_UPSTREAM, "dead-upstream");
    rg_flows_set_state(t, RG_TRACKED_CLOSED, b->now_ms);
}

/* Resets the flow of a lost request without waiting for its next packet. */
static void
reset_lost(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    struct rg_segment last = {.flow = t->flow, .ack = t->last_ack};
    enum rg_lost why = rg_request_is_lost(b, t);

    if (!b->opts.refuse || why == RG_LOST_NOT) {
        return;
    }
    if (!has_not_moved(b, t, why)) {
        if (b->now_ms - t->asked_ms >= RG_BALANCER_TICK_MS) {
            ask(b, t);
        }
        return;
    }
    rg_request_reset(b, t, &last, why);
    b->opts.refuse(b->opts.ctx, &last);
}

/* Counts a request that waits far longer than usual on its route as failed,
 * once. */
static void
note_overdue(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    if (t->state != RG_TRACKED_REQUEST || t->overdue || t->adopted ||
        rg_bal_may_have_missed_packets(b, t))
    {
        return;
    }
    const struct rg_route *route = route_of(b, t);
    if (!route || route->median_ms <= 0) {
        return;
    }
    if ((double)(b->now_ms - t->since_ms) > overdue_after_ms(b, route, t) &&
        others_respond(b, t, route))
    {
        t->overdue = true;
        t->overdue_ms = b->now_ms;
        rg_bal_count(b, RG_METRIC_REQUESTS_OVERDUE);
        rg_bal_add_outcome(b, t->endpoint, RG_OUTCOME_FAILED, b->now_ms);
    }
}

/* The next request of a flow may be far off, and its upstream gone by then. */
static void
note_complete(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    struct rg_route *route =
        rg_routes_find(b->routes, t->flow.service_ip, t->flow.service_port);

    if (t->state == RG_TRACKED_IDLE && route &&
        b->now_ms - t->acked_ms >= ANSWER_COMPLETE_MS)
    {
        rg_request_answered(b, t, route);
    }
}

void
rg_request_tick(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    if (has_backlog(b)) {
        return;
    }
    note_complete(b, t);
    note_overdue(b, t);
    ask_if_waiting(b, t);
    reset_lost(b, t);
}

static enum rg_outcome
outcome_of(const struct rg_tracked_flow *t, bool error_like)
{
    if (error_like) {
        return RG_OUTCOME_FAILED;
    }
    return t->overdue ? RG_OUTCOME_LATE : RG_OUTCOME_ANSWERED;
}

static void
note_usual_time(struct rg_balancer *b, struct rg_endpoint *e, double ms)
{
    struct rg_bal_service *s = rg_bal_service(b, e->service);

    rg_usual_time_add(&e->usual, ms);
    if (s) {
        rg_usual_time_add(&s->usual, ms);
    }
}

void
rg_request_answered(struct rg_balancer *b, struct rg_tracked_flow *t,
                    struct rg_route *route)
{
    char flow[RG_FLOW_TEXT_MAX];
    uint32_t bytes = t->last_ack - t->request_ack;

    if (t->answer_ms == RG_TRACKED_UNANSWERED) {
        return;
    }
    double ms = fmax((double)t->answer_ms - b->opening_ms, 0);
    if (rg_bal_is_shed(b, t->endpoint, route, bytes)) {
        rg_bal_admission_shed(b, t->endpoint);
        t->answer_ms = RG_TRACKED_UNANSWERED;
        return;
    }
    bool error_like = rg_route_answered(route, ms, bytes);
    if (!error_like) {
        rg_bal_admission_answered(b, t->endpoint, route, ms);
    }
    rg_bal_add_outcome(b, t->endpoint, outcome_of(t, error_like), t->acked_ms);
    if (!error_like) {
        t->endpoint->sheds = 0;
    }
    else if (rg_bal_is_overloaded(b, t->endpoint->service)) {
        /* Queues make requests late; they do not make errors. */
        rg_endpoint_update_failure_rate(t->endpoint, true, b->now_ms);
    }
    rg_bal_locality_answered(b, t, route, bytes, error_like);
    if (error_like) {
        rg_bal_count(b, RG_METRIC_ANSWERS_ERROR_LIKE);
    }
    else {
        note_usual_time(b, t->endpoint, ms);
    }
    rg_log_event(b->opts.log, error_like ? RG_LOG_INFO : RG_LOG_DEBUG,
                 "CLOSED",
                 "flow=\"%s\" upstream=\"%s\" answer_ms=\"%u\" bytes=\"%u\" "
                 "usual_ms=\"%.1f\" usual_bytes=\"%.0f\" error_like=\"%d\"",
                 rg_flow_text(&t->flow, flow), t->endpoint->id.s, t->answer_ms,
                 bytes, route->median_ms, route->median_bytes, error_like);
    t->answer_ms = RG_TRACKED_UNANSWERED;
}

void
rg_request_log_unanswered(struct rg_balancer *b,
                          const struct rg_tracked_flow *t, const char *done)
{
    const struct rg_outlier_state *s = &t->endpoint->outlier;
    const struct rg_route *route = route_of(b, t);
    char flow[RG_FLOW_TEXT_MAX];

    rg_bal_count(b, RG_METRIC_UNANSWERED);
    rg_log_event(
        b->opts.log, RG_LOG_INFO, "UNANSWERED",
        "flow=\"%s\" what=\"%s\" upstream=\"%s\" waited_ms=\"%llu\" "
        "usual_ms=\"%.1f\" repeats=\"%u\" failed_own=\"%u\" "
        "failed_others=\"%u\" answered_others=\"%u\" condemned=\"%u\" "
        "ejected=\"%d\" alive_ms_ago=\"%llu\" done=\"%s\"",
        rg_flow_text(&t->flow, flow),
        t->state == RG_TRACKED_OPENING ? "opening" : "request",
        t->endpoint->id.s, (unsigned long long)(b->now_ms - t->since_ms),
        route ? route->median_ms : 0, t->retransmissions,
        rg_outcomes_count(&s->own, RG_OUTCOME_FAILED, b->now_ms),
        s->reported.counts[RG_OUTCOME_FAILED],
        s->reported.counts[RG_OUTCOME_ANSWERED], s->detections,
        rg_endpoint_is_ejected(t->endpoint, b->now_ms),
        (unsigned long long)(b->now_ms - t->endpoint->last_response_ms), done);
}
