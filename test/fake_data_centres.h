/* Simulated service in several data centres, for tests of locality without a
 * network: callers retry, upstreams have slots and a bounded queue and shed
 * what exceeds it, paths between data centres take longer, and instances learn
 * each other's rates of new flows seconds late. Time advances in steps of 1
 * ms; all random choices come from one seed. */
#ifndef RG_TEST_FAKE_DATA_CENTRES_H
#define RG_TEST_FAKE_DATA_CENTRES_H

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "balance/balancer.h"
#include "common/rand.h"
#include "test/fake_homes.h"

#define FDC_MAX 4
#define FDC_BALANCERS_MAX 300
#define FDC_UPSTREAMS_MAX 160
#define FDC_FLOWS_MAX 16384
#define FDC_IP 0xc6120001
#define FDC_PORT 443
#define FDC_ANSWER_BYTES 1000
#define FDC_SHED_BYTES 80
#define FDC_ATTEMPTS 3
#define FDC_LOCAL_RTT_MS 2
#define FDC_REMOTE_RTT_MS 8
#define FDC_QUEUE_MAX 8 /* requests that wait at an upstream */
/* Mean age of a peer's rate: an instance sends ten digests a second, each to
 * one of its peers, and relies on none that is older than 6 s. */
#define FDC_REPORT_MS(instances) MIN(100 * (uint32_t)(instances), 3000)
/* An opening without an answer is sent again after this time. */
#define FDC_RETRANSMIT_MS 200

struct fdc_upstream {
    uint32_t running;
    uint32_t waiting;
    uint32_t served;
    bool gone; /* its entry has been removed */
};

enum fdc_phase {
    FDC_FREE,
    FDC_OPENING,
    FDC_REQUEST, /* the opening was answered; the request is on its way */
    FDC_WAITING,
    FDC_RUNNING,
    FDC_ANSWER, /* on its way to the caller */
    FDC_SHED,   /* the same of a refusal by the upstream */
};

struct fdc_flow {
    enum fdc_phase phase;
    struct rg_flow_id id;
    int balancer;
    int upstream;
    uint32_t token;
    uint32_t attempts;
    uint32_t copies;
    uint64_t start_ms;
    uint64_t next_ms;
};

struct fdc {
    struct rg_balancer *balancers[FDC_BALANCERS_MAX];
    uint32_t rates[FDC_BALANCERS_MAX]; /* as last reported */
    int balancer_count;
    struct fdc_upstream upstreams[FDC_UPSTREAMS_MAX];
    int upstream_count;
    int data_centres; /* balancers and upstreams belong to them in turn */
    double demand[FDC_MAX]; /* requests per second of each one's callers */
    bool cut[FDC_MAX];      /* not reachable from the others */
    double work_ms;
    uint32_t target_ms;
    uint32_t deadline_ms;
    struct fdc_flow flows[FDC_FLOWS_MAX];
    int flow_end;
    struct rg_rand rand;
    uint64_t now_ms;
    uint64_t revision;
    uint16_t next_port;
    /* Results. */
    uint32_t requests;
    uint32_t in_time;
    uint32_t late;
    uint32_t lost;
    uint32_t arrived; /* requests at upstreams */
    uint32_t shed;
    uint32_t openings;
    uint32_t crossed; /* openings that went to another data centre */
};

static inline double
fdc_uniform(struct fdc *s)
{
    return (double)(rg_rand_next(&s->rand) >> 11) / 9007199254740992.0;
}

static inline struct rg_name
fdc_name(const char *format, int i)
{
    struct rg_name n;
    char text[32];

    snprintf(text, sizeof(text), format, i);
    g_assert_true(rg_name_set(&n, rg_str_of(text)));
    return n;
}

static inline void
fdc_set_gone(struct fdc *s, int i, bool gone)
{
    struct rg_endpoint_info info = {
        .id = fdc_name("u-%x", i + 1),
        .wire_id = (uint64_t)i + 1,
        .boot_ms = 1000 + s->revision,
        .service = fdc_name("shop", 0),
        .data_centre = fdc_name("dc%d", i % s->data_centres),
        .slots = 2,
        .draining = gone,
    };

    rg_addr_parse(&info.addr, "10.0.0.1:80");
    s->upstreams[i].gone = gone;
    s->revision++;
    for (int b = 0; b < s->balancer_count; b++) {
        rg_pool_update(rg_balancer_pool(s->balancers[b]), &info, s->revision,
                       s->now_ms);
    }
}

