#include "config/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "common/mem.h"

#define PROTO_TCP 6
#define PROTO_UDP 17
#define LOCATION_SIZE 160
/* At most this many errors are reported of one section. */
#define SECTION_ERRORS_MAX 100

/* Where an entry of the document stands, for error messages. */
struct origin {
    const struct rg_section_text *section;
    const char *list;
    size_t index;
};

struct dc_entry {
    struct rg_name name;
    struct origin from;
};

struct service_entry {
    const struct rg_doc_service *doc;
    struct origin from;
};

struct upstream_entry {
    const struct rg_doc_upstream *doc;
    struct origin from;
    uint32_t service; /* index into the services of struct build */
};

/* The entries of all sections while they are checked together. */
struct build {
    struct rg_err *err;
    struct dc_entry *dcs;
    size_t dc_count;
    struct service_entry *services;
    size_t service_count;
    struct upstream_entry *upstreams;
    size_t upstream_count;
};

static void
add_error(struct build *b, const struct origin *from, const char *member,
          const char *expected, const char *found)
{
    char location[LOCATION_SIZE];

    snprintf(location, sizeof(location), "section %.*s: %s[%zu].%s",
             (int)from->section->name.len, from->section->name.ptr, from->list,
             from->index, member);
    rg_err_add(b->err, location, expected, "%s", found);
}

/* Like qsort(), but allows `items` to be NULL if the list is empty. */
static void
sort(void *items, size_t count, size_t size,
     int (*compare)(const void *, const void *))
{
    if (count > 1) {
        qsort(items, count, size, compare);
    }
}

static int
compare_names(const struct rg_name *a, const struct rg_name *b)
{
    return strcmp(a->s, b->s);
}

static int
compare_dcs(const void *a, const void *b)
{
    const struct dc_entry *x = a;
    const struct dc_entry *y = b;

    return compare_names(&x->name, &y->name);
}

static int
compare_service_names(const void *a, const void *b)
{
    const struct service_entry *x = a;
    const struct service_entry *y = b;

    return compare_names(&x->doc->name, &y->doc->name);
}

static int
compare_upstream_names(const void *a, const void *b)
{
    const struct upstream_entry *x = a;
    const struct upstream_entry *y = b;
    int order = compare_names(&x->doc->service, &y->doc->service);

    return order ? order : compare_names(&x->doc->name, &y->doc->name);
}

static int
compare_upstream_addrs(const void *a, const void *b)
{
    const struct upstream_entry *x = a;
    const struct upstream_entry *y = b;

    return memcmp(&x->doc->address, &y->doc->address, sizeof(x->doc->address));
}

static int
compare_services(const void *a, const void *b)
{
    const struct rg_config_service *x = a;
    const struct rg_config_service *y = b;
    int order = memcmp(x->ip, y->ip, RG_IP_LEN);

    if (order) {
        return order;
    }
    if (x->port != y->port) {
        return x->port < y->port ? -1 : 1;
    }
    return (int)x->proto - (int)y->proto;
}

static int
compare_ids(const void *a, const void *b)
{
    const struct rg_config_upstream *x = a;
    const struct rg_config_upstream *y = b;

    return x->id < y->id ? -1 : x->id > y->id;
}

static void
collect_entries(struct build *b, const struct rg_section_text *section,
                const struct rg_doc_section *doc)
{
    struct origin from = {.section = section};

    b->dcs = rg_realloc(b->dcs, (b->dc_count + doc->data_centres_count) *
                                    sizeof(*b->dcs));
    b->services =
        rg_realloc(b->services, (b->service_count + doc->services_count) *
                                    sizeof(*b->services));
    b->upstreams =
        rg_realloc(b->upstreams, (b->upstream_count + doc->upstreams_count) *
                                     sizeof(*b->upstreams));
    from.list = "data_centres";
    for (from.index = 0; from.index < doc->data_centres_count; from.index++) {
        b->dcs[b->dc_count++] =
            (struct dc_entry){doc->data_centres[from.index].name, from};
    }
    from.list = "services";
    for (from.index = 0; from.index < doc->services_count; from.index++) {
        b->services[b->service_count++] =
            (struct service_entry){&doc->services[from.index], from};
    }
    from.list = "upstreams";
    for (from.index = 0; from.index < doc->upstreams_count; from.index++) {
        b->upstreams[b->upstream_count++] =
            (struct upstream_entry){&doc->upstreams[from.index], from, 0};
    }
}

static void
check_data_centres(struct build *b)
{
    sort(b->dcs, b->dc_count, sizeof(*b->dcs), compare_dcs);
    for (size_t i = 1; i < b->dc_count; i++) {
        if (compare_dcs(&b->dcs[i - 1], &b->dcs[i]) == 0) {
            add_error(b, &b->dcs[i].from, "name", "a unique name",
                      b->dcs[i].name.s);
        }
    }
}

