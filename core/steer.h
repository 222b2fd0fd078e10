/* Private to steering: one packet on its way and the steps shared by
 * records.c, forward.c, own.c and steer.c. */
#ifndef RG_CORE_STEER_H
#define RG_CORE_STEER_H

#include "core/priv.h"

/* One packet on its way through this instance. */
struct rg_transit {
    struct rg_core *core;
    struct rg_packet p;
    const uint8_t *data;
    size_t len;
    struct rg_steer in; /* zero for a packet from the fabric */
    uint64_t hash;
    uint32_t bucket;
    const struct rg_config_service *service;
    uint32_t service_index;
    bool opening; /* a TCP segment that opens a flow */
};

/* The packet. */
bool rg_steer_is_udp(const struct rg_transit *t);
bool rg_steer_is_closing(const struct rg_transit *t);
uint16_t rg_steer_isn(const struct rg_transit *t);

/* What the policy in force says. */
bool rg_steer_uses_records(const struct rg_core *core);
bool rg_steer_uses_owners(const struct rg_core *core);
bool rg_steer_uses_replicas(const struct rg_core *core);
uint16_t rg_steer_self_slot(const struct rg_core *core);

/* Adds a span if the flow is traced. */
void rg_steer_trace(struct rg_transit *t, enum rg_hop hop, uint64_t upstream,
                    enum rg_choice_rule rule);

/* Records, with the counts of upstreams kept in step. */
void rg_steer_set_upstream(struct rg_core *core, struct rg_flow *f,
                           uint32_t slot);
void rg_steer_touch_record(struct rg_core *core, struct rg_flow *f,
                           enum rg_flow_state state);
void rg_steer_remove_record(struct rg_core *core, struct rg_flow *f);
struct rg_flow *rg_steer_find_record(struct rg_transit *t);
struct rg_flow *rg_steer_insert_record(struct rg_transit *t,
                                       enum rg_flow_state state, uint32_t slot,
                                       bool owner);

/* Forgets that the flow was held back; something is known of it now. */
void rg_steer_drop_held(struct rg_transit *t);

/* The instance that acts as owner of the packet's flow: this one if there is
 * no other. After a pause this instance does not trust itself to own. */
uint16_t rg_steer_acting_owner(const struct rg_transit *t);
uint16_t rg_steer_replica(const struct rg_transit *t);

/* Bit of a member in the set of those asked. Members 64 slots apart share one:
 * of two such candidates only the first is asked. */
uint64_t rg_steer_asked_bit(uint16_t slot);

/* The next instance to ask for a record: the rest of the chain, then instances
 * that are leaving, which may not have handed it over yet. */
uint16_t rg_steer_lookup_target(const struct rg_transit *t);
void rg_steer_send_to_upstream(struct rg_transit *t, uint32_t slot);

/* Sends a packet to a member, through another one if need be. */
void rg_steer_send_encapsulated(struct rg_core *core, uint16_t to,
                                const struct rg_steer *s, const uint8_t *data,
                                size_t len);
void rg_steer_send_to_peer(struct rg_transit *t, uint16_t to,
                           enum rg_steer_kind kind, uint32_t slot,
                           uint8_t flags);
void rg_steer_send_record(struct rg_transit *t, uint16_t to,
                          enum rg_steer_kind kind, const struct rg_flow *f);
void rg_steer_send_refusal(struct rg_transit *t);
void rg_steer_forward_as_owner(struct rg_transit *t, struct rg_flow *f);
struct rg_choose_opts rg_steer_choose_opts(const struct rg_transit *t);

/* Refuses the caller, unless the replica knows better. */
void rg_steer_refuse(struct rg_transit *t);

/* True if an unanswered opening should try another upstream. */
bool rg_steer_should_move(const struct rg_transit *t, const struct rg_flow *f);

/* Acts as owner of the packet's flow. */
void rg_steer_handle_as_owner(struct rg_transit *t);
void rg_steer_look_up(struct rg_transit *t);

#endif
