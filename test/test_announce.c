/* Registration of an instance: lease, key, renewals and failed calls. */
#include <glib.h>

#include "balance/announce.h"

static void
call_succeeds(struct rg_announce *a, enum rg_announce_kind kind,
              uint64_t lease, uint64_t now)
{
    g_assert_cmpint(rg_announce_next(a, now).kind, ==, kind);
    rg_announce_result(a, kind, RG_ANNOUNCE_DONE, lease, now);
}

static void
test_renewal(void)
{
    struct rg_announce a = {.rand = {.state = 1}};
    uint64_t now = 1000;

    call_succeeds(&a, RG_ANNOUNCE_LEASE, 77, now);
    g_assert_cmpuint(rg_announce_next(&a, now).lease, ==, 77);
    call_succeeds(&a, RG_ANNOUNCE_WRITE, 0, now);
    for (int i = 0; i < 10; i++) {
        struct rg_announce_step step = rg_announce_next(&a, now);
        g_assert_cmpint(step.kind, ==, RG_ANNOUNCE_WAIT);
        g_assert_cmpuint(step.at_ms - now, <=, RG_ANNOUNCE_TTL_MS / 3);
        now = step.at_ms;
        call_succeeds(&a, RG_ANNOUNCE_RENEW, 0, now);
    }
}

/* The lease expired while the process was suspended: the instance registers
 * again. */
static void
test_lease_lost(void)
{
    struct rg_announce a = {.rand = {.state = 1}};

    call_succeeds(&a, RG_ANNOUNCE_LEASE, 77, 1000);
    call_succeeds(&a, RG_ANNOUNCE_WRITE, 0, 1000);
    rg_announce_result(&a, RG_ANNOUNCE_RENEW, RG_ANNOUNCE_NO_LEASE, 0, 90000);
    call_succeeds(&a, RG_ANNOUNCE_LEASE, 78, 90000);
    rg_announce_result(&a, RG_ANNOUNCE_WRITE, RG_ANNOUNCE_NO_LEASE, 0, 90000);
    call_succeeds(&a, RG_ANNOUNCE_LEASE, 79, 90000);
    call_succeeds(&a, RG_ANNOUNCE_WRITE, 0, 90000);
}

/* A write that got no answer may have taken effect. It is retried after a
 * pause, which is idempotent. */
static void
test_failures(void)
{
    struct rg_announce a = {.rand = {.state = 1}};
    uint64_t now = 1000;

    for (int i = 0; i < 20; i++) {
        rg_announce_result(&a, RG_ANNOUNCE_LEASE, RG_ANNOUNCE_FAILED, 0, now);
        struct rg_announce_step step = rg_announce_next(&a, now);
        g_assert_cmpint(step.kind, ==, RG_ANNOUNCE_WAIT);
        g_assert_cmpuint(step.at_ms - now, >=, 1000);
        g_assert_cmpuint(step.at_ms - now, <, 3000);
        now = step.at_ms;
    }
    call_succeeds(&a, RG_ANNOUNCE_LEASE, 5, now);
    rg_announce_result(&a, RG_ANNOUNCE_WRITE, RG_ANNOUNCE_FAILED, 0, now);
    now = rg_announce_next(&a, now).at_ms;
    call_succeeds(&a, RG_ANNOUNCE_WRITE, 0, now);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/registration/renewal", test_renewal);
    g_test_add_func("/registration/lease-lost", test_lease_lost);
    g_test_add_func("/registration/failures", test_failures);
    return g_test_run();
}
