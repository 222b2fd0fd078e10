#include "edge/http_server.h"

#include <http_parser.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

#define CONNECTIONS_MAX 64
#define BACKLOG 64
#define READ_BYTES 2048
#define PATH_MAX_LEN 128
/* A connection without a request for this long is closed. */
#define IDLE_TIMEOUT_MS 15000

struct conn {
    uv_tcp_t tcp;
    uv_timer_t idle;
    uv_write_t write;
    struct rg_http_server *server;
    http_parser parser;
    int handles; /* libuv handles not closed yet */
    bool keep;   /* keep-alive */
    char path[PATH_MAX_LEN];
    size_t path_len;
    char read[READ_BYTES];
    struct rg_strbuf response; /* being written */
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
on_conn_closed(uv_handle_t *handle)
{
    struct conn *conn = handle->data;

    if (--conn->handles == 0) {
        unref(conn->server);
        rg_strbuf_clear(&conn->response);
        free(conn);
    }
}

static void
close_conn(struct conn *conn)
{
    if (!uv_is_closing((uv_handle_t *)&conn->tcp)) {
        uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
        uv_close((uv_handle_t *)&conn->idle, on_conn_closed);
    }
}

static void
on_idle(uv_timer_t *timer)
{
    close_conn(timer->data);
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
    struct conn *conn = parser->data;

    if (conn->path_len + len >= sizeof(conn->path)) {
        return 1;
    }
    memcpy(conn->path + conn->path_len, at, len);
    conn->path_len += len;
    conn->path[conn->path_len] = '\0';
    return 0;
}

static int
on_begin(http_parser *parser)
{
    struct conn *conn = parser->data;

    conn->path_len = 0;
    conn->path[0] = '\0';
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
    struct conn *conn = write->data;

    if (status < 0 || !conn->keep) {
        close_conn(conn);
    }
}

static void
respond(struct conn *conn)
{
    const struct rg_http_server_opts *opts = &conn->server->opts;
    RG_STRBUF_AUTO body = {0};
    unsigned status = 405;

    if (conn->parser.method == HTTP_GET) {
        status = opts->handler(opts->ctx, conn->path, &body);
    }
    conn->keep = http_should_keep_alive(&conn->parser);
    conn->response.len = 0;
    rg_strbuf_printf(&conn->response,
                     "HTTP/1.1 %u %s\r\nContent-Type: text/plain\r\n"
                     "Content-Length: %zu\r\n%s\r\n",
                     status, http_status_str((enum http_status)status),
                     body.len, conn->keep ? "" : "Connection: close\r\n");
    if (body.len > 0) {
        memcpy(rg_strbuf_reserve(&conn->response, body.len), body.s, body.len);
        conn->response.len += body.len;
    }
    uv_buf_t buf = uv_buf_init(conn->response.s, (unsigned)conn->response.len);
    conn->write.data = conn;
    if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1,
                 on_written) < 0) {
        close_conn(conn);
    }
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    struct conn *conn = handle->data;

    (void)size;
    *buf = uv_buf_init(conn->read, sizeof(conn->read));
}

/* Requests are not pipelined: one that arrives before the previous response is
 * written closes the connection. */
static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
    struct conn *conn = stream->data;

    (void)buf;
    if (len == 0) {
        return;
    }
    if (len < 0 ||
        uv_stream_get_write_queue_size((uv_stream_t *)&conn->tcp) > 0) {
        close_conn(conn);
        return;
    }
    uv_timer_again(&conn->idle);
    http_parser_execute(&conn->parser, &parser_settings, conn->read,
                        (size_t)len);
    enum http_errno error = HTTP_PARSER_ERRNO(&conn->parser);
    if (error == HPE_PAUSED) {
        respond(conn);
        http_parser_init(&conn->parser, HTTP_REQUEST);
        return;
    }
    if (error != HPE_OK) {
        close_conn(conn);
    }
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct rg_http_server *s = listener->data;

    if (status < 0) {
        return;
    }
    struct conn *conn = rg_calloc(1, sizeof(*conn));
    conn->server = s;
    conn->handles = 2;
    s->refs++;
    uv_tcp_init(s->opts.loop, &conn->tcp);
    uv_timer_init(s->opts.loop, &conn->idle);
    conn->tcp.data = conn;
    conn->idle.data = conn;
    http_parser_init(&conn->parser, HTTP_REQUEST);
    conn->parser.data = conn;
    if (uv_accept(listener, (uv_stream_t *)&conn->tcp) < 0 ||
        s->refs > CONNECTIONS_MAX)
    {
        close_conn(conn);
        return;
    }
    uv_timer_start(&conn->idle, on_idle, IDLE_TIMEOUT_MS, IDLE_TIMEOUT_MS);
    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
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
