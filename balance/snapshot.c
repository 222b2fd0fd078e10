#include "balance/snapshot.h"

#include <stdlib.h>
#include <string.h>

#include "balance/revision.h"
#include "common/mem.h"
#include "proto/messages.gen.h"

#define LENGTH_BYTES 4
#define MESSAGE_MAX 16384
/* What a provisional snapshot lacks is kept for this long: entries return
 * within it after an outage. */
#define LAPSED_KEEP_MS 2000
#define MILLI 1000

/* --- writing ------------------------------------------------------------- */

static void
write_message(const struct rg_msg *m, struct rg_strbuf *out)
{
    uint8_t *at =
        (uint8_t *)rg_strbuf_reserve(out, LENGTH_BYTES + MESSAGE_MAX);
    size_t len = rg_msg_pack(m, at + LENGTH_BYTES, MESSAGE_MAX);

    for (int i = 0; i < LENGTH_BYTES; i++) {
        at[i] = (uint8_t)(len >> (8 * (LENGTH_BYTES - 1 - i)));
    }
    out->len += LENGTH_BYTES + len;
}

static void
encode_route(struct rg_msg_route *out, const struct rg_route *r)
{
    *out = (struct rg_msg_route){
        .ip = r->ip,
        .port = r->port,
        .repeat = r->repeat,
        .timeout_ms = r->timeout_ms,
        .target_ms = r->target_ms,
        .priority = r->priority,
        .shares_count = r->share_count,
    };
    for (uint8_t i = 0; i < r->share_count; i++) {
        out->shares[i].service = r->shares[i].service;
        out->shares[i].weight = r->shares[i].weight;
    }
}

/* Adds the limits of services to the part that is being written, and to
 * further ones if there are many. */
static void
write_cold_limits(struct rg_msg *m, const struct rg_routes *routes,
                  struct rg_strbuf *out)
{
    struct rg_msg_routes_part *part = &m->u.routes_part;
    size_t max = sizeof(part->cold_limits) / sizeof(part->cold_limits[0]);
    size_t count;
    const struct rg_cold_limit *limits = rg_routes_cold_limits(routes, &count);

    for (size_t i = 0; i < count; i++) {
        if (part->cold_limits_count == max) {
            write_message(m, out);
            part->routes_count = 0;
            part->cold_limits_count = 0;
        }
        part->cold_limits[part->cold_limits_count++] =
            (struct rg_msg_cold_limit){
                .service = limits[i].service,
                .milli_per_s = (uint64_t)(limits[i].per_s * MILLI),
            };
    }
}

static void
write_routes(struct rg_routes *routes, struct rg_strbuf *out)
{
    struct rg_msg m = {.kind = RG_MSG_ROUTES_PART};
    struct rg_msg_routes_part *part = &m.u.routes_part;
    size_t max = sizeof(part->routes) / sizeof(part->routes[0]);
    size_t total = rg_routes_count(routes);

    part->version = rg_routes_version(routes);
    part->total = (uint32_t)total;
    for (size_t i = 0; i < total; i++) {
        encode_route(&part->routes[part->routes_count++],
                     rg_routes_at(routes, i));
        if (i + 1 == total) {
            write_cold_limits(&m, routes, out);
        }
        if (part->routes_count == max || i + 1 == total) {
            write_message(&m, out);
            part->routes_count = 0;
        }
    }
}

/* State of writing the upstreams, one message for each part of them. */
struct endpoint_writer {
    struct rg_msg m;
    struct rg_strbuf *out;
    const struct rg_pool *pool;
    uint64_t now_ms;
    uint64_t after; /* revision that the receiver has, 0: none */
};

static bool
is_newer(const struct endpoint_writer *w, const struct rg_endpoint *e)
{
    if (w->after == 0) {
        return e->state != RG_ENDPOINT_GONE;
    }
    return e->revision > w->after;
}

static uint32_t
time_left(uint64_t until_ms, uint64_t now_ms)
{
    return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 0;
}

