/* Carries what balancers ask and tell the homes of flows, without network. The
 * balancer with index i has the id i + 1. */
#ifndef RG_TEST_FAKE_HOMES_H
#define RG_TEST_FAKE_HOMES_H

#include <glib.h>

#include "balance/balancer.h"
#include "balance/flow_homes.h"
#include "common/rand.h"

#define FAKE_HOMES_BATCH 32

struct fake_homes {
    struct rg_balancer *const *balancers;
    int count;
    /* Whether messages from one to the other arrive; NULL: all do. */
    bool (*arrives)(void *ctx, int from, int to);
    void *ctx;
};

static inline uint32_t
fake_homes_id(int balancer)
{
    return (uint32_t)balancer + 1;
}

static inline bool
fake_homes_arrives(const struct fake_homes *h, int from, int to)
{
    return from == to || !h->arrives || h->arrives(h->ctx, from, to);
}

static inline bool
fake_homes_has(const struct rg_flow_home *homes, size_t count, int balancer)
{
    for (size_t i = 0; i < count; i++) {
        if (homes[i].id == fake_homes_id(balancer)) {
            return true;
        }
    }
    return false;
}

/* The balancers that rank first for a flow. */
static inline size_t
fake_homes_find(const struct fake_homes *h, const struct rg_flow_id *flow,
                struct rg_flow_home out[RG_FLOW_HOMES_MAX])
{
    uint32_t hash = rg_flow_hash(flow);
    size_t count = 0;

    while (count < RG_FLOW_HOMES_MAX && count < (size_t)h->count) {
        uint64_t best = 0;
        int found = -1;
        for (int i = 0; i < h->count; i++) {
            uint64_t rank = rg_mix64((uint64_t)fake_homes_id(i) << 32 | hash);
            if (!fake_homes_has(out, count, i) && (found < 0 || rank > best)) {
                best = rank;
                found = i;
            }
        }
        out[count++] = (struct rg_flow_home){.id = fake_homes_id(found)};
    }
    return count;
}

/* A home answers, if the question reaches it and the answer comes back. */
static inline void
fake_homes_answer(const struct fake_homes *h, int from, int home,
                  const struct rg_flow_question *question, uint64_t now_ms)
{
    struct rg_balancer *b = h->balancers[home];
    struct rg_flow_record record;

    if (!fake_homes_arrives(h, from, home) ||
        !fake_homes_arrives(h, home, from)) {
        return;
    }
    if (rg_balancer_find_flow_record(b, &question->flow, &record)) {
        rg_balancer_add_flow_record(h->balancers[from], &record, now_ms);
    }
    struct rg_home_report report = {
        .answer = rg_balancer_answer_question(b, question, fake_homes_id(from),
                                              now_ms),
        .home = fake_homes_id(home),
        .asked_ms = now_ms,
        .since_ms = rg_balancer_listening_since_ms(b, now_ms),
    };
    rg_balancer_add_home_report(h->balancers[from], &report, now_ms);
}

/* Asks the homes of these flows. */
static inline void
fake_homes_ask(const struct fake_homes *h, int from,
               const struct rg_flow_id *flows, size_t count, uint64_t now_ms)
{
    struct rg_flow_home homes[RG_FLOW_HOMES_MAX];

    for (size_t i = 0; i < count; i++) {
        size_t n = fake_homes_find(h, &flows[i], homes);
        struct rg_flow_question question =
            rg_balancer_ask_homes(h->balancers[from], &flows[i], homes, n);
        for (size_t j = 0; j < n; j++) {
            fake_homes_answer(h, from, (int)homes[j].id - 1, &question,
                              now_ms);
        }
    }
}

static inline void
fake_homes_tell_endpoint(const struct fake_homes *h, int from, int home,
                         const struct rg_flow_id *flow, uint64_t now_ms)
{
    struct rg_flow_record record;

    if (from != home && fake_homes_arrives(h, from, home) &&
        rg_balancer_find_flow_record(h->balancers[from], flow, &record))
    {
        rg_balancer_add_flow_record(h->balancers[home], &record, now_ms);
    }
}

static inline void
fake_homes_tell_arrival(const struct fake_homes *h, int from, int home,
                        const struct rg_flow_arrival *arrival, uint64_t now_ms)
{
    if (from != home && fake_homes_arrives(h, from, home)) {
        rg_balancer_keep_sighting(h->balancers[home], &arrival->flow,
                                  fake_homes_id(from), arrival->at_ms, now_ms);
        rg_balancer_add_flow_sighting(h->balancers[home], &arrival->flow,
                                      arrival->at_ms, now_ms);
    }
}

/* Tells homes all that a balancer has for them. */
static inline void
fake_homes_tell(const struct fake_homes *h, int from, uint64_t now_ms)
{
    struct rg_balancer *b = h->balancers[from];
    struct rg_flow_home homes[RG_FLOW_HOMES_MAX];
    struct rg_flow_arrival arrival;
    struct rg_flow_id flow;

    while (rg_balancer_next_arrivals(b, &arrival, 1) > 0) {
        size_t n = fake_homes_find(h, &arrival.flow, homes);
        for (size_t i = 0; i < n; i++) {
            fake_homes_tell_arrival(h, from, (int)homes[i].id - 1, &arrival,
                                    now_ms);
        }
    }
    while (rg_balancer_next_home_records(b, &flow, 1) > 0) {
        size_t n = fake_homes_find(h, &flow, homes);
        for (size_t i = 0; i < n; i++) {
            fake_homes_tell_endpoint(h, from, (int)homes[i].id - 1, &flow,
                                     now_ms);
        }
    }
}

/* Tells homes, and asks them what a balancer wants to know. */
static inline void
fake_homes_exchange(const struct fake_homes *h, int from, uint64_t now_ms)
{
    struct rg_flow_id flows[FAKE_HOMES_BATCH];
    size_t count;

    fake_homes_tell(h, from, now_ms);
    while ((count = rg_balancer_next_flow_queries(h->balancers[from], flows,
                                                  FAKE_HOMES_BATCH)) > 0)
    {
        fake_homes_ask(h, from, flows, count, now_ms);
    }
}

/* Decides on a packet as the edge does: data that cannot be forwarded yet is
 * held, homes are asked, and it is decided on again. */
static inline struct rg_decision
fake_homes_send(const struct fake_homes *h, int to, const struct rg_segment *s,
                uint64_t now_ms)
{
    struct rg_decision d = rg_balancer_packet(h->balancers[to], s, now_ms);
    bool unproven = d.kind == RG_DECISION_DROP && s->len > 0;

    fake_homes_exchange(h, to, now_ms);
    if (d.kind == RG_DECISION_HOLD || unproven) {
        d = rg_balancer_held_packet(h->balancers[to], s, now_ms);
        fake_homes_exchange(h, to, now_ms);
    }
    return d;
}

#endif
