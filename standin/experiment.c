/* standin-experiment: runs a scenario on a fleet of real processes and prints
 * the results in one line. With --strict it exits with 1 if a guarantee of the
 * scenario was violated. */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/mem.h"
#include "standin/common.h"
#include "standin/fleet.h"
#include "standin/process.h"

#define STOP_TIMEOUT_MS 60000
#define JOIN_TIMEOUT_MS 20000

struct setup {
    struct sd_fleet_opts fleet;
    struct sd_load load;
    const char *scenario;
    bool demo;
    bool strict; /* exit with 1 if a guarantee was violated */
};

struct scenario {
    const char *name;
    const char *help;
    void (*run)(struct sd_fleet *f, const struct setup *s);
    bool planned; /* a planned change: no flow may break */
};

static void
require(bool ok, const char *what)
{
    if (!ok) {
        sd_die("experiment: %s", what);
    }
}

static void
start_daemon(struct sd_fleet *f, uint32_t i)
{
    sd_fleet_start(f, i);
    require(sd_fleet_wait_ready(f, i, JOIN_TIMEOUT_MS),
            "a daemon did not become ready in time");
}

static void
stop_daemon(struct sd_fleet *f, uint32_t i)
{
    sd_fleet_signal(f, i, SIGTERM);
}

static void
wait_stopped(struct sd_fleet *f, uint32_t i)
{
    require(sd_fleet_wait_exit(f, i, STOP_TIMEOUT_MS),
            "a daemon did not stop in time");
}

static void
set_upstream_state(struct sd_fleet *f, const char *service, const char *name,
                   const char *state)
{
    char command[64];
    RG_AUTO_FREE char *text = sd_fleet_section_text(f, service, name, state);
    const char *file = sd_fleet_write_file(f, "edit.json", text);
    const char *args[] = {"--wait", "edit", service, file, NULL};

    require(sd_fleet_ctl(f, args, NULL, 0) == 0, "an edit was not accepted");
    snprintf(command, sizeof(command), "leave %s", name);
    require(sd_fleet_upstreams_command(f, command, NULL, 0),
            "standin-upstreams does not answer");
}

static void
run_steady(struct sd_fleet *f, const struct setup *s)
{
    (void)f;
    (void)s;
}

/* Replaces every daemon in turn and drains an upstream meanwhile. */
static void
run_rolling(struct sd_fleet *f, const struct setup *s)
{
    sd_sleep_ms(1500);
    for (uint32_t i = 0; i < s->fleet.daemons; i++) {
        stop_daemon(f, i);
        wait_stopped(f, i);
        start_daemon(f, i);
        if (i == 1) {
            set_upstream_state(f, "storefront", "storefront-3", "draining");
        }
        sd_sleep_ms(300);
    }
}

static void
run_two_at_once(struct sd_fleet *f, const struct setup *s)
{
    sd_sleep_ms(1500);
    for (uint32_t i = 0; i + 1 < s->fleet.daemons; i += 2) {
        stop_daemon(f, i);
        stop_daemon(f, i + 1);
        wait_stopped(f, i);
        wait_stopped(f, i + 1);
        start_daemon(f, i);
        start_daemon(f, i + 1);
        sd_sleep_ms(300);
    }
}

static void
run_crash(struct sd_fleet *f, const struct setup *s)
{
    (void)s;
    sd_sleep_ms(2500);
    sd_fleet_signal(f, 1, SIGKILL);
    wait_stopped(f, 1);
}

static void
run_freeze(struct sd_fleet *f, const struct setup *s)
{
    (void)s;
    sd_sleep_ms(2500);
    sd_fleet_signal(f, 1, SIGSTOP);
    sd_sleep_ms(5000);
    sd_fleet_signal(f, 1, SIGCONT);
}

/* Partitions the network between the daemons with even and with odd numbers;
 * the fabric still sends packets to both halves. `verb` is cut or heal. */
