/**
 * @file measure.c
 * Benchmarks on one machine, with real processes on loopback. The arguments select cases; without
 * any, all run. docs/CAPACITY.md and docs/DESIGN.md quote figures of such runs.
 *
 * The home of a member is the daemon that holds its connections and its queue; the entry is the
 * daemon that a caller is connected to.
 */
#include "conf.h"
#include "harness-line.h"
#include "page.h"
#include "peers.h"
#include "table.h"

#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WARMUP_STATEMENTS 200

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static void print_latencies(const char *what, double *us, int n)
{
	qsort(us, (size_t)n, sizeof(*us), compare_doubles);
	printf("%-44s median %8.0f us  p99 %8.0f us  (n %d)\n", what, us[n / 2], us[n * 99 / 100],
	       n);
}

static void time_statements(const char *what, PGconn *c, const char *text, int n)
{
	double *us = g_new0(double, (gsize)n);
	int i;

	for (i = -WARMUP_STATEMENTS; i < n; i++) {
		int64_t start = test_now_us();

		sql(c, NULL, 0, "%s", text);
		if (i >= 0)
			us[i] = (double)(test_now_us() - start);
	}
	print_latencies(what, us, n);
	g_free(us);
}

/**
 * Measures the latency that a daemon adds: statements sent to the member directly, through its
 * home, and through another VM.
 */
static void measure_latency(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.bypass_proxy = true});
	PGconn *direct = member_connect(f, 0);
	PGconn *home = fleet_connect(f, 0, "clerks", f->key, "-c mangoloom.kind=own");
	PGconn *remote = fleet_connect(f, 1, "clerks", f->key, "-c mangoloom.kind=own");
	PGconn *w_home = fleet_connect_orders(f, 0), *w_remote = fleet_connect_orders(f, 1);

	time_statements("read, straight to the member", direct,
			"SELECT value FROM warm WHERE key = 'up'", 5000);
	time_statements("read, through the member's home", home,
			"SELECT value FROM warm WHERE key = 'up'", 5000);
	time_statements("read, through another VM", remote,
			"SELECT value FROM warm WHERE key = 'up'", 5000);
	time_statements("write, straight to the member", direct, "INSERT INTO m VALUES ('k', 'v')",
			5000);
	time_statements("write, through the home, confirm=replica", w_home,
			"INSERT INTO m VALUES ('k', 'v')", 5000);
	time_statements("write, through another VM, confirm=replica", w_remote,
			"INSERT INTO m VALUES ('k', 'v')", 5000);
	PQfinish(direct);
	PQfinish(home);
	PQfinish(remote);
	PQfinish(w_home);
	PQfinish(w_remote);
	fleet_tear_down(f);
	f = fleet_start_up(&(struct fleet_plan){.bypass_proxy = true, .confirm = "primary"});
	w_home = fleet_connect_orders(f, 0);
	time_statements("write, through the home, confirm=primary", w_home,
			"INSERT INTO m VALUES ('k', 'v')", 5000);
	PQfinish(w_home);
	fleet_tear_down(f);
}

struct load_client {
	struct test_fleet *f;
	volatile int stop;
	int n;
};

static gpointer load_client_run(gpointer data)
{
	struct load_client *a = data;
	PGconn *c = fleet_connect(a->f, 0, "clerks", a->f->key, "-c mangoloom.kind=own");

	while (!a->stop)
		a->n += strcmp(sql(c, NULL, 0, "SELECT 1"), "00000") == 0;
	PQfinish(c);
	return NULL;
}

/**
 * Measures statements per second and per core of one daemon that is both entry and home, and the
 * memory per idle caller.
 */
