/* Routing tokens: 32 bits that name one boot of one upstream.
 *
 * Every instance derives the same token from what the upstream says of itself,
 * so that none has to tell another. A token never names two boots that an
 * instance knows: see rg_pool_update() for collisions. */
#ifndef RG_BALANCE_TOKEN_H
#define RG_BALANCE_TOKEN_H

#include <stdint.h>

#include "common/str.h"

/* No upstream: what a caller sends before it has an answer. */
#define RG_TOKEN_NONE 0

uint32_t rg_token_of(struct rg_str upstream_id, uint64_t boot_ms);

#endif
