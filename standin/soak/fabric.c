/* The fabric between callers and edges: chooses an edge for each packet, moves
 * flows when it hashes anew, loses datagrams, and delivers some late. */
#include <string.h>

#include "standin/soak/soak.h"
#include "standin/soak/wire.h"

#define LATE_MAX_MS 700

/* A packet without data that is delivered late. */
struct late_packet {
    uint64_t due_ms;
    uv_udp_t *from; /* the caller's socket */
    const struct soak_edge *edge;
    size_t len;
    uint8_t data[SOAK_HEADER_LEN];
};

/* Rendezvous hashing over the ready edges, or over all if none is ready. */
struct soak_edge *
soak_fabric_pick(struct soak *s, int caller, uint16_t port)
{
    struct soak_edge *best = NULL;
    uint64_t best_score = 0;

    for (int pass = 0; pass < 2 && !best; pass++) {
        for (int i = 0; i < s->edge_count; i++) {
            uint64_t score =
                rg_mix64(s->fabric_hash ^
                         ((uint64_t)i << 40 | (uint64_t)caller << 16 | port));
            if ((pass || s->edges[i].ready) && score >= best_score) {
                best_score = score;
                best = &s->edges[i];
            }
        }
    }
    return best;
}

void
soak_fabric_deliver(struct soak *s, uv_udp_t *from,
                    const struct soak_edge *edge, const uint8_t *data,
                    size_t len)
{
    uv_buf_t buf = uv_buf_init((char *)data, (unsigned)len);
    struct sockaddr_in to;
    char ip[32];

    if (soak_loses_datagram(s)) {
        return;
    }
    soak_ip(s, SOAK_EDGE_SUBNET, edge->index + 1, ip);
    uv_ip4_addr(ip, SOAK_PACKET_PORT, &to);
    uv_udp_try_send(from, &buf, 1, (const struct sockaddr *)&to);
}

void
soak_fabric_deliver_late(struct soak *s, uv_udp_t *from,
                         const struct soak_edge *edge, const uint8_t *data,
                         size_t len)
{
    struct late_packet *late = g_new0(struct late_packet, 1);

    g_assert(len <= sizeof(late->data));
    late->due_ms = s->now_ms + rg_rand_below(&s->rand, LATE_MAX_MS);
    late->from = from;
    late->edge = edge;
    late->len = len;
    memcpy(late->data, data, len);
    g_ptr_array_add(s->late_packets, late);
}

void
soak_fabric_tick(struct soak *s)
{
    for (guint i = 0; i < s->late_packets->len;) {
        struct late_packet *late = s->late_packets->pdata[i];
        if (s->now_ms < late->due_ms) {
            i++;
            continue;
        }
        soak_fabric_deliver(s, late->from, late->edge, late->data, late->len);
        g_ptr_array_remove_index_fast(s->late_packets, i);
    }
}

void
soak_fabric_start(struct soak *s)
{
    s->late_packets = g_ptr_array_new_with_free_func(g_free);
}
