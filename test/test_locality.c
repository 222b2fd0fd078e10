/* Flows that leave the data centre: the controller alone, then balancers in a
 * simulated service in four data centres. Each test names the load that it
 * answers. Guards against callers that wait or are shed while other data
 * centres have free slots, and against flows that cross in vain or swing back
 * and forth. */
#include <math.h>

#include "balance/locality.h"
#include "test/fake_data_centres.h"

#define SEED 5
#define DATA_CENTRES 4
#define UPSTREAMS 150

static const int balancer_counts[] = {4, 31, 71, 300};

/* --- the controller ------------------------------------------------------ */

#define WORK_MS 47
#define SLOTS 76
#define INSTANCES 18

/* One instance of 18 and its data centre at a utilisation, and three others at
 * another one. */
struct controller {
    struct rg_locality l;
    struct rg_locality_load load;
    double remote_slots;
    bool remote_late;
    double due;
};

static void
setup(struct controller *c, gconstpointer unused)
{
    (void)unused;
    *c = (struct controller){
        .load = {.local_slots = SLOTS,
                 .mean_slots = 2,
                 .local_instances = INSTANCES},
        .remote_slots = SLOTS,
    };
}

static void
set_rates(struct controller *c, double local, double remote)
{
    c->load.local_rate = local * SLOTS * 1000 / WORK_MS;
    c->load.own_rate = c->load.local_rate / INSTANCES;
    c->load.remote_rate = 3 * remote * SLOTS * 1000 / WORK_MS;
}

/* Time at local upstreams, with the queue of those that stay. */
static double
local_wait_ms(const struct controller *c)
{
    double u = c->load.local_rate * (1 - c->l.share) * WORK_MS / 1000 / SLOTS;

    u = fmin(u, 0.95);
    return WORK_MS * (1 + 0.6 * u * u / (1 - u * u));
}

static void
answer(struct controller *c, const void *data_centre)
{
    struct rg_locality_answer a = {
        .data_centre = data_centre,
        .ms = data_centre ? WORK_MS + 8 : local_wait_ms(c) + 2,
        .bytes = 1000,
        .late = data_centre && c->remote_late,
    };

    rg_locality_opened(&c->l, data_centre, data_centre ? 8 : 2);
    rg_locality_answered(&c->l, &a);
}

static void
run(struct controller *c, uint32_t steps)
{
    static const char others[DATA_CENTRES - 1];

    for (uint32_t i = 0; i < steps; i++) {
        c->due += c->load.own_rate * RG_LOCALITY_STEP_MS / 1000;
        for (; c->due >= 1; c->due--) {
            c->load.own_openings++;
            answer(c, rg_locality_opening(&c->l));
        }
        rg_locality_clear_slots(&c->l);
        for (int d = 0; d < DATA_CENTRES - 1; d++) {
            rg_locality_add_slots(&c->l, &others[d], c->remote_slots);
        }
        rg_locality_step(&c->l, &c->load);
    }
}

/* Steady low load: nothing leaves, and a free slot here is better than any
 * there. */
static void
test_low_load(struct controller *c, gconstpointer unused)
{
    (void)unused;
    set_rates(c, 0.4, 0.3);
    run(c, 100);
    g_assert_cmpfloat(c->l.share, ==, 0);
    g_assert_cmpint(c->l.reason, ==, RG_LOCALITY_ENOUGH);
    g_assert_cmpfloat(rg_locality_remote_cost(&c->l), >, 0.5);
}

/* Demand moves here: the share rises in steps until the rest fits, stays, and
 * falls to 0 when demand has gone. */
static void
test_demand_moves(struct controller *c, gconstpointer unused)
{
    (void)unused;
    set_rates(c, 0.4, 0.3);
    run(c, 40);
    set_rates(c, 1.2, 0.2);
    for (int i = 0; i < 40; i++) {
        double before = c->l.share;
        run(c, 1);
        g_assert_cmpfloat(c->l.share - before, <, 0.2);
    }
    double share = c->l.share;
    g_assert_cmpfloat(1.2 * (1 - share), <, 0.95);
    run(c, 40);
    g_assert_cmpfloat(fabs(c->l.share - share), <, 0.1);
    g_assert_cmpint(c->l.reason, ==, RG_LOCALITY_CAPACITY);
    set_rates(c, 0.3, 0.4);
    run(c, 60);
    g_assert_cmpfloat(c->l.share, ==, 0);
}

