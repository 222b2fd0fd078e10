/* A whole view passed from one instance to another: routes and upstreams as a
 * run of messages, each behind its length. */
#ifndef RG_BALANCE_TRANSFER_H
#define RG_BALANCE_TRANSFER_H

#include <stdbool.h>
#include <stdint.h>

#include "balance/balancer.h"
#include "common/str.h"
#include "common/text.h"

/* Appends the balancer's view as of the store's `revision`. */
void rg_transfer_write(struct rg_balancer *b, uint64_t revision,
                       uint64_t now_ms, struct rg_text *out);

/* Takes over what is newer in a view from another instance. `revision` is of
 * the own view and is raised to that of the transfer. Returns false, having
 * changed nothing, if the bytes are not a whole view. */
bool rg_transfer_read(struct rg_balancer *b, struct rg_str bytes,
                      uint64_t *revision, uint64_t now_ms);

#endif
