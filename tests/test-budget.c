/** @file test-budget.c Connections as a budget: what is closed, opened, bounded and granted. */
#include "budget.h"
#include "harness.h"
#include "keep.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Which idle connection is closed for another team */

#define TEAMS 84
#define CONNECTIONS 56
#define ZIPF_EXPONENT 1.2
#define STEP_US (1 * USEC_PER_MSEC)
#define DURATION_S 120
/** Statements before this time fill the connections and are not counted. */
#define WARM_UP_S 20
#define PER_S 40
#define OPEN_US (12 * USEC_PER_MSEC)
#define STATEMENT_US (12 * USEC_PER_MSEC)
/** Every fifth use is a transaction, which holds its connection between its statements. */
#define TRANSACTION_US (120 * USEC_PER_MSEC)

/** Limits of decide/keep.h and src/owner-conn.c: age at which idle connections are closed. */
#define IDLE_CLOSE_US (700 * USEC_PER_MSEC)
#define SLOTS 4

enum policy {
	FURTHEST_USE,
	LEAST_RECENT,
	BY_AGE, /**< least recent; beyond keep_idle_limit() idle connections are closed by age */
};

struct sim_conn {
	unsigned team;
	int64_t until_us; /**< in use until then */
};

struct sim {
	struct sim_conn conn[CONNECTIONS];
	unsigned n, held;
	struct budget_history history;
	struct keep_usage use;
	unsigned statements, opened;
	unsigned of_class[BUDGET_CLASSES], opened_by[BUDGET_CLASSES];
};

static double next_random(void)
{
	return (double)rand() / ((double)RAND_MAX + 1);
}

static unsigned next_team(void)
{
	static double sum[TEAMS];
	double at;
	unsigned i;

	for (i = 0; i < TEAMS && sum[TEAMS - 1] == 0; i++)
		sum[i] = (i > 0 ? sum[i - 1] : 0) + 1 / pow(i + 1, ZIPF_EXPONENT);
	at = next_random() * sum[TEAMS - 1];
	for (i = 0; sum[i] < at; i++)
		;
	return i;
}

/** Teams of all sizes are in each class. */
static unsigned class_of(unsigned team)
{
	return team % 3;
}

static const char *name_of(unsigned team)
{
	static char name[NAME_SIZE];

	g_snprintf(name, sizeof(name), "team-%u", team);
	return name;
}

/** Counts the connections of the team that are in use, or are used before the idle one @a than. */
static unsigned sim_before(const struct sim *s, unsigned team, int64_t now,
			   const struct sim_conn *than)
{
	unsigned i, n = 0;

	for (i = 0; i < s->n; i++) {
		const struct sim_conn *c = &s->conn[i];

		if (c != than && c->team == team &&
		    (c->until_us > now || (than != NULL && c->until_us > than->until_us)))
			n++;
	}
	return n;
}

static struct sim_conn *sim_evict(struct sim *s, enum policy p, int64_t now)
{
	struct sim_conn *best = NULL;
	double best_us = 0;
	unsigned i;

	for (i = 0; i < s->n; i++) {
		struct sim_conn *c = &s->conn[i];
		double us = (double)(now - c->until_us);

		if (c->until_us > now)
			continue;
		if (p == FURTHEST_USE)
			us = budget_spare_us(&s->history, name_of(c->team),
					     sim_before(s, c->team, now, c), now);
		if (best != NULL && us <= best_us)
			continue;
		best = c;
		best_us = us;
	}
	return best;
}

static void sim_statement(struct sim *s, enum policy p, unsigned team, int64_t us, int64_t now)
{
	bool counts = now > WARM_UP_S * USEC_PER_SEC;
	struct sim_conn *c = NULL;
	unsigned i;

	for (i = 0; i < s->n; i++) {
		if (s->conn[i].team == team && s->conn[i].until_us <= now &&
		    (c == NULL || s->conn[i].until_us > c->until_us))
			c = &s->conn[i];
	}
	budget_record_use(&s->history, name_of(team), class_of(team),
			  sim_before(s, team, now, NULL), now);
	s->statements += counts ? 1 : 0;
	s->of_class[class_of(team)] += counts ? 1 : 0;
	if (c == NULL) {
		c = s->n < s->held ? &s->conn[s->n++] : sim_evict(s, p, now);
		if (c == NULL)
			return;
		s->opened += counts ? 1 : 0;
		s->opened_by[class_of(team)] += counts ? 1 : 0;
		c->team = team;
		us += OPEN_US;
	}
	c->until_us = now + us;
}

