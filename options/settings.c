#include "options/settings.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "common/netlist.h"

#define FILE_MAX_BYTES (64 * 1024 * 1024)
#define READ_BYTES 65536

static void
check_networks(char *const *texts, size_t count, const char *key,
               struct rg_err *err)
{
    struct rg_network n;
    char location[64];

    for (size_t i = 0; i < count; i++) {
        if (texts[i] && !rg_network_parse(&n, texts[i])) {
            snprintf(location, sizeof(location), "%s[%zu]", key, i);
            rg_err_add(err, location, "a network like \"127.0.0.0/8\"",
                       "\"%s\"", texts[i]);
        }
    }
}

static void
check_urls(const struct rg_settings *s, struct rg_err *err)
{
    char location[64];

    for (size_t i = 0; i < s->store.urls_count; i++) {
        const char *url = s->store.urls[i];
        if (url && strncmp(url, "http://", 7) != 0 &&
            strncmp(url, "https://", 8) != 0) {
            snprintf(location, sizeof(location), "store.urls[%zu]", i);
            rg_err_add(err, location, "an http:// or https:// URL", "\"%s\"",
                       url);
        }
    }
}

static void
check_probe_times(const struct rg_settings *s, struct rg_err *err)
{
    if (s->membership.ack_ms >= s->membership.probe_ms) {
        rg_err_add(err, "membership.ack_ms", "less than membership.probe_ms",
                   "%u", s->membership.ack_ms);
    }
}

char *
rg_read_file(const char *path, size_t *len, struct rg_err *err)
{
    FILE *in = fopen(path, "rb");
    char *text = rg_calloc(1, 1);
    size_t size = 0;

    *len = 0;
    if (!in) {
        rg_err_add(err, path, "a readable file", "%s", strerror(errno));
        free(text);
        return NULL;
    }
    for (;;) {
        size += READ_BYTES;
        text = rg_realloc(text, size + 1);
        size_t got = fread(text + *len, 1, size - *len, in);
        *len += got;
        if (got == 0 || *len >= FILE_MAX_BYTES) {
            break;
        }
    }
    if (ferror(in) || *len >= FILE_MAX_BYTES) {
        rg_err_add(err, path, "a readable file of less than 64 MB", "%s",
                   ferror(in) ? "a read error" : "a larger file");
        fclose(in);
        free(text);
        return NULL;
    }
    fclose(in);
    text[*len] = '\0';
    return text;
}

bool
rg_settings_load(struct rg_settings *s, const char *path, struct rg_err *err)
{
    size_t len;
    size_t before = err->count;

    memset(s, 0, sizeof(*s));
    RG_AUTO_FREE char *text = rg_read_file(path, &len, err);
    if (!text) {
        return false;
    }
    rg_opt_load(&rg_settings_options, s, (struct rg_str){text, len}, err);
    check_networks(s->peer_networks, s->peer_networks_count, "peer_networks",
                   err);
    check_networks(s->fabric_networks, s->fabric_networks_count,
                   "fabric_networks", err);
    check_urls(s, err);
    check_probe_times(s, err);
    if (s->advertise_address.port == 0) {
        s->advertise_address = s->packet_address;
    }
    return err->count == before;
}

void
rg_settings_clear(struct rg_settings *s)
{
    rg_opt_clear(&rg_settings_options, s);
}
