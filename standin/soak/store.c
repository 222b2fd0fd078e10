/* The platform's store as its documentation describes it: items, paged ranges,
 * watches and leases. */
#include <arpa/inet.h>
#include <http_parser.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/addr.h"
#include "common/mem.h"
#include "standin/soak/soak.h"

#define STORE_PORT 8169
#define PAGE_ITEMS 6 /* so small that a listing needs several pages */
#define SLOW_MS 300
/* Copies that the store can be restored from: as often, and so many. */
#define COPY_PERIOD_MS 250
#define COPIES_MAX 24
/* Second bytes of loopback addresses to try if those of --net are in use. */
#define NET_STEP 1
#define NET_LAST 250

struct item {
    char *key;
    char *value; /* base64; NULL: deleted */
    uint64_t revision;
};

struct conn {
    uv_tcp_t tcp;
    struct soak *soak;
    const struct soak_edge *edge; /* that connected; NULL: unknown */
    http_parser parser;
    GString *url;
    GString *body;
    bool stalled; /* never answers again */
    bool watching;
    uint64_t after;    /* revision that the watch starts after */
    uint64_t until_ms; /* end of the watch, or time of a slow answer */
    bool slow;         /* a slow answer is pending */
    char buf[8192];
};

struct copy {
    uint64_t at_ms;
    uint64_t revision;
    uint64_t lease;
    GHashTable *items; /* key -> struct item */
};

struct soak_store {
    GHashTable *items;  /* key -> struct item */
    GPtrArray *history; /* struct item, oldest first */
    GPtrArray *conns;
    uint64_t revision;
    uint64_t compacted_to; /* revision up to which history is compacted */
    uint64_t lease;        /* last id handed out */
    unsigned era;          /* times that it was restored */
    GPtrArray *copies;     /* struct copy, oldest first */
};

static void
free_item(gpointer p)
{
    struct item *i = p;

    g_free(i->key);
    g_free(i->value);
    g_free(i);
}

static struct item *
create_item(const char *key, const char *value, uint64_t revision)
{
    struct item *i = g_new0(struct item, 1);

    i->key = g_strdup(key);
    i->value = g_strdup(value);
    i->revision = revision;
    return i;
}

static void
record_change(struct soak *s, const char *key, const char *base64)
{
    struct soak_store *store = s->store;

    store->revision++;
    g_ptr_array_add(store->history, create_item(key, base64, store->revision));
    if (base64) {
        struct item *i = create_item(key, base64, store->revision);
        g_hash_table_replace(store->items, i->key, i);
    }
    else {
        g_hash_table_remove(store->items, key);
    }
}

void
soak_store_put(struct soak *s, const char *key, const char *value)
{
    g_autofree char *base64 =
        g_base64_encode((const guchar *)value, strlen(value));

    record_change(s, key, base64);
}

void
soak_store_remove(struct soak *s, const char *key)
{
    if (g_hash_table_contains(s->store->items, key)) {
        record_change(s, key, NULL);
    }
}

void
soak_store_compact(struct soak *s)
{
    s->store->compacted_to = s->store->revision;
}

bool
soak_store_has(const struct soak *s, const char *key)
{
    return g_hash_table_contains(s->store->items, key);
}

static GHashTable *
copy_items(GHashTable *items)
{
    GHashTable *out =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_item);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct item *i = value;
        struct item *copy = create_item(i->key, i->value, i->revision);
        g_hash_table_replace(out, copy->key, copy);
    }
    return out;
}

static void
free_copy(gpointer p)
{
    struct copy *c = p;

    g_hash_table_destroy(c->items);
    g_free(c);
}

static void
take_copy(struct soak *s)
{
    GPtrArray *copies = s->store->copies;
    struct copy *c;

    if (copies->len > 0) {
        const struct copy *last = copies->pdata[copies->len - 1];
        if (s->now_ms - last->at_ms < COPY_PERIOD_MS) {
            return;
        }
    }
    c = g_new0(struct copy, 1);
    c->at_ms = s->now_ms;
    c->revision = s->store->revision;
    c->lease = s->store->lease;
    c->items = copy_items(s->store->items);
    g_ptr_array_add(copies, c);
    if (copies->len > COPIES_MAX) {
        g_ptr_array_remove_index(copies, 0);
    }
}

