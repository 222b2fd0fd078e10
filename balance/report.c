/* What the balancer counts and logs. */
#include <arpa/inet.h>
#include <stdio.h>

#include "balance/priv.h"

/* Share of an opening's outcome in the share of those lost. */
#define LOST_GAIN 0.05

void
rg_bal_count(struct rg_balancer *b, enum rg_metric_counter c)
{
    b->tally.counters[c]++;
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
rg_bal_note_opening(struct rg_balancer *b, bool lost)
{
    b->lost_share += LOST_GAIN * ((lost ? 1 : 0) - b->lost_share);
}

void
rg_bal_log_opening(const struct rg_balancer *b, const struct rg_segment *s,
                   const struct rg_pick *made)
{
    static const char *const rules[] = {
        [RG_PICK_NONE] = "none",
        [RG_PICK_BEST] = "best",
        [RG_PICK_TRIAL] = "trial",
        [RG_PICK_PROBE] = "probe",
    };
    char flow[RG_FLOW_TEXT_MAX];

    rg_log_event(b->opts.log, RG_LOG_INFO, "OPENING",
                 "flow=\"%s\" copy=\"%u\" upstream=\"%s\" token=\"%08x\" "
                 "rule=\"%s\" cost=\"%.2f\" work=\"%u\" version=\"%llu\" "
                 "age_ms=\"%llu\"",
                 rg_flow_text(&s->flow, flow), s->ack, made->endpoint->id.s,
                 made->endpoint->token, rules[made->rule], made->cost,
                 made->endpoint->open_work,
                 (unsigned long long)rg_bal_version(b),
                 (unsigned long long)rg_bal_view_age_ms(b));
}

struct rg_decision
rg_bal_refuse(struct rg_balancer *b, const struct rg_segment *s,
              enum rg_metric_counter why, const char *reason)
{
    char flow[RG_FLOW_TEXT_MAX];

    rg_bal_count(b, why);
    rg_log_event(b->opts.log, RG_LOG_INFO, "REFUSED",
                 "flow=\"%s\" opening=\"%d\" reason=\"%s\" version=\"%llu\" "
                 "age_ms=\"%llu\"",
                 rg_flow_text(&s->flow, flow), s->opening, reason,
                 (unsigned long long)rg_bal_version(b),
                 (unsigned long long)rg_bal_view_age_ms(b));
    return (struct rg_decision){.kind = RG_DECISION_REFUSE};
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
