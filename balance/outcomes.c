#include "balance/outcomes.h"

#include <string.h>

/* Spans that have ended since the current one began. */
static uint64_t
spans_ended(const struct rg_outcomes *o, uint64_t now_ms)
{
    return (now_ms - o->span_ms) / RG_OUTCOMES_WINDOW_MS;
}

static void
turn(struct rg_outcomes *o, uint64_t now_ms)
{
    uint64_t ended = spans_ended(o, now_ms);

    if (ended == 0) {
        return;
    }
    if (ended == 1) {
        memcpy(o->before, o->now, sizeof(o->before));
        o->span_ms += RG_OUTCOMES_WINDOW_MS;
    }
    else {
        memset(o->before, 0, sizeof(o->before));
        o->span_ms = now_ms;
    }
    memset(o->now, 0, sizeof(o->now));
}

void
rg_outcomes_add(struct rg_outcomes *o, enum rg_outcome kind, uint64_t now_ms)
{
    turn(o, now_ms);
    o->now[kind]++;
    o->last_ms[kind] = now_ms;
}

uint32_t
rg_outcomes_count(const struct rg_outcomes *o, enum rg_outcome kind,
                  uint64_t now_ms)
{
    switch (spans_ended(o, now_ms)) {
    case 0:
        return o->now[kind] + o->before[kind];
    case 1:
        return o->now[kind];
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
    memset(o->now, 0, sizeof(o->now));
    memset(o->before, 0, sizeof(o->before));
}
