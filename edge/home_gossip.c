#include "edge/home_gossip.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "edge/flow_codec.h"

/* Rows of a message. */
#define ROWS_MAX                                                              \
    (sizeof(((struct rg_msg_home_query *)NULL)->questions) /                  \
     sizeof(((struct rg_msg_home_query *)NULL)->questions[0]))

struct rg_home_gossip {
    struct rg_home_gossip_opts opts;
    uint32_t id; /* of this instance */
};

/* One flow, and one of its homes. */
struct delivery {
    struct rg_addr to;
    size_t flow; /* index */
};

/* Flows to be sent to their homes, each home in as few messages as possible.
 */
struct mailing {
    struct delivery deliveries[RG_HOME_GOSSIP_MAX * RG_FLOW_HOMES_MAX];
    size_t count;
    /* Puts the flow of this index into the row of the message. */
    void (*put)(struct rg_msg *m, size_t row, const void *rows, size_t flow);
    const void *rows; /* passed to it */
};

static uint64_t *
counters(struct rg_home_gossip *h)
{
    return rg_balancer_metrics(h->opts.balancer)->counters;
}

static int
compare_deliveries(const void *a, const void *b)
{
    const struct delivery *x = a;
    const struct delivery *y = b;
    int order = memcmp(x->to.ip, y->to.ip, sizeof(x->to.ip));

    return order != 0 ? order : (int)x->to.port - (int)y->to.port;
}

/* Sends the deliveries. `m` is the message without rows; they are replaced
 * again and again. */
static void
send_mailing(struct rg_home_gossip *h, struct mailing *mail, struct rg_msg *m,
             void (*set_count)(struct rg_msg *m, uint16_t count))
{
    qsort(mail->deliveries, mail->count, sizeof(mail->deliveries[0]),
          compare_deliveries);
    for (size_t i = 0; i < mail->count;) {
        const struct rg_addr *to = &mail->deliveries[i].to;
        uint16_t rows = 0;
        while (i < mail->count && rows < ROWS_MAX &&
               rg_addr_eq(&mail->deliveries[i].to, to))
        {
            mail->put(m, rows++, mail->rows, mail->deliveries[i++].flow);
        }
        set_count(m, rows);
        h->opts.send(h->opts.ctx, m, to);
    }
}

static size_t
find_homes(const struct rg_home_gossip *h, const struct rg_flow_id *flow,
           uint64_t now_ms, struct rg_flow_home out[RG_FLOW_HOMES_MAX])
{
    return rg_peers_flow_homes(h->opts.peers,
                               rg_balancer_instances(h->opts.balancer),
                               rg_flow_hash(flow), now_ms, out);
}

static void
add_deliveries(struct mailing *mail, size_t flow,
               const struct rg_flow_home *homes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (!homes[i].self) {
            mail->deliveries[mail->count++] =
                (struct delivery){homes[i].addr, flow};
        }
    }
}

/* --- questions ----------------------------------------------------------- */

/* This instance may be a home itself. */
static void
answer_self(struct rg_home_gossip *h, const struct rg_flow_question *question,
            uint64_t now_ms)
{
    struct rg_home_report report = {
        .answer = rg_balancer_answer_question(h->opts.balancer, question,
                                              h->id, now_ms),
        .home = h->id,
        .asked_ms = now_ms,
        .since_ms = rg_balancer_listening_since_ms(h->opts.balancer, now_ms),
    };

    rg_balancer_add_home_report(h->opts.balancer, &report, now_ms);
}

static void
put_question(struct rg_msg *m, size_t row, const void *rows, size_t flow)
{
    const struct rg_flow_question *q =
        &((const struct rg_flow_question *)rows)[flow];

    m->u.home_query.questions[row] = (struct rg_msg_flow_question){
        .flow = rg_flow_encode(&q->flow), .seq = q->seq};
}

static void
set_question_count(struct rg_msg *m, uint16_t count)
{
    m->u.home_query.questions_count = count;
}

