#include "daemon/peer.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "common/netlist.h"
#include "proto/messages.gen.h"

/* Enough for the largest message: a section of one megabyte and the fields
 * around it. */
#define FRAME_MAX_BYTES (2 * 1024 * 1024)
#define FRAME_HEADER_BYTES 4
/* Room for the fields of a message other than its text. */
#define MSG_HEADER_BYTES 256
#define SESSION_TIMEOUT_MS 3000
#define LISTEN_BACKLOG 64

/* A connection that this instance accepted (server) or opened (client). */
struct session {
    struct rg_peer *peer;
    uv_tcp_t tcp;
    uv_timer_t timer;
    uv_connect_t connect;
    int open_handles; /* of `tcp` and `timer`; freed when both are closed */
    bool is_client;
    bool closing;
    uint8_t *buf;
    size_t len;
    size_t size;
};

struct rg_peer {
    struct rg_daemon *d;
    uv_tcp_t listener;
    struct rg_netlist networks;
    struct session *client;
    bool closing;
};

struct write_request {
    uv_write_t req;
    uint8_t *data;
};

static void
on_handle_closed(uv_handle_t *handle)
{
    struct session *s = handle->data;

    if (--s->open_handles == 0) {
        free(s->buf);
        free(s);
    }
}

static void
session_close(struct session *s)
{
    if (s->closing) {
        return;
    }
    s->closing = true;
    if (s->peer->client == s) {
        s->peer->client = NULL;
    }
    uv_close((uv_handle_t *)&s->tcp, on_handle_closed);
    uv_close((uv_handle_t *)&s->timer, on_handle_closed);
}

static void
on_timeout(uv_timer_t *timer)
{
    session_close(timer->data);
}

static struct session *
session_create(struct rg_peer *p, bool is_client)
{
    struct session *s = rg_calloc(1, sizeof(*s));

    s->peer = p;
    s->is_client = is_client;
    s->open_handles = 2;
    uv_tcp_init(&p->d->loop, &s->tcp);
    uv_timer_init(&p->d->loop, &s->timer);
    s->tcp.data = s;
    s->timer.data = s;
    uv_timer_start(&s->timer, on_timeout, SESSION_TIMEOUT_MS, 0);
    return s;
}

static void
on_written(uv_write_t *req, int status)
{
    struct write_request *w = (struct write_request *)req;
    struct session *s = req->data;

    free(w->data);
    free(w);
    if (status < 0) {
        session_close(s);
    }
}

static void
session_send(struct session *s, const struct rg_msg *msg, size_t max_len)
{
    struct write_request *w = rg_calloc(1, sizeof(*w));

    w->data = rg_calloc(1, FRAME_HEADER_BYTES + max_len);
    size_t len = rg_msg_pack(msg, w->data + FRAME_HEADER_BYTES, max_len);
    for (int i = 0; i < FRAME_HEADER_BYTES; i++) {
        w->data[i] = (uint8_t)(len >> (8 * (FRAME_HEADER_BYTES - 1 - i)));
    }
    uv_buf_t buf =
        uv_buf_init((char *)w->data, (unsigned)(FRAME_HEADER_BYTES + len));
    w->req.data = s;
    if (uv_write(&w->req, (uv_stream_t *)&s->tcp, &buf, 1, on_written) != 0) {
        free(w->data);
        free(w);
        session_close(s);
    }
}

/* Requests a section by its hash, or the head if `key` is NULL. */
static void
send_fetch(struct session *s, const struct rg_name *key)
{
    struct rg_msg msg = {.kind = RG_MSG_FETCH};

    if (key) {
        msg.u.fetch.key.len = key->len;
        memcpy(msg.u.fetch.key.b, key->s, key->len);
    }
    session_send(s, &msg, MSG_HEADER_BYTES);
}

/* Replies with the head, or with a section if the request has its hash. */
static void
reply_to_fetch(struct session *s, const struct rg_msg_fetch *q)
{
    struct rg_msg msg = {.kind = RG_MSG_CONTENT};
    const struct rg_config_state *state = s->peer->d->config_state;
    struct rg_str key = {(const char *)q->key.b, q->key.len};

    msg.u.content.key.len = q->key.len;
    memcpy(msg.u.content.key.b, q->key.b, q->key.len);
    msg.u.content.text = key.len == 0
                             ? rg_config_state_head_text(state)
                             : rg_config_state_section_text(state, key);
    session_send(s, &msg, msg.u.content.text.len + MSG_HEADER_BYTES);
}

static void
handle_content(struct session *s, const struct rg_msg_content *c)
{
    struct rg_daemon *d = s->peer->d;
    enum rg_offer_result offer = c->key.len == 0
                                     ? d->ops.offer_head(d, c->text)
                                     : d->ops.offer_section(d, c->text);
    const struct rg_name *missing =
        rg_config_state_missing_section(d->config_state);

    if (offer == RG_OFFER_PENDING && missing && c->text.len > 0) {
        send_fetch(s, missing);
        return;
    }
    session_close(s);
}

