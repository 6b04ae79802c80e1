/** @file test-part.c Fixed parts of a team's rate. */
#include "harness.h"
#include "part.h"

#include <stdlib.h>
#include <string.h>

/** Tolerance that both user deployments state. */
static const struct share_tolerance tolerance = {.window_s = 5, .overshoot = 0.1, .slack = 20};

/** Split the rate of a team in a fleet with as many equal teams as VMs. */
static bool split(double rate, double burst, unsigned data_centers, unsigned vms,
		  const struct share_tolerance *t, struct part_split *s)
{
	const struct part_fleet f = {
		.data_centers = data_centers, .vms = vms, .all_rates = rate * vms};

	return part_split(rate, burst, &f, t, s);
}

static double most_in_a_window(const struct part_split *s, unsigned data_centers)
{
	return (s->rate * tolerance.window_s + s->burst) * s->per_dc * data_centers;
}

/*
 * Guards against exceeding the tolerated rate: all parts start full and are spent at their rate for
 * a whole window.
 */
static void test_parts_stay_within_the_tolerance(void)
{
	unsigned dcs, vms;
	double rate;

	for (rate = 0.5; rate < 400; rate *= 1.3) {
		for (dcs = 1; dcs <= 5; dcs++) {
			for (vms = dcs; vms <= 300; vms += 37) {
				struct part_split s;
				double most;

				if (!split(rate, rate, dcs, vms, &tolerance, &s))
					continue;
				most = most_in_a_window(&s, dcs);
				CHECK(most <= (rate * 5 + rate) * 1.1 + 20, "%f of rate %f", most,
				      rate);
				CU_ASSERT_TRUE(s.burst >= 1);
				CU_ASSERT_TRUE(s.per_dc >= 1 && s.per_dc <= PARTS_PER_DC);
			}
		}
	}
}

/*
 * Guards against refused requests in a partitioned data centre. Alone, it must serve its callers'
 * usual load: a fifth of three fifths of the rate, with a margin.
 */
static void test_a_cut_off_data_center_serves_its_callers(void)
{
	struct part_split s;

	CU_ASSERT_TRUE_FATAL(split(8, 8, 5, 81, &tolerance, &s));
	CHECK(s.rate * s.per_dc >= 8 * 0.6 / 5 * 2, "%f", s.rate);
	CU_ASSERT_TRUE_FATAL(split(105, 105, 5, 81, &tolerance, &s));
	CHECK(s.rate * s.per_dc >= 105 * 0.6 / 5 * 1.5, "%f", s.rate);
}

/*
 * Guards against a partitioned data centre that refuses all requests of a small team until the
 * partition ends, because the only VM with the team's tokens there had just been stopped. A team
 * has two parts in each data centre, unless their minimum burst would leave too little rate.
 */
static void test_a_small_team_has_two_parts_in_each_data_center(void)
{
	const struct share_tolerance strict = {.window_s = 5, .overshoot = 0.1, .slack = 2};
	struct part_split s;

	CU_ASSERT_TRUE_FATAL(split(8, 8, 5, 81, &tolerance, &s));
	CU_ASSERT_EQUAL(s.per_dc, 2);
	CHECK(s.rate * s.per_dc * 5 >= 8 * 1.2, "%f", s.rate);
	CU_ASSERT_TRUE_FATAL(split(2, 2, 5, 81, &strict, &s));
	CU_ASSERT_EQUAL(s.per_dc, 1);
}

/*
 * Guards against a fleet size at which one more VM switches teams from fixed parts to dynamic
 * shares, so that all VMs of a large fleet report to each team's allocator.
 */
static void test_a_large_fleet_keeps_fixed_parts(void)
{
	struct part_fleet f = {.data_centers = 4, .all_rates = 2600};
	struct part_split s;

	for (f.vms = 8; f.vms <= 3100; f.vms += 4)
		CU_ASSERT_TRUE(part_split(300, 1500, &f, &tolerance, &s));
}

/*
 * Guards against fixed parts where they can't work: in a fleet so large that the holders of parts
 * can't serve all requests, a team whose rate allows a part on each VM uses dynamic shares
 * (share.h). So does a team without tolerance, which could not be divided within its limit.
 */
