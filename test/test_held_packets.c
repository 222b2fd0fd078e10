/* Packets that wait for what peers say of their flows. */
#include <glib.h>
#include <stdlib.h>

#include "edge/held_packets.h"

#define NOW_MS 1000

static void
add(struct rg_held_packets *h, uint16_t port, uint8_t byte, uint64_t now_ms,
    bool fits)
{
    struct rg_segment s = {.flow = {.caller_port = port}, .seq = byte};

    g_assert_true(rg_held_packets_add(h, &s, &byte, 1, now_ms) == fits);
}

/* Due are packets of this port, and those whose time is over. */
struct due {
    uint16_t port;
    uint64_t now_ms;
};

static bool
is_due(void *ctx, const struct rg_held_packet *p)
{
    const struct due *due = ctx;

    return p->segment.flow.caller_port == due->port ||
           due->now_ms >= p->until_ms;
}

/* Takes the next due packet; returns its byte, -1 if there is none. */
static int
take(struct rg_held_packets *h, struct due due)
{
    struct rg_held_packet *p = rg_held_packets_take(h, is_due, &due);

    if (!p) {
        return -1;
    }
    g_assert_cmpuint(p->len, ==, 1);
    g_assert_cmpuint(p->segment.seq, ==, p->data[0]);
    int byte = p->data[0];
    free(p);
    return byte;
}

/* Guards against packets of a flow that change their order, and against those
 * of another flow that are sent too early or kept too long. */
static void
test_order(void)
{
    struct rg_held_packets *h = rg_held_packets_create();

    add(h, 1, 10, NOW_MS, true);
    add(h, 2, 20, NOW_MS, true);
    add(h, 1, 11, NOW_MS + 5, true);
    add(h, 1, 12, NOW_MS + 5, true);
    g_assert_cmpint(take(h, (struct due){3, NOW_MS}), ==, -1);
    g_assert_cmpint(take(h, (struct due){1, NOW_MS}), ==, 10);
    g_assert_cmpint(take(h, (struct due){1, NOW_MS}), ==, 11);
    g_assert_cmpint(take(h, (struct due){1, NOW_MS}), ==, 12);
    g_assert_cmpint(take(h, (struct due){1, NOW_MS}), ==, -1);
    g_assert_cmpuint(rg_held_packets_count(h), ==, 1);
    uint64_t end_ms = NOW_MS + RG_HELD_TIMEOUT_MS;
    g_assert_cmpint(take(h, (struct due){1, end_ms - 1}), ==, -1);
    g_assert_cmpint(take(h, (struct due){1, end_ms}), ==, 20);
    g_assert_cmpuint(rg_held_packets_count(h), ==, 0);
    rg_held_packets_destroy(h);
}

/* Guards against unbounded memory, and against leaks of what is left. */
static void
test_bounded(void)
{
    struct rg_held_packets *h = rg_held_packets_create();

    for (uint8_t i = 0; i < RG_HELD_MAX; i++) {
        add(h, i, i, NOW_MS, true);
    }
    add(h, 1, 1, NOW_MS, false);
    g_assert_cmpint(take(h, (struct due){7, NOW_MS}), ==, 7);
    add(h, 1, 1, NOW_MS, true);
    rg_held_packets_destroy(h);
    rg_held_packets_destroy(NULL);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/held-packets/order", test_order);
    g_test_add_func("/held-packets/bounded", test_bounded);
    return g_test_run();
}
