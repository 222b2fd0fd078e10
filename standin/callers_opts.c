#include "standin/callers_opts.h"

#include <argp.h>
#include <stdlib.h>

#include "standin/common.h"

enum {
    KEY_FLOWS = 'n',
    KEY_REQUESTS = 'q',
    KEY_THINK = 't',
    KEY_PAUSE = 'p',
    KEY_RAMP = 'a',
    KEY_DURATION = 'd',
    KEY_ANSWER = 'b',
    KEY_SEED = 's',
    KEY_NET = 'N',
};

static const struct argp_option options[] = {
    {"section", 'f', "FILE", 0, "section of the document (repeat)", 0},
    {"listen", 'l', "ADDRESS", 0, "own address for packets (UDP)", 0},
    {"control", 'c', "ADDRESS", 0,
     "own address for queries to the upstreams (UDP)", 0},
    {"fabric", 'F', "ADDRESS", 0, "address of the fabric (UDP)", 0},
    {"upstreams", 'u', "ADDRESS", 0, "control address of the upstreams (UDP)",
     0},
    {"only", 'o', "SERVICE", 0, "call only this service", 0},
    {"flows", KEY_FLOWS, "N", 0, "flows kept open", 0},
    {"requests", KEY_REQUESTS, "N", 0, "requests per flow", 0},
    {"think-ms", KEY_THINK, "MS", 0, "mean time between requests", 0},
    {"pause-ms", KEY_PAUSE, "MS", 0, "maximum pause between flows", 0},
    {"ramp-ms", KEY_RAMP, "MS", 0, "time over which the first flows start", 0},
    {"duration-ms", KEY_DURATION, "MS", 0, "time after which no flow starts",
     0},
    {"answer-bytes", KEY_ANSWER, "N", 0, "maximum length of an answer", 0},
    {"seed", KEY_SEED, "N", 0, "seed of the random numbers", 0},
    {"net", KEY_NET, "N", 0, "number of the callers' network, 0 to 255", 0},
    {"verbose", 'v', NULL, 0, "log every failed flow", 0},
    {0},
};

static uint32_t *
number_option(struct sd_callers_opts *opts, int key)
{
    switch (key) {
    case KEY_FLOWS:
        return &opts->flow_count;
    case KEY_REQUESTS:
        return &opts->requests;
    case KEY_THINK:
        return &opts->think_ms;
    case KEY_PAUSE:
        return &opts->pause_ms;
    case KEY_RAMP:
        return &opts->ramp_ms;
    case KEY_DURATION:
        return &opts->duration_ms;
    case KEY_ANSWER:
        return &opts->answer_len;
    case KEY_NET:
        return &opts->net;
    default:
        return NULL;
    }
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct sd_callers_opts *opts = state->input;
    uint32_t *number = number_option(opts, key);

    if (number) {
        *number = (uint32_t)strtoul(arg, NULL, 10);
        return 0;
    }
    switch (key) {
    case 'f':
        if (opts->section_count == SD_SECTIONS_MAX) {
            sd_die("too many --section options");
        }
        opts->sections[opts->section_count++] = arg;
        return 0;
    case 'l':
        opts->listen = sd_parse_addr(arg);
        return 0;
    case 'c':
        opts->control = sd_parse_addr(arg);
        return 0;
    case 'F':
        opts->fabric = sd_parse_addr(arg);
        return 0;
    case 'u':
        opts->upstreams = sd_parse_addr(arg);
        return 0;
    case 'o':
        opts->only = arg;
        return 0;
    case 'v':
        opts->verbose = true;
        return 0;
    case KEY_SEED:
        opts->seed = strtoull(arg, NULL, 10);
        return 0;
    case ARGP_KEY_END:
        if (opts->control.port == 0) {
            argp_error(state, "--control ADDRESS is required");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

void
sd_callers_parse(struct sd_callers_opts *opts, int argc, char **argv)
{
    static const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .doc = "Stand-in for callers: generates load and checks the answers.",
    };

    *opts = (struct sd_callers_opts){
        .flow_count = 100,
        .requests = 5,
        .think_ms = 200,
        .ramp_ms = 1000,
        .duration_ms = 5000,
        .answer_len = 300,
    };
    argp_parse(&argp, argc, argv, 0, NULL, opts);
}
