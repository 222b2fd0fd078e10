/* Simulated callers and the fabric: each request opens a flow, retransmits
 * what is not answered and checks what it receives. */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "standin/soak/soak.h"
#include "standin/soak/wire.h"

#define ATTEMPTS_MAX 3
#define OPENING_TIMEOUT_MS 1400

enum phase {
    OPENING,
    REQUEST, /* flow open, request sent */
};

struct request {
    uint64_t number;
    enum soak_route route;
    enum phase phase;
    int caller;
    uint16_t port;
    uint64_t start_ms;
    uint64_t opened_ms;           /* first SYN of the current flow */
    uint64_t next_ms;             /* next retransmission */
    uint32_t syn_retransmissions; /* in the current flow */
    uint32_t retransmit_ms;       /* between retransmissions of the request */
    int attempts;
    uint32_t token;
    bool after_faults;           /* started after the faults */
    struct soak_edge *last_edge; /* edge that got the last packet */
};

struct soak_callers {
    struct soak *soak;
    uv_udp_t udp[SOAK_CALLER_COUNT];
    GHashTable *open; /* caller and port -> struct request */
    uint64_t next_number;
    uint16_t next_port;
};

static gpointer
request_key(int caller, uint16_t port)
{
    return GSIZE_TO_POINTER((gsize)caller << 16 | port);
}

static uint32_t
caller_ip(const struct soak *s, int caller)
{
    return 127U << 24 | (uint32_t)s->net << 16 | 64U << 8 |
           (uint32_t)(caller + 1);
}

static uint16_t
route_port(enum soak_route route)
{
    static const uint16_t ports[] = {443, 444, 443, 1000};

    return ports[route];
}

static uint32_t
route_ip(enum soak_route route)
{
    return 0xc6120000 | (route == SOAK_GALLERY ? 2 : 1);
}

/* The fabric's choice: rendezvous hashing over the ready edges, or over all if
 * none is ready. */
static struct soak_edge *
pick_edge(struct soak *s, const struct request *r)
{
    struct soak_edge *best = NULL;
    uint64_t best_score = 0;

    for (int pass = 0; pass < 2 && !best; pass++) {
        for (int i = 0; i < s->edge_count; i++) {
            uint64_t score = rg_mix64((uint64_t)i << 40 |
                                      (uint64_t)r->caller << 16 | r->port);
            if ((pass || s->edges[i].ready) && score >= best_score) {
                best_score = score;
                best = &s->edges[i];
            }
        }
    }
    return best;
}

static void
send_packet(struct soak *s, struct request *r, uint8_t flags, uint32_t seq,
            uint32_t ack, const char *data)
{
    struct soak_packet p = {
        .token = flags & SOAK_SYN ? 0 : r->token,
        .seq = seq,
        .ack = ack,
        .src = caller_ip(s, r->caller),
        .sport = r->port,
        .dst = route_ip(r->route),
        .dport = route_port(r->route),
        .flags = flags,
        .len = (uint16_t)strlen(data),
    };
    uint8_t out[SOAK_HEADER_LEN + SOAK_DATA_MAX];
    struct sockaddr_in to;
    char ip[32];

    snprintf(p.data, sizeof(p.data), "%s", data);
    size_t len = soak_pack(&p, out);
    uv_buf_t buf = uv_buf_init((char *)out, (unsigned)len);
    r->last_edge = pick_edge(s, r);
    soak_ip(s, 1, r->last_edge->index + 1, ip);
    uv_ip4_addr(ip, SOAK_PACKET_PORT, &to);
    uv_udp_try_send(&s->callers->udp[r->caller], &buf, 1,
                    (const struct sockaddr *)&to);
}

static void
send_request(struct soak *s, struct request *r)
{
    char text[64];

    snprintf(text, sizeof(text), "REQ %lu", r->number);
    send_packet(s, r, SOAK_ACK, 1, 101, text);
}

static void
finish(struct soak *s, struct request *r, bool served)
{
    if (r->route != SOAK_TOGGLED) {
        s->served += served;
        s->calm_served += served && r->after_faults;
        if (r->after_faults && !served) {
            soak_fail(
                s, "request %lu was not served although all faults had ended",
                r->number);
        }
    }
    g_hash_table_remove(s->callers->open, request_key(r->caller, r->port));
}

/* Opens a new flow for the request. */
static void
open_flow(struct soak *s, struct request *r)
{
    struct soak_callers *c = s->callers;

    do {
        r->port = (uint16_t)(1024 + c->next_port++ % 60000);
    } while (g_hash_table_contains(c->open, request_key(r->caller, r->port)));
    g_hash_table_insert(c->open, request_key(r->caller, r->port), r);
    r->phase = OPENING;
    r->opened_ms = s->now_ms;
    r->syn_retransmissions = 0;
    r->next_ms = s->now_ms + 200;
    r->attempts++;
    send_packet(s, r, SOAK_SYN, 0, 0, "");
}

void
soak_callers_start_request(struct soak *s, enum soak_route route)
{
    struct request *r = g_new0(struct request, 1);

    r->number = ++s->callers->next_number;
    r->route = route;
    r->caller = (int)rg_rand_below(&s->rand, SOAK_CALLER_COUNT);
    r->start_ms = s->now_ms;
    r->after_faults = s->now_ms > s->faults_end_ms + SOAK_SETTLE_MS;
    if (route != SOAK_TOGGLED) {
        s->asked++;
        s->calm_asked += r->after_faults;
    }
    open_flow(s, r);
}

/* --- incoming packets ---------------------------------------------------- */

