/* Admission by importance under load, in a simulated service with a queue of
 * eight at each upstream. Each test names the load that it covers. */
#include "test/fake_service.h"

#define SEED 7
#define UPSTREAMS 120
/* 30% of the slots: 240 slots, 47 ms and 61 ms of work. */
#define NORMAL_PER_S 1485
#define CAPACITY_PER_S 4780
#define WARM_MS 6000
/* Indices of routes. */
#define IMPORTANT 1
#define ORDINARY 0

static const struct fake_route two_routes[] = {
    {.weight = 0.778,
     .work_ms = 47,
     .target_ms = 500,
     .deadline_ms = 4000,
     .priority = 2},
    {.weight = 0.222,
     .work_ms = 61,
     .target_ms = 600,
     .deadline_ms = 4000,
     .priority = 1},
};

static struct fake_service *
create_with(int balancers, const struct fake_route *routes, uint32_t count,
            bool can_hold, bool far)
{
    struct fake_opts opts = {
        .balancers = balancers,
        .upstreams = UPSTREAMS,
        .data_centres = balancers % 4 == 0 ? 4 : 1,
        .can_hold = can_hold,
        .far = far,
        .queue = 8,
        .attempts = 3,
        .routes = routes,
        .route_count = count,
        .seed = SEED,
    };
    return fake_service_create_with(&opts);
}

static struct fake_service *
create(int balancers, const struct fake_route *routes, uint32_t count)
{
    return create_with(balancers, routes, count, true, false);
}

static double
worth(const struct fake_service *s, int route)
{
    return (double)s->routes[route].in_time / s->routes[route].requests;
}

static double
shed(const struct fake_service *s)
{
    return (double)s->shed / s->arrived;
}

/* Number of openings that have waited for room at any balancer. */
static uint64_t
waited(const struct fake_service *s)
{
    uint64_t sum = 0;

    for (int b = 0; b < s->balancer_count; b++) {
        sum += rg_balancer_metrics(s->balancers[b])
                   ->counters[RG_METRIC_OPENINGS_WAITED];
    }
    return sum;
}

struct bounds {
    double important; /* worth, at least */
    double shed;      /* at most */
    double goodput;   /* at least */
};

/* A load above the capacity, as the goals have it. */
static const struct bounds goals = {0.85, 0.05, 0.85};

static void
check(const struct fake_service *s, const char *load, double capacity_ms,
      const struct bounds *bounds)
{
    double goodput = s->worked_ms / capacity_ms;

    g_test_message("%s, %d balancers: worth %.3f, important %.3f, shed %.4f, "
                   "goodput %.3f of the slots, refusals %u, late %u, lost %u",
                   load, s->balancer_count, worth(s, ORDINARY),
                   worth(s, IMPORTANT), shed(s), goodput, s->refusals, s->late,
                   s->lost);
    g_assert_cmpfloat(worth(s, IMPORTANT), >=, bounds->important);
    g_assert_cmpfloat(shed(s), <=, bounds->shed);
    g_assert_cmpfloat(goodput, >=, bounds->goodput);
}

/* Work that this many upstreams can do in `ms`. */
static double
capacity_ms(const struct fake_service *s, int upstreams, uint32_t ms)
{
    return (double)upstreams * s->slots * ms;
}

static void
silence(struct fake_service *s, enum fake_condition condition)
{
    for (int i = 0; i < UPSTREAMS * 7 / 10; i++) {
        s->upstreams[i].condition = condition;
    }
}

static struct fake_service *
create_warm(int balancers, const struct fake_route *routes, uint32_t count)
{
    struct fake_service *s = create(balancers, routes, count);

    fake_run(s, WARM_MS, NORMAL_PER_S);
    fake_reset_results(s);
    return s;
}

static const int sizes[] = {4, 31, 71, 300};

/* Below the capacity nothing is refused or waits, also at half of it. */
static void
test_no_overload(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create_warm(sizes[i], two_routes, 2);
        fake_run(s, 6000, NORMAL_PER_S);
        g_assert_cmpuint(waited(s), ==, 0);
        fake_run(s, 4000, NORMAL_PER_S * 1.6);
        g_test_message("%d balancers: %llu waited", sizes[i],
                       (unsigned long long)waited(s));
        g_assert_cmpuint(s->refusals, ==, 0);
        g_assert_cmpuint(s->shed, ==, 0);
        g_assert_cmpfloat((double)waited(s) / s->requests, <, 0.01);
        fake_service_destroy(s);
    }
}

