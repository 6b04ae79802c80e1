/** @file test-records.c Parsing of the operators' document and of backend servers' records. */
#include "harness.h"
#include "key.h"
#include "platform-adapter.h"
#include "statement.h"

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

static const struct test_case cases[] = {
	{"document", test_document},
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
