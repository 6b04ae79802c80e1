/**
 * @file test-failover.c The promoter's state machine, alone and with a competing promoter, with
 * lost orders and answers.
 */
#include "failover.h"
#include "harness.h"

#include <stdlib.h>
#include <string.h>

#define START_US (10 * USEC_PER_SEC)

static struct member_report report(bool primary, uint64_t seen, uint64_t term, uint64_t lsn)
{
	struct member_report r = {.primary = primary, .seen_term = seen, .received = {term, lsn}};

	return r;
}

static struct group_view group_with_primary_a(void)
{
	const char *names[] = {"a", "b", "c"};
	struct member_report a = report(true, 1, 1, 10), b = report(false, 1, 1, 9),
			     c = report(false, 1, 1, 10);
	struct group_view g;

	group_init(&g, "pool");
	group_set_members(&g, names, 3);
	group_report(&g, 0, &a, START_US);
	group_report(&g, 1, &b, START_US);
	group_report(&g, 2, &c, START_US);
	return g;
}

static void test_no_failover_while_the_primary_is_up(void)
{
	struct group_view g = group_with_primary_a();
	struct failover f = {0};

	CU_ASSERT_EQUAL(failover_tick(&f, &g, 0, 1, START_US + 5 * USEC_PER_SEC).act,
			FAILOVER_NOTHING);
}

static void test_no_failover_before_the_first_report(void)
{
	const char *names[] = {"a", "b", "c"};
	struct failover f = {0};
	struct group_view g;

	group_init(&g, "pool");
	group_set_members(&g, names, 3);
	CU_ASSERT_EQUAL(failover_tick(&f, &g, 0, 1, START_US).act, FAILOVER_NOTHING);
}

/*
 * A primary goes down: the promoter fences every member, promotes the newest log of a majority, and
 * attaches the other members to the new primary.
 */
static void test_promotes_highest_log(void)
{
	struct group_view g = group_with_primary_a();
	struct failover f = {0};
	struct failover_order o;
	int64_t now = START_US;

	group_unreachable(&g, 0, MEMBER_DOWN, now);
	CU_ASSERT_EQUAL(failover_tick(&f, &g, 0, 1, now).act, FAILOVER_NOTHING);
	now += FAILOVER_DOWN_TIMEOUT_US;
	o = failover_tick(&f, &g, 0, 1, now);
	CU_ASSERT_EQUAL(o.act, FAILOVER_FENCE);
	CU_ASSERT_EQUAL(o.term, 2);
	CU_ASSERT_EQUAL(failover_fenced(&f, &g, 1, 2, true, (struct pos){1, 9}, now).act,
			FAILOVER_NOTHING);
	/* A repeated answer counts as one pledge. */
	CU_ASSERT_EQUAL(failover_fenced(&f, &g, 1, 2, true, (struct pos){1, 9}, now).act,
			FAILOVER_NOTHING);
	o = failover_fenced(&f, &g, 2, 2, true, (struct pos){1, 10}, now);
	CU_ASSERT_EQUAL(o.act, FAILOVER_PROMOTE);
	CU_ASSERT_EQUAL(o.member, 2);
	o = failover_promoted(&f, 2, true, now);
	CU_ASSERT_EQUAL(o.act, FAILOVER_ATTACH);
	CU_ASSERT_EQUAL(o.member, 2);
}

/*
 * Guards against a promoter that fences the primary it has just promoted, because its view still
 * shows the failed one until the first report of the new primary.
 */
static void test_no_failover_before_the_new_primary_reports(void)
{
	struct group_view g = group_with_primary_a();
	struct failover f = {0};
	int64_t now = START_US + FAILOVER_DOWN_TIMEOUT_US;

	group_unreachable(&g, 0, MEMBER_DOWN, START_US);
	failover_tick(&f, &g, 0, 1, now);
	failover_fenced(&f, &g, 1, 2, true, (struct pos){1, 9}, now);
	failover_fenced(&f, &g, 2, 2, true, (struct pos){1, 10}, now);
	failover_promoted(&f, 2, true, now);
	CU_ASSERT_EQUAL(failover_tick(&f, &g, 0, 1, now + 200 * USEC_PER_MSEC).act,
			FAILOVER_NOTHING);
}

