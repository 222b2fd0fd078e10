/* The store task: a thread that makes all calls to the store, as they block.
 *
 * It passes one event at a time to the main thread and waits until that has
 * handled it, so the two threads share no other state. */
#ifndef RG_DAEMON_STORE_TASK_H
#define RG_DAEMON_STORE_TASK_H

#include "daemon/daemon.h"

/* Starts the thread; NULL if the settings have no store URL. */
struct rg_store_task *rg_store_task_create(struct rg_daemon *d);

/* Stops the thread and waits for its end. */
void rg_store_task_destroy(struct rg_store_task *t);

/* Sets whether this instance watches the store for changes. The others get the
 * configuration from peers. */
void rg_store_task_set_watch(struct rg_store_task *t, bool watch);

#endif
