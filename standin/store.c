/* Stand-in for the platform's store: keys with revisions, compare-and-swap,
 * watches, leases, an instance list that lags, a budget of calls, and faults
 * set over /fault. Everything is in memory. */
#include <argp.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/mem.h"
#include "standin/common.h"

#define KEYS_MAX 4096
#define LEASES_MAX 256
#define VALUE_MAX (1024 * 1024)
#define KEY_MAX 200
#define CONNECTIONS_MAX 2000

struct entry {
    char key[KEY_MAX];
    char *value;
    size_t len;
    uint64_t revision;
    uint64_t lease; /* 0: none */
};

struct lease {
    uint64_t id;
    uint64_t ttl_ms;
    uint64_t expires_ms;
};

/* Faults; all zero in normal work. */
struct faults {
    bool down;              /* connections are closed without an answer */
    uint32_t slow_ms;       /* every call takes this much longer */
    uint32_t lose_answers;  /* this many writes take effect, unanswered */
    uint32_t refuse_writes; /* this many writes fail before any effect */
};

static struct {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    struct entry entries[KEYS_MAX];
    size_t count;
    struct lease leases[LEASES_MAX];
    uint64_t revision;
    struct faults faults;
    char *instances;
    uint64_t reads;
    uint64_t writes;
    uint64_t over_budget;
    uint32_t reads_per_s;
    uint32_t writes_per_s;
    time_t window;
    uint32_t window_reads;
    uint32_t window_writes;
} store = {
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .changed = PTHREAD_COND_INITIALIZER,
    .reads_per_s = 2000,
    .writes_per_s = 400,
};

/* A request while its body arrives. */
struct upload {
    char *data;
    size_t len;
};

static struct entry *
find_key(const char *key)
{
    for (size_t i = 0; i < store.count; i++) {
        if (strcmp(store.entries[i].key, key) == 0) {
            return &store.entries[i];
        }
    }
    return NULL;
}

static uint64_t
number(struct MHD_Connection *c, const char *key)
{
    const char *text =
        MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, key);

    return text ? strtoull(text, NULL, 10) : 0;
}

static bool
has(struct MHD_Connection *c, const char *key)
{
    return MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, key) != NULL;
}

static enum MHD_Result
reply(struct MHD_Connection *c, unsigned status, const char *text, size_t len)
{
    struct MHD_Response *r = MHD_create_response_from_buffer(
        len, (void *)text, MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result = MHD_queue_response(c, status, r);

    MHD_destroy_response(r);
    return result;
}

static enum MHD_Result
reply_entry(struct MHD_Connection *c, unsigned status, uint64_t revision,
            const char *value, size_t len)
{
    struct json_object *o = json_object_new_object();

    json_object_object_add(o, "revision", json_object_new_uint64(revision));
    if (value) {
        json_object_object_add(o, "value",
                               json_object_new_string_len(value, (int)len));
    }
    const char *text = json_object_to_json_string(o);
    enum MHD_Result result = reply(c, status, text, strlen(text));
    json_object_put(o);
    return result;
}

static void
drop_expired_leases(void)
{
    uint64_t now = rg_clock_ms();

    for (int i = 0; i < LEASES_MAX; i++) {
        struct lease *l = &store.leases[i];
        if (l->id == 0 || now < l->expires_ms) {
            continue;
        }
        for (size_t k = 0; k < store.count; k++) {
            if (store.entries[k].lease == l->id) {
                free(store.entries[k].value);
                store.entries[k] = store.entries[--store.count];
                k--;
            }
        }
        l->id = 0;
        pthread_cond_broadcast(&store.changed);
    }
}

/* Counts a call against the budget; false if it is over. */
static bool
charge(bool is_write)
{
    time_t now = time(NULL);

    if (now != store.window) {
        store.window = now;
        store.window_reads = 0;
        store.window_writes = 0;
    }
    store.reads += !is_write;
    store.writes += is_write;
    store.window_reads += !is_write;
    store.window_writes += is_write;
    if (store.window_reads > store.reads_per_s ||
        store.window_writes > store.writes_per_s)
    {
        store.over_budget++;
        return false;
    }
    return true;
}

static void
wait_for_change(const char *key, uint64_t after, uint64_t wait_ms)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    uint64_t ns = (uint64_t)until.tv_nsec + wait_ms % 1000 * 1000000;
    until.tv_sec += (time_t)(wait_ms / 1000 + ns / 1000000000);
    until.tv_nsec = (long)(ns % 1000000000);

    for (;;) {
        const struct entry *e = find_key(key);
        if ((e && e->revision != after) || store.faults.down ||
            pthread_cond_timedwait(&store.changed, &store.lock, &until) != 0)
        {
            return;
        }
    }
}

