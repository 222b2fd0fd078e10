/* Steering by several instances: flows must keep their upstreams when
 * instances join, leave, crash or pause, are partitioned, or choose
 * differently. */
#include "fake_flows.h"

#include "core/member_priv.h"

/* A data packet may arrive at any instance. One without the flow's record must
 * not send it to another upstream. */
static void
test_any_node_serves(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(4, dests);

    assert_dests(net, dests);
    g_assert_cmpuint(NET_COUNT(net, flows_orphaned), ==, 0);
    net_destroy(net);
}

/* Instances that join become owners of flows whose records others hold. If
 * they did not look them up, these flows would change their upstreams. */
static void
test_join_keeps_dests(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(3, dests);

    net_start(net, 3);
    net_start(net, 4);
    net_run(net, 5000);
    assert_dests(net, dests);
    g_assert_cmpuint(NET_COUNT(net, lookups_found), >, 0);
    net_destroy(net);
}

/* Two instances start at the same time and reach each other before the
 * instances that hold the records. If they counted as joined then, they would
 * send existing flows to the default of their table. */
static void
test_joining_pair_is_not_ready(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(4, dests);

    for (uint32_t i = 0; i < 2; i++) {
        rg_core_leave(net->nodes[i].core, net->now_ms);
        net_run_actions(net, i);
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
    assert_dests(net, dests);
    g_assert_cmpuint(NET_COUNT(net, flows_orphaned), ==, 0);
    net_destroy(net);
}

/* The members hear of an instance that joins before it hears of them, and send
 * it packets as the owner of existing flows. It does not know whom to ask for
 * their records, and must not take them for unknown flows. */
static void
test_joining_owner_keeps_dests(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(3, dests);
    uint32_t held = 0;

    for (uint32_t i = 0; i < 3; i++) {
        net->cut[i][3] = true;
    }
    net_start(net, 3);
    net_run(net, 200);
    memset(net->cut, 0, sizeof(net->cut));
    g_assert_false(rg_core_ready(net->nodes[3].core));
    for (uint32_t n = 0; n < FLOWS; n++) {
        struct rg_addr now = net_dest(net, 0, n);
        held += now.port == 0;
        g_assert_true(now.port == 0 || rg_addr_eq(&now, &dests[n]));
    }
    g_assert_cmpuint(held, >, 0);
    net_run(net, 1000);
    g_assert_true(rg_core_ready(net->nodes[3].core));
    assert_dests(net, dests);
    g_assert_cmpuint(NET_COUNT(net, flows_orphaned), ==, 0);
    net_destroy(net);
}

/* The same with a retransmitted opening: it must not be forwarded to another
 * upstream, nor refused, and reaches that of the first transmission once the
 * instance has joined. */
static void
test_joining_owner_opens_nothing(void)
{
    struct net *net = net_create(3, 5);
    struct rg_addr dests[FLOWS];
    uint32_t held = 0;

    for (uint32_t n = 0; n < FLOWS; n++) {
        net_send(net, n % 3, n, RG_TCP_SYN, 1000 + n);
        dests[n] = net_last_sent(net)->to;
    }
    for (uint32_t i = 0; i < 3; i++) {
        net->cut[i][3] = true;
    }
    net_start(net, 3);
    net_run(net, 200);
    memset(net->cut, 0, sizeof(net->cut));
    for (uint32_t n = 0; n < FLOWS; n++) {
        if (net_holder(net, 0, n, 0) == 3) {
            net_clear_sent(net);
            net_send(net, 0, n, RG_TCP_SYN, 1000 + n);
            g_assert_cmpuint(net->sent->len, ==, 0);
            held++;
        }
    }
    g_assert_cmpuint(held, >, 0);
    net_run(net, 1000);
    for (uint32_t n = 0; n < FLOWS; n++) {
        if (net_holder(net, 0, n, 0) == 3) {
            net_send(net, 0, n, RG_TCP_SYN, 1000 + n);
            g_assert_true(rg_addr_eq(&net_last_sent(net)->to, &dests[n]));
        }
    }
    net_destroy(net);
}

/* An instance that learns of all members from updates in pings must still ask
 * for a list, or it has joined only after the timeout. */
static void
test_gossip_completes_join(void)
{
    struct net *net = net_create(3, 5);

    net_start(net, 3);
    for (uint32_t i = 0; i < 3; i++) {
        struct rg_members *m = rg_core_members(net->nodes[3].core);
        struct rg_msg_update u = rg_member_entry(rg_members_at(
            rg_core_members(net->nodes[i].core),
            rg_members_self(rg_core_members(net->nodes[i].core))));
        rg_member_apply_update(m, &u, (uint32_t)net->now_ms);
        u = rg_members_own_entry(m);
        rg_member_apply_update(rg_core_members(net->nodes[i].core), &u,
                               (uint32_t)net->now_ms);
    }
    g_assert_false(rg_core_ready(net->nodes[3].core));
    net_run(net, 500);
    g_assert_true(rg_core_ready(net->nodes[3].core));
    net_destroy(net);
}

/* If all instances listed by the platform start together, they must be ready
 * without waiting for the join timeout, as none of them can know others. */
static void
test_whole_fleet_starts(void)
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

/* An instance crashes without handing over its records. The replicas must
 * serve its flows. */
static void
test_crash_keeps_dests(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(4, dests);

    net_stop(net, 1);
    net_run(net, 6000);
    assert_dests(net, dests);
    g_assert_cmpuint(NET_COUNT(net, flows_orphaned), ==, 0);
    net_destroy(net);
}

/* All instances are replaced, two at a time. Without a handover the records of
 * idle flows would be lost, since no packet makes others look them up. */
static void
test_leave_hands_over_idle_flows(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(4, dests);

    for (uint32_t i = 0; i < 4; i += 2) {
        rg_core_leave(net->nodes[i].core, net->now_ms);
        net_run_actions(net, i);
        rg_core_leave(net->nodes[i + 1].core, net->now_ms);
        net_run_actions(net, i + 1);
        net_run(net, 8000);
        g_assert_null(net->nodes[i].core);
        g_assert_null(net->nodes[i + 1].core);
        net_start(net, i);
        net_start(net, i + 1);
        net_run(net, 6000);
    }
    assert_dests(net, dests);
    g_assert_cmpuint(NET_COUNT(net, flows_orphaned), ==, 0);
    net_destroy(net);
}

/* An instance leaves, and the rate limit delays the handover. Lookups must
 * still ask it for records that it has not handed over yet. */
static void
test_leaving_node_is_asked(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(2, dests);

    net_stop(net, 1); /* only node 0 has all records now */
    net_run(net, 5000);
    net_start(net, 2);
    net_run(net, 5000);
    net->nodes[0].settings.handover_bytes_per_s = 1000;
    rg_core_leave(net->nodes[0].core, net->now_ms);
    net_run_actions(net, 0);
    net_run(net, 1000);
    g_assert_nonnull(net->nodes[0].core);
    for (uint32_t n = 0; n < FLOWS; n++) {
        struct rg_addr now = net_dest(net, 2, n);
        g_assert_true(rg_addr_eq(&now, &dests[n]));
    }
    net_destroy(net);
}

/* An instance is paused and resumes. Others have taken over its flows and
 * opened new ones meanwhile, so it must drop datagrams that waited in its
 * socket and must not act as owner on the records it has. */
static void
test_pause(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(4, dests);

    net->nodes[2].frozen = true;
    net_run(net, 8000);
    assert_dests(net, dests);
    open_flows(net, 2, FLOWS, FLOWS + 100);
    struct rg_addr later[100];
    for (uint32_t n = 0; n < 100; n++) {
        later[n] = net_dest(net, 0, FLOWS + n);
    }
    net->nodes[2].frozen = false;
    /* The first packets it handles are of flows it does not know. */
    rg_core_tick(net->nodes[2].core, net->now_ms);
    net_run_actions(net, 2);
    /* A datagram that waited in its socket is not forwarded any more. */
    net_clear_sent(net);
    net_send(net, 2, 0, RG_TCP_ACK, 2);
    g_assert_cmpuint(net->sent->len, ==, 0);
    g_assert_cmpuint(rg_core_counters(net->nodes[2].core)->dropped_stale, >,
                     0);
    rg_core_backlog_drained(net->nodes[2].core);
    for (uint32_t n = 0; n < 100; n++) {
        net_send(net, 2, FLOWS + n, RG_TCP_SYN, 1000 + FLOWS + n);
        struct rg_addr now = net_dest(net, 2, FLOWS + n);
        g_assert_true(rg_addr_eq(&now, &later[n]));
    }
    net_run(net, 3000);
    assert_dests(net, dests);
    net_destroy(net);
}

/* The two sides of a partition declare each other dead. After it heals they
 * must find each other again, or they would serve the same flows separately.
 */
static void
test_partition_heals(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(4, dests);

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
    assert_dests(net, dests);
    net_destroy(net);
}

/* Both sides of a partition receive packets. A side without a flow's record
 * must not send them to another upstream, which would reset the flow. A
 * segment that keeps arriving is finally sent to the table's default. */
static void
test_partition_holds_back(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(4, dests);
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
                              rg_addr_eq(&net_last_sent(net)->to, &dests[n]));
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
    assert_dests(net, dests);
    net_destroy(net);
}

