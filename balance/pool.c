#include "balance/pool.h"

#include <stdlib.h>
#include <string.h>

#include "balance/revision.h"
#include "balance/token.h"
#include "common/mem.h"

#define TABLE_MIN 64

struct service {
    struct rg_name name;
    struct rg_endpoint **endpoints; /* those in the local data centre first */
    size_t count;
    size_t local; /* in the local data centre */
    size_t capacity;
    bool configured; /* a configuration has named it */
};

/* Hash table with open addressing, by token or id. A removal reinserts the
 * entries that follow in the same run. */
struct table {
    struct rg_endpoint **slots;
    size_t size; /* a power of two */
    size_t used;
};

struct rg_pool {
    struct rg_pool_opts opts;
    struct service *services;
    size_t service_count;
    struct rg_data_centre **data_centres; /* kept, endpoints refer to them */
    size_t data_centre_count;
    struct rg_evacuations *evacuations;
    struct table by_token;
    struct table by_id; /* endpoints that have an entry */
    struct rg_endpoint **all;
    size_t count;
    size_t capacity;
    size_t ambiguous; /* endpoints that do not have their token */
    uint32_t listing;
    bool is_listing;             /* between rg_pool_begin_listing() and
                                    rg_pool_end_listing() */
    bool was_listed;             /* a listing has ended */
    uint32_t new_endpoints;      /* endpoints since the last LISTED line */
    uint64_t any_response_ms;    /* last response of any endpoint */
    uint64_t compacted_revision; /* greatest revision of a freed endpoint */
    bool provisional;            /* see rg_pool_is_provisional() */
    bool provisional_rows;       /* the rules of a provisional listing apply */
    uint64_t ignored_rows;       /* by them */
    uint64_t ignored_before;     /* of these, before the listing in progress */
};

/* --- tables -------------------------------------------------------------- */

static uint32_t
id_hash(const struct rg_name *id)
{
    return rg_token_of(rg_name_str(id), 0);
}

static uint32_t
key_of(const struct rg_pool *p, const struct table *t,
       const struct rg_endpoint *e)
{
    return t == &p->by_id ? id_hash(&e->id) : e->token;
}

static void
insert(const struct rg_pool *p, struct table *t, struct rg_endpoint *e)
{
    size_t i = key_of(p, t, e) & (t->size - 1);

    while (t->slots[i]) {
        i = (i + 1) & (t->size - 1);
    }
    t->slots[i] = e;
}

static void
grow(const struct rg_pool *p, struct table *t)
{
    struct table old = *t;

    t->size = old.size ? old.size * 2 : TABLE_MIN;
    t->slots = rg_calloc(t->size, sizeof(void *));
    for (size_t i = 0; i < old.size; i++) {
        if (old.slots[i]) {
            insert(p, t, old.slots[i]);
        }
    }
    free(old.slots);
}

static void
table_add(const struct rg_pool *p, struct table *t, struct rg_endpoint *e)
{
    if ((t->used + 1) * 2 > t->size) {
        grow(p, t);
    }
    insert(p, t, e);
    t->used++;
}

