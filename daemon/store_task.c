#include "daemon/store_task.h"
#include "common/clock.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/mem.h"
#include "store/store.h"

/* Waits after failures grow from the first to the last of these. */
#define BACKOFF_MIN_MS 200
#define BACKOFF_MAX_MS 10000
/* A store without a head is asked again after this. */
#define ABSENT_MS 500
#define INSTANCES_MS 15000
/* Instances that do not watch look at the list this much less often. */
#define IDLE_FACTOR 8
#define IDLE_WAIT_MS 200

enum event_kind {
    EVENT_NONE,
    EVENT_HEAD,
    EVENT_SECTION,
    EVENT_INSTANCES,
    EVENT_STATUS,
};

/* From the platform task to the main task. */
struct event {
    enum event_kind kind;
    struct rg_str text;
    const struct rg_store_instance *instances;
    size_t instance_count;
    bool ok;
};

struct rg_store_task {
    struct rg_daemon *d;
    struct rg_store *store;
    struct rg_rand rand; /* of the platform task */
    pthread_t thread;
    uv_async_t async;
    pthread_mutex_t lock; /* guards all below */
    pthread_cond_t changed;
    bool watch;
    bool stop;
    struct event event;     /* kind NONE: none waits for the main task */
    struct rg_name missing; /* the answer: a section to fetch, or empty */
};

/* --- platform task --------------------------------------------------------
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

/* Sleeps; false once the task is to stop. */
static bool
pause_task(struct rg_store_task *p, uint32_t ms)
{
    struct timespec until;

    deadline_after(&until, ms);
    pthread_mutex_lock(&p->lock);
    while (!p->stop &&
           pthread_cond_timedwait(&p->changed, &p->lock, &until) == 0) {
    }
    bool go_on = !p->stop;
    pthread_mutex_unlock(&p->lock);
    return go_on;
}

/* Hands an event to the main task and waits until it is handled. Returns the
 * section it needs next; empty for none. */
static struct rg_name
post(struct rg_store_task *p, const struct event *event)
{
    struct rg_name missing;

    pthread_mutex_lock(&p->lock);
    p->event = *event;
    memset(&p->missing, 0, sizeof(p->missing));
    uv_async_send(&p->async);
    while (!p->stop && p->event.kind != EVENT_NONE) {
        pthread_cond_wait(&p->changed, &p->lock);
    }
    missing = p->missing;
    pthread_mutex_unlock(&p->lock);
    return missing;
}

static void
post_status(struct rg_store_task *p, bool ok)
{
    struct event e = {.kind = EVENT_STATUS, .ok = ok};

    post(p, &e);
}

/* Fetches the sections a head needs. False if the store failed. */
static bool
fetch_sections(struct rg_store_task *p, struct rg_name missing)
{
    char key[128];

    while (missing.len > 0) {
        struct rg_store_value v;
        rg_store_section_key(key, sizeof(key), missing.s);
        enum rg_store_status status =
            p->store->ops->get(p->store, key, 0, 0, &v);
        if (status != RG_STORE_OK) {
            rg_store_value_clear(&v);
            return false;
        }
        struct event e = {.kind = EVENT_SECTION, .text = {v.text, v.len}};
        struct rg_name next = post(p, &e);
        rg_store_value_clear(&v);
        if (rg_name_eq(&next, &missing)) {
            return false; /* the store holds another text under this hash */
        }
        missing = next;
    }
    return true;
}

/* One watch of the head. Returns how long to wait before the next one; a
 * failure doubles `*backoff`. */
static uint32_t
watch_once(struct rg_store_task *p, uint64_t *revision, uint32_t *backoff)
{
    struct rg_store_value v;
    uint32_t wait_ms = p->d->settings.store.watch_ms;
    enum rg_store_status status = p->store->ops->get(
        p->store, RG_STORE_HEAD_KEY, *revision, wait_ms, &v);
    bool ok = status != RG_STORE_UNKNOWN;

    if (status == RG_STORE_OK) {
        struct event e = {.kind = EVENT_HEAD, .text = {v.text, v.len}};
        ok = fetch_sections(p, post(p, &e));
        *revision = ok ? v.revision : 0;
    }
    rg_store_value_clear(&v);
    post_status(p, ok);
    if (ok) {
        *backoff = BACKOFF_MIN_MS;
        return status == RG_STORE_ABSENT ? ABSENT_MS : 0;
    }
    uint32_t pause = rg_rand_below(&p->rand, *backoff) + 1;
    *backoff = *backoff * 2 < BACKOFF_MAX_MS ? *backoff * 2 : BACKOFF_MAX_MS;
    return pause;
}

static bool
list_instances(struct rg_store_task *p)
{
    struct rg_store_instance *list;
    size_t count;
    enum rg_store_status status =
        p->store->ops->instances(p->store, &list, &count);

    if (status == RG_STORE_OK) {
        struct event e = {
            .kind = EVENT_INSTANCES,
            .instances = list,
            .instance_count = count,
        };
        post(p, &e);
    }
    free(list);
    return status == RG_STORE_OK;
}

