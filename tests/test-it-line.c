/**
 * @file test-it-line.c
 * Daemons on the prepared platform, with callers that use the line protocol and members that are
 * promoted by a promoter outside the database.
 */
#include "harness-line.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static struct line_fleet *shared_fleet;

/** Returns the fleet of three VMs for cases that leave no fault behind; the first call starts it.
 */
static struct line_fleet *get_shared_fleet(void)
{
	if (shared_fleet == NULL)
		shared_fleet = line_fleet_start(3);
	return shared_fleet;
}

/** Runs a statement and checks that it completes. */
#define EXPECT_COMPLETE(c, ...) CU_ASSERT_STRING_EQUAL(line_query((c), __VA_ARGS__), "COMPLETE")
/** Runs a statement and checks that it ends with the code @a expected. */
#define EXPECT_CODE(c, expected, ...)                                                              \
	do {                                                                                       \
		const char *actual_code = line_query((c), __VA_ARGS__);                            \
		CHECK(strcmp(actual_code, (expected)) == 0, "%s %s", actual_code, (c)->text);      \
	} while (0)

static void test_reads_and_writes(void)
{
	struct line_fleet *f = get_shared_fleet();
	struct line_client c, other;

	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_SESSION, LINE_KEY));
	CU_ASSERT_TRUE(line_connect(&other, f, 2, LINE_DB_PRIMARY, LINE_KEY));
	EXPECT_COMPLETE(&c, "WRITE a1 first");
	CU_ASSERT_EQUAL(line_log_count(f, c.id), 1);
	EXPECT_COMPLETE(&c, "READ a1");
	CU_ASSERT_STRING_EQUAL(c.row, "first");
	EXPECT_COMPLETE(&other, "READ a1");
	CU_ASSERT_STRING_EQUAL(other.row, "first");
	CU_ASSERT_EQUAL(c.state, 'I');
	line_close(&c);
	line_close(&other);
}

static void test_transactions(void)
{
	struct line_fleet *f = get_shared_fleet();
	struct line_client c, d;

	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	CU_ASSERT_TRUE(line_connect(&d, f, 1, LINE_DB_PRIMARY, LINE_KEY));
	EXPECT_COMPLETE(&c, "BEGIN");
	CU_ASSERT_EQUAL(c.state, 'T');
	EXPECT_COMPLETE(&c, "WRITE t1 inside");
	EXPECT_COMPLETE(&d, "READ t1");
	CU_ASSERT_STRING_EQUAL(d.row, "-");
	EXPECT_COMPLETE(&c, "COMMIT");
	CU_ASSERT_EQUAL(c.state, 'I');
	EXPECT_COMPLETE(&d, "READ t1");
	CU_ASSERT_STRING_EQUAL(d.row, "inside");
	EXPECT_COMPLETE(&c, "BEGIN");
	EXPECT_COMPLETE(&c, "WRITE t1 undone");
	EXPECT_COMPLETE(&c, "ROLLBACK");
	EXPECT_COMPLETE(&c, "READ t1");
	CU_ASSERT_STRING_EQUAL(c.row, "inside");
	EXPECT_COMPLETE(&c, "BEGIN");
	EXPECT_COMPLETE(&c, "COMMIT");
	CHECK(strcmp(c.text, "-") != 0,
	      "the answer to an empty commit lacks the member's signature");
	EXPECT_CODE(&c, "MALFORMED", "COMMIT");
	EXPECT_CODE(&c, "MALFORMED", "ROLLBACK");
	line_close(&c);
	line_close(&d);
}

