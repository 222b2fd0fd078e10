#include "common/netlist.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

#define V4_MAPPED_PREFIX_BITS 96

bool
rg_network_parse(struct rg_network *n, const char *text)
{
    char host[RG_ADDR_STR_MAX];
    const char *slash = strchr(text, '/');
    char *end;

    if (!slash || (size_t)(slash - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(slash - text));
    host[slash - text] = '\0';
    unsigned long bits = strtoul(slash + 1, &end, 10);
    if (end == slash + 1 || *end != '\0' || !rg_ip_parse(n->ip, host)) {
        return false;
    }
    unsigned base = rg_ip_is_v4(n->ip) ? V4_MAPPED_PREFIX_BITS : 0;
    n->bits = base + (unsigned)bits;
    return bits <= RG_IP_LEN * 8 - base;
}

void
rg_netlist_init(struct rg_netlist *l, char *const *texts, size_t count)
{
    l->items = rg_calloc(count, sizeof(*l->items));
    l->count = 0;
    for (size_t i = 0; i < count; i++) {
        l->count += rg_network_parse(&l->items[l->count], texts[i]);
    }
}

void
rg_netlist_release(struct rg_netlist *l)
{
    free(l->items);
    memset(l, 0, sizeof(*l));
}

static bool
network_contains(const struct rg_network *n, const uint8_t *ip)
{
    unsigned whole = n->bits / 8;
    unsigned rest = n->bits % 8;

    if (memcmp(n->ip, ip, whole) != 0) {
        return false;
    }
    return rest == 0 || ((n->ip[whole] ^ ip[whole]) >> (8 - rest)) == 0;
}

bool
rg_netlist_allows(const struct rg_netlist *l, const struct rg_addr *a)
{
    for (size_t i = 0; i < l->count; i++) {
        if (network_contains(&l->items[i], a->ip)) {
            return true;
        }
    }
    return l->count == 0;
}