void
rg_home_gossip_ask(struct rg_home_gossip *h, const struct rg_flow_id *flows,
                   size_t count, uint64_t now_ms)
{
    struct rg_flow_question questions[RG_HOME_GOSSIP_MAX];
    struct mailing mail = {.put = put_question, .rows = questions};
    struct rg_msg m = {.kind = RG_MSG_HOME_QUERY};

    m.u.home_query.from = h->opts.name;
    m.u.home_query.addr = h->opts.addr;
    m.u.home_query.asked_ms = (uint32_t)now_ms;
    for (size_t i = 0; i < count; i++) {
        struct rg_flow_home homes[RG_FLOW_HOMES_MAX];
        size_t n = find_homes(h, &flows[i], now_ms, homes);
        questions[i] =
            rg_balancer_ask_homes(h->opts.balancer, &flows[i], homes, n);
        add_deliveries(&mail, i, homes, n);
        for (size_t j = 0; j < n; j++) {
            if (homes[j].self) {
                answer_self(h, &questions[i], now_ms);
            }
        }
    }
    counters(h)[RG_METRIC_HOME_QUERIES_SENT] += mail.count;
    send_mailing(h, &mail, &m, set_question_count);
}

static struct rg_msg_flow_answer
encode_answer(const struct rg_flow_answer *a, uint64_t now_ms)
{
    return (struct rg_msg_flow_answer){
        .flow = rg_flow_encode(&a->flow),
        .known = a->known,
        .seen = a->seen,
        .seen_age_ms =
            a->seen_ms ? (uint32_t)(now_ms - a->seen_ms) : UINT32_MAX,
    };
}

/* Sends the records of those flows whose endpoint is known here. */
static void
answer_with_records(struct rg_home_gossip *h,
                    const struct rg_msg_home_query *query)
{
    struct rg_msg m = {.kind = RG_MSG_FLOW_RECORDS};
    struct rg_msg_flow_records *out = &m.u.flow_records;

    out->from = h->opts.name;
    for (uint16_t i = 0; i < query->questions_count; i++) {
        struct rg_flow_id flow = rg_flow_decode(&query->questions[i].flow);
        struct rg_flow_record record;
        if (rg_balancer_find_flow_record(h->opts.balancer, &flow, &record)) {
            out->records[out->records_count++] =
                rg_flow_record_encode(&record);
        }
    }
    if (out->records_count > 0) {
        counters(h)[RG_METRIC_FLOW_RECORDS_SENT] += out->records_count;
        h->opts.send(h->opts.ctx, &m, &query->addr);
    }
}

void
rg_home_gossip_query(struct rg_home_gossip *h,
                     const struct rg_msg_home_query *query, uint64_t now_ms)
{
    struct rg_msg m = {.kind = RG_MSG_HOME_ANSWER};
    struct rg_msg_home_answer *out = &m.u.home_answer;
    uint32_t asker = rg_peers_id(&query->from);

    answer_with_records(h, query);
    out->from = h->opts.name;
    out->asked_ms = query->asked_ms;
    out->listening_ms = (uint32_t)(now_ms - rg_balancer_listening_since_ms(
                                                h->opts.balancer, now_ms));
    for (uint16_t i = 0; i < query->questions_count; i++) {
        struct rg_flow_question question = {
            .flow = rg_flow_decode(&query->questions[i].flow),
            .seq = query->questions[i].seq,
        };
        struct rg_flow_answer answer = rg_balancer_answer_question(
            h->opts.balancer, &question, asker, now_ms);
        out->answers[out->answers_count++] = encode_answer(&answer, now_ms);
    }
    counters(h)[RG_METRIC_HOME_ANSWERS_SENT] += out->answers_count;
    h->opts.send(h->opts.ctx, &m, &query->addr);
}

void
rg_home_gossip_answer(struct rg_home_gossip *h,
                      const struct rg_msg_home_answer *answer, uint64_t now_ms)
{
    uint32_t ago_ms = (uint32_t)now_ms - answer->asked_ms;

    if (ago_ms > now_ms || answer->listening_ms > now_ms) {
        return;
    }
    for (uint16_t i = 0; i < answer->answers_count; i++) {
        const struct rg_msg_flow_answer *a = &answer->answers[i];
        struct rg_home_report report = {
            .answer = {.flow = rg_flow_decode(&a->flow),
                       .known = a->known,
                       .seen = a->seen,
                       .seen_ms = a->seen && a->seen_age_ms < now_ms
                                      ? now_ms - a->seen_age_ms
                                      : 0},
            .home = rg_peers_id(&answer->from),
            .asked_ms = now_ms - ago_ms,
            .since_ms = now_ms - answer->listening_ms,
        };
        rg_balancer_add_home_report(h->opts.balancer, &report, now_ms);
    }
}

/* --- news ---------------------------------------------------------------- */

