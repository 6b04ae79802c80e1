/** @file test-it-rate.c Rate limits over all VMs together, and fairness between teams. */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEAM(name, rate, burst)                                                                    \
	"[[team]]\nname = \"" name "\"\nrate = " rate "\nburst = " burst "\n"

/** Number of sessions of the team that exceeds its rate. */
#define BUSY_SESSIONS 150

/** Returns the number of orders in the primary's database. */
static unsigned count_orders(struct test_fleet *f)
{
	PGconn *c = member_connect(f, fleet_primary(f));
	char value[32];

	sql(c, value, sizeof(value), "SELECT count(*) FROM orders");
	PQfinish(c);
	return (unsigned)atoi(value);
}

/** Returns whether the VMs together hold more than 95 % of the rate. */
static bool rate_distributed(struct test_fleet *f, void *arg)
{
	char *out;
	double sum = 0;
	int i;

	for (i = 0; i < f->plan.vms; i++) {
		char *at;

		fleet_cli(f, &out, "status %s --json", f->vm[i].name);
		at = strstr(out, "\"part\":");
		sum += at != NULL ? strtod(at + 7, NULL) : 0;
		g_free(out);
	}
	return sum > 0.95;
}

/** Starts a fleet and waits until the teams' rates are distributed over the VMs. */
static struct test_fleet *start_limited_fleet(int vms, const char *routes)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.vms = vms, .routes = routes});

	CHECK(wait_until(rate_distributed, f, NULL, 10000),
	      "the rate is not distributed over the VMs");
	return f;
}

/**
 * Writes at full speed through every VM while @a inject_fault runs, and compares the number of
 * orders in the database with what @a rate (per second) and @a burst allow.
 */
static void check_rate_under_load(struct test_fleet *f, double rate, double burst,
				  void (*inject_fault)(struct test_fleet *f), const char *what)
{
	struct writer w[8];
	unsigned before = count_orders(f), served;
	int64_t start = test_now_us();
	double elapsed_s, allowed;
	int i;

	memset(w, 0, sizeof(w));
	for (i = 0; i < f->plan.vms; i++) {
		char prefix[16];

		snprintf(prefix, sizeof(prefix), "h%d", i);
		w[i].pause_us = 500;
		writer_start(&w[i], f, i, prefix);
	}
	inject_fault(f);
	for (i = 0; i < f->plan.vms; i++)
		writer_stop(&w[i]);
	elapsed_s = (double)(test_now_us() - start) / 1e6;
	served = count_orders(f) - before;
	allowed = rate * elapsed_s + burst;
	printf("%s: %u orders in %.1f s, %.0f allowed (%.0f%%)\n", what, served, elapsed_s, allowed,
	       100.0 * served / allowed);
	CHECK((double)served <= allowed, "%u orders, %.0f allowed", served, allowed);
	CHECK((double)served >= allowed / 4, "only %u orders of %.0f allowed", served, allowed);
}

static void fault_none(struct test_fleet *f)
{
	test_sleep_ms(3000);
}

static void fault_kill_vm(struct test_fleet *f)
{
	test_sleep_ms(1000);
	fleet_vm_signal(f, 4, SIGKILL);
	test_sleep_ms(1000);
	fleet_vm_start(f, 4);
	test_sleep_ms(2000);
}

/*
 * Pauses a VM for longer than its part of the rate is reserved for it, with the VM removed from the
 * platform's list meanwhile, and resumes it.
 */
static void fault_pause_vm(struct test_fleet *f)
{
	test_sleep_ms(500);
	fleet_vm_signal(f, 5, SIGSTOP);
	fleet_list_vms(f, 5);
	test_sleep_ms(7500);
	fleet_vm_signal(f, 5, SIGCONT);
	test_sleep_ms(1500);
	fleet_list_vms(f, -1);
}

static void fault_partition(struct test_fleet *f)
{
	test_sleep_ms(500);
	fleet_partition(f, "dc3", true);
	test_sleep_ms(3000);
	fleet_partition(f, "dc3", false);
	test_sleep_ms(1000);
}

static void fault_platform_down(struct test_fleet *f)
{
	fleet_platform_fault(f, "{\"down\":true}");
	test_sleep_ms(1000);
	fleet_vm_signal(f, 3, SIGKILL);
	fleet_vm_start(f, 3);
	test_sleep_ms(2500);
	fleet_platform_fault(f, "{\"down\":false}");
	test_sleep_ms(500);
}

/*
 * One team sends as fast as it can through six VMs. Guards against more statements at the database
 * than rate and burst allow: without faults, while a VM that holds a part of the rate is killed and
 * restarted, isolated, or paused until its part was reassigned, and while the platform is down.
 */
