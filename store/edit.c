#include "store/edit.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/mem.h"

/* Edits in the history of the head. An edit can be looked up until this many
 * others have followed it. */
#define HISTORY_MAX 64
#define BACKOFF_MAX_MS 2000

/* State of rg_edit_run(). */
struct edit_run {
    struct rg_store *store;
    const struct rg_edit_opts *opts;
    struct rg_edit_result *result;
    struct rg_err *err;
    struct rg_name hash; /* of the new text */
    struct rg_document doc;
    /* A swap of the head that got no response: it may have taken effect, or
     * may still do so. */
    bool swap_unanswered;
    uint64_t unanswered_revision;   /* revision that it expected */
    uint64_t unanswered_generation; /* generation that it would make */
};

static void
sleep_ms(uint32_t ms)
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
            rg_err_add(err, key, "a section text in the store", "%s",
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
        rg_err_add(err, "store", "a response with the head", "%s", v.error);
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
find_edit(const struct rg_document *d, const struct rg_name *edit_id)
{
    for (size_t i = 0; i < d->head.edits_count; i++) {
        if (rg_name_eq(&d->head.edits[i].edit, edit_id)) {
            return d->head.edits[i].generation;
        }
    }
    return 0;
}

static struct json_object *
name_json(const struct rg_name *n)
{
    return json_object_new_string_len(n->s, n->len);
}

static struct json_object *
section_json(const struct rg_name *name, const struct rg_name *owner,
             const struct rg_name *hash)
{
    struct json_object *o = json_object_new_object();

    json_object_object_add(o, "name", name_json(name));
    json_object_object_add(o, "owner", name_json(owner));
    json_object_object_add(o, "hash", name_json(hash));
    return o;
}

static struct json_object *
edit_json(const struct rg_head_edit *e)
{
    struct json_object *o = json_object_new_object();

    json_object_object_add(o, "generation",
                           json_object_new_uint64(e->generation));
    json_object_object_add(o, "edit", name_json(&e->edit));
    json_object_object_add(o, "section", name_json(&e->section));
    json_object_object_add(o, "owner", name_json(&e->owner));
    json_object_object_add(o, "time_s", json_object_new_uint64(e->time_s));
    return o;
}

static struct json_object *
new_sections(const struct edit_run *r)
{
    const struct rg_head *h = &r->doc.head;
    struct json_object *list = json_object_new_array();
    int pos = rg_document_find(&r->doc, &r->opts->section);

    for (size_t i = 0; i < h->sections_count; i++) {
        const struct rg_head_section *s = &h->sections[i];
        const struct rg_name *hash = (int)i == pos ? &r->hash : &s->hash;
        json_object_array_add(list, section_json(&s->name, &s->owner, hash));
    }
    if (pos < 0) {
        json_object_array_add(
            list, section_json(&r->opts->section, &r->opts->owner, &r->hash));
    }
    return list;
}

static struct json_object *
new_edits(const struct edit_run *r)
{
    const struct rg_head *h = &r->doc.head;
    struct json_object *list = json_object_new_array();
    size_t from =
        h->edits_count >= HISTORY_MAX ? h->edits_count - HISTORY_MAX + 1 : 0;
    struct rg_head_edit own = {
        .generation = h->generation + 1,
        .edit = r->opts->edit_id,
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
new_head(const struct edit_run *r)
{
    struct json_object *o = json_object_new_object();

    json_object_object_add(o, "generation",
                           json_object_new_uint64(r->doc.head.generation + 1));
    json_object_object_add(o, "sections", new_sections(r));
    json_object_object_add(o, "edits", new_edits(r));
    return o;
}

/* Checks the whole document with the new text of the section. */
static bool
check_document(struct edit_run *r)
{
    const struct rg_head *h = &r->doc.head;
    size_t count = h->sections_count;
    int pos = rg_document_find(&r->doc, &r->opts->section);
    RG_AUTO_FREE struct rg_section_text *texts =
        rg_calloc(count + 1, sizeof(*texts));

    for (size_t i = 0; i < count; i++) {
        texts[i].name = rg_name_str(&h->sections[i].name);
        texts[i].text =
            (int)i == pos ? r->opts->text : rg_str_of(r->doc.texts[i]);
    }
    if (pos < 0) {
        texts[count].name = rg_name_str(&r->opts->section);
        texts[count].text = r->opts->text;
        count++;
    }
    struct rg_config *c =
        rg_config_build(h->generation + 1, texts, count, r->err);
    rg_config_destroy(c);
    return c != NULL;
}

/* Checks that the section may be edited as requested. Returns true if the run
 * ends here; its status is set then. */
static bool
check_section(struct edit_run *r)
{
    int pos = rg_document_find(&r->doc, &r->opts->section);
    const struct rg_head_section *s =
        pos < 0 ? NULL : &r->doc.head.sections[pos];
    bool at_base =
        s ? rg_name_eq(&s->hash, &r->opts->base) : r->opts->base.len == 0;

    if (s && !rg_name_eq(&s->owner, &r->opts->owner)) {
        rg_err_add(r->err, r->opts->section.s, "a section of your own team",
                   "a section owned by %s", s->owner.s);
        r->result->status = RG_EDIT_INVALID;
        return true;
    }
    if (s && rg_name_eq(&s->hash, &r->hash)) {
        r->result->status = RG_EDIT_UNCHANGED;
        r->result->generation = r->doc.head.generation;
        return true;
    }
    if (r->opts->check_base && !at_base) {
        r->result->status = RG_EDIT_CONFLICT;
        r->result->current_text = rg_strdup(pos < 0 ? "" : r->doc.texts[pos]);
        return true;
    }
    if (!check_document(r)) {
        r->result->status = RG_EDIT_INVALID;
        return true;
    }
    return false;
}

/* Writes the section's text under its hash. If the key exists already, it
 * holds the same text. */
static bool
write_text(struct edit_run *r)
{
    struct rg_store_value v;
    char key[128];

    rg_store_section_key(key, sizeof(key), r->hash.s);
    enum rg_store_status status =
        r->store->ops->swap(r->store, key, r->opts->text, 0, &v);
    rg_store_value_clear(&v);
    return status == RG_STORE_OK || status == RG_STORE_CONFLICT;
}

/* Swaps the head. Returns true if the edit was accepted. */
static bool
swap_head(struct edit_run *r)
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
        r->result->status = RG_EDIT_ACCEPTED;
        r->result->generation = generation;
        return true;
    }
    if (status == RG_STORE_UNKNOWN) {
        r->swap_unanswered = true;
        r->unanswered_revision = r->doc.revision;
        r->unanswered_generation = generation;
    }
    return false;
}

/* Finds out from the head just read whether an earlier swap of this edit took
 * effect, in this run or in one with the same edit_id. Returns true if the run
 * ends here. Once the head has another revision and does not list the edit, an
 * unanswered swap can no longer take effect. */
static bool
resolve_unanswered_swap(struct edit_run *r)
{
    uint64_t generation = find_edit(&r->doc, &r->opts->edit_id);

    if (generation != 0) {
        r->result->status = RG_EDIT_ACCEPTED;
        r->result->generation = generation;
        return true;
    }
    if (!r->swap_unanswered || r->doc.revision == r->unanswered_revision) {
        return false;
    }
    if (r->doc.head.generation >= r->unanswered_generation + HISTORY_MAX) {
        /* The edit may have been dropped from the history since. */
        r->result->status = RG_EDIT_UNKNOWN;
        return true;
    }
    r->swap_unanswered = false;
    return false;
}

/* One attempt: reads, checks, writes the text and swaps the head. Returns true
 * if the run ends here. */
static bool
attempt(struct edit_run *r)
{
    RG_ERR_AUTO read_err = {0};

    rg_document_clear(&r->doc);
    r->result->attempts++;
    if (rg_document_read(r->store, true, &r->doc, &read_err) != RG_STORE_OK) {
        return false;
    }
    if (resolve_unanswered_swap(r)) {
        return true;
    }
    if (check_section(r)) {
        /* The check ends the run, but an unanswered swap may still take effect
         * as long as the head has the revision that it expected. */
        if (r->swap_unanswered) {
            r->result->status = RG_EDIT_UNKNOWN;
        }
        return true;
    }
    return write_text(r) && swap_head(r);
}

void
rg_edit_run(struct rg_store *store, const struct rg_edit_opts *opts,
            struct rg_edit_result *result, struct rg_err *err)
{
    struct edit_run r = {
        .store = store,
        .opts = opts,
        .result = result,
        .err = err,
    };
    uint32_t backoff = opts->backoff_ms;

    memset(result, 0, sizeof(*result));
    result->status = RG_EDIT_NOT_APPLIED;
    rg_section_hash(&r.hash, opts->text);
    for (uint32_t i = 0; i < opts->max_attempts; i++) {
        if (attempt(&r)) {
            rg_document_clear(&r.doc);
            return;
        }
        sleep_ms(rg_rand_below(opts->rand, backoff + 1));
        backoff = backoff * 2 < BACKOFF_MAX_MS ? backoff * 2 : BACKOFF_MAX_MS;
    }
    if (r.swap_unanswered) {
        result->status = RG_EDIT_UNKNOWN;
    }
    rg_document_clear(&r.doc);
}

void
rg_edit_result_clear(struct rg_edit_result *r)
{
    free(r->current_text);
    memset(r, 0, sizeof(*r));
}

enum rg_edit_status
rg_edit_find(struct rg_store *store, const struct rg_name *edit_id,
             uint64_t *generation)
{
    RG_ERR_AUTO err = {0};
    struct rg_document d;

    *generation = 0;
    if (rg_document_read(store, false, &d, &err) == RG_STORE_OK) {
        *generation = find_edit(&d, edit_id);
    }
    rg_document_clear(&d);
    return *generation ? RG_EDIT_ACCEPTED : RG_EDIT_UNKNOWN;
}
