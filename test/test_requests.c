/* Requests waiting for an answer: which ones are reset, which ones are not,
 * and what is logged about them. */
#include <glib.h>
#include <stdio.h>

#include "balance/balancer.h"
#include "balance/outlier.h"
#include "balance/priv.h"
#include "test/captured_log.h"

#define SERVICE_IP 0xc6120001
#define SAFE_PORT 443
#define UNSAFE_PORT 8443
#define CALLER_IP 0x64400007
#define START_MS 100000
#define RTT_MS 6
#define WORK_MS 20
#define SLOW_WORK_MS 140
#define DEADLINE_MS 1500
#define UPSTREAMS 8
#define ANSWER_BYTES 1000

struct fixture {
    struct rg_balancer *balancer;
    struct captured_log log;
    uint64_t now_ms;
    uint16_t next_port;
    uint32_t resets;
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

static struct rg_route
route_to(uint16_t port, enum rg_repeat repeat)
{
    struct rg_route r = {.ip = SERVICE_IP,
                         .port = port,
                         .repeat = (uint8_t)repeat,
                         .timeout_ms = DEADLINE_MS,
                         .share_count = 1};

    r.shares[0] =
        (struct rg_route_share){.service = name("shop"), .weight = 1};
    return r;
}

static void
on_refuse(void *ctx, const struct rg_segment *last)
{
    struct fixture *f = ctx;

    (void)last;
    f->resets++;
}

static void
add_upstreams(struct fixture *f)
{
    for (int i = 0; i < UPSTREAMS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "u-%d", i);
        struct rg_endpoint_info r = {
            .id = name(id),
            .wire_id = (uint64_t)i + 1,
            .boot_ms = 5,
            .service = name("shop"),
            .data_centre = name("dc1"),
            .slots = 2,
        };
        rg_addr_parse(&r.addr, "10.0.0.1:80");
        rg_pool_update(rg_balancer_pool(f->balancer), &r, 1, f->now_ms);
    }
}

