/* Packets that wait for what peers say of their flows. Bounded; no I/O; one
 * owner. */
#ifndef RG_EDGE_HELD_PACKETS_H
#define RG_EDGE_HELD_PACKETS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/segment.h"

/* Packets held at a time. */
#define RG_HELD_MAX 32
/* Peers of the data centre answer within a few milliseconds. */
#define RG_HELD_TIMEOUT_MS 30

struct rg_held_packet {
    struct rg_segment segment; /* decoded from `data` */
    uint64_t until_ms;
    size_t len;
    uint8_t data[];
};

struct rg_held_packets;

struct rg_held_packets *rg_held_packets_create(void);
void rg_held_packets_destroy(struct rg_held_packets *h);

/* Copies a packet; false if there is no space left. */
bool rg_held_packets_add(struct rg_held_packets *h,
                         const struct rg_segment *segment, const uint8_t *data,
                         size_t len, uint64_t now_ms);

/* Takes out the first packet for which `is_due` returns true, NULL if there is
 * none. The caller frees it. Packets of a flow are returned in their order. */
struct rg_held_packet *
rg_held_packets_take(struct rg_held_packets *h,
                     bool (*is_due)(void *ctx, const struct rg_held_packet *p),
                     void *ctx);

size_t rg_held_packets_count(const struct rg_held_packets *h);

#endif
