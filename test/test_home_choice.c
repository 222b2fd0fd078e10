/* Homes of flows, as chosen by instances that learn of each other by digests
 * and from the store while others come and go. */
#include "test/fake_peers.h"

/* What a question to the homes of a flow finds out if the flow was told by
 * one instance and is asked for by another one a second later. */
struct found {
    int known;    /* a home was told of it */
    int silent;   /* nothing: fewer than two homes can answer */
    int wrong;    /* two homes that were not told of it say so */
    int answered; /* of flows that nobody told of: two homes say so */
    int questions;
};

#define HOMES_FLOWS 300
#define HOMES_WARM_UP_PERIODS 600
#define HOMES_PERIODS 200
/* Flows are told and asked for once in so many periods. */
#define ROUND_PERIODS 20
/* A process is killed so often, less often in a small fleet, and started again
 * so much later. */
#define KILL_PERIODS 5
#define KILL_SMALL_PERIODS 50
#define SMALL_FLEET 10
#define DOWN_PERIODS 17
#define KILLED_MAX 64
/* Periods between telling and asking. */
#define ASK_PERIODS 5
/* A home that was started later than this does not count. */
#define LISTENING_PERIODS 20

/* Instances in the order in which they were killed. */
struct killed {
    int every_periods;
    int all[KILLED_MAX];
};

/* Kills an instance, and starts the one that was killed some time ago, which
 * has forgotten everything. */
static void
restart_next(struct fleet *f, int period, struct killed *killed)
{
    struct rg_addr seed = addr_of(0);
    int every = killed->every_periods;

    if (period % every == 0) {
        int i = (int)rg_rand_below(&f->rand, (uint32_t)f->count);
        killed->all[period / every] = i;
        f->all[i].running = false;
    }
    if (period < DOWN_PERIODS || (period - DOWN_PERIODS) % every != 0) {
        return;
    }
    int i = killed->all[(period - DOWN_PERIODS) / every];
    if (!f->all[i].running) {
        rg_peers_destroy(f->all[i].peers);
        f->all[i] = (struct instance){.peers = create_peers(i),
                                      .running = true,
                                      .store_reachable = true};
        rg_peers_add_seed(f->all[i].peers, &seed);
        f->started_ms[i] = f->now_ms;
    }
}

/* True if an instance has run for long enough to know the others. */
static bool
has_settled(const struct fleet *f, int i)
{
    return f->all[i].running &&
           f->started_ms[i] + LISTENING_PERIODS * RG_PEERS_PERIOD_MS <=
               f->now_ms;
}

static int
random_settled(struct fleet *f)
{
    int i;

    do {
        i = (int)rg_rand_below(&f->rand, (uint32_t)f->count);
    } while (!has_settled(f, i));
    return i;
}

/* A flow that was told to its homes at `told_ms`. */
struct told_flow {
    uint32_t hash;
    int by;
    struct rg_flow_home homes[RG_FLOW_HOMES_MAX];
    size_t count;
};

static bool
was_told(const struct fleet *f, const struct told_flow *t, int home,
         uint64_t told_ms)
{
    for (size_t i = 0; i < t->count; i++) {
        if (index_of(f, &t->homes[i].addr) == home) {
            return f->started_ms[home] <= told_ms;
        }
    }
    return false;
}

static void
ask_for(struct fleet *f, const struct told_flow *t, uint64_t told_ms,
        struct found *found)
{
    struct rg_flow_home homes[RG_FLOW_HOMES_MAX];
    int asker = random_settled(f);
    size_t count = rg_peers_flow_homes(f->all[asker].peers, f->registered,
                                       t->hash, f->now_ms, homes);
    int told = 0;
    int listening = 0;

    for (size_t i = 0; i < count; i++) {
        int home = index_of(f, &homes[i].addr);
        told += f->all[home].running && was_told(f, t, home, told_ms);
        listening += has_settled(f, home);
    }
    int needed = count < 2 ? (int)count : 2;
    found->questions++;
    found->known += told > 0;
    found->wrong += told == 0 && listening >= needed;
    found->silent += told == 0 && listening < needed;
    found->answered += listening >= needed;
}

static void
tell(struct fleet *f, struct told_flow *t)
{
    t->hash = (uint32_t)rg_rand_next(&f->rand);
    t->by = random_settled(f);
    t->count = rg_peers_flow_homes(f->all[t->by].peers, f->registered, t->hash,
                                   f->now_ms, t->homes);
}

/* All are registered. A process that is started again within the lifetime of
 * its registration keeps it. */
static void
register_all(struct fleet *f)
{
    rg_instances_begin_listing(f->registered);
    for (int i = 0; i < f->count; i++) {
        g_autofree char *text = g_strdup_printf("edge-%d", i);
        struct rg_name name;
        g_assert_true(rg_name_set(&name, rg_str_of(text)));
        rg_instances_update(f->registered, rg_peers_id(&name), &f->addrs[i],
                            1);
    }
    rg_instances_end_listing(f->registered, 1, f->now_ms);
}

/* Instances are killed and started again while others tell and ask. */
static struct found
find_homes(int size)
{
    struct fleet *f = create_fleet(size);
    struct found found = {0};
    struct killed killed = {.every_periods = size < SMALL_FLEET
                                                 ? KILL_SMALL_PERIODS
                                                 : KILL_PERIODS};
    struct told_flow told[HOMES_FLOWS];

    register_all(f);
    run(f, HOMES_WARM_UP_PERIODS);
    for (int period = 0; period < HOMES_PERIODS; period++) {
        restart_next(f, period, &killed);
        run_period(f);
        if (period < LISTENING_PERIODS || period % ROUND_PERIODS != 0) {
            continue;
        }
        uint64_t told_ms = f->now_ms;
        for (int i = 0; i < HOMES_FLOWS; i++) {
            tell(f, &told[i]);
        }
        for (int i = 0; i < ASK_PERIODS; i++) {
            restart_next(f, ++period, &killed);
            run_period(f);
        }
        for (int i = 0; i < HOMES_FLOWS; i++) {
            ask_for(f, &told[i], told_ms, &found);
        }
    }
    destroy_fleet(f);
    return found;
}

/* Guards against homes that deny what they were not told, since instances do
 * not agree on the homes of a flow while others come and go. */
static void
test_homes(gconstpointer size)
{
    struct found found = find_homes(GPOINTER_TO_INT(size));
    double n = found.questions;

    g_test_message("%d instances: known %.4f, silent %.4f, wrong %.4f; "
                   "answered if not told %.4f",
                   GPOINTER_TO_INT(size), found.known / n, found.silent / n,
                   found.wrong / n, found.answered / n);
    g_assert_cmpint(found.wrong, ==, 0);
    g_assert_cmpint(found.questions, >, 0);
}

int
main(int argc, char **argv)
{
    static const int sizes[] = {3, 6, 31, 71, 300, 1600};

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        g_autofree char *path = g_strdup_printf("/home-choice/%d", sizes[i]);
        g_test_add_data_func(path, GINT_TO_POINTER(sizes[i]), test_homes);
    }
    return g_test_run();
}
