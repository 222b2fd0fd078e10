#include "edge/settings.h"

#include <string.h>

#include "balance/token.h"
#include "common/mem.h"
#include "options/settings.h"

bool
rg_edge_settings_load(struct rg_edge *out, const char *path, uint32_t *hash,
                      struct rg_err *err)
{
    size_t len;
    RG_AUTO_FREE char *text = rg_read_file(path, &len, err);

    memset(out, 0, sizeof(*out));
    if (!text) {
        return false;
    }
    *hash = rg_token_of((struct rg_str){text, len}, 0);
    return rg_opt_load(&rg_edge_options, out, (struct rg_str){text, len}, err);
}

uint32_t
rg_edge_max_staleness_ms(const struct rg_edge *settings)
{
    uint32_t bound_ms = settings->drain_ms < settings->apply_ms
                            ? settings->drain_ms
                            : settings->apply_ms;

    return settings->evacuate_ms < bound_ms ? settings->evacuate_ms : bound_ms;
}
