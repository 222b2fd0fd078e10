#include "edge/packet_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/mem.h"
#include "common/udp.h"
#include "edge/held_packets.h"
#include "platform/packet.h"

#define BATCH 16 /* packets */
/* A valid packet is at most a header and 1,200 bytes of data. */
#define DATAGRAM_MAX 1536
#define SOCKET_BUFFER_BYTES (1024 * 1024)
/* Batches received before the event loop runs other callbacks. */
#define BATCHES_PER_WAKEUP 8
#define DISCARD_BATCHES_MAX 1024
/* How often held packets are looked at while there are any. */
#define HELD_CHECK_MS 5
/* How often it is checked whether there is room for openings that wait. */
#define WAITING_CHECK_MS 5

/* An opening that waits for room at its service. */
struct waiting_packet {
    size_t len;
    uint8_t data[];
};

struct rg_packet_socket {
    struct rg_packet_socket_opts opts;
    int fd;
    uv_poll_t poll;
    uv_timer_t held_timer; /* runs while packets are held */
    struct rg_held_packets *held;
    uv_timer_t waiting_timer; /* runs while openings wait */
    struct waiting_packet *waiting[RG_BALANCER_WAITING_MAX]; /* by slot */
    unsigned open_handles; /* closed by rg_packet_socket_destroy() */
    uint64_t last_ms;      /* when the last packet was received, 0: none */
    struct mmsghdr in[BATCH];
    struct iovec in_iov[BATCH];
    uint8_t data[BATCH][DATAGRAM_MAX];
    unsigned out_count; /* packets that flush() sends */
    struct mmsghdr out[BATCH];
    struct iovec out_iov[BATCH][2];
    struct sockaddr_storage out_to[BATCH];
    uint8_t prefix[BATCH][RG_WIRE_PREFIX_LEN];
    uint8_t reset[BATCH][RG_WIRE_HEADER_LEN];
};

/* Takes the next entry of the send queue. */
static struct msghdr *
next_slot(struct rg_packet_socket *p)
{
    unsigned i = p->out_count++;

    p->out[i].msg_hdr = (struct msghdr){
        .msg_name = &p->out_to[i],
        .msg_iov = p->out_iov[i],
    };
    return &p->out[i].msg_hdr;
}

static void
queue_packet(struct rg_packet_socket *p, uint8_t *data, size_t len,
             const struct rg_decision *decision)
{
    unsigned i = p->out_count;
    struct msghdr *m = next_slot(p);

    rg_wire_set_token(data, decision->token);
    rg_wire_prefix(p->prefix[i], decision->endpoint->wire_id);
    p->out_iov[i][0] = (struct iovec){p->prefix[i], RG_WIRE_PREFIX_LEN};
    p->out_iov[i][1] = (struct iovec){data, len};
    m->msg_iovlen = 2;
    m->msg_namelen = rg_addr_to_sock(&decision->endpoint->addr, &p->out_to[i]);
}

/* Callers receive packets at the same port number as this instance. */
static void
queue_reset(struct rg_packet_socket *p, const struct rg_segment *segment)
{
    unsigned i = p->out_count;
    struct msghdr *m = next_slot(p);
    struct sockaddr_in *to = (struct sockaddr_in *)&p->out_to[i];

    rg_wire_reset(p->reset[i], segment);
    *to = (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = htons(p->opts.address.port),
        .sin_addr.s_addr = htonl(segment->flow.caller_ip),
    };
    p->out_iov[i][0] = (struct iovec){p->reset[i], RG_WIRE_HEADER_LEN};
    m->msg_iovlen = 1;
    m->msg_namelen = sizeof(*to);
}

static void
flush(struct rg_packet_socket *p)
{
    struct rg_metrics *metrics = rg_balancer_metrics(p->opts.balancer);
    unsigned sent = 0;

    while (sent < p->out_count) {
        int n =
            sendmmsg(p->fd, p->out + sent, p->out_count - sent, MSG_DONTWAIT);
        if (n > 0) {
            sent += (unsigned)n;
        }
        else if (errno != EINTR) {
            /* Drops the packet that failed; later ones may succeed. */
            metrics->counters[RG_METRIC_SEND_FAILED]++;
            sent++;
        }
    }
    p->out_count = 0;
}

