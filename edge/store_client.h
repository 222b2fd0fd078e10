/* Keeps the balancer's view in step with the store: makes the calls that
 * rg_store_sync asks for and applies their answers. Not thread-safe. */
#ifndef RG_EDGE_STORE_CLIENT_H
#define RG_EDGE_STORE_CLIENT_H

#include <stdbool.h>
#include <uv.h>

#include "balance/balancer.h"
#include "balance/store_sync.h"
#include "common/log.h"

struct rg_store_client;

struct rg_store_client_opts {
    uv_loop_t *loop;
    struct rg_addr store;
    struct rg_store_sync_opts follow;
    struct rg_balancer *balancer; /* borrowed */
    const struct rg_log *log;     /* borrowed */
    /* Another instance was announced at this peer address. */
    void (*on_instance)(void *ctx, const struct rg_addr *addr);
    void *ctx;
};

struct rg_store_client *
rg_store_client_create(const struct rg_store_client_opts *opts);
void rg_store_client_destroy(struct rg_store_client *s);

/* Asks the store once, though covered. */
void rg_store_client_refresh(struct rg_store_client *s);

/* See rg_store_sync_set_standby(). */
void rg_store_client_set_standby(struct rg_store_client *s, bool covered);

/* The view lacks nothing that the store held at `confirmed_ms`. */
void rg_store_client_confirm(struct rg_store_client *s, uint64_t confirmed_ms);

/* The view was taken from another instance whose view stands at `revision` and
 * was confirmed by the store at `confirmed_ms`. */
void rg_store_client_snapshot_applied(struct rg_store_client *s,
                                      uint64_t revision,
                                      uint64_t confirmed_ms);

/* The store is at another address from now on. */
void rg_store_client_set_address(struct rg_store_client *s,
                                 const struct rg_addr *store);

uint64_t rg_store_client_revision(const struct rg_store_client *s);
/* Time at which the view is known to have been the store's, 0 for none. */
uint64_t rg_store_client_confirmed_ms(const struct rg_store_client *s);
/* True while calls of the store fail. */
bool rg_store_client_failing(const struct rg_store_client *s);

/* The process did not run for a while: starts the calls afresh. */
void rg_store_client_paused(struct rg_store_client *s);

#endif
