/* Results of a load run, parsed from the JSON that callers and upstreams
 * print. */
#ifndef RG_STANDIN_LOAD_RESULT_H
#define RG_STANDIN_LOAD_RESULT_H

/* Members are named as in the JSON; callers_stats.h explains those of the
 * callers. A member that is missing in the JSON is -1. */
struct sd_load_result {
    double flows, opened, answered, broken, refused, unanswered, wrong;
    double false_refusals, unsure_refusals, wait_p50_ms, wait_p99_ms;
    double requests, repeated, misrouted, strays, bad, late_opens, imbalance;
};

void sd_load_result_parse_callers(struct sd_load_result *out,
                                  const char *text);
void sd_load_result_parse_upstreams(struct sd_load_result *out,
                                    const char *text);

#endif
