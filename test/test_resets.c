/* Guards against resets at upstreams that are sound: on evidence that is out
 * of date, on the answers of a route that says little about its upstreams, and
 * of flows that this instance knows only in part. One balancer, no network. */
#include <glib.h>
#include <stdio.h>

#include "balance/balancer.h"
#include "balance/outlier.h"
#include "balance/priv.h"
#include "balance/token.h"
#include "test/captured_log.h"

#define SERVICE_IP 0xc6120001
#define MAIN_PORT 443
#define QUIET_PORT 444
#define UNSAFE_PORT 445 /* its requests do not probe outliers */
#define CALLER_IP 0x64400007
#define START_MS 100000
#define RTT_MS 6
#define UPSTREAMS 8
#define ANSWER_BYTES 1000
#define OPENING_SEQ 1000

struct fixture {
    struct rg_balancer *balancer;
    struct captured_log log;
    uint64_t now_ms;
    uint16_t next_port;
    uint32_t resets;
};

struct flow {
    struct rg_flow_id id;
    uint32_t token;
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
    struct fixture *f = ctx;

    (void)last;
    f->resets++;
}

static struct rg_route
route_to(uint16_t port, uint32_t timeout_ms)
{
    struct rg_route r = {.ip = SERVICE_IP,
                         .port = port,
                         .repeat = RG_REPEAT_SAFE,
                         .timeout_ms = timeout_ms,
                         .share_count = 1};

    r.shares[0] =
        (struct rg_route_share){.service = name("shop"), .weight = 1};
    return r;
}

static struct fixture *
create_fixture(uint32_t main_timeout_ms, uint32_t quiet_timeout_ms)
{
    struct fixture *f = g_new0(struct fixture, 1);
    struct rg_route *routes = calloc(3, sizeof(*routes));
    struct rg_balancer_opts opts = {
        .data_centre = name("dc1"),
        .flow_age_ms = 60000,
        .stale_ms = 3000,
        .tracked_flows = 4096,
        .seed = 5,
        .refuse = on_refuse,
        .ctx = f,
    };

    f->log = captured_log_make(100000);
    f->now_ms = START_MS;
    opts.log = &f->log.log;
    routes[0] = route_to(MAIN_PORT, main_timeout_ms);
    routes[1] = route_to(QUIET_PORT, quiet_timeout_ms);
    routes[2] = route_to(UNSAFE_PORT, main_timeout_ms);
    routes[2].repeat = RG_REPEAT_UNSAFE;
    f->balancer = rg_balancer_create(&opts, START_MS);
    rg_balancer_set_routes(f->balancer, rg_routes_create(1, routes, 3));
    rg_balancer_set_confirmed(f->balancer, START_MS);
    for (int i = 0; i < UPSTREAMS; i++) {
        g_autofree char *id = g_strdup_printf("u-%d", i);
        struct rg_endpoint_info r = {
            .id = name(id),
            .wire_id = (uint64_t)i + 1,
            .boot_ms = 5,
            .service = name("shop"),
            .data_centre = name("dc1"),
            .slots = 2,
        };
        rg_addr_parse(&r.addr, "10.0.0.1:80");
        rg_pool_update(rg_balancer_pool(f->balancer), &r, 1, START_MS);
    }
    return f;
}

static void
destroy_fixture(struct fixture *f)
{
    rg_balancer_destroy(f->balancer);
    captured_log_done(&f->log);
    g_free(f);
}

static void
run(struct fixture *f, uint32_t ms)
{
    uint64_t end = f->now_ms + ms;

    while (f->now_ms < end) {
        f->now_ms++;
        if (f->now_ms % RG_BALANCER_TICK_MS == 0) {
            rg_balancer_set_confirmed(f->balancer, f->now_ms);
            rg_balancer_tick(f->balancer, f->now_ms);
        }
    }
}

/* A reset instead of forwarding counts, too. */
static struct rg_decision
send_packet(struct fixture *f, const struct flow *flow, struct rg_segment s)
{
    s.flow = flow->id;
    struct rg_decision d = rg_balancer_packet(f->balancer, &s, f->now_ms);
    f->resets += d.kind == RG_DECISION_REFUSE;
    return d;
}

static struct flow
new_flow(struct fixture *f, uint16_t port)
{
    return (struct flow){.id = {.caller_ip = CALLER_IP,
                                .service_ip = SERVICE_IP,
                                .caller_port = ++f->next_port,
                                .service_port = port}};
}

