/* A log whose lines a test can read. */
#ifndef RG_TEST_CAPTURED_LOG_H
#define RG_TEST_CAPTURED_LOG_H

#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "common/log.h"

struct captured_log {
    int ends[2];
    struct rg_log log;
};

static inline struct captured_log
captured_log_make(uint32_t lines_per_s)
{
    struct captured_log c;

    g_assert_cmpint(pipe(c.ends), ==, 0);
    fcntl(c.ends[0], F_SETFL, O_NONBLOCK);
    c.log = (struct rg_log){
        .app = "app",
        .host = "host",
        .level = RG_LOG_INFO,
        .queue = rg_log_queue_create(c.ends[1], lines_per_s),
    };
    return c;
}

/* Returns what has been flushed since the last call; freed by the caller. */
static inline char *
captured_log_read(const struct captured_log *c)
{
    GString *text = g_string_new(NULL);
    char part[4096];
    ssize_t len;

    while ((len = read(c->ends[0], part, sizeof(part))) > 0) {
        g_string_append_len(text, part, len);
    }
    return g_string_free(text, FALSE);
}

/* Number of lines with this MSGID that were logged since the last call. */
static inline uint32_t
captured_log_count(const struct captured_log *c, const char *id)
{
    static uint64_t now_ms;
    g_autofree char *word = g_strdup_printf(" %s [", id);

    now_ms += 10000;
    rg_log_flush(&c->log, now_ms);
    g_autofree char *text = captured_log_read(c);
    uint32_t count = 0;
    for (const char *at = strstr(text, word); at; at = strstr(at + 1, word)) {
        count++;
    }
    return count;
}

static inline void
captured_log_done(struct captured_log *c)
{
    rg_log_queue_destroy(c->log.queue);
    close(c->ends[0]);
    close(c->ends[1]);
}

#endif