static struct fixture *
create_fixture(void)
{
    struct fixture *f = g_new0(struct fixture, 1);
    struct rg_route *routes = calloc(2, sizeof(*routes));

    f->log = captured_log_make(100000);
    f->now_ms = START_MS;
    struct rg_balancer_opts opts = {
        .data_centre = name("dc1"),
        .flow_age_ms = 60000,
        .stale_ms = 3000,
        .tracked_flows = 4096,
        .seed = 5,
        .log = &f->log.log,
        .refuse = on_refuse,
        .ctx = f,
    };
    routes[0] = route_to(SAFE_PORT, RG_REPEAT_SAFE);
    routes[1] = route_to(UNSAFE_PORT, RG_REPEAT_UNSAFE);
    f->balancer = rg_balancer_create(&opts, START_MS);
    rg_balancer_set_routes(f->balancer, rg_routes_create(1, routes, 2));
    rg_balancer_set_confirmed(f->balancer, START_MS);
    add_upstreams(f);
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

static struct rg_decision
send_packet(struct fixture *f, const struct flow *flow, struct rg_segment s)
{
    s.flow = flow->id;
    return rg_balancer_packet(f->balancer, &s, f->now_ms);
}

/* Opens a flow and sends its request. */
static struct flow
send_request(struct fixture *f, uint16_t port)
{
    struct flow flow = {.id = {.caller_ip = CALLER_IP,
                               .service_ip = SERVICE_IP,
                               .caller_port = ++f->next_port,
                               .service_port = port}};
    struct rg_decision d =
        send_packet(f, &flow, (struct rg_segment){.opening = true});

    g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
    flow.token = d.endpoint->token;
    run(f, RTT_MS);
    send_packet(f, &flow,
                (struct rg_segment){
                    .token = flow.token, .seq = 1, .ack = 1, .len = 100});
    return flow;
}

static void
send_answer(struct fixture *f, const struct flow *flow)
{
    send_packet(f, flow,
                (struct rg_segment){.token = flow->token,
                                    .seq = 101,
                                    .ack = 1 + ANSWER_BYTES,
                                    .fin = true});
}

static struct rg_endpoint *
endpoint_of(struct fixture *f, const struct flow *flow)
{
    return rg_pool_by_token(rg_balancer_pool(f->balancer), flow->token);
}

/* Serves ordinary requests, so that the medians are known and upstreams
 * respond regularly. */
static void
serve_requests_in(struct fixture *f, int count, uint32_t work_ms)
{
    for (int i = 0; i < count; i++) {
        struct flow flow = send_request(f, i % 4 ? SAFE_PORT : UNSAFE_PORT);
        run(f, work_ms);
        send_answer(f, &flow);
    }
}

static void
serve_requests(struct fixture *f, int count)
{
    serve_requests_in(f, count, WORK_MS);
}

/* A peer reports failures at the upstream of this flow. */
static void
report_failures(struct fixture *f, const struct flow *flow, uint32_t source,
                uint32_t failed, uint32_t late)
{
    struct rg_outcome_row row = {
        .token = flow->token,
        .source = source,
        .serial = 1,
        .counts = {[RG_OUTCOME_FAILED] = failed, [RG_OUTCOME_LATE] = late},
        .last_ms = f->now_ms,
        .failed_ms = f->now_ms,
    };

    rg_balancer_add_reported_outcomes(f->balancer, &row, f->now_ms);
}

/* An upstream accepts requests and never answers. Requests that are safe to
 * retry are reset in time for a retry; the others are left alone. */
static void
test_hanging_upstream(void)
{
    struct fixture *f = create_fixture();

    serve_requests(f, 60);
    struct flow safe = send_request(f, SAFE_PORT);
    report_failures(f, &safe, 1, 2, 0);
    report_failures(f, &safe, 2, 2, 0);
    g_assert_true(rg_endpoint_is_outlier(endpoint_of(f, &safe)));
    struct flow unsafe = send_request(f, UNSAFE_PORT);
    report_failures(f, &unsafe, 1, 4, 0);
    for (int i = 0; i < 60 && f->resets == 0; i++) {
        serve_requests(f, 1);
    }
    g_assert_cmpuint(f->resets, ==, 1);
    serve_requests(f, 30);
    g_assert_cmpuint(f->resets, ==, 1);
    g_assert_cmpuint(captured_log_count(&f->log, "UNANSWERED"), ==, 1);
    destroy_fixture(f);
}

/* The upstream is slow, and peers have received late answers from it: nothing
 * is reset. */
static void
test_slow_upstream(void)
{
    struct fixture *f = create_fixture();

    serve_requests(f, 60);
    struct flow flow = send_request(f, SAFE_PORT);
    report_failures(f, &flow, 1, 4, 1);
    g_assert_true(rg_endpoint_is_outlier(endpoint_of(f, &flow)));
    serve_requests(f, 40);
    g_assert_cmpuint(f->resets, ==, 0);
    send_answer(f, &flow);
    destroy_fixture(f);
}

/* Peers report failures at more than half of the upstreams, so that none
 * becomes an outlier; not at that of `flow`. */
static void
report_failing_service(struct fixture *f, const struct flow *flow)
{
    size_t count;
    struct rg_endpoint *const *endpoints =
        rg_pool_endpoints(rg_balancer_pool(f->balancer), 0, &count);
    size_t reported = 0;

    for (size_t i = 0; i < count && reported <= UPSTREAMS / 2; i++) {
        struct flow other = {.token = endpoints[i]->token};
        if (other.token != flow->token) {
            report_failures(f, &other, 1, 1, 0);
            reported++;
        }
    }
}

/* Two requests wait at each upstream; all are answered after `work_ms` but
 * those at the upstream of the first. Returns that one and the other there. */
static void
send_two_hanging(struct fixture *f, struct flow hanging[2], uint32_t work_ms)
{
    struct flow flows[2 * UPSTREAMS];
    size_t found = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(flows); i++) {
        flows[i] = send_request(f, SAFE_PORT);
    }
    run(f, work_ms);
    for (size_t i = 0; i < G_N_ELEMENTS(flows); i++) {
        if (flows[i].token == flows[0].token && found < 2) {
            hanging[found++] = flows[i];
        }
        else {
            send_answer(f, &flows[i]);
        }
    }
    g_assert_cmpuint(found, ==, 2);
}

