/** @file test-move.c Moves of a primary that is alive, and the faults that call them off. */
#include "harness-owner.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

static struct {
	bool answered, ok;
	char why[128];
} moved;

static void spread(struct conf_pool *pool, const char *unused)
{
	unsigned i;

	for (i = 0; i < pool->n; i++)
		g_snprintf(pool->member[i].data_center, NAME_SIZE, "dc%u", i);
}

static void evacuate(struct conf_pool *pool, const char *member)
{
	pool->member[conf_pool_find(pool, member)].evacuated = true;
}

/** Makes all that must lie 15 or 60 s back do so. */
static void settle(struct world *w, struct owner_group *g)
{
	int64_t past = now_us() - 100 * USEC_PER_SEC;

	g->standing.owned_us = g->standing.disturbed_us = w->o->standings.fault_us = past;
}

/** Opens a world whose group is served from m0 in dc0, with replicas in dc1 and dc2. */
static struct owner_group *open_settled(struct world *w)
{
	struct owner_group *g = world_serve(w);

	w->settings.rebalance = REBALANCE_MANUAL;
	w->settings.rebalance_pause_s = 60;
	standing_start(w->o);
	world_configure(w, spread, NULL);
	standing_tick(g, now_us());
	settle(w, g);
	return g;
}

static void close_world(struct world *w)
{
	standing_stop(w->o);
	world_close(w);
}

static void on_moved(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_move_primary_res *res = arg_res;

	moved.answered = status == RPC_DONE;
	moved.ok = moved.answered && res->ok;
	g_strlcpy(moved.why, moved.answered ? res->why : "", sizeof(moved.why));
}

static bool request(struct world *w, const char *data_center, bool dry_run, uint64_t revision)
{
	ml_move_primary_args a = {.pool = POOL,
				  .data_center = (char *)data_center,
				  .dry_run = dry_run,
				  .revision = revision};

	memset(&moved, 0, sizeof(moved));
	rpc_start(rpc_of(w->k), SELF, ML_MOVE_PRIMARY, &a, USEC_PER_SEC, on_moved, NULL);
	world_run_once(w);
	CU_ASSERT_TRUE(moved.answered);
	return moved.ok;
}

/** Runs until the move has been called off, and the record is as before. */
static void check_called_off(struct world *w, struct owner_group *g)
{
	int64_t until = test_now_ms() + 3000;

	while ((g->standing.phase != STANDING_IDLE || g->standing.undo_wanted ||
		g->state != OWNER_SERVING) &&
	       test_now_ms() < until) {
		event_base_loop(w->k->base, EVLOOP_ONCE);
		answer_probes(10);
	}
	CU_ASSERT_EQUAL(g->standing.phase, STANDING_IDLE);
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	CU_ASSERT_EQUAL(g->primary, 0);
	CU_ASSERT_STRING_EQUAL(g->record.target, "");
	CU_ASSERT_EQUAL(g->record.term_floor, 0);
}

/* Guards against a move that the record does not have, or to another member than requested. */
static void test_a_primary_moves_on_request(void)
{
	struct owner_group *g;
	struct world w;

	g = open_settled(&w);
	CU_ASSERT_TRUE(request(&w, "dc2", true, 0));
	CU_ASSERT_EQUAL(g->standing.phase, STANDING_IDLE);
	CU_ASSERT_TRUE(request(&w, "dc2", false, g->revision));
	CU_ASSERT_FALSE(request(&w, "dc1", false, 0));
	run_until_state(&w, g, OWNER_ORDERING);
	CU_ASSERT_STRING_EQUAL(g->record.target, "m2");
	CU_ASSERT_EQUAL(g->record.term_floor, 1);
	CU_ASSERT_TRUE(g->planned);
	close_world(&w);
}

