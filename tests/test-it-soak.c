/**
 * @file test-it-soak.c
 * Random faults, in series and overlapping, while callers write and read back. Processes are
 * paused, killed and started again; connections are silenced, cut one way, reset and delayed by a
 * proxy; the store and the members misbehave. SOAK_SEEDS="FIRST COUNT" plays other seeds, SOAK_S
 * another length.
 */
#include "harness-line.h"
#include "harness-writer.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define VMS 3
/** Faults of one seed come for so long. */
#define SOAK_S 8
/** After the last fault everything serves again: a lease, a change of primary, and room. */
#define RECOVERY_MS 25000
/** Pause after a fault of one kind of target before the next of that kind. */
#define PAUSE_MIN_MS 300
#define PAUSE_MAX_MS 1500
#define EVACUATION_SEEDS 1000000

#define RESTORE_SEEDS 2000000
/** After a restore, until operators and members have written again. */
#define REWRITE_MAX_MS 2000

struct soak {
	struct line_fleet *f;
	GRand *rand, *rand_evacuations, *rand_restores;
};

struct fault {
	const char *name;
	void (*set)(struct soak *s, int target, bool on);
	int max_ms;
	int min_ms;
};

/* Members */

static void member_down(struct soak *s, int i, bool on)
{
	line_fault(s->f, "{\"member\":\"m%d\",\"mode\":\"%s\"}", i, on ? "down" : "up");
}

static void member_dark(struct soak *s, int i, bool on)
{
	line_fault(s->f, "{\"member\":\"m%d\",\"mode\":\"%s\"}", i, on ? "dark" : "up");
}

static void member_lags(struct soak *s, int i, bool on)
{
	line_fault(s->f, "{\"member\":\"m%d\",\"lag_ms\":%d}", i, on ? 400 : 5);
}

static void member_loses_answers(struct soak *s, int i, bool on)
{
	line_fault(s->f, "{\"member\":\"m%d\",\"lose_answers\":%d}", i, on ? 8 : 0);
}

static void member_cuts_answers(struct soak *s, int i, bool on)
{
	line_fault(s->f, "{\"member\":\"m%d\",\"cut_answers\":%d}", i, on ? 8 : 0);
}

static void member_busy(struct soak *s, int i, bool on)
{
	line_fault(s->f, "{\"member\":\"m%d\",\"busy\":%d}", i, on ? 30 : 0);
}

static void member_leaves(struct soak *s, int i, bool on)
{
	line_fault(s->f, "{\"member\":\"m%d\",\"draining\":%s}", i, on ? "true" : "false");
}

static void member_mute(struct soak *s, int i, bool on)
{
	line_proxy_command(s->f, "%s m%d", on ? "mute" : "pass", i);
}

static void member_deaf(struct soak *s, int i, bool on)
{
	line_proxy_command(s->f, "%s m%d", on ? "deaf" : "pass", i);
}

static void member_reset(struct soak *s, int i, bool on)
{
	line_proxy_command(s->f, "reset m%d", i);
}

static void member_slow(struct soak *s, int i, bool on)
{
	line_proxy_command(s->f, "delay m%d %d", i, on ? 60 : 0);
}

/* VMs */

static void vm_pauses(struct soak *s, int i, bool on)
{
	line_vm_signal(s->f, i, on ? SIGSTOP : SIGCONT);
}

static void vm_killed(struct soak *s, int i, bool on)
{
	if (on)
		line_vm_signal(s->f, i, SIGKILL);
	else
		line_vm_start(s->f, i);
}

static void vm_stops(struct soak *s, int i, bool on)
{
	if (on) {
		line_vm_signal(s->f, i, SIGTERM);
		return;
	}
	CHECK(line_vm_wait(s->f, i, 8000) == 0, "vm%d does not stop", i);
	line_vm_start(s->f, i);
}

static void vm_held(struct soak *s, int i, bool on)
{
	line_proxy_command(s->f, "%s vm%d", on ? "hold" : "pass", i);
}

static void vm_mute(struct soak *s, int i, bool on)
{
	line_proxy_command(s->f, "%s vm%d", on ? "mute" : "pass", i);
}

static void vm_slow(struct soak *s, int i, bool on)
{
	line_proxy_command(s->f, "delay vm%d %d", i, on ? 40 : 0);
}

/* The store */

static void store_refuses(struct soak *s, int i, bool on)
{
	line_fault(s->f, "{\"store\":\"%s\"}", on ? "refuse" : "ok");
}

static void store_silent(struct soak *s, int i, bool on)
{
	line_proxy_command(s->f, "%s store", on ? "hold" : "pass");
}

