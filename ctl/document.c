/* Commands that check, show and edit the configuration document. */
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/mem.h"
#include "ctl/ctl.h"

#define EDIT_MAX_ATTEMPTS 12
#define EDIT_BACKOFF_MS 50
/* `show` starts a section with a line of this prefix and the text's hash, from
 * which `edit` takes the base of the edit. */
#define BASE_LINE_PREFIX "// base "

static void
seed_rand(struct rg_rand *r)
{
    struct timespec ts;

    clock_gettime(CLOCK_REALTIME, &ts);
    r->state = (uint64_t)ts.tv_sec * 1000000000ULL + (uint64_t)ts.tv_nsec;
    r->state ^= (uint64_t)getpid() << 40;
}

/* Prints the usage and returns true if the number of arguments is wrong. */
static bool
wrong_arg_count(const struct ctl *c, size_t expected, const char *usage)
{
    if (c->arg_count == expected) {
        return false;
    }
    fprintf(stderr, "usage: %s\n", usage);
    return true;
}

static bool
read_document(struct ctl *c, bool with_texts, struct rg_document *d)
{
    RG_ERR_AUTO err = {0};

    if (rg_document_read(c->store, with_texts, d, &err) == RG_STORE_OK) {
        return true;
    }
    ctl_print_errors(&err);
    rg_document_clear(d);
    return false;
}

enum ctl_exit
ctl_check(struct ctl *c)
{
    RG_ERR_AUTO err = {0};
    RG_AUTO_FREE struct rg_section_text *sections =
        rg_calloc(c->arg_count, sizeof(*sections));

    for (size_t i = 0; i < c->arg_count; i++) {
        sections[i].name = rg_str_of(c->args[i]);
        sections[i].text.ptr =
            ctl_read_input(c->args[i], &sections[i].text.len, &err);
    }
    struct rg_config *config =
        rg_config_build(1, sections, c->arg_count, &err);
    if (config) {
        printf("valid: %zu services, %zu upstreams\n", config->service_count,
               config->upstream_count);
    }
    else {
        ctl_print_errors(&err);
    }
    for (size_t i = 0; i < c->arg_count; i++) {
        free((char *)sections[i].text.ptr);
    }
    enum ctl_exit code = config ? CTL_OK : CTL_INVALID;
    rg_config_destroy(config);
    return code;
}

static void
list_sections(const struct ctl *c, const struct rg_document *d)
{
    if (c->json) {
        puts(d->head_text ? d->head_text : "{}");
        return;
    }
    printf("generation %llu\n", (unsigned long long)d->head.generation);
    for (size_t i = 0; i < d->head.sections_count; i++) {
        const struct rg_head_section *s = &d->head.sections[i];
        printf("%-24s owner %-20s %s\n", s->name.s, s->owner.s, s->hash.s);
    }
}

enum ctl_exit
ctl_show(struct ctl *c)
{
    struct rg_document d;
    struct rg_name name;
    enum ctl_exit code = CTL_OK;

    if (!read_document(c, c->arg_count > 0, &d)) {
        return CTL_FAILED;
    }
    if (c->arg_count == 0) {
        list_sections(c, &d);
    }
    else {
        rg_name_set(&name, rg_str_of(c->args[0]));
        int pos = rg_document_find(&d, &name);
        if (pos < 0) {
            fprintf(stderr, "section '%s' does not exist\n", c->args[0]);
            code = CTL_INVALID;
        }
        else {
            printf(BASE_LINE_PREFIX "%s\n%s", d.head.sections[pos].hash.s,
                   d.texts[pos]);
        }
    }
    rg_document_clear(&d);
    return code;
}

