/* Upstreams: they open flows, run requests, answer callers directly, drain,
 * fall silent and start again. They check who sends them what. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/soak/soak.h"
#include "standin/soak/wire.h"

#define HOST_PORT 8080
#define REPORT_MS 400

struct flow {
    uint32_t caller;
    uint16_t port;
    uint16_t service_port;
    uint32_t service_ip;
    uint32_t token;
    uint32_t acked; /* the caller's next byte */
    uint64_t request;
    uint64_t due_ms; /* its answer, 0: none waits */
    bool answered;
};

static gpointer
key_of(const struct soak_packet *p)
{
    return GSIZE_TO_POINTER((gsize)p->src << 16 | p->sport);
}

static void
send_to_caller(struct soak_upstream *h, const struct soak_packet *p)
{
    uint8_t out[SOAK_HEADER_LEN + SOAK_DATA_MAX];
    size_t len = soak_pack(p, out);
    uv_buf_t buf = uv_buf_init((char *)out, (unsigned)len);
    struct sockaddr_in to = {
        .sin_family = AF_INET,
        .sin_port = htons(SOAK_PACKET_PORT),
        .sin_addr.s_addr = htonl(p->dst),
    };

    uv_udp_try_send(&h->udp, &buf, 1, (const struct sockaddr *)&to);
}

static void
reply(struct soak_upstream *h, const struct flow *f, uint8_t flags,
      uint32_t seq, const char *data)
{
    struct soak_packet p = {
        .token = f->token,
        .seq = seq,
        .ack = f->acked,
        .src = f->service_ip,
        .sport = f->service_port,
        .dst = f->caller,
        .dport = f->port,
        .flags = flags,
        .len = (uint16_t)strlen(data),
    };

    snprintf(p.data, sizeof(p.data), "%s", data);
    send_to_caller(h, &p);
}

static void
reset(struct soak_upstream *h, const struct soak_packet *in)
{
    struct flow f = {.caller = in->src,
                     .port = in->sport,
                     .service_ip = in->dst,
                     .service_port = in->dport};

    reply(h, &f, SOAK_RST | SOAK_ACK, 1, "");
}

static void
check_opening(struct soak *s, struct soak_upstream *h,
              const struct soak_packet *p, const struct soak_edge *e)
{
    bool calm = e && soak_is_settled(s, e->disturbed_ms) &&
                soak_is_settled(s, s->store_disturbed_ms);

    if (h->draining_ms && calm && s->now_ms - h->draining_ms > SOAK_DRAIN_MS) {
        soak_fail(s, "upstream %d got a flow %lu ms after it drained",
                  h->index, s->now_ms - h->draining_ms);
    }
    if (p->dport == 1000 && !s->probe_route && calm &&
        s->now_ms - s->probe_ms > SOAK_APPLY_MS)
    {
        soak_fail(s, "edge %d sent a flow on a route removed %lu ms ago",
                  e->index, s->now_ms - s->probe_ms);
    }
}

static int
service_of(const struct soak_packet *p)
{
    return (p->dst & 0xff) == 2 ? 1 : 0;
}

static void
run_request(struct soak *s, struct soak_upstream *h, struct flow *f,
            const struct soak_packet *p)
{
    unsigned long long request;
    gpointer key;

    if (sscanf(p->data, "REQ %llu", &request) != 1) {
        soak_fail(s, "upstream %d got data nobody sent", h->index);
        return;
    }
    if (f->request == request) {
        if (f->answered) {
            f->due_ms = s->now_ms;
        }
        return;
    }
    f->request = request;
    f->answered = false;
    f->due_ms = s->now_ms + 1 + rg_rand_below(&s->rand, h->work_ms * 2);
    key = GSIZE_TO_POINTER(request);
    gsize runs = GPOINTER_TO_SIZE(g_hash_table_lookup(s->runs, key)) + 1;
    g_hash_table_insert(s->runs, key, GSIZE_TO_POINTER(runs));
    if (runs > 1 && p->dport == 444) {
        soak_fail(s, "request %llu ran %zu times", request, runs);
    }
}

