/* Decodes the store's answers without stopping the packet path: a large one is
 * read on a worker thread of libuv, which shares nothing with the loop but the
 * job it was handed. One answer at a time. Not thread-safe. */
#ifndef RG_EDGE_DECODER_H
#define RG_EDGE_DECODER_H

#include <stdbool.h>
#include <uv.h>

#include "common/str.h"
#include "platform/kv.h"

/* Bodies up to this size are decoded at once: a millisecond of a core, and a
 * page of a listing needs no worker. */
#define RG_DECODER_INLINE_MAX_BYTES (32 * 1024)

/* A decoded answer. The receiver takes over the routes of the changes. */
struct rg_decoded {
    bool ok; /* else the body is no answer, and the rest is empty */
    struct rg_kv_response answer;
    struct rg_kv_change *changes; /* in order; valid during the call only */
    size_t count;
};

typedef void (*rg_decoder_cb)(void *ctx, const struct rg_decoded *decoded);

struct rg_decoder;

struct rg_decoder *rg_decoder_create(uv_loop_t *loop, rg_decoder_cb cb,
                                     void *ctx);

/* No callback comes after this. */
void rg_decoder_destroy(struct rg_decoder *d);

/* Decodes `body`, terminated behind its length; the callback comes once,
 * within this call if the body is small. Must not be called while busy. */
void rg_decoder_start(struct rg_decoder *d, struct rg_str body);

bool rg_decoder_busy(const struct rg_decoder *d);

#endif
