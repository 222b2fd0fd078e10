#include "core/rank.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "common/rand.h"

struct member {
    uint64_t id;
    uint16_t slot;
};

struct rg_rank {
    struct member *members;
    uint32_t count;
    uint16_t chain[RG_RANK_BUCKETS][RG_RANK_CHAIN];
    uint64_t score[RG_RANK_BUCKETS][RG_RANK_CHAIN];
    uint32_t changed_ms[RG_RANK_BUCKETS];
};

static uint64_t
score_of(uint64_t id, uint32_t bucket)
{
    return rg_mix64(id ^ rg_mix64((uint64_t)bucket + 1));
}

static void
insert_scored(struct rg_rank *r, uint32_t bucket, uint16_t slot,
              uint64_t score)
{
    uint16_t *chain = r->chain[bucket];
    uint64_t *scores = r->score[bucket];
    int at = RG_RANK_CHAIN;

    while (at > 0 && (chain[at - 1] == RG_RANK_NONE || scores[at - 1] < score))
    {
        at--;
    }
    if (at == RG_RANK_CHAIN) {
        return;
    }
    for (int i = RG_RANK_CHAIN - 1; i > at; i--) {
        chain[i] = chain[i - 1];
        scores[i] = scores[i - 1];
    }
    chain[at] = slot;
    scores[at] = score;
}

static void
rebuild_bucket(struct rg_rank *r, uint32_t bucket)
{
    for (int i = 0; i < RG_RANK_CHAIN; i++) {
        r->chain[bucket][i] = RG_RANK_NONE;
    }
    for (uint32_t i = 0; i < r->count; i++) {
        const struct member *m = &r->members[i];
        insert_scored(r, bucket, m->slot, score_of(m->id, bucket));
    }
}

static bool
chain_has(const struct rg_rank *r, uint32_t bucket, uint16_t slot)
{
    for (int i = 0; i < RG_RANK_CHAIN; i++) {
        if (r->chain[bucket][i] == slot) {
            return true;
        }
    }
    return false;
}

static int
find_member(const struct rg_rank *r, uint16_t slot)
{
    for (uint32_t i = 0; i < r->count; i++) {
        if (r->members[i].slot == slot) {
            return (int)i;
        }
    }
    return -1;
}

struct rg_rank *
rg_rank_create(void)
{
    struct rg_rank *r = rg_calloc(1, sizeof(*r));

    memset(r->chain, 0xff, sizeof(r->chain));
    return r;
}

void
rg_rank_destroy(struct rg_rank *r)
{
    if (!r) {
        return;
    }
    free(r->members);
    free(r);
}

void
rg_rank_add(struct rg_rank *r, uint16_t slot, uint64_t id, uint32_t now_ms)
{
    r->members = rg_realloc(r->members, (r->count + 1) * sizeof(*r->members));
    r->members[r->count++] = (struct member){.id = id, .slot = slot};
    for (uint32_t b = 0; b < RG_RANK_BUCKETS; b++) {
        uint16_t owner = r->chain[b][0];
        insert_scored(r, b, slot, score_of(id, b));
        if (r->chain[b][0] != owner) {
            r->changed_ms[b] = now_ms;
        }
    }
}

void
rg_rank_remove(struct rg_rank *r, uint16_t slot, uint32_t now_ms)
{
    int at = find_member(r, slot);

    if (at < 0) {
        return;
    }
    r->members[at] = r->members[--r->count];
    for (uint32_t b = 0; b < RG_RANK_BUCKETS; b++) {
        if (!chain_has(r, b, slot)) {
            continue;
        }
        if (r->chain[b][0] == slot) {
            r->changed_ms[b] = now_ms;
        }
        rebuild_bucket(r, b);
    }
}

bool
rg_rank_has(const struct rg_rank *r, uint16_t slot)
{
    return find_member(r, slot) >= 0;
}

const uint16_t *
rg_rank_chain(const struct rg_rank *r, uint32_t bucket)
{
    return r->chain[bucket];
}

uint32_t
rg_rank_changed_ms(const struct rg_rank *r, uint32_t bucket)
{
    return r->changed_ms[bucket];
}
