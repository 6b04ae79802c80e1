/** @file test-ready.c Readiness of a VM that is cut off from other data centres. */
#include "harness.h"
#include "ready.h"

#define STEP_US (50 * USEC_PER_MSEC)

/**
 * Simulates statements from @a now for @a us; of every ten, @a unserved are not served.
 * @return the end time
 */
static int64_t play(struct ready *r, int64_t last_contact_us, int64_t now, int64_t us,
		    unsigned unserved)
{
	int64_t until = now + us;
	unsigned i;

	for (; now < until; now += STEP_US) {
		for (i = 0; i < 10; i++)
			ready_count(r, i >= unserved);
		ready_update(r, last_contact_us, now);
	}
	return now;
}

/*
 * A data centre is cut off for 5.5 s while its callers still reach it, and the owners of two thirds
 * of the groups are outside it. The VM must report not ready within 1.5 s, close its sessions once
 * the load balancer knows, and take callers again on the first contact with another data centre.
 */
static void test_callers_go_where_more_is_served(void)
{
	struct ready r = {0};
	int64_t now = play(&r, 1, 1, 1500 * USEC_PER_MSEC, 7);

	CU_ASSERT_TRUE(r.away);
	CU_ASSERT_FALSE(ready_close_idle(&r, now));
	now = play(&r, 1, now, 4000 * USEC_PER_MSEC, 7);
	CU_ASSERT_TRUE(ready_close_idle(&r, now));
	CU_ASSERT_TRUE(ready_update(&r, now, now));
	CU_ASSERT_FALSE(ready_close_idle(&r, now));
}

/* The owners of most groups are in the cut-off data centre: callers would be refused elsewhere. */
static void test_callers_stay_where_more_is_served(void)
{
	struct ready r = {0};

	play(&r, 1, 1, 5500 * USEC_PER_MSEC, 4);
	CU_ASSERT_FALSE(r.away);
}

/*
 * Guards against all VMs reporting not ready at once. A store outage, a failed primary or an
 * overloaded team makes requests fail everywhere; while there is contact with another data centre,
 * callers would not be served better elsewhere.
 */
static void test_refusals_alone_send_nobody_away(void)
{
	struct ready r = {0};
	int64_t now;

	for (now = 1; now < 5 * USEC_PER_SEC; now += STEP_US)
		play(&r, now, now, STEP_US, 10);
	CU_ASSERT_FALSE(r.away);
	/* In a fleet with a single data centre there is no other place to send callers to. */
	play(&r, 0, now, 5 * USEC_PER_SEC, 10);
	CU_ASSERT_FALSE(r.away);
}

/* A link that goes down and up twice a second must not move callers back and forth. */
static void test_a_flapping_link_sends_nobody_away(void)
{
	struct ready r = {0};
	int64_t now = 1;
	unsigned i;

	for (i = 0; i < 20; i++) {
		now = play(&r, now, now, 500 * USEC_PER_MSEC, 7);
		CU_ASSERT_FALSE(r.away);
	}
}

static const struct test_case cases[] = {
	{"callers_go_where_more_is_served", test_callers_go_where_more_is_served},
	{"callers_stay_where_more_is_served", test_callers_stay_where_more_is_served},
	{"refusals_alone_send_nobody_away", test_refusals_alone_send_nobody_away},
	{"a_flapping_link_sends_nobody_away", test_a_flapping_link_sends_nobody_away},
};
HARNESS_MAIN("ready", cases)
