/* Blocking HTTP client on libcurl. Used by the daemon's store thread and by
 * the command-line tools; the daemon's main thread must not block on it. */
#ifndef RG_STORE_HTTP_H
#define RG_STORE_HTTP_H

#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

struct rg_http_opts {
    uint32_t timeout_ms;
    const char *ca_file; /* NULL or empty: the system's CAs */
    const char *token;   /* bearer token, NULL or empty: none */
};

struct rg_http_reply {
    long status; /* HTTP status, or 0 if there was no complete response */
    char *body;  /* NUL-terminated, owned */
    size_t len;
    char error[128]; /* why there was no response */
};

struct rg_http;

struct rg_http *rg_http_create(const struct rg_http_opts *opts);
void rg_http_destroy(struct rg_http *h);

/* Sends one request and waits for the response. `method` is "GET" or "PUT";
 * `body` is sent with PUT only. The timeout is that of the options plus
 * `wait_ms`, the time that a long poll asks the server to wait. Release the
 * reply with rg_http_reply_clear(). */
void rg_http_call(struct rg_http *h, const char *method, const char *url,
                  struct rg_str body, uint32_t wait_ms,
                  struct rg_http_reply *reply);
void rg_http_reply_clear(struct rg_http_reply *reply);

/* Makes the current call and all later ones fail soon. Thread-safe. */
void rg_http_abort(struct rg_http *h);

#endif
