/* Stand-in for callers: keeps many flows open to the services of a document,
 * sends requests on them and checks every byte of every answer. Exits when the
 * load is over and prints its counters as JSON. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/mem.h"
#include "core/packet.h"
#include "standin/callers_opts.h"
#include "standin/callers_stats.h"
#include "standin/common.h"
#include "standin/refusals.h"

#define SERVICES_MAX 256
#define PORT_FIRST 1024
#define PORT_LAST 65000
#define RTO_FIRST_MS 200
#define RTO_MAX_MS 2000
#define TRIES_MAX 12
#define FINISH_MS 15000 /* for open flows to end after the duration */

enum state {
    IDLE,     /* no flow; opens one at due_ms */
    OPENING,  /* SYN sent */
    WAITING,  /* request sent, answer not complete */
    THINKING, /* next request at due_ms */
    CLOSING,
};

struct flow {
    uint8_t state; /* enum state */
    uint8_t tries;
    uint16_t port;
    uint32_t slot;
    uint32_t service;
    uint64_t id;
    struct rg_flow_key key;
    uint32_t isn;
    uint32_t snd_next; /* next byte to send */
    uint32_t rcv_next; /* next byte expected */
    uint32_t request_seq;
    uint32_t requests_left;
    uint32_t upstream; /* that answered first, plus 1; 0: none yet */
    struct sd_request request;
    uint8_t *answer;        /* received so far */
    uint32_t received_mask; /* bit N: segment N of the answer */
    uint64_t due_ms;
    uint32_t rto_ms;
    uint64_t sent_ms;
};

static struct {
    struct sd_callers_opts opts;
    uv_loop_t loop;
    struct sd_udp udp;
    uv_timer_t timer;
    uv_signal_t stop_signal;
    const struct rg_config *config;
    struct rg_rand rand;
    struct flow *flows;
    uint64_t start_ms;
    uint64_t next_id;
    struct sd_callers_stats stats;
    struct sd_refusals refusals;
    uint32_t service_map[SERVICES_MAX];
    uint32_t service_count;
} cl;

/* The slot of a flow follows from its address and port, so that the flow of a
 * packet is found without a search: slot n uses the address of the callers'
 * network that ends in 1 + n % ADDRESSES, and those ports whose offset from
 * PORT_FIRST, modulo 256, is n / ADDRESSES. */
#define ADDRESSES 250

static void
fill_caller_ip(uint8_t ip[RG_IP_LEN], uint32_t n, bool v6)
{
    if (v6) {
        static const uint8_t base[RG_IP_LEN] = {0x20, 0x01, 0x0d, 0xb8};
        memcpy(ip, base, RG_IP_LEN);
        ip[14] = (uint8_t)cl.opts.net;
        ip[15] = (uint8_t)(1 + n % ADDRESSES);
        return;
    }
    uint8_t v4[4] = {198, 18, (uint8_t)cl.opts.net,
                     (uint8_t)(1 + n % ADDRESSES)};
    rg_ip_from_v4(ip, v4);
}

static struct flow *
find_flow(const struct rg_flow_key *back)
{
    uint32_t low = back->dst[15] - 1u;
    uint32_t rank = (back->dport - PORT_FIRST) % 256;
    uint32_t n = rank * ADDRESSES + low;

    if (n >= cl.opts.flow_count) {
        return NULL;
    }
    struct flow *f = &cl.flows[n];
    struct rg_flow_key key = rg_flow_key_reverse(back);
    return memcmp(&f->key, &key, sizeof(key)) == 0 ? f : NULL;
}

/* --- sending --------------------------------------------------------------
 */

static void
send_packet(const struct rg_packet *p)
{
    uint8_t out[SD_DATAGRAM_MAX];
    size_t len = rg_packet_build(out, sizeof(out), p);

    if (len > 0) {
        sd_udp_send(&cl.udp, &cl.opts.fabric, out, len);
    }
}

