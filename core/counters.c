#include "core/counters.h"

const struct rg_counter_info rg_counter_infos[] = {
#define X(member, help) {#member, help, offsetof(struct rg_counters, member)},
    RG_COUNTERS(X)
#undef X
};

const size_t rg_counter_info_count =
    sizeof(rg_counter_infos) / sizeof(rg_counter_infos[0]);
