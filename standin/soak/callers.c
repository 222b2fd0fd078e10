/* Callers behind the fabric: each request opens a flow, repeats what goes
 * unanswered and checks what comes back. */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "standin/soak/soak.h"
#include "standin/soak/wire.h"

#define TRIES_MOST 3
#define OPENING_LIFE_MS 1400

enum phase {
    OPENING,
    REQUEST, /* open; the request was sent */
};

struct request {
    uint64_t number;
    enum soak_route route;
    enum phase phase;
    int caller;
    uint16_t port;
    uint64_t asked_ms;
    uint64_t opened_ms; /* this try began */
    uint64_t next_ms;   /* send again then */
    uint32_t copies;
    uint32_t pause_ms;
    int tries;
    uint32_t token;
    bool calm;              /* asked after the faults */
    struct soak_edge *last; /* edge it was last sent to */
};

struct soak_callers {
    struct soak *soak;
    uv_udp_t udp[SOAK_CALLER_COUNT];
    GHashTable *open; /* caller and port -> struct request */
    uint64_t next_number;
    uint16_t next_port;
};

static gpointer
key_of(int caller, uint16_t port)
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

/* The fabric: by rendezvous over the edges in rotation; all of them if none
 * is. */
static struct soak_edge *
pick_edge(struct soak *s, const struct request *r)
{
    struct soak_edge *best = NULL;
    uint64_t most = 0;

    for (int pass = 0; pass < 2 && !best; pass++) {
        for (int i = 0; i < s->edge_count; i++) {
            uint64_t score = rg_mix64((uint64_t)i << 40 |
                                      (uint64_t)r->caller << 16 | r->port);
            if ((pass || s->edges[i].ready) && score >= most) {
                most = score;
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
    r->last = pick_edge(s, r);
    soak_ip(s, 1, r->last->index + 1, ip);
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
        s->calm_served += served && r->calm;
        if (r->calm && !served) {
            soak_fail(s, "request %lu was not served after the faults",
                      r->number);
        }
    }
    g_hash_table_remove(s->callers->open, key_of(r->caller, r->port));
}

/* A new flow for the same request. */
static void
open_flow(struct soak *s, struct request *r)
{
    struct soak_callers *c = s->callers;

    do {
        r->port = (uint16_t)(1024 + c->next_port++ % 60000);
    } while (g_hash_table_contains(c->open, key_of(r->caller, r->port)));
    g_hash_table_insert(c->open, key_of(r->caller, r->port), r);
    r->phase = OPENING;
    r->opened_ms = s->now_ms;
    r->copies = 0;
    r->next_ms = s->now_ms + 200;
    r->tries++;
    send_packet(s, r, SOAK_SYN, 0, 0, "");
}

void
soak_callers_start_request(struct soak *s, enum soak_route route)
{
    struct request *r = g_new0(struct request, 1);

    r->number = ++s->callers->next_number;
    r->route = route;
    r->caller = (int)rg_rand_below(&s->rand, SOAK_CALLER_COUNT);
    r->asked_ms = s->now_ms;
    r->calm = s->now_ms > s->faults_end_ms + SOAK_SETTLE_MS;
    if (route != SOAK_TOGGLED) {
        s->asked++;
        s->calm_asked += r->calm;
    }
    open_flow(s, r);
}

/* --- what comes back ----------------------------------------------------- */

/* Moves the request to a new flow, or ends it. */
static void
try_again(struct soak *s, struct request *r, bool allowed)
{
    g_hash_table_steal(s->callers->open, key_of(r->caller, r->port));
    if (allowed && r->tries < TRIES_MOST &&
        s->now_ms - r->asked_ms < SOAK_DEADLINE_MS)
    {
        open_flow(s, r);
        return;
    }
    g_hash_table_insert(s->callers->open, key_of(r->caller, r->port), r);
    finish(s, r, false);
}

static void
check_reset(struct soak *s, const struct request *r)
{
    /* A reset by the system on an open flow: only where an upstream was
     * disturbed lately may it be right. */
    bool calm = true;

    for (int i = 0; i < s->host_count; i++) {
        calm = calm && soak_is_settled(s, s->hosts[i].disturbed_ms);
    }
    if (r->phase == REQUEST && calm && r->route != SOAK_TOGGLED) {
        soak_fail(s, "flow of request %lu was reset with all calm", r->number);
    }
    if (r->phase == OPENING && r->route == SOAK_TOGGLED && s->probe_route &&
        s->now_ms - s->probe_ms > SOAK_APPLY_MS + OPENING_LIFE_MS &&
        soak_is_settled(s, s->store_disturbed_ms) &&
        soak_is_settled(s, r->last->disturbed_ms))
    {
        soak_fail(s, "edge %d refused a route added %lu ms ago",
                  r->last->index, s->now_ms - s->probe_ms);
    }
}

static void
take_answer(struct soak *s, struct request *r, const struct soak_packet *p)
{
    unsigned long number;
    unsigned long host;

    if (sscanf(p->data, "ANS %lu %lx", &number, &host) != 2 ||
        number != r->number) {
        soak_fail(s, "request %lu got the answer '%s'", r->number, p->data);
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
    struct request *r = g_hash_table_lookup(c->open, key_of(caller, p.dport));
    if (!r || p.src != route_ip(r->route) || p.sport != route_port(r->route)) {
        return; /* of a flow that has ended */
    }
    if (p.flags & SOAK_RST) {
        bool open = r->phase == REQUEST;
        bool own = p.seq != 1; /* upstreams write 1 */
        if (own || !open) {
            check_reset(s, r);
        }
        try_again(s, r, !open || r->route != SOAK_ORDER);
        return;
    }
    if (p.token) {
        r->token = p.token;
    }
    if (p.flags & SOAK_SYN && r->phase == OPENING) {
        r->phase = REQUEST;
        r->pause_ms = 200;
        r->next_ms = s->now_ms + r->pause_ms;
        send_request(s, r);
    }
    else if (p.len > 0 && r->phase == REQUEST) {
        take_answer(s, r, &p);
    }
}

static void
step(struct soak *s, struct request *r)
{
    if (s->now_ms - r->asked_ms >= SOAK_DEADLINE_MS) {
        finish(s, r, false);
        return;
    }
    if (r->phase == OPENING && s->now_ms - r->opened_ms >= OPENING_LIFE_MS) {
        try_again(s, r, true);
        return;
    }
    if (s->now_ms < r->next_ms) {
        return;
    }
    if (r->phase == REQUEST) {
        r->pause_ms *= 2;
        r->next_ms = s->now_ms + r->pause_ms;
        send_request(s, r);
        return;
    }
    r->copies++;
    r->next_ms =
        r->copies < 2 ? r->opened_ms + 600 : r->opened_ms + OPENING_LIFE_MS;
    if (r->copies <= 2) {
        send_packet(s, r, SOAK_SYN, 0, r->copies, "");
    }
}

void
soak_callers_tick(struct soak *s)
{
    GList *open = g_hash_table_get_values(s->callers->open);

    for (GList *at = open; at; at = at->next) {
        step(s, at->data);
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
            soak_fail(s, "caller %d cannot bind", i);
        }
        uv_udp_recv_start(&c->udp[i], on_alloc, on_datagram);
    }
}
