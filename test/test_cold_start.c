/* Openings to cold upstreams: however many instances there are, and whether or
 * not they see each other, an upstream must not get more in any second than
 * its service allows, as it would shed requests or become slow for all. */
#include "balance/cold_start.h"
#include "balance/snapshot.h"
#include "test/fake_service.h"

#define SEED 23
#define OVERRUN 1.5
#define SLACK 5
#define SECOND_MS 1000
#define START_MS 10000
#define UPSTREAMS 6
#define COLD_MS 60000
/* Of the simulation with fixed spacing of openings at each instance. */
#define RUN_MS 20000
/* Turns must be used where instances have enough openings for that: of some
 * 120 that they have at four upstreams. */
#define USED_MIN 18

/* Instances that have an opening for each cold upstream now and then, and use
 * every chance to send it. */
struct sender {
    struct rg_cold_start cold;
    struct rg_endpoint endpoints[UPSTREAMS];
    uint64_t clock_ms; /* its clock is ahead by this */
    uint64_t self;
};

struct history {
    uint32_t sent[RUN_MS];
};

static void
sender_init(struct sender *s, double per_s, size_t instances,
            struct rg_rand *rand)
{
    struct rg_cold_bounds bounds = {.overrun = OVERRUN, .slack = SLACK};

    *s = (struct sender){.clock_ms = START_MS + rg_rand_below(rand, 100000),
                         .self = rg_rand_next(rand)};
    rg_cold_start_set(&s->cold, &bounds, per_s, instances);
    for (uint32_t u = 0; u < UPSTREAMS; u++) {
        s->endpoints[u].token = 1000 + u;
        s->endpoints[u].cold_until_ms = UINT64_MAX;
    }
}

static void
step(struct sender *s, struct history *out, uint32_t ms)
{
    uint64_t now = s->clock_ms + ms;

    for (int u = 0; u < UPSTREAMS; u++) {
        struct rg_endpoint *e = &s->endpoints[u];
        if (rg_cold_start_allows(&s->cold, e, s->self, now)) {
            e->cold_opening_ms = now;
            out[u].sent[ms]++;
        }
    }
}

/* The most that an upstream gets in any second. */
static uint32_t
worst_second(const struct history *h, uint32_t *total)
{
    uint32_t worst = 0;
    uint32_t sum = 0;

    *total = 0;
    for (int ms = 0; ms < RUN_MS; ms++) {
        *total += h->sent[ms];
        sum += h->sent[ms];
        sum -= ms >= SECOND_MS ? h->sent[ms - SECOND_MS] : 0;
        worst = MAX(worst, sum);
    }
    return worst;
}

static uint32_t
limit_of(double per_s)
{
    return (uint32_t)(per_s * OVERRUN + SLACK);
}

/* The limit holds in every second if all instances use each chance they get,
 * and it is used in part. With `known` instances known to each. */
static void
check_fleet(size_t instances, size_t known, double per_s)
{
    struct rg_rand rand = {.state = SEED + instances};
    g_autofree struct sender *senders = g_new0(struct sender, instances);
    g_autofree struct history *out = g_new0(struct history, UPSTREAMS);
    uint32_t worst = 0;
    uint32_t total = 0;

    for (size_t i = 0; i < instances; i++) {
        sender_init(&senders[i], per_s, known, &rand);
    }
    for (uint32_t ms = 0; ms < RUN_MS; ms++) {
        for (size_t i = 0; i < instances; i++) {
            step(&senders[i], out, ms);
        }
    }
    for (int u = 0; u < UPSTREAMS; u++) {
        uint32_t sent;
        worst = MAX(worst, worst_second(&out[u], &sent));
        total += sent;
    }
    double used = (double)total / UPSTREAMS / (RUN_MS / SECOND_MS) / per_s;
    g_test_message("%zu instances, %g per s: worst second %u of %u, mean %.2f "
                   "of the rate",
                   instances, per_s, worst, limit_of(per_s), used);
    g_assert_cmpuint(worst, <=, limit_of(per_s));
    g_assert_cmpfloat(used, >, 0.1);
    g_assert_cmpfloat(used, <, 1.15);
}

static void
test_limit(void)
{
    static const size_t instances[] = {1, 4, 33, 78, 300, 1600};
    static const double rates[] = {2, 10, 30, 100};

    for (size_t i = 0; i < G_N_ELEMENTS(instances); i++) {
        for (size_t r = 0; r < G_N_ELEMENTS(rates); r++) {
            check_fleet(instances[i], instances[i], rates[r]);
        }
    }
}

/* Guards against instances that each take the whole limit, or more of it,
 * because they do not see the others: what was known before counts. */
