#include "standin/executed.h"

#include "common/mem.h"
#include "common/rand.h"
#include "standin/common.h"

#define SLOTS (1u << 22)
#define ENTRIES_MAX 3000000 /* keeps a quarter free, so that searches end */

struct sd_executed {
    uint64_t slots[SLOTS]; /* open addressing, 0: free */
    uint32_t count;
};

static uint64_t
id_of(uint64_t flow, uint32_t seq)
{
    return rg_mix64(flow ^ ((uint64_t)(seq + 1) << 48)) | 1;
}

/* Where the request is, or where it would go. */
static uint32_t
place_of(const struct sd_executed *r, uint64_t id)
{
    uint32_t i = (uint32_t)id & (SLOTS - 1);

    while (r->slots[i] != 0 && r->slots[i] != id) {
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
sd_executed_add(struct sd_executed *r, uint64_t flow, uint32_t seq)
{
    uint64_t id = id_of(flow, seq);
    uint32_t i = place_of(r, id);

    if (r->slots[i] == id) {
        return true;
    }
    if (r->count++ == ENTRIES_MAX) {
        sd_die("too many requests to remember");
    }
    r->slots[i] = id;
    return false;
}

bool
sd_executed_contains(const struct sd_executed *r, uint64_t flow, uint32_t seq)
{
    uint64_t id = id_of(flow, seq);

    return r->slots[place_of(r, id)] == id;
}
