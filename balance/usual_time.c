#include "balance/usual_time.h"

#include <math.h>

/* Gain of both moving averages: about 20 answers. */
#define GAIN 0.05
/* Half-life of the longest time. */
#define LONGEST_HALF_LIFE_MS 2000.0

void
rg_usual_time_add(struct rg_usual_time *u, double ms)
{
    if (u->mean_ms == 0) {
        u->mean_ms = ms;
        return;
    }
    u->deviation_ms += GAIN * (fabs(ms - u->mean_ms) - u->deviation_ms);
    u->mean_ms += GAIN * (ms - u->mean_ms);
}

double
rg_usual_time_longest_ms(const struct rg_usual_time *u, uint64_t now_ms)
{
    double age_ms = (double)(now_ms - u->longest_at_ms);

    return u->longest_ms * exp2(-age_ms / LONGEST_HALF_LIFE_MS);
}

void
rg_usual_time_note_begun(struct rg_usual_time *u, double ms, uint64_t now_ms)
{
    if (ms > rg_usual_time_longest_ms(u, now_ms)) {
        u->longest_ms = ms;
        u->longest_at_ms = now_ms;
    }
}

double
rg_usual_time_ms(const struct rg_usual_time *u)
{
    return u->mean_ms + u->deviation_ms;
}
