/* The socket that callers' packets arrive on: received and sent in batches.
 *
 * Uses recvmmsg() and sendmmsg() where the host has them. Not thread-safe. */
#ifndef RG_EDGE_PACKET_SOCKET_H
#define RG_EDGE_PACKET_SOCKET_H

#include <stdint.h>
#include <uv.h>

#include "balance/balancer.h"
#include "common/err.h"

struct rg_packet_socket;

struct rg_packet_socket_opts {
    uv_loop_t *loop;
    struct rg_addr address;
    struct rg_balancer *balancer; /* borrowed */
    /* Called before packets are taken, with the time. */
    void (*on_wakeup)(void *ctx, uint64_t now_ms);
    void *ctx;
};

/* NULL, with a finding, if the address cannot be bound. */
struct rg_packet_socket *
rg_packet_socket_create(const struct rg_packet_socket_opts *opts,
                        struct rg_err *err);
void rg_packet_socket_destroy(struct rg_packet_socket *p);

/* Sends the reset that answers `last`, at once. */
void rg_packet_socket_send_reset(struct rg_packet_socket *p,
                                 const struct rg_segment *last);

/* Drops what waits in the socket now: after a pause of the process its senders
 * have repeated it or given up. */
void rg_packet_socket_discard(struct rg_packet_socket *p);

/* Time the last packet was taken, 0 for none. */
uint64_t rg_packet_socket_last_received_ms(const struct rg_packet_socket *p);

#endif
