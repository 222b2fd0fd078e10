/* Simulated upstreams: they accept flows, execute requests, answer callers
 * directly, drain, crash and restart. They check that the packets they get are
 * meant for them. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/soak/soak.h"
#include "standin/soak/wire.h"

#define UPSTREAM_PORT 8080
#define REPORT_MS 400
/* Retransmission of a SYN+ACK or an answer that is not acknowledged. */
#define RETRANSMIT_MS 200
#define RETRANSMIT_MAX_MS 1600
#define RETRANSMISSIONS_MAX 8
/* Every so many answers one has several packets. */
#define LONG_ANSWER_EVERY 4
#define LONG_ANSWER_PARTS 6

struct flow {
    uint32_t caller_ip;
    uint16_t caller_port;
    uint16_t service_port;
    uint32_t service_ip;
    uint32_t token;
    uint32_t caller_seq; /* of the opening */
    uint32_t seq;        /* of the SYN+ACK */
    uint32_t sent;       /* bytes sent after it */
    uint32_t acked;      /* of these, acknowledged by the caller */
    uint32_t next_seq;   /* next sequence number expected of the caller */
    bool open;           /* the caller has acknowledged the SYN+ACK */
    uint64_t retransmit_at_ms; /* of the SYN+ACK or the answer */
    uint32_t retransmit_ms;
    int retransmissions;
    uint64_t request;
    uint64_t due_ms; /* when to send the next part of the answer; 0: never */
    uint32_t answer_at; /* bytes sent before the answer */
    uint32_t parts;     /* packets of the answer */
    uint32_t part;      /* packets of it sent */
};

static gpointer
flow_key(const struct soak_packet *p)
{
    return GSIZE_TO_POINTER((gsize)p->src << 16 | p->sport);
}

static void
send_to_caller(struct soak_upstream *u, const struct soak_packet *p)
{
    uint8_t out[SOAK_HEADER_LEN + SOAK_DATA_MAX];
    size_t len = soak_pack(p, out);
    uv_buf_t buf = uv_buf_init((char *)out, (unsigned)len);
    struct soak *s = u->udp.loop->data;
    struct sockaddr_in to = {
        .sin_family = AF_INET,
        .sin_port = htons(SOAK_PACKET_PORT),
        .sin_addr.s_addr = htonl(p->dst),
    };

    if (!soak_loses_datagram(s)) {
        uv_udp_try_send(&u->udp, &buf, 1, (const struct sockaddr *)&to);
    }
}

static void
reply(struct soak_upstream *u, const struct flow *f, uint8_t flags,
      uint32_t seq, const char *data)
{
    struct soak_packet p = {
        .token = f->token,
        .seq = seq,
        .ack = f->next_seq,
        .src = f->service_ip,
        .sport = f->service_port,
        .dst = f->caller_ip,
        .dport = f->caller_port,
        .flags = flags,
        .len = (uint16_t)strlen(data),
    };

    snprintf(p.data, sizeof(p.data), "%s", data);
    send_to_caller(u, &p);
}

static void
send_reset(struct soak_upstream *u, const struct soak_packet *in)
{
    struct flow f = {.caller_ip = in->src,
                     .caller_port = in->sport,
                     .service_ip = in->dst,
                     .service_port = in->dport};

    reply(u, &f, SOAK_RST | SOAK_ACK, in->ack, "");
}

static void
check_opening(struct soak *s, struct soak_upstream *u,
              const struct soak_packet *p, const struct soak_edge *e)
{
    bool settled = e && soak_is_settled(s, e->disturbed_ms) &&
                   soak_is_settled(s, s->store_disturbed_ms);

    if (settled) {
        soak_evacuation_check_opening(s, u, e);
    }
    if (u->draining_ms && settled &&
        s->now_ms - u->draining_ms > SOAK_DRAIN_MS) {
        soak_fail(
            s, "upstream %d got a new flow %lu ms after it started to drain",
            u->index, s->now_ms - u->draining_ms);
    }
    if (p->dport == 1000 && !s->has_toggled_route && settled &&
        s->now_ms - s->toggled_ms > SOAK_APPLY_MS)
    {
        soak_fail(s,
                  "edge %d forwarded an opening on a route removed %lu ms ago",
                  e->index, s->now_ms - s->toggled_ms);
    }
}

