#include "edge/gossip.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "balance/revision.h"
#include "balance/snapshot.h"
#include "common/clock.h"
#include "common/mem.h"
#include "edge/flow_gossip.h"
#include "edge/home_gossip.h"
#include "edge/http_client.h"
#include "edge/http_server.h"
#include "proto/messages.gen.h"

#define DATAGRAM_MAX_BYTES 2048
/* Requests what is newer than a version of the routes and a revision of the
 * store. The revision's era follows, and whether the own view is provisional;
 * instances of older builds send and read the first two numbers only. */
#define SNAPSHOT_PATH "/view/%llu/%llu/%u/%u"
#define SNAPSHOT_PATH_REQUIRED 2 /* numbers */
/* Largest snapshot accepted from another instance. */
#define SNAPSHOT_MAX_BYTES (16 * 1024 * 1024)
#define SNAPSHOT_CONNECT_MS 150
#define SNAPSHOT_CALL_MS 1000
/* Datagrams that are discarded at most after a suspension. */
#define DISCARDED_MAX 4096
/* Age in a digest that stands for "never". */
#define AGE_NEVER UINT32_MAX
/* An older move of flows is not reported: no request waits that long. */
#define FLOWS_MOVED_MAX_MS 60000
/* Minimum time between two requests for a snapshot. */
#define SNAPSHOT_PAUSE_MS 500

/* What the next tick sends. */
enum pace {
    PACE_NORMAL, /* one digest, or two at once with failures not sent yet */
    PACE_SKIP,   /* none: the last tick sent two */
    PACE_ANY,    /* one digest to any peer, even with failures not sent yet */
};

struct rg_gossip {
    struct rg_gossip_opts opts;
    struct rg_peers *peers;
    struct rg_flow_gossip *flows;
    struct rg_home_gossip *homes;
    uv_udp_t udp;
    struct rg_http_server *server;
    struct rg_http_client *client;
    struct rg_addr snapshot_peer;   /* last one that got a request */
    uint64_t snapshot_requested_ms; /* when it was */
    bool leaving;
    enum pace pace;
    uint64_t ticks;
    struct rg_msg in;              /* received; too large for the stack */
    char data[DATAGRAM_MAX_BYTES]; /* datagram being received */
};

static uint64_t *
counters(struct rg_gossip *g)
{
    return rg_balancer_metrics(g->opts.balancer)->counters;
}

static struct rg_peers_view
own_view(const struct rg_gossip *g)
{
    return (struct rg_peers_view){
        .version = rg_balancer_version(g->opts.balancer),
        .revision = rg_store_client_revision(g->opts.store_client),
        .provisional =
            rg_pool_is_provisional(rg_balancer_pool(g->opts.balancer)),
        .confirmed_ms = rg_store_client_confirmed_ms(g->opts.store_client),
        .answered_ms = rg_store_client_answered_ms(g->opts.store_client),
        .answers = rg_store_client_answers(g->opts.store_client),
        .openings_per_s = rg_balancer_openings_per_s(g->opts.balancer),
        .leaving = g->leaving,
    };
}

/* Packs and sends a datagram. */
static void
send_message(void *ctx, const struct rg_msg *m, const struct rg_addr *to)
{
    struct rg_gossip *g = ctx;
    uint8_t out[DATAGRAM_MAX_BYTES];
    struct sockaddr_storage sa;
    size_t len = rg_msg_pack(m, out, sizeof(out));
    uv_buf_t buf = uv_buf_init((char *)out, (unsigned)len);

    rg_addr_to_sock(to, &sa);
    counters(g)[RG_METRIC_CONTROL_SENT_BYTES] += len;
    if (uv_udp_try_send(&g->udp, &buf, 1, (const struct sockaddr *)&sa) < 0) {
        counters(g)[RG_METRIC_SEND_FAILED]++;
    }
}

/* --- digests ------------------------------------------------------------- */

