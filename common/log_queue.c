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

/* Bytes held while the reader of the log is slow. */
#define QUEUE_BYTES (64 * 1024)
/* Of these, kept for lines that are not bounded. */
#define RESERVED_BYTES (16 * 1024)

struct rg_log_queue {
    int fd;
    uint32_t lines_per_s;
    uint32_t credit;    /* lines that may be taken now */
    uint64_t credit_ms; /* when credit was last given */
    uint64_t suppressed;
    uint64_t reported; /* of the suppressed */
    size_t len;
    char bytes[QUEUE_BYTES];
};

void
rg_log_queue_add(struct rg_log_queue *q, bool bounded, const char *line,
                 size_t len)
{
    size_t room =
        bounded ? sizeof(q->bytes) - RESERVED_BYTES : sizeof(q->bytes);

    if ((bounded && q->credit == 0) || q->len + len > room) {
        q->suppressed++;
        return;
    }
    if (bounded) {
        q->credit--;
    }
    memcpy(q->bytes + q->len, line, len);
    q->len += len;
}

static void
give_credit(struct rg_log_queue *q, uint64_t now_ms)
{
    uint64_t add = (now_ms - q->credit_ms) * q->lines_per_s / 1000;

    if (add == 0) {
        return;
    }
    uint64_t credit = q->credit + add;
    q->credit = credit > q->lines_per_s ? q->lines_per_s : (uint32_t)credit;
    q->credit_ms = now_ms;
}

/* Bytes of whole lines that a pipe takes in one piece; a longer first line is
 * taken as it is. */
static size_t
whole_lines(const char *bytes, size_t len)
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
    give_credit(q, now_ms);
    if (q->credit == 0) {
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
        size_t len = whole_lines(q->bytes + done, q->len - done);
        ssize_t written = write(q->fd, q->bytes + done, len);
        if (written <= 0) {
            break; /* kept for the next flush; what does not fit is counted */
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
    q->credit = lines_per_s;
    return q;
}

void
rg_log_queue_destroy(struct rg_log_queue *q)
{
    free(q);
}
