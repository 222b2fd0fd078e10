/* Decoding of the responses and entries of the platform's store. Other
 * programs write entries too: an invalid one must be reported as such, and
 * must not hide the valid ones or crash the decoder. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "balance/revision.h"
#include "common/rand.h"
#include "platform/kv.h"

#define SEED 23
#define ROUNDS 20000

static const char valid_entry[] =
    "{\"Service\":\"shop\",\"Address\":\"10.128.0.9:8080\",\"Zone\":\"a\","
    "\"Version\":\"v1\",\"Slots\":2,\"State\":\"ready\",\"ColdLeftMs\":40,"
    "\"Seq\":4,\"born\":1700000000123}";

/* The changes of a decoded response. */
struct seen {
    int counts[RG_KV_INVALID_UPSTREAM + 1];
    struct rg_kv_change last;
    uint64_t version;
    size_t routes;
    struct rg_route route;
    size_t limits;
    struct rg_cold_limit limit; /* the last one */
};

static void
on_change(void *ctx, const struct rg_kv_change *c)
{
    struct seen *seen = ctx;

    seen->counts[c->kind]++;
    seen->last = *c;
    if (c->kind == RG_KV_ROUTES) {
        seen->version = rg_routes_version(c->routes);
        seen->routes = rg_routes_count(c->routes);
        const struct rg_cold_limit *limits =
            rg_routes_cold_limits(c->routes, &seen->limits);
        if (seen->limits > 0) {
            seen->limit = limits[seen->limits - 1];
        }
        if (seen->routes > 0) {
            seen->route = *rg_routes_at(c->routes, 0);
        }
        rg_routes_destroy(c->routes);
    }
}

static bool
decode(const char *body, struct seen *seen, struct rg_kv_response *response)
{
    memset(seen, 0, sizeof(*seen));
    return rg_kv_decode(rg_str_of(body), 0, on_change, seen, response);
}

/* Decodes a watch with one event that holds `value` under `key`. */
static void
decode_value(const char *key, const char *value, struct seen *seen)
{
    struct rg_kv_response response;
    g_autofree char *text =
        g_base64_encode((const guchar *)value, strlen(value));
    g_autofree char *body = g_strdup_printf(
        "{\"events\":[{\"Key\":\"%s\",\"Value\":\"%s\",\"Revision\":5}],"
        "\"StoreRevision\":6}",
        key, text);

    g_assert_true(decode(body, seen, &response));
    g_assert_cmpuint(response.revision, ==, 6);
    g_assert_cmpuint(response.changes, ==, 1);
}

static void
test_paths(void)
{
    char path[RG_KV_PATH_MAX];
    struct rg_store_sync_step step = {.kind = RG_STORE_SYNC_LIST, .after = ""};

    rg_kv_path(path, &step);
    g_assert_cmpstr(path, ==, "/v1/kv-range?Prefix=");
    step.after = "servers/i 1&x";
    rg_kv_path(path, &step);
    g_assert_cmpstr(path, ==, "/v1/kv-range?Prefix=&after=servers/i%201%26x");
    step = (struct rg_store_sync_step){.kind = RG_STORE_SYNC_SAMPLE,
                                       .position = 0xab12};
    rg_kv_path(path, &step);
    g_assert_cmpstr(path, ==,
                    "/v1/kv-range?Prefix=servers/&after=servers/i-0000ab12");
    step = (struct rg_store_sync_step){.kind = RG_STORE_SYNC_LIST,
                                       .after = "servers/i 1&x"};
    step.stale = true;
    rg_kv_path(path, &step);
    g_assert_cmpstr(path, ==,
                    "/v1/kv-range?Prefix=&AllowStale=1&after=servers/"
                    "i%201%26x");
    step = (struct rg_store_sync_step){
        .kind = RG_STORE_SYNC_WATCH, .revision = 411, .wait_ms = 1200};
    rg_kv_path(path, &step);
    g_assert_cmpstr(path, ==, "/v1/kv-watch?Prefix=&after=411&WaitMs=1200");
}

