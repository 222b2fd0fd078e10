#include "balance/announce.h"

/* A lease is renewed three times within its lifetime. */
#define RENEW_MS (RG_ANNOUNCE_TTL_MS / 3)
#define RETRY_MIN_MS 1000
#define RETRY_JITTER_MS 2000

struct rg_announce_step
rg_announce_next(const struct rg_announce *a, uint64_t now_ms)
{
    struct rg_announce_step step = {
        .kind = RG_ANNOUNCE_WAIT, .at_ms = a->next_ms, .lease = a->lease};

    if (now_ms < a->next_ms) {
        return step;
    }
    if (a->lease == 0) {
        step.kind = RG_ANNOUNCE_LEASE;
    }
    else {
        step.kind = a->written ? RG_ANNOUNCE_RENEW : RG_ANNOUNCE_WRITE;
    }
    return step;
}

static void
forget_lease(struct rg_announce *a)
{
    a->lease = 0;
    a->written = false;
}

void
rg_announce_result(struct rg_announce *a, enum rg_announce_kind kind,
                   enum rg_announce_outcome outcome, uint64_t lease,
                   uint64_t now_ms)
{
    if (outcome == RG_ANNOUNCE_FAILED) {
        a->next_ms =
            now_ms + RETRY_MIN_MS + rg_rand_below(&a->rand, RETRY_JITTER_MS);
        return;
    }
    a->next_ms = now_ms;
    if (outcome == RG_ANNOUNCE_NO_LEASE) {
        forget_lease(a);
        return;
    }
    switch (kind) {
    case RG_ANNOUNCE_LEASE:
        a->lease = lease;
        break;
    case RG_ANNOUNCE_WRITE:
        a->written = true;
        a->next_ms = now_ms + RENEW_MS;
        break;
    default:
        a->next_ms = now_ms + RENEW_MS;
        break;
    }
}
