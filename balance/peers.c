#include "balance/peers.h"

#include <stdlib.h>
#include <string.h>

#include "balance/fleet_size.h"
#include "common/mem.h"
#include "common/rand.h"

/* A peer that was not heard for this long is not relied on: in a group of
 * RG_PEERS_MAX each hears each other every few seconds. */
#define HEARD_LATELY_MS 6000
/* One that was not heard for longer is forgotten when its place is needed. */
#define FORGET_MS 15000
/* A seed or a peer unheard of is still told digests, this seldom: one in so
 * many. */
#define STRANGER_ONE_IN 4
/* Of the others, one in so many is in another data centre. */
#define REMOTE_ONE_IN 4
/* Of the digests of those that a full table has no place for, one in so many
 * makes one. */
#define REPLACE_ONE_IN 16
/* One digest in so many names contacts: who exists changes slowly. */
#define CONTACTS_ONE_IN 4
/* The view is covered while the store has answered someone within this share
 * of the bound, percent. Readers ask it within 25, and a digest takes up to
 * four periods to get round; what is left of the bound is for asking it
 * oneself. */
#define COVERED_PERCENT 55
/* Under a tighter bound digests would come too late: all ask the store. */
#define COVERED_LEAST_BOUND_MS 2500
/* Peers get this share of the bound, percent, to pass on what is known before
 * the store is asked; no less than a few digests take to get round. */
#define BEHIND_PERCENT 23
#define BEHIND_LEAST_MS 500

struct peer {
    struct rg_addr addr;
    struct rg_name name; /* empty: never heard */
    uint64_t rank;
    uint64_t heard_ms; /* 0: never */
    uint64_t version;
    uint64_t revision;
    uint64_t confirmed_ms; /* when the store last answered it */
    uint32_t openings_per_s;
    bool leaving;
    bool local; /* in the own data centre */
};

struct rg_peers {
    struct rg_peers_opts opts;
    struct rg_rand rand;
    uint64_t rank;
    struct rg_peers_view latest; /* the most heard of anywhere */
    struct rg_peers_view mark;   /* what was known at mark_ms */
    uint64_t mark_ms;
    struct rg_fleet_size census;
    struct peer peers[RG_PEERS_MAX];
    size_t count;
};

/* Ranks by name, so that all agree without a word. */
static uint64_t
rank_of(const struct rg_name *name)
{
    uint64_t hash = 0;

    for (uint8_t i = 0; i < name->len; i++) {
        hash = rg_mix64(hash ^ (uint8_t)name->s[i]);
    }
    return hash;
}

static uint32_t
census_hash(const struct rg_name *name)
{
    return (uint32_t)(rank_of(name) >> 32);
}

static bool
is_heard(const struct peer *peer, uint64_t now_ms)
{
    return peer->heard_ms != 0 && now_ms - peer->heard_ms < HEARD_LATELY_MS;
}

static struct peer *
find(struct rg_peers *p, const struct rg_addr *addr)
{
    for (size_t i = 0; i < p->count; i++) {
        if (rg_addr_eq(&p->peers[i].addr, addr)) {
            return &p->peers[i];
        }
    }
    return NULL;
}

/* A place for a new peer: a free one, or that of one long silent. */
static struct peer *
make_place(struct rg_peers *p, uint64_t now_ms)
{
    if (p->count < RG_PEERS_MAX) {
        return &p->peers[p->count++];
    }
    for (size_t i = 0; i < p->count; i++) {
        if (now_ms - p->peers[i].heard_ms > FORGET_MS) {
            return &p->peers[i];
        }
    }
    return NULL;
}

/* A place in a full table for a peer that has spoken. One of the own data
 * centre takes that of one elsewhere, if many of those are known. Else it is
 * chance: whoever speaks must be heard of in the end, and none is pushed out
 * by a few words. */
