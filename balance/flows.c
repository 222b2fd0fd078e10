/* State machine of tracked flows, and what their packets show about the
 * upstreams. */
#include <math.h>

#include "balance/passive_health.h"
#include "balance/priv.h"

/* Callers give up an opening after this time. */
#define OPENING_TIMEOUT_MS 1600
/* A request without progress for this long no longer counts as outstanding. */
#define REQUEST_TIMEOUT_MS 4000
#define CLOSED_TIMEOUT_MS 1000
/* The same for a flow that two upstreams may have: the one that its caller did
 * not take repeats its answer to the opening for up to 9.4 s. */
#define REPEATED_CLOSED_TIMEOUT_MS 10000
/* Gain of the moving average of the time an opening takes. */
#define OPENING_GAIN 0.05
/* Gain of the moving average of the time between two responses. */
#define RESPONSE_GAP_GAIN 0.05

static bool
is_outstanding(const struct rg_tracked_flow *t)
{
    return t->state == RG_TRACKED_OPENING || t->state == RG_TRACKED_REQUEST;
}

void
rg_flows_set_state(struct rg_tracked_flow *t, enum rg_tracked_flow_state state,
                   uint64_t now_ms)
{
    bool before = is_outstanding(t);

    t->state = (uint8_t)state;
    t->since_ms = now_ms;
    if (before && !is_outstanding(t)) {
        t->endpoint->open_work--;
    }
    if (!before && is_outstanding(t)) {
        t->endpoint->open_work++;
    }
}

static void
acquire(struct rg_tracked_flow *t, struct rg_endpoint *endpoint)
{
    t->endpoint = endpoint;
    endpoint->refs++;
    if (is_outstanding(t)) {
        endpoint->open_work++;
    }
}

static void
release(struct rg_tracked_flow *t)
{
    t->endpoint->refs--;
    if (is_outstanding(t)) {
        t->endpoint->open_work--;
    }
}

/* Releases all that the entry refers to. */
static void
forget(struct rg_tracked_flow *t)
{
    release(t);
    for (int i = 0; i < RG_TRACKED_TRIES_MAX; i++) {
        if (t->tried[i]) {
            t->tried[i]->refs--;
        }
    }
}

static uint32_t
timeout_ms(const struct rg_tracked_flow *t)
{
    static const uint32_t by_state[] = {
        [RG_TRACKED_OPENING] = OPENING_TIMEOUT_MS,
        [RG_TRACKED_IDLE] = RG_TRACKED_IDLE_TIMEOUT_MS,
        [RG_TRACKED_REQUEST] = REQUEST_TIMEOUT_MS,
        [RG_TRACKED_CLOSED] = CLOSED_TIMEOUT_MS,
    };

    return t->state == RG_TRACKED_CLOSED && t->repeated
               ? REPEATED_CLOSED_TIMEOUT_MS
               : by_state[t->state];
}

/* True for an open flow that two upstreams may have. Its caller keeps the
 * token of the one that it did not take until it receives something else,
 * however long it pauses, so the entry is needed as long as the flow may live.
 */
static bool
is_needed(const struct rg_balancer *b, const struct rg_tracked_flow *t)
{
    return t->repeated && t->state == RG_TRACKED_IDLE &&
           b->now_ms - t->opened_ms < b->opts.flow_age_ms;
}

bool
rg_flows_expired(void *ctx, struct rg_tracked_flow *t)
{
    struct rg_balancer *b = ctx;

    rg_request_tick(b, t);
    rg_bal_collect_flow_record(b, t);
    if (b->now_ms - t->last_ms < timeout_ms(t) || is_needed(b, t)) {
        return false;
    }
    if (is_outstanding(t)) {
        rg_request_log_unanswered(b, t, "forgotten");
    }
    if (t->state == RG_TRACKED_REQUEST && t->repeated) {
        rg_flows_set_state(t, RG_TRACKED_IDLE, b->now_ms);
        return false;
    }
    if (t->repeated && t->state == RG_TRACKED_IDLE) {
        rg_bal_log_forgotten(b, t);
    }
    forget(t);
    return true;
}

/* An entry for a flow: a free one, or `earlier`, that of an ended flow with
 * the same ports. NULL if the table is full. */
static struct rg_tracked_flow *
get_entry(struct rg_balancer *b, struct rg_tracked_flow *earlier,
          const struct rg_flow_id *flow)
{
    struct rg_tracked_flow *t = earlier;

    if (earlier) {
        forget(earlier);
    }
    else {
        t = rg_tracked_flows_add(b->flows, flow);
    }
    if (!t) {
        rg_bal_count(b, RG_METRIC_UNTRACKED);
        /* Its later packets must not look like those of a moved flow. */
        rg_bal_ignore_untracked(b, b->opts.flow_age_ms);
    }
    return t;
}

