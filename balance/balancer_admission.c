/* The balancer's use of admission control: one controller for each service. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "balance/passive_health.h"
#include "balance/priv.h"
#include "common/mem.h"

/* An opening waits for room for at most this share of its latency target, so
 * that its answer, which varies, is in time. */
#define WAIT_TARGET_SHARE 0.5
/* Callers send a copy of an opening after 200 ms, which may reach another
 * instance. Until then the flow cannot be open, and may be refused. */
#define WAIT_MAX_MS 180
/* The process was suspended if a wait ends later than this after its time. */
#define WAIT_LATE_MS 15
/* Work takes up to this many times its mean. */
#define WORK_SPREAD 1.6
/* Most of a service's upstreams may be gone once this share of the openings
 * gets no answer, until it falls below the lower one. */
#define LOST_HIGH 0.3
#define LOST_LOW 0.1
/* Gain of that share, for each opening: an instance that sends ten a second
 * notices within a second. */
#define LOST_GAIN 0.2
/* Least share of the slots of upstreams in doubt that counts: they get
 * openings only if there is room for them. */
#define IN_DOUBT_MIN 0.25
/* Gain of the share of openings to unresponsive upstreams that is answered:
 * those that recover are noticed after a few. */
#define REVIVED_GAIN 0.2
/* An answer below this share of the usual size is short. The first part of an
 * answer fills a packet if there is more to come. */
#define SHED_BYTES_SHARE 0.5
#define PACKET_BYTES 1200.0
/* An upstream that is full answers other requests meanwhile. After this many
 * short answers in a row they are errors; the first one lowers the limit. */
#define SHEDS_IN_A_ROW 2
/* The upstreams of a service are silent if none has responded for this long,
 * and for this many times the mean time between responses. */
#define SILENCE_MIN_MS 500.0
#define SILENCE_GAPS 8
/* Time for openings to find the upstreams that have recovered. */
#define RECOVERY_MS 5000
/* In fleets up to this size an instance sees enough answers for admission
 * control by queues, see balance/admit.h, to act in time. Its share of the
 * flows changes too much with each start and stop to be a limit. */
#define FEW_INSTANCES 8
/* Upstreams whose slots are counted in one tick: 15,000 are in a second, and
 * in four while the demand is below this share of the limit. */
#define COUNTED_PER_TICK 1500
#define DEMAND_LOW 0.2
#define LOW_DEMAND_TICKS 4

void
rg_bal_reserve_service(struct rg_balancer *b, uint32_t service)
{
    if (service < b->service_count) {
        return;
    }
    size_t count = service + 1;
    b->services = rg_realloc(b->services, count * sizeof(*b->services));
    memset(b->services + b->service_count, 0,
           (count - b->service_count) * sizeof(*b->services));
    b->service_count = count;
}

/* False if the wait that is expected at the upstreams is too long. */
static bool
queues_permit(struct rg_balancer *b, const struct rg_route *route,
              uint32_t service)
{
    /* Both the opening and the request take a round trip before the answer. */
    double wait_ms = route->target_ms == 0
                         ? INFINITY
                         : fmax(route->target_ms - 2 * b->opening_ms, 0);
    return rg_admit_opening(&b->services[service].admit, route->priority,
                            wait_ms);
}

/* True if an opening of a more important class, or with `own` of this one,
 * waits for room at the service. */
static bool
others_wait(const struct rg_capacity *c, uint32_t class, bool own)
{
    for (uint32_t i = 0; i < class + own; i++) {
        if (c->classes[i].waiting > 0) {
            return true;
        }
    }
    return false;
}

/* Longest time that an opening may wait and still be served in time. */
static double
max_wait_ms(const struct rg_balancer *b, const struct rg_route *route,
            const struct rg_capacity *c, uint32_t class)
{
    double work_ms = c->classes[class].work_ms;
    double left = route->target_ms - 2 * b->opening_ms - WORK_SPREAD * work_ms;
    return fmax(
        fmin(fmin(left, WAIT_TARGET_SHARE * route->target_ms), WAIT_MAX_MS),
        0);
}

