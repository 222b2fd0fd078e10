#include "balance/pool.h"

#include <stdlib.h>
#include <string.h>

#include "balance/token.h"
#include "common/mem.h"

#define TABLE_MIN 64

struct service {
    struct rg_name name;
    struct rg_endpoint **boots; /* those of the own data centre first */
    size_t count;
    size_t local; /* of these, in the own data centre */
    size_t room;
};

/* Open addressing by token; a removal rebuilds the run behind it. */
struct table {
    struct rg_endpoint **slots;
    size_t size; /* a power of two */
    size_t used;
};

struct rg_pool {
    struct rg_pool_opts opts;
    struct service *services;
    size_t service_count;
    struct rg_data_centre **places; /* each made once and kept */
    size_t place_count;
    struct table by_token;
    struct table by_id; /* boots with an entry */
    struct rg_endpoint **all;
    size_t count;
    size_t room;
    uint32_t listing;
    bool is_listing;     /* between the begin and the end of a listing */
    bool is_whole;       /* a listing has ended */
    uint32_t added;      /* boots since the last line that told of them */
    uint64_t anybody_ms; /* last sign of life of any boot */
    uint64_t forgotten;  /* greatest revision of a boot that was freed */
};

/* --- tables -------------------------------------------------------------- */

static uint32_t
id_hash(const struct rg_name *id)
{
    return rg_token_of(rg_name_str(id), 0);
}

static uint32_t
key_of(const struct rg_pool *p, const struct table *t,
       const struct rg_endpoint *b)
{
    return t == &p->by_id ? id_hash(&b->id) : b->token;
}

static void
place(const struct rg_pool *p, struct table *t, struct rg_endpoint *b)
{
    size_t i = key_of(p, t, b) & (t->size - 1);

    while (t->slots[i]) {
        i = (i + 1) & (t->size - 1);
    }
    t->slots[i] = b;
}

static void
grow(const struct rg_pool *p, struct table *t)
{
    struct table old = *t;

    t->size = old.size ? old.size * 2 : TABLE_MIN;
    t->slots = rg_calloc(t->size, sizeof(void *));
    for (size_t i = 0; i < old.size; i++) {
        if (old.slots[i]) {
            place(p, t, old.slots[i]);
        }
    }
    free(old.slots);
}

static void
table_add(const struct rg_pool *p, struct table *t, struct rg_endpoint *b)
{
    if ((t->used + 1) * 2 > t->size) {
        grow(p, t);
    }
    place(p, t, b);
    t->used++;
}

static void
table_drop(const struct rg_pool *p, struct table *t,
           const struct rg_endpoint *b)
{
    size_t i = key_of(p, t, b) & (t->size - 1);

    while (t->slots[i] && t->slots[i] != b) {
        i = (i + 1) & (t->size - 1);
    }
    if (!t->slots[i]) {
        return;
    }
    t->slots[i] = NULL;
    t->used--;
    for (i = (i + 1) & (t->size - 1); t->slots[i]; i = (i + 1) & (t->size - 1))
    {
        struct rg_endpoint *moved = t->slots[i];
        t->slots[i] = NULL;
        place(p, t, moved);
    }
}

static struct rg_endpoint *
find_id(const struct rg_pool *p, const struct rg_name *id)
{
    const struct table *t = &p->by_id;

    if (t->size == 0) {
        return NULL;
    }
    size_t i = id_hash(id) & (t->size - 1);
    while (t->slots[i] && !rg_name_eq(&t->slots[i]->id, id)) {
        i = (i + 1) & (t->size - 1);
    }
    return t->slots[i];
}

struct rg_endpoint *
rg_pool_by_token(const struct rg_pool *p, uint32_t token)
{
    const struct table *t = &p->by_token;

    if (t->size == 0) {
        return NULL;
    }
    size_t i = token & (t->size - 1);
    while (t->slots[i] && t->slots[i]->token != token) {
        i = (i + 1) & (t->size - 1);
    }
    return t->slots[i];
}

/* --- services ------------------------------------------------------------ */

