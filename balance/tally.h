/* Metrics of the balancer: counters and latency histograms. */
#ifndef RG_BALANCE_TALLY_H
#define RG_BALANCE_TALLY_H

#include <stddef.h>
#include <stdint.h>

#include "common/text.h"

enum rg_tally_counter {
    RG_TALLY_PACKETS,
    RG_TALLY_MALFORMED,
    RG_TALLY_OPENINGS,
    RG_TALLY_OPENINGS_REPEATED,
    RG_TALLY_OPENINGS_MOVED,
    RG_TALLY_FORWARDED,
    RG_TALLY_REFUSED_NO_ROUTE,
    RG_TALLY_REFUSED_NO_UPSTREAM,
    RG_TALLY_REFUSED_DEAD_UPSTREAM,
    RG_TALLY_REFUSED_OVERLOAD,
    RG_TALLY_DROPPED_NOT_READY,
    RG_TALLY_DROPPED_STALE_VIEW,
    RG_TALLY_DROPPED_UNKNOWN_TOKEN,
    RG_TALLY_DROPPED_NO_TOKEN,
    RG_TALLY_DROPPED_UNKNOWN_ROUTE,
    RG_TALLY_DROPPED_WRONG_SERVICE,
    RG_TALLY_DISCARDED,
    RG_TALLY_UNTRACKED,
    RG_TALLY_EJECTIONS,
    RG_TALLY_VERDICTS_HEARD,
    RG_TALLY_OUTCOMES_HEARD,
    RG_TALLY_UNANSWERED,
    RG_TALLY_DIGESTS_SENT,
    RG_TALLY_DIGESTS_HEARD,
    RG_TALLY_VIEWS_FROM_PEERS,
    RG_TALLY_STORE_ASKED_BEHIND,
    RG_TALLY_ANSWERS_ERROR_LIKE,
    RG_TALLY_REQUESTS_OVERDUE,
    RG_TALLY_CONTROL_SENT_BYTES,
    RG_TALLY_CONTROL_HEARD_BYTES,
    RG_TALLY_SEND_FAILED,
    RG_TALLY_STORE_CALLS,
    RG_TALLY_STORE_FAILURES,
    RG_TALLY_STORE_RELISTED,
    RG_TALLY_ENTRIES_UNREADABLE,
    RG_TALLY_CONFIGS_UNREADABLE,
    RG_TALLY_COUNTERS,
};

enum rg_tally_histogram {
    RG_TALLY_OPENING_MS, /* opening to the caller's next packet */
    RG_TALLY_ANSWER_MS,  /* request to the first byte of its answer */
    RG_TALLY_HISTOGRAMS,
};

/* Bucket i counts values below 2^i ms; the last one counts the rest. */
#define RG_TALLY_BUCKETS 14

struct rg_tally {
    uint64_t counters[RG_TALLY_COUNTERS];
    uint64_t buckets[RG_TALLY_HISTOGRAMS][RG_TALLY_BUCKETS];
    uint64_t sum_ms[RG_TALLY_HISTOGRAMS];
};

void rg_tally_observe(struct rg_tally *t, enum rg_tally_histogram h,
                      uint64_t ms);

/* Appends all metrics in the Prometheus text format. */
void rg_tally_print(const struct rg_tally *t, struct rg_text *out);

#endif
