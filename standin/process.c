#include "standin/process.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "common/mem.h"
#include "standin/common.h"

void
sd_args_add(struct sd_args *a, const char *format, ...)
{
    char text[1024];
    va_list ap;

    va_start(ap, format);
    vsnprintf(text, sizeof(text), format, ap);
    va_end(ap);
    if (a->count + 1 == SD_ARGS_MAX) {
        sd_die("too many arguments");
    }
    a->items[a->count++] = rg_strdup(text);
    a->items[a->count] = NULL;
}

static void
clear(struct sd_args *a)
{
    for (size_t i = 0; i < a->count; i++) {
        free(a->items[i]);
    }
    memset(a, 0, sizeof(*a));
}

pid_t
sd_process_start(struct sd_args *a, int *out)
{
    int pipe_fds[2] = {-1, -1};
    pid_t parent = getpid();

    if (out && pipe2(pipe_fds, O_CLOEXEC) != 0) {
        sd_die("pipe: %s", strerror(errno));
    }
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        if (out) {
            dup2(pipe_fds[1], STDOUT_FILENO);
        }
        execv(a->items[0], a->items);
        fprintf(stderr, "cannot run %s: %s\n", a->items[0], strerror(errno));
        _exit(127);
    }
    if (out) {
        close(pipe_fds[1]);
        *out = pipe_fds[0];
    }
    clear(a);
    return pid;
}

void
sd_process_kill(pid_t pid)
{
    if (pid > 0) {
        kill(pid, SIGKILL);
        waitpid(pid, NULL, 0);
    }
}

void
sd_process_read_output(int fd, char *out, size_t size)
{
    size_t len = 0;
    ssize_t got;

    while (len + 1 < size && (got = read(fd, out + len, size - 1 - len)) > 0) {
        len += (size_t)got;
    }
    out[len] = '\0';
    close(fd);
}

void
sd_sleep_ms(uint32_t ms)
{
    struct timespec ts = {.tv_sec = ms / 1000,
                          .tv_nsec = (long)(ms % 1000) * 1000000L};

    while (nanosleep(&ts, &ts) != 0 && errno == EINTR) {
    }
}