static void test_late_answers_are_ignored(void)
{
	struct group_view g = group_with_primary_a();
	struct failover f = {0};
	int64_t now = START_US + FAILOVER_DOWN_TIMEOUT_US;

	group_unreachable(&g, 0, MEMBER_DOWN, START_US);
	failover_tick(&f, &g, 0, 1, now);
	failover_tick(&f, &g, 0, 1, now + FAILOVER_PHASE_TIMEOUT_US + 1);
	now += 2 * FAILOVER_PHASE_TIMEOUT_US;
	CU_ASSERT_EQUAL(failover_tick(&f, &g, 0, 1, now).term, 3);
	CU_ASSERT_EQUAL(failover_fenced(&f, &g, 1, 2, true, (struct pos){1, 9}, now).act,
			FAILOVER_NOTHING);
	CU_ASSERT_EQUAL(failover_fenced(&f, &g, 2, 2, true, (struct pos){1, 9}, now).act,
			FAILOVER_NOTHING);
	CU_ASSERT_EQUAL(f.granted, 0);
}

static void test_second_promoter_waits(void)
{
	struct group_view g = group_with_primary_a();
	struct failover f = {0};

	group_unreachable(&g, 0, MEMBER_DOWN, START_US);
	CU_ASSERT_EQUAL(failover_tick(&f, &g, 1, 1, START_US + FAILOVER_DOWN_TIMEOUT_US).act,
			FAILOVER_NOTHING);
	CU_ASSERT_EQUAL(failover_tick(&f, &g, 1, 1, START_US + FAILOVER_DOWN_TIMEOUT_US * 5).act,
			FAILOVER_FENCE);
}

/* Model of a member: how a database must react to orders. */
struct member {
	uint64_t seen;
	bool primary;
	struct pos log[400];
	unsigned len;
};

/** @return whether the member pledges */
static bool member_follow(struct member *m, uint64_t term)
{
	if (term <= m->seen)
		return false;
	m->seen = term;
	m->primary = false;
	return true;
}

static void member_promote(struct member *m, uint64_t term)
{
	if (m->seen != term || m->primary)
		return;
	m->primary = true;
	m->log[m->len] = (struct pos){term, m->len + 1};
	m->len++;
}

static struct pos member_pos(const struct member *m)
{
	return m->len > 0 ? m->log[m->len - 1] : (struct pos){0};
}

/** Copies the log of primary @a from to @a to if both are in the same term. */
static void replicate(const struct member *from, struct member *to)
{
	if (!from->primary || to->seen != from->seen || to->primary)
		return;
	memcpy(to->log, from->log, sizeof(to->log));
	to->len = from->len;
}

/*
 * Random steps: writes on every primary, replication to some members, acknowledgement by majority,
 * and two promoters whose orders and answers are lost at random. An acknowledged record must be in
 * the log of every later primary.
 */
