/* Steering of single flows: which openings are refused, which flows keep their
 * upstream, and which packets are dropped. */
#include "fake_flows.h"

static bool
is_refusal(const struct sent *s)
{
    struct rg_addr back;

    rg_addr_parse(&back, "127.0.0.99:1");
    return rg_addr_eq(&s->to, &back);
}

/* The caller retransmits its opening to other instances, and upstreams become
 * full or free meanwhile. If one transmission were refused and another
 * forwarded, the caller would get an RST for a flow that an upstream has
 * accepted. */
static void
test_refusal_is_final(void)
{
    struct net *net = net_create(4, 2);
    GHashTable *forwarded = g_hash_table_new(NULL, NULL);
    GHashTable *refused = g_hash_table_new(NULL, NULL);

    net_configure(net, build_config(2, 2, NULL, 20), 0xf);
    for (int round = 0; round < 3; round++) {
        for (uint32_t n = 0; n < 200; n++) {
            net_clear_sent(net);
            net_send(net, (n + (uint32_t)round) % 4, n, RG_TCP_SYN, 5);
            g_assert_cmpuint(net->sent->len, ==, 1);
            g_hash_table_add(is_refusal(net_last_sent(net)) ? refused
                                                            : forwarded,
                             GUINT_TO_POINTER(n + 1));
        }
        if (round == 0) {
            /* Upstreams are below their limit again; refusals stay. */
            net_configure(net, build_config(3, 2, NULL, 1000), 0xf);
        }
    }
    g_assert_cmpuint(g_hash_table_size(refused), >, 0);
    g_assert_cmpuint(g_hash_table_size(refused) + g_hash_table_size(forwarded),
                     ==, 200);
    g_hash_table_destroy(refused);
    g_hash_table_destroy(forwarded);
    net_destroy(net);
}

/* A restarted owner has no records and finds no upstream for new flows. It
 * must not refuse an opening that it forwarded before, which the replica
 * knows. */
static void
test_replica_prevents_refusal(void)
{
    struct net *net = net_create(3, 2);
    uint32_t restarted = 0;

    for (uint32_t n = 0; n < 60; n++) {
        net_send(net, 0, n, RG_TCP_SYN, 9);
    }
    net_configure(net, build_config(2, 2, "dd", 20), 0x7);
    net_stop(net, 1);
    net_start(net, 1);
    net_run(net, 5000);
    for (uint32_t n = 0; n < 60; n++) {
        restarted += net_holder(net, 0, n, 0) == 1;
        net_clear_sent(net);
        net_send(net, 0, n, RG_TCP_SYN, 9);
        g_assert_cmpuint(net->sent->len, ==, 1);
        g_assert_false(is_refusal(net_last_sent(net)));
    }
    g_assert_cmpuint(restarted, >, 0);
    net_clear_sent(net);
    net_send(net, 0, 999, RG_TCP_SYN, 9); /* a new one is refused */
    g_assert_true(is_refusal(net_last_sent(net)));
    net_destroy(net);
}

/* An upstream's address is given to another service. Packets of old flows must
 * not be sent there, where they would reach the wrong service. */
static void
test_reused_address(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(4, dests);
    struct rg_addr moved;

    rg_addr_parse(&moved, "127.1.0.2:9");
    net_configure(net, build_config(2, 5, "a-aaa", 1000), 0xf);
    net_configure(net, build_config(3, 5, "amaaa", 1000), 0xf);
    for (uint32_t n = 0; n < FLOWS; n++) {
        struct rg_addr now = net_dest(net, n % 4, n);
        g_assert_false(rg_addr_eq(&now, &moved));
        g_assert_true(now.port == 0 || rg_addr_eq(&now, &dests[n]));
    }
    g_assert_cmpuint(NET_COUNT(net, dropped_reused_address), >, 0);
    net_destroy(net);
}

/* An upstream is removed from the configuration. Its flows must still reach
 * it, though no configuration names its address any more. */
static void
test_removed_upstream_keeps_flows(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(4, dests);

    net_configure(net, build_config(2, 5, "-daaa", 1000), 0xf);
    assert_dests(net, dests);
    /* Also if a record moves to a node that never knew the upstream. */
    net_start(net, 4);
    net_run(net, 5000);
    assert_dests(net, dests);
    net_destroy(net);
}

/* One instance still has the configuration in which an upstream is active. A
 * new flow must not reach the draining upstream through it. */
