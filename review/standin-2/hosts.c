/* Hosts: they register, accept flows, run requests, answer consumers directly,
 * drain and exit. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "sim.h"

#define SLOTS 2
#define QUEUE_MAX 8
#define FLOWS_MAX 8192
/* Time of a request unless a case sets another. */
#define WORK_MIN_MS 15
#define WORK_SPREAD_MS 30
#define TO_CONSUMER_MS 3
#define RETRANSMIT_MS 200
#define RETRANSMIT_MAX_MS 1600
#define RETRANSMISSIONS_MAX 8
/* A flow that has ended is known for this long. */
#define ENDED_MS 5000
/* Longest time budget of a request. */
#define HUNG_MS 8000

enum flow_state {
    FLOW_FREE,
    FLOW_SYN,  /* the SYN+ACK is sent */
    FLOW_OPEN, /* the handshake has ended */
    FLOW_ENDED,
};

struct flow {
    enum flow_state state;
    struct host *host;
    uint32_t src;
    uint16_t sport;
    uint32_t dst;
    uint16_t dport;
    uint32_t echo;
    uint32_t caller_seq;   /* of the SYN */
    uint32_t seq;          /* of the SYN+ACK */
    uint32_t next;         /* next byte to send */
    uint32_t acked;        /* first byte that the consumer has not */
    uint32_t expected;     /* next byte of the consumer */
    unsigned id;           /* of the request, 0: none */
    unsigned data_packets; /* received */
    bool queued;
    bool hung;        /* the work never ends */
    uint64_t hung_ms; /* when it began */
    uint64_t due_ms;  /* end of the work, 0: none in progress */
    char answer[DATA_MAX + 1];
    uint16_t answer_len; /* 0: nothing unacknowledged */
    uint64_t repeat_ms;
    uint32_t interval_ms;
    int repeats;
    uint64_t ended_ms;
};

static struct flow flows[FLOWS_MAX];

static uint64_t
unix_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_REALTIME, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/* --- packets to consumers ------------------------------------------------ */

static void
send_packet(struct sim *s, const struct host *h, const struct packet *p)
{
    uint8_t out[HEAD_BYTES + DATA_MAX];
    size_t len = sim_pack(p, out);
    struct in_addr to = {.s_addr = htonl(p->dst)};

    sim_send_later(s, h->fd, to, s->ports.datagram, out, len, TO_CONSUMER_MS);
}

static void
reply(struct sim *s, const struct flow *f, uint8_t flags, uint32_t seq,
      const char *data, uint16_t len)
{
    struct packet p = {.echo = f->echo,
                       .seq = seq,
                       .ack = f->expected,
                       .src = f->dst,
                       .sport = f->dport,
                       .dst = f->src,
                       .dport = f->sport,
                       .flags = flags,
                       .len = len};

    memcpy(p.data, data, len);
    send_packet(s, f->host, &p);
}

static void
send_reset(struct sim *s, const struct host *h, const struct packet *in)
{
    struct packet p = {.seq = in->ack,
                       .ack = in->seq,
                       .src = in->dst,
                       .sport = in->dport,
                       .dst = in->src,
                       .dport = in->sport,
                       .flags = FLAG_RST};

    sim_note(s, "host %s: no such flow, reset to port %u", h->id, in->sport);
    send_packet(s, h, &p);
}

/* --- requests ------------------------------------------------------------ */

static void
begin_work(struct sim *s, struct flow *f)
{
    f->queued = false;
    f->host->busy++;
    f->hung = f->host->hanging;
    f->hung_ms = s->now_ms;
    if (!f->hung) {
        f->due_ms = s->now_ms + f->host->work_ms +
                    sim_random(s) % f->host->work_spread_ms;
    }
    sim_note(s, "host %s: runs request %u", f->host->id, f->id);
    consumers_note_run(s, f->host, f->id);
}

static void
send_answer(struct sim *s, struct flow *f, const char *status,
            const char *header)
{
    int len = snprintf(f->answer, sizeof(f->answer),
                       "HTTP/1.1 %s\r\nAttempt-Id: %u\r\nHost-Id: %s\r\n"
                       "%sContent-Length: 600\r\n\r\n",
                       status, f->id, f->host->id, header);

    memset(f->answer + len, 'x', 600);
    f->answer_len = (uint16_t)(len + 600);
    f->repeats = 0;
    f->interval_ms = RETRANSMIT_MS;
    f->repeat_ms = s->now_ms + f->interval_ms;
    reply(s, f, FLAG_ACK, f->next, f->answer, f->answer_len);
    f->next += f->answer_len;
}

