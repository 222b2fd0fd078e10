/* Fault-injecting proxy for UDP and TCP between processes.
 *
 * Every process behind it has a pair: the address others use (listen) and the
 * real one (target). A packet between two such processes comes out of the
 * sender's listen address, so answers pass the proxy too. Commands come as
 * datagrams to the control socket: cut FROM TO | heal FROM TO | loss N (of
 * 1000) | double N | delay MS; FROM and TO are names or '*'. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/mem.h"
#include "standin/common.h"

#define PAIRS_MAX 300
#define UNKNOWN PAIRS_MAX /* a sender without a pair */
#define DELAYED_MAX 8192
#define PERMILLE 1000
#define READ_MAX 65536

struct pair {
    char name[32];
    struct rg_addr listen;
    struct rg_addr target;
    struct sd_udp udp;
    uv_tcp_t tcp;
    uint32_t index;
};

struct delayed {
    uint64_t due_ms;
    uint32_t from;
    struct rg_addr to;
    uint8_t *data;
    size_t len;
};

/* One side of a proxied connection. */
struct side {
    uv_tcp_t tcp;
    struct link *link;
};

struct link {
    struct side near;
    struct side far;
    uv_connect_t connect;
    uint32_t from;
    uint32_t to;
    int open;
    bool closing;
    struct link *next;
};

struct chunk {
    uv_write_t req;
    char *data;
};

static struct {
    uv_loop_t loop;
    struct pair pairs[PAIRS_MAX];
    uint32_t count;
    bool cut[PAIRS_MAX + 1][PAIRS_MAX + 1];
    struct sd_udp control;
    struct rg_addr control_addr;
    struct rg_rand rand;
    uint32_t loss;
    uint32_t doubling;
    uint32_t delay_ms;
    struct delayed delayed[DELAYED_MAX];
    size_t delayed_count;
    uv_timer_t timer;
    struct link *links;
} px;

/* --- datagrams ------------------------------------------------------------
 */

static uint32_t
sender_of(const struct rg_addr *from)
{
    for (uint32_t i = 0; i < px.count; i++) {
        if (rg_addr_eq(&px.pairs[i].target, from)) {
            return i;
        }
    }
    return UNKNOWN;
}

static bool
chance(uint32_t permille)
{
    return permille > 0 && rg_rand_below(&px.rand, PERMILLE) < permille;
}

static void
send_now(uint32_t from, const struct rg_addr *to, const uint8_t *data,
         size_t len)
{
    sd_udp_send(&px.pairs[from].udp, to, data, len);
}

static void
send_or_delay(uint32_t from, const struct rg_addr *to, const uint8_t *data,
              size_t len)
{
    if (px.delay_ms == 0 || px.delayed_count == DELAYED_MAX) {
        send_now(from, to, data, len);
        return;
    }
    struct delayed *d = &px.delayed[px.delayed_count++];
    d->due_ms = rg_clock_ms() + px.delay_ms;
    d->from = from;
    d->to = *to;
    d->len = len;
    d->data = rg_calloc(1, len);
    memcpy(d->data, data, len);
}

static void
on_datagram(void *ctx, const struct rg_addr *from, const uint8_t *data,
            size_t len)
{
    struct pair *p = ctx;
    uint32_t sender = sender_of(from);

    if (px.cut[sender][p->index] || chance(px.loss)) {
        return;
    }
    uint32_t out = sender == UNKNOWN ? p->index : sender;
    send_or_delay(out, &p->target, data, len);
    if (chance(px.doubling)) {
        send_or_delay(out, &p->target, data, len);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    uint64_t now = rg_clock_ms();
    size_t kept = 0;

    (void)timer;
    for (size_t i = 0; i < px.delayed_count; i++) {
        struct delayed *d = &px.delayed[i];
        if (d->due_ms > now) {
            px.delayed[kept++] = *d;
            continue;
        }
        send_now(d->from, &d->to, d->data, d->len);
        free(d->data);
    }
    px.delayed_count = kept;
}

/* --- connections ----------------------------------------------------------
 */

static void
on_side_closed(uv_handle_t *handle)
{
    struct side *s = handle->data;
    struct link *l = s->link;

    if (--l->open > 0) {
        return;
    }
    struct link **at = &px.links;
    while (*at != l) {
        at = &(*at)->next;
    }
    *at = l->next;
    free(l);
}

static void
link_close(struct link *l)
{
    if (l->closing) {
        return;
    }
    l->closing = true;
    uv_close((uv_handle_t *)&l->near.tcp, on_side_closed);
    uv_close((uv_handle_t *)&l->far.tcp, on_side_closed);
}

static void
on_written(uv_write_t *req, int status)
{
    struct chunk *c = (struct chunk *)req;
    struct link *l = req->data;

    free(c->data);
    free(c);
    if (status < 0) {
        link_close(l);
    }
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    (void)handle;
    (void)suggested;
    *buf = uv_buf_init(rg_calloc(1, READ_MAX), READ_MAX);
}

static void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
    struct side *s = stream->data;
    struct link *l = s->link;
    struct side *other = s == &l->near ? &l->far : &l->near;

    if (count <= 0) {
        free(buf->base);
        if (count < 0) {
            link_close(l);
        }
        return;
    }
    struct chunk *c = rg_calloc(1, sizeof(*c));
    c->data = buf->base;
    c->req.data = l;
    uv_buf_t out = uv_buf_init(c->data, (unsigned)count);
    if (uv_write(&c->req, (uv_stream_t *)&other->tcp, &out, 1, on_written)) {
        free(c->data);
        free(c);
        link_close(l);
    }
}

