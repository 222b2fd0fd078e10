/* Copies of one opening: where they go, and that they do no harm to the flow
 * once it is open. A flow that two upstreams have answered must stay at the
 * one that its caller took, as the other resets whatever reaches it. */
#include "test/fake_instances.h"

/* Opens flows of other callers until one is at the upstream with this token,
 * and answers it: the upstream is alive. */
static void
answer_others(struct fixture *f, int instance, uint32_t token)
{
    for (uint16_t port = 50000; port < 50064; port++) {
        struct rg_segment s = segment_from(port);
        s.opening = true;
        s.seq = port;
        struct rg_decision d =
            rg_balancer_packet(f->instances[instance], &s, f->now_ms);
        if (d.endpoint->token != token) {
            continue;
        }
        s = segment_from(port);
        s.token = d.token;
        s.seq = port + 1U;
        s.ack = UPSTREAM_SEQ + 1;
        rg_balancer_packet(f->instances[instance], &s, f->now_ms + RTT_MS);
        return;
    }
    g_assert_not_reached();
}

/* Guards against an open flow being opened a second time, at another upstream,
 * by a copy of its opening that was late on its way. */
static void
test_copy_after_opening(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    struct tokens token = open_at(f, 0, 0);

    f->now_ms += RTT_MS;
    g_assert_cmpuint(acknowledge(f, 0, token.opening).token, ==, token.flow);
    for (uint32_t copy = 0; copy < 3; copy++) {
        f->now_ms += 100;
        struct rg_decision d = open_copy(f, 0, copy);
        g_assert_cmpint(d.kind, ==, RG_DECISION_DROP);
    }
    g_assert_cmpuint(send_data(f, 0, token.opening, 0, 0, 100).token, ==,
                     token.flow);
    f->now_ms += 100;
    g_assert_cmpint(open_copy(f, 0, 1).kind, ==, RG_DECISION_DROP);
    g_assert_cmpuint(counter(f, 0, RG_METRIC_OPENINGS_MOVED), ==, 0);
}

/* Guards against a reset of a flow that has opened by way of another instance:
 * the upstream of the first copy drains, and there is none for the second. */
static void
test_copy_without_upstream(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    open_copy(f, 0, 0);
    for (int instance = 0; instance < 2; instance++) {
        for (int i = 0; i < UPSTREAMS; i++) {
            update_upstream(f->instances[instance], i, true, 2);
        }
    }
    f->now_ms += FIRST_COPY_MS;
    g_assert_cmpint(open_copy(f, 0, 1).kind, ==, RG_DECISION_DROP);
    g_assert_cmpint(open_copy(f, 1, 1).kind, ==, RG_DECISION_DROP);
    /* The first copy of all is refused at once. */
    struct rg_segment s = segment_from(CALLER_PORT + 1);
    s.opening = true;
    g_assert_cmpint(rg_balancer_packet(f->instances[0], &s, f->now_ms).kind,
                    ==, RG_DECISION_REFUSE);
}

/* The same where the route was added by a version that this instance does not
 * have yet: an instance that has it may have forwarded the first copy. */
static void
test_copy_without_route(struct fixture *f, gconstpointer unused)
{
    struct rg_segment s = segment_from(CALLER_PORT);

    (void)unused;
    s.flow.service_port = SHOP_PORT + 1;
    s.opening = true;
    s.ack = 1;
    g_assert_cmpint(rg_balancer_packet(f->instances[0], &s, f->now_ms).kind,
                    ==, RG_DECISION_DROP);
    s.ack = 0;
    g_assert_cmpint(rg_balancer_packet(f->instances[0], &s, f->now_ms).kind,
                    ==, RG_DECISION_REFUSE);
}

/* Guards against a second upstream for a flow whose opening passed another
 * instance: this one has got its packets, untracked, when a late copy of the
 * opening comes. */
static void
test_late_copy_elsewhere(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    f->can_hold = true;
    for (uint16_t i = 0; i < 16; i++) {
        restart_all(f, 100 + 10 * (uint64_t)i);
        let_homes_listen(f);
        struct tokens token = open_at(f, 0, 0);
        f->now_ms += RTT_MS;
        struct rg_segment s = first_data(token.opening);
        struct rg_decision d = deliver(f, 1, &s);
        g_assert_cmpuint(d.token, ==, token.flow);
        f->now_ms += RTT_MS;
        d = send_data(f, 1, token.flow, 100, 1000, 0);
        g_assert_cmpuint(d.token, ==, token.flow);
        f->now_ms += FIRST_COPY_MS;
        d = open_copy(f, 1, 1);
        g_assert_true(d.kind == RG_DECISION_DROP || d.token == token.opening);
    }
}

