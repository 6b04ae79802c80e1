/**
 * @file test-it-once.c
 * Statements run at most once, callers get the true outcome, and results are complete, while
 * connections break.
 */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WRITERS 6
/** Statements at a time whose process IDs make a list of more than 512 bytes. */
#define MANY 90

/** Returns whether the VM with the index *@a arg serves a write. */
static bool write_served(struct test_fleet *f, void *arg)
{
	PGconn *c = fleet_connect_orders(f, *(int *)arg);
	bool ok = strcmp(sql(c, NULL, 0, "INSERT INTO warm VALUES ('again', '1')"), "00000") == 0;

	PQfinish(c);
	return ok;
}

/*
 * Connections to databases and between VMs are reset, frozen, and blocked in one direction at
 * random while writers send orders that may not be repeated. Guards against a reported outcome that
 * differs from the database's log: an acknowledged order is there exactly once, one reported as not
 * run is not there, and none is there twice.
 */
static void test_outcomes_match_the_log_under_random_faults(void)
{
	static const char *const faults[] = {"reset", "reset", "reset", "freeze",
					     "mute",  "deaf",  "hold"};
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){
		.work_us = 2000, .settings = "[callers]\ndeadline_ms = 3000\n"});
	struct writer w[WRITERS];
	int i, acked = 0, not_run = 0, unknown = 0, total = 0, round = 0;
	int64_t until = test_now_ms() + 25000;

	memset(w, 0, sizeof(w));
	for (i = 0; i < WRITERS; i++) {
		char prefix[16];

		snprintf(prefix, sizeof(prefix), "w%d", i);
		w[i].pause_us = 1000;
		writer_start(&w[i], f, i % 3, prefix);
	}
	srand(7);
	while (test_now_ms() < until && (total < 1500 || round < 100)) {
		int primary = fleet_primary(f) >= 0 ? fleet_primary(f) : 0;

		const char *fault = faults[rand() % 7];
		const char *route = rand() % 4 ? f->member[rand() % 2 ? primary : rand() % 3].name
					       : f->vm[rand() % 3].name;

		fleet_fault(f, "%s %s", fault, route);
		test_sleep_ms(20 + rand() % 150);
		fleet_fault(f, "pass %s", route);
		test_sleep_ms(rand() % 120);
		round++;
		for (i = 0, total = 0; i < WRITERS; i++)
			total += (int)w[i].told->len;
	}
	for (i = 0; i < WRITERS; i++) {
		writer_stop(&w[i]);
		acked += w[i].acked;
		not_run += w[i].not_run;
		unknown += w[i].unknown;
	}
	printf("%d faults injected: %d acknowledged, %d not run, %d unknown\n", round, acked,
	       not_run, unknown);
	CHECK(acked + not_run + unknown >= 1000, "only %d requests", acked + not_run + unknown);
	writers_verify(f, w, WRITERS);
	fleet_tear_down(f);
}

/*
 * The home, the daemon that holds the primary's connections, is killed while statements run. Guards
 * against wrong outcomes, and against writes that do not continue at the member's next home within
 * 5 s.
 */
static void test_home_dies_under_load(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.vms = 6, .work_us = 2000});
	struct writer w[2] = {{.pause_us = 1000}, {.pause_us = 1000}};
	int primary = fleet_primary(f), home = -1, i;

	for (i = 0; i < f->plan.vms; i++) {
		char *out, *line = g_strdup_printf("/%s ", f->member[primary].name);

		fleet_cli(f, &out, "status %s", f->vm[i].name);
		if (strstr(out, line) != NULL)
			home = i;
		g_free(line);
		g_free(out);
	}
	CHECK(home >= 0, "no home found");
	writer_start(&w[0], f, (home + 1) % 6, "a");
	writer_start(&w[1], f, (home + 2) % 6, "b");
	test_sleep_ms(500);
	fleet_vm_signal(f, home, SIGKILL);
	test_sleep_ms(2500);
	writer_stop(&w[0]);
	writer_stop(&w[1]);
	printf("home killed: %d acknowledged, %d not run, %d unknown, longest gap %ld ms\n",
	       w[0].acked + w[1].acked, w[0].not_run + w[1].not_run, w[0].unknown + w[1].unknown,
	       (long)(MAX(w[0].gap_us, w[1].gap_us) / 1000));
	CHECK(MAX(w[0].gap_us, w[1].gap_us) < 5000000, "gap");
	CHECK(w[0].unknown + w[1].unknown <= 4, "%d unknown", w[0].unknown + w[1].unknown);
	writers_verify(f, w, 2);
	fleet_tear_down(f);
}

