/**
 * @file case8.c
 * The operator takes a tenant away: one version of the configuration removes its key and its route.
 * A session of the tenant has a transaction open. The rule CONFIG: statements sent later than
 * configuration-deadline-ms after the acknowledgement are not run with the dropped key.
 */
#include "drive.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONFIG_DEADLINE_MS 3000
#define STATEMENTS 6
#define PAUSE_MS 1500

static const char before[] =
	CONFIG("3", ROUTE("r1", "orders", "false") "," ROUTE("r2", "visits", "false"), "0",
	       TENANT("salon", "\"key-of-salon\"") "," TENANT("travel", "\"key-of-travel\""));
static const char after[] =
	CONFIG("7", ROUTE("r1", "orders", "false"), "0", TENANT("salon", "\"key-of-salon\""));

static struct drive d;

/** Counts the statements of the client that a server ran, sent after @a limit_ms. */
static unsigned judge(double limit_ms)
{
	char **lines = drive_record(&d), **l, **k;
	unsigned broken = 0;

	for (l = lines; *l != NULL; l++) {
		char id[32], text[64], server[32], ran[32];
		double sent_ms;

		if (sscanf(*l, "%lf client travel sends QUERY %31s %63[^\n]", &sent_ms, id, text) !=
			    3 ||
		    sent_ms <= limit_ms)
			continue;
		for (k = l; *k != NULL; k++) {
			if (sscanf(*k, "%*s server %31s ran %31s", server, ran) != 2 ||
			    strcmp(ran, id) != 0)
				continue;
			broken++;
			printf("%s (%s), sent %.0f ms after the limit, was run by %s: %s\n", id,
			       text, sent_ms - limit_ms, server, strstr(*k, "tenant"));
		}
	}
	g_strfreev(lines);
	return broken;
}

int main(void)
{
	double limit_ms = 0;
	struct client c;
	unsigned i, broken;

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
	drive_start(&d, 3, before);
	drive_wait_served(&d, "orders", "key-of-salon");
	sleep_ms(4500);
	if (!client_open(&c, "travel", &d.vm[1], "visits", "key-of-travel") ||
	    !client_query(&c, "BEGIN") || !client_query(&c, "WRITE visit-0 x"))
		drive_exit(&d, 2);
	if (d.trouble) {
		drive_command(&d, "config %s", after);
		limit_ms = (double)elapsed_us() / US_PER_MS + CONFIG_DEADLINE_MS;
	}
	for (i = 1; i <= STATEMENTS && c.state == 'T'; i++) {
		sleep_ms(PAUSE_MS);
		client_query(&c, "WRITE visit-%u x", i);
	}
	if (c.state == 'T')
		client_query(&c, "COMMIT");
	client_close(&c);
	/* A new session shows that the version is in force. */
	if (d.trouble && client_open(&c, "later", &d.vm[1], "visits", "key-of-travel"))
		drive_exit(&d, 2);
	client_close(&c);
	broken = d.trouble ? judge(limit_ms) : 0;
	printf("%u statements were run with the dropped key\n", broken);
	record("case found %u statements run with the dropped key", broken);
	drive_exit(&d, broken > 0 ? 1 : 0);
}
