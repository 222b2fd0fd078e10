/* rattangapctl: the command-line tool for operators. */
#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "ctl/ctl.h"

#define WAIT_TIMEOUT_MS 10000
#define HTTP_TIMEOUT_MS 3000
#define READ_BYTES 65536

const char *argp_program_version = "rattangapctl " RG_VERSION;

const struct ctl_command ctl_commands[] = {
    {"check", "FILE...", "check section files together", ctl_check, false},
    {"check-config", "FILE", "check a configuration of the platform",
     ctl_check_config, false},
    {"show", "[SECTION]", "print a section, or list all", ctl_show, true},
    {"diff", "SECTION FILE", "compare a file with the current section",
     ctl_diff, true},
    {"edit", "SECTION FILE", "replace a section ('-': standard input)",
     ctl_edit, true},
    {"drain", "SECTION UPSTREAM", "stop sending new flows to an upstream",
     ctl_drain, true},
    {"history", "", "list the latest edits", ctl_history, true},
    {"verdict", "EDIT", "tell whether an edit took effect", ctl_edit_status,
     true},
    {"status", "", "show the active generation of each instance", ctl_status,
     false},
    {"watch", "", "follow the status until all instances agree", ctl_watch,
     false},
    {"explain", "SRC DST [tcp|udp]", "tell where a flow is sent and why",
     ctl_explain, false},
    {0},
};

enum {
    KEY_JSON = 1000,
    KEY_CA,
    KEY_TOKEN,
    KEY_TIMEOUT,
    KEY_EDIT_ID,
    KEY_BASE,
    KEY_IN_FORCE,
    KEY_ALLOW_DIFFERENCES
};

static const struct argp_option options[] = {
    {"store", 's', "URL", 0, "Base URL of the platform's store", 0},
    {"ca-file", KEY_CA, "FILE", 0, "CA certificates to verify the store", 0},
    {"token-file", KEY_TOKEN, "FILE", 0, "File with the store's token", 0},
    {"admin", 'a', "IP:PORT", 0,
     "Admin address of an instance (may be repeated)", 0},
    {"team", 't', "TEAM", 0, "Team that owns the edited section", 0},
    {"edit-id", KEY_EDIT_ID, "ID", 0,
     "Unique id of the edit; retry an edit with the same id", 0},
    {"base", KEY_BASE, "HASH", 0, "Hash of the text the edit started from", 0},
    {"wait", 'w', NULL, 0, "Wait until all instances use the edit", 0},
    {"timeout-ms", KEY_TIMEOUT, "MS", 0, "Timeout of --wait and of watch", 0},
    {"json", KEY_JSON, NULL, 0, "Print JSON", 0},
    {"in-force", KEY_IN_FORCE, "FILE", 0,
     "Configuration in force, to compare with; --store reads it from there",
     0},
    {"allow-differences", KEY_ALLOW_DIFFERENCES, NULL, 0,
     "Differences from it are no findings for the exit code", 0},
    {0},
};

static const char doc[] =
    "Operates rattangap.\v"
    "Commands:\n"
    "  check FILE...           check section files together\n"
    "  check-config FILE       check a configuration of the platform before "
    "it is sent\n"
    "  show [SECTION]          print a section, or list all\n"
    "  diff SECTION FILE       compare a file with the current section\n"
    "  edit SECTION FILE       replace a section ('-': standard input)\n"
    "  drain SECTION UPSTREAM  stop sending new flows to an upstream\n"
    "  history                 list the latest edits\n"
    "  verdict EDIT            tell whether an edit took effect\n"
    "  status                  show the active generation of each instance\n"
    "  watch                   follow the status until all instances agree\n"
    "  explain SRC DST [tcp|udp]  tell where a flow is sent and why\n"
    "\n"
    "Exit codes: 0 success, 1 no answer, 2 invalid input, 3 conflict, 4 "
    "unknown whether the edit took effect, 5 not active on all instances "
    "within the timeout, 64 usage error. Of check-config: 0 no findings, 1 "
    "findings, 2 could not run.";

struct arguments {
    struct ctl *ctl;
    const struct ctl_command *command;
};

static void
set_command(struct arguments *a, char *name, struct argp_state *state)
{
    for (const struct ctl_command *c = ctl_commands; c->name; c++) {
        if (strcmp(c->name, name) == 0) {
            a->command = c;
            return;
        }
    }
    argp_error(state, "unknown command '%s'", name);
}

