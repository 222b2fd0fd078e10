/* Declarative option tables over JSON with comments.
 *
 * A table describes the members of a C struct; one function fills and checks
 * any struct from its table. Tables are generated from schema/. */
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
    RG_OPT_SECONDS, /* uint32_t of milliseconds; a number of seconds */
    RG_OPT_MILLIS,  /* uint32_t; fractions are allowed and rounded up */
    RG_OPT_TEXT,    /* char *, owned */
    RG_OPT_NAME,    /* struct rg_name */
    RG_OPT_ADDR,    /* struct rg_addr, "ip:port" */
    RG_OPT_IP,      /* uint8_t[RG_IP_LEN] */
    RG_OPT_CHOICE,  /* uint32_t, index into choices */
    RG_OPT_OBJECT,  /* nested struct */
    RG_OPT_LIST,    /* pointer and size_t count, owned */
};

struct rg_opt_table;

/* One member of a struct. */
struct rg_opt {
    const char *key;
    enum rg_opt_type type;
    enum rg_opt_type item; /* type of a list's items */
    bool required;
    size_t offset;
    size_t count_offset;        /* of a list's count */
    uint64_t min;               /* of a number */
    uint64_t max;               /* of a number, or of a list's count */
    uint64_t fallback;          /* value of a number or choice left out */
    const char *const *choices; /* ends with NULL */
    const struct rg_opt_table *table; /* of an object or a list's objects */
};

struct rg_opt_table {
    const char *name;
    const struct rg_opt *rows;
    size_t count;
    size_t size; /* of the struct */
};

/* Fills `out` (zeroed by this function) from JSON text, comments allowed.
 * Every finding goes into `err` with its path, or its line if the text is not
 * JSON; the whole text is checked however many there are. Returns true if
 * nothing was found. Release with rg_opt_clear() in either case. */
bool rg_opt_load(const struct rg_opt_table *table, void *out,
                 struct rg_str text, struct rg_err *err);

/* Frees what a struct owns and zeroes it. */
void rg_opt_clear(const struct rg_opt_table *table, void *obj);

#endif
