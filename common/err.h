/* Lists of errors: all errors of an input are collected with their location,
 * so that they can be reported together. */
#ifndef RG_COMMON_ERR_H
#define RG_COMMON_ERR_H

#include <stdbool.h>
#include <stddef.h>

/* One error in an input. The strings are owned by the rg_err. */
struct rg_err_entry {
    char *location; /* file:line, or a path such as services[2].port */
    char *expected; /* what would have been accepted */
    char *found;    /* what the input has instead */
};

/* A list of errors, passed down by the caller. Zero-initialise it; release it
 * with rg_err_clear(). Not thread-safe. */
struct rg_err {
    struct rg_err_entry *entries; /* the first errors; see rg_err_add() */
    size_t count;                 /* all errors, also those without an entry */
    const char *file; /* borrowed; printed before every location if set */
};

/* Adds an error. `found` is a printf format. Only the first 200 errors get an
 * entry, further ones are counted, so that a hostile input cannot use up
 * memory. */
void rg_err_add(struct rg_err *e, const char *location, const char *expected,
                const char *found, ...) __attribute__((format(printf, 4, 5)));

bool rg_err_has(const struct rg_err *e);

/* Formats all errors, one per line: "location: expected X, found Y". Never
 * NULL; the caller frees it. */
char *rg_err_format(const struct rg_err *e);

void rg_err_clear(struct rg_err *e);

/* Clears the list when it goes out of scope. */
#define RG_ERR_AUTO __attribute__((cleanup(rg_err_clear))) struct rg_err

#endif
