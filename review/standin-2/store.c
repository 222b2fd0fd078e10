/* The platform's store: items, pages, watches and leases over HTTP/1.1. It is
 * sound in all cases: it answers at once and loses nothing. */
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sim.h"

#define ITEMS_MAX 4096
#define EVENTS_MAX 20000
#define CONNS_MAX 64
#define KEY_MAX 201
#define REQUEST_MAX 8192
/* Most of a page. */
#define PAGE_ITEMS 500
#define PAGE_BYTES (1 << 20)
#define LEASES_MAX 256

/* A value as it is sent, in base64. Items and events share it. */
struct value {
    int refs;
    size_t len;
    char text[];
};

struct item {
    char key[KEY_MAX];
    struct value *value; /* NULL in an event: deleted */
    uint64_t revision;
    uint64_t created;
    uint64_t lease;
};

struct event {
    struct item item;
    uint64_t at_ms;
};

struct buffer {
    char *text;
    size_t len;
    size_t size;
};

struct conn {
    int fd; /* -1: free */
    char in[REQUEST_MAX];
    size_t in_len;
    struct buffer out;
    size_t sent;
    bool watching;
    uint64_t after;
    uint64_t until_ms;
};

static struct item items[ITEMS_MAX]; /* by key */
static size_t item_count;
static struct event events[EVENTS_MAX]; /* oldest first */
static size_t event_count;
static uint64_t revision = 100;
static uint64_t compacted = 100; /* no events up to it are kept */
static struct conn conns[CONNS_MAX];
static int listener = -1;
static struct {
    uint64_t id;
    uint64_t ttl_ms;
    uint64_t until_ms;
} leases[LEASES_MAX];
static uint64_t last_lease;

/* --- items --------------------------------------------------------------- */

static struct value *
encode(const uint8_t *in, size_t len)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz0123456789+/";
    struct value *v = malloc(sizeof(*v) + (len + 2) / 3 * 4 + 1);
    size_t n = 0;

    if (!v) {
        abort();
    }
    for (size_t i = 0; i < len; i += 3) {
        uint32_t part = (uint32_t)in[i] << 16;
        part |= i + 1 < len ? (uint32_t)in[i + 1] << 8 : 0;
        part |= i + 2 < len ? in[i + 2] : 0;
        v->text[n++] = digits[part >> 18];
        v->text[n++] = digits[part >> 12 & 63];
        v->text[n++] = i + 1 < len ? digits[part >> 6 & 63] : '=';
        v->text[n++] = i + 2 < len ? digits[part & 63] : '=';
    }
    v->text[n] = '\0';
    v->len = n;
    v->refs = 0;
    return v;
}

static void
release(struct value *v)
{
    if (v && --v->refs == 0) {
        free(v);
    }
}

