/* Gossip of digests between instances in one process: which of them poll the
 * store, how fast changes spread, and which notice that they lag behind. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "balance/peers.h"
#include "balance/revision.h"
#include "test/fake_peers.h"

static int
count_lagging(struct fleet *f)
{
    int lagging = 0;

    for (int i = 0; i < f->count; i++) {
        struct instance *n = &f->all[i];
        lagging +=
            n->running && rg_peers_is_behind(n->peers, &n->view, f->now_ms);
    }
    return lagging;
}

/* The number of store calls does not grow with the fleet: about one instance
 * polls the store. */
static void
test_few_readers(void)
{
    struct fleet *f = create_fleet(36);
    int reader_count = 0;

    run(f, 100);
    for (int i = 0; i < 100; i++) {
        reader_count += run_period(f);
    }
    g_assert_cmpint(reader_count, >=, 100);
    g_assert_cmpint(reader_count, <=, 250);
    destroy_fleet(f);
}

/* A change becomes known to all instances, and those that lack it notice so,
 * well within the bound. */
static void
test_change_spreads(void)
{
    struct fleet *f = create_fleet(36);

    run(f, 100);
    for (int i = 0; i < f->count; i++) {
        read_store(f, &f->all[i]);
    }
    g_assert_cmpint(count_lagging(f), ==, 0);
    f->revision++;
    uint64_t changed = f->now_ms;
    int have = 0;
    while (have < f->count) {
        run_period(f);
        count_lagging(f);
        have = 0;
        for (int i = 0; i < f->count; i++) {
            struct instance *n = &f->all[i];
            if (rg_peers_is_behind(n->peers, &n->view, f->now_ms)) {
                read_store(f, n);
            }
            have += n->view.revision == f->revision;
        }
        g_assert_cmpuint(f->now_ms - changed, <, BOUND_MS - 500);
    }
    destroy_fleet(f);
}

/* The store changes every period, and one instance's own calls hang. It must
 * still notice that it lags; it once did not, since each new revision
 * restarted the wait. */
static void
test_lag_during_constant_changes(void)
{
    struct fleet *f = create_fleet(4);
    struct instance *stuck = &f->all[3];
    bool noticed = false;

    run(f, 50);
    for (int i = 0; i < f->count; i++) {
        read_store(f, &f->all[i]);
    }
    count_lagging(f);
    for (int i = 0; i < 8; i++) {
        f->revision++;
        read_store(f, &f->all[0]);
        run_period(f);
        stuck->view.revision = 10;
        noticed = noticed ||
                  rg_peers_is_behind(stuck->peers, &stuck->view, f->now_ms);
    }
    g_assert_true(noticed);
    destroy_fleet(f);
}

/* The instance that polls the store dies or cannot reach the store: others
 * poll it before the bound has passed. */
static void
test_reader_dies(void)
{
    for (int silent = 0; silent < 2; silent++) {
        struct fleet *f = create_fleet(12);
        run(f, 100);
        for (int i = 0; i < f->count; i++) {
            if (rg_peers_is_store_reader(f->all[i].peers, f->now_ms)) {
                f->all[i].running = silent;
                f->all[i].store_reachable = false;
            }
        }
        uint64_t from = f->now_ms;
        f->revision++;
        bool known = false;
        while (!known) {
            run_period(f);
            for (int i = 0; i < f->count; i++) {
                known = known || (f->all[i].store_reachable &&
                                  f->all[i].view.revision == f->revision);
            }
            g_assert_cmpuint(f->now_ms - from, <, BOUND_MS * 7 / 10);
        }
        destroy_fleet(f);
    }
}

/* During a partition both sides poll the store; afterwards one instance is
 * enough. */
static void
test_partition(void)
{
    struct fleet *f = create_fleet(12);

    run(f, 100);
    f->partitioned = 4;
    run(f, 50);
    bool low = false;
    bool high = false;
    for (int i = 0; i < f->count; i++) {
        bool reader = rg_peers_is_store_reader(f->all[i].peers, f->now_ms);
        low = low || (reader && i < 4);
        high = high || (reader && i >= 4);
    }
    g_assert_true(low && high);
    f->partitioned = 0;
    run(f, 100);
    g_assert_cmpint(run_period(f), <=, 4);
    destroy_fleet(f);
}