/* Guards against the ports of an ended flow being unusable for a new one,
 * whose opening is no copy. */
static void
test_new_flow_on_same_ports(struct fixture *f, gconstpointer unused)
{
    struct rg_segment s = segment_from(CALLER_PORT);

    (void)unused;
    struct tokens token = open_at(f, 0, 0);
    f->now_ms += RTT_MS;
    acknowledge(f, 0, token.opening);
    s.opening = true;
    s.seq = OPENING_SEQ + 5000;
    f->now_ms += 100;
    struct rg_decision d = rg_balancer_packet(f->instances[0], &s, f->now_ms);
    g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
    const struct rg_endpoint *endpoint = d.endpoint;
    s.opening = false;
    s.seq++;
    s.ack = UPSTREAM_SEQ + 0x1000000;
    s.token = d.token;
    f->now_ms += RTT_MS;
    d = rg_balancer_packet(f->instances[0], &s, f->now_ms);
    g_assert_true(d.endpoint == endpoint);
}

/* Guards against two upstreams getting one opening at the same moment, when
 * the copies have waited in the socket of a process that stood still. */
static void
test_copies_in_one_batch(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    uint32_t token = open_copy(f, 0, 0).token;

    g_assert_cmpuint(open_copy(f, 0, 1).token, ==, token);
    g_assert_cmpuint(open_copy(f, 0, 2).token, ==, token);
    g_assert_cmpuint(counter(f, 0, RG_METRIC_OPENINGS_MOVED), ==, 0);
}

/* Guards against a second upstream for an opening whose answer was lost on the
 * way, while the first one answers others. */
static void
test_copy_at_live_upstream(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    struct tokens token = open_at(f, 0, 0);

    f->now_ms += 100;
    answer_others(f, 0, token.flow);
    f->now_ms = START_MS + FIRST_COPY_MS;
    g_assert_cmpuint(open_copy(f, 0, 1).token, ==, token.opening);
    /* Its path to this caller may be cut: not a third time. */
    f->now_ms = START_MS + SECOND_COPY_MS;
    g_assert_cmpuint(open_copy(f, 0, 2).token, !=, token.opening);
}

/* Guards against packets of an open flow reaching the upstream that its caller
 * did not take: the answer of that upstream to the opening came late, and the
 * caller repeats its token. */
static void
test_late_answer_of_other_upstream(struct fixture *f, gconstpointer unused)
{
    struct two_answers a = open_at_two(f);

    (void)unused;
    g_assert_cmpuint(acknowledge(f, 0, a.taken.opening).token, ==,
                     a.taken.flow);
    /* The first one answers now; the caller sends its request. */
    g_assert_cmpuint(send_data(f, 0, a.other.opening, 0, 0, 100).token, ==,
                     a.taken.flow);
    /* Its repetitions of that answer come between the packets of the flow. */
    for (uint32_t received = 0; received < 5000; received += 1000) {
        f->now_ms += 20;
        g_assert_cmpuint(send_data(f, 0, a.taken.flow, 100, received, 0).token,
                         ==, a.taken.flow);
        f->now_ms += 20;
        g_assert_cmpuint(
            send_data(f, 0, a.other.opening, 100, received, 100).token, ==,
            a.taken.flow);
    }
}

/* The same where copies of the opening pass two instances, of which each has
 * chosen an upstream. */
static void
test_copies_through_two_instances(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    struct tokens first = open_at(f, 0, 0);

    f->now_ms += FIRST_COPY_MS;
    struct tokens second = open_at(f, 1, 1);
    for (uint16_t i = 0; first.flow == second.flow && i < 64; i++) {
        /* Both happened to choose the same one. */
        restart_all(f, 100 + 10 * (uint64_t)i);
        first = open_at(f, 0, 0);
        f->now_ms += FIRST_COPY_MS;
        second = open_at(f, 1, 1);
    }
    g_assert_cmpuint(first.flow, !=, second.flow);
    f->now_ms += RTT_MS;
    g_assert_cmpuint(acknowledge(f, 1, second.opening).token, ==, second.flow);
    g_assert_cmpuint(send_data(f, 1, first.opening, 0, 0, 100).token, ==,
                     second.flow);
    /* The fabric moves the flow back; this instance believes that the flow is
     * at the first until the second has answered a packet of it. */
    f->now_ms += 30;
    g_assert_cmpuint(send_data(f, 0, second.flow, 100, 1000, 0).token, ==,
                     second.flow);
    g_assert_cmpuint(send_data(f, 0, first.opening, 100, 1000, 100).token, ==,
                     second.flow);
}

