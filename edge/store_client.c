#include "edge/store_client.h"

#include <stdio.h>
#include <stdlib.h>

#include "balance/peers.h"
#include "balance/revision.h"
#include "common/clock.h"
#include "common/mem.h"
#include "edge/decoder.h"
#include "edge/http_client.h"
#include "platform/kv.h"

/* Largest response accepted: a page of a listing, or a watch that returns many
 * versions of the configuration. After a larger one everything is listed. */
#define MAX_BODY_BYTES (16 * 1024 * 1024)
struct rg_store_client {
    struct rg_store_client_opts opts;
    struct rg_store_sync *sync;
    struct rg_http_client *client;
    struct rg_decoder *decoder;
    uv_timer_t timer;
    struct rg_store_sync_step call;             /* in progress, or last made */
    char call_after[RG_STORE_SYNC_KEY_MAX + 1]; /* storage of call.after */
    uint64_t call_started_ms;
    bool reachable;         /* the last call succeeded */
    uint64_t response_ms;   /* when the response being decoded arrived */
    uint64_t first_page_ms; /* when the first page of the listing did, if it
                               held all evacuations; else 0 */
    uint64_t confirmed_ms;  /* last confirmation of the view, 0: never */
    uint64_t answered_ms;   /* the same by the store itself, not by peers */
    uint32_t answers;       /* number of these */
    size_t registered;      /* instances in the listing so far */
};

static void make_next_call(struct rg_store_client *s);

static uint64_t *
counters(struct rg_store_client *s)
{
    return rg_balancer_metrics(s->opts.balancer)->counters;
}

static void
log_invalid(struct rg_store_client *s, const struct rg_kv_change *c,
            const char *why)
{
    bool routes = c->kind == RG_KV_INVALID_ROUTES || c->kind == RG_KV_ROUTES;

    counters(s)[routes ? RG_METRIC_CONFIGS_UNREADABLE
                       : RG_METRIC_ENTRIES_UNREADABLE]++;
    bool evacuation = c->kind == RG_KV_INVALID_EVACUATION;
    rg_log_event(s->opts.log, RG_LOG_WARNING, "UNREADABLE",
                 "kind=\"%s\" id=\"%s\" revision=\"%llu\" why=\"%s\"",
                 routes       ? "config"
                 : evacuation ? "evacuation"
                              : "upstream",
                 c->id.s, (unsigned long long)rg_revision_number(c->revision),
                 why);
}

static void
apply_evacuation(struct rg_store_client *s, const struct rg_kv_change *c)
{
    struct rg_evacuation_change change = {
        .data_centre = c->id,
        .revision = c->revision,
        .in_force = c->kind == RG_KV_EVACUATED,
    };

    rg_evacuations_update(
        rg_pool_evacuations(rg_balancer_pool(s->opts.balancer)), &change,
        rg_clock_boottime_ms());
}

static void
apply_change(struct rg_store_client *s, const struct rg_kv_change *c)
{
    struct rg_pool *pool = rg_balancer_pool(s->opts.balancer);
    uint64_t now = rg_clock_boottime_ms();

    switch (c->kind) {
    case RG_KV_ROUTES:
        if (c->why[0] != '\0') {
            log_invalid(s, c, c->why);
        }
        rg_balancer_set_routes(s->opts.balancer, c->routes);
        break;
    case RG_KV_UPSTREAM:
        if (!rg_pool_update(pool, &c->info, c->revision, now)) {
            log_invalid(s, c,
                        "not the service of its upstream, "
                        "and in no configuration");
        }
        break;
    case RG_KV_UPSTREAM_REMOVED:
        rg_pool_remove(pool, &c->id, c->revision,
                       rg_store_sync_keep_ms(s->sync, now), now);
        break;
    case RG_KV_INVALID_UPSTREAM:
        rg_pool_remove(pool, &c->id, c->revision, RG_POOL_INVALID_KEEP_MS,
                       now);
        log_invalid(s, c, c->why);
        break;
    case RG_KV_EVACUATED:
    case RG_KV_EVACUATION_LIFTED:
        apply_evacuation(s, c);
        break;
    case RG_KV_INVALID_EVACUATION:
    case RG_KV_INVALID_ROUTES:
        log_invalid(s, c, c->why);
        break;
    case RG_KV_INSTANCE:
        s->registered++;
        rg_instances_update(rg_balancer_instances(s->opts.balancer),
                            rg_peers_id(&c->id), &c->instance, c->revision);
        s->opts.on_instance(s->opts.ctx, &c->instance);
        break;
    case RG_KV_INSTANCE_REMOVED:
        rg_instances_remove(rg_balancer_instances(s->opts.balancer),
                            rg_peers_id(&c->id), c->revision, now);
        break;
    case RG_KV_OTHER:
        break;
    }
}

