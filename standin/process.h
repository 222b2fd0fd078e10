/* Processes of a test or an experiment: argument lists, start, end. All end
 * with this process. */
#ifndef RG_STANDIN_PROCESS_H
#define RG_STANDIN_PROCESS_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define SD_ARGS_MAX 1200 /* 250 instances with several options each */

/* An argument list that owns its strings. Start with a zeroed one. */
struct sd_args {
    char *items[SD_ARGS_MAX];
    size_t count;
};

void sd_args_add(struct sd_args *a, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Starts the program named by the first argument and empties the list. Its
 * standard output goes to `*out` if that is set; the caller closes it. */
pid_t sd_process_start(struct sd_args *a, int *out);
/* Kills a process and waits for its end; nothing for 0. */
void sd_process_kill(pid_t pid);
/* Reads `fd` to its end, into a string, and closes it. */
void sd_process_read_output(int fd, char *out, size_t size);

void sd_sleep_ms(uint32_t ms);

#endif
