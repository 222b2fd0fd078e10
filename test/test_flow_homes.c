/* Homes of flows: what they are told and answer, and that no decision on an
 * open flow rests on an answer that did not come, whichever messages are lost
 * and whichever instances have been started again. */
#define INSTANCES 6
#include "balance/flow_homes.h"
#include "balance/token.h"
#include "test/fake_instances.h"

#define OPENER 0
/* The flow moves to this instance. */
#define OTHER 1
#define NOBODY UINT32_MAX

static void
prepare(struct fixture *f)
{
    f->can_hold = true;
    restart_all(f, 1);
    let_homes_listen(f);
}

/* Two upstreams answer the opening, and the first data goes to the one that
 * the caller took. */
static struct two_answers
open_doubtful(struct fixture *f)
{
    struct two_answers a = open_at_two(f);
    struct rg_segment s = first_data(a.taken.opening);

    g_assert_cmpuint(deliver(f, OPENER, &s).token, ==, a.taken.flow);
    return a;
}

/* The data comes again, at another instance, with the token of the other
 * upstream. It must not go there. */
static void
assert_not_misrouted(struct fixture *f, const struct two_answers *a)
{
    struct rg_segment s = first_data(a->other.opening);
    struct rg_decision d = deliver(f, OTHER, &s);

    g_assert_true(d.kind == RG_DECISION_DROP || d.token == a->taken.flow);
}

static void
assert_found(struct fixture *f, const struct two_answers *a)
{
    struct rg_segment s = first_data(a->other.opening);

    f->now_ms += 400;
    g_assert_cmpuint(deliver(f, OTHER, &s).token, ==, a->taken.flow);
}

/* Guards against a flow that is sent to the wrong upstream after any one
 * instance was cut off while the homes were told, or while they were asked. */
static void
test_one_cut_off(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    for (int cut = 0; cut < INSTANCES; cut++) {
        prepare(f);
        f->cut[cut] = cut != OPENER; /* while they are told */
        struct two_answers a = open_doubtful(f);
        f->cut[cut] = false;
        f->now_ms += FIRST_COPY_MS;
        assert_not_misrouted(f, &a);
        assert_found(f, &a);

        prepare(f);
        a = open_doubtful(f);
        f->cut[cut] = true; /* while they are asked */
        f->now_ms += FIRST_COPY_MS;
        assert_not_misrouted(f, &a);
        f->cut[cut] = false;
        assert_found(f, &a);
    }
}

/* The same where the asking instance is a home itself, and was cut off all the
 * time: its own word is not enough. */
static void
test_asking_instance_cut_off(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    for (int asking = 1; asking < INSTANCES; asking++) {
        prepare(f);
        f->cut[asking] = true;
        struct two_answers a = open_doubtful(f);
        f->now_ms += FIRST_COPY_MS;
        struct rg_segment s = first_data(a.other.opening);
        g_assert_cmpint(deliver(f, asking, &s).kind, ==, RG_DECISION_DROP);
        f->cut[asking] = false;
    }
}

/* Two instances are started again, and a third one is cut off. */
static void
start_two_again(struct fixture *f, int first, int second, int cut)
{
    prepare(f);
    struct two_answers a = open_doubtful(f);
    restart_instance(f, first, 77);
    restart_instance(f, second, 78);
    f->cut[cut] = true;
    f->now_ms += FIRST_COPY_MS;
    assert_not_misrouted(f, &a);
    f->cut[cut] = false;
}

/* The same after any two instances were started again, and while any other one
 * cannot be reached. What the two were told is lost, and they must not deny
 * it. */
static void
test_two_started_again(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    for (int n = 0; n < INSTANCES * INSTANCES * INSTANCES; n++) {
        int first = n % INSTANCES;
        int second = n / INSTANCES % INSTANCES;
        if (first != OTHER && second != OTHER) {
            start_two_again(f, first, second, n / INSTANCES / INSTANCES);
        }
    }
}

/* Guards against flows that no longer open, or move, while one instance is
 * away: two homes are enough. */
static void
test_one_away(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    for (int away = 0; away < INSTANCES; away++) {
        if (away == OTHER) {
            continue;
        }
        prepare(f);
        struct tokens token = open_at(f, OPENER, 0);
        f->cut[away] = true;
        f->now_ms += RTT_MS;
        struct rg_segment s = first_data(token.opening);
        g_assert_cmpuint(deliver(f, OTHER, &s).token, ==, token.flow);
        f->cut[away] = false;
    }
}

