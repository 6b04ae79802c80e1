/** @file test-standing.c Plans of where primaries stand, with random writers. */
#include "harness.h"
#include "standing.h"

#include <stdlib.h>
#include <string.h>

#define GROUPS 8
#define CENTERS 4
#define QUIET (20 * USEC_PER_SEC)

static const char *const centers[CENTERS] = {"a", "b", "c", "d"};
static const struct standing_limits limits = {.pause_us = 60 * USEC_PER_SEC, .quiet_us = QUIET};

struct plan {
	struct standing_group g[GROUPS];
	struct standing_origins origins[GROUPS];
};

static void plan_init(struct plan *p)
{
	unsigned i, j;

	memset(p, 0, sizeof(*p));
	for (i = 0; i < GROUPS; i++) {
		struct standing_group *g = &p->g[i];

		g->pool = "p";
		g->known = true;
		g->changes_age_us = QUIET;
		g->moved_age_us = 100 * USEC_PER_SEC;
		g->origins = &p->origins[i];
		for (j = 0; j < 3; j++)
			g->member[g->n++] = centers[(i + j) % CENTERS];
		g->data_center = g->member[0];
	}
}

static void set_origin(struct plan *p, unsigned group, const char *center, double per_s)
{
	struct standing_origins *o = &p->origins[group];

	g_strlcpy(o->origin[o->n].data_center, center, NAME_SIZE);
	o->origin[o->n++].per_s = per_s;
}

static struct standing_plan next(const struct plan *p)
{
	struct standing_plan plan;

	standing_plan(p->g, GROUPS, &limits, &plan);
	return plan;
}

/* Guards against primaries that stay far from all of their writers, and against needless moves. */
static void test_a_primary_follows_most_of_its_writers(void)
{
	struct standing_plan m;
	struct plan p;

	plan_init(&p);
	CU_ASSERT_EQUAL(next(&p).verdict, STANDING_STAYS);
	set_origin(&p, 0, "a", 41);
	set_origin(&p, 0, "b", 59);
	CU_ASSERT_EQUAL(next(&p).verdict, STANDING_STAYS);
	p.origins[0].origin[1].per_s = 62;
	m = next(&p);
	CU_ASSERT_EQUAL(m.verdict, STANDING_MOVE);
	CU_ASSERT_EQUAL_FATAL(m.n, 1);
	CU_ASSERT_EQUAL(m.move[0].group, 0);
	CU_ASSERT_STRING_EQUAL(m.move[0].data_center, "b");
	/* No member there, or too few statements to tell. */
	g_strlcpy(p.origins[0].origin[1].data_center, "d", NAME_SIZE);
	CU_ASSERT_EQUAL(next(&p).verdict, STANDING_STAYS);
	p.origins[0].n = 0;
	set_origin(&p, 0, "b", 0.5);
	CU_ASSERT_EQUAL(next(&p).verdict, STANDING_STAYS);
}

/* Guards against moves while anything fails, and against moving one group again and again. */
static void test_nothing_moves_under_faults(void)
{
	struct standing_limits recent = limits;
	struct standing_plan none;
	struct plan p;

	plan_init(&p);
	set_origin(&p, 0, "b", 10);
	CU_ASSERT_EQUAL(next(&p).verdict, STANDING_MOVE);
	p.g[0].moved_age_us = 59 * USEC_PER_SEC;
	CU_ASSERT_EQUAL(next(&p).verdict, STANDING_STAYS);
	p.g[0].moved_age_us = 0;
	CU_ASSERT_EQUAL(next(&p).verdict, STANDING_STAYS);
	p.g[0].moved_age_us = 61 * USEC_PER_SEC;
	p.g[5].changes_age_us = 14 * USEC_PER_SEC;
	CU_ASSERT_EQUAL(next(&p).verdict, STANDING_UNSETTLED);
	p.g[5].changes_age_us = 0;
	CU_ASSERT_EQUAL(next(&p).verdict, STANDING_UNSETTLED);
	p.g[5].changes_age_us = QUIET;
	p.g[5].known = false;
	CU_ASSERT_EQUAL(next(&p).verdict, STANDING_UNSETTLED);
	p.g[5].known = true;
	recent.quiet_us = 14 * USEC_PER_SEC;
	standing_plan(p.g, GROUPS, &recent, &none);
	CU_ASSERT_EQUAL(none.verdict, STANDING_UNSETTLED);
	CU_ASSERT_EQUAL(none.n, 0);
}

/** Returns how many primaries the fullest data centre has above another with members of theirs. */
static int excess(const struct plan *p)
{
	int count[CENTERS] = {0}, most = 0;
	unsigned i, j;

	for (i = 0; i < GROUPS; i++)
		count[p->g[i].data_center[0] - 'a']++;
	for (i = 0; i < GROUPS; i++) {
		for (j = 0; j < p->g[i].n; j++) {
			int above = count[p->g[i].data_center[0] - 'a'] -
				    count[p->g[i].member[j][0] - 'a'];

			most = above > most ? above : most;
		}
	}
	return most;
}

/*
 * Guards against primaries that move for ever. Writers and primaries are random; the pause between
 * moves of a group is not counted on.
 */
static void test_plans_converge_and_never_oscillate(void)
{
	unsigned seed, i, k, moves = 0;
	struct plan p;

	for (seed = 0; seed < 2000; seed++) {
		struct standing_plan plan;

		srand(seed);
		plan_init(&p);
		for (i = 0; i < GROUPS; i++) {
			p.g[i].data_center = p.g[i].member[rand() % 3];
			for (k = 0; k < CENTERS; k++)
				set_origin(&p, i, centers[k], rand() % 3 == 0 ? rand() % 100 : 1);
		}
		plan = next(&p);
		CHECK(plan.n <= GROUPS, "seed %u: %u moves", seed, plan.n);
		moves += plan.n;
		for (i = 0; i < plan.n; i++)
			p.g[plan.move[i].group].data_center = plan.move[i].data_center;
		CHECK(excess(&p) <= STANDING_EXCESS_MAX, "seed %u: excess %d", seed, excess(&p));
		plan = next(&p);
		CHECK(plan.verdict == STANDING_STAYS, "seed %u: %u more moves", seed, plan.n);
	}
	CU_ASSERT_TRUE(moves > 0);
}

/* Guards against plans from statements that came long ago. */
static void test_counts_fade(void)
{
	struct standing_origins o = {0};
	int64_t now = USEC_PER_SEC;
	unsigned i;

	for (i = 0; i < 3000; i++, now += 10 * USEC_PER_MSEC)
		standing_count(&o, i % 4 == 0 ? "a" : "b", now);
	CHECK(o.origin[0].per_s > 23 && o.origin[0].per_s < 27, "%f", o.origin[0].per_s);
	CHECK(o.origin[1].per_s > 68 && o.origin[1].per_s < 76, "%f", o.origin[1].per_s);
	standing_decay(&o, now + 60 * USEC_PER_SEC);
	CU_ASSERT_TRUE(o.origin[1].per_s < 1);
	for (i = 0; i < 2 * STANDING_CENTERS_MAX; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "dc%u", i);
		standing_count(&o, name, now);
	}
	CU_ASSERT_EQUAL(o.n, STANDING_CENTERS_MAX);
}

static const struct test_case cases[] = {
	{"a_primary_follows_most_of_its_writers", test_a_primary_follows_most_of_its_writers},
	{"nothing_moves_under_faults", test_nothing_moves_under_faults},
	{"plans_converge_and_never_oscillate", test_plans_converge_and_never_oscillate},
	{"counts_fade", test_counts_fade},
};
HARNESS_MAIN("standing", cases)
