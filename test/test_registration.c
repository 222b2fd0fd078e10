/* Announcing an instance: lease, key, renewals, and what happens without. */
#include <glib.h>

#include "balance/registration.h"

static void
done(struct rg_registration *a, enum rg_registration_kind kind, uint64_t lease,
     uint64_t now)
{
    g_assert_cmpint(rg_registration_next(a, now).kind, ==, kind);
    rg_registration_done(a, kind, RG_REGISTRATION_OK, lease, now);
}

static void
test_course(void)
{
    struct rg_registration a = {.rand = {.state = 1}};
    uint64_t now = 1000;

    done(&a, RG_REGISTRATION_LEASE, 77, now);
    g_assert_cmpuint(rg_registration_next(&a, now).lease, ==, 77);
    done(&a, RG_REGISTRATION_WRITE, 0, now);
    for (int i = 0; i < 10; i++) {
        struct rg_registration_step step = rg_registration_next(&a, now);
        g_assert_cmpint(step.kind, ==, RG_REGISTRATION_WAIT);
        g_assert_cmpuint(step.at_ms - now, <=, RG_REGISTRATION_TTL_MS / 3);
        now = step.at_ms;
        done(&a, RG_REGISTRATION_RENEW, 0, now);
    }
}

/* The lease ended while the process was paused: all is done anew. */
static void
test_lease_lost(void)
{
    struct rg_registration a = {.rand = {.state = 1}};

    done(&a, RG_REGISTRATION_LEASE, 77, 1000);
    done(&a, RG_REGISTRATION_WRITE, 0, 1000);
    rg_registration_done(&a, RG_REGISTRATION_RENEW, RG_REGISTRATION_NO_LEASE,
                         0, 90000);
    done(&a, RG_REGISTRATION_LEASE, 78, 90000);
    rg_registration_done(&a, RG_REGISTRATION_WRITE, RG_REGISTRATION_NO_LEASE,
                         0, 90000);
    done(&a, RG_REGISTRATION_LEASE, 79, 90000);
    done(&a, RG_REGISTRATION_WRITE, 0, 90000);
}

/* A write without an answer may have taken effect: it is repeated, with a
 * pause, which does no harm. */
static void
test_failures(void)
{
    struct rg_registration a = {.rand = {.state = 1}};
    uint64_t now = 1000;

    for (int i = 0; i < 20; i++) {
        rg_registration_done(&a, RG_REGISTRATION_LEASE, RG_REGISTRATION_FAILED,
                             0, now);
        struct rg_registration_step step = rg_registration_next(&a, now);
        g_assert_cmpint(step.kind, ==, RG_REGISTRATION_WAIT);
        g_assert_cmpuint(step.at_ms - now, >=, 1000);
        g_assert_cmpuint(step.at_ms - now, <, 3000);
        now = step.at_ms;
    }
    done(&a, RG_REGISTRATION_LEASE, 5, now);
    rg_registration_done(&a, RG_REGISTRATION_WRITE, RG_REGISTRATION_FAILED, 0,
                         now);
    now = rg_registration_next(&a, now).at_ms;
    done(&a, RG_REGISTRATION_WRITE, 0, now);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/announce/course", test_course);
    g_test_add_func("/announce/lease-lost", test_lease_lost);
    g_test_add_func("/announce/failures", test_failures);
    return g_test_run();
}
