/* Requests that wait for an answer: when they count as failed, and which of
 * them are given up. */
#include <math.h>

#include "balance/outlier.h"
#include "balance/passive_health.h"
#include "balance/priv.h"

/* A request is overdue after this many times its route's usual time to an
 * answer, and no sooner than the least. */
#define OVERDUE_TIMES 6
#define OVERDUE_LEAST_MS 100
/* The same for a probe of a condemned upstream. */
#define PROBE_TIMES 5
#define PROBE_LEAST_MS 60
/* One that waits this long, at an upstream that answers nothing, is reset if
 * it may be repeated. The share of its deadline leaves time to learn whether
 * others are answered late there, and to repeat it. */
#define LOST_TIMES 16
#define LOST_LEAST_MS 250
#define LOST_DEADLINE_SHARE 0.4
#define LOST_DEADLINE_SHARE_MOST 0.5
#define LOST_ALONE_TIMES 32
/* Answers that a route's usual time must rest on. */
#define LOST_ANSWERS_LEAST 5
/* Queues may last this long after a service was crowded. */
#define CROWDED_LIFE_MS 3000
/* Signs of life may be this many times as far apart as usual. */
#define GAP_TIMES 4
/* A tick is late after this many periods. */
#define BEHIND_TICKS 2

static const struct rg_route *
route_of(const struct rg_balancer *b, const struct rg_tracked_flow *t)
{
    return rg_routes_find(b->routes, t->flow.service_ip, t->flow.service_port);
}

static double
overdue_after_ms(const struct rg_route *route, const struct rg_tracked_flow *t)
{
    return t->probe ? fmax(PROBE_TIMES * route->usual_ms, PROBE_LEAST_MS)
                    : fmax(OVERDUE_TIMES * route->usual_ms, OVERDUE_LEAST_MS);
}

/* What was condemned before needs no time to learn whether it is slow. */
static double
lost_after_ms(const struct rg_route *route, const struct rg_tracked_flow *t)
{
    double limit = fmax(LOST_TIMES * route->usual_ms, LOST_LEAST_MS);

    if (route->timeout_ms != 0 && !t->probe) {
        limit = fmax(limit, LOST_DEADLINE_SHARE * route->timeout_ms);
        limit = fmin(limit, LOST_DEADLINE_SHARE_MOST * route->timeout_ms);
    }
    return fmax(limit, overdue_after_ms(route, t));
}

/* Requests of this route are known well enough, and its upstreams have no
 * queues that would make one wait long: only then is waiting a proof. */
static bool
waiting_tells(const struct rg_balancer *b, const struct rg_tracked_flow *t,
              const struct rg_route *route)
{
    uint32_t service = t->endpoint->service;

    if (service >= b->service_count || route->answers < LOST_ANSWERS_LEAST) {
        return false;
    }
    uint64_t crowded_ms = b->services[service].crowded_ms;
    return crowded_ms == 0 || b->now_ms - crowded_ms > CROWDED_LIFE_MS;
}

/* A first failure makes others stay away, so that no second one may come to
 * prove it: a request that waits this long is proof enough. */
static double
lost_alone_after_ms(const struct rg_route *route)
{
    return fmax(
        LOST_ALONE_TIMES * route->usual_ms,
        fmax(LOST_DEADLINE_SHARE_MOST * route->timeout_ms, LOST_LEAST_MS));
}

/* Signs of life from any upstream still come in as usual: the fault is not
 * here. */
static bool
others_answer(const struct rg_balancer *b, const struct rg_tracked_flow *t,
              const struct rg_route *route)
{
    double silent_ms = (double)(b->now_ms - *t->endpoint->anybody_ms);

    return silent_ms <=
           fmax(overdue_after_ms(route, t), GAP_TIMES * b->gap_ms);
}

/* The tick is late: answers may wait unread. */
static bool
is_behind(const struct rg_balancer *b)
{
    return b->now_ms - b->ticked_ms > BEHIND_TICKS * RG_BALANCER_TICK_MS;
}

