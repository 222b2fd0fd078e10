/* Simulated service for load tests, without a network: callers, several
 * balancers behind a fabric that distributes flows by caller port, and
 * upstreams with a limited number of slots. Time advances in steps of 1 ms.
 * All random choices come from one seed. */
#ifndef RG_TEST_FAKE_SERVICE_H
#define RG_TEST_FAKE_SERVICE_H

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "balance/balancer.h"
#include "common/rand.h"
#include "test/fake_homes.h"

#define FAKE_BALANCERS_MAX 1600
#define FAKE_UPSTREAMS_MAX 320
/* Digests sent to instances of the same data centre, percent. */
#define FAKE_DIGESTS_LOCAL 60
#define FAKE_FLOWS_MAX 8192
#define FAKE_ROUTES_MAX 3
#define FAKE_QUEUE_MAX 16
#define FAKE_DATA_CENTRES_MAX 4
/* Maximum number of outcomes in a digest, as in schema/messages.json. */
#define FAKE_ROWS_MAX 12
#define FAKE_SERVICE_IP 0xc6120001
#define FAKE_SERVICE_PORT 443
#define FAKE_RTT_MS 7
#define FAKE_ANSWER_BYTES 1000
#define FAKE_ERROR_BYTES 150
#define FAKE_SHED_BYTES 60
/* A request is shed once it has waited this long in its upstream's queue. */
#define FAKE_QUEUE_TIMEOUT_MS 450
/* How often edge/packet_socket.c looks at waiting openings. */
#define FAKE_WAITING_CHECK_MS 5
#define FAKE_DEADLINE_MS 800
#define FAKE_TARGET_MS 120

enum fake_condition {
    FAKE_HEALTHY,
    FAKE_SILENT,  /* ignores all packets and sends none */
    FAKE_ERROR,   /* answers at once, with an error */
    FAKE_HANGING, /* accepts flows and requests, never answers */
    FAKE_SLOW,    /* takes five times as long */
};

struct fake_upstream {
    struct rg_name id;
    enum fake_condition condition;
    uint64_t cold_until_ms; /* until then it takes twice as long */
    uint32_t running;
    uint32_t served;
    uint32_t opened;           /* flows opened there */
    int queue[FAKE_QUEUE_MAX]; /* flows whose requests wait, oldest first */
    uint32_t queued;
};

/* Requests to one address, and what became of them. */
struct fake_route {
    double weight; /* share of all requests */
    double work_ms;
    uint32_t target_ms;
    uint32_t deadline_ms;
    uint32_t priority;
    uint32_t per_flow; /* requests on one flow, 0: one */
    uint32_t pause_ms; /* between these */
    uint32_t requests;
    uint32_t in_time;
    uint32_t late;
};

enum fake_phase {
    FAKE_FREE,
    FAKE_OPENING, /* has sent an opening */
    FAKE_PAUSED,  /* a request was answered, the next one follows */
    FAKE_QUEUED,  /* the request waits at the upstream */
    FAKE_RUNNING,
    FAKE_ANSWERED, /* the answer is on its way */
};

struct fake_flow {
    enum fake_phase phase;
    struct rg_flow_id id;
    uint64_t start_ms; /* when the caller started the request */
    uint64_t next_ms;  /* next step of the phase */
    uint32_t retransmissions;
    uint32_t ack;
    int upstream; /* -1: none has answered */
    uint32_t token;
    bool error;
    bool shed;
    bool in_queue;
    uint8_t route;
    uint8_t attempts;    /* made for the present request */
    uint32_t done;       /* requests answered on this flow */
    uint64_t arrived_ms; /* when the request came to the upstream */
    uint32_t seq;
};