static void test_prepared_statements_and_values(void)
{
	struct line_fleet *f = get_shared_fleet();
	struct line_client c, d;

	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	CU_ASSERT_TRUE(line_connect(&d, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	/* Two callers use the same name for different prepared statements. */
	EXPECT_COMPLETE(&c, "PREPARE s1 WRITE q1");
	EXPECT_COMPLETE(&d, "PREPARE s1 READ q2");
	EXPECT_COMPLETE(&c, "EXECUTE s1 p1 value");
	EXPECT_COMPLETE(&d, "EXECUTE s1 p1");
	CU_ASSERT_STRING_EQUAL(d.row, "value");
	EXPECT_COMPLETE(&c, "SET tz Africa/Tunis");
	EXPECT_COMPLETE(&c, "READ p1");
	EXPECT_COMPLETE(&c, "DEALLOCATE s1");
	EXPECT_CODE(&c, "NOSUCHNAME", "EXECUTE s1 p1 value");
	EXPECT_COMPLETE(&d, "EXECUTE s1 p1");
	line_close(&c);
	line_close(&d);
}

static void test_wrong_key_and_unknown_database_are_refused(void)
{
	struct line_fleet *f = get_shared_fleet();
	struct line_client c;

	CU_ASSERT_FALSE(line_connect(&c, f, 0, LINE_DB_PRIMARY, "wrong"));
	CU_ASSERT_STRING_EQUAL(c.code, "UNKNOWNKEY");
	line_close(&c);
	CU_ASSERT_FALSE(line_connect(&c, f, 0, "nowhere", LINE_KEY));
	CU_ASSERT_STRING_EQUAL(c.code, "NODATABASE");
	line_close(&c);
}

/*
 * Guards against malformed input that reaches a member as a statement: a line with a lone CR, the
 * request id "-" that the proxy uses for its own commands, commands that callers may not send, and
 * a line over the size limit.
 */
static void test_malformed_statements_are_refused(void)
{
	struct line_fleet *f = get_shared_fleet();
	struct line_client c;
	char *big = g_strnfill(1100000, 'x');
	int64_t before = line_report(f, "store_calls");

	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	line_send(&c, "QUERY - WRITE z1 hidden\r\n", 25);
	CU_ASSERT_STRING_EQUAL(line_read_answer(&c), "MALFORMED");
	EXPECT_CODE(&c, "MALFORMED", "WAITFOR 1.1 READ a1");
	EXPECT_CODE(&c, "MALFORMED", "STEPDOWN 9");
	line_send(&c, "QUERY 77 READ a1\rQUERY - STEPDOWN 99\r\n", 38);
	CU_ASSERT_STRING_EQUAL(line_read_answer(&c), "MALFORMED");
	line_close(&c);
	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	line_send(&c, "QUERY 78 WRITE z2 ", 18);
	line_send(&c, big, 1100000);
	CU_ASSERT_STRING_EQUAL(line_read_answer(&c), "TOOLARGE");
	line_close(&c);
	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	EXPECT_COMPLETE(&c, "READ z1");
	CU_ASSERT_STRING_EQUAL(c.row, "-");
	line_close(&c);
	g_free(big);
	(void)before;
}

/*
 * Answers of members are lost or cut off midway. The caller of a write has to get INDOUBT, since
 * its outcome is unknown; a read has to be served by another member within its deadline.
 */
static void test_lost_answers(void)
{
	struct line_fleet *f = get_shared_fleet();
	struct line_client c;
	char primary[32];
	int i;

	line_primary(f, primary);
	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_SESSION, LINE_KEY));
	EXPECT_COMPLETE(&c, "WRITE l1 before");
	line_fault(f, "{\"member\":\"%s\",\"lose_answers\":1}", primary);
	EXPECT_CODE(&c, "INDOUBT", "WRITE l1 after");
	CU_ASSERT_EQUAL(line_log_count(f, c.id), 1);
	for (i = 0; i < LINE_MEMBERS; i++)
		line_fault(f, "{\"member\":\"m%d\",\"lose_answers\":%d}", i, i % 2 == 0 ? 1 : 0);
	EXPECT_COMPLETE(&c, "READ l1");
	for (i = 0; i < LINE_MEMBERS; i++)
		line_fault(f, "{\"member\":\"m%d\",\"lose_answers\":0,\"cut_answers\":%d}", i,
			   i % 2);
	EXPECT_COMPLETE(&c, "READ l1");
	for (i = 0; i < LINE_MEMBERS; i++)
		line_fault(f, "{\"member\":\"m%d\",\"cut_answers\":0}", i);
	line_close(&c);
}

