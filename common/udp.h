/* Opening UDP sockets, with buffers large enough for batches. */
#ifndef RG_COMMON_UDP_H
#define RG_COMMON_UDP_H

#include "common/addr.h"

/* Opens a non-blocking socket bound to `addr`. It asks for send and receive
 * buffers of `buffer_bytes`, which the host may reduce. Returns -1 and sets
 * errno on failure; the caller closes the socket. */
int rg_udp_open(const struct rg_addr *addr, int buffer_bytes);

#endif
