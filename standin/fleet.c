#include "standin/fleet.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "common/mem.h"
#include "standin/common.h"
#include "store/http.h"

#define ARGS_MAX 1200
#define TEXT_MAX 128
#define CALL_TIMEOUT_MS 1000
#define COMMAND_TIMEOUT_MS 500
#define COMMAND_TOTAL_MS 5000
#define POLL_MS 10
#define START_TIMEOUT_MS 20000
#define LOAD_TIMEOUT_MS 180000

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

/* --- processes ------------------------------------------------------------
 */

/* An argument list that owns its strings. */
struct args {
    char *items[ARGS_MAX];
    size_t count;
};

static void add(struct args *a, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
add(struct args *a, const char *format, ...)
{
    char text[1024];
    va_list ap;

    va_start(ap, format);
    vsnprintf(text, sizeof(text), format, ap);
    va_end(ap);
    if (a->count + 1 == ARGS_MAX) {
        sd_die("too many arguments");
    }
    a->items[a->count++] = rg_strdup(text);
    a->items[a->count] = NULL;
}

static void
clear(struct args *a)
{
    for (size_t i = 0; i < a->count; i++) {
        free(a->items[i]);
    }
    memset(a, 0, sizeof(*a));
}

/* Starts a program; its standard output goes to `*out` if that is set. The
 * child ends with this process. */
static pid_t
start(struct args *a, int *out)
{
    int pipe_fds[2] = {-1, -1};
    pid_t parent = getpid();

    if (out && pipe2(pipe_fds, O_CLOEXEC) != 0) {
        sd_die("pipe: %s", strerror(errno));
    }
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        if (out) {
            dup2(pipe_fds[1], STDOUT_FILENO);
        }
        execv(a->items[0], a->items);
        fprintf(stderr, "cannot run %s: %s\n", a->items[0], strerror(errno));
        _exit(127);
    }
    if (out) {
        close(pipe_fds[1]);
        *out = pipe_fds[0];
    }
    clear(a);
    return pid;
}

static void
end_process(pid_t pid)
{
    if (pid > 0) {
        kill(pid, SIGKILL);
        waitpid(pid, NULL, 0);
    }
}

void
sd_sleep_ms(uint32_t ms)
{
    struct timespec ts = {.tv_sec = ms / 1000,
                          .tv_nsec = (long)(ms % 1000) * 1000000L};

    while (nanosleep(&ts, &ts) != 0 && errno == EINTR) {
    }
}

/* --- documents and settings -----------------------------------------------
 */

const char *
sd_fleet_write(struct sd_fleet *f, const char *name, const char *text)
{
    snprintf(f->written, sizeof(f->written), "%s/%s", f->dir, name);
    FILE *out = fopen(f->written, "w");
    if (!out || fputs(text, out) < 0 || fclose(out) != 0) {
        sd_die("cannot write %s", f->written);
    }
    return f->written;
}

static void
print_service(const struct sd_fleet *f, FILE *out, const char *service,
              int number)
{
    bool udp = number == 2 && f->opts.udp_gallery;
    char max[64] = "";

    if (f->opts.max_flows > 0) {
        snprintf(max, sizeof(max), ", \"max_flows_per_upstream\": %u",
                 f->opts.max_flows);
    }
    if (number == 1 && f->opts.v6_storefront) {
        fprintf(out, "  {\"name\": \"%s\", \"address\": \"2001:db8:1::1\"",
                service);
    }
    else {
        fprintf(out, "  {\"name\": \"%s\", \"address\": \"203.0.113.%d\"",
                service, number);
    }
    fprintf(out,
            ", \"port\": 80, \"protocol\": \"%s\", "
            "\"deviation_percent\": %u%s}\n",
            udp ? "udp" : "tcp", f->opts.deviation_percent, max);
}