static bool
dc_exists(const struct build *b, const struct rg_name *name)
{
    struct dc_entry key = {.name = *name};

    return b->dc_count > 0 && bsearch(&key, b->dcs, b->dc_count,
                                      sizeof(*b->dcs), compare_dcs) != NULL;
}

static void
check_services(struct build *b)
{
    sort(b->services, b->service_count, sizeof(*b->services),
         compare_service_names);
    for (size_t i = 0; i < b->service_count; i++) {
        const struct service_entry *s = &b->services[i];
        if (i > 0 && compare_service_names(s - 1, s) == 0) {
            add_error(b, &s->from, "name", "a unique name", s->doc->name.s);
        }
        for (size_t k = 0; k < s->doc->spill_count; k++) {
            if (!dc_exists(b, &s->doc->spill[k])) {
                add_error(b, &s->from, "spill", "existing data centres",
                          s->doc->spill[k].s);
            }
        }
    }
}

static void
resolve_service(struct build *b, struct upstream_entry *u)
{
    struct rg_doc_service doc = {.name = u->doc->service};
    struct service_entry key = {.doc = &doc};
    const struct service_entry *found =
        b->service_count == 0
            ? NULL
            : bsearch(&key, b->services, b->service_count,
                      sizeof(*b->services), compare_service_names);

    if (!found) {
        add_error(b, &u->from, "service", "an existing service",
                  u->doc->service.s);
        return;
    }
    u->service = (uint32_t)(found - b->services);
}

static void
check_upstreams(struct build *b)
{
    char text[RG_ADDR_STR_MAX];

    sort(b->upstreams, b->upstream_count, sizeof(*b->upstreams),
         compare_upstream_addrs);
    for (size_t i = 1; i < b->upstream_count; i++) {
        const struct upstream_entry *u = &b->upstreams[i];
        if (compare_upstream_addrs(u - 1, u) == 0) {
            add_error(b, &u->from, "address", "a unique address",
                      rg_addr_format(&u->doc->address, text));
        }
    }
    sort(b->upstreams, b->upstream_count, sizeof(*b->upstreams),
         compare_upstream_names);
    for (size_t i = 0; i < b->upstream_count; i++) {
        struct upstream_entry *u = &b->upstreams[i];
        if (i > 0 && compare_upstream_names(u - 1, u) == 0) {
            add_error(b, &u->from, "name", "a name unique in its service",
                      u->doc->name.s);
        }
        resolve_service(b, u);
        if (!dc_exists(b, &u->doc->data_centre)) {
            add_error(b, &u->from, "data_centre", "an existing data centre",
                      u->doc->data_centre.s);
        }
    }
}

static void
compile_service(struct rg_config_service *out,
                const struct rg_doc_service *doc)
{
    out->name = doc->name;
    out->id = rg_identity(rg_name_str(&doc->name), rg_str_of(""));
    memcpy(out->ip, doc->address, RG_IP_LEN);
    out->port = (uint16_t)doc->port;
    out->proto =
        doc->protocol == RG_DOC_SERVICE_PROTOCOL_UDP ? PROTO_UDP : PROTO_TCP;
    out->repeatable = doc->repeatable == RG_DOC_SERVICE_REPEATABLE_YES;
    out->deviation_percent = doc->deviation_percent;
    out->max_flows_per_upstream = doc->max_flows_per_upstream;
    out->spill_count = doc->spill_count;
    out->spill = rg_calloc(doc->spill_count, sizeof(*out->spill));
    if (doc->spill_count > 0) {
        memcpy(out->spill, doc->spill, doc->spill_count * sizeof(*out->spill));
    }
}

static void
compile_upstream(struct rg_config_upstream *out,
                 const struct rg_doc_upstream *doc)
{
    char parts[RG_NAME_MAX + RG_ADDR_STR_MAX + 16];
    char text[RG_ADDR_STR_MAX];

    snprintf(parts, sizeof(parts), "%s/%s/%u", doc->name.s,
             rg_addr_format(&doc->address, text), doc->incarnation);
    out->name = doc->name;
    out->id = rg_identity(rg_name_str(&doc->service), rg_str_of(parts));
    out->addr = doc->address;
    out->data_centre = doc->data_centre;
    out->weight = doc->weight;
    out->state = doc->state;
}

/* Sets each upstream's index of its service in the compiled services, which
 * are sorted by address and not by name as in `b`. */
static void
link_upstreams(struct rg_config *c, const struct build *b)
{
    for (size_t i = 0; i < c->upstream_count; i++) {
        const struct rg_doc_service *doc =
            b->services[b->upstreams[i].service].doc;
        uint8_t proto = doc->protocol == RG_DOC_SERVICE_PROTOCOL_UDP
                            ? PROTO_UDP
                            : PROTO_TCP;
        const struct rg_config_service *s = rg_config_find_service(
            c, doc->address, (uint16_t)doc->port, proto);
        c->upstreams[i].service = (uint32_t)(s - c->services);
    }
}

