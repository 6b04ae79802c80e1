/** @file test-records.c Parsing of the operators' document and of backend servers' records. */
#include "harness.h"
#include "key.h"
#include "platform-adapter.h"
#include "statement.h"
#include "table.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static const char document[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"orders\",\"kind\":\"primary\",\"timeout-ms\":800,"
	"\"target-latency-ms\":100,\"priority\":1,\"service\":\"s1\",\"new-field\":[1]},"
	"{\"name\":\"r2\",\"host\":\"pages\",\"kind\":\"bounded_staleness\",\"max-staleness-ms\":"
	"1500,"
	"\"service\":\"s1\",\"allow-anonymous\":true},"
	"{\"name\":\"r3\",\"host\":\"x\",\"kind\":\"unheard_of\",\"service\":\"s1\"},"
	"{\"name\":\"r4\",\"host\":5,\"kind\":\"primary\",\"service\":\"s1\"},17],"
	"\"services\":[{\"name\":\"s1\",\"connection-limit\":16,\"synchronous-replicas\":1},"
	"{\"name\":[]}],\"limits\":{\"transaction-idle-ms\":3000},"
	"\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"k1\",\"k2\",3],\"rate-per-s\":135,\"burst\":"
	"0},"
	"{\"api-keys\":[\"lost\"]}]}";

static struct conf_entry *find(const struct records_document *d, const char *id)
{
	guint i;

	for (i = 0; i < d->entries->len; i++) {
		struct conf_entry *e = g_ptr_array_index(d->entries, i);

		if (strcmp(e->id, id) == 0)
			return e;
	}
	return NULL;
}

static void test_document(void)
{
	struct records_document d;
	struct conf_entry *e;
	struct conf_key key;
	char id[NAME_SIZE + 8];

	CU_ASSERT_TRUE(platform_records_ops.document(document, &d));
	CU_ASSERT_EQUAL(d.version, 7);
	/* Two routes, a team and its two keys are valid; the malformed entries are skipped. */
	CU_ASSERT_EQUAL(d.entries->len, 5);
	CU_ASSERT_EQUAL(d.pools->len, 1);
	CU_ASSERT_EQUAL(g_array_index(d.pools, struct records_pool, 0).sync, 1);
	e = find(&d, "route/r1");
	CU_ASSERT_PTR_NOT_NULL_FATAL(e);
	CU_ASSERT_STRING_EQUAL(e->route.kind, "orders");
	CU_ASSERT_EQUAL(e->route.mode, READ_PRIMARY);
	CU_ASSERT_EQUAL(e->route.idle_tx_ms, 3000);
	e = find(&d, "route/r2");
	CU_ASSERT_PTR_NOT_NULL_FATAL(e);
	CU_ASSERT_EQUAL(e->route.mode, READ_BOUNDED);
	CU_ASSERT_TRUE(e->route.anonymous);
	e = find(&d, "team/t1");
	CU_ASSERT_PTR_NOT_NULL_FATAL(e);
	CU_ASSERT_EQUAL(e->team.burst, 1);
	key_from_text("k1", "t1", &key);
	g_snprintf(id, sizeof(id), "key/%s", key.id);
	e = find(&d, id);
	CU_ASSERT_PTR_NOT_NULL_FATAL(e);
	CHECK(strstr(e->text, "k1") == NULL || strstr(e->text, "\"k1\"") == NULL,
	      "the API key is stored as plain text");
	records_document_clear(&d);
}

static void test_malformed_documents_are_rejected(void)
{
	static const char *const bad[] = {"",
					  "no json",
					  "[]",
					  "{}",
					  "{\"version\":\"7\"}",
					  "{\"version\":0}",
					  "{\"version\":-1}",
					  "null"};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct records_document d;

		CHECK(!platform_records_ops.document(bad[i], &d), "%s", bad[i]);
		records_document_clear(&d);
	}
}

#define SERVER(rest)                                                                               \
	"{\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":2,\"database-role\":"               \
	"\"replica\"," rest "}"

static void test_servers(void)
{
	struct records_server s;

	CU_ASSERT_TRUE(platform_records_ops.server(
		"i-1", SERVER("\"service\":\"s1\",\"state\":\"ready\",\"born\":5"), &s));
	CU_ASSERT_STRING_EQUAL(s.pool, "s1");
	CU_ASSERT_FALSE(s.member.leaving);
	CU_ASSERT_TRUE(platform_records_ops.server(
		"i-1", SERVER("\"service\":\"s1\",\"state\":\"draining\""), &s));
	CU_ASSERT_TRUE(s.member.leaving);
	CU_ASSERT_FALSE(s.member.cold);
	CU_ASSERT_TRUE(platform_records_ops.server(
		"i-1", SERVER("\"service\":\"s1\",\"state\":\"ready\",\"cold-remaining-ms\":40"),
		&s));
	CU_ASSERT_TRUE(s.member.cold);
}

