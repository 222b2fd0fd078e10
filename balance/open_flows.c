/* Packets of open flows: which endpoint each goes to, by its token and by what
 * this instance knows of the flow. */
#include "balance/priv.h"
#include "balance/token.h"

/* What callers send before they receive anything: at most this many packets,
 * all of this size but the last one. */
#define CALLER_WINDOW_PACKETS 16
#define CALLER_PACKET_BYTES 1200
/* Peers send several digests in this time. */
#define PEERS_SILENT_MS 1000
/* Callers send the first retransmission of a request this long after it, and
 * no sooner. */
#define FIRST_RETRANSMISSION_MS 200

/* Whether a packet to this route's address may be sent to the endpoint that
 * its token names. Any endpoint is allowed while flows may exist that were
 * opened before this instance started, under a version of the routes it never
 * had. */
static bool
token_is_allowed(const struct rg_balancer *b, const struct rg_route *route,
                 const struct rg_endpoint *endpoint,
                 const struct rg_tracked_flow *t)
{
    return rg_route_has_service(route, endpoint->service) ||
           (t && t->endpoint == endpoint) ||
           b->now_ms - b->started_ms < b->opts.flow_age_ms;
}

/* What the token of a packet says of its flow's endpoint. */
enum token_kind {
    TOKEN_UNKNOWN,
    TOKEN_FLOW,    /* names an endpoint that got packets of the open flow */
    TOKEN_OPENING, /* names one that answered the opening of a tracked flow;
                      the caller may have taken another answer */
    TOKEN_START,   /* the same for an untracked flow at its start */
};

struct named {
    enum token_kind kind;
    struct rg_endpoint *endpoint; /* NULL for TOKEN_UNKNOWN */
    uint32_t opening_seq;         /* for TOKEN_START */
};

/* Reads the token of an opening of a flow that is not tracked here. The
 * caller's initial sequence number is not known, but the first packets of a
 * flow show it: they are full, but for the last one of a request. */
static struct named
read_start_token(const struct rg_balancer *b, const struct rg_segment *s)
{
    uint32_t packets = s->len > 0 ? CALLER_WINDOW_PACKETS : 1;

    for (uint32_t i = 0; i < packets; i++) {
        uint32_t opening_seq = s->seq - 1 - i * CALLER_PACKET_BYTES;
        struct rg_endpoint *e = rg_pool_by_token(
            b->pool, rg_token_of_opening(s->token, opening_seq));
        if (e) {
            return (struct named){TOKEN_START, e, opening_seq};
        }
    }
    return (struct named){.kind = TOKEN_UNKNOWN};
}

/* The endpoint that a token names. A flow that is tracked stays at its own if
 * that has the same token, although another endpoint is found by it. */
static struct rg_endpoint *
endpoint_named(const struct rg_balancer *b, const struct rg_tracked_flow *t,
               uint32_t token)
{
    return t && t->endpoint->token == token ? t->endpoint
                                            : rg_pool_by_token(b->pool, token);
}

static struct named
read_token(const struct rg_balancer *b, const struct rg_tracked_flow *t,
           const struct rg_segment *s)
{
    struct rg_endpoint *e = endpoint_named(b, t, s->token);

    if (e) {
        return (struct named){.kind = TOKEN_FLOW, .endpoint = e};
    }
    if (t) {
        e = endpoint_named(b, t,
                           rg_token_of_opening(s->token, t->opening_seq));
    }
    if (e) {
        return (struct named){.kind = TOKEN_OPENING, .endpoint = e};
    }
    return read_start_token(b, s);
}

static bool
is_pure_ack(const struct rg_segment *s)
{
    return s->len == 0 && !s->fin && !s->reset;
}

/* True if the caller can have sent the packet before it received anything but
 * the answer to its opening. Its packets may arrive in any order. */
static bool
is_among_first(const struct rg_tracked_flow *t, const struct rg_segment *s)
{
    uint32_t position = s->seq - 1 - t->opening_seq;

    if (s->len == 0) {
        return position == 0;
    }
    return position % CALLER_PACKET_BYTES == 0 &&
           position / CALLER_PACKET_BYTES < CALLER_WINDOW_PACKETS;
}

/* True if a flow is at the endpoint that the token names rather than at the
 * one in its entry. */