static void sim_close_by_age(struct sim *s, int64_t now)
{
	struct keep_member k = {.connections = CONNECTIONS - 2, .slots = SLOTS, .users = 1};
	unsigned i, unused = 0;

	for (i = 0; i < s->n; i++)
		unused += s->conn[i].until_us <= now ? 1 : 0;
	keep_record_use(&s->use, s->n - unused, now);
	k.most = keep_peak_use(&s->use);
	for (; unused > keep_idle_limit(&k); unused--) {
		struct sim_conn *oldest = sim_evict(s, LEAST_RECENT, now);

		if (now - oldest->until_us <= IDLE_CLOSE_US)
			return;
		*oldest = s->conn[--s->n];
	}
}

static void simulate(struct sim *s, enum policy p, unsigned held)
{
	static const char *const names[] = {"furthest use", "least recent", "by age"};
	int64_t now;

	memset(s, 0, sizeof(*s));
	s->held = held;
	srand(11);
	for (now = 1; now < DURATION_S * USEC_PER_SEC; now += STEP_US) {
		unsigned team;

		if (p == BY_AGE)
			sim_close_by_age(s, now);
		if (next_random() >= (double)PER_S * STEP_US / USEC_PER_SEC)
			continue;
		team = next_team();
		sim_statement(s, p, team, rand() % 5 == 0 ? TRANSACTION_US : STATEMENT_US, now);
	}
	budget_history_clear(&s->history);
	printf("%s, %u held: %u statements, %u opened (%.1f%%), by class %u of %u, %u of %u, %u of "
	       "%u\n",
	       names[p], held, s->statements, s->opened, 100.0 * s->opened / s->statements,
	       s->opened_by[0], s->of_class[0], s->opened_by[1], s->of_class[1], s->opened_by[2],
	       s->of_class[2]);
}

/*
 * Guards against closing the connections of teams that use a member often because a statement of a
 * rare team came last.
 */
static void test_furthest_use_opens_fewer_than_least_recent(void)
{
	const unsigned held[] = {20, 30, 41};
	struct sim furthest, recent;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(held); i++) {
		simulate(&recent, LEAST_RECENT, held[i]);
		simulate(&furthest, FURTHEST_USE, held[i]);
		CU_ASSERT_TRUE(furthest.opened < recent.opened);
		CU_ASSERT_TRUE(furthest.opened_by[0] < recent.opened_by[0]);
	}
	simulate(&recent, BY_AGE, CONNECTIONS - 4);
}

/*
 * Guards against use averages of teams that are long gone: with more teams than are remembered, the
 * stalest is dropped, and an unknown team is expected last.
 */
static void test_stalest_team_is_forgotten(void)
{
	struct budget_history h = {0};
	unsigned i;

	for (i = 0; i <= BUDGET_TEAMS_MAX; i++)
		budget_record_use(&h, name_of(i), 1, 0, (1 + i) * USEC_PER_SEC);
	CU_ASSERT_EQUAL(h.n, BUDGET_TEAMS_MAX);
	CU_ASSERT_TRUE(budget_next_use_us(&h, name_of(0), 0, 300 * USEC_PER_SEC) >
		       budget_next_use_us(&h, name_of(1), 0, 300 * USEC_PER_SEC));
	CU_ASSERT_EQUAL(budget_urgent_class(&h, 258 * USEC_PER_SEC), 1);
	CU_ASSERT_EQUAL(budget_urgent_class(&h, 300 * USEC_PER_SEC), BUDGET_CLASSES);
	budget_history_clear(&h);
	CU_ASSERT_EQUAL(budget_wanted(&h, 10 * USEC_PER_SEC, 300 * USEC_PER_SEC), 0);
}

