#include "balance/pick.h"

#include <math.h>

/* Costs of an upstream, in units of one request queued ahead of the new
 * one. */
#define COST_EQUAL 0.02   /* costs closer than this count as equal */
#define COST_COLD 1.6     /* factor: a cold upstream is slower */
#define COST_SUSPECT 3.0  /* its data centre may be unreachable */
#define COST_EXCLUDED 4.0 /* ejected or outlier, used while most are */
/* Its oldest opening has waited too long for an answer. */
#define COST_OVERDUE 6.0
/* For each opening retransmitted since its last response. */
#define COST_UNANSWERED 3.0

/* Added for an upstream that has not responded for COST_INACTIVE_MS or longer,
 * and in proportion for a shorter time. */
#define COST_INACTIVE 1.5
#define COST_INACTIVE_MS 1000.0
/* From this share of lost openings on, every opening avoids inactive upstreams
 * as strongly as a retransmission does. */
#define LOST_SHARE_HIGH 0.2

/* A retransmitted opening counts against its upstream for this long. */
#define UNANSWERED_EXPIRY_MS 1000

/* A data centre is suspected once this many of its upstreams have overdue
 * openings and none of them has responded. */
#define SUSPECT_MIN_UPSTREAMS 2
/* Interval between openings sent to a suspected data centre to test it. */
#define SUSPECT_TRIAL_INTERVAL_MS 1500

/* An upstream's excess latency decays with this half-life while it gives no
 * answers, so that it is tried again. */
#define LATENCY_HALF_LIFE_MS 2500.0
/* Cost of an upstream at which all requests fail, as seen here or reported by
 * peers. */
#define COST_FAILING 10.0

/* Only the part of the pooled failure rate above this many times the rate of
 * the whole service counts; the rest may be chance. */
#define FAILURE_RATE_CHANCE_FACTOR 3

/* Limits of an upstream's latency relative to the mean of its service. A ratio
 * below the first counts as chance, not slowness. Fast upstreams are not
 * preferred either, since errors are fast. */
#define SLOWNESS_MIN_RATIO 1.5
#define SLOWNESS_MAX 12.0

/* Upstreams considered for one choice, and how many of them in the local data
 * centre if there are others. */
#define CANDIDATES_MAX 64
#define CANDIDATES_LOCAL_MAX 48
/* An upstream not chosen for this many rounds has dropped out of the
 * rotation. */
#define ROUNDS_MISSED_MAX 2
/* Stride through a list of upstreams: a prime larger than any list, so that
 * each upstream is visited once. */
#define CANDIDATE_STRIDE 1000003
#define PERCENT 100

/* Mean latency of the upstreams of a service in ms, 0 if none has answered. */
static double
mean_latency_ms(struct rg_endpoint *const *endpoints, size_t count)
{
    double sum = 0;
    size_t known = 0;

    for (size_t i = 0; i < count; i++) {
        if (endpoints[i]->latency_ms > 0) {
            sum += endpoints[i]->latency_ms;
            known++;
        }
    }
    return known ? sum / (double)known : 0;
}

/* Factor by which an upstream is slower than its service, 1 if it is not.
 * Decays towards 1 without new answers. */
static double
slowness(const struct rg_endpoint *e, double mean_ms, uint64_t now_ms)
{
    if (mean_ms <= 0 || e->latency_ms <= 0) {
        return 1;
    }
    double ratio = e->latency_ms / mean_ms;
    double age = (double)(now_ms - e->latency_at_ms);
    ratio = 1 + (ratio - 1) * exp2(-age / LATENCY_HALF_LIFE_MS);
    return fmin(fmax(ratio / SLOWNESS_MIN_RATIO, 1), SLOWNESS_MAX);
}

static bool
is_overdue(const struct rg_endpoint *e, const struct rg_pick_opts *opts)
{
    uint64_t age = opts->now_ms - e->waiting_since_ms;

    return e->waiting_since_ms != 0 && age <= RG_OPENING_TIMEOUT_MS &&
           age > opts->overdue_ms;
}

/* True if the oldest unanswered opening counts against the upstream. One that
 * was ejected gets one opening at a time until it answers. */
static bool
pending_opening_counts(const struct rg_endpoint *e,
                       const struct rg_pick_opts *opts)
{
    uint64_t age = opts->now_ms - e->waiting_since_ms;

    if (e->waiting_since_ms == 0 || age > RG_OPENING_TIMEOUT_MS) {
        return false;
    }
    return age > opts->overdue_ms || e->ejections > 0;
}

