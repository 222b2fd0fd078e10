#include "store/http.h"

#include <curl/curl.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

#define BODY_MAX_BYTES (8 * 1024 * 1024)

struct rg_http {
    CURL *curl;
    struct rg_http_opts opts;
    struct curl_slist *headers;
    atomic_bool aborted;
};

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
    struct rg_http_reply *r = ctx;
    size_t len = size * count;

    if (r->len + len > BODY_MAX_BYTES) {
        return 0; /* libcurl then fails the transfer */
    }
    r->body = rg_realloc(r->body, r->len + len + 1);
    memcpy(r->body + r->len, data, len);
    r->len += len;
    r->body[r->len] = '\0';
    return len;
}

static int
on_progress(void *ctx, curl_off_t a, curl_off_t b, curl_off_t c, curl_off_t d)
{
    struct rg_http *h = ctx;

    (void)a;
    (void)b;
    (void)c;
    (void)d;
    return atomic_load(&h->aborted) ? 1 : 0;
}

struct rg_http *
rg_http_create(const struct rg_http_opts *opts)
{
    struct rg_http *h = rg_calloc(1, sizeof(*h));
    char header[1024];

    h->opts = *opts;
    h->curl = curl_easy_init();
    h->headers = curl_slist_append(h->headers, "Expect:");
    if (opts->token && *opts->token) {
        snprintf(header, sizeof(header), "Authorization: Bearer %s",
                 opts->token);
        h->headers = curl_slist_append(h->headers, header);
    }
    return h;
}

void
rg_http_destroy(struct rg_http *h)
{
    if (!h) {
        return;
    }
    curl_slist_free_all(h->headers);
    curl_easy_cleanup(h->curl);
    free(h);
}

static void
set_common(struct rg_http *h, const char *url, uint32_t wait_ms,
           struct rg_http_reply *reply)
{
    CURL *c = h->curl;

    curl_easy_reset(c);
    curl_easy_setopt(c, CURLOPT_URL, url);
    curl_easy_setopt(c, CURLOPT_HTTPHEADER, h->headers);
    curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(c, CURLOPT_TIMEOUT_MS,
                     (long)h->opts.timeout_ms + (long)wait_ms);
    curl_easy_setopt(c, CURLOPT_CONNECTTIMEOUT_MS, (long)h->opts.timeout_ms);
    curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(c, CURLOPT_WRITEDATA, reply);
    curl_easy_setopt(c, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(c, CURLOPT_XFERINFOFUNCTION, on_progress);
    curl_easy_setopt(c, CURLOPT_XFERINFODATA, h);
    curl_easy_setopt(c, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(c, CURLOPT_PROXY, "");
    if (h->opts.ca_file && *h->opts.ca_file) {
        curl_easy_setopt(c, CURLOPT_CAINFO, h->opts.ca_file);
    }
}

void
rg_http_call(struct rg_http *h, const char *method, const char *url,
             struct rg_str body, uint32_t wait_ms, struct rg_http_reply *reply)
{
    memset(reply, 0, sizeof(*reply));
    set_common(h, url, wait_ms, reply);
    if (strcmp(method, "PUT") == 0) {
        curl_easy_setopt(h->curl, CURLOPT_CUSTOMREQUEST, "PUT");
        curl_easy_setopt(h->curl, CURLOPT_POSTFIELDS, body.ptr);
        curl_easy_setopt(h->curl, CURLOPT_POSTFIELDSIZE, (long)body.len);
    }
    CURLcode rc = curl_easy_perform(h->curl);
    if (rc != CURLE_OK) {
        snprintf(reply->error, sizeof(reply->error), "%s",
                 curl_easy_strerror(rc));
        reply->status = 0;
        return;
    }
    curl_easy_getinfo(h->curl, CURLINFO_RESPONSE_CODE, &reply->status);
    if (!reply->body) {
        reply->body = rg_strdup("");
    }
}

void
rg_http_reply_clear(struct rg_http_reply *reply)
{
    free(reply->body);
    memset(reply, 0, sizeof(*reply));
}

void
rg_http_abort(struct rg_http *h)
{
    atomic_store(&h->aborted, true);
}