static void
send_segment(const struct flow *f, uint8_t flags, uint32_t seq,
             const void *payload, size_t len)
{
    struct rg_packet p = {
        .key = f->key,
        .tcp_flags = flags,
        .tcp_seq = seq,
        .tcp_ack = flags & RG_TCP_ACK ? f->rcv_next : 0,
        .payload = payload,
        .payload_len = len,
    };

    send_packet(&p);
}

static bool
is_udp(const struct flow *f)
{
    return f->key.proto == RG_PROTO_UDP;
}

static void
send_request(const struct flow *f)
{
    if (is_udp(f)) {
        struct rg_packet p = {
            .key = f->key,
            .payload = (const uint8_t *)&f->request,
            .payload_len = sizeof(f->request),
        };
        send_packet(&p);
        return;
    }
    send_segment(f, RG_TCP_ACK, f->snd_next, &f->request, sizeof(f->request));
}

static void
send_for_state(const struct flow *f)
{
    switch (f->state) {
    case OPENING:
        send_segment(f, RG_TCP_SYN, f->isn, NULL, 0);
        break;
    case WAITING:
        send_request(f);
        break;
    case CLOSING:
        send_segment(f, RG_TCP_FIN | RG_TCP_ACK, f->snd_next, NULL, 0);
        break;
    default:
        break;
    }
}

static void
enter_state(struct flow *f, enum state state, uint64_t now)
{
    f->state = (uint8_t)state;
    f->tries = 1;
    f->rto_ms = RTO_FIRST_MS;
    f->due_ms = now + f->rto_ms;
    send_for_state(f);
}

/* --- states of a flow -----------------------------------------------------
 */

static bool
is_over(uint64_t now)
{
    return now - cl.start_ms >= cl.opts.duration_ms;
}

static void
end_flow(struct flow *f, uint64_t now)
{
    f->state = IDLE;
    f->due_ms =
        now +
        (cl.opts.pause_ms ? rg_rand_below(&cl.rand, cl.opts.pause_ms) : 0);
}

static void
log_flow(const struct flow *f, const char *what)
{
    if (cl.opts.verbose) {
        fprintf(stderr, "flow %016llx port %u state %u: %s\n",
                (unsigned long long)f->id, f->key.sport, f->state, what);
    }
}

static void
break_flow(struct flow *f, uint64_t now, const char *why)
{
    log_flow(f, why);
    cl.stats.broken++;
    end_flow(f, now);
}

static void
start_request(struct flow *f, uint64_t now)
{
    const struct rg_config_service *s = &cl.config->services[f->service];

    f->request = (struct sd_request){
        .magic = SD_REQUEST,
        .seq = f->request_seq++,
        .flow = f->id,
        .service = s->id,
        .answer_len = cl.opts.answer_len
                          ? rg_rand_below(&cl.rand, cl.opts.answer_len)
                          : 0,
    };
    if (is_udp(f) && f->request.answer_len > SD_SEGMENT_MAX) {
        f->request.answer_len = SD_SEGMENT_MAX;
    }
    f->request.checksum = sd_request_checksum(&f->request);
    f->received_mask = 0;
    f->sent_ms = now;
    enter_state(f, WAITING, now);
}

