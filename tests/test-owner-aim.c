/** @file test-owner-aim.c Queues of a group by the target latencies of its routes. */
#include "harness-owner.h"
#include "table.h"

#include <string.h>

static int64_t retry_after_us;

static void on_ran(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_run_res *res = arg_res;
	struct world *w = arg;

	w->outcome = (enum outcome)res->outcome;
	retry_after_us = (int64_t)res->retry_after_us;
}

/** Sends a write (@a max_age_ms 0) or a read, and runs what is due. */
static void run(struct world *w, unsigned priority, unsigned max_age_ms, unsigned deadline_ms)
{
	ml_run_args a = {.request = "r1",
			 .team = "t",
			 .pool = POOL,
			 .text = "TEXT",
			 .operand = "",
			 .shape = "",
			 .op = max_age_ms == 0 ? STATEMENT_WRITE : STATEMENT_READ,
			 .priority = priority,
			 .mode = max_age_ms == 0 ? READ_PRIMARY : READ_BOUNDED};

	a.max_age_us = max_age_ms * USEC_PER_MSEC;
	a.deadline_us = deadline_ms * USEC_PER_MSEC;
	w->outcome = OUTCOMES;
	rpc_start(rpc_of(w->k), SELF, ML_RUN, &a, USEC_PER_SEC, on_ran, w);
	world_run_once(w);
}

static void configure(struct world *w, const struct conf_route *routes, unsigned n)
{
	struct fleet *f = fleet_of(w->k);
	struct conf_update u = {.version = f->conf->version + 1, .full = true};
	unsigned i;

	u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	g_ptr_array_add(u.entries, table_entry_make(CONF_POOL, conf_pool(f->conf, POOL)));
	for (i = 0; i < n; i++)
		g_ptr_array_add(u.entries, table_entry_make(CONF_ROUTE, &routes[i]));
	for (i = 0; i < u.entries->len; i++)
		((struct conf_entry *)g_ptr_array_index(u.entries, i))->version = u.version;
	fleet_apply_conf(f, &u, "test");
	conf_update_clear(&u);
}

static const struct conf_route routes[] = {
	{"a", "*", "a", POOL, false, 0, 1500, READ_PRIMARY, 200, 1, false, 0},
	{"b", "t", "b", POOL, false, 0, 1000, READ_PRIMARY, 150, 1, false, 0},
	{"c", "*", "c", "q", false, 0, 1000, READ_PRIMARY, 10, 1, false, 0},
	{"d", "*", "d", POOL, false, 0, 4000, READ_BOUNDED, 600, 2, false, 0},
};

static struct owner_group *serve(struct world *w, bool by_aim)
{
	struct owner_group *g = world_serve(w);

	w->settings.queue_by_aim = by_aim;
	configure(w, routes, G_N_ELEMENTS(routes));
	owner_aim_update(g);
	CU_ASSERT_EQUAL(owner_aim_used(g), by_aim);
	return g;
}

/*
 * Guards against an order by the target latency of another route, or of an older configuration, and
 * against one that ignores the time which the statement has used.
 */
static void test_targets_come_from_the_routes(void)
{
	ml_run_args a = {.priority = 1, .mode = READ_PRIMARY, .deadline_us = 900 * USEC_PER_MSEC};
	struct owner_group *g;
	struct world w;
	int64_t aim_us;

	g = serve(&w, true);
	CU_ASSERT_EQUAL(g->queues->write.last_class, 2);
	CU_ASSERT_TRUE(owner_aim_expiry(g, &a, 0, &aim_us));
	CU_ASSERT_EQUAL(aim_us, 50 * USEC_PER_MSEC);
	a.priority = 0;
	CU_ASSERT_FALSE(owner_aim_expiry(g, &a, 0, &aim_us));
	CU_ASSERT_EQUAL(aim_us, 900 * USEC_PER_MSEC);
	a.priority = 1;
	configure(&w, routes, 1);
	owner_aim_update(g);
	CU_ASSERT_TRUE(owner_aim_expiry(g, &a, 0, &aim_us));
	CU_ASSERT_EQUAL(aim_us, -400 * USEC_PER_MSEC);
	configure(&w, NULL, 0);
	owner_aim_update(g);
	CU_ASSERT_FALSE(owner_aim_used(g));
	world_close(&w);
}

/** Fills the primary, and makes the replicas lack what reads younger than 8 s need. */
static void fill_primary(struct world *w, struct owner_group *g)
{
	int64_t now = now_us();
	unsigned i;

	marks_new_term(&g->marks, (struct pos){1, 10}, now - 10 * USEC_PER_SEC);
	marks_add(&g->marks, (struct pos){1, 35}, now);
	for (i = 1; i < 3; i++) {
		g->member[i].pos = (struct pos){1, 10};
		g->member[i].pos_updated_us = now + USEC_PER_SEC;
	}
	for (i = 0; i < 3; i++)
		run(w, 1, 0, 800);
	CU_ASSERT_EQUAL(g->member[0].in_flight, 3);
}

/*
 * Guards against jobs that no member can serve and that stop a queue: a read that replicas can
 * serve waits behind ten that they cannot. Guards against a caller that finds out only by waiting:
 * a statement without a chance behind more urgent ones is refused with the forecast, unless their
 * duration is not known. With strict classes both are as before.
 */
static void test_blocked_and_unservable_jobs(void)
{
	unsigned i, j, before;

	for (i = 0; i < 4; i++) {
		bool by_aim = i & 1, measured = i & 2;
		struct owner_group *g;
		struct world w;

		g = serve(&w, by_aim);
		fill_primary(&w, g);
		before = fake.n_conns;
		for (j = 0; j < 10; j++)
			run(&w, 2, 5000, 800);
		CU_ASSERT_EQUAL(fake.n_conns, before);
		run(&w, 2, 11000, 800);
		CU_ASSERT_EQUAL(fake.n_conns, before + by_aim);
		g->queues->write.measured[1] = measured;
		g->queues->write.class[1].service_us = measured ? 90000 : 500;
		for (j = 0; j < 10; j++)
			run(&w, 1, 0, 1000);
		run(&w, 3, 0, 100);
		CU_ASSERT_EQUAL(w.outcome, by_aim && measured ? OUTCOME_TOO_LATE : OUTCOMES);
		CU_ASSERT_TRUE(w.outcome == OUTCOMES || retry_after_us > 100 * USEC_PER_MSEC);
		queue_refuse(g, true, OUTCOME_LEAVING);
		CU_ASSERT_EQUAL(dueq_length(&g->queues->read) + dueq_length(&g->queues->write), 0);
		world_close(&w);
	}
}

static const struct test_case cases[] = {
	{"targets_come_from_the_routes", test_targets_come_from_the_routes},
	{"blocked_and_unservable_jobs", test_blocked_and_unservable_jobs},
};
HARNESS_MAIN("owner-aim", cases)
