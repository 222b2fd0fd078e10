/* Instances in one process that gossip digests to each other. */
#ifndef RG_TEST_FAKE_PEERS_H
#define RG_TEST_FAKE_PEERS_H

#include <glib.h>
#include <stdio.h>

#include "balance/peers.h"
#include "common/rand.h"

#define SEED 29
#define BOUND_MS 3000
#define FLEET_MAX 1600

struct instance {
    struct rg_peers *peers;
    struct rg_peers_view view;
    bool running;
    bool store_reachable;
};

/* A digest on its way. */
struct delayed_digest {
    struct rg_msg_digest digest;
    int to;
    uint64_t due_ms;
};

struct fleet {
    struct instance all[FLEET_MAX];
    struct rg_addr addrs[FLEET_MAX];
    uint64_t started_ms[FLEET_MAX]; /* last start, 0: with the fleet */
    struct rg_instances *registered;
    int count;
    uint64_t now_ms;
    uint64_t revision; /* of the store */
    struct rg_rand rand;
    int delayed;        /* digests to this instance wait, -1: to none */
    uint32_t delay_ms;  /* so long */
    GPtrArray *waiting; /* struct delayed_digest */
    int partitioned; /* instances below this number cannot reach the others, 0:
                        no partition */
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

static inline struct rg_peers *
create_peers(int i)
{
    struct rg_peers_opts opts = {
        .addr = addr_of(i), .bound_ms = BOUND_MS, .seed = (uint64_t)i + SEED};
    char name[16];

    snprintf(name, sizeof(name), "edge-%d", i);
    g_assert_true(rg_name_set(&opts.name, rg_str_of(name)));
    return rg_peers_create(&opts);
}

/* Initially every instance knows only the first one. */
static inline struct fleet *
create_fleet(int count)
{
    struct fleet *f = g_new0(struct fleet, 1);
    struct rg_addr first = addr_of(0);

    f->count = count;
    f->now_ms = 100000;
    f->revision = 10;
    f->rand.state = SEED;
    f->delayed = -1;
    f->waiting = g_ptr_array_new_with_free_func(g_free);
    f->registered = rg_instances_create();
    for (int i = 0; i < count; i++) {
        f->all[i].peers = create_peers(i);
        f->addrs[i] = addr_of(i);
        f->all[i].running = true;
        f->all[i].store_reachable = true;
        rg_peers_add_seed(f->all[i].peers, &first);
    }
    return f;
}

static inline void
destroy_fleet(struct fleet *f)
{
    for (int i = 0; i < f->count; i++) {
        rg_peers_destroy(f->all[i].peers);
    }
    g_ptr_array_unref(f->waiting);
    rg_instances_destroy(f->registered);
    g_free(f);
}

static inline int
index_of(const struct fleet *f, const struct rg_addr *addr)
{
    for (int i = 0; i < f->count; i++) {
        if (rg_addr_eq(&f->addrs[i], addr)) {
            return i;
        }
    }
    return -1;
}

static inline void
read_store(struct fleet *f, struct instance *n)
{
    n->view.revision = f->revision;
    n->view.version = f->revision;
    n->view.confirmed_ms = f->now_ms;
    n->view.answered_ms = f->now_ms;
    n->view.answers++;
}

static inline void
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
    bool partitioned = (from < f->partitioned) != (i < f->partitioned);
    if (i >= 0 && i == f->delayed) {
        struct delayed_digest *d = g_new(struct delayed_digest, 1);
        *d = (struct delayed_digest){digest, i, f->now_ms + f->delay_ms};
        g_ptr_array_add(f->waiting, d);
        return;
    }
    if (i >= 0 && f->all[i].running && !partitioned) {
        rg_peers_digest_received(f->all[i].peers, &digest, f->now_ms);
    }
}

static inline void
deliver_delayed(struct fleet *f)
{
    while (f->waiting->len > 0) {
        const struct delayed_digest *d = f->waiting->pdata[0];
        if (f->now_ms < d->due_ms) {
            return;
        }
        rg_peers_digest_received(f->all[d->to].peers, &d->digest, f->now_ms);
        g_ptr_array_remove_index(f->waiting, 0);
    }
}

/* One period: the instances that poll the store read it, and all send digests.
 * Returns the number of those that poll. */
static inline int
run_period(struct fleet *f)
{
    int reader_count = 0;

    f->now_ms += RG_PEERS_PERIOD_MS;
    deliver_delayed(f);
    for (int i = 0; i < f->count; i++) {
        struct instance *n = &f->all[i];
        if (!n->running) {
            continue;
        }
        if (rg_peers_is_store_reader(n->peers, f->now_ms)) {
            reader_count++;
            if (n->store_reachable) {
                read_store(f, n);
            }
        }
        for (int k = 0; k < RG_PEERS_FANOUT; k++) {
            send_digest(f, i);
        }
    }
    return reader_count;
}

static inline void
run(struct fleet *f, int periods)
{
    for (int i = 0; i < periods; i++) {
        run_period(f);
    }
}

#endif
