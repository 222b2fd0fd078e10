/* Steering by several cores: who keeps a flow's record, and that the record is
 * found when instances come, go, freeze or disagree. */
#include "fake_flows.h"

static void
test_any_node_serves(void)
{
    struct rg_addr places[FLOWS];
    struct net *net = established(4, places);

    assert_places(net, places);
    g_assert_cmpuint(NET_COUNT(net, flows_orphaned), ==, 0);
    net_destroy(net);
}

static void
test_join(void)
{
    struct rg_addr places[FLOWS];
    struct net *net = established(3, places);

    net_start(net, 3);
    net_start(net, 4);
    net_run(net, 5000);
    assert_places(net, places);
    g_assert_cmpuint(NET_COUNT(net, lookups_found), >, 0);
    net_destroy(net);
}

/* Two instances that start at once hear each other before they hear those who
 * know the flows. Neither may count itself, or be counted, as in the group
 * until then: it would send flows to where its table says. */
static void
test_two_join_apart(void)
{
    struct rg_addr places[FLOWS];
    struct net *net = established(4, places);

    for (uint32_t i = 0; i < 2; i++) {
        rg_core_leave(net->nodes[i].core, net->now_ms);
        net_drain(net, i);
    }
    net_run(net, 8000);
    for (uint32_t i = 0; i < 2; i++) {
        for (uint32_t k = 2; k < 4; k++) {
            net->cut[i][k] = true;
            net->cut[k][i] = true;
        }
        net_start(net, i);
    }
    net_run(net, 2000);
    g_assert_cmpuint(
        rg_members_alive_count(rg_core_members(net->nodes[0].core)), ==, 2);
    g_assert_false(rg_core_ready(net->nodes[0].core));
    g_assert_false(rg_core_ready(net->nodes[1].core));
    memset(net->cut, 0, sizeof(net->cut));
    net_run(net, 1000);
    g_assert_true(rg_core_ready(net->nodes[0].core));
    g_assert_true(rg_core_ready(net->nodes[1].core));
    assert_places(net, places);
    g_assert_cmpuint(NET_COUNT(net, flows_orphaned), ==, 0);
    net_destroy(net);
}

/* A whole fleet that starts is ready at once, if the platform lists it: nobody
 * else is to be waited for. */
static void
test_all_start(void)
{
    struct net *net = net_create(0, 5);
    struct rg_addr listed[3];

    for (uint32_t i = 0; i < 3; i++) {
        listed[i] = node_addr(i);
        net_start(net, i);
        rg_core_set_listed(net->nodes[i].core, listed, i + 1);
    }
    for (uint32_t i = 0; i < 3; i++) {
        rg_core_set_listed(net->nodes[i].core, listed, 3);
    }
    net_run(net, RG_MEMBERS_JOIN_TIMEOUT_MS / 2);
    for (uint32_t i = 0; i < 3; i++) {
        g_assert_true(rg_core_ready(net->nodes[i].core));
    }
    net_destroy(net);
}

static void
test_crash(void)
{
    struct rg_addr places[FLOWS];
    struct net *net = established(4, places);

    net_stop(net, 1);
    net_run(net, 6000);
    assert_places(net, places);
    g_assert_cmpuint(NET_COUNT(net, flows_orphaned), ==, 0);
    net_destroy(net);
}

/* Idle flows outlive the replacement of every node, two at a time. */
static void
test_leave_idle(void)
{
    struct rg_addr places[FLOWS];
    struct net *net = established(4, places);

    for (uint32_t i = 0; i < 4; i += 2) {
        rg_core_leave(net->nodes[i].core, net->now_ms);
        net_drain(net, i);
        rg_core_leave(net->nodes[i + 1].core, net->now_ms);
        net_drain(net, i + 1);
        net_run(net, 8000);
        g_assert_null(net->nodes[i].core);
        g_assert_null(net->nodes[i + 1].core);
        net_start(net, i);
        net_start(net, i + 1);
        net_run(net, 6000);
    }
    assert_places(net, places);
    g_assert_cmpuint(NET_COUNT(net, flows_orphaned), ==, 0);
    net_destroy(net);
}

/* A leaving node whose records are not handed over yet is still asked. */
static void
test_leave_paced(void)
{
    struct rg_addr places[FLOWS];
    struct net *net = established(2, places);

    net_stop(net, 1); /* node 0 alone holds everything now */
    net_run(net, 5000);
    net_start(net, 2);
    net_run(net, 5000);
    net->nodes[0].settings.handover_bytes_per_s = 1000;
    rg_core_leave(net->nodes[0].core, net->now_ms);
    net_drain(net, 0);
    net_run(net, 1000);
    g_assert_nonnull(net->nodes[0].core);
    for (uint32_t n = 0; n < FLOWS; n++) {
        struct rg_addr now = net_where(net, 2, n);
        g_assert_true(rg_addr_eq(&now, &places[n]));
    }
    net_destroy(net);
}

