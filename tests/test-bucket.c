/** @file test-bucket.c Token buckets. */
#include "bucket.h"
#include "harness.h"
#include "part.h"

static void test_rate_and_burst(void)
{
	struct bucket b;
	int64_t now = 0;
	unsigned taken = 0;

	bucket_init(&b, 100, 10, 10, now);
	for (; now <= 10 * USEC_PER_SEC; now += 1000)
		taken += bucket_take(&b, 1, now);
	CHECK(taken <= 1010 && taken >= 1009, "%u", taken);
}

/*
 * Guards against a resize that creates tokens. When a VM's part of a team's burst shrinks and grows
 * again, the tokens it gave up have been spent on other VMs.
 */
static void test_resize_makes_no_tokens(void)
{
	struct bucket b;
	unsigned taken = 0;
	int i;

	bucket_init(&b, 0, 10, 10, 0);
	for (i = 0; i < 5; i++) {
		bucket_resize(&b, 0, 2, 0);
		bucket_resize(&b, 0, 10, 0);
		while (bucket_take(&b, 1, 0))
			taken++;
	}
	CU_ASSERT_EQUAL(taken, 2);
}

static void test_wait(void)
{
	struct bucket b;

	bucket_init(&b, 10, 5, 0, 0);
	CHECK(bucket_wait_us(&b, 1, 0) >= 100000 && bucket_wait_us(&b, 1, 0) < 100100, "%ld",
	      (long)bucket_wait_us(&b, 1, 0));
	CU_ASSERT_EQUAL(bucket_wait_us(&b, 6, 0), INT64_MAX);
	CU_ASSERT_FALSE(bucket_take(&b, 1, 99000));
	CU_ASSERT_TRUE(bucket_take(&b, 1, 101000));
}

/**
 * Run for two seconds in which each token is reserved and refunded after @a out_us, then for five
 * seconds in which all tokens are spent. @return operations run in the five seconds
 */
static unsigned run_in_window(double rate, double burst, int64_t out_us)
{
	int64_t now, reserved_at[8000];
	unsigned n = 0, back = 0, run = 0;
	struct bucket b;

	bucket_init(&b, rate, burst, burst, 0);
	/* No operation runs: each token is refunded after @a out_us. */
	for (now = 1; now < 2 * USEC_PER_SEC; now += 1000) {
		while (n < 8000 && bucket_reserve(&b, now))
			reserved_at[n++] = now;
		for (; back < n && now - reserved_at[back] >= out_us; back++)
			bucket_settle(&b, true, now);
	}
	for (; now < 7 * USEC_PER_SEC; now += 1000) {
		for (; back < n && now - reserved_at[back] >= out_us; back++)
			bucket_settle(&b, true, now);
		while (bucket_take(&b, 1, now))
			run++;
	}
	return run;
}

/*
 * Guards against exceeding the tolerated rate after a failover. While a group has no primary for
 * seconds, its statements are refused without having run and their tokens are refunded, so that the
 * team's other operations are served. Once the group is back, all refunded tokens may be spent at
 * once.
 */
static void test_returned_tokens_stay_within_the_tolerance(void)
{
	static const struct share_tolerance tolerance = {
		.window_s = 5, .overshoot = 0.1, .slack = 20};
	int64_t out_us;
	double rate;

	for (rate = 2; rate < 400; rate *= 1.7) {
		const struct part_fleet fleet = {
			.data_centers = 4, .vms = 9, .all_rates = 9 * rate};
		struct part_split s;

		CU_ASSERT_TRUE_FATAL(part_split(rate, rate, &fleet, &tolerance, &s));
		for (out_us = 0; out_us < USEC_PER_SEC; out_us += 50 * USEC_PER_MSEC) {
			unsigned n = 4 * s.per_dc;
			unsigned run = run_in_window(s.rate * n, s.burst * n, out_us);

			CHECK(run <= (rate * 5 + rate) * 1.1 + 20, "%u of rate %f, out for %ld us",
			      run, rate, (long)out_us);
		}
	}
}

static void test_a_reserved_token_is_refunded_once(void)
{
	struct bucket b;

	bucket_init(&b, 0, 2, 2, 0);
	CU_ASSERT_TRUE(bucket_reserve(&b, 0));
	CU_ASSERT_TRUE(bucket_reserve(&b, 0));
	CU_ASSERT_FALSE(bucket_reserve(&b, 0));
	bucket_settle(&b, false, 1);
	CU_ASSERT_FALSE(bucket_take(&b, 1, 1));
	bucket_settle(&b, true, 1);
	bucket_settle(&b, true, 1);
	CU_ASSERT_EQUAL(b.tokens, 1);
	CU_ASSERT_EQUAL(b.reserved, 0);
}

/* Guards against credited tokens that are added on top of a full burst. */
static void test_credit_stays_within_the_burst(void)
{
	struct bucket b;

	bucket_init(&b, 10, 5, 0, 0);
	bucket_credit(&b, 3, 0);
	CU_ASSERT_TRUE(bucket_take(&b, 3, 0));
	CU_ASSERT_FALSE(bucket_take(&b, 1, 0));
	bucket_credit(&b, 100, 0);
	CU_ASSERT_TRUE(bucket_take(&b, 5, 0));
	CU_ASSERT_FALSE(bucket_take(&b, 1, 0));
}

static const struct test_case cases[] = {
	{"credit_stays_within_the_burst", test_credit_stays_within_the_burst},
	{"returned_tokens_stay_within_the_tolerance",
	 test_returned_tokens_stay_within_the_tolerance},
	{"a_reserved_token_is_refunded_once", test_a_reserved_token_is_refunded_once},
	{"rate_and_burst", test_rate_and_burst},
	{"resize_makes_no_tokens", test_resize_makes_no_tokens},
	{"wait", test_wait},
};
HARNESS_MAIN("bucket", cases)
