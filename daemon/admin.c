#include "daemon/admin.h"

#include <json-c/json.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "common/mem.h"
#include "daemon/packet_io.h"

#define CONNECTION_TIMEOUT_S 10
#define SPANS_PER_RESPONSE 4096

struct rg_admin {
    struct rg_daemon *d;
    struct MHD_Daemon *http;
    uv_poll_t poll;
};

/* An HTTP response. libmicrohttpd frees the text. */
struct response {
    unsigned status;
    const char *type;
    char *text;
    size_t len;
};

struct route {
    const char *path;
    void (*handle)(struct rg_daemon *d, struct MHD_Connection *c,
                   struct response *out);
};

static void
respond_text(struct response *out, unsigned status, const char *text)
{
    out->status = status;
    out->type = "text/plain";
    out->text = rg_strdup(text);
    out->len = strlen(text);
}

/* Takes over the caller's reference to `o`. */
static void
respond_json(struct response *out, struct json_object *o)
{
    const char *text = json_object_to_json_string_ext(
        o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE);

    out->status = MHD_HTTP_OK;
    out->type = "application/json";
    out->text = rg_strdup(text);
    out->len = strlen(text);
    json_object_put(o);
}

static void
add_text(struct json_object *o, const char *key, const char *text)
{
    json_object_object_add(o, key, json_object_new_string(text));
}

static void
add_u64(struct json_object *o, const char *key, uint64_t value)
{
    json_object_object_add(o, key, json_object_new_uint64(value));
}

static void
add_bool(struct json_object *o, const char *key, bool value)
{
    json_object_object_add(o, key, json_object_new_boolean(value));
}

static void
add_addr(struct json_object *o, const char *key, const struct rg_addr *a)
{
    char text[RG_ADDR_STR_MAX];

    add_text(o, key, rg_addr_format(a, text));
}

static void
on_health(struct rg_daemon *d, struct MHD_Connection *c, struct response *out)
{
    (void)d;
    (void)c;
    respond_text(out, MHD_HTTP_OK, "ok\n");
}

static void
on_ready(struct rg_daemon *d, struct MHD_Connection *c, struct response *out)
{
    (void)c;
    if (rg_core_ready(d->core)) {
        respond_text(out, MHD_HTTP_OK, "ready\n");
        return;
    }
    respond_text(out, MHD_HTTP_SERVICE_UNAVAILABLE,
                 rg_core_leaving(d->core)
                     ? "leaving\n"
                     : "not joined, or no configuration\n");
}

static double
cpu_seconds(void)
{
    struct rusage u;

    getrusage(RUSAGE_SELF, &u);
    return (double)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) +
           (double)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e6;
}

static uint64_t
resident_bytes(void)
{
    unsigned long total = 0;
    unsigned long resident = 0;
    FILE *in = fopen("/proc/self/statm", "r");

    if (!in) {
        return 0;
    }
    if (fscanf(in, "%lu %lu", &total, &resident) != 2) {
        resident = 0;
    }
    fclose(in);
    return (uint64_t)resident * (uint64_t)sysconf(_SC_PAGESIZE);
}

static void
print_metric(FILE *out, const char *name, const char *type, const char *help,
             double value)
{
    fprintf(out, "# HELP rattangap_%s %s\n# TYPE rattangap_%s %s\n", name,
            help, name, type);
    fprintf(out, "rattangap_%s %.17g\n", name, value);
}

