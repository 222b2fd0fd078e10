/* Openings that wait for room, at the socket: each of them is forwarded or
 * reset exactly once, and the packet that arrives is the one that was sent. */
#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/udp.h"
#include "edge/packet_socket.h"
#include "platform/packet.h"

#define EDGE_ADDRESS "127.94.0.1:5390"
#define UPSTREAM_ADDRESS "127.94.0.2:5390"
#define CALLER_ADDRESS "127.94.0.3:5390"
#define CALLER_IP 0x7f5e0003
#define SERVICE_IP 0xc6120001
#define SERVICE_PORT 443
#define WORK_MS 100
#define OPENINGS 40
#define RUN_MS 400

struct fixture {
    uv_loop_t loop;
    uv_timer_t timer;
    struct rg_balancer *balancer;
    struct rg_packet_socket *socket;
    int caller;
    int upstream;
};

static struct rg_name
name(const char *text)
{
    struct rg_name n;

    g_assert_true(rg_name_set(&n, rg_str_of(text)));
    return n;
}

static struct rg_addr
addr(const char *text)
{
    struct rg_addr a;

    g_assert_true(rg_addr_parse(&a, text));
    return a;
}

static struct rg_balancer *
create_balancer(uint64_t now_ms)
{
    struct rg_balancer_opts opts = {
        .data_centre = name("dc1"),
        .flow_age_ms = 60000,
        .stale_ms = 60000,
        .tracked_flows = 1024,
        .can_hold = true,
    };
    struct rg_route *route = calloc(1, sizeof(*route));
    struct rg_endpoint_info info = {.id = name("u-1"),
                                    .wire_id = 1,
                                    .boot_ms = 5,
                                    .service = name("shop"),
                                    .data_centre = name("dc1"),
                                    .addr = addr(UPSTREAM_ADDRESS),
                                    .slots = 4};
    struct rg_balancer *b = rg_balancer_create(&opts, now_ms);

    *route = (struct rg_route){
        .ip = SERVICE_IP,
        .port = SERVICE_PORT,
        .target_ms = 1000,
        .timeout_ms = 4000,
        .share_count = 1,
        .shares = {{.service = name("shop"), .weight = 1}},
    };
    rg_balancer_set_routes(b, rg_routes_create(1, route, 1));
    rg_balancer_set_confirmed(b, now_ms);
    rg_pool_update(rg_balancer_pool(b), &info, 1, now_ms);
    return b;
}

/* One request after another, until the work is known. */
static void
teach(struct rg_balancer *b, uint64_t start_ms, int requests)
{
    for (int i = 0; i < requests; i++) {
        uint64_t now_ms = start_ms + (uint64_t)i * WORK_MS;
        struct rg_segment s = {.flow = {.caller_ip = CALLER_IP,
                                        .service_ip = SERVICE_IP,
                                        .caller_port = (uint16_t)(1000 + i),
                                        .service_port = SERVICE_PORT},
                               .opening = true};
        struct rg_decision d = rg_balancer_packet(b, &s, now_ms);
        g_assert_cmpint(d.kind, ==, RG_DECISION_FORWARD);
        s = (struct rg_segment){
            .flow = s.flow, .token = d.token, .seq = 1, .ack = 1, .len = 100};
        rg_balancer_packet(b, &s, now_ms);
        rg_balancer_tick(b, now_ms + WORK_MS);
        s.ack = 1001;
        s.len = 0;
        s.fin = true;
        rg_balancer_packet(b, &s, now_ms + WORK_MS);
    }
}

static void
send_openings(int fd)
{
    struct sockaddr_storage to;
    struct rg_addr edge = addr(EDGE_ADDRESS);
    socklen_t len = rg_addr_to_sock(&edge, &to);

    for (int i = 0; i < OPENINGS; i++) {
        uint8_t p[RG_WIRE_HEADER_LEN] = {0};
        uint32_t words[] = {htonl(SERVICE_IP), htonl(CALLER_IP)};
        uint16_t ports[] = {htons(SERVICE_PORT), htons((uint16_t)(5000 + i))};
        memcpy(p + 18, &words[0], 4);
        memcpy(p + 22, ports, sizeof(ports));
        memcpy(p + 26, &words[1], 4);
        p[7] = (uint8_t)i; /* sequence number */
        p[30] = 64;        /* opening */
        g_assert_cmpint(
            sendto(fd, p, sizeof(p), 0, (struct sockaddr *)&to, len), ==,
            sizeof(p));
    }
}

