/* Announcing this instance in the store, so that others find it: a key bound
 * to a lease that is renewed. Says which call is next; no I/O; time is passed
 * in; one owner. */
#ifndef RG_BALANCE_REGISTRATION_H
#define RG_BALANCE_REGISTRATION_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rand.h"

/* Life of the lease: a key outlives its instance by this at most. */
#define RG_REGISTRATION_TTL_MS 30000

enum rg_registration_kind {
    RG_REGISTRATION_WAIT,  /* nothing before at_ms */
    RG_REGISTRATION_LEASE, /* ask for a lease */
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
    RG_REGISTRATION_NO_LEASE, /* the store does not know the lease (any more)
                               */
    RG_REGISTRATION_FAILED,   /* no answer, or refused */
};

/* Zero-initialise it, with a seed. */
struct rg_registration {
    struct rg_rand rand;
    uint64_t lease; /* 0: none */
    bool written;
    uint64_t next_ms;
};

struct rg_registration_step
rg_registration_next(const struct rg_registration *a, uint64_t now_ms);

/* The call that rg_registration_next() asked for came to an end. `lease` is
 * the new one, if it was RG_REGISTRATION_LEASE. */
void rg_registration_done(struct rg_registration *a,
                          enum rg_registration_kind kind,
                          enum rg_registration_result outcome, uint64_t lease,
                          uint64_t now_ms);

#endif
