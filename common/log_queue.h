/* Private to logging: the queue behind a log handle. */
#ifndef RG_COMMON_LOG_QUEUE_H
#define RG_COMMON_LOG_QUEUE_H

#include <stddef.h>

#include <stdbool.h>
#include <stdint.h>

struct rg_log_queue;

/* Queues a whole line, or counts it as suppressed. Lines that are
 * `rate_limited` each take one token of the token bucket. */
void rg_log_queue_add(struct rg_log_queue *q, bool rate_limited,
                      const char *line, size_t len);

/* Refills the token bucket for the time passed. Returns the number of lines
 * suppressed since the previous call that returned a number; 0 while the
 * bucket is empty. */
uint64_t rg_log_queue_refill(struct rg_log_queue *q, uint64_t now_ms);

/* Writes the queued lines as far as that does not block. */
void rg_log_queue_write(struct rg_log_queue *q);

#endif
