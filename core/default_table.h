/* The default table of one service maps a flow hash to an upstream. It is
 * filled by weighted rendezvous hashing: instances with the same upstreams map
 * a hash to the same one, and few hashes move when upstreams change.
 *
 * Not thread-safe. A zeroed struct is an empty table. */
#ifndef RG_CORE_DEFAULT_TABLE_H
#define RG_CORE_DEFAULT_TABLE_H

#include <stddef.h>
#include <stdint.h>

struct rg_default_table_member {
    uint64_t id;     /* the upstream's identity, input of the hash */
    uint32_t slot;   /* returned for hashes that map to it */
    uint32_t weight; /* 100 for a full share, at least 1 */
};

struct rg_default_table {
    uint16_t *entries; /* offsets into members */
    uint32_t size;     /* power of two, 0 if there are no members */
    struct rg_default_table_member *members; /* may take new flows */
    uint32_t member_count;
    uint64_t signature; /* hash of the members, to detect a change */
};

/* Sets the members and takes ownership of the array, which may be empty. The
 * entries are computed again only if the members have changed. */
void rg_default_table_set(struct rg_default_table *t,
                          struct rg_default_table_member *members,
                          uint32_t count);
void rg_default_table_clear(struct rg_default_table *t);

/* Slot of the n-th candidate for a hash, counted from 0, which is the default.
 * Candidates may repeat. The table must not be empty. */
uint32_t rg_default_table_pick(const struct rg_default_table *t, uint64_t hash,
                               uint32_t n);

#endif
