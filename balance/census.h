/* An estimate of how many instances there are, where each knows only some.
 *
 * Keeps the smallest hashes of names heard of, with the time they were last
 * active: the more instances, the closer together these lie. Exact as long as
 * all fit, within a fifth beyond. No I/O; time is passed in; one owner. */
#ifndef RG_BALANCE_CENSUS_H
#define RG_BALANCE_CENSUS_H

#include <stddef.h>
#include <stdint.h>

#define RG_CENSUS_MAX 64
/* An instance not active for this long has gone: in a large fleet it takes
 * some time until one hears of another. */
#define RG_CENSUS_LIFE_MS 60000

struct rg_census_entry {
    uint32_t hash;
    uint64_t active_ms;
};

/* Zero-initialised: nobody. */
struct rg_census {
    size_t count;
    struct rg_census_entry entries[RG_CENSUS_MAX]; /* by hash */
};

/* The instance with this hash was active then. */
void rg_census_add(struct rg_census *c, uint32_t hash, uint64_t active_ms,
                   uint64_t now_ms);

/* Forgets those that have gone. */
void rg_census_expire(struct rg_census *c, uint64_t now_ms);

/* Instances, by what is known. */
size_t rg_census_size(const struct rg_census *c);

#endif
