#include "balance/outcome_table.h"

#include <stdlib.h>

#include "common/mem.h"

/* How often a row is told: by its source, and by each instance that passes it
 * on. */
#define TELL_OWN 4
#define TELL_HEARD 3

struct entry {
    struct rg_outcome_row row;
    uint8_t tells_left;
    uint64_t told_in; /* the last round that gave it out, 0: none yet */
};

struct rg_outcome_table {
    uint32_t self;
    size_t count;
    size_t next;    /* where rg_outcome_table_next() goes on */
    uint64_t round; /* calls of rg_outcome_table_next() */
    struct entry entries[RG_OUTCOME_ROWS_MAX];
};

static struct entry *
find(struct rg_outcome_table *p, uint32_t token, uint32_t source)
{
    for (size_t i = 0; i < p->count; i++) {
        struct entry *e = &p->entries[i];
        if (e->row.token == token && e->row.source == source) {
            return e;
        }
    }
    return NULL;
}

/* A free entry, or the one whose last outcome is the oldest. */
static struct entry *
make_room(struct rg_outcome_table *p)
{
    struct entry *oldest = &p->entries[0];

    if (p->count < RG_OUTCOME_ROWS_MAX) {
        return &p->entries[p->count++];
    }
    for (size_t i = 1; i < p->count; i++) {
        if (p->entries[i].row.last_ms < oldest->row.last_ms) {
            oldest = &p->entries[i];
        }
    }
    return oldest;
}

bool
rg_outcome_table_put(struct rg_outcome_table *p,
                     const struct rg_outcome_row *row, uint64_t now_ms)
{
    struct entry *e = find(p, row->token, row->source);

    if (row->last_ms + RG_OUTCOME_ROW_LIFETIME_MS <= now_ms) {
        return false;
    }
    if (e && e->row.serial >= row->serial) {
        return false;
    }
    if (!e) {
        e = make_room(p);
    }
    *e = (struct entry){
        .row = *row,
        .tells_left = row->source == p->self ? TELL_OWN : TELL_HEARD,
    };
    return true;
}

/* Gives out entries that have `left` tells left. */
static size_t
give_out(struct rg_outcome_table *p, uint8_t left, struct rg_outcome_row *out,
         size_t max)
{
    size_t given = 0;
    size_t from = p->next;

    for (size_t n = 0; n < p->count && given < max; n++) {
        size_t i = (from + n) % p->count;
        struct entry *e = &p->entries[i];
        if (e->tells_left == left && e->told_in != p->round) {
            out[given++] = e->row;
            e->tells_left--;
            e->told_in = p->round;
            p->next = i + 1;
        }
    }
    return given;
}

size_t
rg_outcome_table_next(struct rg_outcome_table *p, struct rg_outcome_row *out,
                      size_t max)
{
    size_t given = 0;

    p->round++;
    for (uint8_t left = TELL_OWN; left > 0 && given < max; left--) {
        given += give_out(p, left, out + given, max - given);
    }
    return given;
}

bool
rg_outcome_table_has_unsent_failure(const struct rg_outcome_table *p)
{
    for (size_t i = 0; i < p->count; i++) {
        const struct entry *e = &p->entries[i];
        if (e->row.source == p->self && e->told_in == 0) {
            return true;
        }
    }
    return false;
}

struct rg_outcome_sum
rg_outcome_table_sum_others(const struct rg_outcome_table *p, uint32_t token,
                            uint64_t since_ms)
{
    struct rg_outcome_sum sum = {0};

    for (size_t i = 0; i < p->count; i++) {
        const struct rg_outcome_row *row = &p->entries[i].row;
        if (row->token != token || row->source == p->self) {
            continue;
        }
        sum.counts[RG_OUTCOME_LATE] += row->counts[RG_OUTCOME_LATE];
        if (row->last_ms <= since_ms) {
            continue;
        }
        sum.counts[RG_OUTCOME_ANSWERED] += row->counts[RG_OUTCOME_ANSWERED];
        sum.counts[RG_OUTCOME_FAILED] += row->counts[RG_OUTCOME_FAILED];
        if (row->failed_ms > sum.failed_ms) {
            sum.failed_ms = row->failed_ms;
        }
        if (row->answered_ms > sum.answered_ms) {
            sum.answered_ms = row->answered_ms;
        }
    }
    return sum;
}

uint32_t
rg_outcome_table_expire(struct rg_outcome_table *p, uint64_t now_ms)
{
    for (size_t i = 0; i < p->count; i++) {
        const struct rg_outcome_row *row = &p->entries[i].row;
        if (row->last_ms + RG_OUTCOME_ROW_LIFETIME_MS <= now_ms) {
            uint32_t token = row->token;
            p->entries[i] = p->entries[--p->count];
            return token;
        }
    }
    return 0;
}

size_t
rg_outcome_table_count(const struct rg_outcome_table *p)
{
    return p->count;
}

uint32_t
rg_outcome_table_self(const struct rg_outcome_table *p)
{
    return p->self;
}

struct rg_outcome_table *
rg_outcome_table_create(uint32_t self)
{
    struct rg_outcome_table *p = rg_calloc(1, sizeof(*p));

    p->self = self;
    return p;
}

void
rg_outcome_table_destroy(struct rg_outcome_table *p)
{
    free(p);
}
