/* Consumers: they open flows, send requests, retry what may be retried, and
 * check what they get. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "sim.h"

#define ATTEMPTS_MAX 16384
#define TO_MACHINE_MS 3
#define TRIES_MAX 3
#define OPENING_MS 1400
#define RETRANSMIT_MS 200
#define RETRANSMIT_MAX_MS 1600
#define RESET_DISTANCE 76800
/* An answer has one packet, and every second one is acknowledged at once. The
 * next request of the flow carries the acknowledgement if it is sent before.
 */
#define DELAYED_ACK_MS 40

enum state {
    ATTEMPT_FREE,
    ATTEMPT_OPENING,
    ATTEMPT_REQUEST,
    ATTEMPT_PAUSE,
    ATTEMPT_CLOSING,
};

/* A flow, and the request on it. */
struct attempt {
    enum state state;
    unsigned id; /* of the request */
    int route;
    int consumer;
    uint16_t port;
    int tries;
    int left; /* further requests */
    uint64_t asked_ms;
    uint64_t syn_ms; /* the first SYN was sent */
    int copies;
    uint32_t first_seq;
    uint32_t seq;
    uint32_t ack;
    uint32_t echo;
    const struct host *host; /* whose SYN+ACK was taken */
    bool open;               /* the host has the end of the handshake */
    bool broken;             /* a rule was broken on the flow */
    uint64_t next_ms;
    uint32_t interval_ms;
    uint16_t request_len;
    bool acked;      /* the host has the whole request */
    uint64_t ack_ms; /* when to acknowledge an answer, 0: nothing is due */
};

static struct attempt attempts[ATTEMPTS_MAX];
static int fds[CONSUMERS];
static uint16_t next_port = 20000;
static unsigned next_id = 1;
static uint8_t *run_counts; /* by request */
static size_t run_size;
static double credit;

/* --- sending ------------------------------------------------------------- */

static void
send_packet(struct sim *s, const struct attempt *a, uint8_t flags,
            uint32_t seq, uint32_t ack, const char *data, uint16_t len)
{
    const struct route *r = &s->routes[a->route];
    struct in_addr src = sim_address(s, CONSUMER_NET, a->consumer + 1);
    struct packet p = {.echo = flags & FLAG_SYN ? 0 : a->echo,
                       .seq = seq,
                       .ack = ack,
                       .len = len,
                       .dst = r->ip,
                       .dport = r->port,
                       .src = ntohl(src.s_addr),
                       .sport = a->port,
                       .flags = flags};
    uint8_t out[HEAD_BYTES + DATA_MAX];

    memcpy(p.data, data, len);
    size_t bytes = sim_pack(&p, out);
    const struct machine *m = machines_route(s, p.src, a->port);
    sim_send_later(s, fds[a->consumer], m->ip, s->ports.datagram, out, bytes,
                   TO_MACHINE_MS);
}

static void
send_request(struct sim *s, struct attempt *a)
{
    const struct route *r = &s->routes[a->route];
    char text[DATA_MAX + 1];
    int len = snprintf(text, sizeof(text),
                       "%s /r/%u HTTP/1.1\r\nHost: shop\r\nAttempt-Id: %u\r\n"
                       "Content-Length: 0\r\n\r\n",
                       r->safe ? "GET" : "POST", a->id, a->id);

    a->request_len = (uint16_t)len;
    send_packet(s, a, FLAG_ACK, a->seq, a->ack, text, a->request_len);
}

static void
open_flow(struct sim *s, struct attempt *a)
{
    a->state = ATTEMPT_OPENING;
    a->port = next_port++;
    if (next_port > 60000) {
        next_port = 20000;
    }
    a->tries++;
    a->syn_ms = s->now_ms;
    a->copies = 0;
    a->first_seq = (uint32_t)sim_random(s);
    a->echo = 0;
    a->open = false;
    a->broken = false;
    a->host = NULL;
    a->next_ms = s->now_ms + 200;
    sim_note(s, "sent %u: SYN, port %u, route %d", a->id, a->port, a->route);
    send_packet(s, a, FLAG_SYN, a->first_seq, 0, "", 0);
}

static void
begin_request(struct sim *s, struct attempt *a)
{
    a->state = ATTEMPT_REQUEST;
    a->ack_ms = 0;
    a->acked = false;
    a->interval_ms = RETRANSMIT_MS;
    a->next_ms = s->now_ms + a->interval_ms;
    sim_note(s, "sent %u: request on port %u", a->id, a->port);
    send_request(s, a);
}

