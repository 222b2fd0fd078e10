/* Metrics of the balancer: counters and latency histograms. */
#ifndef RG_BALANCE_METRICS_H
#define RG_BALANCE_METRICS_H

#include <stddef.h>
#include <stdint.h>

#include "common/strbuf.h"

enum rg_metric_counter {
    RG_METRIC_PACKETS,
    RG_METRIC_MALFORMED,
    RG_METRIC_OPENINGS,
    RG_METRIC_OPENINGS_REPEATED,
    RG_METRIC_OPENINGS_MOVED,
    RG_METRIC_FORWARDED,
    RG_METRIC_TOKENS_CORRECTED,
    RG_METRIC_REFUSED_NO_ROUTE,
    RG_METRIC_REFUSED_NO_UPSTREAM,
    RG_METRIC_REFUSED_DEAD_UPSTREAM,
    RG_METRIC_REFUSED_OVERLOAD,
    RG_METRIC_DROPPED_NOT_READY,
    RG_METRIC_DROPPED_STALE_VIEW,
    RG_METRIC_DROPPED_UNKNOWN_TOKEN,
    RG_METRIC_DROPPED_NO_TOKEN,
    RG_METRIC_DROPPED_UNKNOWN_ROUTE,
    RG_METRIC_DROPPED_WRONG_SERVICE,
    RG_METRIC_DROPPED_LATE_OPENING,
    RG_METRIC_DROPPED_NO_UPSTREAM,
    RG_METRIC_DISCARDED,
    RG_METRIC_UNTRACKED,
    RG_METRIC_EJECTIONS,
    RG_METRIC_EJECTIONS_REPORTED,
    RG_METRIC_OUTCOMES_REPORTED,
    RG_METRIC_UNANSWERED,
    RG_METRIC_DIGESTS_SENT,
    RG_METRIC_DIGESTS_RECEIVED,
    RG_METRIC_VIEWS_FROM_PEERS,
    RG_METRIC_STORE_REFRESHES,
    RG_METRIC_ANSWERS_ERROR_LIKE,
    RG_METRIC_REQUESTS_OVERDUE,
    RG_METRIC_CONTROL_SENT_BYTES,
    RG_METRIC_CONTROL_RECEIVED_BYTES,
    RG_METRIC_SEND_FAILED,
    RG_METRIC_STORE_CALLS,
    RG_METRIC_STORE_FAILURES,
    RG_METRIC_STORE_RELISTED,
    RG_METRIC_ENTRIES_UNREADABLE,
    RG_METRIC_CONFIGS_UNREADABLE,
    RG_METRIC_COUNTERS,
};

enum rg_metric_histogram {
    RG_METRIC_OPENING_MS, /* opening to the caller's next packet */
    RG_METRIC_ANSWER_MS,  /* request to the first byte of its answer */
    RG_METRIC_HISTOGRAMS,
};

/* Bucket i counts values below 2^i ms; the last one counts the rest. */
#define RG_METRIC_BUCKETS 14

struct rg_metrics {
    uint64_t counters[RG_METRIC_COUNTERS];
    uint64_t buckets[RG_METRIC_HISTOGRAMS][RG_METRIC_BUCKETS];
    uint64_t sum_ms[RG_METRIC_HISTOGRAMS];
};

void rg_metrics_observe(struct rg_metrics *m, enum rg_metric_histogram h,
                        uint64_t ms);

/* Appends all metrics in the Prometheus text format. */
void rg_metrics_print(const struct rg_metrics *m, struct rg_strbuf *out);

#endif
