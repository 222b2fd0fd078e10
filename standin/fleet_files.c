/* Files of a fleet: sections of the document, settings of each daemon. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/mem.h"
#include "standin/common.h"
#include "standin/fleet_priv.h"

const char *
sd_fleet_write_file(struct sd_fleet *f, const char *name, const char *text)
{
    snprintf(f->written, sizeof(f->written), "%s/%s", f->dir, name);
    FILE *out = fopen(f->written, "w");
    if (!out || fputs(text, out) < 0 || fclose(out) != 0) {
        sd_die("cannot write %s", f->written);
    }
    return f->written;
}

static void
print_service(const struct sd_fleet *f, FILE *out, const char *service,
              int number)
{
    bool udp = number == 2 && f->opts.udp_gallery;
    char max[64] = "";

    if (f->opts.max_flows > 0) {
        snprintf(max, sizeof(max), ", \"max_flows_per_upstream\": %u",
                 f->opts.max_flows);
    }
    if (number == 1 && f->opts.v6_storefront) {
        fprintf(out, "  {\"name\": \"%s\", \"address\": \"2001:db8:1::1\"",
                service);
    }
    else {
        fprintf(out, "  {\"name\": \"%s\", \"address\": \"203.0.113.%d\"",
                service, number);
    }
    fprintf(out,
            ", \"port\": 80, \"protocol\": \"%s\", "
            "\"deviation_percent\": %u%s}\n",
            udp ? "udp" : "tcp", f->opts.deviation_percent, max);
}

char *
sd_fleet_section_text(const struct sd_fleet *f, const char *service,
                      const char *upstream, const char *state)
{
    int number = strcmp(service, "storefront") == 0 ? 1 : 2;
    uint32_t count = number == 1 ? f->opts.storefront : f->opts.gallery;
    char *text = NULL;
    size_t len;
    FILE *out = open_memstream(&text, &len);

    fprintf(out, "{ // section of the %s team\n \"services\": [\n", service);
    print_service(f, out, service, number);
    fprintf(out, " ],\n \"upstreams\": [\n");
    for (uint32_t i = 0; i < count; i++) {
        char name[64];
        snprintf(name, sizeof(name), "%s-%u", service, i + 1);
        bool changed = upstream && strcmp(upstream, name) == 0;
        fprintf(out,
                "  {\"name\": \"%s\", \"service\": \"%s\", \"address\": "
                "\"127.%u.%u.%u:9000\", \"data_centre\": \"dc1\", "
                "\"state\": \"%s\"}%s\n",
                name, service, f->opts.net, 10 + number, i + 1,
                changed ? state : "active", i + 1 < count ? "," : "");
    }
    fprintf(out, " ]\n}\n");
    fclose(out);
    return text;
}

void
sd_fleet_write_sections(struct sd_fleet *f)
{
    static const char *const names[] = {"storefront", "gallery"};

    snprintf(f->sections[0], sizeof(f->sections[0]), "%s",
             sd_fleet_write_file(f, "sites.json",
                                 "{\"data_centres\": [{\"name\": \"dc1\"}, "
                                 "{\"name\": \"dc2\"}]}\n"));
    for (int i = 0; i < 2; i++) {
        char file[64];
        RG_AUTO_FREE char *text =
            sd_fleet_section_text(f, names[i], NULL, NULL);
        snprintf(file, sizeof(file), "%s.json", names[i]);
        snprintf(f->sections[i + 1], sizeof(f->sections[0]), "%s",
                 sd_fleet_write_file(f, file, text));
    }
}

static void
print_store_settings(const struct sd_fleet *f, FILE *out, uint32_t i)
{
    if (f->opts.no_store) {
        return;
    }
    fprintf(out, ",\n \"store\": {\"urls\": [\"http://");
    if (f->opts.proxy) {
        fprintf(out, "127.%u.3.%u:8000", f->opts.net, i + 1);
    }
    else {
        fprintf(out, "%s", f->store);
    }
    fprintf(out, "\"], \"timeout_ms\": 500, \"watch_ms\": 2000}");
}

void
sd_fleet_write_settings(struct sd_fleet *f, uint32_t i)
{
    struct daemon *d = &f->daemons[i];
    char name[64];
    char *text = NULL;
    size_t len;
    FILE *out = open_memstream(&text, &len);

    fprintf(out,
            "{\n \"name\": \"entry-%u\", \"data_centre\": \"dc1\",\n"
            " \"packet_address\": \"%s\", \"advertise_address\": \"%s\",\n"
            " \"admin_address\": \"%s\", \"return_address\": \"%s\",\n"
            " \"peer_networks\": [\"127.0.0.0/8\"],\n"
            " \"fabric_networks\": [\"127.%u.0.0/16\"],\n"
            " \"seeds\": [\"%s\", \"%s\"],\n"
            " \"log_level\": \"%s\"",
            i + 1, d->packets, d->public, d->admin, f->back, f->opts.net,
            f->daemons[0].public, f->daemons[1].public,
            f->opts.quiet ? "err" : "warning");
    if (f->opts.policy) {
        fprintf(out, ",\n \"policy\": \"%s\"", f->opts.policy);
    }
    print_store_settings(f, out, i);
    fprintf(out, "%s%s\n}\n", f->opts.extra ? ",\n " : "",
            f->opts.extra ? f->opts.extra : "");
    fclose(out);
    snprintf(name, sizeof(name), "entry-%u.json", i + 1);
    snprintf(d->settings, sizeof(d->settings), "%s",
             sd_fleet_write_file(f, name, text));
    free(text);
}

void
sd_fleet_set_addresses(struct sd_fleet *f)
{
    unsigned net = f->opts.net;

    snprintf(f->store, TEXT_MAX, "127.%u.0.1:8000", net);
    snprintf(f->store_url, TEXT_MAX, "http://%s", f->store);
    snprintf(f->fabric, TEXT_MAX, "127.%u.0.2:6000", net);
    snprintf(f->back, TEXT_MAX, "127.%u.0.2:6001", net);
    snprintf(f->upstreams, TEXT_MAX, "127.%u.0.3:9100", net);
    snprintf(f->proxy, TEXT_MAX, "127.%u.0.5:5100", net);
    for (uint32_t i = 0; i < SD_FLEET_MAX; i++) {
        struct daemon *d = &f->daemons[i];
        snprintf(d->packets, TEXT_MAX, "127.%u.1.%u:7000", net, i + 1);
        snprintf(d->public, TEXT_MAX, "127.%u.%d.%u:7000", net,
                 f->opts.proxy ? 2 : 1, i + 1);
        snprintf(d->admin, TEXT_MAX, "127.%u.1.%u:8080", net, i + 1);
    }
}

void
sd_fleet_remove_files(struct sd_fleet *f)
{
    char path[TEXT_MAX * 3];
    static const char *const names[] = {"sites", "storefront", "gallery",
                                        "edit"};

    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        snprintf(path, sizeof(path), "%s/%s.json", f->dir, names[i]);
        unlink(path);
    }
    for (uint32_t i = 0; i < f->slots; i++) {
        unlink(f->daemons[i].settings);
    }
    rmdir(f->dir);
}
