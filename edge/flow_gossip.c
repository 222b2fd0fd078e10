#include "edge/flow_gossip.h"

#include <stdlib.h>

#include "common/mem.h"
#include "edge/flow_codec.h"

/* Before a stop, peers are told of all flows this many times, as datagrams may
 * be lost, with this many ticks between. All fit into the shortest stop. */
#define LEAVE_ROUNDS 3
#define LEAVE_ROUND_TICKS 4

#define RECORDS_MAX                                                           \
    (sizeof(((struct rg_msg_flow_records *)NULL)->records) /                  \
     sizeof(((struct rg_msg_flow_records *)NULL)->records[0]))
#define QUERIES_MAX                                                           \
    (sizeof(((struct rg_msg_flow_query *)NULL)->flows) /                      \
     sizeof(((struct rg_msg_flow_query *)NULL)->flows[0]))

struct rg_flow_gossip {
    struct rg_flow_gossip_opts opts;
    unsigned rounds_left;
    unsigned ticks_to_round;
};

static uint64_t *
counters(struct rg_flow_gossip *g)
{
    return rg_balancer_metrics(g->opts.balancer)->counters;
}

static void
send_to_targets(struct rg_flow_gossip *g, const struct rg_msg *m,
                uint64_t now_ms)
{
    struct rg_addr to[RG_PEERS_MAX];
    size_t count = rg_peers_flow_targets(g->opts.peers, now_ms, to);

    for (size_t i = 0; i < count; i++) {
        g->opts.send(g->opts.ctx, m, &to[i]);
    }
}

static void
tell_peers(struct rg_flow_gossip *g, uint64_t now_ms)
{
    struct rg_flow_record records[RECORDS_MAX];
    struct rg_msg m = {.kind = RG_MSG_FLOW_RECORDS};
    struct rg_msg_flow_records *out = &m.u.flow_records;
    size_t count;

    out->from = g->opts.name;
    while ((count = rg_balancer_next_flow_records(g->opts.balancer, records,
                                                  RECORDS_MAX)) > 0)
    {
        for (size_t i = 0; i < count; i++) {
            out->records[i] = rg_flow_record_encode(&records[i]);
        }
        out->records_count = (uint16_t)count;
        counters(g)[RG_METRIC_FLOW_RECORDS_SENT] += count;
        send_to_targets(g, &m, now_ms);
        rg_home_gossip_tell_records(g->opts.homes, records, count, now_ms);
    }
}

static void
ask_peers(struct rg_flow_gossip *g, uint64_t now_ms)
{
    struct rg_flow_id flows[QUERIES_MAX];
    struct rg_msg m = {.kind = RG_MSG_FLOW_QUERY};
    struct rg_msg_flow_query *out = &m.u.flow_query;
    size_t count;

    out->addr = g->opts.addr;
    while ((count = rg_balancer_next_flow_queries(g->opts.balancer, flows,
                                                  QUERIES_MAX)) > 0)
    {
        for (size_t i = 0; i < count; i++) {
            out->flows[i] = rg_flow_encode(&flows[i]);
        }
        out->flows_count = (uint16_t)count;
        counters(g)[RG_METRIC_FLOW_QUERIES_SENT] += count;
        send_to_targets(g, &m, now_ms);
        rg_home_gossip_ask(g->opts.homes, flows, count, now_ms);
    }
}

void
rg_flow_gossip_exchange(struct rg_flow_gossip *g, uint64_t now_ms)
{
    rg_home_gossip_tell(g->opts.homes, now_ms);
    ask_peers(g, now_ms);
}

void
rg_flow_gossip_tick(struct rg_flow_gossip *g, uint64_t now_ms)
{
    if (g->rounds_left > 0 && g->ticks_to_round-- == 0) {
        g->rounds_left--;
        g->ticks_to_round = LEAVE_ROUND_TICKS;
        rg_balancer_tell_flows_again(g->opts.balancer);
    }
    tell_peers(g, now_ms);
    rg_flow_gossip_exchange(g, now_ms);
}