static void
set_partition(struct sd_fleet *f, const struct setup *s, const char *verb)
{
    char command[64];

    for (uint32_t i = 0; i < s->fleet.daemons; i++) {
        for (uint32_t k = 0; k < s->fleet.daemons; k++) {
            if (i % 2 != k % 2) {
                snprintf(command, sizeof(command), "%s d%u d%u", verb, i, k);
                require(sd_fleet_proxy_command(f, command),
                        "standin-proxy does not answer");
            }
        }
    }
}

static void
run_split(struct sd_fleet *f, const struct setup *s)
{
    sd_sleep_ms(2500);
    set_partition(f, s, "cut");
    sd_sleep_ms(6000);
    set_partition(f, s, "heal");
}

static void
run_silent_upstream(struct sd_fleet *f, const struct setup *s)
{
    (void)s;
    sd_sleep_ms(2000);
    require(sd_fleet_upstreams_command(f, "silence storefront-2 1", NULL, 0),
            "standin-upstreams does not answer");
}

static void
set_store_down(struct sd_fleet *f, bool down)
{
    RG_AUTO_FREE char *answer =
        sd_fleet_store_get(f, down ? "/fault?down=1" : "/fault?down=0");

    require(answer != NULL, "standin-store does not answer");
}

static void
run_store_outage(struct sd_fleet *f, const struct setup *s)
{
    sd_sleep_ms(1000);
    set_store_down(f, true);
    stop_daemon(f, 0);
    wait_stopped(f, 0);
    start_daemon(f, 0); /* gets the configuration from its peers */
    sd_sleep_ms(1000);
    set_store_down(f, false);
    set_upstream_state(f, "storefront", "storefront-3", "draining");
    (void)s;
}

static const struct scenario scenarios[] = {
    {"steady", "nothing changes", run_steady, true},
    {"rolling", "every daemon replaced in turn, an upstream drained",
     run_rolling, true},
    {"two", "every daemon replaced, two at a time", run_two_at_once, true},
    {"crash", "one daemon is killed", run_crash, false},
    {"freeze", "one daemon is paused for 5 s", run_freeze, false},
    {"split", "the daemons are partitioned into two halves for 6 s", run_split,
     false},
    {"silent", "one upstream stops answering", run_silent_upstream, false},
    {"outage", "the store is down while a daemon is replaced",
     run_store_outage, true},
    {0},
};

static void
print_costs(struct sd_fleet *f, const struct setup *s, double seconds)
{
    double received = sd_fleet_metric_sum(f, "packets_received_total");
    double steered = sd_fleet_metric_sum(f, "packets_steered_in_total");
    double control = sd_fleet_metric_sum(f, "control_bytes_sent_total");
    double resident = sd_fleet_metric_sum(f, "resident_bytes");
    double cpu = sd_fleet_metric_sum(f, "cpu_seconds_total");
    double n = s->fleet.daemons;

    printf(" instances_per_packet=%.2f control_bytes_per_s=%.0f "
           "resident_mb=%.1f cpu_s=%.2f",
           received > 0 ? (received + steered) / received : 0,
           control / n / seconds, resident / n / 1e6, cpu / n);
    printf(" conflicts=%.0f orphans=%.0f lookups=%.0f handed_over=%.0f",
           sd_fleet_metric_sum(f, "choice_conflicts_total"),
           sd_fleet_metric_sum(f, "flows_orphaned_total"),
           sd_fleet_metric_sum(f, "lookups_total"),
           sd_fleet_metric_sum(f, "handover_stored_total"));
}

