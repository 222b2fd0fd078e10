/* Routes that a version of the configuration removes and a later one adds
 * again. An instance that has only the removal so far must not reset flows
 * that were opened after the route was back (review/6); a flow that has lost
 * its route for good is reset. */
#include "balance/flow_records.h"
#include "common/rand.h"
#include "test/fake_instances.h"

/* A confirmation that comes this much after a packet speaks of a state of the
 * store after it. */
#define LATER_MS (CONFIRMATION_LAG_MS + 1)

static void
confirm(struct fixture *f, int instance)
{
    rg_balancer_set_confirmed(f->instances[instance], f->now_ms);
}

/* Opens a flow; its first request has been acknowledged. */
static struct tokens
open_flow(struct fixture *f, int instance)
{
    struct tokens token = open_at(f, instance, 0);

    f->now_ms += RTT_MS;
    send_data(f, instance, token.opening, 0, 0, 100);
    f->now_ms += RTT_MS;
    send_data(f, instance, token.flow, 100, 1000, 0);
    return token;
}

/* The next request of the flow, or a copy of it. */
static struct rg_decision
send_request(struct fixture *f, int instance, struct tokens token)
{
    return send_data(f, instance, token.flow, 100, 1000, 100);
}

static void
assert_served(struct fixture *f, int instance, struct tokens token)
{
    struct rg_decision d = send_request(f, instance, token);

    g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
    g_assert_cmpuint(d.token, ==, token.flow);
}

static void
assert_kind(struct fixture *f, int instance, struct tokens token,
            enum rg_decision_kind kind)
{
    g_assert_cmpint(send_request(f, instance, token).kind, ==, kind);
}

/* Guards against the reset of a flow that this instance opened with an older
 * version, and that the route was back for: it takes the version between. */
static void
test_behind_by_one(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    f->now_ms += 1000; /* since the view was confirmed */
    struct tokens token = open_flow(f, 0);
    set_version(f, 0, 2, false);
    f->now_ms += 70;
    assert_served(f, 0, token);
    set_version(f, 0, 3, true);
    assert_served(f, 0, token);
}

/* The same where the route was removed twice before this instance learns of
 * it, and where the version before the removal is told afterwards. */
static void
test_behind_by_three(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    f->now_ms += 1000;
    struct tokens token = open_flow(f, 0);
    set_version(f, 0, 4, false);
    set_version(f, 0, 3, true);
    set_version(f, 0, 6, false);
    f->now_ms += 70;
    assert_served(f, 0, token);
    set_version(f, 0, 7, true);
    assert_served(f, 0, token);
}

/* A confirmation tells of the store's state before it arrives: one that may be
 * older than the flow proves nothing, a later one does. */
static void
test_confirmed_removal(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    struct tokens token = open_flow(f, 0);
    uint64_t opened_ms = START_MS;
    set_version(f, 0, 2, false);
    f->now_ms = opened_ms + CONFIRMATION_LAG_MS;
    confirm(f, 0);
    assert_served(f, 0, token);
    f->now_ms++;
    confirm(f, 0);
    assert_kind(f, 0, token, RG_DECISION_REFUSE);
}

/* A flow from before the last confirmation has lost its route whenever that
 * was removed: it is reset as soon as the removal is known. */
static void
test_older_flow(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    struct tokens token = open_flow(f, 0);
    f->now_ms += LATER_MS;
    confirm(f, 0);
    assert_served(f, 0, token);
    set_version(f, 0, 2, false);
    assert_kind(f, 0, token, RG_DECISION_REFUSE);
}

/* Guards against the reset of a flow that another instance opened with the
 * newer version, and that the fabric moves to one that lacks it. */
static void
test_moved_flow(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    set_version(f, 1, 2, false);
    f->now_ms += 1000;
    confirm(f, 1); /* before the route was back */
    set_version(f, 0, 3, true);
    struct tokens token = open_flow(f, 0);
    assert_kind(f, 1, token, RG_DECISION_DROP);
    f->now_ms += 200;
    assert_kind(f, 1, token, RG_DECISION_DROP);
    set_version(f, 1, 3, true);
    assert_served(f, 1, token);
}

/* The same flow if the route was not added again: its packets have come here
 * since before the removal was confirmed. */
