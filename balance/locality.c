#include "balance/locality.h"

#include <math.h>
#include <string.h>

/* Mean wait of random arrivals at upstreams with two slots, in units of the
 * work, is WAIT_FACTOR * u^2 / (1 - u^2) at utilisation u. 1 would hold for
 * exponential work; work that varies by half of its mean waits 0.6 of that. */
#define WAIT_FACTOR 0.6
/* Bounds of the utilisation from which on flows leave. Below the first, the
 * mean wait is shorter than the variation of the work; above the second, a
 * burst fills the queues. */
#define LEAVE_MIN 0.65
#define LEAVE_MAX 0.9
/* Remote upstreams are not used beyond this utilisation: their own callers
 * need the rest for bursts. */
#define REMOTE_MAX 0.9
/* Assumed until rates are known: what the fleet is planned for. */
#define REMOTE_DEFAULT 0.4
#define UTILISATION_MAX 0.97 /* the wait is unbounded at 1 */

/* Assumed difference of opening times until some were observed. */
#define PATH_DEFAULT_MS 4.0
/* Round trips that a flow takes before its answer: opening and request. */
#define ROUND_TRIPS 2
/* Price of leaving, in units of the work: for each flow, so that equal waits
 * stay local, and for each byte of an answer. */
#define PRICE_FLOW 0.05
#define PRICE_PER_BYTE 2e-6
/* Limit of a remote upstream's cost: work that takes less than a third of the
 * path still leaves upstreams that several requests wait for. */
#define COST_MAX 3.0
/* Added while the remote upstreams are full: as for an outlier. Not more:
 * local ones that shed become outliers one after the other, and the rest must
 * not get all flows. */
#define COST_FULL 4.0
/* Before the first step. */
#define COST_DEFAULT 0.6

/* The share rises by half of the gap, 0.15 at most, and falls by a quarter. A
 * smaller gap than the hysteresis is noise. */
#define STEP_UP_MAX 0.15
#define STEP_MIN 0.02
#define HYSTERESIS 0.03
/* Answers of a data centre from which on its room is evaluated, and the part
 * of late ones that chance explains. */
#define ROOM_ANSWERS 8
#define BAD_SHARE_MAX 0.25
#define ROOM_FALL 0.6
#define ROOM_RISE 0.1
/* Rise for each step without answers: tried again within half a minute. */
#define ROOM_RISE_IDLE 0.01
/* The share keeps its size until half of the remote room is gone. */
#define ROOM_RESERVE 2

/* Time constants of moving averages. */
#define RATE_MS 1500.0
#define PART_MS 5000.0
#define EVENNESS_MS 20000.0
#define WORK_MS 4000.0
#define RECENT_ANSWERS_MS 10000.0
/* Flows per second below which a service is idle. */
#define IDLE_RATE 0.1
/* Steps until the rates that peers report are complete. */
#define START_STEPS 40
/* An instance gets up to this many times an equal part of the flows. */
#define EVENNESS_MAX 4.0
/* Gains for each answer or opening: about 50 and 10 of them count. */
#define LOCAL_GAIN 0.02
#define REMOTE_GAIN 0.1
/* Number of remote answers whose wait weighs as much as the one computed from
 * rates. */
#define ANSWERS_WEIGHT 20
/* From this utilisation on a queue may grow that no steady state explains; the
 * estimate of the work then falls at this part of its speed. */
#define BUSY 0.5
#define BUSY_FALL 0.125
/* Standard deviations by which a count may differ from its mean. */
#define DEVIATIONS 2

static double
clamp(double value, double min, double max)
{
    return fmin(fmax(value, min), max);
}

static double
gain_of(double time_constant_ms)
{
    return 1 - exp(-RG_LOCALITY_STEP_MS / time_constant_ms);
}

static void
approach(double *average, double value, double gain)
{
    *average += gain * (value - *average);
}

/* The same for an average that has no value until the first one. */
static void
average_in(double *average, double value, double gain)
{
    approach(average, value, *average == 0 ? 1 : gain);
}

static struct rg_locality_remote *
find_remote(struct rg_locality *l, const void *data_centre)
{
    for (int i = 0; i < RG_LOCALITY_REMOTES_MAX; i++) {
        struct rg_locality_remote *r = &l->remotes[i];
        if (r->data_centre == data_centre) {
            return r;
        }
        if (!r->data_centre) {
            *r = (struct rg_locality_remote){.data_centre = data_centre,
                                             .room = 1};
            return r;
        }
    }
    return NULL;
}