struct fake_service {
    struct rg_balancer *balancers[FAKE_BALANCERS_MAX];
    /* As in edge/gossip.c. 0: unsent failures are sent at once, 1: nothing is
     * sent, 2: unsent failures do not cause a digest. */
    int gossip_phase[FAKE_BALANCERS_MAX];
    int balancer_count;
    int data_centres;      /* balancers and upstreams belong to them in turn */
    uint32_t digests_lost; /* percent */
    bool uneven;           /* half of the flows go to the first balancer */
    int partitioned;       /* balancers below this number reach no upstream */
    int paused;            /* balancers below this number do not run */
    uint32_t rows_sent;
    struct fake_upstream upstreams[FAKE_UPSTREAMS_MAX];
    int upstream_count;
    uint32_t slots;
    uint32_t queue;    /* requests that wait at an upstream, 0: unlimited */
    uint32_t attempts; /* of a caller for one request */
    struct fake_route routes[FAKE_ROUTES_MAX];
    uint32_t route_count;
    bool far;
    double first_data_centre; /* share of flows that go there, 0: even */
    struct fake_flow flows[FAKE_FLOWS_MAX];
    int flow_end; /* flows from this index on are free */
    struct rg_rand rand;
    uint64_t now_ms;
    uint16_t next_port;
    /* Results as seen by the callers. */
    uint32_t requests;
    uint32_t in_time;
    uint32_t late;
    uint32_t errors;
    uint32_t refused;
    uint32_t lost;
    uint32_t lost_twice;       /* openings whose retransmission failed, too */
    uint32_t resets;           /* of flows with an outstanding request */
    uint32_t premature_resets; /* of these, at upstreams that answer */
    /* Gets resets instead of fake_reset_flow(), unless it is NULL. */
    void (*on_reset)(void *ctx, const struct rg_segment *last);
    void *on_reset_ctx;
    uint32_t arrived;  /* requests at upstreams */
    uint32_t shed;     /* of these */
    uint32_t refusals; /* of openings, all attempts */
    double worked_ms;  /* work for answers in time */
    /* By the callers' data centre, if they are uneven. */
    uint32_t dc_requests[FAKE_DATA_CENTRES_MAX];
    uint32_t dc_in_time[FAKE_DATA_CENTRES_MAX];
};

static inline double
fake_uniform(struct fake_service *s)
{
    return (double)(rg_rand_next(&s->rand) >> 11) / 9007199254740992.0;
}

static inline struct rg_name
fake_name(const char *format, int i)
{
    struct rg_name n;
    char text[32];

    snprintf(text, sizeof(text), format, i);
    g_assert_true(rg_name_set(&n, rg_str_of(text)));
    return n;
}

static inline void
fake_update_entry(struct fake_service *s, int i, uint64_t revision)
{
    struct rg_endpoint_info r = {
        .id = s->upstreams[i].id,
        .wire_id = (uint64_t)i + 1,
        .boot_ms = 1000 + (uint64_t)i,
        .service = fake_name("shop", 0),
        .data_centre = s->far ? fake_name("far", 0)
                              : fake_name("dc%d", i % s->data_centres),
        .slots = s->slots,
    };

    if (s->upstreams[i].cold_until_ms > s->now_ms) {
        r.cold_left_ms = (uint32_t)(s->upstreams[i].cold_until_ms - s->now_ms);
    }
    rg_addr_parse(&r.addr, "10.0.0.1:80");
    for (int b = 0; b < s->balancer_count; b++) {
        rg_pool_update(rg_balancer_pool(s->balancers[b]), &r, revision,
                       s->now_ms);
    }
}

static inline void fake_reset_flow(void *ctx, const struct rg_segment *last);

struct fake_opts {
    int balancers;
    int upstreams;
    int data_centres;     /* 0: one */
    bool far;             /* all upstreams are in another data centre */
    bool unsafe;          /* requests must not be retried */
    uint32_t deadline_ms; /* 0: FAKE_DEADLINE_MS */
    bool can_hold;        /* as the option of the balancer */
    uint32_t queue;       /* see struct fake_service */
    uint32_t attempts;    /* 0: one */
    const struct fake_route *routes; /* NULL: one */
    uint32_t route_count;
    uint64_t seed;
    struct rg_cold_bounds cold_bounds;
};

