#include "balance/peers.h"

#include <stdlib.h>
#include <string.h>

#include "balance/fleet_size.h"
#include "balance/home_choice.h"
#include "balance/revision.h"
#include "balance/store_answers.h"
#include "common/mem.h"
#include "common/rand.h"

/* A peer that has sent no digest for this long is not relied on. In a group of
 * RG_PEERS_MAX, each gets a digest of each other every few seconds. */
#define RECENT_MS 6000
/* After this time without a digest a peer may be replaced by another one. */
#define REPLACE_AFTER_MS 15000
/* One in this many digests goes to a seed or an inactive peer. */
#define INACTIVE_ONE_IN 4
/* Of the others, one in this many goes to another data centre. */
#define REMOTE_ONE_IN 4
/* If the table is full, one in this many digests of unknown peers makes its
 * sender replace another peer. */
#define REPLACE_ONE_IN 16
/* Flows of an instance that stops go to others of its data centre, unless
 * there are fewer than this. */
#define FLOW_TARGETS_LOCAL_MIN 2
/* One in this many digests contains contacts, since the members of the fleet
 * change slowly. */
#define CONTACTS_ONE_IN 4
/* An instance may be in standby, that is rely on peers instead of polling the
 * store, while the store has answered any instance within this percentage of
 * the bound. Those that poll it do so within 25 percent, and a digest takes up
 * to four periods to reach all; the rest of the bound is left for a call to
 * the store. */
#define STANDBY_PERCENT 55
/* With a smaller bound digests would be too slow, and all instances poll the
 * store. */
#define STANDBY_MIN_BOUND_MS 2500
/* Percentage of the bound that peers have to pass on what is known before this
 * instance calls the store, and the minimum, which is the time that a few
 * digests take to reach all. */
#define BEHIND_PERCENT 23
#define BEHIND_MIN_MS 500

/* Random members of which one is put into a digest. */
#define MEMBER_DRAWS 4
struct peer {
    struct rg_addr addr;
    struct rg_name name; /* empty: no digest yet */
    uint64_t rank;
    uint64_t last_digest_ms; /* 0: no digest yet */
    uint64_t version;
    uint64_t revision;
    bool provisional;
    uint64_t confirmed_ms; /* when the store last answered it */
    uint32_t openings_per_s;
    bool leaving;
    bool local;          /* in the local data centre */
    bool opening_tokens; /* tells the tokens of openings from others */
};

struct rg_peers {
    struct rg_peers_opts opts;
    struct rg_rand rand;
    uint64_t rank;
    uint32_t source; /* of this instance's answers */
    struct rg_store_answers answers;
    struct rg_peers_view latest;   /* newest state reported by any instance */
    struct rg_peers_view required; /* state known at required_ms */
    uint64_t required_ms;
    struct rg_fleet_size fleet_size;
    struct rg_fleet_size local_size; /* peers of the local data centre that
                                        sent digests */
    struct peer peers[RG_PEERS_MAX];
    size_t count;
};

/* Rank by name, so that all instances agree without communication. */
static uint64_t
rank_of(const struct rg_name *name)
{
    uint64_t hash = 0;

    for (uint8_t i = 0; i < name->len; i++) {
        hash = rg_mix64(hash ^ (uint8_t)name->s[i]);
    }
    return hash;
}

uint32_t
rg_peers_id(const struct rg_name *name)
{
    return (uint32_t)(rank_of(name) >> 32);
}

