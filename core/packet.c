#include "core/packet.h"

#include <string.h>

#define IPV4_HEAD 20
#define IPV6_HEAD 40
#define TCP_HEAD 20
#define UDP_HEAD 8
#define ICMP_HEAD 8
#define HOP_LIMIT 64
#define PROTO_ICMP 1
#define PROTO_ICMP6 58
#define ICMP_UNREACHABLE 3
#define ICMP_PORT_UNREACHABLE 3
#define ICMP6_UNREACHABLE 1
#define ICMP6_PORT_UNREACHABLE 4
/* Bytes of the refused packet quoted in an ICMP message. */
#define ICMP_QUOTE_MAX 128
#define TCP_WINDOW 65535

static uint16_t
get16(const uint8_t *p)
{
    return (uint16_t)(p[0] << 8 | p[1]);
}

static uint32_t
get32(const uint8_t *p)
{
    return (uint32_t)get16(p) << 16 | get16(p + 2);
}

static void
put16(uint8_t *p, uint16_t v)
{
    p[0] = (uint8_t)(v >> 8);
    p[1] = (uint8_t)v;
}

static void
put32(uint8_t *p, uint32_t v)
{
    put16(p, (uint16_t)(v >> 16));
    put16(p + 2, (uint16_t)v);
}

static enum rg_packet_status
parse_tcp(struct rg_packet *out, const uint8_t *seg, size_t len)
{
    if (len < TCP_HEAD) {
        return RG_PACKET_TRUNCATED;
    }
    size_t head = (size_t)(seg[12] >> 4) * 4;
    if (head < TCP_HEAD || head > len) {
        return RG_PACKET_BAD_LENGTH;
    }
    out->tcp_seq = get32(seg + 4);
    out->tcp_ack = get32(seg + 8);
    out->tcp_flags = seg[13];
    out->payload = seg + head;
    out->payload_len = len - head;
    return RG_PACKET_OK;
}

static enum rg_packet_status
parse_udp(struct rg_packet *out, const uint8_t *seg, size_t len)
{
    if (len < UDP_HEAD) {
        return RG_PACKET_TRUNCATED;
    }
    size_t total = get16(seg + 4);
    if (total < UDP_HEAD || total > len) {
        return RG_PACKET_BAD_LENGTH;
    }
    out->payload = seg + UDP_HEAD;
    out->payload_len = total - UDP_HEAD;
    return RG_PACKET_OK;
}

static enum rg_packet_status
parse_transport(struct rg_packet *out, uint8_t proto, const uint8_t *seg,
                size_t len)
{
    if (proto != RG_PROTO_TCP && proto != RG_PROTO_UDP) {
        return RG_PACKET_BAD_PROTOCOL;
    }
    if (len < 4) {
        return RG_PACKET_TRUNCATED;
    }
    out->key.proto = proto;
    out->key.sport = get16(seg);
    out->key.dport = get16(seg + 2);
    return proto == RG_PROTO_TCP ? parse_tcp(out, seg, len)
                                 : parse_udp(out, seg, len);
}

static enum rg_packet_status
parse_v4(struct rg_packet *out, const uint8_t *data, size_t len)
{
    if (len < IPV4_HEAD) {
        return RG_PACKET_TRUNCATED;
    }
    size_t head = (size_t)(data[0] & 0x0f) * 4;
    size_t total = get16(data + 2);
    if (head < IPV4_HEAD || total < head) {
        return RG_PACKET_BAD_LENGTH;
    }
    if (total > len) {
        return RG_PACKET_TRUNCATED;
    }
    if (get16(data + 6) & 0x3fff) {
        return RG_PACKET_FRAGMENT; /* more fragments, or not the first */
    }
    rg_ip_from_v4(out->key.src, data + 12);
    rg_ip_from_v4(out->key.dst, data + 16);
    return parse_transport(out, data[9], data + head, total - head);
}

static enum rg_packet_status
parse_v6(struct rg_packet *out, const uint8_t *data, size_t len)
{
    if (len < IPV6_HEAD) {
        return RG_PACKET_TRUNCATED;
    }
    size_t total = get16(data + 4);
    if (total > len - IPV6_HEAD) {
        return RG_PACKET_TRUNCATED;
    }
    memcpy(out->key.src, data + 8, RG_IP_LEN);
    memcpy(out->key.dst, data + 24, RG_IP_LEN);
    return parse_transport(out, data[6], data + IPV6_HEAD, total);
}

enum rg_packet_status
rg_packet_parse(struct rg_packet *out, const uint8_t *data, size_t len)
{
    memset(out, 0, sizeof(*out));
    if (len == 0) {
        return RG_PACKET_TRUNCATED;
    }
    switch (data[0] >> 4) {
    case 4:
        return parse_v4(out, data, len);
    case 6:
        return parse_v6(out, data, len);
    default:
        return RG_PACKET_BAD_VERSION;
    }
}

static uint32_t
sum16(uint32_t sum, const uint8_t *data, size_t len)
{
    for (size_t i = 0; i + 1 < len; i += 2) {
        sum += get16(data + i);
    }
    if (len & 1) {
        sum += (uint32_t)data[len - 1] << 8;
    }
    return sum;
}