static void
table_drop(const struct rg_pool *p, struct table *t,
           const struct rg_endpoint *e)
{
    size_t i = key_of(p, t, e) & (t->size - 1);

    while (t->slots[i] && t->slots[i] != e) {
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
        insert(p, t, moved);
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

/* Index of a service, the number of services if it is not known. */
static size_t
find_service(const struct rg_pool *p, const struct rg_name *name)
{
    size_t i = 0;

    while (i < p->service_count && !rg_name_eq(&p->services[i].name, name)) {
        i++;
    }
    return i;
}

uint32_t
rg_pool_service(struct rg_pool *p, const struct rg_name *name)
{
    size_t index = find_service(p, name);

    if (index < p->service_count) {
        return (uint32_t)index;
    }
    p->services = rg_realloc(p->services,
                             (p->service_count + 1) * sizeof(struct service));
    p->services[p->service_count] = (struct service){.name = *name};
    return (uint32_t)p->service_count++;
}

uint32_t
rg_pool_configured_service(struct rg_pool *p, const struct rg_name *name)
{
    uint32_t index = rg_pool_service(p, name);

    p->services[index].configured = true;
    return index;
}

static bool
is_configured(const struct rg_pool *p, const struct rg_name *name)
{
    size_t index = find_service(p, name);

    return index < p->service_count && p->services[index].configured;
}

static void
service_add(struct rg_pool *p, struct rg_endpoint *e)
{
    struct service *s = &p->services[e->service];

    if (s->count == s->capacity) {
        s->capacity = s->capacity ? s->capacity * 2 : 16;
        s->endpoints = rg_realloc(s->endpoints, s->capacity * sizeof(void *));
    }
    s->endpoints[s->count] = e;
    if (e->local) {
        s->endpoints[s->count] = s->endpoints[s->local];
        s->endpoints[s->local++] = e;
    }
    s->count++;
}

static void
service_drop(struct rg_pool *p, const struct rg_endpoint *e)
{
    struct service *s = &p->services[e->service];
    size_t i = 0;

    while (i < s->count && s->endpoints[i] != e) {
        i++;
    }
    if (i == s->count) {
        return;
    }
    if (i < s->local) {
        s->endpoints[i] = s->endpoints[--s->local];
        i = s->local;
    }
    s->endpoints[i] = s->endpoints[--s->count];
}

static struct rg_data_centre *
find_data_centre(struct rg_pool *p, const struct rg_name *name)
{
    for (size_t i = 0; i < p->data_centre_count; i++) {
        if (rg_name_eq(&p->data_centres[i]->name, name)) {
            return p->data_centres[i];
        }
    }
    p->data_centres = rg_realloc(p->data_centres,
                                 (p->data_centre_count + 1) * sizeof(void *));
    struct rg_data_centre *dc = rg_calloc(1, sizeof(*dc));
    dc->name = *name;
    dc->evacuation = rg_evacuations_of_upstreams(p->evacuations, name);
    p->data_centres[p->data_centre_count++] = dc;
    return dc;
}

/* --- endpoints ----------------------------------------------------------- */

static const char *const state_names[] = {
    [RG_ENDPOINT_READY] = "ready",
    [RG_ENDPOINT_DRAINING] = "draining",
    [RG_ENDPOINT_MISSING] = "missing",
    [RG_ENDPOINT_GONE] = "gone",
};

static void
set_state(struct rg_pool *p, struct rg_endpoint *e,
          enum rg_endpoint_state state)
{
    if (e->state == state) {
        return;
    }
    bool is_new = e->state == RG_ENDPOINT_GONE;
    e->state = (uint8_t)state;
    if (is_new && (p->is_listing || !p->was_listed)) {
        p->new_endpoints++; /* logged as one line at the end of the listing */
        return;
    }
    rg_log_event(p->opts.log, RG_LOG_INFO, "UPSTREAM",
                 "upstream=\"%s\" token=\"%08x\" state=\"%s\" "
                 "revision=\"%llu\"",
                 e->id.s, e->token, state_names[state],
                 (unsigned long long)rg_revision_number(e->revision));
}

/* The entry is gone: from now on the endpoint is found only by its token. */
static void
retire(struct rg_pool *p, struct rg_endpoint *e, uint64_t now_ms)
{
    table_drop(p, &p->by_id, e);
    service_drop(p, e);
    e->keep_until_ms = now_ms + p->opts.retain_ms;
    set_state(p, e, RG_ENDPOINT_GONE);
}

static struct rg_endpoint *
add_endpoint(struct rg_pool *p, const struct rg_endpoint_info *info,
             uint32_t token)
{
    struct rg_endpoint *e = rg_calloc(1, sizeof(*e));

    e->id = info->id;
    e->boot_ms = info->boot_ms;
    e->any_response_ms = &p->any_response_ms;
    e->token = token;
    e->state = RG_ENDPOINT_GONE; /* until the entry has been applied */
    e->service = rg_pool_service(p, &info->service);
    if (p->count == p->capacity) {
        p->capacity = p->capacity ? p->capacity * 2 : 64;
        p->all = rg_realloc(p->all, p->capacity * sizeof(void *));
    }
    p->all[p->count++] = e;
    return e;
}

/* The endpoint of the incarnation that an entry describes, whether or not it
 * still has an entry; NULL if none is known. `current` is the endpoint that
 * has the upstream's entry, or NULL. */
static struct rg_endpoint *
find_incarnation(const struct rg_pool *p, struct rg_endpoint *current,
                 const struct rg_endpoint_info *info)
{
    struct rg_endpoint *e = current;

    if (!e) {
        e = rg_pool_by_token(
            p, rg_token_of(rg_name_str(&info->id), info->boot_ms));
    }
    return e && rg_name_eq(&e->id, &info->id) && e->boot_ms == info->boot_ms
               ? e
               : NULL;
}

/* True if the entry was not written by the upstream: an incarnation stays at
 * its service, and no configuration has named this one. */
static bool
is_invalid(const struct rg_pool *p, const struct rg_endpoint *known,
           const struct rg_endpoint_info *info)
{
    const struct service *s = known ? &p->services[known->service] : NULL;

    return s && s->configured && !rg_name_eq(&s->name, &info->service) &&
           !is_configured(p, &info->service);
}

/* Of two endpoints with the same token, the one that started first has it, in
 * whatever order an instance learns of them, so that all send the packets of a
 * flow to the same one. */
static bool
goes_before(const struct rg_endpoint *a, const struct rg_endpoint *b)
{
    if (a->boot_ms != b->boot_ms) {
        return a->boot_ms < b->boot_ms;
    }
    return strcmp(a->id.s, b->id.s) < 0;
}

/* Gives its token to an endpoint that does not have it, unless another one has
 * and keeps it. */
static void
claim_token(struct rg_pool *p, struct rg_endpoint *e)
{
    struct rg_endpoint *holder = rg_pool_by_token(p, e->token);

    if (holder && !goes_before(e, holder)) {
        return;
    }
    if (holder) {
        table_drop(p, &p->by_token, holder);
        holder->ambiguous = true;
        p->ambiguous++;
    }
    table_add(p, &p->by_token, e);
    e->ambiguous = false;
    p->ambiguous--;
}

static void
add_token(struct rg_pool *p, struct rg_endpoint *e)
{
    const struct rg_endpoint *other = rg_pool_by_token(p, e->token);

    e->ambiguous = true;
    p->ambiguous++;
    claim_token(p, e);
    if (other) {
        rg_log_event(p->opts.log, RG_LOG_WARNING, "TOKEN_TAKEN",
                     "upstream=\"%s\" token=\"%08x\" holder=\"%s\"",
                     e->ambiguous ? e->id.s : other->id.s, e->token,
                     e->ambiguous ? other->id.s : e->id.s);
    }
}

/* Returns the endpoint that an entry describes, added to its tables. */
static struct rg_endpoint *
get_endpoint(struct rg_pool *p, const struct rg_endpoint_info *info,
             uint64_t now_ms)
{
    struct rg_endpoint *e = find_id(p, &info->id);
    bool local = rg_name_eq(&info->data_centre, &p->opts.data_centre);
    uint32_t token = rg_token_of(rg_name_str(&info->id), info->boot_ms);

    if (e && (e->boot_ms != info->boot_ms ||
              !rg_name_eq(&p->services[e->service].name, &info->service)))
    {
        retire(p, e, now_ms);
        e = NULL;
    }
    if (e && e->local != local) {
        service_drop(p, e);
        e->local = local;
        service_add(p, e);
    }
    if (e) {
        return e;
    }
    struct rg_endpoint *known = rg_pool_by_token(p, token);
    if (known && rg_name_eq(&known->id, &info->id) &&
        known->boot_ms == info->boot_ms && known->state == RG_ENDPOINT_GONE)
    {
        e = known; /* its entry is back */
        e->service = rg_pool_service(p, &info->service);
    }
    else {
        e = add_endpoint(p, info, token);
        add_token(p, e);
    }
    e->local = local;
    table_add(p, &p->by_id, e);
    service_add(p, e);
    return e;
}

/* True if the entry is older than what is known of the upstream, whatever its
 * revision. Without a known heartbeat number only the states are compared. */
static bool
is_outdated(const struct rg_endpoint *known,
            const struct rg_endpoint_info *info)
{
    bool gone = known->state == RG_ENDPOINT_GONE;
    bool undrains = known->state == RG_ENDPOINT_DRAINING && !info->draining;

    if (info->boot_ms != known->boot_ms) {
        return info->boot_ms < known->boot_ms;
    }
    if (known->heartbeats == 0 || info->heartbeats == known->heartbeats) {
        return gone || undrains;
    }
    return info->heartbeats < known->heartbeats;
}

/* Applies the rules of a provisional listing. */
static bool
ignores_row(struct rg_pool *p, struct rg_endpoint *current,
            const struct rg_endpoint_info *info)
{
    const struct rg_endpoint *known =
        current ? current : find_incarnation(p, NULL, info);

    if (!p->provisional_rows || !known || !is_outdated(known, info)) {
        return false;
    }
    p->ignored_rows++;
    if (current) {
        current->listing = p->listing;
    }
    return true;
}

bool
rg_pool_update(struct rg_pool *p, const struct rg_endpoint_info *info,
               uint64_t revision, uint64_t now_ms)
{
    struct rg_endpoint *current = find_id(p, &info->id);

    if (current && current->revision > revision) {
        /* Still listed, if with an older revision. */
        current->listing = p->listing;
        return true;
    }
    if (is_invalid(p, find_incarnation(p, current, info), info)) {
        rg_pool_remove(p, &info->id, revision, RG_POOL_INVALID_KEEP_MS,
                       now_ms);
        return false;
    }
    if (ignores_row(p, current, info)) {
        return true;
    }
    struct rg_endpoint *e = get_endpoint(p, info, now_ms);
    e->wire_id = info->wire_id;
    e->addr = info->addr;
    e->data_centre = find_data_centre(p, &info->data_centre);
    e->slots = info->slots;
    e->revision = revision;
    e->heartbeats = info->heartbeats;
    e->listing = p->listing;
    e->cold_until_ms = now_ms + info->cold_left_ms;
    set_state(p, e, info->draining ? RG_ENDPOINT_DRAINING : RG_ENDPOINT_READY);
    return true;
}

static void
remove_endpoint(struct rg_pool *p, struct rg_endpoint *e, uint64_t keep_ms,
                uint64_t now_ms)
{
    if (keep_ms == 0 || e->state == RG_ENDPOINT_DRAINING) {
        retire(p, e, now_ms);
        return;
    }
    if (e->state != RG_ENDPOINT_MISSING) {
        e->keep_until_ms = now_ms + keep_ms;
        set_state(p, e, RG_ENDPOINT_MISSING);
    }
}

void
rg_pool_remove(struct rg_pool *p, const struct rg_name *id, uint64_t revision,
               uint64_t keep_ms, uint64_t now_ms)
{
    struct rg_endpoint *e = find_id(p, id);

    if (e) {
        /* A listing that reports the end of this endpoint ends it here, not
         * in rg_pool_end_listing(). */
        e->listing = p->listing;
    }
    if (e && e->revision <= revision) {
        e->revision = revision;
        remove_endpoint(p, e, keep_ms, now_ms);
    }
}

void
rg_pool_begin_listing(struct rg_pool *p)
{
    p->listing++;
    p->is_listing = true;
    p->provisional_rows = false;
    p->ignored_before = p->ignored_rows;
}

void
rg_pool_begin_provisional_listing(struct rg_pool *p)
{
    rg_pool_begin_listing(p);
    p->provisional_rows = true;
}

void
rg_pool_begin_provisional_rows(struct rg_pool *p)
{
    p->provisional_rows = true;
}

void
rg_pool_end_provisional_rows(struct rg_pool *p)
{
    p->provisional_rows = false;
}

bool
rg_pool_listing_is_provisional(const struct rg_pool *p)
{
    return p->provisional_rows;
}

void
rg_pool_set_provisional(struct rg_pool *p, bool provisional)
{
    p->provisional = provisional;
}

bool
rg_pool_is_provisional(const struct rg_pool *p)
{
    return p->provisional;
}

uint32_t
rg_pool_era(const struct rg_pool *p)
{
    return rg_revision_era(p->compacted_revision);
}

uint64_t
rg_pool_ignored_rows(const struct rg_pool *p)
{
    return p->ignored_rows;
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
                 "services=\"%zu\" revision=\"%llu\" era=\"%u\" "
                 "provisional=\"%d\" older=\"%llu\"",
                 rg_pool_listed_count(p), p->new_endpoints, draining,
                 p->service_count,
                 (unsigned long long)rg_revision_number(revision),
                 rg_revision_era(revision), p->provisional_rows,
                 (unsigned long long)(p->ignored_rows - p->ignored_before));
}

void
rg_pool_end_listing(struct rg_pool *p, uint64_t revision, uint64_t keep_ms,
                    uint64_t now_ms)
{
    for (size_t i = 0; i < p->count; i++) {
        struct rg_endpoint *e = p->all[i];
        if (e->state != RG_ENDPOINT_GONE && e->listing != p->listing &&
            e->revision <= revision)
        {
            e->revision = revision; /* known to be gone by then */
            remove_endpoint(p, e, keep_ms, now_ms);
        }
    }
    log_listing(p, revision);
    p->is_listing = false;
    p->provisional_rows = false;
    p->was_listed = true;
    p->new_endpoints = 0;
    /* Endpoints that ended before this listing may never have been known
     * here. */
    if (revision > p->compacted_revision) {
        p->compacted_revision = revision;
    }
}

/* Forgets an endpoint. */
static void
free_endpoint(struct rg_pool *p, struct rg_endpoint *e)
{
    if (e->revision > p->compacted_revision) {
        p->compacted_revision = e->revision;
    }
    if (e->ambiguous) {
        p->ambiguous--;
    }
    else {
        table_drop(p, &p->by_token, e);
    }
    free(e);
}

void
rg_pool_tick(struct rg_pool *p, uint64_t now_ms)
{
    size_t kept = 0;

    rg_evacuations_tick(p->evacuations, now_ms);
    for (size_t i = 0; i < p->count; i++) {
        struct rg_endpoint *e = p->all[i];
        if (e->state == RG_ENDPOINT_MISSING && now_ms >= e->keep_until_ms) {
            retire(p, e, now_ms);
        }
        if (e->state == RG_ENDPOINT_GONE && e->refs == 0 &&
            now_ms >= e->keep_until_ms) {
            free_endpoint(p, e);
            continue;
        }
        p->all[kept++] = e;
    }
    p->count = kept;
    /* Those that have been forgotten had tokens that others have as well. */
    for (size_t i = 0; i < p->count && p->ambiguous > 0; i++) {
        if (p->all[i]->ambiguous) {
            claim_token(p, p->all[i]);
        }
    }
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
    return p->services[service].endpoints;
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
    return p->compacted_revision;
}

void
rg_pool_remove_endpoint(struct rg_pool *p, const struct rg_name *id,
                        uint64_t boot_ms, uint64_t revision, uint64_t keep_ms,
                        uint64_t now_ms)
{
    struct rg_endpoint *e = find_id(p, id);

    if (e && e->boot_ms == boot_ms) {
        rg_pool_remove(p, id, revision, keep_ms, now_ms);
    }
}

struct rg_evacuations *
rg_pool_evacuations(const struct rg_pool *p)
{
    return p->evacuations;
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
    p->evacuations = rg_evacuations_create(opts->log);
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
        free(p->services[i].endpoints);
    }
    for (size_t i = 0; i < p->data_centre_count; i++) {
        free(p->data_centres[i]);
    }
    free(p->data_centres);
    rg_evacuations_destroy(p->evacuations);
    free(p->services);
    free(p->by_token.slots);
    free(p->by_id.slots);
    free(p->all);
    free(p);
}
