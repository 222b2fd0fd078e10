/* Outlier detection in simulated fleets of 4 to 1,600 instances that share the
 * same load. In a large fleet one instance sees too few requests at an
 * upstream to detect an outlier; the instances of its data centre together see
 * enough. */
#include "balance/outlier.h"
#include "proto/messages.gen.h"
#include "test/fake_service.h"

#define SEED 17
#define UPSTREAMS 300
#define BAD 75 /* of them, assigned to the data centres in turn */
#define PER_S 1300
#define DEADLINE_MS 1500
#define STEP_MS 100
/* Even the instance with the smallest share of the load knows its medians by
 * then. */
#define WARMUP_MS 12000
/* Limits for all control traffic, and for digests without outcomes. */
#define CONTROL_BYTES_PER_S 5000
#define DIGEST_BYTES_PER_S 2000

struct fleet_size {
    int instances;
    int data_centres;
};

static const struct fleet_size sizes[] = {
    {4, 1}, {78, 5}, {300, 5}, {1600, 20}};

static struct fake_service *
create_fleet(const struct fleet_size *size)
{
    struct fake_opts opts = {
        .balancers = size->instances,
        .upstreams = UPSTREAMS,
        .data_centres = size->data_centres,
        .deadline_ms = DEADLINE_MS,
        .seed = SEED,
    };
    struct fake_service *s = fake_service_create_with(&opts);

    fake_run(s, WARMUP_MS, PER_S);
    fake_reset_results(s);
    return s;
}

static void
set_bad(struct fake_service *s, enum fake_condition condition)
{
    for (int i = 0; i < BAD; i++) {
        s->upstreams[i].condition = condition;
    }
}

/* Flows that went to the bad upstreams. */
static uint32_t
flows_to_bad(const struct fake_service *s)
{
    uint32_t flows = 0;

    for (int i = 0; i < BAD; i++) {
        flows += s->upstreams[i].opened;
    }
    return flows;
}

/* Time until the bad upstreams get less than half of the flows that they would
 * get without outlier detection. */
static uint32_t
avoided_after_ms(struct fake_service *s)
{
    uint32_t window = 2 * STEP_MS;
    double expected = PER_S * window / 1000.0 * BAD / UPSTREAMS;
    uint32_t before = flows_to_bad(s);

    for (uint32_t ms = window; ms <= 4000; ms += window) {
        fake_run(s, window, PER_S);
        uint32_t now = flows_to_bad(s);
        if (now - before < expected / 2) {
            return ms;
        }
        before = now;
    }
    return UINT32_MAX;
}

/* Outliers as seen by each running instance, summed over the instances. */
static uint32_t
outlier_count(const struct fake_service *s)
{
    uint32_t sum = 0;

    for (int b = MAX(s->partitioned, s->paused); b < s->balancer_count; b++) {
        size_t count;
        struct rg_endpoint *const *endpoints =
            rg_pool_endpoints(rg_balancer_pool(s->balancers[b]), 0, &count);
        for (size_t i = 0; i < count; i++) {
            sum += rg_endpoint_is_outlier(endpoints[i]);
        }
    }
    return sum;
}

/* Share of outliers in all pairs of instance and upstream. */
static double
outlier_share(const struct fake_service *s)
{
    return (double)outlier_count(s) / s->balancer_count / UPSTREAMS;
}

static double
share(uint32_t part, const struct fake_service *s)
{
    return (double)part / s->requests;
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

/* A quarter of the upstreams accepts requests and never answers. A large fleet
 * avoids them as soon as a small one, and their hanging requests are retried
 * elsewhere. */
static void
check_hanging_upstreams(uint32_t digests_lost)
{
    uint32_t smallest_ms = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create_fleet(&sizes[i]);
        s->digests_lost = digests_lost;
        set_bad(s, FAKE_HANGING);
        uint32_t ms = avoided_after_ms(s);
        smallest_ms = smallest_ms ? smallest_ms : ms;
        g_assert_cmpuint(ms, <=, 2 * smallest_ms);
        fake_run(s, 8000 - ms, PER_S);
        g_assert_cmpfloat(share(flows_to_bad(s), s), <, 0.25 * 0.4);
        g_assert_cmpfloat(share(s->lost, s), <, 0.005);
        double rows_per_s = (double)s->rows_sent / 8 / s->balancer_count;
        g_assert_cmpfloat(rows_per_s * row_bytes() + DIGEST_BYTES_PER_S, <,
                          CONTROL_BYTES_PER_S);
        fake_service_destroy(s);
    }
}

