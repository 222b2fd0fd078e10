#include "balance/config_check.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

#define ADDRESS_TEXT_MAX 32
#define NUMBER_TEXT_MAX 24
/* Room for all services of a split in a finding's text. */
#define SERVICES_TEXT_MAX 160

void
rg_check_version_clear(struct rg_check_version *c)
{
    free(c->routes);
    free(c->services);
    memset(c, 0, sizeof(*c));
}

/* --- findings ------------------------------------------------------------ */

struct rg_check_finding *
rg_check_findings_add(struct rg_check_findings *f,
                      enum rg_check_finding_kind kind,
                      struct rg_check_place place, const char *text, ...)
{
    va_list args;

    f->items = rg_realloc(f->items, (f->count + 1) * sizeof(*f->items));
    struct rg_check_finding *item = &f->items[f->count++];
    *item = (struct rg_check_finding){.kind = kind, .place = place};
    va_start(args, text);
    vsnprintf(item->text, sizeof(item->text), text, args);
    va_end(args);
    return item;
}

void
rg_check_findings_clear(struct rg_check_findings *f)
{
    free(f->items);
    memset(f, 0, sizeof(*f));
}

size_t
rg_check_findings_count(const struct rg_check_findings *f,
                        enum rg_check_finding_kind kind)
{
    size_t count = 0;

    for (size_t i = 0; i < f->count; i++) {
        count += f->items[i].kind == kind;
    }
    return count;
}

static struct rg_check_place
place_of(const struct rg_check_route *r, enum rg_check_field field)
{
    return (struct rg_check_place){.field = field, .row = r->row};
}

static struct rg_check_place
place_of_service(const struct rg_check_service *s, enum rg_check_field field)
{
    return (struct rg_check_place){.field = field, .row = s->row};
}

static void
set_other(struct rg_check_finding *f, struct rg_check_place other)
{
    f->has_other = true;
    f->other = other;
}

/* --- look-up ------------------------------------------------------------- */

/* Routes and services by key, the first of equal ones only. */
struct index {
    const struct rg_check_route **by_address;
    size_t address_count;
    const struct rg_check_route **by_name;
    size_t name_count;
    const struct rg_check_service **services;
    size_t service_count;
};

static int
compare_u64(uint64_t a, uint64_t b)
{
    return a < b ? -1 : a > b;
}

static uint64_t
address_of(const struct rg_check_route *r)
{
    return (uint64_t)r->route.ip << 16 | r->route.port;
}

static int
compare_addresses(const void *a, const void *b)
{
    const struct rg_check_route *const *x = a;
    const struct rg_check_route *const *y = b;
    int order = compare_u64(address_of(*x), address_of(*y));

    return order ? order : compare_u64((*x)->row, (*y)->row);
}

static int
compare_names(const void *a, const void *b)
{
    const struct rg_check_route *const *x = a;
    const struct rg_check_route *const *y = b;
    int order = strcmp((*x)->name, (*y)->name);

    return order ? order : compare_u64((*x)->row, (*y)->row);
}

static int
compare_services(const void *a, const void *b)
{
    const struct rg_check_service *const *x = a;
    const struct rg_check_service *const *y = b;
    int order = strcmp((*x)->name.s, (*y)->name.s);

    return order ? order : compare_u64((*x)->row, (*y)->row);
}

static void
index_build(struct index *x, const struct rg_check_version *c)
{
    *x = (struct index){
        .by_address = rg_calloc(c->route_count, sizeof(void *)),
        .address_count = c->route_count,
        .by_name = rg_calloc(c->route_count, sizeof(void *)),
        .services = rg_calloc(c->service_count, sizeof(void *)),
        .service_count = c->service_count,
    };
    for (size_t i = 0; i < c->route_count; i++) {
        x->by_address[i] = &c->routes[i];
        if (c->routes[i].name[0]) {
            x->by_name[x->name_count++] = &c->routes[i];
        }
    }
    for (size_t i = 0; i < c->service_count; i++) {
        x->services[i] = &c->services[i];
    }
    qsort(x->by_address, x->address_count, sizeof(void *), compare_addresses);
    qsort(x->by_name, x->name_count, sizeof(void *), compare_names);
    qsort(x->services, x->service_count, sizeof(void *), compare_services);
}

static void
index_clear(struct index *x)
{
    free(x->by_address);
    free(x->by_name);
    free(x->services);
}

