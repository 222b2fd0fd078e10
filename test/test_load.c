/* Choice of upstreams under load, in a simulated service. Each test names the
 * situation that it covers; its bounds are for what callers see. */
#include "test/fake_service.h"

#define SEED 11
#define SILENT_SEEDS 24
#define BALANCERS 4
#define UPSTREAMS 14
/* About 30% of the capacity of 14 upstreams with 2 slots and 22 ms of work per
 * request. */
#define PER_S 380
#define CAPACITY_PER_S 1272

static double
share(uint32_t part, const struct fake_service *s)
{
    return (double)part / s->requests;
}

static double
busiest_to_mean(const struct fake_service *s)
{
    uint32_t most = 0;
    uint32_t sum = 0;

    for (int i = 0; i < s->upstream_count; i++) {
        sum += s->upstreams[i].served;
        most = MAX(most, s->upstreams[i].served);
    }
    return (double)most * s->upstream_count / sum;
}

/* Normal operation: load spreads evenly over the upstreams, although each
 * balancer sees only its share of it. */
static void
test_even_load(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 10000, PER_S);
    g_assert_cmpfloat(share(s->in_time, s), >, 0.99);
    g_assert_cmpfloat(busiest_to_mean(s), <, 1.15);
    fake_service_destroy(s);
}

/* Upstreams become silent. A few lost openings are enough to avoid them; a
 * retransmitted opening goes elsewhere, and few requests are late. */
static void
test_silent_upstreams(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 4000, PER_S);
    fake_reset_results(s);
    for (int i = 0; i < 4; i++) {
        s->upstreams[i].condition = FAKE_SILENT;
    }
    fake_run(s, 8000, PER_S);
    g_assert_cmpuint(s->lost, ==, 0);
    g_assert_cmpfloat(share(s->late, s), <, 0.03);
    fake_service_destroy(s);
}

/* A third of many upstreams alternately goes down and up, while each balancer
 * sees few of the openings. A caller whose opening was lost must not lose the
 * retransmission, too: that goes to an upstream that has just responded. */
static void
test_flapping_upstreams(void)
{
    struct fake_service *s = fake_service_create(8, 60, SEED);

    fake_run(s, 4000, PER_S);
    fake_reset_results(s);
    for (int round = 0; round < 8; round++) {
        for (int i = 0; i < 20; i++) {
            s->upstreams[round % 2 ? i + 20 : i].condition = FAKE_SILENT;
            s->upstreams[round % 2 ? i : i + 20].condition = FAKE_HEALTHY;
        }
        fake_run(s, 1000, PER_S);
    }
    g_assert_cmpuint(s->lost, ==, 0);
    g_assert_cmpfloat(share(s->lost_twice, s), <, 0.01);
    fake_service_destroy(s);
}

/* A silent upstream that responds again gets its share of the load back within
 * seconds. */
static void
test_silent_upstream_recovers(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 3000, PER_S);
    s->upstreams[0].condition = FAKE_SILENT;
    fake_run(s, 4000, PER_S);
    s->upstreams[0].condition = FAKE_HEALTHY;
    fake_run(s, 9000, PER_S);
    fake_reset_results(s);
    fake_run(s, 6000, PER_S);
    g_assert_cmpuint(s->upstreams[0].served, >, s->requests / UPSTREAMS / 2);
    fake_service_destroy(s);
}

/* Upstreams fail at once but look healthy. Since they are idle, they would
 * attract ever more load; their short and fast answers reveal the errors. */
static void
test_quick_errors(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 4000, PER_S);
    fake_reset_results(s);
    for (int i = 0; i < 4; i++) {
        s->upstreams[i].condition = FAKE_ERROR;
    }
    fake_run(s, 8000, PER_S);
    /* With an even distribution 4 of 14 would fail. */
    g_assert_cmpfloat(share(s->errors, s), <, 0.06);
    fake_service_destroy(s);
}

/* Upstreams accept requests and never answer. They are found by their overdue
 * requests and avoided, so that few requests are lost. */
static void
test_hanging_upstreams(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 4000, PER_S);
    fake_reset_results(s);
    for (int i = 0; i < 4; i++) {
        s->upstreams[i].condition = FAKE_HANGING;
    }
    fake_run(s, 8000, PER_S);
    g_assert_cmpfloat(share(s->lost, s), <, 0.06);
    fake_service_destroy(s);
}

/* Upstreams become slow. They get less load, and few requests are late. */
static void
test_slow_upstreams(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 4000, PER_S);
    fake_reset_results(s);
    for (int i = 0; i < 3; i++) {
        s->upstreams[i].condition = FAKE_SLOW;
    }
    fake_run(s, 8000, PER_S);
    g_assert_cmpfloat(share(s->in_time, s), >, 0.94);
    g_assert_cmpuint(s->lost, ==, 0);
    fake_service_destroy(s);
}

/* After a release, new and cold upstreams get less load than warm ones, but
 * are not idle. */
