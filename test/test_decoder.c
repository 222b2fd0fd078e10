/* Decoding of the store's responses. Guards against a large response that
 * blocks the event loop, and so the forwarding of packets, while it is
 * decoded, and against leaks or use of freed memory if the decoder is
 * destroyed meanwhile. */
#include <glib.h>
#include <string.h>

#include "edge/decoder.h"

#define ROUTES_FEW 3
#define ROUTES_MANY 4000

struct outcome {
    int calls;
    bool ok;
    size_t changes;
    size_t routes;
};

static void
on_decoded(void *ctx, const struct rg_decoded *decoded)
{
    struct outcome *o = ctx;

    o->calls++;
    o->ok = decoded->ok;
    o->changes = decoded->count;
    if (decoded->count == 1 && decoded->changes[0].routes) {
        o->routes = rg_routes_count(decoded->changes[0].routes);
        rg_routes_destroy(decoded->changes[0].routes);
    }
}

/* A response that holds a configuration of `routes` routes. */
static GString *
response_with(int routes)
{
    g_autoptr(GString) doc = g_string_new("{\"Version\":1,\"Routes\":[");

    for (int i = 0; i < routes; i++) {
        g_string_append_printf(doc,
                               "%s{\"Host\":\"198.18.%d.%d\",\"Prefix\":"
                               "\"/443/\",\"Service\":\"shop\"}",
                               i ? "," : "", i / 256, i % 256);
    }
    g_string_append(doc, "]}");
    g_autofree char *value =
        g_base64_encode((const guchar *)doc->str, doc->len);
    GString *body = g_string_new(NULL);
    g_string_append_printf(body,
                           "{\"items\":[{\"Key\":\"op/config\",\"Value\":"
                           "\"%s\",\"Revision\":5}],\"StoreRevision\":9}",
                           value);
    return body;
}

static void
test_small_is_decoded_inline(void)
{
    uv_loop_t loop;
    struct outcome o = {0};
    g_autoptr(GString) body = response_with(ROUTES_FEW);

    uv_loop_init(&loop);
    struct rg_decoder *d = rg_decoder_create(&loop, on_decoded, &o);
    rg_decoder_start(d, (struct rg_str){body->str, body->len}, 0);
    g_assert_cmpint(o.calls, ==, 1);
    g_assert_true(o.ok);
    g_assert_cmpuint(o.routes, ==, ROUTES_FEW);
    g_assert_false(rg_decoder_busy(d));
    rg_decoder_destroy(d);
    g_assert_cmpint(uv_loop_close(&loop), ==, 0);
}

/* A large response is decoded on a worker, so that the loop stays free, and
 * from a copy, so that the caller may overwrite the body at once. */
static void
test_large_is_decoded_on_worker(void)
{
    uv_loop_t loop;
    struct outcome o = {0};
    g_autoptr(GString) body = response_with(ROUTES_MANY);

    uv_loop_init(&loop);
    struct rg_decoder *d = rg_decoder_create(&loop, on_decoded, &o);
    rg_decoder_start(d, (struct rg_str){body->str, body->len}, 0);
    memset(body->str, 'x', body->len);
    g_assert_cmpint(o.calls, ==, 0);
    g_assert_true(rg_decoder_busy(d));
    uv_run(&loop, UV_RUN_DEFAULT);
    g_assert_cmpint(o.calls, ==, 1);
    g_assert_true(o.ok);
    g_assert_cmpuint(o.routes, ==, ROUTES_MANY);
    g_assert_false(rg_decoder_busy(d));
    rg_decoder_destroy(d);
    g_assert_cmpint(uv_loop_close(&loop), ==, 0);
}

static void
test_invalid_response(void)
{
    uv_loop_t loop;
    struct outcome o = {0};
    g_autoptr(GString) body = response_with(ROUTES_MANY);

    uv_loop_init(&loop);
    struct rg_decoder *d = rg_decoder_create(&loop, on_decoded, &o);
    body->str[body->len - 1] = '!';
    rg_decoder_start(d, (struct rg_str){body->str, body->len}, 0);
    uv_run(&loop, UV_RUN_DEFAULT);
    g_assert_cmpint(o.calls, ==, 1);
    g_assert_false(o.ok);
    g_assert_cmpuint(o.changes, ==, 0);
    rg_decoder_destroy(d);
    g_assert_cmpint(uv_loop_close(&loop), ==, 0);
}

/* The daemon stops while a worker decodes: the callback is not called, and
 * nothing leaks. */
static void
test_destroyed_while_decoding(void)
{
    uv_loop_t loop;
    struct outcome o = {0};
    g_autoptr(GString) body = response_with(ROUTES_MANY);

    uv_loop_init(&loop);
    struct rg_decoder *d = rg_decoder_create(&loop, on_decoded, &o);
    rg_decoder_start(d, (struct rg_str){body->str, body->len}, 0);
    rg_decoder_destroy(d);
    uv_run(&loop, UV_RUN_DEFAULT);
    g_assert_cmpint(o.calls, ==, 0);
    g_assert_cmpint(uv_loop_close(&loop), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/decoder/small-is-decoded-inline",
                    test_small_is_decoded_inline);
    g_test_add_func("/decoder/large-is-decoded-on-worker",
                    test_large_is_decoded_on_worker);
    g_test_add_func("/decoder/invalid-response", test_invalid_response);
    g_test_add_func("/decoder/destroyed-while-decoding",
                    test_destroyed_while_decoding);
    return g_test_run();
}