static struct rg_flow_question
question(void)
{
    return (struct rg_flow_question){.flow = segment_from(CALLER_PORT).flow,
                                     .seq = OPENING_SEQ + 1};
}

/* What all homes together say to an instance. */
static bool
is_seen_by_others(struct fixture *f, uint32_t asker)
{
    struct rg_flow_question q = question();
    bool seen = false;

    for (int i = 0; i < INSTANCES; i++) {
        seen = seen || rg_balancer_answer_question(f->instances[i], &q, asker,
                                                   f->now_ms)
                           .seen;
    }
    return seen;
}

/* Guards against a reset of a flow that has moved back to the instance it came
 * from, which still tracks it: that one notices that data is missing, and
 * tells the homes. */
static void
test_moved_back(struct fixture *f, gconstpointer unused)
{
    struct rg_flow_arrival flow;

    (void)unused;
    prepare(f);
    struct tokens token = open_at(f, OPENER, 0);
    f->now_ms += RTT_MS;
    send_data(f, OPENER, token.opening, 0, 0, 100);
    f->now_ms += RTT_MS;
    send_data(f, OPENER, token.flow, 100, 1000, 0);
    g_assert_cmpuint(rg_balancer_next_arrivals(f->instances[OPENER], &flow, 1),
                     ==, 0);
    /* The next request passes another instance. */
    send_data(f, OTHER, token.flow, 100, 1000, 100);
    g_assert_cmpuint(rg_balancer_next_arrivals(f->instances[OTHER], &flow, 1),
                     ==, 1);
    /* Its answer is acknowledged here. */
    send_data(f, OPENER, token.flow, 200, 2000, 0);
    g_assert_cmpuint(rg_balancer_next_arrivals(f->instances[OPENER], &flow, 1),
                     ==, 1);
}

/* Guards against a reset of a flow that has moved to an instance which had
 * just started, and knew nobody to tell (review-11): it tells those that it
 * learns of. */
static void
test_arrival_while_starting(struct fixture *f, gconstpointer unused)
{
    struct rg_fleet alone = {.instances = 1, .opening_tokens = true};
    struct rg_fleet fleet = {.instances = INSTANCES, .opening_tokens = true};
    struct rg_flow_arrival arrival;

    (void)unused;
    prepare(f);
    struct tokens token = open_at(f, OPENER, 0);
    restart_instance(f, OTHER, 77);
    rg_balancer_set_fleet(f->instances[OTHER], &alone);
    send_data(f, OTHER, token.flow, 100, 1000, 0);
    g_assert_cmpuint(
        rg_balancer_next_arrivals(f->instances[OTHER], &arrival, 1), ==, 0);
    rg_balancer_set_fleet(f->instances[OTHER], &fleet);
    uint64_t arrived_ms = f->now_ms;
    tick_until(f, f->now_ms + 600);
    g_assert_cmpuint(
        rg_balancer_next_arrivals(f->instances[OTHER], &arrival, 1), ==, 1);
    g_assert_cmpuint(arrival.at_ms, ==, arrived_ms);
}

/* Guards against an instance that is told of its own packets as if the flow
 * had moved, and against one that is not told of others'. */
static void
test_seen_by(struct fixture *f, gconstpointer unused)
{
    struct rg_flow_id flow = segment_from(CALLER_PORT).flow;
    struct rg_balancer *home = f->instances[2];

    (void)unused;
    g_assert_false(is_seen_by_others(f, NOBODY));
    rg_balancer_keep_sighting(home, &flow, 21, f->now_ms, f->now_ms);
    g_assert_true(is_seen_by_others(f, NOBODY));
    g_assert_false(is_seen_by_others(f, 21));
    /* A late message of the first one does not replace that of the second. */
    rg_balancer_keep_sighting(home, &flow, 22, f->now_ms, f->now_ms);
    rg_balancer_keep_sighting(home, &flow, 21, f->now_ms, f->now_ms);
    g_assert_true(is_seen_by_others(f, 21));
    f->now_ms += RG_FLOW_SIGHTING_KEPT_MS;
    g_assert_false(is_seen_by_others(f, 21));
}

/* Guards against "not seen" for a flow whose entry was replaced by that of
 * another one. */