uint32_t
rg_pool_service(struct rg_pool *p, const struct rg_name *name)
{
    for (size_t i = 0; i < p->service_count; i++) {
        if (rg_name_eq(&p->services[i].name, name)) {
            return (uint32_t)i;
        }
    }
    p->services = rg_realloc(p->services,
                             (p->service_count + 1) * sizeof(struct service));
    p->services[p->service_count] = (struct service){.name = *name};
    return (uint32_t)p->service_count++;
}

static void
service_add(struct rg_pool *p, struct rg_endpoint *b)
{
    struct service *s = &p->services[b->service];

    if (s->count == s->room) {
        s->room = s->room ? s->room * 2 : 16;
        s->boots = rg_realloc(s->boots, s->room * sizeof(void *));
    }
    s->boots[s->count] = b;
    if (b->local) {
        s->boots[s->count] = s->boots[s->local];
        s->boots[s->local++] = b;
    }
    s->count++;
}

static void
service_drop(struct rg_pool *p, const struct rg_endpoint *b)
{
    struct service *s = &p->services[b->service];
    size_t i = 0;

    while (i < s->count && s->boots[i] != b) {
        i++;
    }
    if (i == s->count) {
        return;
    }
    if (i < s->local) {
        s->boots[i] = s->boots[--s->local];
        i = s->local;
    }
    s->boots[i] = s->boots[--s->count];
}

static struct rg_data_centre *
place_of(struct rg_pool *p, const struct rg_name *name)
{
    for (size_t i = 0; i < p->place_count; i++) {
        if (rg_name_eq(&p->places[i]->name, name)) {
            return p->places[i];
        }
    }
    p->places = rg_realloc(p->places, (p->place_count + 1) * sizeof(void *));
    struct rg_data_centre *made = rg_calloc(1, sizeof(*made));
    made->name = *name;
    p->places[p->place_count++] = made;
    return made;
}

/* --- boots --------------------------------------------------------------- */

static const char *const state_words[] = {
    [RG_ENDPOINT_READY] = "ready",
    [RG_ENDPOINT_DRAINING] = "draining",
    [RG_ENDPOINT_MISSING] = "missing",
    [RG_ENDPOINT_GONE] = "gone",
};

static void
set_state(struct rg_pool *p, struct rg_endpoint *b,
          enum rg_endpoint_state state)
{
    if (b->state == state) {
        return;
    }
    bool is_new = b->state == RG_ENDPOINT_GONE;
    b->state = (uint8_t)state;
    if (is_new && (p->is_listing || !p->is_whole)) {
        p->added++; /* one line for all of them, at the end */
        return;
    }
    rg_log_event(p->opts.log, RG_LOG_INFO, "UPSTREAM",
                 "upstream=\"%s\" token=\"%08x\" state=\"%s\" "
                 "revision=\"%llu\"",
                 b->id.s, b->token, state_words[state],
                 (unsigned long long)b->revision);
}

/* Its entry is no more: only its token is still known. */
static void
retire(struct rg_pool *p, struct rg_endpoint *b, uint64_t now_ms)
{
    table_drop(p, &p->by_id, b);
    service_drop(p, b);
    b->keep_until_ms = now_ms + p->opts.retain_ms;
    set_state(p, b, RG_ENDPOINT_GONE);
}

static struct rg_endpoint *
add_boot(struct rg_pool *p, const struct rg_endpoint_info *r, uint32_t token)
{
    struct rg_endpoint *b = rg_calloc(1, sizeof(*b));

    b->id = r->id;
    b->boot_ms = r->boot_ms;
    b->anybody_ms = &p->anybody_ms;
    b->token = token;
    b->state = RG_ENDPOINT_GONE; /* until the report has been taken over */
    b->service = rg_pool_service(p, &r->service);
    if (p->count == p->room) {
        p->room = p->room ? p->room * 2 : 64;
        p->all = rg_realloc(p->all, p->room * sizeof(void *));
    }
    p->all[p->count++] = b;
    return b;
}