/* The first position whose item is not less than the key; rows are compared,
 * too, so that a key with row 0 finds the first of equal ones. */
static size_t
lower_bound(const void *items, size_t count, const void *key,
            int (*compare)(const void *, const void *))
{
    const void *const *list = items;
    size_t low = 0;

    while (count > 0) {
        size_t half = count / 2;
        if (compare(&list[low + half], key) < 0) {
            low += half + 1;
            count -= half + 1;
        }
        else {
            count = half;
        }
    }
    return low;
}

/* The route in use at an address, NULL if there is none. */
static const struct rg_check_route *
find_address(const struct index *x, const struct rg_check_route *like)
{
    struct rg_check_route first = *like;
    const struct rg_check_route *key = &first;

    first.row = 0;
    size_t i =
        lower_bound(x->by_address, x->address_count, &key, compare_addresses);
    bool found = i < x->address_count &&
                 address_of(x->by_address[i]) == address_of(like);
    return found ? x->by_address[i] : NULL;
}

/* The first route of a name, NULL if there is none or the name is empty. */
static const struct rg_check_route *
find_name(const struct index *x, const struct rg_check_route *like)
{
    struct rg_check_route first = *like;
    const struct rg_check_route *key = &first;

    first.row = 0;
    size_t i = lower_bound(x->by_name, x->name_count, &key, compare_names);
    bool found =
        i < x->name_count && strcmp(x->by_name[i]->name, like->name) == 0;
    return found ? x->by_name[i] : NULL;
}

static const struct rg_check_service *
find_service(const struct index *x, const struct rg_name *name)
{
    struct rg_check_service like = {.name = *name};
    const struct rg_check_service *key = &like;
    size_t i =
        lower_bound(x->services, x->service_count, &key, compare_services);
    bool found =
        i < x->service_count && rg_name_eq(&x->services[i]->name, name);

    return found ? x->services[i] : NULL;
}

/* --- one version --------------------------------------------------------- */

static const char *
address_text(const struct rg_check_route *r, char out[ADDRESS_TEXT_MAX])
{
    char ip[INET_ADDRSTRLEN];
    uint32_t net = htonl(r->route.ip);

    inet_ntop(AF_INET, &net, ip, sizeof(ip));
    snprintf(out, ADDRESS_TEXT_MAX, "%s:%u", ip, r->route.port);
    return out;
}

static void
check_split(const struct rg_check_route *r, struct rg_check_findings *out)
{
    uint64_t weights = 0;

    for (uint8_t i = 0; i < r->route.share_count; i++) {
        weights += r->route.shares[i].weight;
    }
    if (weights == 0) {
        rg_check_findings_add(out, RG_CHECK_UNREACHABLE,
                              place_of(r, RG_CHECK_ROUTE_SPLIT),
                              "all weights are 0, so that no flow is given "
                              "a service");
    }
}

static void
check_services_of(const struct rg_check_route *r, const struct index *x,
                  struct rg_check_findings *out)
{
    for (uint8_t i = 0; i < r->route.share_count; i++) {
        const struct rg_name *name = &r->route.shares[i].service;
        if (find_service(x, name)) {
            continue;
        }
        struct rg_check_place place = place_of(
            r, r->is_split ? RG_CHECK_SHARE_SERVICE : RG_CHECK_ROUTE_SERVICE);
        place.share = i;
        rg_check_findings_add(out, RG_CHECK_ERROR, place,
                              "\"%s\" is not among the services", name->s);
    }
}

static void
check_route(const struct rg_check_version *c, const struct rg_check_route *r,
            const struct index *x, struct rg_check_findings *out)
{
    const struct rg_check_route *first = find_address(x, r);
    const struct rg_check_route *named = find_name(x, r);
    char text[ADDRESS_TEXT_MAX];

    if (first != r) {
        struct rg_check_finding *f = rg_check_findings_add(
            out, RG_CHECK_UNREACHABLE, place_of(r, RG_CHECK_ROUTE_PORT),
            "an earlier route has the address %s and is used instead",
            address_text(r, text));
        set_other(f, place_of(first, RG_CHECK_ROUTE));
    }
    if (named && named != r) {
        struct rg_check_finding *f = rg_check_findings_add(
            out, RG_CHECK_CONTRADICTION, place_of(r, RG_CHECK_ROUTE_NAME),
            "an earlier route is named \"%s\"", r->name);
        set_other(f, place_of(named, RG_CHECK_ROUTE_NAME));
    }
    if (r->route.timeout_ms != 0 && r->route.target_ms > r->route.timeout_ms) {
        rg_check_findings_add(
            out, RG_CHECK_CONTRADICTION, place_of(r, RG_CHECK_ROUTE_TARGET),
            "the latency target of %u ms is above the deadline of %u ms",
            r->route.target_ms, r->route.timeout_ms);
    }
    check_split(r, out);
    if (c->lists_services) {
        check_services_of(r, x, out);
    }
}