/* Guards against a stale view that counts as current: the instance that polls
 * the store gets no more answers, and digests to it wait on their way. What it
 * passes on then seems younger than it is, and comes back to it. The others
 * must poll in time for the bound. */
static void
test_delayed_digests(void)
{
    static const uint32_t delays_ms[] = {600, 1000, 1400};

    for (size_t n = 0; n < G_N_ELEMENTS(delays_ms); n++) {
        struct fleet *f = create_fleet(4);
        run(f, 100);
        for (int i = 0; i < f->count; i++) {
            read_store(f, &f->all[i]);
        }
        run(f, 20);
        for (int i = 0; i < f->count; i++) {
            if (rg_peers_is_store_reader(f->all[i].peers, f->now_ms)) {
                f->delayed = i;
            }
        }
        f->delay_ms = delays_ms[n];
        f->all[f->delayed].store_reachable = false;
        run(f, 3);
        f->revision++;
        uint64_t changed_ms = f->now_ms;
        int have = 0;
        while (have == 0) {
            run_period(f);
            for (int i = 0; i < f->count; i++) {
                have += f->all[i].view.revision == f->revision;
            }
            g_assert_cmpuint(f->now_ms - changed_ms, <, BOUND_MS - 500);
        }
        destroy_fleet(f);
    }
}

/* Fleet size and share of the load, which admission control needs. Each
 * instance knows at most 48 others and estimates both nevertheless. */
static void
test_fleet_size(void)
{
    static const int sizes[] = {4, 78, 300, 1600};

    for (size_t n = 0; n < G_N_ELEMENTS(sizes); n++) {
        struct fleet *f = create_fleet(sizes[n]);
        for (int i = 0; i < f->count; i++) {
            /* The store provides some further addresses. */
            for (int k = 0; k < 3; k++) {
                uint32_t other = rg_rand_below(&f->rand, (uint32_t)f->count);
                rg_peers_add_seed(f->all[i].peers, &f->addrs[other]);
            }
            f->all[i].view.openings_per_s = i == 0 ? 300 : 100;
        }
        for (int i = 0; i < 200; i++) {
            run_period(f);
        }
        for (int i = 0; i < f->count; i += f->count / 4) {
            double size =
                (double)rg_peers_fleet_size(f->all[i].peers, f->now_ms);
            g_assert_cmpfloat(size, >, 0.7 * sizes[n]);
            g_assert_cmpfloat(size, <, 1.3 * sizes[n]);
        }
        /* No instance is left out, although all tables are full early on. */
        for (int i = 0; i < f->count; i++) {
            g_assert_cmpuint(rg_peers_count(f->all[i].peers, f->now_ms), >, 0);
        }
        double share = rg_peers_flow_share(f->all[0].peers, 300, f->now_ms);
        g_assert_cmpfloat(share, >, 0.7 * 300 / (100.0 * (sizes[n] + 2)));
        g_assert_cmpfloat(share, <, 1.3 * 300 / (100.0 * (sizes[n] + 2)));
        destroy_fleet(f);
    }
}

static void
receive_openings(struct rg_peers *p, int from, const char *data_centre,
                 uint32_t openings_per_s)
{
    struct rg_msg_digest d = {.addr = addr_of(from),
                              .openings_per_s = openings_per_s};
    char name[16];

    snprintf(name, sizeof(name), "edge-%d", from);
    g_assert_true(rg_name_set(&d.from, rg_str_of(name)));
    g_assert_true(rg_name_set(&d.data_centre, rg_str_of(data_centre)));
    rg_peers_digest_received(p, &d, 5000);
}

/* Rates of new flows here and elsewhere, which decide how many flows leave the
 * data centre: exact while the table has room, else estimated. Local instances
 * that do not fit into it must not be taken for remote ones. */
