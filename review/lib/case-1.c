/**
 * @file case-1.c
 * A primary is to be replaced: it drains, its owner orders the promotion of a replica, and before
 * the promotion shows the zone of that replica is cut off. Neither the owner nor the old primary is
 * behind the cut. With CUT=owner it is their zone instead.
 */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** From the order to the cut; the promotion takes effect 700 ms after the order. */
#define CUT_AFTER_ORDER_MS 300
#define CUT_MS 6000
/** Of the daemons, the one that ranks first for the group. */
#define OWNER_VM 0
#define OWNER_NAME "front-tunis-ben-1"
#define START_MS 30000

static struct vm *owner; /**< the daemon that owns the group; the primary stands in its zone */
static struct client *inside, *outside, *reader;
static unsigned value, broken_writes, stale_reads;
static int64_t last_outside_us;
static unsigned last_outside_value;

static char *next_write(struct client *c)
{
	return g_strdup_printf("WRITE %s %u", c == inside ? "inside" : "outside", ++value);
}

static char *next_read(struct client *c)
{
	return g_strdup("READ outside");
}

static void on_write(struct client *c, const char *code, const char *row)
{
	const struct commit *r;

	if (strcmp(code, "COMPLETE") != 0)
		return;
	if (c == outside) {
		last_outside_us = now_us();
		last_outside_value = (unsigned)atoi(strrchr(c->text, ' ') + 1);
		return;
	}
	r = rig.promotions > 0 ? commit_at_old_primary(c->id) : NULL;
	if (r != NULL) {
		broken_writes++;
		note("BROKEN     ONE: %s was acknowledged; it was committed at the old primary "
		     "%.1f ms after the promotion",
		     c->id, (double)(r->at_us - rig.newest_us) / 1000);
	}
}

static void on_read(struct client *c, const char *code, const char *row)
{
	if (strcmp(code, "COMPLETE") != 0 || last_outside_us == 0 || c->sent_us <= last_outside_us)
		return;
	/* The write was acknowledged before the first byte of this read. */
	if ((unsigned)atoi(row) < last_outside_value) {
		stale_reads++;
		note("BROKEN     STALE: %s read %s on a primary route; %u had been acknowledged",
		     c->id, row, last_outside_value);
	}
}

static void finish(void *arg)
{
	static char why[200];

	client_stop(inside);
	client_stop(outside);
	client_stop(reader);
	if (rig.promotions == 0)
		rig_end(CASE_NOT_RUN, "no promotion took effect");
	snprintf(why, sizeof(why),
		 "%u writes acknowledged at the old primary after a promotion, %u stale reads; %u "
		 "promotions, writes "
		 "acknowledged inside %u, outside %u",
		 broken_writes, stale_reads, rig.promotions, inside->completed, outside->completed);
	rig_end(broken_writes > 0 ? CASE_BROKEN : CASE_HELD, why);
}

static void cut(void *arg)
{
	bool target = g_strcmp0(g_getenv("CUT"), "owner") != 0;

	if (rig.trouble)
		cut_begin(target ? rig.ordered->zone : owner->zone);
	after_ms(CUT_MS, finish, NULL);
}

static void await_order(void *arg)
{
	if (rig.ordered_us == 0) {
		after_ms(5, await_order, NULL);
		return;
	}
	after_ms(CUT_AFTER_ORDER_MS, cut, NULL);
}

static void release(void *arg)
{
	rig.newest->draining = true;
	note("release    the primary %s reports draining", rig.newest->id);
	member_register(rig.newest);
	await_order(NULL);
}

/** Waits until all daemons serve and the group's owner is the one in the primary's zone. */
static void await_start(void *arg)
{
	const char *record = store_value("mangoloom/group/" SERVICE);
	unsigned i, ready = 0;

	for (i = 0; i < N_VMS; i++)
		ready += vm_is_ready(&rig.vm[i]) ? 1 : 0;
	if (ready == N_VMS && record != NULL && strstr(record, "\"" OWNER_NAME "\"") != NULL &&
	    inside->completed > 20 && outside->completed > 20)
		after_ms(2000, release, NULL);
	else if (now_us() - rig.started_us > (int64_t)START_MS * 1000)
		rig_end(CASE_NOT_RUN, "the daemons do not serve");
	else
		after_ms(200, await_start, NULL);
}

void case_start(void)
{
	unsigned i;

	owner = &rig.vm[OWNER_VM];
	for (i = 0; i < N_MEMBERS; i++) {
		if (strcmp(rig.member[i].zone, owner->zone) == 0) {
			rig.member[i].primary = true;
			rig.newest = &rig.member[i];
		}
	}
	for (i = 0; i < N_MEMBERS; i++)
		member_register(&rig.member[i]);
	for (i = 0; i < N_VMS; i++)
		vm_start(&rig.vm[i]);
	inside = client_start("inside", owner, DB_PRIMARY, 20, next_write, on_write);
	reader = client_start("reader", owner, DB_PRIMARY, 20, next_read, on_read);
	outside = client_start("outside", &rig.vm[(OWNER_VM + 1) % N_VMS], DB_PRIMARY, 20,
			       next_write, on_write);
	await_start(NULL);
}