static void measure_throughput(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.vms = 1,
								   .data_centers = 1,
								   .slots = 64,
								   .connections = 128,
								   .bypass_proxy = true});
	struct load_client a[16];
	GThread *t[16];
	PGconn *idle[2000];
	int64_t cpu, start, memory;
	int i, n = 0;

	memset(a, 0, sizeof(a));
	for (i = 0; i < 16; i++) {
		a[i].f = f;
		t[i] = g_thread_new("ask", load_client_run, &a[i]);
	}
	test_sleep_ms(500);
	cpu = fleet_status(f, 0, "cpu_us");
	for (i = 0; i < 16; i++)
		a[i].n = 0;
	start = test_now_us();
	test_sleep_ms(4000);
	for (i = 0; i < 16; i++)
		n += a[i].n;
	cpu = fleet_status(f, 0, "cpu_us") - cpu;
	printf("%d statements in %.2f s with %.2f s of processor: %.0f a second, %.0f a second and "
	       "core\n",
	       n, (double)(test_now_us() - start) / 1e6, (double)cpu / 1e6,
	       n / ((double)(test_now_us() - start) / 1e6), n / ((double)cpu / 1e6));
	for (i = 0; i < 16; i++) {
		a[i].stop = 1;
		g_thread_join(t[i]);
	}
	memory = fleet_status(f, 0, "memory_kb");
	for (i = 0; i < 2000; i++)
		idle[i] = fleet_connect_orders(f, 0);
	test_sleep_ms(500);
	printf("2000 idle callers: %.2f KB each\n",
	       (double)(fleet_status(f, 0, "memory_kb") - memory) / 2000);
	for (i = 0; i < 2000; i++)
		PQfinish(idle[i]);
	fleet_tear_down(f);
}

/**
 * Measures the gap in acknowledged writes when the primary is killed, frozen or partitioned away
 * (@a fault), in @a rounds fleets.
 */
static void measure_gap(const char *fault, int rounds)
{
	double *gap = g_new0(double, (gsize)rounds);
	int i, k, unknown = 0;

	for (i = 0; i < rounds; i++) {
		struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
		struct writer w[2] = {{.pause_us = 1000}, {.pause_us = 1000}};
		int primary = fleet_primary(f);

		writer_start(&w[0], f, 1, "a");
		writer_start(&w[1], f, 2, "b");
		test_sleep_ms(400);
		if (strcmp(fault, "kill") == 0)
			fleet_member_signal(f, primary, SIGKILL);
		else if (strcmp(fault, "freeze") == 0)
			fleet_member_signal(f, primary, SIGSTOP);
		else
			fleet_partition(f, "dc1", true);
		test_sleep_ms(3500);
		for (k = 0; k < 2; k++) {
			writer_stop(&w[k]);
			gap[i] = MAX(gap[i], (double)w[k].gap_us);
			unknown += w[k].unknown;
			g_array_unref(w[k].told);
		}
		fleet_tear_down(f);
	}
	qsort(gap, (size_t)rounds, sizeof(*gap), compare_doubles);
	printf("primary %s: gap in writes median %.0f ms, worst %.0f ms, least %.0f ms (n %d); %d "
	       "outcomes not known\n",
	       fault, gap[rounds / 2] / 1000, gap[rounds - 1] / 1000, gap[0] / 1000, rounds,
	       unknown);
	g_free(gap);
}

/**
 * Measures the share of reads that replicas serve at replication lag @a lag_ms: for a session that
 * reads its own occasional writes, and for one that only reads.
 */
static void measure_replicas(int lag_ms)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.lag_ms = lag_ms});
	PGconn *c = fleet_connect(f, 0, "clerks", f->key, "-c mangoloom.kind=order");
	double by_replica = 0, by_primary = 0;
	const char *kinds[] = {"own", "page"};
	int k, i, v;

	for (k = 0; k < 2; k++) {
		by_replica = by_primary = 0;
		for (v = 0; v < 3; v++) {
			by_replica -= (double)fleet_status(f, v, "reads_by_replica");
			by_primary -= (double)fleet_status(f, v, "reads_by_primary");
		}
		for (i = 0; i < 20; i++) {
			int j;

			sql(c, NULL, 0, "SET mangoloom.kind = 'order'");
			sql(c, NULL, 0, "INSERT INTO orders VALUES ('r', '%d')", i);
			sql(c, NULL, 0, "SET mangoloom.kind = '%s'", kinds[k]);
			for (j = 0; j < 10; j++) {
				test_sleep_ms(10);
				sql(c, NULL, 0, "SELECT value FROM orders WHERE key = 'r'");
			}
		}
		for (v = 0; v < 3; v++) {
			by_replica += (double)fleet_status(f, v, "reads_by_replica");
			by_primary += (double)fleet_status(f, v, "reads_by_primary");
		}
		printf("lag %4d ms, session's own reads, kind %-4s: replicas served %.0f%% of "
		       "%.0f\n",
		       lag_ms, kinds[k], 100 * by_replica / (by_replica + by_primary),
		       by_replica + by_primary);
	}
	PQfinish(c);
	c = fleet_connect(f, 1, "clerks", f->key, "-c mangoloom.kind=page");
	by_replica = by_primary = 0;
	for (v = 0; v < 3; v++) {
		by_replica -= (double)fleet_status(f, v, "reads_by_replica");
		by_primary -= (double)fleet_status(f, v, "reads_by_primary");
	}
	for (i = 0; i < 200; i++) {
		test_sleep_ms(5);
		sql(c, NULL, 0, "SELECT value FROM orders WHERE key = 'r'");
	}
	for (v = 0; v < 3; v++) {
		by_replica += (double)fleet_status(f, v, "reads_by_replica");
		by_primary += (double)fleet_status(f, v, "reads_by_primary");
	}
	printf("lag %4d ms, a session that only browses: replicas served %.0f%% of %.0f\n", lag_ms,
	       100 * by_replica / (by_replica + by_primary), by_replica + by_primary);
	PQfinish(c);
	fleet_tear_down(f);
}