/*
 * Open connections to the primary stop delivering data, while new ones work. Guards against callers
 * that wait for a silent connection until their deadline: a new connection has to replace it within
 * a few seconds, and the outcome of a COMMIT sent on the silent one has to be looked up.
 */
static void test_silent_connections_are_replaced(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	PGconn *c = fleet_connect_orders(f, 1);
	int round;

	for (round = 0; round < 3; round++) {
		int64_t start;
		const char *state;
		char count[16];

		sql(c, NULL, 0, "INSERT INTO orders VALUES ('before', '%d')", round);
		fleet_fault(f, "freeze %s", f->member[fleet_primary(f)].name);
		start = test_now_ms();
		state = sql(c, NULL, 0, "INSERT INTO orders VALUES ('silent-%d', 'x')", round);
		printf("silent connections: %s after %ld ms\n", state,
		       (long)(test_now_ms() - start));
		CHECK(strcmp(state, "00000") == 0, "%s", state);
		CHECK(test_now_ms() - start < 4000, "%ld ms", (long)(test_now_ms() - start));
		sql(c, count, sizeof(count), "SELECT count(*) FROM orders WHERE key = 'silent-%d'",
		    round);
		CHECK(atoi(count) == 1, "%s times", count);
	}
	PQfinish(c);
	fleet_tear_down(f);
}

/*
 * More statements run at the primary at a time than usual. Guards against taking a statement that
 * runs for one whose connection went silent, since the list of active backends is long.
 */
static void test_none_of_many_long_statements_is_lost(void)
{
	struct test_fleet *f = fleet_start_up(
		&(struct fleet_plan){.slots = MANY,
				     .connections = 2 * MANY,
				     .work_us = 800000,
				     .settings = "[callers]\ndeadline_ms = 20000\n"});
	PGconn *c[MANY];
	int i, done = 0;

	for (i = 0; i < MANY; i++) {
		char text[64];

		c[i] = fleet_connect_orders(f, 0);
		snprintf(text, sizeof(text), "INSERT INTO orders VALUES ('many-%d', 'x')", i);
		CU_ASSERT_TRUE(PQsendQuery(c[i], text));
	}
	for (i = 0; i < MANY; i++) {
		PGresult *r = PQgetResult(c[i]);

		done += PQresultStatus(r) == PGRES_COMMAND_OK ? 1 : 0;
		PQclear(r);
		PQfinish(c[i]);
	}
	CHECK(done == MANY, "%d of %d", done, MANY);
	for (i = 0; i < f->plan.vms; i++) {
		char *path = g_strdup_printf("%s/%s.log", f->dir, f->vm[i].name), *log = NULL;

		CU_ASSERT_TRUE(g_file_get_contents(path, &log, NULL, NULL));
		CHECK(log != NULL && strstr(log, "event=connection-silent") == NULL, "%s", path);
		g_free(log);
		g_free(path);
	}
	fleet_tear_down(f);
}

/*
 * The RPC connections between the VMs stop delivering data. Guards against calls that keep waiting
 * on them: an unanswered ping has to close the connection, and the next call has to open a new one.
 */
static void test_silent_rpc_is_replaced(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	int i, vm;

	for (i = 0; i < 3; i++)
		fleet_fault(f, "freeze %s", f->vm[i].name);
	for (vm = 0; vm < 3; vm++) {
		int64_t start = test_now_ms();

		CHECK(wait_until(write_served, f, &vm, 6000), "VM %d does not serve", vm);
		CHECK(test_now_ms() - start < 6000, "%ld ms", (long)(test_now_ms() - start));
	}
	fleet_tear_down(f);
}

/*
 * After an unknown outcome the caller repeats an order with the same once-id, by which the database
 * detects a repetition. Guards against an order that runs twice: the id was stored in the
 * transaction of the first order, so the second one fails with "already run".
 */
static void test_once_id_stops_a_repetition(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	PGconn *c = fleet_connect_orders(f, 0), *d;
	const char *state;
	char count[16];

	sql(c, NULL, 0, "SET mangoloom.once = 'order-4711'");
	state = sql(c, NULL, 0, "INSERT INTO orders VALUES ('o4711', '12 chairs')");
	CHECK(strcmp(state, "00000") == 0, "%s", state);
	d = fleet_connect(f, 1, "clerks", f->key,
			  "-c mangoloom.kind=order -c mangoloom.once=order-4711");
	state = sql(d, NULL, 0, "INSERT INTO orders VALUES ('o4711', '12 chairs')");
	CHECK(strcmp(state, "23505") == 0 && strcmp(sql_detail(), "already run") == 0, "%s %s",
	      state, sql_detail());
	sql(c, count, sizeof(count), "SELECT count(*) FROM orders WHERE key = 'o4711'");
	CHECK(atoi(count) == 1, "%s times", count);
	PQfinish(c);
	PQfinish(d);
	fleet_tear_down(f);
}