/* Guards against a flow being held at an upstream by a packet that carries the
 * other token and is the first that an instance sees. */
static void
test_acknowledged_bytes_decide(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    f->can_hold = true;
    restart_all(f, 1);
    let_homes_listen(f);
    struct two_answers a = open_at_two(f);
    struct rg_segment s = first_data(a.other.opening);

    g_assert_cmpuint(deliver(f, 0, &s).token, ==, a.other.flow);
    f->now_ms += RTT_MS;
    g_assert_cmpuint(send_data(f, 0, a.taken.flow, 100, 1000, 0).token, ==,
                     a.taken.flow);
    g_assert_cmpuint(send_data(f, 0, a.other.opening, 100, 1000, 100).token,
                     ==, a.taken.flow);
}

/* Guards against a request taken for an acknowledgement: it acknowledges the
 * last bytes of the answer before, which its caller had not acknowledged yet,
 * and carries the token of an answer to the opening that came since. */
static void
test_request_with_new_acknowledgement(struct fixture *f, gconstpointer unused)
{
    struct two_answers a = open_at_two(f);

    (void)unused;
    acknowledge(f, 0, a.taken.opening);
    send_data(f, 0, a.taken.opening, 0, 0, 100);
    f->now_ms += RTT_MS;
    g_assert_cmpuint(send_data(f, 0, a.other.opening, 100, 1000, 100).token,
                     ==, a.taken.flow);
}

/* Guards against a flow with long pauses being forgotten while an upstream
 * that its caller did not take still repeats its answer. */
static void
test_pause_after_two_answers(struct fixture *f, gconstpointer unused)
{
    struct two_answers a = open_at_two(f);

    (void)unused;
    acknowledge(f, 0, a.taken.opening);
    tick_until(f, f->now_ms + 9000);
    g_assert_cmpuint(send_data(f, 0, a.other.opening, 0, 0, 100).token, ==,
                     a.taken.flow);
}

/* Guards against an idle flow being forgotten before the end of its life: its
 * caller keeps the token of the upstream that it did not take until it
 * receives something else. */
static void
test_longest_pause_after_two_answers(struct fixture *f, gconstpointer unused)
{
    struct two_answers a = open_at_two(f);

    (void)unused;
    acknowledge(f, 0, a.taken.opening);
    tick_until(f, START_MS + FLOW_AGE_MS - 1000);
    g_assert_cmpuint(send_data(f, 0, a.other.opening, 0, 0, 100).token, ==,
                     a.taken.flow);
    /* The request stays unanswered. It no longer counts as outstanding, but
     * the flow is still known. */
    tick_until(f, START_MS + FLOW_AGE_MS - RG_BALANCER_TICK_MS);
    g_assert_cmpuint(send_data(f, 0, a.other.opening, 0, 0, 100).token, ==,
                     a.taken.flow);
    tick_until(f, f->now_ms + FLOW_AGE_MS);
    g_assert_cmpuint(rg_balancer_tracked_count(f->instances[0]), ==, 0);
}

/* Guards against a request that is never answered counting as outstanding work
 * for the whole life of its flow, which is longer if two upstreams may have
 * it. */
static void
test_outstanding_after_two_answers(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    open_copy(f, 0, 0);
    f->now_ms += FIRST_COPY_MS;
    struct tokens second = open_at(f, 0, 1);
    f->now_ms += RTT_MS;
    acknowledge(f, 0, second.opening);
    send_data(f, 0, second.opening, 0, 0, 100);
    struct rg_endpoint *e =
        rg_pool_by_token(rg_balancer_pool(f->instances[0]), second.flow);
    g_assert_cmpuint(e->open_work, ==, 1);
    tick_until(f, f->now_ms + 5000);
    g_assert_cmpuint(e->open_work, ==, 0);
    g_assert_cmpuint(rg_balancer_tracked_count(f->instances[0]), ==, 1);
}

