/* The set of upstreams known to a core, and the choice of one for a new flow.
 *
 * It holds the upstreams of the current configuration and those that flow
 * records still refer to, each in a numbered slot. Each service has a default
 * table, which is the same on all instances with the same configuration. */
#ifndef RG_CORE_UPSTREAM_H
#define RG_CORE_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"

#define RG_UPSTREAM_NONE UINT32_MAX

/* Health of an upstream, as callers' packets show it. */
enum rg_upstream_health {
    RG_UPSTREAM_HEALTHY,
    RG_UPSTREAM_EJECTED, /* openings are not answered */
};

struct rg_upstream {
    uint64_t id; /* identity; 0: the slot is free */
    struct rg_addr addr;
    struct rg_name name;
    uint32_t service; /* index in the configuration, or RG_UPSTREAM_NONE */
    uint64_t service_id;
    uint32_t weight;
    uint32_t state; /* enum rg_doc_upstream_state */
    bool in_config;
    bool local;                /* in this instance's data centre */
    uint32_t refs;             /* flow records that refer to it */
    uint32_t own_flows;        /* open flows this instance owns */
    uint32_t unanswered;       /* unanswered openings since the last answer */
    uint32_t ejected_until_ms; /* 0: not ejected */
    uint32_t last_trial_ms;    /* last time it was chosen or ejected */
};

struct rg_upstreams;

/* Why an upstream was chosen. */
enum rg_choice_rule {
    RG_CHOICE_NONE,     /* no upstream can take the flow */
    RG_CHOICE_TABLE,    /* it is the table's default */
    RG_CHOICE_BALANCE,  /* it has fewer flows than the default */
    RG_CHOICE_FALLBACK, /* the default cannot take new flows */
};

struct rg_choice {
    uint32_t upstream; /* slot */
    enum rg_choice_rule rule;
};

struct rg_choose_opts {
    uint64_t hash;    /* of the flow */
    uint32_t members; /* instances that share the flows, at least 1 */
    bool may_deviate; /* from the default, to balance flows */
    uint32_t now_ms;
};

struct rg_upstreams *rg_upstreams_create(struct rg_name data_centre);
void rg_upstreams_destroy(struct rg_upstreams *u);

/* Applies a configuration. Service indexes refer to it from now on; it must
 * stay valid until the next call. */
void rg_upstreams_configure(struct rg_upstreams *u, const struct rg_config *c);

/* Slot of an identity, or RG_UPSTREAM_NONE. */
uint32_t rg_upstreams_find(const struct rg_upstreams *u, uint64_t id);

/* Slot of an upstream that another instance chose; it is added if unknown.
 * RG_UPSTREAM_NONE if the current configuration gives its address to an
 * upstream of another service: no packet may be sent there then. */
uint32_t rg_upstreams_learn(struct rg_upstreams *u, uint64_t id,
                            const struct rg_addr *addr, uint64_t service_id);

struct rg_upstream *rg_upstreams_at(struct rg_upstreams *u, uint32_t slot);
uint32_t rg_upstreams_slots(const struct rg_upstreams *u);

/* Adds or drops a reference. A slot without references is freed unless its
 * upstream is in the configuration. */
void rg_upstreams_ref(struct rg_upstreams *u, uint32_t slot);
void rg_upstreams_unref(struct rg_upstreams *u, uint32_t slot);

/* False if the address of the slot now belongs to another service. */
bool rg_upstreams_may_send(const struct rg_upstreams *u, uint32_t slot);

/* True if new flows may go there: it is active, below its flow limit, and not
 * ejected unless it is due for a trial. */
bool rg_upstreams_accepts(const struct rg_upstreams *u, uint32_t slot,
                          const struct rg_choose_opts *opts);

/* Slot of the table's default, whatever its load; RG_UPSTREAM_NONE if the
 * table is empty. */
uint32_t rg_upstreams_default(const struct rg_upstreams *u, uint32_t service,
                              uint64_t hash);

/* Chooses an upstream for a new flow: the table's default; a second candidate
 * if deviation is allowed and it has fewer flows; or another one if the
 * default does not accept the flow. */
struct rg_choice rg_upstreams_choose(struct rg_upstreams *u, uint32_t service,
                                     const struct rg_choose_opts *opts);

/* Record that an opening was retransmitted without an answer, or that the
 * upstream answered. Several unanswered openings in a row eject the upstream,
 * unless too many of the service's upstreams are ejected already. */
void rg_upstreams_note_unanswered(struct rg_upstreams *u, uint32_t slot,
                                  uint32_t now_ms);
void rg_upstreams_note_answered(struct rg_upstreams *u, uint32_t slot);

/* Number of ejected upstreams. */
uint32_t rg_upstreams_ejected(const struct rg_upstreams *u);

#endif