static inline struct rg_balancer *
fdc_balancer(struct fdc *s, int b, uint64_t seed)
{
    struct rg_balancer_opts opts = {
        .data_centre = fdc_name("dc%d", b % s->data_centres),
        .flow_age_ms = 60000,
        .stale_ms = 3000,
        .tracked_flows = 512 + 65536 / (size_t)s->balancer_count,
        .id = fake_homes_id(b),
        .seed = seed + (uint64_t)b,
        .can_hold = true,
    };
    struct rg_route *route = calloc(1, sizeof(*route));

    *route = (struct rg_route){.ip = FDC_IP,
                               .port = FDC_PORT,
                               .target_ms = s->target_ms,
                               .timeout_ms = s->deadline_ms,
                               .repeat = RG_REPEAT_SAFE,
                               .share_count = 1};
    route->shares[0] =
        (struct rg_route_share){.service = fdc_name("shop", 0), .weight = 1};
    struct rg_balancer *balancer = rg_balancer_create(&opts, s->now_ms);
    rg_balancer_set_routes(balancer, rg_routes_create(1, route, 1));
    rg_balancer_set_confirmed(balancer, s->now_ms);
    return balancer;
}

static inline struct fdc *
fdc_create(int balancers, int upstreams, int data_centres, uint64_t seed)
{
    struct fdc *s = g_new0(struct fdc, 1);

    s->rand.state = seed;
    s->now_ms = 10000;
    s->balancer_count = balancers;
    s->upstream_count = upstreams;
    s->data_centres = data_centres;
    s->work_ms = 47;
    s->target_ms = 500;
    s->deadline_ms = 4000;
    for (int b = 0; b < balancers; b++) {
        s->balancers[b] = fdc_balancer(s, b, seed);
    }
    for (int i = 0; i < upstreams; i++) {
        fdc_set_gone(s, i, false);
    }
    return s;
}

static inline void
fdc_destroy(struct fdc *s)
{
    for (int b = 0; b < s->balancer_count; b++) {
        rg_balancer_destroy(s->balancers[b]);
    }
    g_free(s);
}

/* What peers report to one instance. */
static inline void
fdc_set_fleet(struct fdc *s, int b)
{
    /* An instance knows its own rate at any time, and peers' as of their last
     * report. */
    double own = rg_balancer_openings_per_s(s->balancers[b]);
    double local = own;
    double all = own;

    if (rg_rand_below(&s->rand, FDC_REPORT_MS(s->balancer_count) /
                                    RG_BALANCER_TICK_MS) == 0)
    {
        s->rates[b] = own;
    }
    for (int i = 0; i < s->balancer_count; i++) {
        double rate = i == b ? 0 : s->rates[i];
        all += rate;
        local += i % s->data_centres == b % s->data_centres ? rate : 0;
    }
    struct rg_fleet fleet = {
        .instances = (size_t)s->balancer_count,
        .local_instances = (size_t)((s->balancer_count - b % s->data_centres +
                                     s->data_centres - 1) /
                                    s->data_centres),
        .share = all > 0 ? own / all : 1.0 / s->balancer_count,
#ifndef FDC_WITHOUT_RATES
        .local_openings_per_s = local,
        .remote_openings_per_s = all - local,
#endif
    };
    rg_balancer_set_fleet(s->balancers[b], &fleet);
}

static inline bool
fdc_is_local(const struct fdc *s, const struct fdc_flow *f)
{
    return f->balancer % s->data_centres == f->upstream % s->data_centres;
}

static inline uint64_t
fdc_rtt_ms(const struct fdc *s, const struct fdc_flow *f)
{
    return fdc_is_local(s, f) ? FDC_LOCAL_RTT_MS : FDC_REMOTE_RTT_MS;
}

static inline bool
fdc_is_cut(const struct fdc *s, const struct fdc_flow *f)
{
    return !fdc_is_local(s, f) && (s->cut[f->upstream % s->data_centres] ||
                                   s->cut[f->balancer % s->data_centres]);
}

