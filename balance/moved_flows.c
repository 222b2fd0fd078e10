#include "balance/moved_flows.h"

#include "balance/priv.h"

/* A copy of an opening is at most this many bytes before the packets of its
 * flow. */
#define COPY_DISTANCE_MAX (1 << 20)

static struct rg_moved_seen *
slot_of(struct rg_moved_flows *m, const struct rg_flow_id *flow)
{
    return &m->seen[rg_flow_hash(flow) % RG_MOVED_SEEN_MAX];
}

static bool
is_live(const struct rg_moved_seen *seen, uint64_t now_ms)
{
    return seen->at_ms != 0 &&
           (uint32_t)now_ms - seen->at_ms < RG_TRACKED_IDLE_TIMEOUT_MS;
}

/* True if the entry is that of the packet's flow, and not of an earlier one
 * with the same ports. */
static bool
is_entry_of(const struct rg_moved_seen *seen, const struct rg_segment *s,
            uint64_t now_ms)
{
    return is_live(seen, now_ms) && seen->hash == rg_flow_hash(&s->flow) &&
           rg_seq_is_near(s->seq, seen->seq);
}

/* True for the first packet of an untracked flow. False as well if another
 * flow takes its place in the table, and it may have been seen before. */
static bool
note_seen(struct rg_balancer *b, const struct rg_segment *s)
{
    struct rg_moved_seen *seen = slot_of(&b->moved, &s->flow);
    uint32_t hash = rg_flow_hash(&s->flow);
    bool live = is_live(seen, b->now_ms);
    uint32_t now_ms = (uint32_t)b->now_ms;

    rg_bal_tell_arrival(b, s);
    if (!live || seen->hash == hash) {
        *seen = (struct rg_moved_seen){
            .hash = hash,
            .at_ms = now_ms,
            .since_ms =
                is_entry_of(seen, s, b->now_ms) ? seen->since_ms : now_ms,
            .seq = s->seq,
        };
    }
    return !live;
}

void
rg_bal_note_open(struct rg_balancer *b, const struct rg_segment *s)
{
    note_seen(b, s);
}

uint64_t
rg_bal_untracked_seen_ms(const struct rg_balancer *b,
                         const struct rg_flow_id *flow)
{
    uint32_t hash = rg_flow_hash(flow);
    const struct rg_moved_seen *seen =
        &b->moved.seen[hash % RG_MOVED_SEEN_MAX];

    if (seen->hash != hash || !is_live(seen, b->now_ms)) {
        return 0;
    }
    return b->now_ms - ((uint32_t)b->now_ms - seen->at_ms);
}

uint64_t
rg_bal_untracked_since_ms(const struct rg_balancer *b,
                          const struct rg_segment *s)
{
    const struct rg_moved_seen *seen =
        &b->moved.seen[rg_flow_hash(&s->flow) % RG_MOVED_SEEN_MAX];

    if (!is_entry_of(seen, s, b->now_ms)) {
        return 0;
    }
    return b->now_ms - ((uint32_t)b->now_ms - seen->since_ms);
}

bool
rg_bal_was_seen_open(struct rg_balancer *b, const struct rg_segment *opening)
{
    const struct rg_moved_seen *seen = slot_of(&b->moved, &opening->flow);
    uint32_t distance = seen->seq - opening->seq;

    return seen->hash == rg_flow_hash(&opening->flow) &&
           is_live(seen, b->now_ms) && distance > 0 &&
           distance <= COPY_DISTANCE_MAX;
}

void
rg_bal_note_untracked(struct rg_balancer *b, const struct rg_segment *s,
                      const struct rg_endpoint *endpoint)
{
    struct rg_moved_flows *m = &b->moved;
    bool first = note_seen(b, s);
    bool acknowledges = s->len == 0 && !s->fin && !s->reset;

    if (first) {
        rg_bal_log_untracked(b, s, endpoint);
    }
    if (!first || !acknowledges || b->now_ms < m->ignore_until_ms) {
        return;
    }
    m->arrived_ms[m->next] = b->now_ms;
    m->next = (m->next + 1) % RG_MOVED_MIN_FLOWS;
    uint64_t oldest_ms = m->arrived_ms[m->next];
    if (oldest_ms == 0 || b->now_ms - oldest_ms > RG_MOVED_WINDOW_MS) {
        return;
    }
    if (b->now_ms - m->last_ms > RG_MOVED_WINDOW_MS) {
        rg_log_event(b->opts.log, RG_LOG_NOTICE, "FLOWS_MOVED",
                     "flows=\"%d\" within_ms=\"%llu\"", RG_MOVED_MIN_FLOWS,
                     (unsigned long long)(b->now_ms - oldest_ms));
    }
    m->last_ms = b->now_ms;
    m->unsent = true;
}

void
rg_bal_ignore_untracked(struct rg_balancer *b, uint64_t ms)
{
    uint64_t until_ms = b->now_ms + ms;

    if (until_ms > b->moved.ignore_until_ms) {
        b->moved.ignore_until_ms = until_ms;
    }
}

bool
rg_bal_may_have_missed_packets(const struct rg_balancer *b,
                               const struct rg_tracked_flow *t)
{
    return t->last_ms <= b->moved.last_ms || t->since_ms <= b->paused_ms;
}

uint64_t
rg_balancer_take_flows_moved(struct rg_balancer *b)
{
    b->moved.unsent = false;
    return b->moved.last_ms;
}

bool
rg_balancer_has_unsent_move(const struct rg_balancer *b)
{
    /* If no peer is known here, it remains unsent. */
    return b->moved.unsent &&
           b->now_ms - b->moved.last_ms < RG_OUTCOME_ROW_LIFETIME_MS;
}

void
rg_balancer_add_reported_move(struct rg_balancer *b, uint64_t at_ms,
                              uint64_t now_ms)
{
    if (at_ms <= now_ms && at_ms > b->moved.last_ms) {
        b->moved.last_ms = at_ms;
    }
}
