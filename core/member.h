/* Membership of one data centre by the SWIM protocol: direct and indirect
 * probes, suspicion, and updates piggybacked on pings and acks. These also
 * carry a digest of the member list: a member whose digest differs requests
 * the sender's list, which repairs lost updates. The load of a member does not
 * grow with the number of members. */
#ifndef RG_CORE_MEMBER_H
#define RG_CORE_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/addr.h"
#include "common/log.h"
#include "common/rand.h"
#include "common/str.h"
#include "core/action.h"
#include "proto/messages.gen.h"

/* Upper bound of the member list, including tombstones of dead members. */
#define RG_MEMBER_MAX 1024
#define RG_MEMBER_NONE UINT16_MAX

/* Of two states with the same incarnation the higher value takes precedence.
 */
enum rg_member_state {
    RG_MEMBER_ALIVE,
    RG_MEMBER_SUSPECT,
    RG_MEMBER_LEAVING,
    RG_MEMBER_DEAD,
};

/* An incarnation number is the start time of the instance in ms, shifted left
 * by this, plus the count of its refutations, so that a restart can be
 * distinguished from a refutation. */
#define RG_INCARNATION_START_SHIFT 16

/* A member. Its slot never changes. A restarted instance gets a new slot,
 * because it has lost its flow records. */
struct rg_member {
    bool used;
    uint8_t state;       /* enum rg_member_state */
    uint8_t gossip_left; /* times its update is still to be piggybacked */
    bool failed;         /* dead without having left; counts as missing */
    bool unreachable;    /* alive, but answers only indirect probes */
    bool joining;        /* had not joined when it last sent its list */
    struct rg_name name;
    uint64_t id; /* hash of the name */
    struct rg_addr addr;
    uint64_t incarnation;
    uint32_t changed_ms;        /* last change of state */
    uint32_t view_requested_ms; /* last request for its member list */
};

struct rg_members_opts {
    struct rg_name name;
    struct rg_addr addr;
    uint64_t incarnation;
    uint32_t probe_ms;   /* between probes */
    uint32_t ack_ms;     /* without an ack, until indirect probes are sent */
    uint32_t suspect_ms; /* until a suspect is declared dead */
    uint32_t indirect;   /* members that get a request for an indirect probe */
    const struct rg_addr *seeds; /* borrowed */
    size_t seed_count;
    struct rg_rand *rand;       /* borrowed */
    struct rg_actions *actions; /* borrowed */
    const struct rg_log *log;   /* borrowed */
    /* Called when a member was added or its state changed. */
    void (*on_change)(void *ctx, uint16_t slot, enum rg_member_state before);
    /* Called when the member at `addr` reports its configuration's generation.
     */
    void (*on_generation)(void *ctx, const struct rg_addr *addr,
                          uint64_t generation);
    void *ctx;
};

struct rg_members;

struct rg_members *rg_members_create(const struct rg_members_opts *opts);
void rg_members_destroy(struct rg_members *m);

/* Runs timers; call it several times per probe interval. */
void rg_members_tick(struct rg_members *m, uint32_t now_ms);

/* Handles a membership message; false if it is of another kind. */
bool rg_members_handle_message(struct rg_members *m, const struct rg_msg *msg,
                               const struct rg_addr *from, uint32_t now_ms);

/* Sets the addresses in the platform's list of instances. They are pinged like
 * seeds. An address that disappears from the list does not remove a member. */
void rg_members_set_listed(struct rg_members *m, const struct rg_addr *addrs,
                           size_t count);

/* Sets the configuration generation that pings and acks carry. */
void rg_members_set_generation(struct rg_members *m, uint64_t generation);

/* Notify the members that this instance is leaving, or that it has left. */
void rg_members_leave(struct rg_members *m, uint32_t now_ms);
void rg_members_send_left(struct rg_members *m);

/* True once this instance has received the list of a member that has joined,
 * or all other instances listed by the platform are joining too, or no list
 * arrived within RG_MEMBERS_JOIN_TIMEOUT_MS. In the last case it may be the
 * first of its data centre, or cut off from all others. */
#define RG_MEMBERS_JOIN_TIMEOUT_MS 3000
bool rg_members_joined(const struct rg_members *m);

/* True from a pause of the process longer than the suspicion timeout until a
 * ping or ack of another member arrives; the list may be out of date. */
bool rg_members_stale(const struct rg_members *m);

uint16_t rg_members_self(const struct rg_members *m);
uint16_t rg_members_find_id(const struct rg_members *m, uint64_t id);
const struct rg_member *rg_members_at(const struct rg_members *m,
                                      uint16_t slot);
/* One more than the highest slot in use. */
uint16_t rg_members_slots(const struct rg_members *m);
/* Members that are alive or suspect, this instance included. */
uint16_t rg_members_alive_count(const struct rg_members *m);

/* Members that do not answer: suspects, and those that failed recently, unless
 * they have restarted or the platform no longer lists them. They may be
 * serving flows on the other side of a network partition. */
uint16_t rg_members_missing_count(const struct rg_members *m);

/* Members that are leaving, this instance not included. */
uint16_t rg_members_leaving_count(const struct rg_members *m);

/* When this instance joined; rg_members_joined() must be true. */
uint32_t rg_members_joined_ms(const struct rg_members *m);

/* The member to send to in order to reach `slot`: itself, or another one if it
 * cannot be reached directly. */
uint16_t rg_members_next_hop(const struct rg_members *m, uint16_t slot);

/* Sends one message to an instance. */
void rg_members_send(struct rg_members *m, const struct rg_addr *to,
                     const struct rg_msg *msg);

/* The entry of this instance in the member list. */
struct rg_msg_update rg_members_own_entry(const struct rg_members *m);

#endif