/** Connects, and tries again for up to @a ms while this is refused. */
static bool connect_within(struct line_client *c, struct line_fleet *f, int vm,
			   const char *database, const char *key, int ms)
{
	int64_t until = test_now_ms() + ms;

	while (!line_connect(c, f, vm, database, key)) {
		if (test_now_ms() >= until)
			return false;
		line_close(c);
	}
	return true;
}

/* Guards against an open session that stays usable after its key was withdrawn. */
static void test_a_withdrawn_key_stops_working(void)
{
	struct line_fleet *f = get_shared_fleet();
	struct line_client c;
	int64_t until;

	f->keys = "[\"" LINE_KEY "\",\"second\"]";
	line_write_document(f);
	connect_within(&c, f, 1, LINE_DB_PRIMARY, "second", 5000);
	EXPECT_COMPLETE(&c, "WRITE k1 x");
	f->keys = "[\"" LINE_KEY "\"]";
	line_write_document(f);
	until = test_now_ms() + 5000;
	while (strcmp(line_query(&c, "READ k1"), "COMPLETE") == 0 && test_now_ms() < until)
		test_sleep_ms(20);
	CU_ASSERT_STRING_EQUAL(c.code, "UNKNOWNKEY");
	line_close(&c);
}

/*
 * Guards against a transaction that goes on with a key which was dropped together with its route.
 */
static void test_a_dropped_key_ends_an_open_transaction(void)
{
	struct line_fleet *f = get_shared_fleet();
	struct line_client c, reader;
	int64_t until;

	f->keys = "[\"" LINE_KEY "\",\"third\"]";
	line_write_document(f);
	connect_within(&c, f, 1, LINE_DB_SESSION, "third", 5000);
	EXPECT_COMPLETE(&c, "BEGIN");
	EXPECT_COMPLETE(&c, "WRITE dropped x");
	f->keys = "[\"" LINE_KEY "\"]";
	f->dropped_route = LINE_DB_SESSION;
	line_write_document(f);
	until = test_now_ms() + 5000;
	while (strcmp(line_query(&c, "READ dropped"), "COMPLETE") == 0 && test_now_ms() < until)
		test_sleep_ms(20);
	CU_ASSERT_STRING_EQUAL(c.code, "UNKNOWNKEY");
	line_close(&c);
	CU_ASSERT_TRUE(line_connect(&reader, f, 1, LINE_DB_PRIMARY, LINE_KEY));
	EXPECT_COMPLETE(&reader, "READ dropped");
	CU_ASSERT_STRING_EQUAL(reader.row, "-");
	line_close(&reader);
	f->dropped_route = NULL;
	line_write_document(f);
	connect_within(&c, f, 1, LINE_DB_SESSION, LINE_KEY, 5000);
	CU_ASSERT_EQUAL(c.state, 'I');
	line_close(&c);
}

/*
 * The operators' document and two server entries in the store are malformed. Guards against one
 * malformed record that invalidates the others or the configuration in force.
 */
static void test_malformed_records(void)
{
	struct line_fleet *f = get_shared_fleet();
	struct line_client c;

	line_fault(f, "{\"put\":\"servers/bad\",\"value\":\"{\\\"service\\\":7\"}");
	line_fault(f, "{\"put\":\"servers/odd\",\"value\":\"{\\\"service\\\":\\\"svc\\\"}\"}");
	line_fault(f, "{\"put\":\"op/config\",\"value\":\"no document\"}");
	test_sleep_ms(300);
	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	EXPECT_COMPLETE(&c, "WRITE b1 x");
	line_close(&c);
	line_write_document(f);
}

/** Waits until the log of VM @a vm has @a text. @return whether it has within @a ms */
static bool logged_within(struct line_fleet *f, int vm, const char *text, int ms)
{
	int64_t until = test_now_ms() + ms;
	bool found;

	do {
		char *log = line_vm_log(f, vm);

		found = strstr(log, text) != NULL;
		g_free(log);
		if (!found)
			test_sleep_ms(20);
	} while (!found && test_now_ms() < until);
	return found;
}

