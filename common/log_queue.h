/* Private part of logging: the queue behind a log handle. */
#ifndef RG_COMMON_LOG_QUEUE_H
#define RG_COMMON_LOG_QUEUE_H

#include <stddef.h>

#include "common/log.h"

/* Queues a whole line, or counts it as suppressed. */
void rg_log_queue_add(struct rg_log_queue *q, enum rg_log_level level,
                      const char *line, size_t len);

#endif
