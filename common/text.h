/* Growing text, built by printf. */
#ifndef RG_COMMON_TEXT_H
#define RG_COMMON_TEXT_H

#include <stddef.h>

/* Zero-initialise it; release it with rg_text_clear(). */
struct rg_text {
    char *s; /* terminated once something was added */
    size_t len;
    size_t room;
};

void rg_text_add(struct rg_text *t, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Room for `size` more bytes and a terminator behind what is there. */
char *rg_text_reserve(struct rg_text *t, size_t size);

void rg_text_clear(struct rg_text *t);

/* Clears the text when it goes out of scope. */
#define RG_TEXT_AUTO __attribute__((cleanup(rg_text_clear))) struct rg_text

#endif