static void
test_partition(void)
{
    struct rg_instances_known known = {0};

    rg_instances_known_add(&known, 33, START_MS);
    rg_instances_known_add(&known, 1, START_MS + 1000);
    g_assert_cmpuint(rg_instances_known_bound(&known), ==, 33);
    rg_instances_known_add(&known, 1, START_MS + 700000);
    g_assert_cmpuint(rg_instances_known_bound(&known), ==, 33);
    rg_instances_known_add(&known, 1, START_MS + 1400000);
    g_assert_cmpuint(rg_instances_known_bound(&known), ==, 1);
    /* Large fleets are estimated, within a fifth. */
    rg_instances_known_add(&known, 1280, START_MS + 1400000);
    g_assert_cmpuint(rg_instances_known_bound(&known), ==, 1600);
}

/* --- whole balancers ------------------------------------------------------
 */

static void
set_limit(struct rg_balancer *b, double per_s, uint64_t version)
{
    struct rg_route *route = g_new0(struct rg_route, 1);
    struct rg_cold_limit *limit = g_new0(struct rg_cold_limit, 1);

    *route = *rg_routes_at(rg_balancer_routes(b), 0);
    *limit = (struct rg_cold_limit){.service = fake_name("shop", 0),
                                    .per_s = per_s};
    struct rg_routes *routes = rg_routes_create(version, route, 1);
    rg_routes_set_cold_limits(routes, limit, per_s > 0);
    g_assert_true(rg_balancer_set_routes(b, routes));
}

static struct fake_service *
create_service(int balancers, int upstreams, int cold, double per_s)
{
    struct fake_opts opts = {.balancers = balancers,
                             .upstreams = upstreams,
                             .data_centres = 3,
                             .seed = SEED,
                             .cold_bounds = {OVERRUN, SLACK}};
    struct fake_service *s = fake_service_create_with(&opts);

    fake_run(s, 3500, 100); /* the instances learn of each other */
    for (int i = 0; i < cold; i++) {
        s->upstreams[i].cold_until_ms = s->now_ms + COLD_MS;
        fake_update_entry(s, i, 2);
    }
    for (int b = 0; b < balancers && per_s > 0; b++) {
        set_limit(s->balancers[b], per_s, 2);
    }
    fake_reset_results(s);
    return s;
}

/* The most openings that one of the first `count` upstreams got in a second
 * that began at a step of 50 ms. */
static uint32_t
worst_opened(struct fake_service *s, int count, uint32_t seconds, double per_s)
{
    enum {
        STEPS = SECOND_MS / 50
    };
    uint32_t before[FAKE_UPSTREAMS_MAX][STEPS] = {0};
    uint32_t worst = 0;

    for (uint32_t i = 0; i < seconds * STEPS; i++) {
        fake_run(s, 50, per_s);
        for (int u = 0; u < count; u++) {
            uint32_t opened = s->upstreams[u].opened;
            if (i >= STEPS) {
                worst = MAX(worst, opened - before[u][i % STEPS]);
            }
            before[u][i % STEPS] = opened;
        }
    }
    return worst;
}

/* Guards against a choice that does not ask for the limit, of whatever kind: a
 * third of the upstreams is cold, the rest is busy, and some of both fail. */
static void
test_balancers(void)
{
    static const int balancers[] = {4, 33, 78, 300, 1600};

    for (size_t i = 0; i < G_N_ELEMENTS(balancers); i++) {
        struct fake_service *s = create_service(balancers[i], 18, 6, 10);
        s->upstreams[0].condition = FAKE_HANGING;
        s->upstreams[1].condition = FAKE_SILENT;
        s->upstreams[7].condition = FAKE_ERROR;
        uint32_t worst = worst_opened(s, 6, 8, 700);
        g_test_message("%d balancers: worst second %u of %u", balancers[i],
                       worst, limit_of(10));
        g_assert_cmpuint(worst, <=, limit_of(10));
        uint32_t used = 0;
        for (int u = 2; u < 6; u++) {
            used += s->upstreams[u].opened;
        }
        g_test_message("%u openings at four healthy ones", used);
        g_assert_true(used > USED_MIN || balancers[i] > 78);
        fake_service_destroy(s);
    }
}

/* Guards against callers that wait for upstreams which may not be used: with
 * nothing but cold upstreams, what exceeds the limit is refused at once. */
static void
test_all_cold(void)
{
    struct fake_service *s = create_service(4, 6, 6, 10);

    uint32_t worst = worst_opened(s, 6, 6, 200);
    g_assert_cmpuint(worst, <=, limit_of(10));
    g_assert_cmpuint(s->refused, >, s->requests / 2);
    g_assert_cmpuint(s->in_time + s->late, >, 100);
    g_assert_cmpuint(s->lost, ==, 0);
    g_assert_cmpuint(
        rg_balancer_metrics(s->balancers[0])->counters[RG_METRIC_REFUSED_COLD],
        >, 0);
    fake_service_destroy(s);
}

