/* Simulated callers: they open flows for one request or for
 * several, retransmit what is not answered and check what they receive, by the
 * rule on open flows above all. Each flow keeps a history, printed with a
 * finding: "e1" is an edge, "u2" an upstream, times are from its start. */
#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "standin/soak/soak.h"
#include "standin/soak/wire.h"

#define ATTEMPTS_MAX 3
#define OPENING_TIMEOUT_MS 1400
#define RETRANSMIT_MS 200
#define RETRANSMIT_MAX_MS 1600
/* Every so many flows one has up to so many requests, with pauses. */
#define LONG_FLOW_EVERY 6
#define LONG_FLOW_REQUESTS 6
#define PAUSE_MIN_MS 100
#define PAUSE_MAX_MS 1500
/* Every so many pauses one is much longer. */
#define LONG_PAUSE_EVERY 5
#define LONG_PAUSE_MAX_MS 9000
/* Every so many answers one is acknowledged late. */
#define LATE_ACK_EVERY 2
#define LATE_ACK_MS 40
/* Every so many requests one takes long without any fault. */
#define SLOW_EVERY 40
/* The fabric delivers every so many openings late. */
#define LATE_EVERY 25
/* Of an open flow's packets that reach other upstreams. */
#define MISROUTED_MIN 3
/* A reset's sequence number is at most so far from the last one that the
 * caller acknowledged. */
#define RESET_WINDOW 76800

enum phase {
    OPENING,
    REQUEST, /* flow open, request sent */
    PAUSE,   /* flow open, request answered, another will follow */
};

