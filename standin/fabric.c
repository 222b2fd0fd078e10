/* Stand-in for the fabric: sends each packet to a random ready instance, and
 * carries the packets of upstreams and instances back to the callers. Can
 * drop, duplicate and delay packets. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/mem.h"
#include "core/packet.h"
#include "standin/common.h"

#define TARGETS_MAX 256
#define CALLERS_MAX 64
#define POLL_MS 100
#define POLL_TIMEOUT_MS 300
#define FAILED_POLLS_TO_WITHDRAW 2 /* in a row */
#define DELAYED_MAX 256
#define PERMILLE 1000

struct target {
    struct rg_addr packets;
    struct rg_addr admin;
    bool ready;
    int failed_polls;
    uint64_t sent;
    /* The readiness poll under way. */
    uv_tcp_t tcp;
    uv_connect_t connect;
    uv_write_t write;
    bool polling;
    bool closing;
    uint64_t started_ms;
    char answer[64];
    size_t answer_len;
};

/* Address to which packets for a caller's IP address are sent. */
struct caller {
    uint8_t ip[RG_IP_LEN];
    struct rg_addr addr;
};

struct delayed {
    struct rg_addr to;
    uint8_t *data;
    size_t len;
};

static struct {
    uv_loop_t loop;
    struct sd_udp callers_side;
    struct sd_udp return_side;
    uv_timer_t timer;
    struct rg_addr listen;
    struct rg_addr return_addr;
    struct target targets[TARGETS_MAX];
    size_t target_count;
    struct caller *callers;
    size_t caller_count;
    size_t caller_capacity;
    struct rg_rand rand;
    uint32_t drop_permille;
    uint32_t duplicate_permille;
    uint32_t delay_permille;
    struct delayed delayed[DELAYED_MAX];
    size_t delayed_count;
    uint64_t packets;
    uint64_t no_target;
} fabric;

/* --- readiness ------------------------------------------------------------
 */

static void
on_poll_closed(uv_handle_t *handle)
{
    struct target *t = handle->data;

    t->polling = false;
    t->closing = false;
}

static void
end_poll(struct target *t, bool ok)
{
    if (t->closing) {
        return;
    }
    t->closing = true;
    if (ok) {
        t->failed_polls = 0;
        t->ready = strncmp(t->answer, "HTTP/1.1 200", 12) == 0;
    }
    else if (++t->failed_polls >= FAILED_POLLS_TO_WITHDRAW) {
        t->ready = false;
    }
    uv_close((uv_handle_t *)&t->tcp, on_poll_closed);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static char scratch[65536];

    (void)handle;
    (void)suggested;
    *buf = uv_buf_init(scratch, sizeof(scratch));
}

static void
on_answer(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
    struct target *t = stream->data;

    if (count < 0) {
        end_poll(t, false);
        return;
    }
    size_t space = sizeof(t->answer) - t->answer_len;
    size_t take = (size_t)count < space ? (size_t)count : space;
    memcpy(t->answer + t->answer_len, buf->base, take);
    t->answer_len += take;
    if (t->answer_len >= 12) {
        end_poll(t, true);
    }
}

static void
on_connected(uv_connect_t *req, int status)
{
    static char get[] = "GET /ready HTTP/1.0\r\n\r\n";
    struct target *t = req->data;
    uv_buf_t buf = uv_buf_init(get, sizeof(get) - 1);

    if (status < 0 || t->closing) {
        end_poll(t, false);
        if (status == UV_ECONNREFUSED) {
            t->ready = false;
        }
        return;
    }
    uv_write(&t->write, (uv_stream_t *)&t->tcp, &buf, 1, NULL);
    uv_read_start((uv_stream_t *)&t->tcp, on_alloc, on_answer);
}

static void
start_poll(struct target *t, uint64_t now)
{
    struct sockaddr_storage sa;

    t->polling = true;
    t->started_ms = now;
    t->answer_len = 0;
    uv_tcp_init(&fabric.loop, &t->tcp);
    t->tcp.data = t;
    t->connect.data = t;
    rg_addr_to_sock(&t->admin, &sa);
    if (uv_tcp_connect(&t->connect, &t->tcp, (struct sockaddr *)&sa,
                       on_connected) != 0)
    {
        end_poll(t, false);
    }
}

static void
send_delayed(void)
{
    for (size_t i = 0; i < fabric.delayed_count; i++) {
        struct delayed *d = &fabric.delayed[i];
        sd_udp_send(&fabric.callers_side, &d->to, d->data, d->len);
        free(d->data);
    }
    fabric.delayed_count = 0;
}

static void
on_timer(uv_timer_t *timer)
{
    static uint64_t last_poll;
    uint64_t now = rg_clock_ms();

    (void)timer;
    send_delayed();
    if (now - last_poll < POLL_MS) {
        return;
    }
    last_poll = now;
    for (size_t i = 0; i < fabric.target_count; i++) {
        struct target *t = &fabric.targets[i];
        if (!t->polling) {
            start_poll(t, now);
        }
        else if (!t->closing && now - t->started_ms > POLL_TIMEOUT_MS) {
            end_poll(t, false);
        }
    }
}

/* --- packets --------------------------------------------------------------
 */

static bool
chance(uint32_t permille)
{
    return permille > 0 && rg_rand_below(&fabric.rand, PERMILLE) < permille;
}

static struct target *
pick_target(void)
{
    struct target *ready[TARGETS_MAX];
    uint32_t count = 0;

    for (size_t i = 0; i < fabric.target_count; i++) {
        if (fabric.targets[i].ready) {
            ready[count++] = &fabric.targets[i];
        }
    }
    return count > 0 ? ready[rg_rand_below(&fabric.rand, count)] : NULL;
}