static int
service_index(const struct soak_packet *p)
{
    return (p->dst & 0xff) == 2 ? 1 : 0;
}

static void
execute_request(struct soak *s, struct soak_upstream *u, struct flow *f,
                const struct soak_packet *p)
{
    unsigned long long request;
    unsigned slow_ms;
    gpointer key;

    if (sscanf(p->data, "REQ %llu %u", &request, &slow_ms) != 2) {
        soak_fail(s, "upstream %d got data that is not a request", u->index);
        return;
    }
    if (f->request == request) {
        if (f->part == f->parts) {
            f->part = 0;
            f->due_ms = s->now_ms;
        }
        return;
    }
    f->request = request;
    f->retransmissions = 0;
    f->retransmit_ms = RETRANSMIT_MS;
    f->answer_at = f->sent;
    f->part = 0;
    f->parts = rg_rand_below(&s->rand, LONG_ANSWER_EVERY)
                   ? 1
                   : 2 + rg_rand_below(&s->rand, LONG_ANSWER_PARTS - 1);
    f->due_ms =
        s->now_ms + 1 + slow_ms + rg_rand_below(&s->rand, u->service_ms * 2);
    key = GSIZE_TO_POINTER(request);
    gsize executions =
        GPOINTER_TO_SIZE(g_hash_table_lookup(s->executions, key)) + 1;
    g_hash_table_insert(s->executions, key, GSIZE_TO_POINTER(executions));
    if (executions > 1 && p->dport == 444) {
        soak_fail(s,
                  "request %llu was executed %zu times, expected at most once",
                  request, executions);
    }
}

/* A retransmitted opening gets the same SYN+ACK again and changes nothing. */
static void
handle_opening(struct soak *s, struct soak_upstream *u, struct flow *f,
               const struct soak_packet *p)
{
    if (!f || f->caller_seq != p->seq) {
        f = g_new0(struct flow, 1);
        *f = (struct flow){.caller_ip = p->src,
                           .caller_port = p->sport,
                           .service_ip = p->dst,
                           .service_port = p->dport,
                           .token = p->token,
                           .caller_seq = p->seq,
                           .seq = (uint32_t)rg_rand_next(&s->rand),
                           .next_seq = p->seq + 1,
                           .retransmit_ms = RETRANSMIT_MS,
                           .retransmit_at_ms = s->now_ms + RETRANSMIT_MS};
        g_hash_table_replace(u->flows, flow_key(p), f);
    }
    reply(u, f, SOAK_SYN | SOAK_ACK, f->seq, "");
}

static void
handle_packet(struct soak *s, struct soak_upstream *u,
              const struct soak_packet *p, struct soak_edge *from)
{
    struct flow *f = g_hash_table_lookup(u->flows, flow_key(p));

    if (service_index(p) != u->service) {
        soak_fail(s, "upstream %d of service %d got a packet for service %d",
                  u->index, u->service, service_index(p));
        return;
    }
    if (p->flags & SOAK_SYN) {
        soak_callers_note_packet(s, u, p, from, false);
        check_opening(s, u, p, from);
        handle_opening(s, u, f, p);
        return;
    }
    bool holds = f && p->ack - (f->seq + 1) <= f->sent;
    soak_callers_note_packet(s, u, p, from, holds);
    if (!holds) {
        if (!(p->flags & (SOAK_FIN | SOAK_RST))) {
            send_reset(u, p);
        }
        return;
    }
    f->open = true;
    f->token = p->token;
    f->acked = MAX(f->acked, p->ack - (f->seq + 1));
    if (p->len > 0) {
        f->next_seq = p->seq + p->len;
        execute_request(s, u, f, p);
    }
    if (p->flags & (SOAK_FIN | SOAK_RST)) {
        g_hash_table_remove(u->flows, flow_key(p));
    }
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    static char data[2048];

    (void)handle;
    (void)size;
    *buf = uv_buf_init(data, sizeof(data));
}

