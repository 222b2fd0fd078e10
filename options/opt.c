#include "options/opt.h"

#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

#define PATH_SIZE 256
#define JSON_DEPTH_MAX 16

struct loader {
    struct rg_err *err;
};

static void load_object(struct loader *l, const struct rg_opt_table *table,
                        void *out, struct json_object *o, const char *path);

static void *
member(void *obj, size_t offset)
{
    return (uint8_t *)obj + offset;
}

static void
join_path(char out[PATH_SIZE], const char *path, const char *key)
{
    snprintf(out, PATH_SIZE, "%s%s%s", path, *path ? "." : "", key);
}

static size_t
item_size(const struct rg_opt *row)
{
    switch (row->item) {
    case RG_OPT_TEXT:
        return sizeof(char *);
    case RG_OPT_NAME:
        return sizeof(struct rg_name);
    case RG_OPT_ADDR:
        return sizeof(struct rg_addr);
    default:
        return row->table->size;
    }
}

static void
load_number(struct loader *l, const struct rg_opt *row, void *out,
            struct json_object *o, const char *path)
{
    char expected[96];

    snprintf(expected, sizeof(expected), "an integer from %llu to %llu",
             (unsigned long long)row->min, (unsigned long long)row->max);
    bool negative =
        json_object_is_type(o, json_type_int) && json_object_get_int64(o) < 0;
    uint64_t value = json_object_get_uint64(o);
    if (!json_object_is_type(o, json_type_int) || negative ||
        value < row->min || value > row->max)
    {
        rg_err_add(l->err, path, expected, "%s",
                   json_object_to_json_string(o));
        return;
    }
    if (row->type == RG_OPT_U64) {
        memcpy(out, &value, sizeof(value));
        return;
    }
    uint32_t value32 = (uint32_t)value;
    memcpy(out, &value32, sizeof(value32));
}

static void
load_duration(struct loader *l, const struct rg_opt *row, void *out,
              struct json_object *o, const char *path)
{
    double unit_ms = row->type == RG_OPT_MILLIS ? 1 : 1000;
    double ms = ceil(json_object_get_double(o) * unit_ms);
    char expected[96];

    if ((json_object_is_type(o, json_type_int) ||
         json_object_is_type(o, json_type_double)) &&
        ms >= 0 && ms <= (double)row->max)
    {
        uint32_t value32 = (uint32_t)ms;
        memcpy(out, &value32, sizeof(value32));
        return;
    }
    snprintf(expected, sizeof(expected), "a number from 0 to %.15g",
             (double)row->max / unit_ms);
    rg_err_add(l->err, path, expected, "%s", json_object_to_json_string(o));
}

static void
load_choice(struct loader *l, const struct rg_opt *row, void *out,
            struct json_object *o, const char *path)
{
    char expected[160] = "one of";
    const char *choice = json_object_get_string(o);

    for (uint32_t i = 0; row->choices[i]; i++) {
        if (json_object_is_type(o, json_type_string) &&
            strcmp(choice, row->choices[i]) == 0)
        {
            memcpy(out, &i, sizeof(i));
            return;
        }
        size_t len = strlen(expected);
        snprintf(expected + len, sizeof(expected) - len, " %s",
                 row->choices[i]);
    }
    rg_err_add(l->err, path, expected, "%s", json_object_to_json_string(o));
}

static bool
store_text(enum rg_opt_type type, void *out, struct rg_str text)
{
    switch (type) {
    case RG_OPT_TEXT: {
        char *copy = rg_strndup(text.ptr, text.len);
        memcpy(out, &copy, sizeof(copy));
        return true;
    }
    case RG_OPT_NAME:
        return rg_name_set(out, text);
    case RG_OPT_ADDR:
        return rg_addr_parse(out, text.ptr);
    default:
        return rg_ip_parse(out, text.ptr);
    }
}

static const char *
text_expected(enum rg_opt_type type)
{
    switch (type) {
    case RG_OPT_NAME:
        return "a name of 1 to 63 letters, digits, '.', '_' or '-'";
    case RG_OPT_ADDR:
        return "an address like \"1.2.3.4:80\" or \"[::1]:80\"";
    case RG_OPT_IP:
        return "an IP address";
    default:
        return "a string";
    }
}