static void
write_endpoint(void *ctx, const struct rg_endpoint *e)
{
    struct endpoint_writer *w = ctx;
    struct rg_msg_boots_part *part = &w->m.u.boots_part;
    size_t max = sizeof(part->boots) / sizeof(part->boots[0]);
    bool missing = e->state == RG_ENDPOINT_MISSING;

    if (!is_newer(w, e)) {
        return;
    }
    part->total++;
    part->boots[part->boots_count++] = (struct rg_msg_boot){
        .id = e->id,
        .wire_id = e->wire_id,
        .boot_ms = e->boot_ms,
        .service = *rg_pool_service_name(w->pool, e->service),
        .data_centre = e->data_centre->name,
        .addr = e->addr,
        .slots = e->slots,
        .draining = e->state == RG_ENDPOINT_DRAINING,
        .gone = e->state == RG_ENDPOINT_GONE || missing,
        .keep_ms = missing ? time_left(e->keep_until_ms, w->now_ms) : 0,
        .cold_left_ms = time_left(e->cold_until_ms, w->now_ms),
        .revision = rg_revision_number(e->revision),
        .era = rg_revision_era(e->revision),
        .heartbeats = e->heartbeats,
    };
    if (part->boots_count == max) {
        write_message(&w->m, w->out);
        part->boots_count = 0;
    }
}

static uint32_t
age_ms(uint64_t at_ms, uint64_t now_ms)
{
    uint64_t age = now_ms > at_ms ? now_ms - at_ms : 0;

    return age < UINT32_MAX ? (uint32_t)age : UINT32_MAX;
}

/* Adds the evacuations to the part that is being written, and to further ones
 * if there are many. */
static void
write_evacuations(struct endpoint_writer *w)
{
    const struct rg_evacuations *x = rg_pool_evacuations(w->pool);
    struct rg_msg_boots_part *part = &w->m.u.boots_part;
    size_t max = sizeof(part->evacuations) / sizeof(part->evacuations[0]);

    for (size_t i = 0; i < rg_evacuations_count(x); i++) {
        const struct rg_evacuation *e = rg_evacuations_at(x, i);
        if (e->revision == 0) {
            continue;
        }
        if (part->evacuations_count == max) {
            write_message(&w->m, w->out);
            part->boots_count = 0;
            part->evacuations_count = 0;
        }
        part->evacuations[part->evacuations_count++] =
            (struct rg_msg_evacuation){
                .data_centre = e->data_centre,
                .revision = rg_revision_number(e->revision),
                .era = rg_revision_era(e->revision),
                .in_force = e->in_force,
                .age_ms = age_ms(e->since_ms, w->now_ms),
            };
    }
    part->evacuations_known = rg_evacuations_are_complete(x);
}

/* The same for the instances that have changed, or all. */
static void
write_instances(struct endpoint_writer *w, const struct rg_instances *x)
{
    struct rg_msg_boots_part *part = &w->m.u.boots_part;
    size_t max = sizeof(part->instances) / sizeof(part->instances[0]);

    for (size_t i = 0; i < rg_instances_count(x); i++) {
        const struct rg_instance *instance = rg_instances_at(x, i);
        bool removed = instance->removed_ms != 0;
        if (w->after == 0 ? removed : instance->revision <= w->after) {
            continue;
        }
        if (part->instances_count == max) {
            write_message(&w->m, w->out);
            part->boots_count = 0;
            part->evacuations_count = 0;
            part->instances_count = 0;
        }
        part->instances[part->instances_count++] = (struct rg_msg_instance){
            .id = instance->id,
            .addr = instance->addr,
            .revision = rg_revision_number(instance->revision),
            .era = rg_revision_era(instance->revision),
            .removed = removed,
        };
    }
    part->instances_known = rg_instances_are_complete(x);
}

void
rg_snapshot_write(struct rg_balancer *b, uint64_t revision,
                  const struct rg_snapshot_base *base, uint64_t now_ms,
                  struct rg_strbuf *out)
{
    struct rg_pool *pool = rg_balancer_pool(b);
    struct endpoint_writer *w = rg_calloc(1, sizeof(*w));

