/* Checks a configuration of the platform before it is sent, alone and against
 * the version in force. */
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance/config_check.h"
#include "common/mem.h"
#include "ctl/ctl.h"
#include "platform/config_place.h"
#include "platform/entries.h"
#include "platform/kv.h"

#define STORE_TIMEOUT_MS 3000
#define URL_MAX 1024
#define TOKEN_MAX 1024

static const char *const kinds[RG_CHECK_FINDING_KINDS] = {
    [RG_CHECK_ERROR] = "error",
    [RG_CHECK_UNREACHABLE] = "unreachable",
    [RG_CHECK_CONTRADICTION] = "contradiction",
    [RG_CHECK_DIFFERENCE] = "difference",
};

static void
add_error(void *ctx, const struct rg_check_place *place, const char *expected,
          const char *found)
{
    struct rg_check_findings *findings = ctx;

    rg_check_findings_add(findings, RG_CHECK_ERROR, *place,
                          "expected %s, found %.120s", expected, found);
}

/* Decodes a configuration; errors become findings. */
static bool
decode(const char *text, size_t len, struct rg_check_version *out,
       struct rg_check_findings *findings)
{
    struct rg_check_place document = {.field = RG_CHECK_DOCUMENT};
    struct json_object *doc;

    memset(out, 0, sizeof(*out));
    if (!rg_kv_parse(text, len, &doc)) {
        rg_check_findings_add(findings, RG_CHECK_ERROR, document,
                              "expected JSON text");
        return false;
    }
    bool ok = rg_entry_decode_config(out, doc, add_error, findings);
    json_object_put(doc);
    return ok;
}

/* --- version in force ---------------------------------------------------- */

static void
read_token(const char *path, char out[TOKEN_MAX])
{
    FILE *in = path ? fopen(path, "r") : NULL;

    out[0] = '\0';
    if (in) {
        if (fgets(out, TOKEN_MAX, in)) {
            out[strcspn(out, "\r\n")] = '\0';
        }
        fclose(in);
    }
}

/* Reads the value from the store. Returns NULL if there is none; `ok` tells
 * whether the store has said so. */
static char *
read_store(const struct ctl *c, size_t *len, bool *ok)
{
    struct rg_http_result r;
    char token[TOKEN_MAX];
    char url[URL_MAX];
    char *value = NULL;

    read_token(c->token_file, token);
    struct rg_http_opts opts = {
        .timeout_ms = STORE_TIMEOUT_MS, .ca_file = c->ca_file, .token = token};
    struct rg_http *http = rg_http_create(&opts);
    snprintf(url, sizeof(url), "%s%s", c->store_url, rg_kv_config_path());
    rg_http_call(http, "GET", url, (struct rg_str){0}, 0, &r);
    if (r.status == 200) {
        value =
            rg_kv_decode_value((struct rg_str){r.body, strlen(r.body)}, len);
    }
    *ok = value != NULL || r.status == 404;
    if (!*ok) {
        fprintf(stderr,
                "%s: expected the configuration in force, found %s "
                "(status %ld)\n",
                url, r.status == 0 ? r.error : "another response", r.status);
    }
    rg_http_result_clear(&r);
    rg_http_destroy(http);
    return value;
}

/* Reads the configuration in force from a file or the store. Without one
 * `found` is false. Returns false after an error, which is printed. */
static bool
read_in_force(const struct ctl *c, struct rg_check_version *out, bool *found)
{
    RG_ERR_AUTO err = {0};
    struct rg_check_findings errors = {0};
    const char *from = c->in_force ? c->in_force : c->store_url;
    size_t len = 0;
    bool ok = true;

    *found = false;
    if (!from) {
        return true;
    }
    RG_AUTO_FREE char *text = c->in_force
                                  ? ctl_read_input(c->in_force, &len, &err)
                                  : read_store(c, &len, &ok);
    if (rg_err_has(&err)) {
        ctl_print_errors(&err);
        return false;
    }
    if (!text) {
        return ok;
    }
    *found = decode(text, len, out, &errors);
    if (!*found) {
        fprintf(stderr, "%s: expected a configuration, found: %s\n", from,
                errors.items[0].text);
    }
    rg_check_findings_clear(&errors);
    return *found;
}