/* A request that may be repeated, at an upstream that will not answer: its
 * caller is told to try again, which it could else do only after its deadline.
 * A request that may run once only is left alone: nobody knows whether it
 * has. */
bool
rg_request_is_lost(const struct rg_balancer *b,
                   const struct rg_tracked_flow *t)
{
    const struct rg_route *route = route_of(b, t);

    if (t->state != RG_TRACKED_REQUEST || !route ||
        route->repeat != RG_REPEAT_SAFE)
    {
        return false;
    }
    if (t->repeats > 0 && rg_endpoint_is_unreachable(t->endpoint, b->now_ms)) {
        return true;
    }
    if (!t->overdue || !others_answer(b, t, route) ||
        !waiting_tells(b, t, route)) {
        return false;
    }
    double waited_ms = (double)(b->now_ms - t->since_ms);
    if (rg_endpoint_is_unresponsive(t->endpoint, b->now_ms) &&
        waited_ms >= lost_after_ms(route, t))
    {
        return true;
    }
    return rg_endpoint_no_answer_since(t->endpoint, t->since_ms, b->now_ms) &&
           waited_ms >= lost_alone_after_ms(route);
}

/* Resets a lost flow without waiting for its next packet. */
static void
give_up(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    struct rg_segment last = {.flow = t->flow, .ack = t->last_ack};

    if (!b->opts.refuse || !rg_request_is_lost(b, t)) {
        return;
    }
    rg_request_log_unanswered(b, t, "reset");
    rg_bal_refuse(b, &last, RG_METRIC_REFUSED_DEAD_UPSTREAM, "dead-upstream");
    rg_flows_set_state(t, RG_TRACKED_CLOSED, b->now_ms);
    b->opts.refuse(b->opts.ctx, &last);
}

/* A request that waits far longer than its route's usual counts as failed,
 * once. */
static void
note_overdue(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    if (t->state != RG_TRACKED_REQUEST || t->overdue) {
        return;
    }
    const struct rg_route *route = route_of(b, t);
    if (!route || route->usual_ms <= 0) {
        return;
    }
    if ((double)(b->now_ms - t->since_ms) > overdue_after_ms(route, t) &&
        others_answer(b, t, route))
    {
        t->overdue = true;
        rg_bal_count(b, RG_METRIC_REQUESTS_OVERDUE);
        rg_bal_outcome(b, t->endpoint, RG_OUTCOME_FAILED);
    }
}

void
rg_request_tick(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    if (is_behind(b)) {
        return;
    }
    note_overdue(b, t);
    give_up(b, t);
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
    bool error_like = rg_route_answered(route, ms, bytes);
    rg_bal_outcome(b, t->endpoint, outcome_of(t, error_like));
    if (error_like) {
        rg_bal_count(b, RG_METRIC_ANSWERS_ERROR_LIKE);
    }
    rg_log_event(b->opts.log, error_like ? RG_LOG_INFO : RG_LOG_DEBUG,
                 "CLOSED",
                 "flow=\"%s\" upstream=\"%s\" answer_ms=\"%u\" bytes=\"%u\" "
                 "usual_ms=\"%.1f\" usual_bytes=\"%.0f\" error_like=\"%d\"",
                 rg_flow_text(&t->flow, flow), t->endpoint->id.s, t->answer_ms,
                 bytes, route->usual_ms, route->usual_bytes, error_like);
    t->answer_ms = RG_TRACKED_UNANSWERED;
}

void
rg_request_log_unanswered(struct rg_balancer *b,
                          const struct rg_tracked_flow *t, const char *done)
{
    const struct rg_outlier_state *s = &t->endpoint->requests;
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
        route ? route->usual_ms : 0, t->repeats,
        rg_outcomes_count(&s->own, RG_OUTCOME_FAILED, b->now_ms),
        s->others.counts[RG_OUTCOME_FAILED],
        s->others.counts[RG_OUTCOME_ANSWERED], s->condemned,
        rg_endpoint_is_ejected(t->endpoint, b->now_ms),
        (unsigned long long)(b->now_ms - t->endpoint->last_alive_ms), done);
}