static void
open_flow(struct flow *f, uint64_t now)
{
    const struct rg_config_service *s;
    uint32_t rank = f->slot / ADDRESSES;

    f->service = cl.service_map[rg_rand_below(&cl.rand, cl.service_count)];
    s = &cl.config->services[f->service];
    f->id =
        rg_mix64(++cl.next_id ^ ((uint64_t)cl.opts.net << 56) ^ cl.rand.state);
    memset(&f->key, 0, sizeof(f->key));
    fill_caller_ip(f->key.src, f->slot, !rg_ip_is_v4(s->ip));
    memcpy(f->key.dst, s->ip, RG_IP_LEN);
    /* Steps through the port range, so that a port is reused as late as
     * possible. */
    f->port = (uint16_t)(f->port + 256);
    if (f->port < PORT_FIRST || f->port > PORT_LAST) {
        f->port = PORT_FIRST;
    }
    f->key.sport =
        (uint16_t)(PORT_FIRST + (f->port - PORT_FIRST) / 256 * 256 + rank);
    f->key.dport = s->port;
    f->key.proto = s->proto;
    f->isn = (uint32_t)rg_rand_next(&cl.rand);
    f->request_seq = 0;
    f->requests_left = cl.opts.requests;
    f->upstream = 0;
    cl.stats.flows++;
    if (is_udp(f)) {
        f->requests_left--;
        start_request(f, now);
        return;
    }
    enter_state(f, OPENING, now);
}

static void
count_refused(struct flow *f, uint64_t now)
{
    cl.stats.refused++;
    sd_refusals_add(&cl.refusals, f->id);
    end_flow(f, now);
}

static void
continue_flow(struct flow *f, uint64_t now)
{
    if (f->requests_left > 0 && !is_over(now)) {
        f->state = THINKING;
        f->due_ms = now + cl.opts.think_ms / 2 +
                    rg_rand_below(&cl.rand, cl.opts.think_ms + 1);
        return;
    }
    if (is_udp(f)) {
        end_flow(f, now);
        return;
    }
    enter_state(f, CLOSING, now);
}

static void
count_answer(struct flow *f, const struct sd_request *head, uint64_t now)
{
    cl.stats.answered++;
    sd_callers_stats_add_latency(&cl.stats, (uint32_t)(now - f->sent_ms));
    if (f->upstream != 0 && f->upstream != head->upstream + 1) {
        break_flow(f, now, "answered by another upstream");
        return;
    }
    f->upstream = head->upstream + 1;
    continue_flow(f, now);
}

static bool
answer_matches(const struct flow *f, const uint8_t *data, size_t len)
{
    struct sd_request head;

    memcpy(&head, data, sizeof(head));
    if (head.magic != SD_ANSWER ||
        head.checksum != sd_request_checksum(&head) || head.flow != f->id ||
        head.seq != f->request.seq || head.service != f->request.service ||
        head.answer_len != f->request.answer_len ||
        len != sizeof(head) + head.answer_len)
    {
        return false;
    }
    for (uint32_t i = 0; i < head.answer_len; i++) {
        if (data[sizeof(head) + i] != sd_answer_byte(f->id, head.seq, i)) {
            return false;
        }
    }
    return true;
}

static void
on_answer(struct flow *f, const uint8_t *data, size_t len, uint64_t now)
{
    struct sd_request head;

    if (!answer_matches(f, data, len)) {
        cl.stats.wrong++;
        break_flow(f, now, "wrong answer");
        return;
    }
    memcpy(&head, data, sizeof(head));
    count_answer(f, &head, now);
}

/* --- incoming packets ------------------------------------------------------
 */

static void
on_answer_segment(struct flow *f, const struct rg_packet *p, uint64_t now)
{
    uint32_t total =
        (uint32_t)sizeof(struct sd_request) + f->request.answer_len;
    uint32_t at = p->tcp_seq - f->rcv_next;

    if (f->state != WAITING ||
        p->tcp_ack != f->snd_next + (uint32_t)sizeof(f->request) ||
        at + p->payload_len > total)
    {
        return; /* late duplicate of an earlier answer */
    }
    memcpy(f->answer + at, p->payload, p->payload_len);
    f->received_mask |= 1u << (at / SD_SEGMENT_MAX);
    uint32_t segments = (total + SD_SEGMENT_MAX - 1) / SD_SEGMENT_MAX;
    if (f->received_mask != (1u << segments) - 1) {
        return;
    }
    f->snd_next += (uint32_t)sizeof(f->request);
    f->rcv_next += total;
    on_answer(f, f->answer, total, now);
}

