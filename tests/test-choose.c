/** @file test-choose.c The choice of a successor that has every acknowledged commit. */
#include "harness-owner.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

/*
 * Model: m0 is the primary of three members, which take part in replication, crash, leave and fall
 * silent. A commit is acknowledged once a replica has it, if the pool has synchronous replicas.
 */

#define SEEDS 200
#define MEMBERS 3
#define START_LSN 10
/** Longest time from an accepted order to its effect. */
#define PROMOTE_MAX_US (1200 * USEC_PER_MSEC)
/** Time within which a group is served again once nothing is wrong any more. */
#define SERVED_US (8 * USEC_PER_SEC)

struct model_member {
	bool primary;
	uint64_t term, lsn;
	int64_t down_to_us;		      /**< its process has ended until then */
	int64_t silent_from_us, silent_to_us; /**< the owner does not reach it meanwhile */
	int64_t deaf_to_us;		      /**< it receives nothing until then */
};

static struct {
	int64_t now;
	struct model_member member[MEMBERS];
	uint64_t acknowledged, newest_term;
	int64_t crash_us; /**< when m0 crashes, for down_us */
	int64_t down_us;
	int target; /**< of the promotion in progress; -1: none */
	int64_t effect_us;
	int64_t promoted_us; /**< of the first promotion; 0: none */
	int first;	     /**< member of the first promotion */
	unsigned refusals;   /**< orders that are refused before one is accepted */
	bool writes;
	int seed;
} model;

static int64_t model_now(void)
{
	return model.now;
}

static bool is_up(const struct model_member *m)
{
	return model.now >= m->down_to_us;
}

static bool is_reached(const struct model_member *m)
{
	return is_up(m) && (model.now < m->silent_from_us || model.now >= m->silent_to_us);
}

static void model_promote(const char *member, promoter_done cb, void *arg)
{
	if (model.refusals > 0 || !is_up(&model.member[member[1] - '0'])) {
		model.refusals -= model.refusals > 0;
		cb(PROMOTER_REFUSED, 409, arg);
		return;
	}
	if (model.target < 0 && !model.member[member[1] - '0'].primary) {
		model.target = member[1] - '0';
		model.effect_us = model.now + (200 + rand() % 1000) * USEC_PER_MSEC;
	}
	cb(PROMOTER_ACCEPTED, 200, arg);
}

/** Carries out a promotion that is due. The others follow, and lose what the new primary lacks. */
static void model_promotes(unsigned sync)
{
	struct model_member *m;
	int i;

	if (model.target < 0 || model.now < model.effect_us)
		return;
	m = &model.member[model.target];
	CHECK(sync == 0 || m->lsn >= model.acknowledged,
	      "seed %d: m%d is promoted at lsn %lu, acknowledged %lu", model.seed, model.target,
	      m->lsn, model.acknowledged);
	if (model.promoted_us == 0) {
		model.promoted_us = model.now;
		model.first = model.target;
	}
	model.target = -1;
	model.newest_term++;
	for (i = 0; i < MEMBERS; i++) {
		model.member[i].primary = m == &model.member[i];
		model.member[i].term = model.newest_term;
		model.member[i].lsn = MIN(model.member[i].lsn, m->lsn);
	}
}

static void model_replicate(const struct owner_group *g)
{
	struct model_member *p = NULL;
	uint64_t received = 0;
	int i;

	for (i = 0; i < MEMBERS; i++) {
		if (model.member[i].primary)
			p = &model.member[i];
	}
	if (!is_up(p))
		return;
	for (i = 0; i < MEMBERS; i++) {
		struct model_member *m = &model.member[i];

		if (m == p)
			continue;
		if (is_up(m) && model.now >= m->deaf_to_us)
			m->lsn = p->lsn;
		received = MAX(received, m->lsn);
	}
	model.acknowledged = MAX(model.acknowledged, g->sync > 0 ? received : p->lsn);
	if (model.writes && is_reached(p) && g->state == OWNER_SERVING &&
	    &model.member[g->primary] == p)
		p->lsn += (uint64_t)(rand() % 2);
}

