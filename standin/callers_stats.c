#include "standin/callers_stats.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/mem.h"

#define WAITS_MAX (1u << 20)

static int
compare_waits(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;

    return x < y ? -1 : x > y;
}

static uint32_t
wait_at(const struct sd_callers_stats *t, double share)
{
    if (t->wait_count == 0) {
        return 0;
    }
    return t->waits_ms[(size_t)((double)(t->wait_count - 1) * share)];
}

void
sd_callers_stats_add_latency(struct sd_callers_stats *t, uint32_t wait_ms)
{
    if (!t->waits_ms) {
        t->waits_ms = rg_calloc(WAITS_MAX, sizeof(*t->waits_ms));
    }
    if (t->wait_count < WAITS_MAX) {
        t->waits_ms[t->wait_count++] = wait_ms;
    }
}

static void
print_count(const char *name, uint64_t count)
{
    printf("\"%s\": %llu, ", name, (unsigned long long)count);
}

void
sd_callers_stats_print(struct sd_callers_stats *t)
{
    if (t->wait_count > 1) {
        qsort(t->waits_ms, t->wait_count, sizeof(*t->waits_ms), compare_waits);
    }
    printf("{");
    print_count("flows", t->flows);
    print_count("opened", t->opened);
    print_count("answered", t->answered);
    print_count("broken", t->broken);
    print_count("refused", t->refused);
    print_count("unanswered", t->unanswered);
    print_count("wrong", t->wrong);
    print_count("false_refusals", t->false_refusals);
    print_count("unsure_refusals", t->unsure_refusals);
    print_count("wait_p50_ms", wait_at(t, 0.50));
    printf("\"wait_p99_ms\": %u}\n", wait_at(t, 0.99));
}