static void
print_gauges(struct rg_daemon *d, FILE *out)
{
    struct rg_flow_table *flows = rg_core_flows(d->core);

    print_metric(out, "generation", "gauge", "configuration in force",
                 (double)rg_config_state_generation(d->config_state));
    print_metric(out, "members", "gauge", "members alive, this one included",
                 rg_members_alive_count(rg_core_members(d->core)));
    print_metric(out, "flow_records", "gauge", "flow records held",
                 rg_flow_count(flows));
    print_metric(out, "flow_records_established", "gauge",
                 "flow records past their opening",
                 rg_flow_count_state(flows, RG_FLOW_ESTABLISHED));
    print_metric(out, "upstreams_ejected", "gauge",
                 "upstreams that leave openings unanswered",
                 rg_upstreams_ejected(rg_core_upstreams(d->core)));
    print_metric(out, "store_up", "gauge", "the store answers", d->store_ok);
    print_metric(out, "flow_evictions_total", "counter",
                 "records dropped to make room",
                 (double)rg_flow_evictions(flows));
    print_metric(out, "datagrams_lost_total", "counter",
                 "datagrams that could not be sent or were cut short",
                 (double)rg_packet_io_lost(d->packets));
    print_metric(out, "actions_dropped_total", "counter",
                 "actions of the core that found no room",
                 (double)rg_core_actions(d->core)->dropped);
    print_metric(out, "cpu_seconds_total", "counter", "processor time used",
                 cpu_seconds());
    print_metric(out, "resident_bytes", "gauge", "resident memory",
                 (double)resident_bytes());
}

static void
on_metrics(struct rg_daemon *d, struct MHD_Connection *c, struct response *out)
{
    const uint8_t *counters = (const uint8_t *)rg_core_counters(d->core);
    char name[96];
    FILE *text = open_memstream(&out->text, &out->len);

    (void)c;
    if (!text) {
        respond_text(out, MHD_HTTP_INTERNAL_SERVER_ERROR, "no memory\n");
        return;
    }
    for (size_t i = 0; i < rg_counter_info_count; i++) {
        const struct rg_counter_info *info = &rg_counter_infos[i];
        uint64_t value;
        memcpy(&value, counters + info->offset, sizeof(value));
        snprintf(name, sizeof(name), "%s_total", info->name);
        print_metric(text, name, "counter", info->help, (double)value);
    }
    print_gauges(d, text);
    fclose(text);
    out->status = MHD_HTTP_OK;
    out->type = "text/plain; version=0.0.4";
}

static struct json_object *
members_json(struct rg_daemon *d)
{
    static const char *const state_names[] = {"alive", "suspect", "leaving",
                                              "dead"};
    struct rg_members *m = rg_core_members(d->core);
    struct json_object *list = json_object_new_array();

    for (uint16_t i = 0; i < rg_members_slots(m); i++) {
        const struct rg_member *e = rg_members_at(m, i);
        if (!e->used || e->state == RG_MEMBER_DEAD) {
            continue;
        }
        struct json_object *o = json_object_new_object();
        add_text(o, "name", e->name.s);
        add_addr(o, "address", &e->addr);
        add_text(o, "state", state_names[e->state]);
        json_object_array_add(list, o);
    }
    return list;
}

static void
on_status(struct rg_daemon *d, struct MHD_Connection *c, struct response *out)
{
    struct json_object *o = json_object_new_object();

    (void)c;
    add_text(o, "name", d->settings.name.s);
    add_text(o, "data_centre", d->settings.data_centre.s);
    add_text(o, "version", RG_VERSION);
    add_u64(o, "generation", rg_config_state_generation(d->config_state));
    add_u64(o, "pending_generation",
            rg_config_state_pending_generation(d->config_state));
    add_bool(o, "ready", rg_core_ready(d->core));
    add_bool(o, "leaving", rg_core_leaving(d->core));
    add_bool(o, "store_up", d->store_ok);
    add_bool(o, "watches_store",
             rg_core_watches_store(d->core, d->settings.store.watchers));
    add_u64(o, "flow_records", rg_flow_count(rg_core_flows(d->core)));
    json_object_object_add(o, "members", members_json(d));
    respond_json(out, o);
}

static const char *
argument(struct MHD_Connection *c, const char *key)
{
    const char *value =
        MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, key);

    return value ? value : "";
}

/* Parses the query arguments src=IP:PORT, dst=IP:PORT and the optional
 * proto=tcp|udp. */
