#include "balance/flow_records.h"

#include "balance/priv.h"

/* Peers are told of a flow once it has been open for this long. Most flows end
 * sooner. */
#define TELL_AFTER_MS 500
/* A flow is not asked for again within this time. */
#define ASK_INTERVAL_MS 100

void
rg_bal_ask_for_flow(struct rg_balancer *b, const struct rg_flow_id *flow,
                    uint32_t seq)
{
    struct rg_flow_sync *sync = &b->flow_sync;

    if (sync->query_count == RG_FLOW_QUERIES_MAX) {
        rg_bal_count(b, RG_METRIC_FLOW_QUERIES_OMITTED);
        return;
    }
    if (rg_bal_note_asked(b, flow, seq, ASK_INTERVAL_MS)) {
        sync->queries[sync->query_count++] = *flow;
    }
}

static bool
is_open(const struct rg_tracked_flow *t)
{
    return t->state == RG_TRACKED_IDLE || t->state == RG_TRACKED_REQUEST;
}

bool
rg_bal_has_record(const struct rg_tracked_flow *t)
{
    return t->proven && !t->resumed && is_open(t);
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

    rg_bal_tell_homes(b, t);
    if (!t->repeated || !rg_bal_has_record(t) || t->told == sync->round ||
        !is_due(b, t))
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

    if (!t || !rg_bal_has_record(t)) {
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

static bool
is_same_flow(const struct rg_tracked_flow *t,
             const struct rg_flow_record *record)
{
    return t->opening_seq == record->opening_seq;
}

/* True if the endpoint of the flow is known here. */
static bool
is_proven(const struct rg_tracked_flow *t, const struct rg_flow_record *record)
{
    return t->proven && is_same_flow(t, record);
}

/* True if the entry is that of an earlier flow with the same ports, which has
 * ended or was only told of. */
static bool
is_replaceable(const struct rg_tracked_flow *t,
               const struct rg_flow_record *record)
{
    return !is_same_flow(t, record) &&
           (t->state == RG_TRACKED_CLOSED || t->packet_ms == 0);
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
    if (record->age_ms >= b->opts.flow_age_ms || (t && is_proven(t, record))) {
        return;
    }
    bool replaces = t && is_replaceable(t, record);
    if (!endpoint || (t && !replaces && !is_same_flow(t, record))) {
        rg_bal_record_not_stored(b, &record->flow);
        return;
    }
    if (t && !replaces) {
        correct_entry(b, t, endpoint);
    }
    else {
        t = rg_flows_adopt(b, t, &record->flow, record->opening_seq, endpoint);
    }
    if (!t) {
        rg_bal_record_not_stored(b, &record->flow);
        return;
    }
    t->opened_ms = now_ms - record->age_ms;
    t->last_ack = record->ack;
    t->repeated = true;
    t->proven = true;
    t->told = b->flow_sync.round; /* its sender has told the others */
    t->told_homes = true;
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
