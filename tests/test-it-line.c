/** @file test-it-line.c Daemons on the prepared platform, before members that are led from outside.
 */
#include "harness-line.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

static struct line_fleet *shared_fleet;

/** A fleet of three VMs that cases without lasting faults share. */
static struct line_fleet *shared(void)
{
	if (shared_fleet == NULL)
		shared_fleet = line_fleet_start(3);
	return shared_fleet;
}

#define OK(c, ...) CU_ASSERT_STRING_EQUAL(line_query((c), __VA_ARGS__), "COMPLETE")
#define IS(c, expected, ...)                                                                       \
	do {                                                                                       \
		const char *is_code = line_query((c), __VA_ARGS__);                                \
		CHECK(strcmp(is_code, (expected)) == 0, "%s %s", is_code, (c)->text);              \
	} while (0)

static void test_reads_and_writes(void)
{
	struct line_fleet *f = shared();
	struct line_client c, other;

	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_SESSION, LINE_KEY));
	CU_ASSERT_TRUE(line_connect(&other, f, 2, LINE_DB_PRIMARY, LINE_KEY));
	OK(&c, "WRITE a1 first");
	CU_ASSERT_EQUAL(line_log_count(f, c.id), 1);
	OK(&c, "READ a1");
	CU_ASSERT_STRING_EQUAL(c.row, "first");
	OK(&other, "READ a1");
	CU_ASSERT_STRING_EQUAL(other.row, "first");
	CU_ASSERT_EQUAL(c.state, 'I');
	line_close(&c);
	line_close(&other);
}

static void test_transactions(void)
{
	struct line_fleet *f = shared();
	struct line_client c, d;

	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	CU_ASSERT_TRUE(line_connect(&d, f, 1, LINE_DB_PRIMARY, LINE_KEY));
	OK(&c, "BEGIN");
	CU_ASSERT_EQUAL(c.state, 'T');
	OK(&c, "WRITE t1 inside");
	OK(&d, "READ t1");
	CU_ASSERT_STRING_EQUAL(d.row, "-");
	OK(&c, "COMMIT");
	CU_ASSERT_EQUAL(c.state, 'I');
	OK(&d, "READ t1");
	CU_ASSERT_STRING_EQUAL(d.row, "inside");
	OK(&c, "BEGIN");
	OK(&c, "WRITE t1 undone");
	OK(&c, "ROLLBACK");
	OK(&c, "READ t1");
	CU_ASSERT_STRING_EQUAL(c.row, "inside");
	OK(&c, "BEGIN");
	OK(&c, "COMMIT");
	CHECK(strcmp(c.text, "-") != 0,
	      "a commit carries the member's signature, also an empty one");
	IS(&c, "MALFORMED", "COMMIT");
	IS(&c, "MALFORMED", "ROLLBACK");
	line_close(&c);
	line_close(&d);
}

