#include "common/clock.h"

#include <time.h>

static uint64_t
read_ms(clockid_t clock)
{
    struct timespec ts;

    clock_gettime(clock, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t
rg_clock_ms(void)
{
    return read_ms(CLOCK_MONOTONIC);
}

uint64_t
rg_clock_boottime_ms(void)
{
    return read_ms(CLOCK_BOOTTIME);
}