/* Ejected or an outlier: gets no flows except probes. */
static bool
is_excluded(const struct rg_endpoint *e, uint64_t now_ms)
{
    return rg_endpoint_is_ejected(e, now_ms) || rg_endpoint_is_outlier(e);
}

static bool
is_retransmission(const struct rg_pick_opts *opts)
{
    return opts->avoid_count > 0 && opts->avoid[0] != NULL;
}

/* Weight of inactivity. Full for a retransmission, since a second loss makes
 * the answer late; otherwise it grows with the share of openings that are lost
 * at present. */
static double
inactivity_weight(const struct rg_pick_opts *opts)
{
    return COST_INACTIVE * (is_retransmission(opts)
                                ? 1
                                : fmin(opts->lost_share / LOST_SHARE_HIGH, 1));
}

/* Share of failed requests, seen here or reported by peers, as far as it
 * exceeds chance: where many requests fail at all upstreams, one failure says
 * little about this one. */
static double
excess_failure_rate(const struct rg_endpoint *e,
                    const struct rg_pick_opts *opts)
{
    /* Queues make requests overdue; all instances would avoid an upstream, and
     * return to it, at once. */
    double pooled = opts->overloaded
                        ? 0
                        : rg_endpoint_pooled_failure_rate(e, opts->now_ms);
    double chance = FAILURE_RATE_CHANCE_FACTOR * opts->service_failure_rate;

    return fmax(rg_endpoint_failure_rate(e, opts->now_ms),
                fmax(pooled - chance, 0));
}

static double
cost_of(const struct rg_endpoint *e, double mean_ms,
        const struct rg_pick_opts *opts)
{
    double cost = ((double)e->open_work + 1) / (double)e->slots;

    cost *= slowness(e, mean_ms, opts->now_ms);
    if (opts->now_ms < e->cold_until_ms && e->open_work > 0) {
        cost *= COST_COLD;
    }
    if (!e->local) {
        cost += opts->remote_cost;
    }
    cost += COST_FAILING * excess_failure_rate(e, opts);
    if (pending_opening_counts(e, opts)) {
        cost += COST_OVERDUE;
    }
    if (opts->now_ms - e->last_unanswered_ms < UNANSWERED_EXPIRY_MS) {
        cost += COST_UNANSWERED * e->unanswered;
    }
    if (e->data_centre->suspect) {
        cost += COST_SUSPECT;
    }
    if (is_excluded(e, opts->now_ms)) {
        cost += COST_EXCLUDED;
    }
    double inactive_ms = (double)(opts->now_ms - e->last_response_ms);
    return cost +
           inactivity_weight(opts) * fmin(inactive_ms / COST_INACTIVE_MS, 1);
}

/* Suspects a data centre when several of its upstreams have overdue openings
 * and none has responded since the first of these was sent. */
static void
suspect_data_centres(struct rg_endpoint *const *endpoints, size_t count,
                     const struct rg_pick_opts *opts)
{
    for (size_t i = 0; i < count; i++) {
        struct rg_endpoint *first = endpoints[i];
        if (first->data_centre->suspect || !is_overdue(first, opts) ||
            first->data_centre->last_response_ms >= first->waiting_since_ms)
        {
            continue;
        }
        size_t overdue = 0;
        for (size_t n = 0; n < count; n++) {
            overdue += endpoints[n]->data_centre == first->data_centre &&
                       is_overdue(endpoints[n], opts);
        }
        if (overdue >= SUSPECT_MIN_UPSTREAMS) {
            first->data_centre->suspect = true;
            first->data_centre->trial_ms = opts->now_ms;
        }
    }
}

static bool
was_tried(const struct rg_pick_opts *opts, const struct rg_endpoint *e)
{
    for (size_t i = 0; i < opts->avoid_count; i++) {
        if (opts->avoid[i] == e) {
            return true;
        }
    }
    return false;
}

/* By its own entry. */
static bool
is_usable(const struct rg_endpoint *e)
{
    return (e->state == RG_ENDPOINT_READY ||
            e->state == RG_ENDPOINT_MISSING) &&
           !e->ambiguous;
}

static bool
takes_flows(const struct rg_endpoint *e)
{
    return is_usable(e) && !e->data_centre->evacuation->in_force;
}

bool
rg_pick_takes_flows(const struct rg_endpoint *e)
{
    return takes_flows(e);
}

