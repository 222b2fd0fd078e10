#include "core/default_table.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "common/rand.h"

/* Entries per member, and bounds of the table's size: a member's share of the
 * entries is then close to its weight, and a table takes 32 KB at most. */
#define ENTRIES_PER_MEMBER 64
#define SIZE_LEAST 256
#define SIZE_MOST 16384

/* The highest of -weight / ln(uniform) wins. */
static double
score_of(uint64_t id, uint32_t entry, uint32_t weight)
{
    uint64_t mixed = rg_mix64(id ^ rg_mix64((uint64_t)entry + 1));
    double uniform = ((double)(mixed >> 11) + 1.0) / 9007199254740993.0;

    return -(double)weight / log(uniform);
}

static uint16_t
best_member(const struct rg_default_table *t, uint32_t entry)
{
    double best = -1.0;
    uint32_t at = 0;

    for (uint32_t i = 0; i < t->member_count; i++) {
        const struct rg_default_table_member *m = &t->members[i];
        double score = score_of(m->id, entry, m->weight);
        if (score > best) {
            best = score;
            at = i;
        }
    }
    return (uint16_t)at;
}

static void
fill(struct rg_default_table *t)
{
    t->size = SIZE_LEAST;
    while (t->size < t->member_count * ENTRIES_PER_MEMBER &&
           t->size < SIZE_MOST) {
        t->size *= 2;
    }
    t->entries = rg_calloc(t->size, sizeof(*t->entries));
    for (uint32_t i = 0; i < t->size; i++) {
        t->entries[i] = best_member(t, i);
    }
}

static uint64_t
signature_of(const struct rg_default_table_member *members, uint32_t count)
{
    uint64_t signature = 0;

    for (uint32_t i = 0; i < count; i++) {
        const struct rg_default_table_member *m = &members[i];
        signature = rg_mix64(signature ^ m->id) + m->weight + m->slot;
    }
    return signature;
}

void
rg_default_table_set(struct rg_default_table *t,
                     struct rg_default_table_member *members, uint32_t count)
{
    uint64_t signature = signature_of(members, count);
    bool same = t->size > 0 && count > 0 && t->signature == signature;

    free(t->members);
    t->members = members;
    t->member_count = count;
    t->signature = signature;
    if (same) {
        return;
    }
    free(t->entries);
    t->entries = NULL;
    t->size = 0;
    if (count > 0) {
        fill(t);
    }
}

void
rg_default_table_clear(struct rg_default_table *t)
{
    free(t->entries);
    free(t->members);
    memset(t, 0, sizeof(*t));
}

uint32_t
rg_default_table_pick(const struct rg_default_table *t, uint64_t hash,
                      uint32_t n)
{
    uint64_t mixed = n == 0 ? hash : rg_mix64(hash + n);
    uint32_t entry = (uint32_t)(mixed >> 7) & (t->size - 1);

    return t->members[t->entries[entry]].slot;
}