static inline struct rg_decision
fdc_send(struct fdc *s, struct fdc_flow *f, struct rg_segment segment)
{
    segment.flow = f->id;
    struct fake_homes homes = {.balancers = s->balancers,
                               .count = s->balancer_count};
    return fake_homes_send(&homes, f->balancer, &segment, s->now_ms);
}

/* Starts the next attempt, on a new flow. */
static inline void
fdc_attempt(struct fdc *s, struct fdc_flow *f)
{
    if (f->attempts == FDC_ATTEMPTS) {
        f->phase = FDC_FREE;
        s->lost++;
        return;
    }
    f->attempts++;
    f->copies = 0;
    f->phase = FDC_OPENING;
    f->next_ms = s->now_ms + 1;
    f->id.caller_port = ++s->next_port;
}

static inline void
fdc_handle_opening(struct fdc *s, struct fdc_flow *f, struct rg_decision d)
{
    if (d.kind == RG_DECISION_REFUSE) {
        fdc_attempt(s, f);
        return;
    }
    f->next_ms = s->now_ms + FDC_RETRANSMIT_MS * f->copies;
    if (d.kind != RG_DECISION_FORWARD) {
        return;
    }
    f->upstream = (int)d.endpoint->wire_id - 1;
    s->crossed += !fdc_is_local(s, f);
    if (!fdc_is_cut(s, f)) {
        f->token = d.endpoint->token;
        f->phase = FDC_REQUEST;
        f->next_ms = s->now_ms + fdc_rtt_ms(s, f);
    }
}

static inline void
fdc_open(struct fdc *s, struct fdc_flow *f)
{
    struct rg_segment syn = {.opening = true, .ack = f->copies, .seq = 7};
    struct rg_decision d = fdc_send(s, f, syn);

    s->openings += f->copies == 0;
    f->copies++;
    fdc_handle_opening(s, f, d);
}

/* Decides on openings that wait at a balancer. */
static inline void
fdc_release_waiting(struct fdc *s, int b)
{
    struct rg_waiting_opening w;

    while (rg_balancer_next_waiting(s->balancers[b], s->now_ms, &w)) {
        for (int n = 0; n < s->flow_end; n++) {
            struct fdc_flow *f = &s->flows[n];
            if (f->phase == FDC_OPENING &&
                memcmp(&f->id, &w.segment.flow, sizeof(f->id)) == 0)
            {
                fdc_handle_opening(s, f, w.decision);
                break;
            }
        }
    }
}

static inline void
fdc_arrive(struct fdc *s, struct fdc_flow *f)
{
    struct rg_segment data = {
        .token = f->token, .seq = 8, .ack = 1, .len = 100};
    struct fdc_upstream *u = &s->upstreams[f->upstream];

    fdc_send(s, f, data);
    s->arrived++;
    f->phase = FDC_WAITING;
    if (u->running >= 2 && u->waiting >= FDC_QUEUE_MAX) {
        s->shed++;
        f->phase = FDC_SHED;
        f->next_ms = s->now_ms + fdc_rtt_ms(s, f);
        return;
    }
    u->waiting++;
}

static inline void
fdc_run_if_free(struct fdc *s, struct fdc_flow *f)
{
    struct fdc_upstream *u = &s->upstreams[f->upstream];

    f->next_ms = s->now_ms + 1;
    if (u->running < 2) {
        u->running++;
        u->waiting--;
        f->phase = FDC_RUNNING;
        f->next_ms =
            s->now_ms + (uint64_t)(s->work_ms * (0.2 + 1.6 * fdc_uniform(s)));
    }
}

static inline void
fdc_receive(struct fdc *s, struct fdc_flow *f)
{
    bool shed = f->phase == FDC_SHED;
    struct rg_segment fin = {.token = f->token,
                             .seq = 108,
                             .ack = 1 +
                                    (shed ? FDC_SHED_BYTES : FDC_ANSWER_BYTES),
                             .fin = true};
    uint64_t ms = s->now_ms - f->start_ms;

    fdc_send(s, f, fin);
    if (shed) {
        fdc_attempt(s, f);
        return;
    }
    s->in_time += ms <= s->target_ms;
    s->late += ms > s->target_ms;
    f->phase = FDC_FREE;
}

