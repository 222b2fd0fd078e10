/* Edits against a store whose calls fail, lose their responses or take effect
 * late: the reported status is never wrong, an edit takes effect at most once,
 * and it does not overwrite another edit. */
#include <glib.h>
#include <string.h>

#include "common/mem.h"
#include "store/edit.h"

#define KEYS_MAX 64

/* What happens to a write. */
enum write_fault {
    WRITE_OK,
    WRITE_LOST,       /* no effect, no response */
    WRITE_UNANSWERED, /* takes effect, no response */
    WRITE_DELAYED,    /* no response; takes effect during a later call */
};

struct fake_entry {
    char key[128];
    char *text;
    uint64_t revision;
};

/* A write that has not taken effect yet. */
struct delayed_write {
    char key[128];
    char *text;
    uint64_t expected;
    uint32_t calls_left;
};

struct fake_store {
    struct rg_store base;
    struct fake_entry entries[KEYS_MAX];
    uint32_t count;
    uint64_t revision;
    struct rg_rand rand;
    uint32_t fault_percent; /* share of calls that fail */
    bool down;
    struct delayed_write delayed;
    uint32_t calls;
    uint32_t down_from; /* all calls from this one on fail; 0: none */
    void (*before_call)(struct fake_store *s);
};

static struct fake_entry *
fake_find(struct fake_store *s, const char *key)
{
    for (uint32_t i = 0; i < s->count; i++) {
        if (strcmp(s->entries[i].key, key) == 0) {
            return &s->entries[i];
        }
    }
    return NULL;
}

static bool
fake_apply(struct fake_store *s, const char *key, const char *text, size_t len,
           uint64_t expected)
{
    struct fake_entry *e = fake_find(s, key);

    if ((e ? e->revision : 0) != expected) {
        return false;
    }
    if (!e) {
        g_assert_cmpuint(s->count, <, KEYS_MAX);
        e = &s->entries[s->count++];
        g_strlcpy(e->key, key, sizeof(e->key));
    }
    g_free(e->text);
    e->text = g_strndup(text, len);
    e->revision = ++s->revision;
    return true;
}

static void
fake_advance(struct fake_store *s)
{
    s->calls++;
    if (s->before_call) {
        s->before_call(s);
    }
    if (s->delayed.text && s->delayed.calls_left-- == 0) {
        fake_apply(s, s->delayed.key, s->delayed.text, strlen(s->delayed.text),
                   s->delayed.expected);
        g_clear_pointer(&s->delayed.text, g_free);
    }
}

static bool
fake_is_down(const struct fake_store *s)
{
    return s->down || (s->down_from > 0 && s->calls >= s->down_from);
}

static enum rg_store_status
fake_get(struct rg_store *base, const char *key, uint64_t after,
         uint32_t wait_ms, struct rg_store_value *out)
{
    struct fake_store *s = (struct fake_store *)base;

    (void)after;
    (void)wait_ms;
    memset(out, 0, sizeof(*out));
    fake_advance(s);
    if (fake_is_down(s) || rg_rand_below(&s->rand, 100) < s->fault_percent) {
        return RG_STORE_UNKNOWN;
    }
    const struct fake_entry *e = fake_find(s, key);
    if (!e) {
        return RG_STORE_ABSENT;
    }
    out->text = rg_strdup(e->text);
    out->len = strlen(e->text);
    out->revision = e->revision;
    return RG_STORE_OK;
}

static enum write_fault
pick_fault(struct fake_store *s)
{
    if (fake_is_down(s)) {
        return WRITE_LOST;
    }
    if (rg_rand_below(&s->rand, 100) >= s->fault_percent) {
        return WRITE_OK;
    }
    return (enum write_fault)(1 + rg_rand_below(&s->rand, 3));
}

static enum rg_store_status
fake_swap(struct rg_store *base, const char *key, struct rg_str value,
          uint64_t expected, struct rg_store_value *out)
{
    struct fake_store *s = (struct fake_store *)base;

    memset(out, 0, sizeof(*out));
    fake_advance(s);
    switch (pick_fault(s)) {
    case WRITE_OK:
        return fake_apply(s, key, value.ptr, value.len, expected)
                   ? RG_STORE_OK
                   : RG_STORE_CONFLICT;
    case WRITE_UNANSWERED:
        fake_apply(s, key, value.ptr, value.len, expected);
        return RG_STORE_UNKNOWN;
    case WRITE_DELAYED:
        if (!s->delayed.text) {
            g_strlcpy(s->delayed.key, key, sizeof(s->delayed.key));
            s->delayed.text = g_strndup(value.ptr, value.len);
            s->delayed.expected = expected;
            s->delayed.calls_left = 1 + rg_rand_below(&s->rand, 6);
        }
        return RG_STORE_UNKNOWN;
    case WRITE_LOST:
        break;
    }
    return RG_STORE_UNKNOWN;
}

static const struct rg_store_ops fake_ops = {
    .get = fake_get,
    .swap = fake_swap,
};