char *
sd_fleet_section(const struct sd_fleet *f, const char *service,
                 const char *upstream, const char *state)
{
    int number = strcmp(service, "storefront") == 0 ? 1 : 2;
    uint32_t count = number == 1 ? f->opts.storefront : f->opts.gallery;
    char *text = NULL;
    size_t len;
    FILE *out = open_memstream(&text, &len);

    fprintf(out, "{ // section of the %s team\n \"services\": [\n", service);
    print_service(f, out, service, number);
    fprintf(out, " ],\n \"upstreams\": [\n");
    for (uint32_t i = 0; i < count; i++) {
        char name[64];
        snprintf(name, sizeof(name), "%s-%u", service, i + 1);
        bool changed = upstream && strcmp(upstream, name) == 0;
        fprintf(out,
                "  {\"name\": \"%s\", \"service\": \"%s\", \"address\": "
                "\"127.%u.%u.%u:9000\", \"data_centre\": \"dc1\", "
                "\"state\": \"%s\"}%s\n",
                name, service, f->opts.net, 10 + number, i + 1,
                changed ? state : "active", i + 1 < count ? "," : "");
    }
    fprintf(out, " ]\n}\n");
    fclose(out);
    return text;
}

static void
write_sections(struct sd_fleet *f)
{
    static const char *const names[] = {"storefront", "gallery"};

    snprintf(f->sections[0], sizeof(f->sections[0]), "%s",
             sd_fleet_write(f, "sites.json",
                            "{\"data_centres\": [{\"name\": \"dc1\"}, "
                            "{\"name\": \"dc2\"}]}\n"));
    for (int i = 0; i < 2; i++) {
        char file[64];
        RG_AUTO_FREE char *text = sd_fleet_section(f, names[i], NULL, NULL);
        snprintf(file, sizeof(file), "%s.json", names[i]);
        snprintf(f->sections[i + 1], sizeof(f->sections[0]), "%s",
                 sd_fleet_write(f, file, text));
    }
}

static void
print_store_settings(const struct sd_fleet *f, FILE *out, uint32_t i)
{
    if (f->opts.no_store) {
        return;
    }
    fprintf(out, ",\n \"store\": {\"urls\": [\"http://");
    if (f->opts.proxy) {
        fprintf(out, "127.%u.3.%u:8000", f->opts.net, i + 1);
    }
    else {
        fprintf(out, "%s", f->store);
    }
    fprintf(out, "\"], \"timeout_ms\": 500, \"watch_ms\": 2000}");
}

static void
write_settings(struct sd_fleet *f, uint32_t i)
{
    struct daemon *d = &f->daemons[i];
    char name[64];
    char *text = NULL;
    size_t len;
    FILE *out = open_memstream(&text, &len);

    fprintf(out,
            "{\n \"name\": \"entry-%u\", \"data_centre\": \"dc1\",\n"
            " \"packet_address\": \"%s\", \"advertise_address\": \"%s\",\n"
            " \"admin_address\": \"%s\", \"return_address\": \"%s\",\n"
            " \"peer_networks\": [\"127.0.0.0/8\"],\n"
            " \"fabric_networks\": [\"127.%u.0.0/16\"],\n"
            " \"seeds\": [\"%s\", \"%s\"],\n"
            " \"log_level\": \"%s\"",
            i + 1, d->packets, d->public, d->admin, f->back, f->opts.net,
            f->daemons[0].public, f->daemons[1].public,
            f->opts.quiet ? "err" : "warning");
    if (f->opts.policy) {
        fprintf(out, ",\n \"policy\": \"%s\"", f->opts.policy);
    }
    print_store_settings(f, out, i);
    fprintf(out, "%s%s\n}\n", f->opts.extra ? ",\n " : "",
            f->opts.extra ? f->opts.extra : "");
    fclose(out);
    snprintf(name, sizeof(name), "entry-%u.json", i + 1);
    snprintf(d->settings, sizeof(d->settings), "%s",
             sd_fleet_write(f, name, text));
    free(text);
}

