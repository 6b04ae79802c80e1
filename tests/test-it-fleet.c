/**
 * @file test-it-fleet.c Many daemons as one: keys, tables, planned stops, cut data centres.
 */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool reads_served(struct test_fleet *f, void *arg)
{
	PGconn *c = fleet_connect(f, *(int *)arg, "clerks", f->key,
				  "-c mangoloom.kind=page -c mangoloom.deadline_ms=500");
	bool ok = strcmp(sql(c, NULL, 0, "SELECT value FROM warm WHERE key = 'up'"), "00000") == 0;

	PQfinish(c);
	return ok;
}

/*
 * A withdrawn key stops on sessions that are connected, idle or not, and at new ones; the team's
 * other key goes on.
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
	/* A VM that can't be told is named, and hears of it as soon as it can. */
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
	      "the key holds after the pause");
	PQfinish(idle[0]);
	code = fleet_cli(f, &out, "key list");
	CHECK(code == 0 && strstr(out, "withdrawn") != NULL, "%s", out);
	g_free(out);
	g_free(second);
	g_free(id);
	fleet_tear_down(f);
}

/*
 * With trust_without_news_ms, a data centre that is cut off from the platform and the others stops
 * accepting keys, since it could not hear of a withdrawal; after the cut heals it serves again.
 */
static void test_cut_off_keys_are_not_trusted_for_ever(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){
		.vms = 6, .settings = "[keys]\ntrust_without_news_ms = 5000\n"});
	PGconn *c = fleet_connect_orders(f, 2);
	const char *state;
	int vm = 2;

	CHECK(strcmp(sql(c, NULL, 0, "INSERT INTO orders VALUES ('before', 'x')"), "00000") == 0,
	      "before the cut");
	fleet_partition(f, "dc3", true);
	fleet_platform_fault(f, "{\"down\":true}");
	/* Two VMs are in there and hear each other: they must not assure each other for ever. */
	test_sleep_ms(7500);
	state = sql(c, NULL, 0, "SELECT 1");
	CHECK(strcmp(state, "28P01") == 0, "%s", state);
	PQfinish(c);
	fleet_partition(f, "dc3", false);
	fleet_platform_fault(f, "{\"down\":false}");
	CHECK(wait_until(reads_served, f, &vm, 8000), "not served after the cut");
	fleet_tear_down(f);
}

/* The command line, as a script uses it: exit codes, and that a wrong table changes nothing. */
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
	CHECK(fleet_cli(f, NULL, "apply --routes %s", path) == 3, "a route without its pool");
	g_free(path);
	path = fleet_file(f, "wrong.toml", "[[route]]\nname = 7\n");
	CHECK(fleet_cli(f, NULL, "check --routes %s", path) == 3, "a name that is no text");
	CHECK(fleet_cli(f, NULL, "apply --routes %s", path) == 3, "a name that is no text");
	g_free(path);
	CHECK(fleet_cli(f, NULL, "frobnicate") == 2, "an unknown command");
	CHECK(fleet_cli(f, NULL, "key withdraw 000000") == 1, "an unknown key");
	CHECK(fleet_status(f, 0, "conf_version") == version, "something was changed");
	CHECK(fleet_cli(f, &out, "history") == 0 && strstr(out, "key given to clerks") != NULL,
	      "%s", out);
	g_free(out);
	fleet_platform_fault(f, "{\"down\":true}");
	CHECK(fleet_cli(f, NULL, "get routes") == 1, "without the platform");
	CHECK(fleet_cli(f, NULL, "key give clerks") == 1, "without the platform");
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

struct racer {
	struct test_fleet *f;
	int rate, code;
};

