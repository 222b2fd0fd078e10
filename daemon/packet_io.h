/* The UDP socket for packets: receives and sends in batches, without
 * allocating memory per packet. */
#ifndef RG_DAEMON_PACKET_IO_H
#define RG_DAEMON_PACKET_IO_H

#include "daemon/daemon.h"

/* Binds the packet address; NULL with an error in `err` if that fails. */
struct rg_packet_io *rg_packet_io_create(struct rg_daemon *d,
                                         struct rg_err *err);
void rg_packet_io_destroy(struct rg_packet_io *io);

/* Queues a datagram, which is sent when the batch is full or flushed. Its head
 * and body are not copied and must stay valid until then. */
void rg_packet_io_send(struct rg_packet_io *io, const struct rg_action *a);
void rg_packet_io_flush(struct rg_packet_io *io);

/* Datagrams that could not be sent, or were truncated on receipt. */
uint64_t rg_packet_io_lost(const struct rg_packet_io *io);

#endif
