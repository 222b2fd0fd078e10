/* Queries and commands to a fleet's processes, and waiting for conditions. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/mem.h"
#include "standin/common.h"
#include "standin/fleet_priv.h"
#include "standin/process.h"

#define COMMAND_TIMEOUT_MS 500 /* of one attempt */
#define COMMAND_TOTAL_MS 5000  /* of all attempts while a process starts */

static char *
http_get(struct sd_fleet *f, const char *host, const char *path)
{
    struct rg_http_result r;
    char url[512];

    snprintf(url, sizeof(url), "http://%s%s", host, path);
    rg_http_call(f->http, "GET", url, (struct rg_str){0}, 0, &r);
    if (r.status != 200) {
        rg_http_result_clear(&r);
        return NULL;
    }
    return r.body;
}

static bool
store_put(struct sd_fleet *f, const char *path, const char *text)
{
    struct rg_http_result r;
    char url[512];

    snprintf(url, sizeof(url), "%s%s", f->store_url, path);
    rg_http_call(f->http, "PUT", url, rg_str_of(text), 0, &r);
    bool ok = r.status == 200;
    rg_http_result_clear(&r);
    return ok;
}

/* Sends a command to a control socket and reads the answer. */
static bool
send_command(const char *to, const char *text, char *out, size_t size)
{
    struct rg_addr addr = sd_parse_addr(to);
    struct sockaddr_storage sa;
    socklen_t len = rg_addr_to_sock(&addr, &sa);
    struct timeval timeout = {.tv_usec = COMMAND_TIMEOUT_MS * 1000};
    char answer[1024];
    ssize_t got = -1;
    int fd = socket(sa.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (connect(fd, (struct sockaddr *)&sa, len) == 0) {
        uint64_t until = rg_clock_ms() + COMMAND_TOTAL_MS;
        while (got < 0 && rg_clock_ms() < until) {
            if (send(fd, text, strlen(text), 0) >= 0) {
                got = recv(fd, answer, sizeof(answer) - 1, 0);
            }
            if (got < 0) {
                sd_sleep_ms(POLL_MS); /* it may not listen yet */
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

bool
sd_fleet_wait_until(struct sd_fleet *f, uint32_t i, sd_fleet_check_cb check,
                    const void *arg, uint32_t timeout_ms)
{
    uint64_t until = rg_clock_ms() + timeout_ms;

    while (!check(f, i, arg)) {
        if (rg_clock_ms() >= until) {
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
    RG_AUTO_FREE char *text = http_get(f, f->daemons[i].admin, "/metrics");

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

    for (uint32_t i = 0; i < f->max_daemons; i++) {
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
    RG_AUTO_FREE char *text = http_get(f, f->daemons[i].admin, "/ready");

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
    return sd_fleet_wait_until(f, i, is_ready, NULL, timeout_ms);
}

bool
sd_fleet_wait_members(struct sd_fleet *f, uint32_t i, uint32_t members,
                      uint32_t timeout_ms)
{
    struct metric_check m = {"members", members, true};

    return sd_fleet_wait_until(f, i, has_metric, &m, timeout_ms);
}

bool
sd_fleet_wait_generation(struct sd_fleet *f, uint32_t i, uint64_t generation,
                         uint32_t timeout_ms)
{
    struct metric_check m = {"generation", (double)generation, false};

    return sd_fleet_wait_until(f, i, has_metric, &m, timeout_ms);
}

bool
sd_fleet_wait_metric(struct sd_fleet *f, uint32_t i, const char *name,
                     double value, uint32_t timeout_ms)
{
    struct metric_check m = {name, value, false};

    return sd_fleet_wait_until(f, i, has_metric, &m, timeout_ms);
}

bool
sd_fleet_upstreams_command(struct sd_fleet *f, const char *text, char *out,
                           size_t size)
{
    return send_command(f->upstreams, text, out, size);
}

bool
sd_fleet_proxy_command(struct sd_fleet *f, const char *text)
{
    return send_command(f->proxy, text, NULL, 0);
}

char *
sd_fleet_store_get(struct sd_fleet *f, const char *path)
{
    return http_get(f, f->store, path);
}

const char *
sd_fleet_store_url(const struct sd_fleet *f)
{
    return f->store_url;
}

void
sd_fleet_publish_instances(struct sd_fleet *f, bool empty)
{
    char *text = NULL;
    size_t len;
    FILE *out = open_memstream(&text, &len);

    fprintf(out, "{\"instances\": [");
    for (uint32_t i = 0; i < f->max_daemons && !empty; i++) {
        fprintf(out,
                "%s{\"address\": \"%s\", \"data_centre\": \"dc1\", "
                "\"state\": \"live\"}",
                i > 0 ? ", " : "", f->daemons[i].public);
    }
    fprintf(out, "]}");
    fclose(out);
    store_put(f, "/v1/instances", text);
    free(text);
}
