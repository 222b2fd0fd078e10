/* The operator: writes configurations. */
#include <string.h>

#include "sim.h"

#define CONFIG_MAX 65536
#define DOWNLOAD_MS 3000

/* Downloads are idempotent, too, and have the longest time budgets. */
static const char *
type_of(const struct route *r)
{
    if (!r->safe) {
        return "unsafe";
    }
    return r->budget_ms >= DOWNLOAD_MS ? "download" : "safe";
}

void
operator_put_config(struct sim *s)
{
    static char text[CONFIG_MAX];
    size_t len;
    int rows = 0;

    s->version += 1 + sim_random(s) % 3;
    len =
        (size_t)snprintf(text, sizeof(text), "{\"Version\":%llu,\"Routes\":[",
                         (unsigned long long)s->version);
    for (int i = 0; i < s->route_count; i++) {
        const struct route *r = &s->routes[i];
        if (!r->present) {
            continue;
        }
        len += (size_t)snprintf(
            text + len, sizeof(text) - len,
            "%s{\"Name\":\"route-%d\",\"Host\":\"%u.%u.%u.%u\","
            "\"Prefix\":\"/%u/\",\"RouteType\":\"%s\",\"Service\":\"%s\","
            "\"TimeoutMs\":%u,\"TargetLatencyMs\":150,\"Priority\":1,"
            "\"MaxAttempts\":1}",
            rows++ ? "," : "", i, r->ip >> 24, r->ip >> 16 & 255,
            r->ip >> 8 & 255, r->ip & 255, r->port, type_of(r), r->service,
            r->budget_ms);
    }
    len += (size_t)snprintf(
        text + len, sizeof(text) - len,
        "],\"Services\":[{\"Name\":\"tienda\",\"HealthPath\":\"/health\"},"
        "{\"Name\":\"galeria\",\"HealthPath\":\"/health\"}],"
        "\"Limits\":{\"IdleTimeoutMs\":12000}}");
    store_put(s, "op/config", text, len);
    sim_note(s, "operator: version %llu", (unsigned long long)s->version);
}
