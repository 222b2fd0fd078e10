/* Membership of one data centre: probing with indirect probes, suspicion and
 * piggybacked news (SWIM), and a digest of the list to repair what news
 * missed. The cost of a member does not grow with the group. */
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

/* Most members of a data centre, dead ones still remembered included. */
#define RG_MEMBER_MAX 1024
#define RG_MEMBER_NONE UINT16_MAX

/* Order matters: of two states with one incarnation the higher holds. */
enum rg_member_state {
    RG_MEMBER_ALIVE,
    RG_MEMBER_SUSPECT,
    RG_MEMBER_LEAVING,
    RG_MEMBER_DEAD,
};

/* Incarnations are (start time of the instance in ms << this) | count of
 * refutations, so that a restart is told from a refutation. */
#define RG_INCARNATION_START_SHIFT 16

/* A member. The slot of a member never changes; an instance that restarts
 * gets a new one, because it has lost its records. */
struct rg_member {
    bool used;
    uint8_t state;    /* enum rg_member_state */
    uint8_t news;     /* times its state is still to be piggybacked */
    bool lost;        /* dead without having left */
    bool unreachable; /* alive, but only others get through to it */
    bool newborn;     /* had not joined when it last sent its list */
    struct rg_name name;
    uint64_t id; /* hash of the name */
    struct rg_addr addr;
    uint64_t incarnation;
    uint32_t changed_ms; /* last change of state */
    uint32_t synced_ms;  /* last request for its list */
};

struct rg_members_opts {
    struct rg_name name;
    struct rg_addr addr;
    uint64_t incarnation;
    uint32_t probe_ms;
    uint32_t ack_ms;
    uint32_t suspect_ms;
    uint32_t indirect;
    const struct rg_addr *seeds; /* borrowed */
    size_t seed_count;
    struct rg_rand *rand;       /* borrowed */
    struct rg_actions *actions; /* borrowed */
    const struct rg_log *log;   /* borrowed */
    /* A member was added, or changed its state. */
    void (*on_change)(void *ctx, uint16_t slot, enum rg_member_state before);
    /* A member, the one at `addr`, holds this configuration. */
    void (*on_generation)(void *ctx, const struct rg_addr *addr,
                          uint64_t generation);
    void *ctx;
};

struct rg_members;

struct rg_members *rg_members_create(const struct rg_members_opts *opts);
void rg_members_destroy(struct rg_members *m);

/* Time passes; call it several times each probe interval. */
void rg_members_tick(struct rg_members *m, uint32_t now_ms);

/* Takes a membership message; false if it is of another kind. */
bool rg_members_handle_message(struct rg_members *m, const struct rg_msg *msg,
                               const struct rg_addr *from, uint32_t now_ms);

/* Addresses from the platform's instance list, asked like seeds. The list only
 * adds: it never removes a member. */
void rg_members_set_listed(struct rg_members *m, const struct rg_addr *addrs,
                           size_t count);

/* Generation told to others with each probe. */
void rg_members_set_generation(struct rg_members *m, uint64_t generation);

/* Announces that this instance leaves, or that it has left. */
void rg_members_leave(struct rg_members *m, uint32_t now_ms);
void rg_members_send_left(struct rg_members *m);

/* True once this instance has the list of a member that has joined, or knows
 * that all that the platform lists start as it does, or has waited for a list
 * in vain for RG_MEMBERS_JOIN_TIMEOUT_MS: it may then be the first of its data
 * centre, or cut off from all others. */
#define RG_MEMBERS_JOIN_TIMEOUT_MS 3000
bool rg_members_joined(const struct rg_members *m);

/* True after a pause longer than the suspicion time until another member has
 * answered; the list may be out of date. */
bool rg_members_stale(const struct rg_members *m);

uint16_t rg_members_self(const struct rg_members *m);
uint16_t rg_members_find_id(const struct rg_members *m, uint64_t id);
const struct rg_member *rg_members_at(const struct rg_members *m,
                                      uint16_t slot);
/* One more than the highest slot in use. */
uint16_t rg_members_slots(const struct rg_members *m);
/* Members that are alive or suspect, this instance included. */
uint16_t rg_members_alive_count(const struct rg_members *m);

/* Members that do not answer: suspects, and those lost without leaving,
 * lately, of which neither a new life nor the platform's list has told that
 * they are gone for good. They may be serving on the other side of a split. */
uint16_t rg_members_missing_count(const struct rg_members *m);

/* Members that are leaving, this instance not included. */
uint16_t rg_members_leaving_count(const struct rg_members *m);

/* When this instance joined; rg_members_joined() must be true. */
uint32_t rg_members_joined_ms(const struct rg_members *m);

/* A member through which `slot` can be reached: itself, or another one if the
 * direct way does not work. */
uint16_t rg_members_next_hop(const struct rg_members *m, uint16_t slot);

/* Sends one message to an instance. */
void rg_members_send(struct rg_members *m, const struct rg_addr *to,
                     const struct rg_msg *msg);

/* This instance's own entry. */
struct rg_msg_update rg_members_own_entry(const struct rg_members *m);

#endif