/* --- output -------------------------------------------------------------- */

static void
print_text(const struct rg_check_findings *findings)
{
    char place[RG_CHECK_PLACE_MAX];
    char other[RG_CHECK_PLACE_MAX];

    for (size_t i = 0; i < findings->count; i++) {
        const struct rg_check_finding *f = &findings->items[i];
        printf("%s: %s: %s", rg_check_place_text(&f->place, place),
               kinds[f->kind], f->text);
        if (f->has_other) {
            printf(" (%s)", rg_check_place_text(&f->other, other));
        }
        printf("\n");
    }
}

static struct json_object *
finding_to_json(const struct rg_check_finding *f)
{
    struct json_object *o = json_object_new_object();
    char place[RG_CHECK_PLACE_MAX];

    json_object_object_add(o, "kind", json_object_new_string(kinds[f->kind]));
    json_object_object_add(
        o, "place",
        json_object_new_string(rg_check_place_text(&f->place, place)));
    if (f->has_other) {
        json_object_object_add(
            o, "other",
            json_object_new_string(rg_check_place_text(&f->other, place)));
    }
    json_object_object_add(o, "text", json_object_new_string(f->text));
    return o;
}

static void
print_json(const struct rg_check_version *version,
           const struct rg_check_version *in_force,
           const struct rg_check_findings *findings)
{
    struct json_object *o = json_object_new_object();
    struct json_object *rows = json_object_new_array();

    json_object_object_add(o, "version",
                           json_object_new_uint64(version->version));
    if (in_force) {
        json_object_object_add(o, "in_force",
                               json_object_new_uint64(in_force->version));
    }
    for (size_t i = 0; i < findings->count; i++) {
        json_object_array_add(rows, finding_to_json(&findings->items[i]));
    }
    json_object_object_add(o, "findings", rows);
    printf("%s\n",
           json_object_to_json_string_ext(
               o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(o);
}

static enum ctl_exit
exit_code(const struct ctl *c, const struct rg_check_findings *findings)
{
    size_t count = findings->count;

    if (c->allow_differences) {
        count -= rg_check_findings_count(findings, RG_CHECK_DIFFERENCE);
    }
    return (enum ctl_exit)(count ? CTL_FINDINGS : CTL_OK);
}

enum ctl_exit
ctl_check_config(struct ctl *c)
{
    RG_ERR_AUTO err = {0};
    struct rg_check_findings findings = {0};
    struct rg_check_version version = {0};
    struct rg_check_version in_force = {0};
    bool compares;
    size_t len;

    if (c->arg_count != 1) {
        fprintf(stderr, "usage: rattangapctl check-config FILE\n");
        return (enum ctl_exit)CTL_NOT_RUN;
    }
    RG_AUTO_FREE char *text = ctl_read_input(c->args[0], &len, &err);
    if (!text) {
        ctl_print_errors(&err);
        return (enum ctl_exit)CTL_NOT_RUN;
    }
    if (!read_in_force(c, &in_force, &compares)) {
        rg_check_version_clear(&in_force);
        return (enum ctl_exit)CTL_NOT_RUN;
    }
    decode(text, len, &version, &findings);
    rg_check_run(&version, compares ? &in_force : NULL, &findings);
    if (c->json) {
        print_json(&version, compares ? &in_force : NULL, &findings);
    }
    else {
        print_text(&findings);
    }
    enum ctl_exit code = exit_code(c, &findings);
    rg_check_version_clear(&version);
    rg_check_version_clear(&in_force);
    rg_check_findings_clear(&findings);
    return code;
}