static bool
is_named(const struct rg_check_version *c, const struct rg_name *service)
{
    for (size_t i = 0; i < c->route_count; i++) {
        const struct rg_route *r = &c->routes[i].route;
        for (uint8_t n = 0; n < r->share_count; n++) {
            if (rg_name_eq(&r->shares[n].service, service)) {
                return true;
            }
        }
    }
    return false;
}

static void
check_service(const struct rg_check_version *c,
              const struct rg_check_service *s, const struct index *x,
              struct rg_check_findings *out)
{
    const struct rg_check_service *first = find_service(x, &s->name);

    if (first != s) {
        struct rg_check_finding *f = rg_check_findings_add(
            out, RG_CHECK_UNREACHABLE,
            place_of_service(s, RG_CHECK_SERVICE_NAME),
            "an earlier service is named \"%s\"", s->name.s);
        set_other(f, place_of_service(first, RG_CHECK_SERVICE_NAME));
    }
    else if (!is_named(c, &s->name)) {
        rg_check_findings_add(out, RG_CHECK_UNREACHABLE,
                              place_of_service(s, RG_CHECK_SERVICE_NAME),
                              "no route names \"%s\"", s->name.s);
    }
}

/* A flow whose request waits for its answer is idle. */
static void
check_idle_timeout(const struct rg_check_version *c,
                   struct rg_check_findings *out)
{
    struct rg_check_place place = {.field = RG_CHECK_IDLE_TIMEOUT};
    const struct rg_check_route *longest = NULL;

    if (!c->has_idle_timeout) {
        return;
    }
    if (c->idle_timeout_ms == 0) {
        rg_check_findings_add(out, RG_CHECK_CONTRADICTION, place,
                              "0 ms ends each flow as soon as it is open");
        return;
    }
    for (size_t i = 0; i < c->route_count; i++) {
        uint32_t ms = c->routes[i].route.timeout_ms;
        if (ms > c->idle_timeout_ms &&
            (!longest || ms > longest->route.timeout_ms)) {
            longest = &c->routes[i];
        }
    }
    if (longest) {
        struct rg_check_finding *f = rg_check_findings_add(
            out, RG_CHECK_CONTRADICTION, place,
            "%llu ms is below a route's deadline of %u ms",
            (unsigned long long)c->idle_timeout_ms, longest->route.timeout_ms);
        set_other(f, place_of(longest, RG_CHECK_ROUTE_TIMEOUT));
    }
}

/* --- compared with the version in force ---------------------------------- */

struct comparison {
    const struct rg_check_version *c;
    const struct rg_check_version *in_force;
    struct index now;
    struct index before;
    struct rg_check_findings *out;
};

static const char *
services_text(const struct rg_check_route *r, char out[SERVICES_TEXT_MAX])
{
    size_t len = 0;

    out[0] = '\0';
    for (uint8_t i = 0; i < r->route.share_count && len < SERVICES_TEXT_MAX;
         i++) {
        const struct rg_route_share *s = &r->route.shares[i];
        const char *separator = i ? ", " : "";
        int added = r->is_split ? snprintf(out + len, SERVICES_TEXT_MAX - len,
                                           "%s%s %u", separator, s->service.s,
                                           s->weight)
                                : snprintf(out + len, SERVICES_TEXT_MAX - len,
                                           "%s%s", separator, s->service.s);
        len += (size_t)added;
    }
    return out;
}

static void
compare_services_of(const struct rg_check_route *now,
                    const struct rg_check_route *before,
                    struct rg_check_findings *out)
{
    char a[SERVICES_TEXT_MAX];
    char b[SERVICES_TEXT_MAX];
    bool same = now->route.share_count == before->route.share_count;

