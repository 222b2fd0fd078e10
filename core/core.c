#include "core/core.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "core/priv.h"

/* Actions that may be pending: those of a batch of datagrams, a few for each,
 * and the peer messages of a tick. */
#define ACTIONS_MAX 4096
#define ARENA_BYTES (1024 * 1024)
#define EXPIRE_PER_TICK 2000
/* The same configuration is not fetched again within this time. */
#define FETCH_RETRY_MS 1000
/* A gap of this length between ticks is a pause of the process, after which
 * datagrams waiting in the socket are stale. */
#define PAUSE_MS 1000
/* The counts that limit deviation from the default table are halved when more
 * than this many flows have been opened. */
#define DEVIATION_WINDOW_FLOWS 10000

static void
on_member_change(void *ctx, uint16_t slot, enum rg_member_state before)
{
    struct rg_core *core = ctx;
    const struct rg_member *e = rg_members_at(core->members, slot);
    bool was_ranked = rg_rank_has(core->rank, slot);
    bool is_ranked =
        e->state == RG_MEMBER_ALIVE || e->state == RG_MEMBER_SUSPECT;

    (void)before;
    if (is_ranked && !was_ranked) {
        rg_rank_add(core->rank, slot, e->id, core->now_ms);
    }
    if (!is_ranked && was_ranked) {
        rg_rank_remove(core->rank, slot, core->now_ms);
    }
}

static void
on_generation(void *ctx, const struct rg_addr *addr, uint64_t generation)
{
    struct rg_core *core = ctx;
    uint64_t own = core->config ? core->config->generation : 0;

    if (generation <= own || (generation <= core->fetch_generation &&
                              core->now_ms - core->fetch_ms < FETCH_RETRY_MS))
    {
        return;
    }
    struct rg_action *a = rg_actions_add(&core->actions, RG_ACTION_FETCH);
    if (!a) {
        return;
    }
    a->dst = *addr;
    a->generation = generation;
    core->fetch_generation = generation;
    core->fetch_ms = core->now_ms;
}

static void
set_time(struct rg_core *core, uint64_t now_ms)
{
    core->now64_ms = now_ms;
    core->now_ms = (uint32_t)now_ms;
}

static struct rg_flow_table *
create_flows(struct rg_core *core)
{
    const struct rg_settings_flows *from = &core->settings->flows;
    struct rg_flow_table_opts opts = {
        .hash_seed = core->settings->hash_seed,
        .capacity = from->capacity,
        .udp_idle_ms = from->udp_ms,
        .on_drop = rg_steer_on_record_drop,
        .ctx = core,
    };

    opts.idle_ms[RG_FLOW_OPENING] = from->opening_ms;
    opts.idle_ms[RG_FLOW_ESTABLISHED] = from->established_ms;
    opts.idle_ms[RG_FLOW_CLOSING] = from->closing_ms;
    opts.idle_ms[RG_FLOW_REFUSED] = from->refused_ms;
    opts.idle_ms[RG_FLOW_HELD] = from->opening_ms;
    return rg_flow_table_create(&opts);
}

static struct rg_members *
create_members(struct rg_core *core, uint64_t start_ms)
{
    const struct rg_settings *s = core->settings;
    struct rg_members_opts opts = {
        .name = s->name,
        .addr = s->advertise_address,
        .incarnation = start_ms << RG_INCARNATION_START_SHIFT,
        .probe_ms = s->membership.probe_ms,
        .ack_ms = s->membership.ack_ms,
        .suspect_ms = s->membership.suspect_ms,
        .indirect = s->membership.indirect,
        .seeds = s->seeds,
        .seed_count = s->seeds_count,
        .rand = &core->rand,
        .actions = &core->actions,
        .log = &core->log,
        .on_change = on_member_change,
        .on_generation = on_generation,
        .ctx = core,
    };

    return rg_members_create(&opts);
}

static void
on_control(struct rg_core *core, const struct rg_addr *from,
           const struct rg_gue *gue)
{
    struct rg_msg msg;

    core->counters.control_received++;
    if (!rg_msg_unpack(&msg, gue->body, gue->body_len)) {
        core->counters.dropped_message++;
        return;
    }
    if (msg.kind == RG_MSG_HEAD_OFFER) {
        on_generation(core, &msg.u.head_offer.from.addr,
                      msg.u.head_offer.generation);
        return;
    }
    if (!rg_members_handle_message(core->members, &msg, from, core->now_ms) &&
        !rg_handover_handle_message(core, &msg, from))
    {
        core->counters.dropped_message++;
    }
}

/* Sends the new generation to a few members at once; the others learn it from
 * probes. */
