/* Steering of packets: what arrives from the fabric and from other instances.
 * See docs/DESIGN.md. */
#include "core/steer.h"

#include <string.h>

/* --- packets from other instances ---------------------------------------- */

static uint16_t
sender_slot(const struct rg_transit *t)
{
    return rg_members_find_id(t->core->members, t->in.sender);
}

static void
on_own(struct rg_transit *t)
{
    uint16_t owner = rg_steer_acting_owner(t);

    struct rg_flow *f = rg_steer_find_record(t);

    if ((f && f->state != RG_FLOW_HELD) ||
        owner == rg_steer_self_slot(t->core)) {
        rg_steer_handle_as_owner(t);
        return;
    }
    rg_steer_send_to_peer(t, owner, RG_STEER_TO_OWNER, RG_FLOW_NO_UPSTREAM, 0);
}

static void
answer_found(struct rg_transit *t, struct rg_flow *f, uint16_t to)
{
    if (f->state == RG_FLOW_REFUSED) {
        rg_steer_send_to_peer(t, to, RG_STEER_FOUND, RG_FLOW_NO_UPSTREAM, 0);
        return;
    }
    rg_steer_set_owner(t->core, f, false);
    f->peer = to;
    rg_steer_send_record(t, to, RG_STEER_FOUND, f);
}

static void
on_lookup(struct rg_transit *t)
{
    rg_steer_drop_held(t);
    struct rg_flow *f = rg_steer_find_record(t);
    uint16_t to = sender_slot(t);

    rg_steer_trace(t, RG_HOP_LOOKUP, 0, RG_CHOICE_NONE);
    if (to == RG_MEMBER_NONE) {
        t->core->counters.dropped_no_flow++;
        return;
    }
    if (f) {
        answer_found(t, f, to);
        return;
    }
    rg_steer_send_to_peer(t, to, RG_STEER_NOT_FOUND, RG_FLOW_NO_UPSTREAM, 0);
}

/* Takes over the record another instance found. */
static struct rg_flow *
adopt(struct rg_transit *t, uint32_t slot)
{
    struct rg_core *core = t->core;
    struct rg_flow *f = rg_steer_find_record(t);
    bool opened = t->in.flags & RG_STEER_ESTABLISHED;
    enum rg_flow_state state = opened ? RG_FLOW_ESTABLISHED : RG_FLOW_OPENING;

    if (!f) {
        core->counters.flows_adopted++;
        return rg_steer_insert_record(t, state, slot, true);
    }
    if (f->state == RG_FLOW_REFUSED || f->state == RG_FLOW_HELD) {
        rg_steer_set_upstream(core, f, slot);
        rg_steer_touch_record(core, f, state);
        return f;
    }
    if (f->upstream != slot) {
        core->counters.choice_conflicts++;
        if (f->young || f->state == RG_FLOW_OPENING || opened) {
            rg_steer_set_upstream(core, f, slot);
        }
    }
    return f;
}

static void
on_found(struct rg_transit *t)
{
    struct rg_core *core = t->core;

    rg_steer_trace(t, RG_HOP_FOUND, t->in.upstream, RG_CHOICE_NONE);
    core->counters.lookups_found++;
    if (t->in.upstream == 0) {
        if (t->opening || rg_steer_is_udp(t)) {
            rg_steer_refuse(t);
        }
        return;
    }
    uint32_t slot = rg_upstreams_learn(core->upstreams, t->in.upstream,
                                       &t->in.addr, t->service->id);
    if (slot == RG_UPSTREAM_NONE) {
        core->counters.dropped_reused_address++;
        return;
    }
    struct rg_flow *f = adopt(t, slot);
    if (!f) {
        return;
    }
    f->peer = sender_slot(t);
    f->keeps = 0;
    f->young = (t->in.flags & RG_STEER_FINAL) == 0;
    f->kept_ms = core->now_ms;
    rg_steer_forward_as_owner(t, f);
}

static void
on_missed(struct rg_transit *t)
{
    const struct rg_flow *f = rg_steer_find_record(t);

    if (f && f->state != RG_FLOW_HELD) {
        rg_steer_handle_as_owner(t);
        return;
    }
    rg_steer_look_up(t);
}

