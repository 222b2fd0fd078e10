/* Commands about the configuration document. */
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/mem.h"
#include "ctl/ctl.h"

#define EDIT_TRIES 12
#define EDIT_PAUSE_MS 50
/* First line that `show` puts before a section, read back by `edit`. */
#define BASE_MARK "// base "

static void
seed_rand(struct rg_rand *r)
{
    struct timespec ts;

    clock_gettime(CLOCK_REALTIME, &ts);
    r->state = (uint64_t)ts.tv_sec * 1000000000ULL + (uint64_t)ts.tv_nsec;
    r->state ^= (uint64_t)getpid() << 40;
}

static bool
usage(const struct ctl *c, size_t args, const char *text)
{
    if (c->arg_count == args) {
        return false;
    }
    fprintf(stderr, "usage: %s\n", text);
    return true;
}

static bool
read_document(struct ctl *c, bool with_texts, struct rg_document *d)
{
    RG_ERR_AUTO err = {0};

    if (rg_document_read(c->store, with_texts, d, &err) == RG_STORE_OK) {
        return true;
    }
    ctl_print_findings(&err);
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
        printf("in order: %zu services, %zu upstreams\n",
               config->service_count, config->upstream_count);
    }
    else {
        ctl_print_findings(&err);
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
        int at = rg_document_find(&d, &name);
        if (at < 0) {
            fprintf(stderr, "no section %s\n", c->args[0]);
            code = CTL_INVALID;
        }
        else {
            printf(BASE_MARK "%s\n%s", d.head.sections[at].hash.s,
                   d.texts[at]);
        }
    }
    rg_document_clear(&d);
    return code;
}

