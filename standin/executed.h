/* Set of the requests that the stand-in upstreams have executed. */
#ifndef RG_STANDIN_EXECUTED_H
#define RG_STANDIN_EXECUTED_H

#include <stdbool.h>
#include <stdint.h>

struct sd_executed;

struct sd_executed *sd_executed_create(void);
/* Adds request number `seq` of `flow`; true if it was in the set already.
 * Exits the process after three million requests. */
bool sd_executed_add(struct sd_executed *set, uint64_t flow, uint32_t seq);
bool sd_executed_contains(const struct sd_executed *set, uint64_t flow,
                          uint32_t seq);

#endif
