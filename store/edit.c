#include "store/edit.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/mem.h"

/* Edits remembered in the head. An edit is found there for as long as no more
 * than this many followed it. */
#define EDITS_KEPT 64
#define PAUSE_MAX_MS 2000

/* One run of an edit. */
struct run {
    struct rg_store *store;
    const struct rg_edit_opts *opts;
    struct rg_edit_result *result;
    struct rg_err *err;
    struct rg_name hash; /* of the new text */
    struct rg_document doc;
    bool swap_in_doubt;        /* a swap got no answer */
    uint64_t doubt_revision;   /* revision it expected */
    uint64_t doubt_generation; /* generation it would have made */
};

static void
pause_ms(uint32_t ms)
{
    struct timespec ts = {.tv_sec = ms / 1000,
                          .tv_nsec = (long)(ms % 1000) * 1000000L};

    nanosleep(&ts, NULL);
}

static enum rg_store_status
read_texts(struct rg_store *store, struct rg_document *d, struct rg_err *err)
{
    char key[128];

    for (size_t i = 0; i < d->head.sections_count; i++) {
        struct rg_store_value v;
        rg_store_section_key(key, sizeof(key), d->head.sections[i].hash.s);
        enum rg_store_status status = store->ops->get(store, key, 0, 0, &v);
        if (status != RG_STORE_OK) {
            rg_err_add(err, key, "a text in the store", "%s",
                       status == RG_STORE_ABSENT ? "none" : v.error);
            rg_store_value_clear(&v);
            return status;
        }
        d->texts[i] = v.text;
    }
    return RG_STORE_OK;
}

enum rg_store_status
rg_document_read(struct rg_store *store, bool with_texts,
                 struct rg_document *out, struct rg_err *err)
{
    struct rg_store_value v;

    memset(out, 0, sizeof(*out));
    enum rg_store_status status =
        store->ops->get(store, RG_STORE_HEAD_KEY, 0, 0, &v);
    if (status == RG_STORE_ABSENT) {
        rg_store_value_clear(&v);
        return RG_STORE_OK;
    }
    if (status != RG_STORE_OK) {
        rg_err_add(err, "store", "an answer", "%s", v.error);
        rg_store_value_clear(&v);
        return status;
    }
    out->revision = v.revision;
    out->head_text = v.text;
    if (!rg_opt_load(&rg_head_options, &out->head,
                     (struct rg_str){v.text, v.len}, err))
    {
        return RG_STORE_UNKNOWN;
    }
    out->texts = rg_calloc(out->head.sections_count, sizeof(*out->texts));
    return with_texts ? read_texts(store, out, err) : RG_STORE_OK;
}

void
rg_document_clear(struct rg_document *d)
{
    for (size_t i = 0; d->texts && i < d->head.sections_count; i++) {
        free(d->texts[i]);
    }
    free(d->texts);
    free(d->head_text);
    rg_opt_clear(&rg_head_options, &d->head);
    memset(d, 0, sizeof(*d));
}

int
rg_document_find(const struct rg_document *d, const struct rg_name *name)
{
    for (size_t i = 0; i < d->head.sections_count; i++) {
        if (rg_name_eq(&d->head.sections[i].name, name)) {
            return (int)i;
        }
    }
    return -1;
}

static uint64_t
find_edit(const struct rg_document *d, const struct rg_name *edit)
{
    for (size_t i = 0; i < d->head.edits_count; i++) {
        if (rg_name_eq(&d->head.edits[i].edit, edit)) {
            return d->head.edits[i].generation;
        }
    }
    return 0;
}

static struct json_object *
text_json(const struct rg_name *n)
{
    return json_object_new_string_len(n->s, n->len);
}

static struct json_object *
section_json(const struct rg_name *name, const struct rg_name *owner,
             const struct rg_name *hash)
{
    struct json_object *o = json_object_new_object();

    json_object_object_add(o, "name", text_json(name));
    json_object_object_add(o, "owner", text_json(owner));
    json_object_object_add(o, "hash", text_json(hash));
    return o;
}