    if (rg_balancer_version(b) > base->version) {
        write_routes(rg_balancer_routes(b), out);
    }
    bool settles = base->provisional && !rg_pool_is_provisional(pool);
    bool same_era =
        rg_revision_era(base->revision) == rg_revision_era(revision);
    if (same_era && base->revision >= rg_pool_compacted_revision(pool) &&
        !settles) {
        w->after = base->revision;
    }
    w->m.kind = RG_MSG_BOOTS_PART;
    w->m.u.boots_part.revision = rg_revision_number(revision);
    w->m.u.boots_part.era = rg_revision_era(revision);
    w->m.u.boots_part.after = rg_revision_number(w->after);
    w->m.u.boots_part.provisional = rg_pool_is_provisional(pool);
    w->out = out;
    w->pool = pool;
    w->now_ms = now_ms;
    rg_pool_each(pool, write_endpoint, w);
    write_evacuations(w);
    write_instances(w, rg_balancer_instances(b));
    w->m.u.boots_part.last = true;
    write_message(&w->m, out);
    free(w);
}

/* --- reading ------------------------------------------------------------- */

/* Contents of a snapshot, collected before anything is applied. */
struct contents {
    uint64_t version;
    struct rg_route *routes;
    size_t route_count;
    size_t route_total;
    struct rg_cold_limit *cold_limits;
    size_t cold_limit_count;
    uint64_t revision;
    struct rg_msg_boot *endpoints;
    size_t endpoint_count;
    size_t endpoint_total;
    uint64_t after; /* base revision, 0: contains all upstreams */
    struct rg_evacuation_change *evacuations;
    size_t evacuation_count;
    bool evacuations_known;
    struct rg_msg_instance *instances;
    size_t instance_count;
    bool instances_known;
    bool provisional;
    bool ended; /* the last part has been read */
};

static bool
decode_route(struct rg_route *out, const struct rg_msg_route *r)
{
    *out = (struct rg_route){
        .ip = r->ip,
        .port = r->port,
        .repeat = r->repeat,
        .timeout_ms = r->timeout_ms,
        .target_ms = r->target_ms,
        .priority = r->priority,
        .share_count = (uint8_t)r->shares_count,
    };
    for (uint16_t i = 0; i < r->shares_count; i++) {
        out->shares[i].service = r->shares[i].service;
        out->shares[i].weight = r->shares[i].weight;
    }
    return r->repeat <= RG_REPEAT_UNSAFE;
}

static void
add_cold_limits(struct contents *c, const struct rg_msg_routes_part *part)
{
    size_t count = c->cold_limit_count + part->cold_limits_count;

    c->cold_limits =
        rg_realloc(c->cold_limits, (count + 1) * sizeof(*c->cold_limits));
    for (uint16_t i = 0; i < part->cold_limits_count; i++) {
        c->cold_limits[c->cold_limit_count++] = (struct rg_cold_limit){
            .service = part->cold_limits[i].service,
            .per_s = (double)part->cold_limits[i].milli_per_s / MILLI,
        };
    }
}

static bool
add_routes(struct contents *c, const struct rg_msg_routes_part *part)
{
    size_t count = c->route_count + part->routes_count;

    if (c->route_count > 0 && part->version != c->version) {
        return false;
    }
    c->version = part->version;
    c->route_total = part->total;
    c->routes = rg_realloc(c->routes, (count + 1) * sizeof(*c->routes));
    for (uint16_t i = 0; i < part->routes_count; i++) {
        if (!decode_route(&c->routes[c->route_count + i], &part->routes[i])) {
            return false;
        }
    }
    c->route_count = count;
    add_cold_limits(c, part);
    return true;
}

