/* A few cores in one program with a fake network between them. Time stands
 * still but for net_run(); datagrams arrive in the order they were sent. */
#ifndef RG_TEST_FAKE_NET_H
#define RG_TEST_FAKE_NET_H

#include <glib.h>
#include <string.h>

#include "common/mem.h"
#include "core/core.h"
#include "options/settings.h"

#define NODES_MAX 8

/* A datagram that left for somewhere other than a node. */
struct sent {
    struct rg_addr to;
    struct rg_packet packet;
    uint8_t data[2048];
    size_t len;
};

struct datagram {
    struct rg_addr from;
    struct rg_addr to;
    uint8_t data[4096];
    size_t len;
};

struct node {
    struct rg_core *core;
    struct rg_settings settings;
    bool frozen;
    bool left;
};

struct net {
    struct node nodes[NODES_MAX];
    GQueue *queue;   /* struct datagram */
    GPtrArray *sent; /* struct sent, since net_clear_sent() */
    bool cut[NODES_MAX][NODES_MAX];
    uint64_t now_ms;
    uint64_t starts;
    struct rg_config *config;
    struct rg_config *old_config;
    struct rg_rand rand;
    uint32_t loss_permille;
    uint32_t handover_bytes_per_s;
    uint32_t policy;
};

static inline struct rg_addr
node_addr(uint32_t i)
{
    struct rg_addr a;
    g_autofree char *text = g_strdup_printf("127.0.0.%u:7000", i + 1);

    rg_addr_parse(&a, text);
    return a;
}

static inline int
node_of(const struct rg_addr *a)
{
    for (uint32_t i = 0; i < NODES_MAX; i++) {
        struct rg_addr n = node_addr(i);
        if (rg_addr_eq(a, &n)) {
            return (int)i;
        }
    }
    return -1;
}

static inline void
net_note_sent(struct net *net, const struct rg_addr *to, const uint8_t *data,
              size_t len)
{
    struct sent *s = g_new0(struct sent, 1);

    s->to = *to;
    s->len = len;
    g_assert_cmpuint(len, <=, sizeof(s->data));
    memcpy(s->data, data, len);
    rg_packet_parse(&s->packet, s->data, len);
    g_ptr_array_add(net->sent, s);
}

/* Carries out what a core asked for. */
static inline void
net_drain(struct net *net, uint32_t i)
{
    struct rg_actions *actions = rg_core_actions(net->nodes[i].core);

    for (size_t k = 0; k < actions->count; k++) {
        const struct rg_action *a = &actions->items[k];
        if (a->kind == RG_ACTION_LEFT) {
            net->nodes[i].left = true;
        }
        if (a->kind != RG_ACTION_SEND) {
            continue;
        }
        struct datagram d = {.from = node_addr(i), .to = a->dst};
        memcpy(d.data, a->head, a->head_len);
        memcpy(d.data + a->head_len, a->body, a->body_len);
        d.len = a->head_len + a->body_len;
        if (node_of(&a->dst) < 0) {
            net_note_sent(net, &a->dst, d.data, d.len);
        }
        else if (rg_rand_below(&net->rand, 1000) >= net->loss_permille) {
            g_queue_push_tail(net->queue, g_memdup2(&d, sizeof(d)));
        }
    }
    rg_actions_clear(actions);
}

static inline void
net_deliver(struct net *net)
{
    struct datagram *d;

    while ((d = g_queue_pop_head(net->queue)) != NULL) {
        int to = node_of(&d->to);
        int from = node_of(&d->from);
        struct node *n = &net->nodes[to];
        if (n->core && !n->frozen && !(from >= 0 && net->cut[from][to])) {
            rg_core_handle_datagram(n->core, &d->from, d->data, d->len,
                                    net->now_ms);
            net_drain(net, (uint32_t)to);
        }
        g_free(d);
    }
}

static inline void
net_stop(struct net *net, uint32_t i)
{
    rg_core_destroy(net->nodes[i].core);
    rg_settings_clear(&net->nodes[i].settings);
    memset(&net->nodes[i], 0, sizeof(net->nodes[i]));
}

/* Lets time pass, with ticks and deliveries. */
static inline void
net_run(struct net *net, uint32_t ms)
{
    for (uint32_t t = 0; t < ms; t += RG_CORE_TICK_MS) {
        net->now_ms += RG_CORE_TICK_MS;
        for (uint32_t i = 0; i < NODES_MAX; i++) {
            struct node *n = &net->nodes[i];
            if (n->core && !n->frozen) {
                rg_core_tick(n->core, net->now_ms);
                rg_core_backlog_drained(n->core);
                net_drain(net, i);
            }
        }
        net_deliver(net);
        for (uint32_t i = 0; i < NODES_MAX; i++) {
            if (net->nodes[i].left) {
                net_stop(net, i);
            }
        }
    }
}

