/* A view passed from one instance to another: routes and upstreams as a run of
 * messages, each behind its length. Whole, or only what has changed. */
#ifndef RG_BALANCE_SNAPSHOT_H
#define RG_BALANCE_SNAPSHOT_H

#include <stdbool.h>
#include <stdint.h>

#include "balance/balancer.h"
#include "common/str.h"
#include "common/strbuf.h"

/* What the receiver has. */
struct rg_snapshot_base {
    uint64_t version;  /* routes older than this are left out, 0: none held */
    uint64_t revision; /* 0: all upstreams are wanted */
};

/* Appends the balancer's view as of the store's `revision`, as far as it is
 * newer than `base`. Falls back to all upstreams if it no longer knows what
 * ended since. */
void rg_snapshot_write(struct rg_balancer *b, uint64_t revision,
                       const struct rg_snapshot_base *base, uint64_t now_ms,
                       struct rg_strbuf *out);

/* Takes over what is newer in a view from another instance. `revision` is of
 * the own view and is raised to that of the transfer. Returns false, having
 * changed nothing, if the bytes are not a whole view. */
bool rg_snapshot_read(struct rg_balancer *b, struct rg_str bytes,
                      uint64_t *revision, uint64_t now_ms);

#endif
