/* Keeps the balancer's view in sync with the store: makes the HTTP calls that
 * rg_store_sync asks for and applies the responses. Not thread-safe. */
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
    struct rg_store_sync_opts sync;
    struct rg_balancer *balancer; /* borrowed */
    const struct rg_log *log;     /* borrowed */
    /* Another instance is registered with this peer address. */
    void (*on_instance)(void *ctx, const struct rg_addr *addr);
    /* The store is known to be in this era, a higher one than before. */
    void (*on_era)(void *ctx, uint32_t era);
    void *ctx;
};

struct rg_store_client *
rg_store_client_create(const struct rg_store_client_opts *opts);
void rg_store_client_destroy(struct rg_store_client *s);

/* Calls the store once, even on standby. */
void rg_store_client_refresh(struct rg_store_client *s);

/* See rg_store_sync_set_standby(). */
void rg_store_client_set_standby(struct rg_store_client *s, bool standby);

/* The view has everything that the store held at `confirmed_ms`. */
void rg_store_client_confirm(struct rg_store_client *s, uint64_t confirmed_ms);

/* Highest era known of the store; the view may still be of an older one. */
uint32_t rg_store_client_era(const struct rg_store_client *s);

/* True while everything is listed again to settle the view in a new era. */
bool rg_store_client_is_settling(const struct rg_store_client *s);

/* A snapshot from another instance was applied: the view is at `revision` now.
 * `confirmed_ms` is as for rg_store_client_confirm(), 0 if not known. */
void rg_store_client_snapshot_applied(struct rg_store_client *s,
                                      uint64_t revision,
                                      uint64_t confirmed_ms);

/* Changes the address of the store: drops a call to the old one and calls the
 * new one. Does nothing if the address is the same. */
void rg_store_client_set_address(struct rg_store_client *s,
                                 const struct rg_addr *store);

/* Revision of the store that the view is at, 0 before the first listing. */
uint64_t rg_store_client_revision(const struct rg_store_client *s);

/* Latest time at which the view is known to have had everything that the store
 * held, 0 for never. */
uint64_t rg_store_client_confirmed_ms(const struct rg_store_client *s);

/* When the store last answered this instance with its complete state, 0 for
 * never, and the number of such answers. */
uint64_t rg_store_client_answered_ms(const struct rg_store_client *s);
uint32_t rg_store_client_answers(const struct rg_store_client *s);

/* True if the last call of the store failed. */
bool rg_store_client_failing(const struct rg_store_client *s);

/* The process was suspended for a while: ends the call in progress and makes
 * the next one. */
void rg_store_client_paused(struct rg_store_client *s);

#endif
