/**
 * @file test-it-caller.c
 * The PostgreSQL protocol as callers use it: psql, the simple and the extended query protocol, TLS,
 * slow and malformed clients, and refused statements.
 */
#include "harness.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static struct test_fleet *fleet;

/** Returns the fleet that the cases share; the first call starts it. */
static struct test_fleet *get_shared_fleet(void)
{
	if (fleet == NULL)
		fleet = fleet_start_up(
			&(struct fleet_plan){.settings = "[callers]\nmessage_ms = 400\nidle_ms = "
							 "1500\nmax = 40\nmessage_max = 65536\n"});
	return fleet;
}

static void test_extended_protocol(void)
{
	PGconn *c = fleet_connect_orders(get_shared_fleet(), 0);
	const char *values[] = {"ext", "it is"};
	PGresult *r;

	r = PQexecParams(c, "INSERT INTO orders VALUES ($1, $2)", 2, NULL, values, NULL, NULL, 0);
	CHECK(PQresultStatus(r) == PGRES_COMMAND_OK, "%s", PQresultErrorMessage(r));
	CHECK(strcmp(PQcmdStatus(r), "INSERT 0 1") == 0, "%s", PQcmdStatus(r));
	PQclear(r);
	r = PQprepare(c, "named", "SELECT value FROM orders WHERE key = $1", 0, NULL);
	CHECK(PQresultStatus(r) == PGRES_COMMAND_OK, "%s", PQresultErrorMessage(r));
	PQclear(r);
	r = PQdescribePrepared(c, "named");
	CHECK(PQresultStatus(r) == PGRES_COMMAND_OK && PQnparams(r) == 1 && PQnfields(r) == 1,
	      "%s, %d, %d", PQresultErrorMessage(r), PQnparams(r), PQnfields(r));
	PQclear(r);
	r = PQexecPrepared(c, "named", 1, values, NULL, NULL, 0);
	CHECK(PQntuples(r) == 1 && strcmp(PQgetvalue(r, 0, 0), "it is") == 0, "%s",
	      PQresultErrorMessage(r));
	PQclear(r);
	r = PQexecParams(c, "BEGIN", 0, NULL, NULL, NULL, NULL, 0);
	CHECK(PQresultStatus(r) == PGRES_COMMAND_OK && PQtransactionStatus(c) == PQTRANS_INTRANS,
	      "BEGIN");
	PQclear(r);
	r = PQexecParams(c, "COMMIT", 0, NULL, NULL, NULL, NULL, 0);
	CHECK(PQresultStatus(r) == PGRES_COMMAND_OK && PQtransactionStatus(c) == PQTRANS_IDLE,
	      "COMMIT");
	PQclear(r);
	r = PQexecParams(c, "SET mangoloom.kind = 'page'", 0, NULL, NULL, NULL, NULL, 0);
	CHECK(PQresultStatus(r) == PGRES_COMMAND_OK, "%s", PQresultErrorMessage(r));
	PQclear(r);
	/* In the extended protocol an error is reported once; the session is usable after Sync. */
	r = PQexecPrepared(c, "unknown", 0, NULL, NULL, NULL, 0);
	CHECK(strcmp(PQresultErrorField(r, PG_DIAG_SQLSTATE), "26000") == 0, "%s",
	      PQresultErrorMessage(r));
	PQclear(r);
	CHECK(strcmp(sql(c, NULL, 0, "SELECT 1"), "00000") == 0,
	      "the session is not usable after an error");
	PQfinish(c);
}

