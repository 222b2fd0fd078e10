/* Packets of open flows: which endpoint each goes to, by its token and by what
 * this instance knows of the flow. */
#include "balance/priv.h"
#include "balance/token.h"

/* Whether a packet to this route's address may be sent to the endpoint that
 * its token names. Any endpoint is allowed while flows may exist that were
 * opened before this instance started, under a version of the routes it never
 * had. */
static bool
token_is_allowed(const struct rg_balancer *b, const struct rg_route *route,
                 const struct rg_endpoint *endpoint,
                 const struct rg_tracked_flow *t)
{
    return rg_route_has_service(route, endpoint->service) ||
           (t && t->endpoint == endpoint) ||
           b->now_ms - b->started_ms < b->opts.flow_age_ms;
}

/* A packet of an open flow to an address without a route. The route was
 * removed, or a newer version that only peers have so far adds it. */
static struct rg_decision
handle_missing_route(struct rg_balancer *b, const struct rg_segment *s)
{
    if (!rg_bal_is_confirmed(b) ||
        !rg_routes_was_removed(b->routes, s->flow.service_ip,
                               s->flow.service_port))
    {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_UNKNOWN_ROUTE,
                           "unknown-route");
    }
    return rg_bal_refuse(b, s, RG_METRIC_REFUSED_NO_ROUTE, "route-removed");
}

/* Two upstreams may have answered the opening of a flow, and the caller
 * repeats the last token that it received, also that of an answer it did not
 * take. Moves the flow to the endpoint that the token names, or keeps it at
 * its own; returns where the packet goes. */
static struct rg_endpoint *
correct_token(struct rg_balancer *b, struct rg_tracked_flow *t,
              const struct rg_segment *s, const struct rg_route *route,
              struct rg_endpoint *named)
{
    t->repeated = true;
    if (!rg_flows_confirms_token(t, s) ||
        !token_is_allowed(b, route, named, t)) {
        rg_bal_count(b, RG_METRIC_TOKENS_CORRECTED);
        rg_bal_log_token(b, s, t, named, "KEPT");
        return t->endpoint;
    }
    rg_bal_log_token(b, s, t, named, "MOVED");
    rg_flows_move(b, t, named);
    return named;
}

struct rg_decision
rg_bal_steer_open(struct rg_balancer *b, const struct rg_segment *s)
{
    struct rg_tracked_flow *t = rg_tracked_flows_find(b->flows, &s->flow);
    struct rg_endpoint *endpoint = rg_pool_by_token(b->pool, s->token);
    struct rg_route *route =
        rg_routes_find(b->routes, s->flow.service_ip, s->flow.service_port);

    if (s->token == RG_TOKEN_NONE) {
        if (t && (s->fin || s->reset)) {
            rg_flows_set_state(t, RG_TRACKED_CLOSED, b->now_ms);
            return rg_bal_forward(b, t->endpoint);
        }
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_NO_TOKEN, "no-token");
    }
    if (!endpoint) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_UNKNOWN_TOKEN,
                           "unknown-token");
    }
    if (!route) {
        return handle_missing_route(b, s);
    }
    if (t && t->endpoint != endpoint) {
        endpoint = correct_token(b, t, s, route, endpoint);
    }
    if (!token_is_allowed(b, route, endpoint, t)) {
        return rg_bal_drop(b, s, RG_METRIC_DROPPED_WRONG_SERVICE,
                           "wrong-service");
    }
    if (!t) {
        rg_bal_note_untracked(b, s, endpoint);
    }
    if (t) {
        rg_flows_update(b, t, s, route);
    }
    if (t && rg_request_is_lost(b, t)) {
        rg_request_log_unanswered(b, t, "reset");
        struct rg_decision refused = rg_bal_refuse(
            b, s, RG_METRIC_REFUSED_DEAD_UPSTREAM, "dead-upstream");
        rg_flows_set_state(t, RG_TRACKED_CLOSED, b->now_ms);
        return refused;
    }
    return rg_bal_forward(b, endpoint);
}