static void
test_valid_upstream(void)
{
    struct seen seen;

    decode_value("servers/i-7f3a91c2", valid_entry, &seen);
    const struct rg_endpoint_info *r = &seen.last.info;
    g_assert_cmpint(seen.last.kind, ==, RG_KV_UPSTREAM);
    g_assert_cmpstr(r->id.s, ==, "i-7f3a91c2");
    g_assert_cmphex(r->wire_id, ==, 0x7f3a91c2);
    g_assert_cmpuint(r->boot_ms, ==, 1700000000123);
    g_assert_cmpstr(r->service.s, ==, "shop");
    g_assert_cmpstr(r->data_centre.s, ==, "a");
    g_assert_cmpuint(r->addr.port, ==, 8080);
    g_assert_cmpuint(r->slots, ==, 2);
    g_assert_cmpuint(r->cold_left_ms, ==, 40);
    g_assert_false(r->draining);
    g_assert_cmpuint(seen.last.revision, ==, 5);
}

/* Each entry is invalid, and the error names the field. */
static void
test_invalid_upstreams(void)
{
    static const struct {
        const char *value;
        const char *why;
    } rows[] = {
        {"", "not JSON"},
        {"{", "not JSON"},
        {"\xff\xfe", "not JSON"},
        {"[]", "not an object"},
        {"{} x", "not JSON"},
        {"null", "not an object"},
        {"{}", "service"},
        {"{\"Service\":3}", "service"},
        {"{\"Service\":\"shop\"}", "data centre"},
        {"{\"Service\":\"shop\",\"Zone\":\"a\",\"Address\":7}", "address"},
        {"{\"Service\":\"shop\",\"Zone\":\"a\",\"Address\":\"10.0.0.1\"}",
         "address"},
        {"{\"Service\":\"shop\",\"Zone\":\"a\",\"Address\":\"[::1]:80\"}",
         "address"},
        {"{\"Service\":\"shop\",\"Zone\":\"a\",\"Address\":\"10.0.0.1:80\"}",
         "state"},
        {"{\"Service\":\"shop\",\"Zone\":\"a\",\"Address\":\"10.0.0.1:80\","
         "\"State\":\"resting\"}",
         "state"},
        {"{\"Service\":\"shop\",\"Zone\":\"a\",\"Address\":\"10.0.0.1:80\","
         "\"State\":\"ready\",\"Slots\":\"2\"}",
         "slots"},
        {"{\"Service\":\"shop\",\"Zone\":\"a\",\"Address\":\"10.0.0.1:80\","
         "\"State\":\"ready\",\"Slots\":0}",
         "slots"},
        {"{\"Service\":\"shop\",\"Zone\":\"a\",\"Address\":\"10.0.0.1:80\","
         "\"State\":\"ready\",\"Slots\":-2}",
         "slots"},
    };
    struct seen seen;

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        decode_value("servers/i-1", rows[i].value, &seen);
        g_assert_cmpint(seen.last.kind, ==, RG_KV_INVALID_UPSTREAM);
        g_assert_cmpstr(seen.last.id.s, ==, "i-1");
        g_assert_cmpstr(seen.last.why, ==, rows[i].why);
    }
    decode_value("servers/zzz", valid_entry, &seen);
    g_assert_cmpint(seen.last.kind, ==, RG_KV_INVALID_UPSTREAM);
}

/* Replaces the value of a field of valid_entry; NULL leaves the field out. */
static char *
change_field(const char *key, const char *value)
{
    g_autofree char *pattern = g_strdup_printf("\"%s\":[^,}]*,?", key);
    g_autofree char *field =
        value ? g_strdup_printf("\"%s\":%s,", key, value) : g_strdup("");
    g_autoptr(GRegex) regex = g_regex_new(pattern, 0, 0, NULL);
    g_autoptr(GString) text = g_string_new(NULL);
    g_autofree char *rest =
        g_regex_replace_literal(regex, valid_entry, -1, 0, "", 0, NULL);

    g_string_append_printf(text, "{%s%s", field, rest + 1);
    g_string_replace(text, ",}", "}", 0);
    return g_string_free(g_steal_pointer(&text), FALSE);
}

/* Guards against an entry of another writer being taken for a usable upstream:
 * each is valid except for one field. */
