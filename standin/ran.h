/* Which requests ran at the stand-in upstreams: a set that only grows. */
#ifndef RG_STANDIN_RAN_H
#define RG_STANDIN_RAN_H

#include <stdbool.h>
#include <stdint.h>

struct sd_ran;

struct sd_ran *sd_ran_create(void);
/* Notes that a flow's request number `seq` ran; true if it had before. Ends
 * the process past three million. */
bool sd_ran_note(struct sd_ran *r, uint64_t flow, uint32_t seq);
bool sd_ran_before(const struct sd_ran *r, uint64_t flow, uint32_t seq);

#endif