static bool
start_waiting(struct rg_balancer *b, const struct rg_segment *s,
              const struct rg_route *route, uint32_t service, uint32_t *slot)
{
    struct rg_capacity *c = &b->services[service].capacity;
    uint32_t class = rg_capacity_class_of(route->priority);
    double max_ms = max_wait_ms(b, route, c, class);

    if (!b->opts.can_hold || rg_capacity_wait_ms(c, class, b->now_ms) > max_ms)
    {
        return false;
    }
    struct rg_queued_opening opening = {
        .segment = *s,
        .service = service,
        .class = class,
        .until_ms = b->now_ms + (uint64_t)max_ms,
    };
    if (!rg_admission_queue_add(b->waiting, &opening)) {
        return false;
    }
    c->classes[class].waiting++;
    *slot = opening.slot;
    rg_bal_log_wait(b, s);
    return true;
}

enum rg_bal_admission
rg_bal_admit(struct rg_balancer *b, const struct rg_segment *s,
             const struct rg_route *route, uint32_t service, uint32_t *slot)
{
    struct rg_capacity *c = &b->services[service].capacity;
    uint32_t class = rg_capacity_class_of(route->priority);

    if (!b->granted) {
        rg_capacity_count_opening(c, class);
        if (route->target_ms == 0) {
            /* Nobody knows when its answers would be late. */
            rg_capacity_charge(c, class, b->now_ms);
        }
        else if (others_wait(c, class, true) ||
                 !rg_capacity_take(c, class, b->now_ms)) {
            return start_waiting(b, s, route, service, slot) ? RG_BAL_WAITS
                                                             : RG_BAL_REFUSED;
        }
    }
    if (queues_permit(b, route, service)) {
        return RG_BAL_ADMITTED;
    }
    rg_capacity_refund(c, class);
    return RG_BAL_REFUSED;
}

/* True if nothing has come from the endpoint since a packet to it was
 * repeated, or it is excluded: its slots are not counted. */
static bool
is_unresponsive(const struct rg_balancer *b, const struct rg_endpoint *e)
{
    return e->retransmissions != 0 || rg_endpoint_is_outlier(e) ||
           rg_endpoint_is_ejected(e, b->now_ms);
}

/* True if nothing has come from the endpoint since many openings are lost:
 * like others, it may be gone. */
static bool
is_in_doubt(const struct rg_balancer *b, const struct rg_endpoint *e)
{
    const struct rg_bal_service *s = rg_bal_service(b, e->service);

    return s && s->loss_ms != 0 && e->last_response_ms <= s->loss_ms;
}

void
rg_bal_admission_opened(struct rg_balancer *b,
                        const struct rg_endpoint *endpoint,
                        enum rg_trial trial, bool lost)
{
    struct rg_bal_service *s = rg_bal_service(b, endpoint->service);

    if (!s) {
        return;
    }
    if (trial == RG_TRIAL_UNRESPONSIVE) {
        s->revived += REVIVED_GAIN * ((lost ? 0 : 1) - s->revived);
    }
    if (trial != RG_TRIAL_IN_DOUBT) {
        return;
    }
    s->lost += LOST_GAIN * ((lost ? 1 : 0) - s->lost);
    if (s->loss_ms == 0 && s->lost > LOST_HIGH) {
        s->loss_ms = b->now_ms;
    }
    else if (s->loss_ms != 0 && s->lost < LOST_LOW) {
        s->loss_ms = 0;
    }
}

enum rg_trial
rg_bal_admission_sent(struct rg_balancer *b, const struct rg_route *route,
                      const struct rg_endpoint *endpoint, bool admitted)
{
    struct rg_bal_service *s = rg_bal_service(b, endpoint->service);
    uint32_t class = rg_capacity_class_of(route->priority);

    if (!s) {
        return RG_TRIAL_NONE;
    }
    struct rg_capacity *c = &s->capacity;
    if (is_unresponsive(b, endpoint)) {
        if (admitted) {
            rg_capacity_refund(c, class);
        }
        return RG_TRIAL_UNRESPONSIVE;
    }
    if (!admitted) {
        rg_capacity_charge(c, class, b->now_ms);
    }
    return s->loss_ms == 0 || is_in_doubt(b, endpoint) ? RG_TRIAL_IN_DOUBT
                                                       : RG_TRIAL_NONE;
}

void
rg_bal_admission_request(struct rg_balancer *b,
                         const struct rg_endpoint *endpoint,
                         const struct rg_route *route)
{
    struct rg_bal_service *s = rg_bal_service(b, endpoint->service);

    if (s) {
        rg_capacity_request(&s->capacity,
                            rg_capacity_class_of(route->priority));
    }
}