static inline void
net_start(struct net *net, uint32_t i)
{
    RG_ERR_AUTO err = {0};
    struct node *n = &net->nodes[i];
    g_autofree char *text = g_strdup_printf(
        "{\"name\": \"n%u\", \"data_centre\": \"dc1\","
        " \"packet_address\": \"127.0.0.%u:7000\","
        " \"admin_address\": \"127.0.0.%u:1\","
        " \"return_address\": \"127.0.0.99:1\","
        " \"peer_networks\": [\"127.0.0.0/24\"],"
        " \"fabric_networks\": [\"127.0.0.98/32\"],"
        " \"handover_bytes_per_s\": %u,"
        " \"linger_ms\": 1000,"
        " \"flows\": {\"capacity\": 2000, \"opening_ms\": 8000},"
        " \"seeds\": [\"127.0.0.1:7000\", \"127.0.0.2:7000\","
        " \"127.0.0.3:7000\"]}",
        i, i + 1, i + 1, net->handover_bytes_per_s);

    g_assert_true(rg_opt_load(&rg_settings_options, &n->settings,
                              rg_str_of(text), &err));
    n->settings.advertise_address = n->settings.packet_address;
    n->settings.policy = net->policy;
    struct rg_core_opts opts = {
        .settings = &n->settings,
        .log = {.app = "test"},
        .start_ms = 1000 + ++net->starts,
        .seed = net->starts,
    };
    n->core = rg_core_create(&opts);
    if (net->config) {
        rg_core_configure(n->core, net->config);
    }
    net_drain(net, i);
}

/* Two services of `count` upstreams each. `states` overrides the state of the
 * first service's upstreams, one letter each: a(ctive), d(raining), D(own),
 * - (absent), m (its address belongs to the second service). */
static inline struct rg_config *
make_config(uint64_t generation, uint32_t count, const char *states,
            uint32_t max_flows)
{
    RG_ERR_AUTO err = {0};
    GString *text = g_string_new(NULL);
    bool first = true;

    g_string_append_printf(
        text,
        "{\"data_centres\": [{\"name\": \"dc1\"}], \"services\": ["
        "{\"name\": \"shop\", \"address\": \"203.0.113.1\", \"port\": 80,"
        " \"max_flows_per_upstream\": %u, \"deviation_percent\": 100},"
        "{\"name\": \"photos\", \"address\": \"203.0.113.2\", \"port\": 80,"
        " \"protocol\": \"udp\", \"max_flows_per_upstream\": %u}],"
        "\"upstreams\": [",
        max_flows, max_flows);
    for (uint32_t i = 0; i < count; i++) {
        char state = states && i < strlen(states) ? states[i] : 'a';
        if (state == '-') {
            continue;
        }
        g_string_append_printf(
            text,
            "%s{\"name\": \"u%u\", \"service\": \"%s\", \"address\": "
            "\"127.1.0.%u:9\", \"data_centre\": \"dc1\", \"state\": "
            "\"%s\"}",
            first ? "" : ",", i, state == 'm' ? "photos" : "shop", i + 1,
            state == 'd'   ? "draining"
            : state == 'D' ? "down"
                           : "active");
        first = false;
    }
    g_string_append_printf(text,
                           "%s{\"name\": \"p\", \"service\": \"photos\", "
                           "\"address\": \"127.2.0.1:9\", "
                           "\"data_centre\": \"dc1\"}]}",
                           first ? "" : ",");
    struct rg_section_text section = {rg_str_of("all"),
                                      {text->str, text->len}};
    struct rg_config *c = rg_config_build(generation, &section, 1, &err);
    if (!c) {
        g_autofree char *found = rg_err_format(&err);
        g_error("%s", found);
    }
    g_string_free(text, TRUE);
    return c;
}

/* Puts a configuration in force on the nodes of the bit mask. */
static inline void
net_configure(struct net *net, struct rg_config *c, uint32_t nodes)
{
    /* Nodes that miss this one still use the one before. */
    rg_config_destroy(net->old_config);
    net->old_config = net->config;
    net->config = c;
    for (uint32_t i = 0; i < NODES_MAX; i++) {
        if (net->nodes[i].core && (nodes >> i & 1)) {
            rg_core_configure(net->nodes[i].core, c);
            net_drain(net, i);
        }
    }
    net_deliver(net);
}

