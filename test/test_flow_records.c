/* What instances tell each other of single flows: an instance that did not see
 * a flow open must not follow the token of an upstream that its caller did not
 * take, and finds the right one with its peers' help. */
#include "balance/flow_records.h"
#include "balance/token.h"
#include "test/fake_instances.h"

/* Time after which peers have been told of a flow. */
#define TOLD_MS 700
#define RECORDS_MAX 128
#define FLOWS 100

/* Opens a flow that two upstreams answer; its first request is answered. */
static struct two_answers
open_with_two_answers(struct fixture *f)
{
    struct two_answers a = open_at_two(f);

    acknowledge(f, 0, a.taken.opening);
    send_data(f, 0, a.taken.opening, 0, 0, 100);
    f->now_ms += RTT_MS;
    send_data(f, 0, a.taken.flow, 100, 1000, 0);
    return a;
}

/* Passes what one instance has to tell to another; returns the number of
 * flows.
 */
static size_t
pass_records(struct fixture *f, int from, int to)
{
    struct rg_flow_record records[RECORDS_MAX];
    size_t count = rg_balancer_next_flow_records(f->instances[from], records,
                                                 RECORDS_MAX);

    for (size_t i = 0; i < count; i++) {
        rg_balancer_add_flow_record(f->instances[to], &records[i], f->now_ms);
    }
    return count;
}

/* Passes the questions of one instance to another, and its answers back.
 * Returns the number of questions. */
static size_t
pass_queries(struct fixture *f, int from, int to)
{
    struct rg_flow_id flows[RECORDS_MAX];
    struct rg_flow_record record;
    size_t count =
        rg_balancer_next_flow_queries(f->instances[from], flows, RECORDS_MAX);

    for (size_t i = 0; i < count; i++) {
        if (rg_balancer_find_flow_record(f->instances[to], &flows[i], &record))
        {
            rg_balancer_add_flow_record(f->instances[from], &record,
                                        f->now_ms);
        }
    }
    return count;
}

/* The second request of the flow, after the other upstream has repeated its
 * answer to the opening. */
static struct rg_decision
send_second_request(struct fixture *f, int instance, struct two_answers a)
{
    return send_data(f, instance, a.other.opening, 100, 1000, 100);
}

static void
hold_packets(struct fixture *f)
{
    f->can_hold = true;
    restart_all(f, 1);
}

/* Guards against an order that reaches the wrong upstream after the instance
 * that saw its flow open was stopped as planned: the caller still has the
 * token of the upstream that it did not take. */
static void
test_planned_stop(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    struct two_answers a = open_with_two_answers(f);

    rg_balancer_tell_flows_again(f->instances[0]); /* the stop begins */
    tick_until(f, f->now_ms + RG_BALANCER_TICK_MS);
    g_assert_cmpuint(pass_records(f, 0, 1), ==, 1);
    tick_until(f, f->now_ms + 6000);
    g_assert_cmpuint(send_second_request(f, 1, a).token, ==, a.taken.flow);
}

/* The same where the flow goes to the process that is started in its place.
 * That one knows nothing, so it must not follow the token; it asks the
 * instance that was told, and the retransmission of the order is forwarded. */
static void
test_restarted_instance(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    struct two_answers a = open_with_two_answers(f);

    tick_until(f, f->now_ms + TOLD_MS);
    g_assert_cmpuint(pass_records(f, 0, 1), ==, 1);
    restart_instance(f, 0, 77);
    tick_until(f, f->now_ms + 6000);
    g_assert_cmpint(send_second_request(f, 0, a).kind, ==, RG_DECISION_DROP);
    g_assert_cmpuint(pass_queries(f, 0, 1), ==, 1);
    f->now_ms += FIRST_COPY_MS;
    g_assert_cmpuint(send_second_request(f, 0, a).token, ==, a.taken.flow);
}

/* Guards against an order that reaches the wrong upstream if no peer can be
 * asked: no answer is better than one from an upstream that resets the flow.
 */
static void
test_no_peer_left(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    struct two_answers a = open_with_two_answers(f);

    restart_instance(f, 0, 77);
    for (int i = 0; i < 4; i++) {
        g_assert_cmpint(send_second_request(f, 0, a).kind, ==,
                        RG_DECISION_DROP);
        pass_queries(f, 0, 1);
        tick_until(f, f->now_ms + 200);
    }
    /* Its own upstream has sent something: the token is proof. */
    g_assert_cmpuint(send_data(f, 0, a.taken.flow, 100, 1000, 100).token, ==,
                     a.taken.flow);
}

