/* Flows that the fabric moves from one balancer to another while requests
 * wait: what the first one no longer sees must not count against the
 * upstreams. Two balancers in one program, without network. */
#include <glib.h>
#include <stdio.h>

#include "balance/balancer.h"
#include "balance/outlier.h"
#include "test/fake_homes.h"

#define SERVICE_IP 0xc6120001
#define SERVICE_PORT 443
#define CALLER_IP 0x64400007
#define START_MS 100000
#define IDLE_TIMEOUT_MS 5000
#define FLOW_AGE_MS 60000
#define RTT_MS 6
#define WORK_MS 20
#define DEADLINE_MS 1500
#define UPSTREAMS 8
#define MOVED_FLOWS (2 * UPSTREAMS)
#define ANSWER_BYTES 1000
#define BALANCERS 2
#define TRACKED_MAX 512

struct fleet {
    struct rg_balancer *balancers[BALANCERS];
    uint64_t now_ms;
    uint16_t next_port;
    uint32_t resets;
    uint32_t hung_token; /* of an upstream that answers nothing, 0: none */
    uint32_t hung;       /* requests sent there by serve_requests() */
    bool no_answers;     /* questions for flows are lost */
};

struct flow {
    struct rg_flow_id id;
    uint32_t token; /* of what its upstream sends once it is open */
};

static struct rg_name
name(const char *text)
{
    struct rg_name n;

    g_assert_true(rg_name_set(&n, rg_str_of(text)));
    return n;
}

static void
on_refuse(void *ctx, const struct rg_segment *last)
{
    struct fleet *f = ctx;

    (void)last;
    f->resets++;
}

static struct rg_balancer *
create_balancer(struct fleet *f, int index)
{
    uint64_t seed = (uint64_t)index + 5;
    struct rg_fleet fleet = {.instances = BALANCERS,
                             .local_instances = BALANCERS,
                             .share = 1.0 / BALANCERS,
                             .opening_tokens = true};
    struct rg_balancer_opts opts = {
        .data_centre = name("dc1"),
        .flow_age_ms = FLOW_AGE_MS,
        .stale_ms = 3000,
        .tracked_flows = TRACKED_MAX,
        .seed = seed,
        .id = fake_homes_id(index),
        .refuse = on_refuse,
        .ctx = f,
    };
    struct rg_route *route = calloc(1, sizeof(*route));
    struct rg_balancer *b = rg_balancer_create(&opts, f->now_ms);

    route->ip = SERVICE_IP;
    route->port = SERVICE_PORT;
    route->repeat = RG_REPEAT_SAFE;
    route->timeout_ms = DEADLINE_MS;
    route->share_count = 1;
    route->shares[0] =
        (struct rg_route_share){.service = name("shop"), .weight = 1};
    rg_balancer_set_routes(b, rg_routes_create(1, route, 1));
    rg_balancer_set_confirmed(b, f->now_ms);
    for (int i = 0; i < UPSTREAMS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "u-%d", i);
        struct rg_endpoint_info info = {
            .id = name(id),
            .wire_id = (uint64_t)i + 1,
            .boot_ms = 5,
            .service = name("shop"),
            .data_centre = name("dc1"),
            .slots = 2,
        };
        rg_addr_parse(&info.addr, "10.0.0.1:80");
        rg_pool_update(rg_balancer_pool(b), &info, 1, f->now_ms);
    }
    rg_balancer_set_fleet(b, &fleet);
    return b;
}

static struct fleet *
create_fleet(void)
{
    struct fleet *f = g_new0(struct fleet, 1);

    f->now_ms = START_MS;
    for (int i = 0; i < BALANCERS; i++) {
        f->balancers[i] = create_balancer(f, i);
    }
    return f;
}

static void
destroy_fleet(struct fleet *f)
{
    for (int i = 0; i < BALANCERS; i++) {
        rg_balancer_destroy(f->balancers[i]);
    }
    g_free(f);
}

/* What a digest carries from one balancer to the other. */
static void
send_digest(struct fleet *f, int from)
{
    struct rg_outcome_row rows[12];
    struct rg_balancer *to = f->balancers[1 - from];
    size_t count = rg_balancer_next_outcomes(f->balancers[from], rows,
                                             G_N_ELEMENTS(rows));
    uint64_t moved_ms = rg_balancer_take_flows_moved(f->balancers[from]);

    for (size_t i = 0; i < count; i++) {
        rg_balancer_add_reported_outcomes(to, &rows[i], f->now_ms);
    }
    if (moved_ms != 0) {
        rg_balancer_add_reported_move(to, moved_ms, f->now_ms);
    }
}