static inline struct rg_balancer *
fake_balancer_create(struct fake_service *s, const struct fake_opts *o, int b)
{
    struct rg_balancer_opts opts = {
        .data_centre = fake_name("dc%d", b % s->data_centres),
        .flow_age_ms = 60000,
        .stale_ms = 3000,
        .tracked_flows = 4096,
        .id = fake_homes_id(b),
        .seed = o->seed + (uint64_t)b,
        .refuse = fake_reset_flow,
        .ctx = s,
        .cold_bounds = o->cold_bounds,
        .can_hold = o->can_hold,
    };
    struct rg_route *routes = calloc(s->route_count, sizeof(*routes));

    for (uint32_t i = 0; i < s->route_count; i++) {
        routes[i] = (struct rg_route){
            .ip = FAKE_SERVICE_IP,
            .port = (uint16_t)(FAKE_SERVICE_PORT + i),
            .target_ms = s->routes[i].target_ms,
            .timeout_ms = s->routes[i].deadline_ms,
            .priority = s->routes[i].priority,
            .repeat = o->unsafe ? RG_REPEAT_UNSAFE : RG_REPEAT_SAFE,
            .share_count = 1,
            .shares = {{.service = fake_name("shop", 0), .weight = 1}},
        };
    }
    struct rg_balancer *balancer = rg_balancer_create(&opts, s->now_ms);
    rg_balancer_set_routes(balancer,
                           rg_routes_create(1, routes, s->route_count));
    rg_balancer_set_confirmed(balancer, s->now_ms);
    struct rg_fleet fleet = {
        .instances = (size_t)o->balancers,
        .local_instances = (size_t)(o->balancers / s->data_centres),
        .share = 1.0 / o->balancers,
    };
    rg_balancer_set_fleet(balancer, &fleet);
    return balancer;
}

static inline struct fake_service *
fake_service_create_with(const struct fake_opts *opts)
{
    struct fake_service *s = g_new0(struct fake_service, 1);

    s->rand.state = opts->seed;
    s->now_ms = 10000;
    s->balancer_count = opts->balancers;
    s->upstream_count = opts->upstreams;
    s->data_centres = MAX(opts->data_centres, 1);
    s->slots = 2;
    s->queue = opts->queue;
    s->far = opts->far;
    s->attempts = MAX(opts->attempts, 1);
    s->route_count = MAX(opts->route_count, 1);
    s->routes[0] = (struct fake_route){
        .weight = 1,
        .work_ms = 22,
        .target_ms = FAKE_TARGET_MS,
        .deadline_ms =
            opts->deadline_ms ? opts->deadline_ms : FAKE_DEADLINE_MS,
    };
    for (uint32_t i = 0; i < opts->route_count; i++) {
        s->routes[i] = opts->routes[i];
    }
    for (int b = 0; b < opts->balancers; b++) {
        s->balancers[b] = fake_balancer_create(s, opts, b);
    }
    for (int i = 0; i < opts->upstreams; i++) {
        s->upstreams[i].id = fake_name("u-%x", i + 1);
        fake_update_entry(s, i, 1);
    }
    return s;
}

/* Half of the flows go to the first balancer, which knows its share. */
static inline void
fake_set_uneven(struct fake_service *s)
{
    double rest = 0.5 / s->balancer_count;

    s->uneven = true;
    for (int b = 0; b < s->balancer_count; b++) {
        struct rg_fleet fleet = {
            .instances = (size_t)s->balancer_count,
            .local_instances = (size_t)s->balancer_count,
            .share = b == 0 ? 0.5 + rest : rest,
        };
        rg_balancer_set_fleet(s->balancers[b], &fleet);
    }
}

/* The first data centre's callers send this share of all flows; its balancers
 * know their share. */
static inline void
fake_set_first_data_centre(struct fake_service *s, double share)
{
    int local = s->balancer_count / s->data_centres;

    s->first_data_centre = share;
    for (int b = 0; b < s->balancer_count; b++) {
        double of_all = b % s->data_centres == 0
                            ? share
                            : (1 - share) / (s->data_centres - 1);
        struct rg_fleet fleet = {
            .instances = (size_t)s->balancer_count,
            .local_instances = (size_t)local,
            .share = of_all / local,
        };
        rg_balancer_set_fleet(s->balancers[b], &fleet);
    }
}

static inline struct fake_service *
fake_service_create(int balancers, int upstreams, uint64_t seed)
{
    struct fake_opts opts = {
        .balancers = balancers, .upstreams = upstreams, .seed = seed};

    return fake_service_create_with(&opts);
}

static inline void
fake_service_destroy(struct fake_service *s)
{
    for (int b = 0; b < s->balancer_count; b++) {
        rg_balancer_destroy(s->balancers[b]);
    }
    g_free(s);
}

