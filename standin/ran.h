/* Set of the requests that the stand-in upstreams have executed. */
#ifndef RG_STANDIN_RAN_H
#define RG_STANDIN_RAN_H

#include <stdbool.h>
#include <stdint.h>

struct sd_ran;

struct sd_ran *sd_ran_create(void);
/* Adds request number `seq` of `flow`; true if it was in the set already.
 * Exits the process after three million requests. */
bool sd_ran_note(struct sd_ran *r, uint64_t flow, uint32_t seq);
bool sd_ran_before(const struct sd_ran *r, uint64_t flow, uint32_t seq);

#endif
