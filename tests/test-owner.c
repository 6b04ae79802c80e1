/** @file test-owner.c The owner of a group, with members that a test plays. */
#include "adapter.h"
#include "harness.h"
#include "owner.h"
#include "session.h"
#include "shares.h"
#include "table.h"

#include <stdlib.h>
#include <string.h>

#define POOL "p"
#define SELF "127.0.0.1:1"

/* Members */

struct fake_conn {
	struct member_conn conn;
	char id[NAME_SIZE];
	member_opened opened;
	member_answered answered;
	void *arg;
	bool closed;
};

static struct fake_conn *conns[32];
static unsigned n_conns;
static struct member_command sent[64];
static struct fake_conn *sent_on[64];
static unsigned n_sent;

static struct member_conn *fake_open(struct kernel *k, const char *address, const char *pool,
				     const char *team, const char *id, member_opened cb,
				     member_closed closed, void *arg);

static void fake_run(struct member_conn *c, const struct member_command *commands, unsigned n,
		     member_answered cb)
{
	struct fake_conn *f = (struct fake_conn *)c;
	unsigned i;

	for (i = 0; i < n; i++) {
		sent_on[n_sent] = f;
		sent[n_sent++] = commands[i];
	}
	f->answered = cb;
}

static void fake_order(struct member_conn *c, enum member_order order, uint64_t term,
		       member_told cb)
{
}

static void fake_close(struct member_conn *c)
{
	((struct fake_conn *)c)->closed = true;
}

static const struct member_ops fake_member_ops = {
	.open = fake_open,
	.run = fake_run,
	.order = fake_order,
	.close = fake_close,
};

static struct member_conn *fake_open(struct kernel *k, const char *address, const char *pool,
				     const char *team, const char *id, member_opened cb,
				     member_closed closed, void *arg)
{
	struct fake_conn *f = g_new0(struct fake_conn, 1);

	f->conn.ops = &fake_member_ops;
	g_strlcpy(f->id, id, sizeof(f->id));
	f->opened = cb;
	f->arg = arg;
	conns[n_conns++] = f;
	return &f->conn;
}

static const struct adapter fake_adapter = {.member = &fake_member_ops};

/* One VM that owns nothing */

struct world {
	struct settings settings;
	struct kernel *k;
	struct owner *o;
	enum outcome outcome; /**< of the last statement; OUTCOMES while it runs */
};

static void add_pool(struct world *w)
{
	struct fleet *f = fleet_of(w->k);
	struct conf_pool pool = {.name = POOL, .confirm = CONFIRM_PRIMARY, .n = 3};
	struct conf_update u = {.version = 8, .full = true};
	unsigned i;

	for (i = 0; i < pool.n; i++) {
		struct conf_member *m = &pool.member[i];

		g_snprintf(m->name, sizeof(m->name), "m%u", i);
		g_snprintf(m->address, sizeof(m->address), "127.0.0.1:%u", 100 + i);
		g_strlcpy(m->data_center, "dc", sizeof(m->data_center));
		m->slots = 2;
		m->connections = 16;
	}
	u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	g_ptr_array_add(u.entries, table_entry_make(CONF_POOL, &pool));
	fleet_take_conf(f, &u, "test");
	conf_update_clear(&u);
}

static void world_open(struct world *w)
{
	memset(w, 0, sizeof(*w));
	n_conns = n_sent = 0;
	g_strlcpy(w->settings.name, "vm-1", sizeof(w->settings.name));
	g_strlcpy(w->settings.advertise, SELF, sizeof(w->settings.advertise));
	w->settings.silent_ms = 600;
	w->settings.platform_kind = PLATFORM_PREPARED;
	w->k = kernel_create(&w->settings);
	w->k->adapter = &fake_adapter;
	rpc_service_create(w->k);
	fleet_service_create(w->k);
	shares_service_create(w->k);
	owner_service_create(w->k);
	w->o = owner_of(w->k);
	CU_ASSERT_TRUE(w->o->service.ops->start(&w->o->service, NULL));
	add_pool(w);
}

