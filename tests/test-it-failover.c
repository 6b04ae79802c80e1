/**
 * @file test-it-failover.c
 * Failover under load, with real processes behind faultproxy. Writers record how each statement
 * ended; at the end this is compared with the log of the new primary: an acknowledged order is
 * there exactly once, and an order reported as not run is not there.
 */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WRITERS 3
/** Upper bound of the time between two acknowledged writes of one writer. */
#define WRITE_GAP_MAX_US 14000000
/** Time limit for the promotion of another member. */
#define PROMOTION_TIMEOUT_MS 14000

/** Starts one writer at each VM and lets them write for half a second. */
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

/**
 * Stops the writers after @a ms, prints the totals under the heading @a what, and checks the
 * longest gap and the outcome of each write.
 */
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
	CHECK(gap < WRITE_GAP_MAX_US, "%ld us", (long)gap);
	writers_verify(f, w, WRITERS);
}

/** Returns whether there is a primary other than the member with the index *@a arg. */
static bool primary_changed(struct test_fleet *f, void *arg)
{
	int now = fleet_primary(f);

	return now >= 0 && now != *(int *)arg;
}

/*
 * The primary's process is killed under load. Guards against acknowledged writes that are lost or
 * run twice, and against statements that do not continue at the new primary.
 */
static void test_primary_killed(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	struct writer w[WRITERS];
	int primary = fleet_primary(f);

	start_writers(w, f);
	fleet_member_signal(f, primary, SIGKILL);
	CHECK(wait_until(primary_changed, f, &primary, PROMOTION_TIMEOUT_MS), "no new primary");
	stop_writers(w, f, 1000, "primary killed");
	fleet_tear_down(f);
}

/*
 * The primary is killed while the platform's API is down. Guards against a failover that depends on
 * the platform.
 */
static void test_primary_killed_without_platform(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	struct writer w[WRITERS];
	int primary = fleet_primary(f);

	fleet_platform_fault(f, "{\"down\":true}");
	start_writers(w, f);
	fleet_member_signal(f, primary, SIGKILL);
	CHECK(wait_until(primary_changed, f, &primary, PROMOTION_TIMEOUT_MS), "no new primary");
	stop_writers(w, f, 1000, "primary killed, platform down");
	fleet_tear_down(f);
}

/*
 * The primary is stopped with SIGSTOP while statements run, is replaced, and continues with commits
 * still unread in its sockets. Guards against acknowledging such a commit: the new primary does not
 * have it, so the order would be lost.
 */
static void test_primary_paused_across_promotion(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	struct writer w[WRITERS];
	int primary = fleet_primary(f), old = primary;

	start_writers(w, f);
	fleet_member_signal(f, primary, SIGSTOP);
	f->member[old].pid = -f->member[old].pid;
	CHECK(wait_until(primary_changed, f, &primary, PROMOTION_TIMEOUT_MS), "no new primary");
	f->member[old].pid = -f->member[old].pid;
	test_sleep_ms(300);
	fleet_member_signal(f, old, SIGCONT);
	stop_writers(w, f, 1500, "primary paused and woken");
	fleet_tear_down(f);
}

/*
 * The primary's home, the daemon that holds its connections, is paused while the primary is killed
 * and replaced. It continues with unread answers in its sockets and outdated state. Guards against
 * acknowledging writes of the replaced primary.
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
	CHECK(wait_until(primary_changed, f, &primary, PROMOTION_TIMEOUT_MS), "no new primary");
	fleet_vm_signal(f, 0, SIGCONT);
	stop_writers(w, f, 1500, "home paused across a promotion");
	fleet_tear_down(f);
}

/*
 * A network partition isolates the primary's data centre, with the primary's home and one writer in
 * it. The other side promotes a member. Guards against writes that are acknowledged there after
 * the promotion, and against a previous primary that does not follow the new one after the
 * partition.
 */
static void test_primary_cut_off_with_its_home(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	struct writer w[WRITERS];
	int primary = fleet_primary(f);
	int inside_acked;

	start_writers(w, f);
	fleet_partition(f, "dc1", true);
	CHECK(wait_until(primary_changed, f, &primary, PROMOTION_TIMEOUT_MS), "no new primary");
	inside_acked = w[0].acked;
	test_sleep_ms(1500);
	CHECK(w[0].acked == inside_acked, "%d acknowledged by a replaced primary",
	      w[0].acked - inside_acked);
	fleet_partition(f, "dc1", false);
	stop_writers(w, f, 3000, "primary cut off with its home");
	fleet_tear_down(f);
}

/*
 * Both replicas are killed, so the primary has no majority. Guards against writes that are
 * acknowledged without a majority; the caller gets 57P03 with the detail "not run".
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