static gboolean
is_own_key(gpointer key, gpointer value, gpointer data)
{
    (void)value;
    (void)data;
    return g_str_has_prefix(key, "rattangap/");
}

/* Leases are lost, and with them the system's own keys; later changes are not
 * in the history any more. */
uint64_t
soak_store_restore(struct soak *s, uint64_t age_ms)
{
    struct soak_store *store = s->store;
    GPtrArray *copies = store->copies;

    while (copies->len > 1 &&
           s->now_ms - ((struct copy *)copies->pdata[copies->len - 1])->at_ms <
               age_ms)
    {
        g_ptr_array_remove_index(copies, copies->len - 1);
    }
    if (copies->len == 0) {
        return s->now_ms;
    }
    const struct copy *c = copies->pdata[copies->len - 1];
    soak_log(s, "the store is restored from %lu ms ago, revision %lu to %lu",
             s->now_ms - c->at_ms, store->revision, c->revision);
    store->era++;
    store->revision = c->revision;
    store->compacted_to = MIN(store->compacted_to, c->revision);
    store->lease = c->lease;
    s->restored_ms = s->now_ms;
    g_hash_table_destroy(store->items);
    store->items = copy_items(c->items);
    g_hash_table_foreach_remove(store->items, is_own_key, NULL);
    while (store->history->len > 0) {
        const struct item *last =
            store->history->pdata[store->history->len - 1];
        if (last->revision <= c->revision) {
            break;
        }
        g_ptr_array_remove_index(store->history, store->history->len - 1);
    }
    return c->at_ms;
}

void
soak_store_stall(struct soak *s)
{
    for (guint i = 0; i < s->store->conns->len; i++) {
        ((struct conn *)s->store->conns->pdata[i])->stalled = true;
    }
}

/* --- answers ------------------------------------------------------------- */

static void
on_closed(uv_handle_t *handle)
{
    struct conn *c = handle->data;

    g_ptr_array_remove_fast(c->soak->store->conns, c);
    g_string_free(c->url, TRUE);
    g_string_free(c->body, TRUE);
    g_free(c);
}

static void
close_conn(struct conn *c)
{
    if (!uv_is_closing((uv_handle_t *)&c->tcp)) {
        uv_close((uv_handle_t *)&c->tcp, on_closed);
    }
}

static void
on_written(uv_write_t *w, int status)
{
    (void)status;
    g_free(w->data);
    g_free(w);
}

static void
send_answer(struct conn *c, int status, const char *body)
{
    uv_write_t *w = g_new0(uv_write_t, 1);
    char *text =
        g_strdup_printf("HTTP/1.1 %d X\r\nContent-Length: %zu\r\n"
                        "Store-Era: %u\r\n\r\n%s",
                        status, strlen(body), c->soak->store->era, body);
    uv_buf_t buf = uv_buf_init(text, (unsigned)strlen(text));

    w->data = text;
    c->watching = false;
    c->slow = false;
    uv_write(w, (uv_stream_t *)&c->tcp, &buf, 1, on_written);
}

