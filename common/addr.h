/* IP addresses with a port: parsing, formatting and conversion to and from
 * socket addresses. */
#ifndef RG_COMMON_ADDR_H
#define RG_COMMON_ADDR_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include "common/str.h"

#define RG_IP_LEN 16
/* Buffer size for the text "[IPv6]:port" with its terminating NUL. */
#define RG_ADDR_STR_MAX 56

/* An IPv4 address is stored as an IPv4-mapped IPv6 address. The port is in
 * host byte order. */
struct rg_addr {
    uint8_t ip[RG_IP_LEN];
    uint16_t port;
};

void rg_ip_from_v4(uint8_t ip[RG_IP_LEN], const uint8_t v4[4]);
bool rg_ip_is_v4(const uint8_t ip[RG_IP_LEN]);

/* Parses an IPv4 or IPv6 address without a port. */
bool rg_ip_parse(uint8_t ip[RG_IP_LEN], const char *text);

/* Parses "1.2.3.4:80" or "[::1]:80". Port 0 is not accepted. */
bool rg_addr_parse(struct rg_addr *a, const char *text);

bool rg_addr_eq(const struct rg_addr *a, const struct rg_addr *b);

/* Converts to a socket address and returns its length. */
socklen_t rg_addr_to_sock(const struct rg_addr *a,
                          struct sockaddr_storage *out);

/* Returns false if the family is neither IPv4 nor IPv6. */
bool rg_addr_from_sock(struct rg_addr *a, const struct sockaddr *sa);

/* Formats the address into `out` and returns `out`. */
char *rg_addr_format(const struct rg_addr *a, char out[RG_ADDR_STR_MAX]);

#endif