/* Guards against statements that are not urgent and use up all connections of a member. */
static void test_share_of_urgent_class_is_left(void)
{
	struct budget_opening o = {
		.limit = 50, .in_use = 45, .urgent_share = 0.1, .urgent_class = 1, .priority = 2};

	CU_ASSERT_FALSE(budget_may_open(&o));
	o.priority = 1;
	CU_ASSERT_TRUE(budget_may_open(&o));
	o.in_use = 50;
	CU_ASSERT_FALSE(budget_may_open(&o));
	/* With one class in use, or a limit of one connection, nothing is set aside. */
	o = (struct budget_opening){
		.limit = 50, .in_use = 49, .urgent_share = 0.1, .urgent_class = 3, .priority = 9};
	CU_ASSERT_TRUE(budget_may_open(&o));
	o = (struct budget_opening){.limit = 1, .urgent_share = 0.5, .priority = 3};
	CU_ASSERT_TRUE(budget_may_open(&o));
}

/* Guards against idle transactions of one team that keep all others from the member. */
static void test_idle_transactions_of_one_team_are_bounded(void)
{
	struct budget_resting r = {.connections = 56, .resting_share = 0.5, .all = 10, .team = 7};

	CU_ASSERT_FALSE(budget_may_begin(&r));
	r.team = 6;
	CU_ASSERT_TRUE(budget_may_begin(&r));
	r = (struct budget_resting){.connections = 56, .resting_share = 0.5, .all = 27, .team = 27};
	CU_ASSERT_TRUE(budget_may_begin(&r));
	r.team = 20;
	r.urgent = true;
	CU_ASSERT_TRUE(budget_may_begin(&r));
	r.all = 28;
	CU_ASSERT_FALSE(budget_may_begin(&r));
}

/* Division of a member's limit */

#define READERS 3
#define RUNS 400
#define RUN_US (20 * USEC_PER_SEC)
#define TICK_US (50 * USEC_PER_MSEC)
#define ASK_US (250 * USEC_PER_MSEC)
#define RESERVE 8

struct model_reader {
	unsigned want, held;
	int64_t ask_us;
	struct budget_allowance allowance;
	unsigned answer; /**< on its way; the next question is asked after it was lost or came */
	int64_t answer_us;
};

struct model {
	struct budget_grants grants;
	struct budget_division d;
	int64_t owner_since_us;
	struct model_reader reader[READERS];
};

static void model_ask(struct model *m, unsigned i, int64_t now)
{
	struct model_reader *r = &m->reader[i];

	if (now < r->ask_us)
		return;
	r->ask_us = now + ASK_US;
	r->want = rand() % 3 == 0 ? (unsigned)rand() % 60 : r->want;
	if (rand() % 4 == 0)
		return;
	r->answer = budget_divide(&m->grants, &m->d, name_of(i), r->want, now);
	r->answer_us = rand() % 4 == 0 ? 0 : now + rand() % (BUDGET_GRANT_US - TICK_US);
	if (r->answer_us > r->ask_us)
		r->ask_us = r->answer_us;
}

static void model_read(struct model_reader *r, int64_t now)
{
	unsigned limit;

	if (r->answer_us != 0 && now >= r->answer_us) {
		r->allowance.granted = r->answer;
		r->allowance.granted_us = now;
		r->answer_us = 0;
	}
	limit = budget_allowed(&r->allowance, BUDGET_UNGRANTED, now);
	r->held = rand() % 2 == 0 ? limit : MIN(r->held, limit);
}

