/* Choice of upstreams under load, without a network. Each case names the
 * pattern it answers. Bounds are of what callers see. */
#include "test/fake_service.h"

#define SEED 11
#define DARK_SEEDS 24
#define BALANCERS 4
#define UPSTREAMS 14
/* About 30% of what 14 upstreams with 2 slots can do in 22 ms each. */
#define PER_S 380
#define CAPACITY_PER_S 1272

static double
share(uint32_t part, const struct fake_service *s)
{
    return (double)part / s->asked;
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

/* Pattern: an ordinary day. Work spreads evenly over upstreams although each
 * balancer sees only its share of it. */
static void
test_even(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 10000, PER_S);
    g_assert_cmpfloat(share(s->in_aim, s), >, 0.99);
    g_assert_cmpfloat(busiest_to_mean(s), <, 1.15);
    fake_service_destroy(s);
}

/* Pattern: upstreams fall silent. The first openings lost there are enough;
 * a copy of an opening goes elsewhere, and few requests come late. */
static void
test_dark(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 4000, PER_S);
    fake_reset(s);
    for (int i = 0; i < 4; i++) {
        s->upstreams[i].condition = FAKE_DARK;
    }
    fake_run(s, 8000, PER_S);
    g_assert_cmpuint(s->lost, ==, 0);
    g_assert_cmpfloat(share(s->late, s), <, 0.03);
    fake_service_destroy(s);
}

/* Pattern: a third of many upstreams goes down and up by turns, and each
 * balancer sees few of the openings. A caller whose opening was lost must not
 * lose its copy too: that goes to an upstream that has just answered. */
static void
test_flapping(void)
{
    struct fake_service *s = fake_service_create(8, 60, SEED);

    fake_run(s, 4000, PER_S);
    fake_reset(s);
    for (int turn = 0; turn < 8; turn++) {
        for (int i = 0; i < 20; i++) {
            s->upstreams[turn % 2 ? i + 20 : i].condition = FAKE_DARK;
            s->upstreams[turn % 2 ? i : i + 20].condition = FAKE_WELL;
        }
        fake_run(s, 1000, PER_S);
    }
    g_assert_cmpuint(s->lost, ==, 0);
    g_assert_cmpfloat(share(s->second_copies, s), <, 0.01);
    fake_service_destroy(s);
}

/* Pattern: upstreams return. A silent one that answers again gets its share
 * of work back within seconds. */
static void
test_dark_returns(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 3000, PER_S);
    s->upstreams[0].condition = FAKE_DARK;
    fake_run(s, 4000, PER_S);
    s->upstreams[0].condition = FAKE_WELL;
    fake_run(s, 9000, PER_S);
    fake_reset(s);
    fake_run(s, 6000, PER_S);
    g_assert_cmpuint(s->upstreams[0].served, >, s->asked / UPSTREAMS / 2);
    fake_service_destroy(s);
}

/* Pattern: upstreams fail at once while they look healthy. Being idle, they
 * would draw ever more work; callers' short and quick answers tell. */
static void
test_quick_errors(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 4000, PER_S);
    fake_reset(s);
    for (int i = 0; i < 4; i++) {
        s->upstreams[i].condition = FAKE_ERROR;
    }
    fake_run(s, 8000, PER_S);
    /* Shared out evenly 4 of 14 would fail. */
    g_assert_cmpfloat(share(s->errors, s), <, 0.06);
    fake_service_destroy(s);
}

/* Pattern: upstreams take requests and never answer. */
static void
test_mute(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 4000, PER_S);
    fake_reset(s);
    for (int i = 0; i < 4; i++) {
        s->upstreams[i].condition = FAKE_MUTE;
    }
    fake_run(s, 8000, PER_S);
    g_assert_cmpfloat(share(s->lost, s), <, 0.06);
    fake_service_destroy(s);
}

/* Pattern: upstreams turn slow. They get less work, and few requests come
 * late. */
static void
test_slow(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 4000, PER_S);
    fake_reset(s);
    for (int i = 0; i < 3; i++) {
        s->upstreams[i].condition = FAKE_SLOW;
    }
    fake_run(s, 8000, PER_S);
    g_assert_cmpfloat(share(s->in_aim, s), >, 0.94);
    g_assert_cmpuint(s->lost, ==, 0);
    fake_service_destroy(s);
}

/* Pattern: a release. New, cold upstreams get less than warm ones, but do not
 * stand idle. */
