/* rattangap-soak: runs the fault test with one seed and reports whether all
 * guarantees held. */
#include <argp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/mem.h"
#include "standin/soak/soak.h"

#define TICK_MS 10
#define WARM_UP_MS 2500      /* before the first fault */
#define AFTER_FAULTS_MS 2500 /* at the end, once all has settled */

struct arguments {
    int seed;
    int edges;
    int upstreams;
    int seconds;
    int net;
    int per_s;
    const char *binary;
    const char *dir;
};

static const struct argp_option options[] = {
    {"seed", 's', "N", 0, "Seed of the random numbers (1)", 0},
    {"edges", 'e', "N", 0, "Instances under test (4)", 0},
    {"upstreams", 'u', "N", 0, "Upstreams (10)", 0},
    {"seconds", 't', "N", 0, "Time during which faults occur (8)", 0},
    {"rate", 'r', "N", 0, "Requests per second (150)", 0},
    {"net", 'n', "N", 0, "Second byte of the loopback addresses (90)", 0},
    {"binary", 'b', "FILE", 0, "Program to test (build/rattangap-edge)", 0},
    {"dir", 'd', "DIR", 0, "Directory for settings and logs (build/soak)", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct arguments *a = state->input;
    int number = arg ? atoi(arg) : 0;

    switch (key) {
    case 's':
        a->seed = number;
        return 0;
    case 'e':
        a->edges = MIN(MAX(number, 1), SOAK_EDGES_MAX);
        return 0;
    case 'u':
        a->upstreams = MIN(MAX(number, 4), SOAK_UPSTREAMS_MAX);
        return 0;
    case 't':
        a->seconds = number;
        return 0;
    case 'r':
        a->per_s = number;
        return 0;
    case 'n':
        a->net = number;
        return 0;
    case 'b':
        a->binary = arg;
        return 0;
    case 'd':
        a->dir = arg;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .doc = "Runs real instances under seeded faults and checks what callers "
           "and upstreams see.",
};

static bool
all_ready(const struct soak *s)
{
    for (int i = 0; i < s->edge_count; i++) {
        if (!s->edges[i].ready) {
            return false;
        }
    }
    return true;
}

static void
start_requests(struct soak *s, int per_s)
{
    if ((int)rg_rand_below(&s->rand, 1000 / TICK_MS * 10) >= per_s * 10 &&
        per_s < 1000 / TICK_MS)
    {
        return;
    }
    for (int i = 0; i < MAX(per_s * TICK_MS / 1000, 1); i++) {
        uint32_t which = rg_rand_below(&s->rand, 20);
        soak_callers_start_request(s, which < 12   ? SOAK_SHOP
                                      : which < 16 ? SOAK_ORDER
                                      : which < 19 ? SOAK_GALLERY
                                                   : SOAK_TOGGLED);
    }
}

/* From the command line; on_tick() has no other access to the options. */
static int requests_per_s;

static void
on_tick(uv_timer_t *timer)
{
    struct soak *s = timer->data;

    s->now_ms = rg_clock_boottime_ms();
    if (s->start_ms == 0) {
        if (all_ready(s)) {
            s->start_ms = s->now_ms;
            s->faults_end_ms += s->now_ms;
            s->end_ms += s->now_ms;
        }
    }
    else if (s->now_ms >= s->end_ms) {
        uv_stop(&s->loop);
        return;
    }
    else {
        if (s->now_ms - s->start_ms > WARM_UP_MS / 2) {
            start_requests(s, s->now_ms < s->end_ms - SOAK_DEADLINE_MS
                                  ? requests_per_s
                                  : 0);
        }
        if (s->now_ms - s->start_ms > WARM_UP_MS) {
            soak_faults_tick(s);
            soak_odd_entries_tick(s);
            soak_evacuation_tick(s);
        }
    }
    soak_edges_tick(s);
    soak_upstreams_tick(s);
    soak_callers_tick(s);
    soak_fabric_tick(s);
    soak_store_tick(s);
}

/* Fails the run and stops the loop, so that main() kills the edges. */
static void
on_stop_signal(uv_signal_t *handle, int signum)
{
    soak_fail(handle->loop->data, "stopped by signal %d before the end",
              signum);
    uv_stop(handle->loop);
}

static void
catch_stop_signals(struct soak *s)
{
    static uv_signal_t signals[2];
    static const int signums[] = {SIGTERM, SIGINT};

    for (int i = 0; i < 2; i++) {
        uv_signal_init(&s->loop, &signals[i]);
        uv_signal_start(&signals[i], on_stop_signal, signums[i]);
    }
}

static void
on_ready_timer(uv_timer_t *timer)
{
    soak_edges_check_ready(timer->data);
}

static bool
any_running(const struct soak *s)
{
    for (int i = 0; i < s->edge_count; i++) {
        if (s->edges[i].running) {
            return true;
        }
    }
    return false;
}

/* Kills the edges, and no process that this program did not start. Waits for
 * them, as the next run may use the same addresses. */
static void
kill_edges(struct soak *s)
{
    uv_timer_stop(&s->tick);
    for (int i = 0; i < s->edge_count; i++) {
        struct soak_edge *e = &s->edges[i];
        if (e->running) {
            e->exit_expected = true;
            uv_process_kill(&e->process, SIGKILL);
        }
    }
    while (any_running(s)) {
        uv_run(&s->loop, UV_RUN_ONCE);
    }
}

static void
start_all(struct soak *s, const struct arguments *a)
{
    s->rand.state = (uint64_t)a->seed;
    s->noise_rand.state = (uint64_t)a->seed;
    s->restore_rand.state = (uint64_t)a->seed;
    s->net = a->net;
    s->binary = a->binary;
    s->dir = a->dir;
    s->edge_count = a->edges;
    s->executions = g_hash_table_new(NULL, NULL);
    s->now_ms = rg_clock_boottime_ms();
    s->faults_end_ms = WARM_UP_MS + (uint64_t)a->seconds * 1000;
    s->end_ms = s->faults_end_ms + SOAK_SETTLE_MS + AFTER_FAULTS_MS;
    uv_loop_init(&s->loop);
    s->loop.data = s;
    soak_store_start(s);
    soak_config_put(s);
    for (int i = 0; i < a->upstreams; i++) {
        soak_upstream_start(s, i % 3 == 2 ? 1 : 0);
    }
    soak_fabric_start(s);
    soak_callers_start(s);
    for (int i = 0; i < s->edge_count; i++) {
        struct soak_edge *e = &s->edges[i];
        e->index = i;
        snprintf(e->settings, sizeof(e->settings), "%s/edge-%d.json", a->dir,
                 i);
        snprintf(e->log, sizeof(e->log), "%s/edge-%d.log", a->dir, i);
        soak_edge_start(s, e);
    }
}

int
main(int argc, char **argv)
{
    struct arguments a = {.seed = 1,
                          .edges = 4,
                          .upstreams = 10,
                          .seconds = 8,
                          .net = 90,
                          .per_s = 150,
                          .binary = "build/rattangap-edge",
                          .dir = "build/soak"};
    static struct soak s;
    uv_timer_t ready_timer;

    argp_parse(&argp, argc, argv, 0, NULL, &a);
    setvbuf(stdout, NULL, _IOLBF, 0);
    signal(SIGPIPE, SIG_IGN);
    mkdir(a.dir, 0755);
    requests_per_s = a.per_s;
    start_all(&s, &a);
    uv_timer_init(&s.loop, &s.tick);
    s.tick.data = &s;
    uv_timer_start(&s.tick, on_tick, TICK_MS, TICK_MS);
    uv_timer_init(&s.loop, &ready_timer);
    ready_timer.data = &s;
    uv_timer_start(&ready_timer, on_ready_timer, 100, 500);
    catch_stop_signals(&s);
    uv_run(&s.loop, UV_RUN_DEFAULT);
    kill_edges(&s);
    if (s.calm_asked == 0) {
        soak_fail(&s, "no request was started after the faults");
    }
    printf("seed=%d edges=%d asked=%u served=%u calm_asked=%u calm_served=%u "
           "findings=%u\n",
           a.seed, a.edges, s.asked, s.served, s.calm_asked, s.calm_served,
           s.findings);
    return s.findings ? 1 : 0;
}
