/**
 * @file test-it-fleet.c
 * What several daemons do together: keys, configuration changes, planned stops, and data centres
 * isolated by a network partition.
 */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Returns whether the VM with the index *@a arg serves a read within 500 ms. */
static bool reads_served(struct test_fleet *f, void *arg)
{
	PGconn *c = fleet_connect(f, *(int *)arg, "clerks", f->key,
				  "-c mangoloom.kind=page -c mangoloom.deadline_ms=500");
	bool ok = strcmp(sql(c, NULL, 0, "SELECT value FROM warm WHERE key = 'up'"), "00000") == 0;

	PQfinish(c);
	return ok;
}

/*
 * Guards against a withdrawn key that still works, on open sessions or for new ones, and against a
 * withdrawal that also ends the team's other key.
 */
static void test_withdrawn_key(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	char *second = fleet_create_key(f, "clerks"), *id, *end, *out;
	PGconn *idle[3], *fresh;
	int64_t start;
	int i, code;

	for (i = 0; i < 3; i++) {
		idle[i] = fleet_connect(f, i, "clerks", second, "-c mangoloom.kind=order");
		CHECK(strcmp(sql(idle[i], NULL, 0, "INSERT INTO orders VALUES ('k', 'x')"),
			     "00000") == 0,
		      "VM %d", i);
	}
	id = g_strdup(second + strlen("mlk_"));
	end = strchr(id, '_');
	*end = '\0';
	start = test_now_ms();
	code = fleet_cli(f, NULL, "key withdraw %s", id);
	CHECK(code == 0, "%d", code);
	CHECK(test_now_ms() - start < 5000, "%ld ms", (long)(test_now_ms() - start));
	for (i = 0; i < 3; i++) {
		const char *state = sql(idle[i], NULL, 0, "INSERT INTO orders VALUES ('k', 'y')");

		CHECK(strcmp(state, "28P01") == 0 || strcmp(state, "08006") == 0, "%s", state);
		PQfinish(idle[i]);
	}
	fresh = fleet_connect(f, 1, "clerks", second, "");
	CHECK(PQstatus(fresh) != CONNECTION_OK, "a withdrawn key is accepted");
	PQfinish(fresh);
	fresh = fleet_connect_orders(f, 1);
	CHECK(PQstatus(fresh) == CONNECTION_OK, "the other key is refused");
	PQfinish(fresh);
	/*
	 * The command names a VM that it could not notify. That VM gets the withdrawal as soon as
	 * it runs again.
	 */
	g_free(id);
	id = fleet_create_key(f, "clerks");
	end = strchr(id + strlen("mlk_"), '_');
	idle[0] = fleet_connect(f, 2, "clerks", id, "-c mangoloom.kind=order");
	*end = '\0';
	fleet_vm_signal(f, 2, SIGSTOP);
	code = fleet_cli(f, NULL, "key withdraw %s --wait-ms 500", id + strlen("mlk_"));
	CHECK(code == 6, "%d", code);
	out = g_strdup_printf("%s/cli.err", f->dir);
	g_free(second);
	CHECK(g_file_get_contents(out, &second, NULL, NULL) &&
		      strstr(second, f->vm[2].name) != NULL,
	      "%s", second);
	g_free(out);
	fleet_vm_signal(f, 2, SIGCONT);
	test_sleep_ms(1500);
	CHECK(strcmp(sql(idle[0], NULL, 0, "SELECT 1"), "28P01") == 0,
	      "a withdrawn key is accepted after the pause");
	PQfinish(idle[0]);
	code = fleet_cli(f, &out, "key list");
	CHECK(code == 0 && strstr(out, "withdrawn") != NULL, "%s", out);
	g_free(out);
	g_free(second);
	g_free(id);
	fleet_tear_down(f);
}

/*
 * With trust_without_news_ms set, a data centre that is isolated from the platform and the other
 * data centres stops accepting keys, because a withdrawal could not reach it. It accepts keys again
 * after the partition.
 */
static void test_isolated_data_center_stops_accepting_keys(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){
		.vms = 6, .settings = "[keys]\ntrust_without_news_ms = 5000\n"});
	PGconn *c = fleet_connect_orders(f, 2);
	const char *state;
	int vm = 2;

	CHECK(strcmp(sql(c, NULL, 0, "INSERT INTO orders VALUES ('before', 'x')"), "00000") == 0,
	      "not served before the partition");
	fleet_partition(f, "dc3", true);
	fleet_platform_fault(f, "{\"down\":true}");
	/*
	 * The isolated data centre has two VMs in contact with each other. Guards against each
	 * counting the other's message as proof that its list of keys is current.
	 */
	test_sleep_ms(7500);
	state = sql(c, NULL, 0, "SELECT 1");
	CHECK(strcmp(state, "28P01") == 0, "%s", state);
	PQfinish(c);
	fleet_partition(f, "dc3", false);
	fleet_platform_fault(f, "{\"down\":false}");
	CHECK(wait_until(reads_served, f, &vm, 8000), "not served after the partition");
	fleet_tear_down(f);
}

