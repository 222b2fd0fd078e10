/* Registration of an instance: lease, key, renewals and failed calls. */
#include <glib.h>

#include "balance/registration.h"

static void
call_succeeds(struct rg_registration *r, enum rg_registration_kind kind,
              uint64_t lease, uint64_t now)
{
    g_assert_cmpint(rg_registration_next(r, now).kind, ==, kind);
    rg_registration_done(r, kind, RG_REGISTRATION_OK, lease, now);
}

/* A registered instance renews its lease three times within its lifetime. */
static void
test_renewal(void)
{
    struct rg_registration r = {.rand = {.state = 1}};
    uint64_t now = 1000;

    call_succeeds(&r, RG_REGISTRATION_LEASE, 77, now);
    g_assert_cmpuint(rg_registration_next(&r, now).lease, ==, 77);
    call_succeeds(&r, RG_REGISTRATION_WRITE, 0, now);
    for (int i = 0; i < 10; i++) {
        struct rg_registration_step step = rg_registration_next(&r, now);
        g_assert_cmpint(step.kind, ==, RG_REGISTRATION_WAIT);
        g_assert_cmpuint(step.at_ms - now, <=, RG_REGISTRATION_TTL_MS / 3);
        now = step.at_ms;
        call_succeeds(&r, RG_REGISTRATION_RENEW, 0, now);
    }
}

/* The lease expired while the process was suspended: the instance registers
 * again. */
static void
test_lease_lost(void)
{
    struct rg_registration r = {.rand = {.state = 1}};

    call_succeeds(&r, RG_REGISTRATION_LEASE, 77, 1000);
    call_succeeds(&r, RG_REGISTRATION_WRITE, 0, 1000);
    rg_registration_done(&r, RG_REGISTRATION_RENEW, RG_REGISTRATION_NO_LEASE,
                         0, 90000);
    call_succeeds(&r, RG_REGISTRATION_LEASE, 78, 90000);
    rg_registration_done(&r, RG_REGISTRATION_WRITE, RG_REGISTRATION_NO_LEASE,
                         0, 90000);
    call_succeeds(&r, RG_REGISTRATION_LEASE, 79, 90000);
    call_succeeds(&r, RG_REGISTRATION_WRITE, 0, 90000);
}

/* A write that got no answer may have taken effect. Retrying it, after a
 * pause, is safe because it is idempotent. */
static void
test_failures(void)
{
    struct rg_registration r = {.rand = {.state = 1}};
    uint64_t now = 1000;

    for (int i = 0; i < 20; i++) {
        rg_registration_done(&r, RG_REGISTRATION_LEASE, RG_REGISTRATION_FAILED,
                             0, now);
        struct rg_registration_step step = rg_registration_next(&r, now);
        g_assert_cmpint(step.kind, ==, RG_REGISTRATION_WAIT);
        g_assert_cmpuint(step.at_ms - now, >=, 1000);
        g_assert_cmpuint(step.at_ms - now, <, 3000);
        now = step.at_ms;
    }
    call_succeeds(&r, RG_REGISTRATION_LEASE, 5, now);
    rg_registration_done(&r, RG_REGISTRATION_WRITE, RG_REGISTRATION_FAILED, 0,
                         now);
    now = rg_registration_next(&r, now).at_ms;
    call_succeeds(&r, RG_REGISTRATION_WRITE, 0, now);
}

/* Guards against an instance that stays unregistered after the store was
 * restored: the lease or the key is lost, and the renewal of an id that was
 * handed out again seems to succeed. Neither that nor the write of a key under
 * the old lease counts, and a lease of the older era is no use. */
static void
test_new_era(void)
{
    struct rg_registration r = {.rand = {.state = 1}};

    call_succeeds(&r, RG_REGISTRATION_LEASE, 77, 1000);
    call_succeeds(&r, RG_REGISTRATION_WRITE, 0, 1000);
    rg_registration_answered(&r, RG_REGISTRATION_RENEW, RG_REGISTRATION_OK, 0,
                             1, 11000);
    struct rg_registration_step step = rg_registration_next(&r, 11000);
    g_assert_cmpint(step.kind, ==, RG_REGISTRATION_WAIT);
    g_assert_cmpuint(step.at_ms, <, 13000);
    rg_registration_answered(&r, RG_REGISTRATION_LEASE, RG_REGISTRATION_OK, 5,
                             0, 13000);
    g_assert_cmpuint(rg_registration_next(&r, 16000).lease, ==, 0);
    rg_registration_answered(&r, RG_REGISTRATION_LEASE, RG_REGISTRATION_OK, 5,
                             1, 16000);
    g_assert_cmpint(rg_registration_next(&r, 16000).kind, ==,
                    RG_REGISTRATION_WRITE);
    /* Another source tells of a restore while the key is written. */
    g_assert_true(rg_registration_set_era(&r, 2, 16000));
    g_assert_false(rg_registration_set_era(&r, 2, 16000));
    rg_registration_answered(&r, RG_REGISTRATION_WRITE, RG_REGISTRATION_OK, 0,
                             2, 16010);
    call_succeeds(&r, RG_REGISTRATION_LEASE, 6, 18010);
    call_succeeds(&r, RG_REGISTRATION_WRITE, 0, 18010);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/registration/renewal", test_renewal);
    g_test_add_func("/registration/lease-lost", test_lease_lost);
    g_test_add_func("/registration/failures", test_failures);
    g_test_add_func("/registration/new-era", test_new_era);
    return g_test_run();
}
