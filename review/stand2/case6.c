/**
 * @file case6.c
 * A primary crashes. As the holder orders the promotion, its path to the platform's promotion call
 * is cut for some seconds; then the holder is stopped by SIGTERM, as in a rolling restart, and the
 * next holder promotes. The rule ONE: no call has a lower fencing token than one that was seen
 * before.
 */
#include "drive.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CUT_MS 5000
#define STOP_AFTER_MS 300

static struct drive d;
static unsigned owner;
static gint stop;

static gpointer write_orders(gpointer arg)
{
	struct client c = {0};
	unsigned i = 0;

	while (!g_atomic_int_get(&stop)) {
		if (c.in == NULL && !client_open(&c, "writer", &d.vm[(owner + 1) % d.n_vms],
						 "orders", "key-of-salon")) {
			client_close(&c);
			sleep_ms(100);
			continue;
		}
		if (!client_query(&c, "WRITE order%u x", i++) && c.code[0] == '\0')
			client_close(&c);
		sleep_ms(50);
	}
	client_close(&c);
	return NULL;
}

/** Waits until the record has a line with @a text. @return whether it came in time */
static bool wait_for(const char *text, int ms)
{
	int64_t until = elapsed_us() + ms * US_PER_MS;
	bool found = false;

	while (!found && elapsed_us() < until) {
		char **lines = drive_record(&d), **l;

		for (l = lines; *l != NULL; l++)
			found = found || strstr(*l, text) != NULL;
		g_strfreev(lines);
		sleep_ms(10);
	}
	return found;
}

/** Counts the promotion calls with a lower fencing token than an earlier one. */
static unsigned judge(void)
{
	char **lines = drive_record(&d), **l;
	unsigned long token, highest = 0;
	unsigned broken = 0;

	for (l = lines; *l != NULL; l++) {
		char server[32], holder[32];

		if (sscanf(*l, "%*s platform promotion of %31s by %31s token %lu", server, holder,
			   &token) != 3)
			continue;
		if (token < highest && broken++ == 0)
			printf("%s promotes %s with the token %lu after %lu was seen\n", holder,
			       server, token, highest);
		highest = MAX(highest, token);
	}
	g_strfreev(lines);
	return broken;
}

int main(void)
{
	unsigned broken;
	GThread *writer;

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
	drive_start(&d, 3, CONFIG_PLAIN("0"));
	drive_wait_served(&d, "orders", "key-of-salon");
	sleep_ms(4500);
	owner = drive_owner(&d);
	writer = g_thread_new("writer", write_orders, NULL);
	sleep_ms(1000);
	if (d.trouble)
		drive_command(&d, "cut %s", d.vm[owner].name);
	drive_command(&d, "crash s1");
	if (!wait_for(d.trouble ? "is cut from the platform" : "platform promotion of", 5000))
		drive_exit(&d, 2);
	sleep_ms(STOP_AFTER_MS);
	drive_signal(&d, owner, SIGTERM);
	sleep_ms(CUT_MS - STOP_AFTER_MS);
	if (d.trouble)
		drive_command(&d, "heal %s", d.vm[owner].name);
	drive_command(&d, "start s1");
	sleep_ms(5000);
	g_atomic_int_set(&stop, 1);
	g_thread_join(writer);
	broken = judge();
	printf("%u promotion calls had a lower fencing token than one that was seen\n", broken);
	record("case found %u stale promotion calls", broken);
	drive_exit(&d, broken > 0 ? 1 : 0);
}
