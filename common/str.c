#include "common/str.h"

#include <ctype.h>
#include <string.h>

static bool
is_name_char(char c)
{
    return isalnum((unsigned char)c) || c == '.' || c == '_' || c == '-';
}

struct rg_str
rg_str_of(const char *s)
{
    return (struct rg_str){.ptr = s, .len = s ? strlen(s) : 0};
}

struct rg_str
rg_name_str(const struct rg_name *n)
{
    return (struct rg_str){.ptr = n->s, .len = n->len};
}

bool
rg_str_eq(struct rg_str a, struct rg_str b)
{
    return a.len == b.len && (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

bool
rg_name_eq(const struct rg_name *a, const struct rg_name *b)
{
    return rg_str_eq(rg_name_str(a), rg_name_str(b));
}

bool
rg_name_set(struct rg_name *n, struct rg_str s)
{
    memset(n, 0, sizeof(*n));
    if (s.len == 0 || s.len > RG_NAME_MAX) {
        return false;
    }
    for (size_t i = 0; i < s.len; i++) {
        if (!is_name_char(s.ptr[i])) {
            return false;
        }
    }
    memcpy(n->s, s.ptr, s.len);
    n->len = (uint8_t)s.len;
    return true;
}