static void
add_endpoints(struct contents *c, const struct rg_msg_boots_part *part)
{
    size_t count = c->endpoint_count + part->boots_count;

    c->revision = rg_revision_received(part->era, part->revision);
    c->provisional = part->provisional;
    c->endpoint_total = part->total;
    c->after = part->after;
    if (part->after != 0) {
        /* An invalid base is one that the own view does not have. */
        c->after = rg_revision_is_valid(part->era, part->after)
                       ? rg_revision_make(part->era, part->after)
                       : UINT64_MAX;
    }
    c->ended = part->last;
    c->endpoints =
        rg_realloc(c->endpoints, (count + 1) * sizeof(*c->endpoints));
    memcpy(c->endpoints + c->endpoint_count, part->boots,
           part->boots_count * sizeof(*c->endpoints));
    c->endpoint_count = count;
}

static void
add_evacuations(struct contents *c, const struct rg_msg_boots_part *part)
{
    size_t count = c->evacuation_count + part->evacuations_count;

    c->evacuations_known = part->evacuations_known;
    c->evacuations =
        rg_realloc(c->evacuations, (count + 1) * sizeof(*c->evacuations));
    for (uint16_t i = 0; i < part->evacuations_count; i++) {
        const struct rg_msg_evacuation *e = &part->evacuations[i];
        c->evacuations[c->evacuation_count++] = (struct rg_evacuation_change){
            .data_centre = e->data_centre,
            .revision = rg_revision_received(e->era, e->revision),
            .in_force = e->in_force,
            .age_ms = e->age_ms,
        };
    }
}

static void
add_instances(struct contents *c, const struct rg_msg_boots_part *part)
{
    size_t count = c->instance_count + part->instances_count;

    c->instances_known = part->instances_known;
    c->instances =
        rg_realloc(c->instances, (count + 1) * sizeof(*c->instances));
    memcpy(c->instances + c->instance_count, part->instances,
           part->instances_count * sizeof(*c->instances));
    c->instance_count = count;
}

static bool
add_message(struct contents *c, const struct rg_msg *m)
{
    if (c->ended) {
        return false;
    }
    switch (m->kind) {
    case RG_MSG_ROUTES_PART:
        return add_routes(c, &m->u.routes_part);
    case RG_MSG_BOOTS_PART:
        add_endpoints(c, &m->u.boots_part);
        add_evacuations(c, &m->u.boots_part);
        add_instances(c, &m->u.boots_part);
        return true;
    default:
        return false;
    }
}

static bool
read_all(struct contents *c, struct rg_str bytes, struct rg_msg *m)
{
    size_t at = 0;

    while (at + LENGTH_BYTES <= bytes.len) {
        const uint8_t *p = (const uint8_t *)bytes.ptr + at;
        size_t len =
            (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];
        at += LENGTH_BYTES;
        if (len > bytes.len - at || !rg_msg_unpack(m, p + LENGTH_BYTES, len) ||
            !add_message(c, m))
        {
            return false;
        }
        at += len;
    }
    return at == bytes.len && c->ended && c->revision > 0 &&
           c->route_count == c->route_total &&
           c->endpoint_count == c->endpoint_total;
}

static void
begin(struct rg_pool *pool, bool complete, bool provisional)
{
    if (complete && provisional) {
        rg_pool_begin_provisional_listing(pool);
    }
    else if (complete) {
        rg_pool_begin_listing(pool);
    }
    else if (provisional) {
        rg_pool_begin_provisional_rows(pool);
    }
}

static void
apply_endpoints(struct rg_pool *pool, const struct contents *c,
                bool provisional, uint64_t now_ms)
{
    begin(pool, c->after == 0, provisional);
    for (size_t i = 0; i < c->endpoint_count; i++) {
        const struct rg_msg_boot *e = &c->endpoints[i];
        uint64_t revision = rg_revision_received(e->era, e->revision);
        if (e->gone) {
            rg_pool_remove_endpoint(pool, &e->id, e->boot_ms, revision,
                                    e->keep_ms, now_ms);
            continue;
        }
        struct rg_endpoint_info info = {
            .id = e->id,
            .wire_id = e->wire_id,
            .boot_ms = e->boot_ms,
            .service = e->service,
            .data_centre = e->data_centre,
            .addr = e->addr,
            .slots = e->slots ? e->slots : 1,
            .draining = e->draining,
            .cold_left_ms = e->cold_left_ms,
            .heartbeats = e->heartbeats,
        };
        rg_pool_update(pool, &info, revision, now_ms);
    }
    if (c->after == 0) {
        rg_pool_end_listing(pool, c->revision,
                            c->provisional ? LAPSED_KEEP_MS : 0, now_ms);
    }
    else if (provisional) {
        rg_pool_end_provisional_rows(pool);
    }
}