/* Retries the request on a new flow, or ends it as not served. */
static void
retry(struct soak *s, struct request *r, bool allowed)
{
    g_hash_table_steal(s->callers->open, request_key(r->caller, r->port));
    if (allowed && r->attempts < ATTEMPTS_MAX &&
        s->now_ms - r->start_ms < SOAK_DEADLINE_MS)
    {
        open_flow(s, r);
        return;
    }
    g_hash_table_insert(s->callers->open, request_key(r->caller, r->port), r);
    finish(s, r, false);
}

static void
check_reset(struct soak *s, const struct request *r)
{
    /* Edges may reset an open flow only if an upstream was disturbed lately.
     */
    bool settled = true;

    for (int i = 0; i < s->upstream_count; i++) {
        settled = settled && soak_is_settled(s, s->upstreams[i].disturbed_ms);
    }
    if (r->phase == REQUEST && settled && r->route != SOAK_TOGGLED) {
        soak_fail(s, "flow of request %lu was reset without a recent fault",
                  r->number);
    }
    if (r->phase == OPENING && r->route == SOAK_TOGGLED &&
        s->has_toggled_route &&
        s->now_ms - s->toggled_ms > SOAK_APPLY_MS + OPENING_TIMEOUT_MS &&
        soak_is_settled(s, s->store_disturbed_ms) &&
        soak_is_settled(s, r->last_edge->disturbed_ms))
    {
        soak_fail(s, "edge %d refused a route added %lu ms ago",
                  r->last_edge->index, s->now_ms - s->toggled_ms);
    }
}

static void
on_answer(struct soak *s, struct request *r, const struct soak_packet *p)
{
    unsigned long number;
    unsigned long upstream_id;

    if (sscanf(p->data, "ANS %lu %lx", &number, &upstream_id) != 2 ||
        number != r->number)
    {
        soak_fail(s, "request %lu got a wrong answer: '%s'", r->number,
                  p->data);
        return;
    }
    send_packet(s, r, SOAK_FIN | SOAK_ACK, 50, 101 + p->len, "");
    finish(s, r, true);
}

static void
on_datagram(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
            const struct sockaddr *from, unsigned flags)
{
    struct soak_callers *c = udp->data;
    struct soak *s = c->soak;
    int caller = (int)(udp - c->udp);
    struct soak_packet p;

    (void)flags;
    if (len <= 0 || !from ||
        !soak_unpack(&p, (const uint8_t *)buf->base, (size_t)len))
    {
        return;
    }
    struct request *r =
        g_hash_table_lookup(c->open, request_key(caller, p.dport));
    if (!r || p.src != route_ip(r->route) || p.sport != route_port(r->route)) {
        return; /* the flow has ended */
    }
    if (p.flags & SOAK_RST) {
        bool open = r->phase == REQUEST;
        /* Upstreams reset with sequence number 1, edges with others. */
        bool by_edge = p.seq != 1;
        if (by_edge || !open) {
            check_reset(s, r);
        }
        retry(s, r, !open || r->route != SOAK_ORDER);
        return;
    }
    if (p.token) {
        r->token = p.token;
    }
    if (p.flags & SOAK_SYN && r->phase == OPENING) {
        r->phase = REQUEST;
        r->retransmit_ms = 200;
        r->next_ms = s->now_ms + r->retransmit_ms;
        send_request(s, r);
    }
    else if (p.len > 0 && r->phase == REQUEST) {
        on_answer(s, r, &p);
    }
}

static void
step_request(struct soak *s, struct request *r)
{
    if (s->now_ms - r->start_ms >= SOAK_DEADLINE_MS) {
        finish(s, r, false);
        return;
    }
    if (r->phase == OPENING && s->now_ms - r->opened_ms >= OPENING_TIMEOUT_MS)
    {
        retry(s, r, true);
        return;
    }
    if (s->now_ms < r->next_ms) {
        return;
    }
    if (r->phase == REQUEST) {
        r->retransmit_ms *= 2;
        r->next_ms = s->now_ms + r->retransmit_ms;
        send_request(s, r);
        return;
    }
    r->syn_retransmissions++;
    r->next_ms = r->syn_retransmissions < 2
                     ? r->opened_ms + 600
                     : r->opened_ms + OPENING_TIMEOUT_MS;
    if (r->syn_retransmissions <= 2) {
        send_packet(s, r, SOAK_SYN, 0, r->syn_retransmissions, "");
    }
}

void
soak_callers_tick(struct soak *s)
{
    GList *open = g_hash_table_get_values(s->callers->open);

    for (GList *at = open; at; at = at->next) {
        step_request(s, at->data);
    }
    g_list_free(open);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    static char data[2048];

    (void)handle;
    (void)size;
    *buf = uv_buf_init(data, sizeof(data));
}

void
soak_callers_start(struct soak *s)
{
    struct soak_callers *c = g_new0(struct soak_callers, 1);
    struct sockaddr_in sa;
    char ip[32];

    s->callers = c;
    c->soak = s;
    c->open = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    for (int i = 0; i < SOAK_CALLER_COUNT; i++) {
        soak_ip(s, 64, i + 1, ip);
        uv_ip4_addr(ip, SOAK_PACKET_PORT, &sa);
        uv_udp_init(&s->loop, &c->udp[i]);
        c->udp[i].data = c;
        if (uv_udp_bind(&c->udp[i], (const struct sockaddr *)&sa, 0) < 0) {
            soak_fail(s, "caller %d cannot bind its address", i);
        }
        uv_udp_recv_start(&c->udp[i], on_alloc, on_datagram);
    }
}
