#include "edge/store_client.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/mem.h"
#include "edge/decoder.h"
#include "edge/http_client.h"
#include "platform/kv.h"

/* Largest answer taken: a page of items, or many changes of the document. */
#define BODY_MOST (16 * 1024 * 1024)
/* An unreadable entry takes its upstream out of use after this time, unless
 * the upstream has written again. */
#define UNREADABLE_KEEP_MS 1500

struct rg_store_client {
    struct rg_store_client_opts opts;
    struct rg_store_sync *follow;
    struct rg_http_client *client;
    struct rg_decoder *decoder;
    uv_timer_t timer;
    struct rg_store_sync_step asked;             /* the call in progress */
    char asked_after[RG_STORE_SYNC_KEY_MAX + 1]; /* its key, if it lists */
    uint64_t asked_ms;
    bool reachable;        /* the last call was answered */
    uint64_t answered_ms;  /* the answer that is being decoded arrived */
    uint64_t confirmed_ms; /* the view stood at the store's then, 0: never */
};

static void step(struct rg_store_client *s);

static uint64_t *
counters(struct rg_store_client *s)
{
    return rg_balancer_metrics(s->opts.balancer)->counters;
}

static void
note_unreadable(struct rg_store_client *s, const struct rg_kv_change *c)
{
    bool routes = c->what == RG_KV_INVALID_ROUTES || c->what == RG_KV_ROUTES;

    counters(s)[routes ? RG_METRIC_CONFIGS_UNREADABLE
                       : RG_METRIC_ENTRIES_UNREADABLE]++;
    rg_log_event(s->opts.log, RG_LOG_WARNING, "UNREADABLE",
                 "kind=\"%s\" id=\"%s\" revision=\"%llu\" why=\"%s\"",
                 routes ? "config" : "upstream", c->id.s,
                 (unsigned long long)c->revision, c->why);
}

static void
apply(struct rg_store_client *s, const struct rg_kv_change *c)
{
    struct rg_pool *pool = rg_balancer_pool(s->opts.balancer);
    uint64_t now = rg_clock_boottime_ms();

    switch (c->what) {
    case RG_KV_ROUTES:
        if (c->why[0] != '\0') {
            note_unreadable(s, c);
        }
        rg_balancer_set_routes(s->opts.balancer, c->routes);
        break;
    case RG_KV_UPSTREAM:
        rg_pool_update(pool, &c->report, c->revision, now);
        break;
    case RG_KV_UPSTREAM_REMOVED:
        rg_pool_remove(pool, &c->id, c->revision,
                       rg_store_sync_keep_ms(s->follow, now), now);
        break;
    case RG_KV_INVALID_UPSTREAM:
        rg_pool_remove(pool, &c->id, c->revision, UNREADABLE_KEEP_MS, now);
        note_unreadable(s, c);
        break;
    case RG_KV_INVALID_ROUTES:
        note_unreadable(s, c);
        break;
    case RG_KV_INSTANCE:
        s->opts.on_instance(s->opts.ctx, &c->instance);
        break;
    case RG_KV_OTHER:
        break;
    }
}

static void
note_reachable(struct rg_store_client *s, bool reachable, const char *why)
{
    uint64_t fresh = rg_store_sync_confirmed_ms(s->follow);

    if (s->reachable == reachable) {
        return;
    }
    s->reachable = reachable;
    rg_log_event(
        s->opts.log, RG_LOG_NOTICE, reachable ? "STORE_BACK" : "STORE_LOST",
        "why=\"%s\" version=\"%llu\" view_age_ms=\"%llu\"", why,
        (unsigned long long)rg_balancer_version(s->opts.balancer),
        (unsigned long long)(fresh ? rg_clock_boottime_ms() - fresh : 0));
}

static void
failed(struct rg_store_client *s, const char *why)
{
    counters(s)[RG_METRIC_STORE_FAILURES]++;
    note_reachable(s, false, why);
    rg_store_sync_failed(s->follow, rg_clock_boottime_ms());
}

/* A server may send an answer twice; the copy must not pass for the answer to
 * the next call on its connection. */