/** Counts acknowledged writes that promotions under load lose, over @a rounds promotions. */
static void measure_lost_writes(const char *confirm, int rounds)
{
	unsigned lost = 0, acked = 0;
	int i;

	for (i = 0; i < rounds; i++) {
		struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.confirm = confirm});
		struct writer w = {0};
		char count[32];
		PGconn *c;
		guint k;
		int primary = fleet_primary(f), j;

		writer_start(&w, f, 1, "a");
		test_sleep_ms(500);
		/* Replicas lag by 100 ms when the primary is killed. */
		for (j = 0; j < 3; j++)
			fleet_fault(f, "hold %s -db", f->member[j].name);
		test_sleep_ms(100);
		fleet_member_signal(f, primary, SIGKILL);
		for (j = 0; j < 3; j++)
			fleet_fault(f, "pass %s -db", f->member[j].name);
		test_sleep_ms(1500);
		writer_stop(&w);
		c = member_connect(f, fleet_primary(f));
		for (k = 0; k < w.told->len; k++) {
			if (g_array_index(w.told, enum write_outcome, k) != WRITE_ACKED)
				continue;
			acked++;
			sql(c, count, sizeof(count),
			    "SELECT count(*) FROM orders WHERE key = 'a-%u'", k);
			lost += atoi(count) == 0;
		}
		PQfinish(c);
		g_array_unref(w.told);
		fleet_tear_down(f);
	}
	printf("confirm=%s: %u of %u acknowledged writes lost over %d promotions\n", confirm, lost,
	       acked, rounds);
}

/** Measures control traffic, CPU time and memory per idle daemon of one fleet. */
static void measure_idle(int vms, int pools)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){
		.vms = vms, .pools = pools, .data_centers = 2, .bypass_proxy = true});
	double seconds = 6, out = 0, in = 0, cpu = 0, memory = 0, calls = 0;
	int i;

	test_sleep_ms(3000);
	for (i = 0; i < vms; i++) {
		out -= (double)fleet_status(f, i, "control_bytes_out");
		in -= (double)fleet_status(f, i, "control_bytes_in");
		cpu -= (double)fleet_status(f, i, "cpu_us");
		calls -= (double)fleet_status(f, i, "platform_calls");
	}
	test_sleep_ms((int)(seconds * 1000));
	for (i = 0; i < vms; i++) {
		out += (double)fleet_status(f, i, "control_bytes_out");
		in += (double)fleet_status(f, i, "control_bytes_in");
		cpu += (double)fleet_status(f, i, "cpu_us");
		calls += (double)fleet_status(f, i, "platform_calls");
		memory += (double)fleet_status(f, i, "memory_kb");
	}
	printf("%6d %14.2f %14.0f %14.0f %12.3f %12.0f %14.3f\n", vms, 3.0 * pools / vms,
	       out / vms / seconds, in / vms / seconds, cpu / vms / seconds / 1e4, memory / vms,
	       calls / vms / seconds);
	fleet_tear_down(f);
}

