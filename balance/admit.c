#include "balance/admit.h"

/* An answer counts as slow from this share of its latency target on. */
#define SLOW_TARGET_SHARE 0.7
/* A share of slow answers up to this one is chance, not a queue. */
#define SLOW_SHARE_MAX 0.25
/* Gain of the moving averages, for each tick. */
#define GAIN 0.3
/* Share of the remaining time to the target that may be spent waiting, on a
 * route that shares the service with routes of higher priority. */
#define WAIT_SHARE_LOW_PRIORITY 0.9
/* Decay of the counts of openings per tick; they cover about two seconds. */
#define OPENINGS_DECAY 0.95
/* A count below this one means no recent openings. */
#define OPENINGS_MIN 0.5

static uint32_t
priority_class(uint32_t priority)
{
    return priority < RG_ADMIT_PRIORITIES ? priority : RG_ADMIT_PRIORITIES - 1;
}

void
rg_admit_answered(struct rg_admit *a, const struct rg_admit_answer *answer)
{
    a->answers++;
    a->waited_ms += answer->waited_ms;
    a->slow += answer->target_ms != 0 &&
               answer->total_ms > SLOW_TARGET_SHARE * answer->target_ms;
    a->open -= a->open > 0 ? 1 : 0;
}

bool
rg_admit_is_overloaded(const struct rg_admit *a)
{
    return a->slow_share > SLOW_SHARE_MAX;
}

bool
rg_admit_needs_load(const struct rg_admit *a)
{
    return a->slow > 0 || rg_admit_is_overloaded(a);
}

void
rg_admit_tick(struct rg_admit *a, uint32_t ms,
              const struct rg_admit_load *load)
{
    a->rate += GAIN * ((double)a->answers / ms - a->rate);
    /* Little's law. Only completed requests count, not those that hang. */
    a->busy += GAIN * (a->waited_ms / ms - a->busy);
    double slow = a->answers ? (double)a->slow / a->answers : 0;
    a->slow_share += GAIN * (slow - a->slow_share);
    a->full = a->slow_share > SLOW_SHARE_MAX && a->busy >= load->slots;
    a->open = load->open;
    a->answers = 0;
    a->slow = 0;
    a->waited_ms = 0;
    for (int i = 0; i < RG_ADMIT_PRIORITIES; i++) {
        a->openings[i] *= OPENINGS_DECAY;
    }
}

static bool
has_higher_priority(const struct rg_admit *a, uint32_t class)
{
    for (uint32_t i = 0; i < class; i++) {
        if (a->openings[i] > OPENINGS_MIN) {
            return true;
        }
    }
    return false;
}

bool
rg_admit_opening(struct rg_admit *a, uint32_t priority, double wait_ms)
{
    uint32_t class = priority_class(priority);
    double share = has_higher_priority(a, class) ? WAIT_SHARE_LOW_PRIORITY : 1;

    a->openings[class]++;
    if (a->full && a->open + 1 > share * wait_ms * a->rate) {
        return false;
    }
    a->open++;
    return true;
}