static void
advertise_generation(struct rg_core *core)
{
    struct rg_msg msg = {.kind = RG_MSG_HEAD_OFFER};
    uint16_t slots = rg_members_slots(core->members);
    uint16_t sent = 0;

    msg.u.head_offer.from = rg_members_own_entry(core->members);
    msg.u.head_offer.generation = core->config->generation;
    uint32_t from = rg_rand_below(&core->rand, slots);
    for (uint16_t i = 0; i < slots && sent < RG_CORE_GENERATION_FANOUT; i++) {
        uint16_t slot = (uint16_t)((from + i) % slots);
        const struct rg_member *e = rg_members_at(core->members, slot);
        if (e->used && e->state == RG_MEMBER_ALIVE &&
            slot != rg_members_self(core->members))
        {
            rg_members_send(core->members, &e->addr, &msg);
            sent++;
        }
    }
}

static void
decay_deviation_counts(struct rg_core *core)
{
    if (core->recent_opened > DEVIATION_WINDOW_FLOWS) {
        core->recent_opened /= 2;
        core->recent_deviated /= 2;
    }
}

/* Counts the peer messages among the actions from index `from` on, whichever
 * module added them. */
static void
count_control_sent(struct rg_core *core, size_t from)
{
    for (size_t i = from; i < core->actions.count; i++) {
        const struct rg_action *a = &core->actions.items[i];
        if (a->kind == RG_ACTION_SEND && a->head_len == RG_GUE_CONTROL_LEN) {
            core->counters.control_messages_sent++;
            core->counters.control_bytes_sent += a->head_len + a->body_len;
        }
    }
}

/* Called first for each tick and datagram, because after a pause the socket
 * may be read before the next tick. */
static void
detect_pause(struct rg_core *core)
{
    core->backlog_is_stale |= core->last_tick_ms != 0 &&
                              core->now64_ms - core->last_tick_ms >= PAUSE_MS;
}

static bool
is_allowed_source(const struct rg_core *core, const struct rg_addr *from,
                  enum rg_gue_kind kind)
{
    switch (kind) {
    case RG_GUE_DIRECT_IP:
        return rg_netlist_allows(&core->fabric_networks, from);
    case RG_GUE_STEER:
    case RG_GUE_CONTROL:
        return rg_netlist_allows(&core->peer_networks, from);
    case RG_GUE_INVALID:
        break;
    }
    return true;
}

struct rg_core *
rg_core_create(const struct rg_core_opts *opts)
{
    struct rg_core *core = rg_calloc(1, sizeof(*core));
    const struct rg_settings *s = opts->settings;

    core->settings = s;
    core->log = opts->log;
    core->log.module = "core";
    core->rand.state = opts->seed;
    core->id = rg_identity(rg_name_str(&s->name), rg_str_of(""));
    rg_actions_init(&core->actions, ACTIONS_MAX, ARENA_BYTES);
    rg_netlist_init(&core->peer_networks, s->peer_networks,
                    s->peer_networks_count);
    rg_netlist_init(&core->fabric_networks, s->fabric_networks,
                    s->fabric_networks_count);
    core->rank = rg_rank_create();
    core->flows = create_flows(core);
    core->upstreams = rg_upstreams_create(s->data_centre);
    core->members = create_members(core, opts->start_ms);
    rg_rank_add(core->rank, rg_members_self(core->members), core->id, 0);
    return core;
}

void
rg_core_destroy(struct rg_core *core)
{
    if (!core) {
        return;
    }
    rg_members_destroy(core->members);
    rg_flow_table_destroy(core->flows);
    rg_upstreams_destroy(core->upstreams);
    rg_rank_destroy(core->rank);
    rg_actions_release(&core->actions);
    rg_netlist_release(&core->peer_networks);
    rg_netlist_release(&core->fabric_networks);
    free(core);
}

struct rg_actions *
rg_core_actions(struct rg_core *core)
{
    return &core->actions;
}

void
rg_core_handle_datagram(struct rg_core *core, const struct rg_addr *from,
                        const uint8_t *data, size_t len, uint64_t now_ms)
{
    size_t before = core->actions.count;
    struct rg_gue gue;

    set_time(core, now_ms);
    detect_pause(core);
    if (core->backlog_is_stale) {
        core->counters.dropped_stale++;
        return;
    }
    rg_gue_parse(&gue, data, len);
    if (!is_allowed_source(core, from, gue.kind)) {
        core->counters.dropped_alien++;
        return;
    }
    switch (gue.kind) {
    case RG_GUE_DIRECT_IP:
        core->counters.packets_received++;
        rg_steer_fabric_packet(core, gue.body, gue.body_len);
        break;
    case RG_GUE_STEER:
        core->counters.packets_steered_in++;
        rg_steer_peer_packet(core, &gue);
        break;
    case RG_GUE_CONTROL:
        on_control(core, from, &gue);
        count_control_sent(core, before);
        break;
    case RG_GUE_INVALID:
        core->counters.dropped_gue++;
        break;
    }
}

