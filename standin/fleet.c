/* The life of a fleet, its daemons, the operators' tool and the load. */
#include "standin/fleet.h"
#include "common/clock.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "common/mem.h"
#include "standin/common.h"
#include "standin/fleet_priv.h"
#include "standin/process.h"

#define CALL_TIMEOUT_MS 1000
#define START_TIMEOUT_MS 20000
#define LOAD_TIMEOUT_MS 180000

/* --- daemons --------------------------------------------------------------
 */

void
sd_fleet_start(struct sd_fleet *f, uint32_t i)
{
    struct sd_args a = {0};

    sd_args_add(&a, "%s/rattangapd", f->bin);
    sd_args_add(&a, "--settings=%s", f->daemons[i].settings);
    f->daemons[i].pid = sd_process_start(&a, NULL);
}

void
sd_fleet_signal(struct sd_fleet *f, uint32_t i, int signum)
{
    if (f->daemons[i].pid > 0) {
        kill(f->daemons[i].pid, signum);
    }
}

static bool
has_ended(struct sd_fleet *f, uint32_t i, const void *arg)
{
    (void)arg;
    return waitpid(f->daemons[i].pid, NULL, WNOHANG) != 0;
}

bool
sd_fleet_wait_exit(struct sd_fleet *f, uint32_t i, uint32_t timeout_ms)
{
    if (!sd_fleet_wait_until(f, i, has_ended, NULL, timeout_ms)) {
        return false;
    }
    f->daemons[i].pid = 0;
    return true;
}

pid_t
sd_fleet_pid(const struct sd_fleet *f, uint32_t i)
{
    return f->daemons[i].pid;
}

/* --- the operators' tool --------------------------------------------------
 */

static void
ctl_args(struct sd_fleet *f, const char *const *args, struct sd_args *a)
{
    sd_args_add(a, "%s/rattangapctl", f->bin);
    sd_args_add(a, "--store=%s", f->store_url);
    sd_args_add(a, "--team=ops");
    for (uint32_t i = 0; i < f->slots; i++) {
        if (f->daemons[i].pid > 0) {
            sd_args_add(a, "--admin=%s", f->daemons[i].admin);
        }
    }
    for (; *args; args++) {
        sd_args_add(a, "%s", *args);
    }
}

pid_t
sd_fleet_ctl_start(struct sd_fleet *f, const char *const *args)
{
    struct sd_args a = {0};

    ctl_args(f, args, &a);
    return sd_process_start(&a, NULL);
}

