/** @file test-dueq.c The queue by class and target latency. */
#include "dueq.h"
#include "harness.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MS USEC_PER_MSEC
#define FAR_US (1000 * USEC_PER_SEC)

struct waiting {
	struct dueq_item item;
	struct fairq_item plain;
	int64_t arrived_us, work_us, end_us;
	unsigned route;
};

static struct waiting *item_of(unsigned class, int64_t aim_us, int64_t deadline_us)
{
	struct waiting *w = calloc(1, sizeof(*w));

	w->item = (struct dueq_item){.class = class, .aim_us = aim_us, .deadline_us = deadline_us};
	return w;
}

static enum fairq_verdict add(struct dueq *q, unsigned class, int64_t aim_ms, int64_t deadline_ms)
{
	struct waiting *w = item_of(class, aim_ms * MS, deadline_ms * MS);
	enum fairq_verdict v = dueq_add(q, &w->item, "t", 1, 0).verdict;

	if (v != FAIRQ_QUEUED)
		free(w);
	return v;
}

/** Removes the next item. @return its deadline in ms, or -1 */
static int64_t next(struct dueq *q)
{
	struct dueq_item *item = dueq_next(q, 0);
	int64_t deadline_ms = item != NULL ? item->deadline_us / MS : -1;

	free(item);
	return deadline_ms;
}

static void open_queue(struct dueq *q, unsigned slots)
{
	unsigned i;

	dueq_init(q, 2000, slots);
	dueq_set_order(q, true, 2);
	for (i = 0; i < 3; i++) {
		dueq_record_service(q, i, 500);
		q->class[i].service_us = 10 * MS;
	}
}

static void drain(struct dueq *q)
{
	while (next(q) >= 0)
		;
	dueq_clear(q);
}

/*
 * Guards against slots that are spent on late answers while others could still be in time, and
 * against a retry that loses its place to items that arrived later but expire earlier.
 */
static void test_timely_before_late(void)
{
	static const int64_t order[] = {1501, 1502, 1503, 1504, 700, 900, 300, -1};
	struct dueq_item *item;
	struct dueq q;
	unsigned i;

	open_queue(&q, 4);
	add(&q, 1, 100, 1503);
	item = dueq_next(&q, 0);
	add(&q, 0, 5, 900);
	add(&q, 0, 5, 700);
	add(&q, 1, 110, 1504);
	add(&q, 1, 90, 1502);
	add(&q, 1, 5, 300);
	add(&q, 0, 300, 1501);
	dueq_put_back(&q, item, "t", 1, 0);
	/* A change of the configuration in between must lose nothing. */
	dueq_set_order(&q, false, 0);
	dueq_set_order(&q, true, 2);
	CU_ASSERT_EQUAL(dueq_length(&q), 7);
	for (i = 0; i < sizeof(order) / sizeof(order[0]); i++)
		CU_ASSERT_EQUAL(next(&q), order[i]);
	drain(&q);
}

/** Accepts items without a target latency, and counts the calls. */
static enum fairq_fit fits_without_aim(const struct fairq_item *item, void *arg)
{
	++*(unsigned *)arg;
	return ((const struct dueq_item *)item)->aim_us == FAR_US ? FAIRQ_FITS : FAIRQ_SKIP_TEAM;
}

/* Guards against blocked jobs that stop the others, and against a search for each of them. */
static void test_blocked_jobs_do_not_stop_others(void)
{
	unsigned i, searches = 0, served = 0;
	struct dueq_item *item;
	struct dueq q;

	open_queue(&q, 4);
	for (i = 0; i < 120; i++) {
		item = &item_of(0, i < 100 ? (i % 2) * FAR_US / 2 : FAR_US, FAR_US)->item;
		dueq_add(&q, item, i < 100 ? "blocked" : "free", 1, 0);
	}
	dueq_begin_pass(&q);
	for (; (item = dueq_next_fit(&q, fits_without_aim, &searches, 0)) != NULL; served++)
		free(item);
	CU_ASSERT_EQUAL(served, 20);
	CU_ASSERT_EQUAL(searches, 21);
	drain(&q);
}

/*
 * Guards against waits in vain: what cannot be served by its deadline is refused on arrival, or
 * when more urgent items arrive. Guards against refusals on a guess: while service times are not
 * known, and for items that can still be served.
 */
