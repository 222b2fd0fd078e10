#include "common/err.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

/* Further errors are only counted. */
#define ENTRIES_MAX 200
#define FOUND_TEXT_MAX 256

void
rg_err_add(struct rg_err *e, const char *location, const char *expected,
           const char *found, ...)
{
    char text[FOUND_TEXT_MAX];
    va_list ap;

    e->count++;
    if (e->count > ENTRIES_MAX) {
        return;
    }
    va_start(ap, found);
    vsnprintf(text, sizeof(text), found, ap);
    va_end(ap);
    e->entries = rg_realloc(e->entries, e->count * sizeof(*e->entries));
    struct rg_err_entry *entry = &e->entries[e->count - 1];
    entry->location = rg_strdup(location);
    entry->expected = rg_strdup(expected);
    entry->found = rg_strdup(text);
}

bool
rg_err_has(const struct rg_err *e)
{
    return e->count > 0;
}

char *
rg_err_format(const struct rg_err *e)
{
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);

    if (!out) {
        return rg_strdup("out of memory");
    }
    size_t entries = e->count < ENTRIES_MAX ? e->count : ENTRIES_MAX;
    for (size_t i = 0; i < entries; i++) {
        const struct rg_err_entry *entry = &e->entries[i];
        fprintf(out, "%s%s%s: expected %s, found %s\n", e->file ? e->file : "",
                e->file ? ": " : "", entry->location, entry->expected,
                entry->found);
    }
    if (e->count > entries) {
        fprintf(out, "and %zu more errors\n", e->count - entries);
    }
    fclose(out);
    return text;
}

void
rg_err_clear(struct rg_err *e)
{
    size_t entries = e->count < ENTRIES_MAX ? e->count : ENTRIES_MAX;

    for (size_t i = 0; i < entries; i++) {
        free(e->entries[i].location);
        free(e->entries[i].expected);
        free(e->entries[i].found);
    }
    free(e->entries);
    e->entries = NULL;
    e->count = 0;
}