static void
send_data(struct fixture *f, const struct flow *flow)
{
    send_packet(f, flow,
                (struct rg_segment){.token = flow->token,
                                    .seq = OPENING_SEQ + 1,
                                    .ack = 1,
                                    .len = 100});
}

/* Opens a flow; its caller has acknowledged the answer. */
static struct flow
open_flow(struct fixture *f, uint16_t port)
{
    struct flow flow = new_flow(f, port);
    struct rg_decision d = send_packet(
        f, &flow, (struct rg_segment){.opening = true, .seq = OPENING_SEQ});

    g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
    flow.token = d.endpoint->token;
    run(f, RTT_MS);
    send_packet(f, &flow,
                (struct rg_segment){
                    .token = flow.token, .seq = OPENING_SEQ + 1, .ack = 1});
    return flow;
}

static struct flow
send_request(struct fixture *f, uint16_t port)
{
    struct flow flow = open_flow(f, port);

    send_data(f, &flow);
    return flow;
}

static void
send_answer(struct fixture *f, const struct flow *flow)
{
    send_packet(f, flow,
                (struct rg_segment){.token = flow->token,
                                    .seq = OPENING_SEQ + 101,
                                    .ack = 1 + ANSWER_BYTES,
                                    .fin = true});
}

static void
serve(struct fixture *f, uint16_t port, int count, uint32_t work_ms)
{
    for (int i = 0; i < count; i++) {
        struct flow flow = send_request(f, port);
        run(f, work_ms);
        send_answer(f, &flow);
    }
}

/* A peer reports failures at the upstream of this flow. */
static void
report_failures(struct fixture *f, const struct flow *flow, uint32_t source,
                uint32_t failed)
{
    struct rg_outcome_row row = {
        .token = flow->token,
        .source = source,
        .serial = (uint32_t)f->now_ms,
        .counts = {[RG_OUTCOME_FAILED] = failed},
        .last_ms = f->now_ms,
        .failed_ms = f->now_ms,
    };

    rg_balancer_add_reported_outcomes(f->balancer, &row, f->now_ms);
}

/* A route with a deadline of 8 s whose answers take 5 ms. Its request was
 * reset after 3.2 s at an upstream whose fault had ended more than 5 s before.
 * On recent evidence it is reset, but does not wait for a share of its
 * deadline first. */
static void
test_long_deadline(void)
{
    for (int recent = 0; recent < 2; recent++) {
        struct fixture *f = create_fixture(8000, 8000);
        serve(f, MAIN_PORT, 60, 5);
        struct flow flow = open_flow(f, MAIN_PORT);
        report_failures(f, &flow, 1, 2);
        report_failures(f, &flow, 2, 2);
        serve(f, UNSAFE_PORT, recent ? 20 : 280, 5);
        send_data(f, &flow);
        uint64_t sent_ms = f->now_ms;
        uint64_t reset_ms = 0;
        while (f->now_ms < sent_ms + 3900) {
            serve(f, UNSAFE_PORT, 1, 5);
            if (f->resets > 0 && reset_ms == 0) {
                reset_ms = f->now_ms - sent_ms;
            }
        }
        g_assert_cmpuint(f->resets, ==, recent);
        g_assert_cmpuint(reset_ms, <, 2000);
        destroy_fixture(f);
    }
}

/* A peer reports an answer at the upstream of this flow. */
static void
report_answer(struct fixture *f, const struct flow *flow, uint32_t source)
{
    struct rg_outcome_row row = {
        .token = flow->token,
        .source = source,
        .serial = (uint32_t)f->now_ms,
        .counts = {[RG_OUTCOME_ANSWERED] = 1},
        .last_ms = f->now_ms,
        .answered_ms = f->now_ms,
    };

    rg_balancer_add_reported_outcomes(f->balancer, &row, f->now_ms);
}

/* Requests fail at an upstream for 5 s, as peers report, before the last of
 * them is sent here. Returns the number of resets. */
static uint32_t
resets_after_failures(uint32_t timeout_ms, bool answers_meanwhile)
{
    struct fixture *f = create_fixture(timeout_ms, timeout_ms);

    serve(f, MAIN_PORT, 60, 5);
    struct flow flow = open_flow(f, MAIN_PORT);
    for (int i = 0; i < 5; i++) {
        if (i == 4 && answers_meanwhile) {
            report_answer(f, &flow, 3);
        }
        report_failures(f, &flow, 1, 2);
        report_failures(f, &flow, 2, 2);
        serve(f, UNSAFE_PORT, 88, 5); /* about a second */
    }
    send_data(f, &flow);
    uint64_t sent_ms = f->now_ms;
    while (f->now_ms < sent_ms + 1900) {
        serve(f, UNSAFE_PORT, 10, 5);
        report_failures(f, &flow, 1, 2);
    }
    uint32_t resets = f->resets;
    destroy_fixture(f);
    return resets;
}

