/**
 * @file test-order.c Promotion orders that may still take effect after the owner has given them up.
 */
#include "harness-owner.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

/*
 * Model: m0 is the primary and leaves, its owner serves writes from it. Network partitions cut
 * members off from the owner, the promoter loses orders and answers, or refuses them, and m0 may
 * cease to leave.
 */

#define SEEDS 250
#define MEMBERS 3
#define TERM 1
/** Longest time from an accepted order to its effect. */
#define PROMOTE_MAX_US (1200 * USEC_PER_MSEC)
/** Time from a promotion until a replaced primary that reaches the new one becomes a replica. */
#define DEMOTE_US (1 * USEC_PER_SEC)
/**
 * Longest time from an order until another member leads if the target is cut off: the wait for the
 * effect, the choice of a member, and its promotion.
 */
#define SUCCESSOR_CUT_OFF_US (4500 * USEC_PER_MSEC)
/** Time after which a group without faults must be served again. */
#define SERVED_US (8 * USEC_PER_SEC)

static struct {
	int64_t now;
	int64_t cut_from_us[MEMBERS], cut_to_us[MEMBERS];
	int64_t stays_us; /**< when m0 ceases to leave; 0: never */
	int64_t effect_us;
	int64_t promoted_us;
	int newest;	   /**< last member that was promoted */
	int target;	   /**< of the promotion in progress; -1: none */
	int lost, refused; /**< percentage of orders */
	unsigned orders, effects;
	bool primary[MEMBERS];
	uint64_t term[MEMBERS], lsn[MEMBERS];
	uint64_t newest_term;
	int seed;
} model;

static int64_t model_now(void)
{
	return model.now;
}

static bool is_cut(int m)
{
	return model.now >= model.cut_from_us[m] && model.now < model.cut_to_us[m];
}

static void model_promote(const char *member, promoter_done cb, void *arg)
{
	int m = member[1] - '0';
	bool arrives = rand() % 100 >= model.lost / 2;

	model.orders++;
	if (rand() % 100 < model.refused) {
		cb(PROMOTER_REFUSED, 409, arg);
		return;
	}
	if (arrives && model.target != m &&
	    !(model.primary[m] && model.term[m] == model.newest_term)) {
		model.target = m;
		model.effect_us = model.now + 200 * USEC_PER_MSEC +
				  rand() % (PROMOTE_MAX_US - 200 * USEC_PER_MSEC);
	}
	if (arrives && rand() % 100 >= model.lost / 2)
		cb(PROMOTER_ACCEPTED, 200, arg);
	else
		cb(PROMOTER_UNKNOWN, 0, arg);
}

static void model_promotes(void)
{
	int i, m = model.target;

	if (m >= 0 && model.now >= model.effect_us) {
		model.target = -1;
		model.primary[m] = true;
		model.term[m] = ++model.newest_term;
		model.newest = m;
		model.promoted_us = model.now;
		model.effects++;
	}
	for (i = 0; i < MEMBERS; i++) {
		if (model.term[i] == model.newest_term || is_cut(i) || is_cut(model.newest) ||
		    model.now < model.promoted_us + DEMOTE_US)
			continue;
		model.primary[i] = false;
		model.term[i] = model.newest_term;
	}
}

/** Answers the probes of the members that are not cut off. */
static void model_answer_probes(void)
{
	unsigned i;

	for (i = 0; i < fake.n_conns; i++) {
		struct fake_conn *f = fake.conns[i];
		int m = f->id[1] - '0';
		struct member_status st = {.primary = model.primary[m], .term = model.term[m]};

		if (f->closed || is_cut(m))
			continue;
		st.received = (struct pos){model.term[m], model.lsn[m]};
		fake_probe_answer(f, &st);
	}
}

static void stay(struct conf_pool *pool, const char *member)
{
	pool->member[conf_pool_find(pool, member)].leaving = false;
}

static void check_primary(const struct owner_group *g)
{
	const struct owner_member *m = &g->member[g->primary];

	CHECK(g->term == model.newest_term, "seed %d: serves from %s of term %lu, newest term %lu",
	      model.seed, m->conf.name, g->term, model.newest_term);
	CHECK(model.target < 0 || model.target == g->primary,
	      "seed %d: serves from %s while m%d is being promoted", model.seed, m->conf.name,
	      model.target);
}

