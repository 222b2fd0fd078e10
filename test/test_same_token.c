/* Two upstreams whose tokens are the same. Guards against packets of an open
 * flow that go to the upstream which does not have it (review/9): instances
 * learn of the two in different orders. */
#include <stdlib.h>
#include <string.h>

#include "balance/token.h"
#include "test/fake_instances.h"

/* Among so many upstreams some pairs have the same token. */
#define DRAWS 300000
#define OLDER_BOOT_MS 7
#define YOUNGER_BOOT_MS 8

struct draw {
    uint32_t token;
    int number;
};

/* Ids of upstreams with the same token. */
static char older[32];
static char younger[32];

static void
set_id(char out[32], int number)
{
    g_snprintf(out, 32, "s-%d", number);
}

static struct draw
draw(int number, uint64_t boot_ms)
{
    char id[32];

    set_id(id, number);
    return (struct draw){rg_token_of(rg_str_of(id), boot_ms), number};
}

static int
compare(const void *a, const void *b)
{
    uint32_t x = ((const struct draw *)a)->token;
    uint32_t y = ((const struct draw *)b)->token;

    return x < y ? -1 : x > y;
}

static void
find_ids(void)
{
    struct draw *draws = g_new(struct draw, DRAWS);

    for (int i = 0; i < DRAWS; i++) {
        draws[i] = draw(i, OLDER_BOOT_MS);
    }
    qsort(draws, DRAWS, sizeof(*draws), compare);
    for (int i = 0; i < DRAWS && younger[0] == '\0'; i++) {
        struct draw key = draw(DRAWS + i, YOUNGER_BOOT_MS);
        const struct draw *found =
            bsearch(&key, draws, DRAWS, sizeof(*draws), compare);
        if (found) {
            set_id(older, found->number);
            set_id(younger, key.number);
        }
    }
    g_free(draws);
    g_assert_cmpstr(younger, !=, "");
}

static void
put(struct fixture *f, int instance, const char *id)
{
    struct rg_endpoint_info info = {
        .id = name(id),
        .wire_id = 9,
        .boot_ms = id == older ? OLDER_BOOT_MS : YOUNGER_BOOT_MS,
        .service = name("shop"),
        .data_centre = name("dc1"),
        .slots = 2,
    };

    rg_addr_parse(&info.addr, "10.0.0.1:80");
    rg_pool_update(rg_balancer_pool(f->instances[instance]), &info, 2,
                   f->now_ms);
}

static uint32_t
common_token(void)
{
    return rg_token_of(rg_str_of(older), OLDER_BOOT_MS);
}

/* Upstream that gets a packet of an open flow which this instance does not
 * know. */
static const char *
upstream_at(struct fixture *f, int instance)
{
    struct rg_decision d =
        send_data(f, instance, common_token(), 5000, 1000, 100);

    g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
    return d.endpoint->id.s;
}

/* All instances send them to the upstream that started first, also one that
 * has learned of the other first. */
static void
test_any_order(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    put(f, 0, older);
    put(f, 0, younger);
    put(f, 1, younger);
    put(f, 1, older);
    g_assert_cmpstr(upstream_at(f, 0), ==, older);
    g_assert_cmpstr(upstream_at(f, 1), ==, older);
}

/* Opens flows until one goes to this upstream. */
static uint16_t
open_at_upstream(struct fixture *f, const char *id)
{
    for (uint16_t port = 1; port < 1000; port++) {
        struct rg_segment s = segment_from(port);
        s.opening = true;
        s.seq = OPENING_SEQ;
        struct rg_decision d =
            rg_balancer_packet(f->instances[0], &s, f->now_ms);
        if (d.kind == RG_DECISION_FORWARD && strcmp(d.endpoint->id.s, id) == 0)
        {
            return port;
        }
    }
    g_assert_not_reached();
}

/* A flow to the younger one, opened before the older one was known, stays
 * where it is; new flows go to the older one only. */
static void
test_flow_stays(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    put(f, 0, younger);
    uint16_t port = open_at_upstream(f, younger);
    put(f, 0, older);
    f->now_ms += RTT_MS;
    for (uint32_t sent = 0; sent < 300; sent += 100) {
        struct rg_segment s = segment_from(port);
        s.token = sent ? common_token()
                       : rg_token_of_opening(common_token(), OPENING_SEQ);
        s.seq = OPENING_SEQ + 1 + sent;
        s.ack = UPSTREAM_SEQ + 1;
        s.len = 100;
        struct rg_decision d =
            rg_balancer_packet(f->instances[0], &s, f->now_ms);
        g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
        g_assert_cmpstr(d.endpoint->id.s, ==, younger);
    }
    g_assert_cmpuint(open_at_upstream(f, older), !=, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    find_ids();
    add_case("/same-token/any-order", test_any_order);
    add_case("/same-token/flow-stays", test_flow_stays);
    return g_test_run();
}
