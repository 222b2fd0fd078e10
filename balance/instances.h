/* Instances that are registered in the store: all of the fleet, of which peers
 * are only a part. Ordered by the revision of the store; an older change is
 * ignored. A registration that was removed stays known for a while, so that an
 * older message does not bring it back, and so that peers learn of it.
 * Bounded; no I/O; the time is passed in; one owner. */
#ifndef RG_BALANCE_INSTANCES_H
#define RG_BALANCE_INSTANCES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/addr.h"

#define RG_INSTANCES_MAX 4096
/* A removed registration still counts for this long: after a restore of the
 * store all are missing until they are written again. */
#define RG_INSTANCES_GRACE_MS 10000
/* It is forgotten after this time. */
#define RG_INSTANCES_REMOVED_KEPT_MS 120000

struct rg_instance {
    uint32_t id; /* hash of its name, see rg_peers_id() */
    struct rg_addr addr;
    uint64_t revision;   /* of the last change */
    uint64_t removed_ms; /* when its removal became known, 0: it is registered
                          */
    uint32_t listing;    /* number of the last listing that contained it */
};

struct rg_instances;

struct rg_instances *rg_instances_create(void);
void rg_instances_destroy(struct rg_instances *x);

/* The store, or a peer, has told of a registration or of its removal. */
void rg_instances_update(struct rg_instances *x, uint32_t id,
                         const struct rg_addr *addr, uint64_t revision);
void rg_instances_remove(struct rg_instances *x, uint32_t id,
                         uint64_t revision, uint64_t now_ms);

/* Applies a complete listing as of `revision`: what was not updated between
 * the two calls, and was registered by then, is removed; nothing with a
 * revision of 0, for a listing that may be older than what is known. */
void rg_instances_begin_listing(struct rg_instances *x);
void rg_instances_end_listing(struct rg_instances *x, uint64_t revision,
                              uint64_t now_ms);

/* True once a listing was complete. */
bool rg_instances_are_complete(const struct rg_instances *x);

/* All that are known, by position, with those that were removed. */
size_t rg_instances_count(const struct rg_instances *x);
const struct rg_instance *rg_instances_at(const struct rg_instances *x,
                                          size_t i);

/* True if the instance is registered, or was until lately. */
bool rg_instance_counts(const struct rg_instance *instance, uint64_t now_ms);

#endif
