/* Tracked flows: what they count as, and what their packets tell. */
#include <math.h>

#include "balance/passive_health.h"
#include "balance/priv.h"

/* An opening is given up by its caller after this time. */
#define OPENING_LIFE_MS 1600
/* A request that shows no progress for this long no longer counts as work. */
#define REQUEST_LIFE_MS 4000
/* An open flow without packets is forgotten (it is steered by its token all
 * the same). */
#define IDLE_LIFE_MS 5000
#define CLOSED_LIFE_MS 1000
/* Share of a new opening in the usual time of one. */
#define OPENING_GAIN 0.05
/* Share of a new gap between signs of life in the usual one. */
#define GAP_GAIN 0.05

static bool
counts_as_work(const struct rg_tracked_flow *t)
{
    return t->state == RG_TRACKED_OPENING || t->state == RG_TRACKED_REQUEST;
}

void
rg_flows_set_state(struct rg_tracked_flow *t, enum rg_tracked_flow_state state,
                   uint64_t now_ms)
{
    bool before = counts_as_work(t);

    t->state = (uint8_t)state;
    t->since_ms = now_ms;
    if (before && !counts_as_work(t)) {
        t->endpoint->open_work--;
    }
    if (!before && counts_as_work(t)) {
        t->endpoint->open_work++;
    }
}

static void
hold(struct rg_tracked_flow *t, struct rg_endpoint *endpoint)
{
    t->endpoint = endpoint;
    endpoint->refs++;
    if (counts_as_work(t)) {
        endpoint->open_work++;
    }
}

static void
let_go(struct rg_tracked_flow *t)
{
    t->endpoint->refs--;
    if (counts_as_work(t)) {
        t->endpoint->open_work--;
    }
}

bool
rg_flows_expired(void *ctx, struct rg_tracked_flow *t)
{
    static const uint32_t life_ms[] = {
        [RG_TRACKED_OPENING] = OPENING_LIFE_MS,
        [RG_TRACKED_IDLE] = IDLE_LIFE_MS,
        [RG_TRACKED_REQUEST] = REQUEST_LIFE_MS,
        [RG_TRACKED_CLOSED] = CLOSED_LIFE_MS,
    };
    struct rg_balancer *b = ctx;

    rg_request_tick(b, t);
    if (b->now_ms - t->last_ms < life_ms[t->state]) {
        return false;
    }
    if (counts_as_work(t)) {
        rg_request_log_unanswered(b, t, "forgotten");
    }
    let_go(t);
    for (int i = 0; i < RG_TRACKED_TRIES_MAX; i++) {
        if (t->tried[i]) {
            t->tried[i]->refs--;
        }
    }
    return true;
}

struct rg_tracked_flow *
rg_flows_start(struct rg_balancer *b, const struct rg_flow_id *flow,
               struct rg_endpoint *endpoint)
{
    struct rg_tracked_flow *t = rg_tracked_flows_add(b->tracks, flow);

    if (!t) {
        rg_bal_count(b, RG_METRIC_UNTRACKED);
        return NULL;
    }
    t->since_ms = b->now_ms;
    t->last_ms = b->now_ms;
    t->state = RG_TRACKED_OPENING;
    t->answer_ms = RG_TRACKED_UNANSWERED;
    hold(t, endpoint);
    return t;
}

void
rg_flows_move(struct rg_balancer *b, struct rg_tracked_flow *t,
              struct rg_endpoint *endpoint)
{
    if (endpoint != t->endpoint) {
        rg_bal_count(b, RG_METRIC_OPENINGS_MOVED);
        let_go(t);
        hold(t, endpoint);
    }
    t->last_ms = b->now_ms;
}

/* An upstream has shown life. */
static void
note_life(struct rg_balancer *b)
{
    double gap = (double)(b->now_ms - b->life_ms);

    if (b->life_ms != 0) {
        b->gap_ms += GAP_GAIN * (gap - b->gap_ms);
    }
    b->life_ms = b->now_ms;
}

