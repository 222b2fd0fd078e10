/* The platform task: a thread that owns every call to the store.
 *
 * It sends the main task one event at a time and waits for the answer, so the
 * two share nothing but that exchange. */
#ifndef RG_DAEMON_STORE_TASK_H
#define RG_DAEMON_STORE_TASK_H

#include "daemon/daemon.h"

/* Starts the task; NULL if no store is set. */
struct rg_store_task *rg_store_task_create(struct rg_daemon *d);

/* Stops the task and waits for it. */
void rg_store_task_destroy(struct rg_store_task *p);

/* Whether this instance should watch the store now. */
void rg_store_task_set_watch(struct rg_store_task *p, bool watch);

#endif