static void
on_reset(struct flow *f, const struct rg_packet *p, uint64_t now)
{
    if (f->state == OPENING) {
        if ((p->tcp_flags & RG_TCP_ACK) && p->tcp_ack == f->isn + 1) {
            count_refused(f, now);
        }
        return;
    }
    /* Only a reset in sequence counts (RFC 5961). */
    if (f->state != IDLE && p->tcp_seq == f->rcv_next) {
        if (f->state == CLOSING) {
            end_flow(f, now);
            return;
        }
        break_flow(f, now, "reset");
    }
}

static void
on_segment(struct flow *f, const struct rg_packet *p, uint64_t now)
{
    if (p->tcp_flags & RG_TCP_RST) {
        on_reset(f, p, now);
        return;
    }
    if ((p->tcp_flags & RG_TCP_SYN) && f->state == OPENING &&
        p->tcp_ack == f->isn + 1)
    {
        cl.stats.opened++;
        f->snd_next = f->isn + 1;
        f->rcv_next = p->tcp_seq + 1;
        f->requests_left--;
        send_segment(f, RG_TCP_ACK, f->snd_next, NULL, 0);
        start_request(f, now);
        return;
    }
    if ((p->tcp_flags & RG_TCP_FIN) && f->state == CLOSING) {
        end_flow(f, now);
        return;
    }
    if (p->payload_len > 0) {
        on_answer_segment(f, p, now);
    }
}

/* An ICMP unreachable refuses the opening of a UDP flow, which it quotes after
 * its IP and ICMP headers. */
static void
on_unreachable(const uint8_t *data, size_t len, uint64_t now)
{
    struct rg_packet p;
    size_t head = data[0] >> 4 == 4 ? 28 : 48;

    if (len <= head ||
        rg_packet_parse(&p, data + head, len - head) == RG_PACKET_BAD_VERSION)
    {
        return;
    }
    struct rg_flow_key back = rg_flow_key_reverse(&p.key);
    struct flow *f = find_flow(&back);
    if (f && f->state == WAITING && f->request.seq == 0) {
        count_refused(f, now);
    }
}

static void
on_packet(void *ctx, const struct rg_addr *from, const uint8_t *data,
          size_t len)
{
    struct rg_packet p;
    uint64_t now = rg_clock_ms();

    (void)ctx;
    (void)from;
    enum rg_packet_status status = rg_packet_parse(&p, data, len);
    if (status == RG_PACKET_BAD_PROTOCOL) {
        on_unreachable(data, len, now);
        return;
    }
    struct flow *f = status == RG_PACKET_OK ? find_flow(&p.key) : NULL;
    if (!f) {
        return;
    }
    if (!is_udp(f)) {
        on_segment(f, &p, now);
        return;
    }
    struct sd_request head;
    if (f->state == WAITING && p.payload_len >= sizeof(head)) {
        memcpy(&head, p.payload, sizeof(head));
        if (head.flow == f->id && head.seq < f->request.seq) {
            return; /* late duplicate of an earlier answer */
        }
        on_answer(f, p.payload, p.payload_len, now);
    }
}

/* --- timers ---------------------------------------------------------------
 */

static void
on_timeout(struct flow *f, uint64_t now)
{
    if (f->state == OPENING || (is_udp(f) && f->request.seq == 0)) {
        log_flow(f, "opening unanswered");
        cl.stats.unanswered++;
        end_flow(f, now);
    }
    else if (f->state == CLOSING) {
        end_flow(f, now);
    }
    else {
        break_flow(f, now, "request not answered");
    }
}