static struct peer *
replace_one(struct rg_peers *p, bool local)
{
    size_t start = rg_rand_below(&p->rand, (uint32_t)p->count);
    bool lucky = rg_rand_below(&p->rand, REPLACE_ONE_IN) == 0;
    struct peer *remote = NULL;
    size_t remotes = 0;

    for (size_t i = 0; i < p->count; i++) {
        struct peer *peer = &p->peers[(start + i) % p->count];
        if (!peer->local) {
            remotes++;
            remote = peer;
        }
    }
    if (local && remotes > RG_PEERS_REMOTE_MIN) {
        return remote;
    }
    if (!lucky) {
        return NULL;
    }
    return local ? &p->peers[start] : remote;
}

static struct peer *
meet(struct rg_peers *p, const struct rg_addr *addr, uint64_t now_ms)
{
    struct peer *peer = find(p, addr);

    if (peer || addr->port == 0 || rg_addr_eq(addr, &p->opts.addr)) {
        return peer;
    }
    peer = make_place(p, now_ms);
    if (peer) {
        *peer = (struct peer){.addr = *addr};
    }
    return peer;
}

void
rg_peers_add_seed(struct rg_peers *p, const struct rg_addr *addr)
{
    meet(p, addr, 0);
}

/* When something of this age was; 0 if there was nothing. */
static uint64_t
time_of(uint64_t revision, uint32_t age_ms, uint64_t now_ms)
{
    return revision == 0 || age_ms > now_ms ? 0 : now_ms - age_ms;
}

static void
raise_latest(struct rg_peers *p, uint64_t version, uint64_t revision,
             uint64_t confirmed_ms)
{
    struct rg_peers_view *latest = &p->latest;

    latest->version = version > latest->version ? version : latest->version;
    latest->revision =
        revision > latest->revision ? revision : latest->revision;
    latest->confirmed_ms = confirmed_ms > latest->confirmed_ms
                               ? confirmed_ms
                               : latest->confirmed_ms;
}

void
rg_peers_digest_received(struct rg_peers *p, const struct rg_msg_digest *d,
                         uint64_t now_ms)
{
    struct peer *peer = meet(p, &d->addr, now_ms);
    bool local = rg_name_eq(&d->data_centre, &p->opts.data_centre);

    if (!peer && d->addr.port != 0 && !rg_addr_eq(&d->addr, &p->opts.addr)) {
        peer = replace_one(p, local);
        if (peer) {
            *peer = (struct peer){.addr = d->addr};
        }
    }
    for (uint16_t i = 0; i < d->contacts_count; i++) {
        meet(p, &d->contacts[i].addr, now_ms);
    }
    rg_fleet_size_add(&p->census, census_hash(&d->from), now_ms, now_ms);
    for (uint16_t i = 0; i < d->members_count; i++) {
        const struct rg_msg_member *m = &d->members[i];
        uint64_t active_ms = m->age_ms > now_ms ? 0 : now_ms - m->age_ms;
        rg_fleet_size_add(&p->census, m->hash, active_ms, now_ms);
    }
    raise_latest(p, d->latest_version, d->latest_revision,
                 time_of(d->latest_revision, d->latest_age_ms, now_ms));
    if (!peer) {
        return;
    }
    peer->name = d->from;
    peer->rank = rank_of(&d->from);
    peer->heard_ms = now_ms;
    peer->version = d->version;
    peer->revision = d->revision;
    peer->confirmed_ms = time_of(d->revision, d->age_ms, now_ms);
    peer->openings_per_s = d->openings_per_s;
    peer->leaving = d->leaving;
    peer->local = local;
}

/* A random peer: strangers now and then, as they may be back, and mostly those
 * of the own data centre, as traffic between them is dear. */
