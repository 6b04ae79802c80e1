/** @file test-marks.c What is known of the newest acknowledged write. */
#include "harness.h"
#include "marks.h"

#include <stdlib.h>

static struct pos at(uint64_t term, uint64_t lsn)
{
	return (struct pos){term, lsn};
}

static void test_need_is_the_oldest_that_suffices(void)
{
	struct marks m;
	struct pos need;
	int i;

	marks_clear(&m);
	CU_ASSERT_FALSE(marks_need(&m, 0, &need));
	for (i = 1; i <= 10; i++)
		marks_add(&m, at(1, (uint64_t)i * 10), i * 100 * USEC_PER_MSEC);
	CU_ASSERT_TRUE(marks_need(&m, 250 * USEC_PER_MSEC, &need));
	CU_ASSERT_EQUAL(need.lsn, 30);
	CU_ASSERT_TRUE(marks_need(&m, 1000 * USEC_PER_MSEC, &need));
	CU_ASSERT_EQUAL(need.lsn, 100);
}

/*
 * A caller asks for data at most 1.5 s old, and the primary has not answered for longer. What was
 * known then may lack writes acknowledged since by another owner: nothing may be promised.
 */
static void test_old_knowledge_promises_nothing(void)
{
	struct marks m;
	struct pos need;

	marks_clear(&m);
	marks_add(&m, at(1, 5), 100);
	CU_ASSERT_FALSE(marks_need(&m, 101, &need));
	CU_ASSERT_TRUE(marks_need(&m, 100, &need));
}

/*
 * A session wrote record 50 of term 1; the promotion kept 40. No member will ever have 1.50 again,
 * and waiting for it would turn each of the session's reads away. What the new primary began with
 * stands for all that was kept.
 */
static void test_a_discarded_write_is_not_waited_for(void)
{
	struct marks m;
	struct pos need;

	marks_clear(&m);
	marks_add(&m, at(1, 50), 1000);
	marks_new_term(&m, at(1, 40), 2000);
	marks_add(&m, at(2, 41), 3000);
	CU_ASSERT_EQUAL(marks_own(&m, at(2, 41)).lsn, 41);
	CU_ASSERT_EQUAL(marks_own(&m, at(0, 0)).term, 0);
	CU_ASSERT_TRUE(marks_need(&m, 2500, &need));
	CU_ASSERT_EQUAL(need.lsn, 41);
	marks_new_term(&m, at(3, 60), 4000);
	CU_ASSERT_EQUAL(marks_own(&m, at(2, 70)).lsn, 60);
}

/**
 * Answers come late and in another order than their statements were sent. The need for a moment
 * covers all that was committed before it, and is never newer than what the primary has.
 */
static void test_random_order_of_answers(void)
{
	struct marks m;
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
			if (!marks_need(&m, since, &need))
				continue;
			for (k = 0; k <= i && when[k] <= since; k++)
				covered = lsn[k];
			CHECK(need.lsn >= covered, "round %d: %lu for %lu", round, need.lsn,
			      covered);
			CHECK(need.lsn <= top, "round %d", round);
		}
	}
}

static const struct test_case cases[] = {
	{"need_is_the_oldest_that_suffices", test_need_is_the_oldest_that_suffices},
	{"old_knowledge_promises_nothing", test_old_knowledge_promises_nothing},
	{"a_discarded_write_is_not_waited_for", test_a_discarded_write_is_not_waited_for},
	{"random_order_of_answers", test_random_order_of_answers},
};
HARNESS_MAIN("marks", cases)