static void
test_freeze(void)
{
    struct rg_addr places[FLOWS];
    struct net *net = established(4, places);

    net->nodes[2].frozen = true;
    net_run(net, 8000);
    assert_places(net, places);
    open_flows(net, 2, FLOWS, FLOWS + 100);
    struct rg_addr later[100];
    for (uint32_t n = 0; n < 100; n++) {
        later[n] = net_where(net, 0, FLOWS + n);
    }
    net->nodes[2].frozen = false;
    /* The first thing it meets are packets of flows it does not know. */
    rg_core_tick(net->nodes[2].core, net->now_ms);
    net_drain(net, 2);
    /* What waited in its socket is not passed on any more. */
    net_clear_sent(net);
    net_send(net, 2, 0, RG_TCP_ACK, 2);
    g_assert_cmpuint(net->sent->len, ==, 0);
    g_assert_cmpuint(rg_core_counters(net->nodes[2].core)->dropped_stale, >,
                     0);
    rg_core_backlog_drained(net->nodes[2].core);
    for (uint32_t n = 0; n < 100; n++) {
        net_send(net, 2, FLOWS + n, RG_TCP_SYN, 1000 + FLOWS + n);
        struct rg_addr now = net_where(net, 2, FLOWS + n);
        g_assert_true(rg_addr_eq(&now, &later[n]));
    }
    net_run(net, 3000);
    assert_places(net, places);
    net_destroy(net);
}

/* Members are told of the same instance once it is back after a split. */
static void
test_split_heals(void)
{
    struct rg_addr places[FLOWS];
    struct net *net = established(4, places);

    for (int i = 0; i < 4; i++) {
        for (int k = 0; k < 4; k++) {
            net->cut[i][k] = i % 2 != k % 2;
        }
    }
    net_run(net, 8000);
    for (uint32_t i = 0; i < 4; i++) {
        g_assert_cmpuint(
            rg_members_alive_count(rg_core_members(net->nodes[i].core)), ==,
            2);
    }
    memset(net->cut, 0, sizeof(net->cut));
    net_run(net, 30000);
    for (uint32_t i = 0; i < 4; i++) {
        g_assert_cmpuint(
            rg_members_alive_count(rg_core_members(net->nodes[i].core)), ==,
            4);
    }
    assert_places(net, places);
    net_destroy(net);
}

/* In a split both halves get packets. A half without a flow's record holds
 * them back and never sends them to another upstream; a segment that nobody
 * else serves goes to the table's default in the end. */
static void
test_split_holds_back(void)
{
    struct rg_addr places[FLOWS];
    struct net *net = established(4, places);
    uint32_t served = 0;
    uint32_t held = 0;

    for (int i = 0; i < 4; i++) {
        for (int k = 0; k < 4; k++) {
            net->cut[i][k] = i / 2 != k / 2;
        }
    }
    for (int round = 0; round < 6; round++) {
        for (uint32_t n = 0; n < FLOWS; n++) {
            for (uint32_t i = 0; i < 4; i += 2) {
                net_clear_sent(net);
                net_send(net, i, n, RG_TCP_ACK, 100 + (uint32_t)round);
                bool sent = net->sent->len > 0;
                g_assert_true(!sent ||
                              rg_addr_eq(&net_last(net)->to, &places[n]));
                served += sent;
                held += !sent;
            }
        }
        net_run(net, 3000);
    }
    g_assert_cmpuint(held, >, 0);
    g_assert_cmpuint(served, >, held);
    net_send(net, 0, 9999, RG_TCP_ACK, 1);
    net_clear_sent(net);
    for (int i = 0; i < 12; i++) {
        net_send(net, 0, 9999, RG_TCP_ACK, 1);
        net_run(net, 1000);
    }
    g_assert_cmpuint(net->sent->len, >, 0);
    memset(net->cut, 0, sizeof(net->cut));
    net_run(net, 30000);
    assert_places(net, places);
    net_destroy(net);
}

/* A cut in one direction between two nodes is bridged by the others. */
static void
test_one_way_cut(void)
{
    struct rg_addr places[FLOWS];
    struct net *net = established(4, places);

    net->cut[0][1] = true;
    net_run(net, 20000);
    for (uint32_t i = 0; i < 4; i++) {
        g_assert_cmpuint(
            rg_members_alive_count(rg_core_members(net->nodes[i].core)), ==,
            4);
    }
    assert_places(net, places);
    uint32_t opened = 0;
    for (uint32_t n = FLOWS; n < FLOWS + 100; n++) {
        net_clear_sent(net);
        net_send(net, n % 2, n, RG_TCP_SYN, 1);
        opened += net->sent->len == 1;
    }
    g_assert_cmpuint(opened, ==, 100);
    g_assert_cmpuint(NET_COUNT(net, packets_relayed), >, 0);
    net_destroy(net);
}

/* An owner restarts empty after an opening was passed on, and the default of
 * the table has changed; the repeated opening follows the first choice. */