static void
add_ejections(struct rg_gossip *g, struct rg_msg_digest *d)
{
    struct rg_balancer_ejection
        found[sizeof(d->verdicts) / sizeof(d->verdicts[0])];
    size_t count =
        rg_balancer_ejections(g->opts.balancer, rg_clock_boottime_ms(), found,
                              sizeof(found) / sizeof(found[0]));

    for (size_t i = 0; i < count; i++) {
        d->verdicts[i].token = found[i].token;
        d->verdicts[i].age_ms = found[i].age_ms;
    }
    d->verdicts_count = (uint16_t)count;
}

/* Encodes the time `at_ms` (0: never) as an age. */
static uint32_t
age_since(uint64_t at_ms, uint64_t now_ms)
{
    return at_ms == 0 || at_ms > now_ms ? AGE_NEVER
                                        : (uint32_t)(now_ms - at_ms);
}

/* Reverse of age_since(). */
static uint64_t
time_before(uint32_t age_ms, uint64_t now_ms)
{
    return age_ms == AGE_NEVER || age_ms > now_ms ? 0 : now_ms - age_ms;
}

/* The same in appended fields, which are 0 in messages of older builds: 0 is
 * "never", and other ages are 1 ms at least. */
static uint32_t
nonzero_age_since(uint64_t at_ms, uint64_t now_ms)
{
    uint32_t age_ms = age_since(at_ms, now_ms);

    return age_ms == AGE_NEVER ? 0 : age_ms + (age_ms == 0);
}

static uint64_t
nonzero_time_before(uint32_t age_ms, uint64_t now_ms)
{
    return age_ms == 0 ? 0 : time_before(age_ms, now_ms);
}

static void
add_outcomes(struct rg_gossip *g, struct rg_msg_digest *d, uint64_t now)
{
    struct rg_outcome_row rows[sizeof(d->outcomes) / sizeof(d->outcomes[0])];
    size_t count = rg_balancer_next_outcomes(g->opts.balancer, rows,
                                             sizeof(rows) / sizeof(rows[0]));

    for (size_t i = 0; i < count; i++) {
        d->outcomes[i] = (struct rg_msg_outcomes){
            .token = rows[i].token,
            .source = rows[i].source,
            .serial = rows[i].serial,
            .answered = (uint16_t)rows[i].counts[RG_OUTCOME_ANSWERED],
            .late = (uint16_t)rows[i].counts[RG_OUTCOME_LATE],
            .failed = (uint16_t)rows[i].counts[RG_OUTCOME_FAILED],
            .age_ms = age_since(rows[i].last_ms, now),
            .failed_age_ms = age_since(rows[i].failed_ms, now),
            .answered_age_ms = age_since(rows[i].answered_ms, now),
            .unacknowledged_age_ms =
                nonzero_age_since(rows[i].unacknowledged.at_ms, now),
            .response_age_ms =
                nonzero_age_since(rows[i].unacknowledged.response_ms, now),
            .dc_response_age_ms =
                nonzero_age_since(rows[i].unacknowledged.dc_response_ms, now),
        };
    }
    d->outcomes_count = (uint16_t)count;
}

static void
handle_outcomes(struct rg_gossip *g, const struct rg_msg_digest *d,
                uint64_t now)
{
    for (uint16_t i = 0; i < d->outcomes_count; i++) {
        const struct rg_msg_outcomes *o = &d->outcomes[i];
        struct rg_outcome_row row = {
            .token = o->token,
            .source = o->source,
            .serial = o->serial,
            .counts = {[RG_OUTCOME_ANSWERED] = o->answered,
                       [RG_OUTCOME_LATE] = o->late,
                       [RG_OUTCOME_FAILED] = o->failed},
            .last_ms = time_before(o->age_ms, now),
            .failed_ms = time_before(o->failed_age_ms, now),
            .answered_ms = time_before(o->answered_age_ms, now),
            .unacknowledged =
                {.at_ms = nonzero_time_before(o->unacknowledged_age_ms, now),
                 .response_ms = nonzero_time_before(o->response_age_ms, now),
                 .dc_response_ms =
                     nonzero_time_before(o->dc_response_age_ms, now)},
        };
        rg_balancer_add_reported_outcomes(g->opts.balancer, &row, now);
    }
}