static gpointer race(gpointer data)
{
	struct racer *r = data;
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
 * Four operators apply edits that began from the same version: one wins, the others are told of the
 * conflict and change nothing. Then the answer to an apply is lost after its effect: the command
 * finds its own change and says so.
 */
static void test_operators_race(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	struct racer r[4];
	GThread *t[4];
	int won = 0, conflict = 0, i, code;
	char *text, *path;
	int64_t version;

	for (i = 0; i < 4; i++) {
		r[i] = (struct racer){.f = f, .rate = 1000 + i};
		t[i] = g_thread_new("race", race, &r[i]);
	}
	for (i = 0; i < 4; i++) {
		g_thread_join(t[i]);
		won += r[i].code == 0;
		conflict += r[i].code == 4;
	}
	CHECK(won == 1 && conflict == 3, "%d won, %d conflicts", won, conflict);
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
 * A daemon sleeps through a change, and the platform is down when it wakes: it gets the change from
 * its peers, and its old version reverts nobody. A VM that starts during the outage serves as well.
 */
static void test_changes_never_revert(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	char *text = routes_with_rate(4321), *path = fleet_file(f, "next.toml", text);
	int64_t version = fleet_status(f, 0, "conf_version") + 1;
	PGconn *c;
	int code, i;

	fleet_vm_signal(f, 1, SIGSTOP);
	code = fleet_cli(f, NULL, "apply --routes %s --wait-ms 300", path);
	CHECK(code == 6, "one VM can't confirm: %d", code);
	fleet_platform_fault(f, "{\"down\":true}");
	fleet_vm_signal(f, 2, SIGKILL);
	fleet_vm_signal(f, 1, SIGCONT);
	fleet_vm_start(f, 2);
	/*
	 * The command needs the platform for its list of VMs; ask the daemons by serving through
	 * them.
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
 * The connections on which the platform tells of changes go silent, as connections can; new calls
 * work. A change is in force everywhere within 5 s all the same.
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
 * The operators mark a replica as leaving: within 3 s it gets no new work, and no caller is refused
 * for it.
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

/* Guards against reads that go on at members of an evacuated data centre, and that never return. */
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
 * One VM after another is stopped with SIGTERM under load. Each hands over and ends by itself; no
 * order is cut, and callers hear nothing but 57P01 between two statements.
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
	printf("three planned stops: %d acknowledged, %d told 57P01, %d not run, %d unknown\n",
	       acked, stopped, not_run, unknown);
	CHECK(not_run == 0, "%d not run", not_run);
	CHECK(unknown == 0, "%d unknown", unknown);
	writers_verify(f, w, 6);
	fleet_tear_down(f);
}

/*
 * A data centre with a replica is cut from the others and from the platform. Inside, pages that
 * accept data of an hour are served from its replica; outside, orders go on. After the cut heals,
 * orders pass through its VM again by themselves.
 */
static void test_cut_data_center_serves_what_it_can(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	PGconn *page, *order;
	const char *state;
	int i, served_pages = 0, vm = 2;

	CHECK(fleet_primary(f) == 0, "the primary is in dc1");
	page = fleet_connect(f, 2, "clerks", f->key,
			     "-c mangoloom.kind=page -c mangoloom.max_age_ms=3600000 -c "
			     "mangoloom.deadline_ms=3000");
	sql(page, NULL, 0, "SELECT value FROM warm WHERE key = 'up'");
	fleet_partition(f, "dc3", true);
	fleet_platform_fault(f, "{\"down\":true}");
	test_sleep_ms(500);
	for (i = 0; i < 10; i++) {
		state = sql(page, NULL, 0, "SELECT value FROM warm WHERE key = 'up'");
		served_pages += strcmp(state, "00000") == 0;
		test_sleep_ms(100);
	}
	CHECK(served_pages >= 9, "%d of 10 pages", served_pages);
	order = fleet_connect_orders(f, 0);
	state = sql(order, NULL, 0, "INSERT INTO orders VALUES ('outside', 'x')");
	CHECK(strcmp(state, "00000") == 0, "%s", state);
	PQfinish(order);
	fleet_partition(f, "dc3", false);
	fleet_platform_fault(f, "{\"down\":false}");
	CHECK(wait_until(reads_served, f, &vm, 8000), "reads are not served after the cut");
	order = fleet_connect_orders(f, 2);
	state = sql(order, NULL, 0, "INSERT INTO orders VALUES ('healed', 'x')");
	CHECK(strcmp(state, "00000") == 0, "%s", state);
	PQfinish(order);
	PQfinish(page);
	fleet_tear_down(f);
}

/*
 * Homes move while every VM sends; no member ever has more connections than it accepts, nor are
 * callers refused.
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
		CHECK(peak <= 8, "%s had %d connections", f->member[i].name, peak);
		PQfinish(c);
	}
	CHECK(not_run == 0, "%d not run", not_run);
	writers_verify(f, w, 6);
	fleet_tear_down(f);
}

static const struct test_case cases[] = {
	{"withdrawn_key", test_withdrawn_key},
	{"cut_off_keys_are_not_trusted_for_ever", test_cut_off_keys_are_not_trusted_for_ever},
	{"command_line", test_command_line},
	{"operators_race", test_operators_race},
	{"changes_never_revert", test_changes_never_revert},
	{"silent_watches_are_noticed", test_silent_watches_are_noticed},
	{"leaving_database", test_leaving_database},
	{"evacuated_data_center", test_evacuated_data_center},
	{"planned_stop_cuts_nothing", test_planned_stop_cuts_nothing},
	{"cut_data_center_serves_what_it_can", test_cut_data_center_serves_what_it_can},
	{"connections_stay_within_the_limit", test_connections_stay_within_the_limit},
};
HARNESS_MAIN("fleet", cases)