/* Guards against resets behind requests of a fault that has ended (review/10):
 * they keep the slots of their upstream for their deadline, and later ones
 * that wait show nothing new. Where deadlines are short, or the upstream has
 * answered since, a later failure is that of a fault that goes on. */
static void
test_slots_held(void)
{
    g_assert_cmpuint(resets_after_failures(8000, false), ==, 0);
    g_assert_cmpuint(resets_after_failures(8000, true), ==, 1);
    g_assert_cmpuint(resets_after_failures(1500, false), ==, 1);
}

/* A quiet route whose few answers took 1 to 2 ms shares its upstreams with one
 * of 47 ms, at times seven times as long. Its requests, which wait for those,
 * were reset after 405 to 520 ms at an outlier that was sound. */
static void
test_quiet_route(void)
{
    struct fixture *f = create_fixture(4000, 1000);

    for (int i = 0; i < 12; i++) {
        serve(f, MAIN_PORT, 9, 47);
        serve(f, MAIN_PORT, 1, 329);
        serve(f, QUIET_PORT, 1, 1 + (uint32_t)i % 2);
    }
    struct flow flow = send_request(f, QUIET_PORT);
    uint64_t sent_ms = f->now_ms;
    report_failures(f, &flow, 1, 2);
    report_failures(f, &flow, 2, 2);
    g_assert_true(rg_endpoint_is_outlier(
        rg_pool_by_token(rg_balancer_pool(f->balancer), flow.token)));
    while (f->now_ms < sent_ms + 900) {
        serve(f, MAIN_PORT, 1, 47);
        g_assert_cmpuint(f->resets, ==, 0);
    }
    send_answer(f, &flow);
    destroy_fixture(f);
}

/* A request whose copy was the first that came here was reset for its wait
 * (soak, seed 4). Its first copy was sent by way of another instance, to which
 * the flow went back, and whose answers to questions were lost. */
static void
test_adopted_request(void)
{
    struct fixture *f = create_fixture(1500, 1500);

    serve(f, MAIN_PORT, 60, 20);
    struct flow known = send_request(f, MAIN_PORT);
    struct flow flow = new_flow(f, MAIN_PORT);
    run(f, 20);
    send_answer(f, &known);
    run(f, 1);
    flow.token = rg_token_of_opening(known.token, OPENING_SEQ);
    send_data(f, &flow);
    flow.token = known.token;
    uint64_t sent_ms = f->now_ms;
    report_failures(f, &flow, 1, 2);
    report_failures(f, &flow, 2, 2);
    while (f->now_ms < sent_ms + 1400) {
        if (f->now_ms < sent_ms + 500) {
            report_failures(f, &flow, 1, 2);
        }
        serve(f, UNSAFE_PORT, 1, 20);
    }
    g_assert_cmpuint(f->resets, ==, 0);
    destroy_fixture(f);
}

/* Sends the flow's next request, or a copy of it. */
static struct rg_decision
send_next(struct fixture *f, const struct flow *flow, uint32_t request)
{
    return send_packet(
        f, flow,
        (struct rg_segment){.token = flow->token,
                            .seq = OPENING_SEQ + 1 + 100 * request,
                            .ack = 1 + ANSWER_BYTES * request,
                            .len = 100});
}

/* Opens a flow whose first request is answered, at the upstream of `other` if
 * that is not NULL. */
static struct flow
open_kept_flow(struct fixture *f, uint16_t port, const struct flow *other)
{
    for (int i = 0; i < 1000; i++) {
        struct flow flow = send_request(f, port);
        run(f, 20);
        if (!other || flow.token == other->token) {
            send_packet(f, &flow,
                        (struct rg_segment){.token = flow.token,
                                            .seq = OPENING_SEQ + 101,
                                            .ack = 1 + ANSWER_BYTES});
            return flow;
        }
        send_answer(f, &flow);
    }
    g_assert_not_reached();
}

/* Serves requests elsewhere until `ms` after `from_ms`. */
static void
serve_until(struct fixture *f, const struct flow *gone, uint64_t from_ms,
            uint32_t ms)
{
    while (f->now_ms < from_ms + ms) {
        struct flow flow = send_request(f, UNSAFE_PORT);
        run(f, 5);
        if (flow.token != gone->token) {
            send_answer(f, &flow);
        }
    }
}

