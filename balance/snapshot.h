/* Snapshot of a view, sent from one instance to another: routes and upstreams
 * as a sequence of messages, each preceded by its length. Contains the whole
 * view or only what has changed. */
#ifndef RG_BALANCE_SNAPSHOT_H
#define RG_BALANCE_SNAPSHOT_H

#include <stdbool.h>
#include <stdint.h>

#include "balance/balancer.h"
#include "common/str.h"
#include "common/strbuf.h"

/* What the receiver already has. */
struct rg_snapshot_base {
    uint64_t version;  /* of its routes, 0: none; only newer routes are sent */
    uint64_t revision; /* 0: all upstreams are sent */
    bool provisional;  /* its view is; if that of the sender is not, all
                          upstreams are sent */
};

/* Appends the part of the view that is newer than `base`, as of `revision` of
 * the store. Contains all upstreams if the pool no longer knows which ones
 * ended since `base`. */
void rg_snapshot_write(struct rg_balancer *b, uint64_t revision,
                       const struct rg_snapshot_base *base, uint64_t now_ms,
                       struct rg_strbuf *out);

/* Applies what is newer in the snapshot than in the own view. One of a
 * provisional view is applied as a provisional listing is, unless the own view
 * is settled in the same era. A complete one of a settled view settles the own
 * one in the same or an older era. `revision` is
 * that of the own view and is raised to that of the snapshot. Returns false
 * and changes nothing if `bytes` is not a complete, valid snapshot, or if its
 * base is newer than the own view, which would then miss changes. */
bool rg_snapshot_read(struct rg_balancer *b, struct rg_str bytes,
                      uint64_t *revision, uint64_t now_ms);

#endif
