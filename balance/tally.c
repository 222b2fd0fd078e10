#include "balance/tally.h"

static const char *const counter_names[RG_TALLY_COUNTERS] = {
    [RG_TALLY_PACKETS] = "packets",
    [RG_TALLY_MALFORMED] = "packets_malformed",
    [RG_TALLY_OPENINGS] = "openings",
    [RG_TALLY_OPENINGS_REPEATED] = "openings_repeated",
    [RG_TALLY_OPENINGS_MOVED] = "openings_moved",
    [RG_TALLY_FORWARDED] = "packets_forwarded",
    [RG_TALLY_REFUSED_NO_ROUTE] = "refused_no_route",
    [RG_TALLY_REFUSED_NO_UPSTREAM] = "refused_no_upstream",
    [RG_TALLY_REFUSED_DEAD_UPSTREAM] = "refused_dead_upstream",
    [RG_TALLY_REFUSED_OVERLOAD] = "refused_overload",
    [RG_TALLY_DROPPED_NOT_READY] = "dropped_not_ready",
    [RG_TALLY_DROPPED_STALE_VIEW] = "dropped_stale_view",
    [RG_TALLY_DROPPED_UNKNOWN_TOKEN] = "dropped_unknown_token",
    [RG_TALLY_DROPPED_UNKNOWN_ROUTE] = "dropped_unknown_route",
    [RG_TALLY_DROPPED_NO_TOKEN] = "dropped_no_token",
    [RG_TALLY_DROPPED_WRONG_SERVICE] = "dropped_wrong_service",
    [RG_TALLY_DISCARDED] = "packets_discarded",
    [RG_TALLY_UNTRACKED] = "flows_untracked",
    [RG_TALLY_EJECTIONS] = "ejections",
    [RG_TALLY_VERDICTS_HEARD] = "verdicts_heard",
    [RG_TALLY_OUTCOMES_HEARD] = "outcomes_heard",
    [RG_TALLY_UNANSWERED] = "unanswered",
    [RG_TALLY_DIGESTS_SENT] = "digests_sent",
    [RG_TALLY_DIGESTS_HEARD] = "digests_heard",
    [RG_TALLY_VIEWS_FROM_PEERS] = "views_from_peers",
    [RG_TALLY_STORE_ASKED_BEHIND] = "store_asked_behind",
    [RG_TALLY_ANSWERS_ERROR_LIKE] = "answers_error_like",
    [RG_TALLY_REQUESTS_OVERDUE] = "requests_overdue",
    [RG_TALLY_CONTROL_SENT_BYTES] = "control_sent_bytes",
    [RG_TALLY_CONTROL_HEARD_BYTES] = "control_heard_bytes",
    [RG_TALLY_SEND_FAILED] = "sends_failed",
    [RG_TALLY_STORE_CALLS] = "store_calls",
    [RG_TALLY_STORE_FAILURES] = "store_failures",
    [RG_TALLY_STORE_RELISTED] = "store_relisted",
    [RG_TALLY_ENTRIES_UNREADABLE] = "entries_unreadable",
    [RG_TALLY_CONFIGS_UNREADABLE] = "configs_unreadable",
};

static const char *const histogram_names[RG_TALLY_HISTOGRAMS] = {
    [RG_TALLY_OPENING_MS] = "opening_ms",
    [RG_TALLY_ANSWER_MS] = "answer_ms",
};

void
rg_tally_observe(struct rg_tally *t, enum rg_tally_histogram h, uint64_t ms)
{
    int i = 0;

    while (i < RG_TALLY_BUCKETS - 1 && ms >= (1ULL << i)) {
        i++;
    }
    t->buckets[h][i]++;
    t->sum_ms[h] += ms;
}

static void
print_histogram(const struct rg_tally *t, int h, struct rg_text *out)
{
    const char *name = histogram_names[h];
    uint64_t sum = 0;

    rg_text_add(out, "# TYPE rattangap_%s histogram\n", name);
    for (int i = 0; i < RG_TALLY_BUCKETS - 1; i++) {
        sum += t->buckets[h][i];
        rg_text_add(out, "rattangap_%s_bucket{le=\"%llu\"} %llu\n", name,
                    1ULL << i, (unsigned long long)sum);
    }
    sum += t->buckets[h][RG_TALLY_BUCKETS - 1];
    rg_text_add(out, "rattangap_%s_bucket{le=\"+Inf\"} %llu\n", name,
                (unsigned long long)sum);
    rg_text_add(out, "rattangap_%s_sum %llu\nrattangap_%s_count %llu\n", name,
                (unsigned long long)t->sum_ms[h], name,
                (unsigned long long)sum);
}

void
rg_tally_print(const struct rg_tally *t, struct rg_text *out)
{
    for (int i = 0; i < RG_TALLY_COUNTERS; i++) {
        rg_text_add(out, "# TYPE rattangap_%s counter\nrattangap_%s %llu\n",
                    counter_names[i], counter_names[i],
                    (unsigned long long)t->counters[i]);
    }
    for (int h = 0; h < RG_TALLY_HISTOGRAMS; h++) {
        print_histogram(t, h, out);
    }
}
