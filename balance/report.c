/* Counters and log lines of the balancer. */
#include <arpa/inet.h>
#include <stdio.h>

#include "balance/priv.h"

/* Gain of the moving average of the share of lost openings. */
#define LOST_GAIN 0.05
/* Dropped and held packets that are logged between two ticks: a flood of them
 * must not use up the log's rate. */
#define DROPPED_LINES_PER_TICK 5
/* The same for flows that the fabric has moved here, which may be all flows of
 * another instance. */
#define UNTRACKED_LINES_PER_TICK 5

static const char *
state_text(const struct rg_tracked_flow *t)
{
    static const char *const states[] = {
        [RG_TRACKED_OPENING] = "opening",
        [RG_TRACKED_IDLE] = "idle",
        [RG_TRACKED_REQUEST] = "request",
        [RG_TRACKED_CLOSED] = "closed",
    };

    return t ? states[t->state] : "untracked";
}

static const char *
upstream_text(const struct rg_tracked_flow *t)
{
    return t ? t->endpoint->id.s : "-";
}

void
rg_bal_count(struct rg_balancer *b, enum rg_metric_counter c)
{
    b->metrics.counters[c]++;
}

const char *
rg_flow_text(const struct rg_flow_id *f, char out[RG_FLOW_TEXT_MAX])
{
    char caller[INET_ADDRSTRLEN];
    char service[INET_ADDRSTRLEN];
    uint32_t from = htonl(f->caller_ip);
    uint32_t to = htonl(f->service_ip);

    inet_ntop(AF_INET, &from, caller, sizeof(caller));
    inet_ntop(AF_INET, &to, service, sizeof(service));
    snprintf(out, RG_FLOW_TEXT_MAX, "%s:%u>%s:%u", caller, f->caller_port,
             service, f->service_port);
    return out;
}

void
rg_bal_update_lost_share(struct rg_balancer *b, bool lost)
{
    b->lost_share += LOST_GAIN * ((lost ? 1 : 0) - b->lost_share);
}

void
rg_bal_log_opening(const struct rg_balancer *b, const struct rg_segment *s,
                   const struct rg_tracked_flow *t,
                   const struct rg_pick *picked, uint32_t token)
{
    static const char *const rules[] = {
        [RG_PICK_NONE] = "none",     [RG_PICK_BEST] = "best",
        [RG_PICK_TRIAL] = "trial",   [RG_PICK_PROBE] = "probe",
        [RG_PICK_SECOND] = "second", [RG_PICK_SAME] = "same",
    };
    char flow[RG_FLOW_TEXT_MAX];

    rg_log_event(b->opts.log, RG_LOG_INFO, "OPENING",
                 "flow=\"%s\" copy=\"%u\" seq=\"%08x\" state=\"%s\" "
                 "before=\"%s\" upstream=\"%s\" token=\"%08x\" "
                 "rule=\"%s\" cost=\"%.2f\" work=\"%u\" version=\"%llu\" "
                 "age_ms=\"%llu\"",
                 rg_flow_text(&s->flow, flow), s->ack, s->seq, state_text(t),
                 upstream_text(t), picked->endpoint->id.s, token,
                 rules[picked->rule], picked->cost,
                 picked->endpoint->open_work,
                 (unsigned long long)rg_bal_version(b),
                 (unsigned long long)rg_bal_view_age_ms(b));
}

/* Logs a packet that is not forwarded, with what is known of its flow. */
static void
log_packet(const struct rg_balancer *b, const struct rg_segment *s,
           const char *event, const char *reason)
{
    const struct rg_tracked_flow *t =
        rg_tracked_flows_find(b->flows, &s->flow);
    char flow[RG_FLOW_TEXT_MAX];

    rg_log_event(b->opts.log, RG_LOG_INFO, event,
                 "flow=\"%s\" opening=\"%d\" reason=\"%s\" state=\"%s\" "
                 "upstream=\"%s\" token=\"%08x\" seq=\"%08x\" ack=\"%u\" "
                 "version=\"%llu\" age_ms=\"%llu\"",
                 rg_flow_text(&s->flow, flow), s->opening, reason,
                 state_text(t), upstream_text(t), s->token, s->seq, s->ack,
                 (unsigned long long)rg_bal_version(b),
                 (unsigned long long)rg_bal_view_age_ms(b));
}

struct rg_decision
rg_bal_refuse(struct rg_balancer *b, const struct rg_segment *s,
              enum rg_metric_counter counter, const char *reason)
{
    rg_bal_count(b, counter);
    log_packet(b, s, "REFUSED", reason);
    return (struct rg_decision){.kind = RG_DECISION_REFUSE};
}

struct rg_decision
rg_bal_drop(struct rg_balancer *b, const struct rg_segment *s,
            enum rg_metric_counter counter, const char *reason)
{
    rg_bal_count(b, counter);
    if (b->dropped_lines < DROPPED_LINES_PER_TICK) {
        b->dropped_lines++;
        log_packet(b, s, "DROPPED", reason);
    }
    return (struct rg_decision){.kind = RG_DECISION_DROP};
}

struct rg_decision
rg_bal_hold(struct rg_balancer *b, const struct rg_segment *s,
            const char *reason)
{
    rg_bal_count(b, RG_METRIC_HELD);
    if (b->dropped_lines < DROPPED_LINES_PER_TICK) {
        b->dropped_lines++;
        log_packet(b, s, "HELD", reason);
    }
    return (struct rg_decision){.kind = RG_DECISION_HOLD};
}

