/* Actions that a core requests from the program around it.
 *
 * The core appends actions; the daemon carries them out and clears the list.
 * Nothing is allocated per packet: the list and its arena have a fixed size.
 * The body of a forwarded packet points into the receive buffer, so the
 * actions must be carried out before that buffer is used again. */
#ifndef RG_CORE_ACTION_H
#define RG_CORE_ACTION_H

#include <stddef.h>
#include <stdint.h>

#include "common/addr.h"
#include "core/gue.h"

enum rg_action_kind {
    RG_ACTION_SEND,  /* send head and body as one datagram to dst */
    RG_ACTION_FETCH, /* fetch a newer configuration from the peer dst (TCP) */
    RG_ACTION_LEFT,  /* a planned leave is complete: stop */
};

struct rg_action {
    uint8_t kind; /* enum rg_action_kind */
    uint8_t head_len;
    uint8_t head[RG_GUE_STEER_LEN];
    struct rg_addr dst;
    const uint8_t *body;
    size_t body_len;
    uint64_t generation; /* RG_ACTION_FETCH: configuration to fetch */
};

struct rg_actions {
    struct rg_action *items;
    size_t count;
    size_t capacity;
    uint8_t *arena; /* bodies of packets and messages the core builds */
    size_t arena_len;
    size_t arena_size;
    uint64_t dropped; /* actions that did not fit, since creation */
};

void rg_actions_init(struct rg_actions *a, size_t capacity, size_t arena_size);
void rg_actions_release(struct rg_actions *a);

/* Removes all actions; call it once they are carried out. */
void rg_actions_clear(struct rg_actions *a);

/* Appends an action with an empty head and body. Returns NULL and counts a
 * dropped action if the list is full. */
struct rg_action *rg_actions_add(struct rg_actions *a,
                                 enum rg_action_kind kind);

/* Allocates `size` bytes from the arena. Returns NULL and counts a dropped
 * action if it is full. */
uint8_t *rg_actions_alloc(struct rg_actions *a, size_t size);

#endif
