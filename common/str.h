/* String views, and short names stored by value. */
#ifndef RG_COMMON_STR_H
#define RG_COMMON_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A borrowed view of bytes, not NUL-terminated. */
struct rg_str {
    const char *ptr;
    size_t len;
};

/* Longest name of a service, upstream, data centre or instance, in bytes. */
#define RG_NAME_MAX 63

/* A short name stored by value. It has a length and is NUL-terminated as well,
 * so that it can be printed with %s. */
struct rg_name {
    uint8_t len;
    char s[RG_NAME_MAX + 1];
};

/* View of a NUL-terminated string; NULL gives an empty view. */
struct rg_str rg_str_of(const char *s);

/* View of a stored name. */
struct rg_str rg_name_str(const struct rg_name *n);

bool rg_str_eq(struct rg_str a, struct rg_str b);
bool rg_name_eq(const struct rg_name *a, const struct rg_name *b);

/* Stores a view as a name. Returns false and stores an empty name if the view
 * is empty, longer than RG_NAME_MAX or has a byte outside [A-Za-z0-9._-]. */
bool rg_name_set(struct rg_name *n, struct rg_str s);

#endif
