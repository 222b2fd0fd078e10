/* Guards against requests on kept flows that wait for their deadline at an
 * upstream that is gone, and against resets at upstreams that are sound: slow,
 * overloaded, frozen for a moment, or behind a lossy path. Several balancers
 * in one program, without a network; callers keep flows for many requests,
 * with pauses that are mostly longer than an idle entry is kept. */
#include "test/fake_service.h"

#define DATA_CENTRES 3
#define UPSTREAMS 150
#define FLOWS 7000
#define DEADLINE_MS 2500
#define ATTEMPTS 3
/* Pauses between two requests of a flow are uniform up to this. */
#define PAUSE_MAX_MS 13000
#define HALF_RTT_MS 3
#define WORK_MS 22
/* An upstream works on so many requests, and queues so many more; it answers
 * others at once: not run. */
#define SLOTS 2
#define QUEUE_MAX 8
#define OPENING_SEQ 1000
#define REQUEST_BYTES 100
#define ANSWER_BYTES 1000
/* Nothing is known at first. */
#define WARM_UP_MS 15000
/* A reset is wrong if nothing has disturbed the upstream for this long. */
#define DISTURBED_MS 5000

enum phase {
    PHASE_PAUSE,
    PHASE_OPENING,
    PHASE_WAITING,
};

struct kept_flow {
    enum phase phase;
    struct rg_flow_id id;
    int data_centre;
    int balancer;
    int upstream;
    uint32_t token;      /* last one received */
    uint32_t flow_token; /* of the upstream's packets after the opening */
    uint32_t seq;        /* next byte to send */
    uint32_t ack;        /* next byte expected */
    uint64_t start_ms;   /* of the request, over all attempts */
    uint64_t sent_ms;    /* of this attempt's opening or request */
    uint64_t next_ms;    /* end of the pause, or next retransmission */
    uint64_t answer_ms;  /* the answer arrives, 0: never */
    uint64_t acked_ms;   /* the request is acknowledged, 0: never */
    uint32_t copies;     /* sent */
    int attempts;
    bool open;
    bool was_reset;
    bool received; /* the upstream has got the request */
};

struct site {
    struct fake_service *s;
    struct kept_flow flows[FLOWS];
    uint64_t dead_ms[UPSTREAMS]; /* 0: alive */
    uint64_t frozen_until_ms[UPSTREAMS];
    uint64_t disturbed_ms[UPSTREAMS];   /* last, 0: never */
    uint64_t free_ms[UPSTREAMS][SLOTS]; /* when its slots are free */
    uint32_t work_ms;
    uint32_t loss[FAKE_BALANCERS_MAX]; /* of packets by this way, percent */
    int cut_data_centre;               /* lossy paths lead there, -1: all */
    bool is_down[FAKE_BALANCERS_MAX];
    uint16_t next_port;
    uint32_t requests;
    uint32_t answered;
    uint32_t failed;
    uint32_t resets;
    uint32_t saved;        /* requests that were reset, and answered in time */
    uint32_t wrong_resets; /* at upstreams that are alive */
    uint64_t reset_after_ms; /* sum */
};

static uint32_t
below(struct site *t, uint32_t limit)
{
    return rg_rand_below(&t->s->rand, limit);
}

/* A balancer of the data centre that runs, or of another one. */
static int
pick_balancer(struct site *t, int data_centre)
{
    int per_dc = t->s->balancer_count / DATA_CENTRES;

    for (int i = 0; i < DATA_CENTRES; i++) {
        int dc = (data_centre + i) % DATA_CENTRES;
        int extra = t->s->balancer_count % DATA_CENTRES > dc;
        int count = per_dc + extra;
        int b = dc + DATA_CENTRES * (int)below(t, (uint32_t)count);
        if (!t->is_down[b]) {
            return b;
        }
    }
    g_assert_not_reached();
}

static bool
is_lost(struct site *t, const struct kept_flow *f, int upstream)
{
    return (t->cut_data_centre < 0 ||
            upstream % DATA_CENTRES == t->cut_data_centre) &&
           below(t, 100) < t->loss[f->balancer];
}

static struct rg_decision
send_segment(struct site *t, const struct kept_flow *f,
             struct rg_segment segment)
{
    segment.flow = f->id;
    struct fake_homes homes = fake_homes_of(t->s);
    return fake_homes_send(&homes, f->balancer, &segment, t->s->now_ms);
}