struct request {
    uint64_t number; /* of the current request */
    enum soak_route route;
    enum phase phase;
    int caller;
    uint16_t port;
    uint64_t start_ms;
    uint32_t slow_ms;             /* the upstream takes so much longer */
    int left;                     /* further requests on this flow */
    uint64_t opened_ms;           /* first SYN of the current flow */
    uint64_t next_ms;             /* next retransmission, or end of a pause */
    uint64_t late_ack_ms;         /* when to acknowledge, 0: nothing is due */
    uint32_t syn_retransmissions; /* in the current flow */
    uint32_t retransmit_ms;       /* between retransmissions of the request */
    int attempts;
    uint32_t token;
    uint32_t first_seq;             /* of the opening */
    uint32_t seq;                   /* of the current request */
    uint32_t ack;                   /* next byte expected of the upstream */
    struct soak_upstream *taken;    /* whose SYN+ACK the caller took */
    uint64_t taken_id;              /* its id then */
    bool open;                      /* the acknowledgement has reached it */
    uint64_t own_ms;                /* last packet there */
    unsigned misrouted;             /* packets at other upstreams since */
    struct soak_edge *misrouted_by; /* edge that forwarded the last of them */
    bool misroute_reported;
    GString *history;            /* of the current flow */
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

static void __attribute__((format(printf, 3, 4)))
note(const struct soak *s, struct request *r, const char *format, ...)
{
    va_list ap;

    g_string_append_printf(r->history, " +%lu ", s->now_ms - r->opened_ms);
    va_start(ap, format);
    g_string_append_vprintf(r->history, format, ap);
    va_end(ap);
}

/* Reports a violation and the flow's history. */
static void
fail_flow(struct soak *s, const struct request *r, const char *what)
{
    soak_fail(s, "flow 127.%d.64.%d:%u of request %lu %s:%s", s->net,
              r->caller + 1, r->port, r->number, what, r->history->str);
}

static void
free_request(gpointer p)
{
    struct request *r = p;

    g_string_free(r->history, TRUE);
    g_free(r);
}

static void
send_packet(struct soak *s, struct request *r, uint8_t flags, uint32_t seq,
            uint32_t ack, const char *data)
{
    bool opening = flags & SOAK_SYN;
    struct soak_packet p = {
        .token = opening ? 0 : r->token,
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
    uv_udp_t *from = &s->callers->udp[r->caller];

    snprintf(p.data, sizeof(p.data), "%s", data);
    size_t len = soak_pack(&p, out);
    r->last_edge = soak_fabric_pick(s, r->caller, r->port);
    r->late_ack_ms = 0; /* this packet acknowledges, too */
    if (opening && rg_rand_below(&s->rand, LATE_EVERY) == 0) {
        note(s, r, "syn%u>e%d,late", ack, r->last_edge->index);
        soak_fabric_deliver_late(s, from, r->last_edge, out, len);
        return;
    }
    if (opening) {
        note(s, r, "syn%u>e%d", ack, r->last_edge->index);
    }
    else {
        note(s, r, "%s>e%d", *data ? "data" : "ack", r->last_edge->index);
    }
    soak_fabric_deliver(s, from, r->last_edge, out, len);
}

static void
send_request(struct soak *s, struct request *r)
{
    char text[64];

    snprintf(text, sizeof(text), "REQ %lu %u", r->number, r->slow_ms);
    send_packet(s, r, SOAK_ACK, r->seq, r->ack, text);
}

/* Sequence number after the current request. */
static uint32_t
seq_after(const struct request *r)
{
    char text[64];

    return r->seq + (uint32_t)snprintf(text, sizeof(text), "REQ %lu %u",
                                       r->number, r->slow_ms);
}

static void
count_request(struct soak *s, struct request *r)
{
    r->number = ++s->callers->next_number;
    r->start_ms = s->now_ms;
    r->attempts = 0;
    r->slow_ms = rg_rand_below(&s->rand, SLOW_EVERY)
                     ? 0
                     : rg_rand_below(&s->rand, SOAK_SLOW_MAX_MS);
    if (r->route != SOAK_TOGGLED) {
        s->asked++;
        s->calm_asked += r->after_faults;
    }
}

static void
count_served(struct soak *s, const struct request *r, bool served)
{
    if (r->route == SOAK_TOGGLED) {
        return;
    }
    s->served += served;
    s->calm_served += served && r->after_faults;
    if (r->after_faults && !served) {
        fail_flow(s, r, "was not served although all faults had ended");
    }
}

static void
end_flow(struct soak *s, struct request *r)
{
    g_hash_table_remove(s->callers->open, request_key(r->caller, r->port));
}

static void
finish(struct soak *s, struct request *r, bool served)
{
    count_served(s, r, served);
    end_flow(s, r);
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
    r->first_seq = (uint32_t)rg_rand_next(&s->rand);
    r->token = 0;
    r->taken = NULL;
    r->open = false;
    r->misrouted = 0;
    r->misroute_reported = false;
    g_string_truncate(r->history, 0);
    r->syn_retransmissions = 0;
    r->late_ack_ms = 0;
    r->next_ms = s->now_ms + 200;
    r->attempts++;
    send_packet(s, r, SOAK_SYN, r->first_seq, 0, "");
}

void
soak_callers_start_request(struct soak *s, enum soak_route route)
{
    struct request *r = g_new0(struct request, 1);

    r->route = route;
    r->caller = (int)rg_rand_below(&s->rand, SOAK_CALLER_COUNT);
    r->history = g_string_new(NULL);
    /* Holds for all requests of the flow: an upstream that left in the time of
     * faults may end an older flow. */
    r->after_faults = s->now_ms > s->faults_end_ms + SOAK_SETTLE_MS;
    if (rg_rand_below(&s->rand, LONG_FLOW_EVERY) == 0) {
        r->left = 1 + (int)rg_rand_below(&s->rand, LONG_FLOW_REQUESTS - 1);
    }
    count_request(s, r);
    open_flow(s, r);
}

/* --- incoming packets ---------------------------------------------------- */

/* Retries the request on a new flow, or ends it as not served. */
static void
retry(struct soak *s, struct request *r, bool allowed)
{
    g_hash_table_steal(s->callers->open, request_key(r->caller, r->port));
    if (allowed && r->attempts < ATTEMPTS_MAX &&
        s->now_ms - r->start_ms < SOAK_DEADLINE_MS + r->slow_ms)
    {
        open_flow(s, r);
        return;
    }
    g_hash_table_insert(s->callers->open, request_key(r->caller, r->port), r);
    finish(s, r, false);
}

/* True if the rule on open flows holds for the flow now, apart from faults at
 * the edges: its upstream lives and has not been disturbed lately, and its
 * route was not removed since it opened. */
static bool
is_protected(const struct soak *s, const struct request *r)
{
    bool route_kept = r->route != SOAK_TOGGLED ||
                      (s->has_toggled_route && s->toggled_ms < r->opened_ms);

    return r->open && route_kept && r->taken->id == r->taken_id &&
           r->taken->up && !r->taken->crashed &&
           soak_is_settled(s, r->taken->disturbed_ms);
}

/* A reset by an edge or an upstream; the other of the two is NULL. */
static void
check_reset(struct soak *s, const struct request *r,
            const struct soak_packet *p, const struct soak_edge *edge,
            const struct soak_upstream *u)
{
    char what[96];
    const struct soak_edge *by = edge ? edge : r->misrouted_by;

    if (u != r->taken && is_protected(s, r) &&
        (!by || soak_is_settled(s, by->unplanned_ms)))
    {
        bool in_window = p->seq - r->ack + RESET_WINDOW <= 2 * RESET_WINDOW;
        snprintf(what, sizeof(what), "of u%d was reset by %s%d%s",
                 r->taken->index, edge ? "e" : "u",
                 edge ? edge->index
                 : u  ? u->index
                      : -1,
                 in_window ? "" : " (far sequence number)");
        fail_flow(s, r, what);
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

void
soak_callers_note_packet(struct soak *s, struct soak_upstream *u,
                         const struct soak_packet *p, struct soak_edge *edge,
                         bool accepted)
{
    int caller = (int)(p->src & 0xff) - 1;
    struct request *r =
        g_hash_table_lookup(s->callers->open, request_key(caller, p->sport));
    bool opening = p->flags & SOAK_SYN;
    char what[96];

    if (!r || (opening && p->seq != r->first_seq)) {
        return; /* the flow has ended */
    }
    int by = edge ? edge->index : -1;
    if (opening) {
        note(s, r, "syn%u,e%d>u%d", p->ack, by, u->index);
    }
    else {
        note(s, r, "packet,e%d>u%d", by, u->index);
    }
    if (u == r->taken && u->id == r->taken_id) {
        r->open = r->open || accepted;
        r->own_ms = s->now_ms;
        r->misrouted = 0;
        return;
    }
    r->misrouted++;
    r->misrouted_by = edge;
    if (r->misrouted >= MISROUTED_MIN && !r->misroute_reported &&
        is_protected(s, r) && s->now_ms - r->own_ms >= SOAK_MISROUTE_MS &&
        (!edge || soak_is_settled(s, edge->unplanned_ms)))
    {
        r->misroute_reported = true;
        snprintf(what, sizeof(what),
                 "of u%d had %u packets at others, the last at u%d by e%d",
                 r->taken->index, r->misrouted, u->index, by);
        fail_flow(s, r, what);
    }
}

/* The caller has got this before: its acknowledgement was lost. */
static void
acknowledge_again(struct soak *s, struct request *r)
{
    uint32_t seq = r->phase == REQUEST ? seq_after(r) : r->seq;

    send_packet(s, r, SOAK_ACK, seq, r->ack, "");
}

/* Between two requests of a flow. */
static void
begin_pause(struct soak *s, struct request *r)
{
    uint32_t pause_ms =
        PAUSE_MIN_MS + rg_rand_below(&s->rand, PAUSE_MAX_MS - PAUSE_MIN_MS);

    if (rg_rand_below(&s->noise_rand, LONG_PAUSE_EVERY) == 0) {
        pause_ms = rg_rand_below(&s->noise_rand, LONG_PAUSE_MAX_MS);
    }
    r->left--;
    r->phase = PAUSE;
    r->next_ms = s->now_ms + pause_ms;
    if (rg_rand_below(&s->noise_rand, LATE_ACK_EVERY) == 0) {
        r->late_ack_ms = s->now_ms + LATE_ACK_MS;
        return;
    }
    send_packet(s, r, SOAK_ACK, r->seq, r->ack, "");
}

static void
take_answer(struct soak *s, struct request *r, const struct soak_packet *p)
{
    unsigned long number;
    unsigned long upstream_id;
    unsigned part;
    unsigned parts;

    if (sscanf(p->data, "ANS %lu %lx %u %u", &number, &upstream_id, &part,
               &parts) != 4 ||
        number != r->number || upstream_id != r->taken_id)
    {
        soak_fail(s, "request %lu got a wrong answer: '%s'", r->number,
                  p->data);
        return;
    }
    r->ack += p->len;
    if (part < parts) {
        if (part % 2 == 0) {
            send_packet(s, r, SOAK_ACK, seq_after(r), r->ack, "");
        }
        return;
    }
    r->seq = seq_after(r);
    count_served(s, r, true);
    if (r->left == 0) {
        send_packet(s, r, SOAK_FIN | SOAK_ACK, r->seq, r->ack, "");
        end_flow(s, r);
        return;
    }
    begin_pause(s, r);
}

static void
start_next_request(struct soak *s, struct request *r)
{
    r->phase = REQUEST;
    r->retransmit_ms = RETRANSMIT_MS;
    r->next_ms = s->now_ms + RETRANSMIT_MS;
    send_request(s, r);
}

static void
take_syn_ack(struct soak *s, struct request *r, const struct soak_packet *p,
             struct soak_upstream *u)
{
    if (!u) {
        soak_fail(s, "request %lu got a SYN+ACK of no upstream", r->number);
        return;
    }
    r->taken = u;
    r->taken_id = u->id;
    r->own_ms = s->now_ms;
    r->misrouted = 0;
    r->ack = p->seq + 1;
    r->seq = r->first_seq + 1;
    start_next_request(s, r);
}

static void
on_reset(struct soak *s, struct request *r, const struct soak_packet *p,
         const struct sockaddr *from)
{
    bool retries = r->phase == OPENING || r->route != SOAK_ORDER;
    const struct soak_edge *edge = soak_edge_by_address(s, from);
    const struct soak_upstream *u = soak_upstream_by_address(s, from);

    note(s, r, "reset<%s%d", edge ? "e" : "u",
         edge ? edge->index
         : u  ? u->index
              : -1);
    check_reset(s, r, p, edge, u);
    if (r->phase == PAUSE) {
        end_flow(s, r);
        return;
    }
    retry(s, r, retries);
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
        on_reset(s, r, &p, from);
        return;
    }
    if (p.token) {
        r->token = p.token;
    }
    if (p.flags & SOAK_SYN) {
        struct soak_upstream *u = soak_upstream_by_address(s, from);
        note(s, r, "syn+ack<u%d", u ? u->index : -1);
        if (r->phase == OPENING) {
            take_syn_ack(s, r, &p, u);
        }
    }
    else if (p.len > 0 && r->phase == REQUEST && p.seq == r->ack) {
        take_answer(s, r, &p);
    }
    else if (p.len > 0 && r->phase != OPENING && (int32_t)(p.seq - r->ack) < 0)
    {
        acknowledge_again(s, r);
    }
}

static void
step_request(struct soak *s, struct request *r)
{
    if (r->late_ack_ms != 0 && s->now_ms >= r->late_ack_ms) {
        send_packet(s, r, SOAK_ACK, r->seq, r->ack, "");
    }
    if (r->phase == PAUSE) {
        if (s->now_ms >= r->next_ms) {
            count_request(s, r);
            start_next_request(s, r);
        }
        return;
    }
    if (s->now_ms - r->start_ms >= SOAK_DEADLINE_MS + r->slow_ms) {
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
        r->retransmit_ms = MIN(r->retransmit_ms * 2, RETRANSMIT_MAX_MS);
        r->next_ms = s->now_ms + r->retransmit_ms;
        send_request(s, r);
        return;
    }
    r->syn_retransmissions++;
    r->next_ms = r->syn_retransmissions < 2
                     ? r->opened_ms + 600
                     : r->opened_ms + OPENING_TIMEOUT_MS;
    if (r->syn_retransmissions <= 2) {
        send_packet(s, r, SOAK_SYN, r->first_seq, r->syn_retransmissions, "");
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
    c->open = g_hash_table_new_full(NULL, NULL, NULL, free_request);
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
