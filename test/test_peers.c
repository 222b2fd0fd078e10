/* Digests between instances, many of them in one program: who asks the store,
 * how fast news gets round, and who notices that it lags. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "balance/peers.h"
#include "common/rand.h"

#define SEED 29
#define BOUND_MS 3000
#define FLEET_MAX 1600

struct instance {
    struct rg_peers *peers;
    struct rg_peers_view view;
    bool up;
    bool store; /* it reaches the store */
};

struct fleet {
    struct instance all[FLEET_MAX];
    struct rg_addr addrs[FLEET_MAX];
    int count;
    uint64_t now_ms;
    uint64_t revision; /* of the store */
    struct rg_rand rand;
    int cut; /* instances below this do not reach the others, 0: no cut */
};

static struct rg_addr
addr_of(int i)
{
    struct rg_addr a;
    char text[32];

    snprintf(text, sizeof(text), "10.0.%d.%d:7000", i / 250, i % 250 + 1);
    g_assert_true(rg_addr_parse(&a, text));
    return a;
}

static struct rg_peers *
make_peers(int i)
{
    struct rg_peers_opts opts = {
        .addr = addr_of(i), .bound_ms = BOUND_MS, .seed = (uint64_t)i + SEED};
    char name[16];

    snprintf(name, sizeof(name), "edge-%d", i);
    g_assert_true(rg_name_set(&opts.name, rg_str_of(name)));
    return rg_peers_create(&opts);
}

/* Everyone has been told of the first instance alone. */
static struct fleet *
make_fleet(int count)
{
    struct fleet *f = g_new0(struct fleet, 1);
    struct rg_addr first = addr_of(0);

    f->count = count;
    f->now_ms = 100000;
    f->revision = 10;
    f->rand.state = SEED;
    for (int i = 0; i < count; i++) {
        f->all[i].peers = make_peers(i);
        f->addrs[i] = addr_of(i);
        f->all[i].up = true;
        f->all[i].store = true;
        rg_peers_add_seed(f->all[i].peers, &first);
    }
    return f;
}

static void
destroy_fleet(struct fleet *f)
{
    for (int i = 0; i < f->count; i++) {
        rg_peers_destroy(f->all[i].peers);
    }
    g_free(f);
}

static int
index_of(const struct fleet *f, const struct rg_addr *addr)
{
    for (int i = 0; i < f->count; i++) {
        if (rg_addr_eq(&f->addrs[i], addr)) {
            return i;
        }
    }
    return -1;
}

static void
read_store(struct fleet *f, struct instance *n)
{
    n->view.revision = f->revision;
    n->view.version = f->revision;
    n->view.confirmed_ms = f->now_ms;
}

static void
send_digest(struct fleet *f, int from)
{
    struct rg_msg_digest digest;
    struct rg_peers_target to;

    if (!rg_peers_next_digest(f->all[from].peers, &f->all[from].view,
                              RG_PEERS_ANY, f->now_ms, &digest, &to))
    {
        return;
    }
    int i = index_of(f, &to.addr);
    bool cut = (from < f->cut) != (i < f->cut);
    if (i >= 0 && f->all[i].up && !cut) {
        rg_peers_digest_received(f->all[i].peers, &digest, f->now_ms);
    }
}

/* One period: readers ask the store, digests go out. Returns the readers. */
static int
step(struct fleet *f)
{
    int readers = 0;

    f->now_ms += RG_PEERS_PERIOD_MS;
    for (int i = 0; i < f->count; i++) {
        struct instance *n = &f->all[i];
        if (!n->up) {
            continue;
        }
        if (rg_peers_is_store_reader(n->peers, f->now_ms)) {
            readers++;
            if (n->store) {
                read_store(f, n);
            }
        }
        for (int k = 0; k < RG_PEERS_FANOUT; k++) {
            send_digest(f, i);
        }
    }
    return readers;
}

static void
run(struct fleet *f, int periods)
{
    for (int i = 0; i < periods; i++) {
        step(f);
    }
}

static int
count_behind(struct fleet *f)
{
    int behind = 0;

    for (int i = 0; i < f->count; i++) {
        struct instance *n = &f->all[i];
        behind += n->up && rg_peers_is_behind(n->peers, &n->view, f->now_ms);
    }
    return behind;
}

/* Store calls do not grow with the fleet: about one instance reads. */
static void
test_few_readers(void)
{
    struct fleet *f = make_fleet(36);
    int readers = 0;

    run(f, 100);
    for (int i = 0; i < 100; i++) {
        readers += step(f);
    }
    g_assert_cmpint(readers, >=, 100);
    g_assert_cmpint(readers, <=, 250);
    destroy_fleet(f);
}

/* A change is known everywhere, and those that lack it know that they do, well
 * within the bound. */
