/* A minimal HTTP/1.1 server on libuv for health checks, metrics and snapshots:
 * GET only, a bounded number of connections. Not thread-safe. */
#ifndef RG_EDGE_HTTP_SERVER_H
#define RG_EDGE_HTTP_SERVER_H

#include <uv.h>

#include "common/addr.h"
#include "common/err.h"
#include "common/strbuf.h"

/* Handles a GET of `path`: appends the response body, returns the status. */
typedef unsigned (*rg_http_handler)(void *ctx, const char *path,
                                    struct rg_strbuf *body);

struct rg_http_server_opts {
    uv_loop_t *loop;
    struct rg_addr address;
    const char *setting; /* name of the address setting, for errors */
    rg_http_handler handler;
    void *ctx;
};

struct rg_http_server;

/* Returns NULL and adds an error to `err` if the address cannot be bound. */
struct rg_http_server *
rg_http_server_create(const struct rg_http_server_opts *opts,
                      struct rg_err *err);

/* Stops listening. Open connections end when their clients close them or on
 * the idle timeout; memory is freed with the last one. */
void rg_http_server_destroy(struct rg_http_server *s);

#endif
