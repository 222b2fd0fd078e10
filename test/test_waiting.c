/* Openings that wait for room at an instance: their order, their copies, and
 * what may change before their turn comes. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "balance/balancer.h"

#define SERVICE_IP 0xc6120001
#define IMPORTANT_PORT 443
#define ORDINARY_PORT 8443
#define UPSTREAMS 4
#define WORK_MS 100
#define TARGET_MS 1000

struct fixture {
    struct rg_balancer *balancer;
    uint64_t now_ms;
    uint16_t next_port;
};

static struct rg_name
name(const char *text)
{
    struct rg_name n;

    g_assert_true(rg_name_set(&n, rg_str_of(text)));
    return n;
}

static struct rg_routes *
make_routes(uint64_t version, size_t count)
{
    struct rg_route *routes = calloc(2, sizeof(*routes));

    for (size_t i = 0; i < 2; i++) {
        routes[i] = (struct rg_route){
            .ip = SERVICE_IP,
            .port = i == 0 ? ORDINARY_PORT : IMPORTANT_PORT,
            .target_ms = TARGET_MS,
            .timeout_ms = 4 * TARGET_MS,
            .priority = i == 0 ? 2 : 1,
            .share_count = 1,
            .shares = {{.service = name("shop"), .weight = 1}},
        };
    }
    return rg_routes_create(version, routes, count);
}

static void
run(struct fixture *f, uint32_t ms)
{
    for (uint32_t i = 0; i < ms; i++) {
        if (++f->now_ms % RG_BALANCER_TICK_MS == 0) {
            rg_balancer_set_confirmed(f->balancer, f->now_ms);
            rg_balancer_tick(f->balancer, f->now_ms);
        }
    }
}

static struct rg_decision
open_flow(struct fixture *f, uint16_t port, uint16_t caller_port,
          uint32_t copy)
{
    struct rg_segment s = {.flow = {.caller_ip = 0x64400007,
                                    .service_ip = SERVICE_IP,
                                    .caller_port = caller_port,
                                    .service_port = port},
                           .ack = copy,
                           .opening = true};

    return rg_balancer_packet(f->balancer, &s, f->now_ms);
}

/* One request after another, each answered. */
static void
teach(struct fixture *f)
{
    for (int i = 0; i < 40; i++) {
        struct rg_segment s = {.flow = {.caller_ip = 0x64400007,
                                        .service_ip = SERVICE_IP,
                                        .caller_port = ++f->next_port,
                                        .service_port = ORDINARY_PORT}};
        struct rg_decision d = open_flow(f, ORDINARY_PORT, f->next_port, 0);
        g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
        s.token = d.token;
        s.seq = s.ack = 1;
        s.len = 100;
        rg_balancer_packet(f->balancer, &s, f->now_ms);
        run(f, WORK_MS);
        s.seq = 101;
        s.ack = 1001;
        s.len = 0;
        s.fin = true;
        rg_balancer_packet(f->balancer, &s, f->now_ms);
    }
}

static struct fixture *
create(void)
{
    struct fixture *f = g_new0(struct fixture, 1);
    struct rg_balancer_opts opts = {
        .data_centre = name("dc1"),
        .flow_age_ms = 60000,
        .stale_ms = 3000,
        .tracked_flows = 1024,
        .seed = 5,
        .can_hold = true,
    };

    f->now_ms = 1000;
    f->balancer = rg_balancer_create(&opts, f->now_ms);
    rg_balancer_set_routes(f->balancer, make_routes(1, 2));
    rg_balancer_set_confirmed(f->balancer, f->now_ms);
    for (int i = 0; i < UPSTREAMS; i++) {
        char id[8];
        snprintf(id, sizeof(id), "u-%d", i);
        struct rg_endpoint_info r = {.id = name(id),
                                     .wire_id = (uint64_t)i + 1,
                                     .boot_ms = 5,
                                     .service = name("shop"),
                                     .data_centre = name("dc1"),
                                     .slots = 1};
        rg_addr_parse(&r.addr, "10.0.0.1:80");
        rg_pool_update(rg_balancer_pool(f->balancer), &r, 1, f->now_ms);
    }
    teach(f);
    return f;
}

static void
destroy(struct fixture *f)
{
    rg_balancer_destroy(f->balancer);
    g_free(f);
}

/* Openings until one waits; returns its port. */
static uint16_t
fill(struct fixture *f, uint16_t port, uint32_t *slot)
{
    for (int i = 0; i < 100; i++) {
        struct rg_decision d = open_flow(f, port, ++f->next_port, 0);
        if (d.kind == RG_DECISION_WAIT) {
            *slot = d.slot;
            return f->next_port;
        }
        g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
    }
    g_assert_not_reached();
}