static void test_unsupported_statements_and_settings_are_refused(void)
{
	static const struct {
		const char *text, *state;
	} refused[] = {
		{"COPY orders FROM stdin", "0A000"},
		{"LISTEN x", "0A000"},
		{"SET work_mem = '1GB'", "22023"},
		{"SET mangoloom.max_age_ms = 'soon'", "22023"},
		{"SHOW nothing", "42704"},
		{"SET mangoloom.session = 'nonsense'", "22023"},
		{"SELECT 1; BEGIN; SELECT 2", "0A000"},
		{"SET mangoloom.once = 'a''b'", "22023"},
	};
	PGconn *c = fleet_connect_orders(get_shared_fleet(), 0);
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(refused); i++) {
		const char *state = sql(c, NULL, 0, "%s", refused[i].text);

		CHECK(strcmp(state, refused[i].state) == 0, "%s: %s", refused[i].text, state);
	}
	CHECK(strcmp(sql(c, NULL, 0, "SET mangoloom.kind = 'unheard'"), "00000") == 0, "kind");
	CHECK(strcmp(sql(c, NULL, 0, "SELECT 1"), "42501") == 0 &&
		      strcmp(sql_detail(), "not run") == 0,
	      "a kind without a route is not refused");
	PQfinish(c);
}

/* Guards against a name that is cut, and then is that of another team or kind. */
static void test_too_long_names_are_refused(void)
{
	struct test_fleet *f = get_shared_fleet();
	char name[65], *key;
	PGconn *c;

	memset(name, 'n', 64);
	name[63] = '\0';
	key = fleet_create_key(f, name);
	c = fleet_connect(f, 0, name, key, "-c mangoloom.kind=order");
	CHECK(PQstatus(c) == CONNECTION_OK, "%s", PQerrorMessage(c));
	PQfinish(c);
	name[63] = 'x';
	name[64] = '\0';
	c = fleet_connect(f, 0, name, key, "-c mangoloom.kind=order");
	CHECK(PQstatus(c) != CONNECTION_OK, "a cut user name is accepted");
	PQfinish(c);
	g_free(key);
	c = fleet_connect_orders(f, 0);
	CHECK(strcmp(sql(c, NULL, 0, "SET mangoloom.kind = '%s'", name), "22023") == 0, "kind");
	CHECK(strcmp(sql(c, NULL, 0, "INSERT INTO orders VALUES ('kept', 'x')"), "00000") == 0,
	      "a kind that was refused is in force");
	PQfinish(c);
}

static void test_wrong_keys(void)
{
	struct test_fleet *f = get_shared_fleet();
	static const char *const keys[] = {"", "mlk_", "mlk_000000000000_00",
					   "a'; DROP TABLE keys"};
	PGconn *c;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(keys); i++) {
		c = fleet_connect(f, 0, "clerks", keys[i], "");
		CHECK(PQstatus(c) != CONNECTION_OK, "accepted: %s", keys[i]);
		PQfinish(c);
	}
	/* A key is valid only for the team that it was issued to. */
	c = fleet_connect(f, 0, "others", f->key, "");
	CHECK(PQstatus(c) != CONNECTION_OK, "another team's key is accepted");
	PQfinish(c);
}

static int raw_connect(struct test_fleet *f)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_port = htons((uint16_t)f->vm[0].caller);
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0)
		printf("cannot connect to the caller port of VM 0\n");
	return fd;
}

/** Reads until EOF and closes @a fd. @return milliseconds until EOF, or -1 after 5 s or an error */
static int64_t read_until_eof(int fd)
{
	struct timeval tv = {.tv_sec = 5};
	int64_t start = test_now_ms();
	char buf[4096];
	ssize_t n;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	while ((n = read(fd, buf, sizeof(buf))) > 0)
		;
	close(fd);
	return n == 0 ? test_now_ms() - start : -1;
}

/*
 * Guards against clients that occupy a connection for ever: one that sends nothing, part of a
 * message, or bytes of another protocol is disconnected after message_ms. Random bytes must not
 * make the daemon fail.
 */
static void test_slow_and_broken_callers(void)
{
	struct test_fleet *f = get_shared_fleet();
	uint8_t noise[2000];
	int fd, i;

	fd = raw_connect(f);
	CHECK(read_until_eof(fd) >= 0, "a client that sends nothing is not disconnected");
	fd = raw_connect(f);
	CHECK(write(fd, "\0\0\0\x20\0\3", 6) == 6, "write");
	CHECK(read_until_eof(fd) >= 0, "a client that sends part of a message is not disconnected");
	fd = raw_connect(f);
	CHECK(write(fd, "GET / HTTP/1.0\r\n\r\n", 18) == 18, "write");
	CHECK(read_until_eof(fd) >= 0, "a client of another protocol is not disconnected");
	srand(3);
	for (i = 0; i < 60; i++) {
		size_t len = 1 + (size_t)rand() % sizeof(noise), j;

		for (j = 0; j < len; j++)
			noise[j] = (uint8_t)rand();
		if (i % 2)
			memcpy(noise, "\0\0\0\x09\0\3\0\0\0", 9);
		fd = raw_connect(f);
		if (write(fd, noise, len) < 0)
			printf("the daemon closed the connection before all bytes were sent\n");
		close(fd);
	}
	CHECK(fleet_status(f, 0, "requests") >= 0, "the daemon does not answer after random bytes");
}

