#include "balance/fleet_size.h"

#include <string.h>

/* Hashes there are. */
#define HASHES 4294967296.0

/* Where a hash stands, or belongs. */
static size_t
place_of(const struct rg_fleet_size *c, uint32_t hash)
{
    size_t i = 0;

    while (i < c->count && c->entries[i].hash < hash) {
        i++;
    }
    return i;
}

void
rg_fleet_size_add(struct rg_fleet_size *c, uint32_t hash, uint64_t active_ms,
                  uint64_t now_ms)
{
    size_t i = place_of(c, hash);

    if (active_ms + RG_FLEET_SIZE_EXPIRY_MS <= now_ms) {
        return;
    }
    if (i < c->count && c->entries[i].hash == hash) {
        if (active_ms > c->entries[i].active_ms) {
            c->entries[i].active_ms = active_ms;
        }
        return;
    }
    if (i == RG_FLEET_SIZE_HASHES_MAX) {
        return;
    }
    size_t behind = c->count - i;
    if (c->count == RG_FLEET_SIZE_HASHES_MAX) {
        behind--; /* the greatest gives way */
    }
    else {
        c->count++;
    }
    memmove(&c->entries[i + 1], &c->entries[i],
            behind * sizeof(c->entries[0]));
    c->entries[i] = (struct rg_fleet_size_entry){hash, active_ms};
}

void
rg_fleet_size_expire(struct rg_fleet_size *c, uint64_t now_ms)
{
    size_t kept = 0;

    for (size_t i = 0; i < c->count; i++) {
        if (c->entries[i].active_ms + RG_FLEET_SIZE_EXPIRY_MS > now_ms) {
            c->entries[kept++] = c->entries[i];
        }
    }
    c->count = kept;
}

size_t
rg_fleet_size_estimate(const struct rg_fleet_size *c)
{
    if (c->count < RG_FLEET_SIZE_HASHES_MAX) {
        return c->count;
    }
    double greatest = c->entries[RG_FLEET_SIZE_HASHES_MAX - 1].hash;
    return (size_t)((RG_FLEET_SIZE_HASHES_MAX - 1) * HASHES / (greatest + 1));
}