/* The next opening whose turn has come within `ms`. */
static struct rg_waiting_opening
next(struct fixture *f, uint32_t ms)
{
    struct rg_waiting_opening w = {0};

    for (uint32_t i = 0; i < ms; i++) {
        if (rg_balancer_next_waiting(f->balancer, f->now_ms, &w)) {
            return w;
        }
        run(f, 1);
    }
    g_assert_not_reached();
}

/* An important opening that comes later is served first, and one that cannot
 * be served in time is refused at once. */
static void
test_order(void)
{
    struct fixture *f = create();
    uint32_t slots[2];
    uint16_t ordinary = fill(f, ORDINARY_PORT, &slots[0]);
    int refused = 0;

    struct rg_decision d = open_flow(f, IMPORTANT_PORT, ++f->next_port, 0);
    uint16_t important = f->next_port;
    g_assert_cmpint(d.kind, ==, RG_DECISION_WAIT);
    slots[1] = d.slot;
    g_assert_cmpuint(slots[0], !=, slots[1]);
    for (int i = 0; i < 20; i++) {
        d = open_flow(f, ORDINARY_PORT, ++f->next_port, 0);
        refused += d.kind == RG_DECISION_REFUSE;
    }
    g_assert_cmpint(refused, >=, 10);
    struct rg_waiting_opening w = next(f, 150);
    g_assert_cmpuint(w.segment.flow.caller_port, ==, important);
    g_assert_cmpuint(w.slot, ==, slots[1]);
    g_assert_cmpint(w.decision.kind, ==, RG_DECISION_FORWARD);
    w = next(f, 150);
    g_assert_cmpuint(w.segment.flow.caller_port, ==, ordinary);
    g_assert_cmpint(w.decision.kind, ==, RG_DECISION_FORWARD);
    destroy(f);
}

/* A copy of an opening that waits must not pass it: two upstreams would get
 * the flow. Copies of others are never refused for lack of room. */
static void
test_copies(void)
{
    struct fixture *f = create();
    uint32_t slot;
    uint16_t port = fill(f, ORDINARY_PORT, &slot);
    size_t waiting = rg_balancer_waiting_count(f->balancer);

    struct rg_decision d = open_flow(f, ORDINARY_PORT, port, 1);
    g_assert_cmpint(d.kind, ==, RG_DECISION_DROP);
    g_assert_cmpuint(rg_balancer_waiting_count(f->balancer), ==, waiting);
    for (int i = 0; i < 50; i++) {
        d = open_flow(f, ORDINARY_PORT, ++f->next_port, 1);
        g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
    }
    destroy(f);
}

/* The route is removed while an opening waits: its turn ends in a refusal. */
static void
test_route_removed(void)
{
    struct fixture *f = create();
    uint32_t slot;

    fill(f, ORDINARY_PORT, &slot);
    struct rg_routes *none = rg_routes_create(2, NULL, 0);
    g_assert_true(rg_balancer_set_routes(f->balancer, none));
    struct rg_waiting_opening w = next(f, 150);
    g_assert_cmpint(w.decision.kind, ==, RG_DECISION_REFUSE);
    destroy(f);
}

/* Copies, which are not refused, use up the room: the opening that waits is
 * refused before its caller sends a copy. */
static void
test_no_room(void)
{
    struct fixture *f = create();
    struct rg_waiting_opening w;
    uint32_t slot;

    fill(f, IMPORTANT_PORT, &slot);
    uint64_t start_ms = f->now_ms;
    do {
        g_assert_cmpuint(f->now_ms - start_ms, <, 200);
        open_flow(f, ORDINARY_PORT, ++f->next_port, 1);
        run(f, 1);
    } while (!rg_balancer_next_waiting(f->balancer, f->now_ms, &w));
    g_assert_cmpint(w.decision.kind, ==, RG_DECISION_REFUSE);
    g_assert_cmpuint(rg_balancer_metrics(f->balancer)
                         ->counters[RG_METRIC_REFUSED_AFTER_WAIT],
                     ==, 1);
    destroy(f);
}

/* The process was suspended while an opening waited. A copy may have opened
 * the flow by way of another instance: nothing is sent. */
static void
test_suspended(void)
{
    struct fixture *f = create();
    uint32_t slot;

    fill(f, ORDINARY_PORT, &slot);
    f->now_ms += 1000;
    rg_balancer_paused(f->balancer, f->now_ms);
    struct rg_waiting_opening w = next(f, 1);
    g_assert_cmpint(w.decision.kind, ==, RG_DECISION_DROP);
    g_assert_cmpuint(w.slot, ==, slot);
    g_assert_cmpuint(rg_balancer_waiting_count(f->balancer), ==, 0);
    destroy(f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/waiting/order", test_order);
    g_test_add_func("/waiting/copies", test_copies);
    g_test_add_func("/waiting/route-removed", test_route_removed);
    g_test_add_func("/waiting/no-room", test_no_room);
    g_test_add_func("/waiting/suspended", test_suspended);
    return g_test_run();
}
