/* Machines that run rattangap-edge, and the platform's part in them: it starts
 * and stops the processes, checks their readiness, and routes packets. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "sim.h"

#define PROGRAM "target/rattangap-edge"
#define RESTART_MS 200
#define PROBE_PERIOD_MS 500
#define PROBE_TIMEOUT_MS 400
#define MISSES_MAX 2

/* EvacuateMs, ColdOverrun and ColdSlack of demands/kayal-edge-grown.toml. */
static const char later_bounds[] = "  \"evacuate_ms\": 5000,\n"
                                   "  \"cold_overrun\": 1.5,\n"
                                   "  \"cold_slack\": 5,\n";

/* The settings that the platform makes of deploy/settings.json. */
static void
write_settings(const struct sim *s, const struct machine *m)
{
    char ip[INET_ADDRSTRLEN];
    char store[INET_ADDRSTRLEN];
    struct in_addr store_ip = sim_address(s, STORE_NET, 1);
    FILE *out = fopen(m->settings, "w");

    if (!out) {
        return;
    }
    inet_ntop(AF_INET, &m->ip, ip, sizeof(ip));
    inet_ntop(AF_INET, &store_ip, store, sizeof(store));
    fprintf(out,
            "{\n"
            "  \"name\": \"front-gt-central-a-%d\",\n"
            "  \"data_centre\": \"gt-central-a\",\n"
            "  \"packet_address\": \"%s:%d\",\n"
            "  \"health_address\": \"%s:%d\",\n"
            "  \"metrics_address\": \"%s:%d\",\n"
            "  \"drain_ms\": %u,\n"
            "  \"apply_ms\": %u,\n"
            "%s"
            "  \"grace_s\": %d,\n"
            "  \"flow_age_s\": %d,\n"
            "  \"peer_address\": \"%s:%d\",\n"
            "  \"store\": { \"address\": \"%s:%d\" }\n"
            "}\n",
            m->index + 1, ip, s->ports.datagram, ip, s->ports.ready, ip,
            s->ports.metrics, s->drain_ms, s->config_apply_ms,
            s->has_later_bounds ? later_bounds : "", GRACE_S, MAX_FLOW_S, ip,
            s->ports.peer, store, s->ports.store);
    fclose(out);
}

static void
run_program(const struct sim *s, const struct machine *m)
{
    char log[220];
    int fd;

    prctl(PR_SET_PDEATHSIG, SIGKILL);
    snprintf(log, sizeof(log), "%s/machine-%d.log", s->dir, m->index + 1);
    fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    close(fd);
    execl(PROGRAM, PROGRAM, "--settings", m->settings, (char *)NULL);
    _exit(127);
}

void
machines_start(struct sim *s, struct machine *m)
{
    snprintf(m->settings, sizeof(m->settings), "%s/machine-%d.json", s->dir,
             m->index + 1);
    write_settings(s, m);
    fflush(s->record);
    int pid = fork();
    if (pid == 0) {
        run_program(s, m);
    }
    m->pid = pid;
    m->stopping = false;
    m->restart_ms = 0;
    m->disturbed_ms = s->now_ms;
    sim_note(s, "machine %d: started", m->index + 1);
}

void
machines_signal(struct sim *s, struct machine *m, int signum)
{
    if (m->pid > 0) {
        m->stopping = m->stopping || signum == SIGTERM || signum == SIGKILL;
        m->disturbed_ms = s->now_ms;
        kill(m->pid, signum);
        sim_note(s, "machine %d: signal %d", m->index + 1, signum);
    }
}

static void
check_end(struct sim *s, struct machine *m)
{
    int status;

    if (m->pid <= 0 || waitpid(m->pid, &status, WNOHANG) != m->pid) {
        return;
    }
    m->pid = 0;
    m->restart_ms = s->now_ms + RESTART_MS;
    m->disturbed_ms = s->now_ms;
    if (m->stopping) {
        sim_note(s, "machine %d: ended", m->index + 1);
        return;
    }
    s->ended_alone++;
    m->ended_alone++;
    sim_note(s, "BROKEN: machine %d: the process ended by itself, %s %d",
             m->index + 1, WIFSIGNALED(status) ? "signal" : "status",
             WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
}

/* --- status checks ------------------------------------------------------- */

static void
end_probe(struct sim *s, struct machine *m, bool ok)
{
    bool before = m->in_rotation;

    close(m->probe_fd);
    m->probe_fd = -1;
    m->misses = ok ? 0 : m->misses + 1;
    if (ok) {
        m->in_rotation = true;
    }
    else if (m->misses >= MISSES_MAX) {
        m->in_rotation = false;
    }
    if (before != m->in_rotation) {
        sim_note(s, "machine %d: %s rotation", m->index + 1,
                 m->in_rotation ? "in" : "out of");
    }
}

static void
begin_probe(const struct sim *s, struct machine *m)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons(s->ports.ready),
                             .sin_addr = m->ip};

    m->probe_ms = s->now_ms;
    m->probe_sent = false;
    m->probe_fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    (void)!connect(m->probe_fd, (struct sockaddr *)&sa, sizeof(sa));
}

