/* The settings file of rattangap-edge. */
#ifndef RG_EDGE_SETTINGS_H
#define RG_EDGE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "options/edge.gen.h"

/* Reads and validates the settings; adds errors to `err`. Sets `hash` to a
 * hash of the file's text, by which changes are detected; leaves it as it is
 * if the file cannot be read. Release `out` with
 * rg_opt_clear(&rg_edge_options, out) whatever is returned. */
bool rg_edge_settings_load(struct rg_edge *out, const char *path,
                           uint32_t *hash, struct rg_err *err);

/* The longest time that the view may lag behind the store: the smallest of
 * drain_ms, apply_ms and evacuate_ms. */
uint32_t rg_edge_max_staleness_ms(const struct rg_edge *settings);

#endif