/* True if the snapshot makes a provisional view an authoritative one. */
static bool
settles(const struct rg_pool *pool, const struct contents *c, uint64_t own)
{
    return c->after == 0 && !c->provisional && rg_pool_is_provisional(pool) &&
           rg_revision_era(c->revision) == rg_revision_era(own);
}

/* Applies the endpoints to a view at the revision `own`. */
static void
apply_view(struct rg_pool *pool, const struct contents *c, uint64_t own,
           uint64_t now_ms)
{
    bool new_era = rg_revision_era(c->revision) > rg_revision_era(own);
    bool is_provisional = new_era || rg_pool_is_provisional(pool);

    apply_endpoints(pool, c, c->provisional && is_provisional, now_ms);
    if (c->after == 0 && is_provisional) {
        rg_pool_set_provisional(pool, c->provisional);
    }
}

static void
apply_evacuations(struct rg_pool *pool, const struct contents *c,
                  uint64_t now_ms)
{
    struct rg_evacuations *x = rg_pool_evacuations(pool);

    if (c->evacuations_known) {
        rg_evacuations_apply_all(x, c->evacuations, c->evacuation_count,
                                 c->provisional ? 0 : c->revision, now_ms);
    }
    else {
        rg_evacuations_set_incomplete(x);
    }
}

/* Changes of a view that does not know all instances are of no use: what is
 * known here stays. */
static void
apply_instances(struct rg_instances *x, const struct contents *c,
                uint64_t now_ms)
{
    bool whole = c->after == 0;

    if (!c->instances_known) {
        return;
    }
    if (whole) {
        rg_instances_begin_listing(x);
    }
    for (size_t i = 0; i < c->instance_count; i++) {
        const struct rg_msg_instance *m = &c->instances[i];
        uint64_t revision = rg_revision_received(m->era, m->revision);
        if (m->removed) {
            rg_instances_remove(x, m->id, revision, now_ms);
        }
        else {
            rg_instances_update(x, m->id, &m->addr, revision);
        }
    }
    if (whole) {
        rg_instances_end_listing(x, c->provisional ? 0 : c->revision, now_ms);
    }
}

bool
rg_snapshot_read(struct rg_balancer *b, struct rg_str bytes,
                 uint64_t *revision, uint64_t now_ms)
{
    struct rg_msg *m = rg_calloc(1, sizeof(*m));
    struct contents c = {0};
    bool ok = read_all(&c, bytes, m);

    ok = ok && c.after <= *revision;
    if (ok && c.version > rg_balancer_version(b)) {
        struct rg_routes *routes =
            rg_routes_create(c.version, c.routes, c.route_count);
        rg_routes_set_cold_limits(routes, c.cold_limits, c.cold_limit_count);
        rg_balancer_set_routes(b, routes);
        c.routes = NULL;
        c.cold_limits = NULL;
    }
    struct rg_pool *pool = rg_balancer_pool(b);
    if (ok && (c.revision > *revision || settles(pool, &c, *revision))) {
        apply_evacuations(pool, &c, now_ms);
        apply_instances(rg_balancer_instances(b), &c, now_ms);
        apply_view(pool, &c, *revision, now_ms);
        *revision = c.revision > *revision ? c.revision : *revision;
    }
    free(c.routes);
    free(c.cold_limits);
    free(c.endpoints);
    free(c.evacuations);
    free(c.instances);
    free(m);
    return ok;
}
