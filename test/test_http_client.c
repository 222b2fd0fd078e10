/* Reuse of a connection for several calls, and the header of a response that
 * its caller asked for. Guards against a response that is
 * taken for the response to the next call, which happens if a server sends it
 * twice and the client reads on from the same connection. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <uv.h>

#include "edge/http_client.h"

#define RESPONSE_HEAD "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
/* Iterations of the event loop; ends the test if a call never completes. */
#define MAX_ITERATIONS 100000

struct fixture {
    uv_loop_t loop;
    uv_tcp_t listener;
    uv_tcp_t accepted[4];
    int connections;
    int requests;
    const char *header; /* lines with the header of each response, or NULL */
    char headers[64];   /* values received, "-" for none, in order */
    bool duplicate;     /* send each response twice in one write */
    const char *raw;    /* the first response, or NULL */
    bool too_long;      /* the first response was */
    char response[256];
    uv_write_t write;
    char read[4096];
    struct rg_http_client *client;
    char bodies[8]; /* bodies received, in order */
    int count;
};

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    struct fixture *f = handle->data;

    (void)size;
    *buf = uv_buf_init(f->read, sizeof(f->read));
}

/* Responds to the first request with 1, to the second with 2, and so on. */
static void
on_request(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
    struct fixture *f = stream->data;

    (void)buf;
    if (len <= 0) {
        return;
    }
    f->requests++;
    if (f->raw && f->requests == 1) {
        uv_buf_t raw = uv_buf_init((char *)f->raw, (unsigned)strlen(f->raw));
        uv_write(&f->write, stream, &raw, 1, NULL);
        return;
    }
    if (f->header) {
        const char *header = f->requests == 2 ? "" : f->header;
        snprintf(f->response, sizeof(f->response),
                 "HTTP/1.1 200 OK\r\n%sContent-Length: 1\r\n\r\n%d", header,
                 f->requests);
        uv_buf_t out = uv_buf_init(f->response, (unsigned)strlen(f->response));
        uv_write(&f->write, stream, &out, 1, NULL);
        return;
    }
    snprintf(f->response, sizeof(f->response),
             f->duplicate ? "%s%d%s%d" : "%s%d", RESPONSE_HEAD, f->requests,
             RESPONSE_HEAD, f->requests);
    uv_buf_t out = uv_buf_init(f->response, (unsigned)strlen(f->response));
    uv_write(&f->write, stream, &out, 1, NULL);
}

static void
on_connection(uv_stream_t *server, int status)
{
    struct fixture *f = server->data;
    uv_tcp_t *tcp = &f->accepted[f->connections++];

    g_assert_cmpint(status, ==, 0);
    uv_tcp_init(&f->loop, tcp);
    tcp->data = f;
    uv_accept(server, (uv_stream_t *)tcp);
    uv_read_start((uv_stream_t *)tcp, on_alloc, on_request);
}

static void
on_response(void *ctx, const struct rg_http_response *response)
{
    struct fixture *f = ctx;

    if (f->raw && f->requests == 1) {
        g_assert_cmpuint(response->status, ==, 0);
        f->too_long = response->too_long;
        f->bodies[f->count++] = '-';
        rg_http_client_get(f->client, "/", 1000);
        return;
    }
    g_assert_false(response->too_long);
    g_assert_cmpuint(response->status, ==, 200);
    g_assert_cmpuint(response->body.len, ==, 1);
    f->bodies[f->count++] = response->body.ptr[0];
    g_strlcat(f->headers, response->header ? response->header : "-",
              sizeof(f->headers));
    g_strlcat(f->headers, ";", sizeof(f->headers));
    if (f->count < 3) {
        rg_http_client_get(f->client, "/", 1000);
    }
}

static void
run_calls(struct fixture *f)
{
    struct sockaddr_in sa;
    struct sockaddr_storage bound;
    int len = sizeof(bound);

    uv_loop_init(&f->loop);
    uv_tcp_init(&f->loop, &f->listener);
    f->listener.data = f;
    uv_ip4_addr("127.0.0.1", 0, &sa);
    uv_tcp_bind(&f->listener, (const struct sockaddr *)&sa, 0);
    uv_listen((uv_stream_t *)&f->listener, 4, on_connection);
    uv_tcp_getsockname(&f->listener, (struct sockaddr *)&bound, &len);
    struct rg_http_client_opts opts = {
        .loop = &f->loop,
        .connect_ms = 1000,
        .idle_ms = 1000,
        .body_max = 100,
        .header = "Store-Era",
        .cb = on_response,
        .ctx = f,
    };
    rg_addr_from_sock(&opts.server, (const struct sockaddr *)&bound);
    f->client = rg_http_client_create(&opts);
    rg_http_client_get(f->client, "/", 1000);
    for (int i = 0; i < MAX_ITERATIONS && f->count < 3; i++) {
        uv_run(&f->loop, UV_RUN_ONCE);
    }
}

static void
tear_down(struct fixture *f)
{
    rg_http_client_destroy(f->client);
    uv_close((uv_handle_t *)&f->listener, NULL);
    for (int i = 0; i < f->connections; i++) {
        uv_close((uv_handle_t *)&f->accepted[i], NULL);
    }
    uv_run(&f->loop, UV_RUN_DEFAULT);
    g_assert_cmpint(uv_loop_close(&f->loop), ==, 0);
}

/* One connection serves all calls. */
static void
test_connection_is_reused(void)
{
    struct fixture f = {0};

    run_calls(&f);
    g_assert_cmpstr(f.bodies, ==, "123");
    g_assert_cmpint(f.connections, ==, 1);
    tear_down(&f);
}

/* A server sends each response twice. The duplicate must not become the
 * response to the next call: each call uses a new connection. */
static void
test_duplicate_response(void)
{
    struct fixture f = {.duplicate = true};

    run_calls(&f);
    g_assert_cmpstr(f.bodies, ==, "123");
    g_assert_cmpint(f.connections, ==, 3);
    tear_down(&f);
}

static void
expect_headers(const char *lines, const char *values)
{
    struct fixture f = {.header = lines};

    run_calls(&f);
    g_assert_cmpstr(f.bodies, ==, "123");
    g_assert_cmpstr(f.headers, ==, values);
    tear_down(&f);
}

/* Guards against a header that is taken for that of an earlier response, and
 * against two values that are read as one number. */
static void
test_header(void)
{
    expect_headers("Store-Era: 12\r\n", "12;-;12;");
    expect_headers("X: 5\r\nstore-era: 3\r\nStore-Eras: 7\r\n", "3;-;3;");
    expect_headers("Store-Era: 1\r\nStore-Era: 2\r\n", "1,2;-;1,2;");
    expect_headers("Store-Era:\r\n", ";-;;");
}

/* A response whose body is larger than allowed fails as such, before it has
 * arrived if its length is known; the next call gets its own response. */
static void
expect_too_long(const char *raw)
{
    struct fixture f = {.raw = raw};

    run_calls(&f);
    g_assert_cmpstr(f.bodies, ==, "-23");
    g_assert_true(f.too_long);
    g_assert_cmpint(f.connections, ==, 2);
    tear_down(&f);
}

static void
test_too_long(void)
{
    expect_too_long("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n");
    expect_too_long("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "65\r\n"
                    "0123456789012345678901234567890123456789012345678"
                    "0123456789012345678901234567890123456789012345678901");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/http-client/connection-is-reused",
                    test_connection_is_reused);
    g_test_add_func("/http-client/duplicate-response",
                    test_duplicate_response);
    g_test_add_func("/http-client/header", test_header);
    g_test_add_func("/http-client/too-long", test_too_long);
    return g_test_run();
}
