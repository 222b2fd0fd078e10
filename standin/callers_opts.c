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
    {"listen", 'l', "ADDRESS", 0, "own address (UDP)", 0},
    {"control", 'c', "ADDRESS", 0, "own address for questions (UDP)", 0},
    {"fabric", 'F', "ADDRESS", 0, "the fabric (UDP)", 0},
    {"upstreams", 'u', "ADDRESS", 0, "the upstreams' control socket", 0},
    {"only", 'o', "SERVICE", 0, "call this service alone", 0},
    {"flows", KEY_FLOWS, "N", 0, "flows kept open", 0},
    {"requests", KEY_REQUESTS, "N", 0, "requests a flow", 0},
    {"think-ms", KEY_THINK, "MS", 0, "mean time between requests", 0},
    {"pause-ms", KEY_PAUSE, "MS", 0, "most time between flows", 0},
    {"ramp-ms", KEY_RAMP, "MS", 0, "time in which the first flows start", 0},
    {"duration-ms", KEY_DURATION, "MS", 0, "time after which none start", 0},
    {"answer-bytes", KEY_ANSWER, "N", 0, "most bytes of an answer", 0},
    {"seed", KEY_SEED, "N", 0, "of the random choices", 0},
    {"net", KEY_NET, "N", 0, "number of the callers' network", 0},
    {"verbose", 'v', NULL, 0, "say what goes wrong with which flow", 0},
    {0},
};

static uint32_t *
number_option(struct sd_callers_opts *o, int key)
{
    switch (key) {
    case KEY_FLOWS:
        return &o->flow_count;
    case KEY_REQUESTS:
        return &o->requests;
    case KEY_THINK:
        return &o->think_ms;
    case KEY_PAUSE:
        return &o->pause_ms;
    case KEY_RAMP:
        return &o->ramp_ms;
    case KEY_DURATION:
        return &o->duration_ms;
    case KEY_ANSWER:
        return &o->answer_len;
    case KEY_NET:
        return &o->net;
    default:
        return NULL;
    }
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct sd_callers_opts *o = state->input;
    uint32_t *number = number_option(o, key);

    if (number) {
        *number = (uint32_t)strtoul(arg, NULL, 10);
        return 0;
    }
    switch (key) {
    case 'f':
        if (o->section_count == SD_SECTIONS_MAX) {
            sd_die("too many sections");
        }
        o->sections[o->section_count++] = arg;
        return 0;
    case 'l':
        o->listen = sd_parse_addr(arg);
        return 0;
    case 'c':
        o->control = sd_parse_addr(arg);
        return 0;
    case 'F':
        o->fabric = sd_parse_addr(arg);
        return 0;
    case 'u':
        o->upstreams = sd_parse_addr(arg);
        return 0;
    case 'o':
        o->only = arg;
        return 0;
    case 'v':
        o->verbose = true;
        return 0;
    case KEY_SEED:
        o->seed = strtoull(arg, NULL, 10);
        return 0;
    case ARGP_KEY_END:
        if (o->control.port == 0) {
            argp_error(state, "--control ADDRESS is required");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

void
sd_callers_parse(struct sd_callers_opts *o, int argc, char **argv)
{
    static const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .doc = "Stand-in for callers: load that checks what it gets.",
    };

    *o = (struct sd_callers_opts){
        .flow_count = 100,
        .requests = 5,
        .think_ms = 200,
        .ramp_ms = 1000,
        .duration_ms = 5000,
        .answer_len = 300,
    };
    argp_parse(&argp, argc, argv, 0, NULL, o);
}
