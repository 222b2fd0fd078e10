#include "core/action.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

void
rg_actions_init(struct rg_actions *a, size_t capacity, size_t arena_size)
{
    memset(a, 0, sizeof(*a));
    a->items = rg_calloc(capacity, sizeof(*a->items));
    a->capacity = capacity;
    a->arena = rg_calloc(arena_size, 1);
    a->arena_size = arena_size;
}

void
rg_actions_release(struct rg_actions *a)
{
    free(a->items);
    free(a->arena);
    memset(a, 0, sizeof(*a));
}

void
rg_actions_clear(struct rg_actions *a)
{
    a->count = 0;
    a->arena_len = 0;
}

struct rg_action *
rg_actions_add(struct rg_actions *a, enum rg_action_kind kind)
{
    if (a->count == a->capacity) {
        a->dropped++;
        return NULL;
    }
    struct rg_action *action = &a->items[a->count++];
    action->kind = (uint8_t)kind;
    action->head_len = 0;
    action->body = NULL;
    action->body_len = 0;
    action->generation = 0;
    return action;
}

uint8_t *
rg_actions_alloc(struct rg_actions *a, size_t size)
{
    if (size > a->arena_size - a->arena_len) {
        a->dropped++;
        return NULL;
    }
    uint8_t *room = a->arena + a->arena_len;
    a->arena_len += size;
    return room;
}
