/* Settings and the configuration document: all errors are reported together,
 * each with its location. The configuration state never goes back to an older
 * generation, whatever the order in which heads and sections arrive. */
#include <glib.h>
#include <string.h>

#include "common/netlist.h"
#include "common/rand.h"
#include "config/state.h"
#include "options/settings.h"

static const char sites[] = "{\"data_centres\": [{\"name\": \"dc1\"}]}";

static const char shop[] =
    "{ // comment\n"
    "\"services\": [{\"name\": \"shop\", \"address\": \"203.0.113.1\","
    " \"port\": 80}],\n"
    "/* another */ \"upstreams\": [{\"name\": \"a\", \"service\": \"shop\","
    " \"address\": \"127.0.0.1:9000\", \"data_centre\": \"dc1\"}]}";

static struct rg_config *
build(const char *a, const char *b, struct rg_err *err)
{
    struct rg_section_text texts[] = {
        {rg_str_of("a"), rg_str_of(a)},
        {rg_str_of("b"), rg_str_of(b)},
    };

    return rg_config_build(1, texts, 2, err);
}

static void
assert_error_at(const struct rg_err *err, const char *location)
{
    for (size_t i = 0; i < err->count; i++) {
        if (strstr(err->entries[i].location, location)) {
            return;
        }
    }
    g_autofree char *text = rg_err_format(err);
    g_test_message("no error at %s among:\n%s", location, text);
    g_test_fail();
}

static void
test_valid_document(void)
{
    RG_ERR_AUTO err = {0};
    struct rg_config *c = build(sites, shop, &err);
    uint8_t ip[RG_IP_LEN];

    g_assert_nonnull(c);
    rg_ip_parse(ip, "203.0.113.1");
    g_assert_nonnull(rg_config_find_service(c, ip, 80, 6));
    g_assert_null(rg_config_find_service(c, ip, 81, 6));
    g_assert_null(rg_config_find_service(c, ip, 80, 17));
    g_assert_cmpuint(c->upstreams[0].weight, ==, 100);
    rg_config_destroy(c);
}

/* Errors within a section and contradictions between sections are reported in
 * one go, not only the first. */
static void
test_all_errors_reported(void)
{
    RG_ERR_AUTO err = {0};
    static const char bad[] =
        "{\"services\": ["
        "{\"name\": \"s1\", \"address\": \"203.0.113.1\", \"port\": 80},"
        "{\"name\": \"s1\", \"address\": \"203.0.113.2\", \"port\": 80},"
        "{\"name\": \"s3\", \"address\": \"203.0.113.1\", \"port\": 80},"
        "{\"name\": \"s4\", \"address\": \"nowhere\", \"port\": 0,"
        " \"spill\": [\"dc9\"]}],"
        "\"upstreams\": ["
        "{\"name\": \"a\", \"service\": \"s1\", \"address\": "
        "\"127.0.0.1:1\", \"data_centre\": \"dc1\"},"
        "{\"name\": \"b\", \"service\": \"none\", \"address\": "
        "\"127.0.0.1:1\", \"data_centre\": \"dc7\", \"wieght\": 3}]}";

    g_assert_null(build(sites, bad, &err));
    assert_error_at(&err, "services[1].name");
    assert_error_at(&err, "services[2].address");
    assert_error_at(&err, "services[3].address");
    assert_error_at(&err, "services[3].port");
    assert_error_at(&err, "services[3].spill");
    assert_error_at(&err, "upstreams[1].address");
    assert_error_at(&err, "upstreams[1].service");
    assert_error_at(&err, "upstreams[1].data_centre");
    assert_error_at(&err, "upstreams[1].wieght");
    assert_error_at(&err, "section b");
}

static void
test_syntax_error_has_line(void)
{
    RG_ERR_AUTO err = {0};

    g_assert_null(build(sites, "{\n\n \"services\": [,]}", &err));
    assert_error_at(&err, "line 3");
}

