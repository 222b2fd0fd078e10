/* The store client against a store in this process. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "edge/http_server.h"
#include "edge/store_client.h"

#define STORE_ADDRESS "127.213.7.1:18455"
/* Longer than what the client accepts. */
#define LARGE_BYTES (17 * 1024 * 1024)
/* The listing that follows a large response begins after fewer calls. */
#define CALLS_MAX 12

struct fixture {
    uv_loop_t loop;
    struct rg_http_server *store;
    struct rg_balancer *balancer;
    struct rg_store_client *client;
    bool removed; /* the upstream's entry was, together with a large change */
    int calls;
    int listings;
    int large;
};

/* The store at revision 5; once the entry is removed, at revision 7. */
static unsigned
serve(void *ctx, const char *path, struct rg_strbuf *body)
{
    static const char config[] =
        "{\"Key\":\"op/config\",\"Revision\":2,\"Created\":2,\"Lease\":0,"
        "\"Value\":\"e30=\"}";
    struct fixture *f = ctx;
    unsigned long long after = 0;

    f->calls++;
    if (strncmp(path, "/v1/kv-range", strlen("/v1/kv-range")) == 0) {
        f->listings++;
        rg_strbuf_printf(body,
                         "{\"items\":[%s],\"HasMore\":false,"
                         "\"StoreRevision\":%d}",
                         config, f->removed ? 7 : 5);
        return 200;
    }
    sscanf(path, "/v1/kv-watch?Prefix=&after=%llu", &after);
    if (after < 7 && f->removed) {
        memset(rg_strbuf_reserve(body, LARGE_BYTES), ' ', LARGE_BYTES);
        body->len += LARGE_BYTES;
        f->large++;
        return 200;
    }
    f->removed = true;
    rg_strbuf_printf(body, "{\"events\":[],\"StoreRevision\":%llu}", after);
    return 200;
}

static void
ignore_instance(void *ctx, const struct rg_addr *addr)
{
    (void)ctx;
    (void)addr;
}

static void
ignore_era(void *ctx, uint32_t era)
{
    (void)ctx;
    (void)era;
}

static void
set_up(struct fixture *f)
{
    static const struct rg_log log = {.level = RG_LOG_ERR};
    RG_ERR_AUTO err = {0};
    struct rg_balancer_opts balancer = {
        .flow_age_ms = 60000,
        .stale_ms = 3000,
        .tracked_flows = 16,
        .seed = 1,
        .log = &log,
    };
    struct rg_http_server_opts store = {
        .loop = &f->loop, .setting = "store", .handler = serve, .ctx = f};
    struct rg_store_client_opts client = {
        .loop = &f->loop,
        .sync = rg_store_sync_opts_for(3000, 2000),
        .log = &log,
        .on_instance = ignore_instance,
        .on_era = ignore_era,
        .ctx = f,
    };

    uv_loop_init(&f->loop);
    rg_name_set(&balancer.data_centre, rg_str_of("dc1"));
    f->balancer = rg_balancer_create(&balancer, 0);
    rg_addr_parse(&store.address, STORE_ADDRESS);
    f->store = rg_http_server_create(&store, &err);
    g_assert_nonnull(f->store);
    client.store = store.address;
    client.balancer = f->balancer;
    f->client = rg_store_client_create(&client);
}

static void
tear_down(struct fixture *f)
{
    rg_store_client_destroy(f->client);
    rg_http_server_destroy(f->store);
    uv_run(&f->loop, UV_RUN_DEFAULT);
    g_assert_cmpint(uv_loop_close(&f->loop), ==, 0);
    rg_balancer_destroy(f->balancer);
}

/* Guards against a view that no longer follows the store (review/8): the
 * changes that a watch asks for are more than a response may hold, and would
 * be until the store forgets them. */
static void
test_large_changes(void)
{
    struct fixture f = {0};

    set_up(&f);
    while (rg_store_client_revision(f.client) != 7) {
        g_assert_cmpint(f.calls, <, CALLS_MAX);
        uv_run(&f.loop, UV_RUN_ONCE);
    }
    g_assert_cmpint(f.large, ==, 1);
    g_assert_cmpint(f.listings, ==, 2);
    tear_down(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store-client/large-changes", test_large_changes);
    return g_test_run();
}