static void
test_odd_fields(void)
{
    static const char *const numbers[] = {"ColdLeftMs", "Seq", "born",
                                          "Slots"};
    static const char *const odd_numbers[] = {"1e400",
                                              "-1e400",
                                              "-1",
                                              "9007199254740992",
                                              "18446744073709551616",
                                              "99999999999999999999999999",
                                              "1.5",
                                              "NaN",
                                              "Infinity",
                                              "true",
                                              "\"4\"",
                                              "null",
                                              "[4]",
                                              "{}"};
    static const char *const addresses[] = {
        "\"10.128.0.9:65536\"",
        "\"10.128.0.9:99999999999999999999\"",
        "\"10.128.0.9:0\"",
        "\"10.128.0.9:-8080\"",
        "\"10.128.0.9:+8080\"",
        "\"10.128.0.9: 8080\"",
        "\"10.128.0.9:\"",
        "\"10.128.0.9\"",
        "\"10.128.0.999:80\"",
        "\"10.128.0.9:80\\u0000\"",
        "8080"};
    static const char *const required[] = {"Service", "Address",   "Zone",
                                           "Version", "Slots",     "State",
                                           "Seq",     "ColdLeftMs"};
    struct seen seen;

    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        for (size_t n = 0; n < G_N_ELEMENTS(odd_numbers); n++) {
            g_autofree char *entry = change_field(numbers[i], odd_numbers[n]);
            decode_value("servers/i-1", entry, &seen);
            g_assert_cmpint(seen.last.kind, ==, RG_KV_INVALID_UPSTREAM);
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        g_autofree char *entry = change_field("Address", addresses[i]);
        decode_value("servers/i-1", entry, &seen);
        g_assert_cmpint(seen.last.kind, ==, RG_KV_INVALID_UPSTREAM);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(required); i++) {
        g_autofree char *missing = change_field(required[i], NULL);
        decode_value("servers/i-1", missing, &seen);
        g_assert_cmpint(seen.last.kind, ==, RG_KV_INVALID_UPSTREAM);
        g_autofree char *other_type = change_field(required[i], "[]");
        decode_value("servers/i-1", other_type, &seen);
        g_assert_cmpint(seen.last.kind, ==, RG_KV_INVALID_UPSTREAM);
    }
    /* Not all upstreams tell their start. */
    g_autofree char *no_start = change_field("born", NULL);
    decode_value("servers/i-1", no_start, &seen);
    g_assert_cmpint(seen.last.kind, ==, RG_KV_UPSTREAM);
}

/* Guards against an entry that ends the process, or hides the others: it is
 * nested so deeply that a recursive parser runs out of stack. */
static void
test_deeply_nested_entry(void)
{
    static const size_t depth = 200000;
    g_autofree char *nested = g_malloc0(depth + 1);
    static const char *const openings[] = {"[", "{\"a\":"};

    for (size_t i = 0; i < G_N_ELEMENTS(openings); i++) {
        size_t unit = strlen(openings[i]);
        for (size_t at = 0; at + unit <= depth; at += unit) {
            memcpy(nested + at, openings[i], unit);
        }
        g_autofree char *entry = change_field("Seq", nested);
        g_autofree char *odd =
            g_base64_encode((const guchar *)entry, strlen(entry));
        g_autofree char *valid =
            g_base64_encode((const guchar *)valid_entry, strlen(valid_entry));
        g_autofree char *body = g_strdup_printf(
            "{\"items\":[{\"Key\":\"servers/i-1\",\"Value\":\"%s\"},"
            "{\"Key\":\"servers/i-2\",\"Value\":\"%s\"},"
            "{\"Key\":\"op/config\",\"Value\":\"%s\"}],"
            "\"HasMore\":false,\"StoreRevision\":6}",
            odd, valid, odd);
        struct seen seen;
        struct rg_kv_response response;
        g_assert_true(decode(body, &seen, &response));
        g_assert_cmpint(seen.counts[RG_KV_UPSTREAM], ==, 1);
        g_assert_cmpint(seen.counts[RG_KV_INVALID_UPSTREAM], ==, 1);
        g_assert_cmpint(seen.counts[RG_KV_INVALID_ROUTES], ==, 1);
    }
}

static void
test_removed_upstream(void)
{
    struct seen seen;
    struct rg_kv_response response;

    g_assert_true(decode("{\"events\":[{\"Key\":\"servers/i-1\","
                         "\"Revision\":7,\"Deleted\":true}],"
                         "\"StoreRevision\":7}",
                         &seen, &response));
    g_assert_cmpint(seen.last.kind, ==, RG_KV_UPSTREAM_REMOVED);
    g_assert_cmpstr(seen.last.id.s, ==, "i-1");
    g_assert_cmpuint(seen.last.revision, ==, 7);
}