/* When the upstream handles what arrives now, 0 if never. */
static uint64_t
handled_ms(const struct site *t, int upstream)
{
    uint64_t now = t->s->now_ms + HALF_RTT_MS;

    if (t->dead_ms[upstream] != 0) {
        return 0;
    }
    return MAX(now, t->frozen_until_ms[upstream]);
}

static void
start_pause(struct site *t, struct kept_flow *f)
{
    f->phase = PHASE_PAUSE;
    f->attempts = 0;
    f->was_reset = false;
    f->next_ms = t->s->now_ms + 1 + below(t, PAUSE_MAX_MS);
}

static void
end_flow(struct site *t, struct kept_flow *f)
{
    if (f->open) {
        send_segment(
            t, f,
            (struct rg_segment){
                .token = f->token, .seq = f->seq, .ack = f->ack, .fin = true});
    }
    f->open = false;
}

static void
fail(struct site *t, struct kept_flow *f)
{
    t->failed++;
    end_flow(t, f);
    start_pause(t, f);
}

static void send_opening(struct site *t, struct kept_flow *f);

/* The next attempt, on a new flow. */
static void
try_again(struct site *t, struct kept_flow *f)
{
    f->open = false;
    if (++f->attempts == ATTEMPTS) {
        fail(t, f);
        return;
    }
    f->id.caller_port = ++t->next_port;
    f->balancer = pick_balancer(t, f->data_centre);
    f->phase = PHASE_OPENING;
    f->copies = 0;
    f->sent_ms = t->s->now_ms;
    send_opening(t, f);
}

static void
note_reset(struct site *t, struct kept_flow *f)
{
    uint64_t now = t->s->now_ms;
    int u = f->upstream;

    t->resets++;
    t->reset_after_ms += now - f->sent_ms;
    if (t->dead_ms[u] == 0 &&
        (t->disturbed_ms[u] == 0 || now >= t->disturbed_ms[u] + DISTURBED_MS))
    {
        t->wrong_resets++;
    }
    f->was_reset = true;
}

static void
on_reset(void *ctx, const struct rg_segment *last)
{
    struct site *t = ctx;

    for (int i = 0; i < FLOWS; i++) {
        struct kept_flow *f = &t->flows[i];
        if (f->open && memcmp(&f->id, &last->flow, sizeof(f->id)) == 0) {
            note_reset(t, f);
            f->open = false;
            f->phase = PHASE_OPENING; /* the next step tries again */
            f->copies = UINT32_MAX;
            f->next_ms = t->s->now_ms + 1;
            return;
        }
    }
}

/* When a request that arrives at `at_ms` is answered. */
static uint64_t
work_until(struct site *t, int upstream, uint64_t at_ms)
{
    uint64_t *free_ms = t->free_ms[upstream];
    int slot = free_ms[0] <= free_ms[1] ? 0 : 1;
    uint64_t from_ms = MAX(at_ms, free_ms[slot]);

    if ((from_ms - at_ms) * SLOTS > (uint64_t)QUEUE_MAX * t->work_ms) {
        return at_ms;
    }
    free_ms[slot] = from_ms + t->work_ms / 2 + below(t, t->work_ms);
    return free_ms[slot];
}

static void
send_request(struct site *t, struct kept_flow *f)
{
    static const uint32_t waits_ms[] = {200, 400, 800, 1600};
    struct rg_decision d = send_segment(t, f,
                                        (struct rg_segment){
                                            .token = f->token,
                                            .seq = f->seq,
                                            .ack = f->ack,
                                            .len = REQUEST_BYTES,
                                        });

    if (d.kind == RG_DECISION_REFUSE) {
        note_reset(t, f);
        try_again(t, f);
        return;
    }
    f->next_ms = t->s->now_ms + waits_ms[MIN(f->copies, 3)];
    f->copies++;
    uint64_t at_ms = handled_ms(t, f->upstream);
    if (at_ms == 0 || is_lost(t, f, f->upstream)) {
        return;
    }
    if (f->received) {
        /* A duplicate is acknowledged at once. */
        f->acked_ms = at_ms + HALF_RTT_MS;
        return;
    }
    f->received = true;
    f->answer_ms = work_until(t, f->upstream, at_ms) + HALF_RTT_MS;
}

