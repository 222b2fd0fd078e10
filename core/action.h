/* What a core asks its surroundings to do.
 *
 * The core appends; the daemon carries out and clears. Nothing is allocated
 * per packet: the list and its arena are made once and bounded. A packet's
 * body borrows from the buffer it came in, so the list must be carried out
 * before that buffer is used again. */
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
    uint64_t generation; /* of a fetch */
};

struct rg_actions {
    struct rg_action *items;
    size_t count;
    size_t capacity;
    uint8_t *arena; /* bytes of bodies the core makes itself */
    size_t arena_len;
    size_t arena_size;
    uint64_t dropped; /* actions that did not fit, since creation */
};

void rg_actions_init(struct rg_actions *a, size_t capacity, size_t arena_size);
void rg_actions_release(struct rg_actions *a);

/* Forgets all actions; call it once they are carried out. */
void rg_actions_clear(struct rg_actions *a);

/* A new action, zeroed but for its kind; NULL, and counted, if full. */
struct rg_action *rg_actions_add(struct rg_actions *a,
                                 enum rg_action_kind kind);

/* Room of `size` bytes in the arena; NULL, and counted, if full. */
uint8_t *rg_actions_alloc(struct rg_actions *a, size_t size);

#endif
