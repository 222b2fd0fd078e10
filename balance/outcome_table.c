#include "balance/outcome_table.h"

#include <stdlib.h>

#include "common/mem.h"

/* How often a row is sent: by its source, and by each instance that forwards
 * it. */
#define SENDS_OWN 4
#define SENDS_FORWARDED 3

struct entry {
    struct rg_outcome_row row;
    uint8_t sends_left;
    uint64_t sent_round; /* value of `round` when it was last sent, 0: never */
};

struct rg_outcome_table {
    uint32_t self;
    size_t count;
    size_t next;    /* where rg_outcome_table_next() continues */
    uint64_t round; /* number of calls of rg_outcome_table_next() */
    struct entry entries[RG_OUTCOME_ROWS_MAX];
};

static struct entry *
find(struct rg_outcome_table *t, uint32_t token, uint32_t source)
{
    for (size_t i = 0; i < t->count; i++) {
        struct entry *e = &t->entries[i];
        if (e->row.token == token && e->row.source == source) {
            return e;
        }
    }
    return NULL;
}

/* Returns a free entry, or the one whose last outcome is the oldest. */
static struct entry *
get_entry(struct rg_outcome_table *t)
{
    struct entry *oldest = &t->entries[0];

    if (t->count < RG_OUTCOME_ROWS_MAX) {
        return &t->entries[t->count++];
    }
    for (size_t i = 1; i < t->count; i++) {
        if (t->entries[i].row.last_ms < oldest->row.last_ms) {
            oldest = &t->entries[i];
        }
    }
    return oldest;
}

bool
rg_outcome_table_put(struct rg_outcome_table *t,
                     const struct rg_outcome_row *row, uint64_t now_ms)
{
    struct entry *e = find(t, row->token, row->source);

    if (row->last_ms + RG_OUTCOME_ROW_LIFETIME_MS <= now_ms) {
        return false;
    }
    if (e && e->row.serial >= row->serial) {
        return false;
    }
    if (!e) {
        e = get_entry(t);
    }
    *e = (struct entry){
        .row = *row,
        .sends_left = row->source == t->self ? SENDS_OWN : SENDS_FORWARDED,
    };
    return true;
}

/* Copies entries that have `left` sends left. */
static size_t
take_entries(struct rg_outcome_table *t, uint8_t left,
             struct rg_outcome_row *out, size_t max)
{
    size_t count = 0;
    size_t from = t->next;

    for (size_t n = 0; n < t->count && count < max; n++) {
        size_t i = (from + n) % t->count;
        struct entry *e = &t->entries[i];
        if (e->sends_left == left && e->sent_round != t->round) {
            out[count++] = e->row;
            e->sends_left--;
            e->sent_round = t->round;
            t->next = i + 1;
        }
    }
    return count;
}

size_t
rg_outcome_table_next(struct rg_outcome_table *t, struct rg_outcome_row *out,
                      size_t max)
{
    size_t count = 0;

    t->round++;
    for (uint8_t left = SENDS_OWN; left > 0 && count < max; left--) {
        count += take_entries(t, left, out + count, max - count);
    }
    return count;
}

bool
rg_outcome_table_has_unsent_own(const struct rg_outcome_table *t)
{
    for (size_t i = 0; i < t->count; i++) {
        const struct entry *e = &t->entries[i];
        if (e->row.source == t->self && e->sent_round == 0) {
            return true;
        }
    }
    return false;
}

struct rg_outcome_sum
rg_outcome_table_sum_others(const struct rg_outcome_table *t, uint32_t token,
                            uint64_t since_ms)
{
    struct rg_outcome_sum sum = {0};

    for (size_t i = 0; i < t->count; i++) {
        const struct rg_outcome_row *row = &t->entries[i].row;
        if (row->token != token || row->source == t->self) {
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
rg_outcome_table_expire(struct rg_outcome_table *t, uint64_t now_ms)
{
    for (size_t i = 0; i < t->count; i++) {
        const struct rg_outcome_row *row = &t->entries[i].row;
        if (row->last_ms + RG_OUTCOME_ROW_LIFETIME_MS <= now_ms) {
            uint32_t token = row->token;
            t->entries[i] = t->entries[--t->count];
            return token;
        }
    }
    return 0;
}

size_t
rg_outcome_table_count(const struct rg_outcome_table *t)
{
    return t->count;
}

uint32_t
rg_outcome_table_self(const struct rg_outcome_table *t)
{
    return t->self;
}

struct rg_outcome_table *
rg_outcome_table_create(uint32_t self)
{
    struct rg_outcome_table *t = rg_calloc(1, sizeof(*t));

    t->self = self;
    return t;
}

void
rg_outcome_table_destroy(struct rg_outcome_table *t)
{
    free(t);
}