static void
answer_with_records(struct rg_flow_gossip *g,
                    const struct rg_msg_flow_query *query)
{
    struct rg_msg m = {.kind = RG_MSG_FLOW_RECORDS};
    struct rg_msg_flow_records *out = &m.u.flow_records;

    out->from = g->opts.name;
    for (uint16_t i = 0; i < query->flows_count; i++) {
        struct rg_flow_id flow = rg_flow_decode(&query->flows[i]);
        struct rg_flow_record record;
        if (rg_balancer_find_flow_record(g->opts.balancer, &flow, &record)) {
            out->records[out->records_count++] =
                rg_flow_record_encode(&record);
        }
    }
    if (out->records_count > 0) {
        counters(g)[RG_METRIC_FLOW_RECORDS_SENT] += out->records_count;
        g->opts.send(g->opts.ctx, &m, &query->addr);
    }
}

static void
answer_with_sightings(struct rg_flow_gossip *g,
                      const struct rg_msg_flow_query *query, uint64_t now_ms)
{
    struct rg_msg m = {.kind = RG_MSG_FLOW_SIGHTINGS};
    struct rg_msg_flow_sightings *out = &m.u.flow_sightings;

    out->from = g->opts.name;
    for (uint16_t i = 0; i < query->flows_count; i++) {
        struct rg_flow_id flow = rg_flow_decode(&query->flows[i]);
        uint64_t at_ms = rg_balancer_flow_seen_ms(g->opts.balancer, &flow);
        if (at_ms != 0 && at_ms <= now_ms) {
            out->sightings[out->sightings_count++] =
                (struct rg_msg_flow_sighting){
                    .flow = query->flows[i],
                    .age_ms = (uint32_t)(now_ms - at_ms),
                };
        }
    }
    if (out->sightings_count > 0) {
        g->opts.send(g->opts.ctx, &m, &query->addr);
    }
}

void
rg_flow_gossip_query(struct rg_flow_gossip *g,
                     const struct rg_msg_flow_query *query, uint64_t now_ms)
{
    answer_with_records(g, query);
    answer_with_sightings(g, query, now_ms);
}

void
rg_flow_gossip_sightings(struct rg_flow_gossip *g,
                         const struct rg_msg_flow_sightings *sightings,
                         uint64_t now_ms)
{
    uint32_t source = rg_peers_id(&sightings->from);

    for (uint16_t i = 0; i < sightings->sightings_count; i++) {
        const struct rg_msg_flow_sighting *s = &sightings->sightings[i];
        struct rg_flow_id flow = rg_flow_decode(&s->flow);
        if (s->age_ms <= now_ms) {
            rg_balancer_keep_sighting(g->opts.balancer, &flow, source,
                                      now_ms - s->age_ms, now_ms);
            rg_balancer_add_flow_sighting(g->opts.balancer, &flow,
                                          now_ms - s->age_ms, now_ms);
        }
    }
}

void
rg_flow_gossip_records(struct rg_flow_gossip *g,
                       const struct rg_msg_flow_records *records,
                       uint64_t now_ms)
{
    for (uint16_t i = 0; i < records->records_count; i++) {
        const struct rg_msg_flow_record *r = &records->records[i];
        struct rg_flow_record record = {
            .flow = rg_flow_decode(&r->flow),
            .token = r->token,
            .opening_seq = r->opening_seq,
            .ack = r->ack,
            .age_ms = r->age_ms,
        };
        rg_balancer_add_flow_record(g->opts.balancer, &record, now_ms);
    }
}

void
rg_flow_gossip_leave(struct rg_flow_gossip *g)
{
    g->rounds_left = LEAVE_ROUNDS;
    g->ticks_to_round = 0;
}

struct rg_flow_gossip *
rg_flow_gossip_create(const struct rg_flow_gossip_opts *opts)
{
    struct rg_flow_gossip *g = rg_calloc(1, sizeof(*g));

    g->opts = *opts;
    return g;
}

void
rg_flow_gossip_destroy(struct rg_flow_gossip *g)
{
    free(g);
}
