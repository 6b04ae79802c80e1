/** @file fairq.c Deficit round robin by team, earliest deadline first within a team. */
#include "fairq.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Initial value of the moving average of the service time. */
#define SERVICE_INITIAL_US 500.0
/** Weight of a new sample in the moving average. */
#define SERVICE_ALPHA 0.05
/** Minimum number of items that a team may have queued, however small its share. */
#define TEAM_LIMIT_MIN 4

void fairq_init(struct fairq *q, unsigned limit, unsigned slots)
{
	memset(q, 0, sizeof(*q));
	TAILQ_INIT(&q->active);
	TAILQ_INIT(&q->idle);
	q->limit = limit;
	q->slots = slots > 0 ? slots : 1;
	q->pass = 1;
	q->service_us = SERVICE_INITIAL_US;
}

static void fairq_free_teams(struct fairq_teams *teams)
{
	struct fairq_team *t, *next;

	TAILQ_FOREACH_SAFE(t, teams, link, next) {
		TAILQ_REMOVE(teams, t, link);
		free(t);
	}
}

void fairq_clear(struct fairq *q)
{
	fairq_free_teams(&q->active);
	fairq_free_teams(&q->idle);
	q->length = 0;
}

static struct fairq_team *fairq_find(struct fairq_teams *teams, const char *name)
{
	struct fairq_team *t;

	TAILQ_FOREACH(t, teams, link) {
		if (strcmp(t->name, name) == 0)
			return t;
	}
	return NULL;
}

static struct fairq_team *fairq_team_get(struct fairq *q, const char *name)
{
	struct fairq_team *t = fairq_find(&q->active, name);

	if (t == NULL)
		t = fairq_find(&q->idle, name);
	if (t != NULL)
		return t;
	t = calloc(1, sizeof(*t));
	if (t == NULL)
		abort();
	snprintf(t->name, sizeof(t->name), "%s", name);
	TAILQ_INIT(&t->items);
	TAILQ_INSERT_TAIL(&q->idle, t, link);
	return t;
}

static double fairq_active_weight(const struct fairq *q, const struct fairq_team *with)
{
	struct fairq_team *t;
	double sum = with->active ? 0 : with->weight;

	TAILQ_FOREACH(t, &q->active, link)
		sum += t->weight;
	return sum;
}

/**
 * Predicts the wait of a new item of @a t that has @a ahead items of its team before it: the time
 * to serve them with the team's share of the slots, at most the time to serve the whole queue.
 */
static int64_t fairq_predict_us(const struct fairq *q, const struct fairq_team *t, unsigned ahead)
{
	double share = t->weight / fairq_active_weight(q, t);
	double wait_us = (double)ahead * q->service_us / (double)q->slots / share;
	double drain_us = (double)q->length * q->service_us / (double)q->slots;

	return (int64_t)(wait_us < drain_us ? wait_us : drain_us);
}

/** @return how many items @a t may have queued: its share of the limit by weight, with a minimum */
static unsigned fairq_team_limit(const struct fairq *q, const struct fairq_team *t)
{
	unsigned share = (unsigned)((double)q->limit * t->weight / fairq_active_weight(q, t));

	return share > TEAM_LIMIT_MIN ? share : TEAM_LIMIT_MIN;
}

static void fairq_insert(struct fairq_team *t, struct fairq_item *item)
{
	struct fairq_item *at;

	TAILQ_FOREACH_REVERSE(at, &t->items, fairq_items, link)
	{
		if (at->deadline_us <= item->deadline_us) {
			TAILQ_INSERT_AFTER(&t->items, at, item, link);
			return;
		}
	}
	TAILQ_INSERT_HEAD(&t->items, item, link);
}

static unsigned fairq_ahead(const struct fairq_team *t, int64_t deadline_us)
{
	struct fairq_item *at;
	unsigned ahead = 0;

	TAILQ_FOREACH(at, &t->items, link) {
		if (at->deadline_us > deadline_us)
			break;
		ahead++;
	}
	return ahead;
}

static unsigned fairq_active_teams(const struct fairq *q)
{
	struct fairq_team *t;
	unsigned n = 0;

	TAILQ_FOREACH(t, &q->active, link)
		n++;
	return n;
}

/**
 * Moves @a t to the active teams. A team that was idle for a whole round has used less than its
 * share, so its first item is served next instead of after the current round of the teams with a
 * backlog. A team that was idle for a shorter time goes to the end of the round; otherwise a team
 * could get more than its share by emptying its queue repeatedly.
 */
static void fairq_activate(struct fairq *q, struct fairq_team *t)
{
	bool idle_for_round = q->turns - t->idle_since_turn >= fairq_active_teams(q);

	TAILQ_REMOVE(&q->idle, t, link);
	t->active = true;
	t->deficit = idle_for_round ? 1 : 0;
	if (idle_for_round)
		TAILQ_INSERT_HEAD(&q->active, t, link);
	else
		TAILQ_INSERT_TAIL(&q->active, t, link);
}

struct fairq_team *fairq_team_of(struct fairq *q, const char *name, double weight)
{
	struct fairq_team *t = fairq_team_get(q, name);

	t->weight = weight > 1 ? weight : 1;
	return t;
}

/*
 * Without a limit per team, a team that sends several times its rate would fill the queue, and
 * requests of every other team would be refused because the queue is full.
 */
bool fairq_is_full(const struct fairq *q, const struct fairq_team *t)
{
	return q->length + q->aside >= q->limit || t->length + t->aside >= fairq_team_limit(q, t);
}

int64_t fairq_wait_us(const struct fairq *q, const struct fairq_team *t, int64_t deadline_us)
{
	return fairq_predict_us(q, t, fairq_ahead(t, deadline_us));
}

