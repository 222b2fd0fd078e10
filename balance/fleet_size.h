/* An estimate of how many instances there are, where each knows only some.
 *
 * Keeps the smallest hashes of names heard of, with the time they were last
 * active: the more instances, the closer together these lie. Exact as long as
 * all fit, within a fifth beyond. No I/O; time is passed in; one owner. */
#ifndef RG_BALANCE_FLEET_SIZE_H
#define RG_BALANCE_FLEET_SIZE_H

#include <stddef.h>
#include <stdint.h>

#define RG_FLEET_SIZE_HASHES_MAX 64
/* An instance not active for this long has gone: in a large fleet it takes
 * some time until one hears of another. */
#define RG_FLEET_SIZE_EXPIRY_MS 60000

struct rg_fleet_size_entry {
    uint32_t hash;
    uint64_t active_ms;
};

/* Zero-initialised: nobody. */
struct rg_fleet_size {
    size_t count;
    struct rg_fleet_size_entry entries[RG_FLEET_SIZE_HASHES_MAX]; /* by hash */
};

/* The instance with this hash was active then. */
void rg_fleet_size_add(struct rg_fleet_size *c, uint32_t hash,
                       uint64_t active_ms, uint64_t now_ms);

/* Forgets those that have gone. */
void rg_fleet_size_expire(struct rg_fleet_size *c, uint64_t now_ms);

/* Instances, by what is known. */
size_t rg_fleet_size_estimate(const struct rg_fleet_size *c);

#endif