/*
 * Scripts rely on the exit codes of the command line. Guards against wrong exit codes, and against
 * an invalid table that changes the configuration.
 */
static void test_command_line(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	char *out, *path;
	int64_t version = fleet_status(f, 0, "conf_version");

	CHECK(fleet_cli(f, &out, "get routes") == 0 && strstr(out, "base_version = ") != NULL, "%s",
	      out);
	path = fleet_file(f, "got.toml", out);
	g_free(out);
	CHECK(fleet_cli(f, &out, "apply --routes %s", path) == 0 &&
		      strstr(out, "no change") != NULL,
	      "%s", out);
	g_free(out);
	CHECK(fleet_cli(f, &out, "diff --routes %s", path) == 0 && out[0] == '\0', "%s", out);
	g_free(out);
	g_free(path);
	path = fleet_file(f, "wrong.toml", "[[route]]\nname = \"x\"\npool = \"missing\"\n");
	CHECK(fleet_cli(f, NULL, "apply --routes %s", path) == 3,
	      "a route whose pool does not exist is applied");
	g_free(path);
	path = fleet_file(f, "wrong.toml", "[[route]]\nname = 7\n");
	CHECK(fleet_cli(f, NULL, "check --routes %s", path) == 3,
	      "a number as a name passes the check");
	CHECK(fleet_cli(f, NULL, "apply --routes %s", path) == 3, "a number as a name is applied");
	g_free(path);
	CHECK(fleet_cli(f, NULL, "frobnicate") == 2, "wrong exit code for an unknown command");
	CHECK(fleet_cli(f, NULL, "key withdraw 000000") == 1, "wrong exit code for an unknown key");
	CHECK(fleet_status(f, 0, "conf_version") == version, "the configuration was changed");
	CHECK(fleet_cli(f, &out, "history") == 0 && strstr(out, "key given to clerks") != NULL,
	      "%s", out);
	g_free(out);
	fleet_platform_fault(f, "{\"down\":true}");
	CHECK(fleet_cli(f, NULL, "get routes") == 1, "wrong exit code of get without the platform");
	CHECK(fleet_cli(f, NULL, "key give clerks") == 1,
	      "wrong exit code of key give without the platform");
	fleet_platform_fault(f, "{\"down\":false}");
	CHECK(fleet_cli(f, NULL, "stop %s", f->vm[2].name) == 0, "stop");
	CHECK(fleet_vm_wait(f, 2) == 0, "ended");
	fleet_tear_down(f);
}

static char *routes_with_rate(int rate)
{
	return g_strdup_printf(
		"[[team]]\nname = \"clerks\"\nrate = %d\nburst = 100000\n" HARNESS_ROUTES, rate);
}

/** One operator in test_concurrent_applies_conflict(). */
struct apply_thread {
	struct test_fleet *f;
	int rate, code;
};

/** Applies routes with its own rate, based on version 2 of the configuration. */
static gpointer apply_routes_thread(gpointer data)
{
	struct apply_thread *r = data;
	char *text = routes_with_rate(r->rate), name[32], *path;
	char *based = g_strdup_printf("base_version = 2\n%s", text);

	snprintf(name, sizeof(name), "race%d.toml", r->rate);
	path = fleet_file(r->f, name, based);
	r->code = fleet_cli(r->f, NULL, "apply --routes %s", path);
	g_free(path);
	g_free(based);
	g_free(text);
	return NULL;
}

/** Returns whether all VMs have the configuration version *@a arg in force. */
static bool versions_equal(struct test_fleet *f, void *arg)
{
	int i;

	for (i = 0; i < f->plan.vms; i++) {
		if (fleet_status(f, i, "conf_version") != *(int64_t *)arg)
			return false;
	}
	return true;
}

/*
 * Four operators apply edits of the same base version at the same time. Guards against more than
 * one success: the others have to get the exit code for a conflict and change nothing. Then the
 * platform's answer to an apply is lost after the change was stored; the command has to find its
 * own change and succeed.
 */
