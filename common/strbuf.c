#include "common/strbuf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/mem.h"

#define ROOM_MIN 256

char *
rg_strbuf_reserve(struct rg_strbuf *t, size_t size)
{
    if (t->len + size + 1 > t->room) {
        size_t room = t->room ? t->room : ROOM_MIN;
        while (room < t->len + size + 1) {
            room *= 2;
        }
        t->s = rg_realloc(t->s, room);
        t->room = room;
    }
    return t->s + t->len;
}

void
rg_strbuf_printf(struct rg_strbuf *t, const char *format, ...)
{
    va_list ap;
    char *at = rg_strbuf_reserve(t, ROOM_MIN / 2);

    va_start(ap, format);
    int len = vsnprintf(at, t->room - t->len, format, ap);
    va_end(ap);
    if (len < 0) {
        return;
    }
    if ((size_t)len >= t->room - t->len) {
        at = rg_strbuf_reserve(t, (size_t)len);
        va_start(ap, format);
        vsnprintf(at, (size_t)len + 1, format, ap);
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