struct rg_tracked_flow *
rg_flows_start(struct rg_balancer *b, struct rg_tracked_flow *earlier,
               const struct rg_segment *opening, struct rg_endpoint *endpoint)
{
    struct rg_tracked_flow *t = get_entry(b, earlier, &opening->flow);

    if (!t) {
        return NULL;
    }
    *t = (struct rg_tracked_flow){
        .flow = opening->flow,
        .opening_seq = opening->seq,
        .since_ms = b->now_ms,
        .opened_ms = b->now_ms,
        .last_ms = b->now_ms,
        .state = RG_TRACKED_OPENING,
        .answer_ms = RG_TRACKED_UNANSWERED,
        .repeated = opening->ack != 0,
        .has_first_copy = opening->ack == 0,
        .next_seq = opening->seq + 1,
    };
    acquire(t, endpoint);
    return t;
}

struct rg_tracked_flow *
rg_flows_adopt(struct rg_balancer *b, struct rg_tracked_flow *earlier,
               const struct rg_flow_id *flow, uint32_t opening_seq,
               struct rg_endpoint *endpoint)
{
    struct rg_tracked_flow *t = get_entry(b, earlier, flow);

    if (!t) {
        return NULL;
    }
    *t = (struct rg_tracked_flow){
        .flow = *flow,
        .opening_seq = opening_seq,
        .since_ms = b->now_ms,
        .opened_ms = b->now_ms,
        .last_ms = b->now_ms,
        .state = RG_TRACKED_IDLE,
        .answer_ms = RG_TRACKED_UNANSWERED,
        .adopted = true,
        .requested = true, /* no opening has taken room here */
    };
    acquire(t, endpoint);
    return t;
}

void
rg_flows_move(struct rg_balancer *b, struct rg_tracked_flow *t,
              struct rg_endpoint *endpoint)
{
    if (endpoint != t->endpoint) {
        rg_bal_count(b, RG_METRIC_OPENINGS_MOVED);
        release(t);
        acquire(t, endpoint);
        t->told = RG_FLOW_NOT_TOLD;
        t->told_homes = false;
    }
    t->last_ms = b->now_ms;
}

bool
rg_flows_confirms_token(const struct rg_tracked_flow *t,
                        const struct rg_segment *s)
{
    int32_t bytes = (int32_t)(s->ack - t->last_ack);
    bool only_acknowledges = s->len == 0 && !s->fin && !s->reset;

    return t->state == RG_TRACKED_OPENING ||
           !rg_seq_is_near(s->ack, t->last_ack) ||
           (bytes > 0 && only_acknowledges);
}

/* The endpoint has responded to a caller. Peers that have evidence to the
 * contrary are told. */
static void
note_response(struct rg_balancer *b, struct rg_endpoint *endpoint)
{
    bool tell = rg_unacknowledged_responded(endpoint, b->now_ms);

    rg_endpoint_responded(endpoint, b->now_ms);
    if (tell) {
        rg_bal_share_response(b, endpoint);
    }
}

/* Updates the mean time between two responses of any upstream. */
static void
update_response_gap(struct rg_balancer *b)
{
    double gap = (double)(b->now_ms - b->last_response_ms);

    if (b->last_response_ms != 0) {
        b->response_gap_ms += RESPONSE_GAP_GAIN * (gap - b->response_gap_ms);
    }
    b->last_response_ms = b->now_ms;
}

/* The first packet after an opening shows that the upstream has answered. */
static void
handle_opened(struct rg_balancer *b, struct rg_tracked_flow *t,
              const struct rg_segment *s)
{
    uint64_t ms = b->now_ms - t->since_ms;

    rg_metrics_observe(&b->metrics, RG_METRIC_OPENING_MS, ms);
    b->opening_ms =
        b->opening_ms == 0
            ? (double)ms
            : b->opening_ms + OPENING_GAIN * ((double)ms - b->opening_ms);
    if (!t->repeated) {
        rg_bal_locality_opened(b, t->endpoint, (double)ms);
    }
    update_response_gap(b);
    note_response(b, t->endpoint);
    rg_bal_admission_opened(b, t->endpoint, t->trial, false);
    t->trial = RG_TRIAL_NONE;
    rg_bal_update_lost_share(b, false);
    t->last_ack = s->ack;
    rg_flows_set_state(t, RG_TRACKED_IDLE, b->now_ms);
}

/* Passes an answer to admission control. `ms` is the time since the request
 * passed here; the time an opening takes approximates the network's share, and
 * the rest was spent at the upstream. */