static void test_idle_and_too_many_callers(void)
{
	struct test_fleet *f = get_shared_fleet();
	PGconn *c[45];
	int i, refused = 0;

	for (i = 0; i < 45; i++) {
		c[i] = fleet_connect_orders(f, 0);
		refused += PQstatus(c[i]) != CONNECTION_OK;
	}
	CHECK(refused >= 5 && refused < 12, "%d of 45 refused", refused);
	test_sleep_ms(1800);
	/*
	 * All sessions were closed after idle_ms, but the clients have not read the error messages
	 * yet. Guards against counting such closing sessions towards the connection limit, which
	 * refused new callers.
	 */
	PGconn *next = fleet_connect_orders(f, 0);
	CHECK(PQstatus(next) == CONNECTION_OK, "%s", PQerrorMessage(next));
	PQfinish(next);
	for (i = 0; i < 45; i++) {
		if (i == 0)
			CHECK(strcmp(sql(c[0], NULL, 0, "SELECT 1"), "57P05") == 0,
			      "an idle session is not closed with 57P05");
		PQfinish(c[i]);
	}
}

static void test_message_over_the_limit(void)
{
	PGconn *c = fleet_connect_orders(get_shared_fleet(), 0);
	char *big = g_strnfill(100000, 'x');
	const char *state = sql(c, NULL, 0, "SELECT '%s'", big);

	CHECK(strcmp(state, "08P01") == 0, "%s", state);
	g_free(big);
	PQfinish(c);
}

static void test_psql(void)
{
	struct test_fleet *f = get_shared_fleet();
	char *line = g_strdup_printf(
		"PGOPTIONS='-c mangoloom.kind=order' PGPASSWORD=%s psql -X -q -t -A -h 127.0.0.1 "
		"-p %d "
		"-U clerks -d shop -c \"INSERT INTO orders VALUES ('psql', 'works')\" "
		"-c \"SELECT value FROM orders WHERE key = 'psql'\"",
		f->key, f->vm[1].caller);
	char text[256] = "";
	FILE *p = popen(line, "r");

	CHECK(p != NULL && fgets(text, sizeof(text), p) != NULL, "psql printed no output");
	CHECK(strcmp(text, "works\n") == 0, "%s", text);
	CHECK(pclose(p) == 0, "psql failed");
	g_free(line);
}

/* The log contains the routing decision and the answer, but no key and no value of a statement. */
static void test_log_has_no_secrets(void)
{
	struct test_fleet *f = get_shared_fleet();
	PGconn *c = fleet_connect_orders(f, 0);
	char *path = g_strdup_printf("%s/%s.log", f->dir, f->vm[0].name), *text = NULL;

	sql(c, NULL, 0, "INSERT INTO orders VALUES ('secret-key', 'secret-value')");
	PQfinish(c);
	test_sleep_ms(300);
	CHECK(g_file_get_contents(path, &text, NULL, NULL), "no log");
	CHECK(strstr(text, "event=route") != NULL && strstr(text, "event=answer") != NULL,
	      "the log lacks route or answer events");
	CHECK(strstr(text, "secret-") == NULL, "a value is in the log");
	CHECK(strstr(text, strrchr(f->key, '_') + 1) == NULL, "a key is in the log");
	g_free(text);
	g_free(path);
}

/**
 * Connects to VM 0 with @a sslmode and, if that succeeds, writes and reads one row.
 * @param value receives the value read. @return the status of the connection
 */