static void
on_connected(uv_connect_t *req, int status)
{
    struct link *l = req->data;

    if (status < 0 || l->closing) {
        link_close(l);
        return;
    }
    uv_read_start((uv_stream_t *)&l->near.tcp, on_alloc, on_read);
    uv_read_start((uv_stream_t *)&l->far.tcp, on_alloc, on_read);
}

static uint32_t
connector_of(uv_tcp_t *tcp)
{
    struct sockaddr_storage sa;
    int len = sizeof(sa);
    struct rg_addr from;

    if (uv_tcp_getpeername(tcp, (struct sockaddr *)&sa, &len) != 0 ||
        !rg_addr_from_sock(&from, (struct sockaddr *)&sa))
    {
        return UNKNOWN;
    }
    for (uint32_t i = 0; i < px.count; i++) {
        if (memcmp(px.pairs[i].target.ip, from.ip, RG_IP_LEN) == 0) {
            return i;
        }
    }
    return UNKNOWN;
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct pair *p = listener->data;
    struct sockaddr_storage sa;

    if (status < 0) {
        return;
    }
    struct link *l = rg_calloc(1, sizeof(*l));
    uv_tcp_init(&px.loop, &l->near.tcp);
    uv_tcp_init(&px.loop, &l->far.tcp);
    l->near.link = l;
    l->far.link = l;
    l->near.tcp.data = &l->near;
    l->far.tcp.data = &l->far;
    l->connect.data = l;
    l->open = 2;
    l->next = px.links;
    px.links = l;
    uv_accept(listener, (uv_stream_t *)&l->near.tcp);
    l->from = connector_of(&l->near.tcp);
    l->to = p->index;
    rg_addr_to_sock(&p->target, &sa);
    if (px.cut[l->from][l->to] ||
        uv_tcp_connect(&l->connect, &l->far.tcp, (struct sockaddr *)&sa,
                       on_connected) != 0)
    {
        link_close(l);
    }
}

/* --- control --------------------------------------------------------------
 */

static bool
matches(const char *name, uint32_t i)
{
    if (strcmp(name, "*") == 0) {
        return true;
    }
    return i < px.count && strcmp(px.pairs[i].name, name) == 0;
}

static void
set_cut(const char *from, const char *to, bool cut)
{
    for (uint32_t i = 0; i <= PAIRS_MAX; i++) {
        for (uint32_t k = 0; k < px.count; k++) {
            if (matches(from, i) && matches(to, k)) {
                px.cut[i][k] = cut;
            }
        }
    }
    for (struct link *l = px.links; l; l = l->next) {
        if (px.cut[l->from][l->to]) {
            link_close(l);
        }
    }
}

static void
on_control(void *ctx, const struct rg_addr *from, const uint8_t *data,
           size_t len)
{
    char line[128];
    char command[16] = "";
    char a[32] = "";
    char b[32] = "";

    (void)ctx;
    if (len >= sizeof(line)) {
        return;
    }
    memcpy(line, data, len);
    line[len] = '\0';
    sscanf(line, "%15s %31s %31s", command, a, b);
    if (strcmp(command, "cut") == 0 || strcmp(command, "heal") == 0) {
        set_cut(a, b, command[0] == 'c');
    }
    else if (strcmp(command, "loss") == 0) {
        px.loss = (uint32_t)strtoul(a, NULL, 10);
    }
    else if (strcmp(command, "double") == 0) {
        px.doubling = (uint32_t)strtoul(a, NULL, 10);
    }
    else if (strcmp(command, "delay") == 0) {
        px.delay_ms = (uint32_t)strtoul(a, NULL, 10);
    }
    sd_udp_send(&px.control, from, "ok", 2);
}

static const struct argp_option options[] = {
    {"pair", 'p', "NAME=LISTEN,TARGET", 0, "a process behind the proxy", 0},
    {"control", 'c', "ADDRESS", 0, "control socket (UDP)", 0},
    {"seed", 's', "N", 0, "of the random choices", 0},
    {0},
};

static void
add_pair(char *arg)
{
    char *equals = strchr(arg, '=');
    char *comma = strchr(arg, ',');

    if (!equals || !comma || px.count == PAIRS_MAX) {
        sd_die("bad or one too many --pair: %s", arg);
    }
    *equals = '\0';
    *comma = '\0';
    struct pair *p = &px.pairs[px.count];
    snprintf(p->name, sizeof(p->name), "%s", arg);
    p->listen = sd_parse_addr(equals + 1);
    p->target = sd_parse_addr(comma + 1);
    p->index = px.count++;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    (void)state;
    switch (key) {
    case 'p':
        add_pair(arg);
        return 0;
    case 'c':
        px.control_addr = sd_parse_addr(arg);
        return 0;
    case 's':
        px.rand.state = strtoull(arg, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void
open_pair(struct pair *p)
{
    struct sockaddr_storage sa;

    sd_udp_open(&p->udp, &px.loop, &p->listen, on_datagram, p);
    uv_tcp_init(&px.loop, &p->tcp);
    p->tcp.data = p;
    rg_addr_to_sock(&p->listen, &sa);
    if (uv_tcp_bind(&p->tcp, (struct sockaddr *)&sa, 0) != 0 ||
        uv_listen((uv_stream_t *)&p->tcp, 64, on_connection) != 0)
    {
        sd_die("cannot listen for %s", p->name);
    }
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .doc = "Fault-injecting proxy between processes.",
    };

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    uv_loop_init(&px.loop);
    sd_stop_on_signal(&px.loop);
    for (uint32_t i = 0; i < px.count; i++) {
        open_pair(&px.pairs[i]);
    }
    sd_udp_open(&px.control, &px.loop, &px.control_addr, on_control, NULL);
    uv_timer_init(&px.loop, &px.timer);
    uv_timer_start(&px.timer, on_timer, 1, 1);
    uv_run(&px.loop, UV_RUN_DEFAULT);
    return 0;
}