static void
on_datagram(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
            const struct sockaddr *from, unsigned flags)
{
    struct soak_upstream *u = udp->data;
    struct soak *s = udp->loop->data;
    const uint8_t *in = (const uint8_t *)buf->base;
    struct soak_packet p;
    uint64_t wanted_id = 0;

    (void)flags;
    if (len <= SOAK_PREFIX_LEN || !from || !u->up || u->crashed) {
        return;
    }
    for (int i = 0; i < SOAK_PREFIX_LEN; i++) {
        wanted_id = wanted_id << 8 | in[i];
    }
    if (soak_is_odd_entry(wanted_id)) {
        soak_fail(s, "a packet was sent to the odd entry i-%lx", wanted_id);
        return;
    }
    if (wanted_id != 0 && wanted_id != u->id) {
        return;
    }
    if (!soak_unpack(&p, in + SOAK_PREFIX_LEN, (size_t)len - SOAK_PREFIX_LEN))
    {
        soak_fail(s, "upstream %d got a malformed packet", u->index);
        return;
    }
    handle_packet(s, u, &p, soak_edge_by_address(s, from));
}

static void
entry_key(const struct soak_upstream *u, char out[64])
{
    snprintf(out, 64, "servers/i-%010lx", u->id);
}

void
soak_upstream_put_entry(struct soak *s, struct soak_upstream *u)
{
    char key[64];
    char ip[32];
    char value[256];

    entry_key(u, key);
    soak_ip(s, 3, u->index + 1, ip);
    snprintf(value, sizeof(value),
             "{\"Service\":\"s%d\",\"Address\":\"%s:%d\",\"Zone\":\"z%d\","
             "\"Version\":\"v1\",\"Slots\":2,\"State\":\"%s\","
             "\"ColdLeftMs\":0,\"Seq\":%u,\"born\":%lu}",
             u->service, ip, UPSTREAM_PORT, u->index % 2,
             u->draining ? "draining" : "ready", ++u->heartbeats,
             u->incarnation_ms);
    soak_store_put(s, key, value);
    if (u->draining && !u->draining_ms) {
        u->draining_ms = s->now_ms;
    }
}

static void
start_incarnation(struct soak *s, struct soak_upstream *u)
{
    u->id = rg_rand_next(&s->rand) & 0xffffffffff;
    u->incarnation_ms = s->now_ms;
    u->up = true;
    u->crashed = false;
    u->draining = false;
    u->draining_ms = 0;
    u->heartbeats = 0;
    u->service_ms = 10 + rg_rand_below(&s->rand, 20);
    soak_upstream_put_entry(s, u);
}

void
soak_upstream_start(struct soak *s, int service)
{
    struct soak_upstream *u = &s->upstreams[s->upstream_count];
    struct sockaddr_in sa;
    char ip[32];

    u->index = s->upstream_count++;
    u->service = service;
    u->flows = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    soak_ip(s, 3, u->index + 1, ip);
    uv_ip4_addr(ip, UPSTREAM_PORT, &sa);
    uv_udp_init(&s->loop, &u->udp);
    u->udp.data = u;
    if (uv_udp_bind(&u->udp, (const struct sockaddr *)&sa, 0) < 0) {
        soak_fail(s, "upstream %d cannot bind its address", u->index);
    }
    uv_udp_recv_start(&u->udp, on_alloc, on_datagram);
    start_incarnation(s, u);
}

/* Drops its flows and stops answering; its entry stays in the store until the
 * restart. */
