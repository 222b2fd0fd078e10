/* The daemon's settings file. */
#ifndef RG_EDGE_SETTINGS_H
#define RG_EDGE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "options/edge.gen.h"

/* Reads and checks the settings; `hash` tells one text from another and is
 * left alone if the file cannot be read. Findings go into `err`. Release with
 * rg_opt_clear(&rg_edge_options, out) in either case. */
bool rg_edge_settings_load(struct rg_edge *out, const char *path,
                           uint32_t *hash, struct rg_err *err);

/* The tightest bound on the view's lag behind the store. */
uint32_t rg_edge_max_staleness_ms(const struct rg_edge *set);

#endif
