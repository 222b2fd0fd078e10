/* Private part of logging: the queue behind a log handle. */
#ifndef RG_COMMON_LOG_QUEUE_H
#define RG_COMMON_LOG_QUEUE_H

#include <stddef.h>

#include <stdbool.h>
#include <stdint.h>

struct rg_log_queue;

/* Queues a whole line, or counts it as suppressed. Only lines that are
 * `bounded` use up what rg_log_queue_refill() gives. */
void rg_log_queue_add(struct rg_log_queue *q, bool bounded, const char *line,
                      size_t len);

/* Time has passed: gives room for more bounded lines. Returns how many were
 * suppressed since the last that was told of, 0 while there is no room to tell
 * of it. */
uint64_t rg_log_queue_refill(struct rg_log_queue *q, uint64_t now_ms);

/* Writes what is queued, as far as that does not block. */
void rg_log_queue_write(struct rg_log_queue *q);

#endif
