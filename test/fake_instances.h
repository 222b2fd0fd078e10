/* Instances that steer the flows of one caller, without network. Callers and
 * upstreams follow the platform's protocol: each repeats the last token that
 * it received. So a caller that has received an answer to its opening sends
 * the token of the decision on that opening, and one that has received
 * anything later from an upstream sends the token of that endpoint. */
#ifndef RG_TEST_FAKE_INSTANCES_H
#define RG_TEST_FAKE_INSTANCES_H

#include <glib.h>

#include "balance/balancer.h"
#include "test/fake_homes.h"

#define SHOP_IP 0xc6120001
#define SHOP_PORT 443
#define CALLER_IP 0x64400007
#define CALLER_PORT 40001
#define START_MS 1000
#define RTT_MS 6
#define FLOW_AGE_MS 60000
#define CONFIRMATION_LAG_MS 500
#define UPSTREAMS 4
#define OPENING_SEQ 0x11223344
#define UPSTREAM_SEQ 0x50000000
/* When callers send the first and the second copy of an opening. */
#define FIRST_COPY_MS 200
#define SECOND_COPY_MS 600

#ifndef INSTANCES
#define INSTANCES 3
#endif

/* The tokens that the packets of one upstream carry: its answer to the
 * opening, and what it sends after it has got packets of the open flow. */
struct tokens {
    uint32_t opening;
    uint32_t flow;
};

struct fixture {
    struct rg_balancer *instances[INSTANCES];
    uint64_t now_ms;
    bool older_peers;    /* some peers know no tokens of openings */
    bool can_hold;       /* packets may wait for what peers say */
    bool cut[INSTANCES]; /* neither sends nor gets messages of peers */
};

static inline struct rg_name
name(const char *text)
{
    struct rg_name n;

    g_assert_true(rg_name_set(&n, rg_str_of(text)));
    return n;
}

static inline void
update_upstream(struct rg_balancer *b, int i, bool draining, uint64_t revision)
{
    g_autofree char *id = g_strdup_printf("u-%d", i);
    struct rg_endpoint_info info = {
        .id = name(id),
        .wire_id = (uint64_t)i + 1,
        .boot_ms = 5,
        .service = name("shop"),
        .data_centre = name("dc1"),
        .slots = 2,
        .draining = draining,
    };

    rg_addr_parse(&info.addr, "10.0.0.1:80");
    rg_pool_update(rg_balancer_pool(b), &info, revision, START_MS);
}

static inline struct rg_balancer *
create_instance(const struct fixture *f, int instance, uint64_t seed)
{
    struct rg_fleet fleet = {.instances = INSTANCES,
                             .local_instances = INSTANCES,
                             .share = 1.0 / INSTANCES,
                             .opening_tokens = !f->older_peers};
    struct rg_balancer_opts opts = {
        .data_centre = name("dc1"),
        .flow_age_ms = FLOW_AGE_MS,
        .stale_ms = 3000,
        .confirmation_lag_ms = CONFIRMATION_LAG_MS,
        .tracked_flows = 256,
        .id = fake_homes_id(instance),
        .seed = seed,
        .can_hold = f->can_hold,
    };
    struct rg_balancer *b = rg_balancer_create(&opts, f->now_ms);
    struct rg_route *route = g_new0(struct rg_route, 1);

    *route = (struct rg_route){.ip = SHOP_IP,
                               .port = SHOP_PORT,
                               .timeout_ms = 1500,
                               .share_count = 1};
    route->shares[0] =
        (struct rg_route_share){.service = name("shop"), .weight = 1};
    rg_balancer_set_routes(b, rg_routes_create(1, route, 1));
    for (int i = 0; i < UPSTREAMS; i++) {
        update_upstream(b, i, false, 1);
    }
    rg_balancer_set_confirmed(b, f->now_ms);
    rg_balancer_set_fleet(b, &fleet);
    return b;
}

/* A version of the configuration with or without the shop's route. */
static inline void
set_version(struct fixture *f, int instance, uint64_t version, bool has_route)
{
    struct rg_route *route = g_new0(struct rg_route, 1);

    *route = (struct rg_route){.ip = SHOP_IP,
                               .port = has_route ? SHOP_PORT : SHOP_PORT + 1,
                               .share_count = 1};
    route->shares[0] =
        (struct rg_route_share){.service = name("shop"), .weight = 1};
    rg_balancer_set_routes(f->instances[instance],
                           rg_routes_create(version, route, 1));
}

/* Replaces an instance by a new one that has just started. */
static inline void
restart_instance(struct fixture *f, int instance, uint64_t seed)
{
    rg_balancer_destroy(f->instances[instance]);
    f->instances[instance] = create_instance(f, instance, seed);
}

static inline void
restart_all(struct fixture *f, uint64_t seed)
{
    f->now_ms = START_MS;
    for (int i = 0; i < INSTANCES; i++) {
        restart_instance(f, i, seed + (uint64_t)i);
    }
}