bool
rg_pick_is_usable(const struct rg_endpoint *e, uint64_t now_ms)
{
    return takes_flows(e) && !rg_endpoint_is_ejected(e, now_ms) &&
           !e->data_centre->suspect;
}

/* A suspected data centre gets an opening from time to time to test it. */
static bool
trial_is_due(const struct rg_endpoint *e, uint64_t now_ms)
{
    return e->data_centre->suspect &&
           now_ms - e->data_centre->trial_ms >= SUSPECT_TRIAL_INTERVAL_MS;
}

/* An outlier is probed once its exclusion time is over, but not with a flow
 * that has lost an opening already. */
static bool
probe_is_due(const struct rg_endpoint *e, const struct rg_pick_opts *opts)
{
    return rg_endpoint_is_outlier(e) &&
           !rg_endpoint_is_ejected(e, opts->now_ms) &&
           !is_retransmission(opts) && rg_endpoint_may_probe(e, &opts->probe);
}

/* A first failure keeps other flows away. One more is sent nevertheless, to
 * learn whether the failure was chance; if it hangs, too, both are reset and
 * the upstream is an outlier. */
static bool
second_request_is_due(const struct rg_endpoint *e,
                      const struct rg_pick_opts *opts)
{
    return opts->probe.idempotent && !opts->overloaded &&
           !is_retransmission(opts) && !e->data_centre->suspect &&
           !rg_endpoint_is_ejected(e, opts->now_ms) &&
           e->open_work < e->slots &&
           rg_endpoint_needs_second_request(e, opts->now_ms);
}

/* Among upstreams of equal cost the one chosen longest ago is better, so that
 * flows rotate over idle upstreams. */
static bool
is_better(const struct rg_pick *best, const struct rg_endpoint *e, double cost)
{
    if (!best->endpoint || cost < best->cost - COST_EQUAL) {
        return true;
    }
    return cost < best->cost + COST_EQUAL &&
           e->last_choice < best->endpoint->last_choice;
}

/* True if more than half of the upstreams are ejected or outliers. The fault
 * may then lie elsewhere, and leaving all of them out would overload the
 * rest. */
static bool
most_are_excluded(struct rg_endpoint *const *endpoints, size_t count,
                  uint64_t now_ms)
{
    size_t excluded = 0;

    for (size_t i = 0; i < count; i++) {
        excluded += is_excluded(endpoints[i], now_ms);
    }
    return excluded * 2 > count;
}

/* False if the flow must leave for another data centre. */
static bool
is_in_scope(const struct rg_endpoint *e, const struct rg_pick_opts *opts)
{
    return !opts->data_centre || e->data_centre == opts->data_centre;
}

/* Upstreams considered for one choice. */
struct candidates {
    struct rg_endpoint *endpoints[CANDIDATES_MAX];
    size_t count;
    size_t local;   /* of these, in the local data centre; they rotate among
                       themselves */
    bool evacuated; /* an upstream was left out since its data centre is */
    bool cold;      /* the same since it is cold */
};

/* False if the choice with this draw holds back from the data centre, to which
 * new flows return only gradually after an evacuation. */
static bool
may_consider(const struct rg_data_centre *dc, uint32_t draw, uint64_t now_ms)
{
    return draw == 0 || draw < rg_evacuation_share(dc->evacuation, now_ms);
}

/* Adds upstreams that take flows until there are `max`. Starts at a random one
 * and takes large strides, since neighbours in the list may share a cause of
 * failure. */
static void
add_candidates(struct candidates *out, struct rg_endpoint *const *endpoints,
               size_t count, size_t max, const struct rg_pick_opts *opts,
               uint32_t draw)
{
    size_t i = rg_rand_below(opts->rand, (uint32_t)count);

    for (size_t n = 0; n < count && out->count < max; n++) {
        i = (i + CANDIDATE_STRIDE) % count;
        struct rg_endpoint *e = endpoints[i];
        if (!is_in_scope(e, opts)) {
            continue;
        }
        if (!takes_flows(e)) {
            out->evacuated |= is_usable(e);
        }
        else if (!rg_cold_start_allows(opts->cold, e, opts->probe.self,
                                       opts->now_ms)) {
            out->cold = true;
        }
        else if (may_consider(e->data_centre, draw, opts->now_ms)) {
            out->endpoints[out->count++] = e;
        }
    }
}

