#include "balance/evacuation.h"

#include <stdlib.h>

#include "balance/revision.h"
#include "common/mem.h"

/* After a lift the share of choices doubles from step to step, so that cold
 * upstreams never get more than twice the load that they have just had. A step
 * is long enough for several requests of the slowest routes. */
#define RETURN_STEP_MS 1000
#define RETURN_STEPS 4
#define ALL_PERCENT 100

struct rg_evacuations {
    const struct rg_log *log;
    struct rg_evacuation **records; /* endpoints refer to them: they stay */
    size_t count;
    size_t capacity;
    uint32_t listing;
    bool is_complete;
    /* Evacuations that were requested at or before this revision and have no
     * record have been lifted. */
    uint64_t complete_revision;
};

static struct rg_evacuation *
get_record(struct rg_evacuations *x, const struct rg_name *data_centre)
{
    for (size_t i = 0; i < x->count; i++) {
        if (rg_name_eq(&x->records[i]->data_centre, data_centre)) {
            return x->records[i];
        }
    }
    if (x->count == x->capacity) {
        x->capacity = x->capacity ? x->capacity * 2 : 8;
        x->records = rg_realloc(x->records,
                                x->capacity * sizeof(struct rg_evacuation *));
    }
    struct rg_evacuation *e = rg_calloc(1, sizeof(*e));
    e->data_centre = *data_centre;
    x->records[x->count++] = e;
    return e;
}

const struct rg_evacuation *
rg_evacuations_of_upstreams(struct rg_evacuations *x,
                            const struct rg_name *data_centre)
{
    struct rg_evacuation *e = get_record(x, data_centre);

    e->has_upstreams = true;
    return e;
}

/* --- changes ------------------------------------------------------------- */

static void
log_change(const struct rg_evacuations *x, const struct rg_evacuation *e,
           const char *event)
{
    rg_log_event(x->log, RG_LOG_NOTICE, event,
                 "data_centre=\"%s\" revision=\"%llu\" upstreams_known=\"%d\"",
                 e->data_centre.s,
                 (unsigned long long)rg_revision_number(e->revision),
                 e->has_upstreams);
}

static bool
is_return_complete(const struct rg_evacuation *e, uint64_t now_ms)
{
    return now_ms >= e->since_ms + RETURN_STEP_MS * RETURN_STEPS;
}

static void
apply(struct rg_evacuations *x, const struct rg_evacuation_change *change,
      struct rg_evacuation *e, uint64_t now_ms)
{
    uint64_t age_ms = change->age_ms < now_ms ? change->age_ms : now_ms;
    bool repeated = e->in_force && change->in_force;

    e->revision = change->revision;
    e->in_force = change->in_force;
    if (repeated) {
        return;
    }
    /* A lift counts even if its request was not known here: this instance
     * holds back new flows like the others. */
    e->since_ms = now_ms - age_ms;
    e->returning = !e->in_force && !is_return_complete(e, now_ms);
    if (e->in_force || e->returning) {
        log_change(x, e, e->in_force ? "EVACUATED" : "EVACUATION_LIFTED");
    }
}

/* True if the change is newer than what is known of its data centre. */
static bool
is_news(const struct rg_evacuations *x, const struct rg_evacuation *e,
        const struct rg_evacuation_change *change)
{
    if (e->revision != 0) {
        return change->revision > e->revision;
    }
    return !change->in_force || change->revision > x->complete_revision;
}

static struct rg_evacuation *
update(struct rg_evacuations *x, const struct rg_evacuation_change *change,
       uint64_t now_ms)
{
    struct rg_evacuation *e = get_record(x, &change->data_centre);

    if (is_news(x, e, change)) {
        apply(x, change, e, now_ms);
    }
    return e;
}

void
rg_evacuations_update(struct rg_evacuations *x,
                      const struct rg_evacuation_change *change,
                      uint64_t now_ms)
{
    update(x, change, now_ms)->listing = x->listing;
}

