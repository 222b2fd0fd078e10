/* Seeded pseudo-random numbers (splitmix64) and a 64-bit mixing function. Not
 * for cryptography. */
#ifndef RG_COMMON_RAND_H
#define RG_COMMON_RAND_H

#include <stdint.h>

/* A splitmix64 generator. Not thread-safe. */
struct rg_rand {
    uint64_t state;
};

/* The finaliser of splitmix64: a bijection in which every input bit affects
 * all output bits. */
static inline uint64_t
rg_mix64(uint64_t x)
{
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

static inline uint64_t
rg_rand_next(struct rg_rand *r)
{
    r->state += 0x9e3779b97f4a7c15ULL;
    return rg_mix64(r->state);
}

/* A number uniform in [0, bound), or 0 if `bound` is 0. */
static inline uint32_t
rg_rand_below(struct rg_rand *r, uint32_t bound)
{
    return (uint32_t)(((rg_rand_next(r) >> 32) * bound) >> 32);
}

#endif