void
rg_packet_socket_send_reset(struct rg_packet_socket *p,
                            const struct rg_segment *last)
{
    queue_reset(p, last);
    flush(p);
}

/* Queues what the balancer has decided, but for packets that are kept. */
static void
carry_out(struct rg_packet_socket *p, const struct rg_decision *decision,
          const struct rg_segment *segment, uint8_t *data, size_t len)
{
    switch (decision->kind) {
    case RG_DECISION_FORWARD:
        queue_packet(p, data, len, decision);
        break;
    case RG_DECISION_REFUSE:
        queue_reset(p, segment);
        break;
    case RG_DECISION_DROP:
    case RG_DECISION_HOLD:
    case RG_DECISION_WAIT:
        break;
    }
}

/* Peers are asked and told of flows at once: packets wait for the answers, and
 * this instance may be gone soon. */
static void
exchange_flows(struct rg_packet_socket *p)
{
    if (rg_balancer_has_flow_news(p->opts.balancer)) {
        p->opts.on_flow_news(p->opts.ctx, rg_clock_boottime_ms());
    }
}

/* A held packet may be sent once peers have told of its flow, or its time is
 * over. */
static bool
is_due(void *ctx, const struct rg_held_packet *held)
{
    struct rg_packet_socket *p = ctx;

    return rg_clock_boottime_ms() >= held->until_ms ||
           rg_balancer_is_flow_found(p->opts.balancer, &held->segment);
}

static void
release_held(struct rg_packet_socket *p)
{
    struct rg_held_packet *held;

    while ((held = rg_held_packets_take(p->held, is_due, p)) != NULL) {
        struct rg_decision decision = rg_balancer_held_packet(
            p->opts.balancer, &held->segment, rg_clock_boottime_ms());
        carry_out(p, &decision, &held->segment, held->data, held->len);
        flush(p); /* the queue refers to the packet's memory */
        free(held);
    }
}

static void
on_held_timer(uv_timer_t *timer)
{
    struct rg_packet_socket *p = timer->data;

    release_held(p);
    exchange_flows(p);
    if (rg_held_packets_count(p->held) == 0) {
        uv_timer_stop(timer);
    }
}

static void
hold_packet(struct rg_packet_socket *p, const struct rg_segment *segment,
            uint8_t *data, size_t len, uint64_t now_ms)
{
    if (!rg_held_packets_add(p->held, segment, data, len, now_ms)) {
        struct rg_decision decision =
            rg_balancer_held_packet(p->opts.balancer, segment, now_ms);
        carry_out(p, &decision, segment, data, len);
        return;
    }
    if (!uv_is_active((const uv_handle_t *)&p->held_timer)) {
        uv_timer_start(&p->held_timer, on_held_timer, HELD_CHECK_MS,
                       HELD_CHECK_MS);
    }
}

/* Forwards or refuses openings whose wait is over. */
static void
on_waiting_timer(uv_timer_t *timer)
{
    struct rg_packet_socket *p = timer->data;
    struct rg_balancer *balancer = p->opts.balancer;
    struct rg_waiting_opening opening;

    while (
        rg_balancer_next_waiting(balancer, rg_clock_boottime_ms(), &opening)) {
        struct waiting_packet *w = p->waiting[opening.slot];
        p->waiting[opening.slot] = NULL;
        carry_out(p, &opening.decision, &opening.segment, w->data, w->len);
        flush(p); /* the queue refers to the packet's memory */
        free(w);
    }
    if (rg_balancer_waiting_count(balancer) == 0) {
        uv_timer_stop(timer);
    }
}

static void
keep_opening(struct rg_packet_socket *p, uint32_t slot, const uint8_t *data,
             size_t len)
{
    struct waiting_packet *w = rg_calloc(1, sizeof(*w) + len);

    w->len = len;
    memcpy(w->data, data, len);
    p->waiting[slot] = w;
    if (!uv_is_active((const uv_handle_t *)&p->waiting_timer)) {
        uv_timer_start(&p->waiting_timer, on_waiting_timer, WAITING_CHECK_MS,
                       WAITING_CHECK_MS);
    }
}