static void
start_request(struct site *t, struct kept_flow *f)
{
    f->phase = PHASE_WAITING;
    f->sent_ms = t->s->now_ms;
    f->copies = 0;
    f->received = false;
    f->answer_ms = f->acked_ms = 0;
    send_request(t, f);
}

/* An answer to the opening may arrive; `copies` is the number sent before. */
static void
send_opening(struct site *t, struct kept_flow *f)
{
    static const uint32_t waits_ms[] = {200, 400, 800};
    struct rg_segment s = {
        .opening = true, .seq = OPENING_SEQ, .ack = f->copies};

    if (f->copies >= G_N_ELEMENTS(waits_ms)) {
        try_again(t, f);
        return;
    }
    struct rg_decision d = send_segment(t, f, s);
    if (d.kind == RG_DECISION_REFUSE) {
        try_again(t, f);
        return;
    }
    f->next_ms = t->s->now_ms + waits_ms[f->copies++];
    f->answer_ms = 0;
    if (d.kind == RG_DECISION_FORWARD) {
        int u = (int)d.endpoint->wire_id - 1;
        uint64_t at_ms = handled_ms(t, u);
        if (at_ms != 0 && !is_lost(t, f, u)) {
            f->upstream = u;
            f->token = d.token;
            f->flow_token = d.endpoint->token;
            f->answer_ms = at_ms + HALF_RTT_MS;
        }
    }
}

static void
finish_opening(struct site *t, struct kept_flow *f)
{
    f->open = true;
    f->seq = OPENING_SEQ + 1;
    f->ack = 1;
    send_segment(
        t, f,
        (struct rg_segment){.token = f->token, .seq = f->seq, .ack = f->ack});
    start_request(t, f);
}

static void
receive_answer(struct site *t, struct kept_flow *f)
{
    f->token = f->flow_token;
    f->seq += REQUEST_BYTES;
    f->ack += ANSWER_BYTES;
    t->answered++;
    t->saved += f->was_reset;
    send_segment(
        t, f,
        (struct rg_segment){.token = f->token, .seq = f->seq, .ack = f->ack});
    start_pause(t, f);
}

/* True if what is on its way from the upstream arrives now. */
static bool
arrives(struct site *t, struct kept_flow *f)
{
    int u = f->upstream;

    if (f->answer_ms == 0 || t->s->now_ms < f->answer_ms ||
        (t->dead_ms[u] != 0 && f->answer_ms > t->dead_ms[u]))
    {
        return false;
    }
    if (f->answer_ms < t->frozen_until_ms[u]) {
        f->answer_ms = t->frozen_until_ms[u] + 1 + below(t, 20);
        return false;
    }
    return true;
}

static void
step_flow(struct site *t, struct kept_flow *f)
{
    uint64_t now = t->s->now_ms;

    if (f->phase == PHASE_PAUSE) {
        if (now < f->next_ms) {
            return;
        }
        t->requests++;
        f->start_ms = now;
        if (f->open) {
            start_request(t, f);
        }
        else {
            f->attempts = -1;
            try_again(t, f);
        }
        return;
    }
    if (now - f->start_ms >= DEADLINE_MS) {
        fail(t, f);
        return;
    }
    if (arrives(t, f)) {
        if (f->phase == PHASE_OPENING) {
            finish_opening(t, f);
        }
        else {
            receive_answer(t, f);
        }
        return;
    }
    if (now < f->next_ms) {
        return;
    }
    if (f->phase == PHASE_OPENING) {
        send_opening(t, f);
    }
    else if (f->acked_ms == 0 || now < f->acked_ms) {
        send_request(t, f);
    }
}

static void
run(struct site *t, uint32_t ms)
{
    struct fake_service *s = t->s;

    for (uint32_t i = 0; i < ms; i++) {
        s->now_ms++;
        for (int n = 0; n < FLOWS; n++) {
            step_flow(t, &t->flows[n]);
        }
        for (int b = (int)(s->now_ms % RG_BALANCER_TICK_MS);
             b < s->balancer_count; b += RG_BALANCER_TICK_MS)
        {
            if (!t->is_down[b]) {
                rg_balancer_set_confirmed(s->balancers[b], s->now_ms);
                rg_balancer_tick(s->balancers[b], s->now_ms);
                fake_gossip(s, b);
            }
        }
    }
}

