/* What members send each other. */
#include "core/member_priv.h"

#define UPDATES_MAX                                                           \
    (sizeof(((struct rg_msg_ping *)0)->updates) / sizeof(struct rg_msg_update))
#define VIEW_MAX                                                              \
    (sizeof(((struct rg_msg_view *)0)->updates) / sizeof(struct rg_msg_update))
/* Room for the largest message sent by UDP. */
#define MESSAGE_MAX 3000

struct rg_msg_update
rg_members_own_entry(const struct rg_members *m)
{
    return rg_member_entry(&m->slots[m->self]);
}

void
rg_members_send(struct rg_members *m, const struct rg_addr *to,
                const struct rg_msg *msg)
{
    uint8_t *room = rg_actions_alloc(m->opts.actions, MESSAGE_MAX);

    if (!room) {
        return;
    }
    size_t len = rg_msg_pack(msg, room, MESSAGE_MAX);
    m->opts.actions->arena_len -= MESSAGE_MAX - len;
    struct rg_action *a = rg_actions_add(m->opts.actions, RG_ACTION_SEND);
    if (!a || len == 0) {
        return;
    }
    a->dst = *to;
    rg_gue_write_control(a->head);
    a->head_len = RG_GUE_CONTROL_LEN;
    a->body = room;
    a->body_len = len;
}

void
rg_member_send_ping(struct rg_members *m, const struct rg_addr *to,
                    uint32_t seq, const struct rg_member *about)
{
    struct rg_msg msg = {.kind = RG_MSG_PING};
    struct rg_msg_ping *p = &msg.u.ping;

    p->seq = seq;
    p->from = rg_members_own_entry(m);
    p->generation = m->generation;
    p->view = m->digest;
    if (about && about->state != RG_MEMBER_ALIVE) {
        p->updates[p->updates_count++] = rg_member_entry(about);
    }
    p->updates_count += rg_member_pick_updates(
        m, p->updates + p->updates_count, UPDATES_MAX - p->updates_count);
    rg_members_send(m, to, &msg);
}

void
rg_member_send_ack(struct rg_members *m, const struct rg_addr *to,
                   uint32_t seq)
{
    struct rg_msg msg = {.kind = RG_MSG_ACK};
    struct rg_msg_ack *a = &msg.u.ack;

    a->seq = seq;
    a->from = rg_members_own_entry(m);
    a->generation = m->generation;
    a->view = m->digest;
    a->updates_count = rg_member_pick_updates(m, a->updates, UPDATES_MAX);
    rg_members_send(m, to, &msg);
}

void
rg_member_send_view(struct rg_members *m, const struct rg_addr *to)
{
    struct rg_msg msg = {.kind = RG_MSG_VIEW};
    struct rg_msg_view *v = &msg.u.view;

    v->from = rg_members_own_entry(m);
    v->joined = m->joined;
    for (uint16_t i = 0; i < m->slot_count; i++) {
        if (!m->slots[i].used || m->slots[i].state == RG_MEMBER_DEAD) {
            continue;
        }
        if (v->updates_count == VIEW_MAX) {
            rg_members_send(m, to, &msg);
            v->updates_count = 0;
        }
        v->updates[v->updates_count++] = rg_member_entry(&m->slots[i]);
    }
    v->last = true;
    rg_members_send(m, to, &msg);
}

void
rg_member_set_reachable(struct rg_members *m, uint16_t slot, bool reachable)
{
    struct rg_member *e = &m->slots[slot];

    if (e->unreachable == reachable) {
        rg_log(&m->log, RG_LOG_WARNING, "PATH", "%s %s", e->name.s,
               reachable ? "is reached directly again"
                         : "is alive but reached only through others");
    }
    e->unreachable = !reachable;
}
