/* Requests waiting for an answer: when they count as failed, and when their
 * flow is reset so that the caller retries. */
#include <math.h>

#include "balance/outlier.h"
#include "balance/passive_health.h"
#include "balance/priv.h"

/* A request is overdue, and counts as failed, after this many times the median
 * answer time of its route, and not before the minimum. */
#define OVERDUE_FACTOR 6
#define OVERDUE_MIN_MS 100
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
/* The same where requests fail but the upstream is no outlier. */
#define LOST_NO_OUTLIER_FACTOR 32
/* Answers needed before the median of a route is relied on. */
#define LOST_MIN_ANSWERS 5
/* Retransmissions that show by themselves that a request is not
 * acknowledged: copies are acknowledged before the answer. */
#define UNREACHABLE_REPEATS 2
/* Queues may remain for this long after a service was overloaded. */
#define OVERLOAD_EXPIRY_MS 3000
/* From this share of its deadline on, peers are asked at intervals whether the
 * flow of a waiting request has moved, and get this long to answer. */
#define ASK_DEADLINE_SHARE 0.2
#define ASK_INTERVAL_MS 500
#define ASK_TIMEOUT_MS 150
/* The last response of any upstream may be this many mean intervals old; if it
 * is older, the fault may be in this instance. */
#define RESPONSE_GAP_FACTOR 4

static const struct rg_route *
route_of(const struct rg_balancer *b, const struct rg_tracked_flow *t)
{
    return rg_routes_find(b->routes, t->flow.service_ip, t->flow.service_port);
}

static double
overdue_after_ms(const struct rg_route *route, const struct rg_tracked_flow *t)
{
    return t->probe ? fmax(PROBE_OVERDUE_FACTOR * route->median_ms,
                           PROBE_OVERDUE_MIN_MS)
                    : fmax(OVERDUE_FACTOR * route->median_ms, OVERDUE_MIN_MS);
}

static double
lost_after_ms(const struct rg_route *route, const struct rg_tracked_flow *t)
{
    double limit = fmax(LOST_FACTOR * route->median_ms, LOST_MIN_MS);

    limit = fmax(limit, LOST_DEADLINE_SHARE * route->timeout_ms);
    limit = fmin(limit, LOST_DEADLINE_SHARE_MAX * route->timeout_ms);
    return fmax(limit, overdue_after_ms(route, t));
}

/* True within OVERLOAD_EXPIRY_MS of the upstream's service being overloaded.
 */
static bool
was_overloaded(const struct rg_balancer *b, const struct rg_endpoint *e)
{
    uint64_t at_ms = e->service < b->service_count
                         ? b->services[e->service].overloaded_ms
                         : 0;

    return at_ms != 0 && b->now_ms - at_ms <= OVERLOAD_EXPIRY_MS;
}

/* A long wait proves a failure only if the median of the route is known well
 * enough and no queue at the upstreams explains it. */
static bool
wait_proves_failure(const struct rg_balancer *b,
                    const struct rg_tracked_flow *t,
                    const struct rg_route *route)
{
    return t->endpoint->service < b->service_count &&
           route->answers >= LOST_MIN_ANSWERS &&
           !was_overloaded(b, t->endpoint);
}

/* The same for a request at an upstream that is no outlier, for example
 * because requests fail everywhere. */
static double
lost_no_outlier_after_ms(const struct rg_route *route)
{
    return fmax(
        LOST_NO_OUTLIER_FACTOR * route->median_ms,
        fmax(LOST_DEADLINE_SHARE_MAX * route->timeout_ms, LOST_MIN_MS));
}

/* True if other upstreams respond as often as usual, so that the fault is not
 * in this instance. */
