/* Steering by token: what happens to each kind of packet. */
#include <glib.h>
#include <string.h>

#include "balance/balancer.h"
#include "balance/token.h"

#define SHOP_IP 0xc6120001
#define SHOP_PORT 443
#define GALLERY_PORT 8443
#define CALLER_IP 0x64400007
#define STALE_MS 3000
#define SAMPLE_MS 2000
#define FLOW_AGE_MS 60000
#define CONFIRMATION_LAG_MS 500
#define START_MS 1000

static struct rg_name
name(const char *text)
{
    struct rg_name n;

    g_assert_true(rg_name_set(&n, rg_str_of(text)));
    return n;
}

static struct rg_route
route_to(uint16_t port, const char *service)
{
    struct rg_route r = {.ip = SHOP_IP, .port = port, .share_count = 1};

    r.shares[0] =
        (struct rg_route_share){.service = name(service), .weight = 1};
    return r;
}

static void
configure(struct rg_balancer *b, uint64_t version,
          const struct rg_route *routes, size_t count)
{
    struct rg_route *copy = calloc(count + 1, sizeof(*copy));

    memcpy(copy, routes, count * sizeof(*copy));
    rg_balancer_set_routes(b, rg_routes_create(version, copy, count));
}

static void
configure_both(struct rg_balancer *b, uint64_t version)
{
    struct rg_route routes[] = {route_to(SHOP_PORT, "shop"),
                                route_to(GALLERY_PORT, "gallery")};

    configure(b, version, routes, 2);
}

static void
update_entry(struct rg_balancer *b, const char *id, const char *service,
             bool draining, uint64_t revision)
{
    struct rg_endpoint_info r = {
        .id = name(id),
        .wire_id = 7,
        .boot_ms = 5,
        .service = name(service),
        .data_centre = name("dc1"),
        .slots = 2,
        .draining = draining,
    };

    rg_addr_parse(&r.addr, "10.0.0.1:80");
    rg_pool_update(rg_balancer_pool(b), &r, revision, START_MS);
}

static struct rg_balancer *
create_empty_balancer(void)
{
    struct rg_balancer_opts opts = {
        .data_centre = name("dc1"),
        .flow_age_ms = FLOW_AGE_MS,
        .stale_ms = STALE_MS,
        .confirmation_lag_ms = CONFIRMATION_LAG_MS,
        .partial_view_ms = SAMPLE_MS,
        .tracked_flows = 64,
        .seed = 1,
    };

    return rg_balancer_create(&opts, START_MS);
}

/* A balancer with two upstreams of the shop and one of the gallery. */
static struct rg_balancer *
create_balancer(void)
{
    struct rg_balancer *b = create_empty_balancer();

    configure_both(b, 1);
    update_entry(b, "u-1", "shop", false, 1);
    update_entry(b, "u-2", "shop", false, 1);
    update_entry(b, "u-3", "gallery", false, 1);
    rg_balancer_set_confirmed(b, START_MS);
    return b;
}

static struct rg_segment
segment(uint16_t caller_port, uint16_t service_port)
{
    return (struct rg_segment){
        .flow = {.caller_ip = CALLER_IP,
                 .service_ip = SHOP_IP,
                 .caller_port = caller_port,
                 .service_port = service_port},
    };
}

/* The token of the decision is that of what the upstream sends once the flow
 * is open. */
static struct rg_decision
opening(struct rg_balancer *b, uint16_t caller_port, uint16_t service_port,
        uint32_t retransmission, uint64_t now_ms)
{
    struct rg_segment s = segment(caller_port, service_port);

    s.opening = true;
    s.ack = retransmission;
    struct rg_decision d = rg_balancer_packet(b, &s, now_ms);
    if (d.kind == RG_DECISION_FORWARD) {
        d.token = d.endpoint->token;
    }
    return d;
}

static struct rg_decision
data(struct rg_balancer *b, uint16_t caller_port, uint16_t service_port,
     uint32_t token, uint64_t now_ms)
{
    struct rg_segment s = segment(caller_port, service_port);

    s.token = token;
    s.seq = 1;
    s.ack = 1;
    s.len = 10;
    return rg_balancer_packet(b, &s, now_ms);
}

