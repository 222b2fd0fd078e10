/* A plain HTTP/1.1 client on libuv: one connection to one server, kept open,
 * one call at a time. Not thread-safe. */
#ifndef RG_EDGE_HTTP_CLIENT_H
#define RG_EDGE_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/addr.h"
#include "common/str.h"

/* Outcome of a call. `status` is 0 if there was no whole answer; `error` then
 * says why. `body` borrows and is valid during the call only. */
struct rg_http_response {
    unsigned status;
    struct rg_str body;
    const char *error;
};

typedef void (*rg_http_client_cb)(void *ctx,
                                  const struct rg_http_response *answer);

struct rg_http_client_opts {
    uv_loop_t *loop;
    struct rg_addr server;
    uint32_t connect_ms; /* limit of opening a connection */
    uint32_t idle_ms;    /* longest pause within an answer */
    size_t body_max;     /* bytes of an answer; a larger one is an error */
    rg_http_client_cb cb;
    void *ctx;
};

struct rg_http_client;

struct rg_http_client *
rg_http_client_create(const struct rg_http_client_opts *opts);

/* Frees the client once the loop has closed its handles; no callback comes
 * after this. */
void rg_http_client_destroy(struct rg_http_client *c);

/* Changes the server for calls from now on. Must not be called while busy. */
void rg_http_client_set_server(struct rg_http_client *c,
                               const struct rg_addr *server);

/* True if part of an answer has arrived. */
bool rg_http_client_receiving(const struct rg_http_client *c);

bool rg_http_client_busy(const struct rg_http_client *c);

/* Makes a call: GET `path`. `timeout_ms` is the longest time to its first
 * byte.
 * The callback comes exactly once, later. Must not
 * be called while busy. */
void rg_http_client_get(struct rg_http_client *c, const char *path,
                        uint32_t timeout_ms);

/* The same with POST and a JSON body of less than 1 KB. */
void rg_http_client_post(struct rg_http_client *c, const char *path,
                         const char *body, uint32_t timeout_ms);

/* Drops a call in progress and the connection; no callback comes for it. */
void rg_http_client_cancel(struct rg_http_client *c);

/* Ends a call in progress as failed and closes the connection. */
void rg_http_client_reset(struct rg_http_client *c, const char *why);

#endif
