/* Settings of a rattangapd instance: loading, and checks that the option table
 * cannot express. */
#ifndef RG_OPTIONS_SETTINGS_H
#define RG_OPTIONS_SETTINGS_H

#include "options/settings.gen.h"

/* Reads and checks a settings file. Errors go into `err`. Returns true if
 * there were none. Release `s` with rg_settings_clear() in either case. */
bool rg_settings_load(struct rg_settings *s, const char *path,
                      struct rg_err *err);
void rg_settings_clear(struct rg_settings *s);

/* Reads a whole file of less than 64 MB into a NUL-terminated buffer that the
 * caller frees. On failure, adds an error and returns NULL. */
char *rg_read_file(const char *path, size_t *len, struct rg_err *err);

#endif