/* The boot a report speaks of, listed. */
static struct rg_endpoint *
boot_of(struct rg_pool *p, const struct rg_endpoint_info *r, uint64_t now_ms)
{
    struct rg_endpoint *b = find_id(p, &r->id);
    bool local = rg_name_eq(&r->data_centre, &p->opts.data_centre);
    uint32_t token = rg_token_of(rg_name_str(&r->id), r->boot_ms);

    if (b && (b->boot_ms != r->boot_ms ||
              !rg_name_eq(&p->services[b->service].name, &r->service)))
    {
        retire(p, b, now_ms);
        b = NULL;
    }
    if (b && b->local != local) {
        service_drop(p, b);
        b->local = local;
        service_add(p, b);
    }
    if (b) {
        return b;
    }
    struct rg_endpoint *known = rg_pool_by_token(p, token);
    if (known && rg_name_eq(&known->id, &r->id) &&
        known->boot_ms == r->boot_ms && known->state == RG_ENDPOINT_GONE)
    {
        b = known; /* its entry is back */
        b->service = rg_pool_service(p, &r->service);
    }
    else {
        b = add_boot(p, r, token);
        b->ambiguous = known != NULL;
        if (known) {
            rg_log_event(p->opts.log, RG_LOG_WARNING, "TOKEN_TAKEN",
                         "upstream=\"%s\" token=\"%08x\" holder=\"%s\"",
                         b->id.s, token, known->id.s);
        }
        else {
            table_add(p, &p->by_token, b);
        }
    }
    b->local = local;
    table_add(p, &p->by_id, b);
    service_add(p, b);
    return b;
}

void
rg_pool_update(struct rg_pool *p, const struct rg_endpoint_info *r,
               uint64_t revision, uint64_t now_ms)
{
    struct rg_endpoint *before = find_id(p, &r->id);

    if (before && before->revision > revision) {
        before->listing = p->listing; /* listed all the same */
        return;
    }
    struct rg_endpoint *b = boot_of(p, r, now_ms);
    b->wire_id = r->wire_id;
    b->addr = r->addr;
    b->place = place_of(p, &r->data_centre);
    b->slots = r->slots;
    b->revision = revision;
    b->listing = p->listing;
    b->cold_until_ms = now_ms + r->cold_left_ms;
    set_state(p, b, r->draining ? RG_ENDPOINT_DRAINING : RG_ENDPOINT_READY);
}

static void
remove_boot(struct rg_pool *p, struct rg_endpoint *b, uint64_t keep_ms,
            uint64_t now_ms)
{
    if (keep_ms == 0 || b->state == RG_ENDPOINT_DRAINING) {
        retire(p, b, now_ms);
        return;
    }
    if (b->state != RG_ENDPOINT_MISSING) {
        b->keep_until_ms = now_ms + keep_ms;
        set_state(p, b, RG_ENDPOINT_MISSING);
    }
}

void
rg_pool_remove(struct rg_pool *p, const struct rg_name *id, uint64_t revision,
               uint64_t keep_ms, uint64_t now_ms)
{
    struct rg_endpoint *b = find_id(p, id);

    if (b && b->revision <= revision) {
        b->revision = revision;
        remove_boot(p, b, keep_ms, now_ms);
    }
}

void
rg_pool_begin_listing(struct rg_pool *p)
{
    p->listing++;
    p->is_listing = true;
}

static void
log_listing(struct rg_pool *p, uint64_t revision)
{
    size_t draining = 0;

    for (size_t i = 0; i < p->count; i++) {
        draining += p->all[i]->state == RG_ENDPOINT_DRAINING;
    }
    rg_log_event(p->opts.log, RG_LOG_INFO, "LISTED",
                 "upstreams=\"%zu\" new=\"%u\" draining=\"%zu\" "
                 "services=\"%zu\" revision=\"%llu\"",
                 rg_pool_listed_count(p), p->added, draining, p->service_count,
                 (unsigned long long)revision);
}