/* Guards against refusals by an instance that has just got the flows of
 * another one: by its share, which lags behind, it may send hardly anything,
 * while the fleet leaves most slots free. */
static void
test_lagging_share(void)
{
    struct fake_service *s = create_warm(4, two_routes, 2);
    struct rg_fleet fleet = {
        .instances = 4,
        .local_instances = 4,
        .share = 0.02,
        .local_openings_per_s = NORMAL_PER_S,
        .opening_tokens = true,
    };

    for (int i = 0; i < 40; i++) {
        rg_balancer_set_fleet(s->balancers[0], &fleet);
        fake_run(s, 50, NORMAL_PER_S);
    }
    g_assert_cmpuint(waited(s), ==, 0);
    g_assert_cmpuint(s->refusals, ==, 0);
    fake_service_destroy(s);
}

/* Twice the capacity at once: the slots are full within 300 ms, before answers
 * are late. */
static void
test_step(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create_warm(sizes[i], two_routes, 2);
        fake_run(s, 8000, 2 * CAPACITY_PER_S);
        check(s, "step", capacity_ms(s, UPSTREAMS, 8000), &goals);
        fake_service_destroy(s);
    }
}

/* Four times the normal load, 1.2 times the capacity. */
static void
test_small_step(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create_warm(sizes[i], two_routes, 2);
        fake_run(s, 8000, 4 * NORMAL_PER_S);
        check(s, "small step", capacity_ms(s, UPSTREAMS, 8000), &goals);
        fake_service_destroy(s);
    }
}

/* The load rises to 1.65 times the capacity within 10 s: estimates that follow
 * the load must not take the growing queue for slower work. */
static void
test_slow_rise(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create_warm(sizes[i], two_routes, 2);
        double demand_ms = 0;
        for (int k = 0; k < 10; k++) {
            double share = 0.3 + 0.15 * k;
            fake_run(s, 1000, CAPACITY_PER_S * share);
            demand_ms += capacity_ms(s, UPSTREAMS, 1000) * MIN(share, 1);
        }
        check(s, "slow rise", demand_ms, &goals);
        fake_service_destroy(s);
    }
}

/* Twice the capacity for 2 s: over before moving averages have followed. */
static void
test_burst(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create_warm(sizes[i], two_routes, 2);
        fake_run(s, 2000, 2 * CAPACITY_PER_S);
        fake_run(s, 500, NORMAL_PER_S);
        check(s, "burst", capacity_ms(s, UPSTREAMS, 2000), &goals);
        fake_reset_results(s);
        fake_run(s, 3000, NORMAL_PER_S);
        g_assert_cmpuint(s->refusals, ==, 0);
        fake_service_destroy(s);
    }
}

/* 70% of the upstreams fall silent under twice the normal load. Copies of lost
 * openings, which are not refused, come to the others at first. An instance of
 * 300 sees ten openings a second, and needs seconds to find who is left. */
static void
test_upstreams_lost(void)
{
    static const struct bounds lost = {0.85, 0.05, 0.8};
    static const struct bounds few_openings = {0.85, 0.25, 0.8};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create_warm(sizes[i], two_routes, 2);
        fake_run(s, 3000, 2 * NORMAL_PER_S);
        fake_reset_results(s);
        silence(s, FAKE_SILENT);
        fake_run(s, 12000, 2 * NORMAL_PER_S);
        check(s, "upstreams lost", capacity_ms(s, UPSTREAMS * 3 / 10, 12000),
              sizes[i] < 300 ? &lost : &few_openings);
        silence(s, FAKE_HEALTHY);
        fake_run(s, 8000, NORMAL_PER_S);
        fake_reset_results(s);
        fake_run(s, 3000, NORMAL_PER_S);
        g_test_message("after it: %u refusals", s->refusals);
        if (sizes[i] < 300) {
            g_assert_cmpuint(s->refusals, ==, 0);
        }
        /* The few openings of an instance find the others again slowly. */
        g_assert_cmpfloat(worth(s, ORDINARY), >, 0.92);
        fake_service_destroy(s);
    }
}

/* Share of the requests of a data centre's callers that is answered in time.
 */
static double
served(const struct fake_service *s, int data_centre)
{
    return (double)s->dc_in_time[data_centre] / s->dc_requests[data_centre];
}

/* One data centre sends twice the traffic of each other one: its instances may
 * use twice as much, and its callers fare hardly worse than others. No
 * upstream is nearer to it than to others: instances prefer those of their own
 * data centre also when these are full. */
