/* Requests that wait for an answer: which are given up, which are not, and the
 * line that each of them leaves. */
#include <glib.h>
#include <stdio.h>

#include "balance/balancer.h"
#include "balance/outlier.h"
#include "test/captured_log.h"

#define SERVICE_IP 0xc6120001
#define SAFE_PORT 443
#define UNSAFE_PORT 8443
#define CALLER_IP 0x64400007
#define START_MS 100000
#define RTT_MS 6
#define WORK_MS 20
#define DEADLINE_MS 1500
#define UPSTREAMS 8
#define ANSWER_BYTES 1000

struct world {
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
    struct world *w = ctx;

    (void)last;
    w->resets++;
}

static void
report_upstreams(struct world *w)
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
        rg_pool_update(rg_balancer_pool(w->balancer), &r, 1, w->now_ms);
    }
}

static struct world *
make_world(void)
{
    struct world *w = g_new0(struct world, 1);
    struct rg_route *routes = calloc(2, sizeof(*routes));

    w->log = captured_log_make(100000);
    w->now_ms = START_MS;
    struct rg_balancer_opts opts = {
        .data_centre = name("dc1"),
        .flow_age_ms = 60000,
        .stale_ms = 3000,
        .tracked_flows = 4096,
        .seed = 5,
        .log = &w->log.log,
        .refuse = on_refuse,
        .ctx = w,
    };
    routes[0] = route_to(SAFE_PORT, RG_REPEAT_SAFE);
    routes[1] = route_to(UNSAFE_PORT, RG_REPEAT_UNSAFE);
    w->balancer = rg_balancer_create(&opts, START_MS);
    rg_balancer_set_routes(w->balancer, rg_routes_create(1, routes, 2));
    rg_balancer_set_confirmed(w->balancer, START_MS);
    report_upstreams(w);
    return w;
}

static void
destroy_world(struct world *w)
{
    rg_balancer_destroy(w->balancer);
    captured_log_done(&w->log);
    g_free(w);
}

static void
pass(struct world *w, uint32_t ms)
{
    uint64_t end = w->now_ms + ms;

    while (w->now_ms < end) {
        w->now_ms++;
        if (w->now_ms % RG_BALANCER_TICK_MS == 0) {
            rg_balancer_set_confirmed(w->balancer, w->now_ms);
            rg_balancer_tick(w->balancer, w->now_ms);
        }
    }
}

static struct rg_decision
pass_on(struct world *w, const struct flow *f, struct rg_segment s)
{
    s.flow = f->id;
    return rg_balancer_packet(w->balancer, &s, w->now_ms);
}

/* Opens a flow and sends its request. */
static struct flow
ask(struct world *w, uint16_t port)
{
    struct flow f = {.id = {.caller_ip = CALLER_IP,
                            .service_ip = SERVICE_IP,
                            .caller_port = ++w->next_port,
                            .service_port = port}};
    struct rg_decision d =
        pass_on(w, &f, (struct rg_segment){.opening = true});

    g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
    f.token = d.token;
    pass(w, RTT_MS);
    pass_on(
        w, &f,
        (struct rg_segment){.token = f.token, .seq = 1, .ack = 1, .len = 100});
    return f;
}

static void
answer(struct world *w, const struct flow *f)
{
    pass_on(w, f,
            (struct rg_segment){.token = f->token,
                                .seq = 101,
                                .ack = 1 + ANSWER_BYTES,
                                .fin = true});
}

static struct rg_endpoint *
boot_of(struct world *w, const struct flow *f)
{
    return rg_pool_by_token(rg_balancer_pool(w->balancer), f->token);
}

/* Ordinary requests, so that the usual time is known and signs of life come
 * in. */
static void
serve(struct world *w, int count)
{
    for (int i = 0; i < count; i++) {
        struct flow f = ask(w, i % 4 ? SAFE_PORT : UNSAFE_PORT);
        pass(w, WORK_MS);
        answer(w, &f);
    }
}

