/** @file standing.c Plans in which data centre the primary of each group stands. */
#include "standing.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Time constant of the moving average of statements. */
#define ORIGIN_WINDOW_US (10 * USEC_PER_SEC)
/** With fewer statements a second their origin is chance. */
#define ORIGIN_PER_S_MIN 1.0

void standing_decay(struct standing_origins *o, int64_t now_us)
{
	double factor = exp(-(double)(now_us - o->updated_us) / (double)ORIGIN_WINDOW_US);
	unsigned i;

	for (i = 0; i < o->n; i++)
		o->origin[i].per_s *= factor;
	o->updated_us = now_us;
}

void standing_count(struct standing_origins *o, const char *data_center, int64_t now_us)
{
	unsigned i;

	standing_decay(o, now_us);
	for (i = 0; i < o->n && strcmp(o->origin[i].data_center, data_center) != 0; i++)
		;
	if (i == STANDING_CENTERS_MAX)
		return;
	if (i == o->n) {
		o->origin[i].per_s = 0;
		snprintf(o->origin[i].data_center, NAME_SIZE, "%s", data_center);
		o->n++;
	}
	o->origin[i].per_s += (double)USEC_PER_SEC / (double)ORIGIN_WINDOW_US;
}

bool standing_is_past(int64_t age_us, int64_t least_us)
{
	return age_us > 0 && age_us >= least_us;
}

/** Where the primaries stand. */
struct table {
	const char *center[STANDING_CENTERS_MAX];
	unsigned n;
	int primaries[STANDING_CENTERS_MAX];
	/** Groups with their primary in the first data centre that have a member in the second. */
	int movable[STANDING_CENTERS_MAX][STANDING_CENTERS_MAX];
};

/** @return the index of @a center, which is added if it is new; -1 if there is no room */
static int center_index(struct table *t, const char *center)
{
	unsigned i;

	for (i = 0; i < t->n; i++) {
		if (strcmp(t->center[i], center) == 0)
			return (int)i;
	}
	if (t->n == STANDING_CENTERS_MAX)
		return -1;
	t->center[t->n] = center;
	return (int)t->n++;
}

/** Adds (@a by is 1) or removes (-1) a group whose primary is in the data centre @a at. */
static void table_put(struct table *t, const struct standing_group *g, int at, int by)
{
	bool counted[STANDING_CENTERS_MAX] = {false};
	unsigned i;

	if (at < 0)
		return;
	t->primaries[at] += by;
	for (i = 0; i < g->n; i++) {
		int to = center_index(t, g->member[i]);

		if (to < 0 || to == at || counted[to])
			continue;
		counted[to] = true;
		t->movable[at][to] += by;
	}
}

/** @return whether no data centre has too many primaries above one that has members of theirs */
static bool is_even(const struct table *t)
{
	unsigned a, b;

	for (a = 0; a < t->n; a++) {
		for (b = 0; b < t->n; b++) {
			if (t->movable[a][b] > 0 &&
			    t->primaries[a] - t->primaries[b] > STANDING_EXCESS_MAX)
				return false;
		}
	}
	return true;
}

static bool stays_even(struct table *t, const struct standing_group *g, int from, int to)
{
	bool even;

	table_put(t, g, from, -1);
	table_put(t, g, to, 1);
	even = is_even(t);
	table_put(t, g, to, -1);
	table_put(t, g, from, 1);
	return even;
}

static double rate_from(const struct standing_group *g, const char *center)
{
	unsigned i;

	for (i = 0; g->origins != NULL && i < g->origins->n; i++) {
		if (strcmp(g->origins->origin[i].data_center, center) == 0)
			return g->origins->origin[i].per_s;
	}
	return 0;
}

static double rate_of_all(const struct standing_group *g)
{
	double sum = 0;
	unsigned i;

	for (i = 0; g->origins != NULL && i < g->origins->n; i++)
		sum += g->origins->origin[i].per_s;
	return sum;
}

/** The best move of one kind. */
struct choice {
	bool found;
	struct standing_move move;
};

static bool may_move(const struct standing_group *g, const struct standing_limits *l)
{
	return standing_is_past(g->moved_age_us, l->pause_us);
}

/**
 * @return the move that writers gain most by, among those that even out. A group that is taken from
 * its writers might go back to them after other moves.
 */