static uint32_t
token_of(const char *id)
{
    return rg_token_of(rg_str_of(id), 5);
}

static uint64_t
counter(struct rg_balancer *b, enum rg_metric_counter c)
{
    return rg_balancer_metrics(b)->counters[c];
}

/* An opening goes to an upstream of its route and gets its token; any instance
 * with the same view forwards the flow's packets there. */
static void
test_flow_follows_token(void)
{
    struct rg_balancer *b = create_balancer();
    struct rg_balancer *other = create_balancer();
    struct rg_decision s = opening(b, 1, SHOP_PORT, 0, START_MS);

    g_assert_cmpint(s.kind, ==, RG_DECISION_FORWARD);
    g_assert_cmpuint(s.token, ==, s.endpoint->token);
    uint32_t token = s.token;
    s = data(b, 1, SHOP_PORT, token, START_MS + 7);
    g_assert_cmpuint(s.token, ==, token);
    s = data(other, 1, SHOP_PORT, token, START_MS + 7);
    g_assert_cmpint(s.kind, ==, RG_DECISION_FORWARD);
    g_assert_cmpuint(s.token, ==, token);
    rg_balancer_destroy(b);
    rg_balancer_destroy(other);
}

/* Without a view nothing is refused. Packets are dropped, and their senders
 * retransmit. */
static void
test_not_ready(void)
{
    struct rg_balancer *b = create_empty_balancer();

    g_assert_false(rg_balancer_ready(b));
    g_assert_cmpint(opening(b, 1, SHOP_PORT, 0, START_MS).kind, ==,
                    RG_DECISION_DROP);
    g_assert_cmpint(data(b, 1, SHOP_PORT, 99, START_MS).kind, ==,
                    RG_DECISION_DROP);
    configure_both(b, 1);
    g_assert_false(rg_balancer_ready(b));
    rg_balancer_set_confirmed(b, START_MS);
    g_assert_true(rg_balancer_ready(b));
    rg_balancer_destroy(b);
}

/* A retransmitted opening goes to another upstream, since the first one did
 * not answer. */
static void
test_retransmission_moves(void)
{
    struct rg_balancer *b = create_balancer();
    uint32_t first = opening(b, 1, SHOP_PORT, 0, START_MS).token;
    uint32_t second = opening(b, 1, SHOP_PORT, 1, START_MS + 200).token;

    g_assert_cmpuint(first, !=, second);
    g_assert_cmpuint(counter(b, RG_METRIC_OPENINGS_MOVED), ==, 1);
    /* The caller uses the first one after all: its packets go there. */
    struct rg_decision s = data(b, 1, SHOP_PORT, first, START_MS + 210);
    g_assert_cmpuint(s.token, ==, first);
    rg_balancer_destroy(b);
}

/* Without a route an opening is refused while the view is confirmed, and
 * dropped when the view may be stale. */
static void
test_no_route(void)
{
    struct rg_balancer *b = create_balancer();

    g_assert_cmpint(opening(b, 1, 99, 0, START_MS).kind, ==,
                    RG_DECISION_REFUSE);
    g_assert_cmpint(opening(b, 1, 99, 0, START_MS + STALE_MS + 1).kind, ==,
                    RG_DECISION_DROP);
    rg_balancer_destroy(b);
}

/* Draining upstreams get no new flows but keep theirs. If there are no others,
 * openings are refused while the view is confirmed, and dropped when it may be
 * stale. */
static void
test_draining(void)
{
    struct rg_balancer *b = create_balancer();

    update_entry(b, "u-1", "shop", true, 2);
    for (uint16_t port = 1; port < 20; port++) {
        g_assert_cmpuint(opening(b, port, SHOP_PORT, 0, START_MS).token, ==,
                         token_of("u-2"));
    }
    update_entry(b, "u-2", "shop", true, 3);
    g_assert_cmpint(opening(b, 30, SHOP_PORT, 0, START_MS).kind, ==,
                    RG_DECISION_REFUSE);
    g_assert_cmpint(opening(b, 30, SHOP_PORT, 0, START_MS + STALE_MS + 1).kind,
                    ==, RG_DECISION_DROP);
    g_assert_cmpint(data(b, 3, SHOP_PORT, token_of("u-2"), START_MS).kind, ==,
                    RG_DECISION_FORWARD);
    rg_balancer_destroy(b);
}