static void test_prepared_statements_and_values(void)
{
	struct line_fleet *f = shared();
	struct line_client c, d;

	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	CU_ASSERT_TRUE(line_connect(&d, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	/* Two callers give the same name to different shapes. */
	OK(&c, "PREPARE s1 WRITE q1");
	OK(&d, "PREPARE s1 READ q2");
	OK(&c, "EXECUTE s1 p1 value");
	OK(&d, "EXECUTE s1 p1");
	CU_ASSERT_STRING_EQUAL(d.row, "value");
	OK(&c, "SET tz Africa/Tunis");
	OK(&c, "READ p1");
	OK(&c, "DEALLOCATE s1");
	IS(&c, "NOSUCHNAME", "EXECUTE s1 p1 value");
	OK(&d, "EXECUTE s1 p1");
	line_close(&c);
	line_close(&d);
}

static void test_who_may_not(void)
{
	struct line_fleet *f = shared();
	struct line_client c;

	CU_ASSERT_FALSE(line_connect(&c, f, 0, LINE_DB_PRIMARY, "wrong"));
	CU_ASSERT_STRING_EQUAL(c.code, "UNKNOWNKEY");
	line_close(&c);
	CU_ASSERT_FALSE(line_connect(&c, f, 0, "nowhere", LINE_KEY));
	CU_ASSERT_STRING_EQUAL(c.code, "NODATABASE");
	line_close(&c);
}

/*
 * A caller sends a statement with a lone CR, one whose id is that of commands of our own, one that
 * is none, and a line over the limit. Nothing of it may reach a member as another statement.
 */
static void test_what_is_no_statement(void)
{
	struct line_fleet *f = shared();
	struct line_client c;
	char *big = g_strnfill(1100000, 'x');
	int64_t before = line_report(f, "store_calls");

	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	line_send(&c, "QUERY - WRITE z1 hidden\r\n", 25);
	CU_ASSERT_STRING_EQUAL(line_read_answer(&c), "MALFORMED");
	IS(&c, "MALFORMED", "WAITFOR 1.1 READ a1");
	IS(&c, "MALFORMED", "STEPDOWN 9");
	line_send(&c, "QUERY 77 READ a1\rQUERY - STEPDOWN 99\r\n", 38);
	CU_ASSERT_STRING_EQUAL(line_read_answer(&c), "MALFORMED");
	line_close(&c);
	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	line_send(&c, "QUERY 78 WRITE z2 ", 18);
	line_send(&c, big, 1100000);
	CU_ASSERT_STRING_EQUAL(line_read_answer(&c), "TOOLARGE");
	line_close(&c);
	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	OK(&c, "READ z1");
	CU_ASSERT_STRING_EQUAL(c.row, "-");
	line_close(&c);
	g_free(big);
	(void)before;
}

/*
 * Commit answers are lost, or break off midway. The caller of a write is told that nobody knows; a
 * read is served by another member, in its time.
 */
static void test_lost_answers(void)
{
	struct line_fleet *f = shared();
	struct line_client c;
	char primary[32];
	int i;

	line_primary(f, primary);
	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_SESSION, LINE_KEY));
	OK(&c, "WRITE l1 before");
	line_fault(f, "{\"member\":\"%s\",\"lose_answers\":1}", primary);
	IS(&c, "INDOUBT", "WRITE l1 after");
	CU_ASSERT_EQUAL(line_log_count(f, c.id), 1);
	for (i = 0; i < LINE_MEMBERS; i++)
		line_fault(f, "{\"member\":\"m%d\",\"lose_answers\":%d}", i, i % 2 == 0 ? 1 : 0);
	OK(&c, "READ l1");
	for (i = 0; i < LINE_MEMBERS; i++)
		line_fault(f, "{\"member\":\"m%d\",\"lose_answers\":0,\"cut_answers\":%d}", i,
			   i % 2);
	OK(&c, "READ l1");
	for (i = 0; i < LINE_MEMBERS; i++)
		line_fault(f, "{\"member\":\"m%d\",\"cut_answers\":0}", i);
	line_close(&c);
}

/* A caller with a key that is taken away: its open session ends, also the one that rests. */
static void test_a_withdrawn_key_stops_working(void)
{
	struct line_fleet *f = shared();
	struct line_client c;
	int64_t until;

	f->keys = "[\"" LINE_KEY "\",\"second\"]";
	line_write_document(f);
	until = test_now_ms() + 5000;
	while (!line_connect(&c, f, 1, LINE_DB_PRIMARY, "second") && test_now_ms() < until)
		line_close(&c);
	OK(&c, "WRITE k1 x");
	f->keys = "[\"" LINE_KEY "\"]";
	line_write_document(f);
	until = test_now_ms() + 5000;
	while (strcmp(line_query(&c, "READ k1"), "COMPLETE") == 0 && test_now_ms() < until)
		test_sleep_ms(20);
	CU_ASSERT_STRING_EQUAL(c.code, "UNKNOWNKEY");
	line_close(&c);
}

/* The document, an entry of it and a server's entry cannot be read: what can be goes on to hold. */
static void test_malformed_records(void)
{
	struct line_fleet *f = shared();
	struct line_client c;

	line_fault(f, "{\"put\":\"servers/bad\",\"value\":\"{\\\"service\\\":7\"}");
	line_fault(f, "{\"put\":\"servers/odd\",\"value\":\"{\\\"service\\\":\\\"svc\\\"}\"}");
	line_fault(f, "{\"put\":\"op/config\",\"value\":\"no document\"}");
	test_sleep_ms(300);
	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	OK(&c, "WRITE b1 x");
	line_close(&c);
	line_write_document(f);
}