static void model_step(struct model *m, int64_t now)
{
	unsigned i, limit, sum;

	if (rand() % 100 == 0) {
		memset(&m->grants, 0, sizeof(m->grants));
		m->owner_since_us = now;
		m->d.held = 0;
	}
	if (rand() % 100 == 0)
		m->reader[rand() % READERS] = (struct model_reader){.want = 9};
	m->d.settled = now - m->owner_since_us >= BUDGET_COUNT_US;
	m->d.want = rand() % 10 == 0 ? (unsigned)rand() % 60 : m->d.want;
	for (i = 0; i < READERS; i++)
		model_ask(m, i, now);
	limit = budget_owner_limit(&m->grants, &m->d, now);
	/* An owner that just took over needs what its predecessor left free for that. */
	limit = m->d.settled ? limit - MIN(limit, RESERVE) : MIN(limit, RESERVE);
	if (rand() % 2 == 0)
		m->d.held = MAX(m->d.held, MIN(limit, m->d.want));
	else if (m->d.held > 0)
		m->d.held = MIN(m->d.held, limit);
	sum = m->d.held;
	for (i = 0; i < READERS; i++) {
		model_read(&m->reader[i], now);
		sum += m->reader[i].held;
	}
	CHECK(sum <= m->d.connections - BUDGET_PROBE_CONNECTIONS, "%u held at %.2f s", sum,
	      (double)now / USEC_PER_SEC);
}

/*
 * Guards against a member that resets connections over its limit: what the owner and its readers
 * hold adds up to more, after answers were lost or a VM was restarted.
 */
static void test_grants_never_exceed_the_limit(void)
{
	unsigned seed, most = 0;

	for (seed = 1; seed <= RUNS; seed++) {
		struct model m = {.d = {.connections = 56,
					.reserve = RESERVE,
					.floor = 6,
					.readers = READERS,
					.want = 20},
				  .owner_since_us = -BUDGET_COUNT_US};
		int64_t now;

		srand(seed);
		for (now = TICK_US; now < RUN_US; now += TICK_US) {
			model_step(&m, now);
			most = MAX(most, m.reader[0].held);
		}
	}
	/* A reader gets far more than a fixed part while others need less. */
	CHECK(most >= 25, "at most %u", most);
}

/* Guards against a reader that never shrinks, or never gets connections that the owner leaves. */
static void test_wants_are_divided_fairly(void)
{
	struct budget_division d = {.connections = 56,
				    .reserve = 8,
				    .floor = 6,
				    .readers = 1,
				    .held = 10,
				    .want = 10,
				    .settled = true};
	struct budget_grants g = {0};
	struct budget_allowance a = {0};

	CU_ASSERT_FALSE(budget_granting(&g));
	CU_ASSERT_EQUAL(budget_divide(&g, &d, "r", 60, USEC_PER_SEC), 35);
	/* The owner wants its half back: the reader gives it up, the owner gets it 2 s later. */
	d.want = 60;
	CU_ASSERT_EQUAL(budget_divide(&g, &d, "r", 60, 2 * USEC_PER_SEC), 22);
	CU_ASSERT_EQUAL(budget_owner_limit(&g, &d, 2 * USEC_PER_SEC), 18);
	CU_ASSERT_EQUAL(budget_owner_limit(&g, &d, 3 * USEC_PER_SEC), 31);
	CU_ASSERT_EQUAL(budget_expire(&g, 4 * USEC_PER_SEC), 1);
	CU_ASSERT_FALSE(budget_granting(&g));
	/* A reader that lost contact falls to two; with an owner of an older build it reads on. */
	a = (struct budget_allowance){.granted = 22, .granted_us = USEC_PER_SEC};
	CU_ASSERT_EQUAL(budget_allowed(&a, 27, USEC_PER_SEC * 3 / 2), 22);
	CU_ASSERT_EQUAL(budget_allowed(&a, 27, 3 * USEC_PER_SEC), BUDGET_UNGRANTED);
	CU_ASSERT_EQUAL(budget_allowed(&a, 27, 30 * USEC_PER_SEC), 27);
}

static const struct test_case cases[] = {
	{"furthest_use_opens_fewer_than_least_recent",
	 test_furthest_use_opens_fewer_than_least_recent},
	{"stalest_team_is_forgotten", test_stalest_team_is_forgotten},
	{"share_of_urgent_class_is_left", test_share_of_urgent_class_is_left},
	{"idle_transactions_of_one_team_are_bounded",
	 test_idle_transactions_of_one_team_are_bounded},
	{"grants_never_exceed_the_limit", test_grants_never_exceed_the_limit},
	{"wants_are_divided_fairly", test_wants_are_divided_fairly},
};
HARNESS_MAIN("budget", cases)
