/* Entries of upstreams that another writer has put into the store: they name
 * services that no configuration names, and must neither end the process
 * (review/7) nor take an upstream from its callers. */
#include "balance/passive_health.h"
#include "balance/pool.h"
#include "balance/token.h"
#include "test/fake_instances.h"

/* More than a heap that happens to be larger than needed would hide. */
#define OTHER_SERVICES 3000
#define BOOT_MS 5

static struct rg_endpoint_info
entry_of(const char *id, const char *service)
{
    struct rg_endpoint_info info = {
        .id = name(id),
        .wire_id = 1,
        .boot_ms = BOOT_MS,
        .service = name(service),
        .data_centre = name("dc1"),
        .slots = 2,
    };

    rg_addr_parse(&info.addr, "10.0.0.1:80");
    return info;
}

static void
put(struct fixture *f, const char *id, const char *service, uint64_t revision)
{
    struct rg_endpoint_info info = entry_of(id, service);

    rg_pool_update(rg_balancer_pool(f->instances[0]), &info, revision,
                   f->now_ms);
}

/* Entries for services of their own. */
static void
put_other_entries(struct fixture *f)
{
    for (int i = 0; i < OTHER_SERVICES; i++) {
        g_autofree char *text = g_strdup_printf("other-%d", i);
        put(f, text, text, 2);
    }
}

/* Guards against a process that ends as the caller takes the answer to an
 * opening, or repeats it: the upstream's entry has named another service
 * meanwhile. */
static void
test_opening_outstanding(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    put_other_entries(f);
    struct tokens token = open_at(f, 0, 0);
    for (int i = 0; i < UPSTREAMS; i++) {
        g_autofree char *id = g_strdup_printf("u-%d", i);
        put(f, id, "other-2999", 3);
    }
    f->now_ms += RTT_MS;
    g_assert_cmpint(send_data(f, 0, token.opening, 0, 0, 100).kind, ==,
                    RG_DECISION_FORWARD);
    f->now_ms += FIRST_COPY_MS;
    open_copy(f, 0, 1);
    tick_until(f, f->now_ms + 2000);
}

/* The same where the caller has taken the answer of an upstream that this
 * instance knows by the entry of another writer only. */
static void
test_moves_to_other_service(struct fixture *f, gconstpointer unused)
{
    uint32_t token = rg_token_of(rg_str_of("other-2999"), BOOT_MS);

    (void)unused;
    put_other_entries(f);
    open_at(f, 0, 0);
    f->now_ms += RTT_MS;
    g_assert_cmpuint(send_data(f, 0, token, 0, 0, 100).token, ==, token);
    f->now_ms += RTT_MS;
    send_data(f, 0, token, 100, 1000, 100);
    tick_until(f, f->now_ms + 2000);
}

static void
add(const char *path, void (*test)(struct fixture *, gconstpointer))
{
    g_test_add(path, struct fixture, NULL, setup, test, teardown);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    add("/other-writers/opening-outstanding", test_opening_outstanding);
    add("/other-writers/moves-to-other-service", test_moves_to_other_service);
    return g_test_run();
}
