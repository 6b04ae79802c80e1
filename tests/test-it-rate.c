/** @file test-it-rate.c Rates over all VMs together, and fairness between teams. */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEAM(name, rate, burst)                                                                    \
	"[[team]]\nname = \"" name "\"\nrate = " rate "\nburst = " burst "\n"

/** Sessions of the team that sends too much. */
#define BUSY 150

static unsigned count_orders(struct test_fleet *f)
{
	PGconn *c = member_connect(f, fleet_primary(f));
	char value[32];

	sql(c, value, sizeof(value), "SELECT count(*) FROM orders");
	PQfinish(c);
	return (unsigned)atoi(value);
}

static bool share_whole(struct test_fleet *f, void *arg)
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

static struct test_fleet *limited_fleet(int vms, const char *routes)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.vms = vms, .routes = routes});

	CHECK(wait_until(share_whole, f, NULL, 10000), "the rate is not given out");
	return f;
}

/** Hammer from every VM while @a during runs; count at the database against rate and burst. */
static void hammer(struct test_fleet *f, double rate, double burst,
		   void (*during)(struct test_fleet *f), const char *what)
{
	struct writer w[8];
	unsigned before = count_orders(f), got;
	int64_t start = test_now_us();
	double seconds, allowed;
	int i;

	memset(w, 0, sizeof(w));
	for (i = 0; i < f->plan.vms; i++) {
		char prefix[16];

		snprintf(prefix, sizeof(prefix), "h%d", i);
		w[i].pause_us = 500;
		writer_start(&w[i], f, i, prefix);
	}
	during(f);
	for (i = 0; i < f->plan.vms; i++)
		writer_stop(&w[i]);
	seconds = (double)(test_now_us() - start) / 1e6;
	got = count_orders(f) - before;
	allowed = rate * seconds + burst;
	printf("%s: %u orders in %.1f s, %.0f allowed (%.0f%%)\n", what, got, seconds, allowed,
	       100.0 * got / allowed);
	CHECK((double)got <= allowed, "%u of %.0f", got, allowed);
	CHECK((double)got >= allowed / 4, "only %u of %.0f", got, allowed);
}

static void during_nothing(struct test_fleet *f)
{
	test_sleep_ms(3000);
}

static void during_kill(struct test_fleet *f)
{
	test_sleep_ms(1000);
	fleet_vm_signal(f, 4, SIGKILL);
	test_sleep_ms(1000);
	fleet_vm_start(f, 4);
	test_sleep_ms(2000);
}

/* Stopped for longer than its parts are kept for it, taken off the list meanwhile, and woken. */
static void during_pause(struct test_fleet *f)
{
	test_sleep_ms(500);
	fleet_vm_signal(f, 5, SIGSTOP);
	fleet_list_vms(f, 5);
	test_sleep_ms(7500);
	fleet_vm_signal(f, 5, SIGCONT);
	test_sleep_ms(1500);
	fleet_list_vms(f, -1);
}

static void during_cut(struct test_fleet *f)
{
	test_sleep_ms(500);
	fleet_partition(f, "dc3", true);
	test_sleep_ms(3000);
	fleet_partition(f, "dc3", false);
	test_sleep_ms(1000);
}

static void during_platform_down(struct test_fleet *f)
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
 * One team sends all it can through six VMs. Counted at the database it never gets more than its
 * rate and burst: at rest, while a holder is killed and restarted, paused and woken after its part
 * was given away, cut off, and while the platform is down.
 */
static void test_rate_is_never_passed(void)
{
	struct test_fleet *f = limited_fleet(6, TEAM("clerks", "200", "100") HARNESS_ROUTES);

	hammer(f, 200, 100, during_nothing, "at rest");
	hammer(f, 200, 100, during_kill, "a VM killed and restarted");
	hammer(f, 200, 100, during_cut, "a data centre cut off");
	hammer(f, 200, 100, during_platform_down, "platform down, a VM restarted");
	hammer(f, 200, 100, during_pause, "a VM paused and woken");
	fleet_tear_down(f);
}

/*
 * A team within its rate is not refused, wherever its demand is: spread, all at one VM, and moving.
 */
static void test_within_rate_nothing_is_refused(void)
{
	struct test_fleet *f = limited_fleet(6, TEAM("clerks", "400", "200") HARNESS_ROUTES);
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
	printf("within its rate: %d acknowledged, %d refused\n", acked, refused);
	CHECK(acked > 800, "%d", acked);
	CHECK(refused == 0, "%d refused of %d", refused, acked);
	fleet_tear_down(f);
}

/*
 * A burst of one, split over six VMs, would serve nobody; it is served wherever the caller
 * connects.
 */
static void test_small_burst_is_served_everywhere(void)
{
	struct test_fleet *f = limited_fleet(6, TEAM("clerks", "20", "2") HARNESS_ROUTES);
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
 * Monday: one team sends five times its rate at two slots of 1 ms. Another team inside its rate
 * keeps what it gets alone, and the excess is refused to the first team, at once and with when to
 * come back.
 */
static void test_no_team_crowds_out_another(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){
		.vms = 3,
		.work_us = 1000,
		.routes = TEAM("clerks", "100", "50") TEAM("monday", "150", "100") HARNESS_ROUTES});
	struct writer quiet = {.pause_us = 10000}, alone = {.pause_us = 10000}, busy[BUSY];
	char *key = fleet_create_key(f, "monday");
	int i, refused = 0, acked = 0;

	CHECK(wait_until(share_whole, f, NULL, 10000), "the rate is not given out");
	writer_start(&alone, f, 0, "alone");
	test_sleep_ms(3000);
	writer_stop(&alone);
	memset(busy, 0, sizeof(busy));
	for (i = 0; i < BUSY; i++) {
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
	for (i = 0; i < BUSY; i++)
		busy[i].stop = 1;
	for (i = 0; i < BUSY; i++) {
		writer_stop(&busy[i]);
		refused += busy[i].over_rate;
		acked += busy[i].acked;
	}
	printf("the quiet team: %d alone, %d beside Monday (longest wait %ld ms); Monday: %d "
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
