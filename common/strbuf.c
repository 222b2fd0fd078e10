#include "common/strbuf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/mem.h"

#define CAPACITY_MIN 256

char *
rg_strbuf_reserve(struct rg_strbuf *sb, size_t size)
{
    if (sb->len + size + 1 > sb->capacity) {
        size_t capacity = sb->capacity ? sb->capacity : CAPACITY_MIN;
        while (capacity < sb->len + size + 1) {
            capacity *= 2;
        }
        sb->s = rg_realloc(sb->s, capacity);
        sb->capacity = capacity;
    }
    return sb->s + sb->len;
}

void
rg_strbuf_printf(struct rg_strbuf *sb, const char *format, ...)
{
    va_list ap;
    char *end = rg_strbuf_reserve(sb, CAPACITY_MIN / 2);

    va_start(ap, format);
    int len = vsnprintf(end, sb->capacity - sb->len, format, ap);
    va_end(ap);
    if (len < 0) {
        return;
    }
    if ((size_t)len >= sb->capacity - sb->len) {
        end = rg_strbuf_reserve(sb, (size_t)len);
        va_start(ap, format);
        vsnprintf(end, (size_t)len + 1, format, ap);
        va_end(ap);
    }
    sb->len += (size_t)len;
}

void
rg_strbuf_clear(struct rg_strbuf *sb)
{
    free(sb->s);
    *sb = (struct rg_strbuf){0};
}