static bool
message_arrives(void *ctx, int from, int to)
{
    const struct fleet *f = ctx;

    (void)from;
    (void)to;
    return !f->no_answers;
}

/* Questions of one balancer for flows, and the answers of the other. */
static void
ask_peer(struct fleet *f, int from)
{
    struct fake_homes homes = {.balancers = f->balancers,
                               .count = BALANCERS,
                               .arrives = message_arrives,
                               .ctx = f};

    fake_homes_exchange(&homes, from, f->now_ms);
}

static void
run(struct fleet *f, uint32_t ms)
{
    for (uint32_t n = 0; n < ms; n++) {
        f->now_ms++;
        for (int i = 0; f->now_ms % RG_BALANCER_TICK_MS == 0 && i < BALANCERS;
             i++) {
            rg_balancer_set_confirmed(f->balancers[i], f->now_ms);
            rg_balancer_tick(f->balancers[i], f->now_ms);
            send_digest(f, i);
            ask_peer(f, i);
        }
    }
}

static struct rg_decision
send_packet(struct fleet *f, int to, const struct flow *flow,
            struct rg_segment s)
{
    s.flow = flow->id;
    s.token = flow->token;
    return rg_balancer_packet(f->balancers[to], &s, f->now_ms);
}

static struct flow
new_flow(struct fleet *f)
{
    return (struct flow){.id = {.caller_ip = CALLER_IP,
                                .service_ip = SERVICE_IP,
                                .caller_port = ++f->next_port,
                                .service_port = SERVICE_PORT}};
}

static void
send_data(struct fleet *f, int to, const struct flow *flow)
{
    send_packet(f, to, flow,
                (struct rg_segment){.seq = 1, .ack = 1, .len = 100});
}

static struct flow
send_opening(struct fleet *f, int to)
{
    struct flow flow = new_flow(f);

    flow.token =
        send_packet(f, to, &flow, (struct rg_segment){.opening = true})
            .endpoint->token;
    return flow;
}

/* Two requests to each upstream, all through the first balancer; returns when
 * they have been processed. */
static void
send_together(struct fleet *f, struct flow flows[MOVED_FLOWS])
{
    for (int i = 0; i < MOVED_FLOWS; i++) {
        flows[i] = send_opening(f, 0);
    }
    run(f, RTT_MS);
    for (int i = 0; i < MOVED_FLOWS; i++) {
        send_data(f, 0, &flows[i]);
    }
    run(f, WORK_MS + RTT_MS);
}

static struct flow
send_request(struct fleet *f, int to)
{
    struct flow flow = send_opening(f, to);

    run(f, RTT_MS);
    send_data(f, to, &flow);
    return flow;
}

/* The caller acknowledges the answer, and closes with its next packet. */
static void
acknowledge(struct fleet *f, int to, const struct flow *flow)
{
    struct rg_segment s = {.seq = 101, .ack = 1 + ANSWER_BYTES};

    send_packet(f, to, flow, s);
    s.fin = true;
    send_packet(f, to, flow, s);
}

static void
serve_request(struct fleet *f, int to, const struct flow *flow)
{
    if (flow->token == f->hung_token) {
        f->hung++;
    }
    else {
        acknowledge(f, to, flow);
    }
}

static void
serve_requests(struct fleet *f, int count)
{
    for (int i = 0; i < count; i++) {
        struct flow a = send_request(f, 0);
        struct flow b = send_request(f, 1);
        run(f, WORK_MS);
        serve_request(f, 0, &a);
        serve_request(f, 1, &b);
    }
}

/* Serves requests until both balancers have run longer than the idle
 * timeout. */
static struct fleet *
create_busy_fleet(void)
{
    struct fleet *f = create_fleet();

    while (f->now_ms <= START_MS + IDLE_TIMEOUT_MS) {
        serve_requests(f, 1);
    }
    g_assert_cmpuint(rg_balancer_take_flows_moved(f->balancers[0]), ==, 0);
    g_assert_cmpuint(rg_balancer_take_flows_moved(f->balancers[1]), ==, 0);
    return f;
}

static uint32_t
suspect_count(const struct fleet *f, int at)
{
    size_t count;
    struct rg_endpoint *const *endpoints =
        rg_pool_endpoints(rg_balancer_pool(f->balancers[at]), 0, &count);
    uint32_t suspects = 0;

    for (size_t i = 0; i < count; i++) {
        suspects += rg_endpoint_is_suspect(endpoints[i], f->now_ms);
    }
    return suspects;
}

/* Guards against failures, outliers and resets at sound upstreams: requests
 * pass the first balancer, and the fabric moves their flows to the second,
 * which alone sees their answers acknowledged. */
