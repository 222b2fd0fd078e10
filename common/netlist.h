/* Lists of networks (CIDR blocks), used to allow peers and other senders by
 * their source address. */
#ifndef RG_COMMON_NETLIST_H
#define RG_COMMON_NETLIST_H

#include <stdbool.h>
#include <stddef.h>

#include "common/addr.h"

struct rg_network {
    uint8_t ip[RG_IP_LEN];
    unsigned bits; /* prefix length in the 128-bit (IPv4-mapped) address */
};

struct rg_netlist {
    struct rg_network *items; /* owned */
    size_t count;
};

/* Parses "127.0.0.0/8" or "fd00::/8". */
bool rg_network_parse(struct rg_network *n, const char *text);

/* Fills a list; texts that do not parse are left out. */
void rg_netlist_init(struct rg_netlist *l, char *const *texts, size_t count);
void rg_netlist_release(struct rg_netlist *l);

/* True if one of the networks contains the address, or the list is empty. */
bool rg_netlist_allows(const struct rg_netlist *l, const struct rg_addr *a);

#endif