/* Guards against the use of a backend server whose record is malformed or incomplete. */
static void test_malformed_server_records_are_rejected(void)
{
	static const char *const bad[] = {
		"",
		"\xff\xfe",
		"{}",
		SERVER("\"state\":\"ready\""),
		SERVER("\"service\":\"s1\""),
		SERVER("\"service\":\"s1\",\"state\":\"odd\""),
		SERVER("\"service\":7,\"state\":\"ready\""),
		SERVER("\"service\":\"\",\"state\":\"ready\""),
		"{\"service\":\"s1\",\"state\":\"ready\"}",
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct records_server s;

		CHECK(!platform_records_ops.server("i-1", bad[i], &s), "%u: %s", i, bad[i]);
	}
}

/** Parses randomly mutated documents; no input may crash the parser. */
static void test_fuzz(void)
{
	unsigned round;

	srand(3);
	for (round = 0; round < 20000; round++) {
		char text[sizeof(document)];
		struct records_document d;
		struct records_server s;
		int changes = rand() % 4;

		memcpy(text, document, sizeof(text));
		while (changes-- > 0)
			text[(size_t)rand() % (sizeof(text) - 1)] = (char)(32 + rand() % 95);
		if (rand() % 5 == 0)
			text[(size_t)rand() % (sizeof(text) - 1)] = '\0';
		platform_records_ops.document(text, &d);
		records_document_clear(&d);
		platform_records_ops.server("i-1", text, &s);
	}
}

/** Returns the record of a ready server with one field replaced by @a field, or added. */
static char *server_with(const char *name, const char *field)
{
	static const struct {
		const char *name, *text;
	} fields[] = {
		{"service", "\"service\":\"s1\""},
		{"address", "\"address\":\"10.0.0.1:5000\""},
		{"zone", "\"zone\":\"z\""},
		{"slots", "\"slots\":2"},
		{"state", "\"state\":\"ready\""},
		{"database-role", "\"database-role\":\"replica\""},
		{"cold-remaining-ms", "\"cold-remaining-ms\":0"},
		{"born", "\"born\":1700000000000"},
		{"sequence", "\"sequence\":17"},
		{"", ""},
	};
	GString *text = g_string_new("{\"version\":\"1\"");
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		bool odd = strcmp(fields[i].name, name) == 0;

		if (odd || fields[i].name[0] != '\0')
			g_string_append_printf(text, ",%s", odd ? field : fields[i].text);
	}
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

/*
 * Guards against one odd entry of another writer that is taken for a backend server: its address
 * leads to a stranger, or the other VMs refuse the whole pool that it is in.
 */
static void test_odd_server_records_name_no_server(void)
{
	static const struct {
		const char *field, *text;
	} odd[] = {
		{"address", "\"address\":\"10.0.0.1:70000\""},
		{"address", "\"address\":\"10.0.0.1:65536\""},
		{"address", "\"address\":\"10.0.0.1:0\""},
		{"address", "\"address\":\"10.0.0.1:-1\""},
		{"address", "\"address\":\"10.0.0.1:+80\""},
		{"address", "\"address\":\"10.0.0.1: 80\""},
		{"address", "\"address\":\"10.0.0.1:5000x\""},
		{"address", "\"address\":\"10.0.0.1:99999999999999999999\""},
		{"address", "\"address\":\"10.0.0.1:4294972296\""},
		{"address", "\"address\":\"10.0.0.1:\""},
		{"address", "\"address\":\"10.0.0.1\""},
		{"address", "\"address\":\"10.0.0.256:80\""},
		{"address", "\"address\":\"host:80\""},
		{"address", "\"address\":5000"},
		{"born", "\"born\":1e300"},
		{"born", "\"born\":1e999"},
		{"born", "\"born\":-1e300"},
		{"born", "\"born\":-1"},
		{"born", "\"born\":1.5"},
		{"born", "\"born\":18446744073709551616"},
		{"born", "\"born\":99999999999999999999999999"},
		{"born", "\"born\":\"5\""},
		{"born", "\"born\":null"},
		{"sequence", "\"sequence\":1e300"},
		{"sequence", "\"sequence\":9223372036854775808"},
		{"sequence", "\"sequence\":-9223372036854775809"},
		{"sequence", "\"sequence\":[7]"},
		{"slots", "\"slots\":0"},
		{"slots", "\"slots\":-1"},
		{"slots", "\"slots\":1e300"},
		{"slots", "\"slots\":4294967298"},
		{"slots", "\"slots\":1000000"},
		{"slots", "\"slots\":true"},
		{"zone", "\"zone\":\"z\\\"}]}\""},
		{"zone", "\"zone\":\"z z\""},
		{"zone", "\"zone\":\"z\\r\\nTERMINATE\""},
		{"cold-remaining-ms", "\"cold-remaining-ms\":-1"},
		{"cold-remaining-ms", "\"cold-remaining-ms\":\"x\""},
		{"database-role", "\"database-role\":\"leader\""},
	};
	struct records_server s;
	char *text = server_with("", "\"more\":[{}]");
	unsigned i;

	CU_ASSERT_TRUE(platform_records_ops.server("i-1", text, &s));
	CU_ASSERT_EQUAL(s.started_ms, 1700000000000);
	CU_ASSERT_EQUAL(s.sequence, 17);
	CU_ASSERT_FALSE(platform_records_ops.server("i 1", text, &s));
	CU_ASSERT_FALSE(platform_records_ops.server("i\"1", text, &s));
	g_free(text);
	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		text = server_with(odd[i].field, odd[i].text);
		CHECK(!platform_records_ops.server("i-1", text, &s), "taken: %s", odd[i].text);
		g_free(text);
	}
}