/* The owner's choice differs from this replica's record. Returns true if the
 * owner's is to be taken over. */
static bool
yields_to_owner(const struct rg_transit *t, const struct rg_flow *f)
{
    bool is_firm = t->in.flags & RG_STEER_FINAL;

    if (f->state == RG_FLOW_REFUSED) {
        return t->in.flags & RG_STEER_ESTABLISHED;
    }
    if (is_firm) {
        return true;
    }
    if (t->opening && f->isn != rg_steer_isn(t) && f->state == RG_FLOW_CLOSING)
    {
        return true;
    }
    return f->state == RG_FLOW_OPENING && rg_steer_should_move(t, f);
}

/* An owner under an older configuration chose an upstream that takes no new
 * flows any more: chooses again and tells it. */
static bool
decide_again(struct rg_transit *t, uint32_t slot)
{
    struct rg_core *core = t->core;
    struct rg_choose_opts opts = rg_steer_choose_opts(t);
    uint16_t to = sender_slot(t);

    if (!t->opening || t->in.generation >= core->config->generation ||
        rg_upstreams_accepts(core->upstreams, slot, &opts) ||
        to == RG_MEMBER_NONE)
    {
        return false;
    }
    struct rg_choice choice =
        rg_upstreams_choose(core->upstreams, t->service_index, &opts);
    if (choice.rule == RG_CHOICE_NONE) {
        return false;
    }
    struct rg_flow *f =
        rg_steer_insert_record(t, RG_FLOW_OPENING, choice.upstream, false);
    if (!f) {
        return false;
    }
    f->peer = to;
    rg_steer_send_record(t, to, RG_STEER_FOUND, f);
    return true;
}

static void
store_replica(struct rg_transit *t, struct rg_flow *f, uint32_t slot)
{
    struct rg_core *core = t->core;
    bool opened = (t->in.flags & RG_STEER_ESTABLISHED) != 0;

    if (!f) {
        f = rg_steer_insert_record(
            t, opened ? RG_FLOW_ESTABLISHED : RG_FLOW_OPENING, slot, false);
        if (!f) {
            return;
        }
        core->counters.replicas_stored++;
    }
    if (f->upstream != slot) {
        rg_steer_set_upstream(core, f, slot);
    }
    if (t->opening) {
        f->isn = rg_steer_isn(t);
    }
    rg_steer_set_owner(core, f, false);
    f->peer = sender_slot(t);
    f->kept_ms = core->now_ms;
    enum rg_flow_state state = opened ? RG_FLOW_ESTABLISHED : RG_FLOW_OPENING;
    rg_steer_touch_record(core, f,
                          rg_steer_is_closing(t) ? RG_FLOW_CLOSING : state);
}

static void
on_keep(struct rg_transit *t)
{
    struct rg_core *core = t->core;

    rg_steer_drop_held(t);
    struct rg_flow *f = rg_steer_find_record(t);
    uint16_t to = sender_slot(t);
    uint32_t slot = rg_upstreams_learn(core->upstreams, t->in.upstream,
                                       &t->in.addr, t->service->id);

    rg_steer_trace(t, RG_HOP_REPLICA, t->in.upstream, RG_CHOICE_NONE);
    if (slot == RG_UPSTREAM_NONE) {
        core->counters.dropped_reused_address++;
        return;
    }
    if (f && f->upstream != slot) {
        core->counters.choice_conflicts++;
        if (!yields_to_owner(t, f) && to != RG_MEMBER_NONE) {
            answer_found(t, f, to);
            return;
        }
    }
    if (!f && decide_again(t, slot)) {
        return;
    }
    store_replica(t, f, slot);
    rg_steer_send_to_upstream(t, slot);
}

static void
on_refuse(struct rg_transit *t)
{
    rg_steer_drop_held(t);
    struct rg_flow *f = rg_steer_find_record(t);
    uint16_t to = sender_slot(t);

    if (f && f->state != RG_FLOW_REFUSED && to != RG_MEMBER_NONE) {
        answer_found(t, f, to);
        return;
    }
    if (!f && !rg_steer_insert_record(t, RG_FLOW_REFUSED, RG_FLOW_NO_UPSTREAM,
                                      false))
    {
        return;
    }
    rg_steer_send_refusal(t);
}