static bool
shows_move(const struct rg_balancer *b, const struct rg_tracked_flow *t,
           const struct rg_segment *s, const struct named *named)
{
    if (t->state == RG_TRACKED_OPENING) {
        return true;
    }
    if (named->kind == TOKEN_OPENING) {
        /* Answers to the opening come for a while after one was taken. The
         * first packet carried the token of that one. */
        return false;
    }
    return b->fleet.opening_tokens || rg_flows_confirms_token(t, s);
}

/* Two upstreams may have answered the opening of a flow, and the caller
 * repeats the last token that it received, also that of an answer it did not
 * take. Moves the flow to the endpoint that the token names, or keeps it at
 * its own; returns where the packet goes. */
static struct rg_endpoint *
correct_token(struct rg_balancer *b, struct rg_tracked_flow *t,
              const struct rg_segment *s, const struct rg_route *route,
              const struct named *named)
{
    t->repeated = true;
    if (!shows_move(b, t, s, named) ||
        !token_is_allowed(b, route, named->endpoint, t))
    {
        rg_bal_count(b, RG_METRIC_TOKENS_CORRECTED);
        rg_bal_log_token(b, s, t, named->endpoint, "KEPT");
        return t->endpoint;
    }
    rg_bal_log_token(b, s, t, named->endpoint, "MOVED");
    rg_flows_move(b, t, named->endpoint);
    return named->endpoint;
}

/* True if the packet is the caller's first after the answer to its opening:
 * there was no time for an earlier one since the last copy of the opening came
 * here. If the first copy passed another instance, later ones may have been
 * late on their way, and the flow open there before. */
static bool
is_first_data(const struct rg_balancer *b, const struct rg_tracked_flow *t)
{
    return t->has_first_copy &&
           b->now_ms - t->last_ms < FIRST_RETRANSMISSION_MS;
}

/* True if the packet shows that the caller took the endpoint which its token
 * names: the endpoint has got packets of the open flow before, or the packet
 * is the caller's first after the answer to its opening. */
static bool
is_proof(const struct rg_balancer *b, const struct rg_tracked_flow *t,
         const struct rg_segment *s, const struct named *named)
{
    bool follows_opening =
        t->state == RG_TRACKED_OPENING && is_among_first(t, s);

    return (named->kind == TOKEN_FLOW && b->fleet.opening_tokens) ||
           (follows_opening && (is_pure_ack(s) || is_first_data(b, t)));
}

/* Endpoint for a packet of a tracked flow, NULL if it is not known. */
static struct rg_endpoint *
tracked_endpoint(struct rg_balancer *b, struct rg_tracked_flow *t,
                 const struct rg_segment *s, const struct rg_route *route,
                 const struct named *named)
{
    struct rg_endpoint *endpoint = named->endpoint;
    bool proof = is_proof(b, t, s, named);

    if (named->kind == TOKEN_OPENING && t->state == RG_TRACKED_OPENING &&
        !is_among_first(t, s))
    {
        /* The flow has opened elsewhere; only a late copy came here. */
        return NULL;
    }
    if (t->endpoint != endpoint) {
        endpoint = correct_token(b, t, s, route, named);
    }
    t->proven = t->proven || (proof && endpoint == named->endpoint);
    return endpoint;
}

/* Packets without a token: the caller has had no answer to its opening. */
static struct rg_decision
handle_no_token(struct rg_balancer *b, struct rg_tracked_flow *t,
                const struct rg_segment *s)
{
    if (t && (s->fin || s->reset)) {
        rg_flows_set_state(t, RG_TRACKED_CLOSED, b->now_ms);
        return rg_bal_forward(b, t->endpoint, t->endpoint->token);
    }
    return rg_bal_drop(b, s, RG_METRIC_DROPPED_NO_TOKEN, "no-token");
}

/* Asks peers where the flow is. Returns false if the packet cannot wait for
 * their answer. */
static bool
ask_and_hold(struct rg_balancer *b, const struct rg_segment *s)
{
    if (b->held_in_vain) {
        return false;
    }
    rg_bal_ask_for_flow(b, &s->flow, s->seq);
    return b->opts.can_hold && b->fleet.instances > 1;
}

/* The packet does not show where its flow is. If it cannot wait until peers
 * have said so, it is dropped, and its retransmission finds the flow. */
static struct rg_decision
handle_unplaced(struct rg_balancer *b, const struct rg_segment *s,
                const struct named *named)
{
    rg_bal_note_open(b, s);
    if (ask_and_hold(b, s)) {
        return rg_bal_hold(b, s, "unplaced");
    }
    return named->kind == TOKEN_UNKNOWN
               ? rg_bal_drop(b, s, RG_METRIC_DROPPED_UNKNOWN_TOKEN,
                             "unknown-token")
               : rg_bal_drop(b, s, RG_METRIC_DROPPED_UNPROVEN_TOKEN,
                             "unproven-token");
}

