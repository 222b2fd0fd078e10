#include "edge/decoder.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

struct rg_decoder {
    uv_loop_t *loop;
    rg_decoder_cb cb;
    void *ctx;
    struct job *job; /* queued or running on a worker, else NULL */
};

/* A response that is decoded on a worker thread. */
struct job {
    uv_work_t work;
    struct rg_decoder *decoder; /* NULL once it was destroyed */
    char *body;
    size_t len;
    uint32_t era;
    struct rg_decoded decoded;
    size_t capacity; /* of decoded.changes */
};

static void
add_change(void *ctx, const struct rg_kv_change *change)
{
    struct job *job = ctx;
    struct rg_decoded *d = &job->decoded;

    if (d->count == job->capacity) {
        job->capacity = job->capacity ? job->capacity * 2 : 4;
        d->changes =
            rg_realloc(d->changes, job->capacity * sizeof(*d->changes));
    }
    d->changes[d->count++] = *change;
}

static void
decode(struct job *job, struct rg_str body)
{
    job->decoded.ok =
        rg_kv_decode(body, job->era, add_change, job, &job->decoded.response);
}

/* Frees what the callback would have taken ownership of. */
static void
destroy_routes(struct rg_decoded *d)
{
    for (size_t i = 0; i < d->count; i++) {
        rg_routes_destroy(d->changes[i].routes);
    }
}

static void
free_job(struct job *job)
{
    free(job->decoded.changes);
    free(job->body);
    free(job);
}

/* Runs on the worker thread. */
static void
on_work(uv_work_t *work)
{
    struct job *job = work->data;

    decode(job, (struct rg_str){job->body, job->len});
}

static void
on_done(uv_work_t *work, int status)
{
    struct job *job = work->data;
    struct rg_decoder *d = job->decoder;

    (void)status; /* cancelled only by rg_decoder_destroy() */
    if (!d) {
        destroy_routes(&job->decoded);
        free_job(job);
        return;
    }
    d->job = NULL;
    d->cb(d->ctx, &job->decoded);
    free_job(job);
}

void
rg_decoder_start(struct rg_decoder *d, struct rg_str body, uint32_t era)
{
    if (body.len <= RG_DECODER_INLINE_MAX_BYTES) {
        struct job job = {.era = era};
        decode(&job, body);
        d->cb(d->ctx, &job.decoded);
        free(job.decoded.changes);
        return;
    }
    struct job *job = rg_calloc(1, sizeof(*job));
    job->work.data = job;
    job->decoder = d;
    job->len = body.len;
    job->era = era;
    job->body = rg_calloc(1, body.len + 1);
    memcpy(job->body, body.ptr, body.len);
    d->job = job;
    uv_queue_work(d->loop, &job->work, on_work, on_done);
}

bool
rg_decoder_busy(const struct rg_decoder *d)
{
    return d->job != NULL;
}

struct rg_decoder *
rg_decoder_create(uv_loop_t *loop, rg_decoder_cb cb, void *ctx)
{
    struct rg_decoder *d = rg_calloc(1, sizeof(*d));

    d->loop = loop;
    d->cb = cb;
    d->ctx = ctx;
    return d;
}

void
rg_decoder_destroy(struct rg_decoder *d)
{
    if (d && d->job) {
        d->job->decoder = NULL;
        uv_cancel((uv_req_t *)&d->job->work);
    }
    free(d);
}
