#include "balance/admit.h"

/* An answer counts as slow from this share of its target on. */
#define SLOW_FROM 0.7
/* Share of slow answers that is chance, not a queue. */
#define SLOW_ALLOWED 0.25
/* Share of a tick in the running figures. */
#define GAIN 0.3
/* Share of the time to the target that the expected wait may take on a route
 * that more important ones share the service with. */
#define WAIT_MOST_OUTRANKED 0.9
/* What remains of the counts of openings after a tick: they span two
 * seconds. */
#define ASKED_KEPT 0.95
/* Fewer recent openings of a priority are none. */
#define ASKED_LEAST 0.5

static uint32_t
class_of(uint32_t priority)
{
    return priority < RG_ADMIT_PRIORITIES ? priority : RG_ADMIT_PRIORITIES - 1;
}

void
rg_admit_answered(struct rg_admit *a, const struct rg_admit_answer *answer)
{
    a->answers++;
    a->waited_ms += answer->waited_ms;
    a->slow += answer->target_ms != 0 &&
               answer->total_ms > SLOW_FROM * answer->target_ms;
    a->open -= a->open > 0 ? 1 : 0;
}

bool
rg_admit_is_overloaded(const struct rg_admit *a)
{
    return a->slow_share > SLOW_ALLOWED;
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
    /* Little's law: only work that gets done counts, not what hangs. */
    a->busy += GAIN * (a->waited_ms / ms - a->busy);
    double slow = a->answers ? (double)a->slow / a->answers : 0;
    a->slow_share += GAIN * (slow - a->slow_share);
    a->full = a->slow_share > SLOW_ALLOWED && a->busy >= load->slots;
    a->open = load->open;
    a->answers = 0;
    a->slow = 0;
    a->waited_ms = 0;
    for (int i = 0; i < RG_ADMIT_PRIORITIES; i++) {
        a->asked[i] *= ASKED_KEPT;
    }
}

static bool
is_outranked(const struct rg_admit *a, uint32_t class)
{
    for (uint32_t i = 0; i < class; i++) {
        if (a->asked[i] > ASKED_LEAST) {
            return true;
        }
    }
    return false;
}

bool
rg_admit_opening(struct rg_admit *a, uint32_t priority, double wait_ms)
{
    uint32_t class = class_of(priority);
    double share = is_outranked(a, class) ? WAIT_MOST_OUTRANKED : 1;

    a->asked[class]++;
    if (a->full && a->open + 1 > share * wait_ms * a->rate) {
        return false;
    }
    a->open++;
    return true;
}