/* A packet with an unknown token is never refused: the upstream may be one
 * whose entry is missing here. */
static void
test_unknown_token(void)
{
    struct rg_balancer *b = create_balancer();

    g_assert_cmpint(data(b, 1, SHOP_PORT, 12345, START_MS).kind, ==,
                    RG_DECISION_DROP);
    g_assert_cmpint(data(b, 1, SHOP_PORT, RG_TOKEN_NONE, START_MS).kind, ==,
                    RG_DECISION_DROP);
    g_assert_cmpuint(counter(b, RG_METRIC_DROPPED_UNKNOWN_TOKEN), ==, 1);
    rg_balancer_destroy(b);
}

/* A packet to the shop's address with a forged token must not reach the
 * gallery. This is checked once no flow from before the start of the instance
 * can be left. */
static void
test_forged_token(void)
{
    struct rg_balancer *b = create_balancer();
    uint64_t later = START_MS + FLOW_AGE_MS;

    g_assert_cmpint(data(b, 1, SHOP_PORT, token_of("u-3"), later).kind, ==,
                    RG_DECISION_DROP);
    g_assert_cmpint(data(b, 1, GALLERY_PORT, token_of("u-3"), later).kind, ==,
                    RG_DECISION_FORWARD);
    rg_balancer_destroy(b);
}

/* A new version leaves open flows where they are, even if their route now
 * leads elsewhere. Packets to a removed route are refused once the view was
 * confirmed after the flow had been opened, and forwarded before. Older
 * versions are ignored. */
static void
test_new_version(void)
{
    struct rg_balancer *b = create_balancer();
    uint64_t later = START_MS + FLOW_AGE_MS;

    rg_balancer_set_confirmed(b, later);
    uint32_t token = opening(b, 1, SHOP_PORT, 0, later).token;
    data(b, 1, SHOP_PORT, token, later + 5);
    struct rg_route moved = route_to(SHOP_PORT, "gallery");
    configure(b, 3, &moved, 1);
    g_assert_cmpint(data(b, 1, SHOP_PORT, token, later + 10).kind, ==,
                    RG_DECISION_FORWARD);
    g_assert_cmpuint(opening(b, 2, SHOP_PORT, 0, later + 10).token, ==,
                     token_of("u-3"));
    configure_both(b, 2);
    g_assert_cmpuint(rg_balancer_version(b), ==, 3);
    struct rg_route other = route_to(GALLERY_PORT, "gallery");
    configure(b, 4, &other, 1);
    g_assert_cmpint(data(b, 1, SHOP_PORT, token, later + 20).kind, ==,
                    RG_DECISION_FORWARD);
    later += CONFIRMATION_LAG_MS;
    rg_balancer_set_confirmed(b, later);
    g_assert_cmpint(data(b, 1, SHOP_PORT, token, later).kind, ==,
                    RG_DECISION_FORWARD);
    rg_balancer_set_confirmed(b, later + 1);
    g_assert_cmpint(data(b, 1, SHOP_PORT, token, later + 1).kind, ==,
                    RG_DECISION_REFUSE);
    rg_balancer_destroy(b);
}

/* A packet of an open flow to an address that never had a route here is
 * dropped, not reset: the route may belong to a newer version that only other
 * instances have. For a removed route it is refused once the view was
 * confirmed after the flow's first packet here, until the route is added
 * again. */
