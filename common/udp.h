/* Bound UDP sockets for receiving and sending in batches. */
#ifndef RG_COMMON_UDP_H
#define RG_COMMON_UDP_H

#include "common/addr.h"

/* A non-blocking socket bound to `addr` with buffers of `buffer_bytes`, as far
 * as the host grants them; -1 with errno set. The caller closes it. */
int rg_udp_open(const struct rg_addr *addr, int buffer_bytes);

#endif