/* Position of the key, or where to insert it. */
static size_t
find(const char *key)
{
    size_t low = 0;
    size_t high = item_count;

    while (low < high) {
        size_t middle = (low + high) / 2;
        if (strcmp(items[middle].key, key) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static void
drop_old_events(const struct sim *s)
{
    size_t n = 0;

    while (n < event_count && (events[n].at_ms + HISTORY_MS < s->now_ms ||
                               (n == 0 && event_count == EVENTS_MAX)))
    {
        compacted = events[n].item.revision;
        release(events[n].item.value);
        n++;
    }
    event_count -= n;
    memmove(events, events + n, event_count * sizeof(events[0]));
}

static void
add_event(const struct sim *s, const struct item *item)
{
    drop_old_events(s);
    events[event_count++] = (struct event){.item = *item, .at_ms = s->now_ms};
    if (item->value) {
        item->value->refs++;
    }
}

static void
change(const struct sim *s, const char *key, struct value *value,
       uint64_t lease)
{
    size_t i = find(key);
    bool exists = i < item_count && strcmp(items[i].key, key) == 0;
    struct item item = {.revision = ++revision, .lease = lease};

    snprintf(item.key, sizeof(item.key), "%s", key);
    item.value = value;
    item.created = exists ? items[i].created : revision;
    add_event(s, &item);
    if (exists) {
        release(items[i].value);
    }
    if (!value) {
        item_count--;
        memmove(&items[i], &items[i + 1], (item_count - i) * sizeof(items[0]));
        return;
    }
    if (!exists) {
        if (item_count == ITEMS_MAX) {
            abort();
        }
        memmove(&items[i + 1], &items[i], (item_count - i) * sizeof(items[0]));
        item_count++;
    }
    value->refs++;
    items[i] = item;
}

uint64_t
store_put(struct sim *s, const char *key, const void *value, size_t len)
{
    change(s, key, encode(value, len), 0);
    return s->now_ms;
}

void
store_remove(struct sim *s, const char *key)
{
    size_t i = find(key);

    if (i < item_count && strcmp(items[i].key, key) == 0) {
        change(s, key, NULL, 0);
    }
}

/* --- answers ------------------------------------------------------------- */

static void
append(struct buffer *b, const char *text, size_t len)
{
    if (b->len + len + 1 > b->size) {
        b->size = (b->len + len + 1) * 2;
        b->text = realloc(b->text, b->size);
        if (!b->text) {
            abort();
        }
    }
    memcpy(b->text + b->len, text, len);
    b->len += len;
    b->text[b->len] = '\0';
}

static void
append_item(struct buffer *b, const struct item *i, bool is_first)
{
    char head[400];
    int n;

    if (i->value) {
        n = snprintf(
            head, sizeof(head),
            "%s{\"Key\":\"%s\",\"Revision\":%llu,\"Created\":%llu,"
            "\"Lease\":%llu,\"Value\":\"",
            is_first ? "" : ",", i->key, (unsigned long long)i->revision,
            (unsigned long long)i->created, (unsigned long long)i->lease);
        append(b, head, (size_t)n);
        append(b, i->value->text, i->value->len);
        append(b, "\"}", 2);
        return;
    }
    n = snprintf(head, sizeof(head),
                 "%s{\"Key\":\"%s\",\"Revision\":%llu,\"Deleted\":true}",
                 is_first ? "" : ",", i->key, (unsigned long long)i->revision);
    append(b, head, (size_t)n);
}

static void
answer(struct conn *c, int status, const struct buffer *body)
{
    char head[160];
    size_t len = body ? body->len : 0;
    int n = snprintf(head, sizeof(head),
                     "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                     "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n",
                     status, status == 200 ? "OK" : "Refused", len);

    c->watching = false;
    append(&c->out, head, (size_t)n);
    if (len > 0) {
        append(&c->out, body->text, len);
    }
}

static void
answer_range(struct conn *c, const char *prefix, const char *after)
{
    struct buffer b = {0};
    char tail[80];
    int count = 0;
    bool more = false;

    append(&b, "{\"items\":[", 10);
    for (size_t i = 0; i < item_count; i++) {
        if (strncmp(items[i].key, prefix, strlen(prefix)) != 0 ||
            strcmp(items[i].key, after) <= 0)
        {
            continue;
        }
        if (count == PAGE_ITEMS ||
            (count > 0 && b.len + items[i].value->len > PAGE_BYTES))
        {
            more = true;
            break;
        }
        append_item(&b, &items[i], count++ == 0);
    }
    int n = snprintf(tail, sizeof(tail),
                     "],\"HasMore\":%s,\"StoreRevision\":%llu}",
                     more ? "true" : "false", (unsigned long long)revision);
    append(&b, tail, (size_t)n);
    answer(c, 200, &b);
    free(b.text);
}

/* True if the watch was answered. */
static bool
answer_watch(const struct sim *s, struct conn *c)
{
    struct buffer b = {0};
    char tail[80];
    int count = 0;

    if (c->after < compacted || c->after > revision) {
        answer(c, 410, NULL);
        return true;
    }
    if (c->after == revision && s->now_ms < c->until_ms) {
        return false;
    }
    append(&b, "{\"events\":[", 11);
    for (size_t i = 0; i < event_count; i++) {
        if (events[i].item.revision > c->after) {
            append_item(&b, &events[i].item, count++ == 0);
        }
    }
    int n = snprintf(tail, sizeof(tail), "],\"StoreRevision\":%llu}",
                     (unsigned long long)revision);
    append(&b, tail, (size_t)n);
    answer(c, 200, &b);
    free(b.text);
    return true;
}

/* --- calls --------------------------------------------------------------- */

/* Value of a field of the query, decoded; empty if there is none. */
static void
query_text(const char *query, const char *name, char out[KEY_MAX])
{
    const char *at = strstr(query, name);
    size_t len = 0;

    for (at = at ? at + strlen(name) : ""; *at && *at != '&' && *at != ' ';
         at++) {
        unsigned byte = (unsigned char)*at;
        if (byte == '%' && sscanf(at + 1, "%2x", &byte) == 1) {
            at += 2;
        }
        if (len + 1 < KEY_MAX) {
            out[len++] = (char)byte;
        }
    }
    out[len] = '\0';
}

static uint64_t
query_number(const char *query, const char *name)
{
    char text[KEY_MAX];

    query_text(query, name, text);
    return strtoull(text, NULL, 10);
}

/* Copies a string of a JSON body; false if there is none. */
static bool
body_text(const char *body, const char *name, char *out, size_t size)
{
    const char *at = strstr(body, name);
    size_t len;

    if (!at) {
        return false;
    }
    at += strlen(name);
    len = strcspn(at, "\"");
    snprintf(out, size, "%.*s", (int)len, at);
    return true;
}

static struct value *
copy_text(const char *text)
{
    struct value *v = malloc(sizeof(*v) + strlen(text) + 1);

    if (!v) {
        abort();
    }
    v->refs = 0;
    v->len = strlen(text);
    memcpy(v->text, text, v->len + 1);
    return v;
}

/* The system's transactions here write one key. */
static void
handle_txn(struct sim *s, struct conn *c, const char *body)
{
    char key[KEY_MAX];
    char value[REQUEST_MAX];
    char text[64];
    struct buffer b = {0};
    const char *lease = strstr(body, "\"Lease\":");

    if (body_text(body, "\"Key\":\"", key, sizeof(key)) &&
        body_text(body, "\"Value\":\"", value, sizeof(value)))
    {
        change(s, key, copy_text(value),
               lease ? strtoull(lease + 8, NULL, 10) : 0);
    }
    int n = snprintf(text, sizeof(text), "{\"Revision\":%llu}",
                     (unsigned long long)revision);
    append(&b, text, (size_t)n);
    answer(c, 200, &b);
    free(b.text);
}

static void
answer_lease(struct conn *c, size_t i)
{
    char text[80];
    struct buffer b = {0};
    int n = snprintf(text, sizeof(text), "{\"Lease\":%llu,\"TtlMs\":%llu}",
                     (unsigned long long)leases[i].id,
                     (unsigned long long)leases[i].ttl_ms);

    append(&b, text, (size_t)n);
    answer(c, 200, &b);
    free(b.text);
}

static void
handle_lease(const struct sim *s, struct conn *c, const char *body)
{
    const char *ttl = strstr(body, "\"TtlMs\":");

    for (size_t i = 0; i < LEASES_MAX; i++) {
        if (leases[i].id == 0) {
            leases[i].id = ++last_lease;
            leases[i].ttl_ms = ttl ? strtoull(ttl + 8, NULL, 10) : 10000;
            leases[i].until_ms = s->now_ms + leases[i].ttl_ms;
            answer_lease(c, i);
            return;
        }
    }
    answer(c, 503, NULL);
}

static void
handle_keep(const struct sim *s, struct conn *c, uint64_t id)
{
    for (size_t i = 0; i < LEASES_MAX; i++) {
        if (id != 0 && leases[i].id == id) {
            leases[i].until_ms = s->now_ms + leases[i].ttl_ms;
            answer_lease(c, i);
            return;
        }
    }
    answer(c, 404, NULL);
}

static void
handle_call(struct sim *s, struct conn *c, const char *line, const char *body)
{
    char prefix[KEY_MAX];
    char after[KEY_MAX];

    if (strncmp(line, "GET /v1/kv-range?", 17) == 0) {
        query_text(line, "Prefix=", prefix);
        query_text(line, "&after=", after);
        answer_range(c, prefix, after);
    }
    else if (strncmp(line, "GET /v1/kv-watch?", 17) == 0) {
        c->watching = true;
        c->after = query_number(line, "&after=");
        c->until_ms = s->now_ms + query_number(line, "WaitMs=");
    }
    else if (strncmp(line, "POST /v1/kv-txn", 15) == 0) {
        handle_txn(s, c, body);
    }
    else if (strncmp(line, "POST /v1/kv-lease", 17) == 0) {
        handle_lease(s, c, body);
    }
    else if (strncmp(line, "POST /v1/kv-keep/", 17) == 0) {
        handle_keep(s, c, strtoull(line + 17, NULL, 10));
    }
    else {
        answer(c, 404, NULL);
    }
}

/* Serves the call at the start of the input if it is complete. */
static bool
take_call(struct sim *s, struct conn *c)
{
    c->in[c->in_len] = '\0';
    char *end = strstr(c->in, "\r\n\r\n");
    if (!end) {
        return false;
    }
    char *length = strcasestr(c->in, "Content-Length:");
    size_t body = length && length < end ? strtoul(length + 15, NULL, 10) : 0;
    size_t total = (size_t)(end + 4 - c->in) + body;
    if (c->in_len < total) {
        return false;
    }
    handle_call(s, c, c->in, end + 4);
    c->in_len -= total;
    memmove(c->in, c->in + total, c->in_len);
    return true;
}

/* --- connections --------------------------------------------------------- */

static void
close_conn(struct conn *c)
{
    close(c->fd);
    free(c->out.text);
    *c = (struct conn){.fd = -1};
}

static void
accept_conns(void)
{
    int fd;

    while ((fd = accept4(listener, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        int i = 0;
        while (i < CONNS_MAX && conns[i].fd >= 0) {
            i++;
        }
        if (i == CONNS_MAX) {
            close(fd);
            return;
        }
        conns[i] = (struct conn){.fd = fd};
    }
}

static void
serve_conn(struct sim *s, struct conn *c)
{
    ssize_t n = recv(c->fd, c->in + c->in_len, REQUEST_MAX - 1 - c->in_len, 0);

    if (n == 0 || (n < 0 && errno != EAGAIN)) {
        close_conn(c);
        return;
    }
    c->in_len += n > 0 ? (size_t)n : 0;
    while (!c->watching && take_call(s, c)) {
    }
    if (c->watching) {
        answer_watch(s, c);
    }
    while (c->sent < c->out.len) {
        n = send(c->fd, c->out.text + c->sent, c->out.len - c->sent,
                 MSG_NOSIGNAL);
        if (n <= 0) {
            break;
        }
        c->sent += (size_t)n;
    }
    if (c->sent == c->out.len) {
        c->sent = c->out.len = 0;
    }
}

static void
end_leases(struct sim *s)
{
    for (size_t i = 0; i < LEASES_MAX; i++) {
        if (leases[i].id == 0 || s->now_ms < leases[i].until_ms) {
            continue;
        }
        for (size_t n = item_count; n > 0; n--) {
            if (items[n - 1].lease == leases[i].id) {
                change(s, items[n - 1].key, NULL, 0);
            }
        }
        leases[i].id = 0;
    }
}

bool
store_start(struct sim *s)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons(s->ports.store),
                             .sin_addr = sim_address(s, STORE_NET, 1)};
    int on = 1;

    for (int i = 0; i < CONNS_MAX; i++) {
        conns[i].fd = -1;
    }
    listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(listener, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
        listen(listener, 64) < 0)
    {
        close(listener);
        return false;
    }
    return true;
}

size_t
store_poll_fds(struct pollfd *out, size_t max)
{
    size_t n = 0;

    out[n++] = (struct pollfd){.fd = listener, .events = POLLIN};
    for (int i = 0; i < CONNS_MAX && n < max; i++) {
        if (conns[i].fd >= 0) {
            short events_wanted = POLLIN;
            if (conns[i].out.len > conns[i].sent) {
                events_wanted |= POLLOUT;
            }
            out[n++] =
                (struct pollfd){.fd = conns[i].fd, .events = events_wanted};
        }
    }
    return n;
}

void
store_step(struct sim *s)
{
    accept_conns();
    for (int i = 0; i < CONNS_MAX; i++) {
        if (conns[i].fd >= 0) {
            serve_conn(s, &conns[i]);
        }
    }
    end_leases(s);
}
