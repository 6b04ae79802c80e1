/** @file test-evacuation.c Evacuated data centres, whose members get no statements and no primary.
 */
#include "harness-owner.h"
#include "table.h"

#include <string.h>

#define EVACUATED_DC "far"
/** Value of ml_run_args.begin for a statement outside a transaction. */
#define NO_BEGIN STATEMENT_READ

static void move_first(struct conf_pool *pool, const char *data_center)
{
	g_strlcpy(pool->member[0].data_center, data_center, NAME_SIZE);
}

static void move_all(struct conf_pool *pool, const char *data_center)
{
	unsigned i;

	for (i = 0; i < pool->n; i++)
		g_strlcpy(pool->member[i].data_center, data_center, NAME_SIZE);
}

static void make_cold(struct conf_pool *pool, const char *member)
{
	struct conf_member *m = &pool->member[conf_pool_find(pool, member)];

	m->cold = true;
	m->cold_per_s = 10;
}

static void evacuate(struct world *w, const char *data_center, bool on)
{
	struct conf_update u = {.base = fleet_of(w->k)->conf->version};
	struct conf_evacuation body = {0};
	struct conf_entry *e;

	u.version = u.base + 1;
	g_strlcpy(body.data_center, data_center, sizeof(body.data_center));
	e = table_entry_make(CONF_EVACUATION, &body);
	e->version = u.version;
	e->removed = !on;
	u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	g_ptr_array_add(u.entries, e);
	fleet_apply_conf(fleet_of(w->k), &u, "test");
	conf_update_clear(&u);
}

/** Runs the event loop for @a ms while the replicas report @a lsn and the primary m0 reports 10. */
static void run_loop_for(struct world *w, uint64_t lsn, int ms)
{
	int64_t until = test_now_ms() + ms;
	unsigned i;

	while (test_now_ms() < until) {
		event_base_loop(w->k->base, EVLOOP_ONCE);
		for (i = 0; i < fake.n_conns; i++) {
			struct fake_conn *f = fake.conns[i];
			bool first = strcmp(f->id, "m0") == 0;
			struct member_status st = {.term = 1, .primary = first};
			member_opened opened = f->opened;
			member_order_done order_done = f->order_done;

			st.received = (struct pos){1, first ? 10 : lsn};
			f->opened = NULL;
			f->order_done = NULL;
			if (!f->closed && opened != NULL)
				opened(&f->conn, MEMBER_DONE, st.received, f->arg);
			else if (!f->closed && order_done != NULL)
				order_done(&f->conn, MEMBER_DONE, &st, f->arg);
		}
	}
}

static void on_ran(enum rpc_status status, const void *arg_res, void *arg)
{
	((struct world *)arg)->outcome = (enum outcome)((const ml_run_res *)arg_res)->outcome;
}

static void run(struct world *w, enum statement_op op, enum statement_op begin)
{
	ml_run_args a = {.request = "r1",
			 .team = "t",
			 .pool = POOL,
			 .text = "a",
			 .operand = "",
			 .shape = "",
			 .op = op,
			 .begin = (int)begin,
			 .write = op == STATEMENT_WRITE,
			 .mode = op == STATEMENT_WRITE ? READ_PRIMARY : READ_BOUNDED};

	a.max_age_us = 1500 * USEC_PER_MSEC;
	a.deadline_us = 800 * USEC_PER_MSEC;
	w->outcome = OUTCOMES;
	rpc_start(rpc_of(w->k), SELF, ML_RUN, &a, USEC_PER_SEC, on_ran, w);
	world_run_once(w);
}

/** Whether one of the recorded statements went to @a member. */
static bool was_sent_to(const char *member)
{
	unsigned i;

	for (i = 0; i < fake.n_sent; i++) {
		if (strcmp(fake.sent_on[i]->id, member) == 0)
			return true;
	}
	return false;
}

/*
 * Guards against lost writes: the owner hands over from the evacuated primary while the successor
 * still lacks records of the primary's log.
 */
static void test_hand_over_waits_for_successor_to_catch_up(void)
{
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	world_configure(&w, move_first, EVACUATED_DC);
	evacuate(&w, EVACUATED_DC, true);
	run_loop_for(&w, 9, 400);
	CHECK(g->state == OWNER_CHOOSING, "state %d", g->state);
	g->member[0].evacuated_us -= 10 * USEC_PER_SEC;
	run_loop_for(&w, 9, 1800);
	CHECK(g->state == OWNER_CHOOSING, "state %d with its successor behind", g->state);
	run_loop_for(&w, 10, 200);
	CHECK(g->state == OWNER_ORDERING, "state %d", g->state);
	CU_ASSERT_STRING_NOT_EQUAL(g->record.target, "m0");
	world_close(&w);
}

