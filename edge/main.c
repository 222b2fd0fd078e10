/* rattangap-edge: the daemon of an edge instance, which steers packets by the
 * routing token that they carry. */
#include <argp.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <uv.h>

#include "balance/balancer.h"
#include "balance/store_sync.h"
#include "balance/token.h"
#include "common/clock.h"
#include "common/err.h"
#include "common/log.h"
#include "common/mem.h"
#include "edge/gossip.h"
#include "edge/http_server.h"
#include "edge/packet_socket.h"
#include "edge/registrar.h"
#include "edge/settings.h"
#include "edge/status.h"
#include "edge/store_client.h"
#include "options/edge.gen.h"

enum exit_code {
    EXIT_OK = 0,
    EXIT_RUNTIME = 1,
    EXIT_SETTINGS = 2,
    EXIT_USAGE = 64, /* the exit code of argp */
};

/* Names the settings file if the command line does not. */
#define SETTINGS_VARIABLE "RATTANGAP_SETTINGS"

/* If the event loop did not run for this long, the process was paused, and the
 * packets and responses it was waiting for are outdated. */
#define PAUSE_MS 800
/* After a stop signal the network fabric takes this long to send packets to
 * other instances. */
#define STOP_MIN_MS 1600
/* Longest time between two packets of a flow: after a stop signal no more are
 * expected if none has arrived for this long. */
#define STOP_IDLE_MS 500
/* Part of the grace period that is reserved for the shutdown itself. */
#define STOP_RESERVE_MS 400
/* Delay of the registration after the start. Callers are served first; other
 * instances find this one a little later. */
#define REGISTRATION_DELAY_MS 400
/* A confirmation of the view comes this much after the store's answer at most:
 * a digest is on its way, and the process pauses for less than PAUSE_MS. */
#define CONFIRMATION_DELAY_MS 1000
/* How often the settings file is checked for changes made without a SIGHUP. */
#define SETTINGS_POLL_MS 2000

struct edge {
    uv_loop_t loop;
    uv_timer_t tick;
    uv_timer_t settings_poll;
    uv_signal_t signals[3];
    const char *settings_path;
    uint32_t settings_hash; /* of the file as last read */
    struct rg_edge settings;
    struct rg_log log;
    struct rg_balancer *balancer;
    struct rg_packet_socket *packets;
    struct rg_http_server *health;
    struct rg_http_server *metrics;
    struct rg_store_client *store_client;
    struct rg_gossip *gossip;       /* NULL if gossip is off */
    struct rg_registrar *registrar; /* NULL as well then */
    uint64_t started_ms;
    uint64_t last_wakeup_ms; /* when the event loop last ran */
    uint64_t stop_ms;        /* when the first stop signal came, 0: none */
    bool was_ready;
    bool closing;
};

const char *argp_program_version = "rattangap-edge " RG_VERSION;

struct arguments {
    const char *settings;
    bool check;
};

