#include "balance/flow_records.h"

#include "balance/priv.h"

/* Peers are told of a flow once it has been open for this long. Most flows end
 * sooner. */
#define TELL_AFTER_MS 500
/* A flow is not asked for again within this time. */
#define ASK_INTERVAL_MS 100

/* True if the flow was asked for lately; it then counts as asked for now. */
static bool
was_asked(struct rg_balancer *b, const struct rg_flow_id *flow)
{
    uint32_t hash = rg_flow_hash(flow);
    struct rg_flow_asked *asked =
        &b->flow_sync.asked[hash % RG_FLOW_ASKED_MAX];

    if (asked->hash == hash && b->now_ms - asked->at_ms < ASK_INTERVAL_MS) {
        return true;
    }
    *asked = (struct rg_flow_asked){.hash = hash, .at_ms = b->now_ms};
    return false;
}

void
rg_bal_ask_for_flow(struct rg_balancer *b, const struct rg_flow_id *flow)
{
    struct rg_flow_sync *sync = &b->flow_sync;

    if (sync->query_count == RG_FLOW_QUERIES_MAX) {
        rg_bal_count(b, RG_METRIC_FLOW_QUERIES_OMITTED);
        return;
    }
    if (!was_asked(b, flow)) {
        sync->queries[sync->query_count++] = *flow;
    }
}

static bool
is_open(const struct rg_tracked_flow *t)
{
    return t->state == RG_TRACKED_IDLE || t->state == RG_TRACKED_REQUEST;
}

/* Before a planned stop, peers are told of all flows at once. */
static bool
is_due(const struct rg_balancer *b, const struct rg_tracked_flow *t)
{
    return b->flow_sync.round != RG_FLOW_FIRST_ROUND ||
           b->now_ms - t->opened_ms >= TELL_AFTER_MS;
}

void
rg_bal_collect_flow_record(struct rg_balancer *b, struct rg_tracked_flow *t)
{
    struct rg_flow_sync *sync = &b->flow_sync;

    if (!t->repeated || !t->proven || t->resumed || !is_open(t) ||
        t->told == sync->round || !is_due(b, t))
    {
        return;
    }
    if (sync->record_count == RG_FLOW_RECORDS_MAX) {
        rg_bal_count(b, RG_METRIC_FLOW_RECORDS_DELAYED);
        return;
    }
    t->told = sync->round;
    sync->records[sync->record_count++] = t->flow;
}

bool
rg_balancer_find_flow_record(const struct rg_balancer *b,
                             const struct rg_flow_id *flow,
                             struct rg_flow_record *out)
{
    const struct rg_tracked_flow *t = rg_tracked_flows_find(b->flows, flow);

    if (!t || !t->proven || t->resumed || !is_open(t)) {
        return false;
    }
    *out = (struct rg_flow_record){
        .flow = t->flow,
        .token = t->endpoint->token,
        .opening_seq = t->opening_seq,
        .ack = t->last_ack,
        .age_ms = (uint32_t)(b->now_ms - t->opened_ms),
    };
    return true;
}

size_t
rg_balancer_next_flow_records(struct rg_balancer *b,
                              struct rg_flow_record *out, size_t max)
{
    struct rg_flow_sync *sync = &b->flow_sync;
    size_t count = 0;

    while (sync->record_count > 0 && count < max) {
        const struct rg_flow_id *flow = &sync->records[--sync->record_count];
        count += rg_balancer_find_flow_record(b, flow, &out[count]);
    }
    return count;
}

void
rg_balancer_tell_flows_again(struct rg_balancer *b)
{
    if (++b->flow_sync.round == RG_FLOW_NOT_TOLD) {
        b->flow_sync.round++;
    }
}

size_t
rg_balancer_next_flow_queries(struct rg_balancer *b, struct rg_flow_id *out,
                              size_t max)
{
    struct rg_flow_sync *sync = &b->flow_sync;
    size_t count = 0;

    while (sync->query_count > 0 && count < max) {
        out[count++] = sync->queries[--sync->query_count];
    }
    return count;
}

/* True if what is known of the flow here must not be replaced: it is proven,
 * or the entry is that of another flow with the same ports. */
static bool
is_settled(const struct rg_tracked_flow *t,
           const struct rg_flow_record *record)
{
    return t->proven || t->opening_seq != record->opening_seq;
}

/* Corrects an entry that this instance has for the flow without knowing its
 * endpoint, for example since a late copy of the opening came here. */
static void
correct_entry(struct rg_balancer *b, struct rg_tracked_flow *t,
              struct rg_endpoint *endpoint)
{
    rg_flows_move(b, t, endpoint);
    if (t->state == RG_TRACKED_OPENING) {
        rg_flows_set_state(t, RG_TRACKED_IDLE, b->now_ms);
    }
}

void
rg_balancer_add_flow_record(struct rg_balancer *b,
                            const struct rg_flow_record *record,
                            uint64_t now_ms)
{
    struct rg_endpoint *endpoint = rg_pool_by_token(b->pool, record->token);
    struct rg_tracked_flow *t = rg_tracked_flows_find(b->flows, &record->flow);

    b->now_ms = now_ms;
    rg_bal_count(b, RG_METRIC_FLOW_RECORDS_RECEIVED);
    if (!endpoint || record->age_ms >= b->opts.flow_age_ms ||
        (t && is_settled(t, record)))
    {
        return;
    }
    if (t) {
        correct_entry(b, t, endpoint);
    }
    else {
        t = rg_flows_adopt(b, NULL, &record->flow, record->opening_seq,
                           endpoint);
    }
    if (!t) {
        return;
    }
    t->opened_ms = now_ms - record->age_ms;
    t->last_ack = record->ack;
    t->repeated = true;
    t->proven = true;
    t->told = b->flow_sync.round; /* its sender has told the others */
    rg_bal_log_flow_record(b, t);
}

uint64_t
rg_balancer_flow_seen_ms(const struct rg_balancer *b,
                         const struct rg_flow_id *flow)
{
    const struct rg_tracked_flow *t = rg_tracked_flows_find(b->flows, flow);
    uint64_t untracked_ms = rg_bal_untracked_seen_ms(b, flow);

    /* Late copies of the opening say nothing of where the flow is. */
    return t && t->packet_ms > untracked_ms ? t->packet_ms : untracked_ms;
}

void
rg_balancer_add_flow_sighting(struct rg_balancer *b,
                              const struct rg_flow_id *flow, uint64_t at_ms,
                              uint64_t now_ms)
{
    struct rg_tracked_flow *t = rg_tracked_flows_find(b->flows, flow);

    b->now_ms = now_ms;
    if (!t || t->state != RG_TRACKED_REQUEST || at_ms <= t->last_ms) {
        return;
    }
    rg_request_log_unanswered(b, t, "moved");
    rg_flows_set_state(t, RG_TRACKED_IDLE, now_ms);
}
