#include "config/state.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

/* A head and the section texts that it names, as far as they are known. */
struct document {
    struct rg_head head;
    char *head_text;
    size_t head_len;
    char **texts; /* one per section, NULL while missing */
    size_t *lens;
};

struct rg_config_state {
    struct rg_log log;
    struct document active;
    struct document pending;
    struct rg_config *config;   /* compiled from `active` */
    struct rg_config *previous; /* kept while users switch to the new one */
    uint64_t rejected;          /* highest generation found invalid */
};

static void
document_clear(struct document *d)
{
    for (size_t i = 0; d->texts && i < d->head.sections_count; i++) {
        free(d->texts[i]);
    }
    free(d->texts);
    free(d->lens);
    free(d->head_text);
    rg_opt_clear(&rg_head_options, &d->head);
    memset(d, 0, sizeof(*d));
}

static struct rg_str
document_find_text(const struct document *d, struct rg_str hash)
{
    for (size_t i = 0; i < d->head.sections_count; i++) {
        if (d->texts[i] &&
            rg_str_eq(rg_name_str(&d->head.sections[i].hash), hash)) {
            return (struct rg_str){d->texts[i], d->lens[i]};
        }
    }
    return (struct rg_str){0};
}

static void
document_put_text(struct document *d, struct rg_str hash, struct rg_str text)
{
    for (size_t i = 0; i < d->head.sections_count; i++) {
        if (!d->texts[i] &&
            rg_str_eq(rg_name_str(&d->head.sections[i].hash), hash)) {
            d->texts[i] = rg_strndup(text.ptr, text.len);
            d->lens[i] = text.len;
        }
    }
}

/* Takes over the texts of sections that did not change, so that they are not
 * fetched again. */
static void
reuse_active_texts(struct rg_config_state *s)
{
    for (size_t i = 0; i < s->pending.head.sections_count; i++) {
        struct rg_str hash = rg_name_str(&s->pending.head.sections[i].hash);
        struct rg_str text = document_find_text(&s->active, hash);
        if (text.ptr) {
            document_put_text(&s->pending, hash, text);
        }
    }
}

static struct rg_config *
build_pending(struct rg_config_state *s)
{
    RG_ERR_AUTO err = {0};
    const struct document *d = &s->pending;
    size_t count = d->head.sections_count;
    RG_AUTO_FREE struct rg_section_text *texts =
        rg_calloc(count, sizeof(*texts));

    for (size_t i = 0; i < count; i++) {
        texts[i].name = rg_name_str(&d->head.sections[i].name);
        texts[i].text = (struct rg_str){d->texts[i], d->lens[i]};
    }
    struct rg_config *c =
        rg_config_build(d->head.generation, texts, count, &err);
    if (!c) {
        RG_AUTO_FREE char *text = rg_err_format(&err);
        rg_log(&s->log, RG_LOG_ERR, "CONFIG_REJECTED", "generation %llu: %s",
               (unsigned long long)d->head.generation, text);
    }
    return c;
}

/* Activates the pending configuration if all its texts are there. */
static enum rg_offer_result
activate_if_complete(struct rg_config_state *s)
{
    if (rg_config_state_missing_section(s)) {
        return RG_OFFER_PENDING;
    }
    struct rg_config *c = build_pending(s);
    if (!c) {
        s->rejected = s->pending.head.generation;
        document_clear(&s->pending);
        return RG_OFFER_INVALID;
    }
    rg_config_destroy(s->previous);
    s->previous = s->config;
    s->config = c;
    document_clear(&s->active);
    s->active = s->pending;
    memset(&s->pending, 0, sizeof(s->pending));
    rg_log(&s->log, RG_LOG_NOTICE, "CONFIG_IN_FORCE", "generation %llu",
           (unsigned long long)c->generation);
    return RG_OFFER_ACTIVATED;
}

/* Whether the head is not newer than the active, the pending or a rejected
 * one. Logs a head that has the active generation but another text. */
static bool
is_stale(struct rg_config_state *s, const struct rg_head *head,
         struct rg_str text)
{
    uint64_t active = s->active.head.generation;

    if (head->generation == active &&
        (text.len != s->active.head_len ||
         memcmp(text.ptr, s->active.head_text, text.len) != 0))
    {
        rg_log(&s->log, RG_LOG_ERR, "CONFIG_CONFLICT",
               "ignored a head that differs from the active one of generation "
               "%llu",
               (unsigned long long)active);
    }
    return head->generation <= active || head->generation <= s->rejected ||
           head->generation <= s->pending.head.generation;
}

struct rg_config_state *
rg_config_state_create(const struct rg_log *log)
{
    struct rg_config_state *s = rg_calloc(1, sizeof(*s));

    s->log = *log;
    s->log.module = "config";
    return s;
}

void
rg_config_state_destroy(struct rg_config_state *s)
{
    if (!s) {
        return;
    }
    document_clear(&s->active);
    document_clear(&s->pending);
    rg_config_destroy(s->config);
    rg_config_destroy(s->previous);
    free(s);
}

enum rg_offer_result
rg_config_state_offer_head(struct rg_config_state *s, struct rg_str text)
{
    RG_ERR_AUTO err = {0};
    struct rg_head head;

    if (!rg_opt_load(&rg_head_options, &head, text, &err)) {
        RG_AUTO_FREE char *found = rg_err_format(&err);
        rg_log(&s->log, RG_LOG_WARNING, "HEAD_MALFORMED", "%s", found);
        rg_opt_clear(&rg_head_options, &head);
        return RG_OFFER_INVALID;
    }
    if (is_stale(s, &head, text)) {
        bool pending = head.generation == s->pending.head.generation;
        rg_opt_clear(&rg_head_options, &head);
        return pending ? RG_OFFER_PENDING : RG_OFFER_STALE;
    }
    document_clear(&s->pending);
    s->pending.head = head;
    s->pending.head_text = rg_strndup(text.ptr, text.len);
    s->pending.head_len = text.len;
    s->pending.texts =
        rg_calloc(head.sections_count, sizeof(*s->pending.texts));
    s->pending.lens = rg_calloc(head.sections_count, sizeof(*s->pending.lens));
    reuse_active_texts(s);
    return activate_if_complete(s);
}

enum rg_offer_result
rg_config_state_offer_section(struct rg_config_state *s, struct rg_str text)
{
    struct rg_name hash;

    if (s->pending.head.generation == 0) {
        return RG_OFFER_STALE;
    }
    rg_section_hash(&hash, text);
    document_put_text(&s->pending, rg_name_str(&hash), text);
    return activate_if_complete(s);
}

const struct rg_name *
rg_config_state_missing_section(const struct rg_config_state *s)
{
    for (size_t i = 0; i < s->pending.head.sections_count; i++) {
        if (!s->pending.texts[i]) {
            return &s->pending.head.sections[i].hash;
        }
    }
    return NULL;
}

uint64_t
rg_config_state_generation(const struct rg_config_state *s)
{
    return s->active.head.generation;
}

uint64_t
rg_config_state_pending_generation(const struct rg_config_state *s)
{
    return s->pending.head.generation;
}

const struct rg_config *
rg_config_state_active(const struct rg_config_state *s)
{
    return s->config;
}

struct rg_str
rg_config_state_head_text(const struct rg_config_state *s)
{
    return (struct rg_str){s->active.head_text, s->active.head_len};
}

struct rg_str
rg_config_state_section_text(const struct rg_config_state *s,
                             struct rg_str hash)
{
    return document_find_text(&s->active, hash);
}