static void
test_openings(void)
{
    struct rg_peers_opts opts = {.addr = addr_of(0), .bound_ms = BOUND_MS};
    g_assert_true(rg_name_set(&opts.name, rg_str_of("edge-0")));
    g_assert_true(rg_name_set(&opts.data_centre, rg_str_of("dc0")));
    struct rg_peers *p = rg_peers_create(&opts);

    g_assert_cmpfloat(rg_peers_openings(p, 20, 5000).local, ==, 20);
    g_assert_cmpfloat(rg_peers_openings(p, 20, 5000).remote, ==, 0);
    for (int i = 1; i <= 3; i++) {
        receive_openings(p, i, "dc0", 10 * (uint32_t)i);
    }
    for (int i = 4; i <= 9; i++) {
        receive_openings(p, i, "dc1", 5);
    }
    g_assert_cmpfloat(rg_peers_openings(p, 20, 5000).local, ==, 80);
    g_assert_cmpfloat(rg_peers_openings(p, 20, 5000).remote, ==, 30);
    for (int i = 10; i < 300; i++) {
        receive_openings(p, i, i % 3 ? "dc1" : "dc0", i % 3 ? 5 : 20);
    }
    struct rg_peers_openings all = rg_peers_openings(p, 20, 5000);
    g_assert_cmpfloat(all.local, >, 0.7 * 100 * 20);
    g_assert_cmpfloat(all.local, <, 1.3 * 100 * 20);
    g_assert_cmpfloat(all.remote, >, 0.6 * 200 * 5);
    g_assert_cmpfloat(all.remote, <, 1.4 * 200 * 5);
    rg_peers_destroy(p);
}

/* A single instance polls the store and lags behind no one. */
static void
test_single_instance(void)
{
    struct rg_peers *p = create_peers(0);
    struct rg_peers_view view = {
        .version = 1, .revision = 5, .confirmed_ms = 10};
    struct rg_msg_digest digest;
    struct rg_peers_target to;

    g_assert_true(rg_peers_is_store_reader(p, 5000));
    g_assert_false(rg_peers_is_behind(p, &view, 5000));
    g_assert_false(
        rg_peers_next_digest(p, &view, RG_PEERS_ANY, 5000, &digest, &to));
    g_assert_false(rg_peers_find_newer(p, &view, 5000, &to.addr));
    rg_peers_destroy(p);
}

/* With a tight bound digests would be too slow: every instance polls the
 * store. */
static void
test_tight_bound(void)
{
    struct rg_peers_opts opts = {.addr = addr_of(0), .bound_ms = 1000};
    struct rg_msg_digest d = {.latest_revision = 5, .latest_age_ms = 10};
    struct rg_peers *p;

    g_assert_true(rg_name_set(&opts.name, rg_str_of("edge-z")));
    p = rg_peers_create(&opts);
    d.addr = addr_of(1);
    for (int i = 0; i < 20; i++) {
        char name[16];
        snprintf(name, sizeof(name), "edge-%d", i);
        g_assert_true(rg_name_set(&d.from, rg_str_of(name)));
        d.addr = addr_of(i + 1);
        rg_peers_digest_received(p, &d, 5000);
    }
    g_assert_true(rg_peers_is_store_reader(p, 5000));
    rg_peers_destroy(p);
}

/* A snapshot is requested only from a peer with a newer view. */
static void
test_newer_peer(void)
{
    struct rg_peers *p = create_peers(0);
    struct rg_peers_view view = {
        .version = 4, .revision = 50, .confirmed_ms = 1000};
    struct rg_msg_digest d = {.version = 4, .revision = 50, .age_ms = 0};
    struct rg_addr to;

    d.addr = addr_of(1);
    rg_peers_digest_received(p, &d, 5000);
    g_assert_false(rg_peers_find_newer(p, &view, 5000, &to));
    g_assert_cmpuint(rg_peers_confirmed_ms(p, &view), ==, 0);
    d.latest_revision = 50;
    d.latest_age_ms = 200;
    rg_peers_digest_received(p, &d, 5000);
    g_assert_cmpuint(rg_peers_confirmed_ms(p, &view), ==, 4800);
    d.revision = 51;
    d.latest_revision = 51;
    d.age_ms = 100;
    rg_peers_digest_received(p, &d, 5000);
    g_assert_true(rg_peers_find_newer(p, &view, 5000, &to));
    g_assert_true(rg_addr_eq(&to, &d.addr));
    g_assert_cmpuint(rg_peers_confirmed_ms(p, &view), ==, 0);
    rg_peers_destroy(p);
}