static void test_concurrent_applies_conflict(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	struct apply_thread r[4];
	GThread *t[4];
	int succeeded = 0, conflicted = 0, i, code;
	char *text, *path;
	int64_t version;

	for (i = 0; i < 4; i++) {
		r[i] = (struct apply_thread){.f = f, .rate = 1000 + i};
		t[i] = g_thread_new("race", apply_routes_thread, &r[i]);
	}
	for (i = 0; i < 4; i++) {
		g_thread_join(t[i]);
		succeeded += r[i].code == 0;
		conflicted += r[i].code == 4;
	}
	CHECK(succeeded == 1 && conflicted == 3, "%d succeeded, %d conflicts", succeeded,
	      conflicted);
	text = routes_with_rate(7777);
	path = fleet_file(f, "lost.toml", text);
	version = fleet_status(f, 0, "conf_version");
	fleet_platform_fault(f, "{\"lose_answers\":true}");
	code = fleet_cli(f, NULL, "apply --routes %s", path);
	fleet_platform_fault(f, "{\"lose_answers\":false}");
	CHECK(code == 0, "%d", code);
	version++;
	CHECK(wait_until(versions_equal, f, &version, 5000), "not in force as version %ld",
	      (long)version);
	g_free(path);
	g_free(text);
	fleet_tear_down(f);
}

/*
 * A daemon is paused during a configuration change and continues while the platform is down. Guards
 * against its old version replacing the new one at its peers, and against a daemon that does not
 * get the change from its peers. A VM that starts during the outage has to serve as well.
 */
static void test_configuration_changes_never_revert(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	char *text = routes_with_rate(4321), *path = fleet_file(f, "next.toml", text);
	int64_t version = fleet_status(f, 0, "conf_version") + 1;
	PGconn *c;
	int code, i;

	fleet_vm_signal(f, 1, SIGSTOP);
	code = fleet_cli(f, NULL, "apply --routes %s --wait-ms 300", path);
	CHECK(code == 6, "not the exit code for a VM that did not confirm: %d", code);
	fleet_platform_fault(f, "{\"down\":true}");
	fleet_vm_signal(f, 2, SIGKILL);
	fleet_vm_signal(f, 1, SIGCONT);
	fleet_vm_start(f, 2);
	/*
	 * The status command reads the list of VMs from the platform, so it fails now. Statements
	 * show whether the daemons serve.
	 */
	test_sleep_ms(3000);
	for (i = 0; i < 3; i++) {
		const char *state;

		c = fleet_connect_orders(f, i);
		state = sql(c, NULL, 0, "INSERT INTO orders VALUES ('x', 'x')");
		CHECK(strcmp(state, "00000") == 0, "VM %d: %s", i, state);
		PQfinish(c);
	}
	fleet_platform_fault(f, "{\"down\":false}");
	CHECK(wait_until(versions_equal, f, &version, 5000), "not in force everywhere");
	g_free(path);
	g_free(text);
	fleet_tear_down(f);
}

/*
 * The connections on which the daemons watch the platform deliver no more data but stay open; new
 * calls work. Guards against daemons that miss changes: a change must be in force at all VMs within
 * 5 s.
 */
static void test_silent_watches_are_noticed(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	char *text = routes_with_rate(1234), *path = fleet_file(f, "silent.toml", text);
	int64_t version = fleet_status(f, 0, "conf_version") + 1;
	int code;

	fleet_platform_fault(f, "{\"mute_watches\":true}");
	code = fleet_cli(f, NULL, "apply --routes %s --wait-ms 5000", path);
	CHECK(code == 0, "%d", code);
	CHECK(versions_equal(f, &version), "not in force everywhere");
	g_free(path);
	g_free(text);
	fleet_tear_down(f);
}

/** Returns whether no VM has running statements at the member named @a arg. */
static bool no_connections(struct test_fleet *f, void *arg)
{
	int i;

	for (i = 0; i < 3; i++) {
		char *out, *at;
		long n = 0;

		fleet_cli(f, &out, "status %s", f->vm[i].name);
		at = strstr(out, (const char *)arg);
		at = at != NULL ? strstr(at, "running, ") : NULL;
		n = at != NULL ? strtol(at + strlen("running, "), NULL, 10) : 0;
		g_free(out);
		if (n > 0)
			return false;
	}
	return true;
}

/*
 * The operators mark a replica as leaving. Guards against statements that it still gets 3 s later,
 * and against callers that are refused because of it.
 */