static void
add_flows_moved(struct rg_gossip *g, struct rg_msg_digest *d, uint64_t now)
{
    uint64_t at_ms = rg_balancer_take_flows_moved(g->opts.balancer);

    if (at_ms != 0 && at_ms <= now && now - at_ms < FLOWS_MOVED_MAX_MS) {
        d->flows_moved_age_ms = at_ms < now ? (uint32_t)(now - at_ms) : 1;
    }
}

static void
handle_flows_moved(struct rg_gossip *g, const struct rg_msg_digest *d,
                   uint64_t now)
{
    if (d->flows_moved_age_ms != 0 && d->flows_moved_age_ms <= now) {
        rg_balancer_add_reported_move(g->opts.balancer,
                                      now - d->flows_moved_age_ms, now);
    }
}

static void
send_digest(struct rg_gossip *g, const struct rg_peers_view *view,
            enum rg_peers_scope scope)
{
    struct rg_msg m = {.kind = RG_MSG_DIGEST};
    struct rg_peers_target to;
    uint64_t now = rg_clock_boottime_ms();

    if (!rg_peers_next_digest(g->peers, view, scope, now, &m.u.digest, &to)) {
        return;
    }
    add_ejections(g, &m.u.digest);
    if (to.local) {
        add_outcomes(g, &m.u.digest, now);
        add_flows_moved(g, &m.u.digest, now);
    }
    counters(g)[RG_METRIC_DIGESTS_SENT]++;
    send_message(g, &m, &to.addr);
}

static void
handle_digest(struct rg_gossip *g, const struct rg_msg_digest *d)
{
    uint64_t now = rg_clock_boottime_ms();

    counters(g)[RG_METRIC_DIGESTS_RECEIVED]++;
    rg_peers_digest_received(g->peers, d, now);
    for (uint16_t i = 0; i < d->verdicts_count; i++) {
        struct rg_balancer_ejection ejection = {
            .token = d->verdicts[i].token,
            .age_ms = d->verdicts[i].age_ms,
        };
        rg_balancer_add_reported_ejection(g->opts.balancer, &ejection, now);
    }
    if (rg_name_eq(&d->data_centre, &g->opts.peers.data_centre)) {
        handle_outcomes(g, d, now);
        handle_flows_moved(g, d, now);
    }
}

static void
handle_message(struct rg_gossip *g, const struct rg_msg *m)
{
    switch (m->kind) {
    case RG_MSG_DIGEST:
        handle_digest(g, &m->u.digest);
        break;
    case RG_MSG_FLOW_QUERY:
        rg_flow_gossip_query(g->flows, &m->u.flow_query,
                             rg_clock_boottime_ms());
        break;
    case RG_MSG_FLOW_SIGHTINGS:
        rg_flow_gossip_sightings(g->flows, &m->u.flow_sightings,
                                 rg_clock_boottime_ms());
        break;
    case RG_MSG_FLOW_RECORDS:
        rg_flow_gossip_records(g->flows, &m->u.flow_records,
                               rg_clock_boottime_ms());
        break;
    case RG_MSG_HOME_QUERY:
        rg_home_gossip_query(g->homes, &m->u.home_query,
                             rg_clock_boottime_ms());
        break;
    case RG_MSG_HOME_ANSWER:
        rg_home_gossip_answer(g->homes, &m->u.home_answer,
                              rg_clock_boottime_ms());
        break;
    default:
        counters(g)[RG_METRIC_MALFORMED]++;
    }
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    struct rg_gossip *g = handle->data;

    (void)size;
    *buf = uv_buf_init(g->data, sizeof(g->data));
}

