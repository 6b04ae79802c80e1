/** @file test-era.c Revisions of a store that is restored from older copies. */
#include "era.h"
#include "harness.h"

/* Guards against a write after a restore being ordered before a write that the restore lost. */
static void test_a_later_era_is_ordered_last(void)
{
	CU_ASSERT_TRUE(era_revision(2, 43) > era_revision(1, 46));
	CU_ASSERT_TRUE(era_revision(1, 46) > era_revision(1, 43));
	CU_ASSERT_TRUE(era_revision(1, 1) > era_revision(0, 46));
	CU_ASSERT_EQUAL(era_of(era_revision(7, 46)), 7);
	CU_ASSERT_EQUAL(era_number(era_revision(7, 46)), 46);
}

/* Guards against revision 0, "no revision", becoming a valid revision after a restore. */
static void test_no_revision_has_no_era(void)
{
	CU_ASSERT_EQUAL(era_revision(3, 0), 0);
}

/*
 * Guards against revisions that become equal when a reader stores them as a double: fencing tokens
 * of two eras would then be the same.
 */
static void test_a_revision_survives_as_a_double(void)
{
	uint64_t r = era_revision(8000, 123456789);

	CU_ASSERT_EQUAL((uint64_t)(double)r, r);
	CU_ASSERT_TRUE((double)(r + 1) > (double)r);
}

static const struct test_case cases[] = {
	{"a_later_era_is_ordered_last", test_a_later_era_is_ordered_last},
	{"no_revision_has_no_era", test_no_revision_has_no_era},
	{"a_revision_survives_as_a_double", test_a_revision_survives_as_a_double},
};
HARNESS_MAIN("era", cases)
