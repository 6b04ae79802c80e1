/** @file test-urgency.c Which requests of a team over its rate get its tokens. */
#include "harness.h"
#include "urgency.h"

#include <string.h>

/* Load: open-loop arrivals of three classes at a team's holders */

#define HOLDERS_MAX 8
#define ASKS_MAX 6
#define RUN_US (30 * USEC_PER_SEC)
#define STEP_US USEC_PER_MSEC
/** A token promised within this time ends the round. */
#define SOON_US (10 * USEC_PER_MSEC)
/** Time from the first attempt after which a caller gives up, and its number of retries. */
#define CALLER_LIMIT_US (1000 * USEC_PER_MSEC)
#define CALLER_RETRIES 2
/** Wait and interval of the method without classes. */
#define ARRIVAL_WAIT_US (300 * USEC_PER_MSEC)
#define ARRIVAL_PAUSE_US (50 * USEC_PER_MSEC)

struct load {
	unsigned holders;
	double rate;	/**< of the team, tokens per second */
	double burst;	/**< of each holder */
	double urgent;	/**< demand of class 0 as a multiple of the rate */
	double overall; /**< demand of all classes as a multiple of the rate */
	bool by_class;
};

struct result {
	double requests[3], in_aim[3], total;
	double over; /**< most tokens of a holder beyond its rate and burst, in any window */
};

static const int64_t aims[3] = {100 * USEC_PER_MSEC, 200 * USEC_PER_MSEC, 600 * USEC_PER_MSEC};

struct caller {
	struct urgency_request r;
	unsigned tries;
	int64_t first_us, began_us, next_us; /**< of the first and this attempt; next action */
	int holder;			     /**< that promised a token, or -1 */
	unsigned waits;			     /**< for a promised token, in this attempt */
};

static struct holder {
	struct bucket bucket;
	struct urgency urgency;
	double taken;
	double low; /**< least tokens taken beyond the rate, at any time before */
} holders[HOLDERS_MAX];

static bool grant(struct holder *h, bool by_class, const struct urgency_request *r, int64_t now)
{
	if ((by_class && !urgency_may_take(&h->urgency, &h->bucket, r, now)) ||
	    !bucket_take(&h->bucket, 1, now))
		return false;
	urgency_taken(&h->urgency, r, now);
	h->taken++;
	return true;
}

/** One round of calls. @return 1 granted, 0 wait until c->next_us, -1 refused until c->next_us */
static int ask_round(const struct load *l, struct caller *c, int64_t now)
{
	const struct urgency_limits limits = {.aim_us = c->began_us + aims[c->r.cls],
					      .deadline_us = c->began_us + 2 * USEC_PER_SEC};
	int64_t until = urgency_wait_until_us(&limits, now), earliest = INT64_MAX;
	unsigned first = c->holder >= 0 ? (unsigned)c->holder : (unsigned)(c->r.to % l->holders);
	unsigned i;

	c->holder = -1;
	for (i = 0; i < l->holders && i < ASKS_MAX && earliest > SOON_US; i++) {
		struct holder *h = &holders[(first + i) % l->holders];
		int64_t patience = c->holder >= 0 ? c->next_us - now : until - now, next;
		bool granted;

		urgency_seen(&h->urgency, c->r.cls, now);
		granted = grant(h, l->by_class, &c->r, now);
		if (!granted && !l->by_class)
			continue;
		next = granted ? 0
			       : urgency_answer_us(&h->urgency, &h->bucket, &c->r, patience,
						   MIN(l->holders, ASKS_MAX), now);
		if (next <= patience && c->holder >= 0)
			urgency_release(&holders[c->holder].urgency, c->r.cls, c->r.to, now);
		if (granted)
			return 1;
		if (next <= patience) {
			c->holder = (int)(h - holders);
			c->next_us = now + next + STEP_US;
		}
		earliest = MIN(earliest, next);
	}
	if (c->holder >= 0 && urgency_may_wait(c->r.cls, c->waits++))
		return 0;
	if (c->holder >= 0)
		urgency_release(&holders[c->holder].urgency, c->r.cls, c->r.to, now);
	c->holder = -1;
	c->waits = 0;
	c->next_us = now + (l->by_class ? earliest : ARRIVAL_PAUSE_US);
	if (!l->by_class && c->next_us <= c->began_us + ARRIVAL_WAIT_US)
		return 0;
	if (!l->by_class)
		c->next_us = now + (int64_t)(2 * (double)USEC_PER_SEC / l->rate);
	return -1;
}

/** Takes the next step of a caller. @return whether it has ended */
static bool step(const struct load *l, struct caller *c, struct result *out, int64_t now)
{
	int verdict = ask_round(l, c, now);

	if (verdict == 0)
		return false;
	out->total += verdict > 0 ? 1 : 0;
	out->in_aim[c->r.cls] += verdict > 0 && now - c->first_us <= aims[c->r.cls] ? 1 : 0;
	c->began_us = c->next_us;
	return verdict > 0 || c->tries++ == CALLER_RETRIES ||
	       c->next_us - c->first_us > CALLER_LIMIT_US;
}