/* Guards against a flow staying at the wrong upstream whose first request came
 * to an instance that did not see it open: the token alone does not show that
 * the caller took the answer. */
static void
test_no_request_yet(struct fixture *f, gconstpointer unused)
{
    struct two_answers a = open_at_two(f);

    (void)unused;
    acknowledge(f, 0, a.taken.opening);
    tick_until(f, f->now_ms + TOLD_MS);
    send_data(f, 2, a.other.opening, 0, 0, 100);
    g_assert_cmpuint(pass_queries(f, 2, 0), ==, 1);
    f->now_ms += 200;
    g_assert_cmpuint(send_data(f, 2, a.other.opening, 0, 0, 100).token, ==,
                     a.taken.flow);
}

/* Guards against flows that are lost or delayed when they move in the first
 * moments: with the acknowledgement of the answer to the opening its token is
 * enough. Other packets are forwarded as soon as homes have answered that
 * nobody has told them of another endpoint. */
static void
test_moved_at_start(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    hold_packets(f);
    let_homes_listen(f);
    struct tokens token = open_at(f, 0, 0);

    f->now_ms += RTT_MS;
    g_assert_cmpuint(acknowledge(f, 1, token.opening).token, ==, token.flow);
    g_assert_cmpuint(pass_queries(f, 1, 0), ==, 0);
    g_assert_cmpuint(send_data(f, 1, token.opening, 0, 0, 1200).token, ==,
                     token.flow);
    /* The second packet of a long request, without the first. */
    struct rg_segment s = first_data(token.opening);
    s.seq += 1200;
    s.len = 1200;
    g_assert_cmpuint(deliver(f, 2, &s).token, ==, token.flow);
    /* The same where nobody has told homes of the flow. */
    s.flow.caller_port++;
    g_assert_cmpuint(deliver(f, 2, &s).token, ==, token.flow);
}

/* Guards against the packets of a long request being dropped if they arrive in
 * another order than they were sent in. */
static void
test_packets_out_of_order(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    struct tokens token = open_at(f, 0, 0);

    f->now_ms += RTT_MS;
    for (uint32_t sent = 1200 * 15; sent > 0; sent -= 1200) {
        g_assert_cmpuint(send_data(f, 0, token.opening, sent, 0, 1200).token,
                         ==, token.flow);
    }
    g_assert_cmpuint(acknowledge(f, 0, token.opening).token, ==, token.flow);
}

/* Guards against an upstream that got a late copy of the opening being taken
 * for the flow's: the instance that forwarded that copy sees the flow again
 * later. */
static void
test_late_copy_before_flow(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    struct tokens own = open_at(f, 0, 0);
    struct tokens late = own;

    f->now_ms += RTT_MS;
    acknowledge(f, 0, own.opening);
    send_data(f, 0, own.opening, 0, 0, 100);
    f->now_ms += FIRST_COPY_MS;
    for (uint16_t i = 0; late.flow == own.flow && i < 64; i++) {
        restart_instance(f, 1, 100 + i);
        late = open_at(f, 1, 1);
    }
    g_assert_cmpuint(late.flow, !=, own.flow);
    g_assert_cmpint(send_data(f, 1, late.opening, 100, 1000, 100).kind, ==,
                    RG_DECISION_DROP);
    g_assert_cmpuint(pass_queries(f, 1, 0), ==, 1);
    f->now_ms += 200;
    g_assert_cmpuint(send_data(f, 1, late.opening, 100, 1000, 100).token, ==,
                     own.flow);
}

/* Guards against a slow first request that reaches the wrong upstream when its
 * flow moves before peers were told of it: the packet waits for their answer.
 */
static void
test_held_at_start(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    hold_packets(f);
    struct two_answers a = open_at_two(f);
    acknowledge(f, 0, a.taken.opening);
    send_data(f, 0, a.taken.opening, 0, 0, 100);
    f->now_ms += 200;
    struct rg_segment s = first_data(a.other.opening);
    g_assert_cmpint(rg_balancer_packet(f->instances[1], &s, f->now_ms).kind,
                    ==, RG_DECISION_HOLD);
    g_assert_cmpuint(pass_queries(f, 1, 0), ==, 1);
    g_assert_cmpuint(
        rg_balancer_held_packet(f->instances[1], &s, f->now_ms + 2).token, ==,
        a.taken.flow);
    /* From here on it is known. */
    g_assert_cmpuint(rg_balancer_packet(f->instances[1], &s, f->now_ms).token,
                     ==, a.taken.flow);
}