/*
 * Guards against reads and open transactions that continue on members of a data centre after its
 * evacuation.
 */
static void test_evacuation_stops_reads_and_ends_transactions(void)
{
	struct owner_group *g;
	struct world w;
	unsigned i;

	g = world_serve(&w);
	world_configure(&w, move_all, EVACUATED_DC);
	run(&w, STATEMENT_READ, STATEMENT_BEGIN_READ);
	run_loop_for(&w, 10, 50);
	for (i = 0; i < fake.n_sent && i < 1; i++)
		fake.sent_on[0]->answered(
			&fake.sent_on[0]->conn,
			&(struct member_answer){
				.message = "", .signature = "", .rows = "", .state = TX_OPEN},
			fake.sent_on[0]->arg);
	CU_ASSERT_FALSE(TAILQ_EMPTY(&g->txs));
	evacuate(&w, EVACUATED_DC, true);
	fake.n_sent = 0;
	for (i = 0; i < g->n; i++)
		g->member[i].evacuated_us -= 10 * USEC_PER_SEC;
	fake.sent_on[0]->answered(
		&fake.sent_on[0]->conn,
		&(struct member_answer){
			.message = "", .signature = "", .rows = "", .state = TX_OPEN},
		fake.sent_on[0]->arg);
	run_loop_for(&w, 10, 100);
	CU_ASSERT_TRUE(TAILQ_EMPTY(&g->txs));
	run(&w, STATEMENT_READ, NO_BEGIN);
	run_loop_for(&w, 10, 900);
	CU_ASSERT_FALSE(was_sent_to("m0") || was_sent_to("m1") || was_sent_to("m2"));
	CU_ASSERT_NOT_EQUAL(w.outcome, OUTCOME_DONE);
	world_close(&w);
}

/*
 * Guards against writes that wait instead of being refused while all members of a group are
 * evacuated, and against an unneeded promotion when the evacuation ends.
 */
static void test_fully_evacuated_group_refuses_writes_and_recovers(void)
{
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	world_configure(&w, move_all, EVACUATED_DC);
	evacuate(&w, EVACUATED_DC, true);
	run_loop_for(&w, 10, 100);
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	g->member[0].evacuated_us -= 10 * USEC_PER_SEC;
	run_loop_for(&w, 10, 300);
	run(&w, STATEMENT_WRITE, NO_BEGIN);
	CU_ASSERT_EQUAL(w.outcome, OUTCOME_NOT_PRIMARY);
	evacuate(&w, EVACUATED_DC, false);
	run_loop_for(&w, 10, 200);
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	CU_ASSERT_EQUAL(g->primary, 0);
	CU_ASSERT_EQUAL(g->record.target[0], '\0');
	world_close(&w);
}

/*
 * Guards against overload of a cold (recently restarted) member that gets reads at the full rate
 * instead of its configured one.
 */
static void test_a_cold_member_gets_no_more_than_its_rate(void)
{
	struct owner_group *g;
	int64_t start;
	struct world w;
	double limit;
	unsigned i;

	g = world_serve(&w);
	start = test_now_ms();
	for (i = 0; i < g->n; i++)
		world_configure(&w, make_cold, g->member[i].conf.name);
	for (i = 0; i < 60; i++) {
		run(&w, STATEMENT_READ, NO_BEGIN);
		run_loop_for(&w, 10, 5);
	}
	run_loop_for(&w, 10, 100);
	limit = 3 * (1 + 10 * (double)(test_now_ms() - start) / 1000);
	CHECK(fake.n_sent > 3 && fake.n_sent <= limit, "%u statements, not %.0f", fake.n_sent,
	      limit);
	world_close(&w);
}

static const struct test_case cases[] = {
	{"hand_over_waits_for_successor_to_catch_up",
	 test_hand_over_waits_for_successor_to_catch_up},
	{"evacuation_stops_reads_and_ends_transactions",
	 test_evacuation_stops_reads_and_ends_transactions},
	{"fully_evacuated_group_refuses_writes_and_recovers",
	 test_fully_evacuated_group_refuses_writes_and_recovers},
	{"a_cold_member_gets_no_more_than_its_rate", test_a_cold_member_gets_no_more_than_its_rate},
};
HARNESS_MAIN("evacuation", cases)
