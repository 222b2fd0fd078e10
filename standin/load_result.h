/* What callers and upstreams saw of a load, from the JSON they print. */
#ifndef RG_STANDIN_OUTCOME_H
#define RG_STANDIN_OUTCOME_H

/* Counts; -1 for what was not told. */
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