static void
take_request(struct sim *s, struct flow *f, const struct packet *p)
{
    const char *at = strstr(p->data, "Attempt-Id: ");
    int queued = 0;

    f->data_packets++;
    if (p->seq != f->expected || !at) {
        reply(s, f, FLAG_ACK, f->next, "", 0);
        return; /* a copy */
    }
    f->expected = p->seq + p->len;
    f->id = (unsigned)strtoul(at + 12, NULL, 10);
    /* Every second packet is acknowledged, others by the answer. */
    if (f->data_packets % 2 == 0) {
        reply(s, f, FLAG_ACK, f->next, "", 0);
    }
    if (f->host->busy < SLOTS) {
        begin_work(s, f);
        return;
    }
    for (int i = 0; i < FLOWS_MAX; i++) {
        queued += flows[i].host == f->host && flows[i].queued;
    }
    if (queued < QUEUE_MAX) {
        f->queued = true;
        return;
    }
    send_answer(s, f, "503 Busy", "Not-Executed: 1\r\n");
}

/* --- packets of consumers ------------------------------------------------ */

static struct flow *
find_flow(const struct host *h, const struct packet *p)
{
    for (int i = 0; i < FLOWS_MAX; i++) {
        struct flow *f = &flows[i];
        if (f->state != FLOW_FREE && f->host == h && f->src == p->src &&
            f->sport == p->sport && f->dst == p->dst && f->dport == p->dport)
        {
            return f;
        }
    }
    return NULL;
}

static void
take_syn(struct sim *s, struct host *h, struct flow *f, const struct packet *p,
         struct in_addr from)
{
    consumers_note_syn(s, h, p, from);
    if (!f || f->caller_seq != p->seq) {
        for (int i = 0; !f && i < FLOWS_MAX; i++) {
            f = flows[i].state == FLOW_FREE ? &flows[i] : NULL;
        }
        if (!f) {
            return;
        }
        *f = (struct flow){.state = FLOW_SYN,
                           .host = h,
                           .src = p->src,
                           .sport = p->sport,
                           .dst = p->dst,
                           .dport = p->dport,
                           .caller_seq = p->seq,
                           .seq = (uint32_t)sim_random(s),
                           .expected = p->seq + 1,
                           .interval_ms = RETRANSMIT_MS,
                           .repeat_ms = s->now_ms + RETRANSMIT_MS};
        f->next = f->acked = f->seq + 1;
    }
    f->echo = p->echo;
    reply(s, f, FLAG_SYN | FLAG_ACK, f->seq, "", 0);
}

static void
take_fin(struct sim *s, struct flow *f, const struct packet *p)
{
    f->state = FLOW_ENDED;
    f->ended_ms = s->now_ms;
    f->answer_len = 0;
    f->expected = p->seq + p->len + 1;
    reply(s, f, FLAG_FIN | FLAG_ACK, f->next, "", 0);
}

static void
take_packet(struct sim *s, struct host *h, const struct packet *p,
            struct in_addr from)
{
    struct flow *f = find_flow(h, p);

    if (!p->sound ||
        (p->flags & (FLAG_SYN | FLAG_ACK)) == (FLAG_SYN | FLAG_ACK)) {
        s->unasked++;
        sim_note(s, "BROKEN UNASKED: host %s got a forged packet", h->id);
        return;
    }
    if (p->flags & FLAG_SYN) {
        take_syn(s, h, f, p, from);
        return;
    }
    if (f && f->state == FLOW_ENDED) {
        if (p->len > 0) {
            send_reset(s, h, p);
        }
        else if (p->flags & FLAG_FIN) {
            reply(s, f, FLAG_ACK, f->next, "", 0);
        }
        return;
    }
    bool holds = f && p->ack - (f->seq + 1) <= f->next - (f->seq + 1);
    if (!holds) {
        if (!(p->flags & FLAG_RST)) {
            send_reset(s, h, p);
        }
        return;
    }
    if (f->state == FLOW_SYN) {
        f->state = FLOW_OPEN;
        consumers_note_open(s, h, p);
    }
    f->echo = p->echo;
    f->acked = p->ack;
    if (f->acked == f->next) {
        f->answer_len = 0;
    }
    if (p->flags & FLAG_RST) {
        f->state = FLOW_ENDED;
        f->ended_ms = s->now_ms;
        return;
    }
    if (p->len > 0) {
        take_request(s, f, p);
    }
    if (p->flags & FLAG_FIN) {
        take_fin(s, f, p);
    }
}

