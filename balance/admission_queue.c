#include "balance/admission_queue.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

struct rg_admission_queue {
    /* By class, then by arrival. */
    struct rg_queued_opening openings[RG_ADMISSION_QUEUE_MAX];
    size_t count;
    uint32_t free_slots[RG_ADMISSION_QUEUE_MAX];
};

struct rg_admission_queue *
rg_admission_queue_create(void)
{
    struct rg_admission_queue *q = rg_calloc(1, sizeof(*q));

    for (uint32_t i = 0; i < RG_ADMISSION_QUEUE_MAX; i++) {
        q->free_slots[i] = i;
    }
    return q;
}

void
rg_admission_queue_destroy(struct rg_admission_queue *q)
{
    free(q);
}

bool
rg_admission_queue_add(struct rg_admission_queue *q,
                       struct rg_queued_opening *opening)
{
    size_t i = q->count;

    if (q->count == RG_ADMISSION_QUEUE_MAX) {
        return false;
    }
    opening->slot = q->free_slots[q->count];
    while (i > 0 && q->openings[i - 1].class > opening->class) {
        i--;
    }
    memmove(&q->openings[i + 1], &q->openings[i],
            (q->count - i) * sizeof(q->openings[0]));
    q->openings[i] = *opening;
    q->count++;
    return true;
}

bool
rg_admission_queue_has(const struct rg_admission_queue *q,
                       const struct rg_segment *opening)
{
    for (size_t i = 0; i < q->count; i++) {
        const struct rg_segment *s = &q->openings[i].segment;
        if (s->seq == opening->seq &&
            memcmp(&s->flow, &opening->flow, sizeof(s->flow)) == 0)
        {
            return true;
        }
    }
    return false;
}

bool
rg_admission_queue_take(
    struct rg_admission_queue *q,
    bool (*is_due)(void *ctx, const struct rg_queued_opening *opening),
    void *ctx, struct rg_queued_opening *out)
{
    for (size_t i = 0; i < q->count; i++) {
        if (!is_due(ctx, &q->openings[i])) {
            continue;
        }
        *out = q->openings[i];
        q->count--;
        memmove(&q->openings[i], &q->openings[i + 1],
                (q->count - i) * sizeof(q->openings[0]));
        q->free_slots[q->count] = out->slot;
        return true;
    }
    return false;
}

size_t
rg_admission_queue_count(const struct rg_admission_queue *q)
{
    return q->count;
}