struct told_arrival {
    struct rg_flow_arrival arrival;
    uint32_t age_ms;
};

static void
put_arrival(struct rg_msg *m, size_t row, const void *rows, size_t flow)
{
    const struct told_arrival *a = &((const struct told_arrival *)rows)[flow];

    m->u.flow_sightings.sightings[row] = (struct rg_msg_flow_sighting){
        .flow = rg_flow_encode(&a->arrival.flow), .age_ms = a->age_ms};
}

static void
set_arrival_count(struct rg_msg *m, uint16_t count)
{
    m->u.flow_sightings.sightings_count = count;
}

static void
tell_arrivals(struct rg_home_gossip *h, const struct rg_flow_arrival *arrivals,
              size_t count, uint64_t now_ms)
{
    struct told_arrival rows[RG_HOME_GOSSIP_MAX];
    struct mailing mail = {.put = put_arrival, .rows = rows};
    struct rg_msg m = {.kind = RG_MSG_FLOW_SIGHTINGS};

    m.u.flow_sightings.from = h->opts.name;
    for (size_t i = 0; i < count; i++) {
        struct rg_flow_home homes[RG_FLOW_HOMES_MAX];
        rows[i] = (struct told_arrival){
            .arrival = arrivals[i],
            .age_ms = (uint32_t)(now_ms - arrivals[i].at_ms),
        };
        add_deliveries(&mail, i, homes,
                       find_homes(h, &arrivals[i].flow, now_ms, homes));
    }
    counters(h)[RG_METRIC_ARRIVALS_SENT] += mail.count;
    send_mailing(h, &mail, &m, set_arrival_count);
}

static void
put_record(struct rg_msg *m, size_t row, const void *rows, size_t flow)
{
    const struct rg_flow_record *records = rows;

    m->u.flow_records.records[row] = rg_flow_record_encode(&records[flow]);
}

static void
set_record_count(struct rg_msg *m, uint16_t count)
{
    m->u.flow_records.records_count = count;
}

void
rg_home_gossip_tell_records(struct rg_home_gossip *h,
                            const struct rg_flow_record *records, size_t count,
                            uint64_t now_ms)
{
    struct mailing mail = {.put = put_record, .rows = records};
    struct rg_msg m = {.kind = RG_MSG_FLOW_RECORDS};

    m.u.flow_records.from = h->opts.name;
    for (size_t i = 0; i < count; i++) {
        struct rg_flow_home homes[RG_FLOW_HOMES_MAX];
        add_deliveries(&mail, i, homes,
                       find_homes(h, &records[i].flow, now_ms, homes));
    }
    counters(h)[RG_METRIC_FLOW_RECORDS_SENT] += mail.count;
    send_mailing(h, &mail, &m, set_record_count);
}

/* The flows may have closed since they were queued. */
static void
tell_endpoints(struct rg_home_gossip *h, const struct rg_flow_id *flows,
               size_t count, uint64_t now_ms)
{
    struct rg_flow_record records[RG_HOME_GOSSIP_MAX];
    size_t found = 0;

    for (size_t i = 0; i < count; i++) {
        found += rg_balancer_find_flow_record(h->opts.balancer, &flows[i],
                                              &records[found]);
    }
    rg_home_gossip_tell_records(h, records, found, now_ms);
}

void
rg_home_gossip_tell(struct rg_home_gossip *h, uint64_t now_ms)
{
    struct rg_flow_arrival arrivals[RG_HOME_GOSSIP_MAX];
    struct rg_flow_id flows[RG_HOME_GOSSIP_MAX];
    size_t count;

    while ((count = rg_balancer_next_arrivals(h->opts.balancer, arrivals,
                                              RG_HOME_GOSSIP_MAX)) > 0)
    {
        tell_arrivals(h, arrivals, count, now_ms);
    }
    while ((count = rg_balancer_next_home_records(h->opts.balancer, flows,
                                                  RG_HOME_GOSSIP_MAX)) > 0)
    {
        tell_endpoints(h, flows, count, now_ms);
    }
}

struct rg_home_gossip *
rg_home_gossip_create(const struct rg_home_gossip_opts *opts)
{
    struct rg_home_gossip *h = rg_calloc(1, sizeof(*h));

    h->opts = *opts;
    h->id = rg_peers_id(&opts->name);
    return h;
}

void
rg_home_gossip_destroy(struct rg_home_gossip *h)
{
    free(h);
}