static enum MHD_Result
get_key(struct MHD_Connection *c, const char *key)
{
    uint64_t after = number(c, "after");

    if (has(c, "wait_ms")) {
        wait_for_change(key, after, number(c, "wait_ms"));
    }
    if (store.faults.down) {
        return MHD_NO;
    }
    const struct entry *e = find_key(key);
    if (!e) {
        return reply(c, MHD_HTTP_NOT_FOUND, "", 0);
    }
    if (has(c, "wait_ms") && e->revision == after) {
        return reply(c, MHD_HTTP_NOT_MODIFIED, "", 0);
    }
    return reply_entry(c, MHD_HTTP_OK, e->revision, e->value, e->len);
}

static enum MHD_Result
put_key(struct MHD_Connection *c, const char *key, const struct upload *up)
{
    struct entry *e = find_key(key);
    uint64_t held = e ? e->revision : 0;

    if (store.faults.refuse_writes > 0) {
        store.faults.refuse_writes--;
        return MHD_NO;
    }
    if (up->len > VALUE_MAX) {
        return reply(c, MHD_HTTP_CONTENT_TOO_LARGE, "", 0);
    }
    if (has(c, "if_revision") && number(c, "if_revision") != held) {
        return reply_entry(c, MHD_HTTP_CONFLICT, held, NULL, 0);
    }
    if (!e) {
        if (store.count == KEYS_MAX || strlen(key) >= KEY_MAX) {
            return reply(c, MHD_HTTP_INSUFFICIENT_STORAGE, "", 0);
        }
        e = &store.entries[store.count++];
        memset(e, 0, sizeof(*e));
        strcpy(e->key, key);
    }
    free(e->value);
    e->value = rg_strndup(up->data ? up->data : "", up->len);
    e->len = up->len;
    e->lease = number(c, "lease");
    e->revision = ++store.revision;
    pthread_cond_broadcast(&store.changed);
    if (store.faults.lose_answers > 0) {
        store.faults.lose_answers--;
        return MHD_NO;
    }
    return reply_entry(c, MHD_HTTP_OK, e->revision, NULL, 0);
}

/* PUT /v1/leases?ttl_ms=N makes one, PUT /v1/leases?id=N renews it. */
static enum MHD_Result
put_lease(struct MHD_Connection *c)
{
    uint64_t id = number(c, "id");
    char text[64];

    for (int i = 0; i < LEASES_MAX; i++) {
        struct lease *l = &store.leases[i];
        if (l->id != id) {
            continue;
        }
        if (id == 0) {
            l->id = ++store.revision;
            l->ttl_ms = number(c, "ttl_ms");
        }
        l->expires_ms = rg_clock_ms() + l->ttl_ms;
        snprintf(text, sizeof(text), "{\"lease\": %llu}",
                 (unsigned long long)l->id);
        return reply(c, MHD_HTTP_OK, text, strlen(text));
    }
    return reply(c, MHD_HTTP_NOT_FOUND, "", 0);
}

/* Sets faults, e.g. /fault?down=1 or /fault?slow_ms=500. */
static enum MHD_Result
set_faults(struct MHD_Connection *c)
{
    if (has(c, "down")) {
        store.faults.down = number(c, "down") != 0;
        pthread_cond_broadcast(&store.changed);
    }
    if (has(c, "slow_ms")) {
        store.faults.slow_ms = (uint32_t)number(c, "slow_ms");
    }
    if (has(c, "lose_answers")) {
        store.faults.lose_answers = (uint32_t)number(c, "lose_answers");
    }
    if (has(c, "refuse_writes")) {
        store.faults.refuse_writes = (uint32_t)number(c, "refuse_writes");
    }
    return reply(c, MHD_HTTP_OK, "ok\n", 3);
}