/** Returns how many more tokens the holder has granted than it gained since the start. */
static double beyond_rate(const struct holder *h, int64_t now)
{
	return h->taken - h->bucket.rate * (double)now / USEC_PER_SEC;
}

static struct result play(const struct load *l, unsigned seed)
{
	const double rest = (l->overall - l->urgent) * l->rate / 2;
	const double demand[3] = {l->urgent * l->rate, rest, rest};
	GArray *callers = g_array_new(FALSE, FALSE, sizeof(struct caller));
	GRand *random = g_rand_new_with_seed(seed);
	struct result out = {0};
	uint64_t id = 0;
	int64_t now;
	unsigned i;

	memset(holders, 0, sizeof(holders));
	for (i = 0; i < l->holders; i++)
		bucket_init(&holders[i].bucket, l->rate / l->holders, l->burst, l->burst, 0);
	for (now = STEP_US; now < RUN_US; now += STEP_US) {
		for (i = 0; i < 3; i++) {
			struct caller c = {{i, id + 1, 0}, 0, now, now, now, -1, 0};

			if (g_rand_double(random) >= demand[i] * STEP_US / USEC_PER_SEC)
				continue;
			id++;
			out.requests[i]++;
			g_array_append_val(callers, c);
		}
		for (i = 0; i < l->holders; i++)
			holders[i].low = MIN(holders[i].low, beyond_rate(&holders[i], now));
		for (i = 0; i < callers->len;) {
			struct caller *c = &g_array_index(callers, struct caller, i);

			if (c->next_us <= now && step(l, c, &out, now))
				g_array_remove_index_fast(callers, i);
			else
				i++;
		}
		for (i = 0; i < l->holders; i++)
			out.over = MAX(out.over,
				       beyond_rate(&holders[i], now) - holders[i].low - l->burst);
	}
	g_array_free(callers, TRUE);
	g_rand_free(random);
	return out;
}

/** Plays the load with and without classes, and checks what part A of the design page states. */
static void check_load(struct load l, double urgent_min, unsigned seed)
{
	struct result before, after;
	unsigned i;

	l.by_class = false;
	before = play(&l, seed);
	l.by_class = true;
	after = play(&l, seed);
	for (i = 0; i < 3; i++) {
		before.in_aim[i] /= before.requests[i];
		after.in_aim[i] /= after.requests[i];
		printf("class %u in aim %.3f (by arrival %.3f), ", i, after.in_aim[i],
		       before.in_aim[i]);
	}
	printf("total %.0f (%.0f): %u holders, burst %.0f, rate %.0f x %.1f\n", after.total,
	       before.total, l.holders, l.burst, l.rate, l.overall);
	CHECK(after.in_aim[0] >= MAX(urgent_min, before.in_aim[0]), "%.3f", after.in_aim[0]);
	CHECK(after.total >= 0.97 * before.total, "%.0f of %.0f", after.total, before.total);
	CHECK(after.over <= 1e-6, "%f", after.over);
}

/*
 * Guards against the urgent callers of a team over its rate being refused or late because less
 * urgent ones took the tokens, and against tokens that nobody gets.
 */
static void test_urgent_callers_get_their_tokens_in_time(void)
{
	static const double overall[] = {1.5, 3, 7.5};
	unsigned i;

	for (i = 0; i < 3; i++) {
		check_load((struct load){1, 54, 20, 0.5, overall[i], false}, 0.95, 1 + i);
		check_load((struct load){8, 54, 1, 0.5, overall[i], false}, 0.95, 11 + i);
		check_load((struct load){8, 54, 2, 0.5, overall[i], false}, 0.95, 21 + i);
		check_load((struct load){4, 400, 20, 0.7, overall[i], false}, 0.95, 31 + i);
		/*
		 * Each holder gains a token in 500 ms, five times the latency target, and can keep
		 * only one: a token kept for an urgent request would cost the team others. So the
		 * share of the urgent class cannot reach 0.95 while no token is lost.
		 */
		check_load((struct load){6, 12, 1, 0.5, overall[i], false}, 0, 41 + i);
	}
}

/** A bucket of one token that is empty, with demand of classes 0 and 1. */
static void holder_open(struct holder *h, double rate, double burst)
{
	bucket_init(&h->bucket, rate, burst, 0, 0);
	urgency_init(&h->urgency, 0);
	urgency_seen(&h->urgency, 0, 1);
	urgency_seen(&h->urgency, 1, 1);
}

/*
 * Guards against a promised token going to a less urgent request that comes first, and against a
 * promise that is not kept standing in the way of others for long.
 */
