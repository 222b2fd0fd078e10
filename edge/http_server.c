#include "edge/http_server.h"

#include <http_parser.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

#define CONNECTIONS_MOST 64
#define BACKLOG 64
#define READ_BYTES 2048
#define PATH_MAX_LEN 128
/* A connection without a request for this long is closed. */
#define IDLE_MS 15000

struct peer {
    uv_tcp_t tcp;
    uv_timer_t idle;
    uv_write_t write;
    struct rg_http_server *server;
    http_parser parser;
    int handles; /* not closed yet */
    bool keep;
    char path[PATH_MAX_LEN];
    size_t path_len;
    char read[READ_BYTES];
    struct rg_strbuf answer; /* being written */
};

struct rg_http_server {
    struct rg_http_server_opts opts;
    uv_tcp_t tcp;
    unsigned refs; /* the listening socket and the connections */
};

static void
unref(struct rg_http_server *s)
{
    if (--s->refs == 0) {
        free(s);
    }
}

static void
on_peer_closed(uv_handle_t *handle)
{
    struct peer *peer = handle->data;

    if (--peer->handles == 0) {
        unref(peer->server);
        rg_strbuf_clear(&peer->answer);
        free(peer);
    }
}

static void
close_peer(struct peer *peer)
{
    if (!uv_is_closing((uv_handle_t *)&peer->tcp)) {
        uv_close((uv_handle_t *)&peer->tcp, on_peer_closed);
        uv_close((uv_handle_t *)&peer->idle, on_peer_closed);
    }
}

static void
on_idle(uv_timer_t *timer)
{
    close_peer(timer->data);
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
    struct peer *peer = parser->data;

    if (peer->path_len + len >= sizeof(peer->path)) {
        return 1;
    }
    memcpy(peer->path + peer->path_len, at, len);
    peer->path_len += len;
    peer->path[peer->path_len] = '\0';
    return 0;
}

static int
on_begin(http_parser *parser)
{
    struct peer *peer = parser->data;

    peer->path_len = 0;
    peer->path[0] = '\0';
    return 0;
}

static int
on_complete(http_parser *parser)
{
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_message_complete = on_complete,
};

static void
on_written(uv_write_t *write, int status)
{
    struct peer *peer = write->data;

    if (status < 0 || !peer->keep) {
        close_peer(peer);
    }
}

static void
respond(struct peer *peer)
{
    const struct rg_http_server_opts *opts = &peer->server->opts;
    RG_STRBUF_AUTO body = {0};
    unsigned status = 405;

    if (peer->parser.method == HTTP_GET) {
        status = opts->handler(opts->ctx, peer->path, &body);
    }
    peer->keep = http_should_keep_alive(&peer->parser);
    peer->answer.len = 0;
    rg_strbuf_printf(&peer->answer,
                     "HTTP/1.1 %u %s\r\nContent-Type: text/plain\r\n"
                     "Content-Length: %zu\r\n%s\r\n",
                     status, http_status_str((enum http_status)status),
                     body.len, peer->keep ? "" : "Connection: close\r\n");
    if (body.len > 0) {
        memcpy(rg_strbuf_reserve(&peer->answer, body.len), body.s, body.len);
        peer->answer.len += body.len;
    }
    uv_buf_t buf = uv_buf_init(peer->answer.s, (unsigned)peer->answer.len);
    peer->write.data = peer;
    if (uv_write(&peer->write, (uv_stream_t *)&peer->tcp, &buf, 1,
                 on_written) < 0) {
        close_peer(peer);
    }
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    struct peer *peer = handle->data;

    (void)size;
    *buf = uv_buf_init(peer->read, sizeof(peer->read));
}

/* One request at a time: one that follows before the answer is written closes
 * the connection. */
static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
    struct peer *peer = stream->data;

    (void)buf;
    if (len == 0) {
        return;
    }
    if (len < 0 ||
        uv_stream_get_write_queue_size((uv_stream_t *)&peer->tcp) > 0) {
        close_peer(peer);
        return;
    }
    uv_timer_again(&peer->idle);
    http_parser_execute(&peer->parser, &parser_settings, peer->read,
                        (size_t)len);
    enum http_errno error = HTTP_PARSER_ERRNO(&peer->parser);
    if (error == HPE_PAUSED) {
        respond(peer);
        http_parser_init(&peer->parser, HTTP_REQUEST);
        return;
    }
    if (error != HPE_OK) {
        close_peer(peer);
    }
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct rg_http_server *s = listener->data;

    if (status < 0) {
        return;
    }
    struct peer *peer = rg_calloc(1, sizeof(*peer));
    peer->server = s;
    peer->handles = 2;
    s->refs++;
    uv_tcp_init(s->opts.loop, &peer->tcp);
    uv_timer_init(s->opts.loop, &peer->idle);
    peer->tcp.data = peer;
    peer->idle.data = peer;
    http_parser_init(&peer->parser, HTTP_REQUEST);
    peer->parser.data = peer;
    if (uv_accept(listener, (uv_stream_t *)&peer->tcp) < 0 ||
        s->refs > CONNECTIONS_MOST)
    {
        close_peer(peer);
        return;
    }
    uv_timer_start(&peer->idle, on_idle, IDLE_MS, IDLE_MS);
    uv_read_start((uv_stream_t *)&peer->tcp, on_alloc, on_read);
}

static void
on_listener_closed(uv_handle_t *handle)
{
    unref(handle->data);
}

struct rg_http_server *
rg_http_server_create(const struct rg_http_server_opts *opts,
                      struct rg_err *err)
{
    struct rg_http_server *s = rg_calloc(1, sizeof(*s));
    struct sockaddr_storage sa;

    s->opts = *opts;
    s->refs = 1;
    rg_addr_to_sock(&opts->address, &sa);
    uv_tcp_init(opts->loop, &s->tcp);
    s->tcp.data = s;
    int rc = uv_tcp_bind(&s->tcp, (const struct sockaddr *)&sa, 0);
    if (rc == 0) {
        rc = uv_listen((uv_stream_t *)&s->tcp, BACKLOG, on_connection);
    }
    if (rc < 0) {
        rg_err_add(err, opts->setting, "an address this host can bind", "%s",
                   uv_strerror(rc));
        uv_close((uv_handle_t *)&s->tcp, on_listener_closed);
        return NULL;
    }
    return s;
}

void
rg_http_server_destroy(struct rg_http_server *s)
{
    if (s) {
        uv_close((uv_handle_t *)&s->tcp, on_listener_closed);
    }
}