bool
rg_bal_is_shed(const struct rg_balancer *b, const struct rg_endpoint *endpoint,
               const struct rg_route *route, uint32_t bytes)
{
    const struct rg_bal_service *s = rg_bal_service(b, endpoint->service);
    double usual = fmin(route->median_bytes, PACKET_BYTES);

    return s && endpoint->sheds < SHEDS_IN_A_ROW &&
           bytes < SHED_BYTES_SHARE * usual &&
           rg_capacity_is_near_limit(&s->capacity);
}

void
rg_bal_admission_shed(struct rg_balancer *b, struct rg_endpoint *endpoint)
{
    rg_bal_count(b, RG_METRIC_ANSWERS_SHED);
    /* One that only sends errors must not lower the limit further. */
    struct rg_bal_service *s = rg_bal_service(b, endpoint->service);
    if (endpoint->sheds++ == 0 && s) {
        rg_capacity_shed(&s->capacity);
    }
}

void
rg_bal_admission_answered(struct rg_balancer *b,
                          const struct rg_endpoint *endpoint,
                          const struct rg_route *route, double ms)
{
    struct rg_bal_service *s = rg_bal_service(b, endpoint->service);

    if (s) {
        rg_capacity_answered(&s->capacity,
                             rg_capacity_class_of(route->priority), ms);
    }
}

/* --- openings that wait -------------------------------------------------- */

static bool
is_due(void *ctx, const struct rg_queued_opening *o)
{
    struct rg_balancer *b = ctx;
    struct rg_capacity *c = &b->services[o->service].capacity;

    b->granted = !others_wait(c, o->class, false) &&
                 rg_capacity_take(c, o->class, b->now_ms);
    return b->granted || b->now_ms >= o->until_ms;
}

/* All but the room may have changed meanwhile: routes, upstreams, the view. */
static struct rg_decision
decide_after_wait(struct rg_balancer *b, const struct rg_queued_opening *o)
{
    const struct rg_segment *s = &o->segment;

    if (b->now_ms > o->until_ms + WAIT_LATE_MS) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_WAITING, "waited-late");
    }
    if (!b->granted) {
        return rg_bal_refuse(b, s, RG_METRIC_REFUSED_AFTER_WAIT, "no-room");
    }
    if (!rg_balancer_ready(b)) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_NOT_READY, "not-ready");
    }
    return rg_bal_steer_opening(b, s);
}

bool
rg_balancer_next_waiting(struct rg_balancer *b, uint64_t now_ms,
                         struct rg_waiting_opening *out)
{
    struct rg_queued_opening o;

    b->now_ms = now_ms;
    if (!rg_admission_queue_take(b->waiting, is_due, b, &o)) {
        b->granted = false;
        return false;
    }
    b->services[o.service].capacity.classes[o.class].waiting--;
    out->segment = o.segment;
    out->slot = o.slot;
    out->decision = decide_after_wait(b, &o);
    b->granted = false;
    return true;
}

size_t
rg_balancer_waiting_count(const struct rg_balancer *b)
{
    return rg_admission_queue_count(b->waiting);
}

double
rg_balancer_limit_per_s(const struct rg_balancer *b, uint32_t service)
{
    return rg_capacity_per_s(&b->services[service].capacity);
}

size_t
rg_balancer_service_count(const struct rg_balancer *b)
{
    return b->service_count;
}

/* --- load and ticks ------------------------------------------------------ */

/* Share of the endpoint's slots that count. Those of endpoints that may be
 * gone count as far as openings to such endpoints are answered. */
static double
usable_share(const struct rg_balancer *b, const struct rg_endpoint *e)
{
    const struct rg_bal_service *s = &b->services[e->service];

    if (is_unresponsive(b, e)) {
        return s->revived;
    }
    return is_in_doubt(b, e) ? fmax(1 - s->lost, IN_DOUBT_MIN) : 1;
}

/* True if the fleet is known to be small. */
static bool
is_small_fleet(const struct rg_fleet *f)
{
    return f->instances <= FEW_INSTANCES &&
           f->local_openings_per_s + f->remote_openings_per_s > 0;
}