static void
on_datagram(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
            const struct sockaddr *from, unsigned flags)
{
    struct rg_gossip *g = udp->data;

    (void)flags;
    if (len <= 0 || !from) {
        return;
    }
    counters(g)[RG_METRIC_CONTROL_RECEIVED_BYTES] += (size_t)len;
    if (!rg_msg_unpack(&g->in, (const uint8_t *)buf->base, (size_t)len)) {
        counters(g)[RG_METRIC_MALFORMED]++;
        return;
    }
    rg_balancer_peer_heard(g->opts.balancer, rg_clock_boottime_ms());
    handle_message(g, &g->in);
}

/* --- snapshots ----------------------------------------------------------- */

static unsigned
serve_snapshot(void *ctx, const char *path, struct rg_strbuf *body)
{
    struct rg_gossip *g = ctx;
    unsigned long long version;
    unsigned long long revision;
    unsigned era = 0;
    unsigned provisional = 0;

    if (sscanf(path, SNAPSHOT_PATH, &version, &revision, &era, &provisional) <
        SNAPSHOT_PATH_REQUIRED)
    {
        return 404;
    }
    if (!rg_balancer_has_complete_view(g->opts.balancer)) {
        return 503;
    }
    struct rg_snapshot_base base = {
        .version = version,
        .revision = rg_revision_received(era, revision),
        .provisional = provisional != 0,
    };
    size_t before = body->len;
    rg_snapshot_write(g->opts.balancer,
                      rg_store_client_revision(g->opts.store_client), &base,
                      rg_clock_boottime_ms(), body);
    counters(g)[RG_METRIC_CONTROL_SENT_BYTES] += body->len - before;
    return 200;
}

/* Revision that a snapshot must exceed to be newer than the own view: while
 * the store is listed in a new era, a view of an older one is not. */
static uint64_t
least_revision(const struct rg_gossip *g)
{
    uint64_t revision = rg_store_client_revision(g->opts.store_client);
    uint64_t start =
        rg_revision_make(rg_store_client_era(g->opts.store_client), 0);

    return revision > start ? revision : start;
}

static void
on_snapshot(void *ctx, const struct rg_http_response *response)
{
    struct rg_gossip *g = ctx;
    char peer[RG_ADDR_STR_MAX];
    uint64_t now = rg_clock_boottime_ms();
    const struct rg_pool *pool = rg_balancer_pool(g->opts.balancer);
    bool was_provisional = rg_pool_is_provisional(pool);
    uint64_t before = least_revision(g);
    uint64_t revision = before;
    counters(g)[RG_METRIC_CONTROL_RECEIVED_BYTES] += response->body.len;
    bool applied =
        response->status == 200 &&
        rg_snapshot_read(g->opts.balancer, response->body, &revision, now);

    rg_log_event(
        g->opts.log, applied ? RG_LOG_INFO : RG_LOG_NOTICE, "VIEW_FROM_PEER",
        "peer=\"%s\" taken=\"%d\" status=\"%u\" version=\"%llu\" "
        "revision=\"%llu\" era=\"%u\"",
        rg_addr_format(&g->snapshot_peer, peer), applied, response->status,
        (unsigned long long)rg_balancer_version(g->opts.balancer),
        (unsigned long long)rg_revision_number(revision),
        rg_revision_era(revision));
    if (!applied) {
        return;
    }
    counters(g)[RG_METRIC_VIEWS_FROM_PEERS]++;
    /* Otherwise only the routes were newer, or nothing. */
    if (revision != before || rg_pool_is_provisional(pool) != was_provisional)
    {
        rg_store_client_snapshot_applied(g->opts.store_client, revision, 0);
    }
}

/* Fetches a snapshot from a peer whose view is newer, if there is one, which
 * saves calls of the store. */