static const struct peer *
pick(struct rg_peers *p, enum rg_peers_scope reach, uint64_t now_ms)
{
    size_t start = rg_rand_below(&p->rand, (uint32_t)p->count);
    bool neighbour = reach == RG_PEERS_LOCAL;
    bool stranger =
        !neighbour && rg_rand_below(&p->rand, STRANGER_ONE_IN) == 0;
    bool local = neighbour || rg_rand_below(&p->rand, REMOTE_ONE_IN) != 0;
    const struct peer *second = NULL;

    for (size_t i = 0; i < p->count; i++) {
        const struct peer *peer = &p->peers[(start + i) % p->count];
        if (is_heard(peer, now_ms) == stranger) {
            continue;
        }
        if (stranger || peer->local == local) {
            return peer;
        }
        second = peer;
    }
    return second ? second : &p->peers[start];
}

static void
add_contacts(struct rg_peers *p, uint64_t now_ms, struct rg_msg_digest *out)
{
    size_t most = sizeof(out->contacts) / sizeof(out->contacts[0]);
    size_t start = rg_rand_below(&p->rand, (uint32_t)p->count);

    for (size_t i = 0; i < p->count && out->contacts_count < most; i++) {
        const struct peer *peer = &p->peers[(start + i) % p->count];
        if (is_heard(peer, now_ms) && !peer->leaving) {
            out->contacts[out->contacts_count++].addr = peer->addr;
        }
    }
}

/* A run of those that the size of the fleet is estimated by. */
static void
add_members(struct rg_peers *p, uint64_t now_ms, struct rg_msg_digest *out)
{
    const struct rg_fleet_size *c = &p->census;
    size_t most = sizeof(out->members) / sizeof(out->members[0]);
    size_t start = rg_rand_below(&p->rand, (uint32_t)c->count);

    for (size_t i = 0; i < c->count && i < most; i++) {
        const struct rg_fleet_size_entry *e =
            &c->entries[(start + i) % c->count];
        out->members[out->members_count++] = (struct rg_msg_member){
            .hash = e->hash, .age_ms = (uint32_t)(now_ms - e->active_ms)};
    }
}

bool
rg_peers_next_digest(struct rg_peers *p, const struct rg_peers_view *view,
                     enum rg_peers_scope reach, uint64_t now_ms,
                     struct rg_msg_digest *out, struct rg_peers_target *to)
{
    if (p->count == 0) {
        return false;
    }
    memset(out, 0, sizeof(*out));
    out->from = p->opts.name;
    out->data_centre = p->opts.data_centre;
    out->addr = p->opts.addr;
    out->version = view->version;
    out->revision = view->confirmed_ms ? view->revision : 0;
    out->age_ms =
        view->confirmed_ms ? (uint32_t)(now_ms - view->confirmed_ms) : 0;
    raise_latest(p, view->version, view->revision, view->confirmed_ms);
    out->latest_version = p->latest.version;
    out->latest_revision = p->latest.confirmed_ms ? p->latest.revision : 0;
    out->latest_age_ms = p->latest.confirmed_ms
                             ? (uint32_t)(now_ms - p->latest.confirmed_ms)
                             : 0;
    out->openings_per_s = view->openings_per_s;
    out->leaving = view->leaving;
    if (rg_rand_below(&p->rand, CONTACTS_ONE_IN) == 0) {
        add_contacts(p, now_ms, out);
    }
    add_members(p, now_ms, out);
    const struct peer *peer = pick(p, reach, now_ms);
    *to = (struct rg_peers_target){.addr = peer->addr, .local = peer->local};
    return true;
}

bool
rg_peers_is_store_reader(const struct rg_peers *p, uint64_t now_ms)
{
    uint64_t age_ms = now_ms - p->latest.confirmed_ms;

    if (p->opts.bound_ms < COVERED_LEAST_BOUND_MS) {
        return true;
    }
    if (age_ms * 100 >= (uint64_t)p->opts.bound_ms * COVERED_PERCENT) {
        return true;
    }
    for (size_t i = 0; i < p->count; i++) {
        const struct peer *peer = &p->peers[i];
        if (is_heard(peer, now_ms) && !peer->leaving && peer->rank < p->rank) {
            return false;
        }
    }
    return true;
}

