#include "common/err.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

/* Findings kept with their text. */
#define ERR_KEPT_MAX 200
#define ERR_TEXT_MAX 256

void
rg_err_add(struct rg_err *e, const char *place, const char *expected,
           const char *found, ...)
{
    char text[ERR_TEXT_MAX];
    va_list ap;

    e->count++;
    if (e->count > ERR_KEPT_MAX) {
        return;
    }
    va_start(ap, found);
    vsnprintf(text, sizeof(text), found, ap);
    va_end(ap);
    e->findings = rg_realloc(e->findings, e->count * sizeof(*e->findings));
    struct rg_err_entry *f = &e->findings[e->count - 1];
    f->place = rg_strdup(place);
    f->expected = rg_strdup(expected);
    f->found = rg_strdup(text);
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
    size_t kept = e->count < ERR_KEPT_MAX ? e->count : ERR_KEPT_MAX;
    for (size_t i = 0; i < kept; i++) {
        const struct rg_err_entry *f = &e->findings[i];
        fprintf(out, "%s%s%s: expected %s, found %s\n", e->file ? e->file : "",
                e->file ? ": " : "", f->place, f->expected, f->found);
    }
    if (e->count > kept) {
        fprintf(out, "and %zu more\n", e->count - kept);
    }
    fclose(out);
    return text;
}

void
rg_err_clear(struct rg_err *e)
{
    size_t kept = e->count < ERR_KEPT_MAX ? e->count : ERR_KEPT_MAX;

    for (size_t i = 0; i < kept; i++) {
        free(e->findings[i].place);
        free(e->findings[i].expected);
        free(e->findings[i].found);
    }
    free(e->findings);
    e->findings = NULL;
    e->count = 0;
}