/* Most local upstreams are lost, then return: the share moves in steps, since
 * all instances see this at once. */
static void
test_capacity_lost(struct controller *c, gconstpointer unused)
{
    (void)unused;
    set_rates(c, 0.4, 0.3);
    run(c, 40);
    c->load.local_slots = SLOTS / 8;
    for (int i = 0; i < 20; i++) {
        double before = c->l.share;
        run(c, 1);
        g_assert_cmpfloat(c->l.share - before, <, 0.16);
    }
    g_assert_cmpfloat(c->l.share, >, 0.6);
    c->load.local_slots = SLOTS;
    run(c, 2);
    g_assert_cmpfloat(c->l.share, >, 0.1);
    run(c, 60);
    g_assert_cmpfloat(c->l.share, ==, 0);
}

/* All are full: nothing leaves on purpose. */
static void
test_all_full(struct controller *c, gconstpointer unused)
{
    (void)unused;
    set_rates(c, 0.4, 0.3);
    run(c, 40);
    set_rates(c, 1.2, 1.2);
    run(c, 40);
    g_assert_cmpfloat(c->l.share, ==, 0);
    g_assert_cmpint(c->l.reason, ==, RG_LOCALITY_REMOTE_FULL);
}

/* Remote answers are late although the rates say that there is room: few flows
 * go on leaving, to notice when that ends. */
static void
test_remote_late(struct controller *c, gconstpointer unused)
{
    (void)unused;
    set_rates(c, 0.4, 0.3);
    run(c, 40);
    set_rates(c, 1.2, 0.3);
    run(c, 40);
    double before = c->l.share;
    c->remote_late = true;
    run(c, 60);
    g_assert_cmpfloat(c->l.share, <, before / 2);
    c->remote_late = false;
    run(c, 200);
    g_assert_cmpfloat(c->l.share, >, before * 0.7);
}

/* No local upstream is left: all leave at once. None is left elsewhere: none
 * leaves. */
static void
test_no_upstreams(struct controller *c, gconstpointer unused)
{
    (void)unused;
    set_rates(c, 0.4, 0.3);
    run(c, 40);
    c->load.local_slots = 0;
    run(c, 1);
    g_assert_cmpfloat(c->l.share, ==, 1);
    g_assert_cmpint(c->l.reason, ==, RG_LOCALITY_NO_LOCAL);
    c->remote_slots = 0;
    run(c, 1);
    g_assert_cmpfloat(c->l.share, ==, 0);
    g_assert_cmpint(c->l.reason, ==, RG_LOCALITY_NO_REMOTE);
    g_assert_null(rg_locality_opening(&c->l));
}

/* --- balancers in one program -------------------------------------------- */

/* The first data centre has `part` times an equal share of a load of `load`
 * times all slots. */
static void
set_demand(struct fdc *s, double load, double part)
{
    double per_s = load * UPSTREAMS * 2 * 1000 / s->work_ms;

    for (int d = 0; d < DATA_CENTRES; d++) {
        s->demand[d] =
            per_s * (d == 0 ? part / DATA_CENTRES
                            : (1 - part / DATA_CENTRES) / (DATA_CENTRES - 1));
    }
}

static void
set_upstreams(struct fdc *s, int first_gone, bool gone)
{
    for (int i = first_gone * DATA_CENTRES; i < UPSTREAMS; i += DATA_CENTRES) {
        fdc_set_gone(s, i, gone);
    }
}

static double
part_of(uint32_t part, uint32_t all)
{
    return all ? (double)part / all : 0;
}

/* Figures of a run. */
struct figures {
    double late;   /* late or lost, of requests */
    double shed;   /* of arrivals at upstreams */
    double cross;  /* of openings */
    double spread; /* busiest to mean data centre */
    double swing;  /* change of `cross` from one second to the next, mean */
};