/* Datagrams from one instance to another are lost, in one direction only. Both
 * must stay members, and packets must be relayed by the other instances. */
static void
test_one_way_cut_is_relayed(void)
{
    struct rg_addr dests[FLOWS];
    struct net *net = create_established(4, dests);

    net->cut[0][1] = true;
    net_run(net, 20000);
    for (uint32_t i = 0; i < 4; i++) {
        g_assert_cmpuint(
            rg_members_alive_count(rg_core_members(net->nodes[i].core)), ==,
            4);
    }
    assert_dests(net, dests);
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

/* An owner restarts without records after it has forwarded an opening, and the
 * table's default has changed. A retransmitted opening must go to the first
 * choice, which the replica knows. */
static void
test_restarted_owner_keeps_choice(void)
{
    enum {
        OPENINGS = 100
    };
    struct net *net = net_create(4, 5);
    struct rg_addr first[OPENINGS];

    for (uint32_t n = 0; n < OPENINGS; n++) {
        net_clear_sent(net);
        net_send(net, 0, n, RG_TCP_SYN, 77);
        first[n] = net_last_sent(net)->to;
    }
    net_configure(net, build_config(2, 8, NULL, 1000), 0xf);
    net_stop(net, 1);
    net_start(net, 1);
    net_run(net, 5000);
    for (uint32_t n = 0; n < OPENINGS; n++) {
        if (net_holder(net, 0, n, 0) != 1) {
            continue;
        }
        net_clear_sent(net);
        net_send(net, 0, n, RG_TCP_SYN, 77);
        g_assert_nonnull(net_last_sent(net));
        g_assert_true(rg_addr_eq(&first[n], &net_last_sent(net)->to));
        net_send(net, 0, n, RG_TCP_ACK, 78); /* the upstream answered */
    }
    g_assert_cmpuint(NET_COUNT(net, lookups_found), >, 0);
    net_destroy(net);
}

/* An owner that has lost a record chooses again, and differently. The replica
 * must reject the choice, and the owner must use the replica's: otherwise one
 * opening would reach two upstreams. */
static void
test_replica_rejects_choice(void)
{
    struct net *net = net_create(3, 5);
    uint32_t owner = (uint32_t)net_holder(net, 0, 7, 0);
    uint32_t replica = (uint32_t)net_holder(net, 0, 7, 1);

    net_send(net, owner, 7, RG_TCP_SYN, 77);
    struct rg_addr first = net_last_sent(net)->to;
    /* The owner loses its record, and its table's default changes. It has
     * owned the bucket for long enough not to look the record up. */
    for (uint32_t count = 6; count < 20; count++) {
        struct rg_packet p = build_packet(7, false, 0, 0);
        struct rg_flow_table *t = rg_core_flows(net->nodes[owner].core);
        uint64_t hash = rg_flow_hash(&p.key, 0);
        rg_flow_remove(t, rg_flow_find(t, &p.key, hash));
        net_configure(net, build_config(count, count, NULL, 1000), 0x7);
        net_clear_sent(net);
        net_send(net, owner, 7, RG_TCP_SYN, 77);
        g_assert_true(rg_addr_eq(&net_last_sent(net)->to, &first));
        struct rg_addr data = net_dest(net, replica, 7);
        g_assert_true(rg_addr_eq(&data, &first));
    }
    g_assert_cmpuint(NET_COUNT(net, choice_conflicts), >, 0);
    net_destroy(net);
}

/* Instances leave and restart at random while packets of existing flows arrive
 * at random instances. No flow's data may reach two upstreams. */
static void
run_random_leaves(uint64_t seed)
{
    enum {
        RANDOM_FLOWS = 120,
        STEPS = 160
    };
    struct net *net = net_create(4, 5);
    struct rg_rand rand = {.state = seed};
    struct rg_addr first[RANDOM_FLOWS] = {0};
    uint32_t lost = 0;

    for (uint32_t n = 0; n < RANDOM_FLOWS; n++) {
        net_send(net, rg_rand_below(&rand, 4), n, RG_TCP_SYN, n);
        first[n] = net_dest(net, rg_rand_below(&rand, 4), n);
        net_dest(net, rg_rand_below(&rand, 4), n);
    }
    for (int step = 0; step < STEPS; step++) {
        uint32_t i = rg_rand_below(&rand, 4);
        if (rg_rand_below(&rand, 12) == 0 && net->nodes[i].core) {
            rg_core_leave(net->nodes[i].core, net->now_ms);
            net_run_actions(net, i);
        }
        if (!net->nodes[i].core) {
            net_start(net, i);
            net_run(net, 3500);
        }
        net_run(net, rg_rand_below(&rand, 200));
        for (int k = 0; k < 20; k++) {
            uint32_t n = rg_rand_below(&rand, RANDOM_FLOWS);
            uint32_t at = rg_rand_below(&rand, 4);
            if (!net->nodes[at].core || !rg_core_ready(net->nodes[at].core)) {
                continue;
            }
            struct rg_addr now = net_dest(net, at, n);
            lost += now.port == 0;
            g_assert_true(now.port == 0 || rg_addr_eq(&now, &first[n]));
        }
    }
    g_assert_cmpuint(lost, <, STEPS);
    g_assert_cmpuint(NET_COUNT(net, flows_orphaned), ==, 0);
    net_destroy(net);
}

static void
test_random_leaves(void)
{
    for (uint64_t seed = 1; seed <= 8; seed++) {
        run_random_leaves(seed);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/core/any-node-serves", test_any_node_serves);
    g_test_add_func("/core/join-keeps-destinations", test_join_keeps_dests);
    g_test_add_func("/core/joining-pair-is-not-ready",
                    test_joining_pair_is_not_ready);
    g_test_add_func("/core/gossip-completes-join", test_gossip_completes_join);
    g_test_add_func("/core/joining-owner-keeps-destinations",
                    test_joining_owner_keeps_dests);
    g_test_add_func("/core/joining-owner-opens-nothing",
                    test_joining_owner_opens_nothing);
    g_test_add_func("/core/whole-fleet-starts", test_whole_fleet_starts);
    g_test_add_func("/core/crash-keeps-destinations", test_crash_keeps_dests);
    g_test_add_func("/core/leave-hands-over-idle-flows",
                    test_leave_hands_over_idle_flows);
    g_test_add_func("/core/leaving-node-is-asked", test_leaving_node_is_asked);
    g_test_add_func("/core/pause", test_pause);
    g_test_add_func("/core/partition-heals", test_partition_heals);
    g_test_add_func("/core/partition-holds-back", test_partition_holds_back);
    g_test_add_func("/core/one-way-cut-is-relayed",
                    test_one_way_cut_is_relayed);
    g_test_add_func("/core/restarted-owner-keeps-choice",
                    test_restarted_owner_keeps_choice);
    g_test_add_func("/core/replica-rejects-choice",
                    test_replica_rejects_choice);
    g_test_add_func("/core/random-leaves", test_random_leaves);
    return g_test_run();
}
