/** @file test-conf.c Configuration updates, table files, keys and settings. */
#include "conf.h"
#include "error.h"
#include "harness.h"
#include "page.h"
#include "key.h"
#include "schema.h"
#include "settings.h"
#include "table.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static struct conf_update update(uint64_t base, uint64_t version, bool full)
{
	struct conf_update u = {.base = base, .version = version, .full = full};

	u.entries = g_ptr_array_new_with_free_func((GDestroyNotify)conf_entry_unref);
	return u;
}

static void add(struct conf_update *u, const char *id, uint64_t version, const char *text)
{
	struct conf_entry *e = table_entry_parse(id, version, text, NULL);

	CU_ASSERT_PTR_NOT_NULL_FATAL(e);
	g_ptr_array_add(u->entries, e);
}

static enum conf_verdict apply(struct conf *c, struct conf_update u)
{
	enum conf_verdict v = conf_apply(c, &u);

	conf_update_clear(&u);
	return v;
}

#define TEAM(rate) "{\"name\":\"t\",\"rate\":" rate ",\"burst\":5}"

static struct conf *with_team(void)
{
	struct conf *c = conf_create();
	struct conf_update u = update(0, 3, true);

	add(&u, "team/t", 3, TEAM("10"));
	CU_ASSERT_EQUAL(apply(c, u), CONF_APPLIED);
	return c;
}

/*
 * Guards against a configuration that reverts: a VM that resumes after a long pause offers its old
 * version, and a withdrawn key or an old rate would be in force again.
 */
static void test_never_reverts(void)
{
	struct conf *c = with_team();
	struct conf_update u = update(0, 2, true);

	add(&u, "team/t", 2, TEAM("99"));
	CU_ASSERT_EQUAL(apply(c, u), CONF_OLD);
	CU_ASSERT_EQUAL(conf_team(c, "t")->rate, 10);
	/* An old entry in a newer update is ignored as well. */
	u = update(3, 4, false);
	add(&u, "team/t", 2, TEAM("99"));
	CU_ASSERT_EQUAL(apply(c, u), CONF_APPLIED);
	CU_ASSERT_EQUAL(conf_team(c, "t")->rate, 10);
	conf_free(c);
}

/*
 * Guards against the return of an older operators' document: a peer read an older copy of the store
 * and offers its content under a higher version.
 */
static void test_an_older_document_is_refused(void)
{
	struct conf *c = with_team();
	struct conf_update u = update(3, 4, false);

	add(&u, "document/operators", 4, "{\"name\":\"operators\",\"version\":49}");
	CU_ASSERT_EQUAL(apply(c, u), CONF_APPLIED);
	u = update(0, 9, true);
	add(&u, "document/operators", 9, "{\"name\":\"operators\",\"version\":43}");
	CU_ASSERT_EQUAL(apply(c, u), CONF_OLD_DOCUMENT);
	CU_ASSERT_PTR_NOT_NULL(conf_team(c, "t"));
	CU_ASSERT_EQUAL(conf_document_version(c), 49);
	u = update(4, 9, false);
	add(&u, "document/operators", 9, "{\"name\":\"operators\",\"version\":51}");
	CU_ASSERT_EQUAL(apply(c, u), CONF_APPLIED);
	conf_free(c);
}

/* Guards against members that stay marked as evacuated after the evacuation has ended. */
static void test_evacuations_mark_members(void)
{
	const char *pool = "{\"name\":\"p\",\"member\":["
			   "{\"name\":\"a\",\"address\":\"1.1.1.1:1\",\"data_center\":\"x\"},"
			   "{\"name\":\"b\",\"address\":\"1.1.1.2:1\",\"data_center\":\"y\"}]}";
	struct conf *c = with_team();
	struct conf_update u = update(3, 4, false);

	add(&u, "evacuation/x", 4, "{\"data_center\":\"x\"}");
	add(&u, "pool/p", 4, pool);
	CU_ASSERT_EQUAL(apply(c, u), CONF_APPLIED);
	CU_ASSERT_TRUE(conf_member_leaves(&conf_pool(c, "p")->member[0]));
	CU_ASSERT_FALSE(conf_member_leaves(&conf_pool(c, "p")->member[1]));
	u = update(4, 5, false);
	add(&u, "evacuation/x", 5, NULL);
	CU_ASSERT_EQUAL(apply(c, u), CONF_APPLIED);
	CU_ASSERT_FALSE(conf_member_leaves(&conf_pool(c, "p")->member[0]));
	conf_free(c);
}

/*
 * Guards against a sorted list that no longer matches the entries after in-place changes, so that a
 * peer would be sent a removed entry or miss one.
 */
