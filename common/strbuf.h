/* Growing text, built by printf. */
#ifndef RG_COMMON_TEXT_H
#define RG_COMMON_TEXT_H

#include <stddef.h>

/* Zero-initialise it; release it with rg_strbuf_clear(). */
struct rg_strbuf {
    char *s; /* terminated once something was added */
    size_t len;
    size_t room;
};

void rg_strbuf_printf(struct rg_strbuf *t, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Room for `size` more bytes and a terminator behind what is there. */
char *rg_strbuf_reserve(struct rg_strbuf *t, size_t size);

void rg_strbuf_clear(struct rg_strbuf *t);

/* Clears the text when it goes out of scope. */
#define RG_STRBUF_AUTO                                                        \
    __attribute__((cleanup(rg_strbuf_clear))) struct rg_strbuf

#endif
