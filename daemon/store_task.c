#include "daemon/store_task.h"
#include "common/clock.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/mem.h"
#include "store/store.h"

/* Bounds of the backoff after failures. */
#define BACKOFF_MIN_MS 200
#define BACKOFF_MAX_MS 10000
/* Wait before asking a store without a head again. */
#define NO_HEAD_RETRY_MS 500
/* Mean time between reads of the list of instances, while watching. */
#define LIST_INTERVAL_MS 15000
/* Instances that do not watch read the list this much less often. */
#define IDLE_INTERVAL_FACTOR 8
/* How often instances that do not watch check whether they should. */
#define IDLE_POLL_MS 200

enum event_kind {
    EVENT_NONE,
    EVENT_HEAD,
    EVENT_SECTION,
    EVENT_INSTANCES,
    EVENT_STATUS,
};

/* What the store thread passes to the main thread. The text and the instances
 * are borrowed until the event is handled. */
struct event {
    enum event_kind kind;
    struct rg_str text; /* of the head or the section */
    const struct rg_store_instance *instances;
    size_t instance_count;
    bool ok; /* EVENT_STATUS: the last call to the store succeeded */
};

struct rg_store_task {
    struct rg_daemon *d;
    struct rg_store *store;
    struct rg_rand rand; /* used by the store thread */
    pthread_t thread;
    uv_async_t async;
    pthread_mutex_t lock; /* guards all members below */
    pthread_cond_t changed;
    bool watch;
    bool stop;
    struct event event;     /* EVENT_NONE once the main thread handled it */
    struct rg_name missing; /* its reply: a section to fetch, or empty */
};

/* --- store thread ---------------------------------------------------------
 */

static void
deadline_after(struct timespec *ts, uint32_t ms)
{
    clock_gettime(CLOCK_REALTIME, ts);
    ts->tv_sec += ms / 1000;
    ts->tv_nsec += (long)(ms % 1000) * 1000000L;
    if (ts->tv_nsec >= 1000000000L) {
        ts->tv_nsec -= 1000000000L;
        ts->tv_sec++;
    }
}

/* Sleeps; returns false as soon as the thread is to stop. */
static bool
sleep_until_stop(struct rg_store_task *t, uint32_t ms)
{
    struct timespec until;

    deadline_after(&until, ms);
    pthread_mutex_lock(&t->lock);
    while (!t->stop &&
           pthread_cond_timedwait(&t->changed, &t->lock, &until) == 0) {
    }
    bool running = !t->stop;
    pthread_mutex_unlock(&t->lock);
    return running;
}

/* Passes an event to the main thread and waits until it is handled. Returns
 * the hash of a section that the configuration needs next, or empty. */
static struct rg_name
post_event(struct rg_store_task *t, const struct event *event)
{
    struct rg_name missing;

    pthread_mutex_lock(&t->lock);
    t->event = *event;
    memset(&t->missing, 0, sizeof(t->missing));
    uv_async_send(&t->async);
    while (!t->stop && t->event.kind != EVENT_NONE) {
        pthread_cond_wait(&t->changed, &t->lock);
    }
    missing = t->missing;
    pthread_mutex_unlock(&t->lock);
    return missing;
}

static void
post_status(struct rg_store_task *t, bool ok)
{
    struct event e = {.kind = EVENT_STATUS, .ok = ok};

    post_event(t, &e);
}

/* Fetches the sections that the pending head needs. Returns false if the store
 * failed or has a wrong text. */
static bool
fetch_sections(struct rg_store_task *t, struct rg_name missing)
{
    char key[128];

    while (missing.len > 0) {
        struct rg_store_value v;
        rg_store_section_key(key, sizeof(key), missing.s);
        enum rg_store_status status =
            t->store->ops->get(t->store, key, 0, 0, &v);
        if (status != RG_STORE_OK) {
            rg_store_value_clear(&v);
            return false;
        }
        struct event e = {.kind = EVENT_SECTION, .text = {v.text, v.len}};
        struct rg_name next = post_event(t, &e);
        rg_store_value_clear(&v);
        if (rg_name_eq(&next, &missing)) {
            return false; /* the text in the store does not have this hash */
        }
        missing = next;
    }
    return true;
}

/* Watches the head once. Returns the time to wait before the next watch; each
 * failure doubles `*backoff`. */
static uint32_t
watch_once(struct rg_store_task *t, uint64_t *revision, uint32_t *backoff)
{
    struct rg_store_value v;
    uint32_t wait_ms = t->d->settings.store.watch_ms;
    enum rg_store_status status = t->store->ops->get(
        t->store, RG_STORE_HEAD_KEY, *revision, wait_ms, &v);
    bool ok = status != RG_STORE_UNKNOWN;

    if (status == RG_STORE_OK) {
        struct event e = {.kind = EVENT_HEAD, .text = {v.text, v.len}};
        ok = fetch_sections(t, post_event(t, &e));
        *revision = ok ? v.revision : 0;
    }
    rg_store_value_clear(&v);
    post_status(t, ok);
    if (ok) {
        *backoff = BACKOFF_MIN_MS;
        return status == RG_STORE_ABSENT ? NO_HEAD_RETRY_MS : 0;
    }
    uint32_t wait = rg_rand_below(&t->rand, *backoff) + 1;
    *backoff = *backoff * 2 < BACKOFF_MAX_MS ? *backoff * 2 : BACKOFF_MAX_MS;
    return wait;
}

