/* Handover of flow records by an instance that leaves. Records that no other
 * instance is known to hold are sent to their new owners, at a limited rate,
 * and sent again until they are acknowledged. The leaving instance keeps
 * forwarding packets meanwhile. */
#include <string.h>

#include "core/priv.h"

#define RESEND_INTERVAL_MS 200
/* Upper bound of the credit that accumulates while nothing is sent. */
#define BURST_BYTES 4000
/* Credit taken for each message: an upper bound of its size. */
#define MESSAGE_BYTES_MAX 1000
#define RECORDS_SCANNED_PER_TICK 20000

static bool
other_holder_is_alive(const struct rg_core *core, const struct rg_flow *f)
{
    if (f->peer == RG_FLOW_NO_PEER) {
        return false;
    }
    return rg_members_at(core->members, f->peer)->state == RG_MEMBER_ALIVE;
}

static bool
is_live(const struct rg_flow *f)
{
    return f->state == RG_FLOW_OPENING || f->state == RG_FLOW_ESTABLISHED;
}

static uint16_t
new_owner(const struct rg_core *core, const struct rg_flow *f)
{
    uint64_t hash = rg_flow_hash(&f->key, core->settings->hash_seed);

    return rg_steer_first_alive(core, rg_rank_bucket(hash), 0,
                                rg_members_self(core->members));
}

static struct rg_handover_batch *
find_unused_batch(struct rg_core *core)
{
    for (int i = 0; i < RG_HANDOVER_WINDOW_BATCHES; i++) {
        if (!core->leave.window[i].used) {
            return &core->leave.window[i];
        }
    }
    return NULL;
}

static void
fill_record(struct rg_core *core, const struct rg_flow *f,
            struct rg_msg_record *out)
{
    const struct rg_upstream *up =
        rg_upstreams_at(core->upstreams, f->upstream);

    memcpy(out->key.b, &f->key, sizeof(f->key));
    out->key.len = sizeof(f->key);
    out->upstream = up->id;
    out->addr = up->addr;
    out->state = (uint8_t)f->state;
    out->isn = f->isn;
    out->idle_ms = core->now_ms - f->seen_ms;
}

static void
send_batch(struct rg_core *core, struct rg_handover_batch *b)
{
    struct rg_msg msg = {.kind = RG_MSG_HANDOVER};
    struct rg_msg_handover *h = &msg.u.handover;

    h->seq = b->seq;
    h->from = core->settings->name;
    for (uint16_t i = 0; i < b->count; i++) {
        uint64_t hash = rg_flow_hash(&b->keys[i], core->settings->hash_seed);
        const struct rg_flow *f = rg_flow_find(core->flows, &b->keys[i], hash);
        if (f && is_live(f)) {
            fill_record(core, f, &h->records[h->records_count++]);
        }
    }
    if (h->records_count == 0) {
        b->used = false;
        return;
    }
    b->sent_ms = core->now_ms;
    core->leave.credit_bytes -= MESSAGE_BYTES_MAX;
    rg_members_send(core->members, &rg_members_at(core->members, b->to)->addr,
                    &msg);
}

/* Collects the next records that have the same new owner. Returns false at the
 * end of the flow table. */
static bool
fill_batch(struct rg_core *core, struct rg_handover_batch *b)
{
    uint32_t at;
    uint32_t scanned = 0;
    struct rg_flow *f;

    memset(b, 0, sizeof(*b));
    b->to = RG_RANK_NONE;
    while ((f = rg_flow_at(core->flows, core->leave.cursor, &at)) != NULL) {
        if (is_live(f) && !other_holder_is_alive(core, f)) {
            uint16_t to = new_owner(core, f);
            if (b->to == RG_RANK_NONE) {
                b->to = to;
            }
            if (to != b->to || b->count == RG_HANDOVER_BATCH_RECORDS) {
                return true;
            }
            if (to != RG_RANK_NONE) {
                b->keys[b->count++] = f->key;
            }
        }
        core->leave.cursor = at + 1;
        if (++scanned == RECORDS_SCANNED_PER_TICK) {
            return true;
        }
    }
    return false;
}

static void
refill_credit(struct rg_core *core)
{
    struct rg_leave *l = &core->leave;
    uint32_t ms = core->now_ms - l->credit_updated_ms;

    l->credit_bytes +=
        (int64_t)core->settings->handover_bytes_per_s * ms / 1000;
    if (l->credit_bytes > BURST_BYTES) {
        l->credit_bytes = BURST_BYTES;
    }
    l->credit_updated_ms = core->now_ms;
}

static void
resend(struct rg_core *core)
{
    for (int i = 0; i < RG_HANDOVER_WINDOW_BATCHES; i++) {
        struct rg_handover_batch *b = &core->leave.window[i];
        if (!b->used || core->now_ms - b->sent_ms < RESEND_INTERVAL_MS) {
            continue;
        }
        if (rg_members_at(core->members, b->to)->state != RG_MEMBER_ALIVE) {
            b->used = false; /* the next pass finds another new owner */
            core->leave.sent_in_pass = true;
            continue;
        }
        if (core->leave.credit_bytes > 0) {
            send_batch(core, b);
        }
    }
}