static void
test_route_unknown(void)
{
    struct rg_balancer *b = create_balancer();
    struct rg_route shop = route_to(SHOP_PORT, "shop");
    struct rg_route both[] = {route_to(SHOP_PORT, "shop"),
                              route_to(GALLERY_PORT, "gallery")};
    uint64_t later = START_MS + CONFIRMATION_LAG_MS + 1;

    g_assert_cmpint(data(b, 1, 999, token_of("u-1"), START_MS).kind, ==,
                    RG_DECISION_DROP);
    configure(b, 2, &shop, 1);
    g_assert_cmpint(data(b, 1, GALLERY_PORT, token_of("u-3"), START_MS).kind,
                    ==, RG_DECISION_DROP);
    rg_balancer_set_confirmed(b, START_MS + CONFIRMATION_LAG_MS);
    g_assert_cmpint(data(b, 1, GALLERY_PORT, token_of("u-3"), later).kind, ==,
                    RG_DECISION_DROP);
    rg_balancer_set_confirmed(b, later);
    g_assert_cmpint(data(b, 1, GALLERY_PORT, token_of("u-3"), later).kind, ==,
                    RG_DECISION_REFUSE);
    configure(b, 3, &shop, 1);
    g_assert_cmpint(data(b, 1, GALLERY_PORT, token_of("u-3"), later).kind, ==,
                    RG_DECISION_REFUSE);
    configure(b, 4, both, 2);
    g_assert_cmpint(data(b, 1, GALLERY_PORT, token_of("u-3"), later).kind, ==,
                    RG_DECISION_FORWARD);
    rg_balancer_destroy(b);
}

/* A split is the same on all instances and for all retransmissions, and
 * follows the weights. */
static void
test_split(void)
{
    struct rg_balancer *a = create_balancer();
    struct rg_balancer *b = create_balancer();
    struct rg_route split = route_to(SHOP_PORT, "shop");
    int gallery = 0;

    split.shares[0].weight = 90;
    split.shares[1] =
        (struct rg_route_share){.service = name("gallery"), .weight = 10};
    split.share_count = 2;
    configure(a, 2, &split, 1);
    configure(b, 2, &split, 1);
    for (uint16_t port = 1; port <= 2000; port++) {
        bool here =
            opening(a, port, SHOP_PORT, 0, START_MS).token == token_of("u-3");
        bool there =
            opening(b, port, SHOP_PORT, 0, START_MS).token == token_of("u-3");
        g_assert_true(here == there);
        gallery += here;
    }
    g_assert_cmpint(gallery, >, 150);
    g_assert_cmpint(gallery, <, 250);
    rg_balancer_destroy(a);
    rg_balancer_destroy(b);
}

/* With more flows than can be tracked, all are still steered, and memory is
 * bounded. */
static void
test_flow_table_full(void)
{
    struct rg_balancer *b = create_balancer();

    for (uint16_t port = 1; port <= 1000; port++) {
        struct rg_decision s = opening(b, port, SHOP_PORT, 0, START_MS);
        g_assert_cmpint(s.kind, ==, RG_DECISION_FORWARD);
        s = data(b, port, SHOP_PORT, s.token, START_MS);
        g_assert_cmpint(s.kind, ==, RG_DECISION_FORWARD);
    }
    g_assert_cmpuint(rg_balancer_tracked_count(b), ==, 64);
    rg_balancer_tick(b, START_MS + 60000);
    g_assert_cmpuint(rg_balancer_tracked_count(b), ==, 0);
    rg_balancer_destroy(b);
}

/* Packets of open flows still go to an upstream whose entry has gone, but no
 * new flows do. */
static void
test_removed_upstream(void)
{
    struct rg_balancer *b = create_balancer();
    struct rg_name id = name("u-1");

    rg_pool_remove(rg_balancer_pool(b), &id, 2, 0, START_MS);
    g_assert_cmpint(data(b, 100, SHOP_PORT, token_of("u-1"), START_MS).kind,
                    ==, RG_DECISION_FORWARD);
    for (uint16_t port = 1; port < 20; port++) {
        g_assert_cmpuint(opening(b, port, SHOP_PORT, 0, START_MS).token, ==,
                         token_of("u-2"));
    }
    rg_balancer_destroy(b);
}

/* --- upstreams that fail while flows are open ---------------------------- */

#define AFFECTED_FLOWS 4

/* Flows that have sent their requests to one upstream. */
struct flows {
    uint32_t token;
    uint16_t ports[AFFECTED_FLOWS];
    int count;
    uint64_t ticked_ms; /* last tick */
};

/* Opens flows with one request each at START_MS, until AFFECTED_FLOWS of them
 * are at the upstream of the first one. */
