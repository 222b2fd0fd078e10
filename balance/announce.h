/* Announcing this instance in the store, so that others find it: a key bound
 * to a lease that is renewed. Says which call is next; no I/O; time is passed
 * in; one owner. */
#ifndef RG_BALANCE_ANNOUNCE_H
#define RG_BALANCE_ANNOUNCE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rand.h"

/* Life of the lease: a key outlives its instance by this at most. */
#define RG_ANNOUNCE_TTL_MS 30000

enum rg_announce_kind {
    RG_ANNOUNCE_WAIT,  /* nothing before at_ms */
    RG_ANNOUNCE_LEASE, /* ask for a lease */
    RG_ANNOUNCE_WRITE, /* write the key under `lease` */
    RG_ANNOUNCE_RENEW, /* renew `lease` */
};

struct rg_announce_step {
    enum rg_announce_kind kind;
    uint64_t at_ms;
    uint64_t lease;
};

enum rg_announce_outcome {
    RG_ANNOUNCE_DONE,
    RG_ANNOUNCE_NO_LEASE, /* the store does not know the lease (any more) */
    RG_ANNOUNCE_FAILED,   /* no answer, or refused */
};

/* Zero-initialise it, with a seed. */
struct rg_announce {
    struct rg_rand rand;
    uint64_t lease; /* 0: none */
    bool written;
    uint64_t next_ms;
};

struct rg_announce_step rg_announce_next(const struct rg_announce *a,
                                         uint64_t now_ms);

/* The call that rg_announce_next() asked for came to an end. `lease` is the
 * new one, if it was RG_ANNOUNCE_LEASE. */
void rg_announce_result(struct rg_announce *a, enum rg_announce_kind kind,
                        enum rg_announce_outcome outcome, uint64_t lease,
                        uint64_t now_ms);

#endif
