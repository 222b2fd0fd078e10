#include "balance/cold_start.h"

#include <math.h>

#include "balance/fleet_size.h"
#include "common/rand.h"

#define SECOND_MS 1000
/* Openings that were sent further apart may arrive within one second: the time
 * on the way varies by about this. */
#define JITTER_MS 50
/* Length of a turn. Short compared to a second, so that few openings of
 * earlier turns fall into it; long enough that an instance has an opening to
 * send. */
#define WINDOW_MS 100
/* Windows that overlap with one second, jitter included. */
#define WINDOWS_MAX (SECOND_MS / WINDOW_MS + 2)
/* Negative logarithm of the probability that turns drawn by chance exceed the
 * limit in a second: one in a million, or less. */
#define CHANCE_EXPONENT 13.8
#define BISECTIONS 40

/* A partition or an outage that lasts longer than this is noticed and ended by
 * operators. */
#define KNOWN_PERIOD_MS (10 * 60 * 1000)
/* Estimates of larger fleets are within a fifth of the true size. */
#define ESTIMATE_FACTOR 1.25

/* Greatest mean of a sum of independent draws that reaches `count` with no
 * more than the accepted chance, by the bound of Chernoff. */
static double
mean_below(double count)
{
    double low = 0;
    double high = count;

    for (int i = 0; i < BISECTIONS; i++) {
        double mean = (low + high) / 2;
        double exponent = count * log(count / mean) - count + mean;
        if (exponent >= CHANCE_EXPONENT) {
            low = mean;
        }
        else {
            high = mean;
        }
    }
    return low;
}

/* With few instances each may send `each` openings in any second. */
static uint32_t
interval_ms(double per_s, uint32_t each, size_t instances)
{
    double for_limit = (double)(SECOND_MS + JITTER_MS) / each;
    double for_rate = SECOND_MS * (double)instances / per_s;

    return (uint32_t)ceil(fmin(fmax(for_limit, for_rate), UINT32_MAX));
}

void
rg_cold_start_set(struct rg_cold_start *c, const struct rg_cold_bounds *bounds,
                  double per_s, size_t instances)
{
    double limit = floor(per_s * bounds->overrun + bounds->slack);

    *c = (struct rg_cold_start){.per_s = per_s, .instances = instances};
    if (per_s <= 0 || instances == 0) {
        return;
    }
    if (limit >= (double)instances) {
        double each = fmin(limit / (double)instances, SECOND_MS);
        c->interval_ms = interval_ms(per_s, (uint32_t)each, instances);
        return;
    }
    double turns_per_s =
        mean_below(limit + 1) / WINDOWS_MAX * ((double)SECOND_MS / WINDOW_MS);
    c->turn =
        fmin(turns_per_s, per_s) * WINDOW_MS / (SECOND_MS * (double)instances);
}

bool
rg_cold_start_applies(const struct rg_cold_start *c,
                      const struct rg_endpoint *e, uint64_t now_ms)
{
    return c && c->per_s > 0 && now_ms < e->cold_until_ms;
}

static bool
has_turn(const struct rg_cold_start *c, const struct rg_endpoint *e,
         uint64_t self, uint64_t now_ms)
{
    uint64_t window = now_ms / WINDOW_MS;
    uint64_t draw = rg_mix64(rg_mix64(self ^ rg_mix64(e->token)) ^ window);

    return e->cold_opening_ms / WINDOW_MS != window &&
           (double)(draw >> 11) < c->turn * (double)(1ULL << 53);
}

bool
rg_cold_start_allows(const struct rg_cold_start *c,
                     const struct rg_endpoint *e, uint64_t self,
                     uint64_t now_ms)
{
    if (!rg_cold_start_applies(c, e, now_ms)) {
        return true;
    }
    if (c->interval_ms != 0) {
        return e->cold_opening_ms == 0 ||
               now_ms >= e->cold_opening_ms + c->interval_ms;
    }
    return has_turn(c, e, self, now_ms);
}

void
rg_instances_known_add(struct rg_instances_known *k, size_t instances,
                       uint64_t now_ms)
{
    if (now_ms >= k->since_ms + KNOWN_PERIOD_MS) {
        k->most_before = k->most;
        k->most = 0;
        k->since_ms = now_ms;
    }
    if (instances > k->most) {
        k->most = instances;
    }
}

size_t
rg_instances_known_bound(const struct rg_instances_known *k)
{
    size_t most = k->most > k->most_before ? k->most : k->most_before;

    return most <= RG_FLEET_SIZE_HASHES_MAX
               ? most
               : (size_t)ceil((double)most * ESTIMATE_FACTOR);
}
