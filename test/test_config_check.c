/* The check of a configuration before it is sent. Guards against a mistake
 * that only shows once the configuration is in force: a route that is left
 * out, shadowed or without a service, limits that contradict each other, and
 * changes that were not meant; and against findings in a sound one. */
#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "balance/config_check.h"
#include "platform/config_place.h"
#include "platform/entries.h"
#include "platform/kv.h"

#define EXIT_FINDINGS 1
#define EXIT_NOT_RUN 2

static const char sound[] =
    "{\"Version\":7,\"Routes\":["
    "{\"Name\":\"web\",\"Host\":\"10.0.0.1\",\"Prefix\":\"/8443/\","
    "\"RouteType\":\"safe\",\"TimeoutMs\":2500,\"TargetLatencyMs\":500,"
    "\"Priority\":2,\"Service\":\"shop\"},"
    "{\"Name\":\"files\",\"Host\":\"10.0.0.1\",\"Prefix\":\"/8444/\","
    "\"RouteType\":\"download\",\"TimeoutMs\":8000,\"Split\":["
    "{\"Service\":\"shop\",\"Weight\":0},{\"Service\":\"files\","
    "\"Weight\":3}]}],"
    "\"Services\":[{\"Name\":\"shop\",\"HealthPath\":\"/up\","
    "\"ColdStartS\":30},{\"Name\":\"files\",\"ColdPerS\":2.5}],"
    "\"Limits\":{\"IdleTimeoutMs\":60000}}";

/* A sound configuration with one part replaced. */
struct edit {
    const char *part;
    const char *by;
    const char *finding; /* "place kind", NULL: none */
};

static void
add_error(void *ctx, const struct rg_check_place *place, const char *expected,
          const char *found)
{
    rg_check_findings_add(ctx, RG_CHECK_ERROR, *place, "%s, %s", expected,
                          found);
}

static bool
decode(const char *text, struct rg_check_version *out,
       struct rg_check_findings *findings)
{
    struct json_object *doc;

    g_assert_true(rg_kv_parse(text, strlen(text), &doc));
    bool ok = rg_entry_decode_config(out, doc, add_error, findings);

    json_object_put(doc);
    return ok;
}

static char *
edited(const struct edit *e)
{
    g_auto(GStrv) parts = g_strsplit(sound, e->part, 2);

    g_assert_nonnull(parts[1]);
    return g_strconcat(parts[0], e->by, parts[1], NULL);
}

/* The findings as "place kind", one a line. */
static char *
check(const char *text, const char *in_force)
{
    static const char *const kinds[] = {"error", "unreachable",
                                        "contradiction", "difference"};
    struct rg_check_version c;
    struct rg_check_version before = {0};
    struct rg_check_findings findings = {0};
    GString *out = g_string_new(NULL);
    char place[RG_CHECK_PLACE_MAX];

    if (in_force) {
        g_assert_true(decode(in_force, &before, &findings));
        rg_check_findings_clear(&findings);
    }
    decode(text, &c, &findings);
    rg_check_run(&c, in_force ? &before : NULL, &findings);
    for (size_t i = 0; i < findings.count; i++) {
        const struct rg_check_finding *f = &findings.items[i];
        g_string_append_printf(out, "%s%s %s", i ? "\n" : "",
                               rg_check_place_text(&f->place, place),
                               kinds[f->kind]);
    }
    rg_check_version_clear(&c);
    rg_check_version_clear(&before);
    rg_check_findings_clear(&findings);
    return g_string_free(out, FALSE);
}

static void
assert_findings(const struct edit *edits, size_t count, const char *in_force)
{
    for (size_t i = 0; i < count; i++) {
        g_autofree char *text = edited(&edits[i]);
        g_autofree char *findings = check(text, in_force);
        g_assert_cmpstr(findings, ==,
                        edits[i].finding ? edits[i].finding : "");
    }
}