/* With more instances than can be known the table is bounded. */
static void
test_bounded(void)
{
    struct rg_peers *p = create_peers(0);

    for (int i = 1; i < 250; i++) {
        struct rg_msg_digest d = {.revision = 1};
        d.addr = addr_of(i);
        rg_peers_digest_received(p, &d, 5000);
    }
    g_assert_cmpuint(rg_peers_count(p, 5000), ==, RG_PEERS_MAX);
    rg_peers_destroy(p);
}

/* Guards against instances of two builds that do not understand each other's
 * digests: an older one lacks the last fields, a newer one has more. */
static void
test_digest_of_other_build(void)
{
    static const uint8_t appended[] = {90, 1, 77, 78, 5, 6, 1, 1};
    struct rg_msg m = {.kind = RG_MSG_DIGEST};
    struct rg_msg_digest *d = &m.u.digest;
    uint8_t data[2048];

    d->version = 7;
    d->flows_moved_age_ms = appended[0];
    d->opening_tokens = appended[1];
    d->latest_source = appended[2];
    d->latest_serial = appended[3];
    d->era = appended[4];
    d->latest_era = appended[5];
    d->provisional = appended[6];
    d->is_home = appended[7];
    g_assert_true(rg_name_set(&d->from, rg_str_of("edge-1")));
    g_assert_true(rg_name_set(&d->data_centre, rg_str_of("dc1")));
    d->addr = addr_of(1);
    size_t len = rg_msg_pack(&m, data, sizeof(data) - 1);
    /* An array with a length of two bytes; its last elements have one byte. */
    g_assert_cmphex(data[0], ==, 0xdc);
    g_assert_cmpmem(data + len - sizeof(appended), sizeof(appended), appended,
                    sizeof(appended));
    data[len] = 0;
    data[2]++;
    g_assert_true(rg_msg_unpack(&m, data, len + 1));
    g_assert_cmpuint(d->is_home, ==, appended[7]);
    for (size_t lacks = 0; lacks <= sizeof(appended); lacks++) {
        data[2]--;
        g_assert_true(rg_msg_unpack(&m, data, len - lacks));
        g_assert_cmpuint(d->version, ==, 7);
        g_assert_cmpuint(d->flows_moved_age_ms, ==,
                         (lacks < 8 ? appended[0] : 0));
        g_assert_cmpuint(d->opening_tokens, ==, (lacks < 7 ? appended[1] : 0));
        g_assert_cmpuint(d->latest_source, ==, (lacks < 6 ? appended[2] : 0));
        g_assert_cmpuint(d->latest_serial, ==, (lacks < 5 ? appended[3] : 0));
        g_assert_cmpuint(d->era, ==, (lacks < 4 ? appended[4] : 0));
        g_assert_cmpuint(d->latest_era, ==, (lacks < 3 ? appended[5] : 0));
        g_assert_cmpuint(d->provisional, ==, (lacks < 2 ? appended[6] : 0));
        g_assert_cmpuint(d->is_home, ==, (lacks < 1 ? appended[7] : 0));
    }
    data[2]--;
    g_assert_false(rg_msg_unpack(&m, data, len - sizeof(appended) - 1));
}

/* Guards against an instance that does not notice a restore of the store, as
 * the revisions of its peers are lower than its own; and against one that
 * takes a peer's view of an older era for a newer one. */
