#include "balance/token.h"

#include <xxhash.h>

uint32_t
rg_token_of(struct rg_str upstream_id, uint64_t boot_ms)
{
    uint64_t hash = XXH64(upstream_id.ptr, upstream_id.len, boot_ms);
    uint32_t token = (uint32_t)(hash ^ (hash >> 32));

    return token == RG_TOKEN_NONE ? 1 : token;
}
