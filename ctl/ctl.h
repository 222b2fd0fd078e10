/* rattangapctl: what its commands share. */
#ifndef RG_CTL_CTL_H
#define RG_CTL_CTL_H

#include "common/err.h"
#include "store/edit.h"
#include "store/http.h"
#include "store/store.h"

#define CTL_ADMINS_MAX 4096

enum ctl_exit {
    CTL_OK = 0,
    CTL_FAILED = 1,   /* the store or an instance did not answer */
    CTL_INVALID = 2,  /* findings */
    CTL_CONFLICT = 3, /* somebody else's edit came first */
    CTL_UNKNOWN = 4,  /* whether the edit took is not known */
    CTL_LAGGING = 5,  /* not in force everywhere in time */
    CTL_USAGE = 64,
};

struct ctl {
    char *store_url;
    const char *ca_file;
    const char *token_file;
    char *admins[CTL_ADMINS_MAX]; /* "ip:port" */
    size_t admin_count;
    const char *team;
    const char *edit; /* identity of an edit */
    const char *base;
    bool json;
    bool wait;
    uint32_t timeout_ms;
    char **args; /* after the command */
    size_t arg_count;
    struct rg_store *store;
    struct rg_http *http;
};

struct ctl_command {
    const char *name;
    const char *args;
    const char *help;
    enum ctl_exit (*run)(struct ctl *c);
    bool needs_store;
};

extern const struct ctl_command ctl_commands[];

/* Findings to standard error. */
void ctl_print_findings(const struct rg_err *err);

/* Reads a file, or standard input for "-". */
char *ctl_read_input(const char *path, size_t *len, struct rg_err *err);

/* Asks an instance's admin server; NULL if it does not answer. The caller
 * frees the text. */
char *ctl_ask(struct ctl *c, const char *admin, const char *path);

/* Commands about instances (ctl/fleet.c). */
enum ctl_exit ctl_status(struct ctl *c);
enum ctl_exit ctl_explain(struct ctl *c);
enum ctl_exit ctl_watch(struct ctl *c);

/* Waits until every instance holds `generation`. */
enum ctl_exit ctl_wait_in_force(struct ctl *c, uint64_t generation);

/* Commands about the document (ctl/document.c). */
enum ctl_exit ctl_check(struct ctl *c);
enum ctl_exit ctl_show(struct ctl *c);
enum ctl_exit ctl_diff(struct ctl *c);
enum ctl_exit ctl_edit(struct ctl *c);
enum ctl_exit ctl_drain(struct ctl *c);
enum ctl_exit ctl_history(struct ctl *c);
enum ctl_exit ctl_verdict(struct ctl *c);

#endif