static void
test_newer_era(void)
{
    struct rg_peers *p = create_peers(0);
    struct rg_peers_view view = {.version = 4, .revision = 300};
    struct rg_msg_digest d = {.version = 4,
                              .revision = 40,
                              .era = 1,
                              .latest_revision = 40,
                              .latest_era = 1,
                              .provisional = 1};
    struct rg_addr to;

    d.addr = addr_of(1);
    g_assert_false(rg_peers_is_behind(p, &view, 4000));
    rg_peers_digest_received(p, &d, 5000);
    g_assert_true(rg_peers_find_newer(p, &view, 5000, &to));
    g_assert_cmpuint(rg_peers_confirmed_ms(p, &view), ==, 0);
    g_assert_false(rg_peers_is_behind(p, &view, 5000));
    view.revision = rg_revision_make(1, 40);
    view.provisional = true;
    g_assert_false(rg_peers_find_newer(p, &view, 5000, &to));
    d.provisional = 0; /* it has a settled view now */
    rg_peers_digest_received(p, &d, 5000);
    g_assert_true(rg_peers_find_newer(p, &view, 5000, &to));
    view.revision = rg_revision_make(2, 1);
    g_assert_false(rg_peers_find_newer(p, &view, 5000, &to));
    d.era = UINT32_MAX; /* not an era */
    d.latest_era = UINT32_MAX;
    rg_peers_digest_received(p, &d, 5000);
    g_assert_false(rg_peers_find_newer(p, &view, 5000, &to));
    rg_peers_destroy(p);
}

/* Guards against a standby instance that calls the store five times a second
 * for a configuration that was lost in a restore, if the only instance that
 * had it has ended: the store has answered without it. */
static void
test_lost_version(void)
{
    struct rg_peers *p = create_peers(0);
    struct rg_peers_view view = {.version = 4,
                                 .revision = rg_revision_make(1, 40)};
    struct rg_msg_digest d = {.latest_version = 5};
    int calls = 0;

    d.addr = addr_of(1);
    g_assert_false(rg_peers_is_behind(p, &view, 5000));
    rg_peers_digest_received(p, &d, 5000);
    for (uint64_t now = 5000; now < 15000; now += RG_PEERS_PERIOD_MS) {
        if (rg_peers_is_behind(p, &view, now)) {
            view.answered_ms = now + 1;
            calls++;
        }
    }
    g_assert_cmpint(calls, >=, 4); /* it may be written again */
    g_assert_cmpint(calls, <=, 14);
    rg_peers_destroy(p);
}

/* The era of the own view is passed on. */
static void
test_era_in_digests(void)
{
    struct rg_peers *p = create_peers(0);
    struct rg_peers_view view = {.revision = rg_revision_make(3, 40),
                                 .provisional = true,
                                 .confirmed_ms = 4000,
                                 .answered_ms = 4000,
                                 .answers = 1};
    struct rg_msg_digest d;
    struct rg_peers_target to;
    struct rg_addr other = addr_of(1);

    rg_peers_add_seed(p, &other);
    g_assert_true(rg_peers_next_digest(p, &view, RG_PEERS_ANY, 5000, &d, &to));
    g_assert_cmpuint(d.revision, ==, 40);
    g_assert_cmpuint(d.era, ==, 3);
    g_assert_cmpuint(d.latest_revision, ==, 40);
    g_assert_cmpuint(d.latest_era, ==, 3);
    g_assert_cmpuint(d.provisional, ==, 1);
    rg_peers_destroy(p);
}

/* Guards against a datagram that ends the process: nested so deeply that a
 * recursive decoder runs out of stack. */
static void
test_deeply_nested_datagram(void)
{
    static uint8_t data[200000];
    static const uint8_t kinds[] = {0x91, 0x81}; /* an array, a map of one */
    struct rg_msg m;

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        memset(data, kinds[i], sizeof(data));
        g_assert_false(rg_msg_unpack(&m, data, sizeof(data)));
    }
}

