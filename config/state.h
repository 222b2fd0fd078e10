/* The configuration of an instance: the active one, and a pending one whose
 * section texts are not complete yet. Accepts heads and section texts from the
 * store and from peers in any order, and activates only newer generations than
 * the active one. Does no I/O. Not thread-safe. */
#ifndef RG_CONFIG_STATE_H
#define RG_CONFIG_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/log.h"
#include "common/str.h"
#include "config/config.h"

enum rg_offer_result {
    RG_OFFER_STALE,     /* not newer than what is known; nothing changed */
    RG_OFFER_PENDING,   /* newer; section texts are missing */
    RG_OFFER_ACTIVATED, /* newer and complete: now the active configuration */
    RG_OFFER_INVALID,   /* malformed, or the sections have errors */
};

struct rg_config_state;

struct rg_config_state *rg_config_state_create(const struct rg_log *log);
void rg_config_state_destroy(struct rg_config_state *s);

/* Offers the text of a head. If it is newer, it replaces a pending one. */
enum rg_offer_result rg_config_state_offer_head(struct rg_config_state *s,
                                                struct rg_str text);

/* Offers the text of a section, which is kept only if the pending head names
 * its hash. */
enum rg_offer_result rg_config_state_offer_section(struct rg_config_state *s,
                                                   struct rg_str text);

/* Hash of a section that the pending head still needs, or NULL. */
const struct rg_name *
rg_config_state_missing_section(const struct rg_config_state *s);

/* Active generation, 0 for none. */
uint64_t rg_config_state_generation(const struct rg_config_state *s);

/* Pending generation, 0 for none. */
uint64_t rg_config_state_pending_generation(const struct rg_config_state *s);

/* The active configuration, NULL for none. An offer that returns
 * RG_OFFER_ACTIVATED replaces it; the replaced one stays valid until the next
 * such offer. */
const struct rg_config *
rg_config_state_active(const struct rg_config_state *s);

/* Text of the active head, or of a section of it; empty if there is none. */
struct rg_str rg_config_state_head_text(const struct rg_config_state *s);
struct rg_str rg_config_state_section_text(const struct rg_config_state *s,
                                           struct rg_str hash);

#endif