static bool
flow_argument(struct MHD_Connection *c, struct rg_flow_key *key)
{
    struct rg_addr src;
    struct rg_addr dst;
    const char *proto = argument(c, "proto");

    memset(key, 0, sizeof(*key));
    if (!rg_addr_parse(&src, argument(c, "src")) ||
        !rg_addr_parse(&dst, argument(c, "dst")))
    {
        return false;
    }
    memcpy(key->src, src.ip, RG_IP_LEN);
    memcpy(key->dst, dst.ip, RG_IP_LEN);
    key->sport = src.port;
    key->dport = dst.port;
    key->proto = strcmp(proto, "udp") == 0 ? RG_PROTO_UDP : RG_PROTO_TCP;
    return *proto == '\0' || strcmp(proto, "udp") == 0 ||
           strcmp(proto, "tcp") == 0;
}

static struct json_object *
explain_json(const struct rg_explain *e)
{
    static const char *const states[] = {"opening", "established", "closing",
                                         "refused", "held"};
    struct json_object *o = json_object_new_object();
    struct json_object *holders = json_object_new_array();

    for (uint32_t i = 0; i < e->holder_count; i++) {
        json_object_array_add(holders,
                              json_object_new_string(e->holders[i].s));
    }
    add_bool(o, "known_service", e->known_service);
    add_text(o, "service", e->service.s);
    add_u64(o, "generation", e->generation);
    add_u64(o, "bucket", e->bucket);
    json_object_object_add(o, "holders", holders);
    add_bool(o, "has_record", e->has_record);
    if (e->has_record) {
        add_text(o, "state", states[e->state]);
        add_bool(o, "is_owner", e->is_owner);
    }
    add_text(o, "upstream", e->upstream.s);
    if (e->upstream.len > 0) {
        add_addr(o, "upstream_address", &e->upstream_addr);
    }
    add_text(o, "rule",
             !e->has_record ? "default of the table"
             : e->by_table  ? "record, default of the table"
                            : "record, chosen for balance or availability");
    return o;
}

static void
on_explain(struct rg_daemon *d, struct MHD_Connection *c, struct response *out)
{
    struct rg_flow_key key;
    struct rg_explain e;

    if (!flow_argument(c, &key)) {
        respond_text(out, MHD_HTTP_BAD_REQUEST,
                     "expected src=IP:PORT&dst=IP:PORT[&proto=tcp|udp]\n");
        return;
    }
    rg_core_explain(d->core, &key, &e);
    respond_json(out, explain_json(&e));
}

static void
print_span(FILE *out, const struct rg_daemon *d, const struct rg_span *s)
{
    static const char *const hops[] = {"receive", "owner", "replica",
                                       "lookup",  "found", "refuse"};
    static const char *const rules[] = {"", "table", "balance", "fallback"};

    /* Ids as in W3C Trace Context: the trace id comes from the flow, the span
     * id from the flow, time, hop and instance. */
    uint64_t span =
        rg_mix64(s->flow ^ s->at_ms ^ ((uint64_t)s->hop << 56) ^
                 rg_identity(rg_name_str(&d->settings.name), rg_str_of("")));
    fprintf(out,
            "{\"trace_id\":\"%016llx%016llx\",\"span_id\":\"%016llx\","
            "\"name\":\"%s\",\"instance\":\"%s\",\"at_ms\":%llu,"
            "\"hops\":%u,\"upstream\":\"%016llx\",\"generation\":%llu,"
            "\"rule\":\"%s\",\"tcp_flags\":%u}\n",
            (unsigned long long)rg_mix64(s->flow), (unsigned long long)s->flow,
            (unsigned long long)span, hops[s->hop], d->settings.name.s,
            (unsigned long long)s->at_ms, s->hops,
            (unsigned long long)s->upstream, (unsigned long long)s->generation,
            rules[s->rule], s->tcp_flags);
}

