/* A proxy in front of each instance's peer address: it can delay, drop or
 * reset what other instances send there, or let connections hang. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/soak/soak.h"

#define DATAGRAM_MAX 4096
#define BACKLOG 16
#define DELAY_MS 120

/* A proxied connection, forwarded both ways. */
struct conn {
    uv_tcp_t ends[2]; /* the accepted one, and the one to the instance */
    int open;         /* handles not closed yet */
    bool stalled;     /* drops all data without closing */
    struct soak_proxy *proxy;
    char data[DATAGRAM_MAX];
};

struct soak_proxy {
    struct soak *s;
    struct soak_edge *edge;
    uv_udp_t udp;
    uv_tcp_t listener;
    struct sockaddr_in to; /* the instance itself */
    GPtrArray *conns;
    char data[DATAGRAM_MAX];
};

struct delayed {
    uv_timer_t timer;
    struct soak_proxy *proxy;
    size_t len;
    char data[];
};

struct write_req {
    uv_write_t req;
    char data[];
};

/* --- datagrams ----------------------------------------------------------- */

static void
forward(struct soak_proxy *p, char *data, size_t len)
{
    uv_buf_t buf = uv_buf_init(data, (unsigned)len);

    uv_udp_try_send(&p->udp, &buf, 1, (const struct sockaddr *)&p->to);
}

static void
free_handle_data(uv_handle_t *handle)
{
    free(handle->data);
}

static void
on_delay(uv_timer_t *timer)
{
    struct delayed *d = timer->data;

    forward(d->proxy, d->data, d->len);
    uv_close((uv_handle_t *)timer, free_handle_data);
}

static void
forward_later(struct soak_proxy *p, const char *data, size_t len)
{
    struct delayed *d = g_malloc(sizeof(*d) + len);

    d->proxy = p;
    d->len = len;
    memcpy(d->data, data, len);
    uv_timer_init(&p->s->loop, &d->timer);
    d->timer.data = d;
    uv_timer_start(&d->timer, on_delay,
                   1 + rg_rand_below(&p->s->rand, DELAY_MS), 0);
}

static void
on_datagram(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
            const struct sockaddr *from, unsigned flags)
{
    struct soak_proxy *p = udp->data;

    (void)flags;
    if (len <= 0 || !from) {
        return;
    }
    const struct soak_edge *source = soak_edge_by_address(p->s, from);
    if (p->edge->peers_fault == SOAK_PEERS_CUT ||
        (source && p->edge->ignored_edge == source->index + 1))
    {
        return;
    }
    if (p->edge->peers_fault == SOAK_PEERS_SLOW) {
        forward_later(p, buf->base, (size_t)len);
        return;
    }
    forward(p, buf->base, (size_t)len);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    struct soak_proxy *p = handle->data;

    (void)size;
    *buf = uv_buf_init(p->data, sizeof(p->data));
}

/* --- connections --------------------------------------------------------- */

static void
on_end_closed(uv_handle_t *handle)
{
    struct conn *c = handle->data;

    if (--c->open == 0) {
        g_ptr_array_remove_fast(c->proxy->conns, c);
        free(c);
    }
}

static void
close_conn(struct conn *c)
{
    for (int i = 0; i < 2; i++) {
        if (!uv_is_closing((uv_handle_t *)&c->ends[i])) {
            uv_close((uv_handle_t *)&c->ends[i], on_end_closed);
        }
    }
}

static void
on_written(uv_write_t *req, int status)
{
    (void)status;
    free(req->data);
}

static void
on_conn_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    struct conn *c = handle->data;

    (void)size;
    *buf = uv_buf_init(c->data, sizeof(c->data));
}

static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
    struct conn *c = stream->data;
    uv_tcp_t *other = &c->ends[stream == (uv_stream_t *)&c->ends[0]];

    if (len < 0) {
        close_conn(c);
        return;
    }
    if (c->stalled || len == 0) {
        return;
    }
    struct write_req *p = g_malloc(sizeof(*p) + (size_t)len);
    p->req.data = p;
    memcpy(p->data, buf->base, (size_t)len);
    uv_buf_t out = uv_buf_init(p->data, (unsigned)len);
    if (uv_write(&p->req, (uv_stream_t *)other, &out, 1, on_written) < 0) {
        free(p);
        close_conn(c);
    }
}

static void
on_connected(uv_connect_t *req, int status)
{
    struct conn *c = req->data;

    free(req);
    if (status < 0) {
        if (!uv_is_closing((uv_handle_t *)&c->ends[0])) {
            close_conn(c);
        }
        return;
    }
    for (int i = 0; i < 2; i++) {
        uv_read_start((uv_stream_t *)&c->ends[i], on_conn_alloc, on_read);
    }
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct soak_proxy *p = listener->data;
    struct conn *c = g_new0(struct conn, 1);

    (void)status;
    c->proxy = p;
    c->open = 2;
    c->stalled = p->edge->peers_fault == SOAK_PEERS_CUT;
    for (int i = 0; i < 2; i++) {
        uv_tcp_init(&p->s->loop, &c->ends[i]);
        c->ends[i].data = c;
    }
    g_ptr_array_add(p->conns, c);
    uv_accept(listener, (uv_stream_t *)&c->ends[0]);
    uv_connect_t *req = g_new0(uv_connect_t, 1);
    req->data = c;
    if (uv_tcp_connect(req, &c->ends[1], (const struct sockaddr *)&p->to,
                       on_connected) < 0)
    {
        free(req);
        close_conn(c);
    }
}

/* --- faults -------------------------------------------------------------- */

void
soak_proxy_set_fault(struct soak *s, struct soak_edge *e,
                     enum soak_peers_fault fault)
{
    struct soak_proxy *p = e->proxy;

    (void)s;
    e->peers_fault = fault;
    for (guint i = 0; i < p->conns->len; i++) {
        struct conn *c = p->conns->pdata[i];
        if (fault == SOAK_PEERS_RESET) {
            close_conn(c);
        }
        /* Hangs for good, also after the fault. */
        c->stalled = c->stalled || fault == SOAK_PEERS_CUT;
    }
}

void
soak_proxy_start(struct soak *s, struct soak_edge *e)
{
    struct soak_proxy *p = g_new0(struct soak_proxy, 1);
    struct sockaddr_in at;
    char ip[32];

    p->s = s;
    p->edge = e;
    p->conns = g_ptr_array_new();
    soak_ip(s, 1, e->index + 1, ip);
    uv_ip4_addr(ip, SOAK_PEER_PORT, &p->to);
    soak_ip(s, SOAK_PROXY_SUBNET, e->index + 1, ip);
    uv_ip4_addr(ip, SOAK_PEER_PORT, &at);
    uv_udp_init(&s->loop, &p->udp);
    uv_tcp_init(&s->loop, &p->listener);
    p->udp.data = p;
    p->listener.data = p;
    int rc = uv_udp_bind(&p->udp, (const struct sockaddr *)&at, 0);
    rc = rc ? rc : uv_tcp_bind(&p->listener, (const struct sockaddr *)&at, 0);
    rc = rc ? rc
            : uv_listen((uv_stream_t *)&p->listener, BACKLOG, on_connection);
    if (rc < 0) {
        soak_fail(s, "the proxy cannot listen on %s: %s", ip, uv_strerror(rc));
    }
    uv_udp_recv_start(&p->udp, on_alloc, on_datagram);
    e->proxy = p;
}
