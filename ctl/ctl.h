/* rattangapctl: options, exit codes and functions shared by its commands. */
#ifndef RG_CTL_CTL_H
#define RG_CTL_CTL_H

#include "common/err.h"
#include "store/edit.h"
#include "store/http.h"
#include "store/store.h"

#define CTL_ADMINS_MAX 4096

enum ctl_exit {
    CTL_OK = 0,
    CTL_FAILED = 1,   /* no response from the store or an instance */
    CTL_INVALID = 2,  /* the input has errors */
    CTL_CONFLICT = 3, /* the section was changed by another edit */
    CTL_UNKNOWN = 4,  /* whether the edit took effect is unknown */
    CTL_LAGGING = 5,  /* not active on all --admin instances in time */
    CTL_USAGE = 64,
};

/* Exit codes of check-config, which has no errors of an edit to tell. */
enum {
    CTL_FINDINGS = 1,
    CTL_NOT_RUN = 2
};

struct ctl {
    char *store_url;
    const char *ca_file;
    const char *token_file;
    char *admins[CTL_ADMINS_MAX]; /* admin addresses of instances, "ip:port" */
    size_t admin_count;
    const char *team;
    const char *edit_id;
    const char *base; /* hash of the text that an edit started from */
    bool json;
    bool wait;
    const char *in_force;   /* file with the configuration in force */
    bool allow_differences; /* they do not count for the exit code */
    uint32_t timeout_ms;
    char **args; /* the arguments after the command's name */
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

/* Prints errors to standard error. */
void ctl_print_errors(const struct rg_err *err);

/* Reads a whole file, or standard input for "-", into a NUL-terminated buffer
 * that the caller frees. On failure, adds an error and returns NULL. */
char *ctl_read_input(const char *path, size_t *len, struct rg_err *err);

/* Gets a path from the admin server of an instance. Returns the body, which
 * the caller frees, or NULL if there is no response with status 200. */
char *ctl_admin_get(struct ctl *c, const char *admin, const char *path);

/* Checks a configuration of the platform (ctl/check_config.c). */
enum ctl_exit ctl_check_config(struct ctl *c);

/* Commands about instances (ctl/fleet.c). */
enum ctl_exit ctl_status(struct ctl *c);
enum ctl_exit ctl_explain(struct ctl *c);
enum ctl_exit ctl_watch(struct ctl *c);

/* Waits until `generation` or a newer one is active on all instances given
 * with --admin. */
enum ctl_exit ctl_wait_active(struct ctl *c, uint64_t generation);

/* Commands about the configuration document (ctl/document.c). */
enum ctl_exit ctl_check(struct ctl *c);
enum ctl_exit ctl_show(struct ctl *c);
enum ctl_exit ctl_diff(struct ctl *c);
enum ctl_exit ctl_edit(struct ctl *c);
enum ctl_exit ctl_drain(struct ctl *c);
enum ctl_exit ctl_history(struct ctl *c);
enum ctl_exit ctl_edit_status(struct ctl *c);

#endif