/** Closes a connection to a member whose process has ended. */
static void model_refuse(struct fake_conn *f)
{
	f->closed = true;
	if (f->opened != NULL)
		f->opened(&f->conn, MEMBER_LOST, (struct pos){0}, f->arg);
	else if (f->order_done != NULL)
		f->order_done(&f->conn, MEMBER_LOST, NULL, f->arg);
	else
		f->ended(&f->conn, f->arg);
}

static void model_answer_probes(void)
{
	unsigned i, n = fake.n_conns;

	for (i = 0; i < n; i++) {
		struct fake_conn *f = fake.conns[i];
		const struct model_member *m = &model.member[f->id[1] - '0'];
		struct member_status st = {.primary = m->primary, .term = m->term};

		if (f->closed)
			continue;
		st.received = (struct pos){m->term, m->lsn};
		if (!is_up(m))
			model_refuse(f);
		else if (is_reached(m))
			fake_probe_answer(f, &st);
	}
}

static void model_step(struct world *w, struct owner_group *g)
{
	model.now += (5 + rand() % 10) * USEC_PER_MSEC;
	store_source.lease_until_us = model.now + 10 * USEC_PER_SEC;
	if (model.crash_us != 0 && model.now >= model.crash_us) {
		model.member[0].down_to_us = model.now + model.down_us;
		model.crash_us = 0;
	}
	model_promotes(g->sync);
	model_replicate(g);
	model_answer_probes();
	claim_tick(g, model.now);
	watch_tick(g, model.now);
	change_tick(g, model.now);
	world_run_once(w);
}

static void model_run(struct world *w, struct owner_group *g, int64_t us)
{
	int64_t until_us = model.now + us;

	while (model.now < until_us)
		model_step(w, g);
}

static void set_sync(struct conf_pool *pool, const char *member)
{
	pool->sync = 1;
}

/** Opens a world whose VM serves the group, with @a sync synchronous replicas. */
static struct owner_group *model_begin(struct world *w, unsigned sync, int seed)
{
	struct owner_group *g = world_serve(w);
	int i;

	memset(&model, 0, sizeof(model));
	srand((unsigned)seed);
	model.seed = seed;
	model.now = now_us();
	model.down_us = INT64_MAX / 2;
	model.target = -1;
	model.newest_term = 1;
	for (i = 0; i < MEMBERS; i++)
		model.member[i] =
			(struct model_member){.primary = i == 0, .term = 1, .lsn = START_LSN};
	kernel_set_clock(model_now);
	fake.promote = model_promote;
	if (sync > 0)
		world_configure(w, set_sync, "");
	model.writes = true;
	model_run(w, g, USEC_PER_SEC);
	return g;
}

static void model_end(struct world *w)
{
	log_flush();
	world_close(w);
	kernel_set_clock(NULL);
}

/** m2 falls behind for @a us, then the primary crashes. */
static void crash_with_one_deaf(struct world *w, struct owner_group *g, int64_t us)
{
	model.member[2].deaf_to_us = model.now + us;
	model_run(w, g, 2 * USEC_PER_SEC);
	model.crash_us = model.now;
}

/*
 * Guards against losing acknowledged commits which only a replica that is leaving has received.
 */
static void test_a_leaving_member_that_alone_has_the_commits_is_promoted(void)
{
	unsigned sync;

	for (sync = 0; sync <= 1; sync++) {
		struct owner_group *g;
		struct world w;

		g = model_begin(&w, sync, 1);
		set_leaving(&w, "m1");
		crash_with_one_deaf(&w, g, 4 * USEC_PER_SEC);
		model_run(&w, g, 2 * USEC_PER_SEC);
		CU_ASSERT_EQUAL(model.first, 1);
		CU_ASSERT_NOT_EQUAL(model.promoted_us, 0);
		/* It leaves after its commits have reached another member. */
		model_run(&w, g, SERVED_US);
		CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
		CU_ASSERT_EQUAL(g->primary, 2);
		CU_ASSERT_TRUE(model.member[2].lsn >= model.acknowledged);
		model_end(&w);
	}
}

