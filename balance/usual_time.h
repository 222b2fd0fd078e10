/* How long the requests at an upstream or a service usually take, over all
 * routes: mean and mean deviation. A route with few requests, or one whose
 * upstreams serve heavier ones as well, does not show that by its own
 * answers. */
#ifndef RG_BALANCE_USUAL_TIME_H
#define RG_BALANCE_USUAL_TIME_H

/* Zero-initialise it. */
struct rg_usual_time {
    double mean_ms; /* moving average, 0: no answer yet */
    double deviation_ms;
};

void rg_usual_time_add(struct rg_usual_time *u, double ms);

/* Mean plus deviation, 0 before the first answer. */
double rg_usual_time_ms(const struct rg_usual_time *u);

#endif
