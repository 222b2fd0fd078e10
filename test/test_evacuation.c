/* Evacuation of data centres: no opening may reach an upstream of one that is
 * evacuated, by whatever rule an upstream is chosen, and no older message may
 * bring an evacuation back or lift one. */
#include "balance/evacuation.h"
#include "balance/pick.h"
#include "balance/revision.h"
#include "balance/snapshot.h"
#include "balance/token.h"
#include "test/fake_service.h"

#define SEED 17
#define BALANCERS 6
#define UPSTREAMS 18
#define DATA_CENTRES 3
/* About 30% of the capacity, so that two data centres can take it. */
#define PER_S 480
#define NOW_MS 50000
#define ADMISSION_SEEDS 8

static struct rg_evacuation_change
change_of(const char *data_centre, bool in_force, uint64_t revision)
{
    struct rg_evacuation_change c = {.revision = revision,
                                     .in_force = in_force};

    g_assert_true(rg_name_set(&c.data_centre, rg_str_of(data_centre)));
    return c;
}

static void
update(struct rg_evacuations *x, const char *data_centre, bool in_force,
       uint64_t revision)
{
    struct rg_evacuation_change c = change_of(data_centre, in_force, revision);

    rg_evacuations_update(x, &c, NOW_MS);
}

static bool
is_in_force(const struct rg_evacuations *x, const char *data_centre)
{
    for (size_t i = 0; i < rg_evacuations_count(x); i++) {
        const struct rg_evacuation *e = rg_evacuations_at(x, i);
        if (strcmp(e->data_centre.s, data_centre) == 0) {
            return e->in_force;
        }
    }
    return false;
}

/* --- records ------------------------------------------------------------- */

/* Guards against an older change, of a stale page or an earlier watch, undoing
 * a newer one. */
static void
test_order(void)
{
    struct rg_evacuations *x = rg_evacuations_create(NULL);

    update(x, "a", true, 5);
    g_assert_true(is_in_force(x, "a"));
    update(x, "a", false, 4);
    g_assert_true(is_in_force(x, "a"));
    update(x, "a", false, 8);
    update(x, "a", true, 5);
    g_assert_false(is_in_force(x, "a"));
    update(x, "a", true, 9);
    g_assert_cmpuint(rg_evacuations_in_force(x), ==, 1);
    rg_evacuations_destroy(x);
}

/* Guards against an evacuation that stays after its key was removed while this
 * instance could not watch, and against a listing of several pages that ends
 * one requested since its first page. */
static void
test_listing(void)
{
    struct rg_evacuations *x = rg_evacuations_create(NULL);

    update(x, "removed", true, 5);
    update(x, "kept", true, 6);
    update(x, "newer", true, 30);
    rg_evacuations_begin_listing(x);
    update(x, "kept", true, 6);
    update(x, "added", true, 7);
    g_assert_true(is_in_force(x, "removed"));
    g_assert_false(rg_evacuations_are_complete(x));
    rg_evacuations_end_listing(x, 20, NOW_MS);
    g_assert_true(rg_evacuations_are_complete(x));
    g_assert_false(is_in_force(x, "removed"));
    g_assert_true(is_in_force(x, "kept"));
    g_assert_true(is_in_force(x, "added"));
    g_assert_true(is_in_force(x, "newer"));
    rg_evacuations_destroy(x);
}

/* Guards against a peer with an older view bringing an evacuation back: one
 * that was lifted here, and one that had ended before this instance began. */
static void
test_older_peer(void)
{
    struct rg_evacuations *x = rg_evacuations_create(NULL);
    struct rg_evacuation_change old[] = {change_of("a", true, 5),
                                         change_of("b", true, 6)};

    update(x, "a", true, 5);
    update(x, "a", false, 9);
    rg_evacuations_begin_listing(x);
    rg_evacuations_end_listing(x, 12, NOW_MS);
    update(x, "c", true, 13);
    rg_evacuations_apply_all(x, old, G_N_ELEMENTS(old), 8, NOW_MS);
    g_assert_false(is_in_force(x, "a"));
    g_assert_false(is_in_force(x, "b"));
    /* The peer does not know of it yet. */
    g_assert_true(is_in_force(x, "c"));
    rg_evacuations_destroy(x);
}

