/* Calls over connections that are used again. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <uv.h>

#include "edge/http_client.h"

#define ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
/* A loop that is still busy after so many turns hangs. */
#define TURNS_MOST 100000

struct fixture {
    uv_loop_t loop;
    uv_tcp_t listener;
    uv_tcp_t accepted[4];
    int connections;
    int asked;
    bool twice; /* each answer is sent twice in one piece */
    char answer[256];
    uv_write_t write;
    char read[4096];
    struct rg_http_client *client;
    char got[8]; /* bodies in order */
    int count;
};

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    struct fixture *f = handle->data;

    (void)size;
    *buf = uv_buf_init(f->read, sizeof(f->read));
}

/* Answers the first call with 1, the second with 2, and so on. */
static void
on_request(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
    struct fixture *f = stream->data;

    (void)buf;
    if (len <= 0) {
        return;
    }
    f->asked++;
    snprintf(f->answer, sizeof(f->answer), f->twice ? "%s%d%s%d" : "%s%d",
             ANSWER, f->asked, ANSWER, f->asked);
    uv_buf_t out = uv_buf_init(f->answer, (unsigned)strlen(f->answer));
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
on_answer(void *ctx, const struct rg_http_response *answer)
{
    struct fixture *f = ctx;

    g_assert_cmpuint(answer->status, ==, 200);
    g_assert_cmpuint(answer->body.len, ==, 1);
    f->got[f->count++] = answer->body.ptr[0];
    if (f->count < 3) {
        rg_http_client_get(f->client, "/", 1000);
    }
}

static void
run(struct fixture *f)
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
        .cb = on_answer,
        .ctx = f,
    };
    rg_addr_from_sock(&opts.server, (const struct sockaddr *)&bound);
    f->client = rg_http_client_create(&opts);
    rg_http_client_get(f->client, "/", 1000);
    for (int i = 0; i < TURNS_MOST && f->count < 3; i++) {
        uv_run(&f->loop, UV_RUN_ONCE);
    }
}

static void
done(struct fixture *f)
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
test_kept(void)
{
    struct fixture f = {0};

    run(&f);
    g_assert_cmpstr(f.got, ==, "123");
    g_assert_cmpint(f.connections, ==, 1);
    done(&f);
}

/* Pattern: a server sends its answer twice. Each call gets its own, over a new
 * connection. */
static void
test_sent_twice(void)
{
    struct fixture f = {.twice = true};

    run(&f);
    g_assert_cmpstr(f.got, ==, "123");
    g_assert_cmpint(f.connections, ==, 3);
    done(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/http-client/kept", test_kept);
    g_test_add_func("/http-client/sent-twice", test_sent_twice);
    return g_test_run();
}
