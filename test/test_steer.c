/* Steering of single flows: what is refused, what a flow keeps, and what is
 * dropped. */
#include "fake_flows.h"

static bool
is_refusal(const struct sent *s)
{
    struct rg_addr back;

    rg_addr_parse(&back, "127.0.0.99:1");
    return rg_addr_eq(&s->to, &back);
}

/* Once refused, stays refused: no copy of the opening is passed on, and none
 * that was passed on is refused. */
static void
test_refusal(void)
{
    struct net *net = net_create(4, 2);
    GHashTable *passed = g_hash_table_new(NULL, NULL);
    GHashTable *refused = g_hash_table_new(NULL, NULL);

    net_configure(net, make_config(2, 2, NULL, 20), 0xf);
    for (int round = 0; round < 3; round++) {
        for (uint32_t n = 0; n < 200; n++) {
            net_clear_sent(net);
            net_send(net, (n + (uint32_t)round) % 4, n, RG_TCP_SYN, 5);
            g_assert_cmpuint(net->sent->len, ==, 1);
            g_hash_table_add(is_refusal(net_last(net)) ? refused : passed,
                             GUINT_TO_POINTER(n + 1));
        }
        if (round == 0) {
            /* Room again: earlier refusals stand all the same. */
            net_configure(net, make_config(3, 2, NULL, 1000), 0xf);
        }
    }
    g_assert_cmpuint(g_hash_table_size(refused), >, 0);
    g_assert_cmpuint(g_hash_table_size(refused) + g_hash_table_size(passed),
                     ==, 200);
    g_hash_table_destroy(refused);
    g_hash_table_destroy(passed);
    net_destroy(net);
}

/* The owner has lost its record and finds no upstream for new flows, but the
 * replica knows that the flow was passed on. */
static void
test_replica_stops_refusal(void)
{
    struct net *net = net_create(3, 2);
    uint32_t restarted = 0;

    for (uint32_t n = 0; n < 60; n++) {
        net_send(net, 0, n, RG_TCP_SYN, 9);
    }
    net_configure(net, make_config(2, 2, "dd", 20), 0x7);
    net_stop(net, 1);
    net_start(net, 1);
    net_run(net, 5000);
    for (uint32_t n = 0; n < 60; n++) {
        restarted += net_holder(net, 0, n, 0) == 1;
        net_clear_sent(net);
        net_send(net, 0, n, RG_TCP_SYN, 9);
        g_assert_cmpuint(net->sent->len, ==, 1);
        g_assert_false(is_refusal(net_last(net)));
    }
    g_assert_cmpuint(restarted, >, 0);
    net_clear_sent(net);
    net_send(net, 0, 999, RG_TCP_SYN, 9); /* a new one is refused */
    g_assert_true(is_refusal(net_last(net)));
    net_destroy(net);
}

/* An address given to the other service takes no packet of the first. */
static void
test_reused_address(void)
{
    struct rg_addr places[FLOWS];
    struct net *net = established(4, places);
    struct rg_addr moved;

    rg_addr_parse(&moved, "127.1.0.2:9");
    /* Nodes 0 and 1 know of the move; 2 and 3 learn it a while later. */
    net_configure(net, make_config(2, 5, "a-aaa", 1000), 0xf);
    net_configure(net, make_config(3, 5, "amaaa", 1000), 0xf);
    for (uint32_t n = 0; n < FLOWS; n++) {
        struct rg_addr now = net_where(net, n % 4, n);
        g_assert_false(rg_addr_eq(&now, &moved));
        g_assert_true(now.port == 0 || rg_addr_eq(&now, &places[n]));
    }
    g_assert_cmpuint(NET_COUNT(net, dropped_reused_address), >, 0);
    net_destroy(net);
}

/* An upstream taken out of the document keeps its flows. */
static void
test_removed_upstream_keeps_flows(void)
{
    struct rg_addr places[FLOWS];
    struct net *net = established(4, places);

    net_configure(net, make_config(2, 5, "-daaa", 1000), 0xf);
    assert_places(net, places);
    /* Also where the record moves to a node that never knew it. */
    net_start(net, 4);
    net_run(net, 5000);
    assert_places(net, places);
    net_destroy(net);
}

static void
test_leaving_upstream_gets_no_new_flow(void)
{
    struct net *net = net_create(4, 5);
    struct rg_addr draining;

    rg_addr_parse(&draining, "127.1.0.1:9");
    /* Node 3 is still at the old configuration. */
    net_configure(net, make_config(2, 5, "daaaa", 1000), 0x7);
    uint32_t wrong = 0;
    for (uint32_t n = 0; n < 400; n++) {
        net_clear_sent(net);
        net_send(net, n % 4, n, RG_TCP_SYN, 3);
        if (net->sent->len > 0 && rg_addr_eq(&net_last(net)->to, &draining)) {
            wrong++;
        }
    }
    g_assert_cmpuint(wrong, ==, 0);
    net_destroy(net);
}

/* The port of a closed flow is used again for a new one. */
static void
test_port_reuse(void)
{
    struct rg_addr places[FLOWS];
    struct net *net = established(4, places);
    uint32_t elsewhere = 0;

    net_configure(net, make_config(2, 5, "daaaa", 1000), 0xf);
    for (uint32_t n = 0; n < FLOWS; n++) {
        net_send(net, 0, n, RG_TCP_FIN | RG_TCP_ACK, 3);
        net_clear_sent(net);
        net_send(net, 1, n, RG_TCP_SYN, 990000 + n);
        g_assert_cmpuint(net->sent->len, ==, 1);
        struct rg_addr fresh = net_last(net)->to;
        struct rg_addr data = net_where(net, 2, n);
        g_assert_true(rg_addr_eq(&fresh, &data));
        elsewhere += !rg_addr_eq(&fresh, &places[n]);
    }
    g_assert_cmpuint(elsewhere, >, 0); /* the draining one is left at last */
    net_destroy(net);
}

