/* Recent flows of this instance: what it needs to count open work, to tell an
 * opening from its copies, and to learn from callers how upstreams do.
 *
 * Nothing here is needed to forward a packet: an untracked flow is steered by
 * its token alone. Bounded; one owner; no I/O. */
#ifndef RG_BALANCE_TRACKED_FLOWS_H
#define RG_BALANCE_TRACKED_FLOWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/pool.h"
#include "balance/segment.h"

/* Upstreams tried for one opening: the first and one for each copy. */
#define RG_TRACKED_TRIES_MAX 3

#define RG_TRACKED_UNANSWERED UINT32_MAX

enum rg_tracked_flow_state {
    RG_TRACKED_OPENING, /* no packet but openings yet */
    RG_TRACKED_IDLE,    /* open, no request waits for an answer */
    RG_TRACKED_REQUEST, /* a request waits for its answer */
    RG_TRACKED_CLOSED,  /* the caller closed or reset it, or it was reset */
};

struct rg_tracked_flow {
    struct rg_flow_id flow;
    struct rg_endpoint *endpoint; /* upstream now; NULL: the entry is free */
    struct rg_endpoint
        *tried[RG_TRACKED_TRIES_MAX]; /* before this one, or NULL */
    uint64_t since_ms;                /* when the state began */
    uint64_t last_ms;                 /* last packet */
    uint32_t last_seq;                /* of the last data */
    uint32_t last_ack;
    uint32_t request_ack; /* last_ack when the request was sent */
    uint32_t answer_ms; /* of the last request, RG_TRACKED_UNANSWERED: none */
    uint8_t state;      /* enum rg_tracked_flow_state */
    uint8_t repeats;    /* the last data came again this often */
    bool overdue;       /* its request has been counted as failed */
    bool probe;         /* it shows whether its upstream is back */
};

struct rg_tracked_flows;

struct rg_tracked_flows *rg_tracked_flows_create(size_t most);
void rg_tracked_flows_destroy(struct rg_tracked_flows *t);

struct rg_tracked_flow *rg_tracked_flows_find(const struct rg_tracked_flows *t,
                                              const struct rg_flow_id *flow);

/* A new entry; NULL if the table is full. Pointers to other entries are no
 * longer valid. The caller sets `boot` before any other call. */
struct rg_tracked_flow *rg_tracked_flows_add(struct rg_tracked_flows *t,
                                             const struct rg_flow_id *flow);

/* Calls `expired` for each entry and removes those for which it returns true.
 * `expired` must not add entries. */
void rg_tracked_flows_sweep(struct rg_tracked_flows *t,
                            bool (*expired)(void *ctx,
                                            struct rg_tracked_flow *track),
                            void *ctx);

size_t rg_tracked_flows_count(const struct rg_tracked_flows *t);

#endif
