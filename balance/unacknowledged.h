/* Evidence that an upstream cannot be reached: requests that were
 * retransmitted twice without any response from it. A sound upstream
 * acknowledges a copy at once, so that there is no second one.
 *
 * The evidence of several instances of a data centre is put together, since a
 * lossy or broken path from one of them looks the same. It expires soon, so
 * that a fault that has ended causes no resets. No I/O; the time is passed
 * in. */
#ifndef RG_BALANCE_UNACKNOWLEDGED_H
#define RG_BALANCE_UNACKNOWLEDGED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rg_endpoint;

/* Retransmissions of one request that count as evidence. */
#define RG_UNACKNOWLEDGED_REPEATS 2
/* Upstreams of a data centre of which evidence is kept. */
#define RG_UNACKNOWLEDGED_UPSTREAMS 4

/* Other instances whose evidence of one endpoint is kept. */
#define RG_UNACKNOWLEDGED_REPORTS 2

/* At one endpoint. Zero-initialise it. */
struct rg_unacknowledged {
    uint64_t own_ms; /* last evidence here, 0: none */
    struct {
        uint32_t source;
        uint64_t at_ms;                   /* last evidence, 0: free */
    } reports[RG_UNACKNOWLEDGED_REPORTS]; /* of other instances */
    uint64_t since_ms; /* silent since then, as far as evidence shows */
    uint64_t reported_response_ms; /* last response reported by peers */
    uint64_t denied_ms; /* peers were last told of a response, 0: never */
};

/* At the upstreams of a data centre. Zero-initialise it. */
struct rg_unacknowledged_dc {
    struct {
        uint32_t token;
        uint64_t at_ms; /* last evidence, 0: free */
    } upstreams[RG_UNACKNOWLEDGED_UPSTREAMS];
    uint64_t reported_ms; /* last evidence of other instances, 0: none */
    uint64_t reported_response_ms; /* last response reported by peers */
    double response_gap_ms;        /* mean time between two responses here */
    double retransmitted_share;    /* of answered requests, moving average */
};

/* A request was answered; `retransmitted`: only after a copy. */
void rg_unacknowledged_answered(struct rg_endpoint *e, bool retransmitted);

/* A request sent at `sent_ms` has been retransmitted `repeats` times. */
void rg_unacknowledged_add(struct rg_endpoint *e, uint64_t sent_ms,
                           uint32_t repeats, uint64_t now_ms);

/* What another instance has seen at an endpoint; times are 0 for never. */
struct rg_unacknowledged_report {
    uint64_t at_ms;          /* last request that was retransmitted twice */
    uint64_t response_ms;    /* last response of the endpoint */
    uint64_t dc_response_ms; /* last response from its data centre */
};
/* `source` is the number of that instance. */
void rg_unacknowledged_add_report(struct rg_endpoint *e, uint32_t source,
                                  const struct rg_unacknowledged_report *r,
                                  uint64_t now_ms);

/* Sets the last responses that are known, here or from peers, while there is
 * recent evidence in the data centre. Otherwise they are of no use, and cost
 * bytes. */
void rg_unacknowledged_update_responses(const struct rg_endpoint *e,
                                        struct rg_unacknowledged_report *r,
                                        uint64_t now_ms);

/* The endpoint has responded to a caller of this instance. Returns true if
 * peers have evidence to the contrary and should be told of the response. */
bool rg_unacknowledged_responded(struct rg_endpoint *e, uint64_t now_ms);

/* True if there is recent evidence, here or at peers. */
bool rg_unacknowledged_is_recent(const struct rg_endpoint *e, uint64_t now_ms);

/* A request that was retransmitted twice. */
struct rg_unacknowledged_request {
    uint64_t sent_ms;
    uint32_t timeout_ms; /* its deadline, 0: none */
    size_t instances;    /* in this data centre, this one included */
    bool overloaded;     /* queues at its service may explain long waits */
};

enum rg_unacknowledged_reason {
    RG_REACHABLE, /* as far as is known */
    RG_UNREACHABLE_GONE,
    RG_UNREACHABLE_DATA_CENTRE,
    RG_UNREACHABLE_UPSTREAM,
};

/* Whether the endpoint cannot be reached, and how that is known. */
enum rg_unacknowledged_reason
rg_unacknowledged_check(const struct rg_endpoint *e,
                        const struct rg_unacknowledged_request *r,
                        uint64_t now_ms);

/* True if a request with this deadline, 0 if it is not known, can wait for a
 * frozen upstream to go on. */
bool rg_unacknowledged_can_wait(uint32_t timeout_ms);

/* True if the upstream may be frozen for a moment, and a request with this
 * deadline, 0 if it is not known, can wait for it to go on. */
bool rg_unacknowledged_may_be_frozen(const struct rg_endpoint *e,
                                     uint32_t timeout_ms, uint64_t now_ms);

#endif
