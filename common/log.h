/* Structured log lines (RFC 5424) on standard output.
 *
 * Without a queue a line is written at once. With one, lines are gathered,
 * written without blocking by rg_log_flush(), and bounded in number: of those
 * past the bound only their count is written. */
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

/* A log handle. Copy it to give a module its own name; it owns nothing.
 * Lines are written whole, so tasks may share standard output. */
struct rg_log_queue;

struct rg_log {
    const char *app;         /* APP-NAME, borrowed */
    const char *host;        /* HOSTNAME: the instance's name, borrowed */
    const char *module;      /* printed as the structured-data parameter m */
    enum rg_log_level level; /* lines less severe than this are dropped */
    struct rg_log_queue *queue; /* borrowed; NULL writes at once */
};

/* Writes one line. `id` is the MSGID: a fixed word an operator can look up in
 * docs/OPERATIONS.md. */
void rg_log(const struct rg_log *log, enum rg_log_level level, const char *id,
            const char *format, ...) __attribute__((format(printf, 4, 5)));

/* Writes one line whose content is structured data only: `params` makes the
 * NAME="VALUE" pairs. Values must not hold '"', '\\' or ']'. */
void rg_log_event(const struct rg_log *log, enum rg_log_level level,
                  const char *id, const char *params, ...)
    __attribute__((format(printf, 4, 5)));

/* A queue of lines for one task. `lines_per_s` bounds lines less severe than
 * a notice; `fd` is made non-blocking and stays the caller's. */
struct rg_log_queue *rg_log_queue_create(int fd, uint32_t lines_per_s);
void rg_log_queue_destroy(struct rg_log_queue *q);

/* Writes what is queued, as far as that does not block, and a line with the
 * number of lines suppressed since the last. Call it a few times a second. */
void rg_log_flush(const struct rg_log *log, uint64_t now_ms);

/* Lines suppressed or lost since creation. */
uint64_t rg_log_suppressed(const struct rg_log_queue *q);

/* Parses "err", "warning", "notice", "info" or "debug"; -1 if unknown. */
int rg_log_level_of(const char *word);

#endif
