#include "balance/metrics.h"

static const char *const counter_names[RG_METRIC_COUNTERS] = {
    [RG_METRIC_PACKETS] = "packets",
    [RG_METRIC_MALFORMED] = "packets_malformed",
    [RG_METRIC_OPENINGS] = "openings",
    [RG_METRIC_OPENINGS_REPEATED] = "openings_repeated",
    [RG_METRIC_OPENINGS_MOVED] = "openings_moved",
    [RG_METRIC_OPENINGS_DIVERTED] = "openings_diverted",
    [RG_METRIC_FORWARDED] = "packets_forwarded",
    [RG_METRIC_FORWARDED_REMOVED_ROUTE] = "packets_forwarded_removed_route",
    [RG_METRIC_HELD] = "packets_held",
    [RG_METRIC_TOKENS_CORRECTED] = "tokens_corrected",
    [RG_METRIC_REFUSED_NO_ROUTE] = "refused_no_route",
    [RG_METRIC_REFUSED_NO_UPSTREAM] = "refused_no_upstream",
    [RG_METRIC_REFUSED_DEAD_UPSTREAM] = "refused_dead_upstream",
    [RG_METRIC_REFUSED_OVERLOAD] = "refused_overload",
    [RG_METRIC_REFUSED_COLD] = "refused_cold",
    [RG_METRIC_DROPPED_NOT_READY] = "dropped_not_ready",
    [RG_METRIC_DROPPED_STALE_VIEW] = "dropped_stale_view",
    [RG_METRIC_DROPPED_UNKNOWN_TOKEN] = "dropped_unknown_token",
    [RG_METRIC_DROPPED_UNPROVEN_TOKEN] = "dropped_unproven_token",
    [RG_METRIC_DROPPED_UNKNOWN_ROUTE] = "dropped_unknown_route",
    [RG_METRIC_DROPPED_NO_TOKEN] = "dropped_no_token",
    [RG_METRIC_DROPPED_WRONG_SERVICE] = "dropped_wrong_service",
    [RG_METRIC_DROPPED_LATE_OPENING] = "dropped_late_opening",
    [RG_METRIC_DROPPED_NO_UPSTREAM] = "dropped_no_upstream",
    [RG_METRIC_DISCARDED] = "packets_discarded",
    [RG_METRIC_UNTRACKED] = "flows_untracked",
    [RG_METRIC_EJECTIONS] = "ejections",
    [RG_METRIC_EJECTIONS_REPORTED] = "verdicts_heard",
    [RG_METRIC_OUTCOMES_REPORTED] = "outcomes_heard",
    [RG_METRIC_UNANSWERED] = "unanswered",
    [RG_METRIC_DIGESTS_SENT] = "digests_sent",
    [RG_METRIC_DIGESTS_RECEIVED] = "digests_heard",
    [RG_METRIC_VIEWS_FROM_PEERS] = "views_from_peers",
    [RG_METRIC_FLOW_RECORDS_SENT] = "flow_records_sent",
    [RG_METRIC_FLOW_RECORDS_DELAYED] = "flow_records_delayed",
    [RG_METRIC_FLOW_RECORDS_RECEIVED] = "flow_records_received",
    [RG_METRIC_FLOW_QUERIES_SENT] = "flow_queries_sent",
    [RG_METRIC_FLOW_QUERIES_OMITTED] = "flow_queries_omitted",
    [RG_METRIC_HOME_QUERIES_SENT] = "home_queries_sent",
    [RG_METRIC_HOME_ANSWERS_SENT] = "home_answers_sent",
    [RG_METRIC_HOME_ANSWERS_RECEIVED] = "home_answers_received",
    [RG_METRIC_ARRIVALS_SENT] = "flow_arrivals_sent",
    [RG_METRIC_ARRIVALS_OMITTED] = "flow_arrivals_omitted",
    [RG_METRIC_STORE_REFRESHES] = "store_asked_behind",
    [RG_METRIC_ANSWERS_ERROR_LIKE] = "answers_error_like",
    [RG_METRIC_REQUESTS_OVERDUE] = "requests_overdue",
    [RG_METRIC_CONTROL_SENT_BYTES] = "control_sent_bytes",
    [RG_METRIC_CONTROL_RECEIVED_BYTES] = "control_heard_bytes",
    [RG_METRIC_SEND_FAILED] = "sends_failed",
    [RG_METRIC_STORE_CALLS] = "store_calls",
    [RG_METRIC_STORE_FAILURES] = "store_failures",
    [RG_METRIC_STORE_RELISTED] = "store_relisted",
    [RG_METRIC_ENTRIES_UNREADABLE] = "entries_unreadable",
    [RG_METRIC_CONFIGS_UNREADABLE] = "configs_unreadable",
    [RG_METRIC_RESET_GONE] = "resets_upstream_gone",
    [RG_METRIC_RESET_DATA_CENTRE] = "resets_data_centre_silent",
    [RG_METRIC_RESET_UPSTREAM] = "resets_upstream_silent",
    [RG_METRIC_RESET_HUNG] = "resets_upstream_hung",
    [RG_METRIC_OPENINGS_REMOTE] = "openings_remote",
    [RG_METRIC_OPENINGS_LEAVING] = "openings_leaving",
    [RG_METRIC_OPENINGS_WAITED] = "openings_waited",
    [RG_METRIC_REFUSED_AFTER_WAIT] = "refused_after_wait",
    [RG_METRIC_DROPPED_WAITING] = "dropped_waiting",
    [RG_METRIC_ANSWERS_SHED] = "answers_shed",
};

static const char *const histogram_names[RG_METRIC_HISTOGRAMS] = {
    [RG_METRIC_OPENING_MS] = "opening_ms",
    [RG_METRIC_ANSWER_MS] = "answer_ms",
};

void
rg_metrics_observe(struct rg_metrics *m, enum rg_metric_histogram h,
                   uint64_t ms)
{
    int i = 0;

    while (i < RG_METRIC_BUCKETS - 1 && ms >= (1ULL << i)) {
        i++;
    }
    m->buckets[h][i]++;
    m->sum_ms[h] += ms;
}

static void
print_histogram(const struct rg_metrics *m, int h, struct rg_strbuf *out)
{
    const char *name = histogram_names[h];
    uint64_t sum = 0;

    rg_strbuf_printf(out, "# TYPE rattangap_%s histogram\n", name);
    for (int i = 0; i < RG_METRIC_BUCKETS - 1; i++) {
        sum += m->buckets[h][i];
        rg_strbuf_printf(out, "rattangap_%s_bucket{le=\"%llu\"} %llu\n", name,
                         1ULL << i, (unsigned long long)sum);
    }
    sum += m->buckets[h][RG_METRIC_BUCKETS - 1];
    rg_strbuf_printf(out, "rattangap_%s_bucket{le=\"+Inf\"} %llu\n", name,
                     (unsigned long long)sum);
    rg_strbuf_printf(out, "rattangap_%s_sum %llu\nrattangap_%s_count %llu\n",
                     name, (unsigned long long)m->sum_ms[h], name,
                     (unsigned long long)sum);
}

void
rg_metrics_print(const struct rg_metrics *m, struct rg_strbuf *out)
{
    for (int i = 0; i < RG_METRIC_COUNTERS; i++) {
        rg_strbuf_printf(out,
                         "# TYPE rattangap_%s counter\nrattangap_%s %llu\n",
                         counter_names[i], counter_names[i],
                         (unsigned long long)m->counters[i]);
    }
    for (int h = 0; h < RG_METRIC_HISTOGRAMS; h++) {
        print_histogram(m, h, out);
    }
}
