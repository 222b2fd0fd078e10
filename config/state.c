#include "config/state.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

/* A head with the texts it names, as far as they are known. */
struct bundle {
    struct rg_head head;
    char *head_text;
    size_t head_len;
    char **texts; /* one a section, NULL while missing */
    size_t *lens;
};

struct rg_state {
    struct rg_log log;
    struct bundle current;
    struct bundle pending;
    struct rg_config *config;
    struct rg_config *previous; /* still in use while the new one is taken */
    uint64_t rejected;          /* highest generation found contradictory */
};

static void
bundle_clear(struct bundle *b)
{
    for (size_t i = 0; b->texts && i < b->head.sections_count; i++) {
        free(b->texts[i]);
    }
    free(b->texts);
    free(b->lens);
    free(b->head_text);
    rg_opt_clear(&rg_head_options, &b->head);
    memset(b, 0, sizeof(*b));
}

static struct rg_str
bundle_find(const struct bundle *b, struct rg_str hash)
{
    for (size_t i = 0; i < b->head.sections_count; i++) {
        if (b->texts[i] &&
            rg_str_eq(rg_name_str(&b->head.sections[i].hash), hash)) {
            return (struct rg_str){b->texts[i], b->lens[i]};
        }
    }
    return (struct rg_str){0};
}

static void
bundle_put(struct bundle *b, struct rg_str hash, struct rg_str text)
{
    for (size_t i = 0; i < b->head.sections_count; i++) {
        if (!b->texts[i] &&
            rg_str_eq(rg_name_str(&b->head.sections[i].hash), hash)) {
            b->texts[i] = rg_strndup(text.ptr, text.len);
            b->lens[i] = text.len;
        }
    }
}

static void
reuse_texts(struct rg_state *s)
{
    for (size_t i = 0; i < s->pending.head.sections_count; i++) {
        struct rg_str hash = rg_name_str(&s->pending.head.sections[i].hash);
        struct rg_str text = bundle_find(&s->current, hash);
        if (text.ptr) {
            bundle_put(&s->pending, hash, text);
        }
    }
}

static struct rg_config *
build_pending(struct rg_state *s)
{
    RG_ERR_AUTO err = {0};
    const struct bundle *b = &s->pending;
    size_t count = b->head.sections_count;
    RG_AUTO_FREE struct rg_section_text *texts =
        rg_calloc(count, sizeof(*texts));

    for (size_t i = 0; i < count; i++) {
        texts[i].name = rg_name_str(&b->head.sections[i].name);
        texts[i].text = (struct rg_str){b->texts[i], b->lens[i]};
    }
    struct rg_config *c =
        rg_config_build(b->head.generation, texts, count, &err);
    if (!c) {
        RG_AUTO_FREE char *text = rg_err_format(&err);
        rg_log(&s->log, RG_LOG_ERR, "CONFIG_REJECTED", "generation %llu: %s",
               (unsigned long long)b->head.generation, text);
    }
    return c;
}

static enum rg_offer
complete(struct rg_state *s)
{
    if (rg_state_missing(s)) {
        return RG_OFFER_PENDING;
    }
    struct rg_config *c = build_pending(s);
    if (!c) {
        s->rejected = s->pending.head.generation;
        bundle_clear(&s->pending);
        return RG_OFFER_BAD;
    }
    rg_config_destroy(s->previous);
    s->previous = s->config;
    s->config = c;
    bundle_clear(&s->current);
    s->current = s->pending;
    memset(&s->pending, 0, sizeof(s->pending));
    rg_log(&s->log, RG_LOG_NOTICE, "CONFIG_IN_FORCE", "generation %llu",
           (unsigned long long)c->generation);
    return RG_OFFER_IN_FORCE;
}

static bool
is_old(struct rg_state *s, const struct rg_head *head, struct rg_str text)
{
    uint64_t held = s->current.head.generation;

    if (head->generation == held &&
        (text.len != s->current.head_len ||
         memcmp(text.ptr, s->current.head_text, text.len) != 0))
    {
        rg_log(&s->log, RG_LOG_ERR, "CONFIG_CONFLICT",
               "two heads of generation %llu; the first stays",
               (unsigned long long)held);
    }
    return head->generation <= held || head->generation <= s->rejected ||
           head->generation <= s->pending.head.generation;
}

struct rg_state *
rg_state_create(const struct rg_log *log)
{
    struct rg_state *s = rg_calloc(1, sizeof(*s));

    s->log = *log;
    s->log.module = "config";
    return s;
}

void
rg_state_destroy(struct rg_state *s)
{
    if (!s) {
        return;
    }
    bundle_clear(&s->current);
    bundle_clear(&s->pending);
    rg_config_destroy(s->config);
    rg_config_destroy(s->previous);
    free(s);
}

enum rg_offer
rg_state_offer_head(struct rg_state *s, struct rg_str text)
{
    RG_ERR_AUTO err = {0};
    struct rg_head head;

    if (!rg_opt_load(&rg_head_options, &head, text, &err)) {
        RG_AUTO_FREE char *found = rg_err_format(&err);
        rg_log(&s->log, RG_LOG_WARNING, "HEAD_MALFORMED", "%s", found);
        rg_opt_clear(&rg_head_options, &head);
        return RG_OFFER_BAD;
    }
    if (is_old(s, &head, text)) {
        bool gathering = head.generation == s->pending.head.generation;
        rg_opt_clear(&rg_head_options, &head);
        return gathering ? RG_OFFER_PENDING : RG_OFFER_OLD;
    }
    bundle_clear(&s->pending);
    s->pending.head = head;
    s->pending.head_text = rg_strndup(text.ptr, text.len);
    s->pending.head_len = text.len;
    s->pending.texts =
        rg_calloc(head.sections_count, sizeof(*s->pending.texts));
    s->pending.lens = rg_calloc(head.sections_count, sizeof(*s->pending.lens));
    reuse_texts(s);
    return complete(s);
}

enum rg_offer
rg_state_offer_section(struct rg_state *s, struct rg_str text)
{
    struct rg_name hash;

    if (s->pending.head.generation == 0) {
        return RG_OFFER_OLD;
    }
    rg_section_hash(&hash, text);
    bundle_put(&s->pending, rg_name_str(&hash), text);
    return complete(s);
}

const struct rg_name *
rg_state_missing(const struct rg_state *s)
{
    for (size_t i = 0; i < s->pending.head.sections_count; i++) {
        if (!s->pending.texts[i]) {
            return &s->pending.head.sections[i].hash;
        }
    }
    return NULL;
}

uint64_t
rg_state_generation(const struct rg_state *s)
{
    return s->current.head.generation;
}

uint64_t
rg_state_pending(const struct rg_state *s)
{
    return s->pending.head.generation;
}

const struct rg_config *
rg_state_config(const struct rg_state *s)
{
    return s->config;
}

struct rg_str
rg_state_head_text(const struct rg_state *s)
{
    return (struct rg_str){s->current.head_text, s->current.head_len};
}

struct rg_str
rg_state_section_text(const struct rg_state *s, struct rg_str hash)
{
    return bundle_find(&s->current, hash);
}