static void
test_moved_flow_without_route(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    struct tokens token = open_flow(f, 0);
    set_version(f, 1, 2, false);
    assert_kind(f, 1, token, RG_DECISION_DROP);
    f->now_ms += LATER_MS;
    confirm(f, 1);
    assert_kind(f, 1, token, RG_DECISION_REFUSE);
}

/* Guards against the same reset where a peer has told of the flow. */
static void
test_told_by_peer(struct fixture *f, gconstpointer unused)
{
    struct rg_flow_record record;
    struct rg_flow_id flow = segment_from(CALLER_PORT).flow;

    (void)unused;
    set_version(f, 1, 2, false);
    f->now_ms += 1000;
    confirm(f, 1);
    set_version(f, 0, 3, true);
    struct tokens token = open_flow(f, 0);
    g_assert_true(
        rg_balancer_find_flow_record(f->instances[0], &flow, &record));
    rg_balancer_add_flow_record(f->instances[1], &record, f->now_ms);
    assert_served(f, 1, token);
    f->now_ms += LATER_MS;
    confirm(f, 1);
    assert_kind(f, 1, token, RG_DECISION_REFUSE);
}

/* Guards against the reset of a flow whose route a restore of the store has
 * removed: the operator writes the newest version again. */
static void
test_after_restore(struct fixture *f, gconstpointer unused)
{
    struct rg_pool *pool = rg_balancer_pool(f->instances[0]);

    (void)unused;
    struct tokens token = open_flow(f, 0);
    set_version(f, 0, 2, false);
    rg_pool_set_provisional(pool, true);
    f->now_ms += LATER_MS;
    confirm(f, 0);
    assert_served(f, 0, token);
    rg_pool_set_provisional(pool, false);
    assert_kind(f, 0, token, RG_DECISION_REFUSE);
}

/* An instance that is cut off from store and peers does not reset flows. */
static void
test_stale_view(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    struct tokens token = open_flow(f, 0);
    f->now_ms += LATER_MS;
    confirm(f, 0);
    set_version(f, 0, 2, false);
    for (int i = 0; i < 4; i++) {
        f->now_ms += 1000;
        send_request(f, 0, token);
    }
    assert_served(f, 0, token);
}

/* Copies of an opening: a flow that has opened meanwhile is not reset. The
 * first copy is refused at once. */
static void
test_copies(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    open_at(f, 0, 0);
    set_version(f, 0, 2, false);
    set_version(f, 1, 2, false);
    f->now_ms += FIRST_COPY_MS;
    confirm(f, 0);
    confirm(f, 1);
    g_assert_cmpint(open_copy(f, 0, 1).kind, ==, RG_DECISION_DROP);
    g_assert_cmpint(open_copy(f, 1, 1).kind, ==, RG_DECISION_DROP);
    g_assert_cmpint(open_copy(f, 1, 0).kind, ==, RG_DECISION_REFUSE);
    f->now_ms += LATER_MS;
    confirm(f, 0);
    g_assert_cmpint(open_copy(f, 0, 2).kind, ==, RG_DECISION_REFUSE);
}

/* Guards against an entry of an earlier flow with the same ports, which says
 * nothing of the age of this one. */
static void
test_reused_ports(struct fixture *f, gconstpointer unused)
{
    struct rg_segment s = segment_from(CALLER_PORT);

    (void)unused;
    struct tokens token = open_flow(f, 0);
    set_version(f, 0, 2, false);
    f->now_ms += LATER_MS;
    confirm(f, 0);
    s.token = token.flow;
    s.seq = OPENING_SEQ + (1U << 30);
    s.ack = UPSTREAM_SEQ + (1U << 30);
    s.len = 100;
    g_assert_cmpint(rg_balancer_packet(f->instances[0], &s, f->now_ms).kind,
                    !=, RG_DECISION_REFUSE);
}

/* --- any order ------------------------------------------------------------
 */

#define VERSIONS 40
#define RUNS 400
#define STEPS 300
#define STEP_MAX_MS 100

/* The configurations that the store has accepted. */
struct history {
    uint64_t accepted_ms[VERSIONS + 2]; /* by version */
    bool has_route[VERSIONS + 2];
    uint64_t newest;
    uint64_t held[INSTANCES]; /* version that each instance has */
};

/* A flow, and the newest version when it was opened. */
struct opened {
    struct tokens token;
    uint64_t version;
    bool open;
};

