/* The thin daemon that steers by routing token.
 *
 * One task on one libuv loop owns everything below; its parts call upwards
 * only through the callbacks they were given. */
#ifndef RG_EDGE_EDGE_H
#define RG_EDGE_EDGE_H

#include <stdint.h>

/* Monotonic time of the loop's clock, read anew. */
uint64_t rg_edge_now_ms(void);

#endif
