#include "common/mem.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *
abort_if_null(void *p)
{
    if (!p) {
        fputs("out of memory\n", stderr);
        abort();
    }
    return p;
}

void *
rg_calloc(size_t count, size_t size)
{
    return abort_if_null(calloc(count ? count : 1, size ? size : 1));
}

void *
rg_realloc(void *p, size_t size)
{
    return abort_if_null(realloc(p, size ? size : 1));
}

char *
rg_strdup(const char *s)
{
    return abort_if_null(strdup(s));
}

char *
rg_strndup(const char *s, size_t len)
{
    return abort_if_null(strndup(s, len));
}

void
rg_auto_free(void *p)
{
    void *ptr;

    memcpy(&ptr, p, sizeof(ptr));
    free(ptr);
}
