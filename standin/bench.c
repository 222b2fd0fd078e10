/* standin-bench: benchmarks steering by token without a network. For several
 * fleet sizes it prints the time per packet and per opening, the time to
 * decode a configuration and a listing, and the heap in use. It asserts
 * nothing. */
#include <json-c/json.h>
#include <malloc.h>
#include <nettle/base64.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "balance/balancer.h"
#include "common/mem.h"
#include "common/strbuf.h"
#include "platform/kv.h"
#include "platform/packet.h"

#define PACKETS 2000000
#define OPENINGS 200000
#define FLOWS 4096
#define SERVICES 20
#define IP_BASE 0xc6120000

struct size {
    int upstreams;
    int routes;
};

struct bench {
    struct rg_balancer *balancer;
    uint32_t *tokens;
    size_t token_count;
};

static double
now_s(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec * 1e-9;
}

/* --- answers of the store ------------------------------------------------ */

static void
add_item(struct rg_strbuf *out, const char *key, const struct rg_strbuf *value,
         bool first)
{
    size_t len = BASE64_ENCODE_RAW_LENGTH(value->len);

    rg_strbuf_printf(out, "%s{\"Key\":\"%s\",\"Revision\":5,\"Value\":\"",
                     first ? "" : ",", key);
    base64_encode_raw(rg_strbuf_reserve(out, len), value->len,
                      (const uint8_t *)value->s);
    out->len += len;
    out->s[out->len] = '\0';
    rg_strbuf_printf(out, "\"}");
}

static void
build_config_answer(struct rg_strbuf *out, int routes)
{
    RG_STRBUF_AUTO doc = {0};

    rg_strbuf_printf(&doc, "{\"Version\":1,\"Routes\":[");
    for (int i = 0; i < routes; i++) {
        rg_strbuf_printf(
            &doc,
            "%s{\"Name\":\"r-%d\",\"Host\":\"198.18.%d.%d\","
            "\"Prefix\":\"/443/\",\"RouteType\":\"safe\","
            "\"TimeoutMs\":800,\"TargetLatencyMs\":120,"
            "\"Priority\":2,\"Service\":\"s%d\",\"MaxAttempts\":2}",
            i ? "," : "", i, i / 256, i % 256, i % SERVICES);
    }
    rg_strbuf_printf(&doc, "],\"Services\":[]}");
    rg_strbuf_printf(out, "{\"items\":[");
    add_item(out, "op/config", &doc, true);
    rg_strbuf_printf(out, "],\"StoreRevision\":9}");
}

static void
build_listing_answer(struct rg_strbuf *out, int from, int count)
{
    char key[64];

    rg_strbuf_printf(out, "{\"items\":[");
    for (int i = 0; i < count; i++) {
        RG_STRBUF_AUTO doc = {0};
        snprintf(key, sizeof(key), "servers/i-%08x", from + i);
        rg_strbuf_printf(&doc,
                         "{\"Service\":\"s%d\",\"Address\":\"10.0.0.1:8080\","
                         "\"Zone\":\"z%d\",\"Version\":\"v1\",\"Slots\":2,"
                         "\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":4,"
                         "\"born\":1700000000000}",
                         i % SERVICES, i % 20);
        add_item(out, key, &doc, i == 0);
    }
    rg_strbuf_printf(out, "],\"HasMore\":false,\"StoreRevision\":9}");
}

static void
on_change(void *ctx, const struct rg_kv_change *c)
{
    struct bench *b = ctx;

    if (c->kind == RG_KV_ROUTES) {
        rg_balancer_set_routes(b->balancer, c->routes);
    }
    else if (c->kind == RG_KV_UPSTREAM) {
        rg_pool_update(rg_balancer_pool(b->balancer), &c->info, c->revision,
                       1000);
    }
}

static double
decode_timed(struct bench *b, const struct rg_strbuf *body)
{
    struct rg_kv_response answer;
    double start = now_s();

    if (!rg_kv_decode((struct rg_str){body->s, body->len}, 0, on_change, b,
                      &answer))
    {
        fprintf(stderr, "cannot decode the generated answer\n");
        exit(1);
    }
    return (now_s() - start) * 1e3;
}