/**
 * Measures idle daemons by the number of VMs and of members that a daemon is home to. The harness
 * sets the heartbeat interval to 200 ms.
 */
static void measure_scaling(void)
{
	static const struct {
		int vms, pools;
	} fleets[] = {{2, 1}, {4, 1}, {8, 1}, {16, 1}, {32, 1}, {4, 2}, {4, 3}, {8, 3}};
	unsigned i;

	printf("%6s %14s %14s %14s %12s %12s %14s\n", "VMs", "homes a VM", "out B/s", "in B/s",
	       "cpu %", "memory KB", "platform /s");
	for (i = 0; i < G_N_ELEMENTS(fleets); i++)
		measure_idle(fleets[i].vms, fleets[i].pools);
}

static long memory_kb(void)
{
	char *text = NULL, *at;
	long kb = 0;

	if (g_file_get_contents("/proc/self/status", &text, NULL, NULL)) {
		at = strstr(text, "VmRSS:");
		kb = at != NULL ? strtol(at + strlen("VmRSS:"), NULL, 10) : 0;
	}
	g_free(text);
	return kb;
}

static struct conf_entry *pool_entry(unsigned i, uint64_t version)
{
	GString *text = g_string_new(NULL);
	struct conf_entry *e;
	char *id = g_strdup_printf("pool/orders-%u", i);
	unsigned m;

	g_string_append_printf(text, "{\"name\":\"orders-%u\",\"confirm\":\"replica\",\"member\":[",
			       i);
	for (m = 0; m < 3; m++)
		g_string_append_printf(text,
				       "%s{\"name\":\"orders-%u-%u\",\"address\":\"10.%u.%u.%u:"
				       "5432\",\"data_center\":"
				       "\"dc%u\",\"slots\":2,\"connections\":16,\"leaving\":false}",
				       m > 0 ? "," : "", i, m, m, i / 250, i % 250, (i + m) % 8);
	g_string_append(text, "]}");
	e = table_entry_parse(id, version, text->str, NULL);
	g_string_free(text, TRUE);
	g_free(id);
	return e;
}

/** Measures configuration and membership at the required size: 3,700 databases, 3,100 VMs. */
static void measure_sizes(void)
{
	struct page page;
	struct conf_update u = {.full = true, .version = 1};
	struct conf *c = conf_create();
	struct vm_listing *l = g_new0(struct vm_listing, 3100);
	size_t bytes = 0;
	struct peers p;
	long before = memory_kb();
	int64_t start;
	unsigned i;

	u.entries = g_ptr_array_new_with_free_func((GDestroyNotify)conf_entry_unref);
	start = test_now_us();
	for (i = 0; i < 3700; i++) {
		struct conf_entry *e = pool_entry(i, 1);

		bytes += strlen(e->id) + strlen(e->text);
		g_ptr_array_add(u.entries, e);
	}
	printf("3700 pools: parsed in %.1f ms, %zu KB of text",
	       (double)(test_now_us() - start) / 1000, bytes / 1024);
	start = test_now_us();
	conf_apply(c, &u);
	printf(", applied whole in %.1f ms, %ld KB of memory\n",
	       (double)(test_now_us() - start) / 1000, memory_kb() - before);
	conf_update_clear(&u);
	u = (struct conf_update){.base = 1, .version = 2};
	u.entries = g_ptr_array_new_with_free_func((GDestroyNotify)conf_entry_unref);
	start = test_now_us();
	g_ptr_array_add(u.entries, pool_entry(7, 2));
	conf_apply(c, &u);
	printf("one changed pool: parsed and applied in %.0f us\n",
	       (double)(test_now_us() - start));
	conf_update_clear(&u);
	start = test_now_us();
	page_build(c, 1, "", SIZE_MAX, &page);
	u = page.u;
	printf("update for a peer: %u entry, built in %.0f us\n", u.entries->len,
	       (double)(test_now_us() - start));
	conf_update_clear(&u);
	before = memory_kb();
	for (i = 0; i < 3100; i++) {
		l[i].name = g_strdup_printf("vm-%u", i);
		l[i].address = g_strdup_printf("10.1.%u.%u:6532", i / 250, i % 250);
		l[i].data_center = g_strdup_printf("dc%u", i % 8);
	}
	start = test_now_us();
	peers_init(&p, "vm-0", l[0].address, l[0].data_center, 1);
	peers_apply_list(&p, 1, l, 3100);
	printf("3100 VMs: list taken in in %.1f ms, %ld KB of memory\n",
	       (double)(test_now_us() - start) / 1000, memory_kb() - before);
	start = test_now_us();
	for (i = 0; i < 1000; i++) {
		char role[64];

		snprintf(role, sizeof(role), "home orders-%u 0", i);
		peers_holder(&p, role, "dc3");
	}
	printf("home of a member: %.1f us; of all 11100 members %.0f ms, of the own data centre's "
	       "1388 %.0f ms\n",
	       (double)(test_now_us() - start) / 1000,
	       (double)(test_now_us() - start) * 11.1 / 1000,
	       (double)(test_now_us() - start) * 1.388 / 1000);
	start = test_now_us();
	for (i = 0; i < 1000; i++)
		peers_find(&p, "vm-999");
	printf("a VM by its name: %.1f us\n", (double)(test_now_us() - start) / 1000);
	peers_clear(&p);
	conf_free(c);
}