static struct flows
open_flows(struct rg_balancer *b)
{
    struct flows f = {.ticked_ms = START_MS};

    for (uint16_t port = 1; f.count < AFFECTED_FLOWS; port++) {
        uint32_t token = opening(b, port, SHOP_PORT, 0, START_MS).token;
        struct rg_segment s = segment(port, SHOP_PORT);
        f.token = f.token ? f.token : token;
        s.token = token;
        rg_balancer_packet(b, &s, START_MS + 1);
        data(b, port, SHOP_PORT, token, START_MS + 2);
        if (token == f.token) {
            f.ports[f.count++] = port;
        }
    }
    return f;
}

/* Another upstream answers a flow at `now_ms`. */
static void
answer_elsewhere(struct rg_balancer *b, uint32_t not_token, uint16_t port,
                 uint64_t now_ms)
{
    struct rg_decision s = opening(b, port, SHOP_PORT, 0, now_ms - 5);

    if (s.token != not_token) {
        data(b, port, SHOP_PORT, s.token, now_ms);
    }
}

/* Retransmits the requests of all flows; returns how many were refused. The
 * process has run until then. */
static int
retransmit_all(struct rg_balancer *b, struct flows *f, uint64_t now_ms)
{
    int refused = 0;

    while (f->ticked_ms + RG_BALANCER_TICK_MS <= now_ms) {
        f->ticked_ms += RG_BALANCER_TICK_MS;
        rg_balancer_tick(b, f->ticked_ms);
    }
    for (int i = 0; i < f->count; i++) {
        refused += data(b, f->ports[i], SHOP_PORT, f->token, now_ms).kind ==
                   RG_DECISION_REFUSE;
    }
    return refused;
}

static void
set_retry_safety(struct rg_balancer *b, enum rg_repeat repeat)
{
    struct rg_route route = route_to(SHOP_PORT, "shop");

    route.repeat = (uint8_t)repeat;
    configure(b, 2, &route, 1);
}

/* Requests of several flows remain unanswered while other upstreams respond:
 * those that are safe to retry are reset, so that their callers retry in
 * time. */
static void
test_dead_upstream(void)
{
    struct rg_balancer *b = create_balancer();

    set_retry_safety(b, RG_REPEAT_SAFE);
    struct flows f = open_flows(b);
    g_assert_cmpint(retransmit_all(b, &f, START_MS + 200), ==, 0);
    for (uint16_t port = 100; port < 110; port++) {
        answer_elsewhere(b, f.token, port, START_MS + 500);
    }
    g_assert_cmpint(retransmit_all(b, &f, START_MS + 600), ==, AFFECTED_FLOWS);
    rg_balancer_destroy(b);
}

/* Requests that are not safe to retry are never reset, even if their upstream
 * is dead. */
static void
test_dead_upstream_unsafe(void)
{
    struct rg_balancer *b = create_balancer();

    set_retry_safety(b, RG_REPEAT_UNSAFE);
    struct flows f = open_flows(b);
    retransmit_all(b, &f, START_MS + 200);
    for (uint16_t port = 100; port < 110; port++) {
        answer_elsewhere(b, f.token, port, START_MS + 500);
    }
    g_assert_cmpint(retransmit_all(b, &f, START_MS + 600), ==, 0);
    rg_balancer_destroy(b);
}

/* No upstream responds: the fault is probably in this instance, and nothing is
 * reset. */
static void
test_all_upstreams_silent(void)
{
    struct rg_balancer *b = create_balancer();

    set_retry_safety(b, RG_REPEAT_SAFE);
    struct flows f = open_flows(b);
    retransmit_all(b, &f, START_MS + 200);
    g_assert_cmpint(retransmit_all(b, &f, START_MS + 600), ==, 0);
    rg_balancer_destroy(b);
}

/* A slow upstream answers one of its flows meanwhile: nothing is reset. */
static void
test_slow_upstream(void)
{
    struct rg_balancer *b = create_balancer();
    set_retry_safety(b, RG_REPEAT_SAFE);
    struct flows f = open_flows(b);
    retransmit_all(b, &f, START_MS + 200);
    struct rg_segment s = segment(f.ports[0], SHOP_PORT);
    s.token = f.token;
    s.ack = 500;
    rg_balancer_packet(b, &s, START_MS + 400);
    for (uint16_t port = 100; port < 110; port++) {
        answer_elsewhere(b, f.token, port, START_MS + 500);
    }
    g_assert_cmpint(retransmit_all(b, &f, START_MS + 600), ==, 0);
    rg_balancer_destroy(b);
}