static void
lift(struct rg_evacuations *x, struct rg_evacuation *e, uint64_t revision,
     uint64_t now_ms)
{
    struct rg_evacuation_change change = {.revision = revision};

    if (e->in_force && e->revision <= revision) {
        apply(x, &change, e, now_ms);
    }
}

static void
set_complete(struct rg_evacuations *x, uint64_t revision)
{
    x->is_complete = true;
    if (revision > x->complete_revision) {
        x->complete_revision = revision;
    }
}

void
rg_evacuations_begin_listing(struct rg_evacuations *x)
{
    x->listing++;
}

void
rg_evacuations_end_listing(struct rg_evacuations *x, uint64_t revision,
                           uint64_t now_ms)
{
    for (size_t i = 0; i < x->count; i++) {
        if (x->records[i]->listing != x->listing) {
            lift(x, x->records[i], revision, now_ms);
        }
    }
    set_complete(x, revision);
}

static bool
contains(const struct rg_evacuation_change *changes, size_t count,
         const struct rg_name *data_centre)
{
    for (size_t i = 0; i < count; i++) {
        if (rg_name_eq(&changes[i].data_centre, data_centre)) {
            return true;
        }
    }
    return false;
}

void
rg_evacuations_apply_all(struct rg_evacuations *x,
                         const struct rg_evacuation_change *changes,
                         size_t count, uint64_t revision, uint64_t now_ms)
{
    for (size_t i = 0; i < count; i++) {
        update(x, &changes[i], now_ms);
    }
    for (size_t i = 0; i < x->count; i++) {
        if (!contains(changes, count, &x->records[i]->data_centre)) {
            lift(x, x->records[i], revision, now_ms);
        }
    }
    set_complete(x, revision);
}

void
rg_evacuations_set_incomplete(struct rg_evacuations *x)
{
    x->is_complete = false;
}

bool
rg_evacuations_are_complete(const struct rg_evacuations *x)
{
    return x->is_complete;
}

/* --- queries ------------------------------------------------------------- */

size_t
rg_evacuations_count(const struct rg_evacuations *x)
{
    return x->count;
}

const struct rg_evacuation *
rg_evacuations_at(const struct rg_evacuations *x, size_t i)
{
    return x->records[i];
}

size_t
rg_evacuations_in_force(const struct rg_evacuations *x)
{
    size_t count = 0;

    for (size_t i = 0; i < x->count; i++) {
        count += x->records[i]->in_force;
    }
    return count;
}

bool
rg_evacuations_are_returning(const struct rg_evacuations *x)
{
    for (size_t i = 0; i < x->count; i++) {
        if (x->records[i]->returning) {
            return true;
        }
    }
    return false;
}

uint32_t
rg_evacuation_share(const struct rg_evacuation *e, uint64_t now_ms)
{
    if (e->in_force) {
        return 0;
    }
    if (!e->returning || is_return_complete(e, now_ms)) {
        return ALL_PERCENT;
    }
    uint64_t step =
        now_ms > e->since_ms ? (now_ms - e->since_ms) / RETURN_STEP_MS : 0;
    return ALL_PERCENT >> (RETURN_STEPS - step);
}

void
rg_evacuations_tick(struct rg_evacuations *x, uint64_t now_ms)
{
    for (size_t i = 0; i < x->count; i++) {
        struct rg_evacuation *e = x->records[i];
        if (e->returning && is_return_complete(e, now_ms)) {
            e->returning = false;
            log_change(x, e, "EVACUATION_OVER");
        }
    }
}

struct rg_evacuations *
rg_evacuations_create(const struct rg_log *log)
{
    struct rg_evacuations *x = rg_calloc(1, sizeof(*x));

    x->log = log;
    return x;
}

void
rg_evacuations_destroy(struct rg_evacuations *x)
{
    if (!x) {
        return;
    }
    for (size_t i = 0; i < x->count; i++) {
        free(x->records[i]);
    }
    free(x->records);
    free(x);
}