/* Local upstreams first, but always some of other data centres. */
static void
collect_candidates(const struct rg_pool *pool, const struct rg_pick_opts *opts,
                   uint32_t draw, struct candidates *out)
{
    size_t count;
    struct rg_endpoint *const *endpoints =
        rg_pool_endpoints(pool, opts->service, &count);
    size_t local = rg_pool_local_count(pool, opts->service);
    size_t max = local < count ? CANDIDATES_LOCAL_MAX : CANDIDATES_MAX;

    out->count = 0;
    out->evacuated = false;
    out->cold = false;
    add_candidates(out, endpoints, local, max, opts, draw);
    out->local = out->count;
    add_candidates(out, endpoints + local, count - local, CANDIDATES_MAX, opts,
                   draw);
}

/* True if one of them can process a request at once, as far as is known
 * here. */
static bool
any_is_free(const struct candidates *candidates,
            const struct rg_pick_opts *opts)
{
    for (size_t i = 0; i < candidates->count; i++) {
        const struct rg_endpoint *e = candidates->endpoints[i];
        if (e->open_work < e->slots && !is_excluded(e, opts->now_ms) &&
            !e->data_centre->suspect && !was_tried(opts, e))
        {
            return true;
        }
    }
    return false;
}

/* After an evacuation most choices leave out the data centre for a while,
 * unless the others have no capacity. */
static void
choose_candidates(const struct rg_pool *pool, const struct rg_pick_opts *opts,
                  struct candidates *out)
{
    uint32_t draw = 0;

    if (rg_evacuations_are_returning(rg_pool_evacuations(pool))) {
        draw = rg_rand_below(opts->rand, PERCENT);
    }
    collect_candidates(pool, opts, draw, out);
    if (draw != 0 && (opts->overloaded || !any_is_free(out, opts))) {
        collect_candidates(pool, opts, 0, out);
    }
}

/* An upstream that is new, or was avoided for some rounds, joins the rotation
 * at a random position. All instances consider it usable at the same time and
 * must not all send their next flow to it. */
static void
join_rotation(struct candidates *candidates, const struct rg_pick_opts *opts)
{
    for (size_t i = 0; i < candidates->count; i++) {
        struct rg_endpoint *e = candidates->endpoints[i];
        if (rg_cold_start_applies(opts->cold, e, opts->now_ms)) {
            continue; /* its turns are rare, and not used by all at once */
        }
        size_t round = e->local ? candidates->local : candidates->count;
        if (e->last_choice != 0 &&
            opts->choice - e->last_choice <= ROUNDS_MISSED_MAX * round)
        {
            continue;
        }
        uint64_t ago = rg_rand_below(opts->rand, (uint32_t)round);
        e->last_choice = opts->choice > ago ? opts->choice - ago : 1;
    }
}

struct rg_pick
rg_pick_upstream(const struct rg_pool *pool, const struct rg_pick_opts *opts)
{
    struct candidates candidates;
    choose_candidates(pool, opts, &candidates);
    struct rg_endpoint *const *endpoints = candidates.endpoints;
    size_t count = candidates.count;
    double mean_ms = mean_latency_ms(endpoints, count);
    join_rotation(&candidates, opts);
    bool use_excluded = most_are_excluded(endpoints, count, opts->now_ms);
    struct rg_pick best = {.rule = RG_PICK_NONE};

    suspect_data_centres(endpoints, count, opts);
    for (size_t n = 0; n < count; n++) {
        struct rg_endpoint *e = endpoints[n];
        if (was_tried(opts, e)) {
            continue;
        }
        if (probe_is_due(e, opts)) {
            e->outlier.probed_ms = opts->now_ms;
            best = (struct rg_pick){e, RG_PICK_PROBE, 0, false, false};
            break;
        }
        if (second_request_is_due(e, opts)) {
            e->outlier.probed_ms = opts->now_ms;
            best = (struct rg_pick){e, RG_PICK_SECOND, 0, false, false};
            break;
        }
        if (is_excluded(e, opts->now_ms) && !use_excluded) {
            continue;
        }
        if (trial_is_due(e, opts->now_ms)) {
            e->data_centre->trial_ms = opts->now_ms;
            best = (struct rg_pick){e, RG_PICK_TRIAL, 0, false, false};
            break;
        }
        double cost = cost_of(e, mean_ms, opts);
        if (is_better(&best, e, cost)) {
            best = (struct rg_pick){e, RG_PICK_BEST, cost, false, false};
        }
    }
    if (best.endpoint) {
        best.endpoint->last_choice = opts->choice;
    }
    best.diverted = candidates.evacuated;
    best.cold = candidates.cold;
    return best;
}
