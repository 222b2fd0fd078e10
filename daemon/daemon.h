/* State of rattangapd.
 *
 * The main thread runs the libuv loop with the core, the packet socket, the
 * peer connections and the admin server. The store task is a thread that makes
 * all calls to the store; the two exchange events (daemon/store_task.h). */
#ifndef RG_DAEMON_DAEMON_H
#define RG_DAEMON_DAEMON_H

#include <uv.h>

#include "config/state.h"
#include "core/core.h"
#include "options/settings.h"

struct rg_packet_io;
struct rg_peer;
struct rg_store_task;
struct rg_admin;

struct rg_daemon;

/* Functions of main.c that the other modules call. */
struct rg_daemon_ops {
    /* Executes the actions that the core has queued, and clears the queue. */
    void (*run_actions)(struct rg_daemon *d);
    /* Offer a head or a section to the configuration state. If that activates
     * a configuration, it is passed on to the core. */
    enum rg_offer_result (*offer_head)(struct rg_daemon *d,
                                       struct rg_str text);
    enum rg_offer_result (*offer_section)(struct rg_daemon *d,
                                          struct rg_str text);
};

/* Used by the main thread only. */
struct rg_daemon {
    struct rg_daemon_ops ops;
    uv_loop_t loop;
    uv_timer_t tick;
    uv_signal_t sigterm;
    uv_signal_t sigint;
    uv_signal_t sighup;
    const char *settings_path;
    struct rg_settings settings;
    struct rg_log log;
    struct rg_core *core;
    struct rg_config_state *config_state;
    struct rg_packet_io *packets;
    struct rg_peer *peer;
    struct rg_store_task *store_task;
    struct rg_admin *admin;
    bool store_ok; /* the last call to the store succeeded */
    bool stopping;
};

#endif
