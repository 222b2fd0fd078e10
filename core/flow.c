#include "core/flow.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "common/mem.h"
#include "common/rand.h"

#define LIST_END 0xffffffu
/* Opening and refused records may fill this fraction of the table. */
#define OPENING_QUOTA_DIV 4
/* An established record may be evicted after this fraction of its expiry. */
#define EVICT_IDLE_DIV 4
/* Index slots per record. */
#define INDEX_SLOTS_PER_RECORD 2

_Static_assert(sizeof(struct rg_flow) == 64, "a record is one cache line");

struct list {
    uint32_t head; /* least recently used */
    uint32_t tail;
    uint32_t count;
};

struct rg_flow_table {
    struct rg_flow_table_opts opts;
    struct rg_flow *records;
    uint64_t *index; /* high half: hash bits; low half: record number + 1 */
    uint32_t mask;
    uint32_t free_head;
    uint32_t count;
    uint32_t opening_quota;
    uint64_t evictions;
    /* UDP flows expire sooner than TCP ones, so they are listed apart. */
    struct list lists[RG_FLOW_STATES];
    struct list udp;
};

static uint32_t
number_of(const struct rg_flow_table *t, const struct rg_flow *f)
{
    return (uint32_t)(f - t->records);
}

static struct list *
list_of(struct rg_flow_table *t, const struct rg_flow *f)
{
    if (f->state == RG_FLOW_ESTABLISHED && f->key.proto == RG_PROTO_UDP) {
        return &t->udp;
    }
    return &t->lists[f->state];
}

static void
list_remove(struct rg_flow_table *t, struct rg_flow *f)
{
    struct list *l = list_of(t, f);

    if (f->prev == LIST_END) {
        l->head = f->next;
    }
    else {
        t->records[f->prev].next = f->next;
    }
    if (f->next == LIST_END) {
        l->tail = f->prev;
    }
    else {
        t->records[f->next].prev = f->prev;
    }
    l->count--;
}

static void
list_append(struct rg_flow_table *t, struct rg_flow *f)
{
    struct list *l = list_of(t, f);
    uint32_t n = number_of(t, f);

    f->prev = l->tail;
    f->next = LIST_END;
    if (l->tail == LIST_END) {
        l->head = n;
    }
    else {
        t->records[l->tail].next = n;
    }
    l->tail = n;
    l->count++;
}

static uint32_t
hash_tag(uint64_t hash)
{
    return (uint32_t)(hash >> 32);
}

/* The table is indexed by the tag, so that moving a slot needs no key. */
static uint32_t
home_slot(const struct rg_flow_table *t, uint32_t tag)
{
    return (uint32_t)rg_mix64(tag) & t->mask;
}

static uint64_t
slot_of(uint32_t tag, uint32_t number)
{
    return (uint64_t)tag << 32 | (number + 1);
}

static void
index_add(struct rg_flow_table *t, uint32_t tag, uint32_t number)
{
    uint32_t i = home_slot(t, tag);

    while (t->index[i] != 0) {
        i = (i + 1) & t->mask;
    }
    t->index[i] = slot_of(tag, number);
}

/* Removes slot `hole` and moves later slots of its run back over it. */
static void
index_close(struct rg_flow_table *t, uint32_t hole)
{
    uint32_t i = hole;

    for (;;) {
        i = (i + 1) & t->mask;
        if (t->index[i] == 0) {
            break;
        }
        uint32_t home = home_slot(t, (uint32_t)(t->index[i] >> 32));
        if (((i - home) & t->mask) >= ((i - hole) & t->mask)) {
            t->index[hole] = t->index[i];
            hole = i;
        }
    }
    t->index[hole] = 0;
}

static void
index_remove(struct rg_flow_table *t, const struct rg_flow *f)
{
    uint32_t tag = hash_tag(rg_flow_hash(&f->key, t->opts.hash_seed));
    uint64_t slot = slot_of(tag, number_of(t, f));
    uint32_t i = home_slot(t, tag);

    while (t->index[i] != slot) {
        i = (i + 1) & t->mask;
    }
    index_close(t, i);
}

static uint32_t
idle_limit(const struct rg_flow_table *t, const struct rg_flow *f)
{
    if (f->state == RG_FLOW_ESTABLISHED && f->key.proto == RG_PROTO_UDP) {
        return t->opts.udp_idle_ms;
    }
    return t->opts.idle_ms[f->state];
}

static void
drop(struct rg_flow_table *t, struct rg_flow *f)
{
    if (t->opts.on_drop) {
        t->opts.on_drop(t->opts.ctx, f);
    }
    rg_flow_remove(t, f);
}

static bool
drop_head(struct rg_flow_table *t, struct list *l)
{
    if (l->head == LIST_END) {
        return false;
    }
    t->evictions++;
    drop(t, &t->records[l->head]);
    return true;
}

static bool
drop_idle_head(struct rg_flow_table *t, struct list *l, uint32_t now_ms)
{
    if (l->head == LIST_END) {
        return false;
    }
    const struct rg_flow *f = &t->records[l->head];
    if (now_ms - f->seen_ms < idle_limit(t, f) / EVICT_IDLE_DIV) {
        return false;
    }
    return drop_head(t, l);
}

static bool
make_room(struct rg_flow_table *t, uint32_t now_ms)
{
    return drop_head(t, &t->lists[RG_FLOW_HELD]) ||
           drop_head(t, &t->lists[RG_FLOW_REFUSED]) ||
           drop_head(t, &t->lists[RG_FLOW_CLOSING]) ||
           drop_head(t, &t->lists[RG_FLOW_OPENING]) ||
           drop_idle_head(t, &t->udp, now_ms) ||
           drop_idle_head(t, &t->lists[RG_FLOW_ESTABLISHED], now_ms);
}

