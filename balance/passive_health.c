#include "balance/passive_health.h"

#include <math.h>

/* Openings repeated in a row that eject an upstream; a single one may be a
 * lost datagram. */
#define EJECT_MIN_UNANSWERED 2
#define EJECT_MIN_MS 1000
#define EJECT_MAX_MS 8000

/* Repeated openings and requests that make an upstream unreachable. One is
 * enough if its whole data centre is silent, which takes
 * UNREACHABLE_DC_REPEATS repeats. */
#define UNREACHABLE_REPEATS 2
#define UNREACHABLE_DC_REPEATS 3
/* A live upstream answers a repeated packet within this time. */
#define UNREACHABLE_MIN_MS 250
/* Some upstream must have responded within this time; otherwise the fault is
 * probably in this instance. */
#define ANY_RESPONSE_MAX_MS 400

/* Gain of the moving average of the latency. */
#define LATENCY_GAIN 0.15
/* Gain of the moving average of the failure rate. */
#define FAILURE_RATE_GAIN 0.2
/* Half-life of the failure rate. */
#define FAILURE_RATE_HALF_LIFE_MS 4000.0
/* A lower failure rate counts as zero: among idle upstreams the smallest
 * difference in cost decides. */
#define FAILURE_RATE_MIN 0.03

bool
rg_endpoint_is_ejected(const struct rg_endpoint *b, uint64_t now_ms)
{
    return now_ms < b->ejected_until_ms;
}

static void
eject(struct rg_endpoint *b, uint64_t now_ms)
{
    uint64_t ejection = EJECT_MIN_MS;

    for (uint32_t i = 0; i < b->ejections && ejection < EJECT_MAX_MS; i++) {
        ejection *= 2;
    }
    b->ejections++;
    b->ejected_until_ms = now_ms + ejection;
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
    b->last_unanswered_ms = now_ms;
}

static void
note_repeat(struct rg_endpoint *b, uint64_t now_ms)
{
    if (b->repeats == 0) {
        b->first_repeat_ms = now_ms;
    }
    if (b->data_centre->repeats == 0) {
        b->data_centre->first_repeat_ms = now_ms;
    }
    b->repeats++;
    b->data_centre->repeats++;
}

void
rg_endpoint_request_repeated(struct rg_endpoint *b, uint64_t now_ms)
{
    note_repeat(b, now_ms);
    if (rg_endpoint_is_unreachable(b, now_ms) &&
        !rg_endpoint_is_ejected(b, now_ms))
    {
        eject(b, now_ms);
    }
}

void
rg_endpoint_opening_repeated(struct rg_endpoint *b, uint64_t now_ms)
{
    note_repeat(b, now_ms);
    b->unanswered++;
    b->last_unanswered_ms = now_ms;
    if (b->unanswered >= EJECT_MIN_UNANSWERED &&
        !rg_endpoint_is_ejected(b, now_ms))
    {
        eject(b, now_ms);
    }
}

static bool
data_centre_is_unreachable(const struct rg_data_centre *p, uint64_t now_ms)
{
    return p->repeats >= UNREACHABLE_DC_REPEATS &&
           now_ms - p->first_repeat_ms >= UNREACHABLE_MIN_MS;
}

bool
rg_endpoint_is_unreachable(const struct rg_endpoint *b, uint64_t now_ms)
{
    if (b->repeats == 0 || now_ms - b->first_repeat_ms < UNREACHABLE_MIN_MS ||
        now_ms - *b->any_response_ms > ANY_RESPONSE_MAX_MS)
    {
        return false;
    }
    return b->repeats >= UNREACHABLE_REPEATS ||
           data_centre_is_unreachable(b->data_centre, now_ms);
}

void
rg_endpoint_responded(struct rg_endpoint *b, uint64_t now_ms)
{
    b->unanswered = 0;
    b->ejections = 0;
    b->ejected_until_ms = 0;
    b->waiting_since_ms = 0;
    b->repeats = 0;
    b->last_response_ms = now_ms;
    b->data_centre->last_response_ms = now_ms;
    b->data_centre->suspect = false;
    b->data_centre->repeats = 0;
    *b->any_response_ms = now_ms;
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
    b->failure_rate = 0;
}

double
rg_endpoint_failure_rate(const struct rg_endpoint *b, uint64_t now_ms)
{
    if (b->failure_rate <= 0) {
        return 0;
    }
    double age = (double)(now_ms - b->failure_rate_ms);
    double rate = b->failure_rate * exp2(-age / FAILURE_RATE_HALF_LIFE_MS);
    return rate < FAILURE_RATE_MIN ? 0 : rate;
}

void
rg_endpoint_update_failure_rate(struct rg_endpoint *b, bool failed,
                                uint64_t now_ms)
{
    double before = rg_endpoint_failure_rate(b, now_ms);

    b->failure_rate = before + FAILURE_RATE_GAIN * ((failed ? 1 : 0) - before);
    b->failure_rate_ms = now_ms;
}
