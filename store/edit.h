/* Editing the configuration in the store: one section at a time, accepted by
 * one compare-and-swap of the head. Blocks. */
#ifndef RG_STORE_EDIT_H
#define RG_STORE_EDIT_H

#include "common/err.h"
#include "common/rand.h"
#include "config/config.h"
#include "store/store.h"

/* Everything the head names, as read from the store. */
struct rg_document {
    uint64_t revision; /* of the head, 0 if there is none */
    struct rg_head head;
    char *head_text;
    char **texts; /* one a section of the head */
};

/* Reads the head, and all sections' texts if `with_texts`. An absent head
 * reads as an empty document. */
enum rg_store_status rg_document_read(struct rg_store *store, bool with_texts,
                                      struct rg_document *out,
                                      struct rg_err *err);
void rg_document_clear(struct rg_document *d);

/* Index of a section in the head, or -1. */
int rg_document_find(const struct rg_document *d, const struct rg_name *name);

enum rg_verdict {
    RG_VERDICT_ACCEPTED,  /* this edit is in the head */
    RG_VERDICT_UNCHANGED, /* the section has this text already */
    RG_VERDICT_INVALID,   /* findings say why; nothing was written */
    RG_VERDICT_CONFLICT,  /* the section changed since it was read */
    RG_VERDICT_REFUSED,   /* certainly not taken: the store refused */
    RG_VERDICT_UNKNOWN,   /* the store did not say; ask again by edit */
};

struct rg_edit_opts {
    struct rg_name section;
    struct rg_name owner;
    struct rg_name edit;  /* identity of the edit, unique */
    struct rg_str text;   /* new text of the section */
    struct rg_name base;  /* hash the editor started from; empty: none */
    bool check_base;      /* a section that is not at `base` conflicts */
    uint64_t time_s;      /* wall clock, for the history */
    uint32_t tries;       /* rounds before giving up */
    uint32_t pause_ms;    /* longest first pause between rounds */
    struct rg_rand *rand; /* borrowed, for pauses */
};

struct rg_edit_result {
    enum rg_verdict verdict;
    uint64_t generation; /* of an accepted edit */
    uint32_t rounds;     /* times the head was read */
    char *theirs;        /* on a conflict: the text in force, owned */
};

/* Makes an edit. Safe to repeat with the same `edit` after any outcome: it
 * takes effect at most once. */
void rg_edit_run(struct rg_store *store, const struct rg_edit_opts *opts,
                 struct rg_edit_result *result, struct rg_err *err);
void rg_edit_result_clear(struct rg_edit_result *r);

/* Looks for an edit in the head's history. UNKNOWN if it is not there or the
 * store does not answer. */
enum rg_verdict rg_edit_find(struct rg_store *store,
                             const struct rg_name *edit, uint64_t *generation);

#endif