static void
test_udp_flow(void)
{
    struct net *net = net_create(3, 5);
    struct rg_packet p = packet_of(1, true, 0, 0);

    net_inject(net, 0, &p);
    g_assert_cmpuint(net->sent->len, ==, 1);
    struct rg_addr first = net_last(net)->to;
    for (uint32_t i = 0; i < 9; i++) {
        net_clear_sent(net);
        net_inject(net, i % 3, &p);
        g_assert_true(rg_addr_eq(&net_last(net)->to, &first));
    }
    net_destroy(net);
}

/* Bad input is dropped and counted by its cause, and nothing is refused. */
static void
test_bad_input(void)
{
    struct net *net = net_create(2, 2);
    struct rg_packet p = packet_of(1, false, RG_TCP_SYN, 0);
    struct rg_steer s = {.kind = RG_STEER_TO_OWNER, .hops = 200};

    s.target = rg_identity(rg_str_of("n0"), rg_str_of(""));
    uint8_t data[512];
    struct rg_addr from = node_addr(1);
    struct rg_core *core = net->nodes[0].core;
    const struct rg_counters *c = rg_core_counters(core);

    size_t len = rg_packet_build(data + RG_GUE_STEER_LEN, 400, &p);
    rg_gue_write_steer(data, &s, 0x45);
    rg_core_handle_datagram(core, &from, data, len + RG_GUE_STEER_LEN,
                            net->now_ms);
    g_assert_cmpuint(c->dropped_looping, ==, 1);
    rg_core_handle_datagram(core, &from, data + RG_GUE_STEER_LEN, len,
                            net->now_ms);
    g_assert_cmpuint(c->dropped_alien, ==, 1); /* not from the fabric */
    rg_addr_parse(&from, "10.0.0.1:1");
    rg_core_handle_datagram(core, &from, data, len + RG_GUE_STEER_LEN,
                            net->now_ms);
    g_assert_cmpuint(c->dropped_alien, ==, 2);
    rg_addr_parse(&from, "127.0.0.98:1");
    rg_core_handle_datagram(core, &from, data + RG_GUE_STEER_LEN, len - 5,
                            net->now_ms);
    g_assert_cmpuint(c->dropped_truncated, ==, 1);
    rg_core_handle_datagram(
        core, &from, (const uint8_t *)"\xff\xff\xff\xff\xff", 5, net->now_ms);
    g_assert_cmpuint(c->dropped_gue, ==, 1);
    p.key.dport = 81;
    net_inject(net, 0, &p);
    g_assert_cmpuint(c->dropped_no_service, ==, 1);
    g_assert_cmpuint(net->sent->len, ==, 0);
    net_destroy(net);
}

static void
test_no_configuration(void)
{
    struct net *net = net_create(0, 2);
    struct rg_packet p = packet_of(1, false, RG_TCP_SYN, 0);

    rg_config_destroy(net->config);
    net->config = NULL;
    net_start(net, 0);
    net_run(net, 5000);
    g_assert_false(rg_core_ready(net->nodes[0].core));
    net_inject(net, 0, &p);
    g_assert_cmpuint(net->sent->len, ==, 0);
    g_assert_cmpuint(rg_core_counters(net->nodes[0].core)->dropped_no_config,
                     ==, 1);
    net_destroy(net);
}

/* A stopped upstream is taken out by what callers' packets show. */
static void
test_silent_upstream(void)
{
    struct net *net = net_create(1, 4);
    struct rg_addr silent;
    uint32_t late = 0;

    rg_addr_parse(&silent, "127.1.0.3:9");
    for (uint32_t n = 0; n < 400; n++) {
        net_clear_sent(net);
        net_send(net, 0, n, RG_TCP_SYN, 4);
        bool is_silent = rg_addr_eq(&net_last(net)->to, &silent);
        if (!is_silent) {
            net_send(net, 0, n, RG_TCP_ACK, 5); /* it answers */
            continue;
        }
        late += n >= 200;
        net_run(net, 20);
        net_send(net, 0, n, RG_TCP_SYN, 4);
    }
    g_assert_cmpuint(late, <=, 4); /* one trial a second at most */
    g_assert_cmpuint(
        rg_upstreams_ejected(rg_core_upstreams(net->nodes[0].core)), ==, 1);
    net_destroy(net);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/steer/refusal", test_refusal);
    g_test_add_func("/steer/replica-stops-refusal",
                    test_replica_stops_refusal);
    g_test_add_func("/steer/reused-address", test_reused_address);
    g_test_add_func("/steer/removed-upstream",
                    test_removed_upstream_keeps_flows);
    g_test_add_func("/steer/leaving-upstream",
                    test_leaving_upstream_gets_no_new_flow);
    g_test_add_func("/steer/port-reuse", test_port_reuse);
    g_test_add_func("/steer/udp", test_udp_flow);
    g_test_add_func("/steer/bad-input", test_bad_input);
    g_test_add_func("/steer/no-configuration", test_no_configuration);
    g_test_add_func("/steer/silent-upstream", test_silent_upstream);
    return g_test_run();
}