static void
receive(struct sim *s, struct host *h)
{
    uint8_t in[2048];
    struct sockaddr_in from = {0};
    socklen_t size = sizeof(from);
    ssize_t n;

    while ((n = recvfrom(h->fd, in, sizeof(in), MSG_DONTWAIT,
                         (struct sockaddr *)&from, &size)) >= 0)
    {
        struct packet p;
        uint64_t wanted = 0;
        size = sizeof(from);
        if (h->ended || n < 8) {
            continue;
        }
        for (int i = 0; i < 8; i++) {
            wanted = wanted << 8 | in[i];
        }
        if (wanted != 0 && wanted != h->wire_id) {
            continue; /* not the intended host: nothing is sent */
        }
        if (!sim_unpack(&p, in + 8, (size_t)n - 8)) {
            s->unasked++;
            sim_note(s, "BROKEN UNASKED: host %s got a malformed packet",
                     h->id);
            continue;
        }
        take_packet(s, h, &p, from.sin_addr);
    }
}

/* --- time ---------------------------------------------------------------- */

static void
repeat(struct sim *s, struct flow *f)
{
    bool waits =
        f->state == FLOW_SYN || (f->state == FLOW_OPEN && f->answer_len > 0);

    if (!waits || s->now_ms < f->repeat_ms) {
        return;
    }
    if (f->repeats++ == RETRANSMISSIONS_MAX) {
        f->state = FLOW_ENDED;
        f->ended_ms = s->now_ms;
        return;
    }
    f->interval_ms = f->interval_ms * 2 < RETRANSMIT_MAX_MS
                         ? f->interval_ms * 2
                         : RETRANSMIT_MAX_MS;
    f->repeat_ms = s->now_ms + f->interval_ms;
    if (f->state == FLOW_SYN) {
        reply(s, f, FLAG_SYN | FLAG_ACK, f->seq, "", 0);
    }
    else {
        reply(s, f, FLAG_ACK, f->next - f->answer_len, f->answer,
              f->answer_len);
    }
}

/* A request that hangs keeps its slot until its consumer ends the flow, or
 * would have given up. */
static void
end_hung(struct sim *s, struct flow *f)
{
    if (f->state == FLOW_ENDED || s->now_ms - f->hung_ms >= HUNG_MS) {
        f->hung = false;
        f->host->busy--;
        f->state = FLOW_ENDED;
        f->ended_ms = s->now_ms;
    }
}

static void
step_flow(struct sim *s, struct flow *f)
{
    if (f->hung) {
        end_hung(s, f);
    }
    if (f->state == FLOW_ENDED && s->now_ms - f->ended_ms > ENDED_MS &&
        f->due_ms == 0)
    {
        f->state = FLOW_FREE;
        return;
    }
    if (f->due_ms != 0 && s->now_ms >= f->due_ms) {
        f->due_ms = 0;
        f->host->busy--;
        if (f->state == FLOW_OPEN) {
            send_answer(s, f, "200 OK", "Response-Signature: 1\r\n");
        }
    }
    f->queued = f->queued && f->state == FLOW_OPEN;
    if (f->queued && f->host->busy < SLOTS) {
        begin_work(s, f);
    }
    repeat(s, f);
}

/* --- registration -------------------------------------------------------- */

/* Appends a field unless it is the one to leave out. */
static size_t
add_field(char *out, size_t size, size_t len, const char *skip,
          const char *name, const char *value)
{
    if (skip && strcmp(skip, name) == 0) {
        return len;
    }
    return len + (size_t)snprintf(out + len, size - len, "%s\"%s\":%s",
                                  len > 1 ? "," : "", name, value);
}