static void
set_addresses(struct sd_fleet *f)
{
    unsigned net = f->opts.net;

    snprintf(f->store, TEXT_MAX, "127.%u.0.1:8000", net);
    snprintf(f->store_url, TEXT_MAX, "http://%s", f->store);
    snprintf(f->fabric, TEXT_MAX, "127.%u.0.2:6000", net);
    snprintf(f->back, TEXT_MAX, "127.%u.0.2:6001", net);
    snprintf(f->upstreams, TEXT_MAX, "127.%u.0.3:9100", net);
    snprintf(f->proxy, TEXT_MAX, "127.%u.0.5:5100", net);
    for (uint32_t i = 0; i < SD_FLEET_MAX; i++) {
        struct daemon *d = &f->daemons[i];
        snprintf(d->packets, TEXT_MAX, "127.%u.1.%u:7000", net, i + 1);
        snprintf(d->public, TEXT_MAX, "127.%u.%d.%u:7000", net,
                 f->opts.proxy ? 2 : 1, i + 1);
        snprintf(d->admin, TEXT_MAX, "127.%u.1.%u:8080", net, i + 1);
    }
}

/* --- talking to processes -------------------------------------------------
 */

static char *
get(struct sd_fleet *f, const char *host, const char *path)
{
    struct rg_http_reply r;
    char url[512];

    snprintf(url, sizeof(url), "http://%s%s", host, path);
    rg_http_call(f->http, "GET", url, (struct rg_str){0}, 0, &r);
    if (r.status != 200) {
        rg_http_reply_clear(&r);
        return NULL;
    }
    return r.body;
}

static bool
put(struct sd_fleet *f, const char *path, const char *text)
{
    struct rg_http_reply r;
    char url[512];

    snprintf(url, sizeof(url), "%s%s", f->store_url, path);
    rg_http_call(f->http, "PUT", url, rg_str_of(text), 0, &r);
    bool ok = r.status == 200;
    rg_http_reply_clear(&r);
    return ok;
}

/* One command and its answer over a control socket. */
static bool
command(const char *to, const char *text, char *out, size_t size)
{
    struct rg_addr addr = sd_addr(to);
    struct sockaddr_storage sa;
    socklen_t len = rg_addr_to_sock(&addr, &sa);
    struct timeval limit = {.tv_usec = COMMAND_TIMEOUT_MS * 1000};
    char answer[1024];
    ssize_t got = -1;
    int fd = socket(sa.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&sa, len) == 0) {
        uint64_t until = sd_now_ms() + COMMAND_TOTAL_MS;
        while (got < 0 && sd_now_ms() < until) {
            if (send(fd, text, strlen(text), 0) >= 0) {
                got = recv(fd, answer, sizeof(answer) - 1, 0);
            }
            if (got < 0) {
                sd_sleep_ms(POLL_MS); /* not listening yet */
            }
        }
    }
    close(fd);
    if (got >= 0 && out) {
        answer[got] = '\0';
        snprintf(out, size, "%s", answer);
    }
    return got >= 0;
}

typedef bool (*check_cb)(struct sd_fleet *f, uint32_t i, const void *arg);

static bool
wait_for(struct sd_fleet *f, uint32_t i, check_cb check, const void *arg,
         uint32_t timeout_ms)
{
    uint64_t until = sd_now_ms() + timeout_ms;

    while (!check(f, i, arg)) {
        if (sd_now_ms() >= until) {
            return false;
        }
        sd_sleep_ms(POLL_MS);
    }
    return true;
}

double
sd_fleet_metric(struct sd_fleet *f, uint32_t i, const char *name)
{
    char line[128];
    RG_AUTO_FREE char *text = get(f, f->daemons[i].admin, "/metrics");

    if (!text) {
        return -1;
    }
    snprintf(line, sizeof(line), "\nrattangap_%s ", name);
    const char *at = strstr(text, line);
    return at ? strtod(at + strlen(line), NULL) : -1;
}

double
sd_fleet_metric_sum(struct sd_fleet *f, const char *name)
{
    double sum = 0;

    for (uint32_t i = 0; i < f->slots; i++) {
        if (f->daemons[i].pid > 0) {
            double value = sd_fleet_metric(f, i, name);
            sum += value > 0 ? value : 0;
        }
    }
    return sum;
}

static bool
is_ready(struct sd_fleet *f, uint32_t i, const void *arg)
{
    RG_AUTO_FREE char *text = get(f, f->daemons[i].admin, "/ready");

    (void)arg;
    return text != NULL;
}