static bool
list_instances(struct rg_store_task *t)
{
    struct rg_store_instance *list;
    size_t count;
    enum rg_store_status status =
        t->store->ops->instances(t->store, &list, &count);

    if (status == RG_STORE_OK) {
        struct event e = {
            .kind = EVENT_INSTANCES,
            .instances = list,
            .instance_count = count,
        };
        post_event(t, &e);
    }
    free(list);
    return status == RG_STORE_OK;
}

static bool
is_watching(struct rg_store_task *t)
{
    pthread_mutex_lock(&t->lock);
    bool watch = t->watch;
    pthread_mutex_unlock(&t->lock);
    return watch;
}

/* Time until the list is read again, with jitter, so that instances started
 * together do not all ask at once. */
static uint32_t
next_list_delay(struct rg_store_task *t, bool listed, bool watching)
{
    uint32_t interval =
        watching ? LIST_INTERVAL_MS : LIST_INTERVAL_MS * IDLE_INTERVAL_FACTOR;

    if (!listed) {
        interval = BACKOFF_MAX_MS / 4;
    }
    return interval / 2 + rg_rand_below(&t->rand, interval);
}

static void *
run(void *ctx)
{
    struct rg_store_task *t = ctx;
    uint64_t revision = 0;
    uint32_t backoff = BACKOFF_MIN_MS;
    uint64_t list_due_ms = 0;
    uint32_t wait_ms = 0;

    do {
        bool watching = is_watching(t);
        if (rg_clock_ms() >= list_due_ms) {
            bool listed = list_instances(t);
            list_due_ms = rg_clock_ms() + next_list_delay(t, listed, watching);
        }
        wait_ms = watching ? watch_once(t, &revision, &backoff) : IDLE_POLL_MS;
    } while (sleep_until_stop(t, wait_ms));
    return NULL;
}

/* --- main thread ----------------------------------------------------------
 */

static void
apply_instances(struct rg_store_task *t, const struct event *e)
{
    struct rg_addr *addrs = rg_calloc(e->instance_count, sizeof(*addrs));
    size_t count = 0;

    for (size_t i = 0; i < e->instance_count; i++) {
        if (rg_name_eq(&e->instances[i].data_centre,
                       &t->d->settings.data_centre)) {
            addrs[count++] = e->instances[i].addr;
        }
    }
    rg_core_set_listed(t->d->core, addrs, count);
    free(addrs);
}

static void
apply_store_status(struct rg_daemon *d, bool ok)
{
    if (d->store_ok != ok) {
        rg_log(&d->log, ok ? RG_LOG_NOTICE : RG_LOG_WARNING,
               ok ? "STORE_UP" : "STORE_DOWN", "the store %s",
               ok ? "answers" : "does not answer; flows are served as before");
    }
    d->store_ok = ok;
}

static void
on_event(uv_async_t *async)
{
    struct rg_store_task *t = async->data;
    struct rg_daemon *d = t->d;

    pthread_mutex_lock(&t->lock);
    struct event e = t->event;
    pthread_mutex_unlock(&t->lock);
    switch (e.kind) {
    case EVENT_HEAD:
        d->ops.offer_head(d, e.text);
        break;
    case EVENT_SECTION:
        d->ops.offer_section(d, e.text);
        break;
    case EVENT_INSTANCES:
        apply_instances(t, &e);
        break;
    case EVENT_STATUS:
        apply_store_status(d, e.ok);
        break;
    case EVENT_NONE:
        return;
    }
    const struct rg_name *missing =
        rg_config_state_missing_section(d->config_state);
    pthread_mutex_lock(&t->lock);
    if (missing) {
        t->missing = *missing;
    }
    t->event.kind = EVENT_NONE;
    pthread_cond_broadcast(&t->changed);
    pthread_mutex_unlock(&t->lock);
}

struct rg_store_task *
rg_store_task_create(struct rg_daemon *d)
{
    const struct rg_settings_store *s = &d->settings.store;
    struct rg_store_opts opts = {
        .urls = s->urls,
        .url_count = s->urls_count,
        .timeout_ms = s->timeout_ms,
        .ca_file = s->ca_file,
        .token_file = s->token_file,
    };

    if (s->urls_count == 0) {
        return NULL;
    }
    struct rg_store_task *t = rg_calloc(1, sizeof(*t));
    t->d = d;
    t->store = rg_store_http_create(&opts);
    t->rand.state = rg_clock_ms() ^ rg_identity(rg_name_str(&d->settings.name),
                                                rg_str_of("platform"));
    pthread_mutex_init(&t->lock, NULL);
    pthread_cond_init(&t->changed, NULL);
    uv_async_init(&d->loop, &t->async, on_event);
    t->async.data = t;
    pthread_create(&t->thread, NULL, run, t);
    return t;
}

static void
on_closed(uv_handle_t *handle)
{
    struct rg_store_task *t = handle->data;

    pthread_mutex_destroy(&t->lock);
    pthread_cond_destroy(&t->changed);
    free(t);
}

void
rg_store_task_destroy(struct rg_store_task *t)
{
    if (!t) {
        return;
    }
    pthread_mutex_lock(&t->lock);
    t->stop = true;
    pthread_cond_broadcast(&t->changed);
    pthread_mutex_unlock(&t->lock);
    t->store->ops->abort(t->store);
    pthread_join(t->thread, NULL);
    t->store->ops->destroy(t->store);
    uv_close((uv_handle_t *)&t->async, on_closed);
}

void
rg_store_task_set_watch(struct rg_store_task *t, bool watch)
{
    pthread_mutex_lock(&t->lock);
    t->watch = watch;
    pthread_mutex_unlock(&t->lock);
}
