#include "standin/conns.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "common/rand.h"

#define BUCKETS 65536

struct sd_conns {
    struct sd_conn *buckets[BUCKETS];
};

static uint32_t
bucket_of(uint32_t upstream, const struct rg_flow_key *key)
{
    uint64_t h = upstream;
    uint64_t word;

    for (size_t i = 0; i < sizeof(*key); i += sizeof(word)) {
        memcpy(&word, (const uint8_t *)key + i, sizeof(word));
        h = rg_mix64(h ^ word);
    }
    return (uint32_t)h % BUCKETS;
}

struct sd_conns *
sd_conns_create(void)
{
    return rg_calloc(1, sizeof(struct sd_conns));
}

struct sd_conn *
sd_conns_find(const struct sd_conns *t, uint32_t upstream,
              const struct rg_flow_key *key)
{
    struct sd_conn *c = t->buckets[bucket_of(upstream, key)];

    while (c && (c->upstream != upstream ||
                 memcmp(&c->key, key, sizeof(*key)) != 0))
    {
        c = c->next;
    }
    return c;
}

struct sd_conn *
sd_conns_add(struct sd_conns *t, uint32_t upstream,
             const struct rg_flow_key *key)
{
    struct sd_conn **link = &t->buckets[bucket_of(upstream, key)];
    struct sd_conn *c = rg_calloc(1, sizeof(*c));

    c->upstream = upstream;
    c->key = *key;
    c->next = *link;
    *link = c;
    return c;
}

void
sd_conns_remove(struct sd_conns *t, struct sd_conn *c)
{
    struct sd_conn **link = &t->buckets[bucket_of(c->upstream, &c->key)];

    while (*link != c) {
        link = &(*link)->next;
    }
    *link = c->next;
    free(c);
}

void
sd_conns_each(struct sd_conns *t, void (*cb)(void *ctx, struct sd_conn *c),
              void *ctx)
{
    for (size_t i = 0; i < BUCKETS; i++) {
        struct sd_conn *next;
        for (struct sd_conn *c = t->buckets[i]; c; c = next) {
            next = c->next;
            cb(ctx, c);
        }
    }
}