static void
forward(const uint8_t *data, size_t len)
{
    struct target *t = pick_target();

    if (!t) {
        fabric.no_target++;
        return;
    }
    t->sent++;
    if (chance(fabric.delay_permille) && fabric.delayed_count < DELAYED_MAX) {
        struct delayed *d = &fabric.delayed[fabric.delayed_count++];
        d->to = t->packets;
        d->data = rg_calloc(1, len);
        d->len = len;
        memcpy(d->data, data, len);
        return;
    }
    sd_udp_send(&fabric.callers_side, &t->packets, data, len);
}

static struct caller *
find_caller(const uint8_t *ip)
{
    for (size_t i = 0; i < fabric.caller_count; i++) {
        if (memcmp(fabric.callers[i].ip, ip, RG_IP_LEN) == 0) {
            return &fabric.callers[i];
        }
    }
    return NULL;
}

static void
learn_caller(const uint8_t *ip, const struct rg_addr *from)
{
    struct caller *c = find_caller(ip);

    if (!c) {
        if (fabric.caller_count == fabric.caller_capacity) {
            fabric.caller_capacity = fabric.caller_capacity * 2 + 64;
            fabric.callers =
                rg_realloc(fabric.callers,
                           fabric.caller_capacity * sizeof(*fabric.callers));
        }
        c = &fabric.callers[fabric.caller_count++];
        memcpy(c->ip, ip, RG_IP_LEN);
    }
    c->addr = *from;
}

static void
on_caller_packet(void *ctx, const struct rg_addr *from, const uint8_t *data,
                 size_t len)
{
    struct rg_packet p;

    (void)ctx;
    fabric.packets++;
    if (rg_packet_parse(&p, data, len) == RG_PACKET_OK) {
        learn_caller(p.key.src, from);
    }
    if (chance(fabric.drop_permille)) {
        return;
    }
    forward(data, len);
    if (chance(fabric.duplicate_permille)) {
        forward(data, len);
    }
}

/* Gets the destination address of an IP packet of any protocol. */
static bool
get_destination(uint8_t ip[RG_IP_LEN], const uint8_t *data, size_t len)
{
    if (len >= 20 && data[0] >> 4 == 4) {
        rg_ip_from_v4(ip, data + 16);
        return true;
    }
    if (len >= 40 && data[0] >> 4 == 6) {
        memcpy(ip, data + 24, RG_IP_LEN);
        return true;
    }
    return false;
}

static void
on_return_packet(void *ctx, const struct rg_addr *from, const uint8_t *data,
                 size_t len)
{
    uint8_t ip[RG_IP_LEN];

    (void)ctx;
    (void)from;
    if (!get_destination(ip, data, len) || chance(fabric.drop_permille)) {
        return;
    }
    const struct caller *c = find_caller(ip);
    if (c) {
        sd_udp_send(&fabric.callers_side, &c->addr, data, len);
    }
}

static const struct argp_option options[] = {
    {"listen", 'l', "ADDRESS", 0, "address that callers send to (UDP)", 0},
    {"return", 'r', "ADDRESS", 0, "address that upstreams send to (UDP)", 0},
    {"target", 't', "PACKETS,ADMIN", 0, "addresses of an instance (repeat)",
     0},
    {"seed", 's', "N", 0, "seed of the random numbers", 0},
    {"drop", 'd', "N", 0, "packets of 1000 to drop", 0},
    {"double", '2', "N", 0, "packets of 1000 to duplicate", 0},
    {"delay", 'e', "N", 0, "packets of 1000 to delay past others", 0},
    {0},
};

static void
add_target(char *arg)
{
    char *comma = strchr(arg, ',');

    if (!comma || fabric.target_count == TARGETS_MAX) {
        sd_die("invalid or too many --target: %s", arg);
    }
    *comma = '\0';
    struct target *t = &fabric.targets[fabric.target_count++];
    t->packets = sd_parse_addr(arg);
    t->admin = sd_parse_addr(comma + 1);
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    (void)state;
    switch (key) {
    case 'l':
        fabric.listen = sd_parse_addr(arg);
        return 0;
    case 'r':
        fabric.return_addr = sd_parse_addr(arg);
        return 0;
    case 't':
        add_target(arg);
        return 0;
    case 's':
        fabric.rand.state = strtoull(arg, NULL, 10);
        return 0;
    case 'd':
        fabric.drop_permille = (uint32_t)strtoul(arg, NULL, 10);
        return 0;
    case '2':
        fabric.duplicate_permille = (uint32_t)strtoul(arg, NULL, 10);
        return 0;
    case 'e':
        fabric.delay_permille = (uint32_t)strtoul(arg, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .doc =
            "Stand-in for the fabric, which spreads packets over instances.",
    };

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    uv_loop_init(&fabric.loop);
    sd_stop_on_signal(&fabric.loop);
    sd_udp_open(&fabric.callers_side, &fabric.loop, &fabric.listen,
                on_caller_packet, NULL);
    sd_udp_open(&fabric.return_side, &fabric.loop, &fabric.return_addr,
                on_return_packet, NULL);
    uv_timer_init(&fabric.loop, &fabric.timer);
    uv_timer_start(&fabric.timer, on_timer, 1, 5);
    uv_run(&fabric.loop, UV_RUN_DEFAULT);
    printf("{\"packets\": %llu, \"no_target\": %llu}\n",
           (unsigned long long)fabric.packets,
           (unsigned long long)fabric.no_target);
    return 0;
}