/* The balancer to which the fabric sends a flow. */
static inline int
fake_balancer_of(const struct fake_service *s, const struct fake_flow *f)
{
    int port = f->id.caller_port;

    if (s->first_data_centre > 0) {
        /* The caller's address tells its data centre. */
        int dc = (int)(f->id.caller_ip & 0xff);
        return dc + s->data_centres *
                        (port % (s->balancer_count / s->data_centres));
    }
    if (s->uneven && port % 2 == 0) {
        return 0;
    }
    return port / (s->uneven ? 2 : 1) % s->balancer_count;
}

static inline bool
fake_is_partitioned(const struct fake_service *s, const struct fake_flow *f)
{
    return fake_balancer_of(s, f) < s->partitioned;
}

/* Balancers that do not run neither ask nor answer. */
static inline bool
fake_message_arrives(void *ctx, int from, int to)
{
    const struct fake_service *s = ctx;

    return from >= s->paused && to >= s->paused;
}

static inline struct fake_homes
fake_homes_of(struct fake_service *s)
{
    return (struct fake_homes){.balancers = s->balancers,
                               .count = s->balancer_count,
                               .arrives = fake_message_arrives,
                               .ctx = s};
}

static inline struct rg_decision
fake_send(struct fake_service *s, struct fake_flow *f,
          struct rg_segment segment)
{
    int b = fake_balancer_of(s, f);

    segment.flow = f->id;
    if (b < s->paused) {
        return (struct rg_decision){.kind = RG_DECISION_DROP};
    }
    struct fake_homes homes = fake_homes_of(s);
    return fake_homes_send(&homes, b, &segment, s->now_ms);
}

static inline void
fake_leave_queue(struct fake_service *s, struct fake_flow *f)
{
    if (!f->in_queue) {
        return;
    }
    struct fake_upstream *u = &s->upstreams[f->upstream];
    uint32_t i = 0;
    while (u->queue[i] != (int)(f - s->flows)) {
        i++;
    }
    u->queued--;
    memmove(&u->queue[i], &u->queue[i + 1],
            (u->queued - i) * sizeof(u->queue[0]));
    f->in_queue = false;
}

/* A new attempt of the same caller, from another port. */
static inline void
fake_open_again(struct fake_service *s, struct fake_flow *f)
{
    f->id.caller_port = ++s->next_port;
    f->phase = FAKE_OPENING;
    f->next_ms = s->now_ms + 1;
    f->retransmissions = 0;
    f->ack = 0;
    f->seq = 0;
    f->done = 0;
    f->shed = false;
    f->error = false;
    f->arrived_ms = 0;
}

static inline void
fake_end_flow(struct fake_service *s, struct fake_flow *f, uint32_t *outcome)
{
    fake_leave_queue(s, f);
    (*outcome)++;
    f->phase = FAKE_FREE;
}

/* The request was not run: the caller tries again if it may. */
static inline void
fake_not_run(struct fake_service *s, struct fake_flow *f, uint32_t *outcome)
{
    if (++f->attempts >= s->attempts) {
        fake_end_flow(s, f, outcome);
        return;
    }
    fake_open_again(s, f);
}

/* What the balancer does with an opening; a waiting one may be retransmitted
 * meanwhile. */
static inline void
fake_handle_opening(struct fake_service *s, struct fake_flow *f,
                    struct rg_decision decision)
{
    static const uint32_t waits_ms[] = {200, 400, 800};

    if (decision.kind == RG_DECISION_REFUSE) {
        s->refusals++;
        fake_not_run(s, f, &s->refused);
        return;
    }
    f->upstream = -1;
    if (decision.kind == RG_DECISION_FORWARD) {
        int i = (int)decision.endpoint->wire_id - 1;
        if (s->upstreams[i].condition != FAKE_SILENT &&
            !fake_is_partitioned(s, f)) {
            f->upstream = i;
            s->upstreams[i].opened++;
            f->token = decision.endpoint->token;
            f->phase = FAKE_QUEUED;
            f->next_ms = s->now_ms + FAKE_RTT_MS;
            return;
        }
    }
    f->next_ms = s->now_ms + waits_ms[f->retransmissions];
    f->retransmissions++;
}