void
soak_upstream_crash(struct soak *s, struct soak_upstream *u)
{
    u->crashed = true;
    u->disturbed_ms = s->now_ms;
    g_hash_table_remove_all(u->flows);
}

void
soak_upstream_restart(struct soak *s, struct soak_upstream *u)
{
    char key[64];

    entry_key(u, key);
    soak_store_remove(s, key);
    u->past_ids[u->restarts++ % SOAK_PAST_IDS] = u->id;
    g_hash_table_remove_all(u->flows);
    u->disturbed_ms = s->now_ms;
    start_incarnation(s, u);
}

void
soak_upstream_drain(struct soak *s, struct soak_upstream *u)
{
    u->draining = true;
    soak_upstream_put_entry(s, u);
}

void
soak_upstreams_restored(struct soak *s, uint64_t copy_ms)
{
    for (int i = 0; i < s->upstream_count; i++) {
        struct soak_upstream *u = &s->upstreams[i];
        if (u->draining_ms > copy_ms) {
            u->draining_ms = 0; /* until it writes its entry again */
        }
    }
}

void
soak_upstreams_rewrite(struct soak *s)
{
    for (int i = 0; i < s->upstream_count; i++) {
        struct soak_upstream *u = &s->upstreams[i];
        char key[64];
        for (int j = 0; j < SOAK_PAST_IDS; j++) {
            snprintf(key, sizeof(key), "servers/i-%010lx", u->past_ids[j]);
            soak_store_remove(s, key);
        }
        if (!u->crashed) {
            soak_upstream_put_entry(s, u);
        }
    }
}

/* True if all has been sent and the caller has acknowledged all. */
static bool
is_acknowledged(const struct flow *f)
{
    return f->open && (f->due_ms != 0 || f->acked == f->sent);
}

/* Sends a SYN+ACK or an answer again that the caller has not acknowledged.
 * Returns true if the upstream gives the flow up. */
static bool
retransmit(struct soak *s, struct soak_upstream *u, struct flow *f)
{
    if (is_acknowledged(f) || s->now_ms < f->retransmit_at_ms) {
        return false;
    }
    if (f->retransmissions++ == RETRANSMISSIONS_MAX) {
        return true;
    }
    if (f->open) {
        f->part = 0;
        f->due_ms = s->now_ms;
    }
    else {
        reply(u, f, SOAK_SYN | SOAK_ACK, f->seq, "");
    }
    f->retransmit_ms = MIN(f->retransmit_ms * 2, RETRANSMIT_MAX_MS);
    f->retransmit_at_ms = s->now_ms + f->retransmit_ms;
    return false;
}

/* Sends one packet of the answer at each tick. All have the same length. */
static void
send_answer_part(struct soak *s, struct soak_upstream *u, struct flow *f)
{
    char text[64];

    if (!f->due_ms || s->now_ms < f->due_ms) {
        return;
    }
    int len = snprintf(text, sizeof(text), "ANS %lu %lx %u %u", f->request,
                       u->id, f->part + 1, f->parts);
    uint32_t offset = f->answer_at + f->part * (uint32_t)len;
    reply(u, f, SOAK_ACK, f->seq + 1 + offset, text);
    f->sent = MAX(f->sent, offset + (uint32_t)len);
    f->part++;
    f->due_ms = f->part < f->parts ? s->now_ms + 1 : 0;
    f->retransmit_at_ms = s->now_ms + f->retransmit_ms;
}

void
soak_upstreams_tick(struct soak *s)
{
    for (int i = 0; i < s->upstream_count; i++) {
        struct soak_upstream *u = &s->upstreams[i];
        GHashTableIter iter;
        gpointer value;
        if (u->crashed) {
            u->disturbed_ms = s->now_ms;
            continue;
        }
        g_hash_table_iter_init(&iter, u->flows);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            if (retransmit(s, u, value)) {
                g_hash_table_iter_remove(&iter);
                continue;
            }
            send_answer_part(s, u, value);
        }
    }
}