static struct fake_store *
fake_create(uint64_t seed)
{
    struct fake_store *s = g_new0(struct fake_store, 1);

    s->base.ops = &fake_ops;
    s->rand.state = seed;
    return s;
}

static void
fake_destroy(struct fake_store *s)
{
    for (uint32_t i = 0; i < s->count; i++) {
        g_free(s->entries[i].text);
    }
    g_free(s->delayed.text);
    g_free(s);
}

/* Ends all faults and lets a delayed write take effect. */
static void
fake_recover(struct fake_store *s)
{
    s->fault_percent = 0;
    s->down = false;
    s->down_from = 0;
    s->before_call = NULL;
    while (s->delayed.text) {
        fake_advance(s);
    }
}

static char *
section_text(const char *service, uint32_t address, uint32_t version)
{
    return g_strdup_printf(
        "{\"services\": [{\"name\": \"%s\", \"address\": \"203.0.113.%u\","
        " \"port\": %u}]}",
        service, address, 1000 + version);
}

static struct rg_edit_opts
edit_of(struct rg_rand *rand, const char *section, const char *id,
        const char *text)
{
    struct rg_edit_opts o = {
        .text = rg_str_of(text),
        .max_attempts = 6,
        .rand = rand,
    };

    rg_name_set(&o.section, rg_str_of(section));
    rg_name_set(&o.owner, rg_str_of("ops"));
    rg_name_set(&o.edit_id, rg_str_of(id));
    return o;
}

static enum rg_edit_status
run(struct fake_store *s, const struct rg_edit_opts *o, uint64_t *generation)
{
    RG_ERR_AUTO err = {0};
    struct rg_edit_result r;

    rg_edit_run(&s->base, o, &r, &err);
    enum rg_edit_status status = r.status;
    if (generation) {
        *generation = r.generation;
    }
    rg_edit_result_clear(&r);
    return status;
}

static enum rg_edit_status
edit(struct fake_store *s, const char *section, const char *id,
     const char *text)
{
    struct rg_rand rand = {.state = 1};
    struct rg_edit_opts o = edit_of(&rand, section, id, text);

    return run(s, &o, NULL);
}

/* Edits of different sections are accepted, one without a change is reported
 * as unchanged, and one that contradicts another section is invalid. */
static void
test_accepted(void)
{
    struct fake_store *s = fake_create(1);
    g_autofree char *a = section_text("a", 1, 1);
    g_autofree char *b = section_text("b", 2, 1);
    g_autofree char *clash = section_text("c", 1, 1);

    g_assert_cmpint(edit(s, "a", "e1", a), ==, RG_EDIT_ACCEPTED);
    g_assert_cmpint(edit(s, "b", "e2", b), ==, RG_EDIT_ACCEPTED);
    g_assert_cmpint(edit(s, "b", "e3", b), ==, RG_EDIT_UNCHANGED);
    /* The whole document is checked: section c has the address of a. */
    g_assert_cmpint(edit(s, "c", "e4", clash), ==, RG_EDIT_INVALID);
    fake_destroy(s);
}

/* A section can be edited by the team that owns it only. */
static void
test_other_team(void)
{
    struct fake_store *s = fake_create(1);
    struct rg_rand rand = {.state = 1};
    g_autofree char *a = section_text("a", 1, 1);
    g_autofree char *b = section_text("a", 1, 2);
    struct rg_edit_opts o = edit_of(&rand, "a", "e2", b);

    g_assert_cmpint(edit(s, "a", "e1", a), ==, RG_EDIT_ACCEPTED);
    rg_name_set(&o.owner, rg_str_of("others"));
    g_assert_cmpint(run(s, &o, NULL), ==, RG_EDIT_INVALID);
    fake_destroy(s);
}

/* An edit whose base is outdated, as after a pause of the tool, does not
 * overwrite a newer edit. */
static void
test_conflict(void)
{
    struct fake_store *s = fake_create(1);
    struct rg_rand rand = {.state = 1};
    g_autofree char *v1 = section_text("a", 1, 1);
    g_autofree char *v2 = section_text("a", 1, 2);
    g_autofree char *v3 = section_text("a", 1, 3);
    struct rg_edit_opts outdated = edit_of(&rand, "a", "late", v3);

    edit(s, "a", "e1", v1);
    rg_section_hash(&outdated.base, rg_str_of(v1));
    outdated.check_base = true;
    g_assert_cmpint(edit(s, "a", "e2", v2), ==, RG_EDIT_ACCEPTED);
    g_assert_cmpint(run(s, &outdated, NULL), ==, RG_EDIT_CONFLICT);
    fake_destroy(s);
}

static struct fake_store *race_store;
static int race_edits_left;

/* Before each call, another operator's edit is accepted. */
static void
race_edit(struct fake_store *s)
{
    char id[32];

    if (race_edits_left == 0 || s->down) {
        return;
    }
    race_edits_left--;
    s->before_call = NULL;
    g_snprintf(id, sizeof(id), "race%d", race_edits_left);
    g_autofree char *text = section_text("b", 2, (uint32_t)race_edits_left);
    g_assert_cmpint(edit(s, "b", id, text), ==, RG_EDIT_ACCEPTED);
    s->before_call = race_edit;
}

