#include "balance/tracked_flows.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "common/rand.h"

#define SIZE_MIN 256

struct rg_tracked_flows {
    struct rg_tracked_flow *slots;
    size_t size; /* a power of two */
    size_t count;
    size_t most;
};

static size_t
slot_of(const struct rg_tracked_flows *t, const struct rg_flow_id *f)
{
    uint64_t ips = (uint64_t)f->caller_ip << 32 | f->service_ip;
    uint64_t ports = (uint64_t)f->caller_port << 16 | f->service_port;

    return rg_mix64(ips ^ rg_mix64(ports)) & (t->size - 1);
}

static struct rg_tracked_flow *
free_slot(struct rg_tracked_flows *t, const struct rg_flow_id *flow)
{
    size_t i = slot_of(t, flow);

    while (t->slots[i].endpoint) {
        i = (i + 1) & (t->size - 1);
    }
    return &t->slots[i];
}

/* Moves every entry that is kept into a table of `size` slots. */
static void
rebuild(struct rg_tracked_flows *t, size_t size)
{
    struct rg_tracked_flow *old = t->slots;
    size_t old_size = t->size;

    t->slots = rg_calloc(size, sizeof(*t->slots));
    t->size = size;
    for (size_t i = 0; i < old_size; i++) {
        if (old[i].endpoint) {
            *free_slot(t, &old[i].flow) = old[i];
        }
    }
    free(old);
}

struct rg_tracked_flow *
rg_tracked_flows_find(const struct rg_tracked_flows *t,
                      const struct rg_flow_id *flow)
{
    for (size_t i = slot_of(t, flow); t->slots[i].endpoint;
         i = (i + 1) & (t->size - 1))
    {
        if (memcmp(&t->slots[i].flow, flow, sizeof(*flow)) == 0) {
            return &t->slots[i];
        }
    }
    return NULL;
}

struct rg_tracked_flow *
rg_tracked_flows_add(struct rg_tracked_flows *t, const struct rg_flow_id *flow)
{
    if (t->count == t->most) {
        return NULL;
    }
    if ((t->count + 1) * 2 > t->size) {
        rebuild(t, t->size * 2);
    }
    struct rg_tracked_flow *track = free_slot(t, flow);
    *track = (struct rg_tracked_flow){.flow = *flow};
    t->count++;
    return track;
}

void
rg_tracked_flows_sweep(struct rg_tracked_flows *t,
                       bool (*expired)(void *ctx,
                                       struct rg_tracked_flow *track),
                       void *ctx)
{
    size_t before = t->count;

    for (size_t i = 0; i < t->size; i++) {
        if (t->slots[i].endpoint && expired(ctx, &t->slots[i])) {
            t->slots[i].endpoint = NULL;
            t->count--;
        }
    }
    if (t->count == before) {
        return;
    }
    /* Entries behind a gap are found again only once they are placed anew. */
    bool shrink = t->size > SIZE_MIN && t->count * 8 < t->size;
    rebuild(t, shrink ? t->size / 2 : t->size);
}

size_t
rg_tracked_flows_count(const struct rg_tracked_flows *t)
{
    return t->count;
}

struct rg_tracked_flows *
rg_tracked_flows_create(size_t most)
{
    struct rg_tracked_flows *t = rg_calloc(1, sizeof(*t));

    t->most = most;
    t->size = SIZE_MIN;
    t->slots = rg_calloc(t->size, sizeof(*t->slots));
    return t;
}

void
rg_tracked_flows_destroy(struct rg_tracked_flows *t)
{
    if (t) {
        free(t->slots);
        free(t);
    }
}