static bool
is_watching(struct rg_store_task *p)
{
    pthread_mutex_lock(&p->lock);
    bool watch = p->watch;
    pthread_mutex_unlock(&p->lock);
    return watch;
}

/* Time until the list is due again: spread out, so that instances started
 * together do not ask together. */
static uint32_t
list_period(struct rg_store_task *p, bool listed, bool watching)
{
    uint32_t period = watching ? INSTANCES_MS : INSTANCES_MS * IDLE_FACTOR;

    if (!listed) {
        period = BACKOFF_MAX_MS / 4;
    }
    return period / 2 + rg_rand_below(&p->rand, period);
}

static void *
run(void *ctx)
{
    struct rg_store_task *p = ctx;
    uint64_t revision = 0;
    uint32_t backoff = BACKOFF_MIN_MS;
    uint64_t list_due_ms = 0;
    uint32_t wait_ms = 0;

    do {
        bool watching = is_watching(p);
        if (rg_clock_ms() >= list_due_ms) {
            bool listed = list_instances(p);
            list_due_ms = rg_clock_ms() + list_period(p, listed, watching);
        }
        wait_ms = watching ? watch_once(p, &revision, &backoff) : IDLE_WAIT_MS;
    } while (pause_task(p, wait_ms));
    return NULL;
}

/* --- main task ------------------------------------------------------------
 */

static void
take_instances(struct rg_store_task *p, const struct event *e)
{
    struct rg_addr *addrs = rg_calloc(e->instance_count, sizeof(*addrs));
    size_t count = 0;

    for (size_t i = 0; i < e->instance_count; i++) {
        if (rg_name_eq(&e->instances[i].data_centre,
                       &p->d->settings.data_centre)) {
            addrs[count++] = e->instances[i].addr;
        }
    }
    rg_core_set_listed(p->d->core, addrs, count);
    free(addrs);
}

static void
take_status(struct rg_daemon *d, bool ok)
{
    if (d->store_ok != ok) {
        rg_log(&d->log, ok ? RG_LOG_NOTICE : RG_LOG_WARNING,
               ok ? "STORE_UP" : "STORE_DOWN", "the store %s",
               ok ? "answers" : "does not answer; serving goes on");
    }
    d->store_ok = ok;
}

static void
on_event(uv_async_t *async)
{
    struct rg_store_task *p = async->data;
    struct rg_daemon *d = p->d;

    pthread_mutex_lock(&p->lock);
    struct event e = p->event;
    pthread_mutex_unlock(&p->lock);
    switch (e.kind) {
    case EVENT_HEAD:
        d->calls.offer_head(d, e.text);
        break;
    case EVENT_SECTION:
        d->calls.offer_section(d, e.text);
        break;
    case EVENT_INSTANCES:
        take_instances(p, &e);
        break;
    case EVENT_STATUS:
        take_status(d, e.ok);
        break;
    case EVENT_NONE:
        return;
    }
    const struct rg_name *missing = rg_state_missing(d->state);
    pthread_mutex_lock(&p->lock);
    if (missing) {
        p->missing = *missing;
    }
    p->event.kind = EVENT_NONE;
    pthread_cond_broadcast(&p->changed);
    pthread_mutex_unlock(&p->lock);
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
    struct rg_store_task *p = rg_calloc(1, sizeof(*p));
    p->d = d;
    p->store = rg_store_http_create(&opts);
    p->rand.state = rg_clock_ms() ^ rg_identity(rg_name_str(&d->settings.name),
                                                rg_str_of("platform"));
    pthread_mutex_init(&p->lock, NULL);
    pthread_cond_init(&p->changed, NULL);
    uv_async_init(&d->loop, &p->async, on_event);
    p->async.data = p;
    pthread_create(&p->thread, NULL, run, p);
    return p;
}

static void
on_closed(uv_handle_t *handle)
{
    struct rg_store_task *p = handle->data;

    pthread_mutex_destroy(&p->lock);
    pthread_cond_destroy(&p->changed);
    free(p);
}

void
rg_store_task_destroy(struct rg_store_task *p)
{
    if (!p) {
        return;
    }
    pthread_mutex_lock(&p->lock);
    p->stop = true;
    pthread_cond_broadcast(&p->changed);
    pthread_mutex_unlock(&p->lock);
    p->store->ops->abort(p->store);
    pthread_join(p->thread, NULL);
    p->store->ops->destroy(p->store);
    uv_close((uv_handle_t *)&p->async, on_closed);
}

void
rg_store_task_set_watch(struct rg_store_task *p, bool watch)
{
    pthread_mutex_lock(&p->lock);
    p->watch = watch;
    pthread_mutex_unlock(&p->lock);
}
