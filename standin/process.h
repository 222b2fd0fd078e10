/* Child processes of tests and experiments. They are killed when this process
 * exits. */
#ifndef RG_STANDIN_PROCESS_H
#define RG_STANDIN_PROCESS_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define SD_ARGS_MAX 1200 /* 250 instances with several options each */

/* An argument list that owns its strings. Initialize it with zeros. */
struct sd_args {
    char *items[SD_ARGS_MAX];
    size_t count;
};

void sd_args_add(struct sd_args *a, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Starts the program named by the first argument and clears the list. If `out`
 * is not NULL, it receives a descriptor to read the program's standard output
 * from, which the caller closes. */
pid_t sd_process_start(struct sd_args *a, int *out);
/* Kills a process with SIGKILL and reaps it; does nothing if `pid` is 0. */
void sd_process_kill(pid_t pid);
/* Reads `fd` up to its end or `size` - 1 bytes, terminates the string and
 * closes `fd`. */
void sd_process_read_output(int fd, char *out, size_t size);

void sd_sleep_ms(uint32_t ms);

#endif
