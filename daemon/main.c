/* rattangapd: the daemon that runs on each load-balancer instance. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>

#include "common/clock.h"
#include "common/mem.h"
#include "daemon/admin.h"
#include "daemon/daemon.h"
#include "daemon/packet_io.h"
#include "daemon/peer.h"
#include "daemon/store_task.h"

enum exit_code {
    EXIT_OK = 0,
    EXIT_RUNTIME = 1,
    EXIT_SETTINGS = 2,
    EXIT_USAGE = 64, /* the code that argp exits with */
};

const char *argp_program_version = "rattangapd " RG_VERSION;

struct arguments {
    const char *settings;
    const char *log_level;
    bool check;
};

static const struct argp_option options[] = {
    {"settings", 's', "FILE", 0, "Settings of this instance (required)", 0},
    {"check", 'c', NULL, 0, "Check the settings and exit", 0},
    {"log-level", 'l', "LEVEL", 0,
     "Least severe line written: err, warning, notice, info or debug", 0},
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
    case 'l':
        a->log_level = arg;
        if (rg_log_level_parse(arg) < 0) {
            argp_error(state, "unknown log level '%s'", arg);
        }
        return 0;
    case ARGP_KEY_END:
        if (!a->settings) {
            argp_error(state, "--settings FILE is required");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .doc = "Runs one instance of the layer-4 load balancer.",
};

static uint64_t
wall_clock_ms(void)
{
    struct timeval tv;

    gettimeofday(&tv, NULL);
    return (uint64_t)tv.tv_sec * 1000 + (uint64_t)tv.tv_usec / 1000;
}

/* Closes everything, so that the loop ends. */
static void
stop(struct rg_daemon *d)
{
    if (d->stopping) {
        return;
    }
    d->stopping = true;
    rg_packet_io_flush(d->packets);
    rg_store_task_destroy(d->store_task);
    d->store_task = NULL;
    rg_peer_destroy(d->peer);
    rg_admin_destroy(d->admin);
    rg_packet_io_destroy(d->packets);
    uv_close((uv_handle_t *)&d->tick, NULL);
    uv_close((uv_handle_t *)&d->sigterm, NULL);
    uv_close((uv_handle_t *)&d->sigint, NULL);
    uv_close((uv_handle_t *)&d->sighup, NULL);
}

static void
run_actions(struct rg_daemon *d)
{
    struct rg_actions *actions = rg_core_actions(d->core);
    bool left = false;

    for (size_t i = 0; i < actions->count; i++) {
        const struct rg_action *a = &actions->items[i];
        switch (a->kind) {
        case RG_ACTION_SEND:
            rg_packet_io_send(d->packets, a);
            break;
        case RG_ACTION_FETCH:
            rg_peer_fetch(d->peer, &a->dst);
            break;
        case RG_ACTION_LEFT:
            left = true;
            break;
        }
    }
    rg_packet_io_flush(d->packets);
    rg_actions_clear(actions);
    if (left) {
        rg_log(&d->log, RG_LOG_NOTICE, "LEFT", "planned stop complete");
        stop(d);
    }
}

static enum rg_offer_result
handle_offer(struct rg_daemon *d, enum rg_offer_result offer)
{
    if (offer == RG_OFFER_ACTIVATED) {
        rg_core_configure(d->core, rg_config_state_active(d->config_state));
        run_actions(d);
    }
    return offer;
}

static enum rg_offer_result
offer_head(struct rg_daemon *d, struct rg_str text)
{
    return handle_offer(d, rg_config_state_offer_head(d->config_state, text));
}

static enum rg_offer_result
offer_section(struct rg_daemon *d, struct rg_str text)
{
    return handle_offer(d,
                        rg_config_state_offer_section(d->config_state, text));
}

static void
on_tick(uv_timer_t *timer)
{
    struct rg_daemon *d = timer->data;

    rg_core_tick(d->core, rg_clock_ms());
    if (d->store_task) {
        rg_store_task_set_watch(
            d->store_task,
            rg_core_watches_store(d->core, d->settings.store.watchers));
    }
    run_actions(d);
}

static void
on_stop_signal(uv_signal_t *handle, int signum)
{
    struct rg_daemon *d = handle->data;

    (void)signum;
    if (rg_core_leaving(d->core)) {
        rg_log(&d->log, RG_LOG_WARNING, "STOP_NOW",
               "second stop signal: stopping without completing the handover");
        stop(d);
        return;
    }
    rg_log(&d->log, RG_LOG_NOTICE, "LEAVING",
           "planned stop, %u flow records held",
           rg_flow_count(rg_core_flows(d->core)));
    rg_core_leave(d->core, rg_clock_ms());
    run_actions(d);
}

/* Applies the settings that can change at run time: the log level, the rate of
 * the handover, the drain and linger times and the share of traced flows. All
 * others need a restart. */
static void
on_hup(uv_signal_t *handle, int signum)
{
    struct rg_daemon *d = handle->data;
    RG_ERR_AUTO err = {.file = d->settings_path};
    struct rg_settings reloaded;

    (void)signum;
    if (rg_settings_load(&reloaded, d->settings_path, &err)) {
        d->log.level = (enum rg_log_level)(reloaded.log_level + RG_LOG_ERR);
        d->settings.log_level = reloaded.log_level;
        d->settings.handover_bytes_per_s = reloaded.handover_bytes_per_s;
        d->settings.drain_ms = reloaded.drain_ms;
        d->settings.linger_ms = reloaded.linger_ms;
        d->settings.trace_one_in = reloaded.trace_one_in;
        rg_log(&d->log, RG_LOG_NOTICE, "RELOADED", "settings reloaded");
    }
    else {
        RG_AUTO_FREE char *text = rg_err_format(&err);
        rg_log(&d->log, RG_LOG_ERR, "SETTINGS",
               "keeping the settings in force: %s", text);
    }
    rg_settings_clear(&reloaded);
}

static void
start_signal(struct rg_daemon *d, uv_signal_t *handle, uv_signal_cb cb,
             int signum)
{
    uv_signal_init(&d->loop, handle);
    handle->data = d;
    uv_signal_start(handle, cb, signum);
}

static void
start_loop(struct rg_daemon *d)
{
    uv_timer_init(&d->loop, &d->tick);
    d->tick.data = d;
    uv_timer_start(&d->tick, on_tick, RG_CORE_TICK_MS, RG_CORE_TICK_MS);
    start_signal(d, &d->sigterm, on_stop_signal, SIGTERM);
    start_signal(d, &d->sigint, on_stop_signal, SIGINT);
    start_signal(d, &d->sighup, on_hup, SIGHUP);
}

static void
create_core(struct rg_daemon *d)
{
    struct rg_core_opts opts = {
        .settings = &d->settings,
        .log = d->log,
        .start_ms = wall_clock_ms(),
        .seed = wall_clock_ms() ^
                rg_identity(rg_name_str(&d->settings.name), rg_str_of("seed")),
    };

    d->core = rg_core_create(&opts);
    d->config_state = rg_config_state_create(&d->log);
}

static int
report(struct rg_daemon *d, const struct rg_err *err, const char *id, int code)
{
    RG_AUTO_FREE char *text = rg_err_format(err);

    rg_log(&d->log, RG_LOG_ERR, id, "%s", text);
    return code;
}

static int
run(struct rg_daemon *d)
{
    RG_ERR_AUTO err = {.file = d->settings_path};

    d->ops = (struct rg_daemon_ops){
        .run_actions = run_actions,
        .offer_head = offer_head,
        .offer_section = offer_section,
    };
    uv_loop_init(&d->loop);
    create_core(d);
    d->packets = rg_packet_io_create(d, &err);
    d->peer = rg_peer_create(d, &err);
    d->admin = rg_admin_create(d, &err);
    if (rg_err_has(&err)) {
        return report(d, &err, "START", EXIT_RUNTIME);
    }
    d->store_ok = true;
    d->store_task = rg_store_task_create(d);
    start_loop(d);
    rg_log(&d->log, RG_LOG_NOTICE, "STARTED", "version %s", RG_VERSION);
    uv_run(&d->loop, UV_RUN_DEFAULT);
    uv_loop_close(&d->loop);
    rg_core_destroy(d->core);
    rg_config_state_destroy(d->config_state);
    rg_log(&d->log, RG_LOG_NOTICE, "STOPPED", "done");
    return EXIT_OK;
}

int
main(int argc, char **argv)
{
    struct arguments args = {0};
    static struct rg_daemon d;
    RG_ERR_AUTO err = {0};

    argp_parse(&argp, argc, argv, 0, NULL, &args);
    signal(SIGPIPE, SIG_IGN);
    d.settings_path = args.settings;
    d.log = (struct rg_log){.app = "rattangapd", .level = RG_LOG_NOTICE};
    err.file = args.settings;
    if (!rg_settings_load(&d.settings, args.settings, &err)) {
        RG_AUTO_FREE char *text = rg_err_format(&err);
        fputs(text, stderr);
        return EXIT_SETTINGS;
    }
    if (args.check) {
        rg_settings_clear(&d.settings);
        return EXIT_OK;
    }
    d.log.host = d.settings.name.s;
    d.log.level = (enum rg_log_level)(d.settings.log_level + RG_LOG_ERR);
    if (args.log_level) {
        d.log.level = (enum rg_log_level)rg_log_level_parse(args.log_level);
    }
    int code = run(&d);
    rg_settings_clear(&d.settings);
    return code;
}