/* The token of an opening does not prove the endpoint: the caller may have
 * taken the answer of another one. If nobody can say so in time, the packet is
 * dropped. Its retransmission finds the answer, or has a token that proves its
 * endpoint, as an upstream that has the flow acknowledges it. */
static struct rg_decision
handle_unproven(struct rg_balancer *b, const struct rg_segment *s,
                const char *reason)
{
    rg_bal_note_open(b, s);
    if (ask_and_hold(b, s)) {
        return rg_bal_hold(b, s, reason);
    }
    return rg_bal_drop(b, s, RG_METRIC_DROPPED_UNPROVEN_TOKEN, reason);
}

/* True if this instance has peers but gets nothing from them. */
static bool
is_cut_off(const struct rg_balancer *b)
{
    return b->fleet.instances > 1 && b->peer_heard_ms != 0 &&
           b->now_ms - b->peer_heard_ms > PEERS_SILENT_MS;
}

/* True if a packet whose token does not prove its endpoint may follow it:
 * homes have answered that they were told of no other one. Nearly all flows
 * have one endpoint, so an instance that has just started, and cannot know all
 * homes, follows the token if none has answered; and so do all while some
 * peers write the same token into openings and other packets. `opened_ms` is
 * the time of an opening, 0: none came here. */
static bool
may_follow_token(const struct rg_balancer *b, const struct rg_segment *s,
                 uint64_t opened_ms)
{
    bool is_starting = rg_bal_is_starting(b) && !is_cut_off(b);
    bool cannot_wait = b->held_in_vain || !b->opts.can_hold;

    return rg_bal_no_endpoint_told(b, &s->flow, opened_ms) ||
           (b->held_in_vain && is_starting) ||
           (cannot_wait && !b->fleet.opening_tokens);
}

/* Tracks a flow that was opened by way of another instance and is at its
 * start. Whether a second upstream got its opening is not known here, so its
 * homes are told of the endpoint. */
static void
adopt(struct rg_balancer *b, struct rg_tracked_flow *ended,
      const struct rg_segment *s, struct rg_route *route,
      const struct named *named)
{
    struct rg_tracked_flow *t = rg_flows_adopt(
        b, ended, &s->flow, named->opening_seq, named->endpoint);

    if (t) {
        t->last_ack = s->ack;
        t->next_seq = s->seq;
        t->repeated = true;
        t->proven = true;
        rg_flows_update(b, t, s, route);
        rg_bal_tell_homes(b, t);
    }
}

/* True if the packet starts a request of a flow whose entry has expired, or
 * that has moved here, and its token proves its endpoint. While an instance
 * writes the same token into openings, it proves nothing. */
static bool
resumes_flow(const struct rg_balancer *b, const struct rg_segment *s,
             const struct named *named)
{
    return named->kind == TOKEN_FLOW && b->fleet.opening_tokens &&
           s->len > 0 && !s->fin && !s->reset;
}

/* At the start of a flow the token is that of the answer that the caller took,
 * if the packet is the acknowledgement of that answer. Before later packets,
 * other answers may have come; the flow's homes know if there were any.
 * `ended` is the entry of an earlier flow with the same ports, or NULL. */
static struct rg_decision
steer_untracked(struct rg_balancer *b, struct rg_tracked_flow *ended,
                const struct rg_segment *s, struct rg_route *route,
                const struct named *named)
{
    struct rg_endpoint *endpoint = named->endpoint;

    if (!token_is_allowed(b, route, endpoint, NULL)) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_WRONG_SERVICE,
                           "wrong-service");
    }
    if (named->kind == TOKEN_START && !is_pure_ack(s) &&
        !may_follow_token(b, s, 0))
    {
        return handle_unproven(b, s, "moved-at-start");
    }
    rg_bal_note_untracked(b, s, endpoint);
    if (named->kind == TOKEN_START) {
        adopt(b, ended, s, route, named);
    }
    else if (resumes_flow(b, s, named)) {
        rg_flows_resume(b, s, endpoint, route);
    }
    return rg_bal_forward(b, endpoint, endpoint->token);
}

