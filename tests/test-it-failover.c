/** @file test-it-failover.c Changes of primary under load: real processes behind faultproxy. */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WRITERS 3

static void start_writers(struct writer *w, struct test_fleet *f)
{
	int i;

	memset(w, 0, WRITERS * sizeof(*w));
	for (i = 0; i < WRITERS; i++) {
		char prefix[16];

		snprintf(prefix, sizeof(prefix), "w%d", i);
		w[i].pause_us = 2000;
		writer_start(&w[i], f, i, prefix);
	}
	test_sleep_ms(500);
}

/** Let the writers go on for a while, stop them, and tell of the longest gap. */
static void stop_writers(struct writer *w, struct test_fleet *f, int ms, const char *what)
{
	int64_t gap = 0;
	int acked = 0, not_run = 0, unknown = 0, i;

	test_sleep_ms(ms);
	for (i = 0; i < WRITERS; i++) {
		writer_stop(&w[i]);
		gap = MAX(gap, w[i].gap_us);
		acked += w[i].acked;
		not_run += w[i].not_run;
		unknown += w[i].unknown;
	}
	printf("%s: %d acknowledged, %d not run, %d unknown, longest gap %ld ms\n", what, acked,
	       not_run, unknown, (long)(gap / 1000));
	CHECK(acked > 50, "%d", acked);
	CHECK(gap < 14000000, "%ld us", (long)gap);
	writers_verify(f, w, WRITERS);
}

static bool primary_moved(struct test_fleet *f, void *arg)
{
	int now = fleet_primary(f);

	return now >= 0 && now != *(int *)arg;
}

/*
 * Clerks write orders; the primary's process is killed. Their statements wait a moment and go on at
 * the new primary. What was acknowledged is there, once; nothing that was told as not run is there.
 */
static void test_primary_killed(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	struct writer w[WRITERS];
	int primary = fleet_primary(f);

	start_writers(w, f);
	fleet_member_signal(f, primary, SIGKILL);
	CHECK(wait_until(primary_moved, f, &primary, 14000), "no new primary");
	stop_writers(w, f, 1000, "primary killed");
	fleet_tear_down(f);
}

/* The same with the platform down the whole time: a change of primary needs nothing of it. */
static void test_primary_killed_without_platform(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	struct writer w[WRITERS];
	int primary = fleet_primary(f);

	fleet_platform_fault(f, "{\"down\":true}");
	start_writers(w, f);
	fleet_member_signal(f, primary, SIGKILL);
	CHECK(wait_until(primary_moved, f, &primary, 14000), "no new primary");
	stop_writers(w, f, 1000, "primary killed, platform down");
	fleet_tear_down(f);
}

/*
 * The primary freezes with statements inside, is replaced, and wakes with their commits in its
 * socket. Acknowledging one of those would lose an order, since the new primary does not have it.
 */
static void test_primary_paused_across_promotion(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	struct writer w[WRITERS];
	int primary = fleet_primary(f), old = primary;

	start_writers(w, f);
	fleet_member_signal(f, primary, SIGSTOP);
	f->member[old].pid = -f->member[old].pid;
	CHECK(wait_until(primary_moved, f, &primary, 14000), "no new primary");
	f->member[old].pid = -f->member[old].pid;
	test_sleep_ms(300);
	fleet_member_signal(f, old, SIGCONT);
	stop_writers(w, f, 1500, "primary paused and woken");
	fleet_tear_down(f);
}

/*
 * The daemon that is home to the primary is stopped while the primary is killed and replaced, and
 * wakes afterwards with answers in its sockets and an old view. It must not acknowledge for the
 * replaced primary.
 */
static void test_home_paused_across_promotion(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	struct writer w[WRITERS];
	int primary = fleet_primary(f);

	start_writers(w, f);
	fleet_vm_signal(f, primary, SIGSTOP);
	test_sleep_ms(100);
	fleet_member_signal(f, primary, SIGKILL);
	CHECK(wait_until(primary_moved, f, &primary, 14000), "no new primary");
	fleet_vm_signal(f, 0, SIGCONT);
	stop_writers(w, f, 1500, "home paused across a promotion");
	fleet_tear_down(f);
}

/*
 * The primary's data centre is cut off with its home and a clerk inside. The other side promotes
 * and goes on; inside, no write is acknowledged any more, and after the cut heals the former
 * primary follows the new one.
 */
static void test_primary_cut_off_with_its_home(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	struct writer w[WRITERS];
	int primary = fleet_primary(f);
	int inside_acked;

	start_writers(w, f);
	fleet_partition(f, "dc1", true);
	CHECK(wait_until(primary_moved, f, &primary, 14000), "no new primary");
	inside_acked = w[0].acked;
	test_sleep_ms(1500);
	CHECK(w[0].acked == inside_acked, "%d acknowledged by a replaced primary",
	      w[0].acked - inside_acked);
	fleet_partition(f, "dc1", false);
	stop_writers(w, f, 3000, "primary cut off with its home");
	fleet_tear_down(f);
}

/*
 * Each of the members is killed in turn but the last: with one left of three, nothing is
 * acknowledged, and it is said.
 */
static void test_no_majority_no_acknowledgement(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	int primary = fleet_primary(f);
	PGconn *c = fleet_connect_orders(f, 1);
	const char *state;
	int i;

	for (i = 0; i < 3; i++) {
		if (i != primary)
			fleet_member_signal(f, i, SIGKILL);
	}
	test_sleep_ms(1500);
	sql(c, NULL, 0, "SET mangoloom.deadline_ms = 1000");
	state = sql(c, NULL, 0, "INSERT INTO orders VALUES ('alone', 'x')");
	CHECK(strcmp(state, "57P03") == 0, "%s", state);
	CHECK(strcmp(sql_detail(), "not run") == 0, "%s", sql_detail());
	PQfinish(c);
	fleet_tear_down(f);
}

static const struct test_case cases[] = {
	{"primary_killed", test_primary_killed},
	{"primary_killed_without_platform", test_primary_killed_without_platform},
	{"primary_paused_across_promotion", test_primary_paused_across_promotion},
	{"home_paused_across_promotion", test_home_paused_across_promotion},
	{"primary_cut_off_with_its_home", test_primary_cut_off_with_its_home},
	{"no_majority_no_acknowledgement", test_no_majority_no_acknowledgement},
};
HARNESS_MAIN("failover", cases)