void
rg_bal_log_wait(struct rg_balancer *b, const struct rg_segment *s)
{
    rg_bal_count(b, RG_METRIC_OPENINGS_WAITED);
    if (b->dropped_lines < DROPPED_LINES_PER_TICK) {
        b->dropped_lines++;
        log_packet(b, s, "WAITS", "no-room");
    }
}

void
rg_bal_log_limit(const struct rg_balancer *b, uint32_t service)
{
    const struct rg_capacity *c = &b->services[service].capacity;

    rg_log_event(b->opts.log, RG_LOG_NOTICE,
                 b->services[service].limiting ? "LIMITED" : "UNLIMITED",
                 "service=\"%s\" per_s=\"%.1f\" slots=\"%.2f\" "
                 "factor=\"%.2f\" work_ms=\"%.1f\" demand=\"%.2f\" "
                 "waiting=\"%zu\" instances=\"%zu\" share=\"%.4f\"",
                 rg_pool_service_name(b->pool, service)->s,
                 rg_capacity_per_s(c), c->slots, c->factor, c->work_ms,
                 c->demand, rg_admission_queue_count(b->waiting),
                 b->fleet.instances, b->fleet.share);
}

void
rg_bal_log_token(const struct rg_balancer *b, const struct rg_segment *s,
                 const struct rg_tracked_flow *t,
                 const struct rg_endpoint *named, const char *event)
{
    char flow[RG_FLOW_TEXT_MAX];

    rg_log_event(b->opts.log, RG_LOG_INFO, event,
                 "flow=\"%s\" state=\"%s\" upstream=\"%s\" named=\"%s\" "
                 "token=\"%08x\" seq=\"%08x\" ack=\"%u\" len=\"%u\" "
                 "since_ms=\"%llu\"",
                 rg_flow_text(&s->flow, flow), state_text(t),
                 t->endpoint->id.s, named->id.s, s->token, s->seq, s->ack,
                 s->len, (unsigned long long)(b->now_ms - t->since_ms));
}

void
rg_bal_log_untracked(struct rg_balancer *b, const struct rg_segment *s,
                     const struct rg_endpoint *endpoint)
{
    char flow[RG_FLOW_TEXT_MAX];

    if (b->untracked_lines == UNTRACKED_LINES_PER_TICK) {
        return;
    }
    b->untracked_lines++;
    rg_log_event(b->opts.log, RG_LOG_INFO, "UNTRACKED",
                 "flow=\"%s\" upstream=\"%s\" token=\"%08x\" seq=\"%08x\" "
                 "ack=\"%u\" len=\"%u\"",
                 rg_flow_text(&s->flow, flow), endpoint->id.s, s->token,
                 s->seq, s->ack, s->len);
}

void
rg_bal_log_forgotten(const struct rg_balancer *b,
                     const struct rg_tracked_flow *t)
{
    char flow[RG_FLOW_TEXT_MAX];

    rg_log_event(b->opts.log, RG_LOG_INFO, "FORGOTTEN",
                 "flow=\"%s\" state=\"%s\" upstream=\"%s\" "
                 "idle_ms=\"%llu\" open_ms=\"%llu\"",
                 rg_flow_text(&t->flow, flow), state_text(t),
                 t->endpoint->id.s,
                 (unsigned long long)(b->now_ms - t->last_ms),
                 (unsigned long long)(b->now_ms - t->opened_ms));
}

void
rg_bal_log_flow_record(const struct rg_balancer *b,
                       const struct rg_tracked_flow *t)
{
    char flow[RG_FLOW_TEXT_MAX];

    rg_log_event(b->opts.log, RG_LOG_INFO, "FLOW_TOLD",
                 "flow=\"%s\" upstream=\"%s\" seq=\"%08x\" "
                 "open_ms=\"%llu\"",
                 rg_flow_text(&t->flow, flow), t->endpoint->id.s,
                 t->opening_seq,
                 (unsigned long long)(b->now_ms - t->opened_ms));
}

void
rg_bal_log_admission(const struct rg_balancer *b, uint32_t service,
                     const struct rg_admit_load *load)
{
    const struct rg_admit *a = &b->services[service].admit;

    rg_log_event(b->opts.log, RG_LOG_INFO, a->full ? "FULL" : "NOT_FULL",
                 "service=\"%s\" busy=\"%.1f\" slots=\"%.1f\" "
                 "open=\"%.0f\" answers_per_s=\"%.0f\" slow=\"%.2f\" "
                 "instances=\"%zu\" share=\"%.4f\"",
                 rg_pool_service_name(b->pool, service)->s, a->busy,
                 load->slots, a->open, a->rate * 1000, a->slow_share,
                 b->fleet.instances, b->fleet.share);
}

void
rg_bal_log_locality(const struct rg_balancer *b, uint32_t service)
{
    const struct rg_bal_service *s = &b->services[service];
    const struct rg_locality *l = &s->locality;
    uint64_t since_ms = s->locality_since_ms;

    rg_log_event(b->opts.log, RG_LOG_NOTICE, "LEAVING",
                 "service=\"%s\" share=\"%.2f\" reason=\"%s\" "
                 "since_ms=\"%llu\" utilisation=\"%.2f\" "
                 "remote_utilisation=\"%.2f\" leave_at=\"%.2f\" "
                 "work_ms=\"%.1f\" cost=\"%.2f\"",
                 rg_pool_service_name(b->pool, service)->s, l->share,
                 rg_locality_reason_text(l->reason),
                 (unsigned long long)(since_ms ? b->now_ms - since_ms : 0),
                 l->utilisation, l->remote_utilisation, l->leave_at,
                 l->work_ms, l->remote_cost);
}