/* Guards against an evacuation that stays where only peers tell of its end,
 * also by a peer that has started after the lift. */
static void
test_newer_peer(void)
{
    struct rg_evacuations *x = rg_evacuations_create(NULL);
    struct rg_evacuation_change news[] = {change_of("a", false, 15)};

    update(x, "a", true, 5);
    update(x, "b", true, 6);
    rg_evacuations_apply_all(x, news, G_N_ELEMENTS(news), 20, NOW_MS);
    g_assert_false(is_in_force(x, "a"));
    g_assert_false(is_in_force(x, "b"));
    rg_evacuations_destroy(x);
}

/* A snapshot taken in the middle of a listing does not count as a page of it:
 * what it has may have been lifted since, and what it lacks may be newer. */
static void
test_peer_during_listing(void)
{
    struct rg_evacuations *x = rg_evacuations_create(NULL);
    struct rg_evacuation_change old[] = {change_of("lifted", true, 5)};

    rg_evacuations_begin_listing(x);
    update(x, "new", true, 9);
    rg_evacuations_apply_all(x, old, G_N_ELEMENTS(old), 7, NOW_MS);
    g_assert_true(is_in_force(x, "lifted"));
    rg_evacuations_end_listing(x, 9, NOW_MS);
    g_assert_false(is_in_force(x, "lifted"));
    g_assert_true(is_in_force(x, "new"));
    rg_evacuations_destroy(x);
}

/* --- snapshots ----------------------------------------------------------- */

static struct rg_balancer *
create_balancer(void)
{
    struct rg_balancer_opts opts = {
        .data_centre = fake_name("dc%d", 0),
        .flow_age_ms = 60000,
        .stale_ms = 3000,
        .tracked_flows = 64,
    };

    return rg_balancer_create(&opts, NOW_MS);
}

static struct rg_evacuations *
evacuations_of(struct rg_balancer *b)
{
    return rg_pool_evacuations(rg_balancer_pool(b));
}

static void
transfer(struct rg_balancer *from, uint64_t revision, struct rg_balancer *to,
         uint64_t *own)
{
    struct rg_snapshot_base base = {.revision = *own};
    RG_STRBUF_AUTO bytes = {0};

    rg_snapshot_write(from, revision, &base, NOW_MS, &bytes);
    g_assert_true(rg_snapshot_read(to, (struct rg_str){bytes.s, bytes.len},
                                   own, NOW_MS));
}

/* Guards against an instance that misses an evacuation or its lift because it
 * is cut off from the store: snapshots of changes carry all of them, more than
 * fit into one part. */
