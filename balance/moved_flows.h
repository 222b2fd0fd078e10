/* Evidence that the fabric has moved flows to this instance.
 *
 * A caller's first packet here is then an acknowledgement: its request passed
 * another instance, which will not see the answer acknowledged. A flow that is
 * not tracked for another reason, because its entry expired while it was idle,
 * begins again with data or with its end, and is no evidence. Single flows are
 * none either. Bounded; no I/O. */
#ifndef RG_BALANCE_MOVED_FLOWS_H
#define RG_BALANCE_MOVED_FLOWS_H

#include <stdbool.h>
#include <stdint.h>

/* Untracked flows that are remembered, so that each counts once. Those that
 * find their place taken are no evidence. */
#define RG_MOVED_SEEN_MAX 4096
/* This many flows within RG_MOVED_WINDOW_MS are evidence of a move. */
#define RG_MOVED_MIN_FLOWS 3
#define RG_MOVED_WINDOW_MS 500

struct rg_moved_seen {
    uint32_t hash;
    uint32_t at_ms;    /* low bits of the time of its last packet, 0: free */
    uint32_t since_ms; /* the same of its first one */
    uint32_t seq;      /* of the last packet */
};

/* Zero-initialise it. */
struct rg_moved_flows {
    struct rg_moved_seen seen[RG_MOVED_SEEN_MAX];
    uint64_t arrived_ms[RG_MOVED_MIN_FLOWS]; /* of the last flows, in turn */
    uint32_t next;                           /* of these, replaced next */
    uint64_t ignore_until_ms;
    uint64_t last_ms; /* last move known, seen here or reported, 0: never */
    bool unsent;      /* seen here and not sent to any peer yet */
};

#endif