/* Others tell of failures at the upstream of this flow. */
static void
tell_failures(struct world *w, const struct flow *f, uint32_t source,
              uint32_t failed, uint32_t late)
{
    struct rg_outcome_row row = {
        .token = f->token,
        .source = source,
        .serial = 1,
        .counts = {[RG_OUTCOME_FAILED] = failed, [RG_OUTCOME_LATE] = late},
        .last_ms = w->now_ms,
        .failed_ms = w->now_ms,
    };

    rg_balancer_add_reported_outcomes(w->balancer, &row, w->now_ms);
}

/* Pattern: an upstream takes requests and never answers. What may be repeated
 * is reset, in time to be asked again; what may run once only is left alone.
 */
static void
test_reset(void)
{
    struct world *w = make_world();

    serve(w, 60);
    struct flow safe = ask(w, SAFE_PORT);
    tell_failures(w, &safe, 1, 2, 0);
    tell_failures(w, &safe, 2, 2, 0);
    g_assert_true(rg_endpoint_is_outlier(boot_of(w, &safe)));
    struct flow unsafe = ask(w, UNSAFE_PORT);
    tell_failures(w, &unsafe, 1, 4, 0);
    for (int i = 0; i < 60 && w->resets == 0; i++) {
        serve(w, 1);
    }
    g_assert_cmpuint(w->resets, ==, 1);
    serve(w, 30);
    g_assert_cmpuint(w->resets, ==, 1);
    g_assert_cmpuint(captured_log_count(&w->log, "UNANSWERED"), ==, 1);
    destroy_world(w);
}

/* Pattern: the upstream is slow, and others have had late answers from it. */
static void
test_slow_is_left(void)
{
    struct world *w = make_world();

    serve(w, 60);
    struct flow f = ask(w, SAFE_PORT);
    tell_failures(w, &f, 1, 4, 1);
    g_assert_true(rg_endpoint_is_outlier(boot_of(w, &f)));
    serve(w, 40);
    g_assert_cmpuint(w->resets, ==, 0);
    answer(w, &f);
    destroy_world(w);
}

/* Pattern: the first request that hangs keeps others away, so that no second
 * failure proves the case. Half of its deadline is proof enough, unless the
 * upstream answers others meanwhile. */
static void
test_alone(void)
{
    struct world *w = make_world();

    serve(w, 60);
    ask(w, SAFE_PORT);
    for (int i = 0; i < 60 && w->resets == 0; i++) {
        serve(w, 1);
    }
    g_assert_cmpuint(w->resets, ==, 1);
    destroy_world(w);

    w = make_world();
    serve(w, 60);
    struct flow f = ask(w, SAFE_PORT);
    for (int i = 0; i < 50; i++) {
        boot_of(w, &f)->requests.own.last_ms[RG_OUTCOME_ANSWERED] = w->now_ms;
        serve(w, 1);
    }
    g_assert_cmpuint(w->resets, ==, 0);
    destroy_world(w);
}

/* Pattern: nothing comes in at all: the fault is here, or everywhere. */
static void
test_nobody_answers(void)
{
    struct world *w = make_world();

    serve(w, 60);
    struct flow f = ask(w, SAFE_PORT);
    pass(w, DEADLINE_MS);
    g_assert_false(rg_endpoint_is_suspect(boot_of(w, &f), w->now_ms));
    g_assert_cmpuint(w->resets, ==, 0);
    g_assert_false(rg_balancer_has_unsent_failure(w->balancer));
    destroy_world(w);
}

/* Pattern: the process was paused, or its tick comes late with answers still
 * unread. Waiting through that says nothing. */
static void
test_paused(void)
{
    struct world *w = make_world();

    serve(w, 60);
    struct flow f = ask(w, SAFE_PORT);
    w->now_ms += 700;
    rg_balancer_tick(w->balancer, w->now_ms);
    g_assert_false(rg_endpoint_is_suspect(boot_of(w, &f), w->now_ms));
    answer(w, &f);
    f = ask(w, SAFE_PORT);
    w->now_ms += 3000;
    rg_balancer_paused(w->balancer, w->now_ms);
    rg_balancer_tick(w->balancer, w->now_ms);
    serve(w, 20);
    g_assert_false(rg_endpoint_is_suspect(boot_of(w, &f), w->now_ms));
    destroy_world(w);
}