static void
test_snapshot(void)
{
    struct rg_balancer *from = create_balancer();
    struct rg_balancer *to = create_balancer();
    uint64_t revision = 150;

    rg_evacuations_begin_listing(evacuations_of(from));
    rg_evacuations_end_listing(evacuations_of(from), 1, NOW_MS);
    for (int i = 0; i < 40; i++) {
        g_autofree char *name = g_strdup_printf("dc%d", i);
        update(evacuations_of(from), name, true, 100 + (uint64_t)i);
    }
    update(evacuations_of(from), "dc7", false, 160);
    update(evacuations_of(to), "dc7", true, 107);
    transfer(from, 200, to, &revision);
    g_assert_cmpuint(rg_evacuations_in_force(evacuations_of(to)), ==, 39);
    g_assert_false(is_in_force(evacuations_of(to), "dc7"));
    g_assert_true(rg_evacuations_are_complete(evacuations_of(to)));
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* Guards against an instance that ends evacuations because a peer of an older
 * build, or one that got its view from such a peer, does not know them. It
 * must not tell others that it knows all, either. */
static void
test_peer_without_evacuations(void)
{
    struct rg_balancer *from = create_balancer();
    struct rg_balancer *to = create_balancer();
    uint64_t revision = 150;

    rg_evacuations_begin_listing(evacuations_of(to));
    update(evacuations_of(to), "dc1", true, 120);
    rg_evacuations_end_listing(evacuations_of(to), 150, NOW_MS);
    transfer(from, 200, to, &revision);
    g_assert_cmpuint(revision, ==, 200);
    g_assert_true(is_in_force(evacuations_of(to), "dc1"));
    g_assert_false(rg_evacuations_are_complete(evacuations_of(to)));
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* Guards against an evacuation that ends because the store was restored from a
 * copy without it: neither the first listing of the new era nor a peer's view
 * of that listing lifts it; the next listing does. */
static void
test_restored_store(void)
{
    struct rg_balancer *from = create_balancer();
    struct rg_balancer *to = create_balancer();
    uint64_t restored = rg_revision_make(1, 90);
    uint64_t revision = 150;

    update(evacuations_of(from), "dc1", true, 120);
    update(evacuations_of(to), "dc1", true, 120);
    rg_evacuations_begin_listing(evacuations_of(from));
    rg_evacuations_end_listing(evacuations_of(from), 0, NOW_MS);
    g_assert_true(is_in_force(evacuations_of(from), "dc1"));

    rg_pool_set_provisional(rg_balancer_pool(from), true);
    transfer(from, restored, to, &revision);
    g_assert_cmpuint(revision, ==, restored);
    g_assert_true(is_in_force(evacuations_of(to), "dc1"));

    rg_evacuations_begin_listing(evacuations_of(to));
    rg_evacuations_end_listing(evacuations_of(to), restored, NOW_MS);
    g_assert_false(is_in_force(evacuations_of(to), "dc1"));
    rg_balancer_destroy(from);
    rg_balancer_destroy(to);
}

/* Guards against a lift that is taken for older than the evacuation, since the
 * restored store reissues revisions. */
static void
test_lift_after_restore(void)
{
    struct rg_evacuations *x = rg_evacuations_create(NULL);

    update(x, "a", true, 120);
    update(x, "a", false, rg_revision_make(1, 91));
    g_assert_false(is_in_force(x, "a"));
    update(x, "a", true, 121);
    g_assert_false(is_in_force(x, "a"));
    rg_evacuations_destroy(x);
}

/* --- choices ------------------------------------------------------------- */

static void
evacuate(struct fake_service *s, int data_centre, bool in_force,
         uint64_t revision)
{
    struct rg_evacuation_change c = {.data_centre =
                                         fake_name("dc%d", data_centre),
                                     .revision = revision,
                                     .in_force = in_force};

    for (int b = 0; b < s->balancer_count; b++) {
        rg_evacuations_update(evacuations_of(s->balancers[b]), &c, s->now_ms);
    }
}

static uint32_t
opened_in(const struct fake_service *s, int data_centre)
{
    uint32_t sum = 0;

    for (int i = data_centre; i < s->upstream_count; i += s->data_centres) {
        sum += s->upstreams[i].opened;
    }
    return sum;
}

static struct fake_service *
create_service(uint64_t seed)
{
    struct fake_opts opts = {.balancers = BALANCERS,
                             .upstreams = UPSTREAMS,
                             .data_centres = DATA_CENTRES,
                             .seed = seed};

    return fake_service_create_with(&opts);
}

static void
set_condition(struct fake_service *s, int data_centre,
              enum fake_condition condition)
{
    for (int i = data_centre; i < s->upstream_count; i += s->data_centres) {
        s->upstreams[i].condition = condition;
    }
}

/* Guards against openings at evacuated upstreams by the usual choice, whether
 * or not they are the local ones of an instance. Open flows are served on, and
 * nobody is refused. */
static void
test_no_openings(void)
{
    struct fake_service *s = create_service(SEED);

    fake_run(s, 3000, PER_S);
    g_assert_cmpuint(opened_in(s, 0), >, 0);
    evacuate(s, 0, true, 10);
    fake_reset_results(s);
    fake_run(s, 5000, PER_S);
    g_assert_cmpuint(opened_in(s, 0), ==, 0);
    g_assert_cmpuint(s->refused + s->lost + s->resets, ==, 0);
    g_assert_cmpfloat((double)s->in_time, >, 0.98 * s->requests);
    g_assert_cmpuint(rg_balancer_metrics(s->balancers[0])
                         ->counters[RG_METRIC_OPENINGS_DIVERTED],
                     >, 0);
    fake_service_destroy(s);
}

/* Guards against openings that test upstreams: probes of outliers, second
 * requests after a failure, trials of a suspected data centre, and choices
 * while most upstreams are excluded. */
static void
test_no_tests(void)
{
    static const enum fake_condition conditions[] = {FAKE_SILENT, FAKE_HANGING,
                                                     FAKE_ERROR};

    for (size_t i = 0; i < G_N_ELEMENTS(conditions); i++) {
        struct fake_service *s = create_service(SEED + i);
        fake_run(s, 2000, PER_S);
        set_condition(s, 0, conditions[i]);
        fake_run(s, 1500, PER_S);
        evacuate(s, 0, true, 10);
        set_condition(s, 1, conditions[i]);
        fake_reset_results(s);
        fake_run(s, 12000, PER_S);
        g_assert_cmpuint(opened_in(s, 0), ==, 0);
        fake_service_destroy(s);
    }
}

/* Guards against openings that are held, dropped or sent to an evacuated
 * upstream when no other is left: they are refused at once. */
static void
test_all_evacuated(void)
{
    struct fake_service *s = create_service(SEED);

    fake_run(s, 2000, PER_S);
    for (int dc = 0; dc < DATA_CENTRES; dc++) {
        evacuate(s, dc, true, 10 + (uint64_t)dc);
    }
    fake_run(s, 2000, 0);
    fake_reset_results(s);
    fake_run(s, 1000, PER_S);
    g_assert_cmpuint(s->refused, ==, s->requests);
    g_assert_cmpuint(opened_in(s, 0) + opened_in(s, 1) + opened_in(s, 2), ==,
                     0);
    fake_service_destroy(s);
}

/* Opens a flow at balancer 0 and returns the data centre of its upstream. */
static int
open_flow(struct fake_service *s, uint32_t copy, struct rg_decision *out)
{
    struct rg_segment segment = {
        .flow = {.caller_ip = 0x64400001,
                 .service_ip = FAKE_SERVICE_IP,
                 .caller_port = 60001,
                 .service_port = FAKE_SERVICE_PORT},
        .opening = true,
        .seq = 99,
        .ack = copy,
    };

    *out = rg_balancer_packet(s->balancers[0], &segment, s->now_ms);
    return out->endpoint ? ((int)out->endpoint->wire_id - 1) % s->data_centres
                         : -1;
}

/* Guards against a copy of an opening that stays at its upstream: the copy is
 * sent after the evacuation, the first was before it. A copy that comes with
 * the one before it must not reach a second upstream either. */
static void
test_copies(void)
{
    struct fake_service *s = create_service(SEED);
    struct rg_decision d;
    int first = open_flow(s, 0, &d);
    uint32_t token = d.endpoint->token;

    evacuate(s, first, true, 10);
    s->now_ms += 50;
    open_flow(s, 1, &d);
    g_assert_cmpint(d.kind, ==, RG_DECISION_DROP);
    s->now_ms += 150;
    /* Its upstream answers others, so that the copy would stay there. */
    struct rg_endpoint *e =
        rg_pool_by_token(rg_balancer_pool(s->balancers[0]), token);
    rg_endpoint_responded(e, s->now_ms - 1);
    g_assert_cmpint(open_flow(s, 1, &d), !=, first);
    g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
    fake_service_destroy(s);
}

/* Guards against a name that is not known yet being forgotten: upstreams of
 * that data centre appear later. */
static void
test_later_upstreams(void)
{
    struct fake_service *s = create_service(SEED);
    struct rg_endpoint_info info = {
        .id = fake_name("u-%x", 999),
        .wire_id = 1,
        .boot_ms = 1,
        .service = fake_name("shop", 0),
        .data_centre = fake_name("dc%d", 9),
        .slots = 64,
    };

    evacuate(s, 9, true, 10);
    rg_addr_parse(&info.addr, "10.0.0.1:80");
    rg_pool_update(rg_balancer_pool(s->balancers[0]), &info, 11, s->now_ms);
    struct rg_endpoint *e =
        rg_pool_by_token(rg_balancer_pool(s->balancers[0]),
                         rg_token_of(rg_name_str(&info.id), info.boot_ms));
    g_assert_false(rg_pick_takes_flows(e));
    evacuate(s, 9, false, 12);
    g_assert_true(rg_pick_takes_flows(e));
    fake_service_destroy(s);
}

/* Requests answered in time under twice the load of the upstreams. */
static uint32_t
in_time_under_overload(struct fake_service *s)
{
    fake_run(s, 2000, 2 * PER_S);
    fake_reset_results(s);
    fake_run(s, 5000, 2 * PER_S);
    uint32_t in_time = s->in_time;
    fake_service_destroy(s);
    return in_time;
}

/* Guards against admission control that counts slots which no opening may
 * use: with two of three data centres evacuated callers must fare as well as
 * with a service that has only the upstreams of the third. */
static void
test_admission(void)
{
    uint32_t evacuated = 0;
    uint32_t small = 0;

    for (uint64_t seed = SEED; seed < SEED + ADMISSION_SEEDS; seed++) {
        struct fake_service *s = create_service(seed);
        fake_run(s, 2000, PER_S);
        evacuate(s, 0, true, 10);
        evacuate(s, 1, true, 11);
        evacuated += in_time_under_overload(s);
        s = fake_service_create(BALANCERS, UPSTREAMS / DATA_CENTRES, seed);
        fake_run(s, 2000, PER_S / DATA_CENTRES);
        small += in_time_under_overload(s);
    }
    g_test_message("in time: %u with evacuations, %u in a small service",
                   evacuated, small);
    g_assert_cmpuint(evacuated, >, small * 98 / 100);
}

static size_t
count_outliers(struct fake_service *s, int balancer)
{
    struct rg_pool *pool = rg_balancer_pool(s->balancers[balancer]);
    size_t outliers = 0;
    size_t count;
    struct rg_endpoint *const *endpoints = rg_pool_endpoints(pool, 0, &count);

    for (size_t i = 0; i < count; i++) {
        outliers += rg_endpoint_is_outlier(endpoints[i]);
    }
    return outliers;
}

/* Guards against nearly all upstreams that are left being excluded, because
 * evacuated ones count as healthy. */
static void
test_enough_remain(void)
{
    struct fake_service *s = create_service(SEED);

    fake_run(s, 2000, PER_S / DATA_CENTRES);
    evacuate(s, 0, true, 10);
    evacuate(s, 1, true, 11);
    set_condition(s, 2, FAKE_ERROR);
    for (int i = 0; i < 40; i++) {
        fake_run(s, 100, PER_S / DATA_CENTRES);
        for (int b = 0; b < BALANCERS; b++) {
            g_assert_cmpuint(count_outliers(s, b), <=,
                             UPSTREAMS / DATA_CENTRES / 2 + 1);
        }
    }
    fake_service_destroy(s);
}

/* --- return -------------------------------------------------------------- */

/* Guards against a data centre that gets its whole share at once after the
 * lift, while its upstreams are cold, or never gets it. */
static void
test_return(void)
{
    struct fake_service *s = create_service(SEED);
    uint32_t opened[6];

    fake_run(s, 2000, PER_S);
    evacuate(s, 0, true, 10);
    fake_run(s, 2000, PER_S);
    evacuate(s, 0, false, 20);
    for (size_t i = 0; i < G_N_ELEMENTS(opened); i++) {
        fake_reset_results(s);
        fake_run(s, 1000, PER_S);
        opened[i] = opened_in(s, 0);
        g_assert_cmpuint(s->refused + s->lost, ==, 0);
    }
    g_assert_cmpuint(opened[0], <, PER_S / DATA_CENTRES / 5);
    g_assert_cmpuint(opened[0], >, 0);
    g_assert_cmpuint(opened[1], <, PER_S / DATA_CENTRES / 2);
    g_assert_cmpuint(opened[2], >, opened[0]);
    g_assert_cmpuint(opened[5], >, PER_S / DATA_CENTRES * 7 / 10);
    fake_service_destroy(s);
}

/* Guards against callers that are refused, or queue, because new flows are
 * held back from the only upstreams that are left. */
static void
test_return_without_others(void)
{
    struct fake_service *s = create_service(SEED);

    fake_run(s, 2000, PER_S);
    for (int dc = 0; dc < DATA_CENTRES; dc++) {
        evacuate(s, dc, true, 10 + (uint64_t)dc);
    }
    fake_run(s, 2000, 0);
    evacuate(s, 0, false, 20);
    fake_reset_results(s);
    fake_run(s, 1000, PER_S / 4);
    g_assert_cmpuint(s->refused + s->lost, ==, 0);
    g_assert_cmpuint(opened_in(s, 0), ==, s->requests);
    fake_service_destroy(s);
}

/* Guards against an instance that learns of a lift late, or has just started,
 * and sends cold upstreams its full share while the others hold back. Of a
 * lift long ago nothing is left. */
static void
test_return_learnt_from_peer(void)
{
    struct rg_evacuations *x = rg_evacuations_create(NULL);
    struct rg_evacuation_change c[] = {change_of("a", false, 5),
                                       change_of("b", false, 6)};

    c[0].age_ms = 1500;
    c[1].age_ms = 60000;
    rg_evacuations_apply_all(x, c, G_N_ELEMENTS(c), 10, NOW_MS);
    const struct rg_evacuation *a = rg_evacuations_at(x, 0);
    const struct rg_evacuation *b = rg_evacuations_at(x, 1);
    g_assert_cmpuint(rg_evacuation_share(a, NOW_MS), ==, 12);
    g_assert_cmpuint(rg_evacuation_share(b, NOW_MS), ==, 100);
    g_assert_true(rg_evacuations_are_returning(x));
    rg_evacuations_tick(x, NOW_MS + 2500);
    g_assert_false(rg_evacuations_are_returning(x));
    g_assert_cmpuint(rg_evacuation_share(a, NOW_MS + 2500), ==, 100);
    rg_evacuations_destroy(x);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/evacuation/order", test_order);
    g_test_add_func("/evacuation/listing", test_listing);
    g_test_add_func("/evacuation/older-peer", test_older_peer);
    g_test_add_func("/evacuation/newer-peer", test_newer_peer);
    g_test_add_func("/evacuation/peer-during-listing",
                    test_peer_during_listing);
    g_test_add_func("/evacuation/snapshot", test_snapshot);
    g_test_add_func("/evacuation/peer-without-evacuations",
                    test_peer_without_evacuations);
    g_test_add_func("/evacuation/restored-store", test_restored_store);
    g_test_add_func("/evacuation/lift-after-restore", test_lift_after_restore);
    g_test_add_func("/evacuation/no-openings", test_no_openings);
    g_test_add_func("/evacuation/no-tests", test_no_tests);
    g_test_add_func("/evacuation/all-evacuated", test_all_evacuated);
    g_test_add_func("/evacuation/copies", test_copies);
    g_test_add_func("/evacuation/later-upstreams", test_later_upstreams);
    g_test_add_func("/evacuation/admission", test_admission);
    g_test_add_func("/evacuation/enough-remain", test_enough_remain);
    g_test_add_func("/evacuation/return", test_return);
    g_test_add_func("/evacuation/return-without-others",
                    test_return_without_others);
    g_test_add_func("/evacuation/return-learnt-from-peer",
                    test_return_learnt_from_peer);
    return g_test_run();
}
