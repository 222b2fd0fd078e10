/* Many flows over a fake network, and where they went. */
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
note_places(struct net *net, uint32_t nodes, struct rg_addr *places)
{
    for (uint32_t n = 0; n < FLOWS; n++) {
        places[n] = net_where(net, (n + 1) % nodes, n);
        g_assert_cmpuint(places[n].port, ==, 9);
    }
}

/* Every flow still goes where it went, whichever live node its packet meets.
 */
static inline void
assert_places(struct net *net, const struct rg_addr *places)
{
    for (uint32_t n = 0; n < FLOWS; n++) {
        for (uint32_t i = 0; i < NODES_MAX; i++) {
            if (!net->nodes[i].core || net->nodes[i].frozen) {
                continue;
            }
            struct rg_addr now = net_where(net, i, n);
            g_assert_true(rg_addr_eq(&now, &places[n]));
        }
    }
}

static inline struct net *
established(uint32_t nodes, struct rg_addr *places)
{
    struct net *net = net_create(nodes, 5);

    open_flows(net, nodes, 0, FLOWS);
    note_places(net, nodes, places);
    g_assert_cmpuint(NET_COUNT(net, flows_by_balance), >, 0);
    return net;
}

#endif
