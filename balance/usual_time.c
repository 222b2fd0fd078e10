#include "balance/usual_time.h"

#include <math.h>

/* Gain of both moving averages: about 20 answers. */
#define GAIN 0.05

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
rg_usual_time_ms(const struct rg_usual_time *u)
{
    return u->mean_ms + u->deviation_ms;
}