static void
add_admin(struct ctl *c, char *arg, struct argp_state *state)
{
    struct rg_addr addr;

    if (!rg_addr_parse(&addr, arg) || c->admin_count == CTL_ADMINS_MAX) {
        argp_error(state, "'%s' is not an IP:PORT, or too many --admin", arg);
    }
    c->admins[c->admin_count++] = arg;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct arguments *a = state->input;
    struct ctl *c = a->ctl;

    switch (key) {
    case 's':
        c->store_url = arg;
        return 0;
    case KEY_CA:
        c->ca_file = arg;
        return 0;
    case KEY_TOKEN:
        c->token_file = arg;
        return 0;
    case 'a':
        add_admin(c, arg, state);
        return 0;
    case 't':
        c->team = arg;
        return 0;
    case KEY_EDIT_ID:
        c->edit_id = arg;
        return 0;
    case KEY_BASE:
        c->base = arg;
        return 0;
    case 'w':
        c->wait = true;
        return 0;
    case KEY_TIMEOUT:
        c->timeout_ms = (uint32_t)strtoul(arg, NULL, 10);
        return 0;
    case KEY_JSON:
        c->json = true;
        return 0;
    case KEY_IN_FORCE:
        c->in_force = arg;
        return 0;
    case KEY_ALLOW_DIFFERENCES:
        c->allow_differences = true;
        return 0;
    case ARGP_KEY_ARG:
        if (!a->command) {
            set_command(a, arg, state);
            return 0;
        }
        c->args = &state->argv[state->next - 1];
        c->arg_count = (size_t)(state->argc - state->next + 1);
        state->next = state->argc;
        return 0;
    case ARGP_KEY_END:
        if (!a->command) {
            argp_error(state, "a command is required");
            return EINVAL;
        }
        if (a->command->needs_store && !c->store_url) {
            argp_error(state, "'%s' needs --store URL", a->command->name);
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

void
ctl_print_errors(const struct rg_err *err)
{
    RG_AUTO_FREE char *text = rg_err_format(err);

    fputs(text, stderr);
}

char *
ctl_read_input(const char *path, size_t *len, struct rg_err *err)
{
    FILE *in = strcmp(path, "-") == 0 ? stdin : fopen(path, "rb");
    char *text = NULL;

    *len = 0;
    if (!in) {
        rg_err_add(err, path, "a readable file", "no such file or no access");
        return NULL;
    }
    for (;;) {
        text = rg_realloc(text, *len + READ_BYTES + 1);
        size_t got = fread(text + *len, 1, READ_BYTES, in);
        *len += got;
        if (got == 0) {
            break;
        }
    }
    text[*len] = '\0';
    if (ferror(in)) {
        rg_err_add(err, path, "a readable file", "a read error");
        free(text);
        text = NULL;
    }
    if (in != stdin) {
        fclose(in);
    }
    return text;
}

char *
ctl_admin_get(struct ctl *c, const char *admin, const char *path)
{
    struct rg_http_result r;
    char url[512];

    snprintf(url, sizeof(url), "http://%s%s", admin, path);
    rg_http_call(c->http, "GET", url, (struct rg_str){0}, 0, &r);
    if (r.status != 200) {
        rg_http_result_clear(&r);
        return NULL;
    }
    return r.body;
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .args_doc = "COMMAND [ARG...]",
        .doc = doc,
    };
    static struct ctl ctl = {.timeout_ms = WAIT_TIMEOUT_MS};
    struct arguments args = {.ctl = &ctl};

    argp_err_exit_status = CTL_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    struct rg_store_opts store = {
        .urls = &ctl.store_url,
        .url_count = ctl.store_url ? 1 : 0,
        .timeout_ms = HTTP_TIMEOUT_MS,
        .ca_file = ctl.ca_file,
        .token_file = ctl.token_file,
    };
    struct rg_http_opts http = {.timeout_ms = HTTP_TIMEOUT_MS};
    struct rg_store *opened = rg_store_http_create(&store);
    ctl.store = opened;
    ctl.http = rg_http_create(&http);
    enum ctl_exit code = args.command ? args.command->run(&ctl) : CTL_USAGE;
    opened->ops->destroy(opened);
    rg_http_destroy(ctl.http);
    return (int)code;
}
