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

/* Takes over what is newer. An older build tells no address. */
static void
merge(struct rg_fleet_size_entry *known,
      const struct rg_fleet_size_entry *entry)
{
    if (entry->active_ms > known->active_ms) {
        known->active_ms = entry->active_ms;
        known->addr = entry->addr.port != 0 ? entry->addr : known->addr;
    }
    if (known->addr.port == 0) {
        known->addr = entry->addr;
    }
}

void
rg_fleet_size_add_entry(struct rg_fleet_size *s,
                        const struct rg_fleet_size_entry *entry,
                        uint64_t now_ms)
{
    size_t i = find_position(s, entry->hash);

    if (entry->active_ms + RG_FLEET_SIZE_EXPIRY_MS <= now_ms) {
        return;
    }
    if (i < s->count && s->entries[i].hash == entry->hash) {
        merge(&s->entries[i], entry);
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
    s->entries[i] = *entry;
}

void
rg_fleet_size_add(struct rg_fleet_size *s, uint32_t hash, uint64_t active_ms,
                  uint64_t now_ms)
{
    struct rg_fleet_size_entry entry = {.hash = hash, .active_ms = active_ms};

    rg_fleet_size_add_entry(s, &entry, now_ms);
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
