/**
 * @file case-3.c
 * Two sessions of one team, at daemons of two zones, prepare statements whose shapes begin alike.
 * One daemon is killed and its client comes back through the other one.
 */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SELECT                                                                                     \
	"select o.id, o.salon, o.placed_at, o.promised_for, o.carton_count, l.article, "           \
	"l.quantity, l.unit_price, "                                                               \
	"l.discount, a.title, a.shelf, a.supplier from orders o join order_lines l on l.order_id " \
	"= o.id join articles "                                                                    \
	"a on a.id = l.article where o.depot = 'sfax' and o.salon = $1 and o.state = "
#define OWNER_VM 0
#define OTHER_VM 1
#define CALM_MS 3000
#define AFTER_KILL_MS 5000
#define START_MS 30000

/** The statement that a client prepares as s1. */
struct prepared {
	const char *shape;
	struct client *client;
};

static struct prepared open_orders = {.shape = SELECT "'open'"},
		       paid_orders = {.shape = SELECT "'paid'"};
static struct client *warm[N_VMS];
static unsigned wrong, right;
static int64_t killed_us;

static char *next_read(struct client *c)
{
	return g_strdup("READ x");
}

static struct prepared *prepared_of(struct client *c)
{
	return strcmp(c->name, "open") == 0 ? &open_orders : &paid_orders;
}

static char *next_prepared(struct client *c)
{
	if (c->step == 0)
		return g_strdup_printf("PREPARE s1 READ %s", prepared_of(c)->shape);
	return g_strdup_printf("EXECUTE s1 salon%u", c->n % 50);
}

static void on_prepared(struct client *c, const char *code, const char *row)
{
	char *expected;

	if (strcmp(code, "COMPLETE") != 0)
		return;
	if (c->step == 0) {
		c->step = 1;
		return;
	}
	expected = shape_row(prepared_of(c)->shape, c->text + strlen("EXECUTE s1 "));
	if (strcmp(expected, row) == 0) {
		right++;
	} else {
		wrong++;
		note("BROKEN     PINNED: %s executed its s1 and got %s; the shape that it had "
		     "prepared returns %s",
		     c->id, row, expected);
	}
	g_free(expected);
}

static void finish(void *arg)
{
	static char why[200];

	client_stop(open_orders.client);
	client_stop(paid_orders.client);
	if (right == 0)
		rig_end(CASE_NOT_RUN, "nothing was executed");
	snprintf(why, sizeof(why),
		 "%u executions ran a shape that their client had not prepared, %u the right one",
		 wrong, right);
	rig_end(wrong > 0 ? CASE_BROKEN : CASE_HELD, why);
}

static void come_back(void *arg)
{
	/* The platform sends new connections to a daemon that is ready. */
	note("client     paid comes back through %s", rig.vm[OWNER_VM].name);
	paid_orders.client->vm = &rig.vm[OWNER_VM];
}

static void trouble(void *arg)
{
	if (rig.trouble) {
		vm_kill(&rig.vm[OTHER_VM]);
		killed_us = now_us();
		come_back(NULL);
	}
	after_ms(AFTER_KILL_MS, finish, NULL);
}

static void begin(void *arg)
{
	unsigned i;

	for (i = 0; i < N_VMS; i++)
		client_stop(warm[i]);
	open_orders.client =
		client_start("open", &rig.vm[OWNER_VM], DB_BOUNDED, 50, next_prepared, on_prepared);
	paid_orders.client =
		client_start("paid", &rig.vm[OTHER_VM], DB_BOUNDED, 50, next_prepared, on_prepared);
	after_ms(CALM_MS, trouble, NULL);
}

static void await_start(void *arg)
{
	const char *record = store_value("mangoloom/group/" SERVICE);
	unsigned i, ready = 0;

	for (i = 0; i < N_VMS; i++)
		ready += vm_is_ready(&rig.vm[i]) && warm[i]->completed > 50 ? 1 : 0;
	if (ready == N_VMS && record != NULL && strstr(record, rig.vm[OWNER_VM].name) != NULL)
		after_ms(1000, begin, NULL);
	else if (now_us() - rig.started_us > (int64_t)START_MS * 1000)
		rig_end(CASE_NOT_RUN, "the daemons do not serve");
	else
		after_ms(200, await_start, NULL);
}

void case_start(void)
{
	static const char *const names[N_VMS] = {"warm0", "warm1", "warm2"};
	unsigned i;

	rig.member[OWNER_VM].primary = true;
	rig.newest = &rig.member[OWNER_VM];
	for (i = 0; i < N_MEMBERS; i++)
		member_register(&rig.member[i]);
	for (i = 0; i < N_VMS; i++) {
		vm_start(&rig.vm[i]);
		warm[i] = client_start(names[i], &rig.vm[i], DB_BOUNDED, 20, next_read, NULL);
	}
	await_start(NULL);
}
