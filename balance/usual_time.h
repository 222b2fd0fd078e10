/* How long the requests at an upstream or a service usually take, over all
 * routes: mean, mean deviation, and longest of late. A route with few
 * requests, or one whose upstreams serve heavier ones as well, does not show
 * that by its own answers. */
#ifndef RG_BALANCE_USUAL_TIME_H
#define RG_BALANCE_USUAL_TIME_H

#include <stdint.h>

/* Zero-initialise it. */
struct rg_usual_time {
    double mean_ms; /* moving average, 0: no answer yet */
    double deviation_ms;
    double longest_ms; /* longest of late, decays */
    uint64_t longest_at_ms;
};

void rg_usual_time_add(struct rg_usual_time *u, double ms);
/* An answer begins, `ms` after its request. */
void rg_usual_time_note_begun(struct rg_usual_time *u, double ms,
                              uint64_t now_ms);

/* Mean plus deviation, 0 before the first answer. */
double rg_usual_time_ms(const struct rg_usual_time *u);

/* Longest time until an answer began in the last seconds. */
double rg_usual_time_longest_ms(const struct rg_usual_time *u,
                                uint64_t now_ms);

#endif
