#include "edge/held_packets.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

struct rg_held_packets {
    struct rg_held_packet *packets[RG_HELD_MAX]; /* oldest first */
    size_t count;
};

struct rg_held_packets *
rg_held_packets_create(void)
{
    return rg_calloc(1, sizeof(struct rg_held_packets));
}

void
rg_held_packets_destroy(struct rg_held_packets *h)
{
    if (!h) {
        return;
    }
    for (size_t i = 0; i < h->count; i++) {
        free(h->packets[i]);
    }
    free(h);
}

bool
rg_held_packets_add(struct rg_held_packets *h,
                    const struct rg_segment *segment, const uint8_t *data,
                    size_t len, uint64_t now_ms)
{
    if (h->count == RG_HELD_MAX) {
        return false;
    }
    struct rg_held_packet *p = rg_calloc(1, sizeof(*p) + len);
    p->segment = *segment;
    p->until_ms = now_ms + RG_HELD_TIMEOUT_MS;
    p->len = len;
    memcpy(p->data, data, len);
    h->packets[h->count++] = p;
    return true;
}

static struct rg_held_packet *
remove_at(struct rg_held_packets *h, size_t i)
{
    struct rg_held_packet *p = h->packets[i];

    h->count--;
    for (; i < h->count; i++) {
        h->packets[i] = h->packets[i + 1];
    }
    return p;
}

struct rg_held_packet *
rg_held_packets_take(struct rg_held_packets *h,
                     bool (*is_due)(void *ctx, const struct rg_held_packet *p),
                     void *ctx)
{
    for (size_t i = 0; i < h->count; i++) {
        if (is_due(ctx, h->packets[i])) {
            return remove_at(h, i);
        }
    }
    return NULL;
}

size_t
rg_held_packets_count(const struct rg_held_packets *h)
{
    return h->count;
}
