#include "common/log_queue.h"

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/log.h"
#include "common/mem.h"

/* Size of the buffer for lines while the reader of the log is slow. */
#define QUEUE_BYTES (64 * 1024)
/* Part of QUEUE_BYTES that only lines without a rate limit may use. */
#define RESERVED_BYTES (16 * 1024)

struct rg_log_queue {
    int fd;
    uint32_t lines_per_s;
    uint32_t tokens;    /* rate-limited lines that may be queued now */
    uint64_t refill_ms; /* time of the last refill */
    uint64_t suppressed;
    uint64_t reported; /* part of `suppressed` that was reported */
    size_t len;
    char bytes[QUEUE_BYTES];
};

void
rg_log_queue_add(struct rg_log_queue *q, bool rate_limited, const char *line,
                 size_t len)
{
    size_t capacity =
        rate_limited ? sizeof(q->bytes) - RESERVED_BYTES : sizeof(q->bytes);

    if ((rate_limited && q->tokens == 0) || q->len + len > capacity) {
        q->suppressed++;
        return;
    }
    if (rate_limited) {
        q->tokens--;
    }
    memcpy(q->bytes + q->len, line, len);
    q->len += len;
}

static void
add_tokens(struct rg_log_queue *q, uint64_t now_ms)
{
    uint64_t add = (now_ms - q->refill_ms) * q->lines_per_s / 1000;

    if (add == 0) {
        return;
    }
    uint64_t tokens = q->tokens + add;
    q->tokens = tokens > q->lines_per_s ? q->lines_per_s : (uint32_t)tokens;
    q->refill_ms = now_ms;
}

/* Length of the whole lines that fit into PIPE_BUF bytes, which a pipe writes
 * atomically. If the first line is longer, all bytes are written at once. */
static size_t
atomic_write_len(const char *bytes, size_t len)
{
    size_t end = len < PIPE_BUF ? len : PIPE_BUF;

    while (end > 0 && bytes[end - 1] != '\n') {
        end--;
    }
    return end > 0 ? end : len;
}

uint64_t
rg_log_queue_refill(struct rg_log_queue *q, uint64_t now_ms)
{
    add_tokens(q, now_ms);
    if (q->tokens == 0) {
        return 0;
    }
    uint64_t count = q->suppressed - q->reported;
    q->reported = q->suppressed;
    return count;
}

void
rg_log_queue_write(struct rg_log_queue *q)
{
    size_t done = 0;

    while (done < q->len) {
        size_t len = atomic_write_len(q->bytes + done, q->len - done);
        ssize_t written = write(q->fd, q->bytes + done, len);
        if (written <= 0) {
            /* The rest stays queued for the next flush. New lines that do not
             * fit are counted as suppressed. */
            break;
        }
        done += (size_t)written;
    }
    q->len -= done;
    memmove(q->bytes, q->bytes + done, q->len);
}

uint64_t
rg_log_suppressed(const struct rg_log_queue *q)
{
    return q->suppressed;
}

struct rg_log_queue *
rg_log_queue_create(int fd, uint32_t lines_per_s)
{
    struct rg_log_queue *q = rg_calloc(1, sizeof(*q));
    int flags = fcntl(fd, F_GETFL);

    if (flags >= 0) {
        fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    }
    q->fd = fd;
    q->lines_per_s = lines_per_s;
    q->tokens = lines_per_s;
    return q;
}

void
rg_log_queue_destroy(struct rg_log_queue *q)
{
    free(q);
}
