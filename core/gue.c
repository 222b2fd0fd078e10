#include "core/gue.h"

#include <string.h>

#define GUE_HEAD 4
#define GUE_CONTROL_BIT 0x20
#define GUE_HLEN_MASK 0x1f
#define GUE_FLAG_PRIVATE 0x01
#define PROTO_IPV4 4
#define PROTO_IPV6 41
/* Control type of peer messages, from the range left to the user. */
#define CONTROL_TYPE_PEER 0xf1
#define STEER_VERSION 1
#define STEER_WORDS ((RG_GUE_STEER_LEN - GUE_HEAD) / 4)

/* Offsets inside the private data. */
enum {
    AT_VERSION = 0,
    AT_KIND = 1,
    AT_HOPS = 2,
    AT_FLAGS = 3,
    AT_GENERATION = 4,
    AT_UPSTREAM = 12,
    AT_SENDER = 20,
    AT_IP = 28,
    AT_PORT = 44,
    AT_TARGET = 48,
    AT_ASKED = 56,
};

static void
put64(uint8_t *p, uint64_t v)
{
    for (int i = 7; i >= 0; i--) {
        p[i] = (uint8_t)v;
        v >>= 8;
    }
}

static uint64_t
get64(const uint8_t *p)
{
    uint64_t v = 0;

    for (int i = 0; i < 8; i++) {
        v = v << 8 | p[i];
    }
    return v;
}

static bool
parse_steer(struct rg_steer *s, const uint8_t *p)
{
    if (p[AT_VERSION] != STEER_VERSION || p[AT_KIND] < RG_STEER_TO_OWNER ||
        p[AT_KIND] > RG_STEER_REFUSE)
    {
        return false;
    }
    s->kind = p[AT_KIND];
    s->hops = p[AT_HOPS];
    s->flags = p[AT_FLAGS];
    s->generation = get64(p + AT_GENERATION);
    s->upstream = get64(p + AT_UPSTREAM);
    s->sender = get64(p + AT_SENDER);
    s->target = get64(p + AT_TARGET);
    s->asked = get64(p + AT_ASKED);
    memcpy(s->addr.ip, p + AT_IP, RG_IP_LEN);
    s->addr.port = (uint16_t)(p[AT_PORT] << 8 | p[AT_PORT + 1]);
    return true;
}

static void
parse_variant0(struct rg_gue *out, const uint8_t *data, size_t len)
{
    size_t head = GUE_HEAD + (size_t)(data[0] & GUE_HLEN_MASK) * 4;

    if (len <= head) {
        return;
    }
    out->body = data + head;
    out->body_len = len - head;
    if (data[0] & GUE_CONTROL_BIT) {
        if (data[1] == CONTROL_TYPE_PEER && head == RG_GUE_CONTROL_LEN) {
            out->kind = RG_GUE_CONTROL;
        }
        return;
    }
    if (head == RG_GUE_STEER_LEN && (data[3] & GUE_FLAG_PRIVATE) &&
        parse_steer(&out->steer, data + GUE_HEAD))
    {
        out->kind = RG_GUE_STEER;
    }
}

void
rg_gue_parse(struct rg_gue *out, const uint8_t *data, size_t len)
{
    memset(out, 0, sizeof(*out));
    if (len < GUE_HEAD) {
        return;
    }
    switch (data[0] >> 6) {
    case 0:
        parse_variant0(out, data, len);
        break;
    case 1:
        out->kind = RG_GUE_DIRECT_IP;
        out->body = data;
        out->body_len = len;
        break;
    default:
        break;
    }
}

void
rg_gue_write_steer(uint8_t out[RG_GUE_STEER_LEN], const struct rg_steer *s,
                   uint8_t inner_first)
{
    memset(out, 0, RG_GUE_STEER_LEN);
    out[0] = STEER_WORDS;
    out[1] = inner_first >> 4 == 6 ? PROTO_IPV6 : PROTO_IPV4;
    out[3] = GUE_FLAG_PRIVATE;
    uint8_t *p = out + GUE_HEAD;
    p[AT_VERSION] = STEER_VERSION;
    p[AT_KIND] = s->kind;
    p[AT_HOPS] = s->hops;
    p[AT_FLAGS] = s->flags;
    put64(p + AT_GENERATION, s->generation);
    put64(p + AT_UPSTREAM, s->upstream);
    put64(p + AT_SENDER, s->sender);
    put64(p + AT_TARGET, s->target);
    put64(p + AT_ASKED, s->asked);
    memcpy(p + AT_IP, s->addr.ip, RG_IP_LEN);
    p[AT_PORT] = (uint8_t)(s->addr.port >> 8);
    p[AT_PORT + 1] = (uint8_t)s->addr.port;
}

void
rg_gue_write_control(uint8_t out[RG_GUE_CONTROL_LEN])
{
    out[0] = GUE_CONTROL_BIT;
    out[1] = CONTROL_TYPE_PEER;
    out[2] = 0;
    out[3] = 0;
}
