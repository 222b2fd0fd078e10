/* Evidence in fleets of any size, without a network: what one instance sees
 * too little of, its data centre knows. Each case names the pattern it
 * answers. The same load is spread over 4 to 1,600 instances. */
#include "balance/outlier.h"
#include "proto/messages.gen.h"
#include "test/fake_service.h"

#define SEED 17
#define UPSTREAMS 300
#define BAD 75 /* of them, in turn over the data centres */
#define PER_S 1300
#define DEADLINE_MS 1500
#define STEP_MS 100
/* Until the smallest share of the load has shown what is usual. */
#define WARM_MS 12000
/* For all control, and for digests without outcomes. */
#define CONTROL_BYTES_PER_S 5000
#define DIGEST_BYTES_PER_S 2000

struct size {
    int instances;
    int data_centres;
};

static const struct size sizes[] = {{4, 1}, {78, 5}, {300, 5}, {1600, 20}};

static struct fake_service *
fleet(const struct size *size)
{
    struct fake_opts opts = {
        .balancers = size->instances,
        .upstreams = UPSTREAMS,
        .data_centres = size->data_centres,
        .deadline_ms = DEADLINE_MS,
        .seed = SEED,
    };
    struct fake_service *s = fake_service_with(&opts);

    fake_run(s, WARM_MS, PER_S);
    fake_reset(s);
    return s;
}

static void
set_bad(struct fake_service *s, enum fake_condition condition)
{
    for (int i = 0; i < BAD; i++) {
        s->upstreams[i].condition = condition;
    }
}

/* Flows that went to the bad ones. */
static uint32_t
asked_of_bad(const struct fake_service *s)
{
    uint32_t asked = 0;

    for (int i = 0; i < BAD; i++) {
        asked += s->upstreams[i].asked;
    }
    return asked;
}

/* Time until less than half of what an unaware fleet would send there goes to
 * the bad upstreams. */
static uint32_t
avoided_after_ms(struct fake_service *s)
{
    uint32_t window = 2 * STEP_MS;
    double unaware = PER_S * window / 1000.0 * BAD / UPSTREAMS;
    uint32_t before = asked_of_bad(s);

    for (uint32_t ms = window; ms <= 4000; ms += window) {
        fake_run(s, window, PER_S);
        uint32_t now = asked_of_bad(s);
        if (now - before < unaware / 2) {
            return ms;
        }
        before = now;
    }
    return UINT32_MAX;
}

/* Upstreams that an instance has condemned, over all that run. */
static uint32_t
condemned(const struct fake_service *s)
{
    uint32_t sum = 0;

    for (int b = MAX(s->cut, s->paused); b < s->balancer_count; b++) {
        size_t count;
        struct rg_endpoint *const *boots =
            rg_pool_endpoints(rg_balancer_pool(s->balancers[b]), 0, &count);
        for (size_t i = 0; i < count; i++) {
            sum += rg_endpoint_is_outlier(boots[i]);
        }
    }
    return sum;
}

/* Share of verdicts, of all that could be. */
static double
condemned_share(const struct fake_service *s)
{
    return (double)condemned(s) / s->balancer_count / UPSTREAMS;
}

static double
share(uint32_t part, const struct fake_service *s)
{
    return (double)part / s->asked;
}

/* Bytes that a row of outcomes adds to a digest. */
static double
row_bytes(void)
{
    struct rg_msg m = {.kind = RG_MSG_DIGEST};
    uint8_t out[2048];
    size_t without = rg_msg_pack(&m, out, sizeof(out));

    m.u.digest.outcomes_count = FAKE_ROWS_MAX;
    for (int i = 0; i < FAKE_ROWS_MAX; i++) {
        m.u.digest.outcomes[i] = (struct rg_msg_outcomes){
            .token = UINT32_MAX,
            .source = UINT32_MAX,
            .serial = 1000,
            .failed = 3,
            .age_ms = 1000,
            .failed_age_ms = 1000,
            .answered_age_ms = 1000,
        };
    }
    return (double)(rg_msg_pack(&m, out, sizeof(out)) - without) /
           FAKE_ROWS_MAX;
}

/* Pattern: a quarter of the upstreams takes requests and never answers. It is
 * left as soon in a large fleet as in a small one, and what hangs there is
 * asked again elsewhere. */