/* An upstream is gone. Its flows' requests were never reset, as the next
 * request of a further flow there recorded the answer to the one before, with
 * the time of that request. */
static void
test_answer_before_next_request(void)
{
    struct fixture *f = create_fixture(1500, 1500);

    serve(f, MAIN_PORT, 60, 20);
    struct flow a = open_kept_flow(f, MAIN_PORT, NULL);
    struct flow b = open_kept_flow(f, MAIN_PORT, &a);
    struct flow other = open_kept_flow(f, UNSAFE_PORT, &a);
    run(f, 300);
    uint64_t sent_ms = f->now_ms;
    send_next(f, &a, 1);
    send_next(f, &b, 1);
    serve_until(f, &a, sent_ms, 100);
    send_next(f, &other, 1);
    serve_until(f, &a, sent_ms, 200);
    send_next(f, &a, 1);
    send_next(f, &b, 1);
    serve_until(f, &a, sent_ms, 600);
    send_next(f, &a, 1);
    send_next(f, &b, 1);
    serve_until(f, &a, sent_ms, 800);
    g_assert_cmpuint(f->resets, ==, 2);
    destroy_fixture(f);
}

/* Guards against requests on flows that paused for longer than an idle entry
 * is kept: they were not tracked, and waited for their deadline at an upstream
 * that was gone. Those that must not run twice are left alone, and with peers
 * that know no tokens of openings the token proves nothing. */
static void
test_resumed_flows(void)
{
    enum {
        SAFE,
        UNSAFE,
        OLDER_PEERS,
        CASES
    };

    for (int i = 0; i < CASES; i++) {
        struct fixture *f = create_fixture(1500, 1500);
        uint16_t port = i == UNSAFE ? UNSAFE_PORT : MAIN_PORT;
        serve(f, MAIN_PORT, 60, 20);
        struct flow a = open_kept_flow(f, port, NULL);
        struct flow b = open_kept_flow(f, port, &a);
        run(f, 6000);
        g_assert_cmpuint(rg_balancer_tracked_count(f->balancer), ==, 0);
        struct rg_fleet fleet = {.instances = 1,
                                 .local_instances = 1,
                                 .share = 1,
                                 .opening_tokens = i != OLDER_PEERS};
        rg_balancer_set_fleet(f->balancer, &fleet);
        uint64_t sent_ms = f->now_ms;
        static const uint32_t sends_ms[] = {0, 200, 600};
        for (size_t n = 0; n < G_N_ELEMENTS(sends_ms); n++) {
            serve_until(f, &a, sent_ms, sends_ms[n]);
            send_next(f, &a, 1);
            send_next(f, &b, 1);
        }
        serve_until(f, &a, sent_ms, 800);
        g_assert_cmpuint(f->resets, ==, i == SAFE ? 2 : 0);
        destroy_fixture(f);
    }
}

/* Guards against a late copy of the opening that is taken for a new flow at an
 * instance which tracks the flow only from later data on. */
static void
test_late_copy_of_resumed_flow(void)
{
    struct fixture *f = create_fixture(1500, 1500);

    struct flow flow = open_kept_flow(f, MAIN_PORT, NULL);
    run(f, 6000);
    /* It is tracked for longer than an untracked packet is remembered. */
    for (uint32_t request = 1; request < 4; request++) {
        send_next(f, &flow, request);
        run(f, 2500);
    }
    struct rg_decision d = send_packet(
        f, &flow,
        (struct rg_segment){.opening = true, .seq = OPENING_SEQ, .ack = 1});
    g_assert_cmpint(d.kind, ==, RG_DECISION_DROP);
    /* Its request is still known. */
    send_packet(f, &flow,
                (struct rg_segment){.token = flow.token,
                                    .seq = OPENING_SEQ + 401,
                                    .ack = 1 + 4 * ANSWER_BYTES});
    g_assert_cmpuint(rg_balancer_tracked_count(f->balancer), ==, 1);
    g_assert_cmpuint(captured_log_count(&f->log, "UNANSWERED"), ==, 0);
    destroy_fixture(f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/resets/long-deadline", test_long_deadline);
    g_test_add_func("/resets/slots-held", test_slots_held);
    g_test_add_func("/resets/quiet-route", test_quiet_route);
    g_test_add_func("/resets/adopted-request", test_adopted_request);
    g_test_add_func("/resets/answer-before-next-request",
                    test_answer_before_next_request);
    g_test_add_func("/resets/resumed-flows", test_resumed_flows);
    g_test_add_func("/resets/late-copy-of-resumed-flow",
                    test_late_copy_of_resumed_flow);
    return g_test_run();
}
