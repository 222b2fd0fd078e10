#include "balance/unacknowledged.h"

#include "balance/pool.h"

/* Evidence expires after this time. The last gap between two retransmissions
 * before most deadlines is shorter. */
#define EVIDENCE_MAX_MS 1500
/* A process that is frozen for a moment goes on within this time. */
#define FROZEN_MAX_MS 1800
/* Upstreams of one data centre that are not silent by chance at the same
 * time. */
#define DC_MIN_UPSTREAMS 3
/* Without local peers: retransmitted flows in a row without a response from
 * the upstream or its data centre. */
#define OWN_FLOWS_MIN 2
/* The same if the paths lose packets: even if half are lost, fewer than one in
 * 200 such rows occurs by chance. */
#define OWN_FLOWS_MIN_LOSSY 8
/* A path loses packets from this share of retransmitted requests on. */
#define LOSSY_SHARE 0.1
/* Gain of the moving average of that share: about 20 answers. */
#define LOSSY_GAIN 0.05
/* Without local peers, some upstream must have responded within this time;
 * else the fault may be in this instance. */
#define ANY_RESPONSE_MAX_MS 400
/* A response that is seen this long after a request was sent may have been
 * sent before it: paths, and delayed acknowledgements of callers. */
#define RESPONSE_DELAY_MS 100
/* Peers are told of responses no more often; two gossip periods. */
#define DENIAL_INTERVAL_MS 400

static bool
is_recent(uint64_t at_ms, uint64_t now_ms)
{
    return at_ms != 0 && now_ms - at_ms <= EVIDENCE_MAX_MS;
}

static uint64_t
later(uint64_t a, uint64_t b)
{
    return a > b ? a : b;
}

/* Last response to any caller, as far as is known. */
static uint64_t
last_response_ms(const struct rg_endpoint *e)
{
    return later(e->last_response_ms, e->unacknowledged.reported_response_ms);
}

static uint64_t
dc_last_response_ms(const struct rg_data_centre *dc)
{
    return later(dc->last_response_ms,
                 dc->unacknowledged.reported_response_ms);
}

bool
rg_unacknowledged_is_recent(const struct rg_endpoint *e, uint64_t now_ms)
{
    return is_recent(e->unacknowledged.own_ms, now_ms) ||
           is_recent(e->unacknowledged.reported_ms, now_ms);
}

/* Extends the time of silence. It begins anew after a response, and after a
 * time without evidence. */
static void
extend_silence(struct rg_endpoint *e, uint64_t sent_ms, uint64_t now_ms)
{
    struct rg_unacknowledged *u = &e->unacknowledged;
    bool begins = !rg_unacknowledged_is_recent(e, now_ms) ||
                  last_response_ms(e) >= u->since_ms;

    if (begins || sent_ms < u->since_ms) {
        u->since_ms = later(sent_ms, last_response_ms(e));
    }
}

/* Keeps the evidence of the upstreams where it is the most recent. */
static void
add_to_data_centre(struct rg_endpoint *e, bool reported, uint64_t at_ms,
                   uint64_t now_ms)
{
    struct rg_unacknowledged_dc *dc = &e->data_centre->unacknowledged;
    int oldest = 0;

    for (int i = 0; i < RG_UNACKNOWLEDGED_UPSTREAMS; i++) {
        if (dc->upstreams[i].token == e->token) {
            oldest = i;
            break;
        }
        if (dc->upstreams[i].at_ms < dc->upstreams[oldest].at_ms) {
            oldest = i;
        }
    }
    bool same = dc->upstreams[oldest].token == e->token &&
                is_recent(dc->upstreams[oldest].at_ms, now_ms);
    if (!same && dc->upstreams[oldest].at_ms > at_ms) {
        return;
    }
    dc->upstreams[oldest].reported =
        reported || (same && dc->upstreams[oldest].reported);
    dc->upstreams[oldest].at_ms =
        same ? later(at_ms, dc->upstreams[oldest].at_ms) : at_ms;
    dc->upstreams[oldest].token = e->token;
}

void
rg_unacknowledged_add(struct rg_endpoint *e, uint64_t sent_ms,
                      uint32_t repeats, uint64_t now_ms)
{
    struct rg_unacknowledged *u = &e->unacknowledged;

    if (repeats < RG_UNACKNOWLEDGED_REPEATS) {
        return;
    }
    extend_silence(e, sent_ms, now_ms);
    u->own_ms = now_ms;
    add_to_data_centre(e, false, now_ms, now_ms);
}

