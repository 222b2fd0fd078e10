#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "store/http.h"
#include "store/store.h"

#define URL_MAX 512
#define TOKEN_MAX 512

struct http_store {
    struct rg_store base;
    struct rg_store_opts opts;
    struct rg_http *http;
    char token[TOKEN_MAX];
    size_t current_url; /* index into opts.urls */
};

static void
read_token(struct http_store *s)
{
    if (!s->opts.token_file || !*s->opts.token_file) {
        return;
    }
    FILE *in = fopen(s->opts.token_file, "r");
    if (!in) {
        return;
    }
    if (fgets(s->token, sizeof(s->token), in)) {
        s->token[strcspn(s->token, "\r\n")] = '\0';
    }
    fclose(in);
}

static void
http_destroy(struct rg_store *base)
{
    struct http_store *s = (struct http_store *)base;

    rg_http_destroy(s->http);
    free(s);
}

static void
http_abort(struct rg_store *base)
{
    rg_http_abort(((struct http_store *)base)->http);
}

/* Sends one request to the current URL. After a failure the next call uses the
 * next URL. */
static void
call(struct http_store *s, const char *method, const char *path,
     struct rg_str body, uint32_t wait_ms, struct rg_http_reply *reply)
{
    char url[URL_MAX];

    memset(reply, 0, sizeof(*reply));
    if (s->opts.url_count == 0) {
        snprintf(reply->error, sizeof(reply->error), "no store is set");
        return;
    }
    snprintf(url, sizeof(url), "%s%s", s->opts.urls[s->current_url], path);
    rg_http_call(s->http, method, url, body, wait_ms, reply);
    if (reply->status == 0 || reply->status >= 500) {
        s->current_url = (s->current_url + 1) % s->opts.url_count;
    }
}

/* Reads {"revision": N, "value": "..."}. */
static bool
parse_value(const struct rg_http_reply *r, struct rg_store_value *out)
{
    struct json_object *o = json_tokener_parse(r->body);
    struct json_object *revision;
    struct json_object *value;
    bool ok = false;

    if (o && json_object_object_get_ex(o, "revision", &revision)) {
        out->revision = json_object_get_uint64(revision);
        ok = true;
        if (json_object_object_get_ex(o, "value", &value)) {
            out->len = (size_t)json_object_get_string_len(value);
            out->text = rg_strndup(json_object_get_string(value), out->len);
        }
    }
    json_object_put(o);
    return ok;
}

static enum rg_store_status
parse_reply(const struct rg_http_reply *r, struct rg_store_value *out)
{
    switch (r->status) {
    case 200:
        if (parse_value(r, out)) {
            return RG_STORE_OK;
        }
        snprintf(out->error, sizeof(out->error),
                 "the response cannot be decoded");
        return RG_STORE_UNKNOWN;
    case 304:
        return RG_STORE_UNCHANGED;
    case 404:
        return RG_STORE_ABSENT;
    case 409:
        parse_value(r, out);
        return RG_STORE_CONFLICT;
    case 0:
        snprintf(out->error, sizeof(out->error), "%s", r->error);
        return RG_STORE_UNKNOWN;
    default:
        snprintf(out->error, sizeof(out->error), "HTTP status %ld", r->status);
        return RG_STORE_UNKNOWN;
    }
}

static enum rg_store_status
http_get(struct rg_store *base, const char *key, uint64_t after,
         uint32_t wait_ms, struct rg_store_value *out)
{
    struct http_store *s = (struct http_store *)base;
    struct rg_http_reply r;
    char path[URL_MAX / 2];

    memset(out, 0, sizeof(*out));
    if (wait_ms > 0) {
        snprintf(path, sizeof(path), "/v1/kv/%s?after=%llu&wait_ms=%u", key,
                 (unsigned long long)after, wait_ms);
    }
    else {
        snprintf(path, sizeof(path), "/v1/kv/%s", key);
    }
    call(s, "GET", path, (struct rg_str){0}, wait_ms, &r);
    enum rg_store_status status = parse_reply(&r, out);
    rg_http_reply_clear(&r);
    return status;
}

static enum rg_store_status
http_swap(struct rg_store *base, const char *key, struct rg_str value,
          uint64_t expected, struct rg_store_value *out)
{
    struct http_store *s = (struct http_store *)base;
    struct rg_http_reply r;
    char path[URL_MAX / 2];

    memset(out, 0, sizeof(*out));
    snprintf(path, sizeof(path), "/v1/kv/%s?if_revision=%llu", key,
             (unsigned long long)expected);
    call(s, "PUT", path, value, 0, &r);
    enum rg_store_status status = parse_reply(&r, out);
    rg_http_reply_clear(&r);
    return status;
}

static bool
parse_instance(struct json_object *o, struct rg_store_instance *out)
{
    struct json_object *addr;
    struct json_object *dc;
    struct json_object *state;

    memset(out, 0, sizeof(*out));
    if (!json_object_object_get_ex(o, "address", &addr) ||
        !json_object_object_get_ex(o, "data_centre", &dc) ||
        !json_object_is_type(addr, json_type_string) ||
        !json_object_is_type(dc, json_type_string))
    {
        return false;
    }
    if (json_object_object_get_ex(o, "state", &state)) {
        const char *text = json_object_get_string(state);
        out->leaving = text && strcmp(text, "leaving") == 0;
    }
    return rg_addr_parse(&out->addr, json_object_get_string(addr)) &&
           rg_name_set(&out->data_centre,
                       rg_str_of(json_object_get_string(dc)));
}

static enum rg_store_status
http_instances(struct rg_store *base, struct rg_store_instance **out,
               size_t *count)
{
    struct http_store *s = (struct http_store *)base;
    struct rg_http_reply r;
    struct json_object *list;
    enum rg_store_status status = RG_STORE_UNKNOWN;

    *out = NULL;
    *count = 0;
    call(s, "GET", "/v1/instances", (struct rg_str){0}, 0, &r);
    struct json_object *o =
        r.status == 200 ? json_tokener_parse(r.body) : NULL;
    if (o && json_object_object_get_ex(o, "instances", &list) &&
        json_object_is_type(list, json_type_array))
    {
        size_t length = json_object_array_length(list);
        *out = rg_calloc(length, sizeof(**out));
        for (size_t i = 0; i < length; i++) {
            *count += parse_instance(json_object_array_get_idx(list, i),
                                     *out + *count);
        }
        status = RG_STORE_OK;
    }
    json_object_put(o);
    rg_http_reply_clear(&r);
    return status;
}

static const struct rg_store_ops http_ops = {
    .destroy = http_destroy,
    .get = http_get,
    .swap = http_swap,
    .instances = http_instances,
    .abort = http_abort,
};

void
rg_store_value_clear(struct rg_store_value *v)
{
    free(v->text);
    memset(v, 0, sizeof(*v));
}

void
rg_store_section_key(char *out, size_t size, const char *hash)
{
    snprintf(out, size, "section/%s", hash);
}

struct rg_store *
rg_store_http_create(const struct rg_store_opts *opts)
{
    struct http_store *s = rg_calloc(1, sizeof(*s));
    struct rg_http_opts http = {
        .timeout_ms = opts->timeout_ms,
        .ca_file = opts->ca_file,
    };

    s->base.ops = &http_ops;
    s->opts = *opts;
    read_token(s);
    http.token = s->token;
    s->http = rg_http_create(&http);
    return &s->base;
}
