#include "balance/registration.h"

/* A lease is renewed three times within its lifetime. */
#define RENEW_MS (RG_REGISTRATION_TTL_MS / 3)
#define RETRY_MIN_MS 1000
#define RETRY_JITTER_MS 2000

struct rg_registration_step
rg_registration_next(const struct rg_registration *r, uint64_t now_ms)
{
    struct rg_registration_step step = {
        .kind = RG_REGISTRATION_WAIT, .at_ms = r->next_ms, .lease = r->lease};

    if (now_ms < r->next_ms) {
        return step;
    }
    if (r->lease == 0) {
        step.kind = RG_REGISTRATION_LEASE;
    }
    else {
        step.kind = r->written ? RG_REGISTRATION_RENEW : RG_REGISTRATION_WRITE;
    }
    return step;
}

static void
forget_lease(struct rg_registration *r)
{
    r->lease = 0;
    r->written = false;
}

void
rg_registration_done(struct rg_registration *r, enum rg_registration_kind kind,
                     enum rg_registration_result result, uint64_t lease,
                     uint64_t now_ms)
{
    if (kind != RG_REGISTRATION_LEASE && r->lease == 0) {
        return; /* dropped during the call */
    }
    if (result == RG_REGISTRATION_FAILED) {
        r->next_ms =
            now_ms + RETRY_MIN_MS + rg_rand_below(&r->rand, RETRY_JITTER_MS);
        return;
    }
    r->next_ms = now_ms;
    if (result == RG_REGISTRATION_NO_LEASE) {
        forget_lease(r);
        return;
    }
    switch (kind) {
    case RG_REGISTRATION_LEASE:
        r->lease = lease;
        break;
    case RG_REGISTRATION_WRITE:
        r->written = true;
        r->next_ms = now_ms + RENEW_MS;
        break;
    default:
        r->next_ms = now_ms + RENEW_MS;
        break;
    }
}

bool
rg_registration_set_era(struct rg_registration *r, uint32_t era,
                        uint64_t now_ms)
{
    bool has_lease = r->lease != 0;

    if (era <= r->era) {
        return false;
    }
    r->era = era;
    if (has_lease) {
        forget_lease(r);
        /* All instances notice at about the same time. */
        r->next_ms = now_ms + rg_rand_below(&r->rand, RETRY_JITTER_MS);
    }
    return has_lease;
}

void
rg_registration_answered(struct rg_registration *r,
                         enum rg_registration_kind kind,
                         enum rg_registration_result result, uint64_t lease,
                         uint32_t era, uint64_t now_ms)
{
    if (era < r->era) {
        rg_registration_done(r, kind, RG_REGISTRATION_FAILED, 0, now_ms);
        return;
    }
    rg_registration_set_era(r, era, now_ms);
    rg_registration_done(r, kind, result, lease, now_ms);
}