static void test_sorted_entries_follow_changes(void)
{
	struct conf *c = with_team();
	uint64_t version;
	int round;

	srand(7);
	for (round = 0, version = 4; round < 4000; round++, version++) {
		struct conf_update u = update(version - 1, version, false);
		const GPtrArray *sorted;
		unsigned live = 0;
		char id[32];
		guint i;

		snprintf(id, sizeof(id), "team/t%d", rand() % 1500);
		add(&u, id, version, rand() % 3 == 0 ? NULL : TEAM("5"));
		CU_ASSERT_EQUAL(apply(c, u), CONF_APPLIED);
		/* The list is built anew in some rounds and changed in place in most. */
		if (rand() % 50 == 0)
			g_clear_pointer(&c->sorted, g_ptr_array_unref);
		sorted = conf_sorted(c);
		for (i = 0; i < sorted->len; i++) {
			const struct conf_entry *e = g_ptr_array_index(sorted, i);
			const struct conf_entry *next =
				i + 1 < sorted->len ? g_ptr_array_index(sorted, i + 1) : NULL;

			live += e->removed ? 0 : 1;
			if (next != NULL && strcmp(e->id, next->id) >= 0)
				CU_FAIL("entries are not sorted by id");
		}
		if (live != g_hash_table_size(c->entries))
			CU_FAIL("number of entries differs from the configuration");
	}
	conf_free(c);
}

static void test_gap_is_not_applied(void)
{
	struct conf *c = with_team();
	struct conf_update u = update(5, 6, false);

	add(&u, "team/t", 6, TEAM("20"));
	CU_ASSERT_EQUAL(apply(c, u), CONF_GAP);
	CU_ASSERT_EQUAL(c->version, 3);
	conf_free(c);
}

static void test_difference_brings_a_peer_up(void)
{
	struct conf *c = with_team();
	struct conf *peer = with_team();
	struct conf_update u = update(3, 4, false);
	struct page p;

	add(&u, "team/u", 4, "{\"name\":\"u\",\"rate\":1,\"burst\":1}");
	apply(c, u);
	u = update(4, 5, false);
	add(&u, "team/t", 5, NULL);
	apply(c, u);
	page_build(c, 3, "", SIZE_MAX, &p);
	u = p.u;
	CU_ASSERT_FALSE(u.full);
	CU_ASSERT_EQUAL(u.entries->len, 2);
	CU_ASSERT_EQUAL(apply(peer, u), CONF_APPLIED);
	CU_ASSERT_PTR_NULL(conf_team(peer, "t"));
	CU_ASSERT_PTR_NOT_NULL(conf_team(peer, "u"));
	CU_ASSERT_EQUAL(peer->version, 5);
	/* A peer older than the oldest known change is sent all entries. */
	page_build(c, 1, "", SIZE_MAX, &p);
	u = p.u;
	CU_ASSERT_TRUE(u.full);
	CU_ASSERT_EQUAL(u.entries->len, 1);
	conf_update_clear(&u);
	conf_free(c);
	conf_free(peer);
}

static void add_route(struct conf_update *u, const char *name, const char *team, const char *kind)
{
	char *id = g_strdup_printf("route/%s", name);
	char *text =
		g_strdup_printf("{\"name\":\"%s\",\"team\":\"%s\",\"kind\":\"%s\",\"pool\":\"%s\"}",
				name, team, kind, name);

	add(u, id, u->version, text);
	g_free(id);
	g_free(text);
}

static void test_most_exact_route(void)
{
	struct conf *c = conf_create();
	struct conf_update u = update(0, 1, true);

	add_route(&u, "any", "*", "*");
	add_route(&u, "kind", "*", "order");
	add_route(&u, "team", "t", "*");
	add_route(&u, "both", "t", "order");
	apply(c, u);
	CU_ASSERT_STRING_EQUAL(conf_route(c, "t", "order")->name, "both");
	CU_ASSERT_STRING_EQUAL(conf_route(c, "t", "page")->name, "team");
	CU_ASSERT_STRING_EQUAL(conf_route(c, "u", "order")->name, "kind");
	CU_ASSERT_STRING_EQUAL(conf_route(c, "u", "page")->name, "any");
	u = update(1, 2, false);
	add(&u, "route/both", 2, NULL);
	apply(c, u);
	CU_ASSERT_STRING_EQUAL(conf_route(c, "t", "order")->name, "team");
	conf_free(c);
}

/*
 * Guards against tables that are accepted in part, and against unclear errors: each invalid table
 * is refused as a whole, naming the file, the key, the value found and the allowed values.
 */
