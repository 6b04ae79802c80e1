/** @file test-inform.c Who is notified of a new owner, and whom a VM asks that was not. */
#include "harness.h"
#include "inform.h"

/* Guards against messages of groups x VMs: in a large fleet only those that need it are notified.
 */
static void test_notices_do_not_grow_with_the_fleet(void)
{
	const struct inform_vm other = {0}, owner = {.owner = true}, sender = {.sender = true},
			       claimer = {.claimer = true};

	CU_ASSERT_TRUE(inform_notifies(&other, INFORM_ALL_MAX));
	CU_ASSERT_FALSE(inform_notifies(&other, INFORM_ALL_MAX + 1));
	CU_ASSERT_TRUE(inform_notifies(&owner, 3000));
	CU_ASSERT_TRUE(inform_notifies(&sender, 3000));
	CU_ASSERT_TRUE(inform_notifies(&claimer, 3000));
}

/*
 * Guards against statements that go to a VM that is gone again and again, and against statements
 * that never go to an owner which only this VM takes for gone.
 */
static void test_attempts_alternate_while_the_owner_seems_gone(void)
{
	CU_ASSERT_EQUAL(inform_next_target(false, false, 1), INFORM_ASK_CLAIMER);
	CU_ASSERT_EQUAL(inform_next_target(true, true, 1), INFORM_ASK_OWNER);
	CU_ASSERT_EQUAL(inform_next_target(true, false, 0), INFORM_ASK_CLAIMER);
	CU_ASSERT_EQUAL(inform_next_target(true, false, 1), INFORM_ASK_OWNER);
	CU_ASSERT_EQUAL(inform_next_target(true, false, 2), INFORM_ASK_CLAIMER);
}

static const struct test_case cases[] = {
	{"notices_do_not_grow_with_the_fleet", test_notices_do_not_grow_with_the_fleet},
	{"attempts_alternate_while_the_owner_seems_gone",
	 test_attempts_alternate_while_the_owner_seems_gone},
};
HARNESS_MAIN("inform", cases)
