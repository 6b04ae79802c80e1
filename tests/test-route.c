/** @file test-route.c Choice of the member that serves a request. */
#include "harness.h"
#include "route.h"

#include <string.h>

#define NOW_US 1000000

static struct route_view three(void)
{
	struct route_view v = {.n = 3, .primary = 0, .primary_term = 4};

	strcpy(v.member[0].name, "a");
	strcpy(v.member[1].name, "b");
	strcpy(v.member[2].name, "c");
	return v;
}

static void test_write_to_primary(void)
{
	struct route_view v = three();
	struct route_request req = {.write = true};
	struct route_outcome o = route_choose(&v, &req, NOW_US);

	CU_ASSERT_EQUAL(o.verdict, ROUTE_MEMBER);
	CU_ASSERT_EQUAL(o.member, 0);
}

/* Guards against a session that sends no token and reads from a replica without its write. */
static void test_read_without_token(void)
{
	struct route_view v = three();
	struct route_request req = {0};

	CU_ASSERT_EQUAL(route_choose(&v, &req, NOW_US).member, 0);
	req.max_age_us = 1000;
	CU_ASSERT_TRUE(route_choose(&v, &req, NOW_US).member > 0);
	CU_ASSERT_TRUE(route_choose(&v, &req, NOW_US).as_replica);
}

static void test_read_with_token(void)
{
	struct route_view v = three();
	struct route_request req = {.has_token = true, .token = {4, 10}};

	CU_ASSERT_TRUE(route_choose(&v, &req, NOW_US).member > 0);
	v.member[1].behind_until_us = NOW_US + 1;
	v.member[2].behind_until_us = NOW_US + 1;
	CU_ASSERT_EQUAL(route_choose(&v, &req, NOW_US).member, 0);
	/*
	 * A replica known to have reached the token is used although it was behind for another
	 * session.
	 */
	v.member[2].applied = (struct pos){4, 10};
	CU_ASSERT_EQUAL(route_choose(&v, &req, NOW_US).member, 2);
}

static void test_local_replica_first(void)
{
	struct route_view v = three();
	struct route_request req = {.max_age_us = 1000, .random = 7};

	v.member[2].near = true;
	CU_ASSERT_EQUAL(route_choose(&v, &req, NOW_US).member, 2);
	v.member[2].leaving = true;
	CU_ASSERT_EQUAL(route_choose(&v, &req, NOW_US).member, 1);
}

static void test_unknown_primary_is_asked_for(void)
{
	struct route_view v = three();
	struct route_request req = {.write = true, .attempt = 1};
	struct route_outcome o;

	v.primary = -1;
	o = route_choose(&v, &req, NOW_US);
	CU_ASSERT_EQUAL(o.cause, ROUTE_CAUSE_PRIMARY_UNKNOWN);
	CU_ASSERT_EQUAL(o.member, 1);
	v.member[0].avoid_until_us = v.member[1].avoid_until_us = v.member[2].avoid_until_us =
		NOW_US + 1;
	CU_ASSERT_EQUAL(route_choose(&v, &req, NOW_US).verdict, ROUTE_WAIT);
}

static void test_earlier_terms_are_ignored(void)
{
	struct route_view v = three();

	route_update_primary(&v, "b", 3);
	CU_ASSERT_EQUAL(v.primary, 0);
	route_update_primary(&v, "b", 5);
	CU_ASSERT_EQUAL(v.primary, 1);
	route_update_primary(&v, "unknown", 9);
	CU_ASSERT_EQUAL(v.primary, 1);
}

static const struct test_case cases[] = {
	{"write_to_primary", test_write_to_primary},
	{"read_without_token", test_read_without_token},
	{"read_with_token", test_read_with_token},
	{"local_replica_first", test_local_replica_first},
	{"unknown_primary_is_asked_for", test_unknown_primary_is_asked_for},
	{"earlier_terms_are_ignored", test_earlier_terms_are_ignored},
};
HARNESS_MAIN("route", cases)
