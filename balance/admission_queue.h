/* Openings that wait for room at their service, in order of importance and
 * arrival. Bounded; no I/O; one owner. */
#ifndef RG_BALANCE_ADMISSION_QUEUE_H
#define RG_BALANCE_ADMISSION_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/segment.h"

/* Openings that wait at a time; about 100 bytes each here, and their packets.
 */
#define RG_ADMISSION_QUEUE_MAX 512

struct rg_queued_opening {
    struct rg_segment segment;
    uint32_t slot; /* identifies it to the holder of the packet, below
                      RG_ADMISSION_QUEUE_MAX */
    uint32_t service;
    uint32_t class;    /* 0 is the most important */
    uint64_t until_ms; /* refused if there is no room by then */
};

struct rg_admission_queue;

struct rg_admission_queue *rg_admission_queue_create(void);
void rg_admission_queue_destroy(struct rg_admission_queue *q);

/* Adds an opening and sets its slot; false if there is no space left. */
bool rg_admission_queue_add(struct rg_admission_queue *q,
                            struct rg_queued_opening *opening);

/* True if a copy of this opening waits. */
bool rg_admission_queue_has(const struct rg_admission_queue *q,
                            const struct rg_segment *opening);

/* Calls `is_due` for the waiting openings, the most important first and the
 * oldest of these first, and removes the first for which it returns true.
 * False if there is none. */
bool rg_admission_queue_take(
    struct rg_admission_queue *q,
    bool (*is_due)(void *ctx, const struct rg_queued_opening *opening),
    void *ctx, struct rg_queued_opening *out);

size_t rg_admission_queue_count(const struct rg_admission_queue *q);

#endif
