/* Injects faults and planned changes at random; they may overlap. */
#include <signal.h>
#include <string.h>

#include "standin/soak/soak.h"

#define FAULT_PERIOD_MS 350    /* mean time between two */
#define RESTORE_PERIOD_MS 6000 /* the same, until the store is restored */
#define RESTORE_AGE_MAX_MS 4000
/* So long after a restore operators and upstreams write again what is in
 * force, and entries of upstreams that have ended lapse. */
#define REWRITE_MS 1000
/* Changes of other keys, so that a restore takes back many revisions and it
 * takes as long as the copy is old until they are reissued. */
#define OTHER_PERIOD_MS 1000
#define OTHER_CHANGES 60
#define REHASH_PERIOD_MS 1500 /* the same, until the fabric hashes anew */

/* The deadline is the longest that callers wait. */
static void
add_route(GString *doc, const char *ip, int port, const char *type,
          const char *service)
{
    bool first = doc->str[doc->len - 1] == '[';

    g_string_append_printf(
        doc,
        "%s{\"Host\":\"%s\",\"Prefix\":\"/%d/\",\"RouteType\":\"%s\","
        "\"TimeoutMs\":%d,\"Service\":\"%s\"}",
        first ? "" : ",", ip, port, type, SOAK_DEADLINE_MS + SOAK_SLOW_MAX_MS,
        service);
}

static void
write_config(struct soak *s)
{
    g_autoptr(GString) doc = g_string_new(NULL);

    g_string_append_printf(doc, "{\"Version\":%lu,\"Routes\":[", s->version);
    add_route(doc, "198.18.0.1", 443, "safe", "s0");
    add_route(doc, "198.18.0.1", 444, "unsafe", "s0");
    add_route(doc, "198.18.0.2", 443, "safe", "s1");
    if (s->has_toggled_route) {
        add_route(doc, "198.18.0.1", 1000, "safe", "s0");
    }
    for (int i = 0; s->large && i < SOAK_IDLE_ROUTES; i++) {
        g_autofree char *ip =
            g_strdup_printf("198.18.%d.%d", 1 + i / 250, i % 250);
        add_route(doc, ip, 443, "unsafe", "s1");
    }
    g_string_append(doc, "],\"Services\":[]}");
    soak_store_put(s, "op/config", doc->str);
}

void
soak_config_put(struct soak *s)
{
    s->version += 1 + rg_rand_below(&s->rand, 3);
    write_config(s);
}

void
soak_config_rewrite(struct soak *s)
{
    s->version++;
    write_config(s);
}

static struct soak_edge *
pick_edge(struct soak *s)
{
    return &s->edges[rg_rand_below(&s->rand, (uint32_t)s->edge_count)];
}

/* A random upstream; NULL if it is not in service or its service would not
 * keep at least two that are. */
static struct soak_upstream *
pick_spare_upstream(struct soak *s)
{
    struct soak_upstream *u =
        &s->upstreams[rg_rand_below(&s->rand, (uint32_t)s->upstream_count)];
    int in_service = 0;

    for (int i = 0; i < s->upstream_count; i++) {
        const struct soak_upstream *other = &s->upstreams[i];
        in_service += other->service == u->service && !other->crashed &&
                      !other->draining;
    }
    return in_service > 2 && !u->crashed && !u->draining ? u : NULL;
}

static void
fault_edge(struct soak *s)
{
    static const int signums[] = {SIGTERM, SIGKILL, SIGSTOP, SIGHUP};
    static const char *const names[] = {"stop", "kill", "pause", "reload"};
    struct soak_edge *e = pick_edge(s);
    uint32_t which = rg_rand_below(&s->rand, 4);

    soak_log(s, "%s edge %d", names[which], e->index);
    soak_edge_signal(s, e, signums[which]);
}

/* Disturbs traffic between instances. They still reach the store, so that all
 * guarantees must hold: disturbed_ms is not set. */
static void
fault_peers(struct soak *s)
{
    struct soak_edge *e = pick_edge(s);
    struct soak_edge *other = pick_edge(s);

    if (rg_rand_below(&s->rand, 3) == 0) {
        soak_log(s, "edge %d gets no digests from edge %d", e->index,
                 other->index);
        e->ignored_edge = other->index + 1;
        return;
    }
    enum soak_peers_fault fault = (enum soak_peers_fault)(
        1 + rg_rand_below(&s->rand, SOAK_PEERS_FAULT_COUNT - 1));
    soak_log(s, "peer traffic fault %d at edge %d", fault, e->index);
    soak_proxy_set_fault(s, e, fault);
}

/* The store fails for one instance and serves the others. The instance may be
 * restarted meanwhile. */