static bool
is_answer(const struct rg_store_client *s, const struct rg_decoded *decoded)
{
    struct rg_store_sync_response got = {
        .revision = decoded->answer.revision,
        .last_key = decoded->answer.last_key,
        .took_ms = s->answered_ms - s->asked_ms,
    };

    for (size_t i = 0; i < decoded->count; i++) {
        uint64_t revision = decoded->changes[i].revision;
        if (got.oldest_change == 0 || revision < got.oldest_change) {
            got.oldest_change = revision;
        }
    }
    return rg_store_sync_is_response(&s->asked, &got);
}

static void
take_answer(struct rg_store_client *s, const struct rg_decoded *decoded)
{
    struct rg_pool *pool = rg_balancer_pool(s->opts.balancer);
    const struct rg_kv_response *answer = &decoded->answer;
    /* Decoding, or a pause in its course, does not make the answer newer. */
    uint64_t now = s->answered_ms;
    bool listing = s->asked.kind == RG_STORE_SYNC_LIST;

    if (!decoded->ok) {
        failed(s, "unreadable answer");
        return;
    }
    if (!is_answer(s, decoded)) {
        rg_http_client_cancel(s->client);
        failed(s, "an answer to another call");
        return;
    }
    bool sample = s->asked.kind == RG_STORE_SYNC_SAMPLE;
    if (listing && rg_store_sync_is_first_page(s->follow)) {
        rg_pool_begin_listing(pool);
    }
    for (size_t i = 0; i < decoded->count; i++) {
        apply(s, &decoded->changes[i]);
    }
    if (sample) {
        rg_store_sync_sampled(s->follow, now);
        rg_balancer_set_partial(s->opts.balancer, now);
    }
    else if (!listing) {
        rg_store_sync_watched(s->follow, answer->revision, answer->changes > 0,
                              now);
    }
    else if (rg_store_sync_listed(s->follow, answer->last_key, answer->more,
                                  answer->revision, now))
    {
        rg_pool_end_listing(pool, rg_store_sync_revision(s->follow),
                            rg_store_sync_keep_ms(s->follow, now), now);
    }
    note_reachable(s, true, "answered");
    if (rg_store_sync_complete(s->follow)) {
        /* The answer tells what stood when the call arrived, at the least. */
        rg_store_client_confirm(s, now);
    }
}

static void
on_decoded(void *ctx, const struct rg_decoded *decoded)
{
    struct rg_store_client *s = ctx;

    take_answer(s, decoded);
    step(s);
}

static void
on_answer(void *ctx, const struct rg_http_response *answer)
{
    struct rg_store_client *s = ctx;

    counters(s)[RG_METRIC_CONTROL_HEARD_BYTES] += answer->body.len;
    s->answered_ms = rg_clock_boottime_ms();
    if (answer->status == 200) {
        rg_decoder_start(s->decoder, answer->body);
        return;
    }
    if (answer->status == 410) {
        counters(s)[RG_METRIC_STORE_RELISTED]++;
        rg_log_event(s->opts.log, RG_LOG_NOTICE, "STORE_RELISTED",
                     "why=\"history is gone\"");
        rg_store_sync_history_gone(s->follow, s->answered_ms);
    }
    else if (answer->status == 0) {
        failed(s, answer->error);
    }
    else {
        char why[32];
        snprintf(why, sizeof(why), "status %u", answer->status);
        failed(s, why);
    }
    step(s);
}

static void
on_timer(uv_timer_t *timer)
{
    step(timer->data);
}

/* A call is in progress, or its answer is being decoded. */
static bool
is_busy(const struct rg_store_client *s)
{
    return rg_http_client_busy(s->client) || rg_decoder_busy(s->decoder);
}

