/* Private to membership: its state and the functions shared by the source
 * files member*.c. */
#ifndef RG_CORE_MEMBER_PRIV_H
#define RG_CORE_MEMBER_PRIV_H

#include "core/member.h"

#define LISTED_MAX 256
/* Minimum time between two requests for a member's list. */
#define VIEW_REQUEST_INTERVAL_MS 1000

struct rg_probe {
    uint16_t slot; /* RG_MEMBER_NONE: no probe is running */
    uint32_t seq;
    uint32_t sent_ms;
    bool indirect; /* ping requests were sent to other members */
    bool relayed;  /* one of them received an ack */
};

/* A ping sent on behalf of another member. */
struct rg_relayed_ping {
    struct rg_addr requester;
    uint32_t request_seq; /* of the ping request */
    uint32_t ping_seq;    /* of the ping */
};

#define RELAYS_MAX 16

struct rg_members {
    struct rg_members_opts opts;
    struct rg_log log;
    struct rg_member slots[RG_MEMBER_MAX];
    uint16_t slot_count;
    uint16_t self;
    uint16_t alive;
    uint16_t missing;
    uint16_t leaving;
    uint32_t seq;
    struct rg_probe probe;
    uint16_t probe_order[RG_MEMBER_MAX]; /* shuffled slots still to probe */
    uint16_t probe_order_count;
    uint32_t next_probe_ms;
    uint32_t probes;
    struct rg_relayed_ping relays[RELAYS_MAX];
    uint32_t next_relay;
    uint64_t generation;
    uint64_t digest; /* of the member list */
    struct rg_addr listed[LISTED_MAX];
    size_t listed_count;
    uint32_t last_tick_ms;
    bool ticked;
    bool stale;
    bool joined;
    uint32_t joined_ms;
    uint32_t first_tick_ms;
    uint32_t next_join_ms;
};

/* True for states in which a member takes part in the ranking of owners. */
bool rg_member_is_ranked(uint8_t state);
void rg_member_update_digest(struct rg_members *m);
void rg_member_count_missing(struct rg_members *m, uint32_t now_ms);
void rg_member_set_state(struct rg_members *m, uint16_t slot,
                         enum rg_member_state state, uint64_t incarnation,
                         uint32_t now_ms);

/* Slot of the member's highest incarnation; RG_MEMBER_NONE if unknown. */
uint16_t rg_member_find_latest(const struct rg_members *m, uint64_t id);
/* Applies an update about a member, unless a newer state is known. */
void rg_member_apply_update(struct rg_members *m,
                            const struct rg_msg_update *u, uint32_t now_ms);
struct rg_msg_update rg_member_entry(const struct rg_member *e);

/* Picks the updates that were piggybacked the fewest times so far. */
uint16_t rg_member_pick_updates(struct rg_members *m,
                                struct rg_msg_update *out, size_t max);
/* Sends a ping. If `about` is not alive, the ping carries the update about it
 * first, so that the receiver can refute it. */
void rg_member_send_ping(struct rg_members *m, const struct rg_addr *to,
                         uint32_t seq, const struct rg_member *about);
void rg_member_send_ack(struct rg_members *m, const struct rg_addr *to,
                        uint32_t seq);
void rg_member_send_view(struct rg_members *m, const struct rg_addr *to);

/* Handles what every ping and ack carries: the sender's entry, generation and
 * list digest, and piggybacked updates. */
void rg_member_apply_gossip(struct rg_members *m,
                            const struct rg_msg_update *from,
                            uint64_t generation, uint64_t view,
                            const struct rg_msg_update *updates,
                            uint16_t count, uint32_t now_ms);
void rg_member_set_reachable(struct rg_members *m, uint16_t slot,
                             bool reachable);
void rg_member_on_ack(struct rg_members *m, const struct rg_msg_ack *a,
                      uint32_t now_ms);
void rg_member_on_ping_request(struct rg_members *m,
                               const struct rg_msg_ping_request *q);
void rg_member_shuffle_probe_order(struct rg_members *m);
void rg_member_probe_indirectly(struct rg_members *m);
void rg_member_set_joined(struct rg_members *m, uint32_t now_ms);

/* Sets this instance as joined if a condition of rg_members_joined() holds;
 * else pings all seeds and listed instances. */
void rg_member_try_join(struct rg_members *m, uint32_t now_ms);
void rg_member_end_probe(struct rg_members *m, uint32_t now_ms);
void rg_member_start_probe(struct rg_members *m, uint32_t now_ms);
void rg_member_expire_suspects(struct rg_members *m, uint32_t now_ms);

/* After a pause of this process, marks the member list stale, ends the running
 * probe and restarts the timeout of suspects, because answers during the pause
 * were not handled. */
void rg_member_detect_pause(struct rg_members *m, uint32_t now_ms);

#endif