static void test_rate_is_never_passed(void)
{
	struct test_fleet *f = start_limited_fleet(6, TEAM("clerks", "200", "100") HARNESS_ROUTES);

	check_rate_under_load(f, 200, 100, fault_none, "no fault");
	check_rate_under_load(f, 200, 100, fault_kill_vm, "a VM killed and restarted");
	check_rate_under_load(f, 200, 100, fault_partition, "a data centre isolated");
	check_rate_under_load(f, 200, 100, fault_platform_down, "platform down, a VM restarted");
	check_rate_under_load(f, 200, 100, fault_pause_vm, "a VM paused and resumed");
	fleet_tear_down(f);
}

/*
 * A team stays within its rate while its load is spread over all VMs, comes through one VM, and
 * moves between VMs. Guards against refusals.
 */
static void test_within_rate_nothing_is_refused(void)
{
	struct test_fleet *f = start_limited_fleet(6, TEAM("clerks", "400", "200") HARNESS_ROUTES);
	struct writer w[6];
	int refused = 0, acked = 0, round, i;

	for (round = 0; round < 4; round++) {
		memset(w, 0, sizeof(w));
		for (i = 0; i < 6; i++) {
			char prefix[16];

			snprintf(prefix, sizeof(prefix), "r%d-%d", round, i);
			w[i].pause_us = 24000;
			writer_start(&w[i], f, round == 0 ? i : round, prefix);
		}
		test_sleep_ms(1500);
		for (i = 0; i < 6; i++) {
			writer_stop(&w[i]);
			refused += w[i].not_run;
			acked += w[i].acked;
		}
	}
	printf("team within its rate: %d acknowledged, %d refused\n", acked, refused);
	CHECK(acked > 800, "%d", acked);
	CHECK(refused == 0, "%d refused of %d", refused, acked);
	fleet_tear_down(f);
}

/*
 * Split over six VMs, a burst of two is less than one token for each. Guards against statements
 * that are refused for that reason: each has to be served at every VM.
 */
static void test_small_burst_is_served_everywhere(void)
{
	struct test_fleet *f = start_limited_fleet(6, TEAM("clerks", "20", "2") HARNESS_ROUTES);
	int i;

	for (i = 0; i < 12; i++) {
		PGconn *c = fleet_connect_orders(f, i % 6);
		const char *state = sql(c, NULL, 0, "INSERT INTO orders VALUES ('s%d', 'x')", i);

		CHECK(strcmp(state, "00000") == 0, "at VM %d: %s", i % 6, state);
		PQfinish(c);
		test_sleep_ms(100);
	}
	fleet_tear_down(f);
}

/*
 * One team sends five times its rate to members with two slots and 1 ms of work per statement.
 * Guards against starving a team within its rate: it has to get at least 85 % of what it gets
 * alone, and the excess of the first team has to be refused at once, with a time to retry after.
 */
static void test_no_team_crowds_out_another(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){
		.vms = 3,
		.work_us = 1000,
		.routes = TEAM("clerks", "100", "50") TEAM("monday", "150", "100") HARNESS_ROUTES});
	struct writer quiet = {.pause_us = 10000}, alone = {.pause_us = 10000}, busy[BUSY_SESSIONS];
	char *key = fleet_create_key(f, "monday");
	int i, refused = 0, acked = 0;

	CHECK(wait_until(rate_distributed, f, NULL, 10000),
	      "the rate is not distributed over the VMs");
	writer_start(&alone, f, 0, "alone");
	test_sleep_ms(3000);
	writer_stop(&alone);
	memset(busy, 0, sizeof(busy));
	for (i = 0; i < BUSY_SESSIONS; i++) {
		char prefix[16];

		snprintf(prefix, sizeof(prefix), "b%d", i);
		busy[i].team = "monday";
		busy[i].key = key;
		busy[i].pause_us = 20000;
		writer_start(&busy[i], f, i % 3, prefix);
	}
	test_sleep_ms(1000);
	writer_start(&quiet, f, 0, "quiet");
	test_sleep_ms(3000);
	writer_stop(&quiet);
	for (i = 0; i < BUSY_SESSIONS; i++)
		busy[i].stop = 1;
	for (i = 0; i < BUSY_SESSIONS; i++) {
		writer_stop(&busy[i]);
		refused += busy[i].over_rate;
		acked += busy[i].acked;
	}
	printf("team within its rate: %d alone, %d beside the busy team (longest wait %ld ms); "
	       "busy team: %d "
	       "served, %d refused\n",
	       alone.acked, quiet.acked, (long)(quiet.wait_max_us / 1000), acked, refused);
	CHECK(quiet.acked >= alone.acked * 85 / 100, "%d of %d", quiet.acked, alone.acked);
	CHECK(quiet.not_run == 0, "%d refused", quiet.not_run);
	CHECK(refused > 100, "%d", refused);
	g_free(key);
	fleet_tear_down(f);
}

static const struct test_case cases[] = {
	{"rate_is_never_passed", test_rate_is_never_passed},
	{"within_rate_nothing_is_refused", test_within_rate_nothing_is_refused},
	{"small_burst_is_served_everywhere", test_small_burst_is_served_everywhere},
	{"no_team_crowds_out_another", test_no_team_crowds_out_another},
};
HARNESS_MAIN("rate", cases)