struct metric_check {
    const char *name;
    double value;
    bool exact;
};

static bool
has_metric(struct sd_fleet *f, uint32_t i, const void *arg)
{
    const struct metric_check *m = arg;
    double value = sd_fleet_metric(f, i, m->name);

    return m->exact ? value == m->value : value >= m->value;
}

bool
sd_fleet_wait_ready(struct sd_fleet *f, uint32_t i, uint32_t timeout_ms)
{
    return wait_for(f, i, is_ready, NULL, timeout_ms);
}

bool
sd_fleet_wait_members(struct sd_fleet *f, uint32_t i, uint32_t members,
                      uint32_t timeout_ms)
{
    struct metric_check m = {"members", members, true};

    return wait_for(f, i, has_metric, &m, timeout_ms);
}

bool
sd_fleet_wait_generation(struct sd_fleet *f, uint32_t i, uint64_t generation,
                         uint32_t timeout_ms)
{
    struct metric_check m = {"generation", (double)generation, false};

    return wait_for(f, i, has_metric, &m, timeout_ms);
}

bool
sd_fleet_wait_metric(struct sd_fleet *f, uint32_t i, const char *name,
                     double value, uint32_t timeout_ms)
{
    struct metric_check m = {name, value, false};

    return wait_for(f, i, has_metric, &m, timeout_ms);
}

bool
sd_fleet_upstreams(struct sd_fleet *f, const char *text, char *out,
                   size_t size)
{
    return command(f->upstreams, text, out, size);
}

bool
sd_fleet_proxy(struct sd_fleet *f, const char *text)
{
    return command(f->proxy, text, NULL, 0);
}

char *
sd_fleet_store(struct sd_fleet *f, const char *path)
{
    return get(f, f->store, path);
}

const char *
sd_fleet_store_url(const struct sd_fleet *f)
{
    return f->store_url;
}

void
sd_fleet_list_instances(struct sd_fleet *f, bool empty)
{
    char *text = NULL;
    size_t len;
    FILE *out = open_memstream(&text, &len);

    fprintf(out, "{\"instances\": [");
    for (uint32_t i = 0; i < f->slots && !empty; i++) {
        fprintf(out,
                "%s{\"address\": \"%s\", \"data_centre\": \"dc1\", "
                "\"state\": \"live\"}",
                i > 0 ? ", " : "", f->daemons[i].public);
    }
    fprintf(out, "]}");
    fclose(out);
    put(f, "/v1/instances", text);
    free(text);
}

/* --- daemons --------------------------------------------------------------
 */