/* Load of several classes and teams on the prepared platform. */

#define LOAD_VMS 3
/** More teams than a member accepts connections (LINE_CONNECTIONS). */
#define LOAD_TEAMS 40
#define LOAD_CLASSES 3
#define LOAD_SECONDS 20
/** The first team sends LOAD_SURGE_FACTOR times its demand from second 5 to second 15. */
#define LOAD_SURGE_FROM_MS 5000
#define LOAD_SURGE_UNTIL_MS 15000
#define LOAD_SURGE_FACTOR 6
/** A team's rate; its usual demand is the sum over load_classes, 9 a second. */
#define LOAD_TEAM_RATE 20
/** Callers of one class of the first team, so that waiting ones do not hold back its surge. */
#define LOAD_SURGE_CALLERS 8
#define LOAD_RESTING 8
#define LOAD_RESTING_MS 400
#define LOAD_SLOTS 4
#define LOAD_WORK_MS 8
/** A caller makes this many attempts, and none later than this after the first. */
#define LOAD_ATTEMPTS 3
#define LOAD_DEADLINE_MS 1500
/** Pause after a refusal without a retry time. */
#define LOAD_RETRY_MS 50
#define LOAD_CALLERS_MAX (LOAD_CLASSES * (LOAD_TEAMS + LOAD_SURGE_CALLERS) + LOAD_RESTING)

/** Classes by priority; the routes of line_write_document() state the same targets. */
static const struct {
	const char *database;
	int target_ms;
	double per_s;	 /**< demand of a team */
	int write_share; /**< percent */
} load_classes[LOAD_CLASSES] = {
	{LINE_DB_PRIMARY, 100, 1.8, 100},
	{LINE_DB_SESSION, 200, 4.8, 12},
	{LINE_DB_BOUNDED, 600, 2.4, 0},
};

struct load_caller {
	struct line_fleet *f;
	GThread *thread;
	int vm, team;
	int class; /**< LOAD_CLASSES: a caller with transactions at rest */
	char key[32];
	double per_s;
	int64_t start_ms;
	unsigned seed;
	int asked, within, late, refused, lost;
	GArray *refusal_ms; /**< double; from an attempt to its refusal */
};

/** Makes one attempt. @return whether it was answered; if not, *retry_ms is the pause */
static bool load_attempt(struct load_caller *a, struct line_client *c, bool write, int *retry_ms)
{
	int64_t start = test_now_us();
	const char *retry;
	double ms;

	if (c->fd >= 0 || line_connect(c, a->f, a->vm, load_classes[a->class].database, a->key))
		line_query(c, "%s %s v", write ? "WRITE" : "READ", a->key);
	ms = (double)(test_now_us() - start) / 1000;
	if (c->state != 'I')
		line_close(c);
	if (strcmp(c->code, "COMPLETE") == 0)
		return true;
	if (c->code[0] != '\0')
		g_array_append_val(a->refusal_ms, ms);
	retry = strstr(c->text, "retry-after-ms=");
	*retry_ms = retry != NULL ? atoi(retry + strlen("retry-after-ms=")) : LOAD_RETRY_MS;
	return false;
}

