#include "balance/balancer.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance/choose.h"
#include "balance/evidence.h"
#include "balance/token.h"
#include "balance/track.h"
#include "common/mem.h"
#include "common/rand.h"

/* An opening is given up by its caller after this time. */
#define OPENING_LIFE_MS 1600
/* A request that shows no progress for this long no longer counts as work. */
#define REQUEST_LIFE_MS 4000
/* An open flow without packets is forgotten (it is steered by its token all
 * the same). */
#define IDLE_LIFE_MS 5000
#define CLOSED_LIFE_MS 1000
/* An opening is overdue after this many times the usual time to an answer, and
 * no sooner than the least. */
#define OVERDUE_TIMES 4
#define OVERDUE_LEAST_MS 25
#define OVERDUE_MOST_MS 180
/* A request is overdue after this many times its route's usual time to an
 * answer, and no sooner than the least. */
#define REQUEST_LATE_TIMES 8
#define REQUEST_LATE_LEAST_MS 250
#define OPENING_GAIN 0.05

struct rg_balancer {
    struct rg_balancer_opts opts;
    struct rg_pool *pool;
    struct rg_routes *routes; /* NULL before the first */
    struct rg_tracks *tracks;
    struct rg_rand rand;
    struct rg_tally tally;
    double opening_ms; /* usual time from opening to the caller's answer */
    uint64_t choices;  /* made so far */
    uint64_t started_ms;
    uint64_t fresh_ms; /* the store confirmed the view, 0: never */
    uint64_t now_ms;
};

static void
count(struct rg_balancer *b, enum rg_tally_counter c)
{
    b->tally.counters[c]++;
}

static struct rg_steer
dropped(struct rg_balancer *b, enum rg_tally_counter why)
{
    count(b, why);
    return (struct rg_steer){.kind = RG_STEER_DROP};
}

/* --- logs ---------------------------------------------------------------- */

#define FLOW_TEXT_MAX 48

static const char *
flow_text(const struct rg_flow_id *f, char out[FLOW_TEXT_MAX])
{
    char caller[INET_ADDRSTRLEN];
    char service[INET_ADDRSTRLEN];
    uint32_t from = htonl(f->caller_ip);
    uint32_t to = htonl(f->service_ip);

    inet_ntop(AF_INET, &from, caller, sizeof(caller));
    inet_ntop(AF_INET, &to, service, sizeof(service));
    snprintf(out, FLOW_TEXT_MAX, "%s:%u>%s:%u", caller, f->caller_port,
             service, f->service_port);
    return out;
}

static void
log_opening(const struct rg_balancer *b, const struct rg_segment *s,
            const struct rg_choice_made *made)
{
    static const char *const rules[] = {
        [RG_CHOOSE_NONE] = "none",
        [RG_CHOOSE_BEST] = "best",
        [RG_CHOOSE_TRIAL] = "trial",
    };
    char flow[FLOW_TEXT_MAX];

    rg_log_event(b->opts.log, RG_LOG_INFO, "OPENING",
                 "flow=\"%s\" copy=\"%u\" upstream=\"%s\" token=\"%08x\" "
                 "rule=\"%s\" cost=\"%.2f\" work=\"%u\" version=\"%llu\" "
                 "age_ms=\"%llu\"",
                 flow_text(&s->flow, flow), s->ack, made->boot->id.s,
                 made->boot->token, rules[made->rule], made->cost,
                 made->boot->open_work,
                 (unsigned long long)rg_balancer_version(b),
                 (unsigned long long)(b->now_ms - b->fresh_ms));
}

static struct rg_steer
refuse(struct rg_balancer *b, const struct rg_segment *s,
       enum rg_tally_counter why, const char *reason)
{
    char flow[FLOW_TEXT_MAX];

