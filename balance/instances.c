#include "balance/instances.h"

#include <stdlib.h>

#include "common/mem.h"

struct rg_instances {
    struct rg_instance all[RG_INSTANCES_MAX];
    size_t count;
    uint32_t listing;
    bool complete;
};

static struct rg_instance *
find(struct rg_instances *x, uint32_t id)
{
    for (size_t i = 0; i < x->count; i++) {
        if (x->all[i].id == id) {
            return &x->all[i];
        }
    }
    return NULL;
}

static bool
is_outdated(const struct rg_instance *instance, uint64_t now_ms)
{
    return instance->removed_ms != 0 &&
           now_ms - instance->removed_ms >= RG_INSTANCES_REMOVED_KEPT_MS;
}

static void
forget_outdated(struct rg_instances *x, uint64_t now_ms)
{
    size_t kept = 0;

    for (size_t i = 0; i < x->count; i++) {
        if (!is_outdated(&x->all[i], now_ms)) {
            x->all[kept++] = x->all[i];
        }
    }
    x->count = kept;
}

/* Entry for an instance, NULL if the table is full. */
static struct rg_instance *
get_entry(struct rg_instances *x, uint32_t id)
{
    struct rg_instance *instance = find(x, id);

    if (instance || x->count == RG_INSTANCES_MAX) {
        return instance;
    }
    instance = &x->all[x->count++];
    *instance = (struct rg_instance){.id = id};
    return instance;
}

void
rg_instances_update(struct rg_instances *x, uint32_t id,
                    const struct rg_addr *addr, uint64_t revision)
{
    struct rg_instance *instance = get_entry(x, id);

    if (!instance || instance->revision > revision) {
        return;
    }
    *instance = (struct rg_instance){
        .id = id, .addr = *addr, .revision = revision, .listing = x->listing};
}

void
rg_instances_remove(struct rg_instances *x, uint32_t id, uint64_t revision,
                    uint64_t now_ms)
{
    forget_outdated(x, now_ms);
    struct rg_instance *instance = find(x, id);
    if (!instance || instance->revision >= revision) {
        return;
    }
    instance->revision = revision;
    instance->removed_ms =
        instance->removed_ms ? instance->removed_ms : now_ms;
}

void
rg_instances_begin_listing(struct rg_instances *x)
{
    x->listing++;
}

void
rg_instances_end_listing(struct rg_instances *x, uint64_t revision,
                         uint64_t now_ms)
{
    for (size_t i = 0; i < x->count; i++) {
        struct rg_instance *instance = &x->all[i];
        if (instance->listing != x->listing && instance->removed_ms == 0 &&
            instance->revision <= revision)
        {
            instance->removed_ms = now_ms;
            instance->revision = revision;
        }
    }
    forget_outdated(x, now_ms);
    x->complete = true;
}

bool
rg_instances_are_complete(const struct rg_instances *x)
{
    return x->complete;
}

size_t
rg_instances_count(const struct rg_instances *x)
{
    return x->count;
}

const struct rg_instance *
rg_instances_at(const struct rg_instances *x, size_t i)
{
    return &x->all[i];
}

bool
rg_instance_counts(const struct rg_instance *instance, uint64_t now_ms)
{
    return instance->removed_ms == 0 ||
           now_ms - instance->removed_ms < RG_INSTANCES_GRACE_MS;
}

struct rg_instances *
rg_instances_create(void)
{
    return rg_calloc(1, sizeof(struct rg_instances));
}

void
rg_instances_destroy(struct rg_instances *x)
{
    free(x);
}