static void
test_news(void)
{
    struct fleet *f = make_fleet(36);

    run(f, 100);
    for (int i = 0; i < f->count; i++) {
        read_store(f, &f->all[i]);
    }
    g_assert_cmpint(count_behind(f), ==, 0);
    f->revision++;
    uint64_t changed = f->now_ms;
    int have = 0;
    while (have < f->count) {
        step(f);
        count_behind(f);
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

/* News every period, and an instance whose own calls are silent: it still
 * counts as behind. (It once did not: each new revision started the wait
 * anew.) */
static void
test_behind_while_news_goes_on(void)
{
    struct fleet *f = make_fleet(4);
    struct instance *stuck = &f->all[3];
    bool noticed = false;

    run(f, 50);
    for (int i = 0; i < f->count; i++) {
        read_store(f, &f->all[i]);
    }
    count_behind(f);
    for (int i = 0; i < 8; i++) {
        f->revision++;
        read_store(f, &f->all[0]);
        step(f);
        stuck->view.revision = 10;
        noticed = noticed ||
                  rg_peers_is_behind(stuck->peers, &stuck->view, f->now_ms);
    }
    g_assert_true(noticed);
    destroy_fleet(f);
}

/* The reader dies, or loses the store: others read before the bound is
 * over. */
static void
test_reader_dies(void)
{
    for (int silent = 0; silent < 2; silent++) {
        struct fleet *f = make_fleet(12);
        run(f, 100);
        for (int i = 0; i < f->count; i++) {
            if (rg_peers_is_store_reader(f->all[i].peers, f->now_ms)) {
                f->all[i].up = silent;
                f->all[i].store = false;
            }
        }
        uint64_t from = f->now_ms;
        f->revision++;
        bool known = false;
        while (!known) {
            step(f);
            for (int i = 0; i < f->count; i++) {
                known = known || (f->all[i].store &&
                                  f->all[i].view.revision == f->revision);
            }
            g_assert_cmpuint(f->now_ms - from, <, BOUND_MS * 7 / 10);
        }
        destroy_fleet(f);
    }
}

/* A cut: both sides read for themselves; healed, one reader is enough. */
static void
test_cut(void)
{
    struct fleet *f = make_fleet(12);

    run(f, 100);
    f->cut = 4;
    run(f, 50);
    bool low = false;
    bool high = false;
    for (int i = 0; i < f->count; i++) {
        bool reader = rg_peers_is_store_reader(f->all[i].peers, f->now_ms);
        low = low || (reader && i < 4);
        high = high || (reader && i >= 4);
    }
    g_assert_true(low && high);
    f->cut = 0;
    run(f, 100);
    g_assert_cmpint(step(f), <=, 4);
    destroy_fleet(f);
}

/* Pattern: admission in a large fleet. Each instance knows 48 others at most,
 * and yet how many there are, and its part of their traffic. */
static void
test_fleet_size(void)
{
    static const int sizes[] = {4, 78, 300, 1600};

    for (size_t n = 0; n < G_N_ELEMENTS(sizes); n++) {
        struct fleet *f = make_fleet(sizes[n]);
        for (int i = 0; i < f->count; i++) {
            /* The store names some others, too. */
            for (int k = 0; k < 3; k++) {
                uint32_t other = rg_rand_below(&f->rand, (uint32_t)f->count);
                rg_peers_add_seed(f->all[i].peers, &f->addrs[other]);
            }
            f->all[i].view.openings_per_s = i == 0 ? 300 : 100;
        }
        for (int i = 0; i < 200; i++) {
            step(f);
        }
        for (int i = 0; i < f->count; i += f->count / 4) {
            double size =
                (double)rg_peers_fleet_size(f->all[i].peers, f->now_ms);
            g_assert_cmpfloat(size, >, 0.7 * sizes[n]);
            g_assert_cmpfloat(size, <, 1.3 * sizes[n]);
        }
        /* Nobody is left out, though all tables were full soon. */
        for (int i = 0; i < f->count; i++) {
            g_assert_cmpuint(rg_peers_count(f->all[i].peers, f->now_ms), >, 0);
        }
        double share = rg_peers_flow_share(f->all[0].peers, 300, f->now_ms);
        g_assert_cmpfloat(share, >, 0.7 * 300 / (100.0 * (sizes[n] + 2)));
        g_assert_cmpfloat(share, <, 1.3 * 300 / (100.0 * (sizes[n] + 2)));
        destroy_fleet(f);
    }
}

/* Alone: it reads, and is behind nobody. */
static void
test_alone(void)
{
    struct rg_peers *p = make_peers(0);
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

/* Under a tight bound digests would come too late: every instance reads. */
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

/* A peer's view is asked for only if it is newer. */
static void
test_ahead(void)
{
    struct rg_peers *p = make_peers(0);
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

/* More instances than can be known: the table stays bounded. */
static void
test_bounded(void)
{
    struct rg_peers *p = make_peers(0);

    for (int i = 1; i < 250; i++) {
        struct rg_msg_digest d = {.revision = 1};
        d.addr = addr_of(i);
        rg_peers_digest_received(p, &d, 5000);
    }
    g_assert_cmpuint(rg_peers_count(p, 5000), ==, RG_PEERS_MAX);
    rg_peers_destroy(p);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peers/few-readers", test_few_readers);
    g_test_add_func("/peers/news", test_news);
    g_test_add_func("/peers/behind-while-news-goes-on",
                    test_behind_while_news_goes_on);
    g_test_add_func("/peers/reader-dies", test_reader_dies);
    g_test_add_func("/peers/cut", test_cut);
    g_test_add_func("/peers/fleet-size", test_fleet_size);
    g_test_add_func("/peers/alone", test_alone);
    g_test_add_func("/peers/tight-bound", test_tight_bound);
    g_test_add_func("/peers/ahead", test_ahead);
    g_test_add_func("/peers/bounded", test_bounded);
    return g_test_run();
}