static void
ask(struct sim *s, int route)
{
    struct attempt *a = NULL;

    for (int i = 0; !a && i < ATTEMPTS_MAX; i++) {
        a = attempts[i].state == ATTEMPT_FREE ? &attempts[i] : NULL;
    }
    if (!a) {
        return;
    }
    *a = (struct attempt){.id = next_id++,
                          .route = route,
                          .consumer = (int)(sim_random(s) % CONSUMERS),
                          .left = s->requests_a_flow - 1,
                          .asked_ms = s->now_ms};
    s->asked++;
    open_flow(s, a);
}

void
consumers_ask(struct sim *s, int route, int count)
{
    while (count-- > 0) {
        ask(s, route);
    }
}

/* --- ends ---------------------------------------------------------------- */

/* The attempt has failed. Requests of unsafe routes are repeated only if the
 * flow never opened or the host said that it did not run them. */
static void
fail(struct sim *s, struct attempt *a, bool not_run, const char *why)
{
    const struct route *r = &s->routes[a->route];
    bool repeat = (r->safe || not_run) && a->tries < TRIES_MAX &&
                  s->now_ms - a->asked_ms < r->budget_ms;

    sim_note(s, "failed %u: %s%s", a->id, why, repeat ? ", tries again" : "");
    if (repeat) {
        open_flow(s, a);
        return;
    }
    if (!not_run && a->open) {
        s->lost++;
        s->lost_by_fault += a->broken;
    }
    else {
        s->refused++;
    }
    a->state = ATTEMPT_FREE;
}

/* True if the rule on open flows protects the flow: its host lives and has not
 * been disturbed lately, its route has been there since before it was opened,
 * and neither end has closed it. */
static bool
is_protected(const struct sim *s, const struct attempt *a)
{
    const struct route *r = &s->routes[a->route];
    bool is_open = a->state == ATTEMPT_REQUEST || a->state == ATTEMPT_PAUSE;

    return is_open && a->open && a->host && !a->host->ended &&
           (a->host->disturbed_ms == 0 ||
            s->now_ms - a->host->disturbed_ms > s->stable_window_ms) &&
           r->present && r->changed_ms < a->syn_ms &&
           s->now_ms - a->syn_ms < MAX_FLOW_S * 1000;
}

static void
take_reset(struct sim *s, struct attempt *a, const struct packet *p,
           struct in_addr from)
{
    const struct machine *m = machines_by_address(s, from);
    const struct host *h = hosts_by_address(s, from);
    bool opening = a->state == ATTEMPT_OPENING;

    if (!opening && p->seq - a->ack + RESET_DISTANCE > 2 * RESET_DISTANCE) {
        return;
    }
    sim_note(s, "answered %u: reset from %s %d", a->id, m ? "machine" : "host",
             m ? m->index + 1 : (h ? h->index + 1 : 0));
    if (h != a->host && is_protected(s, a)) {
        s->flow_broken++;
        a->broken = true;
        sim_note(
            s,
            "BROKEN FLOW: port %u of host %s, open for %llu ms, was "
            "reset by %s %d; route %d is there since %llu ms before its "
            "SYN",
            a->port, a->host->id, (unsigned long long)(s->now_ms - a->syn_ms),
            m ? "machine" : "host", m ? m->index + 1 : (h ? h->index + 1 : 0),
            a->route,
            (unsigned long long)(a->syn_ms - s->routes[a->route].changed_ms));
    }
    if (a->state == ATTEMPT_PAUSE || a->state == ATTEMPT_CLOSING) {
        a->state = ATTEMPT_FREE;
        return;
    }
    fail(s, a, opening, "reset");
}

/* --- receiving ----------------------------------------------------------- */

static void
take_syn_ack(struct sim *s, struct attempt *a, const struct packet *p,
             struct in_addr from)
{
    if (a->state != ATTEMPT_OPENING) {
        return; /* a copy, or that of another host */
    }
    a->host = hosts_by_address(s, from);
    a->ack = p->seq + 1;
    a->seq = a->first_seq + 1;
    begin_request(s, a);
}

static void
close_flow(struct sim *s, struct attempt *a)
{
    a->state = ATTEMPT_CLOSING;
    a->interval_ms = RETRANSMIT_MS;
    a->next_ms = s->now_ms + a->interval_ms;
    send_packet(s, a, FLAG_FIN | FLAG_ACK, a->seq, a->ack, "", 0);
}