static void
test_hanging_upstreams(void)
{
    check_hanging_upstreams(0);
}

/* The same while a fifth of the digests is lost. */
static void
test_digests_lost(void)
{
    check_hanging_upstreams(20);
}

/* Upstreams that answer again get their load back. */
static void
test_upstreams_recover(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create_fleet(&sizes[i]);
        set_bad(s, FAKE_HANGING);
        fake_run(s, 4000, PER_S);
        set_bad(s, FAKE_HEALTHY);
        fake_run(s, 9000, PER_S);
        fake_reset_results(s);
        fake_run(s, 4000, PER_S);
        g_assert_cmpfloat(outlier_share(s), <, 0.02);
        g_assert_cmpfloat(share(flows_to_bad(s), s), >, 0.25 * 0.7);
        fake_service_destroy(s);
    }
}

/* A quarter of the upstreams becomes slow without failing. Hardly any request
 * that would have been answered is reset. */
static void
test_slow_upstreams(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create_fleet(&sizes[i]);
        set_bad(s, FAKE_SLOW);
        fake_run(s, 8000, PER_S);
        g_assert_cmpfloat(share(s->premature_resets, s), <, 0.001);
        g_assert_cmpuint(s->lost, ==, 0);
        fake_service_destroy(s);
    }
}

/* A quarter of the instances cannot reach any upstream. They must not make the
 * other instances treat healthy upstreams as outliers. */
static void
test_partitioned_instances(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create_fleet(&sizes[i]);
        s->partitioned = s->balancer_count / 4;
        fake_run(s, 4000, PER_S);
        g_assert_cmpfloat(outlier_share(s), <, 0.005);
        fake_service_destroy(s);
    }
}

/* A quarter of the instances is suspended for a while. Requests that waited
 * meanwhile say nothing about their upstreams. */
static void
test_suspended_instances(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create_fleet(&sizes[i]);
        int count = s->balancer_count / 4;
        s->paused = count;
        fake_run(s, 3000, PER_S);
        s->paused = 0;
        for (int b = 0; b < count; b++) {
            rg_balancer_paused(s->balancers[b], s->now_ms);
        }
        fake_reset_results(s);
        fake_run(s, 300, PER_S);
        g_assert_cmpuint(s->rows_sent, ==, 0);
        g_assert_cmpuint(outlier_count(s), ==, 0);
        fake_service_destroy(s);
    }
}

/* After a release new upstreams are slower for a while, which must not make
 * them outliers. */
static void
test_release(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create_fleet(&sizes[i]);
        for (int u = 0; u < UPSTREAMS / 2; u++) {
            s->upstreams[u].cold_until_ms = s->now_ms + 4000;
            fake_update_entry(s, u, 2);
        }
        fake_run(s, 4000, PER_S);
        g_assert_cmpfloat(outlier_share(s), <, 0.005);
        g_assert_cmpuint(s->resets, ==, 0);
        fake_service_destroy(s);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fleet/hanging-upstreams", test_hanging_upstreams);
    g_test_add_func("/fleet/digests-lost", test_digests_lost);
    g_test_add_func("/fleet/upstreams-recover", test_upstreams_recover);
    g_test_add_func("/fleet/slow-upstreams", test_slow_upstreams);
    g_test_add_func("/fleet/partitioned-instances",
                    test_partitioned_instances);
    g_test_add_func("/fleet/suspended-instances", test_suspended_instances);
    g_test_add_func("/fleet/release", test_release);
    return g_test_run();
}