/* After the process was suspended, many retransmitted requests arrive at once:
 * the upstream must get time to answer them. */
static void
test_process_suspended(void)
{
    struct rg_balancer *b = create_balancer();

    set_retry_safety(b, RG_REPEAT_SAFE);
    struct flows f = open_flows(b);
    f.ticked_ms = START_MS + 5000; /* none meanwhile */
    for (uint16_t port = 100; port < 110; port++) {
        answer_elsewhere(b, f.token, port, START_MS + 5000);
    }
    g_assert_cmpint(retransmit_all(b, &f, START_MS + 5001), ==, 0);
    g_assert_cmpint(retransmit_all(b, &f, START_MS + 5050), ==, 0);
    rg_balancer_destroy(b);
}

/* A partial view opens flows and refuses none: a route or an upstream that it
 * lacks may exist. It may be used for a limited time. */
static void
test_partial_view(void)
{
    struct rg_balancer *b = create_empty_balancer();
    struct rg_segment s = segment(2000, SHOP_PORT);

    s.opening = true;
    rg_balancer_set_partial(b, START_MS);
    g_assert_false(rg_balancer_ready(b));
    configure_both(b, 1);
    update_entry(b, "u-1", "shop", false, 1);
    rg_balancer_set_partial(b, START_MS);
    g_assert_true(rg_balancer_ready(b));
    g_assert_false(rg_balancer_has_complete_view(b));
    g_assert_cmpint(rg_balancer_packet(b, &s, START_MS).kind, ==,
                    RG_DECISION_FORWARD);
    s = segment(2001, GALLERY_PORT);
    s.opening = true;
    g_assert_cmpint(rg_balancer_packet(b, &s, START_MS).kind, ==,
                    RG_DECISION_DROP);
    s = segment(2002, 9999);
    s.opening = true;
    g_assert_cmpint(rg_balancer_packet(b, &s, START_MS).kind, ==,
                    RG_DECISION_DROP);
    s = segment(2003, SHOP_PORT);
    s.token = 12345;
    g_assert_cmpint(rg_balancer_packet(b, &s, START_MS).kind, ==,
                    RG_DECISION_DROP);
    s = segment(2004, SHOP_PORT);
    s.opening = true;
    g_assert_cmpint(rg_balancer_packet(b, &s, START_MS + SAMPLE_MS + 1).kind,
                    ==, RG_DECISION_DROP);
    g_assert_false(rg_balancer_ready(b));
    rg_balancer_set_confirmed(b, START_MS + SAMPLE_MS);
    g_assert_true(rg_balancer_ready(b));
    rg_balancer_destroy(b);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balancer/flow-follows-token", test_flow_follows_token);
    g_test_add_func("/balancer/not-ready", test_not_ready);
    g_test_add_func("/balancer/retransmission-moves",
                    test_retransmission_moves);
    g_test_add_func("/balancer/no-route", test_no_route);
    g_test_add_func("/balancer/draining", test_draining);
    g_test_add_func("/balancer/unknown-token", test_unknown_token);
    g_test_add_func("/balancer/forged-token", test_forged_token);
    g_test_add_func("/balancer/new-version", test_new_version);
    g_test_add_func("/balancer/route-unknown", test_route_unknown);
    g_test_add_func("/balancer/split", test_split);
    g_test_add_func("/balancer/flow-table-full", test_flow_table_full);
    g_test_add_func("/balancer/removed-upstream", test_removed_upstream);
    g_test_add_func("/balancer/dead-upstream", test_dead_upstream);
    g_test_add_func("/balancer/dead-upstream-unsafe",
                    test_dead_upstream_unsafe);
    g_test_add_func("/balancer/all-upstreams-silent",
                    test_all_upstreams_silent);
    g_test_add_func("/balancer/slow-upstream", test_slow_upstream);
    g_test_add_func("/balancer/process-suspended", test_process_suspended);
    g_test_add_func("/balancer/partial-view", test_partial_view);
    return g_test_run();
}