static void
take_answer(struct sim *s, struct attempt *a, const struct packet *p)
{
    const char *at = strstr(p->data, "Attempt-Id: ");

    if (a->state != ATTEMPT_REQUEST || p->seq != a->ack) {
        send_packet(s, a, FLAG_ACK, a->seq, a->ack, "", 0);
        return;
    }
    if (!at || strtoul(at + 12, NULL, 10) != a->id) {
        s->unasked++;
        sim_note(s, "BROKEN MIXED: request %u got another answer", a->id);
        return;
    }
    a->ack += p->len;
    a->seq += a->request_len;
    bool ok = strncmp(p->data, "HTTP/1.1 200", 12) == 0;
    sim_note(s, "answered %u: %.12s", a->id, p->data);
    if (!ok) {
        send_packet(s, a, FLAG_FIN | FLAG_ACK, a->seq, a->ack, "", 0);
        fail(s, a, true, "not run");
        return;
    }
    s->served++;
    if (a->left == 0) {
        close_flow(s, a);
        return;
    }
    a->left--;
    a->state = ATTEMPT_PAUSE;
    a->next_ms = s->now_ms + s->pause_ms;
    a->ack_ms = s->now_ms + DELAYED_ACK_MS;
}

static struct attempt *
find(int consumer, const struct packet *p)
{
    for (int i = 0; i < ATTEMPTS_MAX; i++) {
        struct attempt *a = &attempts[i];
        if (a->state != ATTEMPT_FREE && a->consumer == consumer &&
            a->port == p->dport) {
            return a;
        }
    }
    return NULL;
}

static void
take_packet(struct sim *s, int consumer, const struct packet *p,
            struct in_addr from)
{
    struct attempt *a = find(consumer, p);

    if (!a) {
        return;
    }
    if (p->flags & FLAG_RST) {
        take_reset(s, a, p, from);
        return;
    }
    if (!p->sound) {
        s->unasked++;
        sim_note(s, "BROKEN MIXED: request %u got a changed packet", a->id);
        return;
    }
    a->echo = p->echo;
    if (p->flags & FLAG_SYN) {
        take_syn_ack(s, a, p, from);
    }
    else if (p->flags & FLAG_FIN) {
        send_packet(s, a, FLAG_ACK, a->seq + 1, p->seq + 1, "", 0);
        a->state = ATTEMPT_FREE;
    }
    else if (p->len > 0) {
        take_answer(s, a, p);
    }
    else if (a->state == ATTEMPT_REQUEST && p->ack == a->seq + a->request_len)
    {
        a->acked = true;
    }
}

static void
receive(struct sim *s, int consumer)
{
    uint8_t in[2048];
    struct sockaddr_in from = {0};
    socklen_t size = sizeof(from);
    ssize_t n;

    while ((n = recvfrom(fds[consumer], in, sizeof(in), MSG_DONTWAIT,
                         (struct sockaddr *)&from, &size)) >= 0)
    {
        struct packet p;
        size = sizeof(from);
        if (sim_unpack(&p, in, (size_t)n)) {
            take_packet(s, consumer, &p, from.sin_addr);
        }
    }
}

/* --- time ---------------------------------------------------------------- */

static void
step_opening(struct sim *s, struct attempt *a)
{
    if (s->now_ms - a->syn_ms >= OPENING_MS) {
        fail(s, a, true, "no answer to the SYN");
        return;
    }
    if (a->copies < 2 && s->now_ms >= a->next_ms) {
        a->copies++;
        a->next_ms = a->syn_ms + 600;
        send_packet(s, a, FLAG_SYN, a->first_seq, (uint32_t)a->copies, "", 0);
    }
}