/* This instance's share of the slots that openings may go to; no limit in a
 * small fleet. While no upstream responds, and shortly after, all count:
 * nothing that is sent there overloads any, and those that recover must be
 * noticed. */
static double
usable_slots(const struct rg_balancer *b, uint32_t service)
{
    struct rg_bal_service *s = &b->services[service];
    size_t count;
    struct rg_endpoint *const *endpoints =
        rg_pool_endpoints(b->pool, service, &count);
    uint64_t response_ms = 0;
    double usable = 0;
    double all = 0;

    for (size_t i = 0; i < count; i++) {
        const struct rg_endpoint *e = endpoints[i];
        if (!rg_pick_takes_flows(e)) {
            continue;
        }
        all += e->slots;
        usable += usable_share(b, e) * e->slots;
        response_ms = e->last_response_ms > response_ms ? e->last_response_ms
                                                        : response_ms;
    }
    double silent_ms = (double)(b->now_ms - response_ms);
    if (silent_ms > fmax(SILENCE_MIN_MS, SILENCE_GAPS * b->response_gap_ms)) {
        s->silent_ms = b->now_ms;
    }
    bool silent = s->silent_ms != 0 && b->now_ms - s->silent_ms < RECOVERY_MS;
    if (is_small_fleet(&b->fleet)) {
        return INFINITY;
    }
    return (silent ? all : usable) * b->fleet.share;
}

/* Large services are counted less often, which bounds the work of a tick. */
static void
tick_capacity(struct rg_balancer *b, uint32_t service)
{
    struct rg_bal_service *s = &b->services[service];
    size_t count;

    if (!s->capacity.active) {
        return;
    }
    rg_pool_endpoints(b->pool, service, &count);
    double slots = s->capacity.slots;
    size_t ticks = count / COUNTED_PER_TICK;
    if (s->capacity.demand < DEMAND_LOW) {
        ticks *= LOW_DEMAND_TICKS;
    }
    if (++s->capacity_ticks > ticks) {
        slots = usable_slots(b, service);
        s->capacity_ticks = 0;
    }
    rg_capacity_tick(&s->capacity, slots, RG_BALANCER_TICK_MS, b->now_ms);
    bool limiting = rg_capacity_is_limiting(&s->capacity, b->now_ms);
    if (limiting != s->limiting) {
        s->limiting = limiting;
        rg_bal_log_limit(b, service);
    }
}

/* Outstanding requests of this instance at a service, and its share of the
 * slots there, which equals its share of new flows. Evacuated upstreams are
 * left out, and those that do not respond. If the latter are the majority of
 * the rest, slots are unlimited, so that no opening is refused and the
 * upstreams' recovery is noticed. */
static struct rg_admit_load
load_of(const struct rg_balancer *b, uint32_t service)
{
    size_t count;
    struct rg_endpoint *const *endpoints =
        rg_pool_endpoints(b->pool, service, &count);
    struct rg_admit_load load = {0};
    size_t unresponsive = 0;
    size_t evacuated = 0;

    for (size_t i = 0; i < count; i++) {
        if (endpoints[i]->data_centre->evacuation->in_force) {
            evacuated++;
            continue;
        }
        if (endpoints[i]->retransmissions != 0 ||
            rg_endpoint_is_outlier(endpoints[i]) ||
            rg_endpoint_is_ejected(endpoints[i], b->now_ms))
        {
            unresponsive++;
            continue;
        }
        load.slots += endpoints[i]->slots;
        load.open += endpoints[i]->open_work;
    }
    load.slots = unresponsive * 2 > count - evacuated
                     ? INFINITY
                     : load.slots * b->fleet.share;
    return load;
}

void
rg_bal_tick_admission(struct rg_balancer *b)
{
    for (uint32_t i = 0; i < b->service_count; i++) {
        struct rg_admit *a = &b->services[i].admit;
        struct rg_admit_load load = {0};
        if (rg_admit_needs_load(a)) {
            load = load_of(b, i);
        }
        bool before = a->full;

        tick_capacity(b, i);
        rg_admit_tick(a, RG_BALANCER_TICK_MS, &load);
        if (rg_admit_is_overloaded(a)) {
            b->services[i].overloaded_ms = b->now_ms;
        }
        if (a->full != before) {
            rg_bal_log_admission(b, i, &load);
        }
    }
}
