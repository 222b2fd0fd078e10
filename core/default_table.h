/* The default table of one service: a hash leads to one of its upstreams, to
 * the same one on every instance that knows the same upstreams, and a change
 * moves few hashes. Weighted rendezvous hashing, worked out ahead.
 *
 * Owned by its user, who calls it from one thread. A zeroed struct is an empty
 * table. */
#ifndef RG_CORE_TABLE_H
#define RG_CORE_TABLE_H

#include <stddef.h>
#include <stdint.h>

struct rg_default_table_member {
    uint64_t id;     /* the upstream's identity, which places it */
    uint32_t slot;   /* what the table's user calls it */
    uint32_t weight; /* of 100 for a whole one, at least 1 */
};

struct rg_default_table {
    uint16_t *entries; /* offsets into members */
    uint32_t size;     /* power of two, 0 if there are no members */
    struct rg_default_table_member *members; /* that may take new flows */
    uint32_t member_count;
    uint64_t signature; /* of members and weights, to spot a change */
};

/* Gives the table these members; it takes ownership of the array, which may be
 * empty. Cheap when they are the same as before. */
void rg_default_table_set(struct rg_default_table *t,
                          struct rg_default_table_member *members,
                          uint32_t count);
void rg_default_table_clear(struct rg_default_table *t);

/* Slot of the n-th choice for a hash; the first is number 0. The table must
 * not be empty. */
uint32_t rg_default_table_pick(const struct rg_default_table *t, uint64_t hash,
                               uint32_t n);

#endif