static void
check_service_addresses(struct build *b, const struct rg_config *c)
{
    for (size_t i = 1; i < c->service_count; i++) {
        const struct rg_config_service *s = &c->services[i];
        if (compare_services(s - 1, s) != 0) {
            continue;
        }
        for (size_t k = 0; k < b->service_count; k++) {
            if (rg_name_eq(&b->services[k].doc->name, &s->name)) {
                add_error(b, &b->services[k].from, "address",
                          "a unique address, port and protocol", s[-1].name.s);
                break;
            }
        }
    }
}

static struct rg_config *
compile(struct build *b, uint64_t generation)
{
    struct rg_config *c = rg_calloc(1, sizeof(*c));

    c->generation = generation;
    c->service_count = b->service_count;
    c->services = rg_calloc(b->service_count, sizeof(*c->services));
    for (size_t i = 0; i < b->service_count; i++) {
        compile_service(&c->services[i], b->services[i].doc);
    }
    sort(c->services, c->service_count, sizeof(*c->services),
         compare_services);
    check_service_addresses(b, c);
    c->upstream_count = b->upstream_count;
    c->upstreams = rg_calloc(b->upstream_count, sizeof(*c->upstreams));
    for (size_t i = 0; i < b->upstream_count; i++) {
        compile_upstream(&c->upstreams[i], b->upstreams[i].doc);
    }
    if (!rg_err_has(b->err)) {
        link_upstreams(c, b);
    }
    sort(c->upstreams, c->upstream_count, sizeof(*c->upstreams), compare_ids);
    return c;
}

static struct rg_config *
check_and_compile(struct build *b, uint64_t generation)
{
    check_data_centres(b);
    check_services(b);
    check_upstreams(b);
    struct rg_config *c = compile(b, generation);
    if (rg_err_has(b->err)) {
        rg_config_destroy(c);
        return NULL;
    }
    return c;
}

/* Loads one section and puts its name before the location of its errors. */
static void
load_section(struct build *b, const struct rg_section_text *section,
             struct rg_doc_section *doc)
{
    RG_ERR_AUTO err = {0};
    char location[LOCATION_SIZE * 2];

    rg_opt_load(&rg_doc_section_options, doc, section->text, &err);
    for (size_t i = 0; i < err.count && err.entries[i].location; i++) {
        snprintf(location, sizeof(location), "section %.*s: %s",
                 (int)section->name.len, section->name.ptr,
                 err.entries[i].location);
        rg_err_add(b->err, location, err.entries[i].expected, "%s",
                   err.entries[i].found);
        if (i + 1 >= SECTION_ERRORS_MAX) {
            break;
        }
    }
}

struct rg_config *
rg_config_build(uint64_t generation, const struct rg_section_text *sections,
                size_t count, struct rg_err *err)
{
    struct build b = {.err = err};
    struct rg_config *c = NULL;
    struct rg_doc_section *docs = rg_calloc(count, sizeof(*docs));

    for (size_t i = 0; i < count; i++) {
        load_section(&b, &sections[i], &docs[i]);
        collect_entries(&b, &sections[i], &docs[i]);
    }
    c = check_and_compile(&b, generation);
    for (size_t i = 0; i < count; i++) {
        rg_opt_clear(&rg_doc_section_options, &docs[i]);
    }
    free(docs);
    free(b.dcs);
    free(b.services);
    free(b.upstreams);
    return c;
}

void
rg_config_destroy(struct rg_config *c)
{
    if (!c) {
        return;
    }
    for (size_t i = 0; i < c->service_count; i++) {
        free(c->services[i].spill);
    }
    free(c->services);
    free(c->upstreams);
    free(c);
}

const struct rg_config_service *
rg_config_find_service(const struct rg_config *c, const uint8_t *ip,
                       uint16_t port, uint8_t proto)
{
    struct rg_config_service key = {.port = port, .proto = proto};

    if (c->service_count == 0) {
        return NULL;
    }
    memcpy(key.ip, ip, RG_IP_LEN);
    return bsearch(&key, c->services, c->service_count, sizeof(*c->services),
                   compare_services);
}

uint64_t
rg_identity(struct rg_str a, struct rg_str b)
{
    uint64_t first = XXH3_64bits(a.ptr, a.len);
    uint64_t id = XXH3_64bits_withSeed(b.ptr, b.len, first);

    return id ? id : 1;
}

void
rg_section_hash(struct rg_name *out, struct rg_str text)
{
    char hex[33];
    XXH128_hash_t hash = XXH3_128bits(text.ptr, text.len);

    snprintf(hex, sizeof(hex), "%016llx%016llx",
             (unsigned long long)hash.high64, (unsigned long long)hash.low64);
    rg_name_set(out, rg_str_of(hex));
}
