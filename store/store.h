/* Interface to the key-value store that holds the configuration document and
 * lists the instances. It is a table of functions, so that another kind of
 * store needs one file only. All calls block. */
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
    RG_STORE_UNCHANGED, /* a watch timed out without a change */
    RG_STORE_CONFLICT,  /* other revision than expected: nothing written */
    RG_STORE_UNKNOWN,   /* failed or no response: a write may have happened */
};

struct rg_store_value {
    char *text; /* owned */
    size_t len;
    uint64_t revision;
    char error[160]; /* for RG_STORE_UNKNOWN */
};

struct rg_store_opts {
    char *const *urls; /* borrowed; after a failure the next one is used */
    size_t url_count;
    uint32_t timeout_ms;
    const char *ca_file;
    const char *token_file; /* its first line is the bearer token */
};

/* An instance on the store's list. */
struct rg_store_instance {
    struct rg_addr addr;
    struct rg_name data_centre;
    bool leaving;
};

struct rg_store;

/* What a kind of store implements. */
struct rg_store_ops {
    void (*destroy)(struct rg_store *s);
    /* Reads a key. If `wait_ms` is not 0, waits up to that time for a revision
     * other than `after` (a watch). */
    enum rg_store_status (*get)(struct rg_store *s, const char *key,
                                uint64_t after, uint32_t wait_ms,
                                struct rg_store_value *out);
    /* Compare-and-swap: writes a key if its revision is `expected`; 0 means
     * that the key must not exist. */
    enum rg_store_status (*swap)(struct rg_store *s, const char *key,
                                 struct rg_str value, uint64_t expected,
                                 struct rg_store_value *out);
    /* Lists instances; the caller frees `*out`. */
    enum rg_store_status (*instances)(struct rg_store *s,
                                      struct rg_store_instance **out,
                                      size_t *count);
    /* Makes the current call and all later ones fail soon. Thread-safe. */
    void (*abort)(struct rg_store *s);
};

struct rg_store {
    const struct rg_store_ops *ops;
};

void rg_store_value_clear(struct rg_store_value *v);

/* Key of the head, and of a section by its hash. */
#define RG_STORE_HEAD_KEY "head"
void rg_store_section_key(char *out, size_t size, const char *hash);

/* Creates a client of a store that speaks HTTP and JSON; the protocol is in
 * docs/INTERFACE.md. */
struct rg_store *rg_store_http_create(const struct rg_store_opts *opts)
    __attribute__((returns_nonnull));

#endif