static void
on_flow_timer(struct flow *f, uint64_t now)
{
    switch (f->state) {
    case IDLE:
        if (!is_over(now)) {
            open_flow(f, now);
        }
        return;
    case THINKING:
        if (f->requests_left == 0) {
            continue_flow(f, now);
            return;
        }
        f->requests_left--;
        start_request(f, now);
        return;
    default:
        break;
    }
    if (f->tries++ >= TRIES_MAX) {
        on_timeout(f, now);
        return;
    }
    f->rto_ms = f->rto_ms * 2 < RTO_MAX_MS ? f->rto_ms * 2 : RTO_MAX_MS;
    f->due_ms = now + f->rto_ms;
    send_for_state(f);
}

static void
on_timer(uv_timer_t *timer)
{
    uint64_t now = rg_clock_ms();
    bool busy = false;

    (void)timer;
    for (uint32_t i = 0; i < cl.opts.flow_count; i++) {
        struct flow *f = &cl.flows[i];
        if (now >= f->due_ms) {
            on_flow_timer(f, now);
        }
        busy |= f->state != IDLE;
    }
    if (!is_over(now)) {
        return;
    }
    if (busy && now - cl.start_ms < cl.opts.duration_ms + FINISH_MS) {
        return;
    }
    if (sd_refusals_step(&cl.refusals, now)) {
        uv_stop(&cl.loop);
    }
}

/* SIGUSR1: opens no more flows; the program exits once the open ones end. */
static void
on_stop_signal(uv_signal_t *handle, int signum)
{
    (void)handle;
    (void)signum;
    cl.opts.duration_ms = (uint32_t)(rg_clock_ms() - cl.start_ms);
}

static void
init_flows(void)
{
    if (cl.opts.answer_len > SD_ANSWER_MAX) {
        cl.opts.answer_len = SD_ANSWER_MAX;
    }
    if (cl.opts.flow_count > ADDRESSES * 256) {
        sd_die("--flows must be at most %d", ADDRESSES * 256);
    }
    for (uint32_t i = 0; i < cl.config->service_count; i++) {
        if (cl.service_count < SERVICES_MAX &&
            (!cl.opts.only ||
             strcmp(cl.opts.only, cl.config->services[i].name.s) == 0))
        {
            cl.service_map[cl.service_count++] = i;
        }
    }
    if (cl.service_count == 0) {
        sd_die("the sections contain no service to call");
    }
    struct flow *flows = rg_calloc(cl.opts.flow_count, sizeof(*flows));
    cl.flows = flows;
    cl.start_ms = rg_clock_ms();
    for (uint32_t i = 0; i < cl.opts.flow_count; i++) {
        struct flow *f = &flows[i];
        f->slot = i;
        f->answer = rg_calloc(1, sizeof(struct sd_request) + SD_ANSWER_MAX);
        f->due_ms = cl.start_ms + rg_rand_below(&cl.rand, cl.opts.ramp_ms + 1);
    }
}

/* Counts flows that still wait for an answer at the end as broken. */
static void
count_unfinished(void)
{
    for (uint32_t i = 0; i < cl.opts.flow_count; i++) {
        cl.stats.broken += cl.flows[i].state == WAITING;
    }
}

int
main(int argc, char **argv)
{
    sd_callers_parse(&cl.opts, argc, argv);
    cl.rand.state = cl.opts.seed;
    uv_loop_init(&cl.loop);
    sd_stop_on_signal(&cl.loop);
    cl.config = sd_load_config(cl.opts.sections, cl.opts.section_count);
    init_flows();
    sd_udp_open(&cl.udp, &cl.loop, &cl.opts.listen, on_packet, NULL);
    sd_refusals_open(&cl.refusals, &cl.loop, &cl.opts.control,
                     &cl.opts.upstreams, &cl.stats);
    uv_timer_init(&cl.loop, &cl.timer);
    uv_timer_start(&cl.timer, on_timer, 1, 2);
    uv_signal_init(&cl.loop, &cl.stop_signal);
    uv_signal_start(&cl.stop_signal, on_stop_signal, SIGUSR1);
    uv_run(&cl.loop, UV_RUN_DEFAULT);
    count_unfinished();
    sd_callers_stats_print(&cl.stats);
    return 0;
}