static void store_deaf(struct soak *s, int i, bool on)
{
	line_proxy_command(s->f, "%s store", on ? "deaf" : "pass");
}

static void store_compacts(struct soak *s, int i, bool on)
{
	line_fault(s->f, "{\"compact\":1}");
	line_proxy_command(s->f, "reset store");
}

static void store_loses_writes(struct soak *s, int i, bool on)
{
	line_fault(s->f, "{\"lose_writes\":%d}", on ? 2 : 0);
}

static void promotions_refused(struct soak *s, int i, bool on)
{
	line_fault(s->f, "{\"refuse_promotions\":%s}", on ? "true" : "false");
}

static void data_center_evacuated(struct soak *s, int i, bool on)
{
	if (on)
		line_fault(s->f, "{\"put\":\"op/evacuate/dc-m%d\",\"value\":\"{}\"}", i);
	else
		line_fault(s->f, "{\"remove\":\"op/evacuate/dc-m%d\"}", i);
}

static const struct fault member_faults[] = {
	{"down", member_down, 3000, 0},
	{"dark", member_dark, 3000, 0},
	{"lags", member_lags, 2000, 0},
	{"loses answers", member_loses_answers, 500, 0},
	{"cuts answers", member_cuts_answers, 500, 0},
	{"busy", member_busy, 500, 0},
	{"leaves", member_leaves, 3000, 0},
	{"mute", member_mute, 3000, 0},
	{"deaf", member_deaf, 3000, 0},
	{"reset", member_reset, 1, 0},
	{"slow", member_slow, 2000, 0},
};
static const struct fault vm_faults[] =
	{
		{"pauses", vm_pauses, 4000, 0},
		{"killed", vm_killed, 2000, 0}, /* The grace is 6 s: ended sooner, the other faults
						   would last until the VM has stopped. */
		{"stops", vm_stops, 6500, 5500},
		{"held", vm_held, 3000, 0},
		{"mute", vm_mute, 3000, 0},
		{"slow", vm_slow, 2000, 0},
};
static const struct fault store_faults[] = {
	{"refuses", store_refuses, 3000, 0},
	{"silent", store_silent, 3000, 0},
	{"deaf", store_deaf, 3000, 0},
	{"compacts", store_compacts, 1, 0},
	{"loses writes", store_loses_writes, 500, 0},
	{"promotions refused", promotions_refused, 2000, 0},
};

/** The store is away for a moment, and comes back as it was when the fault began. */
static void store_restored(struct soak *s, int i, bool on)
{
	if (on) {
		line_fault(s->f, "{\"copy\":1}");
		return;
	}
	line_fault(s->f, "{\"restore\":%d}", g_rand_int_range(s->rand_restores, 0, REWRITE_MAX_MS));
	line_proxy_command(s->f, "reset store");
}

static const struct fault restore_faults[] = {
	{"restored", store_restored, 5000, 500},
};
static const struct fault evacuation_faults[] = {
	{"evacuated", data_center_evacuated, 3000, 0},
};

/** A kind of target; one of its faults at a time. */
struct line_of_faults {
	const char *what;
	const struct fault *faults;
	unsigned n;
	int targets;
	GRand *rand;
	const struct fault *now;
	int target;
	int64_t next_ms;
};

static int between(struct line_of_faults *l, int from, int to)
{
	return g_rand_int_range(l->rand, from, MAX(to, from + 1));
}

static void step(struct soak *s, struct line_of_faults *l, int64_t start_ms)
{
	if (test_now_ms() < l->next_ms)
		return;
	if (l->now != NULL) {
		l->now->set(s, l->target, false);
		l->now = NULL;
		l->next_ms = test_now_ms() + between(l, PAUSE_MIN_MS, PAUSE_MAX_MS);
		return;
	}
	l->now = &l->faults[between(l, 0, (int)l->n)];
	l->target = between(l, 0, l->targets);
	l->next_ms = test_now_ms() + between(l, l->now->min_ms, l->now->max_ms);
	printf("%5ld ms: %s %d %s for %ld ms\n", (long)(test_now_ms() - start_ms), l->what,
	       l->target, l->now->name, (long)(l->next_ms - test_now_ms()));
	l->now->set(s, l->target, true);
}