static void
load_text(struct loader *l, enum rg_opt_type type, void *out,
          struct json_object *o, const char *path)
{
    if (json_object_is_type(o, json_type_string)) {
        struct rg_str text = {
            .ptr = json_object_get_string(o),
            .len = (size_t)json_object_get_string_len(o),
        };
        if (strlen(text.ptr) == text.len && store_text(type, out, text)) {
            return;
        }
    }
    rg_err_add(l->err, path, text_expected(type), "%s",
               json_object_to_json_string(o));
}

static void
load_list(struct loader *l, const struct rg_opt *row, void *obj,
          struct json_object *o, const char *path)
{
    size_t size = item_size(row);
    char at[PATH_SIZE];
    char expected[64];

    size_t count = json_object_is_type(o, json_type_array)
                       ? json_object_array_length(o)
                       : 0;
    snprintf(expected, sizeof(expected), "a list of at most %llu items",
             (unsigned long long)row->max);
    if (!json_object_is_type(o, json_type_array)) {
        rg_err_add(l->err, path, expected, "%s",
                   json_object_to_json_string(o));
        return;
    }
    if (count > row->max) {
        rg_err_add(l->err, path, expected, "%zu items", count);
        return;
    }
    uint8_t *items = rg_calloc(count, size);
    memcpy(member(obj, row->offset), &items, sizeof(items));
    memcpy(member(obj, row->count_offset), &count, sizeof(count));
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(o, i);
        snprintf(at, sizeof(at), "%s[%zu]", path, i);
        if (row->item == RG_OPT_OBJECT) {
            load_object(l, row->table, items + i * size, item, at);
        }
        else {
            load_text(l, row->item, items + i * size, item, at);
        }
    }
}

static void
load_row(struct loader *l, const struct rg_opt *row, void *obj,
         struct json_object *o, const char *path)
{
    void *out = member(obj, row->offset);

    switch (row->type) {
    case RG_OPT_U32:
    case RG_OPT_U64:
        load_number(l, row, out, o, path);
        break;
    case RG_OPT_SECONDS:
    case RG_OPT_MILLIS:
    case RG_OPT_THOUSANDTHS:
        load_duration(l, row, out, o, path);
        break;
    case RG_OPT_CHOICE:
        load_choice(l, row, out, o, path);
        break;
    case RG_OPT_OBJECT:
        load_object(l, row->table, out, o, path);
        break;
    case RG_OPT_LIST:
        load_list(l, row, obj, o, path);
        break;
    default:
        load_text(l, row->type, out, o, path);
        break;
    }
}

static void
load_default(struct loader *l, const struct rg_opt *row, void *obj,
             const char *path)
{
    void *out = member(obj, row->offset);
    uint32_t value32 = (uint32_t)row->fallback;

    switch (row->type) {
    case RG_OPT_U32:
    case RG_OPT_SECONDS:
    case RG_OPT_MILLIS:
    case RG_OPT_THOUSANDTHS:
    case RG_OPT_CHOICE:
        memcpy(out, &value32, sizeof(value32));
        break;
    case RG_OPT_U64:
        memcpy(out, &row->fallback, sizeof(row->fallback));
        break;
    case RG_OPT_TEXT:
        store_text(RG_OPT_TEXT, out, rg_str_of(""));
        break;
    case RG_OPT_OBJECT:
        load_object(l, row->table, out, NULL, path);
        break;
    default:
        break;
    }
}

static bool
is_known_key(const struct rg_opt_table *table, const char *key)
{
    for (size_t i = 0; i < table->count; i++) {
        if (strcmp(table->rows[i].key, key) == 0) {
            return true;
        }
    }
    return false;
}

static void
report_unknown_keys(struct loader *l, const struct rg_opt_table *table,
                    struct json_object *o, const char *path)
{
    char at[PATH_SIZE];