/* Serves other requests until one that was sent at `sent_ms` is reset, and
 * returns how long it waited; 0 if it was not reset before its deadline. */
static uint64_t
reset_after_ms(struct fixture *f, uint64_t sent_ms)
{
    while (f->resets == 0 && f->now_ms < sent_ms + DEADLINE_MS) {
        serve_requests(f, 1);
    }
    return f->resets == 0 ? 0 : f->now_ms - sent_ms;
}

static void
check_reset_at_half_deadline(struct fixture *f, uint64_t sent_ms)
{
    uint64_t ms = reset_after_ms(f, sent_ms);

    g_assert_cmpuint(ms, >=, DEADLINE_MS / 2);
    g_assert_cmpuint(ms, <=,
                     DEADLINE_MS / 2 + RG_BALANCER_TICK_MS +
                         2 * (RTT_MS + WORK_MS));
}

/* Guards against a reset for a single slow request: its failure keeps other
 * requests away from its upstream, and that none is answered there was taken
 * as confirmation. */
static void
test_single_request(void)
{
    struct fixture *f = create_fixture();

    serve_requests(f, 60);
    struct flow flow = send_request(f, SAFE_PORT);
    uint64_t sent_ms = f->now_ms;
    /* The others must not be retried, so that none goes there as a test. */
    g_assert_cmpuint(reset_after_ms(f, sent_ms), ==, 0);
    g_assert_true(rg_endpoint_is_suspect(endpoint_of(f, &flow), f->now_ms));
    g_assert_true(rg_endpoint_no_answer_since(endpoint_of(f, &flow), sent_ms,
                                              f->now_ms));
    serve_requests(f, 200);
    g_assert_cmpuint(f->resets, ==, 0);
    destroy_fixture(f);
}

/* Guards against leaving requests to hang where a second one has failed, here
 * or at a peer, and no outlier is made because failures are everywhere. */
static void
test_two_failures(void)
{
    struct fixture *f = create_fixture();
    struct flow hanging[2];

    serve_requests(f, 60);
    uint64_t sent_ms = f->now_ms + RTT_MS;
    send_two_hanging(f, hanging, 0);
    report_failing_service(f, &hanging[0]);
    check_reset_at_half_deadline(f, sent_ms);
    g_assert_false(rg_endpoint_is_outlier(endpoint_of(f, &hanging[0])));
    destroy_fixture(f);

    f = create_fixture();
    serve_requests(f, 60);
    struct flow flow = send_request(f, SAFE_PORT);
    sent_ms = f->now_ms;
    report_failing_service(f, &flow);
    report_failures(f, &flow, 1, 1, 0);
    check_reset_at_half_deadline(f, sent_ms);
    g_assert_false(rg_endpoint_is_outlier(endpoint_of(f, &flow)));
    destroy_fixture(f);
}

/* Guards against a hanging upstream at which, after a first failure, no
 * request is sent that could confirm it: one idempotent request is, and no
 * other. */