static void
test_first_choice_stays(void)
{
    enum {
        OPENINGS = 100
    };
    struct net *net = net_create(4, 5);
    struct rg_addr first[OPENINGS];

    for (uint32_t n = 0; n < OPENINGS; n++) {
        net_clear_sent(net);
        net_send(net, 0, n, RG_TCP_SYN, 77);
        first[n] = net_last(net)->to;
    }
    net_configure(net, make_config(2, 8, NULL, 1000), 0xf);
    net_stop(net, 1);
    net_start(net, 1);
    net_run(net, 5000);
    for (uint32_t n = 0; n < OPENINGS; n++) {
        if (net_holder(net, 0, n, 0) != 1) {
            continue;
        }
        net_clear_sent(net);
        net_send(net, 0, n, RG_TCP_SYN, 77);
        g_assert_nonnull(net_last(net));
        g_assert_true(rg_addr_eq(&first[n], &net_last(net)->to));
        net_send(net, 0, n, RG_TCP_ACK, 78); /* the upstream answered */
    }
    g_assert_cmpuint(NET_COUNT(net, lookups_found), >, 0);
    net_destroy(net);
}

/* A replica that knows another choice objects to an owner's young record, and
 * the owner follows; data of the flow then goes there too. */
static void
test_replica_objects(void)
{
    struct net *net = net_create(3, 5);
    uint32_t owner = (uint32_t)net_holder(net, 0, 7, 0);
    uint32_t replica = (uint32_t)net_holder(net, 0, 7, 1);

    net_send(net, owner, 7, RG_TCP_SYN, 77);
    struct rg_addr first = net_last(net)->to;
    /* The owner loses its record, and its table, unlike the replica's, now
     * leads elsewhere; it counts as settled, so it does not ask. */
    for (uint32_t count = 6; count < 20; count++) {
        struct rg_packet p = packet_of(7, false, 0, 0);
        struct rg_flow_table *t = rg_core_flows(net->nodes[owner].core);
        uint64_t hash = rg_flow_hash(&p.key, 0);
        rg_flow_remove(t, rg_flow_find(t, &p.key, hash));
        net_configure(net, make_config(count, count, NULL, 1000), 0x7);
        net_clear_sent(net);
        net_send(net, owner, 7, RG_TCP_SYN, 77);
        g_assert_true(rg_addr_eq(&net_last(net)->to, &first));
        struct rg_addr data = net_where(net, replica, 7);
        g_assert_true(rg_addr_eq(&data, &first));
    }
    g_assert_cmpuint(NET_COUNT(net, choice_conflicts), >, 0);
    net_destroy(net);
}

/* Random planned changes under random packets and some loss: a flow's data
 * never reaches two upstreams. */
static void
soak(uint64_t seed)
{
    enum {
        SOAK_FLOWS = 120,
        STEPS = 160
    };
    struct net *net = net_create(4, 5);
    struct rg_rand rand = {.state = seed};
    struct rg_addr first[SOAK_FLOWS] = {0};
    uint32_t lost = 0;

    for (uint32_t n = 0; n < SOAK_FLOWS; n++) {
        net_send(net, rg_rand_below(&rand, 4), n, RG_TCP_SYN, n);
        first[n] = net_where(net, rg_rand_below(&rand, 4), n);
        net_where(net, rg_rand_below(&rand, 4), n);
    }
    for (int step = 0; step < STEPS; step++) {
        uint32_t i = rg_rand_below(&rand, 4);
        if (rg_rand_below(&rand, 12) == 0 && net->nodes[i].core) {
            rg_core_leave(net->nodes[i].core, net->now_ms);
            net_drain(net, i);
        }
        if (!net->nodes[i].core) {
            net_start(net, i);
            net_run(net, 3500);
        }
        net_run(net, rg_rand_below(&rand, 200));
        for (int k = 0; k < 20; k++) {
            uint32_t n = rg_rand_below(&rand, SOAK_FLOWS);
            uint32_t at = rg_rand_below(&rand, 4);
            if (!net->nodes[at].core || !rg_core_ready(net->nodes[at].core)) {
                continue;
            }
            struct rg_addr now = net_where(net, at, n);
            lost += now.port == 0;
            g_assert_true(now.port == 0 || rg_addr_eq(&now, &first[n]));
        }
    }
    g_assert_cmpuint(lost, <, STEPS);
    g_assert_cmpuint(NET_COUNT(net, flows_orphaned), ==, 0);
    net_destroy(net);
}

static void
test_soak(void)
{
    for (uint64_t seed = 1; seed <= 8; seed++) {
        soak(seed);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/core/any-node-serves", test_any_node_serves);
    g_test_add_func("/core/join", test_join);
    g_test_add_func("/core/two-join-apart", test_two_join_apart);
    g_test_add_func("/core/all-start", test_all_start);
    g_test_add_func("/core/crash", test_crash);
    g_test_add_func("/core/leave-idle", test_leave_idle);
    g_test_add_func("/core/leave-paced", test_leave_paced);
    g_test_add_func("/core/freeze", test_freeze);
    g_test_add_func("/core/split-heals", test_split_heals);
    g_test_add_func("/core/split-holds-back", test_split_holds_back);
    g_test_add_func("/core/one-way-cut", test_one_way_cut);
    g_test_add_func("/core/first-choice-stays", test_first_choice_stays);
    g_test_add_func("/core/replica-objects", test_replica_objects);
    g_test_add_func("/core/soak", test_soak);
    return g_test_run();
}
