/* Monotonic clocks. */
#ifndef RG_COMMON_CLOCK_H
#define RG_COMMON_CLOCK_H

#include <stdint.h>

/* Milliseconds of CLOCK_MONOTONIC, which stops while the host is
 * suspended. */
uint64_t rg_clock_ms(void);

/* Milliseconds of CLOCK_BOOTTIME, which includes the time that the host was
 * suspended, so that a suspension shows as elapsed time. */
uint64_t rg_clock_boottime_ms(void);

#endif