static void
handle_frame(struct session *s, const uint8_t *data, size_t len)
{
    struct rg_msg msg;

    if (!rg_msg_unpack(&msg, data, len)) {
        session_close(s);
    }
    else if (msg.kind == RG_MSG_FETCH && !s->is_client) {
        reply_to_fetch(s, &msg.u.fetch);
    }
    else if (msg.kind == RG_MSG_CONTENT && s->is_client) {
        handle_content(s, &msg.u.content);
    }
    else {
        session_close(s);
    }
}

static void
parse_frames(struct session *s)
{
    while (s->len >= FRAME_HEADER_BYTES && !s->closing) {
        size_t len = (size_t)s->buf[0] << 24 | (size_t)s->buf[1] << 16 |
                     (size_t)s->buf[2] << 8 | s->buf[3];
        if (len > FRAME_MAX_BYTES) {
            session_close(s);
            return;
        }
        if (s->len < FRAME_HEADER_BYTES + len) {
            return;
        }
        handle_frame(s, s->buf + FRAME_HEADER_BYTES, len);
        s->len -= FRAME_HEADER_BYTES + len;
        memmove(s->buf, s->buf + FRAME_HEADER_BYTES + len, s->len);
    }
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    struct session *s = handle->data;

    if (s->size - s->len < suggested) {
        s->size = s->len + suggested;
        s->buf = rg_realloc(s->buf, s->size);
    }
    *buf = uv_buf_init((char *)s->buf + s->len, (unsigned)(s->size - s->len));
}

static void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
    struct session *s = stream->data;

    (void)buf;
    if (count < 0) {
        session_close(s);
        return;
    }
    s->len += (size_t)count;
    uv_timer_again(&s->timer);
    parse_frames(s);
}

static void
on_connected(uv_connect_t *req, int status)
{
    struct session *s = req->data;

    if (status < 0 || s->closing) {
        session_close(s);
        return;
    }
    uv_read_start((uv_stream_t *)&s->tcp, on_alloc, on_read);
    send_fetch(s, NULL);
}

static bool
is_allowed(struct rg_peer *p, uv_tcp_t *tcp)
{
    struct sockaddr_storage sa;
    int len = sizeof(sa);
    struct rg_addr from;

    return uv_tcp_getpeername(tcp, (struct sockaddr *)&sa, &len) == 0 &&
           rg_addr_from_sock(&from, (struct sockaddr *)&sa) &&
           rg_netlist_allows(&p->networks, &from);
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct rg_peer *p = listener->data;

    if (status < 0) {
        return;
    }
    struct session *s = session_create(p, false);
    if (uv_accept(listener, (uv_stream_t *)&s->tcp) != 0 ||
        !is_allowed(p, &s->tcp))
    {
        session_close(s);
        return;
    }
    uv_read_start((uv_stream_t *)&s->tcp, on_alloc, on_read);
}

struct rg_peer *
rg_peer_create(struct rg_daemon *d, struct rg_err *err)
{
    struct rg_peer *p = rg_calloc(1, sizeof(*p));
    struct sockaddr_storage sa;

    p->d = d;
    rg_netlist_init(&p->networks, d->settings.peer_networks,
                    d->settings.peer_networks_count);
    rg_addr_to_sock(&d->settings.packet_address, &sa);
    uv_tcp_init(&d->loop, &p->listener);
    p->listener.data = p;
    int rc = uv_tcp_bind(&p->listener, (struct sockaddr *)&sa, 0);
    if (rc == 0) {
        rc = uv_listen((uv_stream_t *)&p->listener, LISTEN_BACKLOG,
                       on_connection);
    }
    if (rc != 0) {
        rg_err_add(err, "packet_address",
                   "an address where TCP connections can be accepted", "%s",
                   uv_strerror(rc));
    }
    return p;
}

static void
on_listener_closed(uv_handle_t *handle)
{
    struct rg_peer *p = handle->data;

    rg_netlist_release(&p->networks);
    free(p);
}

void
rg_peer_destroy(struct rg_peer *p)
{
    if (!p) {
        return;
    }
    if (p->client) {
        session_close(p->client);
    }
    uv_close((uv_handle_t *)&p->listener, on_listener_closed);
}

void
rg_peer_fetch(struct rg_peer *p, const struct rg_addr *addr)
{
    struct sockaddr_storage sa;

    if (p->client) {
        return;
    }
    struct session *s = session_create(p, true);
    p->client = s;
    /* Peers check the source address of connections, so use the instance's. */
    struct rg_addr own = p->d->settings.packet_address;
    own.port = 0;
    rg_addr_to_sock(&own, &sa);
    uv_tcp_bind(&s->tcp, (struct sockaddr *)&sa, 0);
    rg_addr_to_sock(addr, &sa);
    s->connect.data = s;
    if (uv_tcp_connect(&s->connect, &s->tcp, (struct sockaddr *)&sa,
                       on_connected) != 0)
    {
        session_close(s);
    }
}
