/* Peer connections: instances fetch the configuration's head and sections from
 * each other over TCP. Each message has a four-byte big-endian length before
 * it. */
#ifndef RG_DAEMON_PEER_H
#define RG_DAEMON_PEER_H

#include "daemon/daemon.h"

/* Listens at the packet address. Errors go into `err`. */
struct rg_peer *rg_peer_create(struct rg_daemon *d, struct rg_err *err);
void rg_peer_destroy(struct rg_peer *p);

/* Fetches the configuration from the peer at `addr`. Does nothing while
 * another fetch runs; the next probe triggers it again. */
void rg_peer_fetch(struct rg_peer *p, const struct rg_addr *addr);

#endif