static void test_wrong_tables(void)
{
	static const struct {
		enum table_id which;
		const char *text, *says;
	} wrong[] = {
		{TABLE_ROUTES, "[[route]]\nname = \"a\"", "f: route 1: pool: found nothing"},
		{TABLE_ROUTES, "[[route]]\nname = \"a b\"\npool = \"p\"",
		 "name: found \"a b\"; allowed: a name"},
		{TABLE_ROUTES, "[[route]]\nname = \"a\"\npool = \"p\"\nwriet = true",
		 "wriet: found an unknown key"},
		{TABLE_ROUTES, "[[team]]\nname = \"a\"\nrate = -1\nburst = 1",
		 "rate: found -1; allowed: a number"},
		{TABLE_ROUTES, "[[team]]\nname = \"a\"\nrate = 1\nburst = \"x\"",
		 "burst: found \"x\""},
		{TABLE_ROUTES,
		 "[[route]]\nname = \"a\"\npool = \"p\"\n[[route]]\nname = \"a\"\npool = "
		 "\"q\"\nkind = \"k\"",
		 "found \"a\" twice"},
		{TABLE_ROUTES,
		 "[[route]]\nname = \"a\"\npool = \"p\"\n[[route]]\nname = \"b\"\npool = \"q\"",
		 "found the team and kind of route \"a\" again"},
		{TABLE_POOLS, "[[pool]]\nname = \"p\"", "member: found 0 members"},
		{TABLE_POOLS, "[[pool]]\nname = \"p\"\nconfirm = \"none\"",
		 "confirm: found \"none\"; allowed: one of"},
		{TABLE_POOLS,
		 "[[pool]]\nname = \"p\"\n[[pool.member]]\nname = \"m\"\naddress = \"host:1\"\n"
		 "data_center = \"d\"",
		 "address: found \"host:1\"; allowed: \"ip:port\""},
		{TABLE_POOLS,
		 "[[pool]]\nname = \"p\"\n[[pool.member]]\nname = \"m\"\naddress = \"1.2.3.4:5\"\n"
		 "data_center = \"d\"\nconnections = 3",
		 "connections: found 3; allowed: a whole number from 4 to 65536"},
		{TABLE_POOLS, "pool = 3", "pool: found something else"},
		{TABLE_POOLS, "[[pool]\n", "line 1"},
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(wrong); i++) {
		GError *error = NULL;
		struct table t = {0};
		gboolean ok = table_parse("f", wrong[i].text, wrong[i].which, &t, &error);

		CHECK(!ok && error != NULL, "accepted: %s", wrong[i].text);
		if (error != NULL) {
			CHECK(strstr(error->message, "f: ") == error->message &&
				      strstr(error->message, wrong[i].says) != NULL,
			      "%s", error->message);
			g_error_free(error);
		}
		table_clear(&t);
	}
}

static void test_table_round_trip(void)
{
	static const char *const text =
		"base_version = 7\n[[pool]]\nname = \"p\"\nconfirm = \"primary\"\n"
		"[[pool.member]]\nname = \"m\"\naddress = \"10.0.0.1:5432\"\n"
		"data_center = \"d\"\nslots = 3\nconnections = 9\nleaving = true\n";
	struct table t = {0}, back = {0};
	const struct conf_entry *a, *b;
	char *toml;

	CU_ASSERT_TRUE_FATAL(table_parse("f", text, TABLE_POOLS, &t, NULL));
	CU_ASSERT_EQUAL(t.base, 7);
	toml = table_to_toml(t.entries, TABLE_POOLS, 8);
	CU_ASSERT_TRUE_FATAL(table_parse("g", toml, TABLE_POOLS, &back, NULL));
	a = g_ptr_array_index(t.entries, 0);
	b = g_ptr_array_index(back.entries, 0);
	CU_ASSERT_EQUAL(back.base, 8);
	CU_ASSERT_STRING_EQUAL(a->text, b->text);
	CU_ASSERT_EQUAL(b->pool.confirm, CONFIRM_PRIMARY);
	CU_ASSERT_TRUE(b->pool.member[0].leaving);
	g_free(toml);
	table_clear(&t);
	table_clear(&back);
}

static void test_routes_need_their_pools(void)
{
	struct table routes = {0}, pools = {0};
	GError *error = NULL;

	table_parse("r", "[[route]]\nname = \"a\"\npool = \"missing\"", TABLE_ROUTES, &routes,
		    NULL);
	table_parse("p", "", TABLE_POOLS, &pools, NULL);
	CU_ASSERT_FALSE(table_check_pool_references("r", routes.entries, pools.entries, &error));
	CU_ASSERT_PTR_NOT_NULL(strstr(error->message, "pool: found \"missing\""));
	g_error_free(error);
	table_clear(&routes);
	table_clear(&pools);
}