static void random_run(unsigned seed)
{
	struct pos acked[400];
	unsigned n_acked = 0, step, i, j;
	struct member m[3] = {{.seen = 1}, {.seen = 1}, {.seen = 1}};
	struct group_view g = group_with_primary_a();
	struct failover f[2] = {{0}, {0}};
	int64_t now = START_US;

	srand(seed);
	member_promote(&m[0], 1);
	group_unreachable(&g, 0, MEMBER_DOWN, START_US);
	for (step = 0; step < 300; step++) {
		struct failover *p = &f[rand() % 2];
		struct failover_order o = {0};

		now += 100 * USEC_PER_MSEC;
		for (i = 0; i < 3; i++) {
			unsigned has = 1;

			if (!m[i].primary || rand() % 2 || m[i].len >= 390)
				continue;
			m[i].log[m[i].len] = (struct pos){m[i].seen, m[i].len + 1};
			m[i].len++;
			for (j = 0; j < 3; j++) {
				if (j == i || rand() % 2)
					continue;
				replicate(&m[i], &m[j]);
				has += m[j].seen == m[i].seen && m[j].len == m[i].len &&
				       !m[j].primary;
			}
			if (has >= 2)
				acked[n_acked++] = member_pos(&m[i]);
		}
		for (i = 0; i < 3; i++) {
			struct member_report r =
				report(false, m[i].seen, member_pos(&m[i]).term, m[i].len);

			if (rand() % 2)
				group_report(&g, (int)i, &r, now);
		}
		o = failover_tick(p, &g, 0, (uint64_t)rand(), now);
		for (i = 0; o.act == FAILOVER_FENCE && i < 3; i++) {
			struct failover_order next;
			bool ok;

			if (rand() % 4 == 0)
				continue;
			ok = member_follow(&m[i], o.term);
			if (rand() % 4 == 0)
				continue;
			next = failover_fenced(p, &g, (int)i, o.term, ok, member_pos(&m[i]), now);
			if (next.act == FAILOVER_PROMOTE && rand() % 4 != 0) {
				member_promote(&m[next.member], next.term);
				failover_promoted(p, next.term, rand() % 2, now);
			}
		}
		for (i = 0; i < 3; i++) {
			bool highest = m[i].primary;

			for (j = 0; j < 3; j++)
				highest = highest &&
					  (j == i || !m[j].primary || m[j].seen < m[i].seen);
			for (j = 0; highest && j < n_acked; j++) {
				const struct pos *at = &m[i].log[acked[j].lsn - 1];

				/*
				 * A primary of an earlier term that is not fenced yet cannot get
				 * further writes acknowledged.
				 */
				if (acked[j].term > m[i].seen ||
				    (acked[j].lsn <= m[i].len && at->term == acked[j].term))
					continue;
				CHECK(false, "seed %u step %u: primary of term %lu lacks %lu/%lu",
				      seed, step, m[i].seen, acked[j].term, acked[j].lsn);
				return;
			}
		}
	}
}

static void test_acknowledged_writes_survive_failovers(void)
{
	unsigned seed;

	for (seed = 1; seed <= 3000 && CU_get_number_of_failures() == 0; seed++)
		random_run(seed);
}

/*
 * Guards against losing writes of a pool that acknowledges them at the word of its primary, which
 * waits for one of four replicas: a majority of members may all lack them.
 */
static void test_pledges_include_a_synchronous_replica(void)
{
	const char *names[] = {"a", "b", "c", "d", "e"};
	struct member_report r = report(true, 1, 1, 10);
	struct group_view g;
	struct failover f = {0};
	int64_t now = START_US;
	int i;

	group_init(&g, "pool");
	group_set_members(&g, names, 5);
	g.sync = 1;
	group_report(&g, 0, &r, START_US);
	group_unreachable(&g, 0, MEMBER_DOWN, now);
	now += FAILOVER_DOWN_TIMEOUT_US;
	CU_ASSERT_EQUAL(failover_tick(&f, &g, 0, 1, now).act, FAILOVER_FENCE);
	for (i = 1; i <= 3; i++)
		CU_ASSERT_EQUAL(failover_fenced(&f, &g, i, 2, true, (struct pos){1, 7}, now).act,
				FAILOVER_NOTHING);
	CU_ASSERT_EQUAL(failover_fenced(&f, &g, 4, 2, true, (struct pos){1, 10}, now).member, 4);
}

static const struct test_case cases[] = {
	{"pledges_include_a_synchronous_replica", test_pledges_include_a_synchronous_replica},
	{"no_failover_while_the_primary_is_up", test_no_failover_while_the_primary_is_up},
	{"no_failover_before_the_first_report", test_no_failover_before_the_first_report},
	{"promotes_highest_log", test_promotes_highest_log},
	{"no_failover_before_the_new_primary_reports",
	 test_no_failover_before_the_new_primary_reports},
	{"late_answers_are_ignored", test_late_answers_are_ignored},
	{"second_promoter_waits", test_second_promoter_waits},
	{"acknowledged_writes_survive_failovers", test_acknowledged_writes_survive_failovers},
};
HARNESS_MAIN("failover", cases)
