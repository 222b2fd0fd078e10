/* Evidence that an upstream cannot be reached: what counts, for how long, and
 * what ends it. Guards against resets on evidence of one instance, on evidence
 * that is out of date, and against responses that peers have told of. */
#include <glib.h>

#include "balance/pool.h"

#define START_MS 100000
#define SENT_MS (START_MS + 5000)
#define FIRST_COPY_MS (SENT_MS + 200)
#define SECOND_COPY_MS (SENT_MS + 600)
#define FROZEN_MS 1800
#define DEADLINE_MS 2500

struct fixture {
    struct rg_data_centre dc;
    uint64_t any_response_ms;
    struct rg_endpoint endpoints[3];
    struct rg_unacknowledged_request request;
};

static void
setup(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    f->dc.last_response_ms = START_MS;
    f->any_response_ms = START_MS;
    for (size_t i = 0; i < G_N_ELEMENTS(f->endpoints); i++) {
        f->endpoints[i] = (struct rg_endpoint){
            .token = (uint32_t)i + 1,
            .data_centre = &f->dc,
            .any_response_ms = &f->any_response_ms,
            .last_response_ms = START_MS,
        };
    }
    f->request = (struct rg_unacknowledged_request){
        .sent_ms = SENT_MS, .timeout_ms = DEADLINE_MS, .instances = 10};
}

static void
report(struct fixture *f, int endpoint, uint32_t source, uint64_t now_ms)
{
    rg_unacknowledged_add_report(
        &f->endpoints[endpoint], source,
        &(struct rg_unacknowledged_report){.at_ms = now_ms}, now_ms);
}

static enum rg_unacknowledged_reason
check(const struct fixture *f, uint64_t now_ms)
{
    return rg_unacknowledged_check(&f->endpoints[0], &f->request, now_ms);
}

/* The request is retransmitted; two other instances see the same there. */
static void
add_all(struct fixture *f)
{
    rg_unacknowledged_add(&f->endpoints[0], SENT_MS, 1, FIRST_COPY_MS);
    rg_unacknowledged_add(&f->endpoints[0], SENT_MS, 2, SECOND_COPY_MS);
    rg_unacknowledged_add(&f->endpoints[0], SENT_MS, 3, SENT_MS + 1400);
    report(f, 0, 1, SENT_MS + 1500);
    report(f, 0, 2, SENT_MS + 1600);
}

/* It may be frozen at first; evidence of one instance is not enough, and that
 * of several is only as long as it is recent. */
static void
test_upstream(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    add_all(f);
    g_assert_cmpint(check(f, SENT_MS + FROZEN_MS - 1), ==, RG_REACHABLE);
    g_assert_cmpint(check(f, SENT_MS + FROZEN_MS), ==,
                    RG_UNREACHABLE_UPSTREAM);
    g_assert_cmpint(check(f, SENT_MS + 4000), ==, RG_REACHABLE);
}

static void
test_one_instance(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    rg_unacknowledged_add(&f->endpoints[0], SENT_MS, 2, SECOND_COPY_MS);
    rg_unacknowledged_add(&f->endpoints[0], SENT_MS, 3, SENT_MS + 1400);
    f->endpoints[0].retransmissions = 100;
    f->any_response_ms = SENT_MS + FROZEN_MS;
    report(f, 0, 1, SENT_MS + 1500);
    report(f, 0, 1, SENT_MS + 1600);
    g_assert_cmpint(check(f, SENT_MS + FROZEN_MS), ==, RG_REACHABLE);
}

static void
test_short_deadline(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    f->request.timeout_ms = 800;
    rg_unacknowledged_add(&f->endpoints[0], SENT_MS, 2, SECOND_COPY_MS);
    report(f, 0, 1, SECOND_COPY_MS);
    report(f, 0, 2, SECOND_COPY_MS);
    g_assert_cmpint(check(f, SECOND_COPY_MS), ==, RG_UNREACHABLE_UPSTREAM);
}

/* A response that a peer tells of ends it, and so does one here, which is then
 * told to peers, but not too often. */
static void
test_responses(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    add_all(f);
    rg_unacknowledged_add_report(
        &f->endpoints[0], 3,
        &(struct rg_unacknowledged_report){.response_ms = SENT_MS + 300},
        SENT_MS + 1700);
    g_assert_cmpint(check(f, SENT_MS + FROZEN_MS), ==, RG_REACHABLE);
    g_assert_true(
        rg_unacknowledged_responded(&f->endpoints[0], SENT_MS + 2000));
    g_assert_false(
        rg_unacknowledged_responded(&f->endpoints[0], SENT_MS + 2100));
    g_assert_false(
        rg_unacknowledged_responded(&f->endpoints[1], SENT_MS + 2100));
}

/* Three upstreams of a data centre, unless it has responded since. */
static void
test_data_centre(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    rg_unacknowledged_add(&f->endpoints[0], SENT_MS, 2, SECOND_COPY_MS);
    report(f, 1, 1, SECOND_COPY_MS);
    g_assert_cmpint(check(f, SENT_MS + 900), ==, RG_REACHABLE);
    report(f, 2, 1, SECOND_COPY_MS);
    g_assert_cmpint(check(f, SENT_MS + 700), ==, RG_REACHABLE);
    g_assert_cmpint(check(f, SENT_MS + 900), ==, RG_UNREACHABLE_DATA_CENTRE);
    rg_unacknowledged_add_report(
        &f->endpoints[2], 1,
        &(struct rg_unacknowledged_report){.dc_response_ms = SENT_MS + 500},
        SENT_MS + 900);
    g_assert_cmpint(check(f, SENT_MS + 900), ==, RG_REACHABLE);
}

static void
test_gone(struct fixture *f, gconstpointer unused)
{
    (void)unused;
    f->endpoints[0].state = RG_ENDPOINT_MISSING;
    g_assert_cmpint(check(f, SECOND_COPY_MS), ==, RG_REACHABLE);
    f->endpoints[0].state = RG_ENDPOINT_GONE;
    g_assert_cmpint(check(f, SECOND_COPY_MS), ==, RG_UNREACHABLE_GONE);
    f->endpoints[0].last_response_ms = SENT_MS + 300;
    g_assert_cmpint(check(f, SECOND_COPY_MS), ==, RG_REACHABLE);
}

int
main(int argc, char **argv)
{
    static const struct {
        const char *path;
        void (*run)(struct fixture *f, gconstpointer unused);
    } tests[] = {
        {"/unacknowledged/upstream", test_upstream},
        {"/unacknowledged/one-instance", test_one_instance},
        {"/unacknowledged/short-deadline", test_short_deadline},
        {"/unacknowledged/responses", test_responses},
        {"/unacknowledged/data-centre", test_data_centre},
        {"/unacknowledged/gone", test_gone},
    };

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
        g_test_add(tests[i].path, struct fixture, NULL, setup, tests[i].run,
                   NULL);
    }
    return g_test_run();
}
