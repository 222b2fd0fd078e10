/* Flow table: recent flows of this instance. They serve to count outstanding
 * work, to recognise retransmitted openings, and to learn from callers how
 * upstreams perform.
 *
 * Forwarding does not depend on it: an untracked flow is steered by its token
 * alone. Bounded; one owner; no I/O. */
#ifndef RG_BALANCE_TRACK_H
#define RG_BALANCE_TRACK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/pool.h"
#include "balance/segment.h"

/* Upstreams tried for one opening: the first and one for each
 * retransmission. */
#define RG_TRACK_TRIES_MAX 3

#define RG_TRACK_UNANSWERED UINT32_MAX

enum rg_track_state {
    RG_TRACK_OPENING, /* only openings seen so far */
    RG_TRACK_IDLE,    /* open, no outstanding request */
    RG_TRACK_REQUEST, /* a request waits for its answer */
    RG_TRACK_CLOSED,  /* closed or reset by the caller, or reset here */
};

struct rg_track {
    struct rg_flow_id flow;
    struct rg_boot *boot; /* now; NULL: the entry is free */
    struct rg_boot
        *tried[RG_TRACK_TRIES_MAX]; /* earlier ones, NULL if unused */
    uint64_t since_ms;              /* start of the current state */
    uint64_t last_ms;               /* last packet */
    uint32_t last_seq;              /* of the last data */
    uint32_t last_ack;
    uint32_t request_ack; /* value of last_ack when the request was sent */
    uint32_t answer_ms;   /* of the last request, or RG_TRACK_UNANSWERED */
    uint8_t state;        /* enum rg_track_state */
    uint8_t repeats;      /* retransmissions of the last data */
    bool overdue; /* the request must not be counted as failed any more */
    bool probe;   /* tests whether an outlier has recovered */
};

struct rg_tracks;

struct rg_tracks *rg_tracks_create(size_t most);
void rg_tracks_destroy(struct rg_tracks *t);

struct rg_track *rg_tracks_find(const struct rg_tracks *t,
                                const struct rg_flow_id *flow);

/* Adds an entry; NULL if the table is full. Invalidates pointers to other
 * entries. The caller must set `boot` before any other call. */
struct rg_track *rg_tracks_add(struct rg_tracks *t,
                               const struct rg_flow_id *flow);

/* Calls `expired` for each entry and removes those for which it returns true.
 * `expired` must not add entries. */
void rg_tracks_sweep(struct rg_tracks *t,
                     bool (*expired)(void *ctx, struct rg_track *track),
                     void *ctx);

size_t rg_tracks_count(const struct rg_tracks *t);

#endif