/* Guards against moves that are not valid, or while anything fails or has just changed. */
static void test_moves_are_refused(void)
{
	struct owner_group *g;
	struct world w;

	g = open_settled(&w);
	CU_ASSERT_FALSE(request(&w, "nowhere", false, 0));
	CU_ASSERT_FALSE(request(&w, "dc0", false, 0));
	CU_ASSERT_FALSE(request(&w, "dc1", false, g->revision + 1));
	g->standing.disturbed_us = now_us() - 14 * USEC_PER_SEC;
	CU_ASSERT_FALSE(request(&w, "dc1", false, 0));
	settle(&w, g);
	g->standing.moved_us = now_us() - 50 * USEC_PER_SEC;
	CU_ASSERT_FALSE(request(&w, "dc1", false, 0));
	g->standing.moved_us = 0;
	w.o->standings.fault_us = now_us() - 14 * USEC_PER_SEC;
	CU_ASSERT_FALSE(request(&w, "dc1", false, 0));
	settle(&w, g);
	g->member[2].down = true;
	CU_ASSERT_FALSE(request(&w, "dc1", false, 0));
	g->member[2].down = false;
	world_configure(&w, evacuate, "m1");
	settle(&w, g);
	CU_ASSERT_FALSE(request(&w, "dc1", false, 0));
	CU_ASSERT_TRUE(request(&w, "dc2", true, 0));
	CU_ASSERT_EQUAL(g->standing.phase, STANDING_IDLE);
	close_world(&w);
}

/* Guards against writes that are refused because a store refuses a change nobody needs. */
static void test_a_move_that_is_not_recorded_is_called_off(void)
{
	struct owner_group *g;
	struct world w;

	g = open_settled(&w);
	fake.store_refuses = true;
	CU_ASSERT_TRUE(request(&w, "dc1", false, 0));
	while (g->standing.phase != STANDING_IDLE) {
		event_base_loop(w.k->base, EVLOOP_ONCE);
		answer_probes(10);
		CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	}
	fake.store_refuses = false;
	check_called_off(&w, g);
	CU_ASSERT_EQUAL(g->invited_us, 0);
	close_world(&w);
}

static bool hold(void)
{
	return true;
}

/* Guards against a primary in a data centre whose evacuation began during the move. */
static void test_a_move_to_an_evacuated_member_is_called_off(void)
{
	struct owner_group *g;
	struct world w;
	int64_t until = test_now_ms() + 3000;

	g = open_settled(&w);
	CU_ASSERT_TRUE(request(&w, "dc1", false, 0));
	fake.holds = hold;
	while (g->standing.phase != STANDING_RECORDING && test_now_ms() < until) {
		event_base_loop(w.k->base, EVLOOP_ONCE);
		answer_probes(10);
	}
	world_configure(&w, evacuate, "m1");
	fake.holds = NULL;
	fake_store_deliver();
	check_called_off(&w, g);
	close_world(&w);
}

/*
 * Model: an owner serves writes from m0 and moves the primary to m1. Replication, the store and the
 * promoter are slow or fail at random, m0 falls silent, and m1's data centre is evacuated.
 */

#define SEEDS 150

static struct {
	int64_t now, silent_from_us, silent_to_us, lag_to_us, effect_us;
	uint64_t lsn[3], acknowledged;
	int target; /**< of the promotion in progress or done; -1: none */
	bool promoted, slow_store;
	bool was_silent; /**< m0 was, before the promotion was ordered */
	unsigned refusals;
} model;

static int64_t model_now(void)
{
	return model.now;
}

static bool model_holds(void)
{
	return model.slow_store;
}

static bool is_silent(void)
{
	return model.now >= model.silent_from_us && model.now < model.silent_to_us;
}

static void model_promote(const char *member, promoter_done cb, void *arg)
{
	if (model.refusals > 0) {
		model.refusals--;
		cb(PROMOTER_REFUSED, 409, arg);
		return;
	}
	if (model.target < 0) {
		model.target = member[1] - '0';
		model.effect_us = model.now + 600 * USEC_PER_MSEC;
	}
	cb(rand() % 4 == 0 ? PROMOTER_UNKNOWN : PROMOTER_ACCEPTED, 200, arg);
}

static void model_probes(void)
{
	unsigned i;

	for (i = 0; i < fake.n_conns; i++) {
		struct fake_conn *f = fake.conns[i];
		int m = f->id[1] - '0';
		bool leads = model.promoted ? m == model.target : m == 0;
		struct member_status st = {.primary = leads,
					   .term = leads && model.promoted ? 2 : 1};

		if (f->closed || (m == 0 && is_silent()))
			continue;
		st.received = (struct pos){st.term, model.lsn[m]};
		fake_probe_answer(f, &st);
	}
}