void
sd_fleet_start(struct sd_fleet *f, uint32_t i)
{
    struct args a = {0};

    add(&a, "%s/rattangapd", f->bin);
    add(&a, "--settings=%s", f->daemons[i].settings);
    f->daemons[i].pid = start(&a, NULL);
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
sd_fleet_wait_end(struct sd_fleet *f, uint32_t i, uint32_t timeout_ms)
{
    if (!wait_for(f, i, has_ended, NULL, timeout_ms)) {
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
ctl_args(struct sd_fleet *f, const char *const *args, struct args *a)
{
    add(a, "%s/rattangapctl", f->bin);
    add(a, "--store=%s", f->store_url);
    add(a, "--team=ops");
    for (uint32_t i = 0; i < f->slots; i++) {
        if (f->daemons[i].pid > 0) {
            add(a, "--admin=%s", f->daemons[i].admin);
        }
    }
    for (; *args; args++) {
        add(a, "%s", *args);
    }
}

pid_t
sd_fleet_ctl_start(struct sd_fleet *f, const char *const *args)
{
    struct args a = {0};

    ctl_args(f, args, &a);
    return start(&a, NULL);
}

int
sd_fleet_ctl_end(pid_t pid)
{
    int status = 0;

    waitpid(pid, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static size_t
read_all(int fd, char *out, size_t size)
{
    size_t len = 0;
    ssize_t got;

    while (len + 1 < size && (got = read(fd, out + len, size - 1 - len)) > 0) {
        len += (size_t)got;
    }
    out[len] = '\0';
    close(fd);
    return len;
}

int
sd_fleet_ctl(struct sd_fleet *f, const char *const *args, char *out,
             size_t size)
{
    struct args a = {0};
    char text[65536];
    int fd;

    ctl_args(f, args, &a);
    pid_t pid = start(&a, &fd);
    read_all(fd, text, sizeof(text));
    if (out) {
        snprintf(out, size, "%s", text);
    }
    return sd_fleet_ctl_end(pid);
}

/* --- load -----------------------------------------------------------------
 */

void
sd_fleet_load_start(struct sd_fleet *f, const struct sd_load *load)
{
    struct args a = {0};

    f->loads++;
    add(&a, "%s/standin-callers", f->bin);
    for (int i = 0; i < 3; i++) {
        add(&a, "--section=%s", f->sections[i]);
    }
    add(&a, "--listen=127.%u.0.4:%u", f->opts.net, 5000 + f->loads * 2);
    add(&a, "--control=127.%u.0.4:%u", f->opts.net, 5001 + f->loads * 2);
    add(&a, "--fabric=%s", f->fabric);
    add(&a, "--upstreams=%s", f->upstreams);
    add(&a, "--net=%u", f->loads);
    add(&a, "--seed=%llu",
        (unsigned long long)(f->opts.seed + f->loads * 1000));
    add(&a, "--flows=%u", load->flows);
    add(&a, "--requests=%u", load->requests);
    add(&a, "--think-ms=%u", load->think_ms);
    add(&a, "--pause-ms=%u", load->pause_ms);
    add(&a, "--ramp-ms=%u", load->ramp_ms);
    add(&a, "--duration-ms=%u", load->duration_ms);
    if (load->only) {
        add(&a, "--only=%s", load->only);
    }
    if (load->verbose) {
        add(&a, "--verbose");
    }
    f->callers = start(&a, &f->callers_out);
}

void
sd_fleet_load_finish(struct sd_fleet *f)
{
    kill(f->callers, SIGUSR1);
}

bool
sd_fleet_load_runs(struct sd_fleet *f)
{
    siginfo_t info = {0};

    return waitid(P_PID, (id_t)f->callers, &info,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == 0;
}

static double
member_of(struct json_object *o, const char *key)
{
    struct json_object *v;

    return o && json_object_object_get_ex(o, key, &v)
               ? json_object_get_double(v)
               : -1;
}

static void
take_callers(struct sd_outcome *out, const char *text)
{
    struct json_object *o = json_tokener_parse(text);

    out->flows = member_of(o, "flows");
    out->opened = member_of(o, "opened");
    out->answered = member_of(o, "answered");
    out->broken = member_of(o, "broken");
    out->refused = member_of(o, "refused");
    out->unanswered = member_of(o, "unanswered");
    out->wrong = member_of(o, "wrong");
    out->false_refusals = member_of(o, "false_refusals");
    out->unsure_refusals = member_of(o, "unsure_refusals");
    out->wait_p50_ms = member_of(o, "wait_p50_ms");
    out->wait_p99_ms = member_of(o, "wait_p99_ms");
    json_object_put(o);
}

static void
take_upstreams(struct sd_outcome *out, const char *text)
{
    struct json_object *o = json_tokener_parse(text);

    out->requests = member_of(o, "requests");
    out->repeated = member_of(o, "repeated");
    out->misrouted = member_of(o, "misrouted");
    out->strays = member_of(o, "strays");
    out->bad = member_of(o, "bad");
    out->late_opens = member_of(o, "late_opens");
    out->imbalance = member_of(o, "imbalance");
    json_object_put(o);
}

bool
sd_fleet_load_end(struct sd_fleet *f, struct sd_outcome *out)
{
    char text[4096];
    uint64_t until = sd_now_ms() + LOAD_TIMEOUT_MS;

    memset(out, 0, sizeof(*out));
    while (sd_fleet_load_runs(f) && sd_now_ms() < until) {
        sd_sleep_ms(POLL_MS);
    }
    bool ended = !sd_fleet_load_runs(f);
    if (!ended) {
        kill(f->callers, SIGKILL);
    }
    read_all(f->callers_out, text, sizeof(text));
    waitpid(f->callers, NULL, 0);
    f->callers = 0;
    take_callers(out, text);
    if (sd_fleet_upstreams(f, "stats", text, sizeof(text))) {
        take_upstreams(out, text);
    }
    return ended;
}

/* --- setting up -----------------------------------------------------------
 */

static void
start_store(struct sd_fleet *f)
{
    struct args a = {0};

    add(&a, "%s/standin-store", f->bin);
    add(&a, "--listen=%s", f->store);
    f->pids[f->pid_count++] = start(&a, NULL);
    uint64_t until = sd_now_ms() + START_TIMEOUT_MS;
    char *text;
    while ((text = sd_fleet_store(f, "/stats")) == NULL) {
        if (sd_now_ms() > until) {
            sd_die("the store does not start");
        }
        sd_sleep_ms(POLL_MS);
    }
    free(text);
}

static void
start_proxy(struct sd_fleet *f)
{
    struct args a = {0};

    add(&a, "%s/standin-proxy", f->bin);
    add(&a, "--control=%s", f->proxy);
    add(&a, "--seed=%llu", (unsigned long long)f->opts.seed);
    for (uint32_t i = 0; i < f->slots; i++) {
        add(&a, "--pair=d%u=%s,%s", i, f->daemons[i].public,
            f->daemons[i].packets);
        add(&a, "--pair=s%u=127.%u.3.%u:8000,%s", i, f->opts.net, i + 1,
            f->store);
    }
    f->pids[f->pid_count++] = start(&a, NULL);
    if (!sd_fleet_proxy(f, "loss 0")) {
        sd_die("the proxy does not start");
    }
}

static void
start_upstreams(struct sd_fleet *f)
{
    struct args a = {0};

    add(&a, "%s/standin-upstreams", f->bin);
    for (int i = 0; i < 3; i++) {
        add(&a, "--section=%s", f->sections[i]);
    }
    add(&a, "--return=%s", f->back);
    add(&a, "--control=%s", f->upstreams);
    add(&a, "--service-ms=%u", f->opts.service_ms);
    f->pids[f->pid_count++] = start(&a, NULL);
    if (!sd_fleet_upstreams(f, "stats", NULL, 0)) {
        sd_die("the upstreams do not start");
    }
}

static void
start_fabric(struct sd_fleet *f)
{
    struct args a = {0};

    add(&a, "%s/standin-fabric", f->bin);
    add(&a, "--listen=%s", f->fabric);
    add(&a, "--return=%s", f->back);
    add(&a, "--seed=%llu", (unsigned long long)f->opts.seed);
    add(&a, "--drop=%u", f->opts.drop_permille);
    add(&a, "--double=%u", f->opts.double_permille);
    add(&a, "--delay=%u", f->opts.delay_permille);
    for (uint32_t i = 0; i < f->slots; i++) {
        add(&a, "--target=%s,%s", f->daemons[i].packets, f->daemons[i].admin);
    }
    f->pids[f->pid_count++] = start(&a, NULL);
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
    set_addresses(f);
    write_sections(f);
    start_store(f);
    publish(f);
    for (uint32_t i = 0; i < f->slots; i++) {
        write_settings(f, i);
    }
    sd_fleet_list_instances(f, false);
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

static void
remove_files(struct sd_fleet *f)
{
    char path[TEXT_MAX * 3];
    static const char *const names[] = {"sites", "storefront", "gallery",
                                        "edit"};

    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        snprintf(path, sizeof(path), "%s/%s.json", f->dir, names[i]);
        unlink(path);
    }
    for (uint32_t i = 0; i < f->slots; i++) {
        unlink(f->daemons[i].settings);
    }
    rmdir(f->dir);
}

void
sd_fleet_destroy(struct sd_fleet *f)
{
    for (uint32_t i = 0; i < f->slots; i++) {
        end_process(f->daemons[i].pid);
    }
    end_process(f->callers);
    for (size_t i = f->pid_count; i > 0; i--) {
        end_process(f->pids[i - 1]);
    }
    rg_http_destroy(f->http);
    remove_files(f);
    free(f);
}