void
rg_unacknowledged_add_report(struct rg_endpoint *e,
                             const struct rg_unacknowledged_report *r,
                             uint64_t now_ms)
{
    struct rg_unacknowledged *u = &e->unacknowledged;
    struct rg_unacknowledged_dc *dc = &e->data_centre->unacknowledged;

    u->reported_response_ms = later(u->reported_response_ms, r->response_ms);
    dc->reported_response_ms = later(dc->reported_response_ms,
                                     later(r->response_ms, r->dc_response_ms));
    if (!is_recent(r->at_ms, now_ms) || r->at_ms <= last_response_ms(e)) {
        return;
    }
    extend_silence(e, r->at_ms, now_ms);
    u->reported_ms = later(u->reported_ms, r->at_ms);
    add_to_data_centre(e, true, r->at_ms, now_ms);
}

bool
rg_unacknowledged_responded(struct rg_endpoint *e, uint64_t now_ms)
{
    struct rg_unacknowledged *u = &e->unacknowledged;
    bool tell =
        rg_unacknowledged_is_recent(e, now_ms) &&
        (u->denied_ms == 0 || now_ms - u->denied_ms >= DENIAL_INTERVAL_MS);

    if (tell) {
        u->denied_ms = now_ms;
    }
    return tell;
}

void
rg_unacknowledged_answered(struct rg_endpoint *e, bool retransmitted)
{
    double *share = &e->data_centre->unacknowledged.retransmitted_share;

    *share += LOSSY_GAIN * ((retransmitted ? 1 : 0) - *share);
}

/* Own evidence alone, of `flows` retransmitted ones in a row, is weaker: this
 * instance or its paths may be at fault. */
static bool
own_evidence_counts(const struct rg_endpoint *e, uint32_t flows,
                    const struct rg_unacknowledged_request *r, uint64_t now_ms)
{
    bool lossy =
        e->data_centre->unacknowledged.retransmitted_share >= LOSSY_SHARE;

    return flows >= (lossy ? OWN_FLOWS_MIN_LOSSY : OWN_FLOWS_MIN) &&
           !r->has_peers && !r->overloaded &&
           now_ms - *e->any_response_ms <= ANY_RESPONSE_MAX_MS;
}

static bool
data_centre_is_silent(const struct rg_endpoint *e,
                      const struct rg_unacknowledged_request *r,
                      uint64_t now_ms)
{
    const struct rg_data_centre *dc = e->data_centre;
    int upstreams = 0;
    bool reported = false;

    if (dc_last_response_ms(dc) >= r->sent_ms + RESPONSE_DELAY_MS) {
        return false;
    }
    for (int i = 0; i < RG_UNACKNOWLEDGED_UPSTREAMS; i++) {
        if (is_recent(dc->unacknowledged.upstreams[i].at_ms, now_ms)) {
            upstreams++;
            reported |= dc->unacknowledged.upstreams[i].reported;
        }
    }
    return upstreams >= DC_MIN_UPSTREAMS &&
           (reported ||
            own_evidence_counts(e, dc->retransmissions, r, now_ms));
}

bool
rg_unacknowledged_may_be_frozen(const struct rg_endpoint *e,
                                uint32_t timeout_ms, uint64_t now_ms)
{
    return timeout_ms > FROZEN_MAX_MS &&
           rg_unacknowledged_is_recent(e, now_ms) &&
           now_ms - e->unacknowledged.since_ms < FROZEN_MAX_MS;
}

static bool
upstream_is_silent(const struct rg_endpoint *e,
                   const struct rg_unacknowledged_request *r, uint64_t now_ms)
{
    const struct rg_unacknowledged *u = &e->unacknowledged;

    return !rg_unacknowledged_may_be_frozen(e, r->timeout_ms, now_ms) &&
           (is_recent(u->reported_ms, now_ms) ||
            own_evidence_counts(e, e->retransmissions, r, now_ms));
}

enum rg_unacknowledged_reason
rg_unacknowledged_check(const struct rg_endpoint *e,
                        const struct rg_unacknowledged_request *r,
                        uint64_t now_ms)
{
    if (last_response_ms(e) >= r->sent_ms + RESPONSE_DELAY_MS) {
        return RG_REACHABLE;
    }
    if (e->state == RG_ENDPOINT_GONE) {
        return RG_UNREACHABLE_GONE;
    }
    if (data_centre_is_silent(e, r, now_ms)) {
        return RG_UNREACHABLE_DATA_CENTRE;
    }
    return upstream_is_silent(e, r, now_ms) ? RG_UNREACHABLE_UPSTREAM
                                            : RG_REACHABLE;
}
