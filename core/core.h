/* The decision core of one instance.
 *
 * It owns no socket, clock, thread or source of randomness. Packets, peer
 * messages, configurations and the time go in; actions come out. All calls
 * come from one task. Many cores can live in one program. */
#ifndef RG_CORE_CORE_H
#define RG_CORE_CORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/log.h"
#include "config/config.h"
#include "core/action.h"
#include "core/counters.h"
#include "core/flow.h"
#include "core/member.h"
#include "core/upstream.h"
#include "options/settings.gen.h"

struct rg_core_opts {
    const struct rg_settings *settings; /* borrowed, outlives the core */
    struct rg_log log;
    uint64_t start_ms; /* wall clock; tells lives of an instance apart */
    uint64_t seed;     /* of the core's random numbers */
};

struct rg_core;

struct rg_core *rg_core_create(const struct rg_core_opts *opts);
void rg_core_destroy(struct rg_core *core);

/* Actions since they were last cleared. The caller carries them out after
 * each batch of calls and clears them. */
struct rg_actions *rg_core_actions(struct rg_core *core);

/* A datagram arrived at the packet address. `data` must stay as it is until
 * the actions are carried out. */
void rg_core_handle_datagram(struct rg_core *core, const struct rg_addr *from,
                             const uint8_t *data, size_t len, uint64_t now_ms);

/* Time passes; call it at least every RG_CORE_TICK_MS. */
#define RG_CORE_TICK_MS 20
void rg_core_tick(struct rg_core *core, uint64_t now_ms);

/* After a pause of the process, datagrams that waited it out are dropped:
 * their senders have long repeated them or given up. This ends the dropping,
 * once the socket has been read empty. */
void rg_core_backlog_drained(struct rg_core *core);

/* A configuration is in force. It must stay alive until the next call has
 * returned. */
void rg_core_configure(struct rg_core *core, const struct rg_config *config);

/* The platform's list of instances changed. */
void rg_core_set_listed(struct rg_core *core, const struct rg_addr *addrs,
                        size_t count);

/* Starts a planned leave; RG_ACTION_LEFT follows when it is complete. */
void rg_core_leave(struct rg_core *core, uint64_t now_ms);
bool rg_core_leaving(const struct rg_core *core);

/* True if the fabric should send callers' packets here. */
bool rg_core_ready(const struct rg_core *core);

/* True if this instance is among the first `watchers` of its data centre that
 * should watch the store. */
bool rg_core_watches_store(const struct rg_core *core, uint32_t watchers);

const struct rg_counters *rg_core_counters(const struct rg_core *core);
struct rg_members *rg_core_members(struct rg_core *core);
struct rg_flow_table *rg_core_flows(struct rg_core *core);
struct rg_upstreams *rg_core_upstreams(struct rg_core *core);

/* What would happen, or has happened, to a flow. */
struct rg_explain {
    bool known_service;
    struct rg_name service;
    bool has_record;
    uint8_t state;           /* enum rg_flow_state of the record */
    bool is_owner;           /* this instance leads the record */
    struct rg_name upstream; /* of the record, else the table's default */
    struct rg_addr upstream_addr;
    bool by_table;
    uint64_t generation;
    uint32_t bucket;
    uint32_t holder_count;
    struct rg_name holders[5]; /* owner, replica, then those asked next */
};
void rg_core_explain(struct rg_core *core, const struct rg_flow_key *key,
                     struct rg_explain *out);

/* One hop of a traced packet. */
enum rg_hop {
    RG_HOP_RECEIVE, /* from the fabric */
    RG_HOP_OWNER,
    RG_HOP_REPLICA,
    RG_HOP_LOOKUP,
    RG_HOP_FOUND,
    RG_HOP_REFUSE,
};

struct rg_span {
    uint64_t flow;     /* hash of the flow: the trace */
    uint64_t at_ms;    /* the core's time */
    uint64_t upstream; /* identity, 0 for none */
    uint64_t generation;
    uint8_t hop;  /* enum rg_hop */
    uint8_t hops; /* instances passed before this one */
    uint8_t rule; /* enum rg_choice_rule, for a flow opened here */
    uint8_t tcp_flags;
};

/* Copies up to `max` of the latest spans, oldest first, and forgets them. */
size_t rg_core_take_spans(struct rg_core *core, struct rg_span *out,
                          size_t max);

#endif