/* What one instance writes to register its address under a lease, others
 * decode. */
static void
test_instance_registration(void)
{
    struct rg_registration_step step = {.kind = RG_REGISTRATION_WRITE,
                                        .lease = 7};
    struct rg_kv_call call;
    struct rg_name name;
    struct rg_addr addr;
    struct seen seen;
    RG_STRBUF_AUTO body = {0};

    g_assert_true(rg_name_set(&name, rg_str_of("edge-1")));
    g_assert_true(rg_addr_parse(&addr, "10.0.0.9:7720"));
    rg_kv_encode_registration(&call, &body, &step, &name, &addr);
    g_assert_cmpstr(call.path, ==, "/v1/kv-txn");
    g_assert_nonnull(strstr(body.s, "\"Key\":\"rattangap/instances/edge-1\""));
    g_assert_nonnull(strstr(body.s, "\"Lease\":7"));
    g_assert_nonnull(strstr(body.s, "\"MTAuMC4wLjk6NzcyMA==\""));
    decode_value("rattangap/instances/edge-1", "10.0.0.9:7720", &seen);
    g_assert_cmpint(seen.last.kind, ==, RG_KV_INSTANCE);
    g_assert_true(rg_addr_eq(&seen.last.instance, &addr));
    decode_value("rattangap/instances/edge-1", "somewhere", &seen);
    g_assert_cmpint(seen.last.kind, ==, RG_KV_OTHER);
    g_assert_cmpuint(rg_kv_decode_lease(rg_str_of("{\"Lease\":77120}")), ==,
                     77120);
    g_assert_cmpuint(rg_kv_decode_lease(rg_str_of("{}")), ==, 0);
    g_assert_cmpuint(rg_kv_decode_lease(rg_str_of("x")), ==, 0);
}

static void
test_routes(void)
{
    struct seen seen;

    decode_value(
        "op/config",
        "{\"Version\":7,\"Routes\":["
        "{\"Host\":\"198.18.0.1\",\"Prefix\":\"/8443/\",\"RouteType\":"
        "\"safe\",\"TimeoutMs\":800,\"Split\":[{\"Service\":\"x\","
        "\"Weight\":90},{\"Service\":\"y\",\"Weight\":10}]},"
        "{\"Host\":\"198.18.0.1\",\"Prefix\":\"/8080/\",\"RouteType\":"
        "\"unsafe\",\"Service\":\"x\"},"
        "{\"Host\":\"nowhere\",\"Prefix\":\"/1/\",\"Service\":\"x\"},"
        "{\"Host\":\"198.18.0.1\",\"Prefix\":\"/99999/\",\"Service\":\"x\"},"
        "7]}",
        &seen);
    g_assert_cmpint(seen.last.kind, ==, RG_KV_ROUTES);
    g_assert_cmpuint(seen.version, ==, 7);
    g_assert_cmpuint(seen.routes, ==, 2);
    g_assert_cmpstr(seen.last.why, ==,
                    "3 routes left out, the first is Routes[2]");
    g_assert_cmphex(seen.route.ip, ==, 0xc6120001);
    g_assert_cmpuint(seen.route.port, ==, 8443);
    g_assert_cmpuint(seen.route.repeat, ==, RG_REPEAT_SAFE);
    g_assert_cmpuint(seen.route.timeout_ms, ==, 800);
    g_assert_cmpuint(seen.route.share_count, ==, 2);
    g_assert_cmpuint(seen.route.shares[0].weight, ==, 90);
}

static void
test_invalid_routes(void)
{
    static const char *const values[] = {"",
                                         "[]",
                                         "{}",
                                         "{\"Version\":0,\"Routes\":[]}",
                                         "{\"Version\":\"7\",\"Routes\":[]}",
                                         "{\"Version\":7,\"Routes\":3}",
                                         "{\"Version\":1e400,\"Routes\":[]}",
                                         "{\"Version\":99999999999999999999,"
                                         "\"Routes\":[]}"};
    struct seen seen;

    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        decode_value("op/config", values[i], &seen);
        g_assert_cmpint(seen.last.kind, ==, RG_KV_INVALID_ROUTES);
    }
}