static uint16_t
fold(uint32_t sum)
{
    while (sum >> 16) {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    return (uint16_t)~sum;
}

/* Checksum over the pseudo-header and the segment. */
static uint16_t
transport_sum(const struct rg_flow_key *key, uint8_t proto, const uint8_t *seg,
              size_t len)
{
    size_t skip = rg_ip_is_v4(key->src) ? 12 : 0;
    uint32_t sum = proto + (uint32_t)len;

    sum = sum16(sum, key->src + skip, RG_IP_LEN - skip);
    sum = sum16(sum, key->dst + skip, RG_IP_LEN - skip);
    return fold(sum16(sum, seg, len));
}

/* Writes the IP header of a packet with `body` bytes of payload; returns the
 * header's length. */
static size_t
build_ip(uint8_t *out, const struct rg_flow_key *key, uint8_t proto,
         size_t body)
{
    if (rg_ip_is_v4(key->src)) {
        memset(out, 0, IPV4_HEAD);
        out[0] = 0x45;
        put16(out + 2, (uint16_t)(IPV4_HEAD + body));
        out[8] = HOP_LIMIT;
        out[9] = proto;
        memcpy(out + 12, key->src + 12, 4);
        memcpy(out + 16, key->dst + 12, 4);
        put16(out + 10, fold(sum16(0, out, IPV4_HEAD)));
        return IPV4_HEAD;
    }
    memset(out, 0, IPV6_HEAD);
    out[0] = 0x60;
    put16(out + 4, (uint16_t)body);
    out[6] = proto;
    out[7] = HOP_LIMIT;
    memcpy(out + 8, key->src, RG_IP_LEN);
    memcpy(out + 24, key->dst, RG_IP_LEN);
    return IPV6_HEAD;
}

static size_t
ip_head_len(const struct rg_flow_key *key)
{
    return rg_ip_is_v4(key->src) ? IPV4_HEAD : IPV6_HEAD;
}

static void
build_tcp(uint8_t *seg, const struct rg_packet *p, size_t len)
{
    put32(seg + 4, p->tcp_seq);
    put32(seg + 8, p->tcp_ack);
    seg[12] = (TCP_HEAD / 4) << 4;
    seg[13] = p->tcp_flags;
    put16(seg + 14, TCP_WINDOW);
    put16(seg + 16, transport_sum(&p->key, RG_PROTO_TCP, seg, len));
}

static void
build_udp(uint8_t *seg, const struct rg_packet *p, size_t len)
{
    put16(seg + 4, (uint16_t)len);
    uint16_t sum = transport_sum(&p->key, RG_PROTO_UDP, seg, len);
    put16(seg + 6, sum ? sum : 0xffff); /* 0 means no checksum */
}

size_t
rg_packet_build(uint8_t *out, size_t size, const struct rg_packet *p)
{
    size_t head = p->key.proto == RG_PROTO_TCP ? TCP_HEAD : UDP_HEAD;
    size_t seg_len = head + p->payload_len;
    size_t total = ip_head_len(&p->key) + seg_len;

    if (total > size || total > UINT16_MAX ||
        rg_ip_is_v4(p->key.src) != rg_ip_is_v4(p->key.dst))
    {
        return 0;
    }
    uint8_t *seg = out + build_ip(out, &p->key, p->key.proto, seg_len);
    memset(seg, 0, head);
    put16(seg, p->key.sport);
    put16(seg + 2, p->key.dport);
    if (p->payload_len > 0) {
        memcpy(seg + head, p->payload, p->payload_len);
    }
    if (p->key.proto == RG_PROTO_TCP) {
        build_tcp(seg, p, seg_len);
    }
    else {
        build_udp(seg, p, seg_len);
    }
    return total;
}

static size_t
build_reset(uint8_t *out, size_t size, const struct rg_packet *p)
{
    struct rg_packet reset = {
        .key = rg_flow_key_reverse(&p->key),
        .tcp_flags = RG_TCP_RST | RG_TCP_ACK,
        .tcp_ack = p->tcp_seq + 1 + (uint32_t)p->payload_len,
    };

    return rg_packet_build(out, size, &reset);
}

static size_t
build_unreachable(uint8_t *out, size_t size, const struct rg_packet *p,
                  const uint8_t *data, size_t len)
{
    struct rg_flow_key back = rg_flow_key_reverse(&p->key);
    bool v4 = rg_ip_is_v4(back.src);
    size_t quote = len < ICMP_QUOTE_MAX ? len : ICMP_QUOTE_MAX;
    size_t body = ICMP_HEAD + quote;

    if (ip_head_len(&back) + body > size) {
        return 0;
    }
    uint8_t proto = v4 ? PROTO_ICMP : PROTO_ICMP6;
    size_t head = build_ip(out, &back, proto, body);
    uint8_t *icmp = out + head;
    memset(icmp, 0, ICMP_HEAD);
    icmp[0] = v4 ? ICMP_UNREACHABLE : ICMP6_UNREACHABLE;
    icmp[1] = v4 ? ICMP_PORT_UNREACHABLE : ICMP6_PORT_UNREACHABLE;
    memcpy(icmp + ICMP_HEAD, data, quote);
    uint16_t sum = v4 ? fold(sum16(0, icmp, body))
                      : transport_sum(&back, proto, icmp, body);
    put16(icmp + 2, sum);
    return head + body;
}

size_t
rg_packet_build_refusal(uint8_t *out, size_t size, const struct rg_packet *p,
                        const uint8_t *data, size_t len)
{
    if (p->key.proto == RG_PROTO_TCP) {
        return build_reset(out, size, p);
    }
    return build_unreachable(out, size, p, data, len);
}

struct rg_flow_key
rg_flow_key_reverse(const struct rg_flow_key *key)
{
    struct rg_flow_key back = {
        .sport = key->dport,
        .dport = key->sport,
        .proto = key->proto,
    };

    memcpy(back.src, key->dst, RG_IP_LEN);
    memcpy(back.dst, key->src, RG_IP_LEN);
    return back;
}
