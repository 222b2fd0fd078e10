/* The operator evacuates one data centre at a time. From SOAK_EVACUATE_MS
 * after the store has accepted that, no opening may reach an upstream there.
 */
#include <stdio.h>

#include "standin/soak/soak.h"

#define TICK_MS 10
/* Mean time until a data centre is evacuated, and until that is lifted after
 * LIFT_MIN_MS, so that the check sees openings of some time. */
#define REQUEST_PERIOD_MS 1500
#define LIFT_PERIOD_MS 1500
#define LIFT_MIN_MS (SOAK_EVACUATE_MS + 2000)
/* Openings may be that long on their way: LATE_MAX_MS in fabric.c and a tick.
 */
#define ON_THE_WAY_MS 710

/* Each service must keep an upstream that works: no new evacuation without. */
static bool
others_can_serve(const struct soak *s, int data_centre)
{
    int working[SOAK_SERVICE_COUNT] = {0};

    for (int i = 0; i < s->upstream_count; i++) {
        const struct soak_upstream *u = &s->upstreams[i];
        if (u->index % SOAK_DATA_CENTRE_COUNT != data_centre && !u->crashed &&
            !u->draining)
        {
            working[u->service]++;
        }
    }
    for (int i = 0; i < SOAK_SERVICE_COUNT; i++) {
        if (working[i] == 0) {
            return false;
        }
    }
    return true;
}

static void
write_key(struct soak *s, const char *key, bool evacuated)
{
    if (evacuated) {
        soak_store_put(s, key, "{}");
    }
    else {
        soak_store_remove(s, key);
    }
}

static void
set_evacuated(struct soak *s, int data_centre, bool evacuated)
{
    char key[32];

    snprintf(key, sizeof(key), "op/evacuate/z%d", data_centre);
    soak_log(s, "%s %s", evacuated ? "put" : "remove", key);
    s->evacuated_ms[data_centre] = evacuated ? s->now_ms : 0;
    write_key(s, key, evacuated);
}

void
soak_evacuations_restored(struct soak *s, uint64_t copy_ms)
{
    for (int dc = 0; dc < SOAK_DATA_CENTRE_COUNT; dc++) {
        if (s->evacuated_ms[dc] > copy_ms) {
            s->evacuated_ms[dc] = s->now_ms;
        }
    }
}

void
soak_evacuations_rewrite(struct soak *s)
{
    char key[32];

    for (int dc = 0; dc < SOAK_DATA_CENTRE_COUNT; dc++) {
        bool evacuated = s->evacuated_ms[dc] != 0;
        snprintf(key, sizeof(key), "op/evacuate/z%d", dc);
        if (evacuated && !soak_store_has(s, key)) {
            s->evacuated_ms[dc] = s->now_ms;
        }
        write_key(s, key, evacuated);
    }
}

void
soak_evacuation_tick(struct soak *s)
{
    bool faults_on = s->now_ms < s->faults_end_ms;

    for (int dc = 0; dc < SOAK_DATA_CENTRE_COUNT; dc++) {
        if (!s->evacuated_ms[dc]) {
            continue;
        }
        if (!faults_on ||
            (s->now_ms - s->evacuated_ms[dc] > LIFT_MIN_MS &&
             rg_rand_below(&s->noise_rand, LIFT_PERIOD_MS / TICK_MS) == 0))
        {
            set_evacuated(s, dc, false);
        }
        return;
    }
    if (faults_on &&
        rg_rand_below(&s->noise_rand, REQUEST_PERIOD_MS / TICK_MS) == 0)
    {
        int dc = (int)rg_rand_below(&s->noise_rand, SOAK_DATA_CENTRE_COUNT);
        if (others_can_serve(s, dc)) {
            set_evacuated(s, dc, true);
        }
    }
}

void
soak_evacuation_check_opening(struct soak *s, const struct soak_upstream *u,
                              const struct soak_edge *edge)
{
    uint64_t since_ms = s->evacuated_ms[u->index % SOAK_DATA_CENTRE_COUNT];

    if (since_ms && s->now_ms - since_ms > SOAK_EVACUATE_MS + ON_THE_WAY_MS) {
        soak_fail(s,
                  "edge %d sent an opening to upstream %d %lu ms after its "
                  "data centre was evacuated",
                  edge->index, u->index, s->now_ms - since_ms);
    }
}
