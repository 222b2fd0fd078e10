#include "balance/passive_health.h"

#include <math.h>

/* Openings retransmitted in a row that eject an upstream; a single one may be
 * due to a lost datagram. */
#define EJECT_MIN_UNANSWERED 2
/* The ejection time doubles with each ejection in a row. */
#define EJECT_MIN_MS 1000
#define EJECT_MAX_MS 8000

/* Number of retransmitted openings and requests from which on an upstream
 * counts as unreachable. A single one is enough if its whole data centre is
 * silent, with at least UNREACHABLE_DC_RETRANSMISSIONS in total. */
#define UNREACHABLE_RETRANSMISSIONS 2
#define UNREACHABLE_DC_RETRANSMISSIONS 3
/* A live upstream answers a retransmitted packet within this time. */
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
rg_endpoint_is_ejected(const struct rg_endpoint *e, uint64_t now_ms)
{
    return now_ms < e->ejected_until_ms;
}

static void
eject(struct rg_endpoint *e, uint64_t now_ms)
{
    uint64_t ejection = EJECT_MIN_MS;

    for (uint32_t i = 0; i < e->ejections && ejection < EJECT_MAX_MS; i++) {
        ejection *= 2;
    }
    e->ejections++;
    e->ejected_until_ms = now_ms + ejection;
}

void
rg_endpoint_opening_sent(struct rg_endpoint *e, uint64_t now_ms)
{
    if (e->waiting_since_ms == 0 ||
        now_ms - e->waiting_since_ms > RG_OPENING_TIMEOUT_MS)
    {
        e->waiting_since_ms = now_ms;
    }
}

void
rg_endpoint_reported_ejected(struct rg_endpoint *e, uint64_t now_ms)
{
    if (e->unanswered == 0) {
        e->unanswered = 1;
    }
    e->last_unanswered_ms = now_ms;
}

static void
note_retransmission(struct rg_endpoint *e, uint64_t now_ms)
{
    if (e->retransmissions == 0) {
        e->first_retransmission_ms = now_ms;
    }
    if (e->data_centre->retransmissions == 0) {
        e->data_centre->first_retransmission_ms = now_ms;
    }
    e->retransmissions++;
    e->data_centre->retransmissions++;
}

void
rg_endpoint_request_retransmitted(struct rg_endpoint *e, uint64_t now_ms)
{
    note_retransmission(e, now_ms);
    if (rg_endpoint_is_unreachable(e, now_ms) &&
        !rg_endpoint_is_ejected(e, now_ms))
    {
        eject(e, now_ms);
    }
}

void
rg_endpoint_opening_retransmitted(struct rg_endpoint *e, uint64_t now_ms)
{
    note_retransmission(e, now_ms);
    e->unanswered++;
    e->last_unanswered_ms = now_ms;
    if (e->unanswered >= EJECT_MIN_UNANSWERED &&
        !rg_endpoint_is_ejected(e, now_ms))
    {
        eject(e, now_ms);
    }
}

static bool
data_centre_is_unreachable(const struct rg_data_centre *dc, uint64_t now_ms)
{
    return dc->retransmissions >= UNREACHABLE_DC_RETRANSMISSIONS &&
           now_ms - dc->first_retransmission_ms >= UNREACHABLE_MIN_MS;
}

bool
rg_endpoint_is_unreachable(const struct rg_endpoint *e, uint64_t now_ms)
{
    if (e->retransmissions == 0 ||
        now_ms - e->first_retransmission_ms < UNREACHABLE_MIN_MS ||
        now_ms - *e->any_response_ms > ANY_RESPONSE_MAX_MS)
    {
        return false;
    }
    return e->retransmissions >= UNREACHABLE_RETRANSMISSIONS ||
           data_centre_is_unreachable(e->data_centre, now_ms);
}

void
rg_endpoint_responded(struct rg_endpoint *e, uint64_t now_ms)
{
    e->unanswered = 0;
    e->ejections = 0;
    e->ejected_until_ms = 0;
    e->waiting_since_ms = 0;
    e->retransmissions = 0;
    e->last_response_ms = now_ms;
    e->data_centre->last_response_ms = now_ms;
    e->data_centre->suspect = false;
    e->data_centre->retransmissions = 0;
    *e->any_response_ms = now_ms;
}

void
rg_endpoint_request_answered(struct rg_endpoint *e, double ms, uint64_t now_ms)
{
    e->latency_ms = e->latency_ms == 0
                        ? ms
                        : e->latency_ms + LATENCY_GAIN * (ms - e->latency_ms);
    e->latency_at_ms = now_ms;
    rg_endpoint_responded(e, now_ms);
}

void
rg_endpoint_reset_failure_rate(struct rg_endpoint *e)
{
    e->failure_rate = 0;
}

double
rg_endpoint_failure_rate(const struct rg_endpoint *e, uint64_t now_ms)
{
    if (e->failure_rate <= 0) {
        return 0;
    }
    double age = (double)(now_ms - e->failure_rate_ms);
    double rate = e->failure_rate * exp2(-age / FAILURE_RATE_HALF_LIFE_MS);
    return rate < FAILURE_RATE_MIN ? 0 : rate;
}

void
rg_endpoint_update_failure_rate(struct rg_endpoint *e, bool failed,
                                uint64_t now_ms)
{
    double before = rg_endpoint_failure_rate(e, now_ms);

    e->failure_rate = before + FAILURE_RATE_GAIN * ((failed ? 1 : 0) - before);
    e->failure_rate_ms = now_ms;
}