static void
handle_packet(struct rg_packet_socket *p, uint8_t *data, size_t len,
              uint64_t now_ms)
{
    struct rg_segment segment;

    if (!rg_wire_decode(&segment, data, len)) {
        rg_balancer_metrics(p->opts.balancer)->counters[RG_METRIC_MALFORMED]++;
        return;
    }
    struct rg_decision decision =
        rg_balancer_packet(p->opts.balancer, &segment, now_ms);
    if (decision.kind == RG_DECISION_HOLD) {
        hold_packet(p, &segment, data, len, now_ms);
        return;
    }
    if (decision.kind == RG_DECISION_WAIT) {
        keep_opening(p, decision.slot, data, len);
        return;
    }
    carry_out(p, &decision, &segment, data, len);
}

static int
receive(struct rg_packet_socket *p)
{
    for (int i = 0; i < BATCH; i++) {
        p->in_iov[i] = (struct iovec){p->data[i], DATAGRAM_MAX};
        p->in[i].msg_hdr = (struct msghdr){
            .msg_iov = &p->in_iov[i],
            .msg_iovlen = 1,
        };
    }
    return recvmmsg(p->fd, p->in, BATCH, MSG_DONTWAIT, NULL);
}

static void
on_readable(uv_poll_t *poll, int status, int events)
{
    struct rg_packet_socket *p = poll->data;

    (void)status;
    (void)events;
    p->opts.on_wakeup(p->opts.ctx, rg_clock_boottime_ms());
    for (int batch = 0; batch < BATCHES_PER_WAKEUP; batch++) {
        int count = receive(p);
        if (count <= 0) {
            return;
        }
        p->last_ms = rg_clock_boottime_ms();
        for (int i = 0; i < count; i++) {
            handle_packet(p, p->data[i], p->in[i].msg_len, p->last_ms);
        }
        flush(p);
        exchange_flows(p);
        if (count < BATCH) {
            return;
        }
    }
}

void
rg_packet_socket_discard(struct rg_packet_socket *p)
{
    uint64_t *discarded =
        &rg_balancer_metrics(p->opts.balancer)->counters[RG_METRIC_DISCARDED];
    int count;

    /* Bounded, since packets may arrive as fast as they are discarded. */
    for (int batch = 0; batch < DISCARD_BATCHES_MAX; batch++) {
        count = receive(p);
        *discarded += count > 0 ? (uint64_t)count : 0;
        if (count < BATCH) {
            return;
        }
    }
}

struct rg_packet_socket *
rg_packet_socket_create(const struct rg_packet_socket_opts *opts,
                        struct rg_err *err)
{
    int fd = rg_udp_open(&opts->address, SOCKET_BUFFER_BYTES);

    if (fd < 0) {
        rg_err_add(err, "packet_address", "an address this host can bind",
                   "%s", strerror(errno));
        return NULL;
    }
    struct rg_packet_socket *p = rg_calloc(1, sizeof(*p));
    p->opts = *opts;
    p->fd = fd;
    uv_poll_init(opts->loop, &p->poll, fd);
    p->poll.data = p;
    uv_timer_init(opts->loop, &p->held_timer);
    p->held_timer.data = p;
    uv_timer_init(opts->loop, &p->waiting_timer);
    p->waiting_timer.data = p;
    p->held = rg_held_packets_create();
    p->open_handles = 3;
    uv_poll_start(&p->poll, UV_READABLE, on_readable);
    return p;
}

static void
on_closed(uv_handle_t *handle)
{
    struct rg_packet_socket *p = handle->data;

    if (--p->open_handles > 0) {
        return;
    }
    close(p->fd);
    rg_held_packets_destroy(p->held);
    for (int i = 0; i < RG_BALANCER_WAITING_MAX; i++) {
        free(p->waiting[i]);
    }
    free(p);
}

void
rg_packet_socket_destroy(struct rg_packet_socket *p)
{
    if (p) {
        uv_close((uv_handle_t *)&p->held_timer, on_closed);
        uv_close((uv_handle_t *)&p->waiting_timer, on_closed);
        uv_close((uv_handle_t *)&p->poll, on_closed);
    }
}

uint64_t
rg_packet_socket_last_received_ms(const struct rg_packet_socket *p)
{
    return p->last_ms;
}