static struct choice even_out(struct table *t, const struct standing_group *g, unsigned n,
			      const struct standing_limits *l)
{
	struct choice best = {.found = false, .move.why = "even"};
	int most = 0;
	double gain = 0;
	unsigned i, j;

	for (i = 0; i < n; i++) {
		int from = center_index(t, g[i].data_center);

		for (j = 0; from >= 0 && may_move(&g[i], l) && j < g[i].n; j++) {
			int to = center_index(t, g[i].member[j]);
			int excess = to >= 0 ? t->primaries[from] - t->primaries[to] : 0;
			double more = rate_from(&g[i], g[i].member[j]) -
				      rate_from(&g[i], g[i].data_center);

			if (excess <= STANDING_EXCESS_MAX ||
			    (best.found && (more < gain || (more <= gain && excess <= most))))
				continue;
			most = excess;
			gain = more;
			best.found = true;
			best.move.group = i;
			best.move.data_center = g[i].member[j];
		}
	}
	return best;
}

/** @return the move that brings a primary to the writers that are the largest share of its own */
static struct choice follow_writers(struct table *t, const struct standing_group *g, unsigned n,
				    const struct standing_limits *l)
{
	struct choice best = {.found = false, .move.why = "origin"};
	double best_share = 0;
	unsigned i, j;

	for (i = 0; i < n; i++) {
		double all = rate_of_all(&g[i]);

		if (!may_move(&g[i], l) || all < ORIGIN_PER_S_MIN)
			continue;
		for (j = 0; j < g[i].n; j++) {
			double share = rate_from(&g[i], g[i].member[j]) / all;

			if (share < STANDING_SHARE || share <= best_share ||
			    strcmp(g[i].member[j], g[i].data_center) == 0 ||
			    !stays_even(t, &g[i], center_index(t, g[i].data_center),
					center_index(t, g[i].member[j])))
				continue;
			best_share = share;
			best.found = true;
			best.move.group = i;
			best.move.data_center = g[i].member[j];
		}
	}
	return best;
}

static bool is_settled(const struct standing_group *g, unsigned n, const struct standing_limits *l)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		if (!g[i].known || !standing_is_past(g[i].changes_age_us, STANDING_QUIET_US))
			return false;
	}
	return standing_is_past(l->quiet_us, STANDING_QUIET_US);
}

/** Adds the move of a group to the plan, or to the one that the plan has for it already. */
static void plan_add(struct standing_plan *plan, const struct standing_move *m)
{
	unsigned i;

	for (i = 0; i < plan->n && plan->move[i].group != m->group; i++)
		;
	if (i == plan->n)
		plan->n++;
	plan->move[i] = *m;
}

/** Removes the moves of groups that end where they are. */
static void plan_drop_returns(struct standing_plan *plan, const struct standing_group *g)
{
	unsigned i, n = 0;

	for (i = 0; i < plan->n; i++) {
		const struct standing_move *m = &plan->move[i];

		if (strcmp(m->data_center, g[m->group].data_center) != 0)
			plan->move[n++] = *m;
	}
	plan->n = n;
}

/**
 * Makes moves one after another, each of which evens the primaries out or, without making them
 * uneven, brings one to its writers. Neither can be repeated for ever. A group may be moved away
 * and back in the course of this, so only the places in which groups end count.
 */
void standing_plan(const struct standing_group *g, unsigned n, const struct standing_limits *l,
		   struct standing_plan *plan)
{
	struct standing_group *at;
	struct table t = {.n = 0};
	unsigned i;

	plan->n = 0;
	plan->verdict = is_settled(g, n, l) ? STANDING_STAYS : STANDING_UNSETTLED;
	if (plan->verdict == STANDING_UNSETTLED || n == 0)
		return;
	at = malloc(n * sizeof(*at));
	if (at == NULL)
		return;
	memcpy(at, g, n * sizeof(*at));
	for (i = 0; i < n; i++)
		table_put(&t, &at[i], center_index(&t, at[i].data_center), 1);
	while (plan->n < STANDING_MOVES_MAX) {
		struct choice c = even_out(&t, at, n, l);

		if (!c.found)
			c = follow_writers(&t, at, n, l);
		if (!c.found)
			break;
		i = c.move.group;
		table_put(&t, &at[i], center_index(&t, at[i].data_center), -1);
		at[i].data_center = c.move.data_center;
		table_put(&t, &at[i], center_index(&t, at[i].data_center), 1);
		plan_add(plan, &c.move);
	}
	free(at);
	plan_drop_returns(plan, g);
	if (plan->n > 0)
		plan->verdict = STANDING_MOVE;
}
