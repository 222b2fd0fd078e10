#include "standin/callers_stats.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/mem.h"

#define LATENCIES_MAX (1u << 20)

static int
compare_latencies(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;

    return x < y ? -1 : x > y;
}

static uint32_t
percentile(const struct sd_callers_stats *s, double p)
{
    if (s->latency_count == 0) {
        return 0;
    }
    return s->latencies_ms[(size_t)((double)(s->latency_count - 1) * p)];
}

void
sd_callers_stats_add_latency(struct sd_callers_stats *s, uint32_t latency_ms)
{
    if (!s->latencies_ms) {
        s->latencies_ms = rg_calloc(LATENCIES_MAX, sizeof(*s->latencies_ms));
    }
    if (s->latency_count < LATENCIES_MAX) {
        s->latencies_ms[s->latency_count++] = latency_ms;
    }
}

static void
print_count(const char *name, uint64_t count)
{
    printf("\"%s\": %llu, ", name, (unsigned long long)count);
}

void
sd_callers_stats_print(struct sd_callers_stats *s)
{
    if (s->latency_count > 1) {
        qsort(s->latencies_ms, s->latency_count, sizeof(*s->latencies_ms),
              compare_latencies);
    }
    printf("{");
    print_count("flows", s->flows);
    print_count("opened", s->opened);
    print_count("answered", s->answered);
    print_count("broken", s->broken);
    print_count("refused", s->refused);
    print_count("unanswered", s->unanswered);
    print_count("wrong", s->wrong);
    print_count("false_refusals", s->false_refusals);
    print_count("unsure_refusals", s->unsure_refusals);
    print_count("wait_p50_ms", percentile(s, 0.50));
    printf("\"wait_p99_ms\": %u}\n", percentile(s, 0.99));
}
