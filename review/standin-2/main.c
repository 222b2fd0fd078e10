/* sim CASE DIR RECORD SEED: plays a case against rattangap-edge processes.
 * Exits with 1 if its rule was broken, 0 if it held, 2 if it could not run. */
#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "sim.h"

#define FDS_MAX 256
#define READY_MS 15000
/* Second bytes of loopback addresses to try. */
#define NET_FIRST 130
#define NET_LAST 240
/* And ports, below those that the system hands out. */
#define PORT_FIRST 8000
#define PORT_STEP 10

static volatile sig_atomic_t stopped;

static void
on_signal(int signum)
{
    (void)signum;
    stopped = 1;
}

static uint64_t
monotonic_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/* Waits for something to do, a millisecond at most. */
static void
wait_for_input(struct sim *s)
{
    struct pollfd fds[FDS_MAX];
    size_t n = store_poll_fds(fds, FDS_MAX / 2);

    n += machines_poll_fds(s, fds + n, FDS_MAX / 4);
    for (int i = 0; i < s->host_count; i++) {
        fds[n++] = (struct pollfd){.fd = s->hosts[i].fd, .events = POLLIN};
    }
    for (int i = 0; i < CONSUMERS; i++) {
        fds[n++] = (struct pollfd){.fd = consumers_fd(i), .events = POLLIN};
    }
    poll(fds, n, 1);
    s->now_ms = monotonic_ms() - s->start_ms;
}

static void
step(struct sim *s)
{
    wait_for_input(s);
    sim_deliver(s);
    store_step(s);
    hosts_step(s);
    machines_step(s);
}

static bool
is_free(struct in_addr ip, uint16_t port, int type)
{
    struct sockaddr_in sa = {
        .sin_family = AF_INET, .sin_port = htons(port), .sin_addr = ip};
    int on = 1;
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

    if (type == SOCK_STREAM) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    bool free = bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0;
    close(fd);
    return free;
}

static bool
machine_is_free(const struct sim *s, int index)
{
    struct in_addr ip = sim_address(s, MACHINE_NET, index + 1);
    const struct ports *p = &s->ports;

    return is_free(ip, p->datagram, SOCK_DGRAM) &&
           is_free(ip, p->peer, SOCK_DGRAM) &&
           is_free(ip, p->peer, SOCK_STREAM) &&
           is_free(ip, p->ready, SOCK_STREAM) &&
           is_free(ip, p->metrics, SOCK_STREAM);
}

/* True if nothing else uses the addresses and ports of the run. */
static bool
all_are_free(const struct sim *s)
{
    bool free =
        is_free(sim_address(s, STORE_NET, 1), s->ports.store, SOCK_STREAM);

    for (int i = 0; i < MACHINES_MAX; i++) {
        free = free && machine_is_free(s, i);
    }
    for (int i = 0; i < HOSTS_MAX; i++) {
        free = free && is_free(sim_address(s, HOST_NET, i + 1), s->ports.host,
                               SOCK_DGRAM);
    }
    for (int i = 0; i < CONSUMERS; i++) {
        free = free && is_free(sim_address(s, CONSUMER_NET, i + 1),
                               s->ports.datagram, SOCK_DGRAM);
    }
    return free;
}

/* Finds loopback addresses and ports that are free. */
static bool
find_addresses(struct sim *s)
{
    int nets = NET_LAST - NET_FIRST + 1;
    int first = (int)(getpid() % nets);

    for (int i = 0; i < nets; i++) {
        int n = (first + i) % nets;
        uint16_t base = (uint16_t)(PORT_FIRST + n * PORT_STEP);
        s->net = NET_FIRST + n;
        s->ports = (struct ports){base,     base + 1, base + 2,
                                  base + 3, base + 4, base + 5};
        if (all_are_free(s)) {
            return true;
        }
    }
    return false;
}

static bool
start(struct sim *s, const struct scenario *c)
{
    if (!find_addresses(s) || !store_start(s)) {
        return false;
    }
    c->setup(s);
    operator_put_config(s);
    for (int i = 0; i < s->machine_count; i++) {
        struct machine *m = &s->machines[i];
        *m = (struct machine){.index = i,
                              .ip = sim_address(s, MACHINE_NET, i + 1),
                              .probe_fd = -1};
        machines_start(s, m);
    }
    return hosts_open(s) && consumers_open(s);
}

static void
report(struct sim *s, const struct scenario *c, bool broken)
{
    char line[400];

    snprintf(
        line, sizeof(line),
        "%s trouble=%d asked=%u served=%u refused=%u lost=%u lost_by_fault=%u "
        "runs=%u run_twice=%u FLOW=%u DRAIN=%u UNASKED=%u "
        "ended_alone=%u: %s",
        c->name, s->trouble, s->asked, s->served, s->refused, s->lost,
        s->lost_by_fault, s->runs, s->run_twice, s->flow_broken,
        s->drain_broken, s->unasked, s->ended_alone,
        broken ? "BROKEN" : "held");
    sim_note(s, "%s", line);
    puts(line);
}

/* Plays the case; false if the machines never became ready. */
static bool
play(struct sim *s, const struct scenario *c)
{
    uint64_t wait_from = monotonic_ms();

    s->start_ms = wait_from;
    while (!machines_ready(s) && !stopped) {
        step(s);
        if (s->now_ms > READY_MS || s->ended_alone > 0) {
            return false;
        }
    }
    /* Traffic starts now. */
    uint64_t offset = s->now_ms;
    uint64_t end_ms = offset + (uint64_t)c->seconds * 1000;
    while (s->now_ms < end_ms && !stopped) {
        step(s);
        consumers_step(s);
        c->step(s);
    }
    return !stopped;
}

int
main(int argc, char **argv)
{
    static struct sim s;
    const struct scenario *c = argc > 4 ? case_find(argv[1]) : NULL;
    const char *trouble = getenv("TROUBLE");

    if (!c) {
        fprintf(stderr, "usage: sim CASE DIR RECORD SEED\n");
        return 2;
    }
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGPIPE, SIG_IGN);
    s.dir = argv[2];
    s.record = fopen(argv[3], "w");
    s.rand = strtoull(argv[4], NULL, 10);
    s.drain_ms = DRAIN_MS;
    s.config_apply_ms = CONFIG_APPLY_MS;
    s.stable_window_ms = STABLE_WINDOW_MS;
    s.trouble = !trouble || strcmp(trouble, "0") != 0;
    if (!s.record) {
        return 2;
    }
    bool played = start(&s, c) && play(&s, c);
    machines_end(&s);
    bool broken = played && c->broken(&s);
    report(&s, c, broken);
    fclose(s.record);
    if (!played) {
        return 2;
    }
    return broken ? 1 : 0;
}
