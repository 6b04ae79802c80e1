/** @file dueq.c Order, forecasts and refusals of the queue by class and target latency. */
#include "dueq.h"

#include <string.h>

void dueq_init(struct dueq *q, unsigned limit, unsigned slots)
{
	unsigned i;

	memset(q, 0, sizeof(*q));
	q->slots_initial = q->slots = slots > 0 ? slots : 1;
	q->last_class = DUEQ_CLASSES - 1;
	for (i = 0; i < DUEQ_CLASSES; i++) {
		fairq_init(&q->class[i], limit, slots);
		TAILQ_INIT(&q->late[i]);
	}
}

void dueq_clear(struct dueq *q)
{
	unsigned i;

	for (i = 0; i < DUEQ_CLASSES; i++)
		fairq_clear(&q->class[i]);
}

void dueq_set_slots(struct dueq *q, unsigned slots)
{
	unsigned i;

	q->slots = slots > 0 ? slots : 1;
	for (i = 0; i < DUEQ_CLASSES; i++)
		q->class[i].slots =
			q->measured[i] || q->slots > q->slots_initial ? q->slots : q->slots_initial;
}

void dueq_set_base_slots(struct dueq *q, unsigned slots)
{
	unsigned i;

	q->slots_initial = slots > 0 ? slots : 1;
	for (i = 0; !q->by_aim && i < DUEQ_CLASSES; i++)
		q->class[i].slots = q->slots_initial;
}

unsigned dueq_length(const struct dueq *q)
{
	unsigned i, n = 0;

	for (i = 0; i < DUEQ_CLASSES; i++)
		n += q->class[i].length + q->class[i].aside;
	return n;
}

void dueq_record_service(struct dueq *q, unsigned class, int64_t us)
{
	fairq_record_service(&q->class[class], us);
	q->measured[class] = true;
}

/* Late items */

/** Whether an item of @a class that is served now would be answered after @a aim_us. */
static bool misses_aim(const struct dueq *q, unsigned class, int64_t aim_us, int64_t now)
{
	return now + (int64_t)q->class[class].service_us > aim_us;
}

/** Queues the item among the late ones of its class. Its team must count it as set aside. */
static void late_insert(struct dueq *q, struct dueq_item *item)
{
	struct fairq_items *late = &q->late[item->class];
	struct fairq_item *at;

	item->late = true;
	TAILQ_FOREACH_REVERSE(at, late, fairq_items, link)
	{
		if (((struct dueq_item *)at)->deadline_us <= item->deadline_us) {
			TAILQ_INSERT_AFTER(late, at, &item->fair, link);
			return;
		}
	}
	TAILQ_INSERT_HEAD(late, &item->fair, link);
}

static void late_remove(struct dueq *q, struct dueq_item *item)
{
	TAILQ_REMOVE(&q->late[item->class], &item->fair, link);
	item->late = false;
	fairq_end_aside(&q->class[item->class], item -> team);
}

/** Moves the items of a class that have become late. The first of each team is the earliest. */
static void age_class(struct dueq *q, unsigned class, int64_t now)
{
	struct fairq *c = &q->class[class];
	struct fairq_team *t, *next;
	struct fairq_item *item;

	TAILQ_FOREACH_SAFE(t, &c->active, link, next) {
		while ((item = TAILQ_FIRST(&t->items)) != NULL &&
		       misses_aim(q, class, item->deadline_us, now)) {
			fairq_set_aside(c, item);
			late_insert(q, (struct dueq_item *)item);
		}
	}
}

static void age(struct dueq *q, int64_t now)
{
	unsigned i;

	for (i = 0; q->by_aim && i < DUEQ_CLASSES; i++)
		age_class(q, i, now);
}

/* Forecast */

/** Returns the time to serve @a n items of @a class, 0 while that is not known. */
static double work_us(const struct dueq *q, unsigned class, unsigned n)
{
	if (!q->measured[class])
		return 0;
	return n * q->class[class].service_us / q->class[class].slots;
}

static bool late_servable(const struct dueq *q, const struct dueq_item *item)
{
	return !fairq_skipped(&q->class[item->class], item -> team);
}

