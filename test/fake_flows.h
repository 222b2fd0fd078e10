/* Opens many flows on the nodes of a fake network and checks that each keeps
 * its upstream. */
#ifndef RG_TEST_FAKE_FLOWS_H
#define RG_TEST_FAKE_FLOWS_H

#include "fake_net.h"

#define FLOWS 300

static inline void
open_flows(struct net *net, uint32_t nodes, uint32_t from, uint32_t to)
{
    for (uint32_t n = from; n < to; n++) {
        net_send(net, n % nodes, n, RG_TCP_SYN, 1000 + n);
    }
}

static inline void
record_dests(struct net *net, uint32_t nodes, struct rg_addr *dests)
{
    for (uint32_t n = 0; n < FLOWS; n++) {
        dests[n] = net_dest(net, (n + 1) % nodes, n);
        g_assert_cmpuint(dests[n].port, ==, 9);
    }
}

/* Checks that every flow still goes to its upstream, whichever running node
 * receives the packet. */
static inline void
assert_dests(struct net *net, const struct rg_addr *dests)
{
    for (uint32_t n = 0; n < FLOWS; n++) {
        for (uint32_t i = 0; i < NODES_MAX; i++) {
            if (!net->nodes[i].core || net->nodes[i].frozen) {
                continue;
            }
            struct rg_addr now = net_dest(net, i, n);
            g_assert_true(rg_addr_eq(&now, &dests[n]));
        }
    }
}

/* Creates a network and opens FLOWS flows on it; `dests` receives their
 * upstreams. */
static inline struct net *
create_established(uint32_t nodes, struct rg_addr *dests)
{
    struct net *net = net_create(nodes, 5);

    open_flows(net, nodes, 0, FLOWS);
    record_dests(net, nodes, dests);
    g_assert_cmpuint(NET_COUNT(net, flows_by_balance), >, 0);
    return net;
}

#endif