/* Values that instances leave out or ignore. */
static void
test_errors(void)
{
    static const struct edit edits[] = {
        {"\"Version\":7", "\"Version\":7", NULL},
        {"\"Version\":7", "\"Version\":0", "Version error"},
        {"\"Version\":7", "\"Version\":\"7\"", "Version error"},
        {"\"Host\":\"10.0.0.1\"", "\"Host\":\"web.example\"",
         "Routes[0].Host error"},
        {"/8443/", "/0/", "Routes[0].Prefix error"},
        {"/8443/", "/70000/", "Routes[0].Prefix error"},
        {"/8443/", "/8443", "Routes[0].Prefix error"},
        {"/8443/", "/8443x/", "Routes[0].Prefix error"},
        {"/8443/", "8443/", "Routes[0].Prefix error"},
        {"\"safe\"", "\"Safe\"", "Routes[0].RouteType error"},
        {"\"TimeoutMs\":2500", "\"TimeoutMs\":-1",
         "Routes[0].TimeoutMs error"},
        {"\"TimeoutMs\":2500", "\"TimeoutMS\":1", "Routes[0].TimeoutMs error"},
        {"\"Priority\":2", "\"Priority\":1.5", "Routes[0].Priority error"},
        {"\"Weight\":3", "\"Weight\":\"3\"",
         "Routes[1].Split[1].Weight error\nServices[1].Name unreachable"},
        {"\"Service\":\"shop\"}", "\"Service\":\"shops\"}",
         "Routes[0].Service error"},
        {"\"Service\":\"shop\",\"Weight\":0", "\"Service\":\"s\",\"Weight\":0",
         "Routes[1].Split[0].Service error"},
        {"\"ColdStartS\":30", "\"ColdStartS\":-3",
         "Services[0].ColdStartS error"},
        {"\"ColdPerS\":2.5", "\"ColdPerS\":-1", "Services[1].ColdPerS error"},
        {"\"ColdPerS\":2.5", "\"ColdPerS\":\"a\"",
         "Services[1].ColdPerS error"},
        {"\"IdleTimeoutMs\":60000", "\"IdleTimeoutMs\":\"1\"",
         "Limits.IdleTimeoutMs error"},
        {"\"Limits\":{\"IdleTimeoutMs\":60000}", "\"Limits\":5",
         "Limits error"},
    };

    assert_findings(edits, G_N_ELEMENTS(edits), NULL);
    g_autofree char *none = check("{\"Routes\":3}", NULL);
    g_assert_cmpstr(none, ==, "Version error\nRoutes error");
    g_autofree char *array = check("[]", NULL);
    g_assert_cmpstr(array, ==, "document error");
}

/* Entries that can never match. */
static void
test_unreachable(void)
{
    static const struct edit edits[] = {
        {"/8444/", "/8443/", "Routes[1].Prefix unreachable"},
        {"\"Weight\":3", "\"Weight\":0", "Routes[1].Split unreachable"},
        {"{\"Name\":\"files\",\"ColdPerS\":2.5}",
         "{\"Name\":\"files\"},{\"Name\":\"old\"}",
         "Services[2].Name unreachable"},
        {"{\"Name\":\"files\",\"ColdPerS\":2.5}",
         "{\"Name\":\"files\"},{\"Name\":\"shop\"}",
         "Services[2].Name unreachable"},
    };

    assert_findings(edits, G_N_ELEMENTS(edits), NULL);
}

static void
test_contradictions(void)
{
    static const struct edit edits[] = {
        {"\"TargetLatencyMs\":500", "\"TargetLatencyMs\":2501",
         "Routes[0].TargetLatencyMs contradiction"},
        {"\"TargetLatencyMs\":500", "\"TargetLatencyMs\":2500", NULL},
        {"\"TimeoutMs\":2500", "\"TimeoutMs\":0", NULL},
        {"\"Name\":\"files\",\"Host\"", "\"Name\":\"web\",\"Host\"",
         "Routes[1].Name contradiction"},
        {"\"IdleTimeoutMs\":60000", "\"IdleTimeoutMs\":0",
         "Limits.IdleTimeoutMs contradiction"},
        {"\"IdleTimeoutMs\":60000", "\"IdleTimeoutMs\":7999",
         "Limits.IdleTimeoutMs contradiction"},
    };

    assert_findings(edits, G_N_ELEMENTS(edits), NULL);
}

/* What changes by an edit of the version in force. */
static void
test_differences(void)
{
    static const struct edit edits[] = {
        {"\"Version\":7", "\"Version\":6", "Version contradiction"},
        {"\"Version\":7", "\"Version\":7", "Version contradiction"},
        {"\"Version\":7", "\"Version\":8", NULL},
    };
    static const struct edit changes[] = {
        {"10.0.0.1\",\"Prefix\":\"/8443", "10.0.0.1\",\"Prefix\":\"/8445",
         "Routes[0].Prefix difference"},
        {"\"Name\":\"web\"", "\"Name\":\"shop\"", "Routes[0].Name difference"},
        {"\"Name\":\"web\",\"Host\":\"10.0.0.1\"",
         "\"Name\":\"shop\",\"Host\":\"10.0.0.2\"",
         "Routes[0] difference\nRoutes difference"},
        {"\"safe\"", "\"unsafe\"", "Routes[0].RouteType difference"},
        {"\"Service\":\"shop\"}", "\"Service\":\"files\"}",
         "Routes[0].Service difference"},
        {"\"Weight\":3", "\"Weight\":4", "Routes[1].Split difference"},
        {"\"TimeoutMs\":2500", "\"TimeoutMs\":2600",
         "Routes[0].TimeoutMs difference"},
        {"\"TargetLatencyMs\":500", "\"TargetLatencyMs\":600",
         "Routes[0].TargetLatencyMs difference"},
        {"\"Priority\":2", "\"Priority\":1", "Routes[0].Priority difference"},
        {"\"ColdStartS\":30", "\"ColdStartS\":31",
         "Services[0].ColdStartS difference"},
        {"\"ColdPerS\":2.5", "\"ColdPerS\":2",
         "Services[1].ColdPerS difference"},
        {"\"IdleTimeoutMs\":60000", "\"IdleTimeoutMs\":50000",
         "Limits.IdleTimeoutMs difference"},
    };

    assert_findings(edits, G_N_ELEMENTS(edits), sound);
    for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
        g_autofree char *text = edited(&changes[i]);
        char *version = strstr(text, "\"Version\":7");
        version[strlen("\"Version\":")] = '8';
        g_autofree char *findings = check(text, sound);
        g_assert_cmpstr(findings, ==, changes[i].finding);
    }
}

