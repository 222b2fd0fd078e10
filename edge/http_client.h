/* A minimal HTTP/1.1 client on libuv: one persistent connection to one server,
 * one call at a time. Not thread-safe. */
#ifndef RG_EDGE_HTTP_CLIENT_H
#define RG_EDGE_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/addr.h"
#include "common/str.h"

/* Outcome of a call. `status` is the HTTP status, or 0 if no complete response
 * arrived; `error` then says why, and `too_long` is set if its body is larger
 * than the options allow. `body` and `header` are borrowed and valid
 * during the callback only. A header that occurs several times is delivered as
 * a list with commas. */
struct rg_http_response {
    unsigned status;
    struct rg_str body;
    const char *header; /* value of the header in the options; NULL: the
                           response has none */
    const char *error;
    bool too_long;
};

typedef void (*rg_http_client_cb)(void *ctx,
                                  const struct rg_http_response *response);

struct rg_http_client_opts {
    uv_loop_t *loop;
    struct rg_addr server;
    uint32_t connect_ms; /* timeout of a connection attempt */
    uint32_t idle_ms;    /* longest gap between two reads of a response */
    size_t body_max;     /* bytes; a larger response body is an error */
    const char *header;  /* name of a header to deliver, NULL: none */
    rg_http_client_cb cb;
    void *ctx;
};

struct rg_http_client;

struct rg_http_client *
rg_http_client_create(const struct rg_http_client_opts *opts);

/* The callback is not called after this. Memory is freed once the event loop
 * has closed the handles. */
void rg_http_client_destroy(struct rg_http_client *c);

/* Sets the server of later calls; closes the connection if it changes. Must
 * not be called while busy. */
void rg_http_client_set_server(struct rg_http_client *c,
                               const struct rg_addr *server);

/* True while a call is in progress and part of its response has arrived. */
bool rg_http_client_receiving(const struct rg_http_client *c);

/* True while a call is in progress. */
bool rg_http_client_busy(const struct rg_http_client *c);

/* Starts a GET of `path`. `timeout_ms` limits the time from sending the
 * request to the first byte of the response. The callback is called exactly
 * once, after this function has returned, unless the call is cancelled. Must
 * not be called while busy. */
void rg_http_client_get(struct rg_http_client *c, const char *path,
                        uint32_t timeout_ms);

/* As rg_http_client_get(), but a POST with a JSON body of less than 1 KB. */
void rg_http_client_post(struct rg_http_client *c, const char *path,
                         const char *body, uint32_t timeout_ms);

/* Closes the connection and drops the call in progress without a callback. */
void rg_http_client_cancel(struct rg_http_client *c);

/* Closes the connection; the call in progress fails with the error `why`. */
void rg_http_client_reset(struct rg_http_client *c, const char *why);

#endif