static inline void
fake_send_opening(struct fake_service *s, struct fake_flow *f)
{
    struct rg_segment syn = {.opening = true, .ack = f->retransmissions};

    if (f->retransmissions == 3) {
        fake_not_run(s, f, &s->lost); /* no upstream has answered */
        return;
    }
    s->lost_twice += f->retransmissions == 2;
    fake_handle_opening(s, f, fake_send(s, f, syn));
}

/* Decides on openings that wait at a balancer. */
static inline void
fake_release_waiting(struct fake_service *s, int b)
{
    struct rg_waiting_opening w;

    while (rg_balancer_next_waiting(s->balancers[b], s->now_ms, &w)) {
        for (int n = 0; n < s->flow_end; n++) {
            struct fake_flow *f = &s->flows[n];
            if (f->phase == FAKE_OPENING &&
                memcmp(&f->id, &w.segment.flow, sizeof(f->id)) == 0)
            {
                f->retransmissions -= f->retransmissions > 0;
                fake_handle_opening(s, f, w.decision);
                break;
            }
        }
    }
}

/* A request arrives at its upstream. False if it is shed. */
static inline bool
fake_arrive(struct fake_service *s, struct fake_flow *f)
{
    struct fake_upstream *u = &s->upstreams[f->upstream];

    s->arrived++;
    f->arrived_ms = s->now_ms;
    if (s->queue == 0) {
        return true;
    }
    if (u->running + u->queued >= s->slots + s->queue) {
        return false;
    }
    u->queue[u->queued++] = (int)(f - s->flows);
    f->in_queue = true;
    return true;
}

static inline void
fake_shed(struct fake_service *s, struct fake_flow *f)
{
    fake_leave_queue(s, f);
    s->shed++;
    f->shed = true;
    f->phase = FAKE_ANSWERED;
    f->next_ms = s->now_ms + FAKE_RTT_MS;
}

static inline void
fake_start_work(struct fake_service *s, struct fake_flow *f)
{
    struct fake_upstream *u = &s->upstreams[f->upstream];
    double ms = s->routes[f->route].work_ms * (0.4 + 1.2 * fake_uniform(s));

    if (u->condition == FAKE_ERROR) {
        f->error = true;
        f->phase = FAKE_ANSWERED;
        f->next_ms = s->now_ms + FAKE_RTT_MS + 1;
        return;
    }
    if (u->condition == FAKE_HANGING || fake_is_partitioned(s, f) ||
        u->running >= s->slots ||
        (f->in_queue && u->queue[0] != (int)(f - s->flows)))
    {
        f->next_ms = s->now_ms + 1;
        if (f->in_queue && s->now_ms - f->arrived_ms > FAKE_QUEUE_TIMEOUT_MS) {
            fake_shed(s, f);
        }
        return;
    }
    fake_leave_queue(s, f);
    u->running++;
    if (u->condition == FAKE_SLOW) {
        ms *= 5;
    }
    if (u->cold_until_ms > s->now_ms) {
        ms *= 2;
    }
    f->phase = FAKE_RUNNING;
    f->next_ms = s->now_ms + (uint64_t)ms;
}

/* The caller has received an answer, and closes the flow unless it sends more
 * requests there. */
static inline void
fake_receive_answer(struct fake_service *s, struct fake_flow *f)
{
    struct fake_route *r = &s->routes[f->route];
    struct rg_segment ack = {
        .token = f->token, .seq = f->seq + 100, .ack = f->ack};
    uint64_t ms = s->now_ms - f->start_ms;
    bool in_time = ms <= r->target_ms;

    ack.ack += f->error  ? FAKE_ERROR_BYTES
               : f->shed ? FAKE_SHED_BYTES
                         : FAKE_ANSWER_BYTES;
    f->ack = ack.ack;
    f->done++;
    ack.fin = f->shed || f->error || f->done >= MAX(r->per_flow, 1);
    fake_send(s, f, ack);
    if (f->error) {
        fake_end_flow(s, f, &s->errors);
        return;
    }
    if (f->shed) {
        fake_not_run(s, f, &s->errors);
        return;
    }
    s->worked_ms += in_time ? r->work_ms : 0;
    r->in_time += in_time;
    if (s->first_data_centre > 0) {
        s->dc_in_time[f->id.caller_ip & 0xff] += in_time;
    }
    r->late += !in_time;
    if (ack.fin) {
        fake_end_flow(s, f, in_time ? &s->in_time : &s->late);
        return;
    }
    s->in_time += in_time;
    s->late += !in_time;
    f->phase = FAKE_PAUSED;
    f->next_ms = s->now_ms + rg_rand_below(&s->rand, 2 * r->pause_ms) + 1;
}