/*
 * Connections are delayed and reset while a large result is on its way from the database. Guards
 * against truncated results: the caller gets all of it or an error.
 */
static void test_results_are_never_truncated(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	PGconn *c = fleet_connect(f, 1, "clerks", f->key, "-c mangoloom.kind=own");
	char *value = g_malloc(3000000);
	int complete = 0, refused = 0, i;

	for (i = 0; i < 40; i++) {
		const char *state;

		if (i % 3 == 1)
			fleet_fault(f, "delay %s 3", f->member[fleet_primary(f)].name);
		if (i % 3 == 2)
			fleet_fault(f, "reset %s", i % 2 ? f->member[0].name : f->vm[0].name);
		state = sql(c, value, 3000000, "SELECT big(%d)", 500000 + i);
		if (strcmp(state, "00000") == 0) {
			CHECK(strlen(value) >= 500000, "only %zu bytes", strlen(value));
			complete++;
		} else {
			refused++;
		}
		if (PQstatus(c) != CONNECTION_OK)
			PQreset(c);
	}
	printf("%d complete results, %d errors\n", complete, refused);
	CHECK(complete >= 30, "%d", complete);
	CHECK(strcmp(sql(c, NULL, 0, "SELECT big(20000000)"), "54000") == 0,
	      "a result over the size limit is not refused");
	g_free(value);
	PQfinish(c);
	fleet_tear_down(f);
}

/**
 * Reads the session's own key until the writer is stopped. The field "unknown" counts answers that
 * belong to another session, "acked" counts all others.
 */
static gpointer own_read_thread(gpointer data)
{
	struct writer *w = data;
	PGconn *c = fleet_connect(w->f, w->vm, "clerks", w->f->key, "-c mangoloom.kind=own");
	char value[64];

	while (!w->stop) {
		const char *state = sql(c, value, sizeof(value),
					"SELECT value FROM orders WHERE key = '%s'", w->prefix);

		if (strcmp(state, "00000") == 0 && strcmp(value, w->prefix) != 0)
			w->unknown++;
		else
			w->acked++;
		if (PQstatus(c) != CONNECTION_OK)
			PQreset(c);
	}
	PQfinish(c);
	return NULL;
}

/*
 * Many sessions, each reading its own key, share a few connections that are delayed and reset.
 * Guards against an answer that is delivered to another session.
 */
static void test_no_crossed_answers(void)
{
	struct test_fleet *f =
		fleet_start_up(&(struct fleet_plan){.connections = 6, .work_us = 300});
	struct writer w[12];
	PGconn *c = fleet_connect_orders(f, 0);
	int crossed = 0, answered = 0, i;

	memset(w, 0, sizeof(w));
	for (i = 0; i < 12; i++) {
		snprintf(w[i].prefix, sizeof(w[i].prefix), "session%d", i);
		sql(c, NULL, 0, "INSERT INTO orders VALUES ('%s', '%s')", w[i].prefix, w[i].prefix);
		w[i].f = f;
		w[i].vm = i % 3;
		w[i].thread = g_thread_new("asker", own_read_thread, &w[i]);
	}
	for (i = 0; i < 15; i++) {
		fleet_fault(f, "delay %s %d", f->member[i % 3].name, i % 4 * 20);
		fleet_fault(f, "reset %s", i % 2 ? f->vm[i % 3].name : f->member[i % 3].name);
		test_sleep_ms(150);
	}
	for (i = 0; i < 12; i++) {
		w[i].stop = 1;
		g_thread_join(w[i].thread);
		crossed += w[i].unknown;
		answered += w[i].acked;
	}
	printf("%d answers, %d answers of another session\n", answered, crossed);
	CHECK(crossed == 0 && answered > 200, "%d crossed of %d", crossed, answered);
	PQfinish(c);
	fleet_tear_down(f);
}

static const struct test_case cases[] = {
	{"outcomes_match_the_log_under_random_faults",
	 test_outcomes_match_the_log_under_random_faults},
	{"home_dies_under_load", test_home_dies_under_load},
	{"none_of_many_long_statements_is_lost", test_none_of_many_long_statements_is_lost},
	{"silent_connections_are_replaced", test_silent_connections_are_replaced},
	{"silent_rpc_is_replaced", test_silent_rpc_is_replaced},
	{"once_id_stops_a_repetition", test_once_id_stops_a_repetition},
	{"results_are_never_truncated", test_results_are_never_truncated},
	{"no_crossed_answers", test_no_crossed_answers},
};
HARNESS_MAIN("once", cases)
