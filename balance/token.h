/* Routing tokens: 32 bits that name one endpoint, that is one incarnation of
 * an upstream.
 *
 * Every instance derives the same token from the upstream's entry, so that
 * tokens need not be exchanged. A token never names two endpoints that an
 * instance knows; for collisions see rg_pool_update(). */
#ifndef RG_BALANCE_TOKEN_H
#define RG_BALANCE_TOKEN_H

#include <stdint.h>

#include "common/str.h"

/* No endpoint; sent by a caller that has not received a token yet. */
#define RG_TOKEN_NONE 0

uint32_t rg_token_of(struct rg_str upstream_id, uint64_t boot_ms);

/* The token that is written into an opening in place of the endpoint's own,
 * and the reverse. It depends on the caller's initial sequence number, so that
 * it can be told from the token of an open flow: an upstream repeats the last
 * token that it got, hence this one only while it has had nothing but the
 * opening. */
uint32_t rg_token_of_opening(uint32_t token, uint32_t opening_seq);

#endif