    for (uint8_t i = 0; same && i < now->route.share_count; i++) {
        same = rg_name_eq(&now->route.shares[i].service,
                          &before->route.shares[i].service) &&
               now->route.shares[i].weight == before->route.shares[i].weight;
    }
    if (!same) {
        enum rg_check_field field =
            now->is_split ? RG_CHECK_ROUTE_SPLIT : RG_CHECK_ROUTE_SERVICE;
        rg_check_findings_add(out, RG_CHECK_DIFFERENCE, place_of(now, field),
                              "moves to %.100s, now %.100s",
                              services_text(now, a), services_text(before, b));
    }
}

static void
compare_number(const struct rg_check_route *now, enum rg_check_field field,
               uint32_t value, uint32_t before, struct rg_check_findings *out)
{
    if (value != before) {
        rg_check_findings_add(out, RG_CHECK_DIFFERENCE, place_of(now, field),
                              "becomes %u, now %u", value, before);
    }
}

static void
compare_route(const struct rg_check_route *now,
              const struct rg_check_route *before,
              struct rg_check_findings *out)
{
    static const char *const types[] = {
        [RG_CHECK_TYPE_SAFE] = "safe",
        [RG_CHECK_TYPE_UNSAFE] = "unsafe",
        [RG_CHECK_TYPE_DOWNLOAD] = "download",
    };
    const struct rg_route *a = &now->route;
    const struct rg_route *b = &before->route;
    char text[ADDRESS_TEXT_MAX];
    char text_before[ADDRESS_TEXT_MAX];

    if (address_of(now) != address_of(before)) {
        rg_check_findings_add(
            out, RG_CHECK_DIFFERENCE, place_of(now, RG_CHECK_ROUTE_PORT),
            "\"%s\" moves to address %s, now %s", now->name,
            address_text(now, text), address_text(before, text_before));
    }
    if (strcmp(now->name, before->name) != 0) {
        rg_check_findings_add(
            out, RG_CHECK_DIFFERENCE, place_of(now, RG_CHECK_ROUTE_NAME),
            "becomes \"%s\", now \"%s\"", now->name, before->name);
    }
    if (now->type != before->type) {
        rg_check_findings_add(
            out, RG_CHECK_DIFFERENCE, place_of(now, RG_CHECK_ROUTE_TYPE),
            "becomes %s, now %s", types[now->type], types[before->type]);
    }
    compare_services_of(now, before, out);
    compare_number(now, RG_CHECK_ROUTE_TIMEOUT, a->timeout_ms, b->timeout_ms,
                   out);
    compare_number(now, RG_CHECK_ROUTE_TARGET, a->target_ms, b->target_ms,
                   out);
    compare_number(now, RG_CHECK_ROUTE_PRIORITY, a->priority, b->priority,
                   out);
}

/* The same route in another version: that of its address, else that of its
 * name, unless another route has taken that over. */
static const struct rg_check_route *
counterpart(const struct index *own, const struct index *other,
            const struct rg_check_route *r)
{
    const struct rg_check_route *found = find_address(other, r);

    if (found) {
        return found;
    }
    found = find_name(other, r);
    return found && !find_address(own, found) ? found : NULL;
}

static void
compare_routes(const struct comparison *m)
{
    char text[ADDRESS_TEXT_MAX];
    char services[SERVICES_TEXT_MAX];

    for (size_t i = 0; i < m->c->route_count; i++) {
        const struct rg_check_route *r = &m->c->routes[i];
        if (find_address(&m->now, r) != r) {
            continue; /* it can never match */
        }
        const struct rg_check_route *before =
            counterpart(&m->now, &m->before, r);
        if (before) {
            compare_route(r, before, m->out);
            continue;
        }
        rg_check_findings_add(
            m->out, RG_CHECK_DIFFERENCE, place_of(r, RG_CHECK_ROUTE),
            "\"%s\" at %s to %.100s is added", r->name, address_text(r, text),
            services_text(r, services));
    }
    for (size_t i = 0; i < m->in_force->route_count; i++) {
        const struct rg_check_route *r = &m->in_force->routes[i];
        if (find_address(&m->before, r) != r ||
            counterpart(&m->before, &m->now, r)) {
            continue;
        }
        rg_check_findings_add(
            m->out, RG_CHECK_DIFFERENCE,
            (struct rg_check_place){.field = RG_CHECK_ROUTES},
            "\"%s\" at %s to %.100s is removed", r->name,
            address_text(r, text), services_text(r, services));
    }
}

