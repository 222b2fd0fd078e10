/* Checks a decoded configuration before operators put it in force: entries
 * that can never match, limits that contradict each other, and differences
 * from the version in force. No I/O; knows no format. */
#ifndef RG_BALANCE_CONFIG_CHECK_H
#define RG_BALANCE_CONFIG_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/routes.h"
#include "common/str.h"

/* Fields of a configuration. */
enum rg_check_field {
    RG_CHECK_DOCUMENT,
    RG_CHECK_VERSION,
    RG_CHECK_ROUTES,
    RG_CHECK_ROUTE, /* a row of them, and its fields */
    RG_CHECK_ROUTE_NAME,
    RG_CHECK_ROUTE_IP,
    RG_CHECK_ROUTE_PORT,
    RG_CHECK_ROUTE_TYPE,
    RG_CHECK_ROUTE_TIMEOUT,
    RG_CHECK_ROUTE_TARGET,
    RG_CHECK_ROUTE_PRIORITY,
    RG_CHECK_ROUTE_SERVICE,
    RG_CHECK_ROUTE_SPLIT,
    RG_CHECK_SHARE, /* a row of the split, and its fields */
    RG_CHECK_SHARE_SERVICE,
    RG_CHECK_SHARE_WEIGHT,
    RG_CHECK_SERVICES,
    RG_CHECK_SERVICE, /* a row of them, and its fields */
    RG_CHECK_SERVICE_NAME,
    RG_CHECK_SERVICE_COLD_TIME,
    RG_CHECK_SERVICE_COLD_RATE,
    RG_CHECK_LIMITS,
    RG_CHECK_IDLE_TIMEOUT,
    RG_CHECK_FIELDS,
};

/* A place in a configuration. */
struct rg_check_place {
    enum rg_check_field field;
    size_t row;   /* of the routes or services */
    size_t share; /* row of a split */
};

enum rg_check_route_type {
    RG_CHECK_TYPE_SAFE,
    RG_CHECK_TYPE_UNSAFE,
    RG_CHECK_TYPE_DOWNLOAD,
};

/* A route that instances use, unless an earlier one has its address. */
struct rg_check_route {
    size_t row;
    char name[RG_NAME_MAX + 1]; /* cut off if longer; empty: none */
    enum rg_check_route_type type;
    bool is_split;
    struct rg_route route;
};

struct rg_check_service {
    size_t row;
    struct rg_name name;
    uint64_t cold_s;   /* after a start */
    double cold_per_s; /* requests that an upstream gets while cold, 0: no
                          limit */
};

/* Release it with rg_check_version_clear(). */
struct rg_check_version {
    uint64_t version; /* 0: invalid */
    struct rg_check_route *routes;
    size_t route_count;
    bool lists_services;
    struct rg_check_service *services;
    size_t service_count;
    bool has_idle_timeout;
    uint64_t idle_timeout_ms;
};

void rg_check_version_clear(struct rg_check_version *c);

enum rg_check_finding_kind {
    RG_CHECK_ERROR,         /* a value that is not read as written */
    RG_CHECK_UNREACHABLE,   /* an entry that can never match */
    RG_CHECK_CONTRADICTION, /* limits that contradict each other */
    RG_CHECK_DIFFERENCE,    /* from the version in force */
    RG_CHECK_FINDING_KINDS,
};

#define RG_CHECK_FINDING_TEXT_MAX 256

struct rg_check_finding {
    enum rg_check_finding_kind kind;
    struct rg_check_place place;
    bool has_other;
    struct rg_check_place other; /* that it conflicts with */
    char text[RG_CHECK_FINDING_TEXT_MAX];
};

/* Zero-initialise it; release it with rg_check_findings_clear(). */
struct rg_check_findings {
    struct rg_check_finding *items;
    size_t count;
};

/* Adds a finding; the result is valid until the next one is added. */
struct rg_check_finding *rg_check_findings_add(struct rg_check_findings *f,
                                               enum rg_check_finding_kind kind,
                                               struct rg_check_place place,
                                               const char *text, ...)
    __attribute__((format(printf, 4, 5)));
void rg_check_findings_clear(struct rg_check_findings *f);

/* Number of findings of a kind. */
size_t rg_check_findings_count(const struct rg_check_findings *f,
                               enum rg_check_finding_kind kind);

/* Checks `c`, and compares it with the version in force unless that is
 * NULL. */
void rg_check_run(const struct rg_check_version *c,
                  const struct rg_check_version *in_force,
                  struct rg_check_findings *out);

#endif
