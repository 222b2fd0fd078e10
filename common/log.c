#include "common/log.h"
#include "common/log_queue.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

/* Facility 3 (system daemons) in the upper bits of the RFC 5424 PRI value. */
#define LOG_FACILITY (3 << 3)
#define LOG_LINE_MAX 1024

static const char *const level_names[] = {
    [RG_LOG_ERR] = "err",       [RG_LOG_WARNING] = "warning",
    [RG_LOG_NOTICE] = "notice", [RG_LOG_INFO] = "info",
    [RG_LOG_DEBUG] = "debug",
};

static int
print_header(char *line, size_t size, const struct rg_log *log,
             enum rg_log_level level, const char *id, const char *end)
{
    struct timeval tv;
    struct tm tm;
    char stamp[32];

    gettimeofday(&tv, NULL);
    gmtime_r(&tv.tv_sec, &tm);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
    return snprintf(line, size, "<%d>1 %s.%03dZ %s %s %d %s [rg m=\"%s\"%s",
                    LOG_FACILITY | (int)level, stamp, (int)(tv.tv_usec / 1000),
                    log->host ? log->host : "-", log->app, (int)getpid(), id,
                    log->module ? log->module : "-", end);
}

/* Replaces control characters from offset `from` on by spaces, so that a value
 * cannot forge a line of its own, ends the line and queues or writes it. */
static void
emit(const struct rg_log *log, enum rg_log_level level, char *line,
     size_t from)
{
    size_t end = strlen(line);

    for (size_t i = from; i < end; i++) {
        if ((unsigned char)line[i] < ' ') {
            line[i] = ' ';
        }
    }
    line[end] = '\n';
    if (log->queue) {
        rg_log_queue_add(log->queue, level > RG_LOG_NOTICE, line, end + 1);
        return;
    }
    ssize_t written = write(STDOUT_FILENO, line, end + 1);
    (void)written; /* a failure of standard output cannot be logged */
}

void
rg_log(const struct rg_log *log, enum rg_log_level level, const char *id,
       const char *format, ...)
{
    char line[LOG_LINE_MAX];
    va_list ap;

    if (!log || level > log->level) {
        return;
    }
    int len = print_header(line, sizeof(line) - 1, log, level, id, "] ");
    if (len < 0 || (size_t)len >= sizeof(line) - 1) {
        return;
    }
    va_start(ap, format);
    vsnprintf(line + len, sizeof(line) - 1 - (size_t)len, format, ap);
    va_end(ap);
    emit(log, level, line, (size_t)len);
}

void
rg_log_event(const struct rg_log *log, enum rg_log_level level, const char *id,
             const char *params, ...)
{
    char line[LOG_LINE_MAX];
    va_list ap;

    if (!log || level > log->level) {
        return;
    }
    int len = print_header(line, sizeof(line) - 2, log, level, id, " ");
    if (len < 0 || (size_t)len >= sizeof(line) - 2) {
        return;
    }
    va_start(ap, params);
    vsnprintf(line + len, sizeof(line) - 2 - (size_t)len, params, ap);
    va_end(ap);
    strcat(line, "]");
    emit(log, level, line, (size_t)len);
}

int
rg_log_level_parse(const char *name)
{
    for (int i = RG_LOG_ERR; i <= RG_LOG_DEBUG; i++) {
        if (strcmp(name, level_names[i]) == 0) {
            return i;
        }
    }
    return -1;
}

void
rg_log_flush(const struct rg_log *log, uint64_t now_ms)
{
    uint64_t suppressed = rg_log_queue_refill(log->queue, now_ms);

    if (suppressed > 0) {
        rg_log_event(log, RG_LOG_NOTICE, "SUPPRESSED", "lines=\"%llu\"",
                     (unsigned long long)suppressed);
    }
    rg_log_queue_write(log->queue);
}