static struct figures
measure(struct fdc *s, int seconds, const char *what)
{
    double swing = 0;
    double before = -1;

    fdc_reset_results(s);
    for (int i = 0; i < seconds; i++) {
        uint32_t crossed = s->crossed;
        uint32_t openings = s->openings;
        fdc_run(s, 1000);
        double cross = part_of(s->crossed - crossed, s->openings - openings);
        swing += before >= 0 ? fabs(cross - before) / (seconds - 1) : 0;
        before = cross;
    }
    struct figures f = {
        .late = part_of(s->late + s->lost, s->requests),
        .shed = part_of(s->shed, s->arrived),
        .cross = part_of(s->crossed, s->openings),
        .spread = fdc_busiest_to_mean(s),
        .swing = swing,
    };
    g_test_message("%d balancers, %s: late %.4f shed %.4f crossing %.4f "
                   "busiest/mean %.2f swing %.4f",
                   s->balancer_count, what, f.late, f.shed, f.cross, f.spread,
                   f.swing);
    return f;
}

/* A service after ten quiet seconds. */
static struct fdc *
start(gconstpointer balancers)
{
    struct fdc *s =
        fdc_create(GPOINTER_TO_INT(balancers), UPSTREAMS, DATA_CENTRES, SEED);

    set_demand(s, 0.3, 1);
    struct figures f = measure(s, 10, "steady");
    g_assert_cmpfloat(f.late, ==, 0);
    g_assert_cmpfloat(f.cross, <, 0.001);
    return s;
}

static void
set_suspected(struct fdc *s, bool suspected)
{
    size_t count;

    for (int b = 0; b < s->balancer_count; b += s->data_centres) {
        struct rg_endpoint *const *endpoints =
            rg_pool_endpoints(rg_balancer_pool(s->balancers[b]), 0, &count);
        endpoints[0]->data_centre->suspect = suspected;
    }
}

/* Guards against flows that leave for seconds because two local upstreams were
 * silent: their data centre was suspected until the next response, and all
 * local upstreams counted as lost. */
static void
test_suspected(gconstpointer balancers)
{
    struct fdc *s = start(balancers);

    set_suspected(s, true);
    fdc_run(s, 400);
    set_suspected(s, false);
    struct figures f = measure(s, 2, "suspected for a moment");
    g_assert_cmpfloat(f.cross, <, 0.01);
    fdc_destroy(s);
}

/* One data centre has 2.5 times its share, as much as its upstreams can do or
 * a quarter more; later it has no more than the others. */
static void
test_moving_demand(gconstpointer balancers)
{
    struct fdc *s = start(balancers);

    set_demand(s, 0.4, 2.5);
    struct figures f = measure(s, 10, "demand moves");
    g_assert_cmpfloat(f.late, <, 0.0005);
    /* Where an instance sees few flows, it relies on rates that are seconds
     * old. */
    g_assert_cmpfloat(f.shed, <, s->balancer_count> 100 ? 0.015 : 0.005);
    g_assert_cmpfloat(f.spread, <, 2.2);
    set_demand(s, 0.5, 2.5);
    measure(s, 5, "more demand");
    f = measure(s, 10, "more demand, later");
    g_assert_cmpfloat(f.late, <, 0.0005);
    g_assert_cmpfloat(f.shed, <, 0.005);
    g_assert_cmpfloat(f.spread, <, 1.85);
    g_assert_cmpfloat(f.cross, <, 0.35);
    g_assert_cmpfloat(f.swing, <, 0.02);
    set_demand(s, 0.3, 1);
    measure(s, 5, "demand is back");
    f = measure(s, 10, "demand is back, later");
    g_assert_cmpfloat(f.cross, <, 0.005);
    fdc_destroy(s);
}

/* A data centre loses four fifths of its upstreams, then all, and gets them
 * back. */