static void
test_acknowledged_elsewhere(void)
{
    struct fleet *f = create_busy_fleet();
    struct flow flows[MOVED_FLOWS];

    send_together(f, flows);
    for (int i = 0; i < MOVED_FLOWS; i++) {
        acknowledge(f, 1, &flows[i]);
    }
    for (int i = 0; i < 60; i++) {
        serve_requests(f, 1);
        g_assert_cmpuint(suspect_count(f, 0), ==, 0);
    }
    g_assert_cmpuint(f->resets, ==, 0);
    destroy_fleet(f);
}

/* Guards against hung requests that are no longer reset: flows move, but two
 * at one upstream stay, as their retransmitted requests show, and hang. */
static void
test_retransmitted_here(void)
{
    struct fleet *f = create_busy_fleet();
    struct flow flows[MOVED_FLOWS];
    uint32_t hanging = 0;

    send_together(f, flows);
    f->hung_token = flows[0].token;
    for (int i = 0; i < MOVED_FLOWS; i++) {
        if (flows[i].token != flows[0].token) {
            acknowledge(f, 1, &flows[i]);
        }
    }
    serve_requests(f, 4);
    for (int i = 0; i < MOVED_FLOWS; i++) {
        if (flows[i].token == flows[0].token) {
            send_data(f, 0, &flows[i]);
            hanging++;
        }
    }
    serve_requests(f, 25);
    g_assert_cmpuint(hanging, >=, 2);
    g_assert_cmpuint(f->resets, ==, hanging + f->hung);
    destroy_fleet(f);
}

/* Guards against resets of single flows that have moved (review-12): they are
 * too few to be evidence, and their answers were acknowledged at the other
 * balancer. If that one does not answer, they look like hung requests, which
 * is no reason to reset them. */
static void
test_two_flows_moved(void)
{
    for (int asked = 0; asked < 2; asked++) {
        struct fleet *f = create_busy_fleet();
        struct flow flows[MOVED_FLOWS];
        uint32_t moved = 0;

        f->no_answers = !asked;
        send_together(f, flows);
        for (int i = 0; i < MOVED_FLOWS; i++) {
            bool moves = flows[i].token == flows[0].token;
            acknowledge(f, moves ? 1 : 0, &flows[i]);
            moved += moves;
        }
        g_assert_cmpuint(moved, ==, 2);
        run(f, DEADLINE_MS / 4);
        serve_requests(f, 25);
        g_assert_cmpuint(f->resets, ==, 0);
        destroy_fleet(f);
    }
}

/* Guards against resets by an instance that is about to stop (review-11): it
 * gets no more packets of its flows, so that all their requests seem to hang.
 */
static void
test_no_reset_while_leaving(void)
{
    for (int leaving = 0; leaving < 2; leaving++) {
        struct fleet *f = create_busy_fleet();
        struct flow flows[MOVED_FLOWS];

        send_together(f, flows);
        for (int i = 0; i < MOVED_FLOWS; i++) {
            if (flows[i].token != flows[0].token) {
                acknowledge(f, 0, &flows[i]);
            }
        }
        if (leaving) {
            rg_balancer_set_leaving(f->balancers[0]);
        }
        run(f, DEADLINE_MS / 4);
        serve_requests(f, 25);
        g_assert_cmpuint(f->resets, ==, (leaving ? 0 : 2));
        destroy_fleet(f);
    }
}

/* Packets of flows that are not tracked: acknowledgements, after `first` or by
 * themselves, one every `interval_ms`. Returns whether they count as moved. */
static bool
sends_evidence(struct fleet *f, int count, uint32_t interval_ms,
               const struct rg_segment *first)
{
    struct flow open = send_request(f, 0);

    acknowledge(f, 0, &open);
    for (int i = 0; i < count; i++) {
        struct flow flow = new_flow(f);
        flow.token = open.token;
        if (first) {
            send_packet(f, 1, &flow, *first);
        }
        send_packet(f, 1, &flow, (struct rg_segment){.seq = 101, .ack = 900});
        run(f, interval_ms);
    }
    return rg_balancer_take_flows_moved(f->balancers[1]) != 0;
}

/* Guards against ordinary traffic that counts as moved flows, which would stop
 * the resets of hung requests for good. */