/** Returns the time to serve the late items of @a class whose deadline is before @a deadline_us. */
static double late_work_us(const struct dueq *q, unsigned class, int64_t deadline_us)
{
	const struct fairq_item *at;
	unsigned n = 0;

	TAILQ_FOREACH(at, &q->late[class], link) {
		const struct dueq_item *item = (const struct dueq_item *)at;

		if (item->deadline_us > deadline_us)
			break;
		n += late_servable(q, item) ? 1 : 0;
	}
	return work_us(q, class, n);
}

/** Returns the time to serve the items of classes more urgent than @a class that are not late. */
static double urgent_work_us(const struct dueq *q, unsigned class)
{
	double us = 0;
	unsigned i;

	for (i = 0; i < class; i++)
		us += work_us(q, i, fairq_servable(&q->class[i]));
	return us;
}

/**
 * Returns how long the waiting items that are not late precede a late one: until they are served,
 * at most until the last of them is late too.
 */
static double timely_work_us(const struct dueq *q, int64_t now)
{
	double us = urgent_work_us(q, DUEQ_CLASSES), horizon_us = 0;
	const struct fairq_team *t;
	unsigned i;

	for (i = 0; i < DUEQ_CLASSES; i++) {
		TAILQ_FOREACH(t, &q->class[i].active, link) {
			double left =
				(double)(TAILQ_LAST(&t->items, fairq_items)->deadline_us - now);

			horizon_us = left > horizon_us ? left : horizon_us;
		}
	}
	return us < horizon_us ? us : horizon_us;
}

/**
 * Returns the wait of an item that is not late: more urgent classes and @a own_us, the wait within
 * its class. Because of its minimum share, the last class waits for at most DUEQ_LAST_SHARE - 1
 * others for each of its items.
 */
static double timely_wait_us(const struct dueq *q, unsigned class, double own_us)
{
	double wait_us = urgent_work_us(q, class) + own_us, slowest_us = 0;
	const struct fairq *c = &q->class[class];
	unsigned i;

	if (class != q->last_class)
		return wait_us;
	for (i = 0; i < class; i++) {
		if (q->measured[i] && q->class[i].service_us > slowest_us)
			slowest_us = q->class[i].service_us;
	}
	/* The item itself is one of those that wait for others. */
	own_us += (own_us / c->service_us + 1.0 / c->slots) * (DUEQ_LAST_SHARE - 1) * slowest_us;
	return own_us < wait_us ? own_us : wait_us;
}

/** Returns the wait of an item that is late, or will be before it is served. */
static double late_wait_us(const struct dueq *q, unsigned class, int64_t deadline_us, int64_t now)
{
	double us = timely_work_us(q, now) + late_work_us(q, class, deadline_us);
	unsigned i;

	for (i = 0; i < class; i++)
		us += late_work_us(q, i, INT64_MAX);
	return us;
}

static int64_t forecast(const struct dueq *q, const struct dueq_item *item,
			const struct fairq_team *t, int64_t now)
{
	const struct fairq *c = &q->class[item->class];
	double wait_us;

	if (!q->by_aim)
		return fairq_wait_us(c, t, item->deadline_us);
	wait_us = timely_wait_us(q, item->class, (double)fairq_wait_us(c, t, item->aim_us));
	if (misses_aim(q, item->class, item->aim_us, now + (int64_t)wait_us))
		wait_us = late_wait_us(q, item->class, item->deadline_us, now);
	return (int64_t)wait_us;
}

int64_t dueq_forecast(struct dueq *q, const struct dueq_item *item, const char *team, double weight,
		      int64_t now_us)
{
	age(q, now_us);
	return forecast(q, item, fairq_team_of(&q->class[item->class], team, weight), now_us);
}

/* Adding and removing */

/** Queues an item whose team is set, without a check. */
static void put(struct dueq *q, struct dueq_item *item, int64_t now)
{
	struct fairq *c = &q->class[item->class];

	item->fair.deadline_us = q->by_aim ? item->aim_us : item->deadline_us;
	fairq_put(c, &item->fair, item->team);
	if (!q->by_aim || !misses_aim(q, item->class, item->aim_us, now))
		return;
	fairq_set_aside(c, &item->fair);
	late_insert(q, item);
}

