#include "standin/soak/wire.h"

#include <string.h>

static void
put(uint8_t *p, uint32_t v, int bytes)
{
    for (int i = 0; i < bytes; i++) {
        p[i] = (uint8_t)(v >> (8 * (bytes - 1 - i)));
    }
}

static uint32_t
get(const uint8_t *p, int bytes)
{
    uint32_t v = 0;

    for (int i = 0; i < bytes; i++) {
        v = v << 8 | p[i];
    }
    return v;
}

size_t
soak_pack(const struct soak_packet *p, uint8_t *out)
{
    memset(out, 0, SOAK_HEADER_LEN);
    put(out, p->token, 4);
    put(out + 4, p->seq, 4);
    put(out + 8, p->ack, 4);
    put(out + 12, p->len, 2);
    put(out + 18, p->dst, 4);
    put(out + 22, p->dport, 2);
    put(out + 24, p->sport, 2);
    put(out + 26, p->src, 4);
    out[30] = p->flags;
    memcpy(out + SOAK_HEADER_LEN, p->data, p->len);
    return SOAK_HEADER_LEN + (size_t)p->len;
}

int
soak_unpack(struct soak_packet *p, const uint8_t *in, size_t len)
{
    memset(p, 0, sizeof(*p));
    if (len < SOAK_HEADER_LEN || len > SOAK_HEADER_LEN + SOAK_DATA_MAX) {
        return 0;
    }
    p->token = get(in, 4);
    p->seq = get(in + 4, 4);
    p->ack = get(in + 8, 4);
    p->len = (uint16_t)get(in + 12, 2);
    p->dst = get(in + 18, 4);
    p->dport = (uint16_t)get(in + 22, 2);
    p->sport = (uint16_t)get(in + 24, 2);
    p->src = get(in + 26, 4);
    p->flags = in[30];
    if (p->len != len - SOAK_HEADER_LEN) {
        return 0;
    }
    memcpy(p->data, in + SOAK_HEADER_LEN, p->len);
    return 1;
}
