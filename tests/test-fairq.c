/** @file test-fairq.c The request queue of a member. */
#include "fairq.h"
#include "harness.h"

#include <stdlib.h>
#include <string.h>

#define FAR_DEADLINE_US (1000 * USEC_PER_SEC)

struct waiting {
	struct fairq_item item;
	char team[16];
};

static struct fairq_outcome add(struct fairq *q, const char *team, double weight, int64_t deadline,
				int64_t now)
{
	struct waiting *w = calloc(1, sizeof(*w));
	struct fairq_outcome o;

	w->item.deadline_us = deadline;
	strcpy(w->team, team);
	o = fairq_add(q, &w->item, team, weight, now);
	if (o.verdict != FAIRQ_QUEUED)
		free(w);
	return o;
}

/** Removes the next item. @return the first letter of its team's name, or 0 */
static char next(struct fairq *q)
{
	struct waiting *w = (struct waiting *)fairq_next(q);
	char team;

	if (w == NULL)
		return 0;
	team = w->team[0];
	free(w);
	return team;
}

static void drain(struct fairq *q)
{
	while (next(q) != 0)
		;
	fairq_clear(q);
}

static void test_served_by_weight(void)
{
	unsigned big = 0, small = 0;
	struct fairq q;
	int i;

	fairq_init(&q, 1000, 2);
	for (i = 0; i < 200; i++) {
		add(&q, "big", 300, FAR_DEADLINE_US, 0);
		add(&q, "small", 100, FAR_DEADLINE_US, 0);
	}
	for (i = 0; i < 200; i++) {
		if (next(&q) == 'b')
			big++;
		else
			small++;
	}
	CHECK(big >= 148 && big <= 152, "big %u small %u", big, small);
	drain(&q);
}

static void test_earliest_deadline_first(void)
{
	struct fairq_item *first;
	struct fairq q;

	fairq_init(&q, 10, 1);
	add(&q, "t", 1, FAR_DEADLINE_US + 30, 0);
	add(&q, "t", 1, FAR_DEADLINE_US + 10, 0);
	add(&q, "t", 1, FAR_DEADLINE_US + 20, 0);
	first = fairq_next(&q);
	CU_ASSERT_EQUAL(first->deadline_us, FAR_DEADLINE_US + 10);
	free(first);
	drain(&q);
}

/*
 * Guards against a team that sends more than the queue holds and fills it: its excess must be
 * refused as full immediately, and another team must still get its share of the queue.
 */
static void test_one_team_cannot_fill_the_queue(void)
{
	unsigned refused = 0;
	struct fairq q;
	int i;

	fairq_init(&q, 100, 2);
	add(&q, "quiet", 100, FAR_DEADLINE_US, 0);
	for (i = 0; i < 500; i++)
		refused += add(&q, "monday", 100, FAR_DEADLINE_US, 0).verdict == FAIRQ_FULL;
	CHECK(refused >= 450, "%u", refused);
	for (i = 0; i < 40; i++)
		CHECK(add(&q, "quiet", 100, FAR_DEADLINE_US, 0).verdict == FAIRQ_QUEUED, "at %d",
		      i);
	drain(&q);
}

/*
 * A request of a team that sends rarely must be served next although another team has a backlog. A
 * team that empties its queue repeatedly must not get more than its share that way.
 */
static void test_sparse_team_goes_next(void)
{
	unsigned often = 0;
	struct fairq q;
	int i;

	fairq_init(&q, 1000, 2);
	for (i = 0; i < 400; i++)
		add(&q, "monday", 300, FAR_DEADLINE_US, 0);
	for (i = 0; i < 10; i++) {
		next(&q);
		next(&q);
		next(&q);
		add(&q, "desk", 10, FAR_DEADLINE_US, 0);
		CHECK(next(&q) == 'd', "round %d", i);
	}
	for (i = 0; i < 200; i++) {
		add(&q, "often", 100, FAR_DEADLINE_US, 0);
		often += next(&q) == 'o';
	}
	CHECK(often <= 105, "%u of 200", often);
	drain(&q);
}

/* A request whose predicted wait exceeds its deadline is refused immediately, with a retry time. */
static void test_refused_at_once_when_too_late(void)
{
	struct fairq_outcome o;
	struct fairq q;
	int i;

	fairq_init(&q, 100, 1);
	q.service_us = 10000;
	for (i = 0; i < 20; i++)
		add(&q, "t", 1, FAR_DEADLINE_US + i, 0);
	o = add(&q, "t", 1, 100000 + FAR_DEADLINE_US * 0, 0);
	CU_ASSERT_EQUAL(o.verdict, FAIRQ_QUEUED);
	q.service_us = 200000;
	o = add(&q, "t", 1, 100001, 0);
	CU_ASSERT_EQUAL(o.verdict, FAIRQ_TOO_LATE);
	CU_ASSERT_TRUE(o.retry_after_us > 100000);
	drain(&q);
}

static void test_expired_and_removed(void)
{
	struct waiting w = {.item.deadline_us = 50};
	struct fairq q;

	fairq_init(&q, 10, 1);
	q.service_us = 1;
	fairq_add(&q, &w.item, "t", 1, 0);
	CU_ASSERT_PTR_NULL(fairq_expired(&q, 49));
	CU_ASSERT_PTR_EQUAL(fairq_expired(&q, 50), &w.item);
	CU_ASSERT_EQUAL(q.length, 0);
	fairq_add(&q, &w.item, "t", 1, 0);
	fairq_remove(&q, &w.item);
	CU_ASSERT_PTR_NULL(fairq_next(&q));
	fairq_clear(&q);
}

static const struct test_case cases[] = {
	{"served_by_weight", test_served_by_weight},
	{"earliest_deadline_first", test_earliest_deadline_first},
	{"one_team_cannot_fill_the_queue", test_one_team_cannot_fill_the_queue},
	{"refused_at_once_when_too_late", test_refused_at_once_when_too_late},
	{"sparse_team_goes_next", test_sparse_team_goes_next},
	{"expired_and_removed", test_expired_and_removed},
};
HARNESS_MAIN("fairq", cases)
