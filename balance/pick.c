#include "balance/pick.h"

#include <math.h>

/* Costs, in units of one request ahead. */
#define COST_EQUAL 0.02  /* a smaller difference is none */
#define COST_COLD 1.6    /* times: a cold upstream is slower */
#define COST_REMOTE 0.35 /* another data centre: delay and traffic between */
#define COST_SUSPECT 3.0 /* its data centre may be cut off */
#define COST_EJECTED 4.0 /* ejected, but so are most */
/* Its oldest opening waits too long for an answer. */
#define COST_OVERDUE 6.0
/* An opening was repeated since it last answered. */
#define COST_UNANSWERED 3.0

/* The upstream has shown no life for UNSEEN_MS or longer; less for a share of
 * that. */
#define COST_UNSEEN 1.5
#define UNSEEN_MS 1000.0
/* Share of lost openings from which on all are as careful as copies. */
#define LOST_MUCH 0.2

/* A repeated opening counts against an upstream for this long. */
#define UNANSWERED_LIFE_MS 1000

/* Silent upstreams of one data centre that put all of it under suspicion. */
#define SUSPECT_FROM 2
/* Pause between openings that try a data centre under suspicion. */
#define SUSPECT_TRIAL_MS 1500

/* Without answers a slow upstream's latency is forgotten by half in this
 * time, so that it is tried again. */
#define LATENCY_HALF_MS 2500.0
/* Cost of an upstream all of whose requests fail, as seen here or by others.
 */
#define COST_FAILING 10.0

/* A share of failures may be this many times that of its service by chance. */
#define FAILING_BY_CHANCE 3

/* Bounds of an upstream's latency, relative to its service. */
/* Less than this is chance, not slowness; a quick upstream is not preferred
 * either, since errors are quick. */
#define SLOW_FROM 1.5
#define SLOW_MOST 12.0

/* Upstreams looked at for one choice, and of these in the own data centre. */
#define LOOK_AT_MOST 64
#define LOOK_AT_LOCAL 48
/* Whoever was not chosen for so many turns has been out of them. */
#define TURNS_MISSED 2
/* From one to the next of a list: a prime beyond any list's length. */
#define LOOK_STEP 1000003

/* Mean latency of a service's upstreams, 0 if none has answered. */
static double
service_latency(struct rg_endpoint *const *boots, size_t count)
{
    double sum = 0;
    size_t known = 0;

    for (size_t i = 0; i < count; i++) {
        if (boots[i]->latency_ms > 0) {
            sum += boots[i]->latency_ms;
            known++;
        }
    }
    return known ? sum / (double)known : 0;
}

/* How much slower than its service an upstream is, forgotten with time. */
static double
slowness(const struct rg_endpoint *b, double mean_ms, uint64_t now_ms)
{
    if (mean_ms <= 0 || b->latency_ms <= 0) {
        return 1;
    }
    double ratio = b->latency_ms / mean_ms;
    double age = (double)(now_ms - b->latency_at_ms);
    ratio = 1 + (ratio - 1) * exp2(-age / LATENCY_HALF_MS);
    return fmin(fmax(ratio / SLOW_FROM, 1), SLOW_MOST);
}

static bool
is_overdue(const struct rg_endpoint *b, const struct rg_pick_opts *opts)
{
    uint64_t age = opts->now_ms - b->waiting_since_ms;

    return b->waiting_since_ms != 0 && age <= RG_OPENING_TIMEOUT_MS &&
           age > opts->overdue_ms;
}

/* True if the oldest opening it has not answered counts against it. One that
 * was ejected gets one opening at a time until it answers. */
static bool
keeps_waiting(const struct rg_endpoint *b, const struct rg_pick_opts *opts)
{
    uint64_t age = opts->now_ms - b->waiting_since_ms;

    if (b->waiting_since_ms == 0 || age > RG_OPENING_TIMEOUT_MS) {
        return false;
    }
    return age > opts->overdue_ms || b->ejections > 0;
}

/* Ejected, or condemned: gets no flows but probes. */
static bool
is_out(const struct rg_endpoint *b, uint64_t now_ms)
{
    return rg_endpoint_is_ejected(b, now_ms) || rg_endpoint_is_outlier(b);
}

