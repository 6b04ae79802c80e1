/**
 * @file case5.c
 * Rolling restarts: the machine that holds the service is stopped by SIGTERM and started again,
 * time after time. Later all processes are killed at once; the machine that held the service then
 * is gone for good, and another one comes in its place. The rule RECOVER: a quarter of the requests
 * is served again recovery-s after the machines are back.
 */
#include "drive.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MACHINES 4
#define SPARE MACHINES /**< the machine that comes in place of another */
#define RESTARTS 17
#define SETTLE_MS 1300
#define CLIENTS 3
#define RECOVERY_MS 12000
#define WATCHED_MS 8000

static struct drive d;
static gint stop;

/** A client that goes to another machine after each failure, as the platform would send it. */
static gpointer use(gpointer arg)
{
	unsigned n = GPOINTER_TO_UINT(arg), i = 0, vm = n;
	char *name = g_strdup_printf("client%u", n);
	struct client c = {0};

	while (!g_atomic_int_get(&stop)) {
		if (c.in == NULL &&
		    !client_open(&c, name, &d.vm[vm % (SPARE + 1)], "orders", "key-of-salon")) {
			client_close(&c);
			vm++;
			sleep_ms(50);
			continue;
		}
		if (!client_query(&c, i % 3 == 0 ? "WRITE order%u-%u x" : "READ order%u-%u", n,
				  i)) {
			client_close(&c);
			vm++;
		}
		i++;
		sleep_ms(50);
	}
	client_close(&c);
	return NULL;
}

struct share {
	unsigned sent, served;
};

/** Counts the requests that were sent in a span of time, and those of them that were served. */
static struct share count(double from_ms, double to_ms)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	char **lines = drive_record(&d), **l;
	struct share s = {0};

	for (l = lines; *l != NULL; l++) {
		char id[32], code[32];
		double at_ms;

		if (sscanf(*l, "%lf client client%*u sends QUERY %31s", &at_ms, id) == 2 &&
		    at_ms > from_ms && at_ms <= to_ms) {
			g_hash_table_add(ids, g_strdup(id));
			s.sent++;
		} else if (sscanf(*l, "%lf client client%*u answered %31s %31s", &at_ms, id,
				  code) == 3 &&
			   strcmp(code, "COMPLETE") == 0 && g_hash_table_contains(ids, id)) {
			s.served++;
		}
	}
	g_strfreev(lines);
	return s;
}

static double now_ms(void)
{
	return (double)elapsed_us() / US_PER_MS;
}

int main(void)
{
	double fault_ms, back_ms;
	struct share before, after;
	GThread *client[CLIENTS];
	unsigned i, owner;

	d.world = (struct world_conf){
		.service = "svc",
		.server = {{"s1", "north", 0}, {"s2", "middle", 0}, {"s3", "south", 0}},
		.connection_limit = 16,
		.work_ms = 3,
		.replicate_ms = 20,
		.promote_ms = 1000,
		.drain_ms = 7000,
		.drain_stay_ms = 1000,
		.heartbeat_ms = 1200};
	drive_start(&d, MACHINES, CONFIG_PLAIN("0"));
	drive_wait_served(&d, "orders", "key-of-salon");
	sleep_ms(2000);
	for (i = 0; i < CLIENTS; i++)
		client[i] = g_thread_new("client", use, GUINT_TO_POINTER(i));
	sleep_ms(2000);
	for (i = 0; i < RESTARTS && d.trouble; i++) {
		drive_restart(&d, drive_owner(&d));
		sleep_ms(SETTLE_MS);
	}
	sleep_ms(5000);
	owner = drive_owner(&d);
	fault_ms = now_ms();
	for (i = 0; i < MACHINES; i++)
		drive_kill(&d, i);
	sleep_ms(1000);
	for (i = 0; i < MACHINES; i++) {
		if (i != owner)
			drive_up(&d, i);
	}
	drive_up(&d, SPARE);
	back_ms = now_ms();
	sleep_ms(RECOVERY_MS + WATCHED_MS);
	g_atomic_int_set(&stop, 1);
	for (i = 0; i < CLIENTS; i++)
		g_thread_join(client[i]);
	before = count(0, fault_ms);
	after = count(back_ms + RECOVERY_MS, now_ms());
	printf("served: %u of %u requests before the final fault, %u of %u from %d s after it\n",
	       before.served, before.sent, after.served, after.sent, RECOVERY_MS / 1000);
	record("case served %u of %u requests before, %u of %u after", before.served, before.sent,
	       after.served, after.sent);
	if (before.served * 4 < before.sent || after.sent == 0)
		drive_exit(&d, 2);
	drive_exit(&d, after.served * 4 < after.sent ? 1 : 0);
}
