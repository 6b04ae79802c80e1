/** @file test-bucket.c Token buckets. */
#include "bucket.h"
#include "harness.h"

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

/* A part that shrinks and grows must not bring tokens: what was given away was spent elsewhere. */
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

static const struct test_case cases[] = {
	{"rate_and_burst", test_rate_and_burst},
	{"resize_makes_no_tokens", test_resize_makes_no_tokens},
	{"wait", test_wait},
};
HARNESS_MAIN("bucket", cases)