/** Checks that a VM which gets @a e from another one can read it, and sees the same. */
static void check_peer_reads(const struct conf_entry *e, const char *what)
{
	struct conf_entry *copy = table_entry_parse(e->id, 1, e->text, NULL);

	CHECK(copy != NULL && memcmp(&copy->route, &e->route, conf_kind_size(e->kind)) == 0,
	      "not read: %s of %s", e->text, what);
	if (copy != NULL)
		conf_entry_unref(copy);
}

/*
 * Guards against an entry of the operators' document that a VM takes and those that get it from
 * this one refuse: they serve without the route, or the team without its rate.
 */
static void test_entries_of_a_document_are_read_by_peers(void)
{
	static const char *const fields[] = {
		"\"timeout-ms\":172800000", "\"target-latency-ms\":4e9", "\"priority\":5000",
		"\"max-staleness-ms\":4e9", "\"rate-per-s\":0",		 "\"rate-per-s\":1e300",
		"\"burst\":1e300",
	};
	static const char *const odd_names[] = {"a b", "a\\\"", "a\\u0001", "\xc3\xbc"};
	struct records_document d;
	unsigned i, j;

	for (i = 0; i < G_N_ELEMENTS(fields) + G_N_ELEMENTS(odd_names); i++) {
		bool number = i < G_N_ELEMENTS(fields);
		const char *name = number ? "n" : odd_names[i - G_N_ELEMENTS(fields)];
		char *text = g_strdup_printf(
			"{\"version\":1,\"limits\":{\"transaction-idle-ms\":4e9},\"routes\":[{"
			"\"name\":"
			"\"%s\",\"host\":\"h\",\"service\":\"s\",\"kind\":\"primary\",%s}],"
			"\"tenants\":[{\"name\":\"%s\",\"rate-per-s\":5,%s,\"api-keys\":[\"k\"]}],"
			"\"services\":[{\"name\":\"%s\"}]}",
			name, number ? fields[i] : "\"x\":1", name, number ? fields[i] : "\"x\":1",
			name);

		CU_ASSERT_TRUE(platform_records_ops.document(text, &d));
		CHECK(d.entries->len == (number ? 3 : 0) && d.pools->len == (number ? 1 : 0),
		      "%u entries, %u pools: %s", d.entries->len, d.pools->len, text);
		for (j = 0; j < d.entries->len; j++)
			check_peer_reads(g_ptr_array_index(d.entries, j), text);
		records_document_clear(&d);
		g_free(text);
	}
}

/* Guards against peers that refuse the pool of a service with few connections. */
static void test_a_small_pool_is_read_by_peers(void)
{
	struct conf_pool pool = {.name = "p",
				 .confirm = CONFIRM_PRIMARY,
				 .sync = 4000000000u,
				 .n = 1,
				 .member[0] = {.name = "m",
					       .address = "10.0.0.1:5000",
					       .data_center = "z",
					       .slots = 2,
					       .connections = 2,
					       .cold_per_s = 1e300}};
	struct conf_entry *e = table_entry_make(CONF_POOL, &pool);

	check_peer_reads(e, "a small pool");
	CU_ASSERT_EQUAL(e->pool.member[0].connections, 2);
	conf_entry_unref(e);
}

static const struct test_case cases[] = {
	{"entries_of_a_document_are_read_by_peers", test_entries_of_a_document_are_read_by_peers},
	{"a_small_pool_is_read_by_peers", test_a_small_pool_is_read_by_peers},
	{"document", test_document},
	{"odd_server_records_name_no_server", test_odd_server_records_name_no_server},
	{"malformed_documents_are_rejected", test_malformed_documents_are_rejected},
	{"servers", test_servers},
	{"malformed_server_records_are_rejected", test_malformed_server_records_are_rejected},
	{"fuzz", test_fuzz},
};

int main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return 1;
	return harness_run("records", cases, sizeof(cases) / sizeof(cases[0]), argc, argv);
}
