/**
 * @file case4.c
 * A service with synchronous-replicas 1. Of its two replicas one is draining, which still counts
 * toward synchronous-replicas, and the other one receives nothing for a while. Then the primary
 * crashes. The rule LOST: every acknowledged commit is in the log of the backend that is promoted.
 */
#include "drive.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WRITERS 4

static struct drive d;
static gint stop;

static gpointer write_orders(gpointer arg)
{
	unsigned n = GPOINTER_TO_UINT(arg), i = 0;
	char *name = g_strdup_printf("writer%u", n);
	struct client c = {0};

	while (!g_atomic_int_get(&stop)) {
		if (c.in == NULL &&
		    !client_open(&c, name, &d.vm[n % d.n_vms], "orders", "key-of-salon")) {
			client_close(&c);
			sleep_ms(100);
			continue;
		}
		/* A broken connection or an error ends the client's session. */
		if (!client_query(&c, "WRITE order%u-%u x", n, i++)) {
			if (c.code[0] == '\0')
				client_close(&c);
			sleep_ms(100);
		}
		sleep_ms(20);
	}
	client_close(&c);
	return NULL;
}

/** Counts the acknowledged commits that the promoted server's log lacks. */
static unsigned judge(void)
{
	GHashTable *acknowledged = g_hash_table_new(g_str_hash, g_str_equal);
	char **lines = drive_record(&d), **l, **k;
	unsigned lost = 0, promotions = 0;

	for (l = lines; *l != NULL; l++) {
		char **w = g_strsplit(*l, " ", -1);
		guint n = g_strv_length(w);

		/* TIME client NAME answered ID COMPLETE ... */
		if (n > 5 && strcmp(w[1], "client") == 0 && strcmp(w[3], "answered") == 0 &&
		    strcmp(w[5], "COMPLETE") == 0)
			g_hash_table_add(acknowledged, g_strdup(w[4]));
		/* TIME platform promoted SERVER term T number N */
		if (n > 7 && strcmp(w[1], "platform") == 0 && strcmp(w[2], "promoted") == 0) {
			unsigned long term = strtoul(w[5], NULL, 10);
			unsigned number = (unsigned)atoi(w[7]);

			promotions++;
			for (k = lines; k != l; k++) {
				char server[32], id[32];
				unsigned long t;
				unsigned at;

				if (sscanf(*k, "%*s server %31s commit %lu.%u %31s", server, &t,
					   &at, id) != 4 ||
				    t >= term || at <= number ||
				    !g_hash_table_contains(acknowledged, id))
					continue;
				if (lost++ < 5)
					printf("lost: %s, committed as %lu.%u, acknowledged, and "
					       "%s "
					       "is promoted with %u commits\n",
					       id, t, at, w[3], number);
			}
		}
		g_strfreev(w);
	}
	printf("%u acknowledged writes, %u promotions, %u acknowledged commits lost\n",
	       g_hash_table_size(acknowledged), promotions, lost);
	g_strfreev(lines);
	return lost;
}

int main(void)
{
	GThread *writer[WRITERS];
	unsigned i, lost;

	d.world = (struct world_conf){
		.service = "svc",
		.server = {{"s1", "north", 0}, {"s2", "middle", 0}, {"s3", "south", 0}},
		.sync = true,
		.connection_limit = 16,
		.work_ms = 3,
		.replicate_ms = 2,
		.promote_ms = 1000,
		.drain_ms = 7000,
		.drain_stay_ms = 10000,
		.heartbeat_ms = 1200};
	drive_start(&d, 3, CONFIG_PLAIN("1"));
	drive_wait_served(&d, "orders", "key-of-salon");
	sleep_ms(2000);
	for (i = 0; i < WRITERS; i++)
		writer[i] = g_thread_new("writer", write_orders, GUINT_TO_POINTER(i));
	sleep_ms(2000);
	drive_command(&d, "drain s2");
	sleep_ms(1000);
	if (d.trouble) {
		drive_command(&d, "deaf s3 1");
		sleep_ms(2000);
		drive_command(&d, "crash s1");
		sleep_ms(4000);
		drive_command(&d, "deaf s3 0");
		sleep_ms(3000);
		drive_command(&d, "start s1");
	}
	sleep_ms(6000);
	g_atomic_int_set(&stop, 1);
	for (i = 0; i < WRITERS; i++)
		g_thread_join(writer[i]);
	lost = judge();
	record("case found %u acknowledged commits lost", lost);
	drive_exit(&d, lost > 0 ? 1 : 0);
}