static inline struct net *
net_create(uint32_t nodes, uint32_t upstreams)
{
    struct net *net = g_new0(struct net, 1);

    net->queue = g_queue_new();
    net->sent = g_ptr_array_new_with_free_func(g_free);
    net->now_ms = 1000000;
    net->rand.state = 11;
    net->handover_bytes_per_s = 1000000;
    net->policy = RG_SETTINGS_POLICY_REPLICA;
    net->config = make_config(1, upstreams, NULL, 1000);
    for (uint32_t i = 0; i < nodes; i++) {
        net_start(net, i);
    }
    net_run(net, 12000);
    return net;
}

static inline void
net_destroy(struct net *net)
{
    for (uint32_t i = 0; i < NODES_MAX; i++) {
        if (net->nodes[i].core) {
            net_stop(net, i);
        }
    }
    rg_config_destroy(net->config);
    rg_config_destroy(net->old_config);
    g_queue_free_full(net->queue, g_free);
    g_ptr_array_free(net->sent, TRUE);
    g_free(net);
}

static inline void
net_clear_sent(struct net *net)
{
    g_ptr_array_set_size(net->sent, 0);
}

/* A flow of caller number `n`. */
static inline struct rg_packet
packet_of(uint32_t n, bool udp, uint8_t flags, uint32_t seq)
{
    static const uint8_t body[] = "data";
    struct rg_packet p = {
        .key = {.sport = (uint16_t)(1024 + n % 60000),
                .dport = 80,
                .proto = udp ? RG_PROTO_UDP : RG_PROTO_TCP},
        .tcp_flags = flags,
        .tcp_seq = seq,
        .payload = body,
        .payload_len = flags & RG_TCP_SYN ? 0 : sizeof(body),
    };

    rg_ip_parse(p.key.src, "198.18.0.1");
    rg_ip_parse(p.key.dst, udp ? "203.0.113.2" : "203.0.113.1");
    return p;
}

/* The fabric hands a packet to one node. */
static inline void
net_inject(struct net *net, uint32_t i, const struct rg_packet *p)
{
    struct datagram *d = g_new0(struct datagram, 1);

    rg_addr_parse(&d->from, "127.0.0.98:1");
    d->to = node_addr(i);
    d->len = rg_packet_build(d->data, sizeof(d->data), p);
    g_queue_push_tail(net->queue, d);
    net_deliver(net);
}

static inline void
net_send(struct net *net, uint32_t i, uint32_t n, uint8_t flags, uint32_t seq)
{
    struct rg_packet p = packet_of(n, false, flags, seq);

    net_inject(net, i, &p);
}

/* The last packet sent out of the fleet; NULL for none. */
static inline struct sent *
net_last(struct net *net)
{
    return net->sent->len > 0
               ? g_ptr_array_index(net->sent, net->sent->len - 1)
               : NULL;
}

/* Address the flow's next data packet goes to when it enters at node `i`;
 * port 0 if it goes nowhere. */
static inline struct rg_addr
net_where(struct net *net, uint32_t i, uint32_t n)
{
    struct rg_addr none = {0};

    net_clear_sent(net);
    net_send(net, i, n, RG_TCP_ACK, 2);
    return net->sent->len > 0 ? net_last(net)->to : none;
}

static inline uint64_t
net_count(struct net *net, size_t offset)
{
    uint64_t sum = 0;

    for (uint32_t i = 0; i < NODES_MAX; i++) {
        if (net->nodes[i].core) {
            uint64_t value;
            memcpy(&value,
                   (const uint8_t *)rg_core_counters(net->nodes[i].core) +
                       offset,
                   sizeof(value));
            sum += value;
        }
    }
    return sum;
}

#define NET_COUNT(net, member)                                                \
    net_count(net, offsetof(struct rg_counters, member))

/* Node that owns caller `n`'s flow, or the `rank`-th of its chain. */
static inline int
net_holder(struct net *net, uint32_t asked, uint32_t n, uint32_t rank)
{
    struct rg_packet p = packet_of(n, false, 0, 0);
    struct rg_explain e;

    rg_core_explain(net->nodes[asked].core, &p.key, &e);
    if (rank >= e.holder_count) {
        return -1;
    }
    return e.holders[rank].s[1] - '0';
}

#endif