static void
on_wakeup(void *ctx, uint64_t now_ms)
{
    (void)ctx;
    (void)now_ms;
}

static void
on_timer(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

static void
run_loop(struct fixture *f, uint64_t ms)
{
    uv_timer_start(&f->timer, on_timer, ms, 0);
    uv_run(&f->loop, UV_RUN_DEFAULT);
}

static struct fixture *
create(void)
{
    RG_ERR_AUTO err = {0};
    struct fixture *f = g_new0(struct fixture, 1);
    struct rg_addr caller = addr(CALLER_ADDRESS);
    struct rg_addr upstream = addr(UPSTREAM_ADDRESS);
    uint64_t start_ms = rg_clock_boottime_ms() - 40 * WORK_MS;

    f->balancer = create_balancer(start_ms);
    teach(f->balancer, start_ms, 40);
    uv_loop_init(&f->loop);
    uv_timer_init(&f->loop, &f->timer);
    f->caller = rg_udp_open(&caller, 65536);
    f->upstream = rg_udp_open(&upstream, 65536);
    struct rg_packet_socket_opts opts = {.loop = &f->loop,
                                         .address = addr(EDGE_ADDRESS),
                                         .balancer = f->balancer,
                                         .on_wakeup = on_wakeup,
                                         .on_flow_news = on_wakeup};
    f->socket = rg_packet_socket_create(&opts, &err);
    g_assert_nonnull(f->socket);
    return f;
}

static void
destroy(struct fixture *f)
{
    rg_packet_socket_destroy(f->socket);
    uv_close((uv_handle_t *)&f->timer, NULL);
    uv_run(&f->loop, UV_RUN_DEFAULT);
    g_assert_cmpint(uv_loop_close(&f->loop), ==, 0);
    rg_balancer_destroy(f->balancer);
    close(f->caller);
    close(f->upstream);
    g_free(f);
}

/* Counts packets by caller port, which is at this offset. */
static int
receive(int fd, size_t offset, int seen[OPENINGS])
{
    uint8_t data[256];
    int count = 0;

    while (recv(fd, data, sizeof(data), 0) > 0) {
        int i = (data[offset] << 8 | data[offset + 1]) - 5000;
        g_assert_cmpint(i, >=, 0);
        g_assert_cmpint(i, <, OPENINGS);
        seen[i]++;
        count++;
    }
    return count;
}

/* Forty openings at once, of which few find room. */
static void
test_waiting(void)
{
    struct fixture *f = create();
    int seen[OPENINGS] = {0};
    const uint64_t *counters = rg_balancer_metrics(f->balancer)->counters;

    send_openings(f->caller);
    run_loop(f, RUN_MS);
    int forwarded = receive(f->upstream, RG_WIRE_PREFIX_LEN + 24, seen);
    /* In a reset the caller is the destination. */
    int resets = receive(f->caller, 22, seen);
    g_test_message("forwarded %d, resets %d, waited %d", forwarded, resets,
                   (int)counters[RG_METRIC_OPENINGS_WAITED]);
    for (int i = 0; i < OPENINGS; i++) {
        g_assert_cmpint(seen[i], ==, 1);
    }
    g_assert_cmpint(resets, >, 0);
    g_assert_cmpint(forwarded, >, 4);
    g_assert_cmpuint(counters[RG_METRIC_OPENINGS_WAITED], >, 0);
    g_assert_cmpuint(rg_balancer_waiting_count(f->balancer), ==, 0);
    destroy(f);
}

/* The process stops while openings wait: their packets are freed. */
static void
test_stop(void)
{
    struct fixture *f = create();

    send_openings(f->caller);
    run_loop(f, 10);
    g_assert_cmpuint(rg_balancer_waiting_count(f->balancer), >, 0);
    destroy(f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/packet-socket/waiting", test_waiting);
    g_test_add_func("/packet-socket/stop", test_stop);
    return g_test_run();
}