/** Runs one operation that was due at @a due_ms, and counts its outcome. */
static void load_operation(struct load_caller *a, struct line_client *c, bool write, int64_t due_ms)
{
	int i, retry_ms;

	a->asked++;
	for (i = 0; i < LOAD_ATTEMPTS; i++) {
		if (load_attempt(a, c, write, &retry_ms)) {
			bool met = test_now_ms() - due_ms <= load_classes[a->class].target_ms;

			*(met ? &a->within : &a->late) += 1;
			return;
		}
		if (i + 1 == LOAD_ATTEMPTS || test_now_ms() + retry_ms > due_ms + LOAD_DEADLINE_MS)
			break;
		test_sleep_ms(retry_ms);
	}
	*(c->code[0] == '\0' ? &a->lost : &a->refused) += 1;
}

/** Sends at random times, or when the previous operation is over if that is later. */
static gpointer load_caller_run(gpointer data)
{
	struct load_caller *a = data;
	struct line_client c = {.fd = -1};
	GRand *rand = g_rand_new_with_seed(a->seed);
	double due = (double)a->start_ms;

	for (;;) {
		double since = due - (double)a->start_ms, per_s = a->per_s;
		int64_t now;

		if (a->team == 0 && since >= LOAD_SURGE_FROM_MS && since < LOAD_SURGE_UNTIL_MS)
			per_s *= LOAD_SURGE_FACTOR;
		due += -log(1 - g_rand_double(rand)) * 1000 / per_s;
		if (due > (double)a->start_ms + LOAD_SECONDS * 1000)
			break;
		now = test_now_ms();
		if ((int64_t)due > now)
			test_sleep_ms((int)((int64_t)due - now));
		load_operation(a, &c,
			       g_rand_int_range(rand, 0, 100) < load_classes[a->class].write_share,
			       (int64_t)due);
	}
	line_close(&c);
	g_rand_free(rand);
	return NULL;
}

/** Holds transactions open without statements; "within" counts those that committed. */
static gpointer load_resting_run(gpointer data)
{
	struct load_caller *a = data;
	struct line_client c = {.fd = -1};

	for (; test_now_ms() < a->start_ms + LOAD_SECONDS * 1000; test_sleep_ms(LOAD_RETRY_MS)) {
		a->asked++;
		if ((c.fd >= 0 || line_connect(&c, a->f, a->vm, LINE_DB_PRIMARY, a->key)) &&
		    strcmp(line_query(&c, "BEGIN"), "COMPLETE") == 0 &&
		    strcmp(line_query(&c, "WRITE %s v", a->key), "COMPLETE") == 0) {
			test_sleep_ms(LOAD_RESTING_MS);
			a->within += strcmp(line_query(&c, "COMMIT"), "COMPLETE") == 0;
		}
		if (c.state != 'I')
			line_close(&c);
	}
	line_close(&c);
	return NULL;
}

/** Fills @a a with the callers of all teams and classes. @return their number */
static int load_callers(struct load_caller *a, struct line_fleet *f)
{
	/* Half of the callers are at the first VM, a sixth at the last. */
	static const int vms[] = {0, 1, 0, 2, 0, 1};
	int n = 0, i, k;

	for (i = 0; i < LOAD_CLASSES * LOAD_TEAMS; i++) {
		int callers = i < LOAD_CLASSES ? LOAD_SURGE_CALLERS : 1;

		for (k = 0; k < callers; k++, n++) {
			a[n].team = i / LOAD_CLASSES;
			a[n].class = i % LOAD_CLASSES;
			a[n].per_s = load_classes[a[n].class].per_s / callers;
		}
	}
	for (i = 0; i < LOAD_RESTING; i++, n++) {
		a[n].team = 1 + i / 2;
		a[n].class = LOAD_CLASSES;
	}
	for (i = 0; i < n; i++) {
		a[i].f = f;
		a[i].seed = (unsigned)i + 1;
		a[i].vm = vms[(a[i].team + i) % (int)G_N_ELEMENTS(vms)];
		a[i].start_ms = test_now_ms();
		a[i].refusal_ms = g_array_new(FALSE, FALSE, sizeof(double));
		g_snprintf(a[i].key, sizeof(a[i].key), "idle%dsecret", a[i].team);
	}
	return n;
}

