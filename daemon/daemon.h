/* The daemon's tasks and what they share.
 *
 * The main task owns the libuv loop, the core, the packet socket, the peer
 * connections and the admin server. The platform task is a thread that owns
 * all calls to the store; the two talk by messages (daemon/store_task.h). */
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

/* What its parts ask of the main task, which coordinates them. */
struct rg_daemon_calls {
    /* Carries out and clears the core's actions. */
    void (*carry_out)(struct rg_daemon *d);
    /* Offer a head or a section to the state, and a new configuration in force
     * to the core. */
    enum rg_offer (*offer_head)(struct rg_daemon *d, struct rg_str text);
    enum rg_offer (*offer_section)(struct rg_daemon *d, struct rg_str text);
};

/* State of the main task; only it may touch this. */
struct rg_daemon {
    struct rg_daemon_calls calls;
    uv_loop_t loop;
    uv_timer_t tick;
    uv_signal_t sigterm;
    uv_signal_t sigint;
    uv_signal_t sighup;
    const char *settings_path;
    struct rg_settings settings;
    struct rg_log log;
    struct rg_core *core;
    struct rg_state *state;
    struct rg_packet_io *packets;
    struct rg_peer *peer;
    struct rg_store_task *platform;
    struct rg_admin *admin;
    bool store_ok; /* the last call of the store succeeded */
    bool stopping;
};

#endif