static void
enforce_opening_quota(struct rg_flow_table *t)
{
    struct list *refused = &t->lists[RG_FLOW_REFUSED];
    struct list *opening = &t->lists[RG_FLOW_OPENING];
    struct list *held = &t->lists[RG_FLOW_HELD];

    if (refused->count + opening->count + held->count < t->opening_quota) {
        return;
    }
    if (!drop_head(t, held) && !drop_head(t, refused)) {
        drop_head(t, opening);
    }
}

static uint32_t
expire_list(struct rg_flow_table *t, struct list *l, uint32_t now_ms,
            uint32_t budget)
{
    uint32_t gone = 0;

    while (gone < budget && l->head != LIST_END) {
        struct rg_flow *f = &t->records[l->head];
        if (now_ms - f->seen_ms < idle_limit(t, f)) {
            break;
        }
        drop(t, f);
        gone++;
    }
    return gone;
}

uint64_t
rg_flow_hash(const struct rg_flow_key *key, uint64_t seed)
{
    return XXH3_64bits_withSeed(key, sizeof(*key), seed);
}

struct rg_flow_table *
rg_flow_table_create(const struct rg_flow_table_opts *opts)
{
    struct rg_flow_table *t = rg_calloc(1, sizeof(*t));
    uint32_t slots = 16;

    t->opts = *opts;
    while (slots < opts->capacity * INDEX_SLOTS_PER_RECORD) {
        slots *= 2;
    }
    t->mask = slots - 1;
    t->index = rg_calloc(slots, sizeof(*t->index));
    t->records = rg_calloc(opts->capacity, sizeof(*t->records));
    t->opening_quota = opts->capacity / OPENING_QUOTA_DIV;
    for (uint32_t i = 0; i < opts->capacity; i++) {
        t->records[i].state = RG_FLOW_FREE;
        t->records[i].next = i + 1 < opts->capacity ? i + 1 : LIST_END;
    }
    for (int s = 0; s < RG_FLOW_STATES; s++) {
        t->lists[s] = (struct list){LIST_END, LIST_END, 0};
    }
    t->udp = (struct list){LIST_END, LIST_END, 0};
    return t;
}

void
rg_flow_table_destroy(struct rg_flow_table *t)
{
    if (!t) {
        return;
    }
    free(t->index);
    free(t->records);
    free(t);
}

struct rg_flow *
rg_flow_find(struct rg_flow_table *t, const struct rg_flow_key *key,
             uint64_t hash)
{
    uint32_t tag = hash_tag(hash);
    uint32_t i = home_slot(t, tag);

    for (; t->index[i] != 0; i = (i + 1) & t->mask) {
        if ((uint32_t)(t->index[i] >> 32) != tag) {
            continue;
        }
        struct rg_flow *f = &t->records[(uint32_t)t->index[i] - 1];
        if (memcmp(&f->key, key, sizeof(*key)) == 0) {
            return f;
        }
    }
    return NULL;
}

struct rg_flow *
rg_flow_insert(struct rg_flow_table *t, const struct rg_flow_key *key,
               uint64_t hash, enum rg_flow_state state, uint32_t now_ms)
{
    if (state == RG_FLOW_OPENING || state == RG_FLOW_REFUSED ||
        state == RG_FLOW_HELD)
    {
        enforce_opening_quota(t);
    }
    if (t->free_head == LIST_END && !make_room(t, now_ms)) {
        return NULL;
    }
    uint32_t n = t->free_head;
    struct rg_flow *f = &t->records[n];
    t->free_head = f->next;
    memset(f, 0, sizeof(*f));
    f->key = *key;
    f->upstream = RG_FLOW_NO_UPSTREAM;
    f->peer = RG_FLOW_NO_PEER;
    f->state = state;
    f->seen_ms = now_ms;
    f->kept_ms = now_ms;
    index_add(t, hash_tag(hash), n);
    list_append(t, f);
    t->count++;
    return f;
}

void
rg_flow_touch(struct rg_flow_table *t, struct rg_flow *f,
              enum rg_flow_state state, uint32_t now_ms)
{
    list_remove(t, f);
    f->state = state;
    f->seen_ms = now_ms;
    list_append(t, f);
}

void
rg_flow_remove(struct rg_flow_table *t, struct rg_flow *f)
{
    index_remove(t, f);
    list_remove(t, f);
    f->state = RG_FLOW_FREE;
    f->next = t->free_head;
    t->free_head = number_of(t, f);
    t->count--;
}

uint32_t
rg_flow_expire(struct rg_flow_table *t, uint32_t now_ms, uint32_t budget)
{
    uint32_t gone = 0;

    for (int s = 0; s < RG_FLOW_STATES; s++) {
        gone += expire_list(t, &t->lists[s], now_ms, budget - gone);
    }
    return gone + expire_list(t, &t->udp, now_ms, budget - gone);
}

uint32_t
rg_flow_count(const struct rg_flow_table *t)
{
    return t->count;
}

uint32_t
rg_flow_count_state(const struct rg_flow_table *t, enum rg_flow_state state)
{
    uint32_t count = t->lists[state].count;

    return state == RG_FLOW_ESTABLISHED ? count + t->udp.count : count;
}

uint64_t
rg_flow_evictions(const struct rg_flow_table *t)
{
    return t->evictions;
}

struct rg_flow *
rg_flow_at(struct rg_flow_table *t, uint32_t from, uint32_t *at)
{
    for (uint32_t i = from; i < t->opts.capacity; i++) {
        if (t->records[i].state != RG_FLOW_FREE) {
            *at = i;
            return &t->records[i];
        }
    }
    return NULL;
}
