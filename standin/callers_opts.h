/* Command line of the stand-in for callers. */
#ifndef RG_STANDIN_CALLERS_OPTS_H
#define RG_STANDIN_CALLERS_OPTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/addr.h"

#define SD_SECTIONS_MAX 16

struct sd_callers_opts {
    struct rg_addr listen;
    struct rg_addr control; /* own address for queries to the upstreams */
    struct rg_addr fabric;
    struct rg_addr upstreams; /* their control socket */
    uint32_t flow_count;      /* kept open */
    uint32_t requests;        /* per flow */
    uint32_t think_ms;        /* mean time between requests */
    uint32_t pause_ms;        /* maximum between flows */
    uint32_t ramp_ms;         /* over which the first flows start */
    uint32_t duration_ms;     /* after which no flow starts */
    uint32_t answer_len;      /* maximum, in bytes */
    uint32_t net;             /* number of the callers' network */
    uint64_t seed;
    bool verbose;
    const char *only; /* the only service to call; NULL: all */
    char *sections[SD_SECTIONS_MAX];
    size_t section_count;
};

/* Exits if an option is invalid. The strings in `opts` point into argv. */
void sd_callers_parse(struct sd_callers_opts *opts, int argc, char **argv);

#endif