static void
fetch_snapshot(struct rg_gossip *g, const struct rg_peers_view *view)
{
    uint64_t now = rg_clock_boottime_ms();
    struct rg_peers_view least = *view;
    char path[96];

    least.revision = least_revision(g);
    if (rg_http_client_busy(g->client) ||
        now - g->snapshot_requested_ms < SNAPSHOT_PAUSE_MS ||
        !rg_peers_find_newer(g->peers, &least, now, &g->snapshot_peer))
    {
        return;
    }
    g->snapshot_requested_ms = now;
    rg_http_client_set_server(g->client, &g->snapshot_peer);
    snprintf(path, sizeof(path), SNAPSHOT_PATH,
             (unsigned long long)view->version,
             (unsigned long long)rg_revision_number(view->revision),
             rg_revision_era(view->revision), view->provisional ? 1U : 0U);
    rg_http_client_get(g->client, path, SNAPSHOT_CALL_MS);
}

/* --- ticks --------------------------------------------------------------- */

/* Sends one digest a tick. With failures or moves not sent yet, sends two at
 * once to instances of this data centre, none in the next tick, and one to any
 * peer in the tick after that. */
static void
send_digests(struct rg_gossip *g, const struct rg_peers_view *view)
{
    bool urgent =
        !g->leaving && (rg_balancer_has_unsent_failure(g->opts.balancer) ||
                        rg_balancer_has_unsent_move(g->opts.balancer));

    switch (g->pace) {
    case PACE_NORMAL:
        if (urgent) {
            send_digest(g, view, RG_PEERS_LOCAL);
            send_digest(g, view, RG_PEERS_LOCAL);
            g->pace = PACE_SKIP;
            return;
        }
        break;
    case PACE_SKIP:
        g->pace = PACE_ANY;
        return;
    case PACE_ANY:
        g->pace = PACE_NORMAL;
        break;
    }
    send_digest(g, view, RG_PEERS_ANY);
}

/* Uses what peers reported. Passes the size of the fleet to the balancer, and
 * brings a view that is behind up to date: instances that are not store
 * readers fetch a snapshot from a peer, and call the store only if the view
 * stays behind. */
static void
sync_with_peers(struct rg_gossip *g, const struct rg_peers_view *view)
{
    uint64_t now = rg_clock_boottime_ms();
    bool reader = rg_peers_is_store_reader(g->peers, now);

    rg_store_client_set_standby(g->opts.store_client, !reader);
    struct rg_peers_openings openings =
        rg_peers_openings(g->peers, view->openings_per_s, now);
    struct rg_fleet fleet = {
        .instances = rg_peers_fleet_size(g->peers, now),
        .local_instances = rg_peers_local_count(g->peers, now) + 1,
        .share = rg_peers_flow_share(g->peers, view->openings_per_s, now),
        .opening_tokens = rg_peers_read_opening_tokens(g->peers, now),
        .local_openings_per_s = openings.local,
        .remote_openings_per_s = openings.remote,
    };
    rg_balancer_set_fleet(g->opts.balancer, &fleet);
    /* After a restore the store may lack a configuration that peers have. */
    bool lacks_routes = rg_store_client_era(g->opts.store_client) > 0 &&
                        rg_peers_knows_newer_version(g->peers, view);
    if (!reader || lacks_routes ||
        rg_store_client_failing(g->opts.store_client)) {
        fetch_snapshot(g, view);
    }
    if (view->revision != 0) {
        rg_store_client_confirm(g->opts.store_client,
                                rg_peers_confirmed_ms(g->peers, view));
    }
    if (rg_peers_is_behind(g->peers, view, now) && !reader) {
        rg_store_client_refresh(g->opts.store_client);
    }
}

void
rg_gossip_tick(struct rg_gossip *g)
{
    struct rg_peers_view view = own_view(g);

    send_digests(g, &view);
    rg_flow_gossip_tick(g->flows, rg_clock_boottime_ms());
    if (++g->ticks % (RG_PEERS_PERIOD_MS / RG_BALANCER_TICK_MS) == 0) {
        sync_with_peers(g, &view);
    }
}

