#include "balance/capacity.h"

#include <math.h>

/* Share of the slots that may be used at first. With random collisions of
 * independent instances at upstreams of two slots and a queue of eight, few
 * requests meet a full queue. */
#define FACTOR_START 0.92
#define FACTOR_MIN 0.3
#define FACTOR_MAX 1.2
/* Change of the factor per shed request, and per answer while the limit is
 * approached. In balance when about one request in 40 is shed, whatever the
 * number of requests that an instance sees. */
#define FACTOR_SHED 0.95
#define FACTOR_ANSWERED 0.002
/* Largest change downwards in one tick: sheds come in groups, and stop once
 * queues have become shorter. */
#define FACTOR_TICK 0.5
/* The factor changes only from this share of the limit on: below it, short
 * answers are errors. */
#define DEMAND_NEAR_LIMIT 0.6
/* Below this share of the limit, answers include hardly any wait in queues. */
#define DEMAND_LIGHT 0.45
/* Answers in a window whose mean updates the work of a class, and its length.
 */
#define WINDOW_ANSWERS 16
#define WINDOW_MS 500
/* Gain of these updates, and for means that are below the estimate near the
 * limit. */
#define WORK_GAIN 0.3
#define WORK_GAIN_FALLING 0.2
/* Gain of the moving averages of demand, for each tick. */
#define DEMAND_GAIN 0.15
/* Slots below which there is no demand. */
#define DEMAND_NONE 1e-4
/* Work that may be sent at once: requests of mean work, or, if that is more,
 * what the rate gives in this time. */
#define BURST_REQUESTS 4
#define BURST_MS 40
/* For this long after an opening found no room, the limit is in force. */
#define LIMITING_MS 1000

uint32_t
rg_capacity_class_of(uint32_t priority)
{
    return priority < RG_CAPACITY_CLASSES ? priority : RG_CAPACITY_CLASSES - 1;
}

static bool
is_limited(const struct rg_capacity *c)
{
    return c->work_ms > 0 && c->factor > 0 && isfinite(c->slots);
}

static double
work_of(const struct rg_capacity *c, uint32_t class)
{
    double ms = c->classes[class].work_ms;

    return ms > 0 ? ms : c->work_ms;
}

static double
burst_ms(const struct rg_capacity *c)
{
    return fmax(BURST_REQUESTS * c->work_ms, BURST_MS * c->rate);
}

static void
fill(struct rg_capacity *c, uint64_t now_ms)
{
    if (now_ms > c->filled_ms) {
        c->level += c->rate * (double)(now_ms - c->filled_ms);
        c->level = fmin(c->level, burst_ms(c));
        c->filled_ms = now_ms;
    }
}

bool
rg_capacity_is_near_limit(const struct rg_capacity *c)
{
    return c->demand > DEMAND_NEAR_LIMIT ||
           rg_capacity_is_limiting(c, c->filled_ms);
}

/* Mean work of all classes, weighted by their demand. */
static void
update_work(struct rg_capacity *c)
{
    double slots = 0;
    double requests = 0;

    for (int i = 0; i < RG_CAPACITY_CLASSES; i++) {
        const struct rg_capacity_class *k = &c->classes[i];
        if (k->work_ms > 0) {
            double weight = k->openings + k->requests + 1e-6;
            slots += weight;
            requests += weight / k->work_ms;
        }
    }
    c->work_ms = requests > 0 ? slots / requests : 0;
}

void
rg_capacity_answered(struct rg_capacity *c, uint32_t class, double ms)
{
    struct rg_capacity_class *k = &c->classes[class];

    k->window_ms += fmax(ms, 1);
    k->window_count++;
    if (rg_capacity_is_near_limit(c)) {
        c->factor = fmin(c->factor + FACTOR_ANSWERED, FACTOR_MAX);
    }
    if (k->window_count < WINDOW_ANSWERS ||
        c->filled_ms - k->window_since_ms < WINDOW_MS)
    {
        return;
    }
    double mean = k->window_ms / k->window_count;
    if (c->demand < DEMAND_LIGHT && !rg_capacity_is_near_limit(c)) {
        k->work_ms += (k->work_ms == 0 ? 1 : WORK_GAIN) * (mean - k->work_ms);
        update_work(c);
    }
    else if (mean < k->work_ms) {
        k->work_ms += WORK_GAIN_FALLING * (mean - k->work_ms);
    }
    k->window_ms = 0;
    k->window_count = 0;
    k->window_since_ms = c->filled_ms;
}

