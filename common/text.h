/* A growing string buffer. */
#ifndef RG_COMMON_TEXT_H
#define RG_COMMON_TEXT_H

#include <stddef.h>

/* Zero-initialise it; release it with rg_text_clear(). */
struct rg_text {
    char *s; /* NUL-terminated text, NULL before anything is added */
    size_t len;
    size_t capacity;
};

/* Appends formatted text. */
void rg_text_add(struct rg_text *t, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Makes room for `size` more bytes and a terminating NUL. Returns the end of
 * the text; the caller writes there and adds to `len`. */
char *rg_text_reserve(struct rg_text *t, size_t size);

void rg_text_clear(struct rg_text *t);

/* Clears the buffer when it goes out of scope. */
#define RG_TEXT_AUTO __attribute__((cleanup(rg_text_clear))) struct rg_text

#endif