static struct json_object *
edit_json(const struct rg_head_edit *e)
{
    struct json_object *o = json_object_new_object();

    json_object_object_add(o, "generation",
                           json_object_new_uint64(e->generation));
    json_object_object_add(o, "edit", text_json(&e->edit));
    json_object_object_add(o, "section", text_json(&e->section));
    json_object_object_add(o, "owner", text_json(&e->owner));
    json_object_object_add(o, "time_s", json_object_new_uint64(e->time_s));
    return o;
}

static struct json_object *
new_sections(const struct run *r)
{
    const struct rg_head *h = &r->doc.head;
    struct json_object *list = json_object_new_array();
    int at = rg_document_find(&r->doc, &r->opts->section);

    for (size_t i = 0; i < h->sections_count; i++) {
        const struct rg_head_section *s = &h->sections[i];
        const struct rg_name *hash = (int)i == at ? &r->hash : &s->hash;
        json_object_array_add(list, section_json(&s->name, &s->owner, hash));
    }
    if (at < 0) {
        json_object_array_add(
            list, section_json(&r->opts->section, &r->opts->owner, &r->hash));
    }
    return list;
}

static struct json_object *
new_edits(const struct run *r)
{
    const struct rg_head *h = &r->doc.head;
    struct json_object *list = json_object_new_array();
    size_t from =
        h->edits_count >= EDITS_KEPT ? h->edits_count - EDITS_KEPT + 1 : 0;
    struct rg_head_edit own = {
        .generation = h->generation + 1,
        .edit = r->opts->edit,
        .section = r->opts->section,
        .owner = r->opts->owner,
        .time_s = r->opts->time_s,
    };

    for (size_t i = from; i < h->edits_count; i++) {
        json_object_array_add(list, edit_json(&h->edits[i]));
    }
    json_object_array_add(list, edit_json(&own));
    return list;
}

static struct json_object *
new_head(const struct run *r)
{
    struct json_object *o = json_object_new_object();

    json_object_object_add(o, "generation",
                           json_object_new_uint64(r->doc.head.generation + 1));
    json_object_object_add(o, "sections", new_sections(r));
    json_object_object_add(o, "edits", new_edits(r));
    return o;
}

/* Checks the whole document with the new text in its place. */
static bool
check_whole(struct run *r)
{
    const struct rg_head *h = &r->doc.head;
    size_t count = h->sections_count;
    int at = rg_document_find(&r->doc, &r->opts->section);
    RG_AUTO_FREE struct rg_section_text *texts =
        rg_calloc(count + 1, sizeof(*texts));

    for (size_t i = 0; i < count; i++) {
        texts[i].name = rg_name_str(&h->sections[i].name);
        texts[i].text =
            (int)i == at ? r->opts->text : rg_str_of(r->doc.texts[i]);
    }
    if (at < 0) {
        texts[count].name = rg_name_str(&r->opts->section);
        texts[count].text = r->opts->text;
        count++;
    }
    struct rg_config *c =
        rg_config_build(h->generation + 1, texts, count, r->err);
    rg_config_destroy(c);
    return c != NULL;
}

/* Whether the section may be edited as asked. True if a verdict is reached. */
static bool
check_section(struct run *r)
{
    int at = rg_document_find(&r->doc, &r->opts->section);
    const struct rg_head_section *s =
        at < 0 ? NULL : &r->doc.head.sections[at];
    bool at_base =
        s ? rg_name_eq(&s->hash, &r->opts->base) : r->opts->base.len == 0;

    if (s && !rg_name_eq(&s->owner, &r->opts->owner)) {
        rg_err_add(r->err, r->opts->section.s, "a section of your own team",
                   "one owned by %s", s->owner.s);
        r->result->verdict = RG_VERDICT_INVALID;
        return true;
    }
    if (s && rg_name_eq(&s->hash, &r->hash)) {
        r->result->verdict = RG_VERDICT_UNCHANGED;
        r->result->generation = r->doc.head.generation;
        return true;
    }
    if (r->opts->check_base && !at_base) {
        r->result->verdict = RG_VERDICT_CONFLICT;
        r->result->theirs = rg_strdup(at < 0 ? "" : r->doc.texts[at]);
        return true;
    }
    if (!check_whole(r)) {
        r->result->verdict = RG_VERDICT_INVALID;
        return true;
    }
    return false;
}

/* Writes the section's text under its hash; one that is there already is the
 * same text. */