    count(b, why);
    rg_log_event(b->opts.log, RG_LOG_INFO, "REFUSED",
                 "flow=\"%s\" opening=\"%d\" reason=\"%s\" version=\"%llu\" "
                 "age_ms=\"%llu\"",
                 flow_text(&s->flow, flow), s->opening, reason,
                 (unsigned long long)rg_balancer_version(b),
                 (unsigned long long)(b->now_ms - b->fresh_ms));
    return (struct rg_steer){.kind = RG_STEER_REFUSE};
}

/* --- tracked flows ------------------------------------------------------- */

static bool
counts_as_work(const struct rg_track *t)
{
    return t->state == RG_TRACK_OPENING || t->state == RG_TRACK_REQUEST;
}

static void
set_track_state(struct rg_track *t, enum rg_track_state state, uint64_t now_ms)
{
    bool before = counts_as_work(t);

    t->state = (uint8_t)state;
    t->since_ms = now_ms;
    if (before && !counts_as_work(t)) {
        t->boot->open_work--;
    }
    if (!before && counts_as_work(t)) {
        t->boot->open_work++;
    }
}

static void
hold(struct rg_track *t, struct rg_boot *boot)
{
    t->boot = boot;
    boot->refs++;
    if (counts_as_work(t)) {
        boot->open_work++;
    }
}

static void
let_go(struct rg_track *t)
{
    t->boot->refs--;
    if (counts_as_work(t)) {
        t->boot->open_work--;
    }
}

/* A request that may be repeated, at an upstream that will not answer: its
 * caller is told to try again, which it could else do only after its deadline.
 * A request that may run once only is left alone: nobody knows whether it
 * has. */
static bool
is_lost(const struct rg_balancer *b, const struct rg_track *t)
{
    const struct rg_route *route =
        rg_routes_find(b->routes, t->flow.service_ip, t->flow.service_port);

    return t->state == RG_TRACK_REQUEST && t->repeats > 0 && route &&
           route->repeat == RG_REPEAT_SAFE && rg_boot_dead(t->boot, b->now_ms);
}

/* Resets a lost flow without waiting for its next packet. */
static void
give_up(struct rg_balancer *b, struct rg_track *t)
{
    struct rg_segment last = {.flow = t->flow, .ack = t->last_ack};

    if (!b->opts.refuse || !is_lost(b, t)) {
        return;
    }
    refuse(b, &last, RG_TALLY_REFUSED_DEAD_UPSTREAM, "dead-upstream");
    set_track_state(t, RG_TRACK_CLOSED, b->now_ms);
    b->opts.refuse(b->opts.ctx, &last);
}

/* A request that waits far longer than its route's usual counts as failed,
 * once. */
static void
note_overdue(struct rg_balancer *b, struct rg_track *t)
{
    if (t->state != RG_TRACK_REQUEST || t->overdue) {
        return;
    }
    const struct rg_route *route =
        rg_routes_find(b->routes, t->flow.service_ip, t->flow.service_port);
    double usual = route ? route->usual_ms : 0;
    double limit = fmax(REQUEST_LATE_TIMES * usual, REQUEST_LATE_LEAST_MS);
    if (usual > 0 && (double)(b->now_ms - t->since_ms) > limit) {
        t->overdue = true;
        count(b, RG_TALLY_REQUESTS_OVERDUE);
        rg_boot_outcome(t->boot, true, b->now_ms);
    }
}

static bool
expired(void *ctx, struct rg_track *t)
{
    static const uint32_t life_ms[] = {
        [RG_TRACK_OPENING] = OPENING_LIFE_MS,
        [RG_TRACK_IDLE] = IDLE_LIFE_MS,
        [RG_TRACK_REQUEST] = REQUEST_LIFE_MS,
        [RG_TRACK_CLOSED] = CLOSED_LIFE_MS,
    };
    struct rg_balancer *b = ctx;

    note_overdue(b, t);
    give_up(b, t);
    if (b->now_ms - t->last_ms < life_ms[t->state]) {
        return false;
    }
    let_go(t);
    for (int i = 0; i < RG_TRACK_TRIES_MAX; i++) {
        if (t->tried[i]) {
            t->tried[i]->refs--;
        }
    }
    return true;
}

/* --- openings ------------------------------------------------------------ */

