/* Encoding and decoding of the platform's packets. Guards against a wire
 * format that differs from the platform's (the examples are those of its
 * documentation) and against reading past the end of malformed packets. */
#include <glib.h>
#include <string.h>

#include "common/rand.h"
#include "platform/packet.h"

#define SEED 17
#define ROUNDS 200000

static const uint8_t example_syn[RG_WIRE_HEADER_LEN] = {
    0x00, 0x00, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb,
    0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0x40, 0x00, 0x00, 0x00};

static const uint8_t example_reset[RG_WIRE_HEADER_LEN] = {
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41,
    0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x20, 0x00, 0x00, 0x00};

static void
test_decode_opening(void)
{
    struct rg_segment s;

    g_assert_true(rg_wire_decode(&s, example_syn, sizeof(example_syn)));
    g_assert_true(s.opening);
    g_assert_false(s.fin || s.reset);
    g_assert_cmphex(s.flow.caller_ip, ==, 0x64400007);
    g_assert_cmpuint(s.flow.caller_port, ==, 40001);
    g_assert_cmphex(s.flow.service_ip, ==, 0xc6120001);
    g_assert_cmpuint(s.flow.service_port, ==, 443);
    g_assert_cmphex(s.seq, ==, 0x11223344);
    g_assert_cmpuint(s.token, ==, 0);
}

static void
test_encode_reset(void)
{
    struct rg_segment s;
    uint8_t out[RG_WIRE_HEADER_LEN];

    g_assert_true(rg_wire_decode(&s, example_syn, sizeof(example_syn)));
    rg_wire_reset(out, &s);
    g_assert_cmpmem(out, sizeof(out), example_reset, sizeof(example_reset));
}

/* Only the token's bytes may change: a checksum covers all others. */
static void
test_set_token(void)
{
    uint8_t data[RG_WIRE_HEADER_LEN];
    struct rg_segment s;

    memcpy(data, example_syn, sizeof(data));
    rg_wire_set_token(data, 0xa0b0c0d0);
    g_assert_true(rg_wire_decode(&s, data, sizeof(data)));
    g_assert_cmphex(s.token, ==, 0xa0b0c0d0);
    g_assert_cmpmem(data + 4, sizeof(data) - 4, example_syn + 4,
                    sizeof(data) - 4);
}

static void
test_encode_prefix(void)
{
    static const uint8_t expected[] = {0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
    uint8_t out[RG_WIRE_PREFIX_LEN];

    rg_wire_prefix(out, 0x7f3a91c2);
    g_assert_cmpmem(out, sizeof(out), expected, sizeof(expected));
}

/* Truncated packets, and packets whose length field is wrong. */
static void
test_malformed(void)
{
    uint8_t data[RG_WIRE_HEADER_LEN + 8];
    struct rg_segment s;

    memset(data, 0, sizeof(data));
    memcpy(data, example_syn, RG_WIRE_HEADER_LEN);
    for (size_t len = 0; len < RG_WIRE_HEADER_LEN; len++) {
        g_assert_false(rg_wire_decode(&s, data, len));
    }
    g_assert_false(rg_wire_decode(&s, data, sizeof(data)));
    data[13] = 8;
    g_assert_true(rg_wire_decode(&s, data, sizeof(data)));
    g_assert_false(rg_wire_decode(&s, data, sizeof(data) - 1));
}

/* Random bytes are rejected, or decoded with a length that fits. */
static void
test_random_bytes(void)
{
    struct rg_rand rand = {.state = SEED};
    uint8_t data[64];
    struct rg_segment s;

    for (int i = 0; i < ROUNDS; i++) {
        for (size_t n = 0; n < sizeof(data); n++) {
            data[n] = (uint8_t)rg_rand_next(&rand);
        }
        size_t len = rg_rand_below(&rand, sizeof(data) + 1);
        if (rg_wire_decode(&s, data, len)) {
            g_assert_cmpuint(s.len, ==, len - RG_WIRE_HEADER_LEN);
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/wire/decode-opening", test_decode_opening);
    g_test_add_func("/wire/encode-reset", test_encode_reset);
    g_test_add_func("/wire/set-token", test_set_token);
    g_test_add_func("/wire/encode-prefix", test_encode_prefix);
    g_test_add_func("/wire/malformed", test_malformed);
    g_test_add_func("/wire/random-bytes", test_random_bytes);
    return g_test_run();
}
