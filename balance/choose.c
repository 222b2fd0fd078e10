#include "balance/choose.h"

#include <math.h>

/* Openings repeated in a row before an upstream is ejected: one may be a lost
 * datagram. */
#define EJECT_AFTER 2
#define EJECT_FIRST_MS 1000
#define EJECT_MOST_MS 8000

/* Costs, in units of one request ahead. */
#define COST_COLD 1.6    /* times: a cold upstream is slower */
#define COST_REMOTE 0.35 /* another data centre: delay and traffic between */
#define COST_OVERDUE 6.0 /* its oldest opening waits too long for an answer   \
                          */
#define COST_UNANSWERED                                                       \
    3.0 /* an opening was repeated since it last answered */

/* A repeated opening counts against an upstream for this long. */
#define UNANSWERED_LIFE_MS 1000
/* An opening without an answer for longer was given up by its caller. */
#define WAITING_LIFE_MS 1600

/* Share of a new answer in the mean latency. */
#define LATENCY_GAIN 0.15
/* Without answers a slow upstream's latency is forgotten by half in this
 * time, so that it is tried again. */
#define LATENCY_HALF_MS 2500.0
/* Bounds of an upstream's latency, relative to its service. */
#define SLOW_LEAST 0.6
#define SLOW_MOST 12.0

/* Upstreams looked at for one choice; of more, a random run is. */
#define LOOK_AT_MOST 64

void
rg_boot_asked(struct rg_boot *b, uint64_t now_ms)
{
    if (b->waiting_since_ms == 0 ||
        now_ms - b->waiting_since_ms > WAITING_LIFE_MS) {
        b->waiting_since_ms = now_ms;
    }
}

bool
rg_boot_ejected(const struct rg_boot *b, uint64_t now_ms)
{
    return now_ms < b->ejected_until_ms;
}

void
rg_boot_unanswered(struct rg_boot *b, uint64_t now_ms)
{
    b->unanswered++;
    b->unanswered_ms = now_ms;
    if (b->unanswered < EJECT_AFTER || rg_boot_ejected(b, now_ms)) {
        return;
    }
    uint64_t pause = EJECT_FIRST_MS;
    for (uint32_t i = 0; i < b->ejections && pause < EJECT_MOST_MS; i++) {
        pause *= 2;
    }
    b->ejections++;
    b->ejected_until_ms = now_ms + pause;
    b->last_trial_ms = now_ms;
}

void
rg_boot_alive(struct rg_boot *b, uint64_t now_ms)
{
    b->unanswered = 0;
    b->ejections = 0;
    b->ejected_until_ms = 0;
    b->waiting_since_ms = 0;
    b->last_alive_ms = now_ms;
}

void
rg_boot_answered(struct rg_boot *b, double ms, uint64_t now_ms)
{
    b->latency_ms = b->latency_ms == 0
                        ? ms
                        : b->latency_ms + LATENCY_GAIN * (ms - b->latency_ms);
    b->latency_at_ms = now_ms;
    rg_boot_alive(b, now_ms);
}

/* Mean latency of a service's upstreams, 0 if none has answered. */
static double
service_latency(struct rg_boot *const *boots, size_t count)
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
slowness(const struct rg_boot *b, double mean_ms, uint64_t now_ms)
{
    if (mean_ms <= 0 || b->latency_ms <= 0) {
        return 1;
    }
    double ratio = b->latency_ms / mean_ms;
    double age = (double)(now_ms - b->latency_at_ms);
    ratio = 1 + (ratio - 1) * exp2(-age / LATENCY_HALF_MS);
    return fmin(fmax(ratio, SLOW_LEAST), SLOW_MOST);
}

/* True if the oldest opening it has not answered counts against it. One that
 * was ejected gets one opening at a time until it answers. */
static bool
keeps_waiting(const struct rg_boot *b, const struct rg_choose_opts *opts)
{
    uint64_t age = opts->now_ms - b->waiting_since_ms;

    if (b->waiting_since_ms == 0 || age > WAITING_LIFE_MS) {
        return false;
    }
    return age > opts->overdue_ms || b->ejections > 0;
}

static double
cost_of(const struct rg_boot *b, double mean_ms,
        const struct rg_choose_opts *opts)
{
    double cost = ((double)b->open_work + 1) / (double)b->slots;

    cost *= slowness(b, mean_ms, opts->now_ms);
    if (opts->now_ms < b->cold_until_ms) {
        cost *= COST_COLD;
    }
    if (!b->local) {
        cost += COST_REMOTE;
    }
    if (keeps_waiting(b, opts)) {
        cost += COST_OVERDUE;
    }
    if (opts->now_ms - b->unanswered_ms < UNANSWERED_LIFE_MS) {
        cost += COST_UNANSWERED * b->unanswered;
    }
    return cost;
}

static bool
tried(const struct rg_choose_opts *opts, const struct rg_boot *b)
{
    for (size_t i = 0; i < opts->avoid_count; i++) {
        if (opts->avoid[i] == b) {
            return true;
        }
    }
    return false;
}

static bool
takes_flows(const struct rg_boot *b)
{
    return (b->state == RG_BOOT_READY || b->state == RG_BOOT_MISSING) &&
           !b->ambiguous;
}

struct rg_choice_made
rg_choose(const struct rg_pool *pool, const struct rg_choose_opts *opts)
{
    size_t count;
    struct rg_boot *const *boots = rg_pool_boots(pool, opts->service, &count);
    size_t look = count < LOOK_AT_MOST ? count : LOOK_AT_MOST;
    size_t from = count ? rg_rand_below(opts->rand, (uint32_t)count) : 0;
    double mean_ms = service_latency(boots, look);
    struct rg_choice_made best = {.rule = RG_CHOOSE_NONE};
    struct rg_boot *ejected = NULL;

    for (size_t n = 0; n < look; n++) {
        struct rg_boot *b = boots[(from + n) % count];
        if (!takes_flows(b) || tried(opts, b)) {
            continue;
        }
        if (rg_boot_ejected(b, opts->now_ms)) {
            if (!ejected || b->last_trial_ms < ejected->last_trial_ms) {
                ejected = b;
            }
            continue;
        }
        double cost = cost_of(b, mean_ms, opts);
        if (!best.boot || cost < best.cost) {
            best = (struct rg_choice_made){b, RG_CHOOSE_BEST, cost};
        }
    }
    if (!best.boot && ejected) {
        ejected->last_trial_ms = opts->now_ms;
        best = (struct rg_choice_made){ejected, RG_CHOOSE_EJECTED, 0};
    }
    return best;
}
