/* Editing the configuration document in the store.
 *
 * The store has one key for each section's text, by its hash, and a head that
 * names the hashes of all sections. An edit replaces one section: it writes
 * the new text and takes effect by one compare-and-swap of the head. All
 * functions block. */
#ifndef RG_STORE_EDIT_H
#define RG_STORE_EDIT_H

#include "common/err.h"
#include "common/rand.h"
#include "config/config.h"
#include "store/store.h"

/* The head and the sections it names, as read from the store. */
struct rg_document {
    uint64_t revision; /* of the head, 0 if there is none */
    struct rg_head head;
    char *head_text;
    char **texts; /* one per section of the head, NULL if not read */
};

/* Reads the head, and the texts of all sections if `with_texts`. If there is
 * no head, the document is empty. Errors go into `err`. Release `out` with
 * rg_document_clear() in either case. */
enum rg_store_status rg_document_read(struct rg_store *store, bool with_texts,
                                      struct rg_document *out,
                                      struct rg_err *err);
void rg_document_clear(struct rg_document *d);

/* Index of a section in the head, or -1. */
int rg_document_find(const struct rg_document *d, const struct rg_name *name);

enum rg_edit_status {
    RG_EDIT_ACCEPTED,    /* this edit is in the head */
    RG_EDIT_UNCHANGED,   /* the section has this text already */
    RG_EDIT_INVALID,     /* see the errors; the head was not changed */
    RG_EDIT_CONFLICT,    /* the section is not at the stated base */
    RG_EDIT_NOT_APPLIED, /* certainly not in the head; may be retried */
    RG_EDIT_UNKNOWN,     /* a write got no response; see rg_edit_find() */
};

struct rg_edit_opts {
    struct rg_name section;
    struct rg_name owner;
    struct rg_name edit_id; /* unique */
    struct rg_str text;     /* new text of the section */
    struct rg_name base;    /* hash of the text that the editor started from;
                             * empty: the section is new */
    bool check_base;        /* a section that is not at `base` conflicts */
    uint64_t time_s;        /* wall clock, for the history */
    uint32_t max_attempts;
    uint32_t backoff_ms;  /* upper bound of the first, random wait between
                           * attempts; it doubles with each attempt */
    struct rg_rand *rand; /* borrowed; for the waits */
};

struct rg_edit_result {
    enum rg_edit_status status;
    uint64_t generation; /* of an accepted edit, or of the unchanged head */
    uint32_t attempts;   /* times the head was read */
    char *current_text;  /* on a conflict: the section's text, owned */
};

/* Makes an edit. Idempotent: after any result it may be repeated with the same
 * `edit_id` and takes effect at most once. */
void rg_edit_run(struct rg_store *store, const struct rg_edit_opts *opts,
                 struct rg_edit_result *result, struct rg_err *err);
void rg_edit_result_clear(struct rg_edit_result *r);

/* Looks an edit up in the history of the head. Returns RG_EDIT_ACCEPTED, or
 * RG_EDIT_UNKNOWN if it is not there or the store does not respond. */
enum rg_edit_status rg_edit_find(struct rg_store *store,
                                 const struct rg_name *edit_id,
                                 uint64_t *generation);

#endif