/* --- observations -------------------------------------------------------- */

void
rg_locality_opened(struct rg_locality *l, const void *data_centre, double ms)
{
    struct rg_locality_remote *r =
        data_centre ? find_remote(l, data_centre) : NULL;

    if (r) {
        average_in(&r->opening_ms, ms, REMOTE_GAIN);
    }
    else if (!data_centre) {
        average_in(&l->opening_ms, ms, LOCAL_GAIN);
    }
}

static void
remote_answered(struct rg_locality_remote *r,
                const struct rg_locality_answer *a)
{
    r->evaluated++;
    r->bad += a->late || a->shed;
    if (!a->shed) {
        r->answers++;
        average_in(&r->wait_ms, fmax(a->ms - r->opening_ms, 0), REMOTE_GAIN);
    }
}

void
rg_locality_answered(struct rg_locality *l, const struct rg_locality_answer *a)
{
    if (a->data_centre) {
        struct rg_locality_remote *r = find_remote(l, a->data_centre);
        if (r) {
            remote_answered(r, a);
        }
        return;
    }
    approach(&l->bad_share, a->late || a->shed ? 1 : 0, LOCAL_GAIN);
    if (!a->shed) {
        l->waited_ms += fmax(a->ms - l->opening_ms, 0);
        l->answers++;
        average_in(&l->bytes, a->bytes, LOCAL_GAIN);
    }
}

void
rg_locality_clear_slots(struct rg_locality *l)
{
    for (int i = 0; i < RG_LOCALITY_REMOTES_MAX; i++) {
        l->remotes[i].slots = 0;
    }
}

void
rg_locality_add_slots(struct rg_locality *l, const void *data_centre,
                      double slots)
{
    struct rg_locality_remote *r = find_remote(l, data_centre);

    if (r) {
        r->slots += slots;
    }
}

/* --- waits --------------------------------------------------------------- */

/* Time at an upstream in units of the work. */
static double
time_at(double utilisation)
{
    double u = clamp(utilisation, 0, UTILISATION_MAX);

    return 1 + WAIT_FACTOR * u * u / (1 - u * u);
}

/* Utilisation at which the wait alone is this many times the work. */
static double
utilisation_of(double wait)
{
    double y = fmax(wait, 0) / WAIT_FACTOR;

    return sqrt(y / (1 + y));
}

/* Work of a request that spends `ms` at upstreams which get `rate` of them and
 * have `slots`. */
static double
work_of(double ms, double rate, double slots)
{
    double busy = rate * ms / 1000 / slots; /* mean requests per slot */
    double low = 0;
    double high = 1;

    for (int i = 0; i < 20; i++) {
        double u = (low + high) / 2;
        if (u * time_at(u) < busy) {
            low = u;
        }
        else {
            high = u;
        }
    }
    return ms / time_at(low);
}

/* --- decision ------------------------------------------------------------ */

/* The service's part of all new flows. */
static double
service_part(const struct rg_locality *l)
{
    return l->all_openings > 0 ? fmin(l->service_openings / l->all_openings, 1)
                               : 1;
}

static double
usable_remote_slots(const struct rg_locality *l)
{
    double slots = 0;

    for (int i = 0; i < RG_LOCALITY_REMOTES_MAX; i++) {
        slots += l->remotes[i].slots;
    }
    return slots;
}

/* Updates how much more of the data centre's flows this instance gets than an
 * equal part. After a start the rates that it is computed from are still
 * incomplete. */
static void
update_evenness(struct rg_locality *l, const struct rg_locality_load *load)
{
    if (l->steps < START_STEPS) {
        l->steps++;
        l->evenness = 1;
        return;
    }
    if (load->local_rate > 0) {
        double ratio =
            load->own_rate * (double)load->local_instances / load->local_rate;
        approach(&l->evenness, clamp(ratio, 1 / EVENNESS_MAX, EVENNESS_MAX),
                 gain_of(EVENNESS_MS));
    }
}

/* New flows of the service in this data centre. */
static double
local_rate(struct rg_locality *l, const struct rg_locality_load *load)
{
    double all = (double)(load->own_openings - l->own_openings);

    update_evenness(l, load);
    approach(&l->rate, l->openings * 1000.0 / RG_LOCALITY_STEP_MS,
             gain_of(RATE_MS));
    approach(&l->service_openings, l->openings, gain_of(PART_MS));
    approach(&l->all_openings, all, gain_of(PART_MS));
    l->own_openings = load->own_openings;
    l->openings = 0;

    /* An exponential average counts flows of twice its time constant. */
    double window_s = 2 * RATE_MS / 1000;
    double count = l->rate * window_s;
    double deviation = DEVIATIONS * sqrt(count);
    double scale = (double)load->local_instances / (window_s * l->evenness);
    double low = fmax(count - deviation, 0) * scale;
    double high = (count + deviation + DEVIATIONS * DEVIATIONS) * scale;
    double reported = load->local_rate > 0 ? load->local_rate * service_part(l)
                                           : count * scale;

    return clamp(reported, low, high);
}