static void
fault_store_for_edge(struct soak *s)
{
    struct soak_edge *e = pick_edge(s);

    e->store_fault = (enum soak_store_fault)(
        1 + rg_rand_below(&s->rand, SOAK_STORE_FAULT_COUNT - 1));
    soak_log(s, "store fault %d for edge %d only", e->store_fault, e->index);
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
        fault_store_for_edge(s);
        break;
    case 0:
        soak_log(s, "store compacts its history");
        soak_store_compact(s);
        break;
    case 1:
        soak_log(s, "open store connections stop answering");
        soak_store_stall(s);
        /* Affects every instance like a reset of its connections. */
        for (int i = 0; i < s->edge_count; i++) {
            s->edges[i].disturbed_ms = s->now_ms;
            s->edges[i].unplanned_ms = s->now_ms;
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
fault_upstream(struct soak *s)
{
    struct soak_upstream *u = pick_spare_upstream(s);

    if (!u) {
        return;
    }
    if (rg_rand_below(&s->rand, 2)) {
        soak_log(s, "upstream %d crashes", u->index);
        soak_upstream_crash(s, u);
    }
    else {
        soak_log(s, "upstream %d drains", u->index);
        soak_upstream_drain(s, u);
    }
}

static void
change_config(struct soak *s)
{
    if (rg_rand_below(&s->rand, 2)) {
        s->has_toggled_route = !s->has_toggled_route;
        s->toggled_ms = s->now_ms;
    }
    s->large = rg_rand_below(&s->rand, 3) == 0;
    soak_config_put(s);
    soak_log(s, "configuration %lu%s", s->version, s->large ? ", large" : "");
}

/* Ends some faults at random, or all of them, and restarts upstreams that have
 * drained. */
static void
end_faults(struct soak *s, bool all)
{
    for (int i = 0; i < s->edge_count; i++) {
        struct soak_edge *e = &s->edges[i];
        if (e->stopped && (all || rg_rand_below(&s->rand, 3) == 0)) {
            soak_edge_signal(s, e, SIGCONT);
        }
        if (all || rg_rand_below(&s->rand, 6) == 0) {
            soak_proxy_set_fault(s, e, SOAK_PEERS_OK);
            e->ignored_edge = 0;
        }
        /* Lasts long enough for an instance that starts meanwhile to become
         * ready. */
        if (all || rg_rand_below(&s->rand, 20) == 0) {
            e->store_fault = SOAK_STORE_OK;
        }
    }
    for (int i = 0; i < s->upstream_count; i++) {
        struct soak_upstream *u = &s->upstreams[i];
        bool drained =
            u->draining_ms && s->now_ms - u->draining_ms > SOAK_DRAIN_MS + 500;
        if ((u->crashed && (all || rg_rand_below(&s->rand, 4) == 0)) ||
            drained) {
            soak_upstream_restart(s, u);
        }
    }
    if (s->store_fault && (all || rg_rand_below(&s->rand, 3) == 0)) {
        s->store_fault = SOAK_STORE_OK;
    }
}

static void
inject_fault(struct soak *s)
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
        fault_upstream(s);
        break;
    default:
        change_config(s);
        break;
    }
    end_faults(s, false);
}

static void
change_other_keys(struct soak *s)
{
    if (s->now_ms - s->other_changed_ms < OTHER_PERIOD_MS) {
        return;
    }
    s->other_changed_ms = s->now_ms;
    for (int i = 0; i < OTHER_CHANGES; i++) {
        soak_store_put(s, "other/key", "");
    }
}

void
soak_faults_tick(struct soak *s)
{
    static const uint32_t tick_ms = 10;
    bool faults_on = s->now_ms < s->faults_end_ms;

    if (s->store_fault) {
        s->store_disturbed_ms = s->now_ms;
    }
    if (rg_rand_below(&s->rand, REHASH_PERIOD_MS / tick_ms) == 0) {
        soak_log(s, "the fabric hashes anew");
        s->fabric_hash = rg_rand_next(&s->rand);
    }
    if (faults_on && rg_rand_below(&s->rand, FAULT_PERIOD_MS / tick_ms) == 0) {
        inject_fault(s);
    }
    if (faults_on) {
        change_other_keys(s);
    }
    if (faults_on &&
        rg_rand_below(&s->restore_rand, RESTORE_PERIOD_MS / tick_ms) == 0)
    {
        uint64_t copy_ms = soak_store_restore(
            s, rg_rand_below(&s->restore_rand, RESTORE_AGE_MAX_MS));
        soak_upstreams_restored(s, copy_ms);
        soak_evacuations_restored(s, copy_ms);
    }
    if (s->restored_ms && s->now_ms - s->restored_ms >= REWRITE_MS) {
        s->restored_ms = 0;
        soak_upstreams_rewrite(s);
        soak_config_rewrite(s);
        soak_evacuations_rewrite(s);
    }
    if (!faults_on) {
        end_faults(s, true);
    }
}
