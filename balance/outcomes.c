#include "balance/outcomes.h"

#include <string.h>

/* Windows that have ended since the current one began. */
static uint64_t
windows_ended(const struct rg_outcomes *o, uint64_t now_ms)
{
    return (now_ms - o->window_start_ms) / RG_OUTCOMES_WINDOW_MS;
}

static void
rotate(struct rg_outcomes *o, uint64_t now_ms)
{
    uint64_t ended = windows_ended(o, now_ms);

    if (ended == 0) {
        return;
    }
    if (ended == 1) {
        memcpy(o->previous, o->current, sizeof(o->previous));
        o->window_start_ms += RG_OUTCOMES_WINDOW_MS;
    }
    else {
        memset(o->previous, 0, sizeof(o->previous));
        o->window_start_ms = now_ms;
    }
    memset(o->current, 0, sizeof(o->current));
}

void
rg_outcomes_add_at(struct rg_outcomes *o, enum rg_outcome kind, uint64_t at_ms,
                   uint64_t now_ms)
{
    rotate(o, now_ms);
    o->current[kind]++;
    if (at_ms > o->last_ms[kind]) {
        o->last_ms[kind] = at_ms;
    }
}

void
rg_outcomes_add(struct rg_outcomes *o, enum rg_outcome kind, uint64_t now_ms)
{
    rg_outcomes_add_at(o, kind, now_ms, now_ms);
}

uint32_t
rg_outcomes_count(const struct rg_outcomes *o, enum rg_outcome kind,
                  uint64_t now_ms)
{
    switch (windows_ended(o, now_ms)) {
    case 0:
        return o->current[kind] + o->previous[kind];
    case 1:
        return o->current[kind];
    default:
        return 0;
    }
}

double
rg_outcomes_failure_rate(const struct rg_outcomes *o, uint64_t now_ms)
{
    uint32_t answered = rg_outcomes_count(o, RG_OUTCOME_ANSWERED, now_ms);
    uint32_t failed = rg_outcomes_count(o, RG_OUTCOME_FAILED, now_ms);

    return failed == 0 ? 0 : (double)failed / (answered + failed);
}

void
rg_outcomes_clear(struct rg_outcomes *o)
{
    memset(o->current, 0, sizeof(o->current));
    memset(o->previous, 0, sizeof(o->previous));
}