/* Missing, malformed, out-of-range and unknown settings are all reported. */
static void
test_settings_errors(void)
{
    struct rg_settings s;
    RG_ERR_AUTO err = {0};
    static const char text[] =
        "{\"name\": \"entry 1\", \"data_centre\": \"dc1\","
        " \"packet_address\": \"127.0.0.1\", \"flows\": {\"capacity\": 1},"
        " \"membership\": {\"probe_ms\": \"fast\"}, \"policy\": \"none\","
        " \"colour\": 1}";

    g_assert_false(
        rg_opt_load(&rg_settings_options, &s, rg_str_of(text), &err));
    assert_error_at(&err, "name");
    assert_error_at(&err, "packet_address");
    assert_error_at(&err, "admin_address");
    assert_error_at(&err, "return_address");
    assert_error_at(&err, "flows.capacity");
    assert_error_at(&err, "membership.probe_ms");
    assert_error_at(&err, "policy");
    assert_error_at(&err, "colour");
    rg_settings_clear(&s);
}

/* Prefixes that do not end at a byte, IPv6, and malformed networks. */
static void
test_networks(void)
{
    char *texts[] = {"127.0.0.0/9", "fd00::/8"};
    struct rg_netlist l;
    struct rg_network n;
    struct rg_addr a;

    rg_netlist_init(&l, texts, 2);
    rg_addr_parse(&a, "127.127.0.1:1");
    g_assert_true(rg_netlist_allows(&l, &a));
    rg_addr_parse(&a, "127.128.0.1:1");
    g_assert_false(rg_netlist_allows(&l, &a));
    rg_addr_parse(&a, "[fd12::1]:1");
    g_assert_true(rg_netlist_allows(&l, &a));
    g_assert_false(rg_network_parse(&n, "127.0.0.0/33"));
    g_assert_false(rg_network_parse(&n, "127.0.0.0"));
    rg_netlist_release(&l);
}

/* The text of a head with two sections: `sites` and `second`. */
static char *
head(uint64_t generation, const char *second)
{
    struct rg_name h1;
    struct rg_name h2;

    rg_section_hash(&h1, rg_str_of(sites));
    rg_section_hash(&h2, rg_str_of(second));
    return g_strdup_printf(
        "{\"generation\": %" G_GUINT64_FORMAT ", \"sections\": ["
        "{\"name\": \"sites\", \"owner\": \"ops\", \"hash\": \"%s\"},"
        "{\"name\": \"shop\", \"owner\": \"ops\", \"hash\": \"%s\"}]}",
        generation, h1.s, h2.s);
}

static enum rg_offer_result
offer(struct rg_config_state *s, uint64_t generation, const char *second)
{
    g_autofree char *text = head(generation, second);

    return rg_config_state_offer_head(s, rg_str_of(text));
}

/* A head that is older than the active one, or another of the same generation,
 * is not activated, and a newer one only once all its sections are there. */
static void
test_never_reverts(void)
{
    struct rg_log log = {.app = "test"};
    struct rg_config_state *s = rg_config_state_create(&log);

    g_assert_cmpint(offer(s, 5, shop), ==, RG_OFFER_PENDING);
    g_assert_cmpint(rg_config_state_offer_section(s, rg_str_of(shop)), ==,
                    RG_OFFER_PENDING);
    g_assert_cmpuint(rg_config_state_generation(s), ==, 0);
    g_assert_cmpint(rg_config_state_offer_section(s, rg_str_of(sites)), ==,
                    RG_OFFER_ACTIVATED);
    g_assert_cmpuint(rg_config_state_generation(s), ==, 5);
    g_assert_cmpint(offer(s, 4, shop), ==, RG_OFFER_STALE);
    g_assert_cmpint(offer(s, 5, sites), ==, RG_OFFER_STALE);
    g_assert_cmpuint(rg_config_state_active(s)->service_count, ==, 1);
    /* Unchanged sections need not be fetched again. */
    g_assert_cmpint(offer(s, 9, shop), ==, RG_OFFER_ACTIVATED);
    g_assert_cmpint(offer(s, 7, shop), ==, RG_OFFER_STALE);
    g_assert_cmpuint(rg_config_state_generation(s), ==, 9);
    rg_config_state_destroy(s);
}