static void
test_second_request(void)
{
    for (int answered = 0; answered < 2; answered++) {
        struct fixture *f = create_fixture();
        serve_requests(f, 60);
        struct flow flow = send_request(f, SAFE_PORT);
        uint64_t sent_ms = f->now_ms;
        for (int i = 0; i < 20; i++) {
            struct flow unsafe = send_request(f, UNSAFE_PORT);
            g_assert_cmpuint(unsafe.token, !=, flow.token);
            run(f, WORK_MS);
            send_answer(f, &unsafe);
        }
        struct flow second = send_request(f, SAFE_PORT);
        g_assert_cmpuint(second.token, ==, flow.token);
        struct flow third = send_request(f, SAFE_PORT);
        g_assert_cmpuint(third.token, !=, flow.token);
        send_answer(f, &third);
        if (answered) {
            send_answer(f, &second);
        }
        uint64_t ms = reset_after_ms(f, sent_ms);
        serve_requests(f, 30);
        g_assert_cmpuint(f->resets, ==, answered ? 0 : 2);
        g_assert_cmpint(ms > 0 && ms < DEADLINE_MS * 2 / 3, ==, !answered);
        destroy_fixture(f);
    }
}

enum answer {
    ANSWER_IN_TIME,
    ANSWER_LATE,
    ANSWER_BEGUN,
    ANSWER_REPORTED,
    ANSWER_REPORTED_LATE,
    ANSWER_KINDS,
};

/* An answer at the upstream of `flows`, after these were sent. */
static void
answer_there(struct fixture *f, const struct flow flows[2], enum answer kind)
{
    struct rg_outcome_row row = {
        .token = flows[0].token,
        .source = 2,
        .serial = 1,
        .last_ms = f->now_ms,
    };

    switch (kind) {
    case ANSWER_IN_TIME:
        endpoint_of(f, flows)->outlier.own.last_ms[RG_OUTCOME_ANSWERED] =
            f->now_ms;
        break;
    case ANSWER_LATE:
        send_answer(f, &flows[1]);
        break;
    case ANSWER_BEGUN:
        send_packet(f, &flows[1],
                    (struct rg_segment){
                        .token = flows[1].token, .seq = 101, .ack = 500});
        break;
    case ANSWER_REPORTED:
        row.counts[RG_OUTCOME_ANSWERED] = 1;
        row.answered_ms = f->now_ms;
        rg_balancer_add_reported_outcomes(f->balancer, &row, f->now_ms);
        break;
    default:
        row.counts[RG_OUTCOME_LATE] = 1;
        rg_balancer_add_reported_outcomes(f->balancer, &row, f->now_ms);
        break;
    }
}

/* Guards against a reset at an upstream that answers: two requests there are
 * slow, and another one is answered meanwhile, in time or late, here or at a
 * peer. */
static void
test_answer_since(void)
{
    for (int kind = 0; kind < ANSWER_KINDS; kind++) {
        struct fixture *f = create_fixture();
        struct flow hanging[2];
        serve_requests(f, 60);
        send_two_hanging(f, hanging, 0);
        uint64_t sent_ms = f->now_ms;
        report_failing_service(f, &hanging[0]);
        serve_requests(f, 15);
        g_assert_cmpuint(f->resets, ==, 0);
        answer_there(f, hanging, (enum answer)kind);
        g_assert_cmpuint(reset_after_ms(f, sent_ms), ==, 0);
        destroy_fixture(f);
    }
}

/* Resets are counted. */
static void
retransmit(struct fixture *f, const struct flow flows[2])
{
    for (int i = 0; i < 2; i++) {
        struct rg_segment data = {
            .token = flows[i].token, .seq = 1, .ack = 1, .len = 100};
        if (send_packet(f, &flows[i], data).kind == RG_DECISION_REFUSE) {
            f->resets++;
        }
    }
}

/* The callers retransmit their requests after the usual time, and others are
 * served, until `ms` after the requests were sent. `flows` may be NULL. */
static void
retransmit_and_serve(struct fixture *f, const struct flow flows[2],
                     uint64_t sent_ms, uint32_t ms, uint32_t work_ms)
{
    while (flows && f->now_ms < sent_ms + 200) {
        serve_requests_in(f, 1, work_ms);
    }
    if (flows) {
        retransmit(f, flows);
    }
    while (f->now_ms < sent_ms + ms) {
        serve_requests_in(f, 1, work_ms);
    }
}

/* Guards against a reset at a sound upstream that does not acknowledge a
 * request before its answer: two requests there take longer than their first
 * retransmission, but no longer than others of the route sometimes do. */