static void model_step(struct world *w, struct owner_group *g)
{
	const struct mark *mark = &g->marks.newest;
	int i;

	model.now += (2 + rand() % 15) * USEC_PER_MSEC;
	store_source.lease_until_us = model.now + 10 * USEC_PER_SEC;
	if (model.stays_us != 0 && model.now > model.stays_us) {
		world_configure(w, stay, "m0");
		model.stays_us = 0;
	}
	model_promotes();
	for (i = 1; i < MEMBERS; i++) {
		if (!is_cut(i) && model.effects == 0)
			model.lsn[i] = model.lsn[0];
	}
	model_answer_probes();
	claim_tick(g, model.now);
	watch_tick(g, model.now);
	change_tick(g, model.now);
	world_run_once(w);
	if (g->state == OWNER_SERVING)
		check_primary(g);
	CHECK(mark->asked_us <= model.promoted_us || mark->pos.term == model.newest_term,
	      "seed %d: mark of term %lu, newest term %lu", model.seed, mark->pos.term,
	      model.newest_term);
	if (g->state == OWNER_SERVING && g->primary == 0 && !is_cut(0) && model.effects == 0)
		model.lsn[0]++;
}

/** Starts the model without faults; m0 begins to leave. */
static void model_reset(struct world *w, int seed)
{
	int i;

	memset(&model, 0, sizeof(model));
	srand((unsigned)seed);
	model.seed = seed;
	model.now = now_us();
	kernel_set_clock(model_now);
	model.target = -1;
	model.newest_term = TERM;
	for (i = 0; i < MEMBERS; i++) {
		model.primary[i] = i == 0;
		model.term[i] = TERM;
		model.lsn[i] = 10;
	}
	fake.promote = model_promote;
	set_leaving(w, "m0");
}

static void close_model(struct world *w)
{
	world_close(w);
	kernel_set_clock(NULL);
}

static void model_begin(struct world *w, int seed)
{
	int i;

	model_reset(w, seed);
	model.lost = rand() % 3 == 0 ? 60 : 0;
	model.refused = rand() % 4 == 0 ? 30 : 0;
	for (i = 0; i < MEMBERS; i++) {
		if (rand() % 2 == 0)
			continue;
		model.cut_from_us[i] = model.now + rand() % 2000 * USEC_PER_MSEC;
		model.cut_to_us[i] = model.cut_from_us[i] + rand() % 6000 * USEC_PER_MSEC;
	}
	if (rand() % 3 == 0)
		model.stays_us = model.now + rand() % 5000 * USEC_PER_MSEC;
}

/*
 * Guards against writes and marks at a primary whose successor was ordered and may have replaced
 * it, and against a group that is left without a primary.
 */
static void test_no_primary_serves_after_its_successor_was_ordered(void)
{
	unsigned ordered = 0, called_off = 0, repeated = 0;
	struct owner_group *g;
	struct world w;
	int64_t quiet_us;
	int i, seed;

	for (seed = 0; seed < SEEDS; seed++) {
		if (getenv("SEED") != NULL && atoi(getenv("SEED")) != seed)
			continue;
		g = world_serve(&w);
		model_begin(&w, seed);
		quiet_us = model.now + 2 * USEC_PER_SEC;
		for (i = 0; i < MEMBERS; i++)
			quiet_us = MAX(quiet_us, model.cut_to_us[i]);
		while (model.now < quiet_us + SERVED_US)
			model_step(&w, g);
		CHECK(g->state == OWNER_SERVING, "seed %d: state %d at the end", seed, g->state);
		ordered += model.orders > 0 ? 1 : 0;
		repeated += model.effects > 1 ? 1 : 0;
		called_off += g->primary == 0 ? 1 : 0;
		log_flush();
		close_model(&w);
	}
	printf("%u with an order, %u with two promotions, %u kept the primary\n", ordered, repeated,
	       called_off);
	CU_ASSERT_TRUE(getenv("SEED") != NULL || ordered > SEEDS / 2);
	CU_ASSERT_TRUE(getenv("SEED") != NULL || repeated > SEEDS / 20);
}

/** Runs until the group is served, at most @a us of the model's time. @return whether it is */
static bool run_until_served(struct world *w, struct owner_group *g, int64_t us)
{
	int64_t until_us = model.now + us;

	do
		model_step(w, g);
	while (g->state != OWNER_SERVING && model.now < until_us);
	return g->state == OWNER_SERVING;
}

