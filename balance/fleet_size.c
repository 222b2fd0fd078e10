#include "balance/fleet_size.h"

#include <string.h>

/* Number of possible hashes. */
#define HASH_COUNT 4294967296.0

/* Position of a hash in the list, or where to insert it. */
static size_t
find_position(const struct rg_fleet_size *s, uint32_t hash)
{
    size_t i = 0;

    while (i < s->count && s->entries[i].hash < hash) {
        i++;
    }
    return i;
}

void
rg_fleet_size_add(struct rg_fleet_size *s, uint32_t hash, uint64_t active_ms,
                  uint64_t now_ms)
{
    size_t i = find_position(s, hash);

    if (active_ms + RG_FLEET_SIZE_EXPIRY_MS <= now_ms) {
        return;
    }
    if (i < s->count && s->entries[i].hash == hash) {
        if (active_ms > s->entries[i].active_ms) {
            s->entries[i].active_ms = active_ms;
        }
        return;
    }
    if (i == RG_FLEET_SIZE_HASHES_MAX) {
        return;
    }
    size_t moved = s->count - i;
    if (s->count == RG_FLEET_SIZE_HASHES_MAX) {
        moved--; /* the greatest hash is dropped */
    }
    else {
        s->count++;
    }
    memmove(&s->entries[i + 1], &s->entries[i], moved * sizeof(s->entries[0]));
    s->entries[i] = (struct rg_fleet_size_entry){hash, active_ms};
}

void
rg_fleet_size_expire(struct rg_fleet_size *s, uint64_t now_ms)
{
    size_t kept = 0;

    for (size_t i = 0; i < s->count; i++) {
        if (s->entries[i].active_ms + RG_FLEET_SIZE_EXPIRY_MS > now_ms) {
            s->entries[kept++] = s->entries[i];
        }
    }
    s->count = kept;
}

size_t
rg_fleet_size_estimate(const struct rg_fleet_size *s)
{
    if (s->count < RG_FLEET_SIZE_HASHES_MAX) {
        return s->count;
    }
    double greatest = s->entries[RG_FLEET_SIZE_HASHES_MAX - 1].hash;
    return (size_t)((RG_FLEET_SIZE_HASHES_MAX - 1) * HASH_COUNT /
                    (greatest + 1));
}
