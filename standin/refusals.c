#include "standin/refusals.h"
#include "common/clock.h"

#include <stdio.h>
#include <string.h>

#include "common/mem.h"

#define FLOWS_MAX 100000
#define TRIES 5
#define RETRY_MS 200

static void
settle(struct sd_refusals *r)
{
    r->done++;
    r->tries = 0;
    r->asked_ms = 0;
}

static void
on_verdict(void *ctx, const struct rg_addr *from, const uint8_t *data,
           size_t len)
{
    struct sd_refusals *r = ctx;
    char line[64];
    unsigned long long flow;
    int ran;

    (void)from;
    if (len >= sizeof(line) || r->done == r->count) {
        return;
    }
    memcpy(line, data, len);
    line[len] = '\0';
    /* A question asked twice is answered twice; the second is ignored. */
    if (sscanf(line, "%d %llx", &ran, &flow) != 2 || flow != r->flows[r->done])
    {
        return;
    }
    r->tally->false_refusals += ran != 0;
    settle(r);
    sd_refusals_step(r, rg_clock_ms());
}

void
sd_refusals_open(struct sd_refusals *r, uv_loop_t *loop,
                 const struct rg_addr *listen, const struct rg_addr *upstreams,
                 struct sd_callers_stats *tally)
{
    r->upstreams = *upstreams;
    r->tally = tally;
    r->flows = rg_calloc(FLOWS_MAX, sizeof(*r->flows));
    sd_udp_open(&r->udp, loop, listen, on_verdict, r);
}

void
sd_refusals_add(struct sd_refusals *r, uint64_t flow)
{
    if (r->count == FLOWS_MAX) {
        r->tally->unsure_refusals++;
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
    if (r->asked_ms != 0 && now_ms - r->asked_ms < RETRY_MS) {
        return false;
    }
    if (r->tries++ == TRIES) {
        r->tally->unsure_refusals++;
        settle(r);
        return false;
    }
    r->asked_ms = now_ms;
    snprintf(line, sizeof(line), "executed %016llx",
             (unsigned long long)r->flows[r->done]);
    sd_udp_send(&r->udp, &r->upstreams, line, strlen(line));
    return false;
}
