/** @file budget.c Connections of a member as a budget: by team, class, transactions and VMs. */
#include "budget.h"

#include <glib.h>
#include <string.h>

/** Weight of a new sample in the moving average of the time between uses. */
#define GAP_ALPHA 0.2
/** Weight of the time since the last use beyond the moving average. */
#define AGE_WEIGHT 0.5
/** Assumed time between uses of a connection that was used once: the median seen is 1.7 to 3.8 s.
 */
#define GAP_INITIAL_US (4.0 * USEC_PER_SEC)
/** A class counts as in use for this long after its last statement. */
#define CLASS_RECENT_US (10 * USEC_PER_SEC)
/** Teams whose entries are allocated at a time. */
#define TEAMS_STEP 16
/** While several teams have open transactions, no team may hold more than 1/4 of the bound. */
#define RESTING_TEAM_DIVISOR 4
/**
 * A reader that got no grant for this long while it serves reads has an owner of an older build:
 * without contact to its owner it could serve no reads for so long.
 */
#define OLDER_OWNER_US (10 * USEC_PER_SEC)

/* Use by team */

void budget_history_clear(struct budget_history *h)
{
	g_free(h->teams);
	memset(h, 0, sizeof(*h));
}

static struct budget_team *team_find(const struct budget_history *h, const char *team)
{
	unsigned i;

	for (i = 0; i < h->n; i++) {
		if (strcmp(h->teams[i].name, team) == 0)
			return &h->teams[i];
	}
	return NULL;
}

static struct budget_team *team_stalest(const struct budget_history *h)
{
	struct budget_team *best = &h->teams[0];
	unsigned i;

	for (i = 1; i < h->n; i++) {
		if (h->teams[i].last_us < best->last_us)
			best = &h->teams[i];
	}
	return best;
}

static struct budget_team *team_add(struct budget_history *h, const char *team)
{
	struct budget_team *t;

	if (h->n == h->room && h->room < BUDGET_TEAMS_MAX) {
		h->room += TEAMS_STEP;
		h->teams = g_renew(struct budget_team, h->teams, h->room);
	}
	t = h->n < h->room ? &h->teams[h->n++] : team_stalest(h);
	memset(t, 0, sizeof(*t));
	g_strlcpy(t->name, team, sizeof(t->name));
	return t;
}

static unsigned less(unsigned a, unsigned b)
{
	return a > b ? a - b : 0;
}

void budget_record_use(struct budget_history *h, const char *team, unsigned priority,
		       unsigned in_use, int64_t now_us)
{
	unsigned class = MIN(priority, BUDGET_CLASSES - 1);
	struct budget_team *t = team_find(h, team);
	struct budget_level *l;
	double gap;

	if (t == NULL)
		t = team_add(h, team);
	l = &t->level[MIN(in_use, BUDGET_LEVELS - 1)];
	gap = (double)(now_us - l->last_us);
	if (l->last_us != 0)
		l->gap_us = l->gap_us > 0 ? l->gap_us + GAP_ALPHA * (gap - l->gap_us) : gap;
	l->last_us = now_us;
	t->last_us = now_us;
	t->class_us[class] = now_us;
	h->class_us[class] = now_us;
}

/** @return expected time until the next use of the level */
static double level_wait_us(const struct budget_level *l, int64_t now_us)
{
	double gap = l->gap_us > 0 ? l->gap_us : GAP_INITIAL_US;
	double age = (double)(now_us - l->last_us);

	/* A team that stays away longer than usual may have come at random, or may have left. */
	return age > gap ? gap + AGE_WEIGHT * (age - gap) : gap;
}

static double next_use_us(const struct budget_team *t, unsigned in_use, int64_t now_us)
{
	const struct budget_level *l = t != NULL ? &t->level[MIN(in_use, BUDGET_LEVELS - 1)] : NULL;

	return l != NULL && l->last_us != 0 ? level_wait_us(l, now_us) : (double)now_us;
}

double budget_next_use_us(const struct budget_history *h, const char *team, unsigned in_use,
			  int64_t now_us)
{
	return next_use_us(team_find(h, team), in_use, now_us);
}

static unsigned urgent_class(const int64_t class_us[BUDGET_CLASSES], int64_t now_us)
{
	unsigned i;

	for (i = 0; i < BUDGET_CLASSES; i++) {
		if (class_us[i] != 0 && now_us - class_us[i] <= CLASS_RECENT_US)
			break;
	}
	return i;
}

unsigned budget_urgent_class(const struct budget_history *h, int64_t now_us)
{
	return urgent_class(h->class_us, now_us);
}