static void
test_slow_unacknowledged(void)
{
    struct fixture *f = create_fixture();
    struct flow slow[2];

    serve_requests_in(f, 60, SLOW_WORK_MS);
    uint64_t sent_ms = f->now_ms + RTT_MS;
    send_two_hanging(f, slow, SLOW_WORK_MS);
    retransmit_and_serve(f, slow, sent_ms, 590, SLOW_WORK_MS);
    g_assert_cmpuint(f->resets, ==, 0);
    send_answer(f, &slow[0]);
    send_answer(f, &slow[1]);
    serve_requests_in(f, 10, SLOW_WORK_MS);
    g_assert_cmpuint(f->resets, ==, 0);
    destroy_fixture(f);
}

/* Requests at an upstream that acknowledges nothing are reset with their
 * second retransmission. Guards against resets at one that is only busy: a
 * copy is acknowledged, so that there is no second one; at one that answers
 * another instance; and while queues explain the silence. */
static void
test_retransmitted_request(void)
{
    enum {
        SILENT,
        BUSY,
        ANSWERS_ELSEWHERE,
        OVERLOADED,
        CASES
    };

    for (int i = 0; i < CASES; i++) {
        struct fixture *f = create_fixture();
        struct flow hanging[2];
        serve_requests(f, 60);
        uint64_t sent_ms = f->now_ms + RTT_MS;
        send_two_hanging(f, hanging, 0);
        if (i == ANSWERS_ELSEWHERE) {
            answer_there(f, hanging, ANSWER_REPORTED);
        }
        if (i == OVERLOADED) {
            f->balancer->services[0].overloaded_ms = f->now_ms;
        }
        retransmit_and_serve(f, hanging, sent_ms, 500, WORK_MS);
        g_assert_cmpuint(f->resets, ==, 0);
        if (i != BUSY) {
            retransmit(f, hanging);
        }
        /* Requests at an outlier are not reset for their wait by then. */
        retransmit_and_serve(f, NULL, sent_ms, 560, WORK_MS);
        g_assert_cmpuint(f->resets, ==, (i == SILENT ? 2 : 0));
        destroy_fixture(f);
    }
}

/* Guards against a reset of a slow request whose route has no deadline: its
 * caller may wait for as long as it takes. */
static void
test_no_deadline(void)
{
    struct fixture *f = create_fixture();
    struct flow slow[2];

    for (size_t i = 0; i < 2; i++) {
        rg_routes_at(rg_balancer_routes(f->balancer), i)->timeout_ms = 0;
    }
    serve_requests(f, 60);
    uint64_t sent_ms = f->now_ms + RTT_MS;
    send_two_hanging(f, slow, 0);
    g_assert_cmpuint(reset_after_ms(f, sent_ms), ==, 0);
    destroy_fixture(f);
}

/* Nothing is received at all: the fault is in this instance, or everywhere. */
static void
test_no_responses(void)
{
    struct fixture *f = create_fixture();

    serve_requests(f, 60);
    struct flow flow = send_request(f, SAFE_PORT);
    run(f, DEADLINE_MS);
    g_assert_false(rg_endpoint_is_suspect(endpoint_of(f, &flow), f->now_ms));
    g_assert_cmpuint(f->resets, ==, 0);
    g_assert_false(rg_balancer_has_unsent_failure(f->balancer));
    destroy_fixture(f);
}

/* The process was suspended, or its tick is late and received answers are
 * still unread. The time waited meanwhile proves nothing. */
static void
test_process_suspended(void)
{
    struct fixture *f = create_fixture();

    serve_requests(f, 60);
    struct flow flow = send_request(f, SAFE_PORT);
    f->now_ms += 700;
    rg_balancer_tick(f->balancer, f->now_ms);
    g_assert_false(rg_endpoint_is_suspect(endpoint_of(f, &flow), f->now_ms));
    send_answer(f, &flow);
    flow = send_request(f, SAFE_PORT);
    f->now_ms += 3000;
    rg_balancer_paused(f->balancer, f->now_ms);
    rg_balancer_tick(f->balancer, f->now_ms);
    serve_requests(f, 20);
    g_assert_false(rg_endpoint_is_suspect(endpoint_of(f, &flow), f->now_ms));
    destroy_fixture(f);
}