static void
step_attempt(struct sim *s, struct attempt *a)
{
    const struct route *r = &s->routes[a->route];

    if (a->state == ATTEMPT_OPENING) {
        step_opening(s, a);
        return;
    }
    if (a->ack_ms != 0 && s->now_ms >= a->ack_ms) {
        a->ack_ms = 0;
        send_packet(s, a, FLAG_ACK, a->seq, a->ack, "", 0);
    }
    if (s->now_ms < a->next_ms) {
        return;
    }
    if (a->state == ATTEMPT_PAUSE) {
        a->id = next_id++;
        a->asked_ms = s->now_ms;
        a->tries = 1;
        s->asked++;
        begin_request(s, a);
        return;
    }
    if (s->now_ms - a->asked_ms >= r->budget_ms) {
        if (a->state == ATTEMPT_REQUEST) {
            send_packet(s, a, FLAG_RST, a->seq, a->ack, "", 0);
            a->tries = TRIES_MAX;
            fail(s, a, false, "no answer within the time budget");
        }
        a->state = ATTEMPT_FREE;
        return;
    }
    a->interval_ms = a->interval_ms * 2 < RETRANSMIT_MAX_MS
                         ? a->interval_ms * 2
                         : RETRANSMIT_MAX_MS;
    a->next_ms = s->now_ms + a->interval_ms;
    if (a->state == ATTEMPT_REQUEST) {
        if (!a->acked) {
            send_request(s, a);
        }
    }
    else {
        send_packet(s, a, FLAG_FIN | FLAG_ACK, a->seq, a->ack, "", 0);
    }
}

static void
start_requests(struct sim *s)
{
    static uint64_t before_ms;

    credit += (double)(s->now_ms - before_ms) * s->per_s / 1000;
    before_ms = s->now_ms;
    for (; credit >= 1; credit--) {
        ask(s, (int)(sim_random(s) % (unsigned)s->route_count));
    }
}

void
consumers_step(struct sim *s)
{
    start_requests(s);
    for (int i = 0; i < CONSUMERS; i++) {
        receive(s, i);
    }
    for (int i = 0; i < ATTEMPTS_MAX; i++) {
        if (attempts[i].state != ATTEMPT_FREE) {
            step_attempt(s, &attempts[i]);
        }
    }
}

bool
consumers_open(struct sim *s)
{
    for (int i = 0; i < CONSUMERS; i++) {
        fds[i] =
            sim_udp(sim_address(s, CONSUMER_NET, i + 1), s->ports.datagram);
        if (fds[i] < 0) {
            return false;
        }
    }
    return true;
}

int
consumers_fd(int i)
{
    return fds[i];
}

int
consumers_open_flows(void)
{
    int count = 0;

    for (int i = 0; i < ATTEMPTS_MAX; i++) {
        count += attempts[i].open && (attempts[i].state == ATTEMPT_REQUEST ||
                                      attempts[i].state == ATTEMPT_PAUSE);
    }
    return count;
}

/* --- what hosts see ------------------------------------------------------ */

static struct attempt *
find_sent(const struct packet *p)
{
    int consumer = (int)(p->src & 255) - 1;
    struct packet back = {.dport = p->sport};

    return find(consumer, &back);
}

void
consumers_note_syn(struct sim *s, const struct host *h, const struct packet *p,
                   struct in_addr from)
{
    struct attempt *a = find_sent(p);
    const struct machine *m = machines_by_address(s, from);

    if (!a || p->seq != a->first_seq || h->draining_ms == 0 || !m ||
        a->syn_ms <= h->draining_ms + s->drain_ms || !machines_in_touch(s, m))
    {
        return;
    }
    s->drain_broken++;
    a->broken = true;
    sim_note(s,
             "BROKEN DRAIN: host %s got the SYN of request %u from machine "
             "%d, sent %llu ms after the store took that it drains",
             h->id, a->id, m->index + 1,
             (unsigned long long)(a->syn_ms - h->draining_ms));
}

static bool
is_unsafe(const struct sim *s, unsigned id)
{
    for (int i = 0; i < ATTEMPTS_MAX; i++) {
        if (attempts[i].state != ATTEMPT_FREE && attempts[i].id == id) {
            return !s->routes[attempts[i].route].safe;
        }
    }
    return false;
}

void
consumers_note_run(struct sim *s, const struct host *h, unsigned id)
{
    (void)h;
    if (id >= run_size) {
        size_t size = (id + 1) * 2;
        run_counts = realloc(run_counts, size);
        if (!run_counts) {
            abort();
        }
        memset(run_counts + run_size, 0, size - run_size);
        run_size = size;
    }
    s->runs++;
    if (++run_counts[id] > 1 && is_unsafe(s, id)) {
        s->run_twice++;
        sim_note(s, "BROKEN: unsafe request %u was run twice", id);
    }
}

void
consumers_note_open(struct sim *s, const struct host *h,
                    const struct packet *p)
{
    struct attempt *a = find_sent(p);

    (void)s;
    if (a && a->host == h) {
        a->open = true;
    }
}
