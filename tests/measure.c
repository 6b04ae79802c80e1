/**
 * @file measure.c
 * Benchmarks on one machine, with real processes on loopback. The arguments select cases; without
 * any, all run. docs/CAPACITY.md and docs/DESIGN.md quote figures of such runs.
 *
 * The home of a member is the daemon that holds its connections and its queue; the entry is the
 * daemon that a caller is connected to.
 */
#include "conf.h"
#include "harness.h"
#include "page.h"
#include "peers.h"
#include "table.h"

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
	{"freeze", run_freeze},
};
HARNESS_MAIN("measure", cases)
