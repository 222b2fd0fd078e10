/* A compiled configuration: the content of one generation of the document,
 * checked and indexed. Immutable once built; owned by whoever built it. */
#ifndef RG_CONFIG_CONFIG_H
#define RG_CONFIG_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "common/addr.h"
#include "common/err.h"
#include "common/str.h"
#include "config/document.gen.h"

struct rg_config_service {
    struct rg_name name;
    uint64_t id; /* rg_identity() of the name */
    uint8_t ip[RG_IP_LEN];
    uint16_t port;
    uint8_t proto;   /* RG_PROTO_TCP or RG_PROTO_UDP */
    bool repeatable; /* UDP requests are idempotent and may run twice */
    uint32_t deviation_percent;
    uint32_t max_flows_per_upstream;
    struct rg_name *spill; /* other data centres to use, in order; owned */
    size_t spill_count;
};

struct rg_config_upstream {
    struct rg_name name;
    uint64_t id;      /* hash of service, name, address, incarnation */
    uint32_t service; /* index into services */
    struct rg_addr addr;
    struct rg_name data_centre;
    uint32_t weight;
    uint32_t state; /* enum rg_doc_upstream_state */
};

struct rg_config {
    uint64_t generation;
    struct rg_config_service *services; /* sorted by address, port, protocol */
    size_t service_count;
    struct rg_config_upstream *upstreams; /* sorted by id */
    size_t upstream_count;
};

/* A section of the document: its name and its JSON text, as in the store. */
struct rg_section_text {
    struct rg_str name;
    struct rg_str text;
};

/* Checks all sections together and compiles them. The errors of all sections
 * go into `err`, each location starting with the name of the section. Returns
 * NULL if there were any. The caller destroys the result. */
struct rg_config *rg_config_build(uint64_t generation,
                                  const struct rg_section_text *sections,
                                  size_t count, struct rg_err *err);
void rg_config_destroy(struct rg_config *c);

/* Returns NULL if no service has this address, port and protocol. */
const struct rg_config_service *
rg_config_find_service(const struct rg_config *c, const uint8_t *ip,
                       uint16_t port, uint8_t proto);

/* Id of an instance, service or upstream: a hash of the parts that identify
 * it. Never 0. */
uint64_t rg_identity(struct rg_str a, struct rg_str b);

/* Hash of a section's text in hexadecimal; the store's key of the text. */
void rg_section_hash(struct rg_name *out, struct rg_str text);

#endif