static void
test_draining_upstream_gets_no_new_flow(void)
{
    struct net *net = net_create(4, 5);
    struct rg_addr draining;

    rg_addr_parse(&draining, "127.1.0.1:9");
    /* Node 3 still has the old configuration. */
    net_configure(net, build_config(2, 5, "daaaa", 1000), 0x7);
    uint32_t wrong = 0;
    for (uint32_t n = 0; n < 400; n++) {
        net_clear_sent(net);
        net_send(net, n % 4, n, RG_TCP_SYN, 3);
        if (net->sent->len > 0 &&
            rg_addr_eq(&net_last_sent(net)->to, &draining)) {
            wrong++;
        }
    }
    g_assert_cmpuint(wrong, ==, 0);
    net_destroy(net);
}

/* The caller uses the port of a closed flow for a new one. It must be treated
 * as new, so it must not go to an upstream that takes no new flows. */
static void
test_port_reuse(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(4, dests);
    uint32_t elsewhere = 0;

    net_configure(net, build_config(2, 5, "daaaa", 1000), 0xf);
    for (uint32_t n = 0; n < FLOWS; n++) {
        net_send(net, 0, n, RG_TCP_FIN | RG_TCP_ACK, 3);
        net_clear_sent(net);
        net_send(net, 1, n, RG_TCP_SYN, 990000 + n);
        g_assert_cmpuint(net->sent->len, ==, 1);
        struct rg_addr opening_dest = net_last_sent(net)->to;
        struct rg_addr data = net_dest(net, 2, n);
        g_assert_true(rg_addr_eq(&opening_dest, &data));
        elsewhere += !rg_addr_eq(&opening_dest, &dests[n]);
    }
    g_assert_cmpuint(elsewhere, >, 0); /* new flows avoid the draining one */
    net_destroy(net);
}

/* All datagrams of a UDP flow must reach one upstream, whichever instance
 * receives them. */
static void
test_udp_flow(void)
{
    struct net *net = net_create(3, 5);
    struct rg_packet p = build_packet(1, true, 0, 0);

    net_inject(net, 0, &p);
    g_assert_cmpuint(net->sent->len, ==, 1);
    struct rg_addr first = net_last_sent(net)->to;
    for (uint32_t i = 0; i < 9; i++) {
        net_clear_sent(net);
        net_inject(net, i % 3, &p);
        g_assert_true(rg_addr_eq(&net_last_sent(net)->to, &first));
    }
    net_destroy(net);
}

/* Malformed or misdirected input must be dropped and counted by cause, and
 * must not cause a reply. */
static void
test_bad_input_is_counted(void)
{
    struct net *net = net_create(2, 2);
    struct rg_packet p = build_packet(1, false, RG_TCP_SYN, 0);
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

/* Without a configuration an instance must not be ready and must drop packets.
 */
static void
test_no_configuration(void)
{
    struct net *net = net_create(0, 2);
    struct rg_packet p = build_packet(1, false, RG_TCP_SYN, 0);

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

/* An upstream stops without being taken out of the configuration. New flows
 * would fail there until its unanswered openings cause its ejection. */
static void
test_unanswered_upstream_is_ejected(void)
{
    struct net *net = net_create(1, 4);
    struct rg_addr stopped;
    uint32_t late_openings = 0;

    rg_addr_parse(&stopped, "127.1.0.3:9");
    for (uint32_t n = 0; n < 400; n++) {
        net_clear_sent(net);
        net_send(net, 0, n, RG_TCP_SYN, 4);
        bool is_stopped = rg_addr_eq(&net_last_sent(net)->to, &stopped);
        if (!is_stopped) {
            net_send(net, 0, n, RG_TCP_ACK, 5); /* it has answered */
            continue;
        }
        late_openings += n >= 200;
        net_run(net, 20);
        net_send(net, 0, n, RG_TCP_SYN, 4);
    }
    g_assert_cmpuint(late_openings, <=, 4); /* at most one trial per second */
    g_assert_cmpuint(
        rg_upstreams_ejected(rg_core_upstreams(net->nodes[0].core)), ==, 1);
    net_destroy(net);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/steer/refusal-is-final", test_refusal_is_final);
    g_test_add_func("/steer/replica-prevents-refusal",
                    test_replica_prevents_refusal);
    g_test_add_func("/steer/reused-address", test_reused_address);
    g_test_add_func("/steer/removed-upstream-keeps-flows",
                    test_removed_upstream_keeps_flows);
    g_test_add_func("/steer/draining-upstream-gets-no-new-flow",
                    test_draining_upstream_gets_no_new_flow);
    g_test_add_func("/steer/port-reuse", test_port_reuse);
    g_test_add_func("/steer/udp", test_udp_flow);
    g_test_add_func("/steer/bad-input-is-counted", test_bad_input_is_counted);
    g_test_add_func("/steer/no-configuration", test_no_configuration);
    g_test_add_func("/steer/unanswered-upstream-is-ejected",
                    test_unanswered_upstream_is_ejected);
    return g_test_run();
}
