/* Private part of the core, shared by its source files only. */
#ifndef RG_CORE_PRIV_H
#define RG_CORE_PRIV_H

#include "common/netlist.h"
#include "core/core.h"
#include "core/rank.h"

#define RG_SPANS_MAX 4096
/* Members told at once of a new generation. */
#define RG_CORE_GENERATION_FANOUT 3
#define RG_HANDOVER_BATCH_RECORDS 8
#define RG_HANDOVER_WINDOW_BATCHES 16

/* One handover message that is not acknowledged yet. */
struct rg_handover_batch {
    bool used;
    uint32_t seq;
    uint32_t sent_ms;
    uint16_t to; /* member */
    uint16_t count;
    struct rg_flow_key keys[RG_HANDOVER_BATCH_RECORDS];
};

enum rg_leave_phase {
    RG_LEAVE_NONE,
    RG_LEAVE_HANDOVER,
    RG_LEAVE_LINGER,
    RG_LEAVE_DONE,
};

struct rg_leave {
    uint8_t phase; /* enum rg_leave_phase */
    uint32_t started_ms;
    uint32_t phase_ms;
    uint32_t cursor; /* next record to look at */
    bool more;       /* something was sent in this pass over the table */
    uint32_t seq;
    int64_t credit; /* bytes that may be sent now */
    uint32_t credit_ms;
    struct rg_handover_batch window[RG_HANDOVER_WINDOW_BATCHES];
};

struct rg_core {
    const struct rg_settings *settings;
    struct rg_log log;
    struct rg_rand rand;
    struct rg_actions actions;
    struct rg_counters counters;
    struct rg_members *members;
    struct rg_rank *rank;
    struct rg_flow_table *flows;
    struct rg_upstreams *upstreams;
    const struct rg_config *config;
    struct rg_netlist peer_networks;
    struct rg_netlist fabric_networks;
    uint64_t id; /* identity of this instance */
    uint32_t now_ms;
    uint64_t now64_ms;
    uint64_t last_tick_ms; /* 0 before the first */
    bool backlog_is_stale;
    uint64_t fetch_generation; /* asked for last */
    uint32_t fetch_ms;
    uint64_t deviated; /* flows opened off the table, aged */
    uint64_t opened;   /* flows opened, aged */
    struct rg_leave leave;
    struct rg_span spans[RG_SPANS_MAX];
    uint32_t span_head;
    uint32_t span_count;
};

/* Handles one packet; defined in steer.c. */
void rg_steer_fabric_packet(struct rg_core *core, const uint8_t *data,
                            size_t len);
void rg_steer_peer_packet(struct rg_core *core, const struct rg_gue *gue);

/* Keeps the counts of upstreams in step with a record; `live` says whether it
 * counts as a flow this instance owns. */
void rg_steer_set_owner(struct rg_core *core, struct rg_flow *f, bool owner);
void rg_steer_on_record_drop(void *ctx, const struct rg_flow *f);

/* First member of a bucket's chain that is not suspect, from `start` on and
 * other than `skip`; RG_RANK_NONE if there is none. */
uint16_t rg_steer_first_alive(const struct rg_core *core, uint32_t bucket,
                              int start, uint16_t skip);

/* Planned leave; defined in handover.c. */
void rg_handover_start(struct rg_core *core);
void rg_handover_tick(struct rg_core *core);
bool rg_handover_handle_message(struct rg_core *core, const struct rg_msg *msg,
                                const struct rg_addr *from);

#endif
