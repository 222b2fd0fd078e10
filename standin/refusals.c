#include "standin/refusals.h"
#include "common/clock.h"

#include <stdio.h>
#include <string.h>

#include "common/mem.h"

#define FLOWS_MAX 100000
#define ATTEMPTS_MAX 5
#define RETRY_MS 200

static void
finish_current(struct sd_refusals *r)
{
    r->done++;
    r->attempts = 0;
    r->sent_ms = 0;
}

static void
on_answer(void *ctx, const struct rg_addr *from, const uint8_t *data,
          size_t len)
{
    struct sd_refusals *r = ctx;
    char line[64];
    unsigned long long flow;
    int executed;

    (void)from;
    if (len >= sizeof(line) || r->done == r->count) {
        return;
    }
    memcpy(line, data, len);
    line[len] = '\0';
    /* A repeated query is answered twice; ignores the second answer. */
    if (sscanf(line, "%d %llx", &executed, &flow) != 2 ||
        flow != r->flows[r->done])
    {
        return;
    }
    r->stats->false_refusals += executed != 0;
    finish_current(r);
    sd_refusals_step(r, rg_clock_ms());
}

void
sd_refusals_open(struct sd_refusals *r, uv_loop_t *loop,
                 const struct rg_addr *listen, const struct rg_addr *upstreams,
                 struct sd_callers_stats *stats)
{
    r->upstreams = *upstreams;
    r->stats = stats;
    r->flows = rg_calloc(FLOWS_MAX, sizeof(*r->flows));
    sd_udp_open(&r->udp, loop, listen, on_answer, r);
}

void
sd_refusals_add(struct sd_refusals *r, uint64_t flow)
{
    if (r->count == FLOWS_MAX) {
        r->stats->unsure_refusals++;
        return;
    }
    r->flows[r->count++] = flow;
}

bool
sd_refusals_step(struct sd_refusals *r, uint64_t now_ms)
{
    char line[64];

    if (r->done == r->count) {
        return true;
    }
    if (r->sent_ms != 0 && now_ms - r->sent_ms < RETRY_MS) {
        return false;
    }
    if (r->attempts++ == ATTEMPTS_MAX) {
        r->stats->unsure_refusals++;
        finish_current(r);
        return false;
    }
    r->sent_ms = now_ms;
    snprintf(line, sizeof(line), "executed %016llx",
             (unsigned long long)r->flows[r->done]);
    sd_udp_send(&r->udp, &r->upstreams, line, strlen(line));
    return false;
}