/* Removes the base line, if there is one, and stores its hash in `base`. */
static struct rg_str
strip_base_line(struct rg_str text, struct rg_name *base)
{
    size_t prefix = strlen(BASE_LINE_PREFIX);

    memset(base, 0, sizeof(*base));
    if (text.len < prefix || memcmp(text.ptr, BASE_LINE_PREFIX, prefix) != 0) {
        return text;
    }
    const char *end = memchr(text.ptr, '\n', text.len);
    if (!end) {
        return text;
    }
    rg_name_set(base, (struct rg_str){text.ptr + prefix,
                                      (size_t)(end - text.ptr) - prefix});
    size_t skip = (size_t)(end - text.ptr) + 1;
    return (struct rg_str){text.ptr + skip, text.len - skip};
}

static size_t
line_length(const char *s)
{
    return strcspn(s, "\n");
}

static void
print_line(char sign, const char *line)
{
    printf("%c %.*s\n", sign, (int)line_length(line), line);
}

static const char *
next_line(const char *s)
{
    s += line_length(s);
    return *s ? s + 1 : s;
}

static bool
same_line(const char *a, const char *b)
{
    size_t len = line_length(a);

    return len == line_length(b) && memcmp(a, b, len) == 0;
}

/* Number of lines of `text` before the first one equal to `line`, or -1. */
static int
lines_until(const char *text, const char *line)
{
    int n = 0;

    for (; *text; text = next_line(text), n++) {
        if (same_line(text, line)) {
            return n;
        }
    }
    return -1;
}

/* Prints a line diff from `old_text` (-) to `new_text` (+). Where the lines
 * differ, it looks for each side's line in the rest of the other side, and
 * prints the lines before the nearer match as removed or added. The diff need
 * not be minimal. Returns whether the texts differ. */
static bool
print_difference(const char *new_text, const char *old_text)
{
    bool any = false;

    while (*new_text || *old_text) {
        if (*new_text && *old_text && same_line(new_text, old_text)) {
            new_text = next_line(new_text);
            old_text = next_line(old_text);
            continue;
        }
        any = true;
        int added = *old_text ? lines_until(new_text, old_text) : 0;
        int removed = *new_text ? lines_until(old_text, new_text) : 0;
        if (*old_text &&
            (!*new_text || added < 0 || (removed >= 0 && removed <= added)))
        {
            print_line('-', old_text);
            old_text = next_line(old_text);
        }
        else {
            print_line('+', new_text);
            new_text = next_line(new_text);
        }
    }
    return any;
}

enum ctl_exit
ctl_diff(struct ctl *c)
{
    RG_ERR_AUTO err = {0};
    struct rg_document d;
    struct rg_name name;
    struct rg_name base;
    size_t len;

    if (wrong_arg_count(c, 2, "diff SECTION FILE")) {
        return CTL_USAGE;
    }
    RG_AUTO_FREE char *text = ctl_read_input(c->args[1], &len, &err);
    if (!text) {
        ctl_print_errors(&err);
        return CTL_INVALID;
    }
    if (!read_document(c, true, &d)) {
        return CTL_FAILED;
    }
    rg_name_set(&name, rg_str_of(c->args[0]));
    int pos = rg_document_find(&d, &name);
    struct rg_str new_text =
        strip_base_line((struct rg_str){text, len}, &base);
    if (!print_difference(new_text.ptr, pos < 0 ? "" : d.texts[pos])) {
        puts("no differences");
    }
    rg_document_clear(&d);
    return CTL_OK;
}