int
sd_fleet_ctl_wait(pid_t pid)
{
    int status = 0;

    waitpid(pid, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int
sd_fleet_ctl(struct sd_fleet *f, const char *const *args, char *out,
             size_t size)
{
    struct sd_args a = {0};
    char text[65536];
    int fd;

    ctl_args(f, args, &a);
    pid_t pid = sd_process_start(&a, &fd);
    sd_process_read_output(fd, text, sizeof(text));
    if (out) {
        snprintf(out, size, "%s", text);
    }
    return sd_fleet_ctl_wait(pid);
}

/* --- load -----------------------------------------------------------------
 */

void
sd_fleet_load_start(struct sd_fleet *f, const struct sd_load *load)
{
    struct sd_args a = {0};

    f->loads++;
    sd_args_add(&a, "%s/standin-callers", f->bin);
    for (int i = 0; i < 3; i++) {
        sd_args_add(&a, "--section=%s", f->sections[i]);
    }
    sd_args_add(&a, "--listen=127.%u.0.4:%u", f->opts.net,
                5000 + f->loads * 2);
    sd_args_add(&a, "--control=127.%u.0.4:%u", f->opts.net,
                5001 + f->loads * 2);
    sd_args_add(&a, "--fabric=%s", f->fabric);
    sd_args_add(&a, "--upstreams=%s", f->upstreams);
    sd_args_add(&a, "--net=%u", f->loads);
    sd_args_add(&a, "--seed=%llu",
                (unsigned long long)(f->opts.seed + f->loads * 1000));
    sd_args_add(&a, "--flows=%u", load->flows);
    sd_args_add(&a, "--requests=%u", load->requests);
    sd_args_add(&a, "--think-ms=%u", load->think_ms);
    sd_args_add(&a, "--pause-ms=%u", load->pause_ms);
    sd_args_add(&a, "--ramp-ms=%u", load->ramp_ms);
    sd_args_add(&a, "--duration-ms=%u", load->duration_ms);
    if (load->only) {
        sd_args_add(&a, "--only=%s", load->only);
    }
    if (load->verbose) {
        sd_args_add(&a, "--verbose");
    }
    f->callers = sd_process_start(&a, &f->callers_out);
}

void
sd_fleet_load_stop(struct sd_fleet *f)
{
    kill(f->callers, SIGUSR1);
}

bool
sd_fleet_load_running(struct sd_fleet *f)
{
    siginfo_t info = {0};

    return waitid(P_PID, (id_t)f->callers, &info,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == 0;
}

bool
sd_fleet_load_wait(struct sd_fleet *f, struct sd_load_result *out)
{
    char text[4096];
    uint64_t until = rg_clock_ms() + LOAD_TIMEOUT_MS;

    memset(out, 0, sizeof(*out));
    while (sd_fleet_load_running(f) && rg_clock_ms() < until) {
        sd_sleep_ms(POLL_MS);
    }
    bool ended = !sd_fleet_load_running(f);
    if (!ended) {
        kill(f->callers, SIGKILL);
    }
    sd_process_read_output(f->callers_out, text, sizeof(text));
    waitpid(f->callers, NULL, 0);
    f->callers = 0;
    sd_load_result_parse_callers(out, text);
    if (sd_fleet_upstreams_command(f, "stats", text, sizeof(text))) {
        sd_load_result_parse_upstreams(out, text);
    }
    return ended;
}

/* --- setting up -----------------------------------------------------------
 */

static void
start_store(struct sd_fleet *f)
{
    struct sd_args a = {0};

    sd_args_add(&a, "%s/standin-store", f->bin);
    sd_args_add(&a, "--listen=%s", f->store);
    f->pids[f->pid_count++] = sd_process_start(&a, NULL);
    uint64_t until = rg_clock_ms() + START_TIMEOUT_MS;
    char *text;
    while ((text = sd_fleet_store_get(f, "/stats")) == NULL) {
        if (rg_clock_ms() > until) {
            sd_die("the store does not start");
        }
        sd_sleep_ms(POLL_MS);
    }
    free(text);
}

static void
start_proxy(struct sd_fleet *f)
{
    struct sd_args a = {0};

    sd_args_add(&a, "%s/standin-proxy", f->bin);
    sd_args_add(&a, "--control=%s", f->proxy);
    sd_args_add(&a, "--seed=%llu", (unsigned long long)f->opts.seed);
    for (uint32_t i = 0; i < f->slots; i++) {
        sd_args_add(&a, "--pair=d%u=%s,%s", i, f->daemons[i].public,
                    f->daemons[i].packets);
        sd_args_add(&a, "--pair=s%u=127.%u.3.%u:8000,%s", i, f->opts.net,
                    i + 1, f->store);
    }
    f->pids[f->pid_count++] = sd_process_start(&a, NULL);
    if (!sd_fleet_proxy_command(f, "loss 0")) {
        sd_die("the proxy does not start");
    }
}

static void
start_upstreams(struct sd_fleet *f)
{
    struct sd_args a = {0};

    sd_args_add(&a, "%s/standin-upstreams", f->bin);
    for (int i = 0; i < 3; i++) {
        sd_args_add(&a, "--section=%s", f->sections[i]);
    }
    sd_args_add(&a, "--return=%s", f->back);
    sd_args_add(&a, "--control=%s", f->upstreams);
    sd_args_add(&a, "--service-ms=%u", f->opts.service_ms);
    f->pids[f->pid_count++] = sd_process_start(&a, NULL);
    if (!sd_fleet_upstreams_command(f, "stats", NULL, 0)) {
        sd_die("the upstreams do not start");
    }
}

static void
start_fabric(struct sd_fleet *f)
{
    struct sd_args a = {0};

    sd_args_add(&a, "%s/standin-fabric", f->bin);
    sd_args_add(&a, "--listen=%s", f->fabric);
    sd_args_add(&a, "--return=%s", f->back);
    sd_args_add(&a, "--seed=%llu", (unsigned long long)f->opts.seed);
    sd_args_add(&a, "--drop=%u", f->opts.drop_permille);
    sd_args_add(&a, "--double=%u", f->opts.double_permille);
    sd_args_add(&a, "--delay=%u", f->opts.delay_permille);
    for (uint32_t i = 0; i < f->slots; i++) {
        sd_args_add(&a, "--target=%s,%s", f->daemons[i].packets,
                    f->daemons[i].admin);
    }
    f->pids[f->pid_count++] = sd_process_start(&a, NULL);
}

static void
publish(struct sd_fleet *f)
{
    static const char *const names[] = {"sites", "storefront", "gallery"};

    for (int i = 0; i < 3; i++) {
        const char *args[] = {"edit", names[i], f->sections[i], NULL};
        if (sd_fleet_ctl(f, args, NULL, 0) != 0) {
            sd_die("cannot publish section %s", names[i]);
        }
    }
}

struct sd_fleet *
sd_fleet_create(const struct sd_fleet_opts *opts)
{
    struct sd_fleet *f = rg_calloc(1, sizeof(*f));
    struct rg_http_opts http = {.timeout_ms = CALL_TIMEOUT_MS};

    f->opts = *opts;
    f->slots = opts->daemons + opts->spares;
    if (f->slots > SD_FLEET_MAX) {
        sd_die("at most %d daemons", SD_FLEET_MAX);
    }
    f->bin = getenv("RG_BIN_DIR");
    if (!f->bin) {
        sd_die("RG_BIN_DIR is not set");
    }
    strcpy(f->dir, "/tmp/rattangap-XXXXXX");
    if (!mkdtemp(f->dir)) {
        sd_die("mkdtemp: %s", strerror(errno));
    }
    f->http = rg_http_create(&http);
    sd_fleet_set_addresses(f);
    sd_fleet_write_sections(f);
    start_store(f);
    publish(f);
    for (uint32_t i = 0; i < f->slots; i++) {
        sd_fleet_write_settings(f, i);
    }
    sd_fleet_publish_instances(f, false);
    if (opts->proxy) {
        start_proxy(f);
    }
    start_upstreams(f);
    for (uint32_t i = 0; i < opts->daemons; i++) {
        sd_fleet_start(f, i);
    }
    for (uint32_t i = 0; i < opts->daemons; i++) {
        if (!sd_fleet_wait_members(f, i, opts->daemons, START_TIMEOUT_MS) ||
            (!opts->no_store && !sd_fleet_wait_ready(f, i, START_TIMEOUT_MS)))
        {
            sd_die("daemon %u does not get ready", i);
        }
    }
    start_fabric(f);
    return f;
}

void
sd_fleet_destroy(struct sd_fleet *f)
{
    for (uint32_t i = 0; i < f->slots; i++) {
        sd_process_kill(f->daemons[i].pid);
    }
    sd_process_kill(f->callers);
    for (size_t i = f->pid_count; i > 0; i--) {
        sd_process_kill(f->pids[i - 1]);
    }
    rg_http_destroy(f->http);
    sd_fleet_remove_files(f);
    free(f);
}
