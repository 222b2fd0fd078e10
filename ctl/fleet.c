/* Commands that ask running instances. */
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/mem.h"
#include "ctl/ctl.h"

#define POLL_INTERVAL_MS 50

/* What the /status page of an instance says. */
struct instance_status {
    bool answered;
    char name[RG_NAME_MAX + 1];
    uint64_t generation;
    uint64_t pending;
    bool ready;
    bool store_up;
    uint64_t members;
    uint64_t records;
};

static uint64_t
now_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static uint64_t
get_u64(struct json_object *o, const char *key)
{
    struct json_object *v;

    return json_object_object_get_ex(o, key, &v) ? json_object_get_uint64(v)
                                                 : 0;
}

static bool
get_bool(struct json_object *o, const char *key)
{
    struct json_object *v;

    return json_object_object_get_ex(o, key, &v) && json_object_get_boolean(v);
}

static void
ask_status(struct ctl *c, const char *admin, struct instance_status *r)
{
    RG_AUTO_FREE char *text = ctl_admin_get(c, admin, "/status");
    struct json_object *o = text ? json_tokener_parse(text) : NULL;
    struct json_object *v;

    memset(r, 0, sizeof(*r));
    if (!o) {
        return;
    }
    r->answered = true;
    if (json_object_object_get_ex(o, "name", &v)) {
        snprintf(r->name, sizeof(r->name), "%s", json_object_get_string(v));
    }
    r->generation = get_u64(o, "generation");
    r->pending = get_u64(o, "pending_generation");
    r->ready = get_bool(o, "ready");
    r->store_up = get_bool(o, "store_up");
    r->records = get_u64(o, "flow_records");
    if (json_object_object_get_ex(o, "members", &v)) {
        r->members = json_object_array_length(v);
    }
    json_object_put(o);
}

/* Why an instance does not have the newest generation; empty if it does. It is
 * printed as `lag`, also with --json: tools may match these texts. */
static const char *
lag_reason(const struct instance_status *r, uint64_t newest)
{
    if (!r->answered) {
        return "does not answer";
    }
    if (r->generation == newest) {
        return "";
    }
    if (r->pending > r->generation) {
        return "fetching sections";
    }
    if (!r->store_up && r->members <= 1) {
        return "cut off from store and peers";
    }
    return r->store_up ? "has not heard yet" : "store down, waits for peers";
}

static void
print_status(const struct ctl *c, const char *admin,
             const struct instance_status *r, uint64_t newest)
{
    const char *lag = lag_reason(r, newest);

    if (c->json) {
        printf("{\"admin\": \"%s\", \"name\": \"%s\", \"answered\": %s, "
               "\"generation\": %llu, \"ready\": %s, \"store_up\": %s, "
               "\"members\": %llu, \"flow_records\": %llu, \"lag\": \"%s\"}\n",
               admin, r->name, r->answered ? "true" : "false",
               (unsigned long long)r->generation, r->ready ? "true" : "false",
               r->store_up ? "true" : "false", (unsigned long long)r->members,
               (unsigned long long)r->records, lag);
        return;
    }
    printf("%-24s %-16s generation %-6llu %-9s store %-4s members %-4llu "
           "records %-8llu %s\n",
           admin, r->name, (unsigned long long)r->generation,
           r->ready ? "ready" : "not ready", r->store_up ? "up" : "down",
           (unsigned long long)r->members, (unsigned long long)r->records,
           lag);
}

/* Asks all instances for their status and raises `*newest` to the newest
 * generation seen. Returns how many instances have that generation. */
static size_t
poll_instances(struct ctl *c, bool print, uint64_t *newest)
{
    RG_AUTO_FREE struct instance_status *all =
        rg_calloc(c->admin_count, sizeof(*all));
    size_t current = 0;

    for (size_t i = 0; i < c->admin_count; i++) {
        ask_status(c, c->admins[i], &all[i]);
        if (all[i].generation > *newest) {
            *newest = all[i].generation;
        }
    }
    for (size_t i = 0; i < c->admin_count; i++) {
        current += all[i].answered && all[i].generation >= *newest;
        if (print) {
            print_status(c, c->admins[i], &all[i], *newest);
        }
    }
    return current;
}

static bool
has_admins(const struct ctl *c)
{
    if (c->admin_count == 0) {
        fputs("no instance given: use --admin IP:PORT\n", stderr);
    }
    return c->admin_count > 0;
}

static void
wait_poll_interval(void)
{
    struct timespec ts = {.tv_nsec = POLL_INTERVAL_MS * 1000000L};

    nanosleep(&ts, NULL);
}

enum ctl_exit
ctl_status(struct ctl *c)
{
    uint64_t newest = 0;

    if (!has_admins(c)) {
        return CTL_USAGE;
    }
    return poll_instances(c, true, &newest) == c->admin_count ? CTL_OK
                                                              : CTL_LAGGING;
}

enum ctl_exit
ctl_wait_active(struct ctl *c, uint64_t generation)
{
    uint64_t deadline_ms = now_ms() + c->timeout_ms;

    if (!has_admins(c)) {
        return CTL_USAGE;
    }
    do {
        uint64_t newest = generation;
        if (poll_instances(c, false, &newest) == c->admin_count) {
            return CTL_OK;
        }
        wait_poll_interval();
    } while (now_ms() < deadline_ms);
    fputs("not in force everywhere:\n", stderr);
    poll_instances(c, true, &generation);
    return CTL_LAGGING;
}

enum ctl_exit
ctl_watch(struct ctl *c)
{
    uint64_t deadline_ms = now_ms() + c->timeout_ms;
    uint64_t shown = 0;

    if (!has_admins(c)) {
        return CTL_USAGE;
    }
    for (;;) {
        uint64_t newest = 0;
        size_t current = poll_instances(c, false, &newest);
        if (newest != shown) {
            printf("generation %llu on %zu of %zu instances\n",
                   (unsigned long long)newest, current, c->admin_count);
            shown = newest;
        }
        if (current == c->admin_count) {
            return CTL_OK;
        }
        if (now_ms() >= deadline_ms) {
            return CTL_LAGGING;
        }
        wait_poll_interval();
    }
}

enum ctl_exit
ctl_explain(struct ctl *c)
{
    char path[256];
    struct rg_addr addr;
    bool answered = false;

    if (c->arg_count < 2 || !rg_addr_parse(&addr, c->args[0]) ||
        !rg_addr_parse(&addr, c->args[1]))
    {
        fputs("usage: explain SRC-IP:PORT DST-IP:PORT [tcp|udp]\n", stderr);
        return CTL_USAGE;
    }
    if (!has_admins(c)) {
        return CTL_USAGE;
    }
    snprintf(path, sizeof(path), "/explain?src=%s&dst=%s&proto=%s", c->args[0],
             c->args[1], c->arg_count > 2 ? c->args[2] : "tcp");
    for (size_t i = 0; i < c->admin_count; i++) {
        RG_AUTO_FREE char *text = ctl_admin_get(c, c->admins[i], path);
        if (text) {
            answered = true;
            printf("%s: %s\n", c->admins[i], text);
        }
        else {
            printf("%s: no answer\n", c->admins[i]);
        }
    }
    return answered ? CTL_OK : CTL_FAILED;
}
