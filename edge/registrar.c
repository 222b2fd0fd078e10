#include "edge/registrar.h"

#include <stdlib.h>

#include "balance/registration.h"
#include "common/clock.h"
#include "common/mem.h"
#include "common/strbuf.h"
#include "edge/http_client.h"
#include "platform/kv.h"

/* Largest response accepted. */
#define MAX_BODY_BYTES 65536

struct rg_registrar {
    struct rg_registrar_opts opts;
    struct rg_registration state;
    enum rg_registration_kind call_kind; /* of the call in progress */
    struct rg_http_client *client;
    uv_timer_t timer;
};

static void make_next_call(struct rg_registrar *r);

static enum rg_registration_result
result_of(const struct rg_http_response *response)
{
    if (response->status == 200) {
        return RG_REGISTRATION_OK;
    }
    return response->status == 404 ? RG_REGISTRATION_NO_LEASE
                                   : RG_REGISTRATION_FAILED;
}

static void
log_era(struct rg_registrar *r, uint32_t era)
{
    if (era > r->state.era && r->state.lease != 0) {
        rg_log_event(r->opts.log, RG_LOG_NOTICE, "ANNOUNCE",
                     "era=\"%u\" why=\"the store was restored\"", era);
    }
}

static void
on_response(void *ctx, const struct rg_http_response *response)
{
    struct rg_registrar *r = ctx;
    enum rg_registration_result result = result_of(response);
    uint64_t lease = 0;
    uint32_t era = r->state.era;

    /* Without a complete response the era is not known. */
    if (response->status != 0 && !rg_kv_decode_era(response->header, &era)) {
        result = RG_REGISTRATION_FAILED;
        era = r->state.era;
    }

    if (r->call_kind == RG_REGISTRATION_LEASE && result == RG_REGISTRATION_OK)
    {
        lease = rg_kv_decode_lease(response->body);
        result = lease ? RG_REGISTRATION_OK : RG_REGISTRATION_FAILED;
    }
    if (result != RG_REGISTRATION_OK) {
        rg_log_event(r->opts.log, RG_LOG_NOTICE, "ANNOUNCE",
                     "status=\"%u\" why=\"%s\"", response->status,
                     response->error ? response->error : "");
    }
    log_era(r, era);
    rg_registration_answered(&r->state, r->call_kind, result, lease, era,
                             rg_clock_boottime_ms());
    make_next_call(r);
}

static void
on_timer(uv_timer_t *timer)
{
    make_next_call(timer->data);
}

static void
make_next_call(struct rg_registrar *r)
{
    struct rg_kv_call call;
    uint64_t now = rg_clock_boottime_ms();
    struct rg_registration_step next = rg_registration_next(&r->state, now);
    RG_STRBUF_AUTO body = {0};

    if (next.kind == RG_REGISTRATION_WAIT) {
        uv_timer_start(&r->timer, on_timer, next.at_ms - now, 0);
        return;
    }
    r->call_kind = next.kind;
    rg_kv_encode_registration(&call, &body, &next, &r->opts.name,
                              &r->opts.addr);
    rg_balancer_metrics(r->opts.balancer)->counters[RG_METRIC_STORE_CALLS]++;
    rg_http_client_post(r->client, call.path, body.s ? body.s : "",
                        r->opts.call_ms);
}

struct rg_registrar *
rg_registrar_create(const struct rg_registrar_opts *opts)
{
    struct rg_registrar *r = rg_calloc(1, sizeof(*r));
    struct rg_http_client_opts client = {
        .loop = opts->loop,
        .server = opts->store,
        .connect_ms = opts->connect_ms,
        .idle_ms = opts->call_ms,
        .body_max = MAX_BODY_BYTES,
        .header = rg_kv_era_header,
        .cb = on_response,
        .ctx = r,
    };

    r->opts = *opts;
    r->state.rand.state = opts->seed;
    r->client = rg_http_client_create(&client);
    uv_timer_init(opts->loop, &r->timer);
    r->timer.data = r;
    uv_timer_start(&r->timer, on_timer, opts->delay_ms, 0);
    return r;
}

static void
on_closed(uv_handle_t *handle)
{
    free(handle->data);
}

void
rg_registrar_destroy(struct rg_registrar *r)
{
    if (r) {
        rg_http_client_destroy(r->client);
        uv_close((uv_handle_t *)&r->timer, on_closed);
    }
}

void
rg_registrar_set_era(struct rg_registrar *r, uint32_t era)
{
    log_era(r, era);
    if (rg_registration_set_era(&r->state, era, rg_clock_boottime_ms()) &&
        !rg_http_client_busy(r->client))
    {
        make_next_call(r);
    }
}
