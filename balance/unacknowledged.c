#include "balance/unacknowledged.h"

#include <math.h>

#include "balance/pool.h"

/* Evidence expires after this time. The last gap between two retransmissions
 * before most deadlines is shorter. */
#define EVIDENCE_MAX_MS 1500
/* A process that is frozen for a moment goes on within this time. */
#define FROZEN_MAX_MS 1800
/* Upstreams of one data centre that are not silent by chance at the same
 * time. */
#define DC_MIN_UPSTREAMS 3
/* A request waits this long, so that peers have told of responses since it was
 * sent, or half of its deadline if that is less. */
#define DC_MIN_WAIT_MS 800
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
/* Other instances that must have evidence of the same upstream. One is enough
 * among few, where each hears soon of every response. */
#define REPORTS_MIN RG_UNACKNOWLEDGED_REPORTS
#define FEW_INSTANCES 4
/* A data centre is silent after this many mean intervals between its responses
 * here, within these limits: chance explains no such gap, or peers have told
 * of others' responses by then. */
#define DC_GAP_FACTOR 4
#define DC_SILENT_MIN_MS 700
#define DC_SILENT_MAX_MS 1500
/* Gain of the moving average of these intervals. */
#define DC_GAP_GAIN 0.05
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

/* Other instances with recent evidence. */
static size_t
recent_reports(const struct rg_endpoint *e, uint64_t now_ms)
{
    size_t count = 0;

    for (int i = 0; i < RG_UNACKNOWLEDGED_REPORTS; i++) {
        count += is_recent(e->unacknowledged.reports[i].at_ms, now_ms);
    }
    return count;
}

bool
rg_unacknowledged_is_recent(const struct rg_endpoint *e, uint64_t now_ms)
{
    return is_recent(e->unacknowledged.own_ms, now_ms) ||
           recent_reports(e, now_ms) > 0;
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
add_to_data_centre(struct rg_endpoint *e, uint64_t at_ms)
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
    if (at_ms > dc->upstreams[oldest].at_ms) {
        dc->upstreams[oldest].token = e->token;
        dc->upstreams[oldest].at_ms = at_ms;
    }
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
    add_to_data_centre(e, now_ms);
}

/* Keeps the latest evidence of different instances. */
static void
add_source(struct rg_unacknowledged *u, uint32_t source, uint64_t at_ms)
{
    int oldest = 0;

    for (int i = 0; i < RG_UNACKNOWLEDGED_REPORTS; i++) {
        if (u->reports[i].source == source) {
            oldest = i;
            break;
        }
        if (u->reports[i].at_ms < u->reports[oldest].at_ms) {
            oldest = i;
        }
    }
    if (at_ms > u->reports[oldest].at_ms) {
        u->reports[oldest].source = source;
        u->reports[oldest].at_ms = at_ms;
    }
}

void
rg_unacknowledged_add_report(struct rg_endpoint *e, uint32_t source,
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
    add_source(u, source, r->at_ms);
    add_to_data_centre(e, r->at_ms);
    dc->reported_ms = later(dc->reported_ms, r->at_ms);
}

void
rg_unacknowledged_update_responses(const struct rg_endpoint *e,
                                   struct rg_unacknowledged_report *r,
                                   uint64_t now_ms)
{
    const struct rg_unacknowledged_dc *dc = &e->data_centre->unacknowledged;
    bool matter = false;

    for (int i = 0; i < RG_UNACKNOWLEDGED_UPSTREAMS; i++) {
        matter = matter || is_recent(dc->upstreams[i].at_ms, now_ms);
    }
    if (!matter) {
        return;
    }
    r->response_ms = last_response_ms(e);
    r->dc_response_ms = dc_last_response_ms(e->data_centre);
}

bool
rg_unacknowledged_responded(struct rg_endpoint *e, uint64_t now_ms)
{
    struct rg_unacknowledged *u = &e->unacknowledged;
    struct rg_data_centre *dc = e->data_centre;
    double gap_ms = (double)(now_ms - dc->last_response_ms);
    bool tell =
        rg_unacknowledged_is_recent(e, now_ms) &&
        (u->denied_ms == 0 || now_ms - u->denied_ms >= DENIAL_INTERVAL_MS);

    if (tell) {
        u->denied_ms = now_ms;
    }
    if (dc->last_response_ms != 0) {
        dc->unacknowledged.response_gap_ms +=
            DC_GAP_GAIN * (gap_ms - dc->unacknowledged.response_gap_ms);
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
           r->instances <= 1 && !r->overloaded &&
           now_ms - *e->any_response_ms <= ANY_RESPONSE_MAX_MS;
}

static uint64_t
min_wait_ms(const struct rg_unacknowledged_request *r)
{
    return r->timeout_ms != 0 && r->timeout_ms / 2 < DC_MIN_WAIT_MS
               ? r->timeout_ms / 2
               : DC_MIN_WAIT_MS;
}

static double
silent_after_ms(const struct rg_data_centre *dc)
{
    return fmin(fmax(DC_GAP_FACTOR * dc->unacknowledged.response_gap_ms,
                     DC_SILENT_MIN_MS),
                DC_SILENT_MAX_MS);
}

static bool
data_centre_is_silent(const struct rg_endpoint *e,
                      const struct rg_unacknowledged_request *r,
                      uint64_t now_ms)
{
    const struct rg_data_centre *dc = e->data_centre;
    const struct rg_unacknowledged_dc *u = &dc->unacknowledged;
    uint64_t response_ms = dc_last_response_ms(dc);
    int upstreams = 0;

    if (response_ms >= r->sent_ms + RESPONSE_DELAY_MS ||
        now_ms - r->sent_ms < min_wait_ms(r) ||
        (double)(now_ms - response_ms) < silent_after_ms(dc))
    {
        return false;
    }
    for (int i = 0; i < RG_UNACKNOWLEDGED_UPSTREAMS; i++) {
        upstreams += is_recent(u->upstreams[i].at_ms, now_ms) &&
                     u->upstreams[i].at_ms > response_ms;
    }
    return upstreams >= DC_MIN_UPSTREAMS &&
           (is_recent(u->reported_ms, now_ms) ||
            own_evidence_counts(e, dc->retransmissions, r, now_ms));
}

bool
rg_unacknowledged_can_wait(uint32_t timeout_ms)
{
    return timeout_ms > FROZEN_MAX_MS;
}

bool
rg_unacknowledged_may_be_frozen(const struct rg_endpoint *e,
                                uint32_t timeout_ms, uint64_t now_ms)
{
    return rg_unacknowledged_can_wait(timeout_ms) &&
           rg_unacknowledged_is_recent(e, now_ms) &&
           now_ms - e->unacknowledged.since_ms < FROZEN_MAX_MS;
}

static bool
upstream_is_silent(const struct rg_endpoint *e,
                   const struct rg_unacknowledged_request *r, uint64_t now_ms)
{
    size_t needed = r->instances > FEW_INSTANCES ? REPORTS_MIN : 1;

    return !rg_unacknowledged_may_be_frozen(e, r->timeout_ms, now_ms) &&
           (recent_reports(e, now_ms) >= needed ||
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