static void
receive_from(struct rg_peers *p, int i, const struct rg_name *data_centre,
             bool opening_tokens, uint64_t now_ms)
{
    struct rg_msg_digest d = {.addr = addr_of(i),
                              .data_centre = *data_centre,
                              .opening_tokens = opening_tokens};

    rg_peers_digest_received(p, &d, now_ms);
}

/* Guards against openings with tokens that an active instance of an older
 * build would drop. */
static void
test_opening_tokens(void)
{
    struct rg_peers *p = create_peers(0);
    struct rg_name own = {0};
    struct rg_peers_view view = {0};
    struct rg_msg_digest digest;
    struct rg_peers_target to;

    g_assert_true(rg_peers_read_opening_tokens(p, 1000));
    receive_from(p, 1, &own, true, 1000);
    g_assert_true(rg_peers_read_opening_tokens(p, 1000));
    receive_from(p, 2, &own, false, 1000);
    g_assert_false(rg_peers_read_opening_tokens(p, 1000));
    /* It is replaced by a newer build, or gone. */
    receive_from(p, 2, &own, true, 2000);
    g_assert_true(rg_peers_read_opening_tokens(p, 2000));
    receive_from(p, 2, &own, false, 2000);
    g_assert_true(rg_peers_read_opening_tokens(p, 20000));
    g_assert_true(
        rg_peers_next_digest(p, &view, RG_PEERS_ANY, 2000, &digest, &to));
    g_assert_cmpuint(digest.opening_tokens, ==, 1);
    rg_peers_destroy(p);
}

/* Guards against flows that no instance is told of which the fabric may hand
 * them to: those of the data centre, and all if there are hardly any. */
static void
test_flow_targets(void)
{
    struct rg_peers *p = create_peers(0);
    struct rg_name own = {0};
    struct rg_name other;
    struct rg_addr to[RG_PEERS_MAX];

    g_assert_true(rg_name_set(&other, rg_str_of("dc2")));
    g_assert_cmpuint(rg_peers_flow_targets(p, 1000, to), ==, 0);
    receive_from(p, 1, &own, true, 1000);
    receive_from(p, 2, &other, true, 1000);
    g_assert_cmpuint(rg_peers_flow_targets(p, 1000, to), ==, 2);
    receive_from(p, 3, &own, true, 1000);
    g_assert_cmpuint(rg_peers_flow_targets(p, 1000, to), ==, 2);
    for (int i = 0; i < 2; i++) {
        struct rg_addr remote = addr_of(2);
        g_assert_false(rg_addr_eq(&to[i], &remote));
    }
    g_assert_cmpuint(rg_peers_flow_targets(p, 20000, to), ==, 0);
    rg_peers_destroy(p);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peers/few-readers", test_few_readers);
    g_test_add_func("/peers/change-spreads", test_change_spreads);
    g_test_add_func("/peers/lag-during-constant-changes",
                    test_lag_during_constant_changes);
    g_test_add_func("/peers/delayed-digests", test_delayed_digests);
    g_test_add_func("/peers/reader-dies", test_reader_dies);
    g_test_add_func("/peers/partition", test_partition);
    g_test_add_func("/peers/fleet-size", test_fleet_size);
    g_test_add_func("/peers/openings", test_openings);
    g_test_add_func("/peers/single-instance", test_single_instance);
    g_test_add_func("/peers/tight-bound", test_tight_bound);
    g_test_add_func("/peers/newer-peer", test_newer_peer);
    g_test_add_func("/peers/bounded", test_bounded);
    g_test_add_func("/peers/digest-of-other-build",
                    test_digest_of_other_build);
    g_test_add_func("/peers/deeply-nested-datagram",
                    test_deeply_nested_datagram);
    g_test_add_func("/peers/opening-tokens", test_opening_tokens);
    g_test_add_func("/peers/flow-targets", test_flow_targets);
    g_test_add_func("/peers/newer-era", test_newer_era);
    g_test_add_func("/peers/lost-version", test_lost_version);
    g_test_add_func("/peers/era-in-digests", test_era_in_digests);
    return g_test_run();
}