static uint32_t
overdue_ms(const struct rg_balancer *b)
{
    double ms = b->opening_ms * OVERDUE_TIMES;

    if (ms < OVERDUE_LEAST_MS) {
        return OVERDUE_LEAST_MS;
    }
    return ms > OVERDUE_MOST_MS ? OVERDUE_MOST_MS : (uint32_t)ms;
}

static uint64_t
flow_hash(const struct rg_flow_id *f)
{
    return rg_mix64((uint64_t)f->caller_ip << 32 | f->service_ip) ^
           ((uint64_t)f->caller_port << 16 | f->service_port);
}

/* The upstream of a repeated opening did not answer the one before. */
static void
note_repeated(struct rg_balancer *b, struct rg_track *t)
{
    bool before = rg_boot_ejected(t->boot, b->now_ms);

    count(b, RG_TALLY_OPENINGS_REPEATED);
    rg_boot_unanswered(t->boot, b->now_ms);
    if (!before && rg_boot_ejected(t->boot, b->now_ms)) {
        count(b, RG_TALLY_EJECTIONS);
        rg_log_event(
            b->opts.log, RG_LOG_NOTICE, "EJECTED",
            "upstream=\"%s\" unanswered=\"%u\" alive_ms_ago=\"%llu\" "
            "until_ms=\"%llu\"",
            t->boot->id.s, t->boot->unanswered,
            (unsigned long long)(b->now_ms - t->boot->last_alive_ms),
            (unsigned long long)(t->boot->ejected_until_ms - b->now_ms));
    }
    for (int i = 0; i < RG_TRACK_TRIES_MAX; i++) {
        if (!t->tried[i]) {
            t->tried[i] = t->boot;
            t->boot->refs++;
            return;
        }
    }
}

static struct rg_choice_made
choose(struct rg_balancer *b, const struct rg_track *t, uint32_t service)
{
    struct rg_choose_opts opts = {
        .service = service,
        .avoid = t ? t->tried : NULL,
        .avoid_count = t ? RG_TRACK_TRIES_MAX : 0,
        .now_ms = b->now_ms,
        .number = ++b->choices,
        .overdue_ms = overdue_ms(b),
        .rand = &b->rand,
    };
    struct rg_choice_made made = rg_choose(b->pool, &opts);

    if (!made.boot && t) {
        opts.avoid_count = 0;
        made = rg_choose(b->pool, &opts);
    }
    return made;
}

static struct rg_steer
forward(struct rg_balancer *b, const struct rg_boot *boot)
{
    count(b, RG_TALLY_FORWARDED);
    return (struct rg_steer){
        .kind = RG_STEER_FORWARD, .boot = boot, .token = boot->token};
}

static void
start_track(struct rg_balancer *b, const struct rg_flow_id *flow,
            struct rg_boot *boot)
{
    struct rg_track *t = rg_tracks_add(b->tracks, flow);

    if (!t) {
        count(b, RG_TALLY_UNTRACKED);
        return;
    }
    t->since_ms = b->now_ms;
    t->last_ms = b->now_ms;
    t->state = RG_TRACK_OPENING;
    hold(t, boot);
}

static void
move_track(struct rg_balancer *b, struct rg_track *t, struct rg_boot *boot)
{
    if (boot != t->boot) {
        count(b, RG_TALLY_OPENINGS_MOVED);
        let_go(t);
        hold(t, boot);
    }
    t->last_ms = b->now_ms;
}

/* A caller reuses the ports of a flow that has ended. */
static bool
is_new_flow(const struct rg_track *t)
{
    return t->state != RG_TRACK_OPENING;
}