static void
step(struct rg_store_client *s)
{
    char path[RG_KV_PATH_MAX];
    uint64_t now = rg_clock_boottime_ms();
    struct rg_store_sync_step next = rg_store_sync_next(s->follow, now);

    if (is_busy(s)) {
        return;
    }
    if (next.kind == RG_STORE_SYNC_WAIT) {
        uv_timer_start(&s->timer, on_timer, next.at_ms - now, 0);
        return;
    }
    counters(s)[RG_METRIC_STORE_CALLS]++;
    s->asked = next;
    s->asked_ms = now;
    snprintf(s->asked_after, sizeof(s->asked_after), "%s",
             next.after ? next.after : "");
    s->asked.after = s->asked_after;
    rg_kv_path(path, &next);
    rg_http_client_get(s->client, path, next.timeout_ms);
}

void
rg_store_client_refresh(struct rg_store_client *s)
{
    if (is_busy(s)) {
        return; /* its answer tells, or its limit ends it */
    }
    counters(s)[RG_METRIC_STORE_ASKED_BEHIND]++;
    rg_log_event(s->opts.log, RG_LOG_NOTICE, "STORE_ASKED",
                 "why=\"behind\" revision=\"%llu\"",
                 (unsigned long long)rg_store_sync_revision(s->follow));
    rg_store_sync_refresh(s->follow);
    step(s);
}

void
rg_store_client_set_standby(struct rg_store_client *s, bool covered)
{
    rg_store_sync_set_standby(s->follow, covered);
    if (!covered) {
        step(s);
    }
}

void
rg_store_client_snapshot_applied(struct rg_store_client *s, uint64_t revision,
                                 uint64_t confirmed_ms)
{
    rg_store_sync_snapshot_applied(s->follow, revision);
    rg_store_client_confirm(s, confirmed_ms);
}

void
rg_store_client_confirm(struct rg_store_client *s, uint64_t confirmed_ms)
{
    if (confirmed_ms > s->confirmed_ms) {
        s->confirmed_ms = confirmed_ms;
        rg_balancer_set_confirmed(s->opts.balancer, confirmed_ms);
    }
}

void
rg_store_client_set_address(struct rg_store_client *s,
                            const struct rg_addr *store)
{
    if (rg_addr_eq(&s->opts.store, store)) {
        return;
    }
    s->opts.store = *store;
    rg_http_client_cancel(s->client);
    rg_http_client_set_server(s->client, store);
    rg_store_sync_refresh(s->follow);
    step(s);
}

uint64_t
rg_store_client_revision(const struct rg_store_client *s)
{
    return rg_store_sync_revision(s->follow);
}

uint64_t
rg_store_client_confirmed_ms(const struct rg_store_client *s)
{
    return s->confirmed_ms;
}

bool
rg_store_client_failing(const struct rg_store_client *s)
{
    return rg_store_sync_failing(s->follow);
}

void
rg_store_client_paused(struct rg_store_client *s)
{
    rg_store_sync_paused(s->follow, rg_clock_boottime_ms());
    if (rg_http_client_busy(s->client)) {
        rg_http_client_reset(s->client, "the process was paused");
    }
    else {
        step(s);
    }
}

struct rg_store_client *
rg_store_client_create(const struct rg_store_client_opts *opts)
{
    struct rg_store_client *s = rg_calloc(1, sizeof(*s));
    struct rg_http_client_opts client = {
        .loop = opts->loop,
        .server = opts->store,
        .connect_ms = opts->follow.connect_ms,
        .idle_ms = opts->follow.call_ms,
        .body_max = BODY_MOST,
        .cb = on_answer,
        .ctx = s,
    };

    s->opts = *opts;
    s->reachable = true;
    s->follow = rg_store_sync_create(&opts->follow);
    s->client = rg_http_client_create(&client);
    s->decoder = rg_decoder_create(opts->loop, on_decoded, s);
    uv_timer_init(opts->loop, &s->timer);
    s->timer.data = s;
    step(s);
    return s;
}

static void
on_closed(uv_handle_t *handle)
{
    free(handle->data);
}

void
rg_store_client_destroy(struct rg_store_client *s)
{
    if (s) {
        rg_http_client_destroy(s->client);
        rg_decoder_destroy(s->decoder);
        rg_store_sync_destroy(s->follow);
        uv_close((uv_handle_t *)&s->timer, on_closed);
    }
}
