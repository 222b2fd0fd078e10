/* Addresses, datagrams and packets. */
#include <arpa/inet.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sim.h"

/* Key of the sum; only consumers and hosts know it. */
#define SUM_KEY 0x5bd1e995u
#define BOUNCED 16
#define LATER_MAX 65536
#define DATAGRAM_MAX (8 + HEAD_BYTES + DATA_MAX)

struct later {
    uint64_t due_ms;
    int fd;
    struct sockaddr_in to;
    size_t len;
    uint8_t data[DATAGRAM_MAX];
};

/* Those to deliver, in order of time, as all take equally long. */
static struct later *queue[LATER_MAX];
static size_t first;
static size_t count;

uint64_t
sim_random(struct sim *s)
{
    uint64_t x = s->rand += 0x9e3779b97f4a7c15ULL;

    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

struct in_addr
sim_address(const struct sim *s, int net, int index)
{
    uint32_t ip = 127U << 24 | (uint32_t)s->net << 16 | (uint32_t)net << 8 |
                  (uint32_t)index;

    return (struct in_addr){.s_addr = htonl(ip)};
}

int
sim_udp(struct in_addr ip, uint16_t port)
{
    struct sockaddr_in sa = {
        .sin_family = AF_INET, .sin_port = htons(port), .sin_addr = ip};
    int bytes = 4 << 20;
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* --- packets ------------------------------------------------------------- */

static void
put(uint8_t *out, uint32_t value, int bytes)
{
    for (int i = 0; i < bytes; i++) {
        out[i] = (uint8_t)(value >> (8 * (bytes - 1 - i)));
    }
}

static uint32_t
get(const uint8_t *in, int bytes)
{
    uint32_t value = 0;

    for (int i = 0; i < bytes; i++) {
        value = value << 8 | in[i];
    }
    return value;
}

/* Over all fields except `echo`, `pad`, BOUNCED and the sum itself. */
static uint32_t
sum_of(const uint8_t *in, size_t len)
{
    uint32_t hash = SUM_KEY;

    for (size_t i = 4; i < len; i++) {
        bool skip = (i >= 14 && i < 18) || (i >= 31 && i < 34);
        uint8_t byte = i == 30 ? (uint8_t)(in[i] & ~BOUNCED) : in[i];
        if (!skip) {
            hash = (hash ^ byte) * 16777619u;
        }
    }
    return hash;
}

size_t
sim_pack(const struct packet *p, uint8_t *out)
{
    size_t len = HEAD_BYTES + (size_t)p->len;

    memset(out, 0, HEAD_BYTES);
    put(out, p->echo, 4);
    put(out + 4, p->seq, 4);
    put(out + 8, p->ack, 4);
    put(out + 12, p->len, 2);
    put(out + 18, p->dst, 4);
    put(out + 22, p->dport, 2);
    put(out + 24, p->sport, 2);
    put(out + 26, p->src, 4);
    out[30] = p->flags;
    memcpy(out + HEAD_BYTES, p->data, p->len);
    put(out + 14, sum_of(out, len), 4);
    return len;
}

bool
sim_unpack(struct packet *p, const uint8_t *in, size_t len)
{
    if (len < HEAD_BYTES || len > HEAD_BYTES + DATA_MAX) {
        return false;
    }
    p->echo = get(in, 4);
    p->seq = get(in + 4, 4);
    p->ack = get(in + 8, 4);
    p->len = (uint16_t)get(in + 12, 2);
    p->dst = get(in + 18, 4);
    p->dport = (uint16_t)get(in + 22, 2);
    p->sport = (uint16_t)get(in + 24, 2);
    p->src = get(in + 26, 4);
    p->flags = in[30];
    p->sound = get(in + 14, 4) == sum_of(in, len);
    if (p->len != len - HEAD_BYTES) {
        return false;
    }
    memcpy(p->data, in + HEAD_BYTES, p->len);
    p->data[p->len] = '\0';
    return true;
}

/* --- delivery ------------------------------------------------------------ */

void
sim_send_later(struct sim *s, int fd, struct in_addr to, uint16_t port,
               const uint8_t *data, size_t len, uint32_t ms)
{
    struct later *l = malloc(sizeof(*l));

    if (!l || count == LATER_MAX || len > sizeof(l->data)) {
        free(l);
        return;
    }
    l->due_ms = s->now_ms + ms;
    l->fd = fd;
    l->to = (struct sockaddr_in){
        .sin_family = AF_INET, .sin_port = htons(port), .sin_addr = to};
    l->len = len;
    memcpy(l->data, data, len);
    queue[(first + count++) % LATER_MAX] = l;
}

void
sim_deliver(struct sim *s)
{
    while (count > 0 && queue[first]->due_ms <= s->now_ms) {
        struct later *l = queue[first];
        (void)!sendto(l->fd, l->data, l->len, MSG_DONTWAIT,
                      (struct sockaddr *)&l->to, sizeof(l->to));
        free(l);
        first = (first + 1) % LATER_MAX;
        count--;
    }
}

void
sim_note(struct sim *s, const char *format, ...)
{
    va_list ap;

    fprintf(s->record, "%8.3f ", (double)s->now_ms / 1000);
    va_start(ap, format);
    vfprintf(s->record, format, ap);
    va_end(ap);
    fputc('\n', s->record);
}