static void test_keys(void)
{
	struct conf_key key;
	struct conf_entry *e;
	char text[KEY_TEXT_SIZE], id[NAME_SIZE];
	unsigned char hash[KEY_HASH_SIZE];

	CU_ASSERT_TRUE_FATAL(sodium_init() >= 0);
	key_create("clerks", &key, text);
	CU_ASSERT_TRUE(key_id(text, id, sizeof(id)));
	CU_ASSERT_STRING_EQUAL(id, key.id);
	key_hash(text, hash);
	CU_ASSERT_TRUE(key_hash_equal(hash, key.hash));
	e = table_key_entry(&key);
	/* The stored entry contains neither the key nor its secret part. */
	CU_ASSERT_PTR_NULL(strstr(e->text, strrchr(text, '_') + 1));
	conf_entry_unref(e);
	CU_ASSERT_FALSE(key_id("mlk_", id, sizeof(id)));
	CU_ASSERT_FALSE(key_id("password", id, sizeof(id)));
}

static gboolean load_settings(const char *text, char **message)
{
	char *path = g_build_filename(g_get_tmp_dir(), "mangoloom-settings-test", NULL);
	struct settings s;
	GError *error = NULL;
	gboolean ok;

	g_file_set_contents(path, text, -1, NULL);
	ok = settings_load(path, &s, &error);
	*message = g_strdup(error != NULL ? error->message : "");
	g_clear_error(&error);
	remove(path);
	g_free(path);
	return ok;
}

#define VM_PART                                                                                    \
	"[vm]\nname = \"v\"\ndata_center = \"d\"\ncaller_address = \"127.0.0.1:1\"\nrpc_address "  \
	"= \"127.0.0.1:2\"\n"

static void test_settings(void)
{
	static const struct {
		const char *text, *says;
	} wrong[] = {
		{"[vm]\nname = \"v\"", "[vm]: data_center: found nothing"},
		{VM_PART, "[platform]: endpoints"},
		{VM_PART "[platform]\nendpoints = [\"x\"]", "[platform]: endpoints: found \"x\""},
		{VM_PART "[platform]\nendpoints = [\"1.2.3.4:5\"]\n[rpc]\nheartbeat_ms = 0",
		 "heartbeat_ms: found 0"},
		{VM_PART "[platform]\nendpoints = [\"1.2.3.4:5\"]\n[tls]\nkey = \"k\"",
		 "[tls]: found one of"},
		{VM_PART "[platfrom]\n", "platfrom: found an unknown key"},
	};
	char *message;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(wrong); i++) {
		CHECK(!load_settings(wrong[i].text, &message), "accepted: %s", wrong[i].text);
		CHECK(strstr(message, wrong[i].says) != NULL, "%s", message);
		g_free(message);
	}
	CHECK(load_settings(VM_PART "[platform]\nendpoints = [\"1.2.3.4:5\"]", &message), "%s",
	      message);
	g_free(message);
}

/* Guards against example settings and tables that the parser no longer accepts. */
static void test_examples_are_valid(void)
{
	static const char *const users[] = {"maison-ben-ammar", "llegadas-del-plata"};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(users); i++) {
		char *routes_path = g_strdup_printf("examples/%s/routes.toml", users[i]);
		char *pools_path = g_strdup_printf("examples/%s/pools.toml", users[i]);
		char *vm_path = g_strdup_printf("examples/%s/vm.toml", users[i]);
		struct table routes = {0}, pools = {0};
		struct settings vm;
		GError *error = NULL;

		CHECK(table_load(routes_path, TABLE_ROUTES, &routes, &error) &&
			      table_load(pools_path, TABLE_POOLS, &pools, &error) &&
			      table_check_pool_references(routes_path, routes.entries,
							  pools.entries, &error) &&
			      settings_load(vm_path, &vm, &error),
		      "%s", error != NULL ? error->message : "");
		g_clear_error(&error);
		table_clear(&routes);
		table_clear(&pools);
		g_free(routes_path);
		g_free(pools_path);
		g_free(vm_path);
	}
}

/** A space makes the text one that only the JSON parser reads. */
static char *with_space(const char *text)
{
	return g_strdup_printf("{ %s", text + 1);
}

