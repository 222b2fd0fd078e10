/* What a service can do, and how much of it one instance may use. */
#include <glib.h>
#include <math.h>

#include "balance/admission_queue.h"
#include "balance/capacity.h"

#define TICK_MS 100
#define WORK_MS 50
#define SLOTS 10
#define IMPORTANT 1
#define ORDINARY 2

struct load {
    struct rg_capacity c;
    uint64_t now_ms;
    double work_ms; /* of answers */
};

/* Lets ticks pass; in each, this many openings of a class, all answered. */
static int
run(struct load *l, uint32_t class, int ticks, int openings)
{
    int admitted = 0;

    for (int i = 0; i < ticks; i++) {
        for (int k = 0; k < openings; k++) {
            l->now_ms += TICK_MS / (unsigned)openings;
            rg_capacity_count_opening(&l->c, class);
            if (rg_capacity_take(&l->c, class, l->now_ms)) {
                admitted++;
                rg_capacity_answered(&l->c, class, l->work_ms);
            }
        }
        l->now_ms = (l->now_ms / TICK_MS + 1) * TICK_MS;
        rg_capacity_tick(&l->c, SLOTS, TICK_MS, l->now_ms);
    }
    return admitted;
}

static struct load
warm(void)
{
    struct load l = {.now_ms = 1000, .work_ms = WORK_MS};

    run(&l, ORDINARY, 50, 4);
    return l;
}

/* Nothing is known: an instance that has just started refuses nothing. */
static void
test_unknown(void)
{
    struct rg_capacity c = {0};

    for (int i = 0; i < 1000; i++) {
        g_assert_true(rg_capacity_take(&c, ORDINARY, 1));
    }
    g_assert_true(isinf(rg_capacity_per_s(&c)));
}

/* What is sent is limited at once, before any answer is late: 10 slots do 20
 * requests in 100 ms. */
static void
test_step(void)
{
    struct load l = warm();
    int admitted = run(&l, ORDINARY, 3, 100);

    g_assert_cmpint(admitted, >=, 50);
    g_assert_cmpint(admitted, <=, 80);
}

/* The other class has taken all that it may: the more important one finds room
 * at once. */
static void
test_importance(void)
{
    struct load l = warm();

    for (int i = 0; i < 50; i++) {
        run(&l, ORDINARY, 1, 50);
        g_assert_cmpint(run(&l, IMPORTANT, 1, 10), ==, 10);
    }
    l.now_ms += TICK_MS;
    while (rg_capacity_take(&l.c, ORDINARY, l.now_ms)) {
    }
    g_assert_true(rg_capacity_take(&l.c, IMPORTANT, l.now_ms));
    g_assert_true(rg_capacity_take(&l.c, IMPORTANT, l.now_ms));
}

/* Answers that waited in queues near the limit do not look like slower work,
 * which would lower the limit; faster work is followed. */
static void
test_queues(void)
{
    struct load l = warm();

    run(&l, ORDINARY, 5, 60);
    l.work_ms = 4 * WORK_MS;
    run(&l, ORDINARY, 100, 60);
    g_assert_cmpfloat(l.c.work_ms, <, WORK_MS * 1.01);
    l.work_ms = WORK_MS / 2.0;
    run(&l, ORDINARY, 200, 60);
    g_assert_cmpfloat(l.c.work_ms, <, WORK_MS * 0.6);
}

/* Work becomes slower under a light load: the limit follows. */
static void
test_slower_work(void)
{
    struct load l = warm();

    l.work_ms = 2 * WORK_MS;
    run(&l, ORDINARY, 100, 2);
    g_assert_cmpfloat(l.c.work_ms, >, WORK_MS * 1.9);
}

/* Shed requests lower the limit, answers raise it; a few are in balance. */
static void
test_shed(void)
{
    struct load l = warm();

    run(&l, ORDINARY, 20, 60);
    double before = l.c.factor;
    for (int i = 0; i < 10; i++) {
        rg_capacity_shed(&l.c);
    }
    g_assert_cmpfloat(l.c.factor, <, before * 0.7);
    run(&l, ORDINARY, 100, 60);
    g_assert_cmpfloat(l.c.factor, >, 1);
}

/* Requests on open flows of the same class use up room, those of a less
 * important class do not. */
static void
test_open_flows(void)
{
    struct load l = warm();

    for (int i = 0; i < 100; i++) {
        for (int k = 0; k < 40; k++) {
            rg_capacity_request(&l.c, ORDINARY);
        }
        run(&l, IMPORTANT, 1, 5);
    }
    g_assert_cmpfloat(l.c.rate, <, SLOTS / 2.0);
    g_assert_cmpint(run(&l, IMPORTANT, 10, 5), ==, 50);
}

/* The expected wait grows with those that wait, and is infinite for a class
 * to which the more important one leaves nothing. */
static void
test_wait(void)
{
    struct load l = warm();

    run(&l, IMPORTANT, 50, 60);
    while (rg_capacity_take(&l.c, IMPORTANT, l.now_ms)) {
    }
    double first = rg_capacity_wait_ms(&l.c, IMPORTANT, l.now_ms);
    l.c.classes[IMPORTANT].waiting = 10;
    double later = rg_capacity_wait_ms(&l.c, IMPORTANT, l.now_ms);
    g_assert_cmpfloat(first, <, 10);
    g_assert_cmpfloat(later, >, first + 40);
    g_assert_true(isinf(rg_capacity_wait_ms(&l.c, ORDINARY, l.now_ms)));
}

static bool
any(void *ctx, const struct rg_queued_opening *o)
{
    (void)ctx;
    (void)o;
    return true;
}

/* Openings leave the queue by importance and then by age; a full queue takes
 * no more, and slots are used again. */
static void
test_queue(void)
{
    struct rg_admission_queue *q = rg_admission_queue_create();
    struct rg_queued_opening o;

    for (uint32_t i = 0; i < RG_ADMISSION_QUEUE_MAX; i++) {
        o = (struct rg_queued_opening){.class = i % 3, .segment.seq = i};
        g_assert_true(rg_admission_queue_add(q, &o));
    }
    g_assert_false(rg_admission_queue_add(q, &o));
    g_assert_true(rg_admission_queue_has(q, &o.segment));
    uint32_t class = 0;
    uint32_t seq = 0;
    for (int i = 0; i < RG_ADMISSION_QUEUE_MAX; i++) {
        g_assert_true(rg_admission_queue_take(q, any, NULL, &o));
        g_assert_cmpuint(o.class, >=, class);
        g_assert_true(o.class > class || o.segment.seq >= seq);
        class = o.class;
        seq = o.segment.seq;
    }
    g_assert_false(rg_admission_queue_take(q, any, NULL, &o));
    g_assert_true(rg_admission_queue_add(q, &o));
    g_assert_cmpuint(o.slot, <, RG_ADMISSION_QUEUE_MAX);
    rg_admission_queue_destroy(q);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/capacity/unknown", test_unknown);
    g_test_add_func("/capacity/step", test_step);
    g_test_add_func("/capacity/importance", test_importance);
    g_test_add_func("/capacity/queues", test_queues);
    g_test_add_func("/capacity/slower-work", test_slower_work);
    g_test_add_func("/capacity/shed", test_shed);
    g_test_add_func("/capacity/open-flows", test_open_flows);
    g_test_add_func("/capacity/wait", test_wait);
    g_test_add_func("/capacity/queue", test_queue);
    return g_test_run();
}