/* Guards against a reset of a request that waited while the process stood
 * still: its answer may have come and its caller gone on meanwhile. */
static void
test_no_reset_after_pause(void)
{
    struct fixture *f = create_fixture();
    struct flow hanging[2];

    serve_requests(f, 60);
    send_two_hanging(f, hanging, WORK_MS);
    f->now_ms += 900;
    rg_balancer_paused(f->balancer, f->now_ms);
    for (int i = 0; i < 30; i++) {
        endpoint_of(f, &hanging[0])->outlier.detections = 1;
        serve_requests(f, 1);
    }
    g_assert_cmpuint(f->resets, ==, 0);
    destroy_fixture(f);
}

/* Guards against a reset at an outlier that answers others in time: a slow
 * request there is no lost one. */
static void
test_outlier_that_answers(void)
{
    struct fixture *f = create_fixture();
    struct flow hanging[2];

    serve_requests(f, 60);
    uint64_t sent_ms = f->now_ms + RTT_MS;
    send_two_hanging(f, hanging, WORK_MS);
    while (f->now_ms < sent_ms + DEADLINE_MS) {
        endpoint_of(f, &hanging[0])->latency_at_ms = f->now_ms;
        serve_requests(f, 1);
    }
    g_assert_cmpuint(f->resets, ==, 0);
    destroy_fixture(f);
}

/* Guards against a reset where a peer has seen failures and answers: its
 * report of a later answer may still be on its way. */
static void
test_peer_with_answers(void)
{
    struct fixture *f = create_fixture();

    serve_requests(f, 60);
    struct flow flow = send_request(f, SAFE_PORT);
    uint64_t sent_ms = f->now_ms;
    report_failing_service(f, &flow);
    struct rg_outcome_row row = {
        .token = flow.token,
        .source = 1,
        .serial = 1,
        .counts = {[RG_OUTCOME_FAILED] = 1, [RG_OUTCOME_ANSWERED] = 3},
        .last_ms = sent_ms,
        .failed_ms = sent_ms,
        .answered_ms = sent_ms - 1,
    };
    rg_balancer_add_reported_outcomes(f->balancer, &row, f->now_ms);
    g_assert_cmpuint(reset_after_ms(f, sent_ms), ==, 0);
    destroy_fixture(f);
}

/* Opens flows until one is a probe of the outlier with this token. */
static struct flow
open_probe(struct fixture *f, uint32_t token)
{
    struct flow probe = {.token = 0};

    for (int i = 0; i < 400; i++) {
        serve_requests(f, 1);
        probe.id = (struct rg_flow_id){.caller_ip = CALLER_IP,
                                       .service_ip = SERVICE_IP,
                                       .caller_port = ++f->next_port,
                                       .service_port = SAFE_PORT};
        probe.token =
            send_packet(f, &probe, (struct rg_segment){.opening = true})
                .endpoint->token;
        run(f, RTT_MS);
        if (probe.token == token) {
            return probe;
        }
        send_packet(
            f, &probe,
            (struct rg_segment){
                .token = probe.token, .seq = 1, .ack = 1, .fin = true});
    }
    g_assert_not_reached();
}

/* Guards against a reset of a slow request that probes an outlier: nothing
 * else is sent there, so that no answer confirms nothing. */
