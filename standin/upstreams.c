/* Stand-in for the upstreams of a document: each is a small TCP or UDP server
 * on an address of its own. Counts misrouted packets, requests executed twice
 * and the imbalance of open connections.
 *
 * The control socket (UDP, one command per datagram) takes queries and faults:
 * executed FLOW | leave NAME | silence NAME 0|1 | slow NAME MS |
 * shed NAME 0|1 | stats. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/mem.h"
#include "core/packet.h"
#include "standin/common.h"
#include "standin/conns.h"
#include "standin/executed.h"

#define UPSTREAMS_MAX 1024
#define SECTIONS_MAX 16
#define SLOTS 2
#define CONNECTIONS_MAX 2000
#define SAMPLE_MS 250
#define UDP_IDLE_MS 10000
#define DEFAULT_SERVICE_MS 2

/* A request that is being executed or waits for a slot. */
struct job {
    struct sd_conn *conn;
    struct sd_request request;
    uint64_t done_ms;
};

struct upstream {
    const struct rg_config_upstream *config;
    struct sd_udp udp;
    uint32_t index;
    uint32_t open;
    uint64_t slot_free_ms[SLOTS];
    uint32_t service_ms;
    bool leaving;          /* excluded from the imbalance */
    bool silent;           /* drops all packets */
    bool shed;             /* refuses new connections */
    uint64_t leave_ms;     /* time of the `leave` command; 0: none */
    uint64_t last_open_ms; /* when the last connection was opened */
    uint64_t opened;
};

/* Imbalance of open connections within a service, summed over samples. */
struct imbalance {
    double max_over_mean;
    uint64_t samples;
};

static struct {
    uv_loop_t loop;
    const struct rg_config *config;
    struct upstream *upstreams;
    struct imbalance *imbalance; /* one per service */
    struct sd_conns *conns;
    struct job *jobs;
    size_t job_count;
    size_t job_capacity;
    struct sd_executed *executed;
    uv_timer_t timer;
    struct sd_udp control;
    struct rg_addr control_addr;
    struct rg_addr return_addr;
    uint32_t service_ms;
    uint32_t min_flows;
    uint64_t requests;
    uint64_t repeated;
    uint64_t misrouted;
    uint64_t strays; /* segments that fit no connection, except FINs */
    uint64_t bad_requests;
    uint64_t refused;
    uint64_t late_opens; /* opened more than LEAVE_GRACE_MS after `leave` */
    char *sections[SECTIONS_MAX];
    size_t section_count;
} server = {.service_ms = DEFAULT_SERVICE_MS, .min_flows = 20};

/* An upstream may get new connections for this long after `leave`. */
#define LEAVE_GRACE_MS 3000

/* --- connections ----------------------------------------------------------
 */

static struct sd_conn *
open_conn(struct upstream *u, const struct rg_flow_key *key)
{
    struct sd_conn *c = sd_conns_add(server.conns, u->index, key);

    c->last_packet_ms = rg_clock_ms();
    u->open++;
    u->opened++;
    u->last_open_ms = c->last_packet_ms;
    if (u->leave_ms && c->last_packet_ms - u->leave_ms > LEAVE_GRACE_MS) {
        server.late_opens++;
    }
    return c;
}

static void
close_conn(struct sd_conn *c)
{
    server.upstreams[c->upstream].open--;
    for (size_t i = 0; i < server.job_count; i++) {
        if (server.jobs[i].conn == c) {
            server.jobs[i] = server.jobs[--server.job_count];
            i--;
        }
    }
    sd_conns_remove(server.conns, c);
}

/* --- sending --------------------------------------------------------------
 */

static void
send_to_caller(struct upstream *u, const struct rg_packet *p)
{
    uint8_t out[SD_DATAGRAM_MAX];
    size_t len = rg_packet_build(out, sizeof(out), p);

    if (len > 0 && !u->silent) {
        sd_udp_send(&u->udp, &server.return_addr, out, len);
    }
}

static void
send_segment(struct upstream *u, const struct rg_flow_key *key, uint8_t flags,
             uint32_t seq, uint32_t ack)
{
    struct rg_packet p = {
        .key = rg_flow_key_reverse(key),
        .tcp_flags = flags,
        .tcp_seq = seq,
        .tcp_ack = ack,
    };

    send_to_caller(u, &p);
}

/* Writes an answer, header and body, and returns its length. */
static size_t
build_answer(const struct upstream *u, const struct sd_request *r,
             uint8_t *out)
{
    struct sd_request header = *r;

    header.magic = SD_ANSWER;
    header.upstream = u->index;
    header.checksum = sd_request_checksum(&header);
    memcpy(out, &header, sizeof(header));
    for (uint32_t i = 0; i < r->answer_len; i++) {
        out[sizeof(header) + i] = sd_answer_byte(r->flow, r->seq, i);
    }
    return sizeof(header) + r->answer_len;
}

