/* Choice of the homes of a flow: the instances, in any data centre, that rank
 * first by a hash of their name and the flow (rendezvous hashing).
 *
 * All instances choose the same ones as far as they know the same others. In a
 * small fleet these are the ones that were active lately, as digests tell; in
 * a large one peers know different parts of it, and those that are registered
 * in the store count. No I/O; no state. */
#ifndef RG_BALANCE_HOME_CHOICE_H
#define RG_BALANCE_HOME_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/fleet_size.h"
#include "balance/instances.h"
#include "common/addr.h"

#define RG_FLOW_HOMES_MAX 3
/* From this number of registered instances on a fleet is large. */
#define RG_LARGE_FLEET 48

/* An instance that keeps what others tell of a flow. */
struct rg_flow_home {
    uint32_t id; /* hash of its name, see rg_peers_id() */
    struct rg_addr addr;
    bool self; /* this instance */
};

/* Instances to choose from; all pointers are borrowed. */
struct rg_home_candidates {
    struct rg_addr self;
    const struct rg_fleet_size *active; /* only those with an address */
    uint64_t active_since_ms;           /* others are not active any more */
    const struct rg_instances *registered;
    uint64_t now_ms;
};

/* Returns the number of homes. */
size_t rg_home_choice(const struct rg_home_candidates *candidates,
                      uint32_t flow_hash,
                      struct rg_flow_home out[RG_FLOW_HOMES_MAX]);

#endif