/* The same at an instance that a late copy of the opening has reached. */
static void
test_held_after_late_copy(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    hold_packets(f);
    struct tokens own = open_at(f, 0, 0);
    struct tokens late = own;
    f->now_ms += RTT_MS;
    acknowledge(f, 0, own.opening);
    for (uint16_t i = 0; late.flow == own.flow && i < 64; i++) {
        restart_instance(f, 1, 100 + i);
        late = open_at(f, 1, 1);
    }
    g_assert_cmpuint(late.flow, !=, own.flow);
    struct rg_segment s = first_data(late.opening);
    g_assert_cmpint(rg_balancer_packet(f->instances[1], &s, f->now_ms).kind,
                    ==, RG_DECISION_HOLD);
    g_assert_cmpuint(pass_queries(f, 1, 0), ==, 1);
    g_assert_cmpuint(
        rg_balancer_held_packet(f->instances[1], &s, f->now_ms).token, ==,
        own.flow);
}

/* Guards against packets that wait for ever, or are lost, when no peer knows
 * their flow: two homes say so, the third one has just been started. */
static void
test_held_in_vain(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    hold_packets(f);
    let_homes_listen(f);
    struct tokens token = open_at(f, 0, 0);
    restart_instance(f, 0, 77);
    struct rg_segment s = first_data(token.opening);
    g_assert_cmpint(rg_balancer_packet(f->instances[1], &s, f->now_ms).kind,
                    ==, RG_DECISION_HOLD);
    g_assert_false(rg_balancer_is_flow_found(f->instances[1], &s));
    exchange(f, 1);
    g_assert_true(rg_balancer_is_flow_found(f->instances[1], &s));
    g_assert_cmpuint(
        rg_balancer_held_packet(f->instances[1], &s, f->now_ms).token, ==,
        token.flow);
    s.flow.caller_port++;
    s.token = 12345;
    g_assert_cmpint(rg_balancer_packet(f->instances[1], &s, f->now_ms).kind,
                    ==, RG_DECISION_HOLD);
    g_assert_cmpint(
        rg_balancer_held_packet(f->instances[1], &s, f->now_ms).kind, ==,
        RG_DECISION_DROP);
    g_assert_cmpuint(counter(f, 1, RG_METRIC_HELD), ==, 2);
}

/* Guards against following the token of an answer that the caller did not take
 * since nobody has answered (review-13): the flow moved to an instance that
 * hears its peers, but those that know the flow are not among them, or their
 * answers are lost. Its retransmission finds the endpoint once they answer. */
static void
test_no_answer_at_start(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    hold_packets(f);
    let_homes_listen(f);
    f->cut[1] = true;
    struct two_answers a = open_at_two(f);
    struct rg_segment s = first_data(a.taken.opening);
    g_assert_cmpuint(deliver(f, 0, &s).token, ==, a.taken.flow);
    f->now_ms += 200;
    rg_balancer_peer_heard(f->instances[1], f->now_ms);
    s = first_data(a.other.opening);
    g_assert_cmpint(deliver(f, 1, &s).kind, ==, RG_DECISION_DROP);
    f->cut[1] = false;
    f->now_ms += 400;
    g_assert_cmpuint(deliver(f, 1, &s).token, ==, a.taken.flow);
}

/* Guards against the same after the instance that saw the flow open was killed
 * (review-14): the homes of the flow have been told at once. */
static void
test_killed_after_start(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    hold_packets(f);
    let_homes_listen(f);
    struct two_answers a = open_at_two(f);
    struct rg_segment s = first_data(a.taken.opening);
    g_assert_cmpuint(deliver(f, 0, &s).token, ==, a.taken.flow);
    restart_instance(f, 0, 77);
    f->now_ms += 200;
    s = first_data(a.other.opening);
    g_assert_cmpuint(deliver(f, 1, &s).token, ==, a.taken.flow);
}

/* Guards against following the token of an answer that the caller did not take
 * where no peer can say so: the flow moved to an instance that heard nothing
 * from its peers, asked in vain, and reached an upstream that reset it (soak,
 * seed 74050). Without known peers the token is followed. */