int64_t fairq_wait_behind_us(const struct fairq *q, const struct fairq_team *t, unsigned ahead)
{
	return fairq_predict_us(q, t, ahead);
}

void fairq_put(struct fairq *q, struct fairq_item *item, struct fairq_team *t)
{
	item->team = t;
	fairq_insert(t, item);
	t->length++;
	q->length++;
	if (!t->active)
		fairq_activate(q, t);
}

struct fairq_outcome fairq_add(struct fairq *q, struct fairq_item *item, const char *team,
			       double weight, int64_t now_us)
{
	struct fairq_outcome out = {.verdict = FAIRQ_QUEUED};
	struct fairq_team *t = fairq_team_of(q, team, weight);
	int64_t wait_us = fairq_wait_us(q, t, item->deadline_us);

	out.retry_after_us = wait_us;
	if (fairq_is_full(q, t)) {
		out.verdict = FAIRQ_FULL;
		return out;
	}
	if (now_us + wait_us > item->deadline_us) {
		out.verdict = FAIRQ_TOO_LATE;
		return out;
	}
	fairq_put(q, item, t);
	return out;
}

static void fairq_unlink(struct fairq *q, struct fairq_item *item)
{
	struct fairq_team *t = item->team;

	TAILQ_REMOVE(&t->items, item, link);
	item->team = NULL;
	t->length--;
	q->length--;
	if (t->length > 0)
		return;
	TAILQ_REMOVE(&q->active, t, link);
	TAILQ_INSERT_TAIL(&q->idle, t, link);
	t->active = false;
	t->deficit = 0;
	t->idle_since_turn = q->turns;
}

static double fairq_largest_weight(const struct fairq *q)
{
	struct fairq_team *t;
	double largest = 1;

	TAILQ_FOREACH(t, &q->active, link) {
		if (t->weight > largest)
			largest = t->weight;
	}
	return largest;
}

/**
 * Ends the turn of @a t. Its deficit grows in every round, so it reaches 1 after a finite number of
 * rounds.
 */
static void fairq_end_turn(struct fairq *q, struct fairq_team *t, double quantum)
{
	t->deficit += t->weight / quantum;
	q->turns++;
	TAILQ_REMOVE(&q->active, t, link);
	TAILQ_INSERT_TAIL(&q->active, t, link);
}

struct fairq_item *fairq_next(struct fairq *q)
{
	double quantum = fairq_largest_weight(q);

	for (;;) {
		struct fairq_team *t = TAILQ_FIRST(&q->active);
		struct fairq_item *item;

		if (t == NULL)
			return NULL;
		if (t->deficit < 1) {
			fairq_end_turn(q, t, quantum);
			continue;
		}
		t->deficit -= 1;
		item = TAILQ_FIRST(&t->items);
		fairq_unlink(q, item);
		return item;
	}
}

void fairq_set_aside(struct fairq *q, struct fairq_item *item)
{
	struct fairq_team *t = item->team;

	fairq_unlink(q, item);
	t->aside++;
	q->aside++;
}

void fairq_end_aside(struct fairq *q, struct fairq_team *t)
{
	t->aside--;
	q->aside--;
}

void fairq_begin_pass(struct fairq *q)
{
	q->pass++;
}

unsigned fairq_servable(const struct fairq *q)
{
	const struct fairq_team *t;
	unsigned n = 0;

	TAILQ_FOREACH(t, &q->active, link)
		n += fairq_skipped(q, t) ? 0 : t->length;
	return n;
}

/** Returns the team's first item that fits; marks the team as skipped if there is none. */
static struct fairq_item *fairq_first_fit(struct fairq *q, struct fairq_team *t, fairq_fits fits,
					  void *arg)
{
	struct fairq_item *item;

	TAILQ_FOREACH(item, &t->items, link) {
		enum fairq_fit fit = fits(item, arg);

		if (fit == FAIRQ_FITS)
			return item;
		if (fit == FAIRQ_SKIP_TEAM)
			break;
	}
	t->skipped = q->pass;
	return NULL;
}

/** Returns the first team in the round that is not skipped, or NULL. */
static struct fairq_team *fairq_turn(const struct fairq *q)
{
	struct fairq_team *t;

	TAILQ_FOREACH(t, &q->active, link) {
		if (!fairq_skipped(q, t))
			return t;
	}
	return NULL;
}

struct fairq_item *fairq_next_fit(struct fairq *q, fairq_fits fits, void *arg)
{
	double quantum = fairq_largest_weight(q);
	struct fairq_team *t;

	while ((t = fairq_turn(q)) != NULL) {
		struct fairq_item *item;

		if (t->deficit < 1) {
			fairq_end_turn(q, t, quantum);
			continue;
		}
		item = fairq_first_fit(q, t, fits, arg);
		if (item == NULL)
			continue;
		t->deficit -= 1;
		fairq_unlink(q, item);
		return item;
	}
	return NULL;
}

void fairq_remove(struct fairq *q, struct fairq_item *item)
{
	if (item->team != NULL)
		fairq_unlink(q, item);
}

struct fairq_item *fairq_expired(struct fairq *q, int64_t now_us)
{
	struct fairq_team *t;

	TAILQ_FOREACH(t, &q->active, link) {
		struct fairq_item *first = TAILQ_FIRST(&t->items);

		if (first->deadline_us <= now_us) {
			fairq_unlink(q, first);
			return first;
		}
	}
	return NULL;
}

void fairq_record_service(struct fairq *q, int64_t us)
{
	q->service_us += SERVICE_ALPHA * ((double)us - q->service_us);
}
