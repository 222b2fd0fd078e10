/* The UDP socket that callers' packets arrive on. Receives and sends in
 * batches with recvmmsg() and sendmmsg(). Not thread-safe. */
#ifndef RG_EDGE_PACKET_PORT_H
#define RG_EDGE_PACKET_PORT_H

#include <stdint.h>
#include <uv.h>

#include "balance/balancer.h"
#include "common/err.h"

struct rg_packet_port;

struct rg_packet_port_opts {
    uv_loop_t *loop;
    struct rg_addr address;
    struct rg_balancer *balancer; /* borrowed */
    /* Called with the time before packets are received. */
    void (*on_turn)(void *ctx, uint64_t now_ms);
    void *ctx;
};

/* Returns NULL and adds an error to `err` if the address cannot be bound. */
struct rg_packet_port *
rg_packet_port_create(const struct rg_packet_port_opts *opts,
                      struct rg_err *err);
void rg_packet_port_destroy(struct rg_packet_port *p);

/* Sends a reset in response to `last`, a caller's packet, without waiting for
 * the end of a batch. */
void rg_packet_port_refuse(struct rg_packet_port *p,
                           const struct rg_segment *last);

/* Drops the packets in the receive buffer. For use after a pause of the
 * process: the callers have repeated them or given up by then. */
void rg_packet_port_discard(struct rg_packet_port *p);

/* When the last packet was received, 0 for none. */
uint64_t rg_packet_port_last_ms(const struct rg_packet_port *p);

#endif
