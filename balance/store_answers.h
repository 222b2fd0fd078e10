/* The latest answers of the store to any instance, as far as is known here.
 *
 * Digests that tell of an answer may wait on their way, so that it seems to be
 * more recent than it is, and come back to those who have passed it on. So an
 * answer has an identity: the instance that got it, and its number there. The
 * same answer arrives by many ways, and its earliest time is the best. No I/O;
 * the time is passed in. */
#ifndef RG_BALANCE_STORE_ANSWERS_H
#define RG_BALANCE_STORE_ANSWERS_H

#include <stdint.h>

/* Instances whose answers are known; few read the store at a time. */
#define RG_STORE_ANSWERS_MAX 8

struct rg_store_answer {
    uint32_t source; /* instance and its start, 0: from an older build's
                        digest, of any instance */
    uint32_t serial; /* a higher one of the same source is later */
    uint64_t at_ms;  /* 0: no answer */
};

/* Zero-initialise it. */
struct rg_store_answers {
    struct rg_store_answer by_source[RG_STORE_ANSWERS_MAX];
};

/* Takes note of an answer. */
void rg_store_answers_note(struct rg_store_answers *s,
                           const struct rg_store_answer *answer);

/* The most recent one; `at_ms` is 0 if none is known. */
const struct rg_store_answer *
rg_store_answers_latest(const struct rg_store_answers *s);

#endif
