/* Faults and planned work, drawn from the seed, overlapping at will. */
#include <signal.h>
#include <string.h>

#include "standin/soak/soak.h"

#define FAULT_MS 350 /* mean pause between two */

void
soak_config_put(struct soak *s)
{
    g_autoptr(GString) doc = g_string_new(NULL);

    s->version += 1 + rg_rand_below(&s->rand, 3);
    g_string_append_printf(
        doc,
        "{\"Version\":%lu,\"Routes\":["
        "{\"Host\":\"198.18.0.1\",\"Prefix\":\"/443/\",\"RouteType\":\"safe\","
        "\"Service\":\"s0\"},"
        "{\"Host\":\"198.18.0.1\",\"Prefix\":\"/444/\",\"RouteType\":"
        "\"unsafe\",\"Service\":\"s0\"},"
        "{\"Host\":\"198.18.0.2\",\"Prefix\":\"/443/\",\"RouteType\":\"safe\","
        "\"Service\":\"s1\"}",
        s->version);
    if (s->probe_route) {
        g_string_append(doc, ",{\"Host\":\"198.18.0.1\",\"Prefix\":\"/1000/\","
                             "\"RouteType\":\"safe\",\"Service\":\"s0\"}");
    }
    for (int i = 0; s->large && i < SOAK_IDLE_ROUTES; i++) {
        g_string_append_printf(doc,
                               ",{\"Host\":\"198.18.%d.%d\",\"Prefix\":"
                               "\"/443/\",\"Service\":\"s1\"}",
                               1 + i / 250, i % 250);
    }
    g_string_append(doc, "],\"Services\":[]}");
    soak_store_put(s, "op/config", doc->str);
}

static struct soak_edge *
any_edge(struct soak *s)
{
    return &s->edges[rg_rand_below(&s->rand, (uint32_t)s->edge_count)];
}

/* An upstream that serves, if its service keeps another one. */
static struct soak_upstream *
spare_host(struct soak *s)
{
    struct soak_upstream *h =
        &s->hosts[rg_rand_below(&s->rand, (uint32_t)s->host_count)];
    int well = 0;

    for (int i = 0; i < s->host_count; i++) {
        const struct soak_upstream *other = &s->hosts[i];
        well +=
            other->service == h->service && !other->dark && !other->leaving;
    }
    return well > 2 && !h->dark && !h->leaving ? h : NULL;
}

static void
fault_edge(struct soak *s)
{
    static const int signums[] = {SIGTERM, SIGKILL, SIGSTOP, SIGHUP};
    static const char *const words[] = {"stop", "kill", "pause", "reload"};
    struct soak_edge *e = any_edge(s);
    uint32_t which = rg_rand_below(&s->rand, 4);

    soak_log(s, "%s edge %d", words[which], e->index);
    soak_edge_signal(s, e, signums[which]);
}

/* Instances lose touch with each other, but not with the store: nothing is
 * forgiven for it. */
static void
fault_peers(struct soak *s)
{
    struct soak_edge *e = any_edge(s);
    struct soak_edge *other = any_edge(s);

    if (rg_rand_below(&s->rand, 3) == 0) {
        soak_log(s, "edge %d no longer hears edge %d", e->index, other->index);
        e->deaf_to = other->index + 1;
        return;
    }
    enum soak_peers_fault fault = (enum soak_peers_fault)(
        1 + rg_rand_below(&s->rand, SOAK_PEERS_FAULT_COUNT - 1));
    soak_log(s, "peers fault %d at edge %d", fault, e->index);
    soak_proxy_set_fault(s, e, fault);
}

/* The store turns one instance away and serves the others, also while it
 * starts. */
static void
turn_away(struct soak *s)
{
    struct soak_edge *e = any_edge(s);

    e->store_fault = (enum soak_store_fault)(
        1 + rg_rand_below(&s->rand, SOAK_STORE_FAULT_COUNT - 1));
    soak_log(s, "store fault %d for edge %d alone", e->store_fault, e->index);
    if (rg_rand_below(&s->rand, 2)) {
        soak_edge_signal(s, e, SIGKILL);
    }
}