static void test_leaving_database(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	PGconn *c = fleet_connect(f, 1, "clerks", f->key, "-c mangoloom.kind=page");
	int64_t until;
	int refused = 0;
	int leaving = (fleet_primary(f) + 1) % 3;
	char *marked, *path, **parts;
	char wanted[64];

	snprintf(wanted, sizeof(wanted), "name = \"%s\"\n", f->member[leaving].name);
	parts = g_strsplit(f->pools_toml, wanted, 2);
	marked = g_strdup_printf("%s%sleaving = true\n%s", parts[0], wanted, parts[1]);
	path = fleet_file(f, "leaving.toml", marked);
	sql(c, NULL, 0, "SELECT value FROM warm WHERE key = 'up'");
	CHECK(fleet_cli(f, NULL, "apply --pools %s", path) == 0, "apply");
	CHECK(wait_until(no_connections, f, f->member[leaving].name, 3000),
	      "still has connections");
	for (until = test_now_ms() + 500; test_now_ms() < until;)
		refused += strcmp(sql(c, NULL, 0, "SELECT value FROM warm WHERE key = 'up'"),
				  "00000") != 0;
	CHECK(refused == 0, "%d refused", refused);
	CHECK(no_connections(f, f->member[leaving].name), "got new work");
	PQfinish(c);
	g_strfreev(parts);
	g_free(marked);
	g_free(path);
	fleet_tear_down(f);
}

/*
 * A data centre is evacuated and restored. Guards against reads that are still sent to its member
 * during the evacuation, and against an evacuation that `mangoloom restore` does not end.
 */
static void test_evacuated_data_center(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	PGconn *c = fleet_connect(f, 1, "clerks", f->key, "-c mangoloom.kind=page");
	int gone = (fleet_primary(f) + 1) % 3, refused = 0, i;
	char *out;

	sql(c, NULL, 0, "SELECT value FROM warm WHERE key = 'up'");
	CU_ASSERT_NOT_EQUAL(fleet_cli(f, NULL, "evacuate nowhere"), 0);
	CU_ASSERT_EQUAL(fleet_cli(f, NULL, "evacuate %s", f->member[gone].dc), 0);
	CHECK(wait_until(no_connections, f, f->member[gone].name, 3000), "still has connections");
	for (i = 0; i < 50; i++)
		refused += strcmp(sql(c, NULL, 0, "SELECT value FROM warm WHERE key = 'up'"),
				  "00000") != 0;
	CHECK(refused == 0, "%d refused", refused);
	CHECK(no_connections(f, f->member[gone].name), "got new work");
	fleet_cli(f, &out, "status %s", f->vm[0].name);
	CHECK(strstr(out, "is evacuated") != NULL, "%s", out);
	g_free(out);
	CU_ASSERT_EQUAL(fleet_cli(f, NULL, "restore %s", f->member[gone].dc), 0);
	fleet_cli(f, &out, "status %s", f->vm[0].name);
	CHECK(strstr(out, "is evacuated") == NULL, "%s", out);
	g_free(out);
	PQfinish(c);
	fleet_tear_down(f);
}

/*
 * One VM after another is stopped with SIGTERM under load. Guards against a planned stop that
 * interrupts statements: each VM has to hand over and exit with 0, and callers may only get 57P01
 * between two statements.
 */
static void test_planned_stop_cuts_nothing(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.vms = 6, .work_us = 1000});
	struct writer w[6];
	int i, unknown = 0, not_run = 0, acked = 0, stopped = 0;

	memset(w, 0, sizeof(w));
	for (i = 0; i < 6; i++) {
		char prefix[16];

		snprintf(prefix, sizeof(prefix), "s%d", i);
		w[i].pause_us = 2000;
		w[i].roam = true;
		writer_start(&w[i], f, i, prefix);
	}
	test_sleep_ms(500);
	for (i = 0; i < 3; i++) {
		int code;

		fleet_vm_signal(f, i, SIGTERM);
		code = fleet_vm_wait(f, i);
		CHECK(code == 0, "VM %d ended with %d", i, code);
		test_sleep_ms(300);
	}
	test_sleep_ms(500);
	for (i = 0; i < 6; i++) {
		writer_stop(&w[i]);
		acked += w[i].acked;
		not_run += w[i].not_run;
		unknown += w[i].unknown;
		stopped += w[i].stopped;
	}
	printf("three planned stops: %d acknowledged, %d ended with 57P01, %d not run, %d "
	       "unknown\n",
	       acked, stopped, not_run, unknown);
	CHECK(not_run == 0, "%d not run", not_run);
	CHECK(unknown == 0, "%d unknown", unknown);
	writers_verify(f, w, 6);
	fleet_tear_down(f);
}

