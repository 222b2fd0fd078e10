/* Estimate of the fleet's size where each instance knows only a part of it.
 *
 * Keeps the smallest hashes of the instance names it has learned, with the
 * time of their last activity: the more instances there are, the denser are
 * their hashes (a k-minimum-values sketch). Exact while all hashes fit, within
 * a fifth of the true size beyond that. No I/O; the time is passed in; one
 * owner. */
#ifndef RG_BALANCE_FLEET_SIZE_H
#define RG_BALANCE_FLEET_SIZE_H

#include <stddef.h>
#include <stdint.h>

#include "common/addr.h"

#define RG_FLEET_SIZE_HASHES_MAX 64
/* An instance counts as gone after this time without activity. In a large
 * fleet it takes a while until the activity of one instance is reported to
 * another. */
#define RG_FLEET_SIZE_EXPIRY_MS 60000

struct rg_fleet_size_entry {
    uint32_t hash;
    struct rg_addr addr; /* where peers reach it; port 0: not known */
    uint64_t active_ms;
};

/* Zero-initialised it is empty. */
struct rg_fleet_size {
    size_t count;
    struct rg_fleet_size_entry entries[RG_FLEET_SIZE_HASHES_MAX]; /* by hash */
};

/* The instance whose name has this hash was active at `active_ms`. */
void rg_fleet_size_add(struct rg_fleet_size *s, uint32_t hash,
                       uint64_t active_ms, uint64_t now_ms);
/* The same, with its address. */
void rg_fleet_size_add_entry(struct rg_fleet_size *s,
                             const struct rg_fleet_size_entry *entry,
                             uint64_t now_ms);

/* Removes instances that are gone. */
void rg_fleet_size_expire(struct rg_fleet_size *s, uint64_t now_ms);

/* Estimated number of instances. */
size_t rg_fleet_size_estimate(const struct rg_fleet_size *s);

#endif