static inline void
fdc_step(struct fdc *s, struct fdc_flow *f)
{
    if (f->phase == FDC_FREE || s->now_ms < f->next_ms) {
        return;
    }
    switch (f->phase) {
    case FDC_OPENING:
        if (s->now_ms - f->start_ms > s->deadline_ms) {
            s->lost++;
            f->phase = FDC_FREE;
            break;
        }
        fdc_open(s, f);
        break;
    case FDC_REQUEST:
        fdc_arrive(s, f);
        break;
    case FDC_WAITING:
        fdc_run_if_free(s, f);
        break;
    case FDC_RUNNING:
        s->upstreams[f->upstream].running--;
        s->upstreams[f->upstream].served++;
        f->phase = FDC_ANSWER;
        f->next_ms = s->now_ms + fdc_rtt_ms(s, f);
        break;
    default:
        fdc_receive(s, f);
        break;
    }
}

/* A caller of a data centre starts a request; its packets reach one of the
 * instances there. */
static inline void
fdc_request(struct fdc *s, int data_centre)
{
    int instances = (s->balancer_count - data_centre + s->data_centres - 1) /
                    s->data_centres;

    for (int i = 0; i < FDC_FLOWS_MAX; i++) {
        struct fdc_flow *f = &s->flows[i];
        if (f->phase != FDC_FREE) {
            continue;
        }
        *f = (struct fdc_flow){.start_ms = s->now_ms};
        f->balancer = data_centre +
                      s->data_centres *
                          (int)rg_rand_below(&s->rand, (uint32_t)instances);
        f->id = (struct rg_flow_id){.caller_ip = 0x64400000 + s->requests % 64,
                                    .service_ip = FDC_IP,
                                    .service_port = FDC_PORT};
        s->flow_end = MAX(s->flow_end, i + 1);
        s->requests++;
        fdc_attempt(s, f);
        return;
    }
    g_assert_not_reached();
}

static inline void
fdc_run(struct fdc *s, uint32_t ms)
{
    for (uint32_t n = 0; n < ms; n++) {
        s->now_ms++;
        for (int d = 0; d < s->data_centres; d++) {
            for (double due = s->demand[d] / 1000; due > 0; due--) {
                if (fdc_uniform(s) < due) {
                    fdc_request(s, d);
                }
            }
        }
        for (int i = 0; i < s->flow_end; i++) {
            fdc_step(s, &s->flows[i]);
        }
        for (int b = 0; b < s->balancer_count; b++) {
            fdc_release_waiting(s, b);
        }
        for (int b = (int)(s->now_ms % RG_BALANCER_TICK_MS);
             b < s->balancer_count; b += RG_BALANCER_TICK_MS)
        {
            fdc_set_fleet(s, b);
            rg_balancer_set_confirmed(s->balancers[b], s->now_ms);
            rg_balancer_tick(s->balancers[b], s->now_ms);
            struct fake_homes homes = {.balancers = s->balancers,
                                       .count = s->balancer_count};
            fake_homes_exchange(&homes, b, s->now_ms);
        }
    }
}

static inline void
fdc_reset_results(struct fdc *s)
{
    s->requests = s->in_time = s->late = s->lost = 0;
    s->arrived = s->shed = s->openings = s->crossed = 0;
    for (int i = 0; i < s->upstream_count; i++) {
        s->upstreams[i].served = 0;
    }
}

/* Requests that the busiest data centre's upstreams served, by upstream that
 * takes flows, relative to the mean of all data centres. */
static inline double
fdc_busiest_to_mean(const struct fdc *s)
{
    double served[FDC_MAX] = {0};
    double count[FDC_MAX] = {0};
    double all = 0;
    double upstreams = 0;
    double most = 0;

    for (int i = 0; i < s->upstream_count; i++) {
        served[i % s->data_centres] += s->upstreams[i].served;
        count[i % s->data_centres] += !s->upstreams[i].gone;
        all += s->upstreams[i].served;
        upstreams += !s->upstreams[i].gone;
    }
    for (int d = 0; d < s->data_centres; d++) {
        most = MAX(most, count[d] > 0 ? served[d] / count[d] : 0);
    }
    return most * upstreams / all;
}

#endif