static void
test_lost_upstreams(gconstpointer balancers)
{
    struct fdc *s = start(balancers);

    set_upstreams(s, 8, true);
    struct figures f = measure(s, 10, "upstreams lost");
    g_assert_cmpfloat(f.late, <, 0.0005);
    g_assert_cmpfloat(f.shed, <, 0.002);
    g_assert_cmpfloat(f.spread, <, 2.4);
    g_assert_cmpfloat(f.swing, <, 0.02);
    set_upstreams(s, 0, true);
    f = measure(s, 3, "all lost");
    g_assert_cmpfloat(f.late, <, 0.0005);
    set_upstreams(s, 0, false);
    measure(s, 5, "back");
    f = measure(s, 5, "back, later");
    g_assert_cmpfloat(f.cross, <, 0.005);
    g_assert_cmpfloat(f.spread, <, 1.1);
    fdc_destroy(s);
}

/* Another data centre is cut off while flows leave: its part goes to the
 * others, and few callers wait for it. */
static void
test_cut_off(gconstpointer balancers)
{
    struct fdc *s = start(balancers);

    set_demand(s, 0.45, 2.5);
    measure(s, 10, "flows leave");
    s->cut[2] = true;
    measure(s, 2, "one cut off");
    struct figures f = measure(s, 8, "one cut off, later");
    g_assert_cmpfloat(f.late, <, 0.002);
    g_assert_cmpfloat(f.shed, <, 0.005);
    s->cut[2] = false;
    measure(s, 5, "back");
    f = measure(s, 5, "back, later");
    g_assert_cmpfloat(f.late, <, 0.001);
    fdc_destroy(s);
}

static double
largest_share(const struct fdc *s)
{
    double largest = 0;

    for (int b = 0; b < s->balancer_count; b++) {
        largest = MAX(largest, rg_balancer_leaving(s->balancers[b]).share);
    }
    return largest;
}

/* All data centres are at the same high load, then beyond their capacity:
 * nothing leaves in vain. */
static void
test_all_busy(gconstpointer balancers)
{
    struct fdc *s = start(balancers);

    set_demand(s, 0.7, 1);
    struct figures f = measure(s, 10, "all busy");
    g_assert_cmpfloat(f.late, <, 0.0005);
    g_assert_cmpfloat(f.cross, <, 0.01);
    set_demand(s, 1.2, 1);
    measure(s, 3, "all full");
    f = measure(s, 10, "all full, later");
    g_assert_cmpfloat(largest_share(s), <, 0.05);
    g_assert_cmpfloat(f.cross, <, 0.42);
    set_demand(s, 0.3, 1);
    /* Where an instance sees few answers, it takes the queue for work until
     * the rates of peers and its own means have forgotten it. */
    measure(s, 25, "quiet again");
    f = measure(s, 5, "quiet again, later");
    g_assert_cmpfloat(f.late, <, 0.0005);
    g_assert_cmpfloat(largest_share(s), <, 0.05);
    g_assert_cmpfloat(f.cross, <, 0.03);
    fdc_destroy(s);
}

static void
add_fleet_test(const char *name, void (*test)(gconstpointer))
{
    for (size_t i = 0; i < G_N_ELEMENTS(balancer_counts); i++) {
        g_autofree char *path =
            g_strdup_printf("/locality/%s/%d", name, balancer_counts[i]);
        g_test_add_data_func(path, GINT_TO_POINTER(balancer_counts[i]), test);
    }
}

static void
add_test(const char *path, void (*test)(struct controller *, gconstpointer))
{
    g_test_add(path, struct controller, NULL, setup, test, NULL);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    add_test("/locality/low-load", test_low_load);
    add_test("/locality/demand-moves", test_demand_moves);
    add_test("/locality/capacity-lost", test_capacity_lost);
    add_test("/locality/all-full", test_all_full);
    add_test("/locality/remote-late", test_remote_late);
    add_test("/locality/no-upstreams", test_no_upstreams);
    add_fleet_test("moving-demand", test_moving_demand);
    add_fleet_test("lost-upstreams", test_lost_upstreams);
    add_fleet_test("cut-off", test_cut_off);
    add_fleet_test("all-busy", test_all_busy);
    add_fleet_test("suspected", test_suspected);
    return g_test_run();
}