static enum MHD_Result
show_stats(struct MHD_Connection *c)
{
    char text[256];

    snprintf(text, sizeof(text),
             "{\"reads\": %llu, \"writes\": %llu, \"over_budget\": %llu}\n",
             (unsigned long long)store.reads, (unsigned long long)store.writes,
             (unsigned long long)store.over_budget);
    return reply(c, MHD_HTTP_OK, text, strlen(text));
}

static enum MHD_Result
serve_store(struct MHD_Connection *c, const char *url, bool is_put,
            const struct upload *up)
{
    if (!charge(is_put)) {
        return reply(c, MHD_HTTP_TOO_MANY_REQUESTS, "", 0);
    }
    if (strncmp(url, "/v1/kv/", 7) == 0) {
        return is_put ? put_key(c, url + 7, up) : get_key(c, url + 7);
    }
    if (strcmp(url, "/v1/leases") == 0 && is_put) {
        return put_lease(c);
    }
    if (strcmp(url, "/v1/instances") == 0) {
        if (is_put) {
            free(store.instances);
            store.instances = rg_strndup(up->data ? up->data : "", up->len);
            return reply(c, MHD_HTTP_OK, "", 0);
        }
        const char *text =
            store.instances ? store.instances : "{\"instances\": []}";
        return reply(c, MHD_HTTP_OK, text, strlen(text));
    }
    return reply(c, MHD_HTTP_NOT_FOUND, "", 0);
}

static enum MHD_Result
route(struct MHD_Connection *c, const char *url, bool is_put,
      const struct upload *up)
{
    if (strcmp(url, "/fault") == 0) {
        return set_faults(c);
    }
    if (strcmp(url, "/stats") == 0) {
        return show_stats(c);
    }
    if (store.faults.down) {
        return MHD_NO;
    }
    drop_expired_leases();
    return serve_store(c, url, is_put, up);
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *c, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **state)
{
    struct upload *up = *state;
    bool is_put = strcmp(method, "PUT") == 0;

    (void)ctx;
    (void)version;
    if (!up) {
        *state = rg_calloc(1, sizeof(*up));
        return MHD_YES;
    }
    if (*size > 0) {
        up->data = rg_realloc(up->data, up->len + *size + 1);
        memcpy(up->data + up->len, data, *size);
        up->len += *size;
        up->data[up->len] = '\0';
        *size = 0;
        return MHD_YES;
    }
    if (store.faults.slow_ms > 0 && strncmp(url, "/v1/", 4) == 0) {
        usleep(store.faults.slow_ms * 1000);
    }
    pthread_mutex_lock(&store.lock);
    enum MHD_Result result = route(c, url, is_put, up);
    pthread_mutex_unlock(&store.lock);
    return result;
}

static void
on_completed(void *ctx, struct MHD_Connection *c, void **state,
             enum MHD_RequestTerminationCode code)
{
    struct upload *up = *state;

    (void)ctx;
    (void)c;
    (void)code;
    if (up) {
        free(up->data);
        free(up);
        *state = NULL;
    }
}

static const struct argp_option options[] = {
    {"listen", 'l', "ADDRESS", 0, "HTTP address", 0},
    {"reads", 'r', "N", 0, "reads a second allowed", 0},
    {"writes", 'w', "N", 0, "writes a second allowed", 0},
    {0},
};

static struct rg_addr listen_addr;

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    (void)state;
    switch (key) {
    case 'l':
        listen_addr = sd_parse_addr(arg);
        return 0;
    case 'r':
        store.reads_per_s = (uint32_t)strtoul(arg, NULL, 10);
        return 0;
    case 'w':
        store.writes_per_s = (uint32_t)strtoul(arg, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .doc = "Stand-in for the platform's key-value store.",
    };
    struct sockaddr_storage sa;
    sigset_t set;
    int signum;

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    rg_addr_to_sock(&listen_addr, &sa);
    struct MHD_Daemon *http = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
        listen_addr.port, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR,
        &sa, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
        MHD_OPTION_END);
    if (!http) {
        sd_die("cannot listen");
    }
    sigwait(&set, &signum);
    _exit(0); /* watches may be waiting; nothing is kept */
}
