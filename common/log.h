/* Structured log lines (RFC 5424) on standard output.
 *
 * Without a queue, each line is written at once. With a queue, lines are
 * buffered until rg_log_flush() writes them without blocking. Lines less
 * severe than a notice are rate limited. Of lines that exceed the rate or do
 * not fit into the buffer, only the number is logged. */
#ifndef RG_COMMON_LOG_H
#define RG_COMMON_LOG_H

#include <stdint.h>

/* Severities, numbered as in RFC 5424. */
enum rg_log_level {
    RG_LOG_ERR = 3,
    RG_LOG_WARNING = 4,
    RG_LOG_NOTICE = 5,
    RG_LOG_INFO = 6,
    RG_LOG_DEBUG = 7,
};

struct rg_log_queue;

/* A log handle. It owns nothing: copy it to give a module its own name. Lines
 * are written whole, so several threads may share standard output. */
struct rg_log {
    const char *app;         /* APP-NAME, borrowed */
    const char *host;        /* HOSTNAME: the instance's name, borrowed */
    const char *module;      /* printed as the structured-data parameter m */
    enum rg_log_level level; /* less severe lines are not written */
    struct rg_log_queue *queue; /* borrowed; NULL: lines are written at once */
};

/* Logs one line of free text. `id` is the MSGID, a fixed word that is
 * documented in docs/OPERATIONS.md. */
void rg_log(const struct rg_log *log, enum rg_log_level level, const char *id,
            const char *format, ...) __attribute__((format(printf, 4, 5)));

/* Logs one line that holds structured data only. `params` is the printf format
 * of the NAME="VALUE" pairs. The values must not contain '"', '\\' or ']',
 * because they are not escaped. */
void rg_log_event(const struct rg_log *log, enum rg_log_level level,
                  const char *id, const char *params, ...)
    __attribute__((format(printf, 4, 5)));

/* A queue of lines, used by one thread. `lines_per_s` limits the rate of lines
 * less severe than a notice. `fd` is made non-blocking; the caller keeps
 * ownership of it. */
struct rg_log_queue *rg_log_queue_create(int fd, uint32_t lines_per_s);
void rg_log_queue_destroy(struct rg_log_queue *q);

/* Writes the queued lines as far as that does not block, and logs how many
 * lines were suppressed since the last such report. Call it a few times per
 * second. */
void rg_log_flush(const struct rg_log *log, uint64_t now_ms);

/* Lines that were dropped since creation, by the rate limit or because the
 * queue was full. */
uint64_t rg_log_suppressed(const struct rg_log_queue *q);

/* Parses "err", "warning", "notice", "info" or "debug"; -1 if unknown. */
int rg_log_level_parse(const char *name);

#endif