/* Skips the base mark; its hash goes into `base`. */
static struct rg_str
strip_mark(struct rg_str text, struct rg_name *base)
{
    size_t mark = strlen(BASE_MARK);

    memset(base, 0, sizeof(*base));
    if (text.len < mark || memcmp(text.ptr, BASE_MARK, mark) != 0) {
        return text;
    }
    const char *end = memchr(text.ptr, '\n', text.len);
    if (!end) {
        return text;
    }
    rg_name_set(base, (struct rg_str){text.ptr + mark,
                                      (size_t)(end - text.ptr) - mark});
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

/* Lines of `text` until one equal to `line`; -1 if there is none. */
static int
distance(const char *text, const char *line)
{
    int n = 0;

    for (; *text; text = next_line(text), n++) {
        if (same_line(text, line)) {
            return n;
        }
    }
    return -1;
}

/* A plain line difference: on a mismatch, whichever side meets the other's
 * line sooner skips to it. Returns whether there was any. */
static bool
print_difference(const char *ours, const char *theirs)
{
    bool any = false;

    while (*ours || *theirs) {
        if (*ours && *theirs && same_line(ours, theirs)) {
            ours = next_line(ours);
            theirs = next_line(theirs);
            continue;
        }
        any = true;
        int added = *theirs ? distance(ours, theirs) : 0;
        int removed = *ours ? distance(theirs, ours) : 0;
        if (*theirs &&
            (!*ours || added < 0 || (removed >= 0 && removed <= added))) {
            print_line('-', theirs);
            theirs = next_line(theirs);
        }
        else {
            print_line('+', ours);
            ours = next_line(ours);
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

    if (usage(c, 2, "diff SECTION FILE")) {
        return CTL_USAGE;
    }
    RG_AUTO_FREE char *text = ctl_read_input(c->args[1], &len, &err);
    if (!text) {
        ctl_print_findings(&err);
        return CTL_INVALID;
    }
    if (!read_document(c, true, &d)) {
        return CTL_FAILED;
    }
    rg_name_set(&name, rg_str_of(c->args[0]));
    int at = rg_document_find(&d, &name);
    struct rg_str ours = strip_mark((struct rg_str){text, len}, &base);
    if (!print_difference(ours.ptr, at < 0 ? "" : d.texts[at])) {
        puts("no difference");
    }
    rg_document_clear(&d);
    return CTL_OK;
}

static enum ctl_exit
report_verdict(struct ctl *c, const struct rg_edit_opts *opts,
               const struct rg_edit_result *r, const struct rg_err *err)
{
    switch (r->verdict) {
    case RG_VERDICT_ACCEPTED:
        printf("accepted: generation %llu, edit %s\n",
               (unsigned long long)r->generation, opts->edit.s);
        return c->wait ? ctl_wait_in_force(c, r->generation) : CTL_OK;
    case RG_VERDICT_UNCHANGED:
        printf("unchanged: generation %llu has this text\n",
               (unsigned long long)r->generation);
        return c->wait ? ctl_wait_in_force(c, r->generation) : CTL_OK;
    case RG_VERDICT_INVALID:
        ctl_print_findings(err);
        return CTL_INVALID;
    case RG_VERDICT_CONFLICT:
        fprintf(stderr,
                "conflict: section %s was changed by somebody else; "
                "theirs (-) against yours (+):\n",
                opts->section.s);
        print_difference(opts->text.ptr, r->theirs);
        return CTL_CONFLICT;
    case RG_VERDICT_REFUSED:
        fprintf(stderr, "not taken: the store does not answer\n");
        return CTL_FAILED;
    case RG_VERDICT_UNKNOWN:
        fprintf(stderr,
                "not known: the store did not say whether edit %s took; ask "
                "again by: verdict %s\n",
                opts->edit.s, opts->edit.s);
        return CTL_UNKNOWN;
    }
    return CTL_FAILED;
}

/* Fills what all edits share. False, with a finding, if an option is bad. */
static bool
fill_edit(struct ctl *c, const char *section, struct rg_edit_opts *opts,
          struct rg_rand *rand, struct rg_err *err)
{
    char id[40];

    seed_rand(rand);
    snprintf(id, sizeof(id), "%016llx",
             (unsigned long long)rg_rand_next(rand));
    if (!rg_name_set(&opts->section, rg_str_of(section))) {
        rg_err_add(err, "SECTION", "a name", "'%s'", section);
    }
    if (!c->team || !rg_name_set(&opts->owner, rg_str_of(c->team))) {
        rg_err_add(err, "--team", "the name of your team", "%s",
                   c->team ? c->team : "nothing");
    }
    if (!rg_name_set(&opts->edit, rg_str_of(c->edit ? c->edit : id))) {
        rg_err_add(err, "--edit-id", "a name", "'%s'", c->edit);
    }
    if (c->base && !rg_name_set(&opts->base, rg_str_of(c->base))) {
        rg_err_add(err, "--base", "a hash", "'%s'", c->base);
    }
    opts->check_base = true;
    opts->time_s = (uint64_t)time(NULL);
    opts->tries = EDIT_TRIES;
    opts->pause_ms = EDIT_PAUSE_MS;
    opts->rand = rand;
    return !rg_err_has(err);
}

/* Without a stated base the edit starts from what is in force now. */
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
    int at = rg_document_find(&d, &opts->section);
    if (at >= 0) {
        opts->base = d.head.sections[at].hash;
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
    enum ctl_exit code = report_verdict(c, opts, &result, &err);
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

    if (usage(c, 2, "edit SECTION FILE")) {
        return CTL_USAGE;
    }
    RG_AUTO_FREE char *text = ctl_read_input(c->args[1], &len, &err);
    if (!fill_edit(c, c->args[0], &opts, &rand, &err) || !text) {
        ctl_print_findings(&err);
        return CTL_INVALID;
    }
    opts.text = strip_mark((struct rg_str){text, len}, &base);
    if (opts.base.len == 0) {
        opts.base = base;
    }
    if (!find_base(c, &opts)) {
        return CTL_FAILED;
    }
    return run_edit(c, &opts);
}

/* The upstream of this name in a parsed section; NULL if there is none. */
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

/* Text of the section with the upstream draining; NULL if it is not there.
 * Comments of the section are lost, as JSON libraries do not keep them. */
static char *
drained_text(const char *text, const char *upstream)
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

    if (usage(c, 2, "drain SECTION UPSTREAM")) {
        return CTL_USAGE;
    }
    if (!fill_edit(c, c->args[0], &opts, &rand, &err)) {
        ctl_print_findings(&err);
        return CTL_INVALID;
    }
    if (!read_document(c, true, &d)) {
        return CTL_FAILED;
    }
    int at = rg_document_find(&d, &opts.section);
    if (at >= 0) {
        opts.base = d.head.sections[at].hash;
        text = drained_text(d.texts[at], c->args[1]);
    }
    rg_document_clear(&d);
    if (!text) {
        fprintf(stderr, "no upstream %s in section %s\n", c->args[1],
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
ctl_verdict(struct ctl *c)
{
    struct rg_name edit;
    uint64_t generation;

    if (usage(c, 1, "verdict EDIT")) {
        return CTL_USAGE;
    }
    rg_name_set(&edit, rg_str_of(c->args[0]));
    if (rg_edit_find(c->store, &edit, &generation) == RG_VERDICT_ACCEPTED) {
        printf("accepted: generation %llu\n", (unsigned long long)generation);
        return CTL_OK;
    }
    fputs("not among the latest edits\n", stderr);
    return CTL_UNKNOWN;
}