/* The next request on an open flow. */
static inline void
fake_request_again(struct fake_service *s, struct fake_flow *f)
{
    s->requests++;
    s->routes[f->route].requests++;
    f->start_ms = s->now_ms;
    f->attempts = 0;
    f->seq += 100;
    f->phase = FAKE_QUEUED;
    f->next_ms = s->now_ms;
    f->arrived_ms = 0;
}

static inline void
fake_step_flow(struct fake_service *s, struct fake_flow *f)
{
    struct rg_segment data = {.token = f->token, .seq = f->seq};

    if (f->phase == FAKE_FREE || s->now_ms < f->next_ms) {
        return;
    }
    if (f->phase == FAKE_PAUSED) {
        fake_request_again(s, f);
    }
    if (s->now_ms - f->start_ms > s->routes[f->route].deadline_ms) {
        if (f->phase == FAKE_RUNNING) {
            s->upstreams[f->upstream].running--;
        }
        fake_end_flow(s, f, &s->lost);
        return;
    }
    switch (f->phase) {
    case FAKE_OPENING:
        fake_send_opening(s, f);
        break;
    case FAKE_QUEUED:
        if (f->arrived_ms == 0) {
            f->ack = MAX(f->ack, 1);
            f->seq = MAX(f->seq, 1);
            data.seq = f->seq;
            data.ack = f->ack;
            data.len = 100;
            fake_send(s, f, data);
            if (!fake_arrive(s, f)) {
                fake_shed(s, f);
                break;
            }
        }
        fake_start_work(s, f);
        break;
    case FAKE_RUNNING:
        s->upstreams[f->upstream].running--;
        s->upstreams[f->upstream].served++;
        f->phase = FAKE_ANSWERED;
        f->next_ms = s->now_ms + FAKE_RTT_MS;
        break;
    default:
        fake_receive_answer(s, f);
        break;
    }
}

static inline uint8_t
fake_pick_route(struct fake_service *s)
{
    double left = s->route_count > 1 ? fake_uniform(s) : 0;
    uint8_t i = 0;

    while (i + 1U < s->route_count && left >= s->routes[i].weight) {
        left -= s->routes[i++].weight;
    }
    return i;
}

static inline void
fake_start_request(struct fake_service *s)
{
    for (int i = 0; i < FAKE_FLOWS_MAX; i++) {
        struct fake_flow *f = &s->flows[i];
        if (f->phase == FAKE_FREE) {
            *f = (struct fake_flow){.phase = FAKE_OPENING,
                                    .start_ms = s->now_ms,
                                    .next_ms = s->now_ms};
            f->id = (struct rg_flow_id){
                .caller_ip = 0x64400000 + s->requests % 64,
                .service_ip = FAKE_SERVICE_IP,
                .caller_port = ++s->next_port,
                .service_port = FAKE_SERVICE_PORT,
            };
            f->route = fake_pick_route(s);
            f->id.service_port += f->route;
            if (s->first_data_centre > 0) {
                bool first = fake_uniform(s) < s->first_data_centre;
                f->id.caller_ip =
                    0x64400000 + (s->requests % 64 << 8) +
                    (first ? 0
                           : 1 + rg_rand_below(&s->rand,
                                               (uint32_t)s->data_centres - 1));
                s->dc_requests[f->id.caller_ip & 0xff]++;
            }
            s->requests++;
            s->routes[f->route].requests++;
            s->flow_end = MAX(s->flow_end, i + 1);
            return;
        }
    }
    g_assert_not_reached();
}

/* A balancer resets a flow with an outstanding request: its caller retries. */
static inline void
fake_reset_flow(void *ctx, const struct rg_segment *last)
{
    struct fake_service *s = ctx;

    if (s->on_reset) {
        s->on_reset(s->on_reset_ctx, last);
        return;
    }
    for (int n = 0; n < s->flow_end; n++) {
        struct fake_flow *f = &s->flows[n];
        if (f->phase == FAKE_FREE ||
            memcmp(&f->id, &last->flow, sizeof(f->id)) != 0) {
            continue;
        }
        s->resets++;
        s->premature_resets +=
            s->upstreams[f->upstream].condition != FAKE_HANGING;
        if (f->phase == FAKE_RUNNING) {
            s->upstreams[f->upstream].running--;
        }
        fake_leave_queue(s, f);
        fake_open_again(s, f);
        return;
    }
}