static void
never_answered(uint32_t digests_lost)
{
    uint32_t smallest_ms = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = fleet(&sizes[i]);
        s->digests_lost = digests_lost;
        set_bad(s, FAKE_MUTE);
        uint32_t ms = avoided_after_ms(s);
        smallest_ms = smallest_ms ? smallest_ms : ms;
        g_assert_cmpuint(ms, <=, 2 * smallest_ms);
        fake_run(s, 8000 - ms, PER_S);
        g_assert_cmpfloat(share(asked_of_bad(s), s), <, 0.25 * 0.4);
        g_assert_cmpfloat(share(s->lost, s), <, 0.005);
        double rows_per_s = (double)s->rows_told / 8 / s->balancer_count;
        g_assert_cmpfloat(rows_per_s * row_bytes() + DIGEST_BYTES_PER_S, <,
                          CONTROL_BYTES_PER_S);
        fake_service_destroy(s);
    }
}

static void
test_never_answered(void)
{
    never_answered(0);
}

/* Pattern: the same, while digests are lost. */
static void
test_digests_lost(void)
{
    never_answered(20);
}

/* The return: whoever answers again gets its work back. */
static void
test_return(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = fleet(&sizes[i]);
        set_bad(s, FAKE_MUTE);
        fake_run(s, 4000, PER_S);
        set_bad(s, FAKE_WELL);
        fake_run(s, 9000, PER_S);
        fake_reset(s);
        fake_run(s, 4000, PER_S);
        g_assert_cmpfloat(condemned_share(s), <, 0.02);
        g_assert_cmpfloat(share(asked_of_bad(s), s), >, 0.25 * 0.7);
        fake_service_destroy(s);
    }
}

/* Pattern: a quarter of the upstreams turns slow, none is dead. Hardly any
 * answer that would have come is cut off. */
static void
test_slow(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = fleet(&sizes[i]);
        set_bad(s, FAKE_SLOW);
        fake_run(s, 8000, PER_S);
        g_assert_cmpfloat(share(s->cut_off, s), <, 0.001);
        g_assert_cmpuint(s->lost, ==, 0);
        fake_service_destroy(s);
    }
}

/* Pattern: a quarter of the instances is cut off from every upstream. They
 * must not condemn the world for the others. */
static void
test_cut_instances(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = fleet(&sizes[i]);
        s->cut = s->balancer_count / 4;
        fake_run(s, 4000, PER_S);
        g_assert_cmpfloat(condemned_share(s), <, 0.005);
        fake_service_destroy(s);
    }
}

/* Pattern: a quarter of the instances stands still for a while. What waited
 * there meanwhile says nothing of its upstreams. */
static void
test_paused_instances(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = fleet(&sizes[i]);
        int count = s->balancer_count / 4;
        s->paused = count;
        fake_run(s, 3000, PER_S);
        s->paused = 0;
        for (int b = 0; b < count; b++) {
            rg_balancer_paused(s->balancers[b], s->now_ms);
        }
        fake_reset(s);
        fake_run(s, 300, PER_S);
        g_assert_cmpuint(s->rows_told, ==, 0);
        g_assert_cmpuint(condemned(s), ==, 0);
        fake_service_destroy(s);
    }
}

/* Pattern: a release. New upstreams are slower for a while, which is no reason
 * to leave them. */
static void
test_release(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = fleet(&sizes[i]);
        for (int u = 0; u < UPSTREAMS / 2; u++) {
            s->upstreams[u].cold_until_ms = s->now_ms + 4000;
            fake_report(s, u, 2);
        }
        fake_run(s, 4000, PER_S);
        g_assert_cmpfloat(condemned_share(s), <, 0.005);
        g_assert_cmpuint(s->resets, ==, 0);
        fake_service_destroy(s);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fleet/never-answered", test_never_answered);
    g_test_add_func("/fleet/digests-lost", test_digests_lost);
    g_test_add_func("/fleet/return", test_return);
    g_test_add_func("/fleet/slow", test_slow);
    g_test_add_func("/fleet/cut-instances", test_cut_instances);
    g_test_add_func("/fleet/paused-instances", test_paused_instances);
    g_test_add_func("/fleet/release", test_release);
    return g_test_run();
}
