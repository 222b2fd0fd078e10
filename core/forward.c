/* Sending: packets to upstreams, steered packets and records to other
 * instances, refusals to callers. */
#include "core/steer.h"

#include <string.h>

/* Room for a refusal. */
#define REFUSAL_MAX 256

/* --- sending ------------------------------------------------------------- */

void
rg_steer_send_to_upstream(struct rg_transit *t, uint32_t slot)
{
    struct rg_core *core = t->core;

    if (!rg_upstreams_may_send(core->upstreams, slot)) {
        core->counters.dropped_reused_address++;
        return;
    }
    struct rg_action *a = rg_actions_add(&core->actions, RG_ACTION_SEND);
    if (!a) {
        return;
    }
    a->dst = rg_upstreams_at(core->upstreams, slot)->addr;
    a->body = t->data;
    a->body_len = t->len;
    core->counters.packets_sent_upstream++;
}

/* Sends a packet to a member, through another one if need be. */
void
rg_steer_send_encapsulated(struct rg_core *core, uint16_t to,
                           const struct rg_steer *s, const uint8_t *data,
                           size_t len)
{
    uint16_t way = rg_members_next_hop(core->members, to);
    struct rg_action *a = rg_actions_add(&core->actions, RG_ACTION_SEND);

    if (!a) {
        return;
    }
    a->dst = rg_members_at(core->members, way)->addr;
    rg_gue_write_steer(a->head, s, data[0]);
    a->head_len = RG_GUE_STEER_LEN;
    a->body = data;
    a->body_len = len;
    core->counters.packets_sent_peer++;
}

void
rg_steer_send_to_peer(struct rg_transit *t, uint16_t to,
                      enum rg_steer_kind kind, uint32_t slot, uint8_t flags)
{
    struct rg_core *core = t->core;
    struct rg_steer s = {
        .kind = (uint8_t)kind,
        .hops = (uint8_t)(t->in.hops + 1),
        .flags = flags,
        .asked = t->in.asked,
        .generation = core->config->generation,
        .sender = core->id,
        .target = rg_members_at(core->members, to)->id,
    };

    if (s.hops > RG_HOP_LIMIT) {
        core->counters.dropped_looping++;
        return;
    }
    if (slot != RG_FLOW_NO_UPSTREAM) {
        const struct rg_upstream *up = rg_upstreams_at(core->upstreams, slot);
        s.upstream = up->id;
        s.addr = up->addr;
    }
    rg_steer_send_encapsulated(core, to, &s, t->data, t->len);
}

void
rg_steer_send_record(struct rg_transit *t, uint16_t to,
                     enum rg_steer_kind kind, const struct rg_flow *f)
{
    uint8_t flags = f->state != RG_FLOW_OPENING ? RG_STEER_ESTABLISHED : 0;

    flags |= f->young ? 0 : RG_STEER_FINAL;
    rg_steer_send_to_peer(t, to, kind, f->upstream, flags);
}

void
rg_steer_send_refusal(struct rg_transit *t)
{
    struct rg_core *core = t->core;
    uint8_t *room = rg_actions_alloc(&core->actions, REFUSAL_MAX);

    if (!room) {
        return;
    }
    size_t len =
        rg_packet_build_refusal(room, REFUSAL_MAX, &t->p, t->data, t->len);
    struct rg_action *a = rg_actions_add(&core->actions, RG_ACTION_SEND);
    if (!a || len == 0) {
        return;
    }
    a->dst = core->settings->return_address;
    a->body = room;
    a->body_len = len;
    core->counters.flows_refused++;
    rg_steer_trace(t, RG_HOP_REFUSE, 0, RG_CHOICE_NONE);
}
