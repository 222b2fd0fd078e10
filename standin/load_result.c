#include "standin/load_result.h"

#include <json-c/json.h>
#include <stddef.h>

struct field {
    const char *name;
    size_t offset;
};

#define FIELD(name)                                                           \
    {                                                                         \
#name, offsetof(struct sd_load_result, name)                          \
    }

static const struct field caller_fields[] = {
    FIELD(flows),       FIELD(opened),         FIELD(answered),
    FIELD(broken),      FIELD(refused),        FIELD(unanswered),
    FIELD(wrong),       FIELD(false_refusals), FIELD(unsure_refusals),
    FIELD(wait_p50_ms), FIELD(wait_p99_ms),    {0},
};

static const struct field upstream_fields[] = {
    FIELD(requests), FIELD(repeated),   FIELD(misrouted), FIELD(strays),
    FIELD(bad),      FIELD(late_opens), FIELD(imbalance), {0},
};

static void
take(struct sd_load_result *out, const struct field *fields, const char *text)
{
    struct json_object *o = json_tokener_parse(text);

    for (const struct field *f = fields; f->name; f++) {
        struct json_object *v;
        double *to = (double *)(void *)((char *)out + f->offset);
        *to = o && json_object_object_get_ex(o, f->name, &v)
                  ? json_object_get_double(v)
                  : -1;
    }
    json_object_put(o);
}

void
sd_load_result_parse_callers(struct sd_load_result *out, const char *text)
{
    take(out, caller_fields, text);
}

void
sd_load_result_parse_upstreams(struct sd_load_result *out, const char *text)
{
    take(out, upstream_fields, text);
}