static void
test_slow_probe(void)
{
    struct fixture *f = create_fixture();

    serve_requests(f, 60);
    struct flow flow = send_request(f, SAFE_PORT);
    report_failures(f, &flow, 1, 4, 0);
    send_answer(f, &flow);
    struct flow probe = open_probe(f, flow.token);
    g_assert_true(rg_endpoint_is_outlier(endpoint_of(f, &flow)));
    uint32_t before = f->resets;
    send_packet(f, &probe,
                (struct rg_segment){
                    .token = probe.token, .seq = 1, .ack = 1, .len = 100});
    uint64_t sent_ms = f->now_ms;
    while (f->now_ms + RG_BALANCER_TICK_MS < sent_ms + DEADLINE_MS * 2 / 5) {
        serve_requests(f, 1);
        g_assert_cmpuint(f->resets, ==, before);
    }
    /* An answer to a request that failed before: the outlier is only slow. */
    rg_balancer_add_reported_outcomes(
        f->balancer,
        &(struct rg_outcome_row){
            .token = flow.token,
            .source = 1,
            .serial = 9,
            .counts = {[RG_OUTCOME_FAILED] = 4, [RG_OUTCOME_LATE] = 1},
            .last_ms = f->now_ms,
            .failed_ms = sent_ms},
        f->now_ms);
    while (f->now_ms < sent_ms + DEADLINE_MS) {
        serve_requests(f, 1);
    }
    g_assert_cmpuint(f->resets, ==, before);
    destroy_fixture(f);
}

/* Guards against resets at an upstream that has just started and is slow. */
static void
test_cold_upstream(void)
{
    struct fixture *f = create_fixture();
    struct flow slow[2];

    serve_requests(f, 60);
    uint64_t sent_ms = f->now_ms + RTT_MS;
    send_two_hanging(f, slow, 0);
    endpoint_of(f, &slow[0])->cold_until_ms = sent_ms + DEADLINE_MS;
    g_assert_cmpuint(reset_after_ms(f, sent_ms), ==, 0);
    destroy_fixture(f);
}

/* Guards against a reset at a sound upstream after the process stood still for
 * less than a suspension: packets are read in order, and the retransmission of
 * one request comes before the acknowledgement of the other's answer. A tick
 * may run before they are read. */
static void
test_stall_before_answer(void)
{
    for (int ticks = 0; ticks < 2; ticks++) {
        struct fixture *f = create_fixture();
        struct flow slow[2];

        serve_requests(f, 60);
        uint64_t sent_ms = f->now_ms + RTT_MS;
        send_two_hanging(f, slow, 0);
        struct rg_segment data = {
            .token = slow[0].token, .seq = 1, .ack = 1, .len = 100};
        while (f->now_ms < sent_ms + 150) {
            serve_requests(f, 1);
        }
        run(f, (uint32_t)(sent_ms + 210 - f->now_ms));
        send_packet(f, &slow[0], data);
        send_packet(f, &slow[1], data);
        struct flow fresh = send_request(f, SAFE_PORT);
        f->now_ms += 500;
        if (ticks > 0) {
            rg_balancer_tick(f->balancer, f->now_ms);
            f->now_ms++;
        }
        send_answer(f, &fresh);
        g_assert_cmpint(send_packet(f, &slow[0], data).kind, ==,
                        RG_DECISION_FORWARD);
        send_answer(f, &slow[1]);
        g_assert_cmpuint(f->resets, ==, 0);
        destroy_fixture(f);
    }
}

/* Every request without an answer is logged once, however its flow ends;
 * answered ones are not logged. */
static void
test_unanswered_logged(void)
{
    struct fixture *f = create_fixture();

    serve_requests(f, 60);
    g_assert_cmpuint(captured_log_count(&f->log, "UNANSWERED"), ==, 0);
    struct flow flow = send_request(f, UNSAFE_PORT);
    serve_requests(f, 10);
    send_packet(f, &flow,
                (struct rg_segment){
                    .token = flow.token, .seq = 101, .ack = 1, .reset = true});
    g_assert_cmpuint(captured_log_count(&f->log, "UNANSWERED"), ==, 1);
    send_request(f, UNSAFE_PORT); /* no further packet of this caller */
    run(f, 6000);
    g_assert_cmpuint(captured_log_count(&f->log, "UNANSWERED"), ==, 1);
    destroy_fixture(f);
}

