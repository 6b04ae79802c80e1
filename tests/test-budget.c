/** @file test-budget.c Connections as a budget: what is closed, opened, bounded and granted. */
#include "budget.h"
#include "harness.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Which idle connection is closed for another team */

#define TEAMS 84
#define CONNECTIONS 56
#define ZIPF_EXPONENT 1.2
#define DURATION_MS 120000
/** Statements before this time fill the connections and are not counted. */
#define WARM_UP_MS 20000
#define PER_S 40
#define OPEN_MS 12
#define STATEMENT_MS 12
#define TRANSACTION_MS 120 /**< every fifth use: holds its connection between statements */

struct sim {
	unsigned team[CONNECTIONS]; /**< of each connection; TEAMS: not opened yet */
	int64_t until_us[CONNECTIONS];
	unsigned held;
	bool by_use; /**< closes the one with the furthest next use, else the least recently used */
	struct budget_history history;
	unsigned statements, opened, opened_urgent;
};

static unsigned next_team(void)
{
	static double sum[TEAMS];
	double at;
	unsigned i;

	for (i = 0; i < TEAMS && sum[TEAMS - 1] == 0; i++)
		sum[i] = (i > 0 ? sum[i - 1] : 0) + 1 / pow(i + 1, ZIPF_EXPONENT);
	at = (double)rand() / RAND_MAX * sum[TEAMS - 1];
	for (i = 0; i < TEAMS - 1 && sum[i] < at; i++)
		;
	return i;
}

static const char *name_of(unsigned team)
{
	static char name[NAME_SIZE];

	g_snprintf(name, sizeof(name), "team-%u", team);
	return name;
}

/** Counts the connections of the team in use, and idle ones that are used before the one at @a c.
 */
static unsigned sim_before(const struct sim *s, unsigned team, int64_t now, int64_t idle_since)
{
	unsigned i, n = 0;

	for (i = 0; i < s->held; i++)
		n += s->team[i] == team && (s->until_us[i] > now || s->until_us[i] > idle_since);
	return n;
}

/** Returns the idle connection with the longest time until its next use, or since its last. */
static unsigned sim_evict(const struct sim *s, int64_t now)
{
	unsigned i, best = CONNECTIONS;
	double best_us = -1;

	for (i = 0; i < s->held; i++) {
		double us = (double)(now - s->until_us[i]);

		if (s->until_us[i] > now)
			continue;
		if (s->by_use)
			us = budget_spare_us(&s->history, name_of(s->team[i]),
					     sim_before(s, s->team[i], now, s->until_us[i]), now);
		if (us > best_us) {
			best = i;
			best_us = us;
		}
	}
	return best;
}

static void sim_statement(struct sim *s, unsigned team, int64_t us, int64_t now)
{
	bool counts = now > WARM_UP_MS * USEC_PER_MSEC;
	unsigned i, c = CONNECTIONS;

	for (i = 0; i < s->held; i++) {
		if (s->team[i] == team && s->until_us[i] <= now &&
		    (c == CONNECTIONS || s->until_us[i] > s->until_us[c]))
			c = i;
	}
	/* Teams of all sizes are in each class. */
	budget_record_use(&s->history, name_of(team), team % 3, sim_before(s, team, now, now), now);
	s->statements += counts ? 1 : 0;
	if (c == CONNECTIONS) {
		c = sim_evict(s, now);
		if (c == CONNECTIONS)
			return;
		s->opened += counts ? 1 : 0;
		s->opened_urgent += counts && team % 3 == 0 ? 1 : 0;
		s->team[c] = team;
		us += OPEN_MS * USEC_PER_MSEC;
	}
	s->until_us[c] = now + us;
}

static void simulate(struct sim *s, bool by_use, unsigned held)
{
	unsigned ms, i;

	*s = (struct sim){.held = held, .by_use = by_use};
	for (i = 0; i < held; i++)
		s->team[i] = TEAMS;
	srand(11);
	for (ms = 1; ms < DURATION_MS; ms++) {
		if (rand() % 1000 < PER_S)
			sim_statement(s, next_team(),
				      (rand() % 5 == 0 ? TRANSACTION_MS : STATEMENT_MS) *
					      USEC_PER_MSEC,
				      ms * USEC_PER_MSEC);
	}
	budget_history_clear(&s->history);
	printf("%u held, %s: %u statements, %u opened, %u in the first class\n", held,
	       by_use ? "furthest use" : "least recent", s->statements, s->opened,
	       s->opened_urgent);
}

/*
 * Guards against closing the connections of teams that use a member often because a statement of a
 * rare team came last.
 */
static void test_furthest_use_opens_fewer_than_least_recent(void)
{
	const unsigned held[] = {20, 30, 41, 53};
	struct sim furthest, recent;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(held); i++) {
		simulate(&recent, false, held[i]);
		simulate(&furthest, true, held[i]);
		CU_ASSERT_TRUE(furthest.opened < recent.opened);
		CU_ASSERT_TRUE(furthest.opened_urgent < recent.opened_urgent);
	}
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

static bool opens(unsigned limit, unsigned in_use, unsigned urgent_class, unsigned priority)
{
	return budget_may_open(
		&(struct budget_opening){limit, in_use, 0.1, urgent_class, priority});
}

/* Guards against statements that are not urgent and use up all connections of a member. */
static void test_share_of_urgent_class_is_left(void)
{
	CU_ASSERT_FALSE(opens(50, 45, 1, 2));
	CU_ASSERT_TRUE(opens(50, 45, 1, 1));
	CU_ASSERT_FALSE(opens(50, 50, 1, 1));
	/* With one class in use, or a limit of one connection, nothing is set aside. */
	CU_ASSERT_TRUE(opens(50, 49, 3, 9));
	CU_ASSERT_TRUE(opens(1, 0, 0, 3));
}

static bool begins(unsigned all, unsigned team, bool urgent)
{
	return budget_may_begin(&(struct budget_resting){56, 0.5, all, team, urgent});
}

/* Guards against idle transactions of one team that keep all others from the member. */
static void test_idle_transactions_of_one_team_are_bounded(void)
{
	CU_ASSERT_FALSE(begins(10, 7, false));
	CU_ASSERT_TRUE(begins(10, 6, false));
	CU_ASSERT_TRUE(begins(27, 27, false));
	CU_ASSERT_TRUE(begins(27, 20, true));
	CU_ASSERT_FALSE(begins(28, 20, true));
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

static unsigned model_read(struct model_reader *r, int64_t now)
{
	unsigned limit;

	if (r->answer_us != 0 && now >= r->answer_us) {
		r->allowance = (struct budget_allowance){.granted = r->answer, .granted_us = now};
		r->answer_us = 0;
	}
	limit = budget_allowed(&r->allowance, BUDGET_UNGRANTED, now);
	r->held = rand() % 2 == 0 ? limit : MIN(r->held, limit);
	return r->held;
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
	m->d.held = rand() % 2 == 0 ? MAX(m->d.held, MIN(limit, m->d.want)) : MIN(m->d.held, limit);
	sum = m->d.held;
	for (i = 0; i < READERS; i++)
		sum += model_read(&m->reader[i], now);
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
