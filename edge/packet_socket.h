/* The UDP socket that callers' packets arrive on. Receives and sends in
 * batches with recvmmsg() and sendmmsg(). Not thread-safe. */
#ifndef RG_EDGE_PACKET_SOCKET_H
#define RG_EDGE_PACKET_SOCKET_H

#include <stdint.h>
#include <uv.h>

#include "balance/balancer.h"
#include "balance/flow_homes.h"
#include "common/err.h"

struct rg_packet_socket;

struct rg_packet_socket_opts {
    uv_loop_t *loop;
    struct rg_addr address;
    struct rg_balancer *balancer; /* borrowed */
    /* Called with the current time before packets are received. */
    void (*on_wakeup)(void *ctx, uint64_t now_ms);
    /* Called after packets were received of whose flows peers have to be asked
     * or told, see rg_balancer_has_flow_news(). */
    void (*on_flow_news)(void *ctx, uint64_t now_ms);
    void *ctx;
};

/* Returns NULL and adds an error to `err` if the address cannot be bound. */
struct rg_packet_socket *
rg_packet_socket_create(const struct rg_packet_socket_opts *opts,
                        struct rg_err *err);
void rg_packet_socket_destroy(struct rg_packet_socket *p);

/* Sends a reset in response to `last`, a caller's packet, without waiting for
 * the end of a batch. */
void rg_packet_socket_send_reset(struct rg_packet_socket *p,
                                 const struct rg_segment *last);

/* Drops the packets in the receive buffer. For use after a pause of the
 * process: the callers have retransmitted them or given up by then. */
void rg_packet_socket_discard(struct rg_packet_socket *p);

/* Time at which the last packet was received, 0 for none. */
uint64_t rg_packet_socket_last_received_ms(const struct rg_packet_socket *p);

#endif