/*
 * A data centre with a replica is isolated from the other data centres and from the platform. Reads
 * there that accept data up to an hour old have to be served by its replica, and writes elsewhere
 * have to continue. After the partition, writes through the isolated VM have to work again without
 * intervention.
 */
static void test_isolated_data_center_serves_reads(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	PGconn *page, *order;
	const char *state;
	int i, served_reads = 0, vm = 2;

	CHECK(fleet_primary(f) == 0, "the primary is not in dc1");
	page = fleet_connect(f, 2, "clerks", f->key,
			     "-c mangoloom.kind=page -c mangoloom.max_age_ms=3600000 -c "
			     "mangoloom.deadline_ms=3000");
	sql(page, NULL, 0, "SELECT value FROM warm WHERE key = 'up'");
	fleet_partition(f, "dc3", true);
	fleet_platform_fault(f, "{\"down\":true}");
	test_sleep_ms(500);
	for (i = 0; i < 10; i++) {
		state = sql(page, NULL, 0, "SELECT value FROM warm WHERE key = 'up'");
		served_reads += strcmp(state, "00000") == 0;
		test_sleep_ms(100);
	}
	CHECK(served_reads >= 9, "%d of 10 reads served", served_reads);
	order = fleet_connect_orders(f, 0);
	state = sql(order, NULL, 0, "INSERT INTO orders VALUES ('outside', 'x')");
	CHECK(strcmp(state, "00000") == 0, "%s", state);
	PQfinish(order);
	fleet_partition(f, "dc3", false);
	fleet_platform_fault(f, "{\"down\":false}");
	CHECK(wait_until(reads_served, f, &vm, 8000), "reads are not served after the partition");
	order = fleet_connect_orders(f, 2);
	state = sql(order, NULL, 0, "INSERT INTO orders VALUES ('healed', 'x')");
	CHECK(strcmp(state, "00000") == 0, "%s", state);
	PQfinish(order);
	PQfinish(page);
	fleet_tear_down(f);
}

/*
 * The home of a member is the daemon that holds its connections. VMs leave and join the list under
 * load, so that homes move. Guards against two homes that together open more connections than a
 * member accepts, and against callers that are refused meanwhile.
 */
static void test_connections_stay_within_the_limit(void)
{
	struct test_fleet *f =
		fleet_start_up(&(struct fleet_plan){.vms = 6, .connections = 8, .work_us = 1000});
	struct writer w[6];
	int i, not_run = 0;

	memset(w, 0, sizeof(w));
	for (i = 0; i < 6; i++) {
		char prefix[16];

		snprintf(prefix, sizeof(prefix), "c%d", i);
		writer_start(&w[i], f, i, prefix);
	}
	for (i = 0; i < 3; i++) {
		fleet_list_vms(f, i);
		test_sleep_ms(700);
	}
	fleet_list_vms(f, -1);
	test_sleep_ms(500);
	for (i = 0; i < 6; i++) {
		writer_stop(&w[i]);
		not_run += w[i].not_run;
	}
	for (i = 0; i < 3; i++) {
		PGconn *c = member_connect(f, i);
		char value[64];
		int peak = 99;

		sql(c, value, sizeof(value), "SELECT mangoloom_peak()");
		sscanf(value, "%d", &peak);
		CHECK(peak <= 8, "%s had %d connections at once", f->member[i].name, peak);
		PQfinish(c);
	}
	CHECK(not_run == 0, "%d not run", not_run);
	writers_verify(f, w, 6);
	fleet_tear_down(f);
}

static const struct test_case cases[] = {
	{"withdrawn_key", test_withdrawn_key},
	{"isolated_data_center_stops_accepting_keys",
	 test_isolated_data_center_stops_accepting_keys},
	{"command_line", test_command_line},
	{"concurrent_applies_conflict", test_concurrent_applies_conflict},
	{"configuration_changes_never_revert", test_configuration_changes_never_revert},
	{"silent_watches_are_noticed", test_silent_watches_are_noticed},
	{"leaving_database", test_leaving_database},
	{"evacuated_data_center", test_evacuated_data_center},
	{"planned_stop_cuts_nothing", test_planned_stop_cuts_nothing},
	{"isolated_data_center_serves_reads", test_isolated_data_center_serves_reads},
	{"connections_stay_within_the_limit", test_connections_stay_within_the_limit},
};
HARNESS_MAIN("fleet", cases)
