/* Registration of this instance in the store, so that others find it: a key
 * bound to a lease that is renewed. Determines the next call to make; no I/O;
 * the time is passed in; one owner. */
#ifndef RG_BALANCE_ANNOUNCE_H
#define RG_BALANCE_ANNOUNCE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rand.h"

/* Time to live of the lease. The key disappears this long after the last
 * renewal. */
#define RG_ANNOUNCE_TTL_MS 30000

enum rg_announce_kind {
    RG_ANNOUNCE_WAIT,  /* make no call before at_ms */
    RG_ANNOUNCE_LEASE, /* request a lease */
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
    RG_ANNOUNCE_NO_LEASE, /* the store does not know the lease, or no longer */
    RG_ANNOUNCE_FAILED,   /* no answer, or an error */
};

/* Zero-initialise it and set the seed. */
struct rg_announce {
    struct rg_rand rand;
    uint64_t lease; /* 0: none */
    bool written;
    uint64_t next_ms;
};

struct rg_announce_step rg_announce_next(const struct rg_announce *a,
                                         uint64_t now_ms);

/* Reports the result of the call that rg_announce_next() asked for. `lease` is
 * the new lease after RG_ANNOUNCE_LEASE. */
void rg_announce_result(struct rg_announce *a, enum rg_announce_kind kind,
                        enum rg_announce_outcome outcome, uint64_t lease,
                        uint64_t now_ms);

#endif
