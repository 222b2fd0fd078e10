/* Log lines are written whole and rate limited, and logging does not block on
 * a slow reader. */
#include "test/captured_log.h"

#define LINES_PER_S 10

/* The format of a line; lines below the log level are not written. */
static void
test_event(void)
{
    struct captured_log f = captured_log_make(LINES_PER_S);

    rg_log_event(&f.log, RG_LOG_INFO, "OPENING", "flow=\"%s\"", "a>b");
    rg_log_event(&f.log, RG_LOG_DEBUG, "HIDDEN", "x=\"1\"");
    rg_log_flush(&f.log, 1);
    g_autofree char *text = captured_log_read(&f);
    g_assert_nonnull(strstr(text, " host app "));
    g_assert_true(
        g_str_has_suffix(text, "OPENING [rg m=\"-\" flow=\"a>b\"]\n"));
    g_assert_null(strstr(text, "HIDDEN"));
    captured_log_done(&f);
}

/* Lines beyond the rate limit are counted and dropped; lines of notice or more
 * severe, which report the state of the process and of what it depends on, are
 * always written. */
static void
test_rate_limit(void)
{
    struct captured_log f = captured_log_make(LINES_PER_S);

    for (int i = 0; i < 50; i++) {
        rg_log_event(&f.log, RG_LOG_INFO, "MANY", "i=\"%d\"", i);
    }
    rg_log_event(&f.log, RG_LOG_NOTICE, "READY", "i=\"1\"");
    g_assert_cmpuint(rg_log_suppressed(f.log.queue), ==, 40);
    rg_log_flush(&f.log, 1000);
    g_autofree char *text = captured_log_read(&f);
    g_assert_nonnull(strstr(text, "i=\"9\""));
    g_assert_null(strstr(text, "i=\"10\""));
    g_assert_nonnull(strstr(text, "READY"));
    g_assert_nonnull(strstr(text, "SUPPRESSED [rg m=\"-\" lines=\"40\"]"));
    captured_log_done(&f);
}

/* If nobody reads the pipe, flushing does not block, and lines that do not fit
 * into the bounded queue are dropped and counted. */
static void
test_no_reader(void)
{
    struct captured_log f = captured_log_make(LINES_PER_S);

    for (int i = 0; i < 20000; i++) {
        rg_log_event(&f.log, RG_LOG_ERR, "LOUD", "i=\"%d\"", i);
        rg_log_flush(&f.log, (uint64_t)i);
    }
    g_assert_cmpuint(rg_log_suppressed(f.log.queue), >, 0);
    captured_log_done(&f);
}

/* Lines are written in pieces of whole lines that a pipe takes atomically, so
 * that a slow reader does not get a part of a line. */
static void
test_atomic_writes(void)
{
    struct captured_log f = captured_log_make(LINES_PER_S);
    char part[65536];

    for (int i = 0; i < 200; i++) {
        rg_log_event(&f.log, RG_LOG_NOTICE, "LINE", "i=\"%d\"", i);
    }
    rg_log_flush(&f.log, 1);
    for (int i = 0; i < 2; i++) {
        ssize_t len = read(f.ends[0], part, 4096);
        g_assert_cmpint(len, >, 0);
    }
    g_autofree char *rest = captured_log_read(&f);
    g_assert_nonnull(strstr(rest, "i=\"199\"]\n"));
    captured_log_done(&f);
}

/* A hostile value cannot forge a log line: control characters are replaced. */
static void
test_control_characters(void)
{
    struct captured_log f = captured_log_make(LINES_PER_S);

    rg_log_event(&f.log, RG_LOG_INFO, "ODD", "key=\"%s\"", "a\nb\x01");
    rg_log_flush(&f.log, 1);
    g_autofree char *text = captured_log_read(&f);
    g_assert_nonnull(strstr(text, "key=\"a b \""));
    captured_log_done(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/log/event", test_event);
    g_test_add_func("/log/rate-limit", test_rate_limit);
    g_test_add_func("/log/no-reader", test_no_reader);
    g_test_add_func("/log/atomic-writes", test_atomic_writes);
    g_test_add_func("/log/control-characters", test_control_characters);
    return g_test_run();
}