/** Returns a listening socket and its port on loopback. */
static int listen_anywhere(int *port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)&sin, len), 0);
	CU_ASSERT_EQUAL_FATAL(listen(fd, 8), 0);
	CU_ASSERT_EQUAL_FATAL(getsockname(fd, (struct sockaddr *)&sin, &len), 0);
	*port = ntohs(sin.sin_port);
	return fd;
}

/** Writes an entry of a ready replica under servers/, as another writer might. */
static void put_server(struct line_fleet *f, const char *id, const char *address,
		       const char *numbers)
{
	line_fault(f,
		   "{\"put\":\"servers/%s\",\"value\":\"{\\\"service\\\":\\\"svc\\\","
		   "\\\"address\\\":\\\"%s\\\",\\\"zone\\\":\\\"z\\\",\\\"state\\\":"
		   "\\\"ready\\\",\\\"database-role\\\":\\\"replica\\\",%s}\"}",
		   id, address, numbers);
}

/*
 * Guards against odd entries among those of the backend servers that end a daemon, that it stops
 * following the list for, or whose port, cut to 16 bits, is that of a stranger.
 */
static void test_odd_server_entries_name_no_backend(void)
{
	struct line_fleet *f = get_shared_fleet();
	char address[64], nested[512];
	struct pollfd stranger = {.events = POLLIN};
	struct line_client c;
	int i, port;

	stranger.fd = listen_anywhere(&port);
	memset(nested, '[', sizeof(nested) - 1);
	nested[sizeof(nested) - 1] = '\0';
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", port + 65536);
	put_server(f, "odd-port", address, "\\\"slots\\\":2");
	put_server(f, "odd-zero", "127.0.0.1:0", "\\\"slots\\\":2");
	put_server(f, "odd-minus", "127.0.0.1:-1", "\\\"slots\\\":2");
	put_server(f, "odd-tail", "127.0.0.1:5000x", "\\\"slots\\\":2");
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	put_server(f, "odd-born", address, "\\\"slots\\\":2,\\\"born\\\":1e300");
	put_server(f, "odd-count", address, "\\\"slots\\\":2,\\\"sequence\\\":1e999");
	put_server(f, "odd-slots", address, "\\\"slots\\\":99999999999999999999");
	put_server(f, "odd-depth", address, nested);
	f->keys = "[\"" LINE_KEY "\",\"fourth\"]";
	line_write_document(f);
	for (i = 0; i < f->n_vms; i++) {
		connect_within(&c, f, i, LINE_DB_PRIMARY, "fourth", 5000);
		EXPECT_COMPLETE(&c, "WRITE odd%d x", i);
		EXPECT_COMPLETE(&c, "READ odd%d", i);
		line_close(&c);
		CHECK(logged_within(f, i, "event=server-malformed member=odd-depth", 5000),
		      "vm%d logs the entry", i);
	}
	/* Each member is probed once a second. */
	CU_ASSERT_EQUAL(poll(&stranger, 1, 2500), 0);
	close(stranger.fd);
}

/*
 * The store refuses all calls, or does not answer, for less than a lease. Guards against statements
 * that fail meanwhile, and against configuration changes that are missed afterwards, also when the
 * store has compacted its history.
 */
static void test_without_the_store(void)
{
	struct line_fleet *f = get_shared_fleet();
	struct line_client c;
	int round;

	for (round = 0; round < 2; round++) {
		line_fault(f, "{\"store\":\"%s\"}", round == 0 ? "refuse" : "silent");
		test_sleep_ms(1500);
		CU_ASSERT_TRUE(line_connect(&c, f, 1, LINE_DB_SESSION, LINE_KEY));
		EXPECT_COMPLETE(&c, "WRITE s%d x", round);
		EXPECT_COMPLETE(&c, "READ s%d", round);
		line_close(&c);
		line_fault(f, "{\"store\":\"ok\"}");
		test_sleep_ms(1200);
	}
	line_fault(f, "{\"compact\":true}");
	f->keys = "[\"" LINE_KEY "\",\"third\"]";
	line_write_document(f);
	connect_within(&c, f, 2, LINE_DB_PRIMARY, "third", 8000);
	CHECK(c.state == 'I', "key not accepted after the store compacted its history: %s", c.code);
	line_close(&c);
}