static struct rg_steer
steer_opening(struct rg_balancer *b, const struct rg_segment *s)
{
    const struct rg_route *route =
        rg_routes_find(b->routes, s->flow.service_ip, s->flow.service_port);
    struct rg_track *t = rg_tracks_find(b->tracks, &s->flow);
    uint32_t service;

    count(b, RG_TALLY_OPENINGS);
    if (!route && b->now_ms - b->fresh_ms > b->opts.stale_ms) {
        return dropped(b, RG_TALLY_DROPPED_STALE_VIEW);
    }
    if (!route) {
        return refuse(b, s, RG_TALLY_REFUSED_NO_ROUTE, "no-route");
    }
    if (!rg_route_pick(route, flow_hash(&s->flow), &service)) {
        return refuse(b, s, RG_TALLY_REFUSED_NO_UPSTREAM, "no-service");
    }
    if (t && !is_new_flow(t)) {
        note_repeated(b, t);
    }
    struct rg_choice_made made = choose(b, t, service);
    if (!made.boot && b->now_ms - b->fresh_ms > b->opts.stale_ms) {
        return dropped(b, RG_TALLY_DROPPED_STALE_VIEW);
    }
    if (!made.boot) {
        return refuse(b, s, RG_TALLY_REFUSED_NO_UPSTREAM, "no-upstream");
    }
    log_opening(b, s, &made);
    if (t) {
        move_track(b, t, made.boot);
        set_track_state(t, RG_TRACK_OPENING, b->now_ms);
    }
    else {
        start_track(b, &s->flow, made.boot);
    }
    rg_boot_asked(made.boot, b->now_ms);
    return forward(b, made.boot);
}

/* --- open flows ---------------------------------------------------------- */

/* The first packet after an opening: the upstream has answered it. */
static void
note_opened(struct rg_balancer *b, struct rg_track *t,
            const struct rg_segment *s)
{
    uint64_t ms = b->now_ms - t->since_ms;

    rg_tally_observe(&b->tally, RG_TALLY_OPENING_MS, ms);
    b->opening_ms += OPENING_GAIN * ((double)ms - b->opening_ms);
    rg_boot_alive(t->boot, b->now_ms);
    t->last_ack = s->ack;
    set_track_state(t, RG_TRACK_IDLE, b->now_ms);
}

static void
note_progress(struct rg_balancer *b, struct rg_track *t,
              const struct rg_segment *s)
{
    if ((int32_t)(s->ack - t->last_ack) <= 0) {
        return;
    }
    t->last_ack = s->ack;
    if (t->state != RG_TRACK_REQUEST) {
        rg_boot_alive(t->boot, b->now_ms);
        return;
    }
    uint64_t ms = b->now_ms - t->since_ms;
    rg_tally_observe(&b->tally, RG_TALLY_ANSWER_MS, ms);
    rg_boot_answered(t->boot, (double)ms, b->now_ms);
    t->answer_ms = (uint32_t)ms;
    set_track_state(t, RG_TRACK_IDLE, b->now_ms);
}

static void
note_data(struct rg_balancer *b, struct rg_track *t,
          const struct rg_segment *s)
{
    if (s->len == 0) {
        return;
    }
    if (t->state == RG_TRACK_REQUEST && s->seq == t->last_seq) {
        if (t->repeats++ == 0) {
            rg_boot_stalled(t->boot, b->now_ms);
        }
        return;
    }
    t->last_seq = s->seq;
    t->repeats = 0;
    if (t->state == RG_TRACK_IDLE) {
        t->request_ack = t->last_ack;
        t->answer_ms = RG_TRACK_UNANSWERED;
        t->overdue = false;
        set_track_state(t, RG_TRACK_REQUEST, b->now_ms);
    }
}