static void
print_result(const struct setup *s, const struct sd_load_result *r,
             double seconds)
{
    if (s->demo) {
        printf("demo: flows=%.0f answered=%.0f broken_flows=%.0f "
               "misrouted=%.0f repeated=%.0f false_refusals=%.0f "
               "imbalance=%.3f seconds=%.1f\n",
               r->flows, r->answered, r->broken + r->wrong, r->misrouted,
               r->repeated, r->false_refusals, r->imbalance, seconds);
        return;
    }
    printf("%s policy=%s flows=%.0f answered=%.0f broken=%.0f "
           "broken_percent=%.3f misrouted=%.0f repeated=%.0f wrong=%.0f "
           "refused=%.0f false_refusals=%.0f unanswered=%.0f late_opens=%.0f "
           "imbalance=%.3f wait_p50_ms=%.0f wait_p99_ms=%.0f",
           s->scenario, s->fleet.policy ? s->fleet.policy : "replica",
           r->flows, r->answered, r->broken,
           r->flows > 0 ? 100 * r->broken / r->flows : 0, r->misrouted,
           r->repeated, r->wrong, r->refused, r->false_refusals, r->unanswered,
           r->late_opens, r->imbalance, r->wait_p50_ms, r->wait_p99_ms);
}

/* Some guarantees hold in every scenario, others only for planned changes. */
static bool
guarantees_hold(const struct scenario *sc, const struct sd_load_result *r)
{
    bool always = r->flows > 0 && r->answered > 0 && r->misrouted == 0 &&
                  r->repeated == 0 && r->wrong == 0 && r->bad == 0 &&
                  r->false_refusals == 0 && r->unsure_refusals == 0;

    return always && (!sc->planned || (r->broken == 0 && r->unanswered == 0));
}

static const struct scenario *
find_scenario(const char *name)
{
    for (const struct scenario *s = scenarios; s->name; s++) {
        if (strcmp(s->name, name) == 0) {
            return s;
        }
    }
    return NULL;
}

enum {
    KEY_NET = 1000,
    KEY_POLICY,
    KEY_DEVIATION,
    KEY_SERVICE_MS,
    KEY_DEMO,
    KEY_STRICT,
    KEY_UDP,
    KEY_V6,
    KEY_STOREFRONT,
    KEY_GALLERY,
    KEY_EXTRA,
    KEY_DROP,
    KEY_DOUBLE,
    KEY_DELAY,
    KEY_PROXY,
};

static const struct argp_option options[] = {
    {"daemons", 'd', "N", 0, "daemons", 0},
    {"flows", 'f', "N", 0, "flows kept open", 0},
    {"requests", 'r', "N", 0, "requests per flow", 0},
    {"think-ms", 't', "MS", 0, "mean time between requests", 0},
    {"duration-ms", 'D', "MS", 0, "time after which no flow starts", 0},
    {"seed", 's', "N", 0, "seed of the random numbers", 0},
    {"verbose", 'v', NULL, 0, "callers log every failed flow", 0},
    {"net", KEY_NET, "N", 0, "second byte of all addresses", 0},
    {"policy", KEY_POLICY, "WORD", 0, "table, cache, owner or replica", 0},
    {"deviation", KEY_DEVIATION, "PERCENT", 0,
     "deviation_percent: bound on flows that leave the table's default", 0},
    {"service-ms", KEY_SERVICE_MS, "MS", 0,
     "time an upstream takes per request", 0},
    {"storefront", KEY_STOREFRONT, "N", 0, "upstreams of the storefront", 0},
    {"gallery", KEY_GALLERY, "N", 0, "upstreams of the gallery", 0},
    {"udp", KEY_UDP, NULL, 0, "the gallery is a UDP service", 0},
    {"v6", KEY_V6, NULL, 0, "the storefront's address is IPv6", 0},
    {"drop", KEY_DROP, "N", 0, "packets of 1000 that the fabric drops", 0},
    {"double", KEY_DOUBLE, "N", 0,
     "packets of 1000 that the fabric duplicates", 0},
    {"delay", KEY_DELAY, "N", 0, "packets of 1000 that the fabric delays", 0},
    {"proxy", KEY_PROXY, NULL, 0, "daemons use the fault-injecting proxy", 0},
    {"extra", KEY_EXTRA, "JSON", 0, "further settings of the daemons", 0},
    {"demo", KEY_DEMO, NULL, 0,
     "print the line of tools/demo.sh; implies --strict", 0},
    {"strict", KEY_STRICT, NULL, 0, "exit with 1 if a guarantee was violated",
     0},
    {0},
};

