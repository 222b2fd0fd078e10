/* Encapsulation between instances: Generic UDP Encapsulation.
 *
 * Variant 1 (the UDP payload is the IP packet itself) is used by the fabric
 * and towards upstreams. Variant 0 carries, as private data, the steering
 * header below; with the control bit set it carries one peer message. */
#ifndef RG_CORE_GUE_H
#define RG_CORE_GUE_H

#include <stddef.h>
#include <stdint.h>

#include "common/addr.h"

/* Bytes of a GUE variant 0 header with a steering header. */
#define RG_GUE_STEER_LEN 68
/* Bytes of a GUE variant 0 header of a control message. */
#define RG_GUE_CONTROL_LEN 4

/* Instances a packet may pass before it is dropped as looping. */
#define RG_HOP_LIMIT 24

/* What the sender asks of the receiving instance. */
enum rg_steer_kind {
    RG_STEER_TO_OWNER = 1,   /* act as owner of the flow */
    RG_STEER_TO_REPLICA = 2, /* store a replica of the record, then forward */
    RG_STEER_LOOKUP = 3,     /* look for a record, return or pass on */
    RG_STEER_FOUND = 4,      /* the record looked for; forward as owner */
    RG_STEER_NOT_FOUND = 5,  /* no instance of the chain had a record */
    RG_STEER_REFUSE = 6,     /* store a refusal, then refuse the caller */
};

#define RG_STEER_TRACED 0x01      /* emit a span at each hop */
#define RG_STEER_ESTABLISHED 0x02 /* the record is past its opening */
#define RG_STEER_FINAL 0x04 /* no objection to the record can be under way */

/* The steering header, decoded. */
struct rg_steer {
    uint8_t kind; /* enum rg_steer_kind */
    uint8_t hops;
    uint8_t flags;
    uint64_t generation; /* configuration the choice was made under */
    uint64_t upstream;   /* identity of the chosen upstream, 0 for none */
    uint64_t sender;     /* identity of the instance that asks or answers */
    uint64_t target;     /* identity of the instance that is to handle it */
    struct rg_addr addr; /* address of the chosen upstream */
    uint64_t
        asked; /* instances a lookup has asked, in the owner's own terms */
};

enum rg_gue_kind {
    RG_GUE_INVALID,
    RG_GUE_DIRECT_IP, /* body is an IP packet from the fabric */
    RG_GUE_STEER,     /* body is an IP packet behind a steering header */
    RG_GUE_CONTROL,   /* body is a peer message */
};

/* One received datagram, taken apart. `body` borrows from the input. */
struct rg_gue {
    enum rg_gue_kind kind;
    struct rg_steer steer; /* for RG_GUE_STEER */
    const uint8_t *body;
    size_t body_len;
};

/* Never fails otherwise than by kind RG_GUE_INVALID. */
void rg_gue_parse(struct rg_gue *out, const uint8_t *data, size_t len);

/* Writes RG_GUE_STEER_LEN bytes. `inner_first` is the first byte of the IP
 * packet that follows. */
void rg_gue_write_steer(uint8_t out[RG_GUE_STEER_LEN],
                        const struct rg_steer *s, uint8_t inner_first);

/* Writes RG_GUE_CONTROL_LEN bytes. */
void rg_gue_write_control(uint8_t out[RG_GUE_CONTROL_LEN]);

#endif