static void
on_spans(struct rg_daemon *d, struct MHD_Connection *c, struct response *out)
{
    RG_AUTO_FREE struct rg_span *spans =
        rg_calloc(SPANS_PER_RESPONSE, sizeof(*spans));
    size_t count = rg_core_take_spans(d->core, spans, SPANS_PER_RESPONSE);
    FILE *text = open_memstream(&out->text, &out->len);

    (void)c;
    if (!text) {
        respond_text(out, MHD_HTTP_INTERNAL_SERVER_ERROR, "no memory\n");
        return;
    }
    for (size_t i = 0; i < count; i++) {
        print_span(text, d, &spans[i]);
    }
    fclose(text);
    out->status = MHD_HTTP_OK;
    out->type = "application/x-ndjson";
}

static void
on_head(struct rg_daemon *d, struct MHD_Connection *c, struct response *out)
{
    struct rg_str head = rg_config_state_head_text(d->config_state);

    (void)c;
    out->status = head.len > 0 ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND;
    out->type = "application/json";
    out->text = rg_strndup(head.len > 0 ? head.ptr : "", head.len);
    out->len = head.len;
}

static const struct route routes[] = {
    {"/health", on_health}, {"/ready", on_ready},     {"/metrics", on_metrics},
    {"/status", on_status}, {"/explain", on_explain}, {"/spans", on_spans},
    {"/head", on_head},
};

static enum MHD_Result
send_response(struct MHD_Connection *c, const struct response *a)
{
    struct MHD_Response *r = MHD_create_response_from_buffer(
        a->len, a->text, MHD_RESPMEM_MUST_FREE);

    MHD_add_response_header(r, "Content-Type", a->type);
    enum MHD_Result result = MHD_queue_response(c, a->status, r);
    MHD_destroy_response(r);
    return result;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *c, const char *url,
           const char *method, const char *version, const char *upload,
           size_t *upload_size, void **state)
{
    struct rg_admin *admin = ctx;
    struct response a = {0};

    (void)version;
    (void)upload;
    (void)state;
    if (*upload_size > 0) {
        *upload_size = 0;
        return MHD_YES;
    }
    if (strcmp(method, "GET") != 0) {
        respond_text(&a, MHD_HTTP_METHOD_NOT_ALLOWED, "GET only\n");
        return send_response(c, &a);
    }
    for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        if (strcmp(url, routes[i].path) == 0) {
            routes[i].handle(admin->d, c, &a);
            return send_response(c, &a);
        }
    }
    respond_text(&a, MHD_HTTP_NOT_FOUND, "no such page\n");
    return send_response(c, &a);
}

static void
on_readable(uv_poll_t *poll, int status, int events)
{
    struct rg_admin *a = poll->data;

    (void)status;
    (void)events;
    MHD_run(a->http);
}

struct rg_admin *
rg_admin_create(struct rg_daemon *d, struct rg_err *err)
{
    struct sockaddr_storage sa;
    struct rg_admin *a = rg_calloc(1, sizeof(*a));
    unsigned flags = MHD_USE_EPOLL;

    rg_addr_to_sock(&d->settings.admin_address, &sa);
    if (sa.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    a->d = d;
    a->http = MHD_start_daemon(flags, d->settings.admin_address.port, NULL,
                               NULL, on_request, a, MHD_OPTION_SOCK_ADDR, &sa,
                               MHD_OPTION_CONNECTION_TIMEOUT,
                               CONNECTION_TIMEOUT_S, MHD_OPTION_END);
    if (!a->http) {
        rg_err_add(err, "admin_address", "an address this host can bind",
                   "an address that it cannot bind");
        free(a);
        return NULL;
    }
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(a->http, MHD_DAEMON_INFO_EPOLL_FD);
    uv_poll_init(&d->loop, &a->poll, info->epoll_fd);
    a->poll.data = a;
    uv_poll_start(&a->poll, UV_READABLE, on_readable);
    return a;
}

static void
on_closed(uv_handle_t *handle)
{
    struct rg_admin *a = handle->data;

    MHD_stop_daemon(a->http);
    free(a);
}

void
rg_admin_destroy(struct rg_admin *a)
{
    if (a) {
        uv_close((uv_handle_t *)&a->poll, on_closed);
    }
}