static void
test_uneven_instances(void)
{
    static const int even_sizes[] = {4, 32, 72, 300};

    for (size_t i = 0; i < G_N_ELEMENTS(even_sizes); i++) {
        struct fake_service *s =
            create_with(even_sizes[i], two_routes, 2, true, true);
        fake_set_first_data_centre(s, 2.0 / (s->data_centres + 1));
        fake_run(s, WARM_MS, NORMAL_PER_S);
        fake_reset_results(s);
        fake_run(s, 8000, 2 * CAPACITY_PER_S);
        g_test_message("served %.3f and %.3f", served(s, 0), served(s, 1));
        check(s, "uneven instances", capacity_ms(s, UPSTREAMS, 8000), &goals);
        g_assert_cmpfloat(served(s, 0), >=, 0.8 * served(s, 1));
        fake_service_destroy(s);
    }
}

/* Long flows bring requests that cannot be refused once the flow is open. They
 * are as important as the ordinary route; the important one is served. */
static void
test_long_flows(void)
{
    static const struct fake_route routes[] = {
        {.weight = 0.05,
         .work_ms = 22,
         .target_ms = 500,
         .deadline_ms = 2500,
         .priority = 2,
         .per_flow = 20,
         .pause_ms = 200},
        {.weight = 0.25,
         .work_ms = 29,
         .target_ms = 500,
         .deadline_ms = 2500,
         .priority = 1},
        {.weight = 0.7,
         .work_ms = 40,
         .target_ms = 500,
         .deadline_ms = 2500,
         .priority = 2},
    };

    /* Requests on open flows come in groups, for which room is kept. */
    static const struct bounds reserved = {0.85, 0.05, 0.8};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create(sizes[i], routes, 3);
        fake_run(s, WARM_MS, 1500);
        fake_reset_results(s);
        fake_run(s, 8000, 7500);
        check(s, "long flows", capacity_ms(s, UPSTREAMS, 8000), &reserved);
        fake_service_destroy(s);
    }
}

/* A tenth of the upstreams answers at once, with a short error, while the
 * limit is approached. Errors are not taken for shed requests, which would
 * lower the limit, and their upstreams do not attract more flows for being
 * idle. */
static void
test_errors(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s = create_warm(sizes[i], two_routes, 2);
        fake_run(s, 2000, 4 * NORMAL_PER_S);
        for (int k = 0; k < UPSTREAMS / 10; k++) {
            s->upstreams[k].condition = FAKE_ERROR;
        }
        fake_run(s, 2000, 4 * NORMAL_PER_S);
        fake_reset_results(s);
        fake_run(s, 6000, 4 * NORMAL_PER_S);
        double share = (double)s->errors / s->requests;
        double used = s->worked_ms / capacity_ms(s, UPSTREAMS * 9 / 10, 6000);
        g_test_message("%d balancers: errors %.3f, goodput %.3f, shed %.4f",
                       sizes[i], share, used, shed(s));
        g_assert_cmpfloat(share, <, 0.06);
        g_assert_cmpfloat(used, >, 0.65);
        fake_service_destroy(s);
    }
}

/* Openings cannot wait: the important route finds room at once. */
static void
test_no_waiting(void)
{
    static const struct bounds refused = {0.85, 0.05, 0.8};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fake_service *s =
            create_with(sizes[i], two_routes, 2, false, false);
        fake_run(s, WARM_MS, NORMAL_PER_S);
        fake_reset_results(s);
        fake_run(s, 8000, 2 * CAPACITY_PER_S);
        g_assert_cmpuint(waited(s), ==, 0);
        check(s, "no waiting", capacity_ms(s, UPSTREAMS, 8000), &refused);
        fake_service_destroy(s);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/admission/no-overload", test_no_overload);
    g_test_add_func("/admission/lagging-share", test_lagging_share);
    g_test_add_func("/admission/step", test_step);
    g_test_add_func("/admission/small-step", test_small_step);
    g_test_add_func("/admission/slow-rise", test_slow_rise);
    g_test_add_func("/admission/burst", test_burst);
    g_test_add_func("/admission/upstreams-lost", test_upstreams_lost);
    g_test_add_func("/admission/uneven-instances", test_uneven_instances);
    g_test_add_func("/admission/long-flows", test_long_flows);
    g_test_add_func("/admission/errors", test_errors);
    g_test_add_func("/admission/no-waiting", test_no_waiting);
    return g_test_run();
}
