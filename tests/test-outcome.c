/** @file test-outcome.c Retries and refusals. */
#include "harness.h"
#include "outcome.h"

#include <string.h>

#define FAR_DEADLINE_US (100 * USEC_PER_SEC)

static enum next_step next(enum outcome o, bool write, bool tx)
{
	struct retry_state r = {
		.write = write, .in_transaction = tx, .deadline_us = FAR_DEADLINE_US};

	return outcome_next(o, &r, 0, 0).step;
}

/* Guards against a write that takes effect twice: if its answer was lost, it may have run. */
static void test_lost_write_is_never_repeated(void)
{
	CU_ASSERT_EQUAL(next(OUTCOME_LOST, true, false), STEP_REFUSE);
	CU_ASSERT_EQUAL(next(OUTCOME_NOT_CONFIRMED, true, false), STEP_REFUSE);
	CU_ASSERT_EQUAL(next(OUTCOME_LOST, false, false), STEP_RETRY);
	CU_ASSERT_FALSE(outcome_text(OUTCOME_LOST)->not_run);
	CU_ASSERT_STRING_EQUAL(outcome_text(OUTCOME_LOST)->sqlstate, "08007");
}

static void test_what_did_not_run_is_retried(void)
{
	static const enum outcome retried[] = {OUTCOME_NOT_PRIMARY, OUTCOME_BEHIND,
					       OUTCOME_NO_CONNECTION, OUTCOME_NOT_SENT,
					       OUTCOME_LEAVING};
	unsigned i;

	for (i = 0; i < sizeof(retried) / sizeof(retried[0]); i++) {
		CHECK(next(retried[i], true, false) != STEP_REFUSE, "%d", (int)retried[i]);
		CHECK(outcome_text(retried[i])->not_run, "%d", (int)retried[i]);
		CHECK(next(retried[i], true, true) == STEP_REFUSE, "in a transaction: %d",
		      (int)retried[i]);
	}
}

/*
 * Every outcome has a name and an SQLSTATE. "not run" must not be set for an unknown outcome
 * (08007), after which the statement may have had an effect.
 */
static void test_every_outcome_has_name_and_sqlstate(void)
{
	int o;

	for (o = 0; o < OUTCOMES; o++) {
		const struct outcome_text *t = outcome_text((enum outcome)o);

		CU_ASSERT_PTR_NOT_NULL_FATAL(t->name);
		CU_ASSERT_EQUAL(strlen(t->sqlstate), 5);
		if (strcmp(t->sqlstate, "08007") == 0)
			CU_ASSERT_FALSE(t->not_run);
	}
}

static void test_refused_at_once_when_no_try_fits(void)
{
	struct retry_state r = {.write = true, .deadline_us = 1000};
	struct retry_decision d = outcome_next(OUTCOME_NOT_PRIMARY, &r, 0, 999);

	CU_ASSERT_EQUAL(d.step, STEP_REFUSE);
	d = outcome_next(OUTCOME_QUEUE_FULL, &r, 12345, 0);
	CU_ASSERT_EQUAL(d.step, STEP_REFUSE);
	CU_ASSERT_EQUAL(d.after_us, 12345);
}

static const struct test_case cases[] = {
	{"lost_write_is_never_repeated", test_lost_write_is_never_repeated},
	{"what_did_not_run_is_retried", test_what_did_not_run_is_retried},
	{"every_outcome_has_name_and_sqlstate", test_every_outcome_has_name_and_sqlstate},
	{"refused_at_once_when_no_try_fits", test_refused_at_once_when_no_try_fits},
};
HARNESS_MAIN("outcome", cases)