/* Prints the result of an edit and, with --wait, waits until it is active. */
static enum ctl_exit
finish_edit(struct ctl *c, const struct rg_edit_opts *opts,
            const struct rg_edit_result *r, const struct rg_err *err)
{
    switch (r->status) {
    case RG_EDIT_ACCEPTED:
        printf("accepted: generation %llu, edit %s\n",
               (unsigned long long)r->generation, opts->edit_id.s);
        return c->wait ? ctl_wait_active(c, r->generation) : CTL_OK;
    case RG_EDIT_UNCHANGED:
        printf("unchanged: generation %llu already has this text\n",
               (unsigned long long)r->generation);
        return c->wait ? ctl_wait_active(c, r->generation) : CTL_OK;
    case RG_EDIT_INVALID:
        ctl_print_errors(err);
        return CTL_INVALID;
    case RG_EDIT_CONFLICT:
        fprintf(
            stderr,
            "conflict: section %s was changed by another edit; differences "
            "from its current text (-) to yours (+):\n",
            opts->section.s);
        print_difference(opts->text.ptr, r->current_text);
        return CTL_CONFLICT;
    case RG_EDIT_NOT_APPLIED:
        fprintf(stderr, "not applied: the store did not respond, or other "
                        "edits came first; the edit may be retried\n");
        return CTL_FAILED;
    case RG_EDIT_UNKNOWN:
        fprintf(stderr,
                "unknown: the store did not confirm edit %s; check whether it "
                "took effect with: verdict %s\n",
                opts->edit_id.s, opts->edit_id.s);
        return CTL_UNKNOWN;
    }
    return CTL_FAILED;
}

/* Fills in the options common to all edits. Returns false and adds errors if a
 * command-line option is missing or invalid. */
static bool
fill_edit(struct ctl *c, const char *section, struct rg_edit_opts *opts,
          struct rg_rand *rand, struct rg_err *err)
{
    char id[40];

    seed_rand(rand);
    snprintf(id, sizeof(id), "%016llx",
             (unsigned long long)rg_rand_next(rand));
    if (!rg_name_set(&opts->section, rg_str_of(section))) {
        rg_err_add(err, "SECTION", "a valid name", "'%s'", section);
    }
    if (!c->team || !rg_name_set(&opts->owner, rg_str_of(c->team))) {
        rg_err_add(err, "--team", "the name of your team", "%s",
                   c->team ? c->team : "nothing");
    }
    if (!rg_name_set(&opts->edit_id, rg_str_of(c->edit_id ? c->edit_id : id)))
    {
        rg_err_add(err, "--edit-id", "a valid name", "'%s'", c->edit_id);
    }
    if (c->base && !rg_name_set(&opts->base, rg_str_of(c->base))) {
        rg_err_add(err, "--base", "a hash", "'%s'", c->base);
    }
    opts->check_base = true;
    opts->time_s = (uint64_t)time(NULL);
    opts->max_attempts = EDIT_MAX_ATTEMPTS;
    opts->backoff_ms = EDIT_BACKOFF_MS;
    opts->rand = rand;
    return !rg_err_has(err);
}

/* If no base is given, the edit is based on the section's current text. */
static bool
find_base(struct ctl *c, struct rg_edit_opts *opts)
{
    struct rg_document d;

    if (opts->base.len > 0) {
        return true;
    }
    if (!read_document(c, false, &d)) {
        return false;
    }
    int pos = rg_document_find(&d, &opts->section);
    if (pos >= 0) {
        opts->base = d.head.sections[pos].hash;
    }
    rg_document_clear(&d);
    return true;
}

static enum ctl_exit
run_edit(struct ctl *c, const struct rg_edit_opts *opts)
{
    RG_ERR_AUTO err = {0};
    struct rg_edit_result result;

    rg_edit_run(c->store, opts, &result, &err);
    enum ctl_exit code = finish_edit(c, opts, &result, &err);
    rg_edit_result_clear(&result);
    return code;
}

enum ctl_exit
ctl_edit(struct ctl *c)
{
    RG_ERR_AUTO err = {0};
    struct rg_edit_opts opts = {0};
    struct rg_rand rand;
    struct rg_name base;
    size_t len = 0;

    if (wrong_arg_count(c, 2, "edit SECTION FILE")) {
        return CTL_USAGE;
    }
    RG_AUTO_FREE char *text = ctl_read_input(c->args[1], &len, &err);
    if (!fill_edit(c, c->args[0], &opts, &rand, &err) || !text) {
        ctl_print_errors(&err);
        return CTL_INVALID;
    }
    opts.text = strip_base_line((struct rg_str){text, len}, &base);
    if (opts.base.len == 0) {
        opts.base = base;
    }
    if (!find_base(c, &opts)) {
        return CTL_FAILED;
    }
    return run_edit(c, &opts);
}