static const struct argp_option options[] = {
    {"settings", 's', "FILE", 0,
     "Settings file of this instance; default: the file named by the "
     "environment variable " SETTINGS_VARIABLE,
     0},
    {"check", 'c', NULL, 0, "Check the settings and exit", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct arguments *a = state->input;

    switch (key) {
    case 's':
        a->settings = arg;
        return 0;
    case 'c':
        a->check = true;
        return 0;
    case ARGP_KEY_END:
        if (!a->settings) {
            argp_error(state,
                       "--settings FILE or " SETTINGS_VARIABLE " is required");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .doc = "Layer-4 load balancer that steers packets by the routing token "
           "they carry.",
};

/* Wall clock in microseconds. Makes the random seeds of instances and starts
 * differ. */
static uint64_t
wall_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_REALTIME, &ts);
    return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

/* --- settings ------------------------------------------------------------ */

static void
apply_settings(struct edge *e, const struct rg_edge *loaded, const char *why)
{
    e->log.level = (enum rg_log_level)(loaded->log_level + RG_LOG_ERR);
    e->settings.grace_ms = loaded->grace_ms;
    rg_store_client_set_address(e->store_client, &loaded->store.address);
    rg_log_event(&e->log, RG_LOG_NOTICE, "RELOADED", "why=\"%s\"", why);
}

/* The log level, the grace period and the store's address can change at run
 * time; all other settings need a restart. If the file is invalid, the
 * settings in force stay. */
static void
reload(struct edge *e, const char *why)
{
    RG_ERR_AUTO err = {.file = e->settings_path};
    struct rg_edge loaded;
    uint32_t hash = e->settings_hash;
    bool ok = rg_edge_settings_load(&loaded, e->settings_path, &hash, &err);

    if (ok && hash != e->settings_hash) {
        apply_settings(e, &loaded, why);
    }
    if (!ok && hash != e->settings_hash) {
        RG_AUTO_FREE char *text = rg_err_format(&err);
        rg_log(&e->log, RG_LOG_ERR, "SETTINGS",
               "keeping the settings in force: %s", text);
    }
    e->settings_hash = hash;
    rg_opt_clear(&rg_edge_options, &loaded);
}

/* The file may change without a SIGHUP. */
static void
on_settings_poll(uv_timer_t *timer)
{
    reload(timer->data, "the file changed");
}

/* --- stopping ------------------------------------------------------------ */

static void
close_all(struct edge *e)
{
    if (e->closing) {
        return;
    }
    e->closing = true;
    const uint64_t *counters = rg_balancer_metrics(e->balancer)->counters;
    rg_log_event(
        &e->log, RG_LOG_NOTICE, "STOPPED",
        "flows=\"%zu\" ran_ms=\"%llu\" control_sent_bytes=\"%llu\" "
        "control_heard_bytes=\"%llu\" store_calls=\"%llu\"",
        rg_balancer_tracked_count(e->balancer),
        (unsigned long long)(rg_clock_boottime_ms() - e->started_ms),
        (unsigned long long)counters[RG_METRIC_CONTROL_SENT_BYTES],
        (unsigned long long)counters[RG_METRIC_CONTROL_RECEIVED_BYTES],
        (unsigned long long)counters[RG_METRIC_STORE_CALLS]);
    rg_registrar_destroy(e->registrar);
    rg_gossip_destroy(e->gossip);
    rg_store_client_destroy(e->store_client);
    rg_packet_socket_destroy(e->packets);
    rg_http_server_destroy(e->health);
    rg_http_server_destroy(e->metrics);
    uv_close((uv_handle_t *)&e->tick, NULL);
    uv_close((uv_handle_t *)&e->settings_poll, NULL);
    for (int i = 0; i < 3; i++) {
        uv_close((uv_handle_t *)&e->signals[i], NULL);
    }
    uv_stop(&e->loop);
}

/* True once the fabric seems to send no more packets here, or the grace period
 * is nearly over. */
static bool
may_stop(const struct edge *e, uint64_t now)
{
    uint64_t since = now - e->stop_ms;
    uint64_t idle = now - rg_packet_socket_last_received_ms(e->packets);

    if (since + STOP_RESERVE_MS >= e->settings.grace_ms) {
        return true;
    }
    return since >= STOP_MIN_MS && idle >= STOP_IDLE_MS;
}

static void
on_signal(uv_signal_t *handle, int signum)
{
    struct edge *e = handle->data;

    if (signum == SIGHUP) {
        reload(e, "signal");
        return;
    }
    if (e->stop_ms != 0) {
        close_all(e); /* second stop signal */
        return;
    }
    e->stop_ms = rg_clock_boottime_ms();
    rg_balancer_set_leaving(e->balancer);
    if (e->gossip) {
        rg_gossip_leave(e->gossip);
    }
    rg_log_event(&e->log, RG_LOG_NOTICE, "STOPPING",
                 "signal=\"%d\" flows=\"%zu\"", signum,
                 rg_balancer_tracked_count(e->balancer));
}

/* --- event loop ---------------------------------------------------------- */

/* Called on each tick and before packets are received. Detects a pause of the
 * process and discards what became outdated in it. */
static void
on_wakeup(void *ctx, uint64_t now)
{
    struct edge *e = ctx;
    uint64_t gap = now - e->last_wakeup_ms;

    e->last_wakeup_ms = now;
    if (gap < PAUSE_MS) {
        return;
    }
    rg_log_event(&e->log, RG_LOG_NOTICE, "PAUSED", "ms=\"%llu\"",
                 (unsigned long long)gap);
    rg_packet_socket_discard(e->packets);
    rg_balancer_paused(e->balancer, now);
    rg_store_client_paused(e->store_client);
    if (e->gossip) {
        rg_gossip_paused(e->gossip);
    }
}

static void
on_tick(uv_timer_t *timer)
{
    struct edge *e = timer->data;
    uint64_t now = rg_clock_boottime_ms();

    on_wakeup(e, now);
    rg_balancer_tick(e->balancer, now);
    if (e->gossip) {
        rg_gossip_tick(e->gossip);
    }
    bool ready = rg_balancer_ready(e->balancer);
    if (ready && !e->was_ready) {
        e->was_ready = true;
        rg_log_event(&e->log, RG_LOG_NOTICE, "READY",
                     "after_ms=\"%llu\" version=\"%llu\" upstreams=\"%zu\"",
                     (unsigned long long)(now - e->started_ms),
                     (unsigned long long)rg_balancer_version(e->balancer),
                     rg_pool_listed_count(rg_balancer_pool(e->balancer)));
    }
    if (e->stop_ms != 0 && may_stop(e, now)) {
        close_all(e);
    }
    rg_log_flush(&e->log, now);
}

/* --- HTTP ---------------------------------------------------------------- */

static unsigned
serve_health(void *ctx, const char *path, struct rg_strbuf *body)
{
    const struct edge *e = ctx;

    (void)path;
    (void)body;
    return rg_balancer_ready(e->balancer) && e->stop_ms == 0 ? 200 : 503;
}

static unsigned
serve_metrics(void *ctx, const char *path, struct rg_strbuf *body)
{
    struct edge *e = ctx;

    (void)path;
    rg_status_metrics(e->balancer, e->gossip, &e->log, body);
    return 200;
}

/* --- start --------------------------------------------------------------- */

/* Peers are asked now, as packets wait, and told before the flows move on. */
static void
on_flow_news(void *ctx, uint64_t now)
{
    struct edge *e = ctx;

    if (e->gossip) {
        rg_gossip_exchange_flows(e->gossip, now);
    }
}

static void
open_sockets(struct edge *e, struct rg_err *err)
{
    struct rg_packet_socket_opts packets = {
        .loop = &e->loop,
        .address = e->settings.packet_address,
        .balancer = e->balancer,
        .on_wakeup = on_wakeup,
        .on_flow_news = on_flow_news,
        .ctx = e,
    };
    struct rg_http_server_opts health = {
        .loop = &e->loop,
        .address = e->settings.health_address,
        .setting = "health_address",
        .handler = serve_health,
        .ctx = e,
    };
    struct rg_http_server_opts metrics = {
        .loop = &e->loop,
        .address = e->settings.metrics_address,
        .setting = "metrics_address",
        .handler = serve_metrics,
        .ctx = e,
    };

    e->packets = rg_packet_socket_create(&packets, err);
    e->health = rg_http_server_create(&health, err);
    if (metrics.address.port != 0) {
        e->metrics = rg_http_server_create(&metrics, err);
    }
}

static void
on_instance(void *ctx, const struct rg_addr *addr)
{
    struct edge *e = ctx;

    if (e->gossip) {
        rg_gossip_add_peer(e->gossip, addr);
    }
}

static void
on_era(void *ctx, uint32_t era)
{
    struct edge *e = ctx;

    if (e->registrar) {
        rg_registrar_set_era(e->registrar, era);
    }
}

/* The address at which other instances reach this one. */
static struct rg_addr
advertised_address(const struct rg_edge *settings)
{
    return settings->peer_advertise.port != 0 ? settings->peer_advertise
                                              : settings->peer_address;
}

static void
start_registrar(struct edge *e, uint64_t seed)
{
    const struct rg_edge *settings = &e->settings;
    struct rg_store_sync_opts times = rg_store_sync_opts_for(
        rg_edge_max_staleness_ms(settings), settings->store.settle_ms);
    struct rg_registrar_opts opts = {
        .loop = &e->loop,
        .store = settings->store.address,
        .name = settings->name,
        .addr = advertised_address(settings),
        .delay_ms = REGISTRATION_DELAY_MS,
        .connect_ms = times.connect_ms,
        .call_ms = times.call_ms,
        .seed = seed,
        .balancer = e->balancer,
        .log = &e->log,
    };

    e->registrar = rg_registrar_create(&opts);
}

static void
start_gossip(struct edge *e, uint64_t seed, struct rg_err *err)
{
    const struct rg_edge *settings = &e->settings;
    struct rg_gossip_opts opts = {
        .loop = &e->loop,
        .peers = {.name = settings->name,
                  .data_centre = settings->data_centre,
                  .addr = advertised_address(settings),
                  .bound_ms = rg_edge_max_staleness_ms(settings),
                  .seed = seed},
        .listen = settings->peer_address,
        .balancer = e->balancer,
        .store_client = e->store_client,
        .log = &e->log,
    };
    if (settings->peer_address.port == 0) {
        return;
    }
    e->gossip = rg_gossip_create(&opts, err);
    start_registrar(e, seed + 1);
}

static void
start_store_client(struct edge *e, uint64_t seed)
{
    const struct rg_edge *settings = &e->settings;
    struct rg_store_client_opts opts = {
        .loop = &e->loop,
        .store = settings->store.address,
        .sync = rg_store_sync_opts_for(rg_edge_max_staleness_ms(settings),
                                       settings->store.settle_ms),
        .balancer = e->balancer,
        .log = &e->log,
        .on_instance = on_instance,
        .on_era = on_era,
        .ctx = e,
    };

    opts.sync.seed = seed;
    e->store_client = rg_store_client_create(&opts);
}

static void
start_timers(struct edge *e)
{
    static const int signums[] = {SIGTERM, SIGINT, SIGHUP};

    uv_timer_init(&e->loop, &e->tick);
    e->tick.data = e;
    uv_timer_start(&e->tick, on_tick, RG_BALANCER_TICK_MS,
                   RG_BALANCER_TICK_MS);
    uv_timer_init(&e->loop, &e->settings_poll);
    e->settings_poll.data = e;
    uv_timer_start(&e->settings_poll, on_settings_poll, SETTINGS_POLL_MS,
                   SETTINGS_POLL_MS);
    for (int i = 0; i < 3; i++) {
        uv_signal_init(&e->loop, &e->signals[i]);
        e->signals[i].data = e;
        uv_signal_start(&e->signals[i], on_signal, signums[i]);
    }
}

static void
on_refuse(void *ctx, const struct rg_segment *last)
{
    struct edge *e = ctx;

    rg_packet_socket_send_reset(e->packets, last);
}

static struct rg_balancer *
create_balancer(struct edge *e, uint64_t seed)
{
    const struct rg_edge *settings = &e->settings;
    struct rg_store_sync_opts times = rg_store_sync_opts_for(
        rg_edge_max_staleness_ms(settings), settings->store.settle_ms);
    struct rg_balancer_opts opts = {
        .data_centre = settings->data_centre,
        .id = rg_peers_id(&settings->name),
        .flow_age_ms = settings->flow_age_ms,
        .stale_ms = settings->apply_ms,
        /* The store's answer to a watch is up to date when it is sent. */
        .confirmation_lag_ms =
            times.watch_ms + times.call_ms + CONFIRMATION_DELAY_MS,
        .partial_view_ms = rg_edge_max_staleness_ms(settings),
        .tracked_flows = settings->tracked_flows,
        .seed = seed,
        .log = &e->log,
        .refuse = on_refuse,
        .can_hold = true,
        .cold_bounds = {.overrun = settings->cold_overrun / 1000.0,
                        .slack = settings->cold_slack / 1000.0},
        .ctx = e,
    };

    return rg_balancer_create(&opts, e->started_ms);
}

static int
run(struct edge *e)
{
    RG_ERR_AUTO err = {.file = e->settings_path};
    uint64_t seed = rg_token_of(rg_name_str(&e->settings.name), wall_us());

    uv_loop_init(&e->loop);
    e->balancer = create_balancer(e, seed);
    open_sockets(e, &err);
    start_store_client(e, seed + 1);
    start_gossip(e, seed + 2, &err);
    if (rg_err_has(&err)) {
        RG_AUTO_FREE char *text = rg_err_format(&err);
        rg_log(&e->log, RG_LOG_ERR, "START", "%s", text);
        rg_log_flush(&e->log, e->started_ms);
        return EXIT_RUNTIME;
    }
    start_timers(e);
    rg_log_event(&e->log, RG_LOG_NOTICE, "STARTED",
                 "version=\"%s\" data_centre=\"%s\"", RG_VERSION,
                 e->settings.data_centre.s);
    uv_run(&e->loop, UV_RUN_DEFAULT);
    /* One more iteration runs the close callbacks, which free the handles. */
    uv_run(&e->loop, UV_RUN_NOWAIT);
    rg_log_flush(&e->log, rg_clock_boottime_ms());
    rg_balancer_destroy(e->balancer);
    return EXIT_OK;
}

int
main(int argc, char **argv)
{
    struct arguments args = {.settings = getenv(SETTINGS_VARIABLE)};
    static struct edge e;
    RG_ERR_AUTO err = {0};

    argp_parse(&argp, argc, argv, 0, NULL, &args);
    signal(SIGPIPE, SIG_IGN);
    e.started_ms = rg_clock_boottime_ms();
    e.last_wakeup_ms = e.started_ms;
    e.settings_path = args.settings;
    err.file = args.settings;
    if (!rg_edge_settings_load(&e.settings, args.settings, &e.settings_hash,
                               &err)) {
        RG_AUTO_FREE char *text = rg_err_format(&err);
        fputs(text, stderr);
        return EXIT_SETTINGS;
    }
    if (args.check) {
        rg_opt_clear(&rg_edge_options, &e.settings);
        return EXIT_OK;
    }
    e.log = (struct rg_log){
        .app = "rattangap-edge",
        .host = e.settings.name.s,
        .level = (enum rg_log_level)(e.settings.log_level + RG_LOG_ERR),
        .queue =
            rg_log_queue_create(STDOUT_FILENO, e.settings.log_lines_per_s),
    };
    int code = run(&e);
    rg_log_queue_destroy(e.log.queue);
    rg_opt_clear(&rg_edge_options, &e.settings);
    return code;
}
