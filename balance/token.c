#include "balance/token.h"

#include <xxhash.h>

#include "common/rand.h"

/* Keeps the mask of an opening apart from other uses of the mixing function.
 */
#define OPENING_SALT 0x6f70656e696e67ULL

uint32_t
rg_token_of(struct rg_str upstream_id, uint64_t boot_ms)
{
    uint64_t hash = XXH64(upstream_id.ptr, upstream_id.len, boot_ms);
    uint32_t token = (uint32_t)(hash ^ (hash >> 32));

    return token == RG_TOKEN_NONE ? 1 : token;
}

uint32_t
rg_token_of_opening(uint32_t token, uint32_t opening_seq)
{
    return token ^ (uint32_t)(rg_mix64(opening_seq ^ OPENING_SALT) >> 32);
}