void
rg_core_tick(struct rg_core *core, uint64_t now_ms)
{
    size_t before = core->actions.count;

    set_time(core, now_ms);
    detect_pause(core);
    core->last_tick_ms = now_ms;
    rg_members_tick(core->members, core->now_ms);
    rg_flow_expire(core->flows, core->now_ms, EXPIRE_PER_TICK);
    decay_deviation_counts(core);
    rg_handover_tick(core);
    count_control_sent(core, before);
}

void
rg_core_backlog_drained(struct rg_core *core)
{
    core->backlog_is_stale = false;
}

void
rg_core_configure(struct rg_core *core, const struct rg_config *config)
{
    size_t before = core->actions.count;

    if (core->config && config->generation <= core->config->generation) {
        return;
    }
    rg_upstreams_configure(core->upstreams, config);
    core->config = config;
    rg_members_set_generation(core->members, config->generation);
    advertise_generation(core);
    count_control_sent(core, before);
}

void
rg_core_set_listed(struct rg_core *core, const struct rg_addr *addrs,
                   size_t count)
{
    rg_members_set_listed(core->members, addrs, count);
}

void
rg_core_leave(struct rg_core *core, uint64_t now_ms)
{
    size_t before = core->actions.count;

    set_time(core, now_ms);
    if (core->leave.phase == RG_LEAVE_NONE) {
        rg_members_leave(core->members, core->now_ms);
        rg_handover_start(core);
    }
    count_control_sent(core, before);
}

bool
rg_core_leaving(const struct rg_core *core)
{
    return core->leave.phase != RG_LEAVE_NONE;
}

bool
rg_core_ready(const struct rg_core *core)
{
    return core->config != NULL && core->leave.phase == RG_LEAVE_NONE &&
           rg_members_joined(core->members);
}

bool
rg_core_watches_store(const struct rg_core *core, uint32_t watchers)
{
    uint16_t slots = rg_members_slots(core->members);
    uint16_t self = rg_members_self(core->members);
    uint64_t own = rg_mix64(core->id);
    uint32_t before = 0;

    for (uint16_t i = 0; i < slots; i++) {
        const struct rg_member *e = rg_members_at(core->members, i);
        if (i != self && e->used && e->state == RG_MEMBER_ALIVE) {
            before += rg_mix64(e->id) < own;
        }
    }
    return before < watchers;
}

const struct rg_counters *
rg_core_counters(const struct rg_core *core)
{
    return &core->counters;
}

struct rg_members *
rg_core_members(struct rg_core *core)
{
    return core->members;
}

struct rg_flow_table *
rg_core_flows(struct rg_core *core)
{
    return core->flows;
}

struct rg_upstreams *
rg_core_upstreams(struct rg_core *core)
{
    return core->upstreams;
}

static void
explain_upstream(struct rg_core *core, uint32_t service, uint64_t hash,
                 const struct rg_flow *f, struct rg_explain *out)
{
    uint32_t slot = rg_upstreams_default(core->upstreams, service, hash);

    if (f && f->state != RG_FLOW_REFUSED) {
        out->by_table = f->is_default;
        slot = f->upstream;
    }
    if (slot != RG_UPSTREAM_NONE) {
        const struct rg_upstream *up = rg_upstreams_at(core->upstreams, slot);
        out->upstream = up->name;
        out->upstream_addr = up->addr;
    }
}

void
rg_core_explain(struct rg_core *core, const struct rg_flow_key *key,
                struct rg_explain *out)
{
    uint64_t hash = rg_flow_hash(key, core->settings->hash_seed);

    memset(out, 0, sizeof(*out));
    out->bucket = rg_rank_bucket(hash);
    const uint16_t *chain = rg_rank_chain(core->rank, out->bucket);
    for (int i = 0; i < RG_RANK_CHAIN && chain[i] != RG_RANK_NONE; i++) {
        out->holders[out->holder_count++] =
            rg_members_at(core->members, chain[i])->name;
    }
    const struct rg_flow *f = rg_flow_find(core->flows, key, hash);
    if (f) {
        out->has_record = true;
        out->state = f->state;
        out->is_owner = f->owner;
    }
    if (!core->config) {
        return;
    }
    out->generation = core->config->generation;
    const struct rg_config_service *service =
        rg_config_find_service(core->config, key->dst, key->dport, key->proto);
    if (!service) {
        return;
    }
    out->known_service = true;
    out->service = service->name;
    explain_upstream(core, (uint32_t)(service - core->config->services), hash,
                     f, out);
}

size_t
rg_core_take_spans(struct rg_core *core, struct rg_span *out, size_t max)
{
    size_t count = core->span_count < max ? core->span_count : max;
    uint32_t from = core->span_head - core->span_count;

    for (size_t i = 0; i < count; i++) {
        out[i] = core->spans[(from + i) % RG_SPANS_MAX];
    }
    core->span_count -= (uint32_t)count;
    return count;
}