static void
set_reachable(struct rg_store_client *s, bool reachable, const char *why)
{
    uint64_t confirmed = rg_store_sync_confirmed_ms(s->sync);

    if (s->reachable == reachable) {
        return;
    }
    s->reachable = reachable;
    rg_log_event(
        s->opts.log, RG_LOG_NOTICE, reachable ? "STORE_BACK" : "STORE_LOST",
        "why=\"%s\" version=\"%llu\" view_age_ms=\"%llu\"", why,
        (unsigned long long)rg_balancer_version(s->opts.balancer),
        (unsigned long long)(confirmed ? rg_clock_boottime_ms() - confirmed
                                       : 0));
}

static void
call_failed(struct rg_store_client *s, const char *why)
{
    counters(s)[RG_METRIC_STORE_FAILURES]++;
    set_reachable(s, false, why);
    rg_store_sync_failed(s->sync, rg_clock_boottime_ms());
}

/* Takes over what the sync knows of the era. `before` is the era that was
 * known. */
static void
follow_era(struct rg_store_client *s, uint32_t before, const char *source)
{
    uint32_t era = rg_store_sync_era(s->sync);

    rg_pool_set_provisional(rg_balancer_pool(s->opts.balancer),
                            rg_store_sync_is_provisional(s->sync));
    if (era == before) {
        return;
    }
    rg_log_event(s->opts.log, RG_LOG_NOTICE, "STORE_ERA",
                 "era=\"%u\" before=\"%u\" source=\"%s\" "
                 "revision=\"%llu\" version=\"%llu\"",
                 era, before, source,
                 (unsigned long long)rg_revision_number(
                     rg_store_sync_revision(s->sync)),
                 (unsigned long long)rg_balancer_version(s->opts.balancer));
    s->opts.on_era(s->opts.ctx, era);
}

/* Checks the era of a complete response and counts it as failed if it is not
 * usable for that. */
static enum rg_store_sync_use
check_era(struct rg_store_client *s, const struct rg_http_response *response)
{
    uint32_t before = rg_store_sync_era(s->sync);
    enum rg_store_sync_use use;
    uint32_t era;

    if (!rg_kv_decode_era(response->header, &era)) {
        call_failed(s, "the era is not a number or too large");
        return RG_STORE_SYNC_FAIL;
    }
    use = rg_store_sync_check_era(s->sync, &s->call, era, s->response_ms);
    follow_era(s, before, "store");
    if (use == RG_STORE_SYNC_FAIL) {
        rg_http_client_cancel(s->client);
        call_failed(s, "the response is of an older era");
    }
    return use;
}

/* A server may send a response twice; the duplicate must not be taken for the
 * response to the next call on the connection. */
static bool
is_response_to_call(const struct rg_store_client *s,
                    const struct rg_decoded *decoded)
{
    struct rg_store_sync_response got = {
        .revision = decoded->response.revision,
        .last_key = decoded->response.last_key,
        .took_ms = s->response_ms - s->call_started_ms,
    };

    for (size_t i = 0; i < decoded->count; i++) {
        uint64_t revision = decoded->changes[i].revision;
        if (got.oldest_change == 0 || revision < got.oldest_change) {
            got.oldest_change = revision;
        }
    }
    return rg_store_sync_is_response(&s->call, &got);
}

/* Frees what the changes of a response own. */
static void
drop_changes(const struct rg_decoded *decoded)
{
    for (size_t i = 0; i < decoded->count; i++) {
        rg_routes_destroy(decoded->changes[i].routes);
    }
}

static void
begin_listing(struct rg_store_client *s)
{
    struct rg_pool *pool = rg_balancer_pool(s->opts.balancer);

    if (rg_store_sync_listing_is_provisional(s->sync)) {
        rg_pool_begin_provisional_listing(pool);
    }
    else {
        rg_pool_begin_listing(pool);
    }
    rg_evacuations_begin_listing(rg_pool_evacuations(pool));
    rg_instances_begin_listing(rg_balancer_instances(s->opts.balancer));
}