/* The caller has closed its side: what it got is complete. */
static void
note_closed(struct rg_balancer *b, struct rg_track *t,
            const struct rg_segment *s, struct rg_route *route)
{
    char flow[FLOW_TEXT_MAX];
    uint32_t bytes = t->last_ack - t->request_ack;
    bool failed = false;

    if (t->state == RG_TRACK_CLOSED || t->answer_ms == RG_TRACK_UNANSWERED) {
        return;
    }
    double ms = fmax((double)t->answer_ms - b->opening_ms, 0);
    failed = rg_route_answered(route, ms, bytes);
    rg_boot_outcome(t->boot, failed, b->now_ms);
    if (failed) {
        count(b, RG_TALLY_ANSWERS_ERROR_LIKE);
    }
    rg_log_event(b->opts.log, failed ? RG_LOG_INFO : RG_LOG_DEBUG, "CLOSED",
                 "flow=\"%s\" upstream=\"%s\" answer_ms=\"%u\" bytes=\"%u\" "
                 "usual_ms=\"%.1f\" usual_bytes=\"%.0f\" error_like=\"%d\"",
                 flow_text(&s->flow, flow), t->boot->id.s, t->answer_ms, bytes,
                 route->usual_ms, route->usual_bytes, failed);
}

static void
note_packet(struct rg_balancer *b, struct rg_track *t,
            const struct rg_segment *s, struct rg_route *route)
{
    t->last_ms = b->now_ms;
    if (t->state == RG_TRACK_OPENING) {
        note_opened(b, t, s);
    }
    note_progress(b, t, s);
    note_data(b, t, s);
    if (s->fin) {
        note_closed(b, t, s, route);
    }
    if (s->fin || s->reset) {
        set_track_state(t, RG_TRACK_CLOSED, b->now_ms);
    }
}

/* Whether a token may lead from this route's address to this boot. Flows
 * older than this instance may have been opened under a version it never
 * saw. */
static bool
may_lead(const struct rg_balancer *b, const struct rg_route *route,
         const struct rg_boot *boot, const struct rg_track *t)
{
    return rg_route_allows(route, boot->service) || (t && t->boot == boot) ||
           b->now_ms - b->started_ms < b->opts.flow_age_ms;
}

static struct rg_steer
steer_open(struct rg_balancer *b, const struct rg_segment *s)
{
    struct rg_track *t = rg_tracks_find(b->tracks, &s->flow);
    struct rg_boot *boot = rg_pool_by_token(b->pool, s->token);
    struct rg_route *route =
        rg_routes_find(b->routes, s->flow.service_ip, s->flow.service_port);

    if (s->token == RG_TOKEN_NONE) {
        if (t && (s->fin || s->reset)) {
            set_track_state(t, RG_TRACK_CLOSED, b->now_ms);
            return forward(b, t->boot);
        }
        return dropped(b, RG_TALLY_DROPPED_NO_TOKEN);
    }
    if (!boot) {
        return dropped(b, RG_TALLY_DROPPED_UNKNOWN_TOKEN);
    }
    if (!route) {
        return refuse(b, s, RG_TALLY_REFUSED_NO_ROUTE, "route-removed");
    }
    if (!may_lead(b, route, boot, t)) {
        return dropped(b, RG_TALLY_DROPPED_WRONG_SERVICE);
    }
    if (t && t->boot != boot) {
        move_track(b, t, boot);
    }
    if (t) {
        note_packet(b, t, s, route);
    }
    if (t && is_lost(b, t)) {
        set_track_state(t, RG_TRACK_CLOSED, b->now_ms);
        return refuse(b, s, RG_TALLY_REFUSED_DEAD_UPSTREAM, "dead-upstream");
    }
    return forward(b, boot);
}

struct rg_steer
rg_balancer_packet(struct rg_balancer *b, const struct rg_segment *s,
                   uint64_t now_ms)
{
    b->now_ms = now_ms;
    count(b, RG_TALLY_PACKETS);
    if (!rg_balancer_ready(b)) {
        return dropped(b, RG_TALLY_DROPPED_NOT_READY);
    }
    return s->opening ? steer_opening(b, s) : steer_open(b, s);
}

/* --- the rest ------------------------------------------------------------ */

