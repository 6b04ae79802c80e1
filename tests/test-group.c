/** @file test-group.c A VM's view of a database group, and acknowledgement by majority. */
#include "confirm.h"
#include "group.h"
#include "harness.h"

#include <string.h>

static struct group_view three(void)
{
	const char *names[] = {"a", "b", "c"};
	struct group_view g;

	group_init(&g, "pool");
	group_set_members(&g, names, 3);
	return g;
}

static struct member_report report(bool primary, uint64_t seen, uint64_t term, uint64_t lsn)
{
	struct member_report r = {
		.primary = primary, .seen_term = seen, .received = {term, lsn}, .applied_lsn = lsn};

	term_history_add(&r.terms, 1, 0);
	return r;
}

static void put(struct group_view *g, int i, struct member_report r, int64_t asked)
{
	group_report(g, i, &r, asked);
}

static void test_primary_of_highest_term(void)
{
	struct group_view g = three();

	CU_ASSERT_EQUAL(group_primary(&g), -1);
	put(&g, 0, report(true, 1, 1, 5), 10);
	CU_ASSERT_EQUAL(group_primary(&g), 0);
	put(&g, 1, report(true, 2, 2, 6), 10);
	CU_ASSERT_EQUAL(group_primary(&g), 1);
	CU_ASSERT_EQUAL(group_highest_term(&g), 2);
}

static void test_late_report_changes_nothing(void)
{
	struct group_view g = three();

	put(&g, 0, report(false, 2, 1, 5), 20);
	put(&g, 0, report(true, 1, 1, 5), 10);
	CU_ASSERT_EQUAL(group_primary(&g), -1);
}

/*
 * The age of data counts from the time the primary's position was requested: a replica at that
 * position has data that is no older.
 */
static void test_age_of_data(void)
{
	struct group_view g = three();

	CU_ASSERT_EQUAL(group_age_us(&g, 99, 1000), INT64_MAX);
	put(&g, 0, report(true, 1, 1, 10), 100);
	put(&g, 0, report(true, 1, 1, 20), 200);
	CU_ASSERT_EQUAL(group_age_us(&g, 9, 1000), INT64_MAX);
	CU_ASSERT_EQUAL(group_age_us(&g, 10, 1000), 900);
	CU_ASSERT_EQUAL(group_age_us(&g, 25, 1000), 800);
	/* Positions of the previous term do not compare with those of the new primary's log. */
	put(&g, 1, report(true, 2, 2, 15), 300);
	CU_ASSERT_EQUAL(group_age_us(&g, 14, 1000), INT64_MAX);
	CU_ASSERT_EQUAL(group_age_us(&g, 15, 1000), 700);
}

static void test_members_change(void)
{
	const char *names[] = {"c", "d"};
	struct group_view g = three();

	put(&g, 2, report(true, 3, 3, 5), 10);
	group_set_members(&g, names, 2);
	CU_ASSERT_EQUAL(g.n, 2);
	CU_ASSERT_EQUAL(group_primary(&g), 0);
	CU_ASSERT_EQUAL(g.member[1].state, MEMBER_UNKNOWN);
}

static void test_confirm_by_replica(void)
{
	struct pos commit = {2, 10};
	struct member_report r = report(false, 2, 2, 10);

	CU_ASSERT_EQUAL(confirm_replica(commit, &r), CONFIRM_YES);
	r.received.lsn = 9;
	CU_ASSERT_EQUAL(confirm_replica(commit, &r), CONFIRM_WAIT);
	/* A replica in a later term may have got the record only after another log was chosen. */
	r = report(false, 3, 2, 10);
	CU_ASSERT_EQUAL(confirm_replica(commit, &r), CONFIRM_WAIT);
	/* A longer log of an earlier term does not contain the record. */
	r = report(false, 2, 1, 50);
	CU_ASSERT_EQUAL(confirm_replica(commit, &r), CONFIRM_WAIT);
	CU_ASSERT_EQUAL(confirm_replicas_needed(3), 1);
	CU_ASSERT_EQUAL(confirm_replicas_needed(5), 2);
}

/*
 * A caller waits for a commit on a primary that was replaced. Whether the record is kept is certain
 * only when a majority has records of the new term: before that, a third promotion could choose the
 * previous primary's log.
 */
static void test_confirm_by_later_primary(void)
{
	struct member_report later = report(true, 3, 3, 12);
	struct group_view g = three();

	term_history_add(&later.terms, 3, 10);
	put(&g, 0, report(false, 1, 1, 11), 10);
	put(&g, 1, later, 10);
	CU_ASSERT_EQUAL(confirm_by_primary((struct pos){1, 10}, &g), CONFIRM_WAIT);
	CU_ASSERT_EQUAL(group_settled_primary(&g), -1);
	put(&g, 2, report(false, 3, 3, 11), 10);
	CU_ASSERT_EQUAL(group_settled_primary(&g), 1);
	CU_ASSERT_EQUAL(confirm_by_primary((struct pos){1, 10}, &g), CONFIRM_YES);
	CU_ASSERT_EQUAL(confirm_by_primary((struct pos){1, 11}, &g), CONFIRM_LOST);
}

static const struct test_case cases[] = {
	{"primary_of_highest_term", test_primary_of_highest_term},
	{"late_report_changes_nothing", test_late_report_changes_nothing},
	{"age_of_data", test_age_of_data},
	{"members_change", test_members_change},
	{"confirm_by_replica", test_confirm_by_replica},
	{"confirm_by_later_primary", test_confirm_by_later_primary},
};
HARNESS_MAIN("group", cases)
