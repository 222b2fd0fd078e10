#include "core/member_priv.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "config/config.h"

static void
request_view(struct rg_members *m, uint16_t slot, uint32_t now_ms)
{
    struct rg_member *e = &m->slots[slot];
    struct rg_msg msg = {.kind = RG_MSG_VIEW_REQUEST};

    if (now_ms - e->view_requested_ms < VIEW_REQUEST_INTERVAL_MS) {
        return;
    }
    e->view_requested_ms = now_ms;
    msg.u.view_request.from = rg_members_own_entry(m);
    rg_members_send(m, &e->addr, &msg);
}

/* Handles a member's list. It completes the join only if the sender has joined
 * itself: two instances that start at the same time would otherwise take each
 * other for the whole group. */
static void
on_view(struct rg_members *m, const struct rg_msg_view *v, uint32_t now_ms)
{
    for (uint16_t i = 0; i < v->updates_count; i++) {
        rg_member_apply_update(m, &v->updates[i], now_ms);
    }
    uint16_t slot = rg_member_find_latest(
        m, rg_identity(rg_name_str(&v->from.name), rg_str_of("")));
    if (slot != RG_MEMBER_NONE) {
        m->slots[slot].joining = !v->joined;
    }
    if (v->joined && v->last) {
        rg_member_set_joined(m, now_ms);
    }
}

/* Handles what every ping and ack carries: the sender's entry, generation and
 * list digest, and piggybacked updates. */
void
rg_member_apply_gossip(struct rg_members *m, const struct rg_msg_update *from,
                       uint64_t generation, uint64_t view,
                       const struct rg_msg_update *updates, uint16_t count,
                       uint32_t now_ms)
{
    m->stale = false;
    rg_member_apply_update(m, from, now_ms);
    for (uint16_t i = 0; i < count; i++) {
        rg_member_apply_update(m, &updates[i], now_ms);
    }
    uint16_t slot = rg_member_find_latest(
        m, rg_identity(rg_name_str(&from->name), rg_str_of("")));
    if (slot == RG_MEMBER_NONE || slot == m->self) {
        return;
    }
    /* An instance that has not joined needs a list even if it lacks nothing.
     */
    if (view != m->digest || !m->joined) {
        request_view(m, slot, now_ms);
    }
    m->opts.on_generation(m->opts.ctx, &from->addr, generation);
}

void
rg_member_on_ack(struct rg_members *m, const struct rg_msg_ack *a,
                 uint32_t now_ms)
{
    if (m->probe.slot != RG_MEMBER_NONE && a->seq == m->probe.seq) {
        rg_member_set_reachable(m, m->probe.slot, true);
        m->probe.slot = RG_MEMBER_NONE;
    }
    for (uint32_t i = 0; i < RELAYS_MAX; i++) {
        struct rg_relayed_ping *r = &m->relays[i];
        if (r->ping_seq == a->seq && a->seq != 0) {
            struct rg_msg msg = {.kind = RG_MSG_RELAYED_ACK};
            msg.u.relayed_ack.seq = r->request_seq;
            msg.u.relayed_ack.target = a->from;
            rg_members_send(m, &r->requester, &msg);
            r->ping_seq = 0;
        }
    }
    rg_member_apply_gossip(m, &a->from, a->generation, a->view, a->updates,
                           a->updates_count, now_ms);
}

void
rg_member_on_ping_request(struct rg_members *m,
                          const struct rg_msg_ping_request *q)
{
    uint16_t slot = rg_member_find_latest(
        m, rg_identity(rg_name_str(&q->target), rg_str_of("")));

    if (slot == RG_MEMBER_NONE) {
        return;
    }
    struct rg_relayed_ping *r = &m->relays[m->next_relay++ % RELAYS_MAX];
    r->requester = q->from.addr;
    r->request_seq = q->seq;
    r->ping_seq = ++m->seq;
    rg_member_send_ping(m, &m->slots[slot].addr, r->ping_seq, &m->slots[slot]);
}

struct rg_members *
rg_members_create(const struct rg_members_opts *opts)
{
    struct rg_members *m = rg_calloc(1, sizeof(*m));

    m->opts = *opts;
    m->log = *opts->log;
    m->log.module = "member";
    m->probe.slot = RG_MEMBER_NONE;
    struct rg_member *e = &m->slots[0];
    e->used = true;
    e->name = opts->name;
    e->id = rg_identity(rg_name_str(&opts->name), rg_str_of(""));
    e->addr = opts->addr;
    e->incarnation = opts->incarnation;
    m->slot_count = 1;
    rg_member_update_digest(m);
    return m;
}

void
rg_members_destroy(struct rg_members *m)
{
    free(m);
}

void
rg_members_tick(struct rg_members *m, uint32_t now_ms)
{
    rg_member_detect_pause(m, now_ms);
    rg_member_expire_suspects(m, now_ms);
    if (m->missing > 0) {
        rg_member_count_missing(m, now_ms);
    }
    if (!m->joined) {
        rg_member_try_join(m, now_ms);
    }
    if (m->probe.slot != RG_MEMBER_NONE && !m->probe.indirect &&
        now_ms - m->probe.sent_ms >= m->opts.ack_ms)
    {
        rg_member_probe_indirectly(m);
    }
    if ((int32_t)(now_ms - m->next_probe_ms) >= 0) {
        rg_member_end_probe(m, now_ms);
        rg_member_start_probe(m, now_ms);
        m->next_probe_ms = now_ms + m->opts.probe_ms;
    }
}

