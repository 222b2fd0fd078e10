/* A proxy before each instance's peer address: what other instances send there
 * may be delayed, lost one way, reset, or held back for good. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/soak/soak.h"

#define DATAGRAM_MAX 4096
#define BACKLOG 16
#define DELAY_MS 120

/* A connection that is passed on, both ways. */
struct link {
    uv_tcp_t ends[2]; /* of who connected, and to the instance */
    int open;         /* handles not closed yet */
    bool silent;      /* nothing passes any more, and neither end is told */
    struct soak_proxy *proxy;
    char data[DATAGRAM_MAX];
};

struct soak_proxy {
    struct soak *s;
    struct soak_edge *edge;
    uv_udp_t udp;
    uv_tcp_t listener;
    struct sockaddr_in to; /* the instance itself */
    GPtrArray *links;
    char data[DATAGRAM_MAX];
};

struct delayed {
    uv_timer_t timer;
    struct soak_proxy *proxy;
    size_t len;
    char data[];
};

struct passed {
    uv_write_t req;
    char data[];
};

/* --- datagrams ----------------------------------------------------------- */

static void
pass(struct soak_proxy *p, char *data, size_t len)
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

    pass(d->proxy, d->data, d->len);
    uv_close((uv_handle_t *)timer, free_handle_data);
}

static void
pass_later(struct soak_proxy *p, const char *data, size_t len)
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
        (source && p->edge->deaf_to == source->index + 1))
    {
        return;
    }
    if (p->edge->peers_fault == SOAK_PEERS_SLOW) {
        pass_later(p, buf->base, (size_t)len);
        return;
    }
    pass(p, buf->base, (size_t)len);
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
    struct link *l = handle->data;

    if (--l->open == 0) {
        g_ptr_array_remove_fast(l->proxy->links, l);
        free(l);
    }
}

static void
close_link(struct link *l)
{
    for (int i = 0; i < 2; i++) {
        if (!uv_is_closing((uv_handle_t *)&l->ends[i])) {
            uv_close((uv_handle_t *)&l->ends[i], on_end_closed);
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
on_link_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    struct link *l = handle->data;

    (void)size;
    *buf = uv_buf_init(l->data, sizeof(l->data));
}

static void
on_bytes(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
    struct link *l = stream->data;
    uv_tcp_t *other = &l->ends[stream == (uv_stream_t *)&l->ends[0]];

    if (len < 0) {
        close_link(l);
        return;
    }
    if (l->silent || len == 0) {
        return;
    }
    struct passed *p = g_malloc(sizeof(*p) + (size_t)len);
    p->req.data = p;
    memcpy(p->data, buf->base, (size_t)len);
    uv_buf_t out = uv_buf_init(p->data, (unsigned)len);
    if (uv_write(&p->req, (uv_stream_t *)other, &out, 1, on_written) < 0) {
        free(p);
        close_link(l);
    }
}

static void
on_connected(uv_connect_t *req, int status)
{
    struct link *l = req->data;

    free(req);
    if (status < 0) {
        if (!uv_is_closing((uv_handle_t *)&l->ends[0])) {
            close_link(l);
        }
        return;
    }
    for (int i = 0; i < 2; i++) {
        uv_read_start((uv_stream_t *)&l->ends[i], on_link_alloc, on_bytes);
    }
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct soak_proxy *p = listener->data;
    struct link *l = g_new0(struct link, 1);

    (void)status;
    l->proxy = p;
    l->open = 2;
    l->silent = p->edge->peers_fault == SOAK_PEERS_CUT;
    for (int i = 0; i < 2; i++) {
        uv_tcp_init(&p->s->loop, &l->ends[i]);
        l->ends[i].data = l;
    }
    g_ptr_array_add(p->links, l);
    uv_accept(listener, (uv_stream_t *)&l->ends[0]);
    uv_connect_t *req = g_new0(uv_connect_t, 1);
    req->data = l;
    if (uv_tcp_connect(req, &l->ends[1], (const struct sockaddr *)&p->to,
                       on_connected) < 0)
    {
        free(req);
        close_link(l);
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
    for (guint i = 0; i < p->links->len; i++) {
        struct link *l = p->links->pdata[i];
        if (fault == SOAK_PEERS_RESET) {
            close_link(l);
        }
        /* It stays silent for good, also when the fault is over. */
        l->silent = l->silent || fault == SOAK_PEERS_CUT;
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
    p->links = g_ptr_array_new();
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
        soak_fail(s, "the proxy cannot use %s: %s", ip, uv_strerror(rc));
    }
    uv_udp_recv_start(&p->udp, on_alloc, on_datagram);
    e->proxy = p;
}