/* Guards against an effect on services without a limit, and one that stays
 * after the configuration has lifted it. */
static void
test_no_limit(void)
{
    struct fake_service *s = create_service(4, 6, 6, 0);

    fake_run(s, 2000, 150);
    g_assert_cmpuint(s->refused, ==, 0);
    for (int b = 0; b < 4; b++) {
        set_limit(s->balancers[b], 10, 2);
        set_limit(s->balancers[b], 0, 3);
    }
    fake_run(s, 2000, 150);
    g_assert_cmpuint(s->refused, ==, 0);
    fake_service_destroy(s);
}

/* Guards against an instance that has just started, and knows of no other,
 * taking the whole limit. */
static void
test_start(void)
{
    struct fake_service *s = create_service(4, 6, 6, 10);
    struct fake_opts opts = {.balancers = 1, .cold_bounds = {OVERRUN, SLACK}};

    rg_balancer_destroy(s->balancers[0]);
    s->balancers[0] = fake_balancer_create(s, &opts, 0);
    set_limit(s->balancers[0], 10, 2);
    for (int i = 0; i < 6; i++) {
        fake_update_entry(s, i, 3);
    }
    fake_run(s, 1000, 200);
    g_assert_cmpuint(
        rg_balancer_metrics(s->balancers[0])->counters[RG_METRIC_REFUSED_COLD],
        ==,
        rg_balancer_metrics(s->balancers[0])->counters[RG_METRIC_OPENINGS]);
    fake_service_destroy(s);
}

/* Guards against copies of openings that exceed the limit: one that would
 * stay at its upstream counts, too. */
static void
test_copies(void)
{
    struct fake_service *s = create_service(33, 6, 6, 10);
    struct rg_segment segment = {
        .flow = {.caller_ip = 0x64400001,
                 .service_ip = FAKE_SERVICE_IP,
                 .caller_port = 60001,
                 .service_port = FAKE_SERVICE_PORT},
        .opening = true,
        .seq = 99,
    };
    struct rg_decision d;

    do {
        s->now_ms += 10;
        d = rg_balancer_packet(s->balancers[0], &segment, s->now_ms);
    } while (d.kind != RG_DECISION_FORWARD);
    segment.ack = 1;
    s->now_ms += 20;
    d = rg_balancer_packet(s->balancers[0], &segment, s->now_ms);
    g_assert_cmpint(d.kind, ==, RG_DECISION_DROP);
    fake_service_destroy(s);
}

/* Guards against an instance without the limits because its configuration came
 * from a peer, more of them than fit into one part. */
static void
test_snapshot(void)
{
    enum {
        SERVICES = 40
    };
    struct fake_service *s = create_service(2, 2, 0, 0);
    struct rg_route *route = g_new0(struct rg_route, 1);
    struct rg_cold_limit *limits = g_new0(struct rg_cold_limit, SERVICES);
    struct rg_snapshot_base base = {0};
    RG_STRBUF_AUTO bytes = {0};
    uint64_t revision = 1;
    size_t count;

    *route = *rg_routes_at(rg_balancer_routes(s->balancers[0]), 0);
    for (int i = 0; i < SERVICES; i++) {
        limits[i] = (struct rg_cold_limit){.service = fake_name("s%d", i),
                                           .per_s = i + 0.5};
    }
    struct rg_routes *routes = rg_routes_create(2, route, 1);
    rg_routes_set_cold_limits(routes, limits, SERVICES);
    rg_balancer_set_routes(s->balancers[0], routes);
    rg_snapshot_write(s->balancers[0], 5, &base, s->now_ms, &bytes);
    g_assert_true(rg_snapshot_read(s->balancers[1],
                                   (struct rg_str){bytes.s, bytes.len},
                                   &revision, s->now_ms));
    const struct rg_cold_limit *got =
        rg_routes_cold_limits(rg_balancer_routes(s->balancers[1]), &count);
    g_assert_cmpuint(count, ==, SERVICES);
    for (int i = 0; i < SERVICES; i++) {
        g_assert_true(rg_name_eq(&got[i].service, &limits[i].service));
        g_assert_cmpfloat(got[i].per_s, ==, i + 0.5);
    }
    fake_service_destroy(s);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cold-start/limit", test_limit);
    g_test_add_func("/cold-start/partition", test_partition);
    g_test_add_func("/cold-start/balancers", test_balancers);
    g_test_add_func("/cold-start/all-cold", test_all_cold);
    g_test_add_func("/cold-start/no-limit", test_no_limit);
    g_test_add_func("/cold-start/start", test_start);
    g_test_add_func("/cold-start/copies", test_copies);
    g_test_add_func("/cold-start/snapshot", test_snapshot);
    return g_test_run();
}