static bool
window_empty(const struct rg_core *core)
{
    for (int i = 0; i < RG_HANDOVER_WINDOW_BATCHES; i++) {
        if (core->leave.window[i].used) {
            return false;
        }
    }
    return true;
}

static void
enter_phase(struct rg_core *core, enum rg_leave_phase phase)
{
    core->leave.phase = (uint8_t)phase;
    core->leave.phase_started_ms = core->now_ms;
}

/* Sends as many batches as the rate limit and the window allow. The handover
 * is complete after a pass over the table in which nothing had to be sent. */
static void
hand_over(struct rg_core *core)
{
    struct rg_leave *l = &core->leave;

    resend(core);
    while (l->credit_bytes > 0) {
        struct rg_handover_batch *b = find_unused_batch(core);
        if (!b) {
            return;
        }
        bool more_records = fill_batch(core, b);
        if (b->count > 0) {
            b->used = true;
            b->seq = ++l->seq;
            l->sent_in_pass = true;
            send_batch(core, b);
        }
        if (more_records && b->count == 0) {
            return; /* the limit of records scanned in a tick */
        }
        if (!more_records) {
            break;
        }
    }
    uint32_t at;
    if (rg_flow_at(core->flows, l->cursor, &at) || !window_empty(core)) {
        return;
    }
    l->cursor = 0;
    if (!l->sent_in_pass && l->phase == RG_LEAVE_HANDOVER) {
        enter_phase(core, RG_LEAVE_LINGER);
    }
    l->sent_in_pass = false;
}

static void
finish_leave(struct rg_core *core)
{
    enter_phase(core, RG_LEAVE_DONE);
    rg_members_send_left(core->members);
    rg_actions_add(&core->actions, RG_ACTION_LEFT);
}

void
rg_handover_start(struct rg_core *core)
{
    core->leave.started_ms = core->now_ms;
    core->leave.credit_updated_ms = core->now_ms;
    core->leave.credit_bytes = BURST_BYTES;
    enter_phase(core, RG_LEAVE_HANDOVER);
}

void
rg_handover_tick(struct rg_core *core)
{
    struct rg_leave *l = &core->leave;
    const struct rg_settings *s = core->settings;

    if (l->phase == RG_LEAVE_NONE || l->phase == RG_LEAVE_DONE) {
        return;
    }
    refill_credit(core);
    /* Also while lingering, since a peer that holds records may leave too. */
    hand_over(core);
    bool lingered = l->phase == RG_LEAVE_LINGER && window_empty(core) &&
                    core->now_ms - l->phase_started_ms >= s->linger_ms;
    if (lingered || core->now_ms - l->started_ms >= s->drain_ms) {
        finish_leave(core);
    }
}

static void
store_record(struct rg_core *core, const struct rg_msg_record *r)
{
    struct rg_flow_key key;

    if (r->key.len != sizeof(key) || r->state > RG_FLOW_ESTABLISHED ||
        !core->config)
    {
        return;
    }
    memcpy(&key, r->key.b, sizeof(key));
    uint64_t hash = rg_flow_hash(&key, core->settings->hash_seed);
    const struct rg_config_service *service =
        rg_config_find_service(core->config, key.dst, key.dport, key.proto);
    if (!service || rg_flow_find(core->flows, &key, hash)) {
        return;
    }
    uint32_t slot = rg_upstreams_learn(core->upstreams, r->upstream, &r->addr,
                                       service->id);
    if (slot == RG_UPSTREAM_NONE) {
        return;
    }
    struct rg_flow *f = rg_flow_insert(
        core->flows, &key, hash, (enum rg_flow_state)r->state, core->now_ms);
    if (!f) {
        return;
    }
    f->isn = r->isn;
    f->upstream = slot;
    rg_upstreams_ref(core->upstreams, slot);
    rg_steer_set_owner(core, f, true);
    core->counters.handover_stored++;
}

static void
on_ack(struct rg_core *core, uint32_t seq)
{
    for (int i = 0; i < RG_HANDOVER_WINDOW_BATCHES; i++) {
        struct rg_handover_batch *b = &core->leave.window[i];
        if (!b->used || b->seq != seq) {
            continue;
        }
        b->used = false;
        core->counters.handover_sent += b->count;
        for (uint16_t k = 0; k < b->count; k++) {
            uint64_t hash =
                rg_flow_hash(&b->keys[k], core->settings->hash_seed);
            struct rg_flow *f = rg_flow_find(core->flows, &b->keys[k], hash);
            if (f) {
                f->peer = b->to;
                rg_steer_set_owner(core, f, false);
            }
        }
    }
}

bool
rg_handover_handle_message(struct rg_core *core, const struct rg_msg *msg,
                           const struct rg_addr *from)
{
    if (msg->kind == RG_MSG_HANDOVER_ACK) {
        on_ack(core, msg->u.handover_ack.seq);
        return true;
    }
    if (msg->kind != RG_MSG_HANDOVER) {
        return false;
    }
    for (uint16_t i = 0; i < msg->u.handover.records_count; i++) {
        store_record(core, &msg->u.handover.records[i]);
    }
    struct rg_msg ack = {.kind = RG_MSG_HANDOVER_ACK};
    ack.u.handover_ack.seq = msg->u.handover.seq;
    rg_members_send(core->members, from, &ack);
    return true;
}