/* The first packet after an opening: the upstream has answered it. */
static void
note_opened(struct rg_balancer *b, struct rg_tracked_flow *t,
            const struct rg_segment *s)
{
    uint64_t ms = b->now_ms - t->since_ms;

    rg_metrics_observe(&b->tally, RG_METRIC_OPENING_MS, ms);
    b->opening_ms =
        b->opening_ms == 0
            ? (double)ms
            : b->opening_ms + OPENING_GAIN * ((double)ms - b->opening_ms);
    note_life(b);
    rg_endpoint_responded(t->endpoint, b->now_ms);
    rg_bal_note_opening(b, false);
    t->answer_ms = RG_TRACKED_UNANSWERED; /* ports may be used again */
    t->last_ack = s->ack;
    rg_flows_set_state(t, RG_TRACKED_IDLE, b->now_ms);
}

/* An answer came `ms` after its request passed here: as long as an opening
 * takes is the way, the rest was spent at the upstream. */
static void
note_load(struct rg_balancer *b, const struct rg_tracked_flow *t, double ms,
          const struct rg_route *route)
{
    struct rg_admit_answer answer = {
        .waited_ms = fmax(ms - b->opening_ms, 0),
        .total_ms = ms + b->opening_ms,
        .target_ms = route->target_ms,
    };

    if (t->endpoint->service < b->service_count) {
        rg_admit_answered(&b->services[t->endpoint->service].admit, &answer);
    }
}

static void
note_progress(struct rg_balancer *b, struct rg_tracked_flow *t,
              const struct rg_segment *s, const struct rg_route *route)
{
    if ((int32_t)(s->ack - t->last_ack) <= 0) {
        return;
    }
    t->last_ack = s->ack;
    note_life(b);
    if (t->state != RG_TRACKED_REQUEST) {
        rg_endpoint_responded(t->endpoint, b->now_ms);
        return;
    }
    uint64_t ms = b->now_ms - t->since_ms;
    rg_metrics_observe(&b->tally, RG_METRIC_ANSWER_MS, ms);
    rg_endpoint_request_answered(t->endpoint, (double)ms, b->now_ms);
    note_load(b, t, (double)ms, route);
    t->answer_ms = (uint32_t)ms;
    rg_flows_set_state(t, RG_TRACKED_IDLE, b->now_ms);
}

static void
note_data(struct rg_balancer *b, struct rg_tracked_flow *t,
          const struct rg_segment *s, struct rg_route *route)
{
    if (s->len == 0) {
        return;
    }
    if (t->state == RG_TRACKED_REQUEST && s->seq == t->last_seq) {
        if (t->repeats++ == 0) {
            rg_endpoint_request_repeated(t->endpoint, b->now_ms);
        }
        return;
    }
    t->last_seq = s->seq;
    t->repeats = 0;
    if (t->state == RG_TRACKED_IDLE) {
        rg_request_answered(b, t, route); /* the one before */
        t->request_ack = t->last_ack;
        t->answer_ms = RG_TRACKED_UNANSWERED;
        t->overdue = false;
        rg_flows_set_state(t, RG_TRACKED_REQUEST, b->now_ms);
    }
}

/* The caller has closed its side: what it got is complete. */
static void
note_closed(struct rg_balancer *b, struct rg_tracked_flow *t,
            struct rg_route *route)
{
    if (t->state == RG_TRACKED_REQUEST) {
        rg_request_log_unanswered(b, t, "closed by the caller");
    }
    else if (t->state != RG_TRACKED_CLOSED) {
        rg_request_answered(b, t, route);
    }
}

void
rg_flows_update(struct rg_balancer *b, struct rg_tracked_flow *t,
                const struct rg_segment *s, struct rg_route *route)
{
    t->last_ms = b->now_ms;
    if (t->state == RG_TRACKED_OPENING) {
        note_opened(b, t, s);
    }
    note_progress(b, t, s, route);
    note_data(b, t, s, route);
    if (s->fin || s->reset) {
        note_closed(b, t, route);
        rg_flows_set_state(t, RG_TRACKED_CLOSED, b->now_ms);
    }
}
