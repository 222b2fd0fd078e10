/* Planned leave: records that no other instance is known to hold are sent to
 * the instance that owns them from now on, paced, and repeated until they are
 * acknowledged. The instance goes on forwarding meanwhile. */
#include <string.h>

#include "core/priv.h"

/* An unacknowledged handover is sent again after this time. */
#define RESEND_MS 200
/* Bytes that may be sent at once after a lull. */
#define BURST_BYTES 4000
/* Upper bound of one message's size, for pacing. */
#define MESSAGE_BYTES 1000
/* Records looked at in one tick. */
#define SCAN_PER_TICK 20000

static bool
peer_holds(const struct rg_core *core, const struct rg_flow *f)
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
free_window(struct rg_core *core)
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
send_window(struct rg_core *core, struct rg_handover_batch *w)
{
    struct rg_msg msg = {.kind = RG_MSG_HANDOVER};
    struct rg_msg_handover *h = &msg.u.handover;

    h->seq = w->seq;
    h->from = core->settings->name;
    for (uint16_t i = 0; i < w->count; i++) {
        uint64_t hash = rg_flow_hash(&w->keys[i], core->settings->hash_seed);
        const struct rg_flow *f = rg_flow_find(core->flows, &w->keys[i], hash);
        if (f && is_live(f)) {
            fill_record(core, f, &h->records[h->records_count++]);
        }
    }
    if (h->records_count == 0) {
        w->used = false;
        return;
    }
    w->sent_ms = core->now_ms;
    core->leave.credit -= MESSAGE_BYTES;
    rg_members_send(core->members, &rg_members_at(core->members, w->to)->addr,
                    &msg);
}

/* Gathers the next records with a common new owner. False at the end of the
 * table. */
static bool
fill_window(struct rg_core *core, struct rg_handover_batch *w)
{
    uint32_t at;
    uint32_t scanned = 0;
    struct rg_flow *f;

    memset(w, 0, sizeof(*w));
    w->to = RG_RANK_NONE;
    while ((f = rg_flow_at(core->flows, core->leave.cursor, &at)) != NULL) {
        if (is_live(f) && !peer_holds(core, f)) {
            uint16_t to = new_owner(core, f);
            if (w->to == RG_RANK_NONE) {
                w->to = to;
            }
            if (to != w->to || w->count == RG_HANDOVER_BATCH_RECORDS) {
                return true;
            }
            if (to != RG_RANK_NONE) {
                w->keys[w->count++] = f->key;
            }
        }
        core->leave.cursor = at + 1;
        if (++scanned == SCAN_PER_TICK) {
            return true;
        }
    }
    return false;
}

static void
earn_credit(struct rg_core *core)
{
    struct rg_leave *l = &core->leave;
    uint32_t ms = core->now_ms - l->credit_ms;

    l->credit += (int64_t)core->settings->handover_bytes_per_s * ms / 1000;
    if (l->credit > BURST_BYTES) {
        l->credit = BURST_BYTES;
    }
    l->credit_ms = core->now_ms;
}

static void
resend(struct rg_core *core)
{
    for (int i = 0; i < RG_HANDOVER_WINDOW_BATCHES; i++) {
        struct rg_handover_batch *w = &core->leave.window[i];
        if (!w->used || core->now_ms - w->sent_ms < RESEND_MS) {
            continue;
        }
        if (rg_members_at(core->members, w->to)->state != RG_MEMBER_ALIVE) {
            w->used = false; /* the next pass finds the records a new owner */
            core->leave.more = true;
            continue;
        }
        if (core->leave.credit > 0) {
            send_window(core, w);
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
enter(struct rg_core *core, enum rg_leave_phase phase)
{
    core->leave.phase = (uint8_t)phase;
    core->leave.phase_ms = core->now_ms;
}

/* Sends what the pace allows; at the end of a pass in which nothing had to be
 * sent, handing over is done. */
static void
hand_over(struct rg_core *core)
{
    struct rg_leave *l = &core->leave;

    resend(core);
    while (l->credit > 0) {
        struct rg_handover_batch *w = free_window(core);
        if (!w) {
            return;
        }
        bool rest = fill_window(core, w);
        if (w->count > 0) {
            w->used = true;
            w->seq = ++l->seq;
            l->more = true;
            send_window(core, w);
        }
        if (rest && w->count == 0) {
            return; /* scan limit of this tick */
        }
        if (!rest) {
            break;
        }
    }
    uint32_t at;
    if (rg_flow_at(core->flows, l->cursor, &at) || !window_empty(core)) {
        return;
    }
    l->cursor = 0;
    if (!l->more && l->phase == RG_LEAVE_HANDOVER) {
        enter(core, RG_LEAVE_LINGER);
    }
    l->more = false;
}

static void
finish(struct rg_core *core)
{
    enter(core, RG_LEAVE_DONE);
    rg_members_send_left(core->members);
    rg_actions_add(&core->actions, RG_ACTION_LEFT);
}

void
rg_handover_start(struct rg_core *core)
{
    core->leave.started_ms = core->now_ms;
    core->leave.credit_ms = core->now_ms;
    core->leave.credit = BURST_BYTES;
    enter(core, RG_LEAVE_HANDOVER);
}

void
rg_handover_tick(struct rg_core *core)
{
    struct rg_leave *l = &core->leave;
    const struct rg_settings *s = core->settings;

    if (l->phase == RG_LEAVE_NONE || l->phase == RG_LEAVE_DONE) {
        return;
    }
    earn_credit(core);
    /* Also while lingering: a peer may have started to leave meanwhile. */
    hand_over(core);
    bool lingered = l->phase == RG_LEAVE_LINGER && window_empty(core) &&
                    core->now_ms - l->phase_ms >= s->linger_ms;
    if (lingered || core->now_ms - l->started_ms >= s->drain_ms) {
        finish(core);
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
        struct rg_handover_batch *w = &core->leave.window[i];
        if (!w->used || w->seq != seq) {
            continue;
        }
        w->used = false;
        core->counters.handover_sent += w->count;
        for (uint16_t k = 0; k < w->count; k++) {
            uint64_t hash =
                rg_flow_hash(&w->keys[k], core->settings->hash_seed);
            struct rg_flow *f = rg_flow_find(core->flows, &w->keys[k], hash);
            if (f) {
                f->peer = w->to;
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
