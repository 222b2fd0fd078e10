/* Ranking of members for each bucket of the flow hash, by rendezvous hashing.
 *
 * Instances of a data centre that know the same members rank them alike.
 * Adding a member computes only its own score for each bucket, not those of
 * the other members. Removing one ranks anew only the buckets whose chain
 * contains it. */
#ifndef RG_CORE_RANK_H
#define RG_CORE_RANK_H

#include <stdbool.h>
#include <stdint.h>

#define RG_RANK_BITS 14
#define RG_RANK_BUCKETS (1u << RG_RANK_BITS)
/* Members kept for each bucket: the owner, the replica, and further instances
 * to ask for a record. */
#define RG_RANK_CHAIN 5
#define RG_RANK_NONE UINT16_MAX

struct rg_rank;

struct rg_rank *rg_rank_create(void);
void rg_rank_destroy(struct rg_rank *r);

/* Adds a member. `slot` is the caller's number for it and must not be present;
 * its scores are hashes of its identity `id`. `now_ms` becomes the time of
 * change of each bucket whose owner changes. */
void rg_rank_add(struct rg_rank *r, uint16_t slot, uint64_t id,
                 uint32_t now_ms);

/* Removes a member; does nothing if it is not present. */
void rg_rank_remove(struct rg_rank *r, uint16_t slot, uint32_t now_ms);

bool rg_rank_has(const struct rg_rank *r, uint16_t slot);

static inline uint32_t
rg_rank_bucket(uint64_t hash)
{
    return (uint32_t)(hash >> (64 - RG_RANK_BITS));
}

/* The members of a bucket, best first: RG_RANK_CHAIN slots, padded with
 * RG_RANK_NONE. Valid until the next change. */
const uint16_t *rg_rank_chain(const struct rg_rank *r, uint32_t bucket);

/* When the owner of the bucket last changed. */
uint32_t rg_rank_changed_ms(const struct rg_rank *r, uint32_t bucket);

#endif
