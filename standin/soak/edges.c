/* The processes under test: starts, signals and restarts them, and checks
 * their readiness twice a second as the fabric does. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

#include "edge/http_client.h"
#include "standin/soak/soak.h"

#define HEALTH_PORT 5301
#define RESTART_MS 150
#define READY_TIMEOUT_MS 400

static void
write_settings(struct soak *s, struct soak_edge *e)
{
    char own[32];
    char proxy[32];
    char store[32];
    FILE *out = fopen(e->settings, "w");

    soak_ip(s, 1, e->index + 1, own);
    soak_ip(s, SOAK_PROXY_SUBNET, e->index + 1, proxy);
    soak_ip(s, 0, SOAK_STORE_IP_FIRST + e->index, store);
    if (!out) {
        soak_fail(s, "cannot write settings file %s", e->settings);
        return;
    }
    fprintf(out,
            "{\"name\": \"edge-%d\", \"data_centre\": \"z%d\",\n"
            " \"packet_address\": \"%s:%d\", \"health_address\": \"%s:%d\",\n"
            " \"peer_address\": \"%s:%d\",\n"
            " \"peer_advertise\": \"%s:%d\", \"drain_ms\": %d,\n"
            " \"apply_ms\": %d, \"evacuate_ms\": %d,\n"
            " \"grace_s\": %g, \"flow_age_s\": 30,\n"
            " \"log_lines_per_s\": 2000,\n"
            " \"store\": {\"address\": \"%s:8169\"}}\n",
            e->index, e->index % 2, own, SOAK_PACKET_PORT, own, HEALTH_PORT,
            own, SOAK_PEER_PORT, proxy, SOAK_PEER_PORT, SOAK_DRAIN_MS,
            SOAK_APPLY_MS, SOAK_EVACUATE_MS, SOAK_GRACE_MS / 1000.0, store);
    fclose(out);
}

static void
on_ready_answer(void *ctx, const struct rg_http_response *answer)
{
    struct soak_edge *e = ctx;

    if (answer->status == 200) {
        e->failed_checks = 0;
        e->ready = true;
    }
    else if (++e->failed_checks >= 2) {
        e->ready = false;
    }
}

static void
on_edge_exit(uv_process_t *process, int64_t status, int signum)
{
    struct soak_edge *e = process->data;
    struct soak *s = process->loop->data;

    e->running = false;
    if (!e->exit_expected) {
        soak_fail(s, "edge %d exited unexpectedly: status %d, signal %d",
                  e->index, (int)status, signum);
    }
    e->disturbed_ms = s->now_ms;
    e->killed = e->killed || signum != 0;
    e->restart_ms = s->now_ms + RESTART_MS;
    uv_close((uv_handle_t *)process, NULL);
}

static void
create_ready_client(struct soak *s, struct soak_edge *e)
{
    struct rg_http_client_opts opts = {
        .loop = &s->loop,
        .connect_ms = READY_TIMEOUT_MS,
        .idle_ms = READY_TIMEOUT_MS,
        .body_max = 1024,
        .cb = on_ready_answer,
        .ctx = e,
    };
    char text[48];
    char ip[32];

    soak_ip(s, 1, e->index + 1, ip);
    snprintf(text, sizeof(text), "%s:%d", ip, HEALTH_PORT);
    rg_addr_parse(&opts.server, text);
    e->ready_client = rg_http_client_create(&opts);
}

void
soak_edge_start(struct soak *s, struct soak_edge *e)
{
    char *args[] = {(char *)s->binary, "--settings", e->settings, NULL};
    uv_stdio_container_t stdio[3] = {{.flags = UV_IGNORE}};
    uv_process_options_t opts = {
        .file = s->binary,
        .args = args,
        .exit_cb = on_edge_exit,
        .stdio = stdio,
        .stdio_count = 3,
    };
    int fd = open(e->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

    if (!e->ready_client) {
        soak_proxy_start(s, e);
        write_settings(s, e);
        create_ready_client(s, e);
    }
    for (int i = 1; i < 3; i++) {
        stdio[i].flags = UV_INHERIT_FD;
        stdio[i].data.fd = fd;
    }
    e->process.data = e;
    e->exit_expected = false;
    e->killed = false;
    e->late_reported = false;
    e->started_ms = s->now_ms;
    e->restart_ms = 0;
    int rc = uv_spawn(&s->loop, &e->process, &opts);
    close(fd);
    e->running = rc == 0;
    if (rc < 0) {
        soak_fail(s, "cannot start %s: %s", s->binary, uv_strerror(rc));
    }
}

void
soak_edge_signal(struct soak *s, struct soak_edge *e, int signum)
{
    if (!e->running) {
        return;
    }
    e->exit_expected =
        e->exit_expected || signum == SIGTERM || signum == SIGKILL;
    e->killed = e->killed || signum == SIGKILL;
    e->stopped = signum == SIGSTOP || (e->stopped && signum != SIGCONT);
    e->disturbed_ms = s->now_ms;
    uv_process_kill(&e->process, signum);
}

void
soak_edges_check_ready(struct soak *s)
{
    for (int i = 0; i < s->edge_count; i++) {
        struct soak_edge *e = &s->edges[i];
        if (!rg_http_client_busy(e->ready_client)) {
            rg_http_client_get(e->ready_client, "/ready", READY_TIMEOUT_MS);
        }
    }
}

/* True if the store and peers of the instance are both faulty: it cannot keep
 * its view up to date then. */
static bool
is_cut_off(const struct soak_edge *e)
{
    return e->store_fault && (e->peers_fault || e->ignored_edge);
}

/* Reports an instance that is not ready in time. It must get its view from its
 * peers if the store does not answer it. */
static void
check_ready(struct soak *s, struct soak_edge *e)
{
    bool peer_ready = false;

    for (int i = 0; i < s->edge_count; i++) {
        const struct soak_edge *other = &s->edges[i];
        peer_ready |= other != e && other->ready && !other->stopped &&
                      soak_is_settled(s, other->disturbed_ms);
    }
    if (!e->running || e->exit_expected || e->ready || e->late_reported ||
        !peer_ready || !soak_is_settled(s, s->store_disturbed_ms) ||
        s->now_ms - MAX(e->started_ms, e->disturbed_ms) < SOAK_READY_MS)
    {
        return;
    }
    e->late_reported = true;
    soak_fail(s, "edge %d is not ready %lu ms after its start", e->index,
              s->now_ms - e->started_ms);
}

void
soak_edges_tick(struct soak *s)
{
    for (int i = 0; i < s->edge_count; i++) {
        struct soak_edge *e = &s->edges[i];
        if (is_cut_off(e)) {
            e->disturbed_ms = s->now_ms;
        }
        if (e->stopped || e->killed || is_cut_off(e)) {
            e->unplanned_ms = s->now_ms;
        }
        check_ready(s, e);
        if (e->stopped || !e->running) {
            e->disturbed_ms = s->now_ms;
        }
        if (e->restart_ms && s->now_ms >= e->restart_ms) {
            e->stopped = false;
            soak_edge_start(s, e);
        }
    }
}