/** Opens a world whose primary m0 leaves, without faults, and runs until a promotion is ordered. */
static struct owner_group *
run_until_ordered(struct world *w, void (*promote)(const char *member, promoter_done cb, void *arg))
{
	struct owner_group *g = world_serve(w);

	model_reset(w, 0);
	fake.promote = promote;
	while (model.orders == 0)
		model_step(w, g);
	return g;
}

/* Guards against a group without writes while the target of a promotion is cut off. */
static void test_another_member_is_promoted_if_the_target_is_cut_off(void)
{
	struct owner_group *g;
	struct world w;

	g = run_until_ordered(&w, model_promote);
	CU_ASSERT_STRING_EQUAL(g->record.target, "m1");
	model.cut_to_us[1] = INT64_MAX;
	CU_ASSERT_TRUE(run_until_served(&w, g, SUCCESSOR_CUT_OFF_US));
	CU_ASSERT_EQUAL(g->primary, 2);
	close_model(&w);
}

static void refuse(const char *member, promoter_done cb, void *arg)
{
	model.orders++;
	cb(PROMOTER_REFUSED, 409, arg);
}

/* Guards against a group without writes while the promoter refuses the successor. */
static void test_primary_continues_if_the_promotion_is_refused(void)
{
	struct owner_group *g;
	struct world w;

	g = run_until_ordered(&w, refuse);
	CU_ASSERT_TRUE(run_until_served(&w, g, 200 * USEC_PER_MSEC));
	CU_ASSERT_EQUAL(g->primary, 0);
	CU_ASSERT_STRING_EQUAL(g->record.target, "");
	close_model(&w);
}

/** Carries out the first order without an answer, and refuses the others. */
static void refuse_repetition(const char *member, promoter_done cb, void *arg)
{
	if (model.orders > 0) {
		refuse(member, cb, arg);
		return;
	}
	model.orders++;
	model.target = member[1] - '0';
	model.effect_us = model.now + PROMOTE_MAX_US;
	cb(PROMOTER_UNKNOWN, 0, arg);
}

/* Guards against taking the refusal of a repeated order for that of an earlier one. */
static void test_refusal_of_a_repeated_order_does_not_revert_the_first(void)
{
	struct owner_group *g;
	struct world w;

	g = run_until_ordered(&w, refuse_repetition);
	while (model.orders < 2)
		model_step(&w, g);
	CU_ASSERT_FALSE(g->undo.possible);
	CU_ASSERT_FALSE(choose_keeps_primary(g));
	change_cancel(g, "test");
	CU_ASSERT_NOT_EQUAL(g->state, OWNER_SERVING);
	fake.promote = model_promote;
	CU_ASSERT_TRUE(run_until_served(&w, g, SERVED_US));
	CU_ASSERT_NOT_EQUAL(g->primary, 0);
	close_model(&w);
}

/** Carries out the first order; no order gets an answer. */
static void answer_nothing(const char *member, promoter_done cb, void *arg)
{
	if (model.orders++ == 0) {
		model.target = member[1] - '0';
		model.effect_us = model.now + PROMOTE_MAX_US;
	}
	cb(PROMOTER_UNKNOWN, 0, arg);
}

/* Guards against a group without writes while the promoter does not answer. */
static void test_promoted_member_is_served_without_an_answer_to_its_order(void)
{
	struct owner_group *g;
	struct world w;

	g = run_until_ordered(&w, answer_nothing);
	CU_ASSERT_TRUE(run_until_served(&w, g, PROMOTE_MAX_US + 300 * USEC_PER_MSEC));
	CU_ASSERT_NOT_EQUAL(g->primary, 0);
	close_model(&w);
}

static const struct test_case cases[] = {
	{"promoted_member_is_served_without_an_answer_to_its_order",
	 test_promoted_member_is_served_without_an_answer_to_its_order},
	{"another_member_is_promoted_if_the_target_is_cut_off",
	 test_another_member_is_promoted_if_the_target_is_cut_off},
	{"primary_continues_if_the_promotion_is_refused",
	 test_primary_continues_if_the_promotion_is_refused},
	{"refusal_of_a_repeated_order_does_not_revert_the_first",
	 test_refusal_of_a_repeated_order_does_not_revert_the_first},
	{"no_primary_serves_after_its_successor_was_ordered",
	 test_no_primary_serves_after_its_successor_was_ordered},
};
HARNESS_MAIN("order", cases)