/* A section that cannot be had must not block newer heads: a newer head
 * replaces the pending one. */
static void
test_newer_head_replaces_pending(void)
{
    struct rg_log log = {.app = "test"};
    struct rg_config_state *s = rg_config_state_create(&log);
    static const char lost[] = "{\"services\": []} ";

    g_assert_cmpint(offer(s, 2, lost), ==, RG_OFFER_PENDING);
    g_assert_cmpint(offer(s, 3, shop), ==, RG_OFFER_PENDING);
    g_assert_cmpint(offer(s, 2, lost), ==, RG_OFFER_STALE);
    rg_config_state_offer_section(s, rg_str_of(sites));
    g_assert_cmpint(rg_config_state_offer_section(s, rg_str_of(shop)), ==,
                    RG_OFFER_ACTIVATED);
    g_assert_cmpuint(rg_config_state_generation(s), ==, 3);
    rg_config_state_destroy(s);
}

/* A document with errors is rejected, the active one stays, and a later valid
 * one is accepted. */
static void
test_invalid_document_rejected(void)
{
    struct rg_log log = {.app = "test"};
    struct rg_config_state *s = rg_config_state_create(&log);
    static const char bad[] =
        "{\"upstreams\": [{\"name\": \"a\", \"service\": \"x\","
        " \"address\": \"127.0.0.1:1\", \"data_centre\": \"dc1\"}]}";

    offer(s, 1, shop);
    rg_config_state_offer_section(s, rg_str_of(sites));
    rg_config_state_offer_section(s, rg_str_of(shop));
    g_assert_cmpuint(rg_config_state_generation(s), ==, 1);
    offer(s, 2, bad);
    g_assert_cmpint(rg_config_state_offer_section(s, rg_str_of(bad)), ==,
                    RG_OFFER_INVALID);
    g_assert_cmpuint(rg_config_state_generation(s), ==, 1);
    g_assert_cmpint(offer(s, 3, shop), ==, RG_OFFER_ACTIVATED);
    rg_config_state_destroy(s);
}

/* Randomly changed and truncated documents and heads do not crash the parsers.
 * Memory errors show in the build with sanitizers. */
static void
test_fuzzed_text(void)
{
    struct rg_rand rand = {.state = 7};
    struct rg_log log = {.app = "test"};
    struct rg_config_state *s = rg_config_state_create(&log);
    g_autofree char *h = head(3, shop);
    const char *bases[] = {shop, h};

    for (int round = 0; round < 20000; round++) {
        const char *base = bases[round & 1];
        size_t len = strlen(base);
        g_autofree char *copy = g_strdup(base);
        for (int i = 0; i < 3; i++) {
            copy[rg_rand_below(&rand, (uint32_t)len)] =
                (char)rg_rand_next(&rand);
        }
        struct rg_str text = {copy, rg_rand_below(&rand, (uint32_t)len + 1)};
        RG_ERR_AUTO err = {0};
        struct rg_section_text one = {rg_str_of("x"), text};
        rg_config_destroy(rg_config_build(1, &one, 1, &err));
        rg_config_state_offer_head(s, text);
    }
    rg_config_state_destroy(s);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config/valid", test_valid_document);
    g_test_add_func("/config/all-errors-reported", test_all_errors_reported);
    g_test_add_func("/config/syntax-error-line", test_syntax_error_has_line);
    g_test_add_func("/settings/all-errors-reported", test_settings_errors);
    g_test_add_func("/settings/networks", test_networks);
    g_test_add_func("/state/never-reverts", test_never_reverts);
    g_test_add_func("/state/newer-head-replaces-pending",
                    test_newer_head_replaces_pending);
    g_test_add_func("/state/invalid-document-rejected",
                    test_invalid_document_rejected);
    g_test_add_func("/config/fuzzed-text", test_fuzzed_text);
    return g_test_run();
}