/* An upstream fails requests and then becomes silent. A probe whose opening is
 * lost shows that it has not recovered, and its exclusion starts again on all
 * instances. */
static void
test_probe_lost(void)
{
    struct fixture *f = create_fixture();

    serve_requests(f, 60);
    struct flow flow = send_request(f, SAFE_PORT);
    report_failures(f, &flow, 1, 4, 0);
    struct rg_endpoint *endpoint = endpoint_of(f, &flow);
    uint64_t until_ms = endpoint->outlier.until_ms;
    struct flow probe = {.token = 0};
    for (int i = 0; i < 200 && probe.token != flow.token; i++) {
        run(f, 50);
        probe.id = (struct rg_flow_id){.caller_ip = CALLER_IP,
                                       .service_ip = SERVICE_IP,
                                       .caller_port = ++f->next_port,
                                       .service_port = SAFE_PORT};
        probe.token =
            send_packet(f, &probe, (struct rg_segment){.opening = true})
                .endpoint->token;
    }
    g_assert_cmpuint(probe.token, ==, flow.token);
    run(f, 200);
    send_packet(f, &probe, (struct rg_segment){.opening = true, .ack = 1});
    g_assert_true(rg_endpoint_is_outlier(endpoint));
    g_assert_cmpuint(endpoint->outlier.until_ms, >, until_ms);
    g_assert_cmpuint(endpoint->outlier.until_ms, >, f->now_ms);
    g_assert_true(rg_balancer_has_unsent_failure(f->balancer));
    destroy_fixture(f);
}

/* A flow with several requests: each has its own outcome. */
static void
test_several_requests(void)
{
    struct fixture *f = create_fixture();

    serve_requests(f, 60);
    struct flow flow = send_request(f, SAFE_PORT);
    for (uint32_t i = 1; i < 5; i++) {
        run(f, WORK_MS);
        send_packet(f, &flow,
                    (struct rg_segment){.token = flow.token,
                                        .seq = 1 + 100 * i,
                                        .ack = 1 + ANSWER_BYTES * i,
                                        .len = 100});
    }
    struct rg_endpoint *endpoint = endpoint_of(f, &flow);
    uint32_t answered = rg_outcomes_count(&endpoint->outlier.own,
                                          RG_OUTCOME_ANSWERED, f->now_ms);
    g_assert_cmpuint(answered, >=, 4);
    destroy_fixture(f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/requests/hanging-upstream", test_hanging_upstream);
    g_test_add_func("/requests/slow-upstream", test_slow_upstream);
    g_test_add_func("/requests/single-request", test_single_request);
    g_test_add_func("/requests/two-failures", test_two_failures);
    g_test_add_func("/requests/second-request", test_second_request);
    g_test_add_func("/requests/answer-since", test_answer_since);
    g_test_add_func("/requests/slow-unacknowledged", test_slow_unacknowledged);
    g_test_add_func("/requests/retransmitted-request",
                    test_retransmitted_request);
    g_test_add_func("/requests/no-deadline", test_no_deadline);
    g_test_add_func("/requests/no-responses", test_no_responses);
    g_test_add_func("/requests/process-suspended", test_process_suspended);
    g_test_add_func("/requests/no-reset-after-pause",
                    test_no_reset_after_pause);
    g_test_add_func("/requests/outlier-that-answers",
                    test_outlier_that_answers);
    g_test_add_func("/requests/peer-with-answers", test_peer_with_answers);
    g_test_add_func("/requests/slow-probe", test_slow_probe);
    g_test_add_func("/requests/cold-upstream", test_cold_upstream);
    g_test_add_func("/requests/stall-before-answer", test_stall_before_answer);
    g_test_add_func("/requests/unanswered-logged", test_unanswered_logged);
    g_test_add_func("/requests/probe-lost", test_probe_lost);
    g_test_add_func("/requests/several-requests", test_several_requests);
    return g_test_run();
}
