/* Registration of this instance in the store, so that others find it: a key
 * bound to a lease that is renewed. Determines the next call to make; no I/O;
 * the time is passed in; one owner.
 *
 * A store restored from an older copy has lost the key or the lease, and may
 * hand out the same id again, so that a renewal seems to succeed: in a new era
 * of the store the instance registers again. */
#ifndef RG_BALANCE_REGISTRATION_H
#define RG_BALANCE_REGISTRATION_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rand.h"

/* Time to live of the lease. The key disappears this long after the last
 * renewal. */
#define RG_REGISTRATION_TTL_MS 30000

enum rg_registration_kind {
    RG_REGISTRATION_WAIT,  /* make no call before at_ms */
    RG_REGISTRATION_LEASE, /* request a lease */
    RG_REGISTRATION_WRITE, /* write the key under `lease` */
    RG_REGISTRATION_RENEW, /* renew `lease` */
};

struct rg_registration_step {
    enum rg_registration_kind kind;
    uint64_t at_ms;
    uint64_t lease;
};

enum rg_registration_result {
    RG_REGISTRATION_OK,
    RG_REGISTRATION_NO_LEASE, /* the store does not know the lease, or no
                                 longer */
    RG_REGISTRATION_FAILED,   /* no answer, or an error */
};

/* Zero-initialise it and set the seed. */
struct rg_registration {
    struct rg_rand rand;
    uint64_t lease; /* 0: none */
    bool written;
    uint32_t era; /* highest known of the store */
    uint64_t next_ms;
};

struct rg_registration_step
rg_registration_next(const struct rg_registration *r, uint64_t now_ms);

/* Reports the result of the call that rg_registration_next() asked for.
 * `lease` is the new lease after RG_REGISTRATION_LEASE. */
void rg_registration_done(struct rg_registration *r,
                          enum rg_registration_kind kind,
                          enum rg_registration_result result, uint64_t lease,
                          uint64_t now_ms);

/* The same for an answer of the store in its era `era`. One in an older era
 * counts as failed. */
void rg_registration_answered(struct rg_registration *r,
                              enum rg_registration_kind kind,
                              enum rg_registration_result result,
                              uint64_t lease, uint32_t era, uint64_t now_ms);

/* The store is known to be in this era. If it is new, drops the lease. May be
 * called during a call, whose result is then ignored unless it is a new lease
 * of that era. Returns true if the lease was dropped. */
bool rg_registration_set_era(struct rg_registration *r, uint32_t era,
                             uint64_t now_ms);

#endif
