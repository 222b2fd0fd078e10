/* The platform's packets as upstreams and callers write them. */
#ifndef RG_STANDIN_SOAK_WIRE_H
#define RG_STANDIN_SOAK_WIRE_H

#include <stddef.h>
#include <stdint.h>

#define SOAK_HEADER_LEN 34
#define SOAK_PREFIX_LEN 8
#define SOAK_DATA_MAX 64

enum {
    SOAK_ACK = 2,
    SOAK_RST = 32,
    SOAK_SYN = 64,
    SOAK_FIN = 128,
};

struct soak_packet {
    uint32_t token;
    uint32_t seq;
    uint32_t ack;
    uint32_t dst;
    uint32_t src;
    uint16_t dport;
    uint16_t sport;
    uint8_t flags;
    uint16_t len;
    char data[SOAK_DATA_MAX + 1]; /* terminated */
};

/* Returns the length. */
size_t soak_pack(const struct soak_packet *p, uint8_t *out);
/* 0 if malformed. */
int soak_unpack(struct soak_packet *p, const uint8_t *in, size_t len);

#endif