static void
take_packet(struct soak *s, struct soak_upstream *h,
            const struct soak_packet *p, const struct soak_edge *from)
{
    struct flow *f = g_hash_table_lookup(h->flows, key_of(p));

    if (service_of(p) != h->service) {
        soak_fail(s, "upstream %d of service %d got a packet for %d", h->index,
                  h->service, service_of(p));
        return;
    }
    if (p->flags & SOAK_SYN) {
        check_opening(s, h, p, from);
        if (!f) {
            f = g_new0(struct flow, 1);
            g_hash_table_insert(h->flows, key_of(p), f);
        }
        *f = (struct flow){.caller = p->src,
                           .port = p->sport,
                           .service_ip = p->dst,
                           .service_port = p->dport,
                           .token = p->token,
                           .acked = p->seq + 1};
        reply(h, f, SOAK_SYN | SOAK_ACK, 100, "");
        return;
    }
    if (!f) {
        if (!(p->flags & (SOAK_FIN | SOAK_RST))) {
            reset(h, p);
        }
        return;
    }
    f->token = p->token;
    if (p->len > 0) {
        f->acked = p->seq + p->len;
        run_request(s, h, f, p);
    }
    if (p->flags & (SOAK_FIN | SOAK_RST)) {
        g_hash_table_remove(h->flows, key_of(p));
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
    struct soak_upstream *h = udp->data;
    struct soak *s = udp->loop->data;
    const uint8_t *in = (const uint8_t *)buf->base;
    struct soak_packet p;
    uint64_t wanted = 0;

    (void)flags;
    if (len <= SOAK_PREFIX_LEN || !from || !h->up || h->dark) {
        return;
    }
    for (int i = 0; i < SOAK_PREFIX_LEN; i++) {
        wanted = wanted << 8 | in[i];
    }
    if (wanted != 0 && wanted != h->id) {
        return;
    }
    if (!soak_unpack(&p, in + SOAK_PREFIX_LEN, (size_t)len - SOAK_PREFIX_LEN))
    {
        soak_fail(s, "upstream %d got a malformed packet", h->index);
        return;
    }
    take_packet(s, h, &p, soak_edge_by_address(s, from));
}

static void
key_text(const struct soak_upstream *h, char out[64])
{
    snprintf(out, 64, "servers/i-%010lx", h->id);
}

void
soak_upstream_put_entry(struct soak *s, struct soak_upstream *h)
{
    char key[64];
    char ip[32];
    char value[256];

    key_text(h, key);
    soak_ip(s, 3, h->index + 1, ip);
    snprintf(value, sizeof(value),
             "{\"Service\":\"s%d\",\"Address\":\"%s:%d\",\"Zone\":\"z%d\","
             "\"Version\":\"v1\",\"Slots\":2,\"State\":\"%s\","
             "\"ColdLeftMs\":0,\"Seq\":1,\"born\":%lu}",
             h->service, ip, HOST_PORT, h->index % 2,
             h->leaving ? "draining" : "ready", h->born_ms);
    soak_store_put(s, key, value);
    if (h->leaving && !h->draining_ms) {
        h->draining_ms = s->now_ms;
    }
}

static void
begin_life(struct soak *s, struct soak_upstream *h)
{
    h->id = rg_rand_next(&s->rand) & 0xffffffffff;
    h->born_ms = s->now_ms;
    h->up = true;
    h->dark = false;
    h->leaving = false;
    h->draining_ms = 0;
    h->work_ms = 10 + rg_rand_below(&s->rand, 20);
    soak_upstream_put_entry(s, h);
}

void
soak_upstream_start(struct soak *s, int service)
{
    struct soak_upstream *h = &s->hosts[s->host_count];
    struct sockaddr_in sa;
    char ip[32];

    h->index = s->host_count++;
    h->service = service;
    h->flows = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    soak_ip(s, 3, h->index + 1, ip);
    uv_ip4_addr(ip, HOST_PORT, &sa);
    uv_udp_init(&s->loop, &h->udp);
    h->udp.data = h;
    if (uv_udp_bind(&h->udp, (const struct sockaddr *)&sa, 0) < 0) {
        soak_fail(s, "upstream %d cannot bind", h->index);
    }
    uv_udp_recv_start(&h->udp, on_alloc, on_datagram);
    begin_life(s, h);
}

/* Silent, with its flows lost; its entry lapses later. */
void
soak_upstream_crash(struct soak *s, struct soak_upstream *h)
{
    h->dark = true;
    h->disturbed_ms = s->now_ms;
    g_hash_table_remove_all(h->flows);
}

void
soak_upstream_restart(struct soak *s, struct soak_upstream *h)
{
    char key[64];

    key_text(h, key);
    soak_store_remove(s, key);
    g_hash_table_remove_all(h->flows);
    h->disturbed_ms = s->now_ms;
    begin_life(s, h);
}

void
soak_upstream_drain(struct soak *s, struct soak_upstream *h)
{
    h->leaving = true;
    soak_upstream_put_entry(s, h);
}

void
soak_upstreams_tick(struct soak *s)
{
    for (int i = 0; i < s->host_count; i++) {
        struct soak_upstream *h = &s->hosts[i];
        GHashTableIter iter;
        gpointer value;
        char text[64];
        if (h->dark) {
            h->disturbed_ms = s->now_ms;
            continue;
        }
        g_hash_table_iter_init(&iter, h->flows);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            struct flow *f = value;
            if (f->due_ms && s->now_ms >= f->due_ms) {
                f->due_ms = 0;
                f->answered = true;
                snprintf(text, sizeof(text), "ANS %lu %lx", f->request, h->id);
                reply(h, f, SOAK_ACK, 101, text);
            }
        }
    }
}