static void
send_answer(struct upstream *u, struct sd_conn *c)
{
    uint8_t answer[sizeof(struct sd_request) + SD_ANSWER_MAX];
    size_t len = build_answer(u, &c->last_request, answer);

    for (size_t at = 0; at < len; at += SD_SEGMENT_MAX) {
        struct rg_packet p = {
            .key = rg_flow_key_reverse(&c->key),
            .tcp_flags = RG_TCP_ACK,
            .tcp_seq = c->answer_seq + (uint32_t)at,
            .tcp_ack = c->rcv_next,
            .payload = answer + at,
            .payload_len =
                len - at < SD_SEGMENT_MAX ? len - at : SD_SEGMENT_MAX,
        };
        send_to_caller(u, &p);
    }
}

static void
send_datagram_answer(struct upstream *u, struct sd_conn *c)
{
    uint8_t answer[sizeof(struct sd_request) + SD_ANSWER_MAX];
    struct rg_packet p = {
        .key = rg_flow_key_reverse(&c->key),
        .payload = answer,
        .payload_len = build_answer(u, &c->last_request, answer),
    };

    send_to_caller(u, &p);
}

/* --- requests -------------------------------------------------------------
 */

static void
start_job(struct upstream *u, struct sd_conn *c, const struct sd_request *r)
{
    uint64_t now = rg_clock_ms();
    int slot = u->slot_free_ms[0] <= u->slot_free_ms[1] ? 0 : 1;
    uint64_t start = u->slot_free_ms[slot] > now ? u->slot_free_ms[slot] : now;

    if (server.job_count == server.job_capacity) {
        server.job_capacity = server.job_capacity * 2 + 256;
        server.jobs = rg_realloc(server.jobs,
                                 server.job_capacity * sizeof(*server.jobs));
    }
    u->slot_free_ms[slot] = start + u->service_ms;
    server.jobs[server.job_count++] =
        (struct job){c, *r, start + u->service_ms};
    c->busy = true;
    server.requests++;
    server.repeated += sd_executed_add(server.executed, r->flow, r->seq);
}

static void
finish_job(const struct job *j)
{
    struct sd_conn *c = j->conn;
    struct upstream *u = &server.upstreams[c->upstream];

    c->busy = false;
    c->answered = true;
    c->last_request = j->request;
    if (c->key.proto == RG_PROTO_UDP) {
        send_datagram_answer(u, c);
        return;
    }
    c->answer_seq = c->snd_next;
    c->snd_next += (uint32_t)sizeof(struct sd_request) + j->request.answer_len;
    send_answer(u, c);
}

static bool
read_request(const struct upstream *u, const struct rg_packet *p,
             struct sd_request *r)
{
    if (p->payload_len < sizeof(*r)) {
        return false;
    }
    memcpy(r, p->payload, sizeof(*r));
    return r->magic == SD_REQUEST && r->checksum == sd_request_checksum(r) &&
           r->answer_len <= SD_ANSWER_MAX &&
           r->service == server.config->services[u->config->service].id;
}

/* --- TCP ------------------------------------------------------------------
 */

static void
on_syn(struct upstream *u, const struct rg_packet *p, struct sd_conn *c)
{
    if (c && c->peer_isn != p->tcp_seq) {
        close_conn(c);
        c = NULL;
    }
    if (!c && (u->open >= CONNECTIONS_MAX || u->shed)) {
        server.refused++;
        send_segment(u, &p->key, RG_TCP_RST | RG_TCP_ACK, 0, p->tcp_seq + 1);
        return;
    }
    if (!c) {
        c = open_conn(u, &p->key);
        c->peer_isn = p->tcp_seq;
        c->own_isn = (uint32_t)rg_mix64(server.requests ^ p->tcp_seq ^
                                        ((uint64_t)u->index << 32));
        c->rcv_next = p->tcp_seq + 1;
        c->snd_next = c->own_isn + 1;
    }
    if (!c->established) {
        send_segment(u, &c->key, RG_TCP_SYN | RG_TCP_ACK, c->own_isn,
                     c->rcv_next);
    }
}

static void
on_data(struct upstream *u, const struct rg_packet *p, struct sd_conn *c)
{
    struct sd_request r;

    if (p->tcp_seq != c->rcv_next) {
        if (!c->busy && c->answered && p->tcp_seq == c->last_request_seq) {
            send_answer(u, c);
        }
        return;
    }
    if (c->busy) {
        return;
    }
    if (!read_request(u, p, &r)) {
        server.bad_requests++;
        return;
    }
    c->last_request_seq = c->rcv_next;
    c->rcv_next += (uint32_t)p->payload_len;
    start_job(u, c, &r);
}