/* SIGHUP reloads the settings file; open sessions continue. */
static void test_reload(void)
{
	struct line_fleet *f = get_shared_fleet();
	struct line_client c;

	CU_ASSERT_TRUE(line_connect(&c, f, 2, LINE_DB_PRIMARY, LINE_KEY));
	line_vm_signal(f, 2, SIGHUP);
	CU_ASSERT_TRUE(logged_within(f, 2, "event=reload", 5000));
	EXPECT_COMPLETE(&c, "WRITE h1 x");
	line_close(&c);
}

static void test_endpoints(void)
{
	struct line_fleet *f = get_shared_fleet();
	char *body = NULL;

	CU_ASSERT_EQUAL(line_get(f->vm[0].ready, "/-/readiness", NULL), 200);
	CU_ASSERT_EQUAL(line_get(f->vm[0].metrics, "/metrics", &body), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(body, "mangoloom_requests_total "));
	CU_ASSERT_PTR_NOT_NULL(strstr(body, "mangoloom_outcomes_total{outcome=\"done\"} "));
	CHECK(strstr(body, LINE_KEY) == NULL, "a key is in the metrics");
	g_free(body);
}

/* Checks the stand-in's counters and stops the shared fleet, so it comes after all cases that use
 * it. */
static void test_shared_fleet_counters_and_shutdown(void)
{
	CU_ASSERT_EQUAL(line_report(get_shared_fleet(), "token_regressed"), 0);
	CU_ASSERT_EQUAL(line_report(get_shared_fleet(), "replaced_commits"), 0);
	line_fleet_stop(shared_fleet);
	shared_fleet = NULL;
}

/*
 * Guards against NODATABASE from a VM that has just started and has no configuration yet: callers
 * take it for permanent. The VM has to answer BUSY.
 */
static void test_a_vm_without_configuration_answers_busy(void)
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

/*
 * Guards against a planned stop that cuts a request: it has come while the VM was busy with
 * something else, and the session was taken for idle.
 */
static void test_a_planned_stop_answers_what_it_has_received(void)
{
	static const char query[] = "QUERY received READ item\r\n";
	struct line_fleet *f = line_fleet_start(2);
	struct line_client c;

	CU_ASSERT_TRUE(line_wait_until_writable(f, 0, 10000));
	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	line_vm_signal(f, 0, SIGTERM);
	/* Idle sessions are closed 2.2 s later. */
	test_sleep_ms(2050);
	line_vm_signal(f, 0, SIGSTOP);
	line_send(&c, query, strlen(query));
	test_sleep_ms(300);
	line_vm_signal(f, 0, SIGCONT);
	line_read_answer(&c);
	CHECK(c.code[0] != '\0', "the request was cut");
	line_close(&c);
	line_fleet_stop(f);
}

static const struct test_case cases[] = {
	{"a_planned_stop_answers_what_it_has_received",
	 test_a_planned_stop_answers_what_it_has_received},
	{"a_vm_without_configuration_answers_busy", test_a_vm_without_configuration_answers_busy},
	{"reads_and_writes", test_reads_and_writes},
	{"transactions", test_transactions},
	{"prepared_statements_and_values", test_prepared_statements_and_values},
	{"wrong_key_and_unknown_database_are_refused",
	 test_wrong_key_and_unknown_database_are_refused},
	{"malformed_statements_are_refused", test_malformed_statements_are_refused},
	{"lost_answers", test_lost_answers},
	{"a_withdrawn_key_stops_working", test_a_withdrawn_key_stops_working},
	{"a_dropped_key_ends_an_open_transaction", test_a_dropped_key_ends_an_open_transaction},
	{"malformed_records", test_malformed_records},
	{"odd_server_entries_name_no_backend", test_odd_server_entries_name_no_backend},
	{"without_the_store", test_without_the_store},
	{"reload", test_reload},
	{"endpoints", test_endpoints},
	{"shared_fleet_counters_and_shutdown", test_shared_fleet_counters_and_shutdown},
};
HARNESS_MAIN("line fleet", cases)