/* Guards against a flow being moved to the wrong upstream by an
 * acknowledgement of new bytes: callers may delay it, and an answer to the
 * opening that they did not take comes in between. */
static void
test_delayed_acknowledgement(struct fixture *f, gconstpointer unused)
{
    struct two_answers a = open_at_two(f);

    (void)unused;
    acknowledge(f, 0, a.taken.opening);
    send_data(f, 0, a.taken.opening, 0, 0, 100);
    for (uint32_t received = 1000; received < 20000; received += 1000) {
        f->now_ms += 40;
        g_assert_cmpuint(
            send_data(f, 0, a.other.opening, 100, received, 0).token, ==,
            a.taken.flow);
        /* Also the end of a flow, and its reset by the caller. */
        struct rg_segment s = segment_from(CALLER_PORT);
        s.token = a.other.opening;
        s.seq = OPENING_SEQ + 101;
        s.ack = UPSTREAM_SEQ + 501 + received;
        s.fin = received >= 10000;
        s.reset = received >= 15000;
        g_assert_cmpuint(
            rg_balancer_packet(f->instances[0], &s, f->now_ms).token, ==,
            a.taken.flow);
    }
    g_assert_cmpuint(counter(f, 0, RG_METRIC_OPENINGS_MOVED), ==, 1);
}

/* Guards against a slow first request being sent on to another upstream: it is
 * retransmitted after the other upstream has repeated its answer to the
 * opening, and nothing has come from its own yet. */
static void
test_slow_first_request(struct fixture *f, gconstpointer unused)
{
    struct two_answers a = open_at_two(f);

    (void)unused;
    /* Callers may leave out the acknowledgement that precedes the data. */
    g_assert_cmpuint(send_data(f, 0, a.taken.opening, 0, 0, 100).token, ==,
                     a.taken.flow);
    for (int i = 0; i < 4; i++) {
        f->now_ms += 200;
        g_assert_cmpuint(send_data(f, 0, a.other.opening, 0, 0, 100).token, ==,
                         a.taken.flow);
    }
}

struct test {
    const char *path;
    void (*run)(struct fixture *f, gconstpointer unused);
};

/* Runs a test in a fleet in which all instances tell the tokens of openings
 * from others, and in one with older instances, whose openings and open flows
 * have the same token. */
static void
add_test(const struct test *t)
{
    g_autofree char *older =
        g_strconcat("/openings/older-peers", strrchr(t->path, '/'), NULL);

    g_test_add(t->path, struct fixture, NULL, setup, t->run, teardown);
    g_test_add(older, struct fixture, "older peers", setup, t->run, teardown);
}

int
main(int argc, char **argv)
{
    static const struct test tests[] = {
        {"/openings/copy-after-opening", test_copy_after_opening},
        {"/openings/copy-without-upstream", test_copy_without_upstream},
        {"/openings/copy-without-route", test_copy_without_route},
        {"/openings/late-copy-elsewhere", test_late_copy_elsewhere},
        {"/openings/new-flow-on-same-ports", test_new_flow_on_same_ports},
        {"/openings/copies-in-one-batch", test_copies_in_one_batch},
        {"/openings/copy-at-live-upstream", test_copy_at_live_upstream},
        {"/openings/late-answer-of-other-upstream",
         test_late_answer_of_other_upstream},
        {"/openings/copies-through-two-instances",
         test_copies_through_two_instances},
        {"/openings/acknowledged-bytes-decide",
         test_acknowledged_bytes_decide},
        {"/openings/request-with-new-acknowledgement",
         test_request_with_new_acknowledgement},
        {"/openings/pause-after-two-answers", test_pause_after_two_answers},
        {"/openings/longest-pause-after-two-answers",
         test_longest_pause_after_two_answers},
        {"/openings/outstanding-after-two-answers",
         test_outstanding_after_two_answers},
    };

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
        add_test(&tests[i]);
    }
    g_test_add("/openings/delayed-acknowledgement", struct fixture, NULL,
               setup, test_delayed_acknowledgement, teardown);
    g_test_add("/openings/slow-first-request", struct fixture, NULL, setup,
               test_slow_first_request, teardown);
    return g_test_run();
}