/* The fast reader of texts that daemons write must give what the JSON parser gives. */
static void test_plain_text_is_read_as_json(void)
{
	static const struct {
		const char *id, *text;
	} entries[] = {
		{"route/r", "{\"name\":\"r\",\"team\":\"*\",\"kind\":\"k\",\"pool\":\"p\","
			    "\"write\":false,\"max_age_ms\":1500,\"mode\":\"bounded\"}"},
		{"team/t", "{\"name\":\"t\",\"rate\":0.25,\"burst\":8}"},
		{"pool/p",
		 "{\"name\":\"p\",\"confirm\":\"primary\",\"sync_replicas\":1,\"member\":["
		 "{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"data_center\":\"d\"},"
		 "{\"name\":\"b\",\"address\":\"127.0.0.1:2\",\"data_center\":\"d\","
		 "\"leaving\":true,\"cold_per_s\":2.5}]}"},
		{"evacuation/d", "{\"data_center\":\"d\"}"},
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(entries); i++) {
		char *spaced = with_space(entries[i].text);
		struct conf_entry *plain =
			table_entry_parse(entries[i].id, 1, entries[i].text, NULL);
		struct conf_entry *json = table_entry_parse(entries[i].id, 1, spaced, NULL);

		CU_ASSERT_PTR_NOT_NULL_FATAL(plain);
		CU_ASSERT_PTR_NOT_NULL_FATAL(json);
		CU_ASSERT_EQUAL(memcmp(&plain->pool, &json->pool, conf_kind_size(plain->kind)), 0);
		conf_entry_unref(plain);
		conf_entry_unref(json);
		g_free(spaced);
	}
}

/* Guards against a fast reader that accepts what the JSON parser and its checks refuse. */
static void test_invalid_text_is_refused_in_each_form(void)
{
	static const char *const texts[] = {
		"",
		"{",
		"[]",
		"{\"name\":\"p\"}",
		"{\"name\":\"p\",\"member\":[]}",
		"{\"name\":\"p\",\"member\":[{\"name\":\"a\"}]}",
		"{\"name\":\"p\",\"extra\":1,\"member\":[{\"name\":\"a\",\"address\":\"1.2.3.4:5\","
		"\"data_center\":\"d\"}]}",
		"{\"name\":\"p q\",\"member\":[{\"name\":\"a\",\"address\":\"1.2.3.4:5\","
		"\"data_center\":\"d\"}]}",
		"{\"name\":\"p\",\"sync_replicas\":8,\"member\":[{\"name\":\"a\","
		"\"address\":\"1.2.3.4:5\",\"data_center\":\"d\"}]}",
		"{\"name\":\"p\",\"sync_replicas\":1.5,\"member\":[{\"name\":\"a\","
		"\"address\":\"1.2.3.4:5\",\"data_center\":\"d\"}]}",
		"{\"name\":\"p\",\"member\":[{\"name\":\"a\",\"address\":\"1.2.3.4\","
		"\"data_center\":\"d\"}]}",
		"{\"name\":\"p\",\"member\":[{\"name\":\"a\",\"address\":\"1.2.3.4:5\","
		"\"data_center\":\"d\"},{\"name\":\"a\",\"address\":\"1.2.3.4:6\","
		"\"data_center\":\"d\"}]}",
		"{\"name\":\"p\",\"member\":[{\"name\":\"a\",\"address\":\"1.2.3.4:5\","
		"\"data_center\":\"d\"}]}x",
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		GError *error = NULL;

		CHECK(table_entry_parse("pool/p", 1, texts[i], &error) == NULL, "accepted: %s",
		      texts[i]);
		CU_ASSERT_PTR_NOT_NULL(error);
		g_clear_error(&error);
	}
}

static const struct test_case cases[] = {
	{"plain_text_is_read_as_json", test_plain_text_is_read_as_json},
	{"invalid_text_is_refused_in_each_form", test_invalid_text_is_refused_in_each_form},
	{"never_reverts", test_never_reverts},
	{"an_older_document_is_refused", test_an_older_document_is_refused},
	{"evacuations_mark_members", test_evacuations_mark_members},
	{"sorted_entries_follow_changes", test_sorted_entries_follow_changes},
	{"gap_is_not_applied", test_gap_is_not_applied},
	{"difference_brings_a_peer_up", test_difference_brings_a_peer_up},
	{"most_exact_route", test_most_exact_route},
	{"wrong_tables", test_wrong_tables},
	{"table_round_trip", test_table_round_trip},
	{"routes_need_their_pools", test_routes_need_their_pools},
	{"keys", test_keys},
	{"settings", test_settings},
	{"examples_are_valid", test_examples_are_valid},
};
HARNESS_MAIN("conf", cases)