static void
reset_results(struct site *t)
{
    t->requests = t->answered = t->failed = t->resets = t->saved = 0;
    t->wrong_resets = 0;
    t->reset_after_ms = 0;
}

static struct site *
create_site(int balancers)
{
    struct fake_opts opts = {.balancers = balancers,
                             .upstreams = UPSTREAMS,
                             .data_centres = DATA_CENTRES,
                             .deadline_ms = DEADLINE_MS,
                             .seed = 7};
    struct site *t = g_new0(struct site, 1);

    t->s = fake_service_create_with(&opts);
    t->s->on_reset = on_reset;
    t->s->on_reset_ctx = t;
    t->work_ms = WORK_MS;
    t->cut_data_centre = -1;
    for (int b = 0; b < balancers; b++) {
        int dc = b % DATA_CENTRES;
        struct rg_fleet fleet = {
            .instances = (size_t)balancers,
            .local_instances = (size_t)(balancers / DATA_CENTRES +
                                        (balancers % DATA_CENTRES > dc)),
            .share = 1.0 / balancers,
            .opening_tokens = true,
        };
        rg_balancer_set_fleet(t->s->balancers[b], &fleet);
    }
    for (int i = 0; i < FLOWS; i++) {
        struct kept_flow *f = &t->flows[i];
        f->data_centre = i % DATA_CENTRES;
        f->id = (struct rg_flow_id){
            .caller_ip = 0x64400000 + (uint32_t)i,
            .service_ip = FAKE_SERVICE_IP,
            .service_port = FAKE_SERVICE_PORT,
        };
        start_pause(t, f);
    }
    run(t, WARM_UP_MS);
    reset_results(t);
    return t;
}

static void
destroy_site(struct site *t)
{
    fake_service_destroy(t->s);
    g_free(t);
}

static unsigned long
count(const struct site *t, enum rg_metric_counter c)
{
    unsigned long sum = 0;

    for (int b = 0; b < t->s->balancer_count; b++) {
        sum += rg_balancer_metrics(t->s->balancers[b])->counters[c];
    }
    return sum;
}

static void
report(const struct site *t, const char *what)
{
    g_test_message(
        "%s: %d instances, %u requests, %u failed, %u resets (%u "
        "wrong) after %.0f ms, %u saved; by reason since the "
        "start: gone %lu, data centre %lu, upstream %lu, hung %lu",
        what, t->s->balancer_count, t->requests, t->failed, t->resets,
        t->wrong_resets, t->resets ? (double)t->reset_after_ms / t->resets : 0,
        t->saved, count(t, RG_METRIC_RESET_GONE),
        count(t, RG_METRIC_RESET_DATA_CENTRE),
        count(t, RG_METRIC_RESET_UPSTREAM), count(t, RG_METRIC_RESET_HUNG));
}

/* All upstreams of a data centre are gone from now on. */
static void
darken(struct site *t)
{
    for (int u = 0; u < UPSTREAMS; u += DATA_CENTRES) {
        t->dead_ms[u] = t->s->now_ms;
    }
}

/* The instances of the data centre are gone, too; its flows reach others. */
static void
darken_instances(struct site *t)
{
    for (int b = 0; b < t->s->balancer_count; b += DATA_CENTRES) {
        t->is_down[b] = true;
    }
    for (int i = 0; i < FLOWS; i++) {
        struct kept_flow *f = &t->flows[i];
        if (t->is_down[f->balancer]) {
            f->balancer = pick_balancer(t, f->data_centre);
        }
    }
}

/* Of the requests that would wait for their deadline, three quarters or more
 * are reset and answered in time. */
static void
check_saved(const struct site *t)
{
    g_assert_cmpuint(t->saved + t->failed, >, 500);
    g_assert_cmpuint(t->failed * 4, <=, t->saved + t->failed);
    g_assert_cmpuint(t->wrong_resets, ==, 0);
}

static const int sizes[] = {4, 31, 300};

static void
test_dark_data_centre(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct site *t = create_site(sizes[i]);
        darken(t);
        run(t, 12000);
        report(t, "upstreams of a data centre gone");
        check_saved(t);
        destroy_site(t);
    }
}

static void
test_power_loss(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct site *t = create_site(sizes[i]);
        darken(t);
        darken_instances(t);
        run(t, 12000);
        report(t, "a data centre without power");
        check_saved(t);
        destroy_site(t);
    }
}

