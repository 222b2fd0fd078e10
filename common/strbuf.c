#include "common/strbuf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/mem.h"

#define CAPACITY_MIN 256

char *
rg_strbuf_reserve(struct rg_strbuf *t, size_t size)
{
    if (t->len + size + 1 > t->capacity) {
        size_t capacity = t->capacity ? t->capacity : CAPACITY_MIN;
        while (capacity < t->len + size + 1) {
            capacity *= 2;
        }
        t->s = rg_realloc(t->s, capacity);
        t->capacity = capacity;
    }
    return t->s + t->len;
}

void
rg_strbuf_printf(struct rg_strbuf *t, const char *format, ...)
{
    va_list ap;
    char *end = rg_strbuf_reserve(t, CAPACITY_MIN / 2);

    va_start(ap, format);
    int len = vsnprintf(end, t->capacity - t->len, format, ap);
    va_end(ap);
    if (len < 0) {
        return;
    }
    if ((size_t)len >= t->capacity - t->len) {
        end = rg_strbuf_reserve(t, (size_t)len);
        va_start(ap, format);
        vsnprintf(end, (size_t)len + 1, format, ap);
        va_end(ap);
    }
    t->len += (size_t)len;
}

void
rg_strbuf_clear(struct rg_strbuf *t)
{
    free(t->s);
    *t = (struct rg_strbuf){0};
}