static struct rg_decision
steer_tracked(struct rg_balancer *b, struct rg_tracked_flow *t,
              const struct rg_segment *s, struct rg_route *route,
              const struct named *named)
{
    bool unproven =
        t->state == RG_TRACKED_OPENING && !is_proof(b, t, s, named);

    if (unproven && !may_follow_token(b, s, t->opened_ms)) {
        return handle_unproven(b, s, "first-copy-elsewhere");
    }
    struct rg_endpoint *endpoint = tracked_endpoint(b, t, s, route, named);
    if (!endpoint) {
        return handle_unplaced(b, s, named);
    }
    /* As far as anybody can know. */
    t->proven = t->proven || (unproven && endpoint == named->endpoint);
    if (!token_is_allowed(b, route, endpoint, t)) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_WRONG_SERVICE,
                           "wrong-service");
    }
    rg_flows_update(b, t, s, route);
    rg_bal_tell_homes(b, t);
    enum rg_lost why = rg_request_is_lost(b, t);
    if (why != RG_LOST_NOT) {
        rg_request_reset(b, t, s, why);
        return (struct rg_decision){.kind = RG_DECISION_REFUSE};
    }
    return rg_bal_forward(b, endpoint, endpoint->token);
}

/* True if the entry is that of the packet's flow, and not of an earlier one
 * with the same ports. */
static bool
is_entry_of(const struct rg_tracked_flow *t, const struct rg_segment *s)
{
    bool has_data = t->resumed || t->last_seq != 0;

    return rg_seq_is_near(s->seq, has_data ? t->last_seq : t->opening_seq);
}

/* A time by which the packet's flow had been opened, 0 if none is known. */
static uint64_t
opened_by_ms(const struct rg_balancer *b, const struct rg_tracked_flow *t,
             const struct rg_segment *s)
{
    return t && is_entry_of(t, s) ? t->opened_ms
                                  : rg_bal_untracked_since_ms(b, s);
}

/* A packet of an open flow to an address without a route. Versions of the
 * configuration remove routes and add them again, and this instance may lack
 * the newest ones. Only a flow that was open before the view was last
 * confirmed has surely lost its route. Others may have been opened after the
 * route was added again: they stay at their endpoint if they are tracked, and
 * are dropped if not. */
static struct rg_decision
steer_without_route(struct rg_balancer *b, struct rg_tracked_flow *t,
                    const struct rg_segment *s, const struct named *named)
{
    struct rg_route *removed = rg_routes_find_removed(
        b->routes, s->flow.service_ip, s->flow.service_port);
    uint64_t opened_ms = opened_by_ms(b, t, s);
    bool is_known = removed && named->kind != TOKEN_START;

    if (is_known && opened_ms != 0 && rg_bal_is_confirmed_since(b, opened_ms))
    {
        return rg_bal_refuse(b, s, RG_METRIC_REFUSED_NO_ROUTE,
                             "route-removed");
    }
    if (is_known && t) {
        rg_bal_count(b, RG_METRIC_FORWARDED_REMOVED_ROUTE);
        return steer_tracked(b, t, s, removed, named);
    }
    rg_bal_note_open(b, s);
    return rg_bal_drop(b, s, RG_METRIC_DROPPED_UNKNOWN_ROUTE, "unknown-route");
}

struct rg_decision
rg_bal_steer_open(struct rg_balancer *b, const struct rg_segment *s)
{
    struct rg_tracked_flow *t = rg_tracked_flows_find(b->flows, &s->flow);
    struct rg_route *route =
        rg_routes_find(b->routes, s->flow.service_ip, s->flow.service_port);

    if (s->token == RG_TOKEN_NONE) {
        return handle_no_token(b, t, s);
    }
    struct named named = read_token(b, t, s);
    if (named.kind == TOKEN_UNKNOWN) {
        return handle_unplaced(b, s, &named);
    }
    if (!route) {
        return steer_without_route(b, t, s, &named);
    }
    /* At its start, a flow with other sequence numbers is a new one. */
    return t && named.kind != TOKEN_START
               ? steer_tracked(b, t, s, route, &named)
               : steer_untracked(b, t, s, route, &named);
}

bool
rg_balancer_is_flow_found(const struct rg_balancer *b,
                          const struct rg_segment *s)
{
    const struct rg_tracked_flow *t =
        rg_tracked_flows_find(b->flows, &s->flow);
    struct rg_flow_record record;

    return rg_balancer_find_flow_record(b, &s->flow, &record) ||
           (rg_bal_homes_have_answered(b, &s->flow) &&
            rg_bal_no_endpoint_told(b, &s->flow, t ? t->opened_ms : 0) &&
            read_token(b, t, s).kind != TOKEN_UNKNOWN);
}
