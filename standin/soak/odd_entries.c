/* Entries of another writer among those of the upstreams. None of them names
 * an upstream to use; each is valid but for one field, or cannot be read at
 * all. They name the address of a real upstream and an id of their own, so
 * that a packet for one of them shows that it was used. */
#include "standin/soak/soak.h"

#define PERIOD_MS 2500 /* mean time between two */
#define TICK_MS 10
/* Ids of upstreams are smaller. */
#define FIRST_ID (1ULL << 40)
#define NESTED_LEVELS 200000
#define ENTRIES_MAX 16 /* kept at a time */

/* An entry with these values; the address is that of the upstream. */
static const struct {
    const char *port;
    const char *slots;
    const char *state;
    const char *cold_left_ms;
    const char *seq;
    const char *born;
} odd_values[] = {
    {"8080", "2", "\"ready\"", "1e400", "1", "1"},
    {"8080", "2", "\"ready\"", "0", "99999999999999999999", "1"},
    {"8080", "2", "\"ready\"", "0", "1", "1e400"},
    {"8080", "2", "\"ready\"", "0", "1", "18446744073709551616"},
    {"8080", "2", "\"ready\"", "-1", "1", "1"},
    {"8080", "1e9", "\"ready\"", "0", "1", "1"},
    {"8080", "2", "\"resting\"", "0", "1", "1"},
    {"8080", "2", "7", "0", "1", "1"},
    {"65536", "2", "\"ready\"", "0", "1", "1"},
    {"0", "2", "\"ready\"", "0", "1", "1"},
    {"8080", "2", "\"ready\"", "0", "\"1\"", "1"},
};

static void
put_odd_value(struct soak *s, const char *key, uint32_t which)
{
    const struct soak_upstream *u = &s->upstreams[rg_rand_below(
        &s->noise_rand, (uint32_t)s->upstream_count)];
    char ip[32];

    soak_ip(s, SOAK_UPSTREAM_SUBNET, u->index + 1, ip);
    g_autofree char *value = g_strdup_printf(
        "{\"Service\":\"s%d\",\"Address\":\"%s:%s\",\"Zone\":\"z%d\","
        "\"Version\":\"v1\",\"Slots\":%s,\"State\":%s,"
        "\"ColdLeftMs\":%s,\"Seq\":%s,\"born\":%s}",
        u->service, ip, odd_values[which].port, u->index % 2,
        odd_values[which].slots, odd_values[which].state,
        odd_values[which].cold_left_ms, odd_values[which].seq,
        odd_values[which].born);
    soak_store_put(s, key, value);
}

static void
put_nested(struct soak *s, const char *key)
{
    g_autofree char *value = g_strnfill(NESTED_LEVELS, '[');

    soak_store_put(s, key, value);
}

void
soak_odd_entries_tick(struct soak *s)
{
    uint32_t count = G_N_ELEMENTS(odd_values);

    if (rg_rand_below(&s->noise_rand, PERIOD_MS / TICK_MS) != 0) {
        return;
    }
    uint64_t id = FIRST_ID + rg_rand_below(&s->noise_rand, ENTRIES_MAX);
    g_autofree char *key = g_strdup_printf("servers/i-%lx", id);
    uint32_t which = rg_rand_below(&s->noise_rand, count + 2);

    soak_log(s, "odd entry %u as %s", which, key);
    if (which < count) {
        put_odd_value(s, key, which);
    }
    else if (which == count) {
        put_nested(s, key);
    }
    else {
        soak_store_remove(s, key);
    }
}

bool
soak_is_odd_entry(uint64_t id)
{
    return id >= FIRST_ID && id < FIRST_ID + ENTRIES_MAX;
}
