/* Revisions of the store, ordered across its eras.
 *
 * A store that is restored from an older copy reissues revisions; its era, a
 * number that rises by one each time, tells them apart. Both are one number
 * here, the era in the upper bits, so that revisions are compared as before.
 * The store's own calls and the messages between instances carry them
 * separately. */
#ifndef RG_BALANCE_REVISION_H
#define RG_BALANCE_REVISION_H

#include <stdbool.h>
#include <stdint.h>

/* 2^44 revisions are 557 years of 1,000 changes a second. */
#define RG_REVISION_NUMBER_BITS 44
#define RG_REVISION_NUMBER_MAX ((UINT64_C(1) << RG_REVISION_NUMBER_BITS) - 1)
#define RG_REVISION_ERA_MAX                                                   \
    ((UINT32_C(1) << (64 - RG_REVISION_NUMBER_BITS)) - 1)

/* True if both parts can be represented. */
static inline bool
rg_revision_is_valid(uint32_t era, uint64_t number)
{
    return era <= RG_REVISION_ERA_MAX && number <= RG_REVISION_NUMBER_MAX;
}

/* Both parts must be valid. */
static inline uint64_t
rg_revision_make(uint32_t era, uint64_t number)
{
    return (uint64_t)era << RG_REVISION_NUMBER_BITS | number;
}

/* The same for parts received from elsewhere: 0 if they are not valid. */
static inline uint64_t
rg_revision_received(uint32_t era, uint64_t number)
{
    return rg_revision_is_valid(era, number) ? rg_revision_make(era, number)
                                             : 0;
}

static inline uint32_t
rg_revision_era(uint64_t revision)
{
    return (uint32_t)(revision >> RG_REVISION_NUMBER_BITS);
}

/* The store's own number. */
static inline uint64_t
rg_revision_number(uint64_t revision)
{
    return revision & RG_REVISION_NUMBER_MAX;
}

#endif