/* `older_peers` is NULL or not. */
static inline void
setup(struct fixture *f, gconstpointer older_peers)
{
    f->older_peers = older_peers != NULL;
    restart_all(f, 1);
}

static inline void
teardown(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    for (int i = 0; i < INSTANCES; i++) {
        rg_balancer_destroy(f->instances[i]);
    }
}

static inline struct rg_segment
segment_from(uint16_t caller_port)
{
    return (struct rg_segment){
        .flow = {.caller_ip = CALLER_IP,
                 .service_ip = SHOP_IP,
                 .caller_port = caller_port,
                 .service_port = SHOP_PORT},
    };
}

/* A copy of the opening; `copy` is the number of those sent before. */
static inline struct rg_decision
open_copy(struct fixture *f, int instance, uint32_t copy)
{
    struct rg_segment s = segment_from(CALLER_PORT);

    s.opening = true;
    s.seq = OPENING_SEQ;
    s.ack = copy;
    return rg_balancer_packet(f->instances[instance], &s, f->now_ms);
}

/* A packet of the open flow. `received` bytes have come from the upstream that
 * the caller took. */
static inline struct rg_decision
send_data(struct fixture *f, int instance, uint32_t token, uint32_t sent,
          uint32_t received, uint16_t len)
{
    struct rg_segment s = segment_from(CALLER_PORT);

    s.token = token;
    s.seq = OPENING_SEQ + 1 + sent;
    s.ack = UPSTREAM_SEQ + 1 + received;
    s.len = len;
    return rg_balancer_packet(f->instances[instance], &s, f->now_ms);
}

static inline struct rg_decision
acknowledge(struct fixture *f, int instance, uint32_t token)
{
    return send_data(f, instance, token, 0, 0, 0);
}

/* The same; returns the tokens of the upstream that it goes to. */
static inline struct tokens
open_at(struct fixture *f, int instance, uint32_t copy)
{
    struct rg_decision d = open_copy(f, instance, copy);

    g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
    return (struct tokens){.opening = d.token, .flow = d.endpoint->token};
}

/* Upstreams that have both got the opening of one flow. */
struct two_answers {
    struct tokens other;
    struct tokens taken; /* its answer is the one that the caller takes */
};

/* Opens a flow by way of instance 0: the answer to the first copy is late, and
 * that to the second is on its way when this returns. */
static inline struct two_answers
open_at_two(struct fixture *f)
{
    struct two_answers a = {.other = open_at(f, 0, 0)};

    f->now_ms += FIRST_COPY_MS;
    a.taken = open_at(f, 0, 1);
    g_assert_cmpuint(a.other.flow, !=, a.taken.flow);
    f->now_ms += RTT_MS;
    return a;
}

static inline bool
message_arrives(void *ctx, int from, int to)
{
    const struct fixture *f = ctx;

    return !f->cut[from] && !f->cut[to];
}

static inline struct fake_homes
homes_of(struct fixture *f)
{
    return (struct fake_homes){.balancers = f->instances,
                               .count = INSTANCES,
                               .arrives = message_arrives,
                               .ctx = f};
}

/* What an instance asks and tells the homes of flows. */
static inline void
exchange(struct fixture *f, int instance)
{
    struct fake_homes homes = homes_of(f);

    fake_homes_exchange(&homes, instance, f->now_ms);
}

/* The first data of the flow, or its retransmission. */
static inline struct rg_segment
first_data(uint32_t token)
{
    struct rg_segment s = segment_from(CALLER_PORT);

    s.token = token;
    s.seq = OPENING_SEQ + 1;
    s.ack = UPSTREAM_SEQ + 1;
    s.len = 100;
    return s;
}

/* Sends a packet; if it is held, the homes of its flow are asked. */
static inline struct rg_decision
deliver(struct fixture *f, int instance, const struct rg_segment *s)
{
    struct fake_homes homes = homes_of(f);

    return fake_homes_send(&homes, instance, s, f->now_ms);
}

/* Lets time pass until homes have listened long enough to know of all flows at
 * their start. */
static inline void
let_homes_listen(struct fixture *f)
{
    f->now_ms += 5000;
    for (int i = 0; i < INSTANCES; i++) {
        rg_balancer_tick(f->instances[i], f->now_ms);
        rg_balancer_set_confirmed(f->instances[i], f->now_ms);
    }
}

/* Lets time pass for all instances. */
static inline void
tick_until(struct fixture *f, uint64_t until_ms)
{
    while (f->now_ms < until_ms) {
        f->now_ms += RG_BALANCER_TICK_MS;
        for (size_t i = 0; i < G_N_ELEMENTS(f->instances); i++) {
            rg_balancer_tick(f->instances[i], f->now_ms);
        }
    }
}

static inline uint64_t
counter(struct fixture *f, int instance, enum rg_metric_counter c)
{
    return rg_balancer_metrics(f->instances[instance])->counters[c];
}

static inline void
add_case(const char *path, void (*test)(struct fixture *, gconstpointer))
{
    g_test_add(path, struct fixture, NULL, setup, test, teardown);
}

#endif