static bool
is_copy(const struct rg_pick_opts *opts)
{
    return opts->avoid_count > 0 && opts->avoid[0] != NULL;
}

/* What it costs that an upstream has shown no life lately: much for a copy, as
 * a second loss makes the answer late; for others the more, the more openings
 * are lost at present. */
static double
unseen_weight(const struct rg_pick_opts *opts)
{
    return COST_UNSEEN *
           (is_copy(opts) ? 1 : fmin(opts->lost_share / LOST_MUCH, 1));
}

/* Share of requests there that fail, by what this instance and others see, as
 * far as it is more than chance: where many fail everywhere, one failure says
 * little. */
static double
failing(const struct rg_endpoint *b, const struct rg_pick_opts *opts)
{
    double pooled = rg_endpoint_pooled_failure_rate(b, opts->now_ms);
    double chance = FAILING_BY_CHANCE * opts->usual_failing;

    return fmax(rg_endpoint_failure_rate(b, opts->now_ms),
                fmax(pooled - chance, 0));
}

static double
cost_of(const struct rg_endpoint *b, double mean_ms,
        const struct rg_pick_opts *opts)
{
    double cost = ((double)b->open_work + 1) / (double)b->slots;

    cost *= slowness(b, mean_ms, opts->now_ms);
    if (opts->now_ms < b->cold_until_ms && b->open_work > 0) {
        cost *= COST_COLD;
    }
    if (!b->local) {
        cost += COST_REMOTE;
    }
    cost += COST_FAILING * failing(b, opts);
    if (keeps_waiting(b, opts)) {
        cost += COST_OVERDUE;
    }
    if (opts->now_ms - b->unanswered_ms < UNANSWERED_LIFE_MS) {
        cost += COST_UNANSWERED * b->unanswered;
    }
    if (b->place->suspect) {
        cost += COST_SUSPECT;
    }
    if (is_out(b, opts->now_ms)) {
        cost += COST_EJECTED;
    }
    double unseen = (double)(opts->now_ms - b->last_alive_ms);
    return cost + unseen_weight(opts) * fmin(unseen / UNSEEN_MS, 1);
}

/* Suspects a data centre when several of its upstreams keep an opening
 * waiting and none has answered since the first of these was sent. */
static void
judge_places(struct rg_endpoint *const *boots, size_t count,
             const struct rg_pick_opts *opts)
{
    for (size_t i = 0; i < count; i++) {
        struct rg_endpoint *first = boots[i];
        if (first->place->suspect || !is_overdue(first, opts) ||
            first->place->alive_ms >= first->waiting_since_ms)
        {
            continue;
        }
        size_t silent = 0;
        for (size_t n = 0; n < count; n++) {
            silent +=
                boots[n]->place == first->place && is_overdue(boots[n], opts);
        }
        if (silent >= SUSPECT_FROM) {
            first->place->suspect = true;
            first->place->trial_ms = opts->now_ms;
        }
    }
}

static bool
tried(const struct rg_pick_opts *opts, const struct rg_endpoint *b)
{
    for (size_t i = 0; i < opts->avoid_count; i++) {
        if (opts->avoid[i] == b) {
            return true;
        }
    }
    return false;
}

static bool
takes_flows(const struct rg_endpoint *b)
{
    return (b->state == RG_ENDPOINT_READY ||
            b->state == RG_ENDPOINT_MISSING) &&
           !b->ambiguous;
}

/* A suspected data centre is tried now and then. */
static bool
place_is_due(const struct rg_endpoint *b, uint64_t now_ms)
{
    return b->place->suspect &&
           now_ms - b->place->trial_ms >= SUSPECT_TRIAL_MS;
}

/* A condemned upstream is probed when its pause is over, but not by a caller
 * that has lost an opening already. */
static bool
probe_is_due(const struct rg_endpoint *b, const struct rg_pick_opts *opts)
{
    return rg_endpoint_is_outlier(b) &&
           !rg_endpoint_is_ejected(b, opts->now_ms) && !is_copy(opts) &&
           rg_endpoint_may_probe(b, &opts->probe);
}

/* Of equal costs the one chosen longest ago is taken, so that idle upstreams
 * take turns. */