/* The store turns all calls away, or says nothing: what runs goes on, since leases outlast it. */
static void test_without_the_store(void)
{
	struct line_fleet *f = shared();
	struct line_client c;
	int round;

	for (round = 0; round < 2; round++) {
		line_fault(f, "{\"store\":\"%s\"}", round == 0 ? "refuse" : "silent");
		test_sleep_ms(1500);
		CU_ASSERT_TRUE(line_connect(&c, f, 1, LINE_DB_SESSION, LINE_KEY));
		OK(&c, "WRITE s%d x", round);
		OK(&c, "READ s%d", round);
		line_close(&c);
		line_fault(f, "{\"store\":\"ok\"}");
		test_sleep_ms(1200);
	}
	line_fault(f, "{\"compact\":true}");
	f->keys = "[\"" LINE_KEY "\",\"third\"]";
	line_write_document(f);
	int64_t until = test_now_ms() + 8000;
	while (!line_connect(&c, f, 2, LINE_DB_PRIMARY, "third") && test_now_ms() < until)
		line_close(&c);
	CHECK(c.state == 'I', "after history was dropped: %s", c.code);
	line_close(&c);
}

/* SIGHUP tells that the settings file was written anew; the process goes on. */
static void test_reload(void)
{
	struct line_fleet *f = shared();
	struct line_client c;
	char *log;

	CU_ASSERT_TRUE(line_connect(&c, f, 2, LINE_DB_PRIMARY, LINE_KEY));
	line_vm_signal(f, 2, SIGHUP);
	test_sleep_ms(300);
	OK(&c, "WRITE h1 x");
	line_close(&c);
	log = line_vm_log(f, 2);
	CU_ASSERT_PTR_NOT_NULL(strstr(log, "event=reload"));
	g_free(log);
}

static void test_endpoints(void)
{
	struct line_fleet *f = shared();
	char *body = NULL;

	CU_ASSERT_EQUAL(line_get(f->vm[0].ready, "/-/readiness", NULL), 200);
	CU_ASSERT_EQUAL(line_get(f->vm[0].metrics, "/metrics", &body), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(body, "mangoloom_requests_total "));
	CU_ASSERT_PTR_NOT_NULL(strstr(body, "mangoloom_outcomes_total{outcome=\"done\"} "));
	CHECK(strstr(body, LINE_KEY) == NULL, "no key is told");
	g_free(body);
}

/* Keep as the last of those that share the fleet. */
static void test_shared_ends(void)
{
	CU_ASSERT_EQUAL(line_report(shared(), "token_regressed"), 0);
	CU_ASSERT_EQUAL(line_report(shared(), "replaced_commits"), 0);
	line_fleet_stop(shared_fleet);
	shared_fleet = NULL;
}

/*
 * A caller is told that its database does not exist, and gives up. It came to a VM that had just
 * started and had no configuration yet. Such a VM says that it can't serve now.
 */
static void test_a_vm_without_configuration_denies_no_database(void)
{
	struct line_fleet *f = line_fleet_start(1);
	int64_t until = test_now_ms() + 5000;
	struct line_client c;

	line_vm_signal(f, 0, SIGKILL);
	line_fault(f, "{\"store\":\"refuse\"}");
	line_vm_start(f, 0);
	do {
		test_sleep_ms(10);
		CU_ASSERT_FALSE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
		line_close(&c);
	} while (c.code[0] == '\0' && test_now_ms() < until);
	CHECK(strcmp(c.code, "BUSY") == 0, "%s %s", c.code, c.text);
	line_fault(f, "{\"store\":\"ok\"}");
	CU_ASSERT_TRUE(line_wait_until_writable(f, 0, 10000));
	line_fleet_stop(f);
}

static const struct test_case cases[] = {
	{"a_vm_without_configuration_denies_no_database",
	 test_a_vm_without_configuration_denies_no_database},
	{"reads_and_writes", test_reads_and_writes},
	{"transactions", test_transactions},
	{"prepared_statements_and_values", test_prepared_statements_and_values},
	{"who_may_not", test_who_may_not},
	{"what_is_no_statement", test_what_is_no_statement},
	{"lost_answers", test_lost_answers},
	{"a_withdrawn_key_stops_working", test_a_withdrawn_key_stops_working},
	{"malformed_records", test_malformed_records},
	{"without_the_store", test_without_the_store},
	{"reload", test_reload},
	{"endpoints", test_endpoints},
	{"shared_ends", test_shared_ends},
};
HARNESS_MAIN("line fleet", cases)
