/* What instances tell each other of single flows.
 *
 * Most flows need no exchange, as their token names their endpoint. If two
 * upstreams have answered an opening, the token that the caller sends may be
 * that of the one which it did not take, and only an instance that saw the
 * flow open knows the right one. It tells its peers once the flow has been
 * open for a while, and again before a planned stop. An instance that gets a
 * packet which does not show its endpoint asks.
 *
 * An instance that is about to reset a flow, as its request seems to hang,
 * asks as well: if a peer has got packets of the flow since, the fabric has
 * moved it, and the answer went by way of that peer. Bounded; no I/O. */
#ifndef RG_BALANCE_FLOW_RECORDS_H
#define RG_BALANCE_FLOW_RECORDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/segment.h"

/* An open flow and the endpoint that its caller took. */
struct rg_flow_record {
    struct rg_flow_id flow;
    uint32_t token;       /* of the endpoint */
    uint32_t opening_seq; /* initial sequence number of the caller */
    uint32_t ack;         /* last acknowledgement seen */
    uint32_t age_ms;      /* since its opening */
};

/* Flows that peers are told of between two ticks, and that they are asked
 * for. */
#define RG_FLOW_RECORDS_MAX 64
#define RG_FLOW_QUERIES_MAX 32
/* Round of a flow that no peer has been told of, and the first other one. */
#define RG_FLOW_NOT_TOLD 0
#define RG_FLOW_FIRST_ROUND 1

/* Zero-initialise it but for the round. */
struct rg_flow_sync {
    struct rg_flow_id records[RG_FLOW_RECORDS_MAX];
    size_t record_count;
    struct rg_flow_id queries[RG_FLOW_QUERIES_MAX];
    size_t query_count;
    uint8_t round; /* flows told in an earlier one are told again; not
                      RG_FLOW_NOT_TOLD */
};

#endif
