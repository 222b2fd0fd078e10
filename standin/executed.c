#include "standin/executed.h"

#include "common/mem.h"
#include "common/rand.h"
#include "standin/common.h"

#define SLOTS (1u << 22)
#define ENTRIES_MAX 3000000 /* a quarter stays free, so that probing ends */

struct sd_executed {
    uint64_t slots[SLOTS]; /* open addressing; 0: free */
    uint32_t count;
};

static uint64_t
request_id(uint64_t flow, uint32_t seq)
{
    return rg_mix64(flow ^ ((uint64_t)(seq + 1) << 48)) | 1;
}

/* Slot that holds the request, or the free one to insert it into. */
static uint32_t
find_slot(const struct sd_executed *set, uint64_t id)
{
    uint32_t i = (uint32_t)id & (SLOTS - 1);

    while (set->slots[i] != 0 && set->slots[i] != id) {
        i = (i + 1) & (SLOTS - 1);
    }
    return i;
}

struct sd_executed *
sd_executed_create(void)
{
    return rg_calloc(1, sizeof(struct sd_executed));
}

bool
sd_executed_add(struct sd_executed *set, uint64_t flow, uint32_t seq)
{
    uint64_t id = request_id(flow, seq);
    uint32_t i = find_slot(set, id);

    if (set->slots[i] == id) {
        return true;
    }
    if (set->count++ == ENTRIES_MAX) {
        sd_die("upstreams: cannot record more than three million requests");
    }
    set->slots[i] = id;
    return false;
}

bool
sd_executed_contains(const struct sd_executed *set, uint64_t flow,
                     uint32_t seq)
{
    uint64_t id = request_id(flow, seq);

    return set->slots[find_slot(set, id)] == id;
}