static void
test_cold(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    for (int i = 0; i < 5; i++) {
        s->upstreams[i].cold_until_ms = s->now_ms + 60000;
        fake_report(s, i, 2);
    }
    fake_run(s, 8000, PER_S);
    uint32_t cold = 0;
    for (int i = 0; i < 5; i++) {
        cold += s->upstreams[i].served;
    }
    double fair = 5.0 * s->asked / UPSTREAMS;
    g_assert_cmpfloat(cold, <, fair);
    g_assert_cmpfloat(cold, >, fair / 4);
    g_assert_cmpfloat(share(s->in_aim, s), >, 0.99);
    fake_service_destroy(s);
}

/* Pattern: more is asked than the upstreams can do. Without refusals the queue
 * grows until every answer is late; refused at once is what cannot be done,
 * and nearly all that is admitted is answered in time. */
static void
test_overload(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_run(s, 4000, PER_S);
    fake_reset(s);
    fake_run(s, 6000, CAPACITY_PER_S * 1.1);
    /* Of 1.1 asked 1 can be done; unrefused, 0.29 of all were in time. */
    g_assert_cmpfloat(share(s->in_aim, s), >, 0.65);
    g_assert_cmpfloat(share(s->refused, s), <, 0.1);
    g_assert_cmpuint(s->lost, ==, 0);
    /* A queue is no reason to break a request off. */
    g_assert_cmpuint(s->resets, ==, 0);
    fake_run(s, 3000, PER_S);
    fake_reset(s);
    fake_run(s, 3000, PER_S);
    g_assert_cmpuint(s->refused, ==, 0);
    fake_service_destroy(s);
}

/* Pattern: every upstream is slow, but none is full. Nobody is refused, as
 * that would make no answer quicker. */
static void
test_all_slow(void)
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

/* Pattern: every upstream is slow, and half of the flows come to one instance.
 * It has more than an equal part of the slots in use, and refuses hardly
 * anybody while others are free. */
static void
test_slow_and_uneven(void)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, SEED);

    fake_make_uneven(s);
    for (int i = 0; i < UPSTREAMS; i++) {
        s->upstreams[i].condition = FAKE_SLOW;
    }
    fake_run(s, 8000, CAPACITY_PER_S / 5 * 0.6);
    g_assert_cmpfloat(share(s->refused, s), <, 0.005);
    fake_service_destroy(s);
}

/* Share of requests in time once all upstreams have been silent and are back.
 */
static double
in_aim_after_dark(uint64_t seed)
{
    struct fake_service *s = fake_service_create(BALANCERS, UPSTREAMS, seed);

    fake_run(s, 2000, PER_S);
    for (int i = 0; i < UPSTREAMS; i++) {
        s->upstreams[i].condition = FAKE_DARK;
    }
    fake_run(s, 4000, PER_S);
    for (int i = 0; i < UPSTREAMS; i++) {
        s->upstreams[i].condition = FAKE_WELL;
    }
    fake_run(s, 1000, PER_S);
    fake_reset(s);
    fake_run(s, 3000, PER_S);
    double in_aim = share(s->in_aim, s);
    fake_service_destroy(s);
    return in_aim;
}

/* Pattern: every upstream is silent. Openings still go out, to whichever was
 * left alone longest, so that a return is seen. How the callers' queue meets
 * the first that are back is chance: the mean of many seeds counts. */
static void
test_all_dark(void)
{
    double sum = 0;

    for (uint64_t seed = 1; seed <= DARK_SEEDS; seed++) {
        sum += in_aim_after_dark(seed);
    }
    g_assert_cmpfloat(sum / DARK_SEEDS, >, 0.99);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/load/even", test_even);
    g_test_add_func("/load/dark", test_dark);
    g_test_add_func("/load/flapping", test_flapping);
    g_test_add_func("/load/dark-returns", test_dark_returns);
    g_test_add_func("/load/quick-errors", test_quick_errors);
    g_test_add_func("/load/mute", test_mute);
    g_test_add_func("/load/slow", test_slow);
    g_test_add_func("/load/cold", test_cold);
    g_test_add_func("/load/overload", test_overload);
    g_test_add_func("/load/all-slow", test_all_slow);
    g_test_add_func("/load/slow-and-uneven", test_slow_and_uneven);
    g_test_add_func("/load/all-dark", test_all_dark);
    return g_test_run();
}