static bool
others_respond(const struct rg_balancer *b, const struct rg_tracked_flow *t,
               const struct rg_route *route)
{
    double silent_ms = (double)(b->now_ms - *t->endpoint->any_response_ms);

    return silent_ms <= fmax(overdue_after_ms(route, t),
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

/* True if the upstream cannot be reached: it is silent, and the request was
 * retransmitted more than once. A sound upstream that is busy need not
 * acknowledge a request before its answer, but it acknowledges a copy, so that
 * there is no further one. */
static bool
is_unreachable(const struct rg_balancer *b, const struct rg_tracked_flow *t)
{
    return t->retransmissions >= UNREACHABLE_REPEATS &&
           rg_endpoint_is_unreachable(t->endpoint, b->now_ms) &&
           rg_endpoint_no_answer_since(t->endpoint, t->since_ms, b->now_ms) &&
           !was_overloaded(b, t->endpoint);
}

/* True for a request that is safe to retry at an upstream that will not answer
 * it. A reset makes the caller retry now instead of after its deadline.
 * Requests that are not safe to retry are left alone, since nobody knows
 * whether they were executed. */
bool
rg_request_is_lost(const struct rg_balancer *b,
                   const struct rg_tracked_flow *t)
{
    const struct rg_route *route = route_of(b, t);

    if (t->state != RG_TRACKED_REQUEST || !route ||
        route->repeat != RG_REPEAT_SAFE || has_backlog(b) ||
        rg_bal_may_have_missed_packets(b, t))
    {
        return false;
    }
    if (is_unreachable(b, t)) {
        return true;
    }
    /* Without a deadline nobody knows how long callers would have waited. */
    if (route->timeout_ms == 0 || !t->overdue ||
        b->now_ms < t->endpoint->cold_until_ms ||
        !others_respond(b, t, route) || !wait_proves_failure(b, t, route))
    {
        return false;
    }
    double waited_ms = (double)(b->now_ms - t->since_ms);
    if (rg_endpoint_is_unresponsive(t->endpoint, b->now_ms) &&
        rg_endpoint_no_answer_since(t->endpoint, t->since_ms, b->now_ms) &&
        waited_ms >= lost_after_ms(route, t))
    {
        return true;
    }
    return waited_ms >= lost_no_outlier_after_ms(route) &&
           rg_endpoint_only_failures_since(t->endpoint, t->since_ms,
                                           b->now_ms);
}

/* Asks peers whether the flow of a waiting request has moved. Its answer may
 * have gone by way of one of them. */
static void
ask_if_waiting(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    const struct rg_route *route = route_of(b, t);
    double waited_ms = (double)(b->now_ms - t->since_ms);

    if (t->state != RG_TRACKED_REQUEST || !route ||
        route->repeat != RG_REPEAT_SAFE || route->timeout_ms == 0 ||
        waited_ms < ASK_DEADLINE_SHARE * route->timeout_ms)
    {
        return;
    }
    if (t->asked_ms <= t->since_ms) {
        t->asked_ms = b->now_ms;
    }
    if ((b->now_ms - t->asked_ms) % ASK_INTERVAL_MS < RG_BALANCER_TICK_MS) {
        rg_bal_ask_for_flow(b, &t->flow);
    }
}

/* True if no peer has got packets of the flow since its request came here.
 * Retransmissions show by themselves that it has not moved. */
static bool
has_not_moved(const struct rg_balancer *b, const struct rg_tracked_flow *t)
{
    return is_unreachable(b, t) || (t->asked_ms > t->since_ms &&
                                    b->now_ms - t->asked_ms >= ASK_TIMEOUT_MS);
}

/* Resets the flow of a lost request without waiting for its next packet. */
static void
reset_lost(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    struct rg_segment last = {.flow = t->flow, .ack = t->last_ack};

    if (!b->opts.refuse || !rg_request_is_lost(b, t) || !has_not_moved(b, t)) {
        return;
    }
    rg_request_log_unanswered(b, t, "reset");
    rg_bal_refuse(b, &last, RG_METRIC_REFUSED_DEAD_UPSTREAM, "dead-upstream");
    rg_flows_set_state(t, RG_TRACKED_CLOSED, b->now_ms);
    b->opts.refuse(b->opts.ctx, &last);
}

/* Counts a request that waits far longer than usual on its route as failed,
 * once. */
static void
note_overdue(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    if (t->state != RG_TRACKED_REQUEST || t->overdue ||
        rg_bal_may_have_missed_packets(b, t))
    {
        return;
    }
    const struct rg_route *route = route_of(b, t);
    if (!route || route->median_ms <= 0) {
        return;
    }
    if ((double)(b->now_ms - t->since_ms) > overdue_after_ms(route, t) &&
        others_respond(b, t, route))
    {
        t->overdue = true;
        rg_bal_count(b, RG_METRIC_REQUESTS_OVERDUE);
        rg_bal_add_outcome(b, t->endpoint, RG_OUTCOME_FAILED);
    }
}

void
rg_request_tick(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    if (has_backlog(b)) {
        return;
    }
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
    rg_bal_add_outcome(b, t->endpoint, outcome_of(t, error_like));
    if (!error_like) {
        t->endpoint->sheds = 0;
    }
    else if (rg_bal_is_overloaded(b, t->endpoint->service)) {
        /* Queues make requests late; they do not make errors. */
        rg_endpoint_update_failure_rate(t->endpoint, true, b->now_ms);
    }
    if (error_like) {
        rg_bal_count(b, RG_METRIC_ANSWERS_ERROR_LIKE);
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
