#include "edge/http_client.h"

#include <http_parser.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "common/mem.h"
#include "common/strbuf.h"

#define READ_BYTES 16384
#define REQUEST_MAX 2560
#define PATH_MAX_LEN 1024
#define POST_BODY_MAX 1024
/* A longer name or value is cut. */
#define HEADER_MAX 64

/* A connection. Freed once libuv has closed its handle, which may be after the
 * client has dropped it. */
struct conn {
    uv_tcp_t tcp;
    uv_connect_t connect;
    uv_write_t write;
    struct rg_http_client *client; /* NULL once dropped */
    bool open;
    http_parser parser;
    char read[READ_BYTES];
    char request[REQUEST_MAX];
};

struct rg_http_client {
    struct rg_http_client_opts opts;
    uv_timer_t timer;
    struct conn *conn; /* NULL if not connected or connecting */
    bool busy;
    bool receiving;
    bool keep;     /* the connection may serve another call */
    bool too_long; /* the body is larger than the options allow */
    uint32_t timeout_ms;
    struct rg_strbuf body;
    char field[HEADER_MAX]; /* name of the header being read */
    char header[HEADER_MAX];
    bool in_value;   /* the last part read was one of a value */
    bool has_header; /* the header of the options was seen */
    char path[PATH_MAX_LEN];
    bool post;
    char post_body[POST_BODY_MAX]; /* request body of a POST */
};

static void
free_conn(uv_handle_t *handle)
{
    free(handle->data);
}

static void
drop_conn(struct rg_http_client *c)
{
    if (c->conn) {
        c->conn->client = NULL;
        uv_close((uv_handle_t *)&c->conn->tcp, free_conn);
        c->conn = NULL;
    }
}

static void
finish(struct rg_http_client *c, unsigned status, const char *error)
{
    struct rg_http_response response = {
        .status = status,
        .body = {c->body.s ? c->body.s : "", c->body.len},
        .header = c->has_header ? c->header : NULL,
        .error = error,
        .too_long = c->too_long,
    };

    if (!c->busy) {
        return;
    }
    c->busy = false;
    uv_timer_stop(&c->timer);
    if (status == 0 || !c->keep) {
        drop_conn(c);
    }
    c->opts.cb(c->opts.ctx, &response);
    if (!c->busy) {
        rg_strbuf_clear(&c->body);
    }
}

void
rg_http_client_reset(struct rg_http_client *c, const char *why)
{
    drop_conn(c);
    finish(c, 0, why);
}

void
rg_http_client_cancel(struct rg_http_client *c)
{
    drop_conn(c);
    c->busy = false;
    uv_timer_stop(&c->timer);
}

void
rg_http_client_set_server(struct rg_http_client *c,
                          const struct rg_addr *server)
{
    if (!rg_addr_eq(&c->opts.server, server)) {
        drop_conn(c);
        c->opts.server = *server;
    }
}

static void
on_timeout(uv_timer_t *timer)
{
    rg_http_client_reset(timer->data, "timed out");
}

static void
append(char out[HEADER_MAX], const char *at, size_t len)
{
    size_t before = strlen(out);
    size_t room = HEADER_MAX - 1 - before;

    memcpy(out + before, at, len < room ? len : room);
    out[before + (len < room ? len : room)] = '\0';
}

static int
on_header_field(http_parser *parser, const char *at, size_t len)
{
    struct rg_http_client *c = ((struct conn *)parser->data)->client;

    if (c->in_value) {
        c->in_value = false;
        c->field[0] = '\0';
    }
    append(c->field, at, len);
    return 0;
}

static int
on_header_value(http_parser *parser, const char *at, size_t len)
{
    struct rg_http_client *c = ((struct conn *)parser->data)->client;
    bool starts = !c->in_value;

    c->in_value = true;
    if (!c->opts.header || strcasecmp(c->field, c->opts.header) != 0) {
        return 0;
    }
    if (starts && c->has_header) {
        append(c->header, ",", 1);
    }
    c->has_header = true;
    append(c->header, at, len);
    return 0;
}

/* A body that is too large is not read if its length is known. */
static int
on_headers(http_parser *parser)
{
    struct rg_http_client *c = ((struct conn *)parser->data)->client;
    bool has_length = parser->content_length != ULLONG_MAX;

    c->too_long = has_length && parser->content_length > c->opts.body_max;
    return c->too_long ? -1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    struct rg_http_client *c = ((struct conn *)parser->data)->client;

    if (c->body.len + len > c->opts.body_max) {
        c->too_long = true;
        return 1;
    }
    memcpy(rg_strbuf_reserve(&c->body, len), at, len);
    c->body.len += len;
    c->body.s[c->body.len] = '\0';
    return 0;
}

/* Stops the parser at the end of the response, so that the callback may reuse
 * the connection. */
static int
on_complete(http_parser *parser)
{
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    struct conn *conn = handle->data;

    (void)size;
    *buf = uv_buf_init(conn->read, sizeof(conn->read));
}