struct fairq_outcome dueq_add(struct dueq *q, struct dueq_item *item, const char *team,
			      double weight, int64_t now_us)
{
	struct fairq_outcome out = {.verdict = FAIRQ_QUEUED};
	struct fairq *c = &q->class[item->class];

	item->late = false;
	if (!q->by_aim) {
		item->fair.deadline_us = item->deadline_us;
		out = fairq_add(c, &item->fair, team, weight, now_us);
		item->team = item->fair.team;
		return out;
	}
	age(q, now_us);
	item->team = fairq_team_of(c, team, weight);
	out.retry_after_us = forecast(q, item, item->team, now_us);
	if (fairq_is_full(c, item->team))
		out.verdict = FAIRQ_FULL;
	else if (now_us + out.retry_after_us > item->deadline_us)
		out.verdict = FAIRQ_TOO_LATE;
	else
		put(q, item, now_us);
	return out;
}

void dueq_put_back(struct dueq *q, struct dueq_item *item, const char *team, double weight,
		   int64_t now_us)
{
	bool charged = item->team != NULL;

	if (!charged)
		item->team = fairq_team_of(&q->class[item->class], team, weight);
	put(q, item, now_us);
	if (charged && !item->late)
		item->team->deficit += 1;
}

void dueq_remove(struct dueq *q, struct dueq_item *item)
{
	if (item->late)
		late_remove(q, item);
	else
		fairq_remove(&q->class[item->class], &item -> fair);
}

void dueq_set_order(struct dueq *q, bool by_aim, unsigned last_class)
{
	struct fairq_items items = TAILQ_HEAD_INITIALIZER(items);
	struct fairq_item *item;
	unsigned i;

	q->last_class = last_class < DUEQ_CLASSES ? last_class : DUEQ_CLASSES - 1;
	if (q->by_aim == by_aim)
		return;
	for (i = 0; i < DUEQ_CLASSES; i++) {
		while ((item = TAILQ_FIRST(&q->late[i])) != NULL) {
			late_remove(q, (struct dueq_item *)item);
			TAILQ_INSERT_TAIL(&items, item, link);
		}
		while ((item = fairq_next(&q->class[i])) != NULL)
			TAILQ_INSERT_TAIL(&items, item, link);
	}
	q->by_aim = by_aim;
	dueq_set_base_slots(q, q->slots_initial);
	while ((item = TAILQ_FIRST(&items)) != NULL) {
		TAILQ_REMOVE(&items, item, link);
		/* Items that are late by now are found by the next call. */
		put(q, (struct dueq_item *)item, 0);
	}
}

/* Service */

static enum fairq_fit fits_always(const struct fairq_item *item, void *arg)
{
	return FAIRQ_FITS;
}

struct dueq_item *dueq_next(struct dueq *q, int64_t now_us)
{
	dueq_begin_pass(q);
	return dueq_next_fit(q, fits_always, NULL, now_us);
}

void dueq_begin_pass(struct dueq *q)
{
	unsigned i;

	for (i = 0; i < DUEQ_CLASSES; i++)
		fairq_begin_pass(&q->class[i]);
}

void dueq_skip_team(struct dueq *q, const struct dueq_item *item)
{
	item->team->skipped = q->class[item->class].pass;
}

/** Takes the first late item of @a class that fits. */
static struct fairq_item *late_next(struct dueq *q, unsigned class, fairq_fits fits, void *arg)
{
	struct fairq_item *at;

	TAILQ_FOREACH(at, &q->late[class], link) {
		struct dueq_item *item = (struct dueq_item *)at;
		enum fairq_fit fit;

		if (!late_servable(q, item))
			continue;
		fit = fits(at, arg);
		if (fit == FAIRQ_SKIP_TEAM)
			dueq_skip_team(q, item);
		if (fit != FAIRQ_FITS)
			continue;
		late_remove(q, item);
		return at;
	}
	return NULL;
}

/** Takes the next item that is not late, with regard to the minimum share of the last class. */
static struct fairq_item *timely_next(struct dueq *q, fairq_fits fits, void *arg)
{
	struct fairq *last = &q->class[q->last_class];
	struct fairq_item *item = NULL;
	unsigned i;

