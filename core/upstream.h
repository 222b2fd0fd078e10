/* Upstreams known to a core, and the choice of one for a new flow.
 *
 * Holds those of the configuration in force and those that flow records still
 * refer to. Each service has a default table: the same on every instance that
 * holds the same configuration, whatever each has seen. */
#ifndef RG_CORE_UPSTREAM_H
#define RG_CORE_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"

#define RG_UPSTREAM_NONE UINT32_MAX

/* What callers' packets and polling say of an upstream. */
enum rg_upstream_health {
    RG_UPSTREAM_HEALTHY,
    RG_UPSTREAM_EJECTED, /* opening packets go unanswered */
};

struct rg_upstream {
    uint64_t id; /* 0: the slot is free */
    struct rg_addr addr;
    struct rg_name name;
    uint32_t service; /* index into the services in force, or NONE */
    uint64_t service_id;
    uint32_t weight;
    uint32_t state; /* enum rg_doc_upstream_state */
    bool in_config;
    bool local;                /* in this instance's data centre */
    uint32_t refs;             /* flow records that name it */
    uint32_t own_flows;        /* live flows this instance owns */
    uint32_t silent;           /* openings unanswered since the last answer */
    uint32_t ejected_until_ms; /* 0: not ejected */
    uint32_t last_trial_ms;    /* last opening sent while ejected */
};

struct rg_upstreams;

/* Why an upstream was chosen. */
enum rg_choice_rule {
    RG_CHOICE_NONE,     /* no upstream can take the flow */
    RG_CHOICE_TABLE,    /* the default of the service's table */
    RG_CHOICE_BALANCE,  /* the other candidate had fewer flows */
    RG_CHOICE_FALLBACK, /* the default cannot take new flows */
};

struct rg_choice {
    uint32_t upstream; /* slot */
    enum rg_choice_rule rule;
};

struct rg_choose_opts {
    uint64_t hash;    /* of the flow */
    uint32_t members; /* instances that share the load, at least 1 */
    bool may_deviate; /* balance may override the default */
    uint32_t now_ms;
};

struct rg_upstreams *rg_upstreams_create(struct rg_name data_centre);
void rg_upstreams_destroy(struct rg_upstreams *u);

/* Takes over a configuration. Indexes of services refer to it from now on; it
 * must stay alive until the next call. */
void rg_upstreams_configure(struct rg_upstreams *u, const struct rg_config *c);

/* Slot of an identity, or RG_UPSTREAM_NONE. */
uint32_t rg_upstreams_find(const struct rg_upstreams *u, uint64_t id);

/* Slot of an upstream learnt from another instance, made if unknown. NONE if
 * its address belongs to an upstream of another service in the configuration
 * in force: such a choice must not be honoured. */
uint32_t rg_upstreams_learn(struct rg_upstreams *u, uint64_t id,
                            const struct rg_addr *addr, uint64_t service_id);

struct rg_upstream *rg_upstreams_at(struct rg_upstreams *u, uint32_t slot);
uint32_t rg_upstreams_slots(const struct rg_upstreams *u);

/* Counts a reference, or drops one; a slot neither referred to nor in the
 * configuration is freed. */
void rg_upstreams_ref(struct rg_upstreams *u, uint32_t slot);
void rg_upstreams_unref(struct rg_upstreams *u, uint32_t slot);

/* False once the address of the slot belongs to another service. */
bool rg_upstreams_may_send(const struct rg_upstreams *u, uint32_t slot);

/* True if new flows may go there: active, and not full or ejected. */
bool rg_upstreams_accepts(const struct rg_upstreams *u, uint32_t slot,
                          const struct rg_choose_opts *opts);

/* Upstream of the default table, whatever its load. */
uint32_t rg_upstreams_default(const struct rg_upstreams *u, uint32_t service,
                              uint64_t hash);

struct rg_choice rg_upstreams_choose(struct rg_upstreams *u, uint32_t service,
                                     const struct rg_choose_opts *opts);

/* Notes that an opening was repeated without an answer, or that the upstream
 * answered. Enough silence in a row ejects it, unless too many are. */
void rg_upstreams_note_unanswered(struct rg_upstreams *u, uint32_t slot,
                                  uint32_t now_ms);
void rg_upstreams_note_answered(struct rg_upstreams *u, uint32_t slot);

/* Upstreams ejected now. */
uint32_t rg_upstreams_ejected(const struct rg_upstreams *u);

#endif
