/* Verdicts on upstreams by what became of requests there: an upstream that
 * opens flows may still answer nothing, or only errors.
 *
 * Requests count whose flow had opened, so that a path was there. Verdicts
 * rest on this instance's requests and on those of others that reach the same
 * data centre's upstreams. A condemned upstream gets no flows for a while and
 * is then probed by few instances; one answer to a probe clears it for all. */
#ifndef RG_BALANCE_OUTLIER_H
#define RG_BALANCE_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#include "balance/pool.h"

enum rg_verdict {
    RG_OUTLIER_UNCHANGED, /* as before */
    RG_OUTLIER_DETECTED,  /* gets no flows for a while */
    RG_OUTLIER_CLEARED,   /* answers again */
};

/* Failures there are known, or it is condemned: its outcomes are worth
 * telling. */
bool rg_endpoint_is_suspect(const struct rg_endpoint *b, uint64_t now_ms);

/* A request of this instance there had this outcome. */
void rg_endpoint_add_outcome(struct rg_endpoint *b, enum rg_outcome outcome,
                             uint64_t now_ms);

/* Share of requests there that failed lately, low as long as few are known. */
double rg_endpoint_pooled_failure_rate(const struct rg_endpoint *b,
                                       uint64_t now_ms);

/* Judges by what is known now. */
struct rg_outlier_opts {
    double usual; /* share of failures at its service as a whole: an upstream
                     is condemned only if it does far worse */
    bool may_condemn; /* enough others are left */
    bool crowded;     /* most answers of its service are slow: only one that
                         answers nothing is condemned */
    uint64_t now_ms;
};
enum rg_verdict rg_endpoint_check_outlier(struct rg_endpoint *b,
                                          const struct rg_outlier_opts *opts);

/* Condemned and not cleared yet. */
bool rg_endpoint_is_outlier(const struct rg_endpoint *b);

/* Condemned, and its requests that failed were not answered late either: it is
 * not merely slow. */
bool rg_endpoint_is_unresponsive(const struct rg_endpoint *b, uint64_t now_ms);

/* No request there is known to have been answered since `since_ms`, late or
 * not. */
bool rg_endpoint_no_answer_since(const struct rg_endpoint *b,
                                 uint64_t since_ms, uint64_t now_ms);

/* Whether a flow may go there to show if a condemned upstream is back. */
struct rg_probe_opts {
    uint64_t self;    /* tells instances apart */
    size_t instances; /* that may probe it, this one included */
    bool repeatable;  /* the flow's requests may be repeated */
    uint64_t now_ms;
};
bool rg_endpoint_may_probe(const struct rg_endpoint *b,
                           const struct rg_probe_opts *opts);

#endif
