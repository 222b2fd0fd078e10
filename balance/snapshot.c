#include "balance/snapshot.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "proto/messages.gen.h"

#define LENGTH_BYTES 4
#define MESSAGE_MAX 16384

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
fill_route(struct rg_msg_route *out, const struct rg_route *r)
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

static void
write_routes(struct rg_routes *routes, struct rg_strbuf *out)
{
    struct rg_msg m = {.kind = RG_MSG_ROUTES_PART};
    struct rg_msg_routes_part *part = &m.u.routes_part;
    size_t most = sizeof(part->routes) / sizeof(part->routes[0]);
    size_t total = rg_routes_count(routes);

    part->version = rg_routes_version(routes);
    part->total = (uint32_t)total;
    for (size_t i = 0; i < total; i++) {
        fill_route(&part->routes[part->routes_count++],
                   rg_routes_at(routes, i));
        if (part->routes_count == most || i + 1 == total) {
            write_message(&m, out);
            part->routes_count = 0;
        }
    }
}

/* Upstreams being written, a part at a time. */
struct boots_writer {
    struct rg_msg m;
    struct rg_strbuf *out;
    const struct rg_pool *pool;
    uint64_t now_ms;
    uint64_t after; /* revision the receiver has */
};

static bool
is_wanted(const struct boots_writer *w, const struct rg_endpoint *b)
{
    if (w->after == 0) {
        return b->state != RG_ENDPOINT_GONE;
    }
    return b->revision > w->after;
}

static uint32_t
time_left(uint64_t until_ms, uint64_t now_ms)
{
    return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 0;
}

static void
write_boot(void *ctx, const struct rg_endpoint *b)
{
    struct boots_writer *w = ctx;
    struct rg_msg_boots_part *part = &w->m.u.boots_part;
    size_t most = sizeof(part->boots) / sizeof(part->boots[0]);
    bool missing = b->state == RG_ENDPOINT_MISSING;

    if (!is_wanted(w, b)) {
        return;
    }
    part->total++;
    part->boots[part->boots_count++] = (struct rg_msg_boot){
        .id = b->id,
        .wire_id = b->wire_id,
        .boot_ms = b->boot_ms,
        .service = *rg_pool_service_name(w->pool, b->service),
        .data_centre = b->place->name,
        .addr = b->addr,
        .slots = b->slots,
        .draining = b->state == RG_ENDPOINT_DRAINING,
        .gone = b->state == RG_ENDPOINT_GONE || missing,
        .keep_ms = missing ? time_left(b->keep_until_ms, w->now_ms) : 0,
        .cold_left_ms = time_left(b->cold_until_ms, w->now_ms),
        .revision = b->revision,
    };
    if (part->boots_count == most) {
        write_message(&w->m, w->out);
        part->boots_count = 0;
    }
}

void
rg_snapshot_write(struct rg_balancer *b, uint64_t revision,
                  const struct rg_snapshot_base *base, uint64_t now_ms,
                  struct rg_strbuf *out)
{
    struct rg_pool *pool = rg_balancer_pool(b);
    struct boots_writer *w = rg_calloc(1, sizeof(*w));

    if (rg_balancer_version(b) > base->version) {
        write_routes(rg_balancer_routes(b), out);
    }
    if (base->revision >= rg_pool_compacted_revision(pool)) {
        w->after = base->revision;
    }
    w->m.kind = RG_MSG_BOOTS_PART;
    w->m.u.boots_part.revision = revision;
    w->m.u.boots_part.after = w->after;
    w->out = out;
    w->pool = pool;
    w->now_ms = now_ms;
    rg_pool_each(pool, write_boot, w);
    w->m.u.boots_part.last = true;
    write_message(&w->m, out);
    free(w);
}

/* --- reading ------------------------------------------------------------- */

/* What the messages of a view hold, gathered before anything is changed. */
struct view {
    uint64_t version;
    struct rg_route *routes;
    size_t route_count;
    size_t route_total;
    uint64_t revision;
    struct rg_msg_boot *boots;
    size_t boot_count;
    size_t boot_total;
    uint64_t after;
    bool ended; /* the last part has come */
};