static void
add_item(GString *out, const struct item *i, bool first)
{
    if (!i->value) {
        g_string_append_printf(out,
                               "%s{\"Key\":\"%s\",\"Revision\":%lu,"
                               "\"Deleted\":true}",
                               first ? "" : ",", i->key, i->revision);
        return;
    }
    g_string_append_printf(out,
                           "%s{\"Key\":\"%s\",\"Value\":\"%s\","
                           "\"Revision\":%lu,\"Created\":1,\"Lease\":0}",
                           first ? "" : ",", i->key, i->value, i->revision);
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

static void
answer_range(struct conn *c, const char *after)
{
    struct soak_store *store = c->soak->store;
    GList *keys =
        g_list_sort(g_hash_table_get_keys(store->items), compare_keys);
    g_autoptr(GString) out = g_string_new("{\"items\":[");
    int count = 0;
    bool more = false;

    for (GList *k = keys; k; k = k->next) {
        if (strcmp(k->data, after) <= 0) {
            continue;
        }
        if (count == PAGE_ITEMS) {
            more = true;
            break;
        }
        add_item(out, g_hash_table_lookup(store->items, k->data),
                 count++ == 0);
    }
    g_list_free(keys);
    g_string_append_printf(out, "],\"HasMore\":%s,\"StoreRevision\":%lu}",
                           more ? "true" : "false", store->revision);
    send_answer(c, 200, out->str);
}

/* Answers a watch if there are events or its time is over. Returns true if it
 * was answered. */
static bool
answer_watch(struct conn *c)
{
    struct soak_store *store = c->soak->store;
    g_autoptr(GString) out = g_string_new("{\"events\":[");
    int count = 0;

    if (c->after < store->compacted_to || c->after > store->revision) {
        send_answer(c, 410, "");
        return true;
    }
    for (guint i = 0; i < store->history->len; i++) {
        const struct item *e = store->history->pdata[i];
        if (e->revision > c->after) {
            add_item(out, e, count++ == 0);
        }
    }
    if (count == 0 && c->soak->now_ms < c->until_ms) {
        return false;
    }
    g_string_append_printf(out, "],\"StoreRevision\":%lu}", store->revision);
    send_answer(c, 200, out->str);
    return true;
}

static void
answer_txn(struct conn *c)
{
    struct json_object *o = json_tokener_parse(c->body->str);
    struct json_object *puts;
    char text[64];

    if (o && json_object_object_get_ex(o, "Puts", &puts)) {
        for (size_t i = 0; i < json_object_array_length(puts); i++) {
            struct json_object *p = json_object_array_get_idx(puts, i);
            record_change(
                c->soak,
                json_object_get_string(json_object_object_get(p, "Key")),
                json_object_get_string(json_object_object_get(p, "Value")));
        }
    }
    json_object_put(o);
    snprintf(text, sizeof(text), "{\"Revision\":%lu}",
             c->soak->store->revision);
    send_answer(c, 200, text);
}

static uint64_t
query_number(const char *url, const char *name)
{
    const char *at = strstr(url, name);

    return at ? strtoull(at + strlen(name), NULL, 10) : 0;
}

static void
serve(struct conn *c)
{
    const char *url = c->url->str;
    char text[64];

    if (g_str_has_prefix(url, "/v1/kv-range")) {
        const char *at = strstr(url, "&after=");
        answer_range(c, at ? at + strlen("&after=") : "");
    }
    else if (g_str_has_prefix(url, "/v1/kv-watch")) {
        c->watching = true;
        c->after = query_number(url, "after=");
        c->until_ms = c->soak->now_ms + query_number(url, "WaitMs=");
        answer_watch(c);
    }
    else if (g_str_has_prefix(url, "/v1/kv-txn")) {
        answer_txn(c);
    }
    else {
        snprintf(text, sizeof(text), "{\"Lease\":%lu,\"TtlMs\":30000}",
                 ++c->soak->store->lease);
        send_answer(c, 200, text);
    }
}

/* Each instance has a store address of its own, so that the store can fail for
 * one instance and serve the others. */
static enum soak_store_fault
current_fault(const struct conn *c)
{
    if (c->soak->store_fault || !c->edge) {
        return c->soak->store_fault;
    }
    return c->edge->store_fault;
}

static void
handle_call(struct conn *c)
{
    switch (current_fault(c)) {
    case SOAK_STORE_SILENT:
        c->stalled = true;
        break;
    case SOAK_STORE_BUSY:
        send_answer(c, 503, "");
        break;
    case SOAK_STORE_RESET:
        close_conn(c);
        break;
    case SOAK_STORE_SLOW:
        c->slow = true;
        c->until_ms = c->soak->now_ms + SLOW_MS;
        break;
    default:
        serve(c);
        break;
    }
}

/* --- connections --------------------------------------------------------- */

static int
on_url(http_parser *p, const char *at, size_t len)
{
    g_string_append_len(((struct conn *)p->data)->url, at, (gssize)len);
    return 0;
}

static int
on_body(http_parser *p, const char *at, size_t len)
{
    g_string_append_len(((struct conn *)p->data)->body, at, (gssize)len);
    return 0;
}

static int
on_begin(http_parser *p)
{
    struct conn *c = p->data;

    g_string_truncate(c->url, 0);
    g_string_truncate(c->body, 0);
    return 0;
}

static int
on_complete(http_parser *p)
{
    struct conn *c = p->data;

    if (!c->stalled) {
        handle_call(c);
    }
    return 0;
}

static const http_parser_settings settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    struct conn *c = handle->data;

    (void)size;
    *buf = uv_buf_init(c->buf, sizeof(c->buf));
}

