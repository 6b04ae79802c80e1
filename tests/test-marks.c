/** @file test-marks.c High-water marks of the primary's log over time. */
#include "harness.h"
#include "marks.h"

#include <stdlib.h>

static struct pos at(uint64_t term, uint64_t lsn)
{
	return (struct pos){term, lsn};
}

static void test_oldest_sufficient_mark_is_required(void)
{
	struct marks m = {0};
	struct pos need;
	int i;

	marks_clear(&m);
	CU_ASSERT_FALSE(marks_required(&m, 0, &need));
	for (i = 1; i <= 10; i++)
		marks_add(&m, at(1, (uint64_t)i * 10), i * 100 * USEC_PER_MSEC);
	CU_ASSERT_TRUE(marks_required(&m, 250 * USEC_PER_MSEC, &need));
	CU_ASSERT_EQUAL(need.lsn, 30);
	CU_ASSERT_TRUE(marks_required(&m, 1000 * USEC_PER_MSEC, &need));
	CU_ASSERT_EQUAL(need.lsn, 100);
	marks_free(&m);
}

/*
 * Guards against a read that is served with data older than its maximum age: the primary has not
 * answered within that age, so the last known position may lack writes that another owner has
 * acknowledged since.
 */
static void test_outdated_mark_is_not_sufficient(void)
{
	struct marks m = {0};
	struct pos need;

	marks_clear(&m);
	marks_add(&m, at(1, 5), 100);
	CU_ASSERT_FALSE(marks_required(&m, 101, &need));
	CU_ASSERT_TRUE(marks_required(&m, 100, &need));
	marks_free(&m);
}

/*
 * Guards against a session whose reads are all refused after a promotion discarded its write: the
 * session wrote record 50 of term 1, the promotion kept records up to 40, and no member will ever
 * reach position 1.50. The first position of the new primary is required instead.
 */
static void test_a_discarded_write_is_not_required(void)
{
	struct marks m = {0};
	struct pos need;

	marks_clear(&m);
	marks_add(&m, at(1, 50), 1000);
	marks_new_term(&m, at(1, 40), 2000);
	marks_add(&m, at(2, 41), 3000);
	CU_ASSERT_EQUAL(marks_in_current_term(&m, at(2, 41)).lsn, 41);
	CU_ASSERT_EQUAL(marks_in_current_term(&m, at(0, 0)).term, 0);
	CU_ASSERT_TRUE(marks_required(&m, 2500, &need));
	CU_ASSERT_EQUAL(need.lsn, 41);
	marks_new_term(&m, at(3, 60), 4000);
	CU_ASSERT_EQUAL(marks_in_current_term(&m, at(2, 70)).lsn, 60);
	marks_free(&m);
}

/**
 * Answers arrive late and in a different order than their statements were sent. The position
 * required for a point in time must cover everything committed before it, and must never be above
 * the primary's position.
 */
static void test_random_order_of_answers(void)
{
	struct marks m = {0};
	int64_t when[400];
	uint64_t lsn[400];
	int round, i;

	for (round = 0; round < 200; round++) {
		int64_t now = 0;
		uint64_t top = 1;

		srand((unsigned)round);
		marks_clear(&m);
		for (i = 0; i < 400; i++) {
			uint64_t covered = 0;
			struct pos need;
			int64_t since;
			int k;

			now += rand() % 20000;
			top += (uint64_t)(rand() % 3);
			when[i] = now;
			lsn[i] = top;
			marks_add(&m, at(1, top), now - rand() % 30000);
			since = now - rand() % 3000000;
			if (!marks_required(&m, since, &need))
				continue;
			for (k = 0; k <= i && when[k] <= since; k++)
				covered = lsn[k];
			CHECK(need.lsn >= covered, "round %d: %lu for %lu", round, need.lsn,
			      covered);
			CHECK(need.lsn <= top, "round %d", round);
		}
	}
	marks_free(&m);
}

static const struct test_case cases[] = {
	{"oldest_sufficient_mark_is_required", test_oldest_sufficient_mark_is_required},
	{"outdated_mark_is_not_sufficient", test_outdated_mark_is_not_sufficient},
	{"a_discarded_write_is_not_required", test_a_discarded_write_is_not_required},
	{"random_order_of_answers", test_random_order_of_answers},
};
HARNESS_MAIN("marks", cases)