static void
on_segment(struct upstream *u, const struct rg_packet *p)
{
    struct sd_conn *c = sd_conns_find(server.conns, u->index, &p->key);
    uint8_t flags = p->tcp_flags;

    if ((flags & RG_TCP_SYN) && !(flags & RG_TCP_ACK)) {
        on_syn(u, p, c);
        return;
    }
    if (flags & RG_TCP_RST) {
        if (c && p->tcp_seq == c->rcv_next) {
            close_conn(c);
        }
        return;
    }
    /* Like a kernel, resets an unknown connection and a handshake completed
     * with another upstream's sequence number. */
    if (!c || (!c->established && p->tcp_ack != c->own_isn + 1)) {
        server.strays += (flags & RG_TCP_FIN) == 0;
        send_segment(u, &p->key, RG_TCP_RST, p->tcp_ack, 0);
        return;
    }
    c->established = true;
    c->last_packet_ms = rg_clock_ms();
    if (p->payload_len > 0) {
        on_data(u, p, c);
        return;
    }
    if ((flags & RG_TCP_FIN) && p->tcp_seq == c->rcv_next) {
        send_segment(u, &c->key, RG_TCP_FIN | RG_TCP_ACK, c->snd_next,
                     c->rcv_next + 1);
        close_conn(c);
    }
}

static void
on_datagram(struct upstream *u, const struct rg_packet *p)
{
    struct sd_conn *c = sd_conns_find(server.conns, u->index, &p->key);
    struct sd_request r;

    if (!read_request(u, p, &r)) {
        server.bad_requests++;
        return;
    }
    if (!c) {
        c = open_conn(u, &p->key);
    }
    c->last_packet_ms = rg_clock_ms();
    if (c->answered && c->last_request.seq == r.seq &&
        c->last_request.flow == r.flow)
    {
        send_datagram_answer(u, c);
    }
    else if (!c->busy) {
        start_job(u, c, &r);
    }
}

static void
on_packet(void *ctx, const struct rg_addr *from, const uint8_t *data,
          size_t len)
{
    struct upstream *u = ctx;
    const struct rg_config_service *s =
        &server.config->services[u->config->service];
    struct rg_packet p;

    (void)from;
    if (rg_packet_parse(&p, data, len) != RG_PACKET_OK) {
        server.bad_requests++;
        return;
    }
    if (memcmp(p.key.dst, s->ip, RG_IP_LEN) != 0 || p.key.dport != s->port ||
        p.key.proto != s->proto)
    {
        server.misrouted++;
        return;
    }
    if (u->silent) {
        return;
    }
    if (p.key.proto == RG_PROTO_TCP) {
        on_segment(u, &p);
    }
    else {
        on_datagram(u, &p);
    }
}

/* --- timers ---------------------------------------------------------------
 */

static void
sample_imbalance(size_t service)
{
    uint32_t max = 0;
    uint32_t sum = 0;
    uint32_t count = 0;

    for (size_t i = 0; i < server.config->upstream_count; i++) {
        const struct upstream *u = &server.upstreams[i];
        if (u->config->service != service || u->leaving || u->silent) {
            continue;
        }
        max = u->open > max ? u->open : max;
        sum += u->open;
        count++;
    }
    if (count > 0 && sum >= server.min_flows * count) {
        server.imbalance[service].max_over_mean += (double)max * count / sum;
        server.imbalance[service].samples++;
    }
}

