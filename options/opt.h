/* Option tables: loading C structs from JSON with comments.
 *
 * A table describes the members of a struct. rg_opt_load() fills and checks
 * any struct by its table. The tables are generated from schema/ by
 * tools/generate.py. */
#ifndef RG_OPTIONS_OPT_H
#define RG_OPTIONS_OPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/addr.h"
#include "common/err.h"
#include "common/str.h"

enum rg_opt_type {
    RG_OPT_U32,
    RG_OPT_U64,
    /* Times in seconds or milliseconds, stored as milliseconds in a uint32_t.
     * Fractions are allowed and rounded up to a whole millisecond. */
    RG_OPT_SECONDS,
    RG_OPT_MILLIS,
    /* A number, stored in thousandths like seconds. */
    RG_OPT_THOUSANDTHS,
    RG_OPT_TEXT,   /* char *, owned */
    RG_OPT_NAME,   /* struct rg_name */
    RG_OPT_ADDR,   /* struct rg_addr, "ip:port" */
    RG_OPT_IP,     /* uint8_t[RG_IP_LEN] */
    RG_OPT_CHOICE, /* one of some strings, as the uint32_t index */
    RG_OPT_OBJECT, /* nested struct */
    RG_OPT_LIST,   /* pointer and size_t count, owned */
};

struct rg_opt_table;

/* Describes one member of a struct. */
struct rg_opt {
    const char *key;
    enum rg_opt_type type;
    enum rg_opt_type item; /* type of the items of a list */
    bool required;
    size_t offset;                    /* of the member in the struct */
    size_t count_offset;              /* of the member with a list's length */
    uint64_t min;                     /* of a number */
    uint64_t max;                     /* of a number, or of a list's length */
    uint64_t fallback;                /* default value of a number or choice */
    const char *const *choices;       /* ends with NULL */
    const struct rg_opt_table *table; /* of an object or a list's objects */
};

struct rg_opt_table {
    const char *name;
    const struct rg_opt *rows;
    size_t count;
    size_t size; /* of the struct */
};

/* Fills `out`, which is zeroed first, from JSON text with comments. All errors
 * go into `err` with their path (services[2].port), or with their line if the
 * text is not valid JSON; an error does not end the check. Returns true if
 * there were none. Release `out` with rg_opt_clear() in either case. */
bool rg_opt_load(const struct rg_opt_table *table, void *out,
                 struct rg_str text, struct rg_err *err);

/* Frees the members that a struct owns and zeroes it. */
void rg_opt_clear(const struct rg_opt_table *table, void *obj);

#endif
