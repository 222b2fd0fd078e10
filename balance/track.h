/* Recent flows of this instance: what it needs to count open work, to tell an
 * opening from its copies, and to learn from callers how upstreams do.
 *
 * Nothing here is needed to forward a packet: an untracked flow is steered by
 * its token alone. Bounded; one owner; no I/O. */
#ifndef RG_BALANCE_TRACK_H
#define RG_BALANCE_TRACK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/pool.h"
#include "balance/segment.h"

/* Upstreams tried for one opening: the first and one for each copy. */
#define RG_TRACK_TRIES_MAX 3

#define RG_TRACK_UNANSWERED UINT32_MAX

enum rg_track_state {
    RG_TRACK_OPENING, /* no packet but openings yet */
    RG_TRACK_IDLE,    /* open, no request waits for an answer */
    RG_TRACK_REQUEST, /* a request waits for its answer */
    RG_TRACK_CLOSED,  /* the caller closed or reset it, or it was reset */
};

struct rg_track {
    struct rg_flow_id flow;
    struct rg_boot *boot; /* upstream now; NULL: the entry is free */
    struct rg_boot *tried[RG_TRACK_TRIES_MAX]; /* before this one, or NULL */
    uint64_t since_ms;                         /* when the state began */
    uint64_t last_ms;                          /* last packet */
    uint32_t last_seq;                         /* of the last data */
    uint32_t last_ack;
    uint32_t request_ack; /* last_ack when the request was sent */
    uint32_t answer_ms;   /* of the last request, RG_TRACK_UNANSWERED: none */
    uint8_t state;        /* enum rg_track_state */
    uint8_t repeats;      /* the last data came again this often */
    bool overdue;         /* its request has been counted as failed */
    bool probe;           /* it shows whether its upstream is back */
};

struct rg_tracks;

struct rg_tracks *rg_tracks_create(size_t most);
void rg_tracks_destroy(struct rg_tracks *t);

struct rg_track *rg_tracks_find(const struct rg_tracks *t,
                                const struct rg_flow_id *flow);

/* A new entry; NULL if the table is full. Pointers to other entries are no
 * longer valid. The caller sets `boot` before any other call. */
struct rg_track *rg_tracks_add(struct rg_tracks *t,
                               const struct rg_flow_id *flow);

/* Calls `expired` for each entry and removes those for which it returns true.
 * `expired` must not add entries. */
void rg_tracks_sweep(struct rg_tracks *t,
                     bool (*expired)(void *ctx, struct rg_track *track),
                     void *ctx);

size_t rg_tracks_count(const struct rg_tracks *t);

#endif