static void
report_to_admission(struct rg_balancer *b, const struct rg_tracked_flow *t,
                    double ms, const struct rg_route *route)
{
    struct rg_bal_service *s = rg_bal_service(b, t->endpoint->service);
    struct rg_admit_answer answer = {
        .waited_ms = fmax(ms - b->opening_ms, 0),
        .total_ms = ms + b->opening_ms,
        .target_ms = route->target_ms,
    };

    if (s) {
        rg_admit_answered(&s->admit, &answer);
    }
}

static void
handle_ack(struct rg_balancer *b, struct rg_tracked_flow *t,
           const struct rg_segment *s, const struct rg_route *route)
{
    if ((int32_t)(s->ack - t->last_ack) <= 0) {
        return;
    }
    t->last_ack = s->ack;
    t->acked_ms = b->now_ms;
    update_response_gap(b);
    t->adopted = false;
    note_response(b, t->endpoint);
    if (t->state != RG_TRACKED_REQUEST) {
        return;
    }
    uint64_t ms = b->now_ms - t->since_ms;
    rg_unacknowledged_answered(t->endpoint, t->retransmissions > 0);
    t->answer_ms = (uint32_t)ms;
    rg_flows_set_state(t, RG_TRACKED_IDLE, b->now_ms);
    if (rg_bal_is_shed(b, t->endpoint, route, s->ack - t->request_ack)) {
        note_response(b, t->endpoint);
        return;
    }
    rg_metrics_observe(&b->metrics, RG_METRIC_ANSWER_MS, ms);
    rg_endpoint_request_answered(t->endpoint, (double)ms, b->now_ms);
    report_to_admission(b, t, (double)ms, route);
    struct rg_bal_service *service = rg_bal_service(b, t->endpoint->service);
    if (service) {
        rg_usual_time_note_begun(&service->usual, (double)ms, b->now_ms);
    }
}

static void
handle_data(struct rg_balancer *b, struct rg_tracked_flow *t,
            const struct rg_segment *s, struct rg_route *route)
{
    if (s->len == 0) {
        return;
    }
    if (t->state == RG_TRACKED_REQUEST && s->seq == t->last_seq) {
        rg_request_retransmitted(b, t);
        return;
    }
    t->last_seq = s->seq;
    t->retransmissions = 0;
    if (t->state == RG_TRACKED_IDLE) {
        rg_request_answered(b, t, route); /* to the previous request */
        t->request_ack = t->last_ack;
        t->answer_ms = RG_TRACKED_UNANSWERED;
        t->overdue = false;
        if (t->requested) {
            rg_bal_admission_request(b, t->endpoint, route);
        }
        t->requested = true;
        rg_flows_set_state(t, RG_TRACKED_REQUEST, b->now_ms);
    }
}

/* The caller has closed its side, so the answer it has received is
 * complete. */
static void
handle_close(struct rg_balancer *b, struct rg_tracked_flow *t,
             struct rg_route *route)
{
    if (t->state == RG_TRACKED_REQUEST) {
        rg_request_log_unanswered(b, t, "closed by the caller");
    }
    else if (t->state != RG_TRACKED_CLOSED) {
        rg_request_answered(b, t, route);
    }
}

/* True if packets of the flow have passed another instance: the caller has
 * sent data that did not come here, or a peer has told of the flow. */
static bool
was_elsewhere(const struct rg_tracked_flow *t, const struct rg_segment *s)
{
    return (int32_t)(s->seq - t->next_seq) > 0 ||
           (t->adopted && t->packet_ms == 0);
}

static void
note_sequence(struct rg_balancer *b, struct rg_tracked_flow *t,
              const struct rg_segment *s)
{
    uint32_t next_seq = s->seq + s->len;

    if (was_elsewhere(t, s)) {
        rg_bal_tell_arrival(b, s);
    }
    if ((int32_t)(next_seq - t->next_seq) > 0) {
        t->next_seq = next_seq;
    }
}

void
rg_flows_update(struct rg_balancer *b, struct rg_tracked_flow *t,
                const struct rg_segment *s, struct rg_route *route)
{
    note_sequence(b, t, s);
    t->packet_ms = b->now_ms;
    t->last_ms = b->now_ms;
    if (t->state == RG_TRACKED_OPENING) {
        handle_opened(b, t, s);
    }
    handle_ack(b, t, s, route);
    handle_data(b, t, s, route);
    if (s->fin || s->reset) {
        handle_close(b, t, route);
        rg_flows_set_state(t, RG_TRACKED_CLOSED, b->now_ms);
    }
}

void
rg_flows_resume(struct rg_balancer *b, const struct rg_segment *s,
                struct rg_endpoint *endpoint, struct rg_route *route)
{
    struct rg_tracked_flow *t = rg_flows_adopt(b, NULL, &s->flow, 0, endpoint);

    if (t) {
        t->resumed = true;
        t->last_ack = s->ack;
        t->next_seq = s->seq;
        rg_flows_update(b, t, s, route);
    }
}
