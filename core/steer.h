/* Private to steering: the state of one packet and the functions shared by
 * records.c, forward.c, owner.c and steer.c.
 *
 * The first two alive members in the ranking of a flow's bucket are its owner
 * and its replica. An instance that receives a packet from the fabric sends it
 * to the owner, which forwards it to the upstream in the flow's record. The
 * opening and a few later packets are forwarded through the replica, which
 * stores a copy of the record. If the owner has no record, it sends the packet
 * to other instances, one after the other, until one returns it with a record.
 */
#ifndef RG_CORE_STEER_H
#define RG_CORE_STEER_H

#include "core/priv.h"

/* One packet while this instance handles it. */
struct rg_transit {
    struct rg_core *core;
    struct rg_packet p;
    const uint8_t *data; /* the whole inner packet */
    size_t len;
    struct rg_steer in; /* as received; zero for a packet from the fabric */
    uint64_t hash;      /* of the flow */
    uint32_t bucket;    /* of the hash, see rank.h */
    const struct rg_config_service *service;
    uint32_t service_index; /* in the configuration */
    bool opening;           /* a TCP SYN without ACK or RST */
};

/* Properties of the packet. */
bool rg_steer_is_udp(const struct rg_transit *t);
bool rg_steer_is_closing(const struct rg_transit *t);
/* Low bits of the sequence number; of an opening segment those of the ISN. */
uint16_t rg_steer_isn(const struct rg_transit *t);

/* What the configured policy uses. */
bool rg_steer_uses_records(const struct rg_core *core);
bool rg_steer_uses_owners(const struct rg_core *core);
bool rg_steer_uses_replicas(const struct rg_core *core);
uint16_t rg_steer_self_slot(const struct rg_core *core);

/* Records a span if the flow is traced. */
void rg_steer_trace(struct rg_transit *t, enum rg_hop hop, uint64_t upstream,
                    enum rg_choice_rule rule);

/* Flow records. These functions update the flow counts of upstreams too. */
void rg_steer_set_upstream(struct rg_core *core, struct rg_flow *f,
                           uint32_t slot);
void rg_steer_touch_record(struct rg_core *core, struct rg_flow *f,
                           enum rg_flow_state state);
void rg_steer_remove_record(struct rg_core *core, struct rg_flow *f);
struct rg_flow *rg_steer_find_record(struct rg_transit *t);
/* NULL, and counted, if the table is full. */
struct rg_flow *rg_steer_insert_record(struct rg_transit *t,
                                       enum rg_flow_state state, uint32_t slot,
                                       bool owner);

/* Removes the flow's record if it only counts held-back packets. */
void rg_steer_drop_held(struct rg_transit *t);

/* Slot of the instance that acts as owner of the packet's flow: this one if no
 * other is alive. After a pause of the process another instance is preferred,
 * because the member list may be out of date. */
uint16_t rg_steer_acting_owner(const struct rg_transit *t);
/* RG_RANK_NONE if there is no replica. */
uint16_t rg_steer_replica(const struct rg_transit *t);

/* Bit of a member in the set of instances already asked. Slots that differ by
 * a multiple of 64 share a bit; only the first of them is asked. */
uint64_t rg_steer_asked_bit(uint16_t slot);

/* Slot of the next instance to ask for a record: the members of the bucket's
 * chain, then leaving instances, which may not have handed it over yet.
 * RG_RANK_NONE if all were asked. */
uint16_t rg_steer_lookup_target(const struct rg_transit *t);

/* Sends the packet to an upstream. */
void rg_steer_send_to_upstream(struct rg_transit *t, uint32_t slot);

/* Sends a packet to a member, through another one if the member cannot be
 * reached directly. */
void rg_steer_send_encapsulated(struct rg_core *core, uint16_t to,
                                const struct rg_steer *s, const uint8_t *data,
                                size_t len);
/* Sends the packet to a member with a steering header. `slot` is the upstream
 * it names, or RG_FLOW_NO_UPSTREAM. */
void rg_steer_send_to_peer(struct rg_transit *t, uint16_t to,
                           enum rg_steer_kind kind, uint32_t slot,
                           uint8_t flags);
/* Sends the packet to a member with a record in the steering header. */
void rg_steer_send_record(struct rg_transit *t, uint16_t to,
                          enum rg_steer_kind kind, const struct rg_flow *f);
/* Sends an RST or ICMP error to the caller. */
void rg_steer_send_refusal(struct rg_transit *t);

/* Forwards a packet as owner of its flow and updates the record's state. */
void rg_steer_forward_as_owner(struct rg_transit *t, struct rg_flow *f);
struct rg_choose_opts rg_steer_choose_opts(const struct rg_transit *t);

/* Refuses the caller, unless the replica has a record of the flow. */
void rg_steer_refuse(struct rg_transit *t);

/* True if an unanswered opening should be moved to another upstream. */
bool rg_steer_should_move(const struct rg_transit *t, const struct rg_flow *f);

/* Handles a packet as owner of its flow. */
void rg_steer_handle_as_owner(struct rg_transit *t);

/* Asks the next instance for the flow's record; handles the packet as one of
 * an unknown flow if all were asked. */
void rg_steer_look_up(struct rg_transit *t);

#endif
