/* What the files of the fleet share; not for its users. */
#ifndef RG_STANDIN_FLEET_PRIV_H
#define RG_STANDIN_FLEET_PRIV_H

#include "standin/fleet.h"
#include "store/http.h"

#define TEXT_MAX 128
#define POLL_MS 10 /* between two looks at a condition */

struct daemon {
    pid_t pid; /* 0: not running */
    char packets[TEXT_MAX];
    char public[TEXT_MAX]; /* as other daemons reach it */
    char admin[TEXT_MAX];
    char settings[TEXT_MAX];
};

struct sd_fleet {
    struct sd_fleet_opts opts;
    char dir[TEXT_MAX];
    const char *bin;
    struct daemon daemons[SD_FLEET_MAX];
    uint32_t slots;
    char store[TEXT_MAX];
    char store_url[TEXT_MAX];
    char fabric[TEXT_MAX];
    char back[TEXT_MAX];
    char upstreams[TEXT_MAX];
    char proxy[TEXT_MAX];
    char written[TEXT_MAX * 2];
    char sections[3][TEXT_MAX * 2]; /* files the stand-ins read */
    pid_t pids[8];                  /* store, fabric, upstreams, proxy */
    size_t pid_count;
    pid_t callers;
    int callers_out;
    uint32_t loads;
    struct rg_http *http;
};

/* fleet_files.c */
void sd_fleet_set_addresses(struct sd_fleet *f);
void sd_fleet_write_sections(struct sd_fleet *f);
void sd_fleet_write_settings(struct sd_fleet *f, uint32_t i);
void sd_fleet_remove_files(struct sd_fleet *f);

/* fleet_ask.c */
typedef bool (*sd_fleet_check_cb)(struct sd_fleet *f, uint32_t i,
                                  const void *arg);

/* Asks until `check` holds for daemon `i`; false after `timeout_ms`. */
bool sd_fleet_wait_until(struct sd_fleet *f, uint32_t i,
                         sd_fleet_check_cb check, const void *arg,
                         uint32_t timeout_ms);

#endif
