/* A fleet of daemons and stand-ins as separate processes on loopback addresses
 * of its own, for the experiment tool and the integration tests. All processes
 * are killed by sd_fleet_destroy() or when this process exits. */
#ifndef RG_STANDIN_FLEET_H
#define RG_STANDIN_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "standin/load_result.h"

#define SD_FLEET_MAX 250

struct sd_fleet_opts {
    uint8_t net;         /* second byte of all addresses: 127.NET.x.y */
    uint32_t daemons;    /* started by sd_fleet_create() */
    uint32_t spares;     /* addresses for daemons to start later */
    uint32_t storefront; /* upstreams of each service, 0 for none */
    uint32_t gallery;
    bool udp_gallery;   /* the gallery is a UDP service */
    bool v6_storefront; /* the storefront's address is IPv6 */
    const char *policy; /* NULL for the default */
    uint32_t deviation_percent;
    uint32_t max_flows; /* per upstream, 0 for the default */
    uint32_t service_ms;
    uint64_t seed;
    bool proxy;             /* daemons use the proxy for peers and store */
    bool no_store;          /* daemons have no store configured */
    bool quiet;             /* daemons log errors only */
    uint32_t drop_permille; /* these three: faults of the fabric */
    uint32_t double_permille;
    uint32_t delay_permille;
    const char *extra; /* further settings, as JSON members */
};

/* Load of the callers; callers_opts.h explains the members. */
struct sd_load {
    uint32_t flows;
    uint32_t requests;
    uint32_t think_ms;
    uint32_t pause_ms;
    uint32_t ramp_ms;
    uint32_t duration_ms;
    const char *only; /* the only service to call; NULL: all */
    bool verbose;
};

struct sd_fleet;

struct sd_fleet *sd_fleet_create(const struct sd_fleet_opts *opts);
void sd_fleet_destroy(struct sd_fleet *f);

/* Daemons are numbered from 0. */
void sd_fleet_start(struct sd_fleet *f, uint32_t i);
void sd_fleet_signal(struct sd_fleet *f, uint32_t i, int signum);
/* The wait functions return false after `timeout_ms`. */
bool sd_fleet_wait_exit(struct sd_fleet *f, uint32_t i, uint32_t timeout_ms);
bool sd_fleet_wait_ready(struct sd_fleet *f, uint32_t i, uint32_t timeout_ms);
/* Waits until daemon `i` sees exactly `members` members alive. */
bool sd_fleet_wait_members(struct sd_fleet *f, uint32_t i, uint32_t members,
                           uint32_t timeout_ms);
bool sd_fleet_wait_generation(struct sd_fleet *f, uint32_t i,
                              uint64_t generation, uint32_t timeout_ms);
/* Waits until a counter or gauge of daemon `i` is at least `value`. */
bool sd_fleet_wait_metric(struct sd_fleet *f, uint32_t i, const char *name,
                          double value, uint32_t timeout_ms);
pid_t sd_fleet_pid(const struct sd_fleet *f, uint32_t i);

/* A counter or gauge, without its prefix; -1 if there is no answer. */
double sd_fleet_metric(struct sd_fleet *f, uint32_t i, const char *name);
/* Sum over all running daemons. */
double sd_fleet_metric_sum(struct sd_fleet *f, const char *name);

/* Runs rattangapctl with the store, the team and all running daemons set.
 * `args` ends with NULL. Returns the exit code; `out` may be NULL. */
int sd_fleet_ctl(struct sd_fleet *f, const char *const *args, char *out,
                 size_t size);
/* The same without waiting; sd_fleet_ctl_wait() returns the exit code. */
pid_t sd_fleet_ctl_start(struct sd_fleet *f, const char *const *args);
int sd_fleet_ctl_wait(pid_t pid);

/* Writes a file into the fleet's directory. Returns its path, which is valid
 * until the next call. */
const char *sd_fleet_write_file(struct sd_fleet *f, const char *name,
                                const char *text);
/* Text of a service's section, with `upstream` (if not NULL) in `state`. The
 * caller frees it. */
char *sd_fleet_section_text(const struct sd_fleet *f, const char *service,
                            const char *upstream, const char *state);

/* Send a command to a stand-in; true if it answered. `out` may be NULL. */
bool sd_fleet_upstreams_command(struct sd_fleet *f, const char *command,
                                char *out, size_t size);
bool sd_fleet_proxy_command(struct sd_fleet *f, const char *command);
/* GETs a path of the store, e.g. "/fault?down=1". Returns the body, which the
 * caller frees, or NULL on failure. */
char *sd_fleet_store_get(struct sd_fleet *f, const char *path);
/* Writes the store's instance list: all daemons, or none if `empty`. */
void sd_fleet_publish_instances(struct sd_fleet *f, bool empty);
const char *sd_fleet_store_url(const struct sd_fleet *f);

/* Starts the callers. sd_fleet_load_wait() waits until they exit and reads the
 * results; it returns false if it had to kill them. */
void sd_fleet_load_start(struct sd_fleet *f, const struct sd_load *load);
bool sd_fleet_load_wait(struct sd_fleet *f, struct sd_load_result *out);
/* Tells the callers to open no more flows, so that they exit soon. */
void sd_fleet_load_stop(struct sd_fleet *f);
bool sd_fleet_load_running(struct sd_fleet *f);

#endif