/* Guards against promoting a leaving member, which has to be replaced again, without need. */
static void test_a_leaving_member_is_passed_over_if_another_has_its_commits(void)
{
	struct owner_group *g;
	struct world w;

	g = model_begin(&w, 1, 1);
	set_leaving(&w, "m1");
	model.writes = false;
	crash_with_one_deaf(&w, g, 0);
	model_run(&w, g, 3 * USEC_PER_SEC);
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	CU_ASSERT_EQUAL(g->primary, 2);
	model_end(&w);
}

/* Guards against losing acknowledged commits while the only member that has them is cut off. */
static void test_a_choice_waits_for_the_member_that_has_the_commits(void)
{
	struct owner_group *g;
	struct world w;

	g = model_begin(&w, 1, 1);
	crash_with_one_deaf(&w, g, 30 * USEC_PER_SEC);
	model.member[1].silent_to_us = model.now + 15 * USEC_PER_SEC;
	model_run(&w, g, 14 * USEC_PER_SEC);
	CU_ASSERT_EQUAL(model.promoted_us, 0);
	CU_ASSERT_TRUE(g->choice_waits);
	model_run(&w, g, 3 * USEC_PER_SEC);
	CU_ASSERT_EQUAL(model.first, 1);
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	model_end(&w);
}

/* Guards against a promotion that discards what the primary has after its restart. */
static void test_a_primary_that_restarts_ends_the_wait(void)
{
	struct owner_group *g;
	struct world w;

	g = model_begin(&w, 1, 1);
	crash_with_one_deaf(&w, g, 30 * USEC_PER_SEC);
	model.down_us = 7 * USEC_PER_SEC;
	model.member[1].silent_to_us = model.now + 15 * USEC_PER_SEC;
	model_run(&w, g, 8 * USEC_PER_SEC);
	CU_ASSERT_EQUAL(model.promoted_us, 0);
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	CU_ASSERT_EQUAL(g->primary, 0);
	model_end(&w);
}

/* Guards against a group that never has a primary again after the members with the commits ended.
 */
static void test_the_wait_for_commits_is_bounded(void)
{
	struct owner_group *g;
	struct world w;

	g = model_begin(&w, 1, 1);
	crash_with_one_deaf(&w, g, 60 * USEC_PER_SEC);
	model.member[1].down_to_us = INT64_MAX;
	/* The model would report the loss. */
	model.acknowledged = 0;
	model_run(&w, g, SUCCESSION_SYNC_TIMEOUT_US - 500 * USEC_PER_MSEC);
	CU_ASSERT_EQUAL(model.promoted_us, 0);
	model_run(&w, g, 500 * USEC_PER_MSEC + PROMOTE_MAX_US + USEC_PER_SEC);
	CU_ASSERT_EQUAL(model.first, 2);
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	model_end(&w);
}

/*
 * Guards against waiting for a commit that the primary reported before any replica had it, so that
 * it was not acknowledged: the logs of all other members show so.
 */
static void test_unacknowledged_commits_do_not_hold_up_a_choice(void)
{
	struct owner_group *g;
	struct world w;

	g = model_begin(&w, 1, 1);
	model.member[1].deaf_to_us = model.now + 30 * USEC_PER_SEC;
	crash_with_one_deaf(&w, g, 30 * USEC_PER_SEC);
	model_run(&w, g, PROMOTE_MAX_US + USEC_PER_SEC);
	CU_ASSERT_TRUE(model.member[0].lsn >= model.acknowledged);
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	model_end(&w);
}

/* Guards against passing over the only member that has the commits after a refused promotion. */
static void test_a_refused_member_that_alone_has_the_commits_is_chosen_again(void)
{
	struct owner_group *g;
	struct world w;

	g = model_begin(&w, 1, 1);
	crash_with_one_deaf(&w, g, 30 * USEC_PER_SEC);
	model.refusals = 3;
	model_run(&w, g, 5 * USEC_PER_SEC);
	CU_ASSERT_EQUAL(model.refusals, 0);
	CU_ASSERT_EQUAL(model.first, 1);
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	model_end(&w);
}

/*
 * Guards against forgetting commits that a leaving primary acknowledged after its replacement was
 * begun, while its open transactions ended.
 */