    json_object_object_foreach(o, key, value)
    {
        (void)value;
        if (!is_known_key(table, key)) {
            join_path(at, path, key);
            rg_err_add(l->err, at, "a known key", "an unknown key");
        }
    }
}

/* `o` is NULL if the input leaves the object out: its members get their
 * defaults. */
static void
load_object(struct loader *l, const struct rg_opt_table *table, void *out,
            struct json_object *o, const char *path)
{
    char at[PATH_SIZE];

    if (o && !json_object_is_type(o, json_type_object)) {
        rg_err_add(l->err, *path ? path : "(top)", "an object", "%s",
                   json_object_to_json_string(o));
        return;
    }
    if (o) {
        report_unknown_keys(l, table, o, path);
    }
    for (size_t i = 0; i < table->count; i++) {
        const struct rg_opt *row = &table->rows[i];
        struct json_object *value;
        join_path(at, path, row->key);
        if (o && json_object_object_get_ex(o, row->key, &value)) {
            load_row(l, row, out, value, at);
            continue;
        }
        if (row->required) {
            rg_err_add(l->err, at, "a value", "no value");
        }
        load_default(l, row, out, at);
    }
}

static void
report_syntax(struct loader *l, struct rg_str text, size_t end,
              enum json_tokener_error code)
{
    char location[32];
    unsigned line = 1;

    for (size_t i = 0; i < end && i < text.len; i++) {
        line += text.ptr[i] == '\n';
    }
    snprintf(location, sizeof(location), "line %u", line);
    rg_err_add(l->err, location, "JSON with comments", "%s",
               json_tokener_error_desc(code));
}

static bool
is_blank_from(struct rg_str text, size_t from)
{
    for (size_t i = from; i < text.len; i++) {
        if (!strchr(" \t\r\n", text.ptr[i]) || text.ptr[i] == '\0') {
            return false;
        }
    }
    return true;
}

bool
rg_opt_load(const struct rg_opt_table *table, void *out, struct rg_str text,
            struct rg_err *err)
{
    struct loader l = {.err = err};
    size_t before = err->count;
    struct json_tokener *tok = json_tokener_new_ex(JSON_DEPTH_MAX);

    memset(out, 0, table->size);
    if (!text.ptr) {
        text = rg_str_of("");
    }
    struct json_object *o =
        json_tokener_parse_ex(tok, text.ptr, (int)text.len);
    enum json_tokener_error code = json_tokener_get_error(tok);
    size_t end = json_tokener_get_parse_end(tok);
    if (code != json_tokener_success) {
        report_syntax(&l, text, end, code);
    }
    else if (!is_blank_from(text, end)) {
        report_syntax(&l, text, end, json_tokener_error_parse_unexpected);
    }
    else if (!o) {
        rg_err_add(err, "(top)", "an object", "null");
    }
    else {
        load_object(&l, table, out, o, "");
    }
    json_object_put(o);
    json_tokener_free(tok);
    return err->count == before;
}

static void
clear_list(const struct rg_opt *row, void *obj)
{
    uint8_t *items;
    size_t count;

    memcpy(&items, member(obj, row->offset), sizeof(items));
    memcpy(&count, member(obj, row->count_offset), sizeof(count));
    for (size_t i = 0; i < count; i++) {
        if (row->item == RG_OPT_OBJECT) {
            rg_opt_clear(row->table, items + i * row->table->size);
        }
        else if (row->item == RG_OPT_TEXT) {
            rg_auto_free(items + i * sizeof(char *));
        }
    }
    free(items);
}

void
rg_opt_clear(const struct rg_opt_table *table, void *obj)
{
    for (size_t i = 0; i < table->count; i++) {
        const struct rg_opt *row = &table->rows[i];
        switch (row->type) {
        case RG_OPT_TEXT:
            rg_auto_free(member(obj, row->offset));
            break;
        case RG_OPT_OBJECT:
            rg_opt_clear(row->table, member(obj, row->offset));
            break;
        case RG_OPT_LIST:
            clear_list(row, obj);
            break;
        default:
            break;
        }
    }
    memset(obj, 0, table->size);
}