size_t
hosts_entry(const struct sim *s, const struct host *h, char *out, size_t size,
            const char *service, const char *state, const char *skip)
{
    char value[64];
    char ip[INET_ADDRSTRLEN];
    size_t len = 1;

    (void)s;
    inet_ntop(AF_INET, &h->ip, ip, sizeof(ip));
    snprintf(out, size, "{");
    snprintf(value, sizeof(value), "\"%s\"", service);
    len = add_field(out, size, len, skip, "Service", value);
    snprintf(value, sizeof(value), "\"%s:%d\"", ip, s->ports.host);
    len = add_field(out, size, len, skip, "Address", value);
    len = add_field(out, size, len, skip, "Zone", "\"gt-central-a\"");
    len = add_field(out, size, len, skip, "Version", "\"v1\"");
    snprintf(value, sizeof(value), "%d", SLOTS);
    len = add_field(out, size, len, skip, "Slots", value);
    snprintf(value, sizeof(value), "\"%s\"", state);
    len = add_field(out, size, len, skip, "State", value);
    len = add_field(out, size, len, skip, "ColdLeftMs", "0");
    snprintf(value, sizeof(value), "%u", h->beats);
    len = add_field(out, size, len, skip, "Seq", value);
    snprintf(value, sizeof(value), "%llu", (unsigned long long)h->born);
    len = add_field(out, size, len, skip, "born", value);
    return len + (size_t)snprintf(out + len, size - len, "}");
}

static void
write_entry(struct sim *s, struct host *h)
{
    char key[64];
    char value[400];

    h->beats++;
    h->beat_ms = s->now_ms + HEARTBEAT_MS;
    snprintf(key, sizeof(key), "servers/%s", h->id);
    size_t len = hosts_entry(s, h, value, sizeof(value), h->service,
                             h->draining ? "draining" : "ready", NULL);
    store_put(s, key, value, len);
}

void
hosts_register(struct sim *s, struct host *h)
{
    h->registered = true;
    write_entry(s, h);
    sim_note(s, "host %s: registered for %s", h->id, h->service);
}

void
hosts_drain(struct sim *s, struct host *h, uint64_t end_ms)
{
    h->draining = true;
    h->end_ms = end_ms;
    write_entry(s, h);
    h->draining_ms = s->now_ms;
    sim_note(s, "host %s: draining", h->id);
}

static void
end_host(struct sim *s, struct host *h)
{
    char key[64];

    h->ended = true;
    snprintf(key, sizeof(key), "servers/%s", h->id);
    store_remove(s, key);
    for (int i = 0; i < FLOWS_MAX; i++) {
        if (flows[i].host == h) {
            flows[i].state = FLOW_FREE;
            flows[i].queued = false;
            flows[i].hung = false;
            flows[i].due_ms = 0;
        }
    }
    sim_note(s, "host %s: exits", h->id);
}

struct host *
hosts_add(struct sim *s, const char *service)
{
    struct host *h = &s->hosts[s->host_count];

    *h = (struct host){.index = s->host_count++, .service = service};
    h->wire_id = sim_random(s) & 0xffffffff;
    snprintf(h->id, sizeof(h->id), "i-%08llx", (unsigned long long)h->wire_id);
    h->born = unix_ms();
    h->ip = sim_address(s, HOST_NET, h->index + 1);
    h->work_ms = WORK_MIN_MS;
    h->work_spread_ms = WORK_SPREAD_MS;
    return h;
}

bool
hosts_open(struct sim *s)
{
    for (int i = 0; i < s->host_count; i++) {
        s->hosts[i].fd = sim_udp(s->hosts[i].ip, s->ports.host);
        if (s->hosts[i].fd < 0) {
            return false;
        }
    }
    return true;
}

struct host *
hosts_by_address(struct sim *s, struct in_addr ip)
{
    for (int i = 0; i < s->host_count; i++) {
        if (s->hosts[i].ip.s_addr == ip.s_addr) {
            return &s->hosts[i];
        }
    }
    return NULL;
}

void
hosts_step(struct sim *s)
{
    for (int i = 0; i < s->host_count; i++) {
        struct host *h = &s->hosts[i];
        receive(s, h);
        if (h->hanging) {
            h->disturbed_ms = s->now_ms;
        }
        if (h->registered && !h->ended && s->now_ms >= h->beat_ms) {
            write_entry(s, h);
        }
        if (h->end_ms != 0 && !h->ended && s->now_ms >= h->end_ms) {
            end_host(s, h);
        }
    }
    for (int i = 0; i < FLOWS_MAX; i++) {
        if (flows[i].state != FLOW_FREE) {
            step_flow(s, &flows[i]);
        }
    }
}