static void test_commits_of_a_planned_change_count_when_the_primary_falls_silent(void)
{
	struct owner_group *g;
	struct world w;
	uint64_t known;

	g = model_begin(&w, 0, 1);
	model.writes = false;
	set_leaving(&w, "m0");
	change_begin(g, true, "test");
	known = g->succession.acknowledged.lsn;
	watch_answered(&g->member[0], (struct pos){1, known + 5}, model.now);
	model.crash_us = model.now;
	model_run(&w, g, 600 * USEC_PER_MSEC);
	CU_ASSERT_FALSE(g->planned);
	CU_ASSERT_EQUAL(g->succession.acknowledged.lsn, known + 5);
	model_end(&w);
}

/** Sets faults that are over within 10 s of the crash of the primary. */
static void add_random_faults(struct world *w)
{
	int i;

	model.crash_us = model.now + rand() % 4000 * USEC_PER_MSEC;
	model.down_us = (rand() % 2 == 0 ? 1000 + rand() % 8000 : 60000) * USEC_PER_MSEC;
	model.refusals = rand() % 4 == 0 ? 1 + (unsigned)(rand() % 3) : 0;
	for (i = 1; i < MEMBERS; i++) {
		if (rand() % 2 == 0) {
			model.member[i].silent_from_us =
				model.crash_us + (rand() % 4000 - 3500) * USEC_PER_MSEC;
			model.member[i].silent_to_us =
				model.crash_us + rand() % 8000 * USEC_PER_MSEC;
		}
		if (rand() % 2 == 0)
			model.member[i].deaf_to_us = model.now + rand() % 10000 * USEC_PER_MSEC;
		if (rand() % 4 == 0)
			model.member[i].down_to_us = model.now + rand() % 8000 * USEC_PER_MSEC;
	}
	if (rand() % 2 == 0)
		set_leaving(w, rand() % 2 == 0 ? "m1" : "m2");
}

/* Guards against a promotion that discards a commit which a synchronous replica had received. */
static void test_no_commit_of_a_synchronous_replica_is_lost(void)
{
	unsigned promoted = 0, waited = 0;
	int seed;

	for (seed = 0; seed < SEEDS; seed++) {
		struct owner_group *g;
		struct world w;

		if (getenv("SEED") != NULL && atoi(getenv("SEED")) != seed)
			continue;
		g = model_begin(&w, 1, seed);
		add_random_faults(&w);
		model_run(&w, g, 14 * USEC_PER_SEC + SERVED_US);
		CHECK(g->state == OWNER_SERVING, "seed %d: state %d at the end", seed, g->state);
		promoted += model.promoted_us != 0;
		waited += g->choice_waits;
		model_end(&w);
	}
	printf("%u with a promotion, %u waited for a log\n", promoted, waited);
	CU_ASSERT_TRUE(getenv("SEED") != NULL || (promoted > SEEDS / 2 && waited > SEEDS / 20));
}

static const struct test_case cases[] = {
	{"a_leaving_member_that_alone_has_the_commits_is_promoted",
	 test_a_leaving_member_that_alone_has_the_commits_is_promoted},
	{"a_leaving_member_is_passed_over_if_another_has_its_commits",
	 test_a_leaving_member_is_passed_over_if_another_has_its_commits},
	{"a_choice_waits_for_the_member_that_has_the_commits",
	 test_a_choice_waits_for_the_member_that_has_the_commits},
	{"a_primary_that_restarts_ends_the_wait", test_a_primary_that_restarts_ends_the_wait},
	{"the_wait_for_commits_is_bounded", test_the_wait_for_commits_is_bounded},
	{"unacknowledged_commits_do_not_hold_up_a_choice",
	 test_unacknowledged_commits_do_not_hold_up_a_choice},
	{"a_refused_member_that_alone_has_the_commits_is_chosen_again",
	 test_a_refused_member_that_alone_has_the_commits_is_chosen_again},
	{"commits_of_a_planned_change_count_when_the_primary_falls_silent",
	 test_commits_of_a_planned_change_count_when_the_primary_falls_silent},
	{"no_commit_of_a_synchronous_replica_is_lost",
	 test_no_commit_of_a_synchronous_replica_is_lost},
};
HARNESS_MAIN("choose", cases)