/* The value of a key as the store answers; anything else is no value. */
static void
test_value_of_store(void)
{
    static const char *const invalid[] = {
        "", "[]", "{}", "{\"item\":{\"Value\":5}}", "{\"Value\":\"%\"}"};
    size_t len;
    g_autofree char *value = rg_kv_decode_value(
        rg_str_of("{\"item\":{\"Key\":\"op/config\",\"Value\":\"e30=\","
                  "\"Revision\":4}}"),
        &len);

    g_assert_cmpstr(value, ==, "{}");
    g_assert_cmpuint(len, ==, 2);
    g_autofree char *plain =
        rg_kv_decode_value(rg_str_of("{\"Value\":\"e30=\"}"), &len);
    g_assert_cmpstr(plain, ==, "{}");
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_assert_null(rg_kv_decode_value(rg_str_of(invalid[i]), &len));
    }
}

/* Exit status of the tool with these arguments after `check-config`. */
static int
run_tool(const char *first, const char *second, const char *third)
{
    const char *dir = g_getenv("RG_BIN_DIR");
    g_autofree char *tool =
        g_build_filename(dir ? dir : "build", "rattangapctl", NULL);
    const char *argv[] = {tool, "check-config", first, second, third, NULL};
    int status;

    g_assert_true(
        g_spawn_sync(NULL, (char **)argv, NULL,
                     G_SPAWN_STDOUT_TO_DEV_NULL | G_SPAWN_STDERR_TO_DEV_NULL,
                     NULL, NULL, NULL, NULL, &status, NULL));
    g_assert_true(WIFEXITED(status));
    return WEXITSTATUS(status);
}

/* Scripts depend on the exit status. */
static void
test_exit_status(void)
{
    g_autofree char *dir = g_dir_make_tmp("rg-check-XXXXXX", NULL);
    g_autofree char *now = g_build_filename(dir, "now.json", NULL);
    g_autofree char *next = g_build_filename(dir, "next.json", NULL);
    g_autofree char *odd = g_build_filename(dir, "odd.json", NULL);
    g_autofree char *in_force = g_strconcat("--in-force=", now, NULL);
    g_autofree char *against_odd = g_strconcat("--in-force=", odd, NULL);
    struct edit edit = {"\"Version\":7", "\"Version\":8", NULL};
    g_autofree char *same = edited(&edit);
    g_auto(GStrv) parts = g_strsplit(same, "2500", 2);
    g_autofree char *changed = g_strconcat(parts[0], "2600", parts[1], NULL);

    g_assert_true(g_file_set_contents(now, sound, -1, NULL));
    g_assert_true(g_file_set_contents(next, changed, -1, NULL));
    g_assert_true(g_file_set_contents(odd, "{", -1, NULL));
    g_assert_cmpint(run_tool(now, NULL, NULL), ==, 0);
    g_assert_cmpint(run_tool(next, "--json", NULL), ==, 0);
    g_assert_cmpint(run_tool(odd, NULL, NULL), ==, EXIT_FINDINGS);
    g_assert_cmpint(run_tool(next, in_force, NULL), ==, EXIT_FINDINGS);
    g_assert_cmpint(run_tool(next, in_force, "--allow-differences"), ==, 0);
    g_assert_cmpint(run_tool(now, in_force, "--allow-differences"), ==,
                    EXIT_FINDINGS);
    g_assert_cmpint(run_tool(next, against_odd, NULL), ==, EXIT_NOT_RUN);
    g_assert_cmpint(run_tool(dir, NULL, NULL), ==, EXIT_NOT_RUN);
    g_assert_cmpint(run_tool("/nonexistent", NULL, NULL), ==, EXIT_NOT_RUN);
    g_assert_cmpint(run_tool(now, next, NULL), ==, EXIT_NOT_RUN);
    remove(now);
    remove(next);
    remove(odd);
    remove(dir);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config-check/errors", test_errors);
    g_test_add_func("/config-check/unreachable", test_unreachable);
    g_test_add_func("/config-check/contradictions", test_contradictions);
    g_test_add_func("/config-check/differences", test_differences);
    g_test_add_func("/config-check/value-of-store", test_value_of_store);
    g_test_add_func("/config-check/exit-status", test_exit_status);
    return g_test_run();
}