/* --- packets ------------------------------------------------------------- */

static void
add_token(void *ctx, const struct rg_endpoint *endpoint)
{
    struct bench *b = ctx;

    b->tokens[b->token_count++] = endpoint->token;
}

static void
make_packet(uint8_t out[RG_WIRE_HEADER_LEN], int flow, int routes,
            uint32_t token, bool opening)
{
    uint32_t ip = IP_BASE + (uint32_t)(flow % routes);

    memset(out, 0, RG_WIRE_HEADER_LEN);
    rg_wire_set_token(out, token);
    for (int i = 0; i < 4; i++) {
        out[18 + i] = (uint8_t)(ip >> (24 - 8 * i));
    }
    out[22] = 443 >> 8;
    out[23] = 443 & 255;
    out[24] = (uint8_t)(flow >> 8);
    out[25] = (uint8_t)flow;
    out[26] = 100;
    out[29] = (uint8_t)(flow >> 16);
    out[30] = opening ? 64 : 2;
}

static double
time_packets(struct bench *b, const struct size *size, bool opening, int count)
{
    static uint8_t packets[FLOWS][RG_WIRE_HEADER_LEN];
    uint8_t prefix[RG_WIRE_PREFIX_LEN];
    struct rg_segment segment;
    uint64_t now_ms = 2000;

    for (int i = 0; i < FLOWS; i++) {
        make_packet(packets[i], i, size->routes,
                    b->tokens[(size_t)i % b->token_count], opening);
    }
    double start = now_s();
    for (int i = 0; i < count; i++) {
        uint8_t *data = packets[i % FLOWS];
        if (!rg_wire_decode(&segment, data, RG_WIRE_HEADER_LEN)) {
            exit(1);
        }
        segment.flow.caller_ip += (uint32_t)(i / FLOWS) << 8;
        struct rg_decision decision =
            rg_balancer_packet(b->balancer, &segment, now_ms);
        if (decision.kind == RG_DECISION_FORWARD) {
            rg_wire_set_token(data, decision.token);
            rg_wire_prefix(prefix, decision.endpoint->wire_id);
        }
        if (i % FLOWS == FLOWS - 1) {
            now_ms += 100;
            rg_balancer_tick(b->balancer, now_ms);
        }
    }
    return (now_s() - start) / count * 1e9;
}

static void
run(const struct size *size)
{
    struct rg_balancer_opts opts = {
        .flow_age_ms = 60000, .stale_ms = 3000, .tracked_flows = 32768};
    struct bench b = {.balancer = rg_balancer_create(&opts, 1000)};
    RG_STRBUF_AUTO config = {0};
    RG_STRBUF_AUTO page = {0};
    double page_ms = 0;

    rg_name_set(&opts.data_centre, rg_str_of("z1"));
    build_config_answer(&config, size->routes);
    double config_ms = decode_timed(&b, &config);
    for (int i = 0; i < size->upstreams; i += 50) {
        page.len = 0;
        build_listing_answer(&page, i, 50);
        page_ms += decode_timed(&b, &page);
    }
    rg_balancer_set_confirmed(b.balancer, 1000);
    size_t heap_bytes = mallinfo2().uordblks;
    b.tokens = rg_calloc((size_t)size->upstreams + 50, sizeof(*b.tokens));
    rg_pool_each_listed(rg_balancer_pool(b.balancer), add_token, &b);
    double packet_ns = time_packets(&b, size, false, PACKETS);
    double opening_ns = time_packets(&b, size, true, OPENINGS);
    printf("%9d %7d %10.0f %11.0f %10.2f %11.2f %8.1f\n", size->upstreams,
           size->routes, packet_ns, opening_ns, config_ms, page_ms,
           (double)heap_bytes / 1048576);
    free(b.tokens);
    rg_balancer_destroy(b.balancer);
}

int
main(void)
{
    static const struct size sizes[] = {
        {100, 10}, {100, 400}, {1000, 400}, {1000, 3900}, {15000, 3900}};

    printf("upstreams  routes  ns/packet  ns/opening  config ms  listing ms"
           "  heap MB\n");
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        run(&sizes[i]);
    }
    return 0;
}