static void
test_cold_upstreams(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    for (int i = 0; i < 5; i++) {
        s->upstreams[i].cold_until_ms = s->now_ms + 60000;
        fake_update_entry(s, i, 2);
    }
    fake_run(s, 8000, PER_S);
    uint32_t cold = 0;
    for (int i = 0; i < 5; i++) {
        cold += s->upstreams[i].served;
    }
    double fair = 5.0 * s->requests / UPSTREAMS;
    g_assert_cmpfloat(cold, <, fair);
    g_assert_cmpfloat(cold, >, fair / 4);
    g_assert_cmpfloat(share(s->in_time, s), >, 0.99);
    fake_service_destroy(s);
}

/* Load exceeds the capacity. Without admission control the queue grows until
 * every answer is late. With it the excess is refused at once, and nearly all
 * admitted requests are answered in time. */
static void
test_overload(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 4000, PER_S);
    fake_reset_results(s);
    fake_run(s, 6000, CAPACITY_PER_S * 1.1);
    /* Load is 1.1 of the capacity. Without admission control, 0.29 of all
     * requests were in time. */
    g_assert_cmpfloat(share(s->in_time, s), >, 0.65);
    g_assert_cmpfloat(share(s->refused, s), <, 0.1);
    g_assert_cmpuint(s->lost, ==, 0);
    /* A request waiting in a queue must not be reset. */
    g_assert_cmpuint(s->resets, ==, 0);
    fake_run(s, 3000, PER_S);
    fake_reset_results(s);
    fake_run(s, 3000, PER_S);
    g_assert_cmpuint(s->refused, ==, 0);
    fake_service_destroy(s);
}

/* All upstreams are slow but none is full. Nothing is refused, since that
 * would make no answer faster. */
static void
test_all_upstreams_slow(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    for (int i = 0; i < UPSTREAMS; i++) {
        s->upstreams[i].condition = FAKE_SLOW;
    }
    fake_run(s, 8000, CAPACITY_PER_S / 5 * 0.4);
    g_assert_cmpuint(s->refused, ==, 0);
    g_assert_cmpuint(s->resets, ==, 0);
    fake_service_destroy(s);
}

/* All upstreams are slow, and half of the flows go to one instance. That
 * instance uses more than an equal part of the slots and refuses hardly any
 * flow while others are free. */
static void
test_slow_upstreams_uneven_load(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_set_uneven(s);
    for (int i = 0; i < UPSTREAMS; i++) {
        s->upstreams[i].condition = FAKE_SLOW;
    }
    fake_run(s, 8000, CAPACITY_PER_S / 5 * 0.6);
    g_assert_cmpfloat(share(s->refused, s), <, 0.005);
    fake_service_destroy(s);
}

/* Share of requests in time after all upstreams were silent and have
 * recovered. */
static double
in_time_after_silence(uint64_t seed)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, seed);

    fake_run(s, 2000, PER_S);
    for (int i = 0; i < UPSTREAMS; i++) {
        s->upstreams[i].condition = FAKE_SILENT;
    }
    fake_run(s, 4000, PER_S);
    for (int i = 0; i < UPSTREAMS; i++) {
        s->upstreams[i].condition = FAKE_HEALTHY;
    }
    fake_run(s, 1000, PER_S);
    fake_reset_results(s);
    fake_run(s, 3000, PER_S);
    double in_time = share(s->in_time, s);
    fake_service_destroy(s);
    return in_time;
}

/* All upstreams are silent. Openings are still sent, to the least recently
 * chosen upstream, so that a recovery is noticed. How the queue of callers
 * meets the first ones that recover is random: the mean of many seeds
 * counts. */
static void
test_all_upstreams_silent(void)
{
    double sum = 0;

    for (uint64_t seed = 1; seed <= SILENT_SEEDS; seed++) {
        sum += in_time_after_silence(seed);
    }
    g_assert_cmpfloat(sum / SILENT_SEEDS, >, 0.99);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/load/even-load", test_even_load);
    g_test_add_func("/load/silent-upstreams", test_silent_upstreams);
    g_test_add_func("/load/flapping-upstreams", test_flapping_upstreams);
    g_test_add_func("/load/silent-upstream-recovers",
                    test_silent_upstream_recovers);
    g_test_add_func("/load/quick-errors", test_quick_errors);
    g_test_add_func("/load/hanging-upstreams", test_hanging_upstreams);
    g_test_add_func("/load/slow-upstreams", test_slow_upstreams);
    g_test_add_func("/load/cold-upstreams", test_cold_upstreams);
    g_test_add_func("/load/overload", test_overload);
    g_test_add_func("/load/all-upstreams-slow", test_all_upstreams_slow);
    g_test_add_func("/load/slow-upstreams-uneven-load",
                    test_slow_upstreams_uneven_load);
    g_test_add_func("/load/all-upstreams-silent", test_all_upstreams_silent);
    return g_test_run();
}