static bool
knows_more(const struct peer *peer, const struct rg_peers_view *view)
{
    return peer->version > view->version || peer->revision > view->revision;
}

bool
rg_peers_is_behind(struct rg_peers *p, const struct rg_peers_view *view,
                   uint64_t now_ms)
{
    bool lacks =
        view->version < p->mark.version || view->revision < p->mark.revision;

    /* What is told changes all the time on a busy day: what counts is whether
     * the own view has reached what was known when the mark was set. */
    if (!lacks) {
        p->mark = p->latest;
        p->mark_ms = now_ms;
        return false;
    }
    uint64_t limit_ms = (uint64_t)p->opts.bound_ms * BEHIND_PERCENT / 100;
    if (limit_ms < BEHIND_LEAST_MS) {
        limit_ms = BEHIND_LEAST_MS;
    }
    return now_ms - p->mark_ms >= limit_ms;
}

bool
rg_peers_find_newer(struct rg_peers *p, const struct rg_peers_view *view,
                    uint64_t now_ms, struct rg_addr *out)
{
    size_t start = rg_rand_below(&p->rand, (uint32_t)p->count);

    const struct peer *found = NULL;

    /* Any of them: the few that know first must not serve all others. */
    for (size_t i = 0; i < p->count && !(found && found->local); i++) {
        const struct peer *peer = &p->peers[(start + i) % p->count];
        bool ahead = is_heard(peer, now_ms) && knows_more(peer, view) &&
                     peer->confirmed_ms != 0;
        if (ahead && (!found || peer->local)) {
            found = peer;
        }
    }
    if (found) {
        *out = found->addr;
    }
    return found != NULL;
}

uint64_t
rg_peers_confirmed_ms(const struct rg_peers *p,
                      const struct rg_peers_view *view)
{
    bool lacks = view->version < p->latest.version ||
                 view->revision < p->latest.revision;

    return lacks ? 0 : p->latest.confirmed_ms;
}

size_t
rg_peers_count(const struct rg_peers *p, uint64_t now_ms)
{
    size_t heard = 0;

    for (size_t i = 0; i < p->count; i++) {
        heard += is_heard(&p->peers[i], now_ms);
    }
    return heard;
}

size_t
rg_peers_local_count(const struct rg_peers *p, uint64_t now_ms)
{
    size_t heard = 0;

    for (size_t i = 0; i < p->count; i++) {
        heard += p->peers[i].local && is_heard(&p->peers[i], now_ms);
    }
    return heard;
}

size_t
rg_peers_fleet_size(struct rg_peers *p, uint64_t now_ms)
{
    rg_fleet_size_add(&p->census, census_hash(&p->opts.name), now_ms, now_ms);
    rg_fleet_size_expire(&p->census, now_ms);
    return rg_fleet_size_estimate(&p->census);
}

double
rg_peers_flow_share(struct rg_peers *p, uint32_t openings_per_s,
                    uint64_t now_ms)
{
    double sum = openings_per_s;
    size_t heard = 1;

    for (size_t i = 0; i < p->count; i++) {
        const struct peer *peer = &p->peers[i];
        if (is_heard(peer, now_ms) && !peer->leaving) {
            sum += peer->openings_per_s;
            heard++;
        }
    }
    double fleet = (double)rg_peers_fleet_size(p, now_ms);
    double others = sum / (double)heard;
    return others > 0 ? openings_per_s / (others * fleet) : 1 / fleet;
}

struct rg_peers *
rg_peers_create(const struct rg_peers_opts *opts)
{
    struct rg_peers *p = rg_calloc(1, sizeof(*p));

    p->opts = *opts;
    p->rand.state = opts->seed;
    p->rank = rank_of(&opts->name);
    return p;
}

void
rg_peers_destroy(struct rg_peers *p)
{
    free(p);
}