static void
test_no_peers_to_ask(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    hold_packets(f);
    rg_balancer_peer_heard(f->instances[1], f->now_ms);
    struct two_answers a = open_at_two(f);
    acknowledge(f, 0, a.taken.opening);
    send_data(f, 0, a.taken.opening, 0, 0, 100);
    f->now_ms += 1100;
    struct rg_segment s = first_data(a.other.opening);
    g_assert_cmpint(rg_balancer_packet(f->instances[1], &s, f->now_ms).kind,
                    ==, RG_DECISION_HOLD);
    g_assert_cmpint(
        rg_balancer_held_packet(f->instances[1], &s, f->now_ms + 30).kind, ==,
        RG_DECISION_DROP);
    rg_balancer_set_fleet(f->instances[1],
                          &(struct rg_fleet){.instances = 1,
                                             .local_instances = 1,
                                             .share = 1,
                                             .opening_tokens = true});
    g_assert_cmpint(
        rg_balancer_packet(f->instances[1], &s, f->now_ms + 400).kind, ==,
        RG_DECISION_FORWARD);
}

/* Guards against a reset of a flow whose route was removed and added again: it
 * has just opened by way of an instance that has the latest version, and its
 * next packet reaches one that has only seen the removal (soak, sanitized
 * build, seed 5). It is not reset later either, until the version without the
 * route is confirmed to be the newest. */
static void
test_route_added_again(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    set_version(f, 0, 2, false);
    set_version(f, 1, 2, false);
    set_version(f, 0, 3, true);
    struct tokens token = open_at(f, 0, 0);
    f->now_ms += RTT_MS;
    g_assert_cmpint(acknowledge(f, 1, token.opening).kind, ==,
                    RG_DECISION_DROP);
    g_assert_cmpint(send_data(f, 1, token.opening, 0, 0, 100).kind, ==,
                    RG_DECISION_DROP);
    g_assert_cmpint(send_data(f, 1, token.flow, 100, 1000, 100).kind, ==,
                    RG_DECISION_DROP);
    rg_balancer_set_confirmed(f->instances[1], f->now_ms);
    g_assert_cmpint(send_data(f, 1, token.flow, 100, 1000, 100).kind, ==,
                    RG_DECISION_DROP);
    f->now_ms += CONFIRMATION_LAG_MS + 1;
    rg_balancer_set_confirmed(f->instances[1], f->now_ms);
    g_assert_cmpint(send_data(f, 1, token.flow, 100, 1000, 100).kind, ==,
                    RG_DECISION_REFUSE);
}

/* Guards against a flow that counts as moved, so that its hung request is
 * forgotten, because a peer was told of it or got a late copy of its opening.
 */
static void
test_no_false_sighting(struct fixture *f, gconstpointer unused)
{
    struct rg_flow_id flow = segment_from(CALLER_PORT).flow;

    open_with_two_answers(f);
    (void)unused;
    tick_until(f, f->now_ms + TOLD_MS);
    g_assert_cmpuint(pass_records(f, 0, 1), ==, 1);
    g_assert_cmpuint(rg_balancer_flow_seen_ms(f->instances[1], &flow), ==, 0);
    open_at(f, 2, 2);
    g_assert_cmpuint(rg_balancer_flow_seen_ms(f->instances[2], &flow), ==, 0);
    /* What counts is a packet of the open flow. */
    struct rg_endpoint *const *endpoints;
    size_t count;
    endpoints =
        rg_pool_endpoints(rg_balancer_pool(f->instances[1]), 0, &count);
    send_data(f, 1, endpoints[0]->token, 100, 1000, 100);
    g_assert_cmpuint(rg_balancer_flow_seen_ms(f->instances[1], &flow), ==,
                     f->now_ms);
}

/* Guards against a peer's word of an earlier flow being used for a new one
 * with the same ports. */
static void
test_record_of_earlier_flow(struct fixture *f, gconstpointer unused)
{
    struct rg_flow_record record = {.flow = segment_from(CALLER_PORT).flow,
                                    .opening_seq = OPENING_SEQ - 5000};
    struct rg_flow_record found;

    (void)unused;
    struct tokens token = open_at(f, 0, 0);
    f->now_ms += RTT_MS;
    send_data(f, 0, token.opening, 0, 0, 100); /* not proven */
    for (int i = 0; i < UPSTREAMS; i++) {
        g_autofree char *id = g_strdup_printf("u-%d", i);
        record.token = rg_token_of(rg_str_of(id), 5);
        rg_balancer_add_flow_record(f->instances[0], &record, f->now_ms);
    }
    g_assert_cmpuint(send_data(f, 0, token.opening, 0, 0, 100).token, ==,
                     token.flow);
    /* A new flow at an instance that knows only the earlier one. */
    rg_balancer_add_flow_record(f->instances[1], &record, f->now_ms);
    g_assert_true(
        rg_balancer_find_flow_record(f->instances[1], &record.flow, &found));
    g_assert_cmpuint(acknowledge(f, 1, token.opening).token, ==, token.flow);
    g_assert_true(
        rg_balancer_find_flow_record(f->instances[1], &record.flow, &found));
    g_assert_cmpuint(found.opening_seq, ==, OPENING_SEQ);
    g_assert_cmpuint(found.token, ==, token.flow);
}