static void
expire_datagram_flow(void *ctx, struct sd_conn *c)
{
    const uint64_t *now = ctx;

    if (c->key.proto == RG_PROTO_UDP && *now - c->last_packet_ms > UDP_IDLE_MS)
    {
        close_conn(c);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    static uint64_t last_sample;
    uint64_t now = rg_clock_ms();

    (void)timer;
    for (size_t i = 0; i < server.job_count; i++) {
        if (server.jobs[i].done_ms <= now) {
            struct job j = server.jobs[i];
            server.jobs[i] = server.jobs[--server.job_count];
            i--;
            finish_job(&j);
        }
    }
    if (now - last_sample >= SAMPLE_MS) {
        last_sample = now;
        sd_conns_each(server.conns, expire_datagram_flow, &now);
        for (size_t s = 0; s < server.config->service_count; s++) {
            sample_imbalance(s);
        }
    }
}

/* --- control --------------------------------------------------------------
 */

static struct upstream *
find_upstream(const char *name)
{
    for (size_t i = 0; i < server.config->upstream_count; i++) {
        if (strcmp(server.upstreams[i].config->name.s, name) == 0) {
            return &server.upstreams[i];
        }
    }
    return NULL;
}

static double
worst_imbalance(void)
{
    double worst = 0;

    for (size_t s = 0; server.config && s < server.config->service_count; s++)
    {
        const struct imbalance *sum = &server.imbalance[s];
        double mean =
            sum->samples ? sum->max_over_mean / (double)sum->samples : 0;
        worst = mean > worst ? mean : worst;
    }
    return worst;
}

static void
print_stats(char *out, size_t size)
{
    snprintf(out, size,
             "{\"requests\": %llu, \"repeated\": %llu, \"misrouted\": %llu, "
             "\"strays\": %llu, \"bad\": %llu, \"refused\": %llu, "
             "\"late_opens\": %llu, \"imbalance\": %.3f}",
             (unsigned long long)server.requests,
             (unsigned long long)server.repeated,
             (unsigned long long)server.misrouted,
             (unsigned long long)server.strays,
             (unsigned long long)server.bad_requests,
             (unsigned long long)server.refused,
             (unsigned long long)server.late_opens, worst_imbalance());
}

static void
set_fault(const char *command, struct upstream *u, uint32_t value)
{
    if (strcmp(command, "leave") == 0) {
        u->leaving = true;
        u->leave_ms = rg_clock_ms();
    }
    else if (strcmp(command, "silence") == 0) {
        u->silent = value != 0;
    }
    else if (strcmp(command, "slow") == 0) {
        u->service_ms = value;
    }
    else if (strcmp(command, "shed") == 0) {
        u->shed = value != 0;
    }
}

static void
on_control(void *ctx, const struct rg_addr *from, const uint8_t *data,
           size_t len)
{
    char line[256];
    char out[512] = "ok";
    char command[32] = "";
    char name[128] = "";
    unsigned value = 0;

    (void)ctx;
    if (len >= sizeof(line)) {
        return;
    }
    memcpy(line, data, len);
    line[len] = '\0';
    sscanf(line, "%31s %127s %u", command, name, &value);
    if (strcmp(command, "executed") == 0) {
        snprintf(
            out, sizeof(out), "%d %s",
            sd_executed_contains(server.executed, strtoull(name, NULL, 16), 0),
            name);
    }
    else if (strcmp(command, "stats") == 0) {
        print_stats(out, sizeof(out));
    }
    else {
        struct upstream *u = find_upstream(name);
        if (u) {
            set_fault(command, u, value);
        }
        else {
            strcpy(out, "unknown");
        }
    }
    sd_udp_send(&server.control, from, out, strlen(out));
}

static const struct argp_option options[] = {
    {"section", 'f', "FILE", 0, "section of the document (repeat)", 0},
    {"return", 'r', "ADDRESS", 0, "address of the fabric for answers (UDP)",
     0},
    {"control", 'c', "ADDRESS", 0, "control socket (UDP)", 0},
    {"service-ms", 't', "MS", 0, "time a request occupies a slot", 0},
    {"min-flows", 'm', "N", 0,
     "mean connections per upstream needed to sample the imbalance", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    (void)state;
    switch (key) {
    case 'f':
        if (server.section_count == SECTIONS_MAX) {
            sd_die("too many --section options");
        }
        server.sections[server.section_count++] = arg;
        return 0;
    case 'r':
        server.return_addr = sd_parse_addr(arg);
        return 0;
    case 'c':
        server.control_addr = sd_parse_addr(arg);
        return 0;
    case 't':
        server.service_ms = (uint32_t)strtoul(arg, NULL, 10);
        return 0;
    case 'm':
        server.min_flows = (uint32_t)strtoul(arg, NULL, 10);
        return 0;
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
        .doc = "Stand-in for all upstreams of a document.",
    };
    char stats[512];

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    uv_loop_init(&server.loop);
    sd_stop_on_signal(&server.loop);
    const struct rg_config *config =
        sd_load_config(server.sections, server.section_count);
    server.config = config;
    struct upstream *upstreams =
        rg_calloc(config->upstream_count, sizeof(*upstreams));
    server.upstreams = upstreams;
    server.imbalance =
        rg_calloc(config->service_count, sizeof(*server.imbalance));
    server.executed = sd_executed_create();
    server.conns = sd_conns_create();
    for (size_t i = 0; i < config->upstream_count; i++) {
        struct upstream *u = &upstreams[i];
        u->config = &config->upstreams[i];
        u->index = (uint32_t)i;
        u->service_ms = server.service_ms;
        sd_udp_open(&u->udp, &server.loop, &u->config->addr, on_packet, u);
    }
    sd_udp_open(&server.control, &server.loop, &server.control_addr,
                on_control, NULL);
    uv_timer_init(&server.loop, &server.timer);
    uv_timer_start(&server.timer, on_timer, 1, 1);
    uv_run(&server.loop, UV_RUN_DEFAULT);
    print_stats(stats, sizeof(stats));
    puts(stats);
    return 0;
}