static void
handle_data(struct conn *conn, size_t len)
{
    struct rg_http_client *c = conn->client;

    if (!c->busy) {
        drop_conn(c); /* unsolicited data */
        return;
    }
    c->receiving = true;
    size_t parsed =
        http_parser_execute(&conn->parser, &parser_settings, conn->read, len);
    enum http_errno error = HTTP_PARSER_ERRNO(&conn->parser);
    if (error == HPE_PAUSED) {
        /* Data behind the response would be taken for the next response. */
        c->keep = http_should_keep_alive(&conn->parser) && parsed == len;
        finish(c, conn->parser.status_code, NULL);
        return;
    }
    if (error != HPE_OK) {
        rg_http_client_reset(c, c->too_long ? "the body is too long"
                                            : http_errno_description(error));
        return;
    }
    /* Restarted by each read: a large response over a slow link times out
     * only if it stalls. */
    uv_timer_start(&c->timer, on_timeout, c->opts.idle_ms, 0);
}

static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
    struct conn *conn = stream->data;

    (void)buf;
    if (!conn->client) {
        return;
    }
    if (len < 0) {
        rg_http_client_reset(conn->client, uv_strerror((int)len));
        return;
    }
    if (len > 0) {
        handle_data(conn, (size_t)len);
    }
}

static void
on_written(uv_write_t *write, int status)
{
    struct conn *conn = write->data;

    if (status < 0 && conn->client) {
        rg_http_client_reset(conn->client, uv_strerror(status));
    }
}

static int
format_request(const struct rg_http_client *c, char *out, size_t size)
{
    char host[RG_ADDR_STR_MAX];

    rg_addr_format(&c->opts.server, host);
    if (!c->post) {
        return snprintf(out, size, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
                        c->path, host);
    }
    return snprintf(out, size,
                    "POST %s HTTP/1.1\r\nHost: %s\r\n"
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n%s",
                    c->path, host, strlen(c->post_body), c->post_body);
}

static void
send_request(struct conn *conn)
{
    struct rg_http_client *c = conn->client;
    int len = format_request(c, conn->request, sizeof(conn->request));
    uv_buf_t buf = uv_buf_init(conn->request, (unsigned)len);
    http_parser_init(&conn->parser, HTTP_RESPONSE);
    conn->parser.data = conn;
    conn->write.data = conn;
    uv_timer_start(&c->timer, on_timeout, c->timeout_ms, 0);
    int rc =
        uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1, on_written);
    if (rc < 0) {
        rg_http_client_reset(c, uv_strerror(rc));
    }
}

static void
on_connected(uv_connect_t *connect, int status)
{
    struct conn *conn = connect->data;

    if (!conn->client) {
        return;
    }
    if (status < 0) {
        rg_http_client_reset(conn->client, uv_strerror(status));
        return;
    }
    conn->open = true;
    uv_tcp_nodelay(&conn->tcp, 1);
    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
    send_request(conn);
}

static void
open_conn(struct rg_http_client *c)
{
    struct conn *conn = rg_calloc(1, sizeof(*conn));
    struct sockaddr_storage sa;

    rg_addr_to_sock(&c->opts.server, &sa);
    conn->client = c;
    conn->tcp.data = conn;
    conn->connect.data = conn;
    uv_tcp_init(c->opts.loop, &conn->tcp);
    c->conn = conn;
    uv_timer_start(&c->timer, on_timeout, c->opts.connect_ms, 0);
    int rc = uv_tcp_connect(&conn->connect, &conn->tcp,
                            (const struct sockaddr *)&sa, on_connected);
    if (rc < 0) {
        /* The callback must not run within this function. */
        uv_timer_start(&c->timer, on_timeout, 0, 0);
    }
}

static void
start_call(struct rg_http_client *c, const char *path, uint32_t timeout_ms)
{
    rg_strbuf_clear(&c->body);
    c->busy = true;
    c->receiving = false;
    c->keep = false;
    c->too_long = false;
    c->field[0] = '\0';
    c->header[0] = '\0';
    c->in_value = false;
    c->has_header = false;
    c->timeout_ms = timeout_ms;
    snprintf(c->path, sizeof(c->path), "%s", path);
    if (c->conn) {
        send_request(c->conn);
    }
    else {
        open_conn(c);
    }
}

void
rg_http_client_get(struct rg_http_client *c, const char *path,
                   uint32_t timeout_ms)
{
    c->post = false;
    start_call(c, path, timeout_ms);
}

void
rg_http_client_post(struct rg_http_client *c, const char *path,
                    const char *body, uint32_t timeout_ms)
{
    c->post = true;
    snprintf(c->post_body, sizeof(c->post_body), "%s", body);
    start_call(c, path, timeout_ms);
}

bool
rg_http_client_receiving(const struct rg_http_client *c)
{
    return c->busy && c->receiving;
}

bool
rg_http_client_busy(const struct rg_http_client *c)
{
    return c->busy;
}

struct rg_http_client *
rg_http_client_create(const struct rg_http_client_opts *opts)
{
    struct rg_http_client *c = rg_calloc(1, sizeof(*c));

    c->opts = *opts;
    uv_timer_init(opts->loop, &c->timer);
    c->timer.data = c;
    return c;
}

static void
free_client(uv_handle_t *handle)
{
    struct rg_http_client *c = handle->data;

    rg_strbuf_clear(&c->body);
    free(c);
}

void
rg_http_client_destroy(struct rg_http_client *c)
{
    if (c) {
        c->busy = false;
        drop_conn(c);
        uv_close((uv_handle_t *)&c->timer, free_client);
    }
}