static bool
is_better(const struct rg_pick *best, const struct rg_endpoint *b, double cost)
{
    if (!best->endpoint || cost < best->cost - COST_EQUAL) {
        return true;
    }
    return cost < best->cost + COST_EQUAL &&
           b->chosen < best->endpoint->chosen;
}

/* True if most upstreams that take flows are ejected: then the fault may lie
 * elsewhere, and leaving all of them out would load the rest beyond use. */
static bool
most_are_ejected(struct rg_endpoint *const *boots, size_t count,
                 uint64_t now_ms)
{
    size_t ejected = 0;

    for (size_t i = 0; i < count; i++) {
        ejected += is_out(boots[i], now_ms);
    }
    return ejected * 2 > count;
}

/* Upstreams gathered for one choice. */
struct sample {
    struct rg_endpoint *boots[LOOK_AT_MOST];
    size_t count;
    size_t local; /* of these, in the own data centre: they take turns among
                     themselves */
};

/* Adds upstreams that take flows until there are `most`, from a random one on
 * and in wide steps: neighbours in a list may share a cause of trouble. */
static void
add_some(struct sample *out, struct rg_endpoint *const *boots, size_t count,
         size_t most, struct rg_rand *rand)
{
    size_t i = rg_rand_below(rand, (uint32_t)count);

    for (size_t n = 0; n < count && out->count < most; n++) {
        i = (i + LOOK_STEP) % count;
        if (takes_flows(boots[i])) {
            out->boots[out->count++] = boots[i];
        }
    }
}

/* Those of the own data centre first, but always some of others. */
static void
gather(const struct rg_pool *pool, const struct rg_pick_opts *opts,
       struct sample *out)
{
    size_t count;
    struct rg_endpoint *const *boots =
        rg_pool_endpoints(pool, opts->service, &count);
    size_t local = rg_pool_local_count(pool, opts->service);
    size_t most = local < count ? LOOK_AT_LOCAL : LOOK_AT_MOST;

    out->count = 0;
    add_some(out, boots, local, most, opts->rand);
    out->local = out->count;
    add_some(out, boots + local, count - local, LOOK_AT_MOST, opts->rand);
}

/* A new upstream, or one that was avoided for some turns, joins the turns at
 * random: all instances find it fit at once, and must not all send it their
 * next flow. */
static void
join_turns(struct sample *sample, const struct rg_pick_opts *opts)
{
    for (size_t i = 0; i < sample->count; i++) {
        struct rg_endpoint *b = sample->boots[i];
        size_t turn = b->local ? sample->local : sample->count;
        if (b->chosen != 0 && opts->number - b->chosen <= TURNS_MISSED * turn)
        {
            continue;
        }
        uint64_t back = rg_rand_below(opts->rand, (uint32_t)turn);
        b->chosen = opts->number > back ? opts->number - back : 1;
    }
}

struct rg_pick
rg_pick_upstream(const struct rg_pool *pool, const struct rg_pick_opts *opts)
{
    struct sample sample;
    gather(pool, opts, &sample);
    struct rg_endpoint *const *boots = sample.boots;
    size_t count = sample.count;
    double mean_ms = service_latency(boots, count);
    join_turns(&sample, opts);
    bool use_ejected = most_are_ejected(boots, count, opts->now_ms);
    struct rg_pick best = {.rule = RG_PICK_NONE};

    judge_places(boots, count, opts);
    for (size_t n = 0; n < count; n++) {
        struct rg_endpoint *b = boots[n];
        if (tried(opts, b)) {
            continue;
        }
        if (probe_is_due(b, opts)) {
            b->requests.probed_ms = opts->now_ms;
            best = (struct rg_pick){b, RG_PICK_PROBE, 0};
            break;
        }
        if (is_out(b, opts->now_ms) && !use_ejected) {
            continue;
        }
        if (place_is_due(b, opts->now_ms)) {
            b->place->trial_ms = opts->now_ms;
            best = (struct rg_pick){b, RG_PICK_TRIAL, 0};
            break;
        }
        double cost = cost_of(b, mean_ms, opts);
        if (is_better(&best, b, cost)) {
            best = (struct rg_pick){b, RG_PICK_BEST, cost};
        }
    }
    if (best.endpoint) {
        best.endpoint->chosen = opts->number;
    }
    return best;
}
