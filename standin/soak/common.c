/* Shared by the parts of the soak: reports, log lines, addresses. */
#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>

#include "common/clock.h"
#include "standin/soak/soak.h"

/* One in so many datagrams is lost on a sound link. */
#define LOST_EVERY 100

#define FINDINGS_SHOWN 20

static void
print_line(const struct soak *s, const char *word, const char *format,
           va_list ap)
{
    printf("%7.2f  %s ", (double)(rg_clock_boottime_ms() - s->start_ms) / 1000,
           word);
    vprintf(format, ap);
    printf("\n");
}

void
soak_fail(struct soak *s, const char *format, ...)
{
    va_list ap;

    if (s->findings++ < FINDINGS_SHOWN) {
        va_start(ap, format);
        print_line(s, "BROKEN", format, ap);
        va_end(ap);
    }
}

void
soak_log(const struct soak *s, const char *format, ...)
{
    va_list ap;

    va_start(ap, format);
    print_line(s, "-", format, ap);
    va_end(ap);
}

bool
soak_is_settled(const struct soak *s, uint64_t disturbed_ms)
{
    return disturbed_ms == 0 || s->now_ms - disturbed_ms > SOAK_SETTLE_MS;
}

void
soak_ip(const struct soak *s, int subnet, int index, char out[32])
{
    snprintf(out, 32, "127.%d.%d.%d", s->net, subnet, index);
}

/* Index of the address in its subnet; -1 if it is in another or too high. */
static int
index_in_subnet(const struct sockaddr *from, uint32_t subnet, int count)
{
    const struct sockaddr_in *in = (const struct sockaddr_in *)from;
    uint32_t ip = ntohl(in->sin_addr.s_addr);
    int index = (int)(ip & 0xff) - 1;

    return (ip >> 8 & 0xff) == subnet && index < count ? index : -1;
}

struct soak_edge *
soak_edge_by_address(struct soak *s, const struct sockaddr *from)
{
    int index = index_in_subnet(from, SOAK_EDGE_SUBNET, s->edge_count);

    return index < 0 ? NULL : &s->edges[index];
}

struct soak_upstream *
soak_upstream_by_address(struct soak *s, const struct sockaddr *from)
{
    int index = index_in_subnet(from, SOAK_UPSTREAM_SUBNET, s->upstream_count);

    return index < 0 ? NULL : &s->upstreams[index];
}

bool
soak_loses_datagram(struct soak *s)
{
    return s->now_ms < s->faults_end_ms &&
           rg_rand_below(&s->noise_rand, LOST_EVERY) == 0;
}
