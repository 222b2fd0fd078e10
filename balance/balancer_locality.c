/* The balancer's use of locality: one controller for each service. */
#include <math.h>

#include "balance/passive_health.h"
#include "balance/pick.h"
#include "balance/priv.h"

/* A cold upstream takes about twice as long. */
#define COLD_SLOTS_SHARE 0.5
/* A change of the share is logged from this size on, and at most once in this
 * time. */
#define LOG_MIN_CHANGE 0.1
#define LOG_INTERVAL_MS 2000

static const struct rg_data_centre *
elsewhere(const struct rg_endpoint *e)
{
    return e->local ? NULL : e->data_centre;
}

const struct rg_data_centre *
rg_bal_leaves_for(struct rg_balancer *b, uint32_t service)
{
    return rg_locality_opening(&b->services[service].locality);
}

void
rg_bal_locality_opened(struct rg_balancer *b, const struct rg_endpoint *e,
                       double ms)
{
    struct rg_bal_service *s = rg_bal_service(b, e->service);

    if (s) {
        rg_locality_opened(&s->locality, elsewhere(e), ms);
    }
}

void
rg_bal_locality_answered(struct rg_balancer *b,
                         const struct rg_tracked_flow *t,
                         const struct rg_route *route, double bytes, bool shed)
{
    const struct rg_endpoint *e = t->endpoint;
    struct rg_bal_service *s = rg_bal_service(b, e->service);
    struct rg_locality_answer answer = {
        .data_centre = elsewhere(e),
        .ms = t->answer_ms,
        .bytes = bytes,
        .late = route->target_ms != 0 &&
                t->answer_ms + b->opening_ms > route->target_ms,
        .shed = shed,
    };

    if (s) {
        rg_locality_answered(&s->locality, &answer);
    }
}

static double
slots_of(const struct rg_balancer *b, const struct rg_endpoint *e)
{
    return e->slots * (b->now_ms < e->cold_until_ms ? COLD_SLOTS_SHARE : 1);
}

/* The local data centre is suspected as soon as two of its upstreams are
 * silent. The choice avoids it until any other responds, which is not a reason
 * to count all its upstreams as lost. */
static bool
is_usable(const struct rg_balancer *b, const struct rg_endpoint *e)
{
    return e->local ? rg_pick_takes_flows(e) &&
                          !rg_endpoint_is_ejected(e, b->now_ms)
                    : rg_pick_is_usable(e, b->now_ms);
}

static struct rg_locality_load
load_of(const struct rg_balancer *b, uint32_t service, struct rg_locality *l)
{
    size_t count;
    struct rg_endpoint *const *endpoints =
        rg_pool_endpoints(b->pool, service, &count);
    struct rg_locality_load load = {
        .local_instances = b->fleet.local_instances,
        .own_openings = b->metrics.counters[RG_METRIC_OPENINGS],
        .own_rate = b->openings_per_s,
        .local_rate = b->fleet.local_openings_per_s,
        .remote_rate = b->fleet.remote_openings_per_s,
    };

    double outlier_slots = 0;

    rg_locality_clear_slots(l);
    for (size_t i = 0; i < count; i++) {
        const struct rg_endpoint *e = endpoints[i];
        load.mean_slots += (double)e->slots / (double)count;
        if (!is_usable(b, e)) {
            continue;
        }
        if (rg_endpoint_is_outlier(e)) {
            outlier_slots += e->local ? slots_of(b, e) : 0;
        }
        else if (e->local) {
            load.local_slots += slots_of(b, e);
        }
        else {
            rg_locality_add_slots(l, e->data_centre, slots_of(b, e));
        }
    }
    /* If most are outliers, the choice uses them, too. */
    if (outlier_slots > load.local_slots) {
        load.local_slots += outlier_slots;
    }
    return load;
}

/* Logs the beginning and the end; from time to time larger changes, and that
 * nothing can leave as the others are full, or that this has ended. */
static void
log_change(struct rg_balancer *b, uint32_t service)
{
    struct rg_bal_service *s = &b->services[service];
    double share = s->locality.share;
    bool leaves = s->locality_since_ms != 0;
    bool full = s->locality.reason == RG_LOCALITY_REMOTE_FULL;
    bool large = (fabs(share - s->locality_logged) >= LOG_MIN_CHANGE ||
                  full != s->locality_logged_full) &&
                 b->now_ms - s->locality_log_ms >= LOG_INTERVAL_MS;

    if (leaves == (share > 0) && !large) {
        return;
    }
    if (!leaves && share > 0) {
        s->locality_since_ms = b->now_ms;
    }
    rg_bal_log_locality(b, service);
    s->locality_logged = share;
    s->locality_logged_full = full;
    s->locality_log_ms = b->now_ms;
    if (share <= 0) {
        s->locality_since_ms = 0;
    }
}

/* Services step at random moments, so that not all instances change their
 * shares at once. */
void
rg_bal_tick_locality(struct rg_balancer *b)
{
    for (uint32_t i = 0; i < b->service_count; i++) {
        struct rg_bal_service *s = &b->services[i];
        if (s->locality_step_ms == 0) {
            uint64_t phase = rg_mix64(b->opts.seed + i);
            s->locality_step_ms = b->now_ms + phase % RG_LOCALITY_STEP_MS;
            s->locality.credit = (double)(phase >> 32) / UINT32_MAX;
        }
        if (b->now_ms < s->locality_step_ms) {
            continue;
        }
        s->locality_step_ms += RG_LOCALITY_STEP_MS;
        if (s->locality_step_ms < b->now_ms) {
            s->locality_step_ms = b->now_ms + RG_LOCALITY_STEP_MS;
        }
        if (rg_locality_skip_idle(&s->locality,
                                  b->metrics.counters[RG_METRIC_OPENINGS]))
        {
            continue;
        }
        struct rg_locality_load load = load_of(b, i, &s->locality);
        rg_locality_step(&s->locality, &load);
        log_change(b, i);
    }
}

struct rg_balancer_leaving
rg_balancer_leaving(const struct rg_balancer *b)
{
    struct rg_balancer_leaving leaving = {0};

    for (size_t i = 0; i < b->service_count; i++) {
        double share = b->services[i].locality.share;
        leaving.services += share > 0;
        leaving.share = fmax(leaving.share, share);
    }
    return leaving;
}