/* Guards against unbounded memory and datagrams: many flows at once are told
 * in parts, and none is left out. */
static void
test_many_flows(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    for (uint16_t i = 0; i < FLOWS; i++) {
        struct rg_segment s = segment_from(i + 1);
        s.opening = true;
        s.ack = 1; /* the first copy passed another instance */
        s.seq = i;
        struct rg_decision d =
            rg_balancer_packet(f->instances[0], &s, f->now_ms);
        s = (struct rg_segment){.flow = s.flow,
                                .seq = i + 1U,
                                .ack = UPSTREAM_SEQ + 1,
                                .token = d.token};
        rg_balancer_packet(f->instances[0], &s, f->now_ms);
    }
    size_t told = 0;
    for (int i = 0; i < 8; i++) {
        tick_until(f, f->now_ms + RG_BALANCER_TICK_MS);
        size_t count = pass_records(f, 0, 1);
        g_assert_cmpuint(count, <=, RG_FLOW_RECORDS_MAX);
        told += count;
    }
    g_assert_cmpuint(told, ==, FLOWS);
    g_assert_cmpuint(rg_balancer_tracked_count(f->instances[1]), ==, FLOWS);
    /* Questions beyond the limit are left out; retransmissions ask again. */
    for (uint16_t i = 0; i < FLOWS; i++) {
        struct rg_segment s = segment_from(i + 1);
        s.token = 12345;
        rg_balancer_packet(f->instances[2], &s, f->now_ms);
    }
    g_assert_cmpuint(pass_queries(f, 2, 1), ==, RG_FLOW_QUERIES_MAX);
    g_assert_cmpuint(counter(f, 2, RG_METRIC_FLOW_QUERIES_OMITTED), ==,
                     FLOWS - RG_FLOW_QUERIES_MAX);
}

/* Guards against instances of older builds dropping packets with a token that
 * they do not know: openings get the token of open flows while there are any.
 */
static void
test_older_peers(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    struct tokens token = open_at(f, 0, 0);

    g_assert_cmpuint(token.opening, ==, token.flow);
    f->now_ms += RTT_MS;
    g_assert_cmpuint(send_data(f, 1, token.opening, 0, 0, 100).token, ==,
                     token.flow);
}

int
main(int argc, char **argv)
{
    static const struct {
        const char *path;
        void (*run)(struct fixture *f, gconstpointer unused);
    } tests[] = {
        {"/flow-records/planned-stop", test_planned_stop},
        {"/flow-records/restarted-instance", test_restarted_instance},
        {"/flow-records/no-peer-left", test_no_peer_left},
        {"/flow-records/no-request-yet", test_no_request_yet},
        {"/flow-records/moved-at-start", test_moved_at_start},
        {"/flow-records/packets-out-of-order", test_packets_out_of_order},
        {"/flow-records/late-copy-before-flow", test_late_copy_before_flow},
        {"/flow-records/held-at-start", test_held_at_start},
        {"/flow-records/no-answer-at-start", test_no_answer_at_start},
        {"/flow-records/killed-after-start", test_killed_after_start},
        {"/flow-records/held-after-late-copy", test_held_after_late_copy},
        {"/flow-records/held-in-vain", test_held_in_vain},
        {"/flow-records/no-peers-to-ask", test_no_peers_to_ask},
        {"/flow-records/route-added-again", test_route_added_again},
        {"/flow-records/no-false-sighting", test_no_false_sighting},
        {"/flow-records/record-of-earlier-flow", test_record_of_earlier_flow},
        {"/flow-records/many-flows", test_many_flows},
    };

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
        g_test_add(tests[i].path, struct fixture, NULL, setup, tests[i].run,
                   teardown);
    }
    g_test_add("/flow-records/older-peers", struct fixture, "older peers",
               setup, test_older_peers, teardown);
    return g_test_run();
}