/* --- entry --------------------------------------------------------------- */

static bool
count_bad(struct rg_core *core, enum rg_packet_status status)
{
    struct rg_counters *c = &core->counters;

    switch (status) {
    case RG_PACKET_OK:
        return false;
    case RG_PACKET_TRUNCATED:
        c->dropped_truncated++;
        break;
    case RG_PACKET_BAD_VERSION:
        c->dropped_version++;
        break;
    case RG_PACKET_BAD_LENGTH:
        c->dropped_length++;
        break;
    case RG_PACKET_FRAGMENT:
        c->dropped_fragment++;
        break;
    case RG_PACKET_BAD_PROTOCOL:
        c->dropped_protocol++;
        break;
    }
    return true;
}

/* Reads the packet and finds its service; false if it is dropped. */
static bool
admit(struct rg_transit *t, struct rg_core *core, const uint8_t *data,
      size_t len)
{
    memset(t, 0, sizeof(*t));
    t->core = core;
    t->data = data;
    t->len = len;
    if (count_bad(core, rg_packet_parse(&t->p, data, len))) {
        return false;
    }
    if (!core->config) {
        core->counters.dropped_no_config++;
        return false;
    }
    t->service = rg_config_find_service(core->config, t->p.key.dst,
                                        t->p.key.dport, t->p.key.proto);
    if (!t->service) {
        core->counters.dropped_no_service++;
        return false;
    }
    t->service_index = (uint32_t)(t->service - core->config->services);
    t->hash = rg_flow_hash(&t->p.key, core->settings->hash_seed);
    t->bucket = rg_rank_bucket(t->hash);
    t->opening = (t->p.tcp_flags & (RG_TCP_SYN | RG_TCP_ACK | RG_TCP_RST)) ==
                 RG_TCP_SYN;
    return true;
}

void
rg_steer_fabric_packet(struct rg_core *core, const uint8_t *data, size_t len)
{
    struct rg_transit t;

    if (!admit(&t, core, data, len)) {
        return;
    }
    rg_steer_trace(&t, RG_HOP_RECEIVE, 0, RG_CHOICE_NONE);
    if (!rg_steer_uses_records(core)) {
        uint32_t slot =
            rg_upstreams_default(core->upstreams, t.service_index, t.hash);
        if (slot != RG_UPSTREAM_NONE) {
            rg_steer_send_to_upstream(&t, slot);
        }
        return;
    }
    uint16_t owner = rg_steer_acting_owner(&t);
    if (!rg_steer_uses_owners(core) || owner == rg_steer_self_slot(core)) {
        rg_steer_handle_as_owner(&t);
        return;
    }
    rg_steer_send_to_peer(&t, owner, RG_STEER_TO_OWNER, RG_FLOW_NO_UPSTREAM,
                          0);
}

/* Passes on a packet that is meant for another instance. */
static void
relay(struct rg_core *core, const struct rg_gue *gue)
{
    struct rg_steer s = gue->steer;
    uint16_t to = rg_members_find_id(core->members, s.target);

    if (++s.hops > RG_HOP_LIMIT || to == RG_MEMBER_NONE) {
        core->counters.dropped_looping++;
        return;
    }
    core->counters.packets_relayed++;
    rg_steer_send_encapsulated(core, to, &s, gue->body, gue->body_len);
}

void
rg_steer_peer_packet(struct rg_core *core, const struct rg_gue *gue)
{
    struct rg_transit t;

    if (gue->steer.target != core->id) {
        relay(core, gue);
        return;
    }
    if (!admit(&t, core, gue->body, gue->body_len)) {
        return;
    }
    t.in = gue->steer;
    if (t.in.hops > RG_HOP_LIMIT) {
        core->counters.dropped_looping++;
        return;
    }
    switch (t.in.kind) {
    case RG_STEER_TO_OWNER:
        on_own(&t);
        break;
    case RG_STEER_TO_REPLICA:
        on_keep(&t);
        break;
    case RG_STEER_LOOKUP:
        on_lookup(&t);
        break;
    case RG_STEER_FOUND:
        on_found(&t);
        break;
    case RG_STEER_NOT_FOUND:
        on_missed(&t);
        break;
    case RG_STEER_REFUSE:
        on_refuse(&t);
        break;
    }
}