bool
rg_balancer_set_routes(struct rg_balancer *b, struct rg_routes *routes)
{
    uint64_t version = rg_routes_version(routes);

    if (version <= rg_balancer_version(b)) {
        rg_routes_destroy(routes);
        return false;
    }
    for (size_t i = 0; i < rg_routes_count(routes); i++) {
        struct rg_route *r = rg_routes_at(routes, i);
        for (uint8_t j = 0; j < r->share_count; j++) {
            r->shares[j].service_index =
                rg_pool_service(b->pool, &r->shares[j].service);
        }
    }
    rg_log_event(b->opts.log, RG_LOG_NOTICE, "CONFIG",
                 "version=\"%llu\" before=\"%llu\" routes=\"%zu\"",
                 (unsigned long long)version,
                 (unsigned long long)rg_balancer_version(b),
                 rg_routes_count(routes));
    if (b->routes) {
        rg_routes_inherit(routes, b->routes);
    }
    rg_routes_destroy(b->routes);
    b->routes = routes;
    return true;
}

struct rg_routes *
rg_balancer_routes(struct rg_balancer *b)
{
    return b->routes;
}

/* Verdicts being gathered. */
struct gather {
    struct rg_balancer_verdict *out;
    size_t count;
    size_t max;
    uint64_t now_ms;
};

static void
gather_verdict(void *ctx, const struct rg_boot *boot)
{
    struct gather *g = ctx;

    if (g->count < g->max && rg_boot_ejected(boot, g->now_ms)) {
        g->out[g->count++] = (struct rg_balancer_verdict){
            .token = boot->token,
            .age_ms = (uint32_t)(g->now_ms - boot->unanswered_ms),
        };
    }
}

size_t
rg_balancer_verdicts(const struct rg_balancer *b, uint64_t now_ms,
                     struct rg_balancer_verdict *out, size_t max)
{
    struct gather g = {.out = out, .max = max, .now_ms = now_ms};

    rg_pool_each_listed(b->pool, gather_verdict, &g);
    return g.count;
}

void
rg_balancer_hear(struct rg_balancer *b,
                 const struct rg_balancer_verdict *verdict, uint64_t now_ms)
{
    struct rg_boot *boot = rg_pool_by_token(b->pool, verdict->token);

    if (!boot || verdict->age_ms > now_ms ||
        boot->last_alive_ms > now_ms - verdict->age_ms)
    {
        return;
    }
    count(b, RG_TALLY_VERDICTS_HEARD);
    rg_boot_hearsay(boot, now_ms);
}

uint64_t
rg_balancer_version(const struct rg_balancer *b)
{
    return b->routes ? rg_routes_version(b->routes) : 0;
}

struct rg_pool *
rg_balancer_pool(struct rg_balancer *b)
{
    return b->pool;
}

void
rg_balancer_fresh(struct rg_balancer *b, uint64_t at_ms)
{
    b->fresh_ms = at_ms;
}

bool
rg_balancer_ready(const struct rg_balancer *b)
{
    return b->routes && b->fresh_ms != 0;
}

void
rg_balancer_tick(struct rg_balancer *b, uint64_t now_ms)
{
    b->now_ms = now_ms;
    rg_tracks_sweep(b->tracks, expired, b);
    rg_pool_tick(b->pool, now_ms);
}

struct rg_tally *
rg_balancer_tally(struct rg_balancer *b)
{
    return &b->tally;
}

size_t
rg_balancer_tracked(const struct rg_balancer *b)
{
    return rg_tracks_count(b->tracks);
}

struct rg_balancer *
rg_balancer_create(const struct rg_balancer_opts *opts, uint64_t now_ms)
{
    struct rg_balancer *b = rg_calloc(1, sizeof(*b));
    struct rg_pool_opts pool = {
        .data_centre = opts->data_centre,
        .retain_ms = opts->flow_age_ms,
        .log = opts->log,
    };

    b->opts = *opts;
    b->pool = rg_pool_create(&pool);
    b->tracks = rg_tracks_create(opts->tracked_flows);
    b->rand.state = opts->seed;
    b->started_ms = now_ms;
    b->now_ms = now_ms;
    return b;
}

void
rg_balancer_destroy(struct rg_balancer *b)
{
    if (b) {
        rg_routes_destroy(b->routes);
        rg_tracks_destroy(b->tracks);
        rg_pool_destroy(b->pool);
        free(b);
    }
}
