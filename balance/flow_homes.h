/* Questions to the homes of a flow, and what homes keep.
 *
 * A reset of an open flow, or data sent to an upstream that its caller did not
 * take, cannot be taken back. Both need to know that no other instance has
 * seen the flow, or knows its endpoint; that nobody has said so is not enough,
 * since the one that knows may not have been asked, or its answer was lost.
 *
 * Every flow has up to three homes, see rg_peers_flow_homes(). They are told
 * of each flow that arrives at another instance than before, and of the
 * endpoint of each flow that two upstreams may have. They answer every
 * question, also with "not here, and I would have been told since T". Two of
 * them have to say so; silence is no answer. Bounded; no I/O. */
#ifndef RG_BALANCE_FLOW_HOMES_H
#define RG_BALANCE_FLOW_HOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/peers.h"
#include "balance/segment.h"

struct rg_balancer;

/* Homes that have to answer, or all if there are fewer. One may have lost a
 * message, or have become a home only lately. */
#define RG_FLOW_HOMES_NEEDED 2
/* A home keeps for this long where a flow was seen. */
#define RG_FLOW_SIGHTING_KEPT_MS 10000
/* Flows that are remembered as asked for, as told, and as seen by others. A
 * later one replaces another. */
#define RG_FLOW_ASKED_MAX 1024
#define RG_FLOW_TOLD_MAX 1024
#define RG_FLOW_SEEN_MAX 4096
/* Arrivals that homes are told of between two ticks. */
#define RG_FLOW_ARRIVALS_MAX 256
/* Endpoints of flows that homes are told of at a time. */
#define RG_FLOW_HOME_RECORDS_MAX 64
/* Instances that a home remembers for each flow. */
#define RG_FLOW_SEEN_BY 2

/* The last answer of a home. */
struct rg_home_answer {
    uint32_t home;     /* its id */
    bool known;        /* it knows the endpoint of the flow */
    bool seen;         /* another instance got packets of it */
    uint64_t asked_ms; /* when it was asked, 0: no answer yet */
    uint64_t since_ms; /* it has missed nothing since then */
};

/* A flow that was asked for. */
struct rg_flow_asked {
    uint32_t hash;
    uint32_t seq;
    uint64_t at_ms; /* last question, 0: the entry is free */
    uint8_t home_count;
    struct rg_home_answer answers[RG_FLOW_HOMES_MAX];
};

/* A flow that has arrived here. */
struct rg_flow_arrival {
    struct rg_flow_id flow;
    uint32_t seq;   /* of its packet */
    uint64_t at_ms; /* 0: the entry is free */
};

/* A flow that other instances have seen. */
struct rg_flow_seen {
    uint32_t hash;
    uint32_t evicted_ms; /* low bits of the time at which another flow was
                            dropped here, 0: never */
    struct {
        uint32_t source; /* id of the instance */
        uint32_t at_ms;  /* low bits of the time, 0: free */
    } by[RG_FLOW_SEEN_BY];
};

/* Zero-initialise it. */
struct rg_flow_homes {
    struct rg_flow_asked asked[RG_FLOW_ASKED_MAX];
    struct rg_flow_arrival told[RG_FLOW_TOLD_MAX];
    struct rg_flow_seen seen[RG_FLOW_SEEN_MAX];
    struct rg_flow_arrival arrivals[RG_FLOW_ARRIVALS_MAX];
    size_t arrival_count;
    size_t arrivals_left;   /* until the next tick */
    size_t told_again_next; /* entry that is told again next */
    struct rg_flow_id records[RG_FLOW_HOME_RECORDS_MAX];
    size_t record_count;
    uint64_t listening_ms; /* nothing was missed since then, 0: the start */
};

/* --- asking -------------------------------------------------------------- */

struct rg_flow_question {
    struct rg_flow_id flow;
    uint32_t seq; /* of a packet of the caller */
};

/* What a home knows of a flow. */
struct rg_flow_answer {
    struct rg_flow_id flow;
    bool known;       /* its endpoint is, or was, known */
    bool seen;        /* an instance other than the asking one got packets */
    uint64_t seen_ms; /* the last of them, 0: not known when */
};

/* The same, with who says so. */
struct rg_home_report {
    struct rg_flow_answer answer;
    uint32_t home;
    uint64_t asked_ms;
    uint64_t since_ms; /* the home has missed nothing since then */
};

/* A question for the flow is sent to these homes. Returns it. */
struct rg_flow_question
rg_balancer_ask_homes(struct rg_balancer *b, const struct rg_flow_id *flow,
                      const struct rg_flow_home homes[RG_FLOW_HOMES_MAX],
                      size_t count);

/* Handles the answer of a home. */
void rg_balancer_add_home_report(struct rg_balancer *b,
                                 const struct rg_home_report *report,
                                 uint64_t now_ms);

/* --- telling ------------------------------------------------------------- */

/* Flows that have arrived here, of which their homes have to be told. Returns
 * their number, at most `max`. */
size_t rg_balancer_next_arrivals(struct rg_balancer *b,
                                 struct rg_flow_arrival *out, size_t max);

/* Flows whose endpoint their homes have to be told of. */
size_t rg_balancer_next_home_records(struct rg_balancer *b,
                                     struct rg_flow_id *out, size_t max);

/* True if peers have to be asked for flows, or their homes to be told of any.
 */
bool rg_balancer_has_flow_news(const struct rg_balancer *b);

/* --- as a home ----------------------------------------------------------- */

/* The instance `source` got a packet of the flow at `at_ms`. */
void rg_balancer_keep_sighting(struct rg_balancer *b,
                               const struct rg_flow_id *flow, uint32_t source,
                               uint64_t at_ms, uint64_t now_ms);

/* Answers a question of the instance `asker`. */
struct rg_flow_answer
rg_balancer_answer_question(const struct rg_balancer *b,
                            const struct rg_flow_question *question,
                            uint32_t asker, uint64_t now_ms);

/* Since when this instance has missed nothing that it was told as a home, as
 * far as it has to know: sightings are kept for a while only. */
uint64_t rg_balancer_listening_since_ms(const struct rg_balancer *b,
                                        uint64_t now_ms);

#endif