static void
on_closed(uv_handle_t *handle)
{
    struct rg_gossip *g = handle->data;

    rg_flow_gossip_destroy(g->flows);
    rg_home_gossip_destroy(g->homes);
    rg_peers_destroy(g->peers);
    free(g);
}

void
rg_gossip_destroy(struct rg_gossip *g)
{
    if (!g) {
        return;
    }
    rg_http_server_destroy(g->server);
    rg_http_client_destroy(g->client);
    uv_close((uv_handle_t *)&g->udp, on_closed);
}

struct rg_gossip *
rg_gossip_create(const struct rg_gossip_opts *opts, struct rg_err *err)
{
    struct rg_gossip *g = rg_calloc(1, sizeof(*g));
    struct rg_http_server_opts server = {
        .loop = opts->loop,
        .address = opts->listen,
        .setting = "peer_address",
        .handler = serve_snapshot,
        .ctx = g,
    };
    struct rg_http_client_opts client = {
        .loop = opts->loop,
        .connect_ms = SNAPSHOT_CONNECT_MS,
        .idle_ms = SNAPSHOT_CALL_MS,
        .body_max = SNAPSHOT_MAX_BYTES,
        .cb = on_snapshot,
        .ctx = g,
    };
    struct sockaddr_storage sa;

    g->opts = *opts;
    g->peers = rg_peers_create(&opts->peers);
    struct rg_home_gossip_opts homes = {
        .name = opts->peers.name,
        .addr = opts->peers.addr,
        .balancer = opts->balancer,
        .peers = g->peers,
        .send = send_message,
        .ctx = g,
    };
    g->homes = rg_home_gossip_create(&homes);
    struct rg_flow_gossip_opts flows = {
        .name = opts->peers.name,
        .addr = opts->peers.addr,
        .balancer = opts->balancer,
        .peers = g->peers,
        .homes = g->homes,
        .send = send_message,
        .ctx = g,
    };
    g->flows = rg_flow_gossip_create(&flows);
    uv_udp_init(opts->loop, &g->udp);
    g->udp.data = g;
    g->client = rg_http_client_create(&client);
    rg_addr_to_sock(&opts->listen, &sa);
    int rc = uv_udp_bind(&g->udp, (const struct sockaddr *)&sa, 0);
    if (rc < 0) {
        rg_err_add(err, "peer_address", "an address this host can bind", "%s",
                   uv_strerror(rc));
    }
    g->server = rg_http_server_create(&server, err);
    if (rc < 0 || !g->server) {
        rg_gossip_destroy(g);
        return NULL;
    }
    uv_udp_recv_start(&g->udp, on_alloc, on_datagram);
    return g;
}

void
rg_gossip_add_peer(struct rg_gossip *g, const struct rg_addr *addr)
{
    rg_peers_add_seed(g->peers, addr);
}

void
rg_gossip_exchange_flows(struct rg_gossip *g, uint64_t now_ms)
{
    rg_flow_gossip_exchange(g->flows, now_ms);
}

void
rg_gossip_paused(struct rg_gossip *g)
{
    uv_os_fd_t fd;

    if (uv_fileno((const uv_handle_t *)&g->udp, &fd) < 0) {
        return;
    }
    /* Bounded, since datagrams may arrive as fast as they are discarded. */
    for (int i = 0; i < DISCARDED_MAX; i++) {
        if (recv(fd, g->data, sizeof(g->data), MSG_DONTWAIT) < 0) {
            return;
        }
    }
}

void
rg_gossip_leave(struct rg_gossip *g)
{
    g->leaving = true;
    rg_flow_gossip_leave(g->flows);
}

const struct rg_peers *
rg_gossip_peers(const struct rg_gossip *g)
{
    return g->peers;
}