static bool
write_text(struct run *r)
{
    struct rg_store_value v;
    char key[128];

    rg_store_section_key(key, sizeof(key), r->hash.s);
    enum rg_store_status status =
        r->store->ops->swap(r->store, key, r->opts->text, 0, &v);
    rg_store_value_clear(&v);
    return status == RG_STORE_OK || status == RG_STORE_CONFLICT;
}

/* Swaps the head. True if a verdict is reached. */
static bool
swap_head(struct run *r)
{
    struct rg_store_value v;
    struct json_object *head = new_head(r);
    const char *text =
        json_object_to_json_string_ext(head, JSON_C_TO_STRING_PLAIN);
    uint64_t generation = r->doc.head.generation + 1;

    enum rg_store_status status = r->store->ops->swap(
        r->store, RG_STORE_HEAD_KEY, rg_str_of(text), r->doc.revision, &v);
    json_object_put(head);
    rg_store_value_clear(&v);
    if (status == RG_STORE_OK) {
        r->result->verdict = RG_VERDICT_ACCEPTED;
        r->result->generation = generation;
        return true;
    }
    if (status == RG_STORE_UNKNOWN) {
        r->swap_in_doubt = true;
        r->doubt_revision = r->doc.revision;
        r->doubt_generation = generation;
    }
    return false;
}

/* A swap got no answer. Looks whether it took; true if a verdict is reached.
 * Once the head has moved on without the edit, the swap can take no more. */
static bool
resolve_doubt(struct run *r)
{
    uint64_t made = find_edit(&r->doc, &r->opts->edit);

    if (made != 0) {
        r->result->verdict = RG_VERDICT_ACCEPTED;
        r->result->generation = made;
        return true;
    }
    if (!r->swap_in_doubt || r->doc.revision == r->doubt_revision) {
        return false;
    }
    if (r->doc.head.generation >= r->doubt_generation + EDITS_KEPT) {
        r->result->verdict = RG_VERDICT_UNKNOWN; /* forgotten by now */
        return true;
    }
    r->swap_in_doubt = false;
    return false;
}

/* One round: read, check, write, swap. True if a verdict is reached. */
static bool
round_done(struct run *r)
{
    RG_ERR_AUTO unread = {0};

    rg_document_clear(&r->doc);
    r->result->rounds++;
    if (rg_document_read(r->store, true, &r->doc, &unread) != RG_STORE_OK) {
        return false;
    }
    if (resolve_doubt(r)) {
        return true;
    }
    if (check_section(r)) {
        /* Something else is in the way now, but an earlier swap of this edit
         * may still take while the head has not moved. */
        if (r->swap_in_doubt) {
            r->result->verdict = RG_VERDICT_UNKNOWN;
        }
        return true;
    }
    return write_text(r) && swap_head(r);
}

void
rg_edit_run(struct rg_store *store, const struct rg_edit_opts *opts,
            struct rg_edit_result *result, struct rg_err *err)
{
    struct run r = {
        .store = store,
        .opts = opts,
        .result = result,
        .err = err,
    };
    uint32_t pause = opts->pause_ms;

    memset(result, 0, sizeof(*result));
    result->verdict = RG_VERDICT_REFUSED;
    rg_section_hash(&r.hash, opts->text);
    for (uint32_t i = 0; i < opts->tries; i++) {
        if (round_done(&r)) {
            rg_document_clear(&r.doc);
            return;
        }
        pause_ms(rg_rand_below(opts->rand, pause + 1));
        pause = pause * 2 < PAUSE_MAX_MS ? pause * 2 : PAUSE_MAX_MS;
    }
    if (r.swap_in_doubt) {
        result->verdict = RG_VERDICT_UNKNOWN;
    }
    rg_document_clear(&r.doc);
}

void
rg_edit_result_clear(struct rg_edit_result *r)
{
    free(r->theirs);
    memset(r, 0, sizeof(*r));
}

enum rg_verdict
rg_edit_find(struct rg_store *store, const struct rg_name *edit,
             uint64_t *generation)
{
    RG_ERR_AUTO err = {0};
    struct rg_document d;

    *generation = 0;
    if (rg_document_read(store, false, &d, &err) == RG_STORE_OK) {
        *generation = find_edit(&d, edit);
    }
    rg_document_clear(&d);
    return *generation ? RG_VERDICT_ACCEPTED : RG_VERDICT_UNKNOWN;
}