static void test_large_teams_and_strict_rates_get_no_fixed_parts(void)
{
	const struct share_tolerance none = {0};
	struct part_split s;

	CU_ASSERT_FALSE(split(50000, 50000, 8, 3100, &tolerance, &s));
	CU_ASSERT_TRUE(split(200, 200, 3, 6, &tolerance, &s));
	CU_ASSERT_TRUE(split(300, 300, 4, 80, &tolerance, &s));
	CU_ASSERT_FALSE(split(8, 8, 5, 81, &none, &s));
	CU_ASSERT_FALSE(split(8, 8, 0, 81, &tolerance, &s));
	CU_ASSERT_FALSE(split(0, 8, 5, 81, &tolerance, &s));
}

static void test_a_team_has_tokens_in_per_dc_parts(void)
{
	struct part_split s = {.per_dc = 1};

	for (; s.per_dc <= PARTS_PER_DC; s.per_dc++) {
		unsigned i, n = 0;

		for (i = 0; i < PARTS_PER_DC; i++)
			n += part_has_team(&s, "clerks", i) ? 1 : 0;
		CU_ASSERT_EQUAL(n, s.per_dc);
	}
}

static void test_local_candidates_are_asked_first(void)
{
	struct part_candidate p[4] = {
		{"a", false, false}, {"b", true, false}, {"c", true, false}, {NULL, true, false}};
	unsigned salt;
	bool b = false, c = false;

	for (salt = 0; salt < 4; salt++) {
		int at = part_choose(p, 4, salt, true);

		b = b || at == 1;
		c = c || at == 2;
		CU_ASSERT_TRUE(at == 1 || at == 2);
	}
	CU_ASSERT_TRUE(b && c);
	p[1].tried = p[2].tried = true;
	CU_ASSERT_EQUAL(part_choose(p, 4, 1, true), 0);
	p[0].tried = true;
	CU_ASSERT_EQUAL(part_choose(p, 4, 1, true), -1);
}

/*
 * Guards against a flood of token requests between data centres. When a team requested twice its
 * rate for half a minute, each VM asked all candidates after each refusal, and requests of other
 * teams were delayed behind them. A VM may ask one remote candidate per 300 ms, and local ones
 * without limit; a team within its rate may ask any candidate.
 */
static void test_a_team_over_its_rate_asks_few_remote_candidates(void)
{
	struct part_candidate p[] = {{"a", false, false}, {"b", true, false}, {"c", false, false}};
	int64_t tried_us = -USEC_PER_SEC, now;
	unsigned n_local = 0, n_remote = 0;

	for (now = 0; now < 30 * USEC_PER_SEC; now += 50 * USEC_PER_MSEC) {
		bool ask_remote;
		int at;

		p[0].tried = p[1].tried = p[2].tried = false;
		while (ask_remote = part_may_ask_remote(false, tried_us, now),
		       (at = part_choose(p, 3, 0, ask_remote)) >= 0) {
			p[at].tried = true;
			n_local += p[at].near ? 1 : 0;
			n_remote += p[at].near ? 0 : 1;
			if (!p[at].near)
				tried_us = now;
		}
	}
	CU_ASSERT_EQUAL(n_local, 600);
	CHECK(n_remote <= 101 && n_remote >= 90, "%u", n_remote);
	p[0].tried = p[2].tried = false;
	CU_ASSERT_EQUAL(part_choose(p, 3, 0, part_may_ask_remote(true, now, now)), 0);
}

static const struct test_case cases[] = {
	{"a_large_fleet_keeps_fixed_parts", test_a_large_fleet_keeps_fixed_parts},
	{"a_team_over_its_rate_asks_few_remote_candidates",
	 test_a_team_over_its_rate_asks_few_remote_candidates},
	{"parts_stay_within_the_tolerance", test_parts_stay_within_the_tolerance},
	{"a_cut_off_data_center_serves_its_callers", test_a_cut_off_data_center_serves_its_callers},
	{"a_small_team_has_two_parts_in_each_data_center",
	 test_a_small_team_has_two_parts_in_each_data_center},
	{"large_teams_and_strict_rates_get_no_fixed_parts",
	 test_large_teams_and_strict_rates_get_no_fixed_parts},
	{"a_team_has_tokens_in_per_dc_parts", test_a_team_has_tokens_in_per_dc_parts},
	{"local_candidates_are_asked_first", test_local_candidates_are_asked_first},
};
HARNESS_MAIN("part", cases)