static void test_refused_as_soon_as_known(void)
{
	struct dueq_item *refused;
	int64_t forecast = 0;
	struct dueq q;
	unsigned i;

	open_queue(&q, 1);
	for (i = 0; i < 20; i++)
		add(&q, 0, 300, 1500);
	CU_ASSERT_EQUAL(add(&q, 1, 100, 190), FAIRQ_TOO_LATE);
	CU_ASSERT_EQUAL(add(&q, 1, 100, 250), FAIRQ_QUEUED);
	for (i = 0; i < 4; i++)
		add(&q, 0, 300, 1500);
	CU_ASSERT_PTR_NULL(dueq_refuse_late(&q, 0, &forecast));
	for (i = 0; i < 4; i++)
		add(&q, 0, 300, 1500);
	refused = dueq_refuse_late(&q, 0, &forecast);
	CU_ASSERT_PTR_NOT_NULL_FATAL(refused);
	CU_ASSERT_EQUAL(refused->class, 1);
	CU_ASSERT_EQUAL(forecast, 280 * MS);
	free(refused);
	CU_ASSERT_PTR_NULL(dueq_refuse_late(&q, 0, &forecast));
	q.measured[0] = false;
	CU_ASSERT_EQUAL(add(&q, 1, 100, 190), FAIRQ_QUEUED);
	drain(&q);
}

/* Without target latencies the queue must be today's: one fair queue for each class, in turn. */
static void test_strict_order_is_unchanged(void)
{
	struct fairq plain[DUEQ_CLASSES];
	unsigned i, step;
	struct dueq q;

	dueq_init(&q, 60, 2);
	for (i = 0; i < DUEQ_CLASSES; i++)
		fairq_init(&plain[i], 60, 2);
	for (step = 0; step < 20000 || dueq_length(&q) > 0; step++) {
		unsigned class = (unsigned)lrand48() % DUEQ_CLASSES;
		unsigned team = (unsigned)lrand48() % 5;
		int64_t now = step * 100, deadline = now + lrand48() % 100000;
		struct waiting *w = item_of(class, now, deadline);
		const char *name = &"a\0b\0c\0d\0e"[2 * team];
		struct fairq_item *expected = NULL;
		struct fairq_outcome a, b;

		w->plain.deadline_us = deadline;
		if (step < 20000 && step % 5 < 3) {
			a = dueq_add(&q, &w->item, name, 1 + team, now);
			b = fairq_add(&plain[class], &w->plain, name, 1 + team, now);
			CU_ASSERT_EQUAL(a.verdict, b.verdict);
			CU_ASSERT_EQUAL(a.retry_after_us, b.retry_after_us);
			if (a.verdict == FAIRQ_QUEUED)
				continue;
		}
		free(w);
		dueq_record_service(&q, class, lrand48() % 5000);
		plain[class].service_us = q.class[class].service_us;
		CU_ASSERT_PTR_NULL(dueq_refuse_late(&q, now, &now));
		for (i = 0; i < DUEQ_CLASSES && expected == NULL; i++)
			expected = step % 5 == 3 ? fairq_expired(&plain[i], now)
						 : fairq_next(&plain[i]);
		w = (struct waiting *)(step % 5 == 3 ? dueq_expired(&q, now) : dueq_next(&q, now));
		CU_ASSERT_PTR_EQUAL(w != NULL ? &w->plain : NULL, expected);
		free(w);
	}
	dueq_clear(&q);
	for (i = 0; i < DUEQ_CLASSES; i++)
		fairq_clear(&plain[i]);
}

/* Overload: open-loop arrivals of three routes at the slots of one group */

#define SLOTS 4
#define TEAMS 84
#define SECONDS 40
#define STEP 250
#define TICK (20 * MS)

static const struct route {
	double rate;
	int64_t work_us, aim_us, deadline_us;
	unsigned class;
	unsigned in_time, late; /**< value of an answer, in hundredths */
} routes[] = {
	{145, 3 * MS, 100 * MS, 1500 * MS, 0, 350, 43},
	{252, 15 * MS, 600 * MS, 4000 * MS, 2, 47, 21},
	{678, 9 * MS, 200 * MS, 1500 * MS, 1, 190, 28},
};
#define ROUTES (sizeof(routes) / sizeof(routes[0]))

/** The last is one class and one team. */
enum order { BY_AIM, STRICT, BY_DEADLINE, ORDERS };

struct load {
	struct dueq q;
	struct waiting *slot[SLOTS];
	unsigned arrived[ROUTES], in_time[ROUTES], refused[ROUTES];
	int64_t refused_us[ROUTES]; /**< sum of the waits of refused items */
	int64_t overdue_us;	    /**< longest wait past a deadline */
	unsigned run, starved; /**< dispatches of others while the last class waits: now, most */
	unsigned long value;
};

static void refuse(struct load *l, struct waiting *w, int64_t now)
{
	l->refused[w->route]++;
	l->refused_us[w->route] += now - w->arrived_us;
	l->overdue_us = MAX(l->overdue_us, now - w->item.deadline_us);
	free(w);
}

