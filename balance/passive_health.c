#include "balance/passive_health.h"

#include <math.h>

/* Openings repeated in a row before an upstream is ejected: one may be a lost
 * datagram. */
#define EJECT_AFTER 2
#define EJECT_FIRST_MS 1000
#define EJECT_MOST_MS 8000

/* Flows whose requests were repeated before an upstream counts as dead; fewer
 * are enough where its whole data centre is silent. */
#define DEAD_FLOWS 2
#define DEAD_PLACE_FLOWS 3
/* A live upstream answers repeated packets within this time. */
#define DEAD_AFTER_MS 250
/* Somebody must have answered within this time: else the fault is likely
 * here. */
#define ANYBODY_MS 400

/* Share of a new answer in the mean latency. */
#define LATENCY_GAIN 0.15
/* Share of a new outcome in the share of failures. */
#define FAILING_GAIN 0.2
/* Failures are forgotten by half in this time. */
#define FAILING_HALF_MS 4000.0
/* A smaller share is forgotten: where upstreams stand idle the least
 * difference decides. */
#define FAILING_LEAST 0.03

bool
rg_endpoint_is_ejected(const struct rg_endpoint *b, uint64_t now_ms)
{
    return now_ms < b->ejected_until_ms;
}

static void
eject(struct rg_endpoint *b, uint64_t now_ms)
{
    uint64_t pause = EJECT_FIRST_MS;

    for (uint32_t i = 0; i < b->ejections && pause < EJECT_MOST_MS; i++) {
        pause *= 2;
    }
    b->ejections++;
    b->ejected_until_ms = now_ms + pause;
}

void
rg_endpoint_opening_sent(struct rg_endpoint *b, uint64_t now_ms)
{
    if (b->waiting_since_ms == 0 ||
        now_ms - b->waiting_since_ms > RG_OPENING_TIMEOUT_MS)
    {
        b->waiting_since_ms = now_ms;
    }
}

void
rg_endpoint_reported_ejected(struct rg_endpoint *b, uint64_t now_ms)
{
    if (b->unanswered == 0) {
        b->unanswered = 1;
    }
    b->unanswered_ms = now_ms;
}

static void
note_silence(struct rg_endpoint *b, uint64_t now_ms)
{
    if (b->stalled == 0) {
        b->stalled_ms = now_ms;
    }
    if (b->place->stalled == 0) {
        b->place->stalled_ms = now_ms;
    }
    b->stalled++;
    b->place->stalled++;
}

void
rg_endpoint_request_repeated(struct rg_endpoint *b, uint64_t now_ms)
{
    note_silence(b, now_ms);
    if (rg_endpoint_is_unreachable(b, now_ms) &&
        !rg_endpoint_is_ejected(b, now_ms))
    {
        eject(b, now_ms);
    }
}

void
rg_endpoint_opening_repeated(struct rg_endpoint *b, uint64_t now_ms)
{
    note_silence(b, now_ms);
    b->unanswered++;
    b->unanswered_ms = now_ms;
    if (b->unanswered >= EJECT_AFTER && !rg_endpoint_is_ejected(b, now_ms)) {
        eject(b, now_ms);
    }
}

static bool
place_is_dead(const struct rg_data_centre *p, uint64_t now_ms)
{
    return p->stalled >= DEAD_PLACE_FLOWS &&
           now_ms - p->stalled_ms >= DEAD_AFTER_MS;
}

bool
rg_endpoint_is_unreachable(const struct rg_endpoint *b, uint64_t now_ms)
{
    if (b->stalled == 0 || now_ms - b->stalled_ms < DEAD_AFTER_MS ||
        now_ms - *b->anybody_ms > ANYBODY_MS)
    {
        return false;
    }
    return b->stalled >= DEAD_FLOWS || place_is_dead(b->place, now_ms);
}

void
rg_endpoint_responded(struct rg_endpoint *b, uint64_t now_ms)
{
    b->unanswered = 0;
    b->ejections = 0;
    b->ejected_until_ms = 0;
    b->waiting_since_ms = 0;
    b->stalled = 0;
    b->last_alive_ms = now_ms;
    b->place->alive_ms = now_ms;
    b->place->suspect = false;
    b->place->stalled = 0;
    *b->anybody_ms = now_ms;
}

void
rg_endpoint_request_answered(struct rg_endpoint *b, double ms, uint64_t now_ms)
{
    b->latency_ms = b->latency_ms == 0
                        ? ms
                        : b->latency_ms + LATENCY_GAIN * (ms - b->latency_ms);
    b->latency_at_ms = now_ms;
    rg_endpoint_responded(b, now_ms);
}

void
rg_endpoint_reset_failure_rate(struct rg_endpoint *b)
{
    b->failing = 0;
}

double
rg_endpoint_failure_rate(const struct rg_endpoint *b, uint64_t now_ms)
{
    if (b->failing <= 0) {
        return 0;
    }
    double age = (double)(now_ms - b->failing_ms);
    double left = b->failing * exp2(-age / FAILING_HALF_MS);
    return left < FAILING_LEAST ? 0 : left;
}

void
rg_endpoint_update_failure_rate(struct rg_endpoint *b, bool failed,
                                uint64_t now_ms)
{
    double before = rg_endpoint_failure_rate(b, now_ms);

    b->failing = before + FAILING_GAIN * ((failed ? 1 : 0) - before);
    b->failing_ms = now_ms;
}