static void
test_no_evidence(void)
{
    static const struct rg_segment data = {.seq = 1, .ack = 1, .len = 100};
    static const struct rg_segment end = {.seq = 1, .ack = 1, .fin = true};
    struct fleet *f = create_fleet();

    /* Flows older than the process, begun again. */
    g_assert_false(sends_evidence(f, 10, 10, &data));
    destroy_fleet(f);

    f = create_busy_fleet();
    /* Flows that were idle begin again, or end. */
    g_assert_false(sends_evidence(f, 50, 10, &data));
    g_assert_false(sends_evidence(f, 50, 10, &end));
    /* Single flows. */
    g_assert_false(sends_evidence(f, 2, 10, NULL));
    run(f, 1000);
    g_assert_false(sends_evidence(f, 10, 300, NULL));
    /* The same flow again and again. */
    f->next_port = 30000;
    struct flow open = send_request(f, 0);
    for (int i = 0; i < 10; i++) {
        struct flow flow = new_flow(f);
        f->next_port--;
        flow.token = open.token;
        send_packet(f, 1, &flow,
                    (struct rg_segment){.seq = 101, .ack = 900 + (uint32_t)i});
    }
    g_assert_cmpuint(rg_balancer_take_flows_moved(f->balancers[1]), ==, 0);
    /* Entries expired while the process was suspended. */
    rg_balancer_paused(f->balancers[1], f->now_ms);
    g_assert_false(sends_evidence(f, 10, 10, NULL));
    run(f, IDLE_TIMEOUT_MS);
    /* The table was full. */
    for (int i = 0; i <= TRACKED_MAX; i++) {
        struct flow flow = new_flow(f);
        send_packet(f, 1, &flow, (struct rg_segment){.opening = true});
    }
    run(f, IDLE_TIMEOUT_MS);
    g_assert_false(sends_evidence(f, 10, 10, NULL));
    run(f, FLOW_AGE_MS);
    g_assert_true(sends_evidence(f, 10, 10, NULL));
    destroy_fleet(f);
}

/* Guards against flows that move to an instance that has just started being
 * taken for hanging requests: a start is what moves flows most often. */
static void
test_new_instance(void)
{
    struct fleet *f = create_fleet();

    g_assert_true(sends_evidence(f, 10, 10, NULL));
    destroy_fleet(f);
}

/* Guards against news of a move that are sent too late or without end. */
static void
test_sent_at_once(void)
{
    struct fleet *f = create_busy_fleet();
    struct flow open = send_request(f, 0);
    struct rg_balancer *b = f->balancers[1];

    for (int i = 0; i < 3; i++) {
        struct flow flow = new_flow(f);
        flow.token = open.token;
        g_assert_false(rg_balancer_has_unsent_move(b));
        send_packet(f, 1, &flow, (struct rg_segment){.seq = 101, .ack = 900});
    }
    g_assert_true(rg_balancer_has_unsent_move(b));
    g_assert_cmpuint(rg_balancer_take_flows_moved(b), ==, f->now_ms);
    g_assert_false(rg_balancer_has_unsent_move(b));
    destroy_fleet(f);
}

/* Guards against a reset of a request whose flow moved after its peer was
 * asked at an interval (soak, seed 81101): it is asked again before the reset.
 */
static void
test_moved_before_reset(void)
{
    struct fleet *f = create_busy_fleet();
    struct flow flow = send_request(f, 0);
    uint64_t sent_ms = f->now_ms;
    struct rg_outcome_row row = {
        .token = flow.token,
        .source = 9,
        .serial = 1,
        .counts = {[RG_OUTCOME_FAILED] = 4},
        .last_ms = sent_ms + 50,
        .failed_ms = sent_ms + 50,
    };

    f->hung_token = flow.token;
    run(f, 50);
    rg_balancer_add_reported_outcomes(f->balancers[0], &row, f->now_ms);
    while (f->now_ms < sent_ms + DEADLINE_MS * 2 / 5 - 150) {
        serve_requests(f, 1);
    }
    /* A later request of the flow, which has been answered. */
    send_packet(
        f, 1, &flow,
        (struct rg_segment){.seq = 101, .ack = 1 + ANSWER_BYTES, .len = 100});
    while (f->now_ms < sent_ms + DEADLINE_MS * 4 / 5) {
        serve_requests(f, 1);
    }
    g_assert_cmpuint(f->resets, ==, 0);
    destroy_fleet(f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/moved-flows/acknowledged-elsewhere",
                    test_acknowledged_elsewhere);
    g_test_add_func("/moved-flows/no-reset-while-leaving",
                    test_no_reset_while_leaving);
    g_test_add_func("/moved-flows/two-flows-moved", test_two_flows_moved);
    g_test_add_func("/moved-flows/retransmitted-here",
                    test_retransmitted_here);
    g_test_add_func("/moved-flows/no-evidence", test_no_evidence);
    g_test_add_func("/moved-flows/moved-before-reset",
                    test_moved_before_reset);
    g_test_add_func("/moved-flows/new-instance", test_new_instance);
    g_test_add_func("/moved-flows/sent-at-once", test_sent_at_once);
    return g_test_run();
}
