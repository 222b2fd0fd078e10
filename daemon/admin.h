/* The admin server: read-only HTTP for health, readiness, metrics, status,
 * the routing of single flows and trace spans. Runs in the main loop. */
#ifndef RG_DAEMON_ADMIN_H
#define RG_DAEMON_ADMIN_H

#include "daemon/daemon.h"

/* Listens at the admin address; NULL with an error in `err` if that fails. */
struct rg_admin *rg_admin_create(struct rg_daemon *d, struct rg_err *err);
void rg_admin_destroy(struct rg_admin *a);

#endif