static void world_turn(struct world *w)
{
	event_base_loop(w->k->base, EVLOOP_NONBLOCK);
}

static void on_ran(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_run_res *res = arg_res;
	struct world *w = arg;

	w->outcome = (enum outcome)res->outcome;
}

static void read_locally(struct world *w, unsigned max_age_ms, unsigned deadline_ms)
{
	ml_run_args a = {.request = "r1",
			 .team = "t",
			 .weight = 1,
			 .pool = POOL,
			 .text = "READ a",
			 .operand = "",
			 .shape = "",
			 .op = STATEMENT_READ,
			 .mode = READ_BOUNDED,

			 .reader = READER_ANY};

	a.max_age_us = max_age_ms * USEC_PER_MSEC;
	a.deadline_us = deadline_ms * USEC_PER_MSEC;
	w->outcome = OUTCOMES;
	rpc_start(rpc_of(w->k), SELF, ML_RUN, &a, USEC_PER_SEC, on_ran, w);
	world_turn(w);
}

static void test_a_read_asks_for_the_position_that_it_needs(void)
{
	struct world w;

	world_open(&w);
	owner_told_mark(w.o, POOL, (struct pos){1, 35}, now_us() - 100 * USEC_PER_MSEC);
	read_locally(&w, 1500, 800);
	CU_ASSERT_EQUAL(n_conns, 1);
	conns[0]->opened(&conns[0]->conn, MEMBER_DONE, (struct pos){1, 23}, conns[0]->arg);
	CU_ASSERT_EQUAL(n_sent, 1);
	CU_ASSERT_EQUAL(sent[0].wait_for.lsn, 35);
}

/* Nothing as new as the route asks for is known: no member may be asked at all. */
static void test_old_knowledge_serves_no_read(void)
{
	struct world w;

	world_open(&w);
	owner_told_mark(w.o, POOL, (struct pos){1, 35}, now_us() - 2 * USEC_PER_SEC);
	read_locally(&w, 1500, 800);
	CU_ASSERT_EQUAL(n_conns, 0);
	CU_ASSERT_EQUAL(w.outcome, OUTCOME_NOT_SENT);
}

/*
 * A caller gets data older than its route allows. Its read waits for a connection to open;
 * meanwhile this VM claims the group, and what it knew of the newest write is dropped with the
 * claim. When the connection opens no position is known, and the read went out without one to a
 * replica that lacks recent writes. It has to wait until a position is known again.
 */
static void test_a_read_is_not_sent_without_a_position(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	owner_told_mark(w.o, POOL, (struct pos){1, 35}, now_us());
	read_locally(&w, 1500, 800);
	CU_ASSERT_EQUAL(n_conns, 1);
	g = og_find(w.o, POOL);
	marks_clear(&g->marks);
	conns[0]->opened(&conns[0]->conn, MEMBER_DONE, (struct pos){1, 23}, conns[0]->arg);
	CU_ASSERT_EQUAL(n_sent, 0);
	CU_ASSERT_EQUAL(w.outcome, OUTCOMES);
	marks_new_term(&g->marks, (struct pos){1, 35}, now_us());
	test_sleep_ms(10);
	queue_tick(g, now_us());
	/* The first member has just told that it lacks the position: another one is tried. */
	CU_ASSERT_EQUAL(n_conns, 2);
	conns[1]->opened(&conns[1]->conn, MEMBER_DONE, (struct pos){1, 36}, conns[1]->arg);
	CU_ASSERT_EQUAL(n_sent, 1);
	CU_ASSERT_EQUAL(sent[0].wait_for.lsn, 35);
}

static const struct test_case cases[] = {
	{"a_read_asks_for_the_position_that_it_needs",
	 test_a_read_asks_for_the_position_that_it_needs},
	{"old_knowledge_serves_no_read", test_old_knowledge_serves_no_read},
	{"a_read_is_not_sent_without_a_position", test_a_read_is_not_sent_without_a_position},
};
HARNESS_MAIN("owner", cases)