static void
test_table_full(struct fixture *f, gconstpointer unused)
{
    struct rg_flow_id flow = segment_from(CALLER_PORT).flow;
    struct rg_flow_id other = flow;
    struct rg_balancer *home = f->instances[2];

    (void)unused;
    rg_balancer_keep_sighting(home, &flow, 21, f->now_ms, f->now_ms);
    do {
        other.caller_port++;
    } while (rg_flow_hash(&other) % RG_FLOW_SEEN_MAX !=
             rg_flow_hash(&flow) % RG_FLOW_SEEN_MAX);
    rg_balancer_keep_sighting(home, &other, 21, f->now_ms, f->now_ms);
    g_assert_true(is_seen_by_others(f, NOBODY));
    f->now_ms += RG_FLOW_SIGHTING_KEPT_MS;
    g_assert_false(is_seen_by_others(f, NOBODY));
}

/* Guards against a home that denies an endpoint which it was told of and does
 * not know yet. */
static void
test_endpoint_not_known(struct fixture *f, gconstpointer unused)
{
    struct rg_flow_question q = question();
    struct rg_flow_record record = {
        .flow = q.flow, .token = 12345, .opening_seq = OPENING_SEQ};
    struct rg_balancer *home = f->instances[2];

    (void)unused;
    g_assert_false(
        rg_balancer_answer_question(home, &q, NOBODY, f->now_ms).known);
    rg_balancer_add_flow_record(home, &record, f->now_ms);
    g_assert_true(
        rg_balancer_answer_question(home, &q, NOBODY, f->now_ms).known);
}

/* Guards against a record that outlives its flow: a new flow with the same
 * ports is not known. */
static void
test_earlier_flow(struct fixture *f, gconstpointer unused)
{
    struct rg_flow_question q = question();

    (void)unused;
    prepare(f);
    struct two_answers a = open_doubtful(f);
    g_assert_cmpuint(a.taken.flow, !=, RG_TOKEN_NONE);
    g_assert_true(rg_balancer_answer_question(f->instances[OPENER], &q, NOBODY,
                                              f->now_ms)
                      .known);
    q.seq += RG_SEQ_DISTANCE_MAX * 2;
    for (int i = 0; i < INSTANCES; i++) {
        g_assert_false(
            rg_balancer_answer_question(f->instances[i], &q, NOBODY, f->now_ms)
                .known);
    }
}

/* Guards against answers of a home that may have missed messages: while it was
 * suspended, or heard nobody. */
static void
test_missed_messages(struct fixture *f, gconstpointer unused)
{
    struct rg_balancer *home = f->instances[2];

    (void)unused;
    g_assert_cmpuint(rg_balancer_listening_since_ms(home, f->now_ms), ==,
                     START_MS);
    f->now_ms += 500;
    rg_balancer_peer_heard(home, f->now_ms);
    g_assert_cmpuint(rg_balancer_listening_since_ms(home, f->now_ms), ==,
                     START_MS);
    f->now_ms += 1500;
    rg_balancer_peer_heard(home, f->now_ms);
    g_assert_cmpuint(rg_balancer_listening_since_ms(home, f->now_ms), ==,
                     f->now_ms);
    f->now_ms += 300;
    rg_balancer_paused(home, f->now_ms);
    g_assert_cmpuint(rg_balancer_listening_since_ms(home, f->now_ms), ==,
                     f->now_ms);
    f->now_ms += RG_FLOW_SIGHTING_KEPT_MS + 1000;
    g_assert_cmpuint(rg_balancer_listening_since_ms(home, f->now_ms), ==,
                     f->now_ms - RG_FLOW_SIGHTING_KEPT_MS);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    add_case("/flow-homes/one-cut-off", test_one_cut_off);
    add_case("/flow-homes/asking-instance-cut-off",
             test_asking_instance_cut_off);
    add_case("/flow-homes/two-started-again", test_two_started_again);
    add_case("/flow-homes/one-away", test_one_away);
    add_case("/flow-homes/moved-back", test_moved_back);
    add_case("/flow-homes/arrival-while-starting",
             test_arrival_while_starting);
    add_case("/flow-homes/seen-by", test_seen_by);
    add_case("/flow-homes/table-full", test_table_full);
    add_case("/flow-homes/endpoint-not-known", test_endpoint_not_known);
    add_case("/flow-homes/earlier-flow", test_earlier_flow);
    add_case("/flow-homes/missed-messages", test_missed_messages);
    return g_test_run();
}