bool
rg_members_handle_message(struct rg_members *m, const struct rg_msg *msg,
                          const struct rg_addr *from, uint32_t now_ms)
{
    switch (msg->kind) {
    case RG_MSG_PING:
        rg_member_apply_gossip(m, &msg->u.ping.from, msg->u.ping.generation,
                               msg->u.ping.view, msg->u.ping.updates,
                               msg->u.ping.updates_count, now_ms);
        rg_member_send_ack(m, from, msg->u.ping.seq);
        return true;
    case RG_MSG_ACK:
        rg_member_on_ack(m, &msg->u.ack, now_ms);
        return true;
    case RG_MSG_PING_REQUEST:
        rg_member_on_ping_request(m, &msg->u.ping_request);
        return true;
    case RG_MSG_RELAYED_ACK:
        m->probe.relayed |= msg->u.relayed_ack.seq == m->probe.seq;
        rg_member_apply_update(m, &msg->u.relayed_ack.target, now_ms);
        return true;
    case RG_MSG_VIEW_REQUEST:
        rg_member_apply_update(m, &msg->u.view_request.from, now_ms);
        rg_member_send_view(m, from);
        return true;
    case RG_MSG_VIEW:
        on_view(m, &msg->u.view, now_ms);
        return true;
    default:
        return false;
    }
}

static bool
is_listed(const struct rg_members *m, const struct rg_addr *a)
{
    for (size_t i = 0; i < m->listed_count; i++) {
        if (rg_addr_eq(&m->listed[i], a)) {
            return true;
        }
    }
    return false;
}

void
rg_members_set_listed(struct rg_members *m, const struct rg_addr *addrs,
                      size_t count)
{
    m->listed_count = count < LISTED_MAX ? count : LISTED_MAX;
    if (m->listed_count > 0) {
        memcpy(m->listed, addrs, m->listed_count * sizeof(*addrs));
    }
    for (uint16_t i = 0; i < m->slot_count; i++) {
        struct rg_member *e = &m->slots[i];
        e->failed = e->failed && (count == 0 || is_listed(m, &e->addr));
    }
}

void
rg_members_set_generation(struct rg_members *m, uint64_t generation)
{
    m->generation = generation;
}

void
rg_members_leave(struct rg_members *m, uint32_t now_ms)
{
    struct rg_member *self = &m->slots[m->self];

    rg_member_set_state(m, m->self, RG_MEMBER_LEAVING, self->incarnation + 1,
                        now_ms);
    for (uint16_t i = 0; i < m->slot_count; i++) {
        const struct rg_member *e = &m->slots[i];
        if (i != m->self && e->used && rg_member_is_ranked(e->state)) {
            rg_member_send_ping(m, &e->addr, ++m->seq, e);
        }
    }
}

void
rg_members_send_left(struct rg_members *m)
{
    struct rg_msg msg = {.kind = RG_MSG_VIEW};

    /* Not a complete list, but an update about this instance only. */
    msg.u.view.from = rg_members_own_entry(m);
    msg.u.view.joined = m->joined;
    msg.u.view.updates_count = 1;
    msg.u.view.updates[0] = msg.u.view.from;
    msg.u.view.updates[0].state = RG_MEMBER_DEAD;
    for (uint16_t i = 0; i < m->slot_count; i++) {
        const struct rg_member *e = &m->slots[i];
        if (i != m->self && e->used && e->state != RG_MEMBER_DEAD) {
            rg_members_send(m, &e->addr, &msg);
        }
    }
}

bool
rg_members_joined(const struct rg_members *m)
{
    return m->joined;
}

bool
rg_members_stale(const struct rg_members *m)
{
    return m->stale;
}

uint16_t
rg_members_self(const struct rg_members *m)
{
    return m->self;
}

uint16_t
rg_members_find_id(const struct rg_members *m, uint64_t id)
{
    return rg_member_find_latest(m, id);
}

const struct rg_member *
rg_members_at(const struct rg_members *m, uint16_t slot)
{
    return &m->slots[slot];
}

uint16_t
rg_members_slots(const struct rg_members *m)
{
    return m->slot_count;
}

uint16_t
rg_members_alive_count(const struct rg_members *m)
{
    return m->alive;
}

uint16_t
rg_members_missing_count(const struct rg_members *m)
{
    return m->missing;
}

uint16_t
rg_members_leaving_count(const struct rg_members *m)
{
    return m->leaving;
}

uint32_t
rg_members_joined_ms(const struct rg_members *m)
{
    return m->joined_ms;
}

uint16_t
rg_members_next_hop(const struct rg_members *m, uint16_t slot)
{
    if (!m->slots[slot].unreachable) {
        return slot;
    }
    for (uint16_t i = 0; i < m->slot_count; i++) {
        const struct rg_member *e = &m->slots[i];
        if (i != m->self && e->used && e->state == RG_MEMBER_ALIVE &&
            !e->unreachable) {
            return i;
        }
    }
    return slot;
}