static void
end_listing(struct rg_store_client *s, uint64_t now)
{
    struct rg_pool *pool = rg_balancer_pool(s->opts.balancer);
    uint64_t revision = rg_store_sync_revision(s->sync);
    /* A provisional listing lifts no evacuation, and removes no instance: what
     * it lacks may be newer than the copy from which the store was restored.
     */
    uint64_t known_revision =
        rg_pool_listing_is_provisional(pool) ? 0 : revision;

    rg_evacuations_end_listing(rg_pool_evacuations(pool), known_revision, now);
    rg_instances_end_listing(rg_balancer_instances(s->opts.balancer),
                             known_revision, now);
    rg_pool_end_listing(pool, revision, rg_store_sync_keep_ms(s->sync, now),
                        now);
}

static void
handle_response(struct rg_store_client *s, const struct rg_decoded *decoded)
{
    const struct rg_kv_response *response = &decoded->response;
    /* The time of arrival: neither decoding nor a pause of the process during
     * it makes the response newer. */
    uint64_t now = s->response_ms;
    bool listing = s->call.kind == RG_STORE_SYNC_LIST;

    if (!rg_store_sync_continues(s->sync, &s->call)) {
        drop_changes(decoded); /* a snapshot was applied during decoding */
        return;
    }
    if (!decoded->ok) {
        call_failed(s, "the response cannot be decoded");
        return;
    }
    if (!is_response_to_call(s, decoded)) {
        drop_changes(decoded);
        rg_http_client_cancel(s->client);
        call_failed(s, "the response belongs to another call");
        return;
    }
    bool sampled = s->call.kind == RG_STORE_SYNC_SAMPLE;
    if (listing && rg_store_sync_is_first_page(s->sync)) {
        begin_listing(s);
        s->first_page_ms = response->past_evacuations ? now : 0;
        s->registered = 0;
    }
    for (size_t i = 0; i < decoded->count; i++) {
        apply_change(s, &decoded->changes[i]);
    }
    if (sampled) {
        rg_store_sync_sampled(s->sync, now);
        if (s->first_page_ms != 0) {
            rg_balancer_set_partial(s->opts.balancer, s->first_page_ms);
        }
    }
    else if (!listing) {
        rg_store_sync_watched(s->sync, response->revision,
                              response->changes > 0, now);
    }
    else if (rg_store_sync_listed(s->sync, response->last_key, response->more,
                                  response->revision, now))
    {
        end_listing(s, now);
        rg_balancer_set_registered(s->opts.balancer, s->registered, now);
    }
    set_reachable(s, true, "answered");
    if (rg_store_sync_is_current(s->sync)) {
        /* The response holds the store's state when the call arrived there, or
         * a later one. */
        s->answered_ms = rg_store_sync_confirmed_ms(s->sync);
        s->answers++;
        rg_store_client_confirm(s, s->answered_ms);
    }
}

static void
on_decoded(void *ctx, const struct rg_decoded *decoded)
{
    struct rg_store_client *s = ctx;

    handle_response(s, decoded);
    make_next_call(s);
}

/* Everything has to be listed again. */
static void
log_relisted(struct rg_store_client *s, const char *why)
{
    counters(s)[RG_METRIC_STORE_RELISTED]++;
    rg_log_event(s->opts.log, RG_LOG_NOTICE, "STORE_RELISTED", "why=\"%s\"",
                 why);
}

static void
on_response(void *ctx, const struct rg_http_response *response)
{
    struct rg_store_client *s = ctx;

    counters(s)[RG_METRIC_CONTROL_RECEIVED_BYTES] += response->body.len;
    s->response_ms = rg_clock_boottime_ms();
    if (response->status != 0 && check_era(s, response) != RG_STORE_SYNC_USE) {
        make_next_call(s);
        return;
    }
    if (response->status == 200) {
        rg_decoder_start(s->decoder, response->body,
                         rg_store_sync_era(s->sync));
        return;
    }
    if (response->status == 410) {
        log_relisted(s, "history is gone");
        rg_store_sync_history_gone(s->sync, s->response_ms);
    }
    else if (response->too_long && s->call.kind == RG_STORE_SYNC_WATCH) {
        log_relisted(s, "too many changes for one response");
        rg_store_sync_changes_too_long(s->sync, s->response_ms);
    }
    else if (response->status == 0) {
        call_failed(s, response->error);
    }
    else {
        char why[32];
        snprintf(why, sizeof(why), "status %u", response->status);
        call_failed(s, why);
    }
    make_next_call(s);
}

static void
on_timer(uv_timer_t *timer)
{
    make_next_call(timer->data);
}

/* True while a call is in progress or its response is being decoded. */
static bool
is_busy(const struct rg_store_client *s)
{
    return rg_http_client_busy(s->client) || rg_decoder_busy(s->decoder);
}

