/* Monotonic clocks. */
#ifndef RG_COMMON_CLOCK_H
#define RG_COMMON_CLOCK_H

#include <stdint.h>

/* Milliseconds while the host runs. */
uint64_t rg_clock_ms(void);

/* Milliseconds since the host was booted, the time it was suspended included,
 * so that a suspension shows as a pause. */
uint64_t rg_clock_boottime_ms(void);

#endif