static void play(struct soak *s, int seconds)
{
	struct line_of_faults lines[] = {
		{.what = "member",
		 .rand = s->rand,
		 .faults = member_faults,
		 .n = G_N_ELEMENTS(member_faults),
		 .targets = LINE_MEMBERS},
		{.what = "vm",
		 .rand = s->rand,
		 .faults = vm_faults,
		 .n = G_N_ELEMENTS(vm_faults),
		 .targets = VMS},
		{.what = "store",
		 .rand = s->rand,
		 .faults = store_faults,
		 .n = G_N_ELEMENTS(store_faults),
		 .targets = 1},
		/* Its own numbers: seeds that failed without it play as they did. */
		{.what = "data centre of member",
		 .rand = s->rand_evacuations,
		 .faults = evacuation_faults,
		 .n = G_N_ELEMENTS(evacuation_faults),
		 .targets = LINE_MEMBERS},
		{.what = "copy of the store",
		 .rand = s->rand_restores,
		 .faults = restore_faults,
		 .n = G_N_ELEMENTS(restore_faults),
		 .targets = 1},
	};
	int64_t start_ms = test_now_ms();
	unsigned i;

	while (test_now_ms() < start_ms + seconds * 1000) {
		for (i = 0; i < G_N_ELEMENTS(lines); i++)
			step(s, &lines[i], start_ms);
		test_sleep_ms(10);
	}
	for (i = 0; i < G_N_ELEMENTS(lines); i++) {
		if (lines[i].now != NULL)
			lines[i].now->set(s, lines[i].target, false);
	}
}

/**
 * One seed. Callers see delays, refusals and lost connections while it lasts. Nothing that was told
 * as not run may have run, nothing may run twice, a session may not miss its own write, no replaced
 * primary may commit, no token may go back, no daemon may end by itself, and every VM serves writes
 * again after the last fault.
 */
static void soak_seed(unsigned seed, int seconds)
{
	struct soak s = {.f = line_fleet_start_proxied(VMS),
			 .rand = g_rand_new_with_seed(seed),
			 .rand_evacuations = g_rand_new_with_seed(seed + EVACUATION_SEEDS),
			 .rand_restores = g_rand_new_with_seed(seed + RESTORE_SEEDS)};
	int failed = (int)CU_get_number_of_failures();
	struct line_writer w[VMS];
	int i, status;

	printf("seed %u\n", seed);
	for (i = 0; i < VMS; i++)
		line_writer_start_read_back(&w[i], s.f, i);
	play(&s, seconds);
	for (i = 0; i < VMS; i++) {
		CHECK(waitpid(s.f->vm[i].pid, &status, WNOHANG) == 0, "vm%d ended by itself", i);
		CHECK(line_wait_until_writable(s.f, i, RECOVERY_MS), "vm%d does not serve again",
		      i);
	}
	for (i = 0; i < VMS; i++) {
		int64_t until = test_now_ms() + RECOVERY_MS;

		while (w[i].acked->len <= 20 && test_now_ms() < until)
			test_sleep_ms(10);
		line_writer_stop(&w[i]);
	}
	CU_ASSERT_EQUAL(line_report(s.f, "replaced_commits"), 0);
	CU_ASSERT_EQUAL(line_report(s.f, "token_regressed"), 0);
	CU_ASSERT_EQUAL(line_report(s.f, "foreign_tx"), 0);
	printf("seed %u: %s, %ld promotions\n", seed,
	       (int)CU_get_number_of_failures() == failed ? "ok" : "FAILED SEED",
	       (long)line_report(s.f, "promotions"));
	line_fleet_stop(s.f);
	g_rand_free(s.rand);
	g_rand_free(s.rand_evacuations);
	g_rand_free(s.rand_restores);
}

/**
 * Seeds that failed once. 147: promotions are refused while the primary is silent; back again, it
 * was * itself chosen to be promoted, which changes nothing. 229: a VM that was next in line for a
 * moment went on sending to the next one after the owner was heard again. 5205: a VM that started
 * while the store came back from a copy did not try again to list itself.
 */
static const unsigned failed_seeds[] = {147, 229, 5205};

static void test_seeds_that_failed(void)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(failed_seeds); i++)
		soak_seed(failed_seeds[i], SOAK_S);
}

static void test_random_faults(void)
{
	const char *seeds = getenv("SOAK_SEEDS"), *length = getenv("SOAK_S");
	unsigned first = 1, count = 2, i;

	if (seeds != NULL && sscanf(seeds, "%u %u", &first, &count) < 1)
		printf("SOAK_SEEDS is FIRST COUNT\n");
	for (i = 0; i < count; i++)
		soak_seed(first + i, length != NULL ? atoi(length) : SOAK_S);
}

static const struct test_case cases[] = {
	{"seeds_that_failed", test_seeds_that_failed},
	{"random_faults", test_random_faults},
};
HARNESS_MAIN("soak", cases)
