/* A whole fleet on loopback addresses of its own: stand-ins and daemons as
 * separate processes. Used by the experiment tool and the integration tests.
 * Nothing outlives sd_fleet_destroy(), or this process. */
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
    uint32_t daemons;    /* started at once */
    uint32_t spares;     /* addresses kept for daemons started later */
    uint32_t storefront; /* upstreams of each service, 0 for none */
    uint32_t gallery;
    bool udp_gallery;   /* the gallery is a UDP service */
    bool v6_storefront; /* the storefront's address is IPv6 */
    const char *policy; /* NULL for the default */
    uint32_t deviation_percent;
    uint32_t max_flows; /* per upstream, 0 for the default */
    uint32_t service_ms;
    uint64_t seed;
    bool proxy;    /* daemons reach each other and the store through it */
    bool no_store; /* daemons have no store set */
    bool quiet;    /* daemons log errors only */
    uint32_t drop_permille; /* of the fabric */
    uint32_t double_permille;
    uint32_t delay_permille;
    const char *extra; /* further settings, as JSON members */
};

struct sd_load {
    uint32_t flows;
    uint32_t requests;
    uint32_t think_ms;
    uint32_t pause_ms;
    uint32_t ramp_ms;
    uint32_t duration_ms;
    const char *only; /* one service alone; NULL for all */
    bool verbose;
};

struct sd_fleet;

struct sd_fleet *sd_fleet_create(const struct sd_fleet_opts *opts);
void sd_fleet_destroy(struct sd_fleet *f);

/* Daemons, by number from 0. */
void sd_fleet_start(struct sd_fleet *f, uint32_t i);
void sd_fleet_signal(struct sd_fleet *f, uint32_t i, int signum);
/* Waits until the process has ended; false after `timeout_ms`. */
bool sd_fleet_wait_exit(struct sd_fleet *f, uint32_t i, uint32_t timeout_ms);
bool sd_fleet_wait_ready(struct sd_fleet *f, uint32_t i, uint32_t timeout_ms);
/* Waits until daemon `i` counts `members` alive. */
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
/* The same over all running daemons. */
double sd_fleet_metric_sum(struct sd_fleet *f, const char *name);

/* Runs rattangapctl with the store, the team and all running daemons set.
 * `args` ends with NULL. Returns the exit code; `out` may be NULL. */
int sd_fleet_ctl(struct sd_fleet *f, const char *const *args, char *out,
                 size_t size);
/* The same without waiting; sd_fleet_ctl_wait() gives the exit code. */
pid_t sd_fleet_ctl_start(struct sd_fleet *f, const char *const *args);
int sd_fleet_ctl_wait(pid_t pid);

/* Writes a section file and returns its path (borrowed). */
const char *sd_fleet_write_file(struct sd_fleet *f, const char *name,
                                const char *text);
/* Text of a service's section with one upstream in another state, or NULL for
 * none. The caller frees it. */
char *sd_fleet_section_text(const struct sd_fleet *f, const char *service,
                            const char *upstream, const char *state);

/* Commands to stand-ins; true if they answered. `out` may be NULL. */
bool sd_fleet_upstreams_command(struct sd_fleet *f, const char *command,
                                char *out, size_t size);
bool sd_fleet_proxy_command(struct sd_fleet *f, const char *command);
/* A path of the store, e.g. "/fault?down=1". The caller frees the text. */
char *sd_fleet_store_get(struct sd_fleet *f, const char *path);
/* Tells the instance list of the store which daemons there are. */
void sd_fleet_publish_instances(struct sd_fleet *f, bool empty);
const char *sd_fleet_store_url(const struct sd_fleet *f);

/* Starts callers; sd_fleet_load_wait() waits for them and gathers the
 * outcome. Returns false if they did not end by themselves. */
void sd_fleet_load_start(struct sd_fleet *f, const struct sd_load *load);
bool sd_fleet_load_wait(struct sd_fleet *f, struct sd_load_result *out);
/* Lets the callers start no more flows, so that they end soon. */
void sd_fleet_load_stop(struct sd_fleet *f);
/* True while the callers run. */
bool sd_fleet_load_running(struct sd_fleet *f);

#endif
