/* A growing string buffer. */
#ifndef RG_COMMON_STRBUF_H
#define RG_COMMON_STRBUF_H

#include <stddef.h>

/* Zero-initialise it; release it with rg_strbuf_clear(). */
struct rg_strbuf {
    char *s; /* NUL-terminated text, NULL before anything is added */
    size_t len;
    size_t capacity;
};

/* Appends formatted text. */
void rg_strbuf_printf(struct rg_strbuf *sb, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Makes room for `size` more bytes and a terminating NUL. Returns the end of
 * the text; the caller writes there and adds to `len`. */
char *rg_strbuf_reserve(struct rg_strbuf *sb, size_t size);

void rg_strbuf_clear(struct rg_strbuf *sb);

/* Clears the buffer when it goes out of scope. */
#define RG_STRBUF_AUTO                                                        \
    __attribute__((cleanup(rg_strbuf_clear))) struct rg_strbuf

#endif
