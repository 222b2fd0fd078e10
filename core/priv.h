/* Private part of the core, shared by its source files only. */
#ifndef RG_CORE_PRIV_H
#define RG_CORE_PRIV_H

#include "common/netlist.h"
#include "core/core.h"
#include "core/rank.h"

#define RG_SPANS_MAX 4096
/* Members that are sent a new configuration generation at once. */
#define RG_CORE_GENERATION_FANOUT 3
#define RG_HANDOVER_BATCH_RECORDS 8
#define RG_HANDOVER_WINDOW_BATCHES 16

/* One handover message that is sent and not acknowledged yet. */
struct rg_handover_batch {
    bool used;
    uint32_t seq;
    uint32_t sent_ms;
    uint16_t to; /* member slot */
    uint16_t count;
    struct rg_flow_key keys[RG_HANDOVER_BATCH_RECORDS];
};

enum rg_leave_phase {
    RG_LEAVE_NONE,
    RG_LEAVE_HANDOVER, /* records are being handed over */
    RG_LEAVE_LINGER,   /* still forwards packets that are sent here */
    RG_LEAVE_DONE,
};

struct rg_leave {
    uint8_t phase; /* enum rg_leave_phase */
    uint32_t started_ms;
    uint32_t phase_started_ms;
    uint32_t cursor;   /* next record of the flow table to examine */
    bool sent_in_pass; /* a record was sent in this pass over the table */
    uint32_t seq;
    int64_t credit_bytes; /* that may be sent now */
    uint32_t credit_updated_ms;
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
    uint64_t last_tick_ms;     /* 0 before the first */
    bool backlog_is_stale;     /* after a pause: datagrams are dropped */
    uint64_t fetch_generation; /* of the last fetch */
    uint32_t fetch_ms;
    /* Flows that deviate from the default table, and all flows opened; both
     * are halved from time to time. */
    uint64_t recent_deviated;
    uint64_t recent_opened;
    struct rg_leave leave;
    struct rg_span spans[RG_SPANS_MAX];
    uint32_t span_head;
    uint32_t span_count;
};

/* Handle a packet from the fabric or from another instance; defined in
 * steer.c. */
void rg_steer_fabric_packet(struct rg_core *core, const uint8_t *data,
                            size_t len);
void rg_steer_peer_packet(struct rg_core *core, const struct rg_gue *gue);

/* Sets whether this instance owns the record, and updates the upstream's count
 * of owned flows; defined in records.c. */
void rg_steer_set_owner(struct rg_core *core, struct rg_flow *f, bool owner);
/* Called by the flow table before it drops a record. */
void rg_steer_on_record_drop(void *ctx, const struct rg_flow *f);

/* First member of a bucket's chain in state alive, from index `start` on and
 * other than the slot `skip`; RG_RANK_NONE if there is none. */
uint16_t rg_steer_first_alive(const struct rg_core *core, uint32_t bucket,
                              int start, uint16_t skip);

/* Planned leave; defined in handover.c. */
void rg_handover_start(struct rg_core *core);
void rg_handover_tick(struct rg_core *core);
bool rg_handover_handle_message(struct rg_core *core, const struct rg_msg *msg,
                                const struct rg_addr *from);

#endif
