/* The platform's store, behind a table of functions so that a site's own
 * store is one file. All calls block. */
#ifndef RG_STORE_STORE_H
#define RG_STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/addr.h"
#include "common/str.h"

enum rg_store_status {
    RG_STORE_OK,
    RG_STORE_ABSENT,    /* no such key */
    RG_STORE_UNCHANGED, /* a watch ended without a change */
    RG_STORE_CONFLICT,  /* compare-and-swap lost: nothing was written */
    RG_STORE_UNKNOWN,   /* no answer: a write may or may not have happened */
};

struct rg_store_value {
    char *text; /* owned */
    size_t len;
    uint64_t revision;
    char error[160]; /* for RG_STORE_UNKNOWN */
};

struct rg_store_opts {
    char *const *urls; /* borrowed; tried in turn */
    size_t url_count;
    uint32_t timeout_ms;
    const char *ca_file;
    const char *token_file;
};

/* One instance on the platform's list. */
struct rg_store_instance {
    struct rg_addr addr;
    struct rg_name data_centre;
    bool leaving;
};

struct rg_store;

/* Operations of a kind of store. */
struct rg_store_ops {
    void (*destroy)(struct rg_store *s);
    /* Reads a key. With `wait_ms`, waits that long for a revision other than
     * `after`. */
    enum rg_store_status (*get)(struct rg_store *s, const char *key,
                                uint64_t after, uint32_t wait_ms,
                                struct rg_store_value *out);
    /* Writes a key if its revision is `expected`, 0 meaning that it is
     * absent. */
    enum rg_store_status (*swap)(struct rg_store *s, const char *key,
                                 struct rg_str value, uint64_t expected,
                                 struct rg_store_value *out);
    /* Lists instances; the caller frees `*out`. */
    enum rg_store_status (*instances)(struct rg_store *s,
                                      struct rg_store_instance **out,
                                      size_t *count);
    /* Makes calls in progress fail soon; may be called by any thread. */
    void (*abort)(struct rg_store *s);
};

struct rg_store {
    const struct rg_store_ops *ops;
};

void rg_store_value_clear(struct rg_store_value *v);

/* Key of the head, and of a section by its hash. */
#define RG_STORE_HEAD_KEY "head"
void rg_store_section_key(char *out, size_t size, const char *hash);

/* A store that speaks HTTP and JSON; see docs/INTERFACE.md. */
struct rg_store *rg_store_http_create(const struct rg_store_opts *opts)
    __attribute__((returns_nonnull));

#endif