/* Every request without an answer leaves a line, whoever ends the flow; one
 * with an answer leaves none. */
static void
test_lines(void)
{
    struct world *w = make_world();

    serve(w, 60);
    g_assert_cmpuint(captured_log_count(&w->log, "UNANSWERED"), ==, 0);
    struct flow f = ask(w, UNSAFE_PORT);
    serve(w, 10);
    pass_on(w, &f,
            (struct rg_segment){
                .token = f.token, .seq = 101, .ack = 1, .reset = true});
    g_assert_cmpuint(captured_log_count(&w->log, "UNANSWERED"), ==, 1);
    ask(w, UNSAFE_PORT); /* its caller is never heard of again */
    pass(w, 6000);
    g_assert_cmpuint(captured_log_count(&w->log, "UNANSWERED"), ==, 1);
    destroy_world(w);
}

/* Pattern: an upstream fails requests and then falls silent. A probe whose
 * opening is lost shows that it is not back: the pause begins anew, for all.
 */
static void
test_silent_probe(void)
{
    struct world *w = make_world();

    serve(w, 60);
    struct flow f = ask(w, SAFE_PORT);
    tell_failures(w, &f, 1, 4, 0);
    struct rg_endpoint *endpoint = boot_of(w, &f);
    uint64_t until_ms = endpoint->requests.until_ms;
    struct flow probe = {.token = 0};
    for (int i = 0; i < 200 && probe.token != f.token; i++) {
        pass(w, 50);
        probe.id = (struct rg_flow_id){.caller_ip = CALLER_IP,
                                       .service_ip = SERVICE_IP,
                                       .caller_port = ++w->next_port,
                                       .service_port = SAFE_PORT};
        probe.token =
            pass_on(w, &probe, (struct rg_segment){.opening = true}).token;
    }
    g_assert_cmpuint(probe.token, ==, f.token);
    pass(w, 200);
    pass_on(w, &probe, (struct rg_segment){.opening = true, .ack = 1});
    g_assert_true(rg_endpoint_is_outlier(endpoint));
    g_assert_cmpuint(endpoint->requests.until_ms, >, until_ms);
    g_assert_cmpuint(endpoint->requests.until_ms, >, w->now_ms);
    g_assert_true(rg_balancer_has_unsent_failure(w->balancer));
    destroy_world(w);
}

/* A flow that serves several requests: each is judged by itself. */
static void
test_kept_open(void)
{
    struct world *w = make_world();

    serve(w, 60);
    struct flow f = ask(w, SAFE_PORT);
    for (uint32_t i = 1; i < 5; i++) {
        pass(w, WORK_MS);
        pass_on(w, &f,
                (struct rg_segment){.token = f.token,
                                    .seq = 1 + 100 * i,
                                    .ack = 1 + ANSWER_BYTES * i,
                                    .len = 100});
    }
    struct rg_endpoint *endpoint = boot_of(w, &f);
    uint32_t answered = rg_outcomes_count(&endpoint->requests.own,
                                          RG_OUTCOME_ANSWERED, w->now_ms);
    g_assert_cmpuint(answered, >=, 4);
    destroy_world(w);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/requests/reset", test_reset);
    g_test_add_func("/requests/slow-is-left", test_slow_is_left);
    g_test_add_func("/requests/alone", test_alone);
    g_test_add_func("/requests/nobody-answers", test_nobody_answers);
    g_test_add_func("/requests/paused", test_paused);
    g_test_add_func("/requests/lines", test_lines);
    g_test_add_func("/requests/silent-probe", test_silent_probe);
    g_test_add_func("/requests/kept-open", test_kept_open);
    return g_test_run();
}
