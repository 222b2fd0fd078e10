/* One packet of a flow as the steering code sees it, independent of the wire
 * format. */
#ifndef RG_BALANCE_SEGMENT_H
#define RG_BALANCE_SEGMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rand.h"

/* Both ends of a flow, in host byte order. Hashed and compared as raw memory,
 * so it must not have padding. */
struct rg_flow_id {
    uint32_t caller_ip;
    uint32_t service_ip;
    uint16_t caller_port;
    uint16_t service_port;
};

/* Hash of a flow, the same on all instances. */
static inline uint32_t
rg_flow_hash(const struct rg_flow_id *f)
{
    uint64_t addresses = (uint64_t)f->caller_ip << 32 | f->service_ip;
    uint64_t ports = (uint64_t)f->caller_port << 16 | f->service_port;

    return (uint32_t)(rg_mix64(rg_mix64(addresses) ^ ports) >> 32);
}

/* Sequence numbers further apart than this are taken for those of different
 * flows with the same ports. */
#define RG_SEQ_DISTANCE_MAX (UINT32_C(1) << 20)

/* True if both may be sequence numbers of one flow. */
static inline bool
rg_seq_is_near(uint32_t a, uint32_t b)
{
    return a - b + RG_SEQ_DISTANCE_MAX <= 2 * RG_SEQ_DISTANCE_MAX;
}

struct rg_segment {
    struct rg_flow_id flow;
    uint32_t token; /* last routing token the caller received, 0 for none */
    uint32_t seq;   /* sequence number of the first data byte */
    uint32_t ack;   /* next byte the caller expects; in an opening: number of
                       openings sent before this one */
    uint16_t len;   /* bytes of data */
    bool opening;   /* SYN */
    bool fin;
    bool reset;
};

#endif
