/* Outlier detection by the outcomes of requests: an upstream may accept flows
 * and still answer no requests, or answer with errors only.
 *
 * Only requests of flows that had opened count, so that the network path is
 * known to work. Detection uses the outcomes of this instance and those
 * reported by peers in the same data centre. An outlier gets no flows for an
 * exclusion time that grows with each detection in a row, and is then probed
 * by a few instances. One answered probe clears it on all instances. */
#ifndef RG_BALANCE_OUTLIER_H
#define RG_BALANCE_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#include "balance/pool.h"

enum rg_outlier_change {
    RG_OUTLIER_UNCHANGED,
    RG_OUTLIER_DETECTED, /* became an outlier, or failed a probe: gets no
                             flows for a while */
    RG_OUTLIER_CLEARED,  /* answers again */
};

/* True if failures are known, or it is an outlier: its outcomes are worth
 * sharing with peers. */
bool rg_endpoint_is_suspect(const struct rg_endpoint *e, uint64_t now_ms);

/* Records the outcome of a request of this instance. */
void rg_endpoint_add_outcome(struct rg_endpoint *e, enum rg_outcome outcome,
                             uint64_t now_ms);
/* The same for an outcome of `at_ms` that becomes known now. */
void rg_endpoint_add_outcome_at(struct rg_endpoint *e, enum rg_outcome outcome,
                                uint64_t at_ms, uint64_t now_ms);

/* Share of recent requests that failed, by the outcomes of all instances.
 * Stays low while few outcomes are known. */
double rg_endpoint_pooled_failure_rate(const struct rg_endpoint *e,
                                       uint64_t now_ms);

/* Input to rg_endpoint_check_outlier(). */
struct rg_outlier_opts {
    double service_failure_rate; /* of the service as a whole: only a far
                                    higher failure rate makes an outlier */
    bool may_exclude;            /* enough other upstreams remain */
    bool overloaded; /* the service is overloaded: only an upstream without any
                        answers becomes an outlier */
    uint64_t now_ms;
};

/* Updates the outlier state from the outcomes known now. */
enum rg_outlier_change
rg_endpoint_check_outlier(struct rg_endpoint *e,
                          const struct rg_outlier_opts *opts);

/* An outlier that has not been cleared yet. */
bool rg_endpoint_is_outlier(const struct rg_endpoint *e);

/* An outlier whose requests were not answered late either, so that it is not
 * merely slow. */
bool rg_endpoint_is_unresponsive(const struct rg_endpoint *e, uint64_t now_ms);

/* True if no request is known to have been answered since `since_ms`, in time
 * or late, not even in part. */
bool rg_endpoint_no_answer_since(const struct rg_endpoint *e,
                                 uint64_t since_ms, uint64_t now_ms);

/* When a request failed last at this endpoint, here or elsewhere, other than
 * one of this instance that failed at `own_ms`; 0: never. */
uint64_t rg_endpoint_other_failure_ms(const struct rg_endpoint *e,
                                      uint64_t own_ms);

/* When the first request failed since the last answer, as far as is known here
 * and from peers, and not later; 0: none has. Requests that fail afterwards
 * need not be due to a fault that goes on: they may wait behind those that it
 * has left hanging. */
uint64_t rg_endpoint_failing_since_ms(const struct rg_endpoint *e);

/* A peer reports a failure. */
void rg_endpoint_add_reported_failure(struct rg_endpoint *e, uint64_t at_ms);

/* As rg_endpoint_no_answer_since(), and several requests have failed, here or
 * elsewhere, and no peer that reports failures reports an answer. That no
 * answer is known since `since_ms` proves little by itself: there may have
 * been no other request, or its answer may have passed another instance, whose
 * report is on its way. */
bool rg_endpoint_only_failures_since(const struct rg_endpoint *e,
                                     uint64_t since_ms, uint64_t now_ms);

/* True if one more request would show whether the only known failure, of a
 * request of this instance that still waits, was chance: it is answered, or it
 * confirms the failure. */
bool rg_endpoint_needs_second_request(const struct rg_endpoint *e,
                                      uint64_t now_ms);

/* Input to rg_endpoint_may_probe(). */
struct rg_probe_opts {
    uint64_t self;    /* identifies this instance */
    size_t instances; /* that may probe it, this one included */
    bool idempotent;  /* the flow's requests are safe to retry */
    uint64_t now_ms;
};

/* True if a new flow may be sent to an outlier to test whether it has
 * recovered. */
bool rg_endpoint_may_probe(const struct rg_endpoint *e,
                           const struct rg_probe_opts *opts);

#endif