void
rg_capacity_shed(struct rg_capacity *c)
{
    double least = fmax(c->ticked_factor * FACTOR_TICK, FACTOR_MIN);

    c->factor = fmax(c->factor * FACTOR_SHED, least);
}

/* Slots that openings may occupy. Requests on open flows take theirs before
 * openings of the same class, and after those of more important ones. */
static double
rate_of(const struct rg_capacity *c, double slots)
{
    double left = slots;
    double rate = 0;

    for (int i = 0; i < RG_CAPACITY_CLASSES; i++) {
        const struct rg_capacity_class *k = &c->classes[i];
        left -= fmin(k->requests, left);
        double openings = fmin(k->openings, left);
        rate += openings;
        left -= openings;
    }
    return rate + left;
}

void
rg_capacity_tick(struct rg_capacity *c, double slots, uint32_t ms,
                 uint64_t now_ms)
{
    double sum = 0;

    for (int i = 0; i < RG_CAPACITY_CLASSES; i++) {
        struct rg_capacity_class *k = &c->classes[i];
        k->openings += DEMAND_GAIN * (k->opened_ms / ms - k->openings);
        k->requests += DEMAND_GAIN * (k->requested_ms / ms - k->requests);
        k->opened_ms = 0;
        k->requested_ms = 0;
        sum += k->openings + k->requests;
    }
    update_work(c);
    fill(c, now_ms);
    c->active = sum > DEMAND_NONE;
    if (c->factor == 0) {
        c->factor = FACTOR_START;
        c->level = INFINITY; /* reduced to the burst when it is filled */
    }
    c->ticked_factor = c->factor;
    c->slots = slots;
    c->rate = rate_of(c, c->factor * slots);
    c->demand = slots > 0 ? sum / (c->factor * slots) : 0;
}

void
rg_capacity_count_opening(struct rg_capacity *c, uint32_t class)
{
    c->classes[class].opened_ms += work_of(c, class);
    c->active = true;
}

/* Work kept for openings of more important classes, which find room at once
 * even where openings cannot wait. */
static double
reserve_ms(const struct rg_capacity *c, uint32_t class)
{
    double higher = 0;

    for (uint32_t i = 0; i < class; i++) {
        higher += c->classes[i].openings;
    }
    return c->rate > 0
               ? fmin(higher / c->rate, 1) * (burst_ms(c) - work_of(c, class))
               : 0;
}

bool
rg_capacity_take(struct rg_capacity *c, uint32_t class, uint64_t now_ms)
{
    if (!is_limited(c)) {
        return true;
    }
    fill(c, now_ms);
    double work_ms = work_of(c, class);
    if (c->level < work_ms + reserve_ms(c, class)) {
        c->limited_ms = now_ms;
        return false;
    }
    c->level -= work_ms;
    return true;
}

void
rg_capacity_charge(struct rg_capacity *c, uint32_t class, uint64_t now_ms)
{
    if (is_limited(c)) {
        fill(c, now_ms);
        c->level = fmax(c->level - work_of(c, class), -burst_ms(c));
    }
}

void
rg_capacity_refund(struct rg_capacity *c, uint32_t class)
{
    if (is_limited(c)) {
        c->level = fmin(c->level + work_of(c, class), burst_ms(c));
    }
}

void
rg_capacity_request(struct rg_capacity *c, uint32_t class)
{
    c->classes[class].requested_ms += work_of(c, class);
    c->active = true;
}

double
rg_capacity_wait_ms(struct rg_capacity *c, uint32_t class, uint64_t now_ms)
{
    double needed = work_of(c, class) + reserve_ms(c, class);
    double left = c->rate;

    fill(c, now_ms);
    for (uint32_t i = 0; i <= class; i++) {
        needed += c->classes[i].waiting * work_of(c, i);
        left -= i < class ? c->classes[i].openings : 0;
    }
    needed -= c->level;
    if (needed <= 0) {
        return 0;
    }
    return left > 0 ? needed / left : INFINITY;
}

double
rg_capacity_per_s(const struct rg_capacity *c)
{
    return is_limited(c) ? c->rate * 1000 / c->work_ms : INFINITY;
}

bool
rg_capacity_is_limiting(const struct rg_capacity *c, uint64_t now_ms)
{
    return c->limited_ms != 0 && now_ms - c->limited_ms < LIMITING_MS;
}