/** Prints the sums over the callers of @a class. */
static void load_print_class(const struct load_caller *a, int n, int class)
{
	static const char *const names[] = {"0", "1", "2", "resting"};
	GArray *ms = g_array_new(FALSE, FALSE, sizeof(double));
	int asked = 0, within = 0, late = 0, refused = 0, lost = 0, i;

	for (i = 0; i < n; i++) {
		if (a[i].class != class)
			continue;
		asked += a[i].asked;
		within += a[i].within;
		late += a[i].late;
		refused += a[i].refused;
		lost += a[i].lost;
		g_array_append_vals(ms, a[i].refusal_ms->data, a[i].refusal_ms->len);
	}
	g_array_sort(ms, compare_doubles);
	printf("%8s %7d %7d %7d %7d %7d", names[class], asked, within, late, refused, lost);
	printf(" %17.1f (n %u)\n", ms->len > 0 ? g_array_index(ms, double, ms->len / 2) : 0,
	       ms->len);
	g_array_unref(ms);
}

/** Plays the load on daemons with further @a settings and prints the outcomes by class. */
static void measure_load(const char *what, const char *settings)
{
	struct line_fleet *f = line_fleet_start_with(LOAD_VMS, settings);
	struct load_caller *a = g_new0(struct load_caller, LOAD_CALLERS_MAX);
	int64_t openings = 0, resets = 0;
	int i, n;
	char name[8];

	f->with_classes = true;
	f->idle_teams = LOAD_TEAMS;
	f->rate = LOAD_TEAM_RATE;
	line_write_document(f);
	for (i = 0; i < LINE_MEMBERS; i++)
		line_fault(f, "{\"member\":\"m%d\",\"slots\":%d,\"work_ms\":%d,\"limit\":%d}", i,
			   LOAD_SLOTS, LOAD_WORK_MS, LINE_CONNECTIONS);
	test_sleep_ms(1000);
	n = load_callers(a, f);
	for (i = 0; i < n; i++)
		a[i].thread = g_thread_new(
			"load", a[i].class < LOAD_CLASSES ? load_caller_run : load_resting_run,
			&a[i]);
	for (i = 0; i < n; i++)
		g_thread_join(a[i].thread);
	printf("new settings %s\n%8s %7s %7s %7s %7s %7s %17s\n", what, "priority", "asked",
	       "within", "late", "refused", "lost", "ms to a refusal");
	for (i = 0; i <= LOAD_CLASSES; i++)
		load_print_class(a, n, i);
	for (i = 0; i < LINE_MEMBERS; i++) {
		g_snprintf(name, sizeof(name), "m%d", i);
		openings += line_member_report(f, name, "openings");
		resets += line_member_report(f, name, "resets");
	}
	for (i = 0; i < n; i++)
		g_array_unref(a[i].refusal_ms);
	printf("connections opened %ld, reset over the limit %ld\n", (long)openings, (long)resets);
	g_free(a);
	line_fleet_stop(f);
}

static void run_load(void)
{
	measure_load("off", "");
	measure_load("on", "[admission]\nby_priority = true\n"
			   "[connections]\nbudget = true\npreopen = true\n"
			   "[queue]\nby_aim = true\n[placement]\nmember_load = true\n"
			   "[paths]\nrelay = true\n");
}

static void run_kill(void)
{
	measure_gap("kill", 20);
}

static void run_cut(void)
{
	measure_gap("cut", 20);
}

static void run_freeze(void)
{
	measure_gap("freeze", 20);
}

static void run_replicas(void)
{
	measure_replicas(10);
	measure_replicas(200);
	measure_replicas(5000);
}

static void run_lost(void)
{
	measure_lost_writes("replica", 20);
	measure_lost_writes("primary", 20);
}

static const struct test_case cases[] = {
	{"latency", measure_latency}, {"throughput", measure_throughput},
	{"kill", run_kill},	      {"cut", run_cut},
	{"replicas", run_replicas},   {"lost", run_lost},
	{"slopes", measure_scaling},  {"sizes", measure_sizes},
	{"freeze", run_freeze},	      {"load", run_load},
};
HARNESS_MAIN("measure", cases)