/* Invalid responses are rejected without reporting any change. */
static void
test_invalid_responses(void)
{
    static const char *const bodies[] = {
        "",
        "null",
        "[]",
        "{}",
        "{\"events\":3,\"StoreRevision\":6}",
        "{\"events\":[]}",
        "{\"events\":[],\"StoreRevision\":0}",
        "{\"items\":{},\"StoreRevision\":6}",
        "{\"events\":[{\"Key\":\"op/config\"",
        "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
    };
    struct seen seen;
    struct rg_kv_response response;

    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        g_assert_false(decode(bodies[i], &seen, &response));
        for (size_t n = 0; n < G_N_ELEMENTS(seen.counts); n++) {
            g_assert_cmpint(seen.counts[n], ==, 0);
        }
    }
}

/* Rows of the wrong type do not hide the others. */
static void
test_mixed_rows(void)
{
    struct seen seen;
    struct rg_kv_response response;

    g_assert_true(
        decode("{\"items\":[3,null,{},{\"Key\":5},{\"Key\":\"op/config\"},"
               "{\"Key\":\"servers/i-1\",\"Value\":\"!!\",\"Revision\":3},"
               "{\"Key\":\"servers/i-2\",\"Value\":7},{\"Key\":\"mine/1\"}],"
               "\"HasMore\":true,\"StoreRevision\":9}",
               &seen, &response));
    g_assert_true(response.more);
    g_assert_cmpstr(response.last_key, ==, "mine/1");
    g_assert_cmpint(seen.counts[RG_KV_INVALID_ROUTES], ==, 1);
    g_assert_cmpint(seen.counts[RG_KV_INVALID_UPSTREAM], ==, 2);
}

/* A response with random bytes overwritten is decoded or rejected, without a
 * crash or an invalid memory access. */
static void
test_corrupted_response(void)
{
    struct rg_rand rand = {.state = SEED};
    g_autofree char *text =
        g_base64_encode((const guchar *)valid_entry, strlen(valid_entry));
    g_autofree char *body = g_strdup_printf(
        "{\"items\":[{\"Key\":\"servers/i-1\",\"Value\":\"%s\","
        "\"Revision\":5}],\"HasMore\":false,\"StoreRevision\":6}",
        text);
    size_t len = strlen(body);
    struct seen seen;
    struct rg_kv_response response;

    for (int i = 0; i < ROUNDS; i++) {
        g_autofree char *copy = g_strdup(body);
        for (uint32_t n = 1 + rg_rand_below(&rand, 4); n > 0; n--) {
            char byte = (char)(1 + rg_rand_below(&rand, 255));
            copy[rg_rand_below(&rand, (uint32_t)len)] = byte;
        }
        decode(copy, &seen, &response);
    }
}

/* Rows without a key, or with one that is not a string, are ignored. */
static void
test_invalid_keys(void)
{
    static const char *const rows[] = {
        "{}", "{\"Key\":null}", "{\"Key\":7}", "null", "7", "[]"};
    struct seen seen;
    struct rg_kv_response response;

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_autofree char *body =
            g_strdup_printf("{\"events\":[%s],\"StoreRevision\":6}", rows[i]);
        g_assert_true(decode(body, &seen, &response));
        g_assert_cmpint(seen.counts[RG_KV_OTHER], ==, 1);
        g_assert_cmpstr(response.last_key, ==, "");
    }
}

/* Requests to evacuate a data centre: whatever their value, and only with a
 * name. One that is cut must not stand for another data centre. */