static void
fault_store(struct soak *s)
{
    switch (rg_rand_below(&s->rand, 6)) {
    case 4:
    case 5:
        turn_away(s);
        break;
    case 0:
        soak_log(s, "store forgets its history");
        soak_store_compact(s);
        break;
    case 1:
        soak_log(s, "store connections fall silent");
        soak_store_stall(s);
        /* As if every instance's connections had been reset. */
        for (int i = 0; i < s->edge_count; i++) {
            s->edges[i].disturbed_ms = s->now_ms;
        }
        break;
    default:
        s->store_fault = (enum soak_store_fault)(
            1 + rg_rand_below(&s->rand, SOAK_STORE_FAULT_COUNT - 1));
        soak_log(s, "store fault %d", s->store_fault);
        break;
    }
}

static void
fault_host(struct soak *s)
{
    struct soak_upstream *h = spare_host(s);

    if (!h) {
        return;
    }
    if (rg_rand_below(&s->rand, 2)) {
        soak_log(s, "upstream %d goes dark", h->index);
        soak_upstream_crash(s, h);
    }
    else {
        soak_log(s, "upstream %d drains", h->index);
        soak_upstream_drain(s, h);
    }
}

static void
change_config(struct soak *s)
{
    if (rg_rand_below(&s->rand, 2)) {
        s->probe_route = !s->probe_route;
        s->probe_ms = s->now_ms;
    }
    s->large = rg_rand_below(&s->rand, 3) == 0;
    soak_config_put(s);
    soak_log(s, "configuration %lu%s", s->version, s->large ? ", large" : "");
}

/* Ends what has lasted long enough. */
static void
heal(struct soak *s, bool all)
{
    for (int i = 0; i < s->edge_count; i++) {
        struct soak_edge *e = &s->edges[i];
        if (e->stopped && (all || rg_rand_below(&s->rand, 3) == 0)) {
            soak_edge_signal(s, e, SIGCONT);
        }
        if (all || rg_rand_below(&s->rand, 6) == 0) {
            soak_proxy_set_fault(s, e, SOAK_PEERS_OK);
            e->deaf_to = 0;
        }
        /* Long enough for an instance that starts meanwhile to get ready. */
        if (all || rg_rand_below(&s->rand, 20) == 0) {
            e->store_fault = SOAK_STORE_OK;
        }
    }
    for (int i = 0; i < s->host_count; i++) {
        struct soak_upstream *h = &s->hosts[i];
        bool over =
            h->draining_ms && s->now_ms - h->draining_ms > SOAK_DRAIN_MS + 500;
        if ((h->dark && (all || rg_rand_below(&s->rand, 4) == 0)) || over) {
            soak_upstream_restart(s, h);
        }
    }
    if (s->store_fault && (all || rg_rand_below(&s->rand, 3) == 0)) {
        s->store_fault = SOAK_STORE_OK;
    }
}

static void
strike(struct soak *s)
{
    switch (rg_rand_below(&s->rand, 8)) {
    case 0:
    case 1:
        fault_edge(s);
        break;
    case 2:
        fault_store(s);
        break;
    case 5:
    case 6:
        fault_peers(s);
        break;
    case 3:
    case 4:
        fault_host(s);
        break;
    default:
        change_config(s);
        break;
    }
    heal(s, false);
}

void
soak_faults_tick(struct soak *s)
{
    static const uint32_t tick_ms = 10;
    bool before = s->now_ms < s->faults_end_ms;

    if (s->store_fault) {
        s->store_disturbed_ms = s->now_ms;
    }
    if (before && rg_rand_below(&s->rand, FAULT_MS / tick_ms) == 0) {
        strike(s);
    }
    if (!before) {
        heal(s, true);
    }
}