/* True if the flow's route was there when it was opened, and has been since.
 */
static bool
keeps_route(const struct history *h, const struct opened *flow)
{
    for (uint64_t v = flow->version; v <= h->newest; v++) {
        if (!h->has_route[v]) {
            return false;
        }
    }
    return true;
}

static void
accept_version(struct fixture *f, struct history *h)
{
    h->newest++;
    h->has_route[h->newest] = !h->has_route[h->newest - 1];
    h->accepted_ms[h->newest] = f->now_ms;
}

/* An instance learns any newer version, that of a peer which is itself behind
 * or the newest. If it then has the newest, its view may be confirmed, by an
 * answer that has been on its way for a while. */
static void
update_view(struct fixture *f, struct history *h, struct rg_rand *rand, int i)
{
    uint32_t lacks = (uint32_t)(h->newest - h->held[i]);
    uint64_t lag_ms = rg_rand_below(rand, CONFIRMATION_LAG_MS);
    uint64_t newest_ms = h->accepted_ms[h->newest];

    if (lacks > 0) {
        h->held[i] += 1 + rg_rand_below(rand, lacks);
        set_version(f, i, h->held[i], h->has_route[h->held[i]]);
    }
    bool is_newest =
        h->held[i] == h->newest && f->now_ms >= newest_ms + lag_ms;
    /* The answer was sent before the newest version came. */
    bool was_newest = h->held[i] + 1 == h->newest &&
                      f->now_ms - newest_ms <= CONFIRMATION_LAG_MS;
    if (is_newest || was_newest) {
        confirm(f, i);
    }
}

/* Returns false once the flow has been reset. */
static bool
play_step(struct fixture *f, struct history *h, struct rg_rand *rand,
          struct opened *flow)
{
    int i = (int)rg_rand_below(rand, INSTANCES);

    f->now_ms += 1 + rg_rand_below(rand, STEP_MAX_MS);
    switch (rg_rand_below(rand, 4)) {
    case 0:
        if (h->newest < VERSIONS) {
            accept_version(f, h);
        }
        break;
    case 1:
        update_view(f, h, rand, i);
        break;
    default:
        if (!flow->open && h->has_route[h->held[i]]) {
            flow->version = h->newest;
            flow->token = open_flow(f, i);
            flow->open = true;
        }
        else if (flow->open &&
                 send_request(f, i, flow->token).kind == RG_DECISION_REFUSE)
        {
            g_assert_false(keeps_route(h, flow));
            return false;
        }
    }
    return true;
}

/* Guards against a reset of a flow that keeps its route, in any order in which
 * instances learn of versions, get confirmations and see the flow's packets.
 */
static void
test_any_order(struct fixture *f, gconstpointer unused)
{
    int resets = 0;

    (void)unused;
    for (uint64_t run = 1; run <= RUNS; run++) {
        struct rg_rand rand = {.state = run};
        struct history h = {.newest = 1, .has_route = {false, true}};
        struct opened flow = {0};
        bool goes_on = true;
        restart_all(f, run);
        for (int i = 0; i < INSTANCES; i++) {
            h.held[i] = 1;
        }
        for (int step = 0; step < STEPS && goes_on; step++) {
            goes_on = play_step(f, &h, &rand, &flow);
        }
        resets += !goes_on;
    }
    /* Flows that have lost their route are reset. */
    g_assert_cmpint(resets, >, RUNS / 2);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    add_case("/removed-routes/behind-by-one", test_behind_by_one);
    add_case("/removed-routes/behind-by-three", test_behind_by_three);
    add_case("/removed-routes/confirmed-removal", test_confirmed_removal);
    add_case("/removed-routes/older-flow", test_older_flow);
    add_case("/removed-routes/moved-flow", test_moved_flow);
    add_case("/removed-routes/moved-flow-without-route",
             test_moved_flow_without_route);
    add_case("/removed-routes/told-by-peer", test_told_by_peer);
    add_case("/removed-routes/after-restore", test_after_restore);
    add_case("/removed-routes/stale-view", test_stale_view);
    add_case("/removed-routes/copies", test_copies);
    add_case("/removed-routes/reused-ports", test_reused_ports);
    add_case("/removed-routes/any-order", test_any_order);
    return g_test_run();
}