	if (!q->by_aim || last->length == 0)
		q->passed_over = 0;
	if (q->passed_over >= DUEQ_LAST_SHARE - 1)
		item = fairq_next_fit(last, fits, arg);
	for (i = 0; i < DUEQ_CLASSES && item == NULL; i++)
		item = fairq_next_fit(&q->class[i], fits, arg);
	if (item == NULL)
		return NULL;
	q->passed_over =
		((struct dueq_item *)item)->class == q->last_class ? 0 : q->passed_over + 1;
	return item;
}

struct dueq_item *dueq_next_fit(struct dueq *q, fairq_fits fits, void *arg, int64_t now_us)
{
	struct fairq_item *item;
	unsigned i;

	age(q, now_us);
	item = timely_next(q, fits, arg);
	for (i = 0; i < DUEQ_CLASSES && item == NULL; i++)
		item = late_next(q, i, fits, arg);
	return (struct dueq_item *)item;
}

struct dueq_item *dueq_expired(struct dueq *q, int64_t now_us)
{
	struct fairq_item *item = NULL;
	unsigned i;

	age(q, now_us);
	for (i = 0; i < DUEQ_CLASSES && item == NULL; i++) {
		struct dueq_item *first = (struct dueq_item *)TAILQ_FIRST(&q->late[i]);

		if (!q->by_aim) {
			item = fairq_expired(&q->class[i], now_us);
		} else if (first != NULL && first->deadline_us <= now_us) {
			late_remove(q, first);
			item = &first->fair;
		}
	}
	return (struct dueq_item *)item;
}

/** Returns a late item of @a class that will miss its deadline if it waits for @a before_us. */
static struct dueq_item *late_without_chance(const struct dueq *q, unsigned class, double before_us,
					     int64_t now, int64_t *forecast_us)
{
	struct fairq_item *at;

	TAILQ_FOREACH(at, &q->late[class], link) {
		struct dueq_item *item = (struct dueq_item *)at;

		if (!late_servable(q, item))
			continue;
		*forecast_us = (int64_t)before_us;
		if (now + *forecast_us > item->deadline_us)
			return item;
		before_us += work_us(q, class, 1);
	}
	return NULL;
}

/**
 * Returns an item of @a class that will be late, and then miss its deadline. @param before_us wait
 * of such an item once it is late
 */
static struct dueq_item *timely_without_chance(const struct dueq *q, unsigned class,
					       double before_us, int64_t now, int64_t *forecast_us)
{
	const struct fairq *c = &q->class[class];
	const struct fairq_team *t;
	struct fairq_item *at;

	TAILQ_FOREACH(t, &c->active, link) {
		unsigned ahead = 0;

		if (fairq_skipped(c, t))
			continue;
		TAILQ_FOREACH(at, &t->items, link) {
			struct dueq_item *item = (struct dueq_item *)at;
			double wait_us;

			/* The item itself is part of the work that precedes it. */
			*forecast_us = (int64_t)(before_us - work_us(q, class, 1));
			ahead++;
			if (now + *forecast_us <= item->deadline_us)
				continue;
			wait_us = timely_wait_us(q, class,
						 (double)fairq_wait_behind_us(c, t, ahead - 1));
			if (misses_aim(q, class, item->aim_us, now + (int64_t)wait_us))
				return item;
		}
	}
	return NULL;
}

struct dueq_item *dueq_refuse_late(struct dueq *q, int64_t now_us, int64_t *forecast_us)
{
	struct dueq_item *item = NULL;
	double before_us;
	unsigned i;

	if (!q->by_aim)
		return NULL;
	age(q, now_us);
	before_us = timely_work_us(q, now_us);
	for (i = 0; i < DUEQ_CLASSES && item == NULL; i++) {
		item = late_without_chance(q, i, before_us, now_us, forecast_us);
		if (item == NULL)
			item = timely_without_chance(q, i, before_us, now_us, forecast_us);
		before_us += late_work_us(q, i, INT64_MAX);
	}
	if (item != NULL)
		dueq_remove(q, item);
	return item;
}
