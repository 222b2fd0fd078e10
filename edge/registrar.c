#include "edge/registrar.h"

#include <stdlib.h>

#include "balance/registration.h"
#include "common/clock.h"
#include "common/mem.h"
#include "common/strbuf.h"
#include "edge/http_client.h"
#include "platform/kv.h"

/* Largest answer to one of these calls. */
#define BODY_MOST 65536

struct rg_registrar {
    struct rg_registrar_opts opts;
    struct rg_registration state;
    enum rg_registration_kind calling;
    struct rg_http_client *client;
    uv_timer_t timer;
};

static void step(struct rg_registrar *a);

static enum rg_registration_result
outcome_of(const struct rg_http_response *answer)
{
    if (answer->status == 200) {
        return RG_REGISTRATION_OK;
    }
    return answer->status == 404 ? RG_REGISTRATION_NO_LEASE
                                 : RG_REGISTRATION_FAILED;
}

static void
on_answer(void *ctx, const struct rg_http_response *answer)
{
    struct rg_registrar *a = ctx;
    enum rg_registration_result outcome = outcome_of(answer);
    uint64_t lease = 0;

    if (a->calling == RG_REGISTRATION_LEASE && outcome == RG_REGISTRATION_OK) {
        lease = rg_kv_decode_lease(answer->body);
        outcome = lease ? RG_REGISTRATION_OK : RG_REGISTRATION_FAILED;
    }
    if (outcome != RG_REGISTRATION_OK) {
        rg_log_event(a->opts.log, RG_LOG_NOTICE, "ANNOUNCE",
                     "status=\"%u\" why=\"%s\"", answer->status,
                     answer->error ? answer->error : "");
    }
    rg_registration_done(&a->state, a->calling, outcome, lease,
                         rg_clock_boottime_ms());
    step(a);
}

static void
on_timer(uv_timer_t *timer)
{
    step(timer->data);
}

static void
step(struct rg_registrar *a)
{
    struct rg_kv_call call;
    uint64_t now = rg_clock_boottime_ms();
    struct rg_registration_step next = rg_registration_next(&a->state, now);
    RG_STRBUF_AUTO body = {0};

    if (next.kind == RG_REGISTRATION_WAIT) {
        uv_timer_start(&a->timer, on_timer, next.at_ms - now, 0);
        return;
    }
    a->calling = next.kind;
    rg_kv_encode_registration(&call, &body, &next, &a->opts.name,
                              &a->opts.addr);
    rg_balancer_metrics(a->opts.balancer)->counters[RG_METRIC_STORE_CALLS]++;
    rg_http_client_post(a->client, call.path, body.s ? body.s : "",
                        a->opts.call_ms);
}

struct rg_registrar *
rg_registrar_create(const struct rg_registrar_opts *opts)
{
    struct rg_registrar *a = rg_calloc(1, sizeof(*a));
    struct rg_http_client_opts client = {
        .loop = opts->loop,
        .server = opts->store,
        .connect_ms = opts->connect_ms,
        .idle_ms = opts->call_ms,
        .body_max = BODY_MOST,
        .cb = on_answer,
        .ctx = a,
    };

    a->opts = *opts;
    a->state.rand.state = opts->seed;
    a->client = rg_http_client_create(&client);
    uv_timer_init(opts->loop, &a->timer);
    a->timer.data = a;
    uv_timer_start(&a->timer, on_timer, opts->delay_ms, 0);
    return a;
}

static void
on_closed(uv_handle_t *handle)
{
    free(handle->data);
}

void
rg_registrar_destroy(struct rg_registrar *a)
{
    if (a) {
        rg_http_client_destroy(a->client);
        uv_close((uv_handle_t *)&a->timer, on_closed);
    }
}