static void
make_next_call(struct rg_store_client *s)
{
    char path[RG_KV_PATH_MAX];
    uint64_t now = rg_clock_boottime_ms();

    if (is_busy(s)) {
        return;
    }
    struct rg_store_sync_step next = rg_store_sync_next(s->sync, now);
    rg_pool_set_provisional(rg_balancer_pool(s->opts.balancer),
                            rg_store_sync_is_provisional(s->sync));
    if (next.kind == RG_STORE_SYNC_WAIT) {
        uv_timer_start(&s->timer, on_timer, next.at_ms - now, 0);
        return;
    }
    counters(s)[RG_METRIC_STORE_CALLS]++;
    s->call = next;
    s->call_started_ms = now;
    snprintf(s->call_after, sizeof(s->call_after), "%s",
             next.after ? next.after : "");
    s->call.after = s->call_after;
    rg_kv_path(path, &next);
    rg_http_client_get(s->client, path, next.timeout_ms);
}

void
rg_store_client_refresh(struct rg_store_client *s)
{
    if (is_busy(s)) {
        return; /* the response updates the view, or the call times out */
    }
    counters(s)[RG_METRIC_STORE_REFRESHES]++;
    rg_log_event(s->opts.log, RG_LOG_NOTICE, "STORE_ASKED",
                 "why=\"behind\" revision=\"%llu\"",
                 (unsigned long long)rg_revision_number(
                     rg_store_sync_revision(s->sync)));
    rg_store_sync_refresh(s->sync);
    make_next_call(s);
}

void
rg_store_client_set_standby(struct rg_store_client *s, bool standby)
{
    rg_store_sync_set_standby(s->sync, standby);
    if (!standby) {
        make_next_call(s);
    }
}

void
rg_store_client_snapshot_applied(struct rg_store_client *s, uint64_t revision,
                                 uint64_t confirmed_ms)
{
    struct rg_pool *pool = rg_balancer_pool(s->opts.balancer);
    uint32_t before = rg_store_sync_era(s->sync);
    bool settled = !rg_pool_is_provisional(pool);

    rg_store_sync_snapshot_applied(s->sync, revision);
    if (!rg_evacuations_are_complete(rg_pool_evacuations(pool))) {
        rg_store_sync_list_again(s->sync);
    }
    if (settled) {
        rg_store_sync_settled(s->sync);
    }
    rg_pool_end_provisional_rows(pool); /* of a listing that this ends */
    follow_era(s, before, "peer");
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
    rg_store_sync_refresh(s->sync);
    make_next_call(s);
}

uint64_t
rg_store_client_revision(const struct rg_store_client *s)
{
    return rg_store_sync_revision(s->sync);
}

uint32_t
rg_store_client_era(const struct rg_store_client *s)
{
    return rg_store_sync_era(s->sync);
}

bool
rg_store_client_is_settling(const struct rg_store_client *s)
{
    return rg_store_sync_is_settling(s->sync);
}

uint64_t
rg_store_client_confirmed_ms(const struct rg_store_client *s)
{
    return s->confirmed_ms;
}

uint64_t
rg_store_client_answered_ms(const struct rg_store_client *s)
{
    return s->answered_ms;
}

uint32_t
rg_store_client_answers(const struct rg_store_client *s)
{
    return s->answers;
}

bool
rg_store_client_failing(const struct rg_store_client *s)
{
    return rg_store_sync_failing(s->sync);
}

void
rg_store_client_paused(struct rg_store_client *s)
{
    rg_store_sync_paused(s->sync, rg_clock_boottime_ms());
    if (rg_http_client_busy(s->client)) {
        rg_http_client_reset(s->client, "the process was paused");
    }
    else {
        make_next_call(s);
    }
}

struct rg_store_client *
rg_store_client_create(const struct rg_store_client_opts *opts)
{
    struct rg_store_client *s = rg_calloc(1, sizeof(*s));
    struct rg_http_client_opts client = {
        .loop = opts->loop,
        .server = opts->store,
        .connect_ms = opts->sync.connect_ms,
        .idle_ms = opts->sync.call_ms,
        .body_max = MAX_BODY_BYTES,
        .header = rg_kv_era_header,
        .cb = on_response,
        .ctx = s,
    };

    s->opts = *opts;
    s->reachable = true;
    s->sync = rg_store_sync_create(&opts->sync);
    s->client = rg_http_client_create(&client);
    s->decoder = rg_decoder_create(opts->loop, on_decoded, s);
    uv_timer_init(opts->loop, &s->timer);
    s->timer.data = s;
    make_next_call(s);
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
        rg_store_sync_destroy(s->sync);
        uv_close((uv_handle_t *)&s->timer, on_closed);
    }
}
