#include "daemon/packet_io.h"
#include "common/clock.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/mem.h"
#include "common/udp.h"

#define BATCH 64
#define DATAGRAM_MAX_BYTES 9216
#define SOCKET_BUFFER_BYTES (8 * 1024 * 1024)
/* Batches received per wake-up, so that other events of the loop are not
 * starved. */
#define BATCHES_PER_WAKEUP 8

struct rg_packet_io {
    struct rg_daemon *d;
    int fd;
    uv_poll_t poll;
    uint8_t *buffers; /* BATCH buffers of DATAGRAM_MAX_BYTES */
    struct mmsghdr in[BATCH];
    struct iovec in_iov[BATCH];
    struct sockaddr_storage in_from[BATCH];
    struct mmsghdr out[BATCH];
    struct iovec out_iov[BATCH][2];
    struct sockaddr_storage out_to[BATCH];
    unsigned out_count;
    uint64_t lost;
};

static void
prepare_receive(struct rg_packet_io *io)
{
    for (int i = 0; i < BATCH; i++) {
        io->in_iov[i].iov_base = io->buffers + (size_t)i * DATAGRAM_MAX_BYTES;
        io->in_iov[i].iov_len = DATAGRAM_MAX_BYTES;
        io->in[i].msg_hdr = (struct msghdr){
            .msg_name = &io->in_from[i],
            .msg_namelen = sizeof(io->in_from[i]),
            .msg_iov = &io->in_iov[i],
            .msg_iovlen = 1,
        };
    }
}

static void
handle_datagram(struct rg_packet_io *io, int i, uint64_t now_ms)
{
    const struct msghdr *m = &io->in[i].msg_hdr;
    struct rg_addr from;

    if (m->msg_flags & MSG_TRUNC) {
        io->lost++;
        return;
    }
    if (rg_addr_from_sock(&from, (const struct sockaddr *)&io->in_from[i])) {
        rg_core_handle_datagram(io->d->core, &from, io->in_iov[i].iov_base,
                                io->in[i].msg_len, now_ms);
    }
}

static void
on_readable(uv_poll_t *poll, int status, int events)
{
    struct rg_packet_io *io = poll->data;

    (void)status;
    (void)events;
    for (int n = 0; n < BATCHES_PER_WAKEUP; n++) {
        prepare_receive(io);
        int count = recvmmsg(io->fd, io->in, BATCH, MSG_DONTWAIT, NULL);
        if (count <= 0) {
            rg_core_backlog_drained(io->d->core);
            return;
        }
        uint64_t now_ms = rg_clock_ms();
        for (int i = 0; i < count; i++) {
            handle_datagram(io, i, now_ms);
        }
        io->d->ops.run_actions(io->d);
        if (count < BATCH) {
            rg_core_backlog_drained(io->d->core);
            return;
        }
    }
}

struct rg_packet_io *
rg_packet_io_create(struct rg_daemon *d, struct rg_err *err)
{
    int fd = rg_udp_open(&d->settings.packet_address, SOCKET_BUFFER_BYTES);

    if (fd < 0) {
        rg_err_add(err, "packet_address", "an address this host can bind",
                   "%s", strerror(errno));
        return NULL;
    }
    struct rg_packet_io *io = rg_calloc(1, sizeof(*io));
    io->d = d;
    io->fd = fd;
    io->buffers = rg_calloc(BATCH, DATAGRAM_MAX_BYTES);
    uv_poll_init(&d->loop, &io->poll, fd);
    io->poll.data = io;
    uv_poll_start(&io->poll, UV_READABLE, on_readable);
    return io;
}

static void
on_closed(uv_handle_t *handle)
{
    struct rg_packet_io *io = handle->data;

    close(io->fd);
    free(io->buffers);
    free(io);
}

void
rg_packet_io_destroy(struct rg_packet_io *io)
{
    if (io) {
        uv_close((uv_handle_t *)&io->poll, on_closed);
    }
}

void
rg_packet_io_send(struct rg_packet_io *io, const struct rg_action *a)
{
    unsigned i = io->out_count++;

    io->out_iov[i][0].iov_base = (void *)a->head;
    io->out_iov[i][0].iov_len = a->head_len;
    io->out_iov[i][1].iov_base = (void *)a->body;
    io->out_iov[i][1].iov_len = a->body_len;
    io->out[i].msg_hdr = (struct msghdr){
        .msg_name = &io->out_to[i],
        .msg_namelen = rg_addr_to_sock(&a->dst, &io->out_to[i]),
        .msg_iov = io->out_iov[i],
        .msg_iovlen = 2,
    };
    if (io->out_count == BATCH) {
        rg_packet_io_flush(io);
    }
}

void
rg_packet_io_flush(struct rg_packet_io *io)
{
    unsigned sent = 0;

    while (sent < io->out_count) {
        int n = sendmmsg(io->fd, io->out + sent, io->out_count - sent,
                         MSG_DONTWAIT);
        if (n > 0) {
            sent += (unsigned)n;
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        io->lost++; /* this datagram; the next ones may still be sent */
        sent++;
    }
    io->out_count = 0;
}

uint64_t
rg_packet_io_lost(const struct rg_packet_io *io)
{
    return io->lost;
}
