/* One packet of a flow as steering sees it, free of any wire format. */
#ifndef RG_BALANCE_SEGMENT_H
#define RG_BALANCE_SEGMENT_H

#include <stdbool.h>
#include <stdint.h>

/* A flow: the two ends of it, in host byte order. Hashed and compared as raw
 * memory; it has no padding. */
struct rg_flow_id {
    uint32_t caller_ip;
    uint32_t service_ip;
    uint16_t caller_port;
    uint16_t service_port;
};

struct rg_segment {
    struct rg_flow_id flow;
    uint32_t token; /* routing token the caller received last, 0 for none */
    uint32_t seq;   /* of the caller's first data byte here */
    uint32_t ack;   /* next byte the caller expects; in an opening: copies
                       sent before this one */
    uint16_t len;   /* bytes of data */
    bool opening;   /* SYN */
    bool fin;
    bool reset;
};

#endif
