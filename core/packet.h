/* Inner packets: parses IPv4 and IPv6 packets with their TCP or UDP header,
 * and builds packets, among them the refusals that the balancer sends itself.
 * See RFC 791, 8200, 9293, 768, 792, 4443. No allocation; all functions are
 * pure.
 */
#ifndef RG_CORE_PACKET_H
#define RG_CORE_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/addr.h"

#define RG_PROTO_TCP 6
#define RG_PROTO_UDP 17

#define RG_TCP_FIN 0x01
#define RG_TCP_SYN 0x02
#define RG_TCP_RST 0x04
#define RG_TCP_ACK 0x10

/* Identifies a flow. Compared and hashed as raw memory, so every byte must be
 * set, padding included. */
struct rg_flow_key {
    uint8_t src[RG_IP_LEN]; /* caller */
    uint8_t dst[RG_IP_LEN]; /* service */
    uint16_t sport;
    uint16_t dport;
    uint8_t proto; /* RG_PROTO_TCP or RG_PROTO_UDP */
    uint8_t zero[3];
};

/* The parsed fields of one inner packet. `payload` points into the parsed
 * buffer. */
struct rg_packet {
    struct rg_flow_key key;
    uint8_t tcp_flags; /* 0 for UDP */
    uint32_t tcp_seq;
    uint32_t tcp_ack;
    const uint8_t *payload;
    size_t payload_len;
};

/* Why a packet was not accepted. */
enum rg_packet_status {
    RG_PACKET_OK,
    RG_PACKET_TRUNCATED,
    RG_PACKET_BAD_VERSION,
    RG_PACKET_BAD_LENGTH,
    RG_PACKET_FRAGMENT,
    RG_PACKET_BAD_PROTOCOL,
};

/* Parses the packet in `data`. `out` is valid only for RG_PACKET_OK. */
enum rg_packet_status rg_packet_parse(struct rg_packet *out,
                                      const uint8_t *data, size_t len);

/* Upper bound of the bytes of IP and transport header built below. */
#define RG_PACKET_HEAD_MAX 60

/* Builds the packet `p` into `out`, with IP and TCP or UDP headers, checksums
 * and payload. Returns its length, or 0 if it does not fit or the addresses
 * are of different families. */
size_t rg_packet_build(uint8_t *out, size_t size, const struct rg_packet *p);

/* Builds the refusal of `p`, addressed to the caller: an RST for an opening
 * segment, ICMP port unreachable for a datagram. The RST has sequence number 0
 * and acknowledges the opening segment only, so the caller accepts it only
 * while it has sent nothing else. `data` is the refused packet as received.
 * Returns the length, or 0 if it does not fit. */
size_t rg_packet_build_refusal(uint8_t *out, size_t size,
                               const struct rg_packet *p, const uint8_t *data,
                               size_t len);

/* The flow key of packets in the opposite direction. */
struct rg_flow_key rg_flow_key_reverse(const struct rg_flow_key *key);

#endif
