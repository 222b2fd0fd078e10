/* Flow table: recent flows of this instance. They serve to count outstanding
 * work, to recognise retransmitted openings, and to learn from callers how
 * upstreams perform.
 *
 * An untracked flow is steered by its token alone; the token of a tracked one
 * is corrected where it is that of an upstream its caller did not take.
 * Bounded; one owner; no I/O. */
#ifndef RG_BALANCE_TRACKED_FLOWS_H
#define RG_BALANCE_TRACKED_FLOWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/pool.h"
#include "balance/segment.h"

/* Upstreams tried for one opening: the first and one for each
 * retransmission. */
#define RG_TRACKED_TRIES_MAX 3

#define RG_TRACKED_UNANSWERED UINT32_MAX

/* An idle open flow is dropped from the table after this time; its packets are
 * still steered by their token. */
#define RG_TRACKED_IDLE_TIMEOUT_MS 5000

enum rg_tracked_flow_state {
    RG_TRACKED_OPENING, /* only openings seen so far */
    RG_TRACKED_IDLE,    /* open, no outstanding request */
    RG_TRACKED_REQUEST, /* a request waits for its answer */
    RG_TRACKED_CLOSED,  /* closed or reset by the caller, or reset here */
};

/* What an opening shows of its upstream by its answer or loss. */
enum rg_trial {
    RG_TRIAL_NONE,
    RG_TRIAL_IN_DOUBT,     /* whether those that may be gone respond */
    RG_TRIAL_UNRESPONSIVE, /* whether those that were silent respond again */
};

struct rg_tracked_flow {
    struct rg_flow_id flow;
    struct rg_endpoint *endpoint; /* the current one, NULL: entry is free */
    struct rg_endpoint *tried[RG_TRACKED_TRIES_MAX]; /* earlier, or NULL */
    uint64_t opened_ms;  /* first copy of its opening */
    uint64_t since_ms;   /* start of the current state */
    uint64_t last_ms;    /* last packet, or what a peer told of the flow */
    uint64_t packet_ms;  /* last packet but openings, 0: none */
    uint64_t acked_ms;   /* the caller last acknowledged new bytes */
    uint64_t overdue_ms; /* when the request counted as failed */
    uint64_t retransmitted_ms; /* last retransmission of the last data */
    uint64_t asked_ms;         /* peers were last asked whether the flow has
                                  moved since its request */
    uint32_t opening_seq;      /* initial sequence number of the caller */
    uint32_t last_seq;         /* of the last data */
    uint32_t next_seq;         /* of the data that the caller sends next */
    uint32_t last_ack;
    uint32_t request_ack; /* value of last_ack when the request was sent */
    uint32_t answer_ms;   /* of the last request, or RG_TRACKED_UNANSWERED */
    uint8_t state;        /* enum rg_tracked_flow_state */
    uint8_t retransmissions; /* of the last data */
    bool overdue;            /* request counted as failed */
    bool repeated;           /* its opening was: two upstreams may have it */
    bool probe;              /* tests whether an outlier has recovered */
    bool has_first_copy;     /* the first copy of its opening passed here */
    bool adopted;    /* opened elsewhere or long ago, and no response to it has
                        passed here: when its request was sent is not known */
    bool resumed;    /* began with later data: opening_seq is not known */
    bool requested;  /* the next request takes room of its own: the opening has
                        taken it for the first one */
    uint8_t trial;   /* enum rg_trial: of its opening */
    bool proven;     /* the caller is known to have taken this endpoint */
    bool told_homes; /* of the endpoint */
    uint8_t told;    /* round in which peers were told of it, or
                        RG_FLOW_NOT_TOLD */
};

struct rg_tracked_flows;

struct rg_tracked_flows *rg_tracked_flows_create(size_t max);
void rg_tracked_flows_destroy(struct rg_tracked_flows *t);

/* NULL if the flow is not tracked. */
struct rg_tracked_flow *rg_tracked_flows_find(const struct rg_tracked_flows *t,
                                              const struct rg_flow_id *flow);

/* Adds an entry; NULL if the table is full. Invalidates pointers to other
 * entries. The caller must set `endpoint` before any other call. */
struct rg_tracked_flow *rg_tracked_flows_add(struct rg_tracked_flows *t,
                                             const struct rg_flow_id *flow);

/* Calls `expired` for each entry and removes those for which it returns true.
 * `expired` must not add entries. */
void rg_tracked_flows_sweep(struct rg_tracked_flows *t,
                            bool (*expired)(void *ctx,
                                            struct rg_tracked_flow *entry),
                            void *ctx);

size_t rg_tracked_flows_count(const struct rg_tracked_flows *t);

#endif
