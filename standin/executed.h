/* Which requests ran at the stand-in upstreams: a set that only grows. */
#ifndef RG_STANDIN_RAN_H
#define RG_STANDIN_RAN_H

#include <stdbool.h>
#include <stdint.h>

struct sd_executed;

struct sd_executed *sd_executed_create(void);
/* Notes that a flow's request number `seq` ran; true if it had before. Ends
 * the process past three million. */
bool sd_executed_add(struct sd_executed *r, uint64_t flow, uint32_t seq);
bool sd_executed_contains(const struct sd_executed *r, uint64_t flow,
                          uint32_t seq);

#endif