static ConnStatusType tls_connect(struct test_fleet *f, const char *sslmode, char *value,
				  size_t size)
{
	char *text = g_strdup_printf(
		"hostaddr=127.0.0.1 port=%d user=clerks password=%s dbname=shop sslmode=%s "
		"gssencmode=disable options='-c mangoloom.kind=order'",
		f->vm[0].caller, f->key, sslmode);
	PGconn *c = PQconnectdb(text);
	ConnStatusType status = PQstatus(c);

	if (status != CONNECTION_OK)
		printf("sslmode=%s: %s", sslmode, PQerrorMessage(c));

	if (status == CONNECTION_OK) {
		sql(c, NULL, 0, "INSERT INTO orders VALUES ('tls', 'sealed')");
		sql(c, value, size, "SELECT value FROM orders WHERE key = 'tls'");
	}
	PQfinish(c);
	g_free(text);
	return status;
}

/*
 * A VM that requires TLS serves clients that use it, and refuses clients that would send their key
 * unencrypted.
 */
static void test_tls(void)
{
	char *dir = g_dir_make_tmp("mangoloom-tls-XXXXXX", NULL);
	char *make_certificate_command = g_strdup_printf(
		"openssl req -x509 -newkey rsa:2048 -nodes -subj /CN=vm -days 2 -keyout %s/key "
		"-out %s/certificate >/dev/null 2>&1",
		dir, dir);
	char *settings = g_strdup_printf(
		"[tls]\ncertificate = \"%s/certificate\"\nkey = \"%s/key\"\n", dir, dir);
	char *remove_dir_command = g_strdup_printf("rm -rf %s", dir), value[64] = "",
	     *required_settings;
	struct test_fleet *f;
	PGconn *c;

	CU_ASSERT_EQUAL_FATAL(system(make_certificate_command), 0);
	f = fleet_start_up(&(struct fleet_plan){.settings = settings});
	CHECK(tls_connect(f, "require", value, sizeof(value)) == CONNECTION_OK, "TLS");
	CHECK(strcmp(value, "sealed") == 0, "read %s", value);
	CHECK(tls_connect(f, "disable", value, sizeof(value)) == CONNECTION_OK,
	      "connection without TLS refused although TLS is optional");
	required_settings = g_strdup_printf("%srequired = true\n", settings);
	f->plan.settings = required_settings;
	fleet_vm_signal(f, 0, SIGKILL);
	fleet_vm_start(f, 0);
	test_sleep_ms(1500);
	CHECK(tls_connect(f, "require", value, sizeof(value)) == CONNECTION_OK,
	      "TLS connection refused while TLS is required");
	CHECK(tls_connect(f, "disable", value, sizeof(value)) != CONNECTION_OK,
	      "connection without TLS accepted while TLS is required");
	c = fleet_connect_orders(f, 1);
	CHECK(PQstatus(c) == CONNECTION_OK, "VM 1, where TLS is optional, refuses connections");
	PQfinish(c);
	fleet_tear_down(f);
	CHECK(system(remove_dir_command) == 0, "clean");
	g_free(required_settings);
	g_free(remove_dir_command);
	g_free(settings);
	g_free(make_certificate_command);
	g_free(dir);
}

static void test_shared_fleet_shutdown(void)
{
	fleet_tear_down(get_shared_fleet());
	fleet = NULL;
}

static const struct test_case cases[] = {
	{"extended_protocol", test_extended_protocol},
	{"unsupported_statements_and_settings_are_refused",
	 test_unsupported_statements_and_settings_are_refused},
	{"too_long_names_are_refused", test_too_long_names_are_refused},
	{"wrong_keys", test_wrong_keys},
	{"slow_and_broken_callers", test_slow_and_broken_callers},
	{"idle_and_too_many_callers", test_idle_and_too_many_callers},
	{"message_over_the_limit", test_message_over_the_limit},
	{"psql", test_psql},
	{"log_has_no_secrets", test_log_has_no_secrets},
	{"tls", test_tls},
	{"shared_fleet_shutdown", test_shared_fleet_shutdown},
};
HARNESS_MAIN("caller", cases)