/* Estimates the work from the time that requests spend at local upstreams. */
static void
update_work(struct rg_locality *l, double rate, double slots)
{
    if (l->answers <= 0 || slots <= 0) {
        return;
    }
    double work =
        work_of(l->waited_ms / l->answers, rate * (1 - l->share), slots);
    l->waited_ms *= 1 - gain_of(WORK_MS);
    l->answers *= 1 - gain_of(WORK_MS);
    double gain = l->work_ms > 0 ? gain_of(WORK_MS) : 1;
    double busy = rate * (1 - l->share) * l->work_ms / 1000 / slots;

    if (busy > BUSY && work < l->work_ms) {
        gain *= BUSY_FALL;
    }
    approach(&l->work_ms, work, gain);
}

/* Means over the other data centres, by the slots that they have room for. */
struct remote_means {
    double weight;
    double path_ms; /* additional time until an answer */
    double wait;    /* time at upstreams in units of the work */
    double answers; /* that `wait` is based on */
};

static struct remote_means
remote_means(const struct rg_locality *l)
{
    struct remote_means m = {0};
    double wait_ms = 0;

    for (int i = 0; i < RG_LOCALITY_REMOTES_MAX; i++) {
        const struct rg_locality_remote *r = &l->remotes[i];
        double weight = r->slots * r->room;
        double path_ms = r->opening_ms > 0 && l->opening_ms > 0
                             ? fmax(r->opening_ms - l->opening_ms, 0)
                             : PATH_DEFAULT_MS;
        m.weight += weight;
        m.path_ms += weight * ROUND_TRIPS * path_ms;
        m.answers += weight > 0 ? r->answers : 0;
        wait_ms += weight > 0 ? r->answers * r->wait_ms : 0;
    }
    m.path_ms =
        m.weight > 0 ? m.path_ms / m.weight : ROUND_TRIPS * PATH_DEFAULT_MS;
    m.wait = m.answers > 0 ? wait_ms / m.answers / l->work_ms : 0;
    return m;
}

/* Utilisation of the other data centres by their own callers. */
static double
remote_utilisation(const struct rg_locality *l,
                   const struct rg_locality_load *load, double slots)
{
    if (load->remote_rate <= 0 || slots <= 0) {
        return REMOTE_DEFAULT;
    }
    return load->remote_rate * service_part(l) * l->work_ms / 1000 / slots;
}

/* Price of leaving in units of the work, without the wait there. */
static double
price_of(const struct rg_locality *l, const struct remote_means *m)
{
    return PRICE_FLOW + PRICE_PER_BYTE * l->bytes + m->path_ms / l->work_ms;
}

/* The share that should leave, by the rates of new flows here and elsewhere.
 */
static double
wanted_share(struct rg_locality *l, const struct rg_locality_load *load,
             double rate, double slots)
{
    struct remote_means m = remote_means(l);
    double price = price_of(l, &m);

    l->remote_cost =
        clamp(1 - 1 / fmax(load->mean_slots, 1) + price, 0, COST_MAX);
    l->utilisation = rate * l->work_ms / 1000 / load->local_slots;
    l->remote_utilisation = remote_utilisation(l, load, slots);
    if (l->remote_utilisation > REMOTE_MAX) {
        l->remote_cost += COST_FULL;
    }
    double wait = time_at(l->remote_utilisation);
    wait += m.answers / (m.answers + ANSWERS_WEIGHT) * (m.wait - wait);
    l->leave_at =
        clamp(utilisation_of(wait - 1 + price), LEAVE_MIN, LEAVE_MAX);
    if (l->utilisation <= l->leave_at) {
        l->reason = RG_LOCALITY_ENOUGH;
        return 0;
    }
    double wanted = 1 - l->leave_at / l->utilisation;
    double free_slots = fmax(REMOTE_MAX - l->remote_utilisation, 0) * slots;
    double limit = free_slots * 1000 / (rate * l->work_ms);
    limit = fmin(limit, wanted * fmin(ROOM_RESERVE * m.weight / slots, 1));
    l->reason =
        limit < wanted / 2 ? RG_LOCALITY_REMOTE_FULL : RG_LOCALITY_CAPACITY;
    return fmin(wanted, limit);
}