static void arrive(struct load *l, enum order order, double rate, int64_t now)
{
	struct waiting *w = item_of(0, now, now);
	unsigned number = (unsigned)lrand48() % TEAMS;
	double at = drand48() * rate;
	char team[NAME_SIZE];

	while (w->route < ROUTES - 1 && at > routes[w->route].rate)
		at -= routes[w->route++].rate;
	w->arrived_us = now;
	w->work_us = (int64_t)((0.5 + drand48()) * (double)routes[w->route].work_us);
	w->item.class = order == BY_DEADLINE ? 0 : routes[w->route].class;
	w->item.aim_us += routes[w->route].aim_us;
	w->item.deadline_us += routes[w->route].deadline_us;
	snprintf(team, sizeof(team), "%u", order == BY_DEADLINE ? 0 : number);
	l->arrived[w->route]++;
	if (dueq_add(&l->q, &w->item, team, 10, now).verdict != FAIRQ_QUEUED)
		refuse(l, w, now);
}

static void finish(struct load *l, struct waiting *w)
{
	bool in_time = w->end_us <= w->item.aim_us;

	l->value += in_time ? routes[w->route].in_time : routes[w->route].late;
	l->in_time[w->route] += in_time;
	dueq_record_service(&l->q, w->item.class, w->work_us);
	free(w);
}

static void serve(struct load *l, int64_t now)
{
	unsigned i;

	for (i = 0; i < SLOTS; i++) {
		bool last_waits = l->q.class[2].length > 0;
		struct waiting *w = l->slot[i];

		if (w != NULL && w->end_us > now)
			continue;
		if (w != NULL)
			finish(l, w);
		w = l->slot[i] = (struct waiting *)dueq_next(&l->q, now);
		if (w == NULL)
			continue;
		l->run = last_waits && w->item.class != 2 ? l->run + 1 : 0;
		l->starved = MAX(l->starved, l->run);
		l->overdue_us = MAX(l->overdue_us, now - w->item.deadline_us);
		w->end_us = now + w->work_us;
	}
}

static void tick(struct load *l, int64_t now)
{
	struct dueq_item *item;
	int64_t forecast;

	while ((item = dueq_expired(&l->q, now)) != NULL ||
	       (item = dueq_refuse_late(&l->q, now, &forecast)) != NULL)
		refuse(l, (struct waiting *)item, now);
}

/** Runs the same arrivals in each order, at @a factor times the capacity of the slots. */
static struct load run_load(enum order order, double factor)
{
	static const char *const names[] = {"by-aim", "strict", "deadline"};
	int64_t now, arrival = 0, end = SECONDS * USEC_PER_SEC;
	double work = 0, rate = 0;
	struct load l = {0};
	unsigned i;

	for (i = 0; i < ROUTES; i++) {
		work += routes[i].rate * (double)routes[i].work_us;
		rate += routes[i].rate;
	}
	srand48(11);
	dueq_init(&l.q, 2000, SLOTS);
	dueq_set_order(&l.q, order == BY_AIM, 2);
	for (now = 0; now < end + 5 * USEC_PER_SEC; now += STEP) {
		for (; arrival <= now && arrival < end;
		     arrival += (int64_t)(-log(drand48()) * work / (rate * factor * SLOTS)))
			arrive(&l, order, rate, now);
		serve(&l, now);
		if (now % TICK == 0)
			tick(&l, now);
	}
	CU_ASSERT_EQUAL(dueq_length(&l.q), 0);
	dueq_clear(&l.q);
	printf("%.1f %s: %lu", factor, names[order], l.value / 100);
	for (i = 0; i < ROUTES; i++)
		printf("; route %u: %.3f in time, %.3f refused after %.0f ms", i + 1,
		       (double)l.in_time[i] / l.arrived[i], (double)l.refused[i] / l.arrived[i],
		       (double)l.refused_us[i] / MAX(l.refused[i], 1) / MS);
	printf("\n");
	return l;
}

/*
 * Guards against an order that serves less value than strict classes or the earliest deadline
 * first, a last class without its share, and items that wait past their deadline.
 */
static void test_value_under_overload(void)
{
	static const double factors[] = {0.8, 1.2, 2.0};
	unsigned f;

	for (f = 0; f < 3; f++) {
		struct load aim = run_load(BY_AIM, factors[f]);

		CHECK(aim.value >= run_load(STRICT, factors[f]).value, "at %.1f", factors[f]);
		CHECK(aim.value >= run_load(BY_DEADLINE, factors[f]).value, "at %.1f", factors[f]);
		CHECK(aim.starved < DUEQ_LAST_SHARE, "%u", aim.starved);
		CHECK(aim.overdue_us <= TICK, "%ld us", (long)aim.overdue_us);
	}
}

static const struct test_case cases[] = {
	{"timely_before_late", test_timely_before_late},
	{"blocked_jobs_do_not_stop_others", test_blocked_jobs_do_not_stop_others},
	{"refused_as_soon_as_known", test_refused_as_soon_as_known},
	{"strict_order_is_unchanged", test_strict_order_is_unchanged},
	{"value_under_overload", test_value_under_overload},
};
HARNESS_MAIN("dueq", cases)