/* Edits of another section that move the head between the calls of an edit do
 * not make it fail. */
static void
test_race_of_sections(void)
{
    g_autofree char *a = section_text("a", 1, 1);

    race_store = fake_create(3);
    race_edits_left = 4;
    race_store->before_call = race_edit;
    g_assert_cmpint(edit(race_store, "a", "mine", a), ==, RG_EDIT_ACCEPTED);
    fake_destroy(race_store);
}

/* The store goes down at each step of an edit in turn: the reported status
 * agrees with the history or is unknown, and a retry with the same id makes
 * the edit once in all. */
static void
test_outage_at_each_step(void)
{
    for (uint32_t step = 1; step <= 12; step++) {
        struct fake_store *s = fake_create(step);
        g_autofree char *v1 = section_text("a", 1, 1);
        g_autofree char *v2 = section_text("a", 1, 2);
        struct rg_name id;
        uint64_t generation;

        edit(s, "a", "e1", v1);
        s->down_from = s->calls + step;
        enum rg_edit_status status = edit(s, "a", "e2", v2);
        fake_recover(s);
        rg_name_set(&id, rg_str_of("e2"));
        bool took_effect =
            rg_edit_find(&s->base, &id, &generation) == RG_EDIT_ACCEPTED;
        g_assert_true(status == RG_EDIT_UNKNOWN ||
                      (status == RG_EDIT_ACCEPTED) == took_effect);
        g_assert_cmpint(edit(s, "a", "e2", v2), !=, RG_EDIT_INVALID);
        rg_edit_find(&s->base, &id, &generation);
        g_assert_cmpuint(generation, ==, 2);
        fake_destroy(s);
    }
}

/* The head lists each generation once, no edit twice, and all `accepted`. */
static void
assert_history(struct fake_store *s, const char *const *accepted,
               uint32_t count)
{
    RG_ERR_AUTO err = {0};
    struct rg_document d;

    g_assert_cmpint(rg_document_read(&s->base, true, &d, &err), ==,
                    RG_STORE_OK);
    for (size_t i = 0; i < d.head.edits_count; i++) {
        g_assert_cmpuint(d.head.edits[i].generation, ==, i + 1);
        for (size_t k = 0; k < i; k++) {
            g_assert_false(
                rg_name_eq(&d.head.edits[i].edit, &d.head.edits[k].edit));
        }
    }
    for (uint32_t n = 0; n < count; n++) {
        bool found = false;
        for (size_t i = 0; i < d.head.edits_count; i++) {
            found |= strcmp(d.head.edits[i].edit.s, accepted[n]) == 0;
        }
        g_assert_true(found);
    }
    rg_document_clear(&d);
}

/* Random faults: an edit reported as accepted is in the history exactly once,
 * and one reported as not applied is not in it. */
static void
test_random_faults(void)
{
    for (uint64_t seed = 1; seed <= 300; seed++) {
        struct fake_store *s = fake_create(seed);
        struct rg_rand rand = {.state = seed};
        char *accepted[8];
        char *not_applied[8];
        uint32_t accepted_count = 0;
        uint32_t not_applied_count = 0;

        s->fault_percent = 30;
        for (uint32_t n = 0; n < 8; n++) {
            char *id = g_strdup_printf("edit%u", n);
            g_autofree char *text = section_text("a", 1, n);
            struct rg_edit_opts o = edit_of(&rand, "a", id, text);
            enum rg_edit_status status = run(s, &o, NULL);
            if (status == RG_EDIT_ACCEPTED) {
                accepted[accepted_count++] = id;
            }
            else if (status == RG_EDIT_NOT_APPLIED) {
                not_applied[not_applied_count++] = id;
            }
            else {
                g_assert_cmpint(status, ==, RG_EDIT_UNKNOWN);
                g_free(id);
            }
        }
        fake_recover(s);
        assert_history(s, (const char *const *)accepted, accepted_count);
        for (uint32_t n = 0; n < not_applied_count; n++) {
            struct rg_name id;
            uint64_t generation;
            rg_name_set(&id, rg_str_of(not_applied[n]));
            g_assert_cmpint(rg_edit_find(&s->base, &id, &generation), ==,
                            RG_EDIT_UNKNOWN);
            g_free(not_applied[n]);
        }
        for (uint32_t n = 0; n < accepted_count; n++) {
            g_free(accepted[n]);
        }
        fake_destroy(s);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/edit/accepted", test_accepted);
    g_test_add_func("/edit/other-team", test_other_team);
    g_test_add_func("/edit/conflict", test_conflict);
    g_test_add_func("/edit/race", test_race_of_sections);
    g_test_add_func("/edit/outage-at-each-step", test_outage_at_each_step);
    g_test_add_func("/edit/random-faults", test_random_faults);
    return g_test_run();
}