static void
step_probe(struct sim *s, struct machine *m)
{
    static const char request[] =
        "GET /v1/readiness HTTP/1.1\r\nHost: machine\r\n\r\n";
    char in[512];
    ssize_t n;

    if (m->probe_fd < 0) {
        if (s->now_ms - m->probe_ms >= PROBE_PERIOD_MS) {
            begin_probe(s, m);
        }
        return;
    }
    if (!m->probe_sent) {
        n = send(m->probe_fd, request, sizeof(request) - 1, MSG_NOSIGNAL);
        m->probe_sent = n > 0;
        if (n < 0 && errno != EAGAIN && errno != ENOTCONN) {
            end_probe(s, m, false);
            return;
        }
    }
    n = m->probe_sent ? recv(m->probe_fd, in, sizeof(in) - 1, 0) : -1;
    if (n > 0) {
        in[n] = '\0';
        end_probe(s, m, strncmp(in, "HTTP/1.1 200", 12) == 0);
    }
    else if (n == 0 || s->now_ms - m->probe_ms >= PROBE_TIMEOUT_MS) {
        end_probe(s, m, false);
    }
}

/* --- routers ------------------------------------------------------------- */

struct machine *
machines_by_address(struct sim *s, struct in_addr ip)
{
    for (int i = 0; i < s->machine_count; i++) {
        if (s->machines[i].ip.s_addr == ip.s_addr) {
            return &s->machines[i];
        }
    }
    return NULL;
}

/* HashScheme `steady`: only the flows of a machine that leaves move. */
struct machine *
machines_route(struct sim *s, uint32_t caller, uint16_t port)
{
    struct machine *best = NULL;
    uint64_t best_score = 0;
    int in_rotation = 0;

    for (int i = 0; i < s->machine_count; i++) {
        in_rotation += s->machines[i].in_rotation;
    }
    bool all = in_rotation * 2 < s->machine_count;
    for (int i = 0; i < s->machine_count; i++) {
        struct sim draw = {.rand = (uint64_t)caller << 32 |
                                   (uint64_t)port << 8 | (uint64_t)i};
        uint64_t score = sim_random(&draw);
        if ((all || s->machines[i].in_rotation) &&
            (!best || score > best_score)) {
            best = &s->machines[i];
            best_score = score;
        }
    }
    return best;
}

bool
machines_ready(const struct sim *s)
{
    for (int i = 0; i < s->machine_count; i++) {
        if (!s->machines[i].in_rotation) {
            return false;
        }
    }
    return true;
}

bool
machines_in_touch(const struct sim *s, const struct machine *m)
{
    return m->pid > 0 && s->now_ms - m->disturbed_ms >= s->stable_window_ms;
}

/* --- time ---------------------------------------------------------------- */

size_t
machines_poll_fds(struct sim *s, struct pollfd *out, size_t max)
{
    size_t n = 0;

    for (int i = 0; i < s->machine_count && n < max; i++) {
        const struct machine *m = &s->machines[i];
        if (m->probe_fd >= 0) {
            out[n++] = (struct pollfd){
                .fd = m->probe_fd, .events = m->probe_sent ? POLLIN : POLLOUT};
        }
    }
    return n;
}

void
machines_step(struct sim *s)
{
    for (int i = 0; i < s->machine_count; i++) {
        struct machine *m = &s->machines[i];
        check_end(s, m);
        if (m->restart_ms != 0 && s->now_ms >= m->restart_ms) {
            machines_start(s, m);
        }
        step_probe(s, m);
    }
}

void
machines_end(struct sim *s)
{
    for (int i = 0; i < s->machine_count; i++) {
        struct machine *m = &s->machines[i];
        if (m->pid > 0) {
            kill(m->pid, SIGKILL);
            waitpid(m->pid, NULL, 0);
            m->pid = 0;
        }
    }
}