/* Finds an upstream by name in a parsed section; NULL if there is none. */
static struct json_object *
find_upstream(struct json_object *section, const char *name)
{
    struct json_object *list;
    struct json_object *value;

    if (!json_object_object_get_ex(section, "upstreams", &list)) {
        return NULL;
    }
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct json_object *o = json_object_array_get_idx(list, i);
        if (json_object_object_get_ex(o, "name", &value) &&
            strcmp(json_object_get_string(value), name) == 0)
        {
            return o;
        }
    }
    return NULL;
}

/* Returns the section's text with the upstream's state set to draining, or
 * NULL if there is no such upstream. Comments in the text are lost, because
 * the JSON library does not keep them. */
static char *
draining_text(const char *text, const char *upstream)
{
    struct json_object *section = json_tokener_parse(text);
    struct json_object *o = section ? find_upstream(section, upstream) : NULL;
    char *out = NULL;

    if (o) {
        json_object_object_add(o, "state", json_object_new_string("draining"));
        out = rg_strdup(json_object_to_json_string_ext(
            section, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED |
                         JSON_C_TO_STRING_NOSLASHESCAPE));
    }
    json_object_put(section);
    return out;
}

enum ctl_exit
ctl_drain(struct ctl *c)
{
    RG_ERR_AUTO err = {0};
    struct rg_edit_opts opts = {0};
    struct rg_rand rand;
    struct rg_document d;
    RG_AUTO_FREE char *text = NULL;

    if (wrong_arg_count(c, 2, "drain SECTION UPSTREAM")) {
        return CTL_USAGE;
    }
    if (!fill_edit(c, c->args[0], &opts, &rand, &err)) {
        ctl_print_errors(&err);
        return CTL_INVALID;
    }
    if (!read_document(c, true, &d)) {
        return CTL_FAILED;
    }
    int pos = rg_document_find(&d, &opts.section);
    if (pos >= 0) {
        opts.base = d.head.sections[pos].hash;
        text = draining_text(d.texts[pos], c->args[1]);
    }
    rg_document_clear(&d);
    if (!text) {
        fprintf(stderr, "no upstream '%s' in section '%s'\n", c->args[1],
                c->args[0]);
        return CTL_INVALID;
    }
    opts.text = rg_str_of(text);
    return run_edit(c, &opts);
}

enum ctl_exit
ctl_history(struct ctl *c)
{
    struct rg_document d;

    if (!read_document(c, false, &d)) {
        return CTL_FAILED;
    }
    for (size_t i = 0; i < d.head.edits_count; i++) {
        const struct rg_head_edit *e = &d.head.edits[i];
        printf("generation %-6llu section %-20s by %-16s at %llu edit %s\n",
               (unsigned long long)e->generation, e->section.s, e->owner.s,
               (unsigned long long)e->time_s, e->edit.s);
    }
    rg_document_clear(&d);
    return CTL_OK;
}

enum ctl_exit
ctl_edit_status(struct ctl *c)
{
    struct rg_name edit;
    uint64_t generation;

    if (wrong_arg_count(c, 1, "verdict EDIT")) {
        return CTL_USAGE;
    }
    rg_name_set(&edit, rg_str_of(c->args[0]));
    if (rg_edit_find(c->store, &edit, &generation) == RG_EDIT_ACCEPTED) {
        printf("accepted: generation %llu\n", (unsigned long long)generation);
        return CTL_OK;
    }
    fputs("the edit is not in the head's history of latest edits, or the "
          "store does not respond\n",
          stderr);
    return CTL_UNKNOWN;
}
