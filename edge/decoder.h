/* Decodes the store's responses without blocking the packet path: a large one
 * is decoded on a libuv worker thread, which shares nothing with the event
 * loop but its job. Decodes one response at a time. Not thread-safe. */
#ifndef RG_EDGE_DECODER_H
#define RG_EDGE_DECODER_H

#include <stdbool.h>
#include <uv.h>

#include "common/str.h"
#include "platform/kv.h"

/* Bodies up to this size are decoded within rg_decoder_start(), which takes a
 * millisecond of CPU time. A page of a listing is smaller, so that it needs no
 * worker thread. */
#define RG_DECODER_INLINE_MAX_BYTES (32 * 1024)

/* A decoded response. The callback takes ownership of the routes in
 * `changes`. */
struct rg_decoded {
    bool ok; /* false: the body is invalid, and the rest is empty */
    struct rg_kv_response response;
    struct rg_kv_change *changes; /* in order; valid during the call only */
    size_t count;
};

typedef void (*rg_decoder_cb)(void *ctx, const struct rg_decoded *decoded);

struct rg_decoder;

struct rg_decoder *rg_decoder_create(uv_loop_t *loop, rg_decoder_cb cb,
                                     void *ctx);

/* May be called while decoding is in progress; the callback is not called
 * after this. */
void rg_decoder_destroy(struct rg_decoder *d);

/* Decodes `body`, which must be followed by a NUL byte, as of the store's
 * `era`. Calls the callback
 * once: before this function returns if the body is small, otherwise later
 * from the event loop, in which case the body is copied. Must not be called
 * while busy. */
void rg_decoder_start(struct rg_decoder *d, struct rg_str body, uint32_t era);

/* True while a worker thread is decoding. */
bool rg_decoder_busy(const struct rg_decoder *d);

#endif