void
rg_pool_end_listing(struct rg_pool *p, uint64_t revision, uint64_t keep_ms,
                    uint64_t now_ms)
{
    for (size_t i = 0; i < p->count; i++) {
        struct rg_endpoint *b = p->all[i];
        if (b->state != RG_ENDPOINT_GONE && b->listing != p->listing &&
            b->revision <= revision)
        {
            b->revision = revision; /* known to be gone by then */
            remove_boot(p, b, keep_ms, now_ms);
        }
    }
    log_listing(p, revision);
    p->is_listing = false;
    p->is_whole = true;
    p->added = 0;
    /* What ended before and was never seen here is not known. */
    if (revision > p->forgotten) {
        p->forgotten = revision;
    }
}

void
rg_pool_tick(struct rg_pool *p, uint64_t now_ms)
{
    size_t kept = 0;

    for (size_t i = 0; i < p->count; i++) {
        struct rg_endpoint *b = p->all[i];
        if (b->state == RG_ENDPOINT_MISSING && now_ms >= b->keep_until_ms) {
            retire(p, b, now_ms);
        }
        if (b->state == RG_ENDPOINT_GONE && b->refs == 0 &&
            now_ms >= b->keep_until_ms) {
            if (b->revision > p->forgotten) {
                p->forgotten = b->revision;
            }
            table_drop(p, &p->by_token, b);
            free(b);
            continue;
        }
        p->all[kept++] = b;
    }
    p->count = kept;
}

size_t
rg_pool_local_count(const struct rg_pool *p, uint32_t service)
{
    return service < p->service_count ? p->services[service].local : 0;
}

struct rg_endpoint *const *
rg_pool_endpoints(const struct rg_pool *p, uint32_t service, size_t *count)
{
    if (service >= p->service_count) {
        *count = 0;
        return NULL;
    }
    *count = p->services[service].count;
    return p->services[service].boots;
}

const struct rg_name *
rg_pool_service_name(const struct rg_pool *p, uint32_t index)
{
    return &p->services[index].name;
}

void
rg_pool_each_listed(const struct rg_pool *p,
                    void (*cb)(void *ctx, const struct rg_endpoint *endpoint),
                    void *ctx)
{
    for (size_t i = 0; i < p->count; i++) {
        if (p->all[i]->state != RG_ENDPOINT_GONE) {
            cb(ctx, p->all[i]);
        }
    }
}

void
rg_pool_each(const struct rg_pool *p,
             void (*cb)(void *ctx, const struct rg_endpoint *endpoint),
             void *ctx)
{
    for (size_t i = 0; i < p->count; i++) {
        cb(ctx, p->all[i]);
    }
}

uint64_t
rg_pool_compacted_revision(const struct rg_pool *p)
{
    return p->forgotten;
}

void
rg_pool_remove_endpoint(struct rg_pool *p, const struct rg_name *id,
                        uint64_t boot_ms, uint64_t revision, uint64_t keep_ms,
                        uint64_t now_ms)
{
    struct rg_endpoint *b = find_id(p, id);

    if (b && b->boot_ms == boot_ms) {
        b->listing = p->listing; /* a listing that names it ends it here */
        rg_pool_remove(p, id, revision, keep_ms, now_ms);
    }
}

size_t
rg_pool_listed_count(const struct rg_pool *p)
{
    return p->by_id.used;
}

size_t
rg_pool_known_count(const struct rg_pool *p)
{
    return p->count;
}

struct rg_pool *
rg_pool_create(const struct rg_pool_opts *opts)
{
    struct rg_pool *p = rg_calloc(1, sizeof(*p));

    p->opts = *opts;
    return p;
}

void
rg_pool_destroy(struct rg_pool *p)
{
    if (!p) {
        return;
    }
    for (size_t i = 0; i < p->count; i++) {
        free(p->all[i]);
    }
    for (size_t i = 0; i < p->service_count; i++) {
        free(p->services[i].boots);
    }
    for (size_t i = 0; i < p->place_count; i++) {
        free(p->places[i]);
    }
    free(p->places);
    free(p->services);
    free(p->by_token.slots);
    free(p->by_id.slots);
    free(p->all);
    free(p);
}
