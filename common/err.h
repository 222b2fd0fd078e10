/* Findings: errors collected with their place and reported together. */
#ifndef RG_COMMON_ERR_H
#define RG_COMMON_ERR_H

#include <stdbool.h>
#include <stddef.h>

/* One thing wrong with an input. Strings are owned by the rg_err. */
struct rg_err_entry {
    char *place;    /* file:line, or a path such as services[2].port */
    char *expected; /* what would have been accepted */
    char *found;    /* what stood there */
};

/* A collector, passed down by the caller. Zero-initialise it; release it with
 * rg_err_clear(). Not thread-safe: one task owns it. */
struct rg_err {
    struct rg_err_entry *findings;
    size_t count;
    const char *file; /* borrowed; printed before every place if set */
};

/* Adds a finding. `found` is a printf format. Findings past an internal bound
 * are counted but their text is dropped, so that a hostile input cannot use
 * up memory. */
void rg_err_add(struct rg_err *e, const char *place, const char *expected,
                const char *found, ...) __attribute__((format(printf, 4, 5)));

bool rg_err_has(const struct rg_err *e);

/* All findings, one a line: "place: expected X, found Y". The caller frees
 * the text. Never NULL. */
char *rg_err_format(const struct rg_err *e);

void rg_err_clear(struct rg_err *e);

/* Clears the collector when it goes out of scope. */
#define RG_ERR_AUTO __attribute__((cleanup(rg_err_clear))) struct rg_err

#endif