/* Answers that are late or shed as often as those of local upstreams show that
 * leaving does not help. */
static void
evaluate_room(const struct rg_locality *l, struct rg_locality_remote *r)
{
    r->answers *= 1 - gain_of(RECENT_ANSWERS_MS);
    if (r->evaluated < ROOM_ANSWERS) {
        r->room = fmin(r->room + ROOM_RISE_IDLE, 1);
        return;
    }
    double bad = (double)r->bad / r->evaluated;
    if (bad > BAD_SHARE_MAX && bad > l->bad_share - BAD_SHARE_MAX) {
        r->room *= ROOM_FALL;
    }
    else {
        r->room = fmin(r->room + ROOM_RISE, 1);
    }
    r->evaluated = 0;
    r->bad = 0;
}

static void
move_share(struct rg_locality *l, double wanted)
{
    double gap = wanted - l->share;

    if (gap > HYSTERESIS) {
        l->share += clamp(gap / 2, STEP_MIN, STEP_UP_MAX);
    }
    else if (gap < -HYSTERESIS || (wanted == 0 && l->share > 0)) {
        l->share += fmin(gap / 4, -STEP_MIN);
    }
    if (wanted == 0 && l->share < STEP_MIN) {
        l->share = 0;
    }
    l->share = clamp(l->share, 0, 1);
}

bool
rg_locality_skip_idle(struct rg_locality *l, uint64_t own_openings)
{
    if (l->openings > 0 || l->share > 0 || l->rate > IDLE_RATE) {
        return false;
    }
    l->own_openings = own_openings;
    return true;
}

void
rg_locality_step(struct rg_locality *l, const struct rg_locality_load *load)
{
    double slots = usable_remote_slots(l);
    double rate = local_rate(l, load);

    for (int i = 0; i < RG_LOCALITY_REMOTES_MAX && l->remotes[i].data_centre;
         i++) {
        evaluate_room(l, &l->remotes[i]);
    }
    update_work(l, rate, load->local_slots);
    if (slots <= 0) {
        l->reason = RG_LOCALITY_NO_REMOTE;
        l->share = 0;
    }
    else if (load->local_slots <= 0) {
        l->reason = RG_LOCALITY_NO_LOCAL;
        l->share = 1;
    }
    else if (l->work_ms > 0) {
        move_share(l, wanted_share(l, load, rate, slots));
    }
    else {
        l->reason = RG_LOCALITY_ENOUGH;
        l->share = 0;
    }
}

/* The data centre that is owed most flows, in proportion to the slots that it
 * has room for. */
static const void *
select_remote(struct rg_locality *l)
{
    struct rg_locality_remote *best = NULL;
    double weight = 0;

    for (int i = 0; i < RG_LOCALITY_REMOTES_MAX; i++) {
        weight += l->remotes[i].slots * l->remotes[i].room;
    }
    for (int i = 0; i < RG_LOCALITY_REMOTES_MAX; i++) {
        struct rg_locality_remote *r = &l->remotes[i];
        if (r->slots * r->room <= 0) {
            r->credit = 0;
            continue;
        }
        r->credit += r->slots * r->room / weight;
        best = !best || r->credit > best->credit ? r : best;
    }
    if (!best) {
        return NULL;
    }
    best->credit -= 1;
    return best->data_centre;
}

const void *
rg_locality_opening(struct rg_locality *l)
{
    l->openings++;
    if (l->share <= 0) {
        return NULL;
    }
    l->credit += l->share;
    if (l->credit < 1) {
        return NULL;
    }
    l->credit -= 1;
    return select_remote(l);
}

double
rg_locality_remote_cost(const struct rg_locality *l)
{
    return l->remote_cost > 0 ? l->remote_cost : COST_DEFAULT;
}

const char *
rg_locality_reason_text(enum rg_locality_reason reason)
{
    static const char *const texts[] = {
        [RG_LOCALITY_ENOUGH] = "enough",
        [RG_LOCALITY_CAPACITY] = "local-capacity",
        [RG_LOCALITY_NO_LOCAL] = "no-local-upstream",
        [RG_LOCALITY_REMOTE_FULL] = "remote-full",
        [RG_LOCALITY_NO_REMOTE] = "no-remote-upstream",
    };

    return texts[reason];
}