static uint32_t
parse_number(const char *arg)
{
    return (uint32_t)strtoul(arg, NULL, 10);
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct setup *s = state->input;

    switch (key) {
    case 'd':
        s->fleet.daemons = parse_number(arg);
        return 0;
    case 'f':
        s->load.flows = parse_number(arg);
        return 0;
    case 'r':
        s->load.requests = parse_number(arg);
        return 0;
    case 't':
        s->load.think_ms = parse_number(arg);
        return 0;
    case 'D':
        s->load.duration_ms = parse_number(arg);
        return 0;
    case 's':
        s->fleet.seed = parse_number(arg);
        return 0;
    case 'v':
        s->load.verbose = true;
        return 0;
    case KEY_NET:
        s->fleet.net = (uint8_t)parse_number(arg);
        return 0;
    case KEY_POLICY:
        s->fleet.policy = arg;
        return 0;
    case KEY_DEVIATION:
        s->fleet.deviation_percent = parse_number(arg);
        return 0;
    case KEY_SERVICE_MS:
        s->fleet.service_ms = parse_number(arg);
        return 0;
    case KEY_STOREFRONT:
        s->fleet.storefront = parse_number(arg);
        return 0;
    case KEY_GALLERY:
        s->fleet.gallery = parse_number(arg);
        return 0;
    case KEY_UDP:
        s->fleet.udp_gallery = true;
        return 0;
    case KEY_V6:
        s->fleet.v6_storefront = true;
        return 0;
    case KEY_DROP:
        s->fleet.drop_permille = parse_number(arg);
        return 0;
    case KEY_DOUBLE:
        s->fleet.double_permille = parse_number(arg);
        return 0;
    case KEY_DELAY:
        s->fleet.delay_permille = parse_number(arg);
        return 0;
    case KEY_PROXY:
        s->fleet.proxy = true;
        return 0;
    case KEY_EXTRA:
        s->fleet.extra = arg;
        return 0;
    case KEY_DEMO:
        s->demo = true;
        s->strict = true;
        return 0;
    case KEY_STRICT:
        s->strict = true;
        return 0;
    case ARGP_KEY_ARG:
        s->scenario = arg;
        return find_scenario(arg) ? 0 : ARGP_ERR_UNKNOWN;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .args_doc = "SCENARIO",
        .doc = "Runs a scenario on real processes: steady, rolling, two, "
               "crash, freeze, split, silent or outage.",
    };
    struct setup s = {
        .scenario = "steady",
        .fleet = {.net = 77,
                  .daemons = 4,
                  .storefront = 15,
                  .gallery = 4,
                  .deviation_percent = 50,
                  .service_ms = 2,
                  .seed = 1},
        .load = {.flows = 600,
                 .requests = 8,
                 .think_ms = 700,
                 .ramp_ms = 1000,
                 .duration_ms = 12000},
    };
    struct sd_load_result r;

    argp_parse(&argp, argc, argv, 0, NULL, &s);
    const struct scenario *sc = find_scenario(s.scenario);
    s.fleet.proxy |= strcmp(s.scenario, "split") == 0;
    uint64_t started = rg_clock_ms();
    struct sd_fleet *f = sd_fleet_create(&s.fleet);
    sd_fleet_load_start(f, &s.load);
    sc->run(f, &s);
    require(sd_fleet_load_wait(f, &r), "the callers did not exit in time");
    double seconds = (double)(rg_clock_ms() - started) / 1000;
    print_result(&s, &r, seconds);
    if (!s.demo) {
        print_costs(f, &s, seconds);
        putchar('\n');
    }
    bool hold = guarantees_hold(sc, &r);
    sd_fleet_destroy(f);
    return hold || !s.strict ? 0 : 1;
}