static void model_step(struct world *w, struct owner_group *g, int seed)
{
	unsigned i;

	model.now += (2 + rand() % 15) * USEC_PER_MSEC;
	store_source.lease_until_us = model.now + 10 * USEC_PER_SEC;
	model.was_silent = model.was_silent || (is_silent() && model.target < 0);
	if (g->state == OWNER_SERVING && g->primary == 0 && !is_silent()) {
		CHECK(model.target < 0, "seed %d: writes at m0 after the order", seed);
		model.acknowledged = ++model.lsn[0];
	}
	for (i = 1; i < 3; i++) {
		if (!is_silent() && (i == 2 || model.now > model.lag_to_us) && !model.promoted)
			model.lsn[i] = MIN(model.lsn[0], model.lsn[i] + rand() % 4);
	}
	if (model.target > 0 && !model.promoted && model.now >= model.effect_us) {
		model.promoted = true;
		CHECK(model.lsn[model.target] >= model.acknowledged || model.was_silent,
		      "seed %d: m%d leads at %lu, acknowledged %lu", seed, model.target,
		      model.lsn[model.target], model.acknowledged);
	}
	if (rand() % 4 == 0)
		fake_store_deliver();
	model_probes();
	claim_tick(g, model.now);
	watch_tick(g, model.now);
	change_tick(g, model.now);
	standing_tick(g, model.now);
	world_run_once(w);
}

/*
 * Guards against acknowledged writes lost by a move, writes at a primary that is being replaced,
 * and a group that is left without a primary.
 */
static void test_no_move_loses_a_write(void)
{
	unsigned done = 0, called_off = 0;
	struct owner_group *g;
	struct world w;
	int seed, step;

	for (seed = 0; seed < SEEDS; seed++) {
		if (getenv("SEED") != NULL && atoi(getenv("SEED")) != seed)
			continue;
		g = open_settled(&w);
		memset(&model, 0, sizeof(model));
		srand((unsigned)seed);
		model.now = now_us();
		kernel_set_clock(model_now);
		model.target = -1;
		for (step = 0; step < 3; step++)
			model.lsn[step] = 10;
		if (rand() % 3 == 0) {
			model.silent_from_us = model.now + rand() % 1500 * USEC_PER_MSEC;
			model.silent_to_us = model.silent_from_us + rand() % 2000 * USEC_PER_MSEC;
		}
		if (rand() % 3 == 0)
			model.lag_to_us = model.now + rand() % 3000 * USEC_PER_MSEC;
		model.slow_store = rand() % 2 == 0;
		model.refusals = rand() % 8 == 0 ? 1 : 0;
		fake.holds = model_holds;
		fake.promote = model_promote;
		request(&w, "dc1", false, 0);
		/* The model has one promotion; it ends when the new primary serves. */
		for (step = 0; step < 1200 && !(model.promoted && g->state == OWNER_SERVING);
		     step++) {
			if (step == 10 && rand() % 4 == 0)
				world_configure(&w, evacuate, "m1");
			model_step(&w, g, seed);
		}
		CHECK(g->state == OWNER_SERVING, "seed %d: state %d", seed, g->state);
		done += model.target == 1 ? 1 : 0;
		called_off += model.target < 0 ? 1 : 0;
		log_flush();
		close_world(&w);
		kernel_set_clock(NULL);
	}
	printf("%u moved, %u called off, %u failed over\n", done, called_off,
	       SEEDS - done - called_off);
	CU_ASSERT_TRUE(done > SEEDS / 4);
	CU_ASSERT_TRUE(called_off > SEEDS / 20);
}

static const struct test_case cases[] = {
	{"a_primary_moves_on_request", test_a_primary_moves_on_request},
	{"moves_are_refused", test_moves_are_refused},
	{"a_move_that_is_not_recorded_is_called_off",
	 test_a_move_that_is_not_recorded_is_called_off},
	{"a_move_to_an_evacuated_member_is_called_off",
	 test_a_move_to_an_evacuated_member_is_called_off},
	{"no_move_loses_a_write", test_no_move_loses_a_write},
};
HARNESS_MAIN("move", cases)
