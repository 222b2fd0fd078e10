#include "standin/common.h"
#include "common/clock.h"

#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/mem.h"
#include "options/settings.h"

#define SOCKET_BUFFER_BYTES (8 * 1024 * 1024)
#define READS_PER_WAKEUP 512

static void
on_readable(uv_poll_t *poll, int status, int events)
{
    struct sd_udp *u = poll->data;
    static uint8_t buf[SD_DATAGRAM_MAX];
    struct sockaddr_storage sa;
    struct rg_addr from;

    (void)status;
    (void)events;
    for (int i = 0; i < READS_PER_WAKEUP; i++) {
        socklen_t len = sizeof(sa);
        ssize_t got = recvfrom(u->fd, buf, sizeof(buf), MSG_DONTWAIT,
                               (struct sockaddr *)&sa, &len);
        if (got < 0) {
            return;
        }
        if (rg_addr_from_sock(&from, (struct sockaddr *)&sa)) {
            u->cb(u->ctx, &from, buf, (size_t)got);
        }
    }
}

void
sd_udp_open(struct sd_udp *u, uv_loop_t *loop, const struct rg_addr *addr,
            sd_udp_cb cb, void *ctx)
{
    struct sockaddr_storage sa;
    socklen_t len = rg_addr_to_sock(addr, &sa);
    char text[RG_ADDR_STR_MAX];
    int size = SOCKET_BUFFER_BYTES;

    u->cb = cb;
    u->ctx = ctx;
    u->fd = socket(sa.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(u->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    setsockopt(u->fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
    if (u->fd < 0 || bind(u->fd, (struct sockaddr *)&sa, len) != 0) {
        sd_die("cannot bind %s: %s", rg_addr_format(addr, text),
               strerror(errno));
    }
    uv_poll_init(loop, &u->poll, u->fd);
    u->poll.data = u;
    uv_poll_start(&u->poll, UV_READABLE, on_readable);
}

void
sd_udp_send(struct sd_udp *u, const struct rg_addr *to, const void *data,
            size_t len)
{
    struct sockaddr_storage sa;
    socklen_t sa_len = rg_addr_to_sock(to, &sa);
    ssize_t sent =
        sendto(u->fd, data, len, MSG_DONTWAIT, (struct sockaddr *)&sa, sa_len);

    (void)sent; /* a failed send counts as a lost datagram */
}

void
sd_die(const char *format, ...)
{
    va_list ap;

    va_start(ap, format);
    vfprintf(stderr, format, ap);
    va_end(ap);
    fputc('\n', stderr);
    exit(2);
}

struct rg_addr
sd_parse_addr(const char *text)
{
    struct rg_addr a;

    if (!rg_addr_parse(&a, text)) {
        sd_die("invalid address: %s", text);
    }
    return a;
}

struct rg_config *
sd_load_config(char *const *files, size_t count)
{
    RG_ERR_AUTO err = {0};
    struct rg_section_text *sections = rg_calloc(count, sizeof(*sections));

    for (size_t i = 0; i < count; i++) {
        sections[i].name = rg_str_of(files[i]);
        sections[i].text.ptr =
            rg_read_file(files[i], &sections[i].text.len, &err);
    }
    struct rg_config *c =
        rg_err_has(&err) ? NULL : rg_config_build(1, sections, count, &err);
    if (!c) {
        RG_AUTO_FREE char *text = rg_err_format(&err);
        sd_die("%s", text);
    }
    for (size_t i = 0; i < count; i++) {
        free((char *)sections[i].text.ptr);
    }
    free(sections);
    return c;
}

static void
on_signal(uv_signal_t *handle, int signum)
{
    (void)signum;
    uv_stop(handle->loop);
}

void
sd_stop_on_signal(uv_loop_t *loop)
{
    static uv_signal_t handles[2];
    static const int signals[2] = {SIGTERM, SIGINT};

    for (int i = 0; i < 2; i++) {
        uv_signal_init(loop, &handles[i]);
        uv_signal_start(&handles[i], on_signal, signals[i]);
    }
}

uint64_t
sd_request_checksum(const struct sd_request *r)
{
    uint64_t x = rg_mix64(r->flow ^ ((uint64_t)r->magic << 32 | r->seq));

    return rg_mix64(x ^ r->service ^
                    ((uint64_t)r->answer_len << 32 | r->upstream));
}

uint8_t
sd_answer_byte(uint64_t flow, uint32_t seq, uint32_t at)
{
    uint64_t word = rg_mix64(flow ^ ((uint64_t)seq << 32) ^ (at / 8));

    return (uint8_t)(word >> (8 * (at % 8)));
}
