/* A small HTTP/1.1 server on libuv for readiness and metrics: GET only, short
 * answers, a bounded number of connections. Not thread-safe. */
#ifndef RG_EDGE_HTTP_SERVER_H
#define RG_EDGE_HTTP_SERVER_H

#include <uv.h>

#include "common/addr.h"
#include "common/err.h"
#include "common/strbuf.h"

/* Answers a GET of `path`: returns the status and adds the body. */
typedef unsigned (*rg_http_handler)(void *ctx, const char *path,
                                    struct rg_strbuf *body);

struct rg_http_server_opts {
    uv_loop_t *loop;
    struct rg_addr address;
    const char *setting; /* that holds the address, for findings */
    rg_http_handler handler;
    void *ctx;
};

struct rg_http_server;

/* NULL, with a finding, if the address cannot be bound. */
struct rg_http_server *
rg_http_server_create(const struct rg_http_server_opts *opts,
                      struct rg_err *err);

/* Stops listening. Connections end when their callers close them or fall
 * silent; the server's memory is freed with the last. */
void rg_http_server_destroy(struct rg_http_server *s);

#endif