double budget_spare_us(const struct budget_history *h, const char *team, unsigned in_use,
		       int64_t now_us)
{
	const struct budget_team *t = team_find(h, team);
	unsigned class = t != NULL ? urgent_class(t->class_us, now_us) : BUDGET_CLASSES;
	/*
	 * The wait of a connection of class 0 counts half as much as one of the last class. With a
	 * steeper scale, urgent teams that are seldom seen would hold connections that others need
	 * for every statement.
	 */
	double scale = 1 + (double)less(BUDGET_CLASSES - 1, class) / (BUDGET_CLASSES - 1);

	return next_use_us(t, in_use, now_us) / scale;
}

unsigned budget_wanted(const struct budget_history *h, int64_t within_us, int64_t now_us)
{
	unsigned i, j, n = 0;

	for (i = 0; i < h->n; i++) {
		for (j = 0; j < BUDGET_LEVELS; j++) {
			const struct budget_level *l = &h->teams[i].level[j];

			if (l->last_us != 0 && level_wait_us(l, now_us) <= (double)within_us)
				n++;
		}
	}
	return n;
}

/* What may be opened */

bool budget_may_open(const struct budget_opening *o)
{
	unsigned kept = (unsigned)(o->urgent_share * o->limit);

	if (MIN(o->priority, BUDGET_CLASSES - 1) <= o->urgent_class)
		kept = 0;
	return o->in_use < MAX(less(o->limit, kept), 1);
}

/* Open transactions */

bool budget_may_begin(const struct budget_resting *r)
{
	unsigned bound = MAX((unsigned)(r->resting_share * r->connections), 1);

	if (r->all >= bound)
		return false;
	return r->urgent || r->all == r->team || r->team < MAX(bound / RESTING_TEAM_DIVISOR, 1);
}

/* Division of a member's limit */

static const struct budget_grant *reader_newest(const struct budget_reader *r)
{
	return &r->grant[r->n - 1];
}

/** Whether the reader asked so lately that it may use a grant of this owner. */
static bool reader_known(const struct budget_reader *r, int64_t now_us)
{
	return r->n > 0 && now_us - reader_newest(r)->sent_us < BUDGET_COUNT_US;
}

/** @return the most connections that the reader may hold; without a grant BUDGET_UNGRANTED */
static unsigned reader_counted(const struct budget_reader *r, int64_t now_us)
{
	unsigned i;

	for (i = 0; i < r->n; i++) {
		if (now_us - r->grant[i].sent_us < BUDGET_COUNT_US)
			return MAX(r->grant[i].n, BUDGET_UNGRANTED);
	}
	return BUDGET_UNGRANTED;
}

/**
 * Records a grant. The earlier ones that are higher count until they expire, since the answer with
 * the new one may be lost.
 */
static void reader_grant(struct budget_reader *r, unsigned n, int64_t now_us)
{
	unsigned first = 0;

	while (first < r->n && now_us - r->grant[first].sent_us >= BUDGET_COUNT_US)
		first++;
	memmove(r->grant, &r->grant[first], (r->n - first) * sizeof(r->grant[0]));
	r->n -= first;
	while (r->n > 0 && reader_newest(r)->n <= n)
		r->n--;
	if (r->n == BUDGET_GRANTS_MAX)
		n = r->grant[--r->n].n;
	r->grant[r->n++] = (struct budget_grant){.n = n, .sent_us = now_us};
}

bool budget_granting(const struct budget_grants *g)
{
	unsigned i;

	for (i = 0; i < BUDGET_READERS_MAX; i++) {
		if (g->reader[i].n > 0)
			return true;
	}
	return false;
}

unsigned budget_expire(struct budget_grants *g, int64_t now_us)
{
	unsigned i, n = 0;

	for (i = 0; i < BUDGET_READERS_MAX; i++) {
		struct budget_reader *r = &g->reader[i];

		if (r->n == 0 || reader_known(r, now_us))
			continue;
		memset(r, 0, sizeof(*r));
		n++;
	}
	return n;
}

/** @return the entry of the reader, or a free one; NULL if there is none */
static struct budget_reader *reader_find(struct budget_grants *g, const char *vm)
{
	struct budget_reader *unused = NULL;
	unsigned i;

	for (i = 0; i < BUDGET_READERS_MAX; i++) {
		struct budget_reader *r = &g->reader[i];

		if (r->n > 0 && strcmp(r->name, vm) == 0)
			return r;
		if (r->n == 0 && unused == NULL)
			unused = r;
	}
	return unused;
}

/** @return the connections that statements may use: all but those for probes */
static unsigned capacity(const struct budget_division *d)
{
	return less(d->connections, BUDGET_PROBE_CONNECTIONS);
}