static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
    struct conn *c = stream->data;

    (void)buf;
    if (len < 0) {
        close_conn(c);
        return;
    }
    http_parser_execute(&c->parser, &settings, c->buf, (size_t)len);
}

static struct soak_edge *
find_edge(const struct conn *c)
{
    struct sockaddr_in sa = {0};
    int len = sizeof(sa);

    uv_tcp_getsockname(&c->tcp, (struct sockaddr *)&sa, &len);
    int index = (int)(ntohl(sa.sin_addr.s_addr) & 0xff) - SOAK_STORE_IP_FIRST;
    return index >= 0 && index < c->soak->edge_count ? &c->soak->edges[index]
                                                     : NULL;
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct soak *s = listener->data;
    struct conn *c = g_new0(struct conn, 1);

    (void)status;
    c->soak = s;
    c->url = g_string_new(NULL);
    c->body = g_string_new(NULL);
    uv_tcp_init(&s->loop, &c->tcp);
    c->tcp.data = c;
    g_ptr_array_add(s->store->conns, c);
    http_parser_init(&c->parser, HTTP_REQUEST);
    c->parser.data = c;
    uv_accept(listener, (uv_stream_t *)&c->tcp);
    c->edge = find_edge(c);
    uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

void
soak_store_tick(struct soak *s)
{
    take_copy(s);
    for (guint i = 0; i < s->store->conns->len; i++) {
        struct conn *c = s->store->conns->pdata[i];
        if (c->stalled || uv_is_closing((uv_handle_t *)&c->tcp)) {
            continue;
        }
        if (c->slow && s->now_ms >= c->until_ms) {
            c->slow = false;
            serve(c);
        }
        else if (c->watching && current_fault(c) == SOAK_STORE_OK) {
            answer_watch(c);
        }
    }
}

static bool
listen_at(struct soak *s, int last_byte)
{
    uv_tcp_t *listener = g_new0(uv_tcp_t, 1);
    struct sockaddr_in sa;
    char ip[32];

    soak_ip(s, 0, last_byte, ip);
    uv_ip4_addr(ip, STORE_PORT, &sa);
    uv_tcp_init(&s->loop, listener);
    listener->data = s;
    if (uv_tcp_bind(listener, (const struct sockaddr *)&sa, 0) < 0 ||
        uv_listen((uv_stream_t *)listener, 128, on_connection) < 0)
    {
        uv_close((uv_handle_t *)listener, (uv_close_cb)g_free);
        return false;
    }
    return true;
}

void
soak_store_start(struct soak *s)
{
    struct soak_store *store = g_new0(struct soak_store, 1);

    s->store = store;
    store->items =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_item);
    store->history = g_ptr_array_new_with_free_func(free_item);
    store->conns = g_ptr_array_new();
    store->copies = g_ptr_array_new_with_free_func(free_copy);
    while (!listen_at(s, 1)) {
        /* Another run uses these addresses: tries the next ones. */
        s->net += NET_STEP;
        if (s->net > NET_LAST) {
            soak_fail(s, "store: no loopback addresses are free");
            return;
        }
    }
    for (int i = 0; i < s->edge_count; i++) {
        if (!listen_at(s, SOAK_STORE_IP_FIRST + i)) {
            soak_fail(s, "the store cannot listen for edge %d", i);
        }
    }
}
