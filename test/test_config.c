/* Settings and the configuration document: all findings together, each with
 * its place; and a held configuration that never goes back. */
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
assert_finding(const struct rg_err *err, const char *place)
{
    for (size_t i = 0; i < err->count; i++) {
        if (strstr(err->findings[i].place, place)) {
            return;
        }
    }
    g_autofree char *text = rg_err_format(err);
    g_test_message("no finding at %s among:\n%s", place, text);
    g_test_fail();
}

static void
test_good_document(void)
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

static void
test_all_findings_together(void)
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
    assert_finding(&err, "services[1].name");
    assert_finding(&err, "services[2].address");
    assert_finding(&err, "services[3].address");
    assert_finding(&err, "services[3].port");
    assert_finding(&err, "services[3].spill");
    assert_finding(&err, "upstreams[1].address");
    assert_finding(&err, "upstreams[1].service");
    assert_finding(&err, "upstreams[1].data_centre");
    assert_finding(&err, "upstreams[1].wieght");
    assert_finding(&err, "section b");
}

static void
test_syntax_has_line(void)
{
    RG_ERR_AUTO err = {0};

    g_assert_null(build(sites, "{\n\n \"services\": [,]}", &err));
    assert_finding(&err, "line 3");
}

static void
test_settings(void)
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
    assert_finding(&err, "name");
    assert_finding(&err, "packet_address");
    assert_finding(&err, "admin_address");
    assert_finding(&err, "return_address");
    assert_finding(&err, "flows.capacity");
    assert_finding(&err, "membership.probe_ms");
    assert_finding(&err, "policy");
    assert_finding(&err, "colour");
    rg_settings_clear(&s);
}

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

/* A head that names the two texts. */
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

static enum rg_offer
offer(struct rg_state *s, uint64_t generation, const char *second)
{
    g_autofree char *text = head(generation, second);

    return rg_state_offer_head(s, rg_str_of(text));
}

static void
test_never_reverts(void)
{
    struct rg_log log = {.app = "test"};
    struct rg_state *s = rg_state_create(&log);

    g_assert_cmpint(offer(s, 5, shop), ==, RG_OFFER_PENDING);
    g_assert_cmpint(rg_state_offer_section(s, rg_str_of(shop)), ==,
                    RG_OFFER_PENDING);
    g_assert_cmpuint(rg_state_generation(s), ==, 0);
    g_assert_cmpint(rg_state_offer_section(s, rg_str_of(sites)), ==,
                    RG_OFFER_IN_FORCE);
    g_assert_cmpuint(rg_state_generation(s), ==, 5);
    g_assert_cmpint(offer(s, 4, shop), ==, RG_OFFER_OLD);
    g_assert_cmpint(offer(s, 5, sites), ==, RG_OFFER_OLD);
    g_assert_cmpuint(rg_state_config(s)->service_count, ==, 1);
    /* Unchanged sections need not be fetched again. */
    g_assert_cmpint(offer(s, 9, shop), ==, RG_OFFER_IN_FORCE);
    g_assert_cmpint(offer(s, 7, shop), ==, RG_OFFER_OLD);
    g_assert_cmpuint(rg_state_generation(s), ==, 9);
    rg_state_destroy(s);
}

static void
test_newer_head_replaces_gathered(void)
{
    struct rg_log log = {.app = "test"};
    struct rg_state *s = rg_state_create(&log);
    static const char lost[] = "{\"services\": []} ";

    g_assert_cmpint(offer(s, 2, lost), ==, RG_OFFER_PENDING);
    g_assert_cmpint(offer(s, 3, shop), ==, RG_OFFER_PENDING);
    g_assert_cmpint(offer(s, 2, lost), ==, RG_OFFER_OLD);
    rg_state_offer_section(s, rg_str_of(sites));
    g_assert_cmpint(rg_state_offer_section(s, rg_str_of(shop)), ==,
                    RG_OFFER_IN_FORCE);
    g_assert_cmpuint(rg_state_generation(s), ==, 3);
    rg_state_destroy(s);
}

/* A contradictory document is not taken, and what is in force stays. */
static void
test_bad_document_not_taken(void)
{
    struct rg_log log = {.app = "test"};
    struct rg_state *s = rg_state_create(&log);
    static const char bad[] =
        "{\"upstreams\": [{\"name\": \"a\", \"service\": \"x\","
        " \"address\": \"127.0.0.1:1\", \"data_centre\": \"dc1\"}]}";

    offer(s, 1, shop);
    rg_state_offer_section(s, rg_str_of(sites));
    rg_state_offer_section(s, rg_str_of(shop));
    g_assert_cmpuint(rg_state_generation(s), ==, 1);
    offer(s, 2, bad);
    g_assert_cmpint(rg_state_offer_section(s, rg_str_of(bad)), ==,
                    RG_OFFER_BAD);
    g_assert_cmpuint(rg_state_generation(s), ==, 1);
    g_assert_cmpint(offer(s, 3, shop), ==, RG_OFFER_IN_FORCE);
    rg_state_destroy(s);
}

/* Mutated documents and heads; the sanitizers watch. */
static void
test_hostile_text(void)
{
    struct rg_rand rand = {.state = 7};
    struct rg_log log = {.app = "test"};
    struct rg_state *s = rg_state_create(&log);
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
        rg_state_offer_head(s, text);
    }
    rg_state_destroy(s);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config/good", test_good_document);
    g_test_add_func("/config/findings", test_all_findings_together);
    g_test_add_func("/config/line", test_syntax_has_line);
    g_test_add_func("/settings/findings", test_settings);
    g_test_add_func("/settings/networks", test_networks);
    g_test_add_func("/state/never-reverts", test_never_reverts);
    g_test_add_func("/state/newer-head", test_newer_head_replaces_gathered);
    g_test_add_func("/state/bad-document", test_bad_document_not_taken);
    g_test_add_func("/config/hostile", test_hostile_text);
    return g_test_run();
}
