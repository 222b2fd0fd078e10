#include "balance/registration.h"

/* A lease is renewed three times in its life. */
#define RENEW_MS (RG_REGISTRATION_TTL_MS / 3)
#define RETRY_LEAST_MS 1000
#define RETRY_SPREAD_MS 2000

struct rg_registration_step
rg_registration_next(const struct rg_registration *a, uint64_t now_ms)
{
    struct rg_registration_step step = {
        .kind = RG_REGISTRATION_WAIT, .at_ms = a->next_ms, .lease = a->lease};

    if (now_ms < a->next_ms) {
        return step;
    }
    if (a->lease == 0) {
        step.kind = RG_REGISTRATION_LEASE;
    }
    else {
        step.kind = a->written ? RG_REGISTRATION_RENEW : RG_REGISTRATION_WRITE;
    }
    return step;
}

static void
forget_lease(struct rg_registration *a)
{
    a->lease = 0;
    a->written = false;
}

void
rg_registration_done(struct rg_registration *a, enum rg_registration_kind kind,
                     enum rg_registration_result outcome, uint64_t lease,
                     uint64_t now_ms)
{
    if (outcome == RG_REGISTRATION_FAILED) {
        a->next_ms =
            now_ms + RETRY_LEAST_MS + rg_rand_below(&a->rand, RETRY_SPREAD_MS);
        return;
    }
    a->next_ms = now_ms;
    if (outcome == RG_REGISTRATION_NO_LEASE) {
        forget_lease(a);
        return;
    }
    switch (kind) {
    case RG_REGISTRATION_LEASE:
        a->lease = lease;
        break;
    case RG_REGISTRATION_WRITE:
        a->written = true;
        a->next_ms = now_ms + RENEW_MS;
        break;
    default:
        a->next_ms = now_ms + RENEW_MS;
        break;
    }
}