/* One in eight upstreams is gone, in all data centres. */
static void
test_single_upstreams(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct site *t = create_site(sizes[i]);
        for (int u = 0; u < UPSTREAMS; u += 8) {
            t->dead_ms[u] = t->s->now_ms;
        }
        run(t, 12000);
        report(t, "one upstream in eight gone");
        check_saved(t);
        destroy_site(t);
    }
}

/* Two fifths of the upstreams are silent, and come back. In a large
 * fleet each instance hears of only a part of the evidence. */
static void
test_silent_for_a_while(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct site *t = create_site(sizes[i]);
        for (int u = 0; u < UPSTREAMS; u++) {
            t->dead_ms[u] = u % 5 < 2 ? t->s->now_ms : 0;
        }
        run(t, 4000);
        for (int u = 0; u < UPSTREAMS; u++) {
            t->disturbed_ms[u] = t->dead_ms[u] ? t->s->now_ms : 0;
            t->dead_ms[u] = 0;
        }
        run(t, 10000);
        report(t, "40% of the upstreams silent for 4 s");
        g_assert_cmpuint(t->failed * (sizes[i] < 100 ? 4 : 2), <=,
                         t->saved + t->failed);
        g_assert_cmpuint(t->wrong_resets, ==, 0);
        destroy_site(t);
    }
}

static void
check_no_resets(struct site *t, const char *what)
{
    report(t, what);
    g_assert_cmpuint(t->resets, ==, 0);
    destroy_site(t);
}

static void
test_slow(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct site *t = create_site(sizes[i]);
        t->work_ms = 150;
        run(t, 5000);
        t->work_ms = 250;
        run(t, 5000);
        check_no_resets(t, "slow upstreams");
    }
}

/* Queues are full, and a few packets are lost: one lost copy is enough for two
 * retransmissions of a request that waits at its upstream. */
static void
test_overloaded(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct site *t = create_site(sizes[i]);
        for (int b = 0; b < sizes[i]; b++) {
            t->loss[b] = 2;
        }
        for (uint32_t work_ms = 100; work_ms <= 400; work_ms += 100) {
            t->work_ms = work_ms;
            run(t, 2500);
        }
        check_no_resets(t, "overloaded upstreams");
    }
}

static void
test_frozen(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct site *t = create_site(sizes[i]);
        for (int n = 0; n < 4; n++) {
            for (int u = n; u < UPSTREAMS; u += 10) {
                t->frozen_until_ms[u] = t->s->now_ms + 1500;
                t->disturbed_ms[u] = t->s->now_ms + 1500;
            }
            run(t, 3000);
        }
        check_no_resets(t, "a tenth of the upstreams frozen");
    }
}

/* Lossy paths from a quarter of the instances, to all or one data centre.
 * Upstreams answer callers directly. Work then takes seven times as long. */
static void
test_lossy(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        for (int dc = -1; dc < 2; dc++) {
            struct site *t = create_site(sizes[i]);
            t->cut_data_centre = dc;
            for (int b = 0; b < sizes[i]; b += 4) {
                t->loss[b] = 30;
            }
            run(t, 8000);
            t->work_ms = 7 * WORK_MS;
            run(t, 4000);
            check_no_resets(t, "paths that lose 30%");
        }
    }
}

/* The path from one instance to a data centre is cut, and mended. Nothing is
 * reset once it is. */
static void
test_cut_that_ended(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct site *t = create_site(sizes[i]);
        t->cut_data_centre = 0;
        t->loss[0] = 100;
        run(t, 3000);
        report(t, "path cut");
        t->loss[0] = 0;
        reset_results(t);
        run(t, 5000);
        check_no_resets(t, "path mended");
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/kept-flows/dark-data-centre", test_dark_data_centre);
    g_test_add_func("/kept-flows/power-loss", test_power_loss);
    g_test_add_func("/kept-flows/single-upstreams", test_single_upstreams);
    g_test_add_func("/kept-flows/silent-for-a-while", test_silent_for_a_while);
    g_test_add_func("/kept-flows/slow", test_slow);
    g_test_add_func("/kept-flows/overloaded", test_overloaded);
    g_test_add_func("/kept-flows/frozen", test_frozen);
    g_test_add_func("/kept-flows/lossy", test_lossy);
    g_test_add_func("/kept-flows/cut-that-ended", test_cut_that_ended);
    return g_test_run();
}
