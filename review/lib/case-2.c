/**
 * @file case-2.c
 * A daemon starts while the store loses an answer: its registration is run late. The daemon is
 * killed and starts again, and then its zone is cut off together with the primary that it serves.
 */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** When the registration is run, after its call: platform_lost (late) runs writes 1 to 6 s later.
 */
#define LATE_MIN_MS 1500
#define LATE_MAX_MS 6000
#define FIRST_LIFE_MS 300
#define RESTART_MS 300
/** From the time when the daemon that is alive owns the group again to the cut. */
#define SETTLE_MS 700
/** Time limit for that. */
#define OWNED_AGAIN_MS 30000
#define CUT_MS 6000
#define START_MS 30000
/** Of the daemons, the one that ranks first for the group. */
#define OWNER_VM 0
#define OWNER_NAME "front-tunis-ben-1"

static struct vm *owner; /**< the daemon that owns the group; the primary stands in its zone */
static struct client *inside, *outside, *reader;
static unsigned value, broken_writes, stale_reads, served_outside;
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
		served_outside++;
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
	if (rig.trouble && !rig.without_late && !rig.register_late)
		rig_end(CASE_NOT_RUN, "the late registration was not run");
	snprintf(why, sizeof(why),
		 "%u writes acknowledged at the old primary after a promotion, %u stale reads; %u "
		 "promotions, writes "
		 "acknowledged inside %u, outside %u",
		 broken_writes, stale_reads, rig.promotions, inside->completed, outside->completed);
	rig_end(broken_writes > 0 ? CASE_BROKEN : CASE_HELD, why);
}

static void cut(void *arg)
{
	if (rig.trouble)
		cut_begin(owner->zone);
	after_ms(CUT_MS, finish, NULL);
}

static int64_t trouble_us;
static char *incarnation; /**< of the last process of the owner, as it registered it */

/**
 * Waits until the group's record names the owner's last process. Then the late write is run, within
 * the time that the pages give, and the cut follows.
 */
static void await_owned(void *arg)
{
	int64_t late_ms = (now_us() - rig.register_lost_us) / 1000;
	bool owned;

	const char *record = store_value("mangoloom/group/" SERVICE);
	const char *key = store_value("mangoloom/vm/" OWNER_NAME);
	const char *senders = record != NULL ? strstr(record, "senders") : NULL, *found;

	if (incarnation == NULL && key != NULL && strstr(key, "incarnation") != NULL)
		incarnation =
			g_strndup(strstr(key, "incarnation"), strlen("incarnation\":\"") + 16);
	found = incarnation != NULL && record != NULL ? strstr(record, incarnation) : NULL;
	owned = found != NULL && (senders == NULL || found < senders);
	if (!rig.without_late && !rig.register_late && rig.register_lost_us != 0 &&
	    ((owned && late_ms >= LATE_MIN_MS) || late_ms >= LATE_MAX_MS))
		store_run_late();
	if ((rig.without_late || rig.register_late) && owned)
		after_ms(SETTLE_MS, cut, NULL);
	else if (now_us() - trouble_us > (int64_t)OWNED_AGAIN_MS * 1000)
		rig_end(CASE_NOT_RUN, "the group did not come back to the daemon near its primary");
	else
		after_ms(50, await_owned, NULL);
}

static void start_again(void *arg)
{
	vm_start(owner);
}

static void start_last(void *arg)
{
	vm_start(owner);
	after_ms(500, await_owned, NULL);
}

static void kill_first(void *arg)
{
	vm_kill(owner);
	after_ms(RESTART_MS, start_last, NULL);
}

static void begin_trouble(void *arg)
{
	if (!rig.trouble) {
		after_ms(LATE_MAX_MS + SETTLE_MS, cut, NULL);
		return;
	}
	/* The process that is running has registered long ago; the next one's registration is run
	 * late. */
	vm_kill(owner);
	if (!rig.without_late)
		rig.lose_register = owner;
	trouble_us = now_us();
	after_ms(RESTART_MS, start_again, NULL);
	after_ms(RESTART_MS + FIRST_LIFE_MS, kill_first, NULL);
}

/** Waits until all daemons serve and the group's owner is the one in the primary's zone. */
static void await_start(void *arg)
{
	const char *record = store_value("mangoloom/group/" SERVICE);
	unsigned i, ready = 0;
	char *name = g_strdup_printf("\"%s\"", owner->name);

	for (i = 0; i < N_VMS; i++)
		ready += vm_is_ready(&rig.vm[i]) ? 1 : 0;
	if (ready == N_VMS && record != NULL && strstr(record, name) != NULL &&
	    inside->completed > 20 && outside->completed > 20)
		after_ms(2000, begin_trouble, NULL);
	else if (now_us() - rig.started_us > (int64_t)START_MS * 1000)
		rig_end(CASE_NOT_RUN, "the daemons do not serve");
	else
		after_ms(200, await_start, NULL);
	g_free(name);
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