static void
test_evacuations(void)
{
    struct seen seen;
    struct rg_kv_response response;
    g_autofree char *long_name = g_strnfill(RG_NAME_MAX + 1, 'z');
    g_autofree char *long_key = g_strdup_printf("op/evacuate/%s", long_name);
    const char *invalid[] = {"op/evacuate/", "op/evacuate/z1\\u0000x",
                             long_key};

    decode_value("op/evacuate/z1", "{}", &seen);
    g_assert_cmpint(seen.last.kind, ==, RG_KV_EVACUATED);
    g_assert_cmpstr(seen.last.id.s, ==, "z1");
    g_assert_cmpuint(seen.last.revision, ==, 5);
    decode_value("op/evacuate/z1", "", &seen);
    g_assert_cmpint(seen.last.kind, ==, RG_KV_EVACUATED);
    decode_value("op/evacuatez1", "{}", &seen);
    g_assert_cmpint(seen.last.kind, ==, RG_KV_OTHER);
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        decode_value(invalid[i], "{}", &seen);
        g_assert_cmpint(seen.last.kind, ==, RG_KV_INVALID_EVACUATION);
        g_assert_true(seen.last.why[0] != '\0');
    }
    g_assert_true(decode("{\"events\":[{\"Key\":\"op/evacuate/z1\","
                         "\"Revision\":8,\"Deleted\":true},"
                         "{\"Key\":\"op/evacuate/z2\",\"Revision\":9}],"
                         "\"StoreRevision\":9}",
                         &seen, &response));
    g_assert_cmpint(seen.counts[RG_KV_EVACUATION_LIFTED], ==, 1);
    g_assert_cmpint(seen.counts[RG_KV_EVACUATED], ==, 1);
}

/* Guards against a partial view that is used although the page it began with
 * ended before, or among, the requests to evacuate. */
static void
test_page_past_evacuations(void)
{
    static const struct {
        const char *last_key;
        bool more;
        bool past;
    } pages[] = {
        {"op/config", true, false},     {"op/config", false, true},
        {"op/evacuate/a", true, false}, {"op/evacuate/a", false, true},
        {"op/other", true, true},       {"rattangap/instances/x", true, true},
        {"servers/i-1", true, true},    {"a", true, false},
    };
    struct seen seen;
    struct rg_kv_response response;

    for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
        g_autofree char *body = g_strdup_printf(
            "{\"items\":[{\"Key\":\"%s\",\"Revision\":3}],\"HasMore\":%s,"
            "\"StoreRevision\":9}",
            pages[i].last_key, pages[i].more ? "true" : "false");
        g_assert_true(decode(body, &seen, &response));
        g_assert_cmpint(response.past_evacuations, ==, pages[i].past);
    }
}

/* Guards against a limit of cold upstreams that is taken from a value which
 * makes no sense, and against losing the routes, or the limits of other
 * services, because of it. */
static void
test_cold_limits(void)
{
    static const char *const invalid[] = {"-1", "1e300", "\"10\"", "null",
                                          "{}", "[3]",   "true",   "1000001"};
    struct seen seen;

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_autofree char *value = g_strdup_printf(
            "{\"Version\":3,\"Routes\":[{\"Host\":\"198.18.0.1\","
            "\"Prefix\":\"/443/\",\"Service\":\"a\"}],\"Services\":[7,{},"
            "{\"Name\":\"a\",\"ColdPerS\":0},"
            "{\"Name\":\"b\",\"ColdPerS\":%s,\"ColdStartS\":-4},"
            "{\"Name\":\"c\",\"ColdPerS\":12.5,\"ColdStartS\":20}]}",
            invalid[i]);
        decode_value("op/config", value, &seen);
        g_assert_cmpint(seen.last.kind, ==, RG_KV_ROUTES);
        g_assert_cmpuint(seen.routes, ==, 1);
        g_assert_cmpuint(seen.limits, ==, 1);
        g_assert_cmpstr(seen.limit.service.s, ==, "c");
        g_assert_cmpfloat(seen.limit.per_s, ==, 12.5);
        g_assert_nonnull(strstr(seen.last.why, "Services[3].ColdPerS"));
    }
    decode_value("op/config",
                 "{\"Version\":3,\"Routes\":[],\"Services\":"
                 "[{\"Name\":\"a\",\"ColdPerS\":4}]}",
                 &seen);
    g_assert_cmpuint(seen.limits, ==, 1);
    g_assert_cmpstr(seen.last.why, ==, "");
}

/* Of several configurations in one response only the newest valid one is
 * used. */