static bool
is_recent(const struct peer *peer, uint64_t now_ms)
{
    return peer->last_digest_ms != 0 &&
           now_ms - peer->last_digest_ms < RECENT_MS;
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

/* Finds an entry for a new peer: a free one, or that of a peer that has sent
 * no digest for REPLACE_AFTER_MS. NULL if there is none. */
static struct peer *
get_entry(struct rg_peers *p, uint64_t now_ms)
{
    if (p->count < RG_PEERS_MAX) {
        return &p->peers[p->count++];
    }
    for (size_t i = 0; i < p->count; i++) {
        if (now_ms - p->peers[i].last_digest_ms > REPLACE_AFTER_MS) {
            return &p->peers[i];
        }
    }
    return NULL;
}

/* Selects an entry of a full table to replace by a peer that has sent a
 * digest. A local peer replaces a remote one if there are many of these.
 * Otherwise replacement is random and rare: every peer gets into the table
 * eventually, and a few digests cannot displace a known one. */
static struct peer *
select_replaced(struct rg_peers *p, bool local)
{
    size_t start = rg_rand_below(&p->rand, (uint32_t)p->count);
    bool replace = rg_rand_below(&p->rand, REPLACE_ONE_IN) == 0;
    struct peer *remote = NULL;
    size_t remote_count = 0;

    for (size_t i = 0; i < p->count; i++) {
        struct peer *peer = &p->peers[(start + i) % p->count];
        if (!peer->local) {
            remote_count++;
            remote = peer;
        }
    }
    if (local && remote_count > RG_PEERS_REMOTE_MIN) {
        return remote;
    }
    if (!replace) {
        return NULL;
    }
    return local ? &p->peers[start] : remote;
}

static struct peer *
find_or_add(struct rg_peers *p, const struct rg_addr *addr, uint64_t now_ms)
{
    struct peer *peer = find(p, addr);

    if (peer || addr->port == 0 || rg_addr_eq(addr, &p->opts.addr)) {
        return peer;
    }
    peer = get_entry(p, now_ms);
    if (peer) {
        *peer = (struct peer){.addr = *addr};
    }
    return peer;
}

void
rg_peers_add_seed(struct rg_peers *p, const struct rg_addr *addr)
{
    find_or_add(p, addr, 0);
}

/* Time at which something had this age; 0 if there was nothing. */
static uint64_t
time_of(uint64_t revision, uint32_t age_ms, uint64_t now_ms)
{
    return revision == 0 || age_ms > now_ms ? 0 : now_ms - age_ms;
}

static void
raise_latest(struct rg_peers *p, uint64_t version, uint64_t revision)
{
    struct rg_peers_view *latest = &p->latest;

    latest->version = version > latest->version ? version : latest->version;
    latest->revision =
        revision > latest->revision ? revision : latest->revision;
}

static void
note_answer(struct rg_peers *p, const struct rg_store_answer *a)
{
    rg_store_answers_note(&p->answers, a);
    p->latest.confirmed_ms = rg_store_answers_latest(&p->answers)->at_ms;
}

void
rg_peers_digest_received(struct rg_peers *p, const struct rg_msg_digest *d,
                         uint64_t now_ms)
{
    struct peer *peer = find_or_add(p, &d->addr, now_ms);
    bool local = rg_name_eq(&d->data_centre, &p->opts.data_centre);

    if (!peer && d->addr.port != 0 && !rg_addr_eq(&d->addr, &p->opts.addr)) {
        peer = select_replaced(p, local);
        if (peer) {
            *peer = (struct peer){.addr = d->addr};
        }
    }
    for (uint16_t i = 0; i < d->contacts_count; i++) {
        find_or_add(p, &d->contacts[i].addr, now_ms);
    }
    struct rg_fleet_size_entry sender = {.hash = rg_peers_id(&d->from),
                                         .active_ms = now_ms};
    if (d->is_home) {
        sender.addr = d->addr;
    }
    rg_fleet_size_add_entry(&p->fleet_size, &sender, now_ms);
    if (local) {
        rg_fleet_size_add(&p->local_size, rg_peers_id(&d->from), now_ms,
                          now_ms);
    }
    for (uint16_t i = 0; i < d->members_count; i++) {
        const struct rg_msg_member *m = &d->members[i];
        struct rg_fleet_size_entry member = {
            .hash = m->hash,
            .addr = m->addr,
            .active_ms = m->age_ms > now_ms ? 0 : now_ms - m->age_ms,
        };
        rg_fleet_size_add_entry(&p->fleet_size, &member, now_ms);
    }
    uint64_t revision = rg_revision_received(d->era, d->revision);
    uint64_t latest = rg_revision_received(d->latest_era, d->latest_revision);
    raise_latest(p, d->latest_version, latest);
    struct rg_store_answer answer = {
        .source = d->latest_source,
        .serial = d->latest_serial,
        .at_ms = time_of(latest, d->latest_age_ms, now_ms),
    };
    note_answer(p, &answer);
    if (!peer) {
        return;
    }
    peer->name = d->from;
    peer->rank = rank_of(&d->from);
    peer->last_digest_ms = now_ms;
    peer->version = d->version;
    peer->revision = revision;
    peer->provisional = d->provisional;
    peer->confirmed_ms = time_of(revision, d->age_ms, now_ms);
    peer->openings_per_s = d->openings_per_s;
    peer->leaving = d->leaving;
    peer->opening_tokens = d->opening_tokens;
    peer->local = local;
}

/* Selects a random peer. Sometimes an inactive one, since it may be back;
 * mostly a local one, since traffic between data centres is expensive. */
static const struct peer *
select_peer(struct rg_peers *p, enum rg_peers_scope scope, uint64_t now_ms)
{
    size_t start = rg_rand_below(&p->rand, (uint32_t)p->count);
    bool local_only = scope == RG_PEERS_LOCAL;
    bool inactive =
        !local_only && rg_rand_below(&p->rand, INACTIVE_ONE_IN) == 0;
    bool local = local_only || rg_rand_below(&p->rand, REMOTE_ONE_IN) != 0;
    const struct peer *fallback = NULL;

    for (size_t i = 0; i < p->count; i++) {
        const struct peer *peer = &p->peers[(start + i) % p->count];
        if (is_recent(peer, now_ms) == inactive) {
            continue;
        }
        if (inactive || peer->local == local) {
            return peer;
        }
        fallback = peer;
    }
    return fallback ? fallback : &p->peers[start];
}

static void
add_contacts(struct rg_peers *p, uint64_t now_ms, struct rg_msg_digest *out)
{
    size_t max = sizeof(out->contacts) / sizeof(out->contacts[0]);
    size_t start = rg_rand_below(&p->rand, (uint32_t)p->count);

    for (size_t i = 0; i < p->count && out->contacts_count < max; i++) {
        const struct peer *peer = &p->peers[(start + i) % p->count];
        if (is_recent(peer, now_ms) && !peer->leaving) {
            out->contacts[out->contacts_count++].addr = peer->addr;
        }
    }
}

/* The one of several random members that was active last, as far as is known
 * here: what is new reaches all instances sooner. */
static const struct rg_fleet_size_entry *
select_member(struct rg_peers *p)
{
    const struct rg_fleet_size *s = &p->fleet_size;
    const struct rg_fleet_size_entry *newest = NULL;

    for (int i = 0; i < MEMBER_DRAWS; i++) {
        const struct rg_fleet_size_entry *e =
            &s->entries[rg_rand_below(&p->rand, (uint32_t)s->count)];
        if (!newest || e->active_ms > newest->active_ms) {
            newest = e;
        }
    }
    return newest;
}

/* Adds some of the instances with the smallest hashes. */
static void
add_members(struct rg_peers *p, uint64_t now_ms, struct rg_msg_digest *out)
{
    size_t max = sizeof(out->members) / sizeof(out->members[0]);

    for (size_t i = 0; i < p->fleet_size.count && i < max; i++) {
        const struct rg_fleet_size_entry *e = select_member(p);
        out->members[out->members_count++] = (struct rg_msg_member){
            .hash = e->hash,
            .age_ms = (uint32_t)(now_ms - e->active_ms),
            .addr = e->addr,
        };
    }
}

bool
rg_peers_next_digest(struct rg_peers *p, const struct rg_peers_view *view,
                     enum rg_peers_scope scope, uint64_t now_ms,
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
    if (view->confirmed_ms) {
        out->revision = rg_revision_number(view->revision);
        out->era = rg_revision_era(view->revision);
    }
    out->provisional = view->provisional;
    out->age_ms =
        view->confirmed_ms ? (uint32_t)(now_ms - view->confirmed_ms) : 0;
    raise_latest(p, view->version, view->revision);
    struct rg_store_answer own = {.source = p->source,
                                  .serial = view->answers,
                                  .at_ms = view->answered_ms};
    note_answer(p, &own);
    const struct rg_store_answer *latest =
        rg_store_answers_latest(&p->answers);
    out->latest_source = latest->source;
    out->latest_serial = latest->serial;
    out->latest_version = p->latest.version;
    if (p->latest.confirmed_ms) {
        out->latest_revision = rg_revision_number(p->latest.revision);
        out->latest_era = rg_revision_era(p->latest.revision);
    }
    out->latest_age_ms = p->latest.confirmed_ms
                             ? (uint32_t)(now_ms - p->latest.confirmed_ms)
                             : 0;
    out->openings_per_s = view->openings_per_s;
    out->leaving = view->leaving;
    out->opening_tokens = true;
    out->is_home = true;
    if (rg_rand_below(&p->rand, CONTACTS_ONE_IN) == 0) {
        add_contacts(p, now_ms, out);
    }
    add_members(p, now_ms, out);
    const struct peer *peer = select_peer(p, scope, now_ms);
    *to = (struct rg_peers_target){.addr = peer->addr, .local = peer->local};
    return true;
}

bool
rg_peers_is_store_reader(const struct rg_peers *p, uint64_t now_ms)
{
    uint64_t age_ms = now_ms - p->latest.confirmed_ms;

    if (p->opts.bound_ms < STANDBY_MIN_BOUND_MS) {
        return true;
    }
    if (age_ms * 100 >= (uint64_t)p->opts.bound_ms * STANDBY_PERCENT) {
        return true;
    }
    for (size_t i = 0; i < p->count; i++) {
        const struct peer *peer = &p->peers[i];
        if (is_recent(peer, now_ms) && !peer->leaving && peer->rank < p->rank)
        {
            return false;
        }
    }
    return true;
}

bool
rg_peers_knows_newer_version(const struct rg_peers *p,
                             const struct rg_peers_view *view)
{
    return p->latest.version > view->version;
}

static bool
settles(const struct peer *peer, const struct rg_peers_view *view)
{
    return view->provisional && !peer->provisional &&
           rg_revision_era(peer->revision) == rg_revision_era(view->revision);
}

static bool
is_newer(const struct peer *peer, const struct rg_peers_view *view)
{
    return peer->version > view->version || peer->revision > view->revision;
}

/* True if what is required was lost in a restore of the store: its answer to
 * a call that was made later does not have it. Otherwise a configuration that
 * no instance has any more would be asked for all the time. */
static bool
is_lost(const struct rg_peers *p, const struct rg_peers_view *view,
        uint64_t limit_ms)
{
    return rg_revision_era(view->revision) > 0 &&
           view->answered_ms >= p->required_ms + limit_ms;
}

bool
rg_peers_is_behind(struct rg_peers *p, const struct rg_peers_view *view,
                   uint64_t now_ms)
{
    bool lacks = view->version < p->required.version ||
                 view->revision < p->required.revision;

    /* The newest known state changes all the time on a busy system, so the own
     * view is compared with what was known when the last check passed. */
    if (!lacks) {
        p->required = p->latest;
        p->required_ms = now_ms;
        return false;
    }
    uint64_t limit_ms = (uint64_t)p->opts.bound_ms * BEHIND_PERCENT / 100;
    if (limit_ms < BEHIND_MIN_MS) {
        limit_ms = BEHIND_MIN_MS;
    }
    if (is_lost(p, view, limit_ms)) {
        p->required_ms = now_ms;
        return false;
    }
    return now_ms - p->required_ms >= limit_ms;
}

bool
rg_peers_find_newer(struct rg_peers *p, const struct rg_peers_view *view,
                    uint64_t now_ms, struct rg_addr *out)
{
    size_t start = rg_rand_below(&p->rand, (uint32_t)p->count);

    const struct peer *found = NULL;

    /* Any of them, so that the few that are first to know do not serve all
     * others. */
    for (size_t i = 0; i < p->count && !(found && found->local); i++) {
        const struct peer *peer = &p->peers[(start + i) % p->count];
        bool ahead = is_recent(peer, now_ms) && peer->confirmed_ms != 0 &&
                     (is_newer(peer, view) || settles(peer, view));
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
    size_t count = 0;

    for (size_t i = 0; i < p->count; i++) {
        count += is_recent(&p->peers[i], now_ms);
    }
    return count;
}

size_t
rg_peers_local_count(const struct rg_peers *p, uint64_t now_ms)
{
    size_t count = 0;

    for (size_t i = 0; i < p->count; i++) {
        count += p->peers[i].local && is_recent(&p->peers[i], now_ms);
    }
    return count;
}

bool
rg_peers_read_opening_tokens(const struct rg_peers *p, uint64_t now_ms)
{
    for (size_t i = 0; i < p->count; i++) {
        const struct peer *peer = &p->peers[i];
        if (is_recent(peer, now_ms) && !peer->opening_tokens) {
            return false;
        }
    }
    return true;
}

size_t
rg_peers_flow_targets(const struct rg_peers *p, uint64_t now_ms,
                      struct rg_addr out[RG_PEERS_MAX])
{
    bool local_only =
        rg_peers_local_count(p, now_ms) >= FLOW_TARGETS_LOCAL_MIN;
    size_t count = 0;

    for (size_t i = 0; i < p->count; i++) {
        const struct peer *peer = &p->peers[i];
        if (is_recent(peer, now_ms) && (peer->local || !local_only)) {
            out[count++] = peer->addr;
        }
    }
    return count;
}

static void
add_self(struct rg_peers *p, uint64_t now_ms)
{
    struct rg_fleet_size_entry self = {.hash = rg_peers_id(&p->opts.name),
                                       .addr = p->opts.addr,
                                       .active_ms = now_ms};

    rg_fleet_size_add_entry(&p->fleet_size, &self, now_ms);
}

size_t
rg_peers_flow_homes(const struct rg_peers *p,
                    const struct rg_instances *registered, uint32_t flow_hash,
                    uint64_t now_ms,
                    struct rg_flow_home out[RG_FLOW_HOMES_MAX])
{
    struct rg_home_candidates candidates = {
        .self = p->opts.addr,
        .active = &p->fleet_size,
        .active_since_ms = now_ms > RECENT_MS ? now_ms - RECENT_MS : 0,
        .registered = registered,
        .now_ms = now_ms,
    };

    return rg_home_choice(&candidates, flow_hash, out);
}

size_t
rg_peers_fleet_size(struct rg_peers *p, uint64_t now_ms)
{
    add_self(p, now_ms);
    rg_fleet_size_expire(&p->fleet_size, now_ms);
    return rg_fleet_size_estimate(&p->fleet_size);
}

double
rg_peers_flow_share(struct rg_peers *p, uint32_t openings_per_s,
                    uint64_t now_ms)
{
    double sum = openings_per_s;
    size_t count = 1;

    for (size_t i = 0; i < p->count; i++) {
        const struct peer *peer = &p->peers[i];
        if (is_recent(peer, now_ms) && !peer->leaving) {
            sum += peer->openings_per_s;
            count++;
        }
    }
    double instances = (double)rg_peers_fleet_size(p, now_ms);
    double mean = sum / (double)count;
    return mean > 0 ? openings_per_s / (mean * instances) : 1 / instances;
}

/* Instances of the local data centre, this one included. The peer table has
 * all of them, unless it is full; those that ended stay in the estimate for a
 * while. */
static double
local_instances(struct rg_peers *p, uint64_t now_ms)
{
    size_t known = rg_peers_local_count(p, now_ms);

    if (p->count == RG_PEERS_MAX) {
        rg_fleet_size_expire(&p->local_size, now_ms);
        size_t estimate = rg_fleet_size_estimate(&p->local_size);
        known = estimate > known ? estimate : known;
    }
    return (double)known + 1;
}

struct rg_peers_openings
rg_peers_openings(struct rg_peers *p, uint32_t openings_per_s, uint64_t now_ms)
{
    double local = openings_per_s;
    double remote = 0;
    size_t local_count = 1;
    size_t remote_count = 0;

    for (size_t i = 0; i < p->count; i++) {
        const struct peer *peer = &p->peers[i];
        if (!is_recent(peer, now_ms) || peer->leaving) {
            continue;
        }
        if (peer->local) {
            local += peer->openings_per_s;
            local_count++;
        }
        else {
            remote += peer->openings_per_s;
            remote_count++;
        }
    }
    double instances = local_instances(p, now_ms);
    double others = (double)rg_peers_fleet_size(p, now_ms) - instances;
    return (struct rg_peers_openings){
        .local = local / (double)local_count * instances,
        .remote = remote_count && others > 0
                      ? remote / (double)remote_count * others
                      : 0,
    };
}

struct rg_peers *
rg_peers_create(const struct rg_peers_opts *opts)
{
    struct rg_peers *p = rg_calloc(1, sizeof(*p));

    p->opts = *opts;
    p->rand.state = opts->seed;
    p->rank = rank_of(&opts->name);
    p->source = (uint32_t)(rg_mix64(p->rank ^ opts->seed) >> 32);
    return p;
}

void
rg_peers_destroy(struct rg_peers *p)
{
    free(p);
}