/**
 * @return the most connections that each of @a n VMs gets, so that none gets less than it wants
 * while another gets more (max-min fairness)
 */
static unsigned fair_part(unsigned all, const unsigned *wants, unsigned n)
{
	unsigned part, used, i;

	for (part = 0; part < all; part++) {
		used = 0;
		for (i = 0; i < n; i++)
			used += MIN(wants[i], part + 1);
		if (used > all)
			break;
	}
	return part;
}

static unsigned floor_of(const struct budget_division *d)
{
	return MAX(d->floor, BUDGET_UNGRANTED);
}

/**
 * @return the fair part of each VM. A usual reader that does not ask counts with the floor.
 * @param asking a reader that asks now, or NULL
 */
static unsigned division_part(const struct budget_grants *g, const struct budget_division *d,
			      const struct budget_reader *asking, int64_t now_us)
{
	unsigned wants[2 * BUDGET_READERS_MAX + 1], n = 0, known, i;

	wants[n++] = MAX(d->want, floor_of(d));
	for (i = 0; i < BUDGET_READERS_MAX; i++) {
		const struct budget_reader *r = &g->reader[i];

		if (r == asking || reader_known(r, now_us))
			wants[n++] = MAX(r->want, floor_of(d));
	}
	known = n - 1;
	for (i = 0; i < MIN(less(d->readers, known), BUDGET_READERS_MAX); i++)
		wants[n++] = floor_of(d);
	return fair_part(less(capacity(d), d->reserve), wants, n);
}

/**
 * @return the connections that readers other than @a but may hold. Each usual reader counts, also
 * if it did not ask. @param at_least what each of them counts with at least
 */
static unsigned readers_hold(const struct budget_grants *g, const struct budget_division *d,
			     const struct budget_reader *but, unsigned at_least, int64_t now_us)
{
	unsigned held = 0, n = but != NULL ? 1 : 0, i;

	for (i = 0; i < BUDGET_READERS_MAX; i++) {
		const struct budget_reader *r = &g->reader[i];

		if (r == but || r->n == 0)
			continue;
		held += MAX(reader_counted(r, now_us), at_least);
		n++;
	}
	return held + less(d->readers, n) * at_least;
}

unsigned budget_divide(struct budget_grants *g, const struct budget_division *d, const char *vm,
		       unsigned want, int64_t now_us)
{
	struct budget_reader *r;
	unsigned floor = floor_of(d), hard, left, n;

	budget_expire(g, now_us);
	/* Not counted beyond the usual readers: most VMs that ask never use the primary. */
	if (want == 0)
		return BUDGET_UNGRANTED;
	r = reader_find(g, vm);
	if (r == NULL)
		return 0;
	hard = less(capacity(d), d->held + readers_hold(g, d, r, BUDGET_UNGRANTED, now_us));
	/*
	 * The other readers can get the floor at any time. A new owner cannot know the grants of
	 * the one before and gives no more than that until they have expired.
	 */
	left = less(less(capacity(d), d->reserve), d->held + readers_hold(g, d, r, floor, now_us));
	if (r->n == 0)
		g_strlcpy(r->name, vm, sizeof(r->name));
	r->want = want;
	n = MIN(want, division_part(g, d, r, now_us));
	n = MIN(n, left);
	if (!d->settled)
		n = MIN(n, floor);
	n = MAX(n, MAX(MIN(want, floor), BUDGET_UNGRANTED));
	n = MIN(n, hard);
	reader_grant(r, n, now_us);
	return reader_newest(r)->n;
}

unsigned budget_owner_limit(const struct budget_grants *g, const struct budget_division *d,
			    int64_t now_us)
{
	unsigned part = division_part(g, d, NULL, now_us), floor = floor_of(d), readers, i;

	readers = readers_hold(g, d, NULL, floor, now_us);
	/* What a reader wants and has not got yet, since the owner holds idle connections. */
	for (i = 0; i < BUDGET_READERS_MAX; i++) {
		const struct budget_reader *r = &g->reader[i];

		if (reader_known(r, now_us))
			readers += less(MIN(r->want, part), MAX(reader_counted(r, now_us), floor));
	}
	return less(capacity(d), readers);
}

unsigned budget_allowed(const struct budget_allowance *a, unsigned otherwise, int64_t now_us)
{
	int64_t since = a->granted_us != 0 ? a->granted_us : a->since_us;

	if (a->granted_us != 0 && now_us - a->granted_us < BUDGET_GRANT_US)
		return a->granted;
	if (since != 0 && now_us - since >= OLDER_OWNER_US)
		return otherwise;
	return MIN(BUDGET_UNGRANTED, otherwise);
}