/* Sends the rows of one digest from balancer `from` to another balancer of its
 * data centre. */
static inline void
fake_send_digest(struct fake_service *s, int from)
{
    struct rg_outcome_row rows[FAKE_ROWS_MAX];
    int data_centre = from % s->data_centres;
    int local_instances =
        s->balancer_count / s->data_centres +
        (s->balancer_count % s->data_centres > data_centre ? 1 : 0);
    size_t count =
        rg_balancer_next_outcomes(s->balancers[from], rows, FAKE_ROWS_MAX);
    int to = data_centre +
             s->data_centres *
                 (int)rg_rand_below(&s->rand, (uint32_t)local_instances);

    s->rows_sent += (uint32_t)count;
    if (to == from || rg_rand_below(&s->rand, 100) < s->digests_lost) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        rg_balancer_add_reported_outcomes(s->balancers[to], &rows[i],
                                          s->now_ms);
    }
}

/* Sends digests at the rate of edge/gossip.c. */
static inline void
fake_gossip(struct fake_service *s, int b)
{
    if (s->gossip_phase[b] == 1) {
        s->gossip_phase[b] = 2;
        return;
    }
    if (s->gossip_phase[b] == 0 &&
        rg_balancer_has_unsent_failure(s->balancers[b])) {
        fake_send_digest(s, b);
        fake_send_digest(s, b);
        s->gossip_phase[b] = 1;
        return;
    }
    s->gossip_phase[b] = 0;
    if (rg_rand_below(&s->rand, 100) < FAKE_DIGESTS_LOCAL) {
        fake_send_digest(s, b);
    }
}

/* Lets `ms` pass with `per_s` new requests per second. */
static inline void
fake_run(struct fake_service *s, uint32_t ms, double per_s)
{
    for (uint32_t i = 0; i < ms; i++) {
        s->now_ms++;
        for (double due = per_s / 1000; due > 0; due--) {
            if (fake_uniform(s) < due) {
                fake_start_request(s);
            }
        }
        for (int n = 0; n < s->flow_end; n++) {
            fake_step_flow(s, &s->flows[n]);
        }
        while (s->flow_end > 0 && s->flows[s->flow_end - 1].phase == FAKE_FREE)
        {
            s->flow_end--;
        }
        for (int b = (int)(s->now_ms % FAKE_WAITING_CHECK_MS);
             b < s->balancer_count; b += FAKE_WAITING_CHECK_MS)
        {
            fake_release_waiting(s, b);
        }
        /* The ticks of the balancers are spread over the period. */
        for (int b = (int)(s->now_ms % RG_BALANCER_TICK_MS);
             b < s->balancer_count; b += RG_BALANCER_TICK_MS)
        {
            if (b < s->paused) {
                continue;
            }
            rg_balancer_set_confirmed(s->balancers[b], s->now_ms);
            rg_balancer_tick(s->balancers[b], s->now_ms);
            fake_gossip(s, b);
            struct fake_homes homes = fake_homes_of(s);
            fake_homes_exchange(&homes, b, s->now_ms);
        }
    }
}

/* Resets the results. */
static inline void
fake_reset_results(struct fake_service *s)
{
    s->requests = s->in_time = s->late = s->errors = s->refused = s->lost = 0;
    s->lost_twice = s->resets = s->premature_resets = s->rows_sent = 0;
    s->arrived = s->shed = s->refusals = 0;
    s->worked_ms = 0;
    memset(s->dc_requests, 0, sizeof(s->dc_requests));
    memset(s->dc_in_time, 0, sizeof(s->dc_in_time));
    for (uint32_t i = 0; i < s->route_count; i++) {
        s->routes[i].requests = s->routes[i].in_time = s->routes[i].late = 0;
    }
    for (int i = 0; i < s->upstream_count; i++) {
        s->upstreams[i].served = 0;
        s->upstreams[i].opened = 0;
    }
}

#endif
