#include "common/addr.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PORT_DIGITS_MAX 5

static const uint8_t v4_mapped[12] = {0, 0, 0, 0, 0,    0,
                                      0, 0, 0, 0, 0xff, 0xff};

static bool
parse_port(uint16_t *port, const char *text)
{
    size_t digits = strspn(text, "0123456789");

    /* strtoul() alone would accept a sign and spaces. */
    if (digits == 0 || digits > PORT_DIGITS_MAX || text[digits] != '\0') {
        return false;
    }
    unsigned long value = strtoul(text, NULL, 10);
    if (value == 0 || value > UINT16_MAX) {
        return false;
    }
    *port = (uint16_t)value;
    return true;
}

void
rg_ip_from_v4(uint8_t ip[RG_IP_LEN], const uint8_t v4[4])
{
    memcpy(ip, v4_mapped, sizeof(v4_mapped));
    memcpy(ip + sizeof(v4_mapped), v4, 4);
}

bool
rg_ip_is_v4(const uint8_t ip[RG_IP_LEN])
{
    return memcmp(ip, v4_mapped, sizeof(v4_mapped)) == 0;
}

bool
rg_ip_parse(uint8_t ip[RG_IP_LEN], const char *text)
{
    uint8_t v4[4];

    if (inet_pton(AF_INET, text, v4) == 1) {
        rg_ip_from_v4(ip, v4);
        return true;
    }
    return inet_pton(AF_INET6, text, ip) == 1;
}

bool
rg_addr_parse(struct rg_addr *a, const char *text)
{
    char host[RG_ADDR_STR_MAX];
    const char *colon = strrchr(text, ':');
    const char *from = text;

    memset(a, 0, sizeof(*a));
    if (!colon || !parse_port(&a->port, colon + 1)) {
        return false;
    }
    size_t len = (size_t)(colon - text);
    if (len >= 2 && text[0] == '[' && text[len - 1] == ']') {
        from++;
        len -= 2;
    }
    if (len >= sizeof(host)) {
        return false;
    }
    memcpy(host, from, len);
    host[len] = '\0';
    return rg_ip_parse(a->ip, host);
}

bool
rg_addr_eq(const struct rg_addr *a, const struct rg_addr *b)
{
    return a->port == b->port && memcmp(a->ip, b->ip, RG_IP_LEN) == 0;
}

socklen_t
rg_addr_to_sock(const struct rg_addr *a, struct sockaddr_storage *out)
{
    if (rg_ip_is_v4(a->ip)) {
        struct sockaddr_in *in = (struct sockaddr_in *)out;
        memset(in, 0, sizeof(*in));
        in->sin_family = AF_INET;
        in->sin_port = htons(a->port);
        memcpy(&in->sin_addr, a->ip + sizeof(v4_mapped), 4);
        return sizeof(*in);
    }
    struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)out;
    memset(in6, 0, sizeof(*in6));
    in6->sin6_family = AF_INET6;
    in6->sin6_port = htons(a->port);
    memcpy(&in6->sin6_addr, a->ip, RG_IP_LEN);
    return sizeof(*in6);
}

bool
rg_addr_from_sock(struct rg_addr *a, const struct sockaddr *sa)
{
    if (sa->sa_family == AF_INET) {
        const struct sockaddr_in *in = (const struct sockaddr_in *)sa;
        rg_ip_from_v4(a->ip, (const uint8_t *)&in->sin_addr);
        a->port = ntohs(in->sin_port);
        return true;
    }
    if (sa->sa_family == AF_INET6) {
        const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)sa;
        memcpy(a->ip, &in6->sin6_addr, RG_IP_LEN);
        a->port = ntohs(in6->sin6_port);
        return true;
    }
    return false;
}

char *
rg_addr_format(const struct rg_addr *a, char out[RG_ADDR_STR_MAX])
{
    char host[INET6_ADDRSTRLEN];

    if (rg_ip_is_v4(a->ip)) {
        inet_ntop(AF_INET, a->ip + sizeof(v4_mapped), host, sizeof(host));
        snprintf(out, RG_ADDR_STR_MAX, "%s:%u", host, a->port);
    }
    else {
        inet_ntop(AF_INET6, a->ip, host, sizeof(host));
        snprintf(out, RG_ADDR_STR_MAX, "[%s]:%u", host, a->port);
    }
    return out;
}