static bool
take_route(struct rg_route *out, const struct rg_msg_route *r)
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

static bool
take_routes(struct view *v, const struct rg_msg_routes_part *part)
{
    size_t count = v->route_count + part->routes_count;

    if (v->route_count > 0 && part->version != v->version) {
        return false;
    }
    v->version = part->version;
    v->route_total = part->total;
    v->routes = rg_realloc(v->routes, (count + 1) * sizeof(*v->routes));
    for (uint16_t i = 0; i < part->routes_count; i++) {
        if (!take_route(&v->routes[v->route_count + i], &part->routes[i])) {
            return false;
        }
    }
    v->route_count = count;
    return true;
}

static void
take_boots(struct view *v, const struct rg_msg_boots_part *part)
{
    size_t count = v->boot_count + part->boots_count;

    v->revision = part->revision;
    v->boot_total = part->total;
    v->after = part->after;
    v->ended = part->last;
    v->boots = rg_realloc(v->boots, (count + 1) * sizeof(*v->boots));
    memcpy(v->boots + v->boot_count, part->boots,
           part->boots_count * sizeof(*v->boots));
    v->boot_count = count;
}

static bool
take_message(struct view *v, const struct rg_msg *m)
{
    if (v->ended) {
        return false;
    }
    switch (m->kind) {
    case RG_MSG_ROUTES_PART:
        return take_routes(v, &m->u.routes_part);
    case RG_MSG_BOOTS_PART:
        take_boots(v, &m->u.boots_part);
        return true;
    default:
        return false;
    }
}

static bool
take_all(struct view *v, struct rg_str bytes, struct rg_msg *m)
{
    size_t at = 0;

    while (at + LENGTH_BYTES <= bytes.len) {
        const uint8_t *p = (const uint8_t *)bytes.ptr + at;
        size_t len =
            (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];
        at += LENGTH_BYTES;
        if (len > bytes.len - at || !rg_msg_unpack(m, p + LENGTH_BYTES, len) ||
            !take_message(v, m))
        {
            return false;
        }
        at += len;
    }
    return at == bytes.len && v->ended && v->revision > 0 &&
           v->route_count == v->route_total && v->boot_count == v->boot_total;
}

static void
apply_boots(struct rg_pool *pool, const struct view *v, uint64_t now_ms)
{
    if (v->after == 0) {
        rg_pool_begin_listing(pool);
    }
    for (size_t i = 0; i < v->boot_count; i++) {
        const struct rg_msg_boot *b = &v->boots[i];
        if (b->gone) {
            rg_pool_remove_endpoint(pool, &b->id, b->boot_ms, b->revision,
                                    b->keep_ms, now_ms);
            continue;
        }
        struct rg_endpoint_info report = {
            .id = b->id,
            .wire_id = b->wire_id,
            .boot_ms = b->boot_ms,
            .service = b->service,
            .data_centre = b->data_centre,
            .addr = b->addr,
            .slots = b->slots ? b->slots : 1,
            .draining = b->draining,
            .cold_left_ms = b->cold_left_ms,
        };
        rg_pool_update(pool, &report, b->revision, now_ms);
    }
    if (v->after == 0) {
        rg_pool_end_listing(pool, v->revision, 0, now_ms);
    }
}

bool
rg_snapshot_read(struct rg_balancer *b, struct rg_str bytes,
                 uint64_t *revision, uint64_t now_ms)
{
    struct rg_msg *m = rg_calloc(1, sizeof(*m));
    struct view v = {0};
    bool ok = take_all(&v, bytes, m);

    ok = ok && v.after <= *revision;
    if (ok && v.version > rg_balancer_version(b)) {
        rg_balancer_set_routes(
            b, rg_routes_create(v.version, v.routes, v.route_count));
        v.routes = NULL;
    }
    if (ok && v.revision > *revision) {
        apply_boots(rg_balancer_pool(b), &v, now_ms);
        *revision = v.revision;
    }
    free(v.routes);
    free(v.boots);
    free(m);
    return ok;
}