static void
test_newest_valid_config(void)
{
    static const char *const texts[] = {
        "{\"Version\":3,\"Routes\":[]}",
        "{\"Version\":4,\"Routes\":[]}",
        "{\"Version\":5,\"Routes\":[]}",
    };
    struct seen seen;
    struct rg_kv_response response;

    for (int broken = 0; broken < 2; broken++) {
        g_autoptr(GString) body = g_string_new("{\"events\":[");
        for (int i = 0; i < 3; i++) {
            const char *text = broken && i == 2 ? "{" : texts[i];
            g_autofree char *value =
                g_base64_encode((const guchar *)text, strlen(text));
            g_string_append_printf(body,
                                   "%s{\"Key\":\"op/config\",\"Value\":"
                                   "\"%s\",\"Revision\":%d}",
                                   i ? "," : "", value, 5 + i);
        }
        g_string_append(body, ",{\"Key\":\"x\",\"Value\":\"\",\"Revision"
                              "\":9}],\"StoreRevision\":9}");
        g_assert_true(decode(body->str, &seen, &response));
        g_assert_cmpint(seen.counts[RG_KV_ROUTES], ==, 1);
        g_assert_cmpint(seen.counts[RG_KV_INVALID_ROUTES], ==, broken);
        g_assert_cmpuint(seen.version, ==, broken ? 4 : 5);
        g_assert_cmpuint(response.changes, ==, 4);
        g_assert_cmpstr(response.last_key, ==, "x");
    }
}

/* The era of a response is part of its revisions, and not of the path of a
 * watch, which the store understands only in its own numbers. */
static void
test_eras(void)
{
    struct rg_store_sync_step watch = {.kind = RG_STORE_SYNC_WATCH,
                                       .revision = rg_revision_make(3, 42),
                                       .wait_ms = 7};
    struct rg_kv_response response;
    struct seen seen = {0};
    char path[RG_KV_PATH_MAX];
    uint32_t era;

    rg_kv_path(path, &watch);
    g_assert_cmpstr(path, ==, "/v1/kv-watch?Prefix=&after=42&WaitMs=7");
    g_assert_true(rg_kv_decode(
        rg_str_of("{\"events\":[{\"Key\":\"servers/i-1\",\"Revision\":5,"
                  "\"Deleted\":true}],\"StoreRevision\":6}"),
        3, on_change, &seen, &response));
    g_assert_cmpuint(response.revision, ==, rg_revision_make(3, 6));
    g_assert_cmpuint(seen.last.revision, ==, rg_revision_make(3, 5));
    g_assert_cmpuint(rg_revision_make(3, 5), >, rg_revision_make(2, 999));
    /* Too large to be told from an era. */
    g_assert_false(decode("{\"events\":[],\"StoreRevision\":17592186044416}",
                          &seen, &response));
    g_assert_true(rg_kv_decode_era(NULL, &era));
    g_assert_cmpuint(era, ==, 0);
    g_assert_true(rg_kv_decode_era("1048575", &era));
    g_assert_cmpuint(era, ==, RG_REVISION_ERA_MAX);
    static const char *const invalid[] = {
        "", "-1", "1048576", "1,1", "one", "99999999999999999999999", "1.5"};
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_assert_false(rg_kv_decode_era(invalid[i], &era));
    }
    decode_value("servers/i-1", valid_entry, &seen);
    g_assert_cmpuint(seen.last.info.heartbeats, ==, 4);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/kv/paths", test_paths);
    g_test_add_func("/kv/valid-upstream", test_valid_upstream);
    g_test_add_func("/kv/invalid-upstreams", test_invalid_upstreams);
    g_test_add_func("/kv/odd-fields", test_odd_fields);
    g_test_add_func("/kv/deeply-nested-entry", test_deeply_nested_entry);
    g_test_add_func("/kv/removed-upstream", test_removed_upstream);
    g_test_add_func("/kv/instance-registration", test_instance_registration);
    g_test_add_func("/kv/routes", test_routes);
    g_test_add_func("/kv/invalid-routes", test_invalid_routes);
    g_test_add_func("/kv/invalid-responses", test_invalid_responses);
    g_test_add_func("/kv/mixed-rows", test_mixed_rows);
    g_test_add_func("/kv/corrupted-response", test_corrupted_response);
    g_test_add_func("/kv/invalid-keys", test_invalid_keys);
    g_test_add_func("/kv/cold-limits", test_cold_limits);
    g_test_add_func("/kv/evacuations", test_evacuations);
    g_test_add_func("/kv/page-past-evacuations", test_page_past_evacuations);
    g_test_add_func("/kv/newest-valid-config", test_newest_valid_config);
    g_test_add_func("/kv/eras", test_eras);
    return g_test_run();
}
