/* Memory allocation that aborts the process when it fails, and automatic
 * release of variables. */
#ifndef RG_COMMON_MEM_H
#define RG_COMMON_MEM_H

#include <stddef.h>

/* Allocates zeroed memory for one object or an array; never NULL. A count or
 * size of 0 is taken as 1. */
void *rg_calloc(size_t count, size_t size) __attribute__((returns_nonnull));
void *rg_realloc(void *p, size_t size) __attribute__((returns_nonnull));
char *rg_strdup(const char *s) __attribute__((returns_nonnull));
char *rg_strndup(const char *s, size_t len) __attribute__((returns_nonnull));

/* Frees the pointer that `p` points to. */
void rg_auto_free(void *p);

/* Frees a pointer variable when it goes out of scope. */
#define RG_AUTO_FREE __attribute__((cleanup(rg_auto_free)))

#endif