static void test_promised_tokens_are_kept_for_a_short_time(void)
{
	const struct urgency_request urgent = {.cls = 0, .to = 7}, other = {.cls = 1, .to = 8};
	struct holder h;
	int64_t due;

	holder_open(&h, 10, 1);
	due = urgency_answer_us(&h.urgency, &h.bucket, &urgent, 150000, 1, 1);
	CU_ASSERT_TRUE(due > 90000 && due <= 100001);
	CU_ASSERT_FALSE(urgency_may_take(&h.urgency, &h.bucket, &other, due + 1));
	CU_ASSERT_TRUE(urgency_may_take(&h.urgency, &h.bucket, &urgent, due + 1));
	CU_ASSERT_TRUE(urgency_may_take(&h.urgency, &h.bucket, &other, due + URGENCY_KEEP_US + 2));
	due = urgency_answer_us(&h.urgency, &h.bucket, &urgent, 150000, 1, due);
	urgency_release(&h.urgency, 0, 7, due);
	CU_ASSERT_TRUE(urgency_may_take(&h.urgency, &h.bucket, &other, 2 * due));
}

/*
 * Guards against promised tokens going to later requests at a holder that has seen one class only,
 * and against that class being limited to an allowance after the holder's restart.
 */
static void test_promises_are_kept_at_a_holder_that_sees_one_class(void)
{
	const struct urgency_request first = {.cls = 1, .to = 7}, later = {.cls = 1, .to = 8};
	struct holder h;
	int64_t due;

	bucket_init(&h.bucket, 10, 20, 2, 0);
	urgency_init(&h.urgency, 0);
	CU_ASSERT_TRUE(grant(&h, true, &first, 1));
	CU_ASSERT_TRUE(grant(&h, true, &later, 1));
	due = urgency_answer_us(&h.urgency, &h.bucket, &first, 150000, 1, 1);
	CU_ASSERT_TRUE(due > 90000 && due <= 100001);
	CU_ASSERT_FALSE(urgency_may_take(&h.urgency, &h.bucket, &later, due + 1));
	CU_ASSERT_TRUE(urgency_may_take(&h.urgency, &h.bucket, &first, due + 1));
}

/*
 * Guards against an urgent request being refused because promises to less urgent ones, which wait
 * longer, fill the table.
 */
static void test_promises_of_less_urgent_requests_give_way(void)
{
	struct urgency_request r = {.cls = 1};
	struct holder h;

	holder_open(&h, 100, 20);
	for (r.to = 1; r.to <= URGENCY_PROMISES_MAX; r.to++)
		CU_ASSERT_TRUE(urgency_answer_us(&h.urgency, &h.bucket, &r, USEC_PER_SEC, 1, 1) <=
			       USEC_PER_SEC);
	r.cls = 0;
	CU_ASSERT_TRUE(urgency_answer_us(&h.urgency, &h.bucket, &r, 20000, 1, 1) <= 20000);
}

/*
 * Guards against refused callers returning together: each gets a later place, at the rate that its
 * class has left, and none is sent away for longer than the limit.
 */
static void test_retries_are_spread_at_the_rate_of_the_class(void)
{
	struct urgency_request r = {.cls = 1};
	int64_t before = 0, place = 0;
	struct holder h;
	unsigned i;

	holder_open(&h, 10, 1);
	for (i = 0; i < 10; i++) {
		place = urgency_answer_us(&h.urgency, &h.bucket, &r, 0, 1, 1);
		CHECK(i == 0 || place >= before + 99000, "%ld after %ld", place, before);
		before = place;
	}
	for (i = 0; i < 20; i++)
		place = urgency_answer_us(&h.urgency, &h.bucket, &r, 0, 1, 1);
	CU_ASSERT_EQUAL(place, URGENCY_AHEAD_MAX_US);
}

/* Guards against a wait for a token that leaves no time for the work within the target. */
static void test_waits_end_while_a_token_is_of_use(void)
{
	struct urgency_limits l = {.aim_us = 100, .deadline_us = 1000, .work_us = 30};

	CU_ASSERT_EQUAL(urgency_wait_until_us(&l, 0), 70);
	l.work_us = 400;
	CU_ASSERT_EQUAL(urgency_wait_until_us(&l, 0), 50);
	CU_ASSERT_EQUAL(urgency_wait_until_us(&l, 200), 600);
	l.aim_us = 0;
	CU_ASSERT_EQUAL(urgency_wait_until_us(&l, 0), 600);
	CU_ASSERT_EQUAL(urgency_wait_until_us(&l, 900), 900);
}

static const struct test_case cases[] = {
	{"promised_tokens_are_kept_for_a_short_time",
	 test_promised_tokens_are_kept_for_a_short_time},
	{"promises_are_kept_at_a_holder_that_sees_one_class",
	 test_promises_are_kept_at_a_holder_that_sees_one_class},
	{"promises_of_less_urgent_requests_give_way",
	 test_promises_of_less_urgent_requests_give_way},
	{"retries_are_spread_at_the_rate_of_the_class",
	 test_retries_are_spread_at_the_rate_of_the_class},
	{"waits_end_while_a_token_is_of_use", test_waits_end_while_a_token_is_of_use},
	{"urgent_callers_get_their_tokens_in_time", test_urgent_callers_get_their_tokens_in_time},
};
HARNESS_MAIN("urgency", cases)