static void
compare_service(const struct rg_check_service *now,
                const struct rg_check_service *before,
                struct rg_check_findings *out)
{
    if (now->cold_s != before->cold_s) {
        rg_check_findings_add(
            out, RG_CHECK_DIFFERENCE,
            place_of_service(now, RG_CHECK_SERVICE_COLD_TIME),
            "becomes %llu, now %llu", (unsigned long long)now->cold_s,
            (unsigned long long)before->cold_s);
    }
    if (now->cold_per_s != before->cold_per_s) {
        rg_check_findings_add(
            out, RG_CHECK_DIFFERENCE,
            place_of_service(now, RG_CHECK_SERVICE_COLD_RATE),
            "becomes %g, now %g", now->cold_per_s, before->cold_per_s);
    }
}

static void
compare_service_lists(const struct comparison *m)
{
    for (size_t i = 0; i < m->c->service_count; i++) {
        const struct rg_check_service *s = &m->c->services[i];
        const struct rg_check_service *before =
            find_service(&m->before, &s->name);
        if (find_service(&m->now, &s->name) != s) {
            continue;
        }
        if (before) {
            compare_service(s, before, m->out);
            continue;
        }
        rg_check_findings_add(m->out, RG_CHECK_DIFFERENCE,
                              place_of_service(s, RG_CHECK_SERVICE),
                              "\"%s\" is added", s->name.s);
    }
    for (size_t i = 0; i < m->in_force->service_count; i++) {
        const struct rg_check_service *s = &m->in_force->services[i];
        if (find_service(&m->before, &s->name) == s &&
            !find_service(&m->now, &s->name))
        {
            rg_check_findings_add(
                m->out, RG_CHECK_DIFFERENCE,
                (struct rg_check_place){.field = RG_CHECK_SERVICES},
                "\"%s\" is removed", s->name.s);
        }
    }
}

static const char *
idle_timeout_text(const struct rg_check_version *c, char out[NUMBER_TEXT_MAX])
{
    snprintf(out, NUMBER_TEXT_MAX, "%llu",
             (unsigned long long)c->idle_timeout_ms);
    return c->has_idle_timeout ? out : "not given";
}

static void
compare_idle_timeout(const struct comparison *m)
{
    const struct rg_check_version *a = m->c;
    const struct rg_check_version *b = m->in_force;
    char text[NUMBER_TEXT_MAX];
    char text_before[NUMBER_TEXT_MAX];

    if (a->has_idle_timeout == b->has_idle_timeout &&
        a->idle_timeout_ms == b->idle_timeout_ms)
    {
        return;
    }
    rg_check_findings_add(
        m->out, RG_CHECK_DIFFERENCE,
        (struct rg_check_place){.field = RG_CHECK_IDLE_TIMEOUT},
        "becomes %s, now %s", idle_timeout_text(a, text),
        idle_timeout_text(b, text_before));
}

static void
compare(const struct comparison *m)
{
    const struct rg_check_version *a = m->c;
    const struct rg_check_version *b = m->in_force;

    if (a->version != 0 && a->version <= b->version) {
        rg_check_findings_add(
            m->out, RG_CHECK_CONTRADICTION,
            (struct rg_check_place){.field = RG_CHECK_VERSION},
            "%llu is not higher than the version in force, %llu, and would "
            "be ignored",
            (unsigned long long)a->version, (unsigned long long)b->version);
    }
    compare_routes(m);
    compare_service_lists(m);
    compare_idle_timeout(m);
}

void
rg_check_run(const struct rg_check_version *c,
             const struct rg_check_version *in_force,
             struct rg_check_findings *out)
{
    struct index now;

    index_build(&now, c);
    for (size_t i = 0; i < c->route_count; i++) {
        check_route(c, &c->routes[i], &now, out);
    }
    for (size_t i = 0; i < c->service_count; i++) {
        check_service(c, &c->services[i], &now, out);
    }
    check_idle_timeout(c, out);
    if (in_force) {
        struct comparison m = {
            .c = c, .in_force = in_force, .now = now, .out = out};
        index_build(&m.before, in_force);
        compare(&m);
        index_clear(&m.before);
    }
    index_clear(&now);
}
