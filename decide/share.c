/** @file share.c Holders and the allocator of a team's rate. */
#include "share.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Window over which arrivals are counted. */
#define DEMAND_WINDOW_US (100 * USEC_PER_MSEC)
/** Weight of the newest window in the moving average when demand falls; a rise counts at once. */
#define DEMAND_FALL_ALPHA 0.3
/** Weight of each window in the longer average: about a second. */
#define AVERAGE_ALPHA 0.1
/** Part of a peak that counts as lasting demand. */
#define PEAK_PART 1.0
/**
 * Part of the burst (of a second of the rate, at most) that a team may ask for above its rate
 * before it counts as over: random arrivals at three quarters of a rate of 40 pass it for a second
 * now and then, and the burst is there for that.
 */
#define OVER_SLACK 0.5
/** Demand is given room to grow before the rest is split evenly. */
#define HEADROOM 1.3
/** Part of the whole that the allocator's own VM keeps to grant single tokens from. */
#define SHARE_RESERVE 0.1
/**
 * Part of an even split that a holder keeps without any demand, so that a first request finds a
 * token.
 */
#define SHARE_FLOOR 0.05
/** Changes smaller than this part of the whole are not ordered. */
#define SHARE_STEP (SHARE_WHOLE / 200)
/** Part of the burst that is handed out when rates are split into own and moved parts. */
#define SPLIT_BURST 0.5
/** Part of what the users tolerate that is used: requests are counted where they arrive, later. */
#define SPLIT_SAFETY 0.93
/** A burst with fewer tokens than this for each holder is not split. */
#define SHARE_SPLIT_TOKENS 2
/** A holder with fewer requests a second than this has nothing new to tell. */
#define IDLE_RATE 0.05
/** A holder that has been silent for longer counts as having no demand. */
#define DEMAND_STALE_US (5 * USEC_PER_SEC)

double share_tolerated(double rate, double burst, const struct share_tolerance *t)
{
	return ((rate * t->window_s + burst) * (1 + t->overshoot) + t->slack) * SPLIT_SAFETY;
}

struct share_split share_split(double rate, double burst, unsigned vms,
			       const struct share_tolerance *t)
{
	struct share_split s = {.moved_rate = rate, .moved_burst = burst};
	double held, m;

	if (t->window_s <= 0 || vms == 0 || rate <= 0)
		return s;
	held = burst * SPLIT_BURST;
	/* What may pass in a window, less the burst that is kept, as a multiple of the rate. */
	m = (share_tolerated(rate, burst, t) - held) / (rate * t->window_s);
	if (m > SHARE_RATE_MAX)
		m = SHARE_RATE_MAX;
	/* Own parts of less than a token would admit nobody. */
	if (m < 1 || held / 2 < vms)
		return s;
	s.own_rate = rate * m / 2 / vms;
	s.own_burst = held / 2 / vms;
	s.moved_rate = rate * m / 2;
	s.moved_burst = held / 2;
	s.own_part = 0.5 / vms;
	return s;
}

void share_holder_init(struct share_holder *h, uint64_t incarnation, int64_t now_us)
{
	memset(h, 0, sizeof(*h));
	h->incarnation = incarnation;
	h->window_us = now_us;
	h->reported_us = now_us - SHARE_REPORT_SLOW_US;
}

static void holder_roll(struct share_holder *h, int64_t now_us)
{
	int64_t span = now_us - h->window_us;
	int64_t windows;
	double rate;

	if (span < DEMAND_WINDOW_US)
		return;
	windows = span / DEMAND_WINDOW_US;
	rate = (double)h->arrivals * (double)USEC_PER_SEC / (double)span;
	if (rate > h->demand)
		h->demand = rate;
	for (; windows > 0; windows--) {
		h->demand += DEMAND_FALL_ALPHA * (rate - h->demand);
		h->average += AVERAGE_ALPHA * (rate - h->average);
		if (h->demand < 0.01 && h->average < 0.01)
			break;
	}
	h->arrivals = 0;
	h->window_us = now_us;
}

void share_holder_arrival(struct share_holder *h, bool admitted, int64_t now_us)
{
	holder_roll(h, now_us);
	h->arrivals++;
	if (!admitted)
		h->short_now = true;
}

int64_t share_holder_due_us(const struct share_holder *h)
{
	if (h->short_now)
		return h->reported_us +
		       (h->units == 0 && h->heard ? SHARE_REPORT_ASK_US : SHARE_REPORT_FAST_US);
	/*
	 * A holder that was answered and given nothing is bound as well; reporting on would bring
	 * it nothing, and was four fifths of a large fleet's control traffic.
	 */
	if (h->epoch == 0 || !h->heard)
		return h->reported_us + SHARE_REPORT_FAST_US * 4;
	if (h->average < IDLE_RATE && h->demand < IDLE_RATE)
		return h->reported_us + SHARE_REPORT_IDLE_US;
	return h->reported_us + SHARE_REPORT_SLOW_US;
}

struct share_report share_holder_report(struct share_holder *h, int64_t now_us)
{
	struct share_report r;

	holder_roll(h, now_us);
	r.incarnation = h->incarnation;
	r.epoch = h->epoch;
	r.seq = h->seq;
	r.units = h->units;
	r.demand = h->demand;
	r.average = h->average;
	/* A holder that is short has demand, even when its window has not closed yet. */
	if (h->short_now && r.demand < 1)
		r.demand = 1;
	h->reported_us = now_us;
	h->short_now = false;
	return r;
}

bool share_holder_order(struct share_holder *h, const struct share_order *o, int64_t now_us)
{
	uint32_t before = h->units;

	if (o->epoch < h->epoch)
		return false;
	if (o->epoch > h->epoch) {
		/*
		 * Binding alone moves nothing: the new allocator must first hear what is held here.
		 */
		h->epoch = o->epoch;
		h->seq = 0;
		h->heard = false;
		h->over = false;
		h->reported_us = now_us - SHARE_REPORT_SLOW_US;
		return false;
	}
	h->over = o->over;
	h->heard = true;
	/*
	 * An order that comes late, after a newer one, would bring units back that were given to
	 * others.
	 */
	if (o->seq <= h->seq)
		return false;
	h->seq = o->seq;
	h->units = h->leaving ? 0 : o->units;
	if (h->units < before) {
		/* Others wait for what was lowered here; tell the allocator soon. */
		h->reported_us = now_us - SHARE_REPORT_SLOW_US;
	}
	return h->units != before;
}

bool share_holder_paused(struct share_holder *h, int64_t gap_us)
{
	/*
	 * A VM that was stopped for long may have been taken off the platform's list, and its units
	 * given to others. Using them after waking would pass the team's rate. A pause shorter than
	 * SHARE_PAUSE_MAX_US can't have been followed by a hand-out, which waits SHARE_GONE_US.
	 */
	if (gap_us < SHARE_PAUSE_MAX_US || h->units == 0)
		return false;
	h->units = 0;
	h->short_now = true;
	return true;
}

void share_holder_poked(struct share_holder *h)
{
	h->reported_us -= SHARE_REPORT_IDLE_US;
}

void share_holder_leave(struct share_holder *h)
{
	h->leaving = true;
	h->units = 0;
	h->short_now = true;
}

bool share_holder_hopeful(const struct share_holder *h)
{
	return !h->over;
}

void share_alloc_init(struct share_alloc *a, uint32_t salt, const char *self, double rate,
		      double burst)
{
	memset(a, 0, sizeof(*a));
	a->salt = salt;
	a->rate = rate;
	a->burst = burst;
	snprintf(a->self, sizeof(a->self), "%s", self);
	a->epoch = (UINT64_C(1) << 32) | salt;
	a->gone_us = SHARE_GONE_US;
	a->by_vm = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&a->entries);
}

void share_alloc_clear(struct share_alloc *a)
{
	struct share_entry *e, *next;

	g_clear_pointer(&a->by_vm, g_hash_table_destroy);
	TAILQ_FOREACH_SAFE(e, &a->entries, link, next) {
		TAILQ_REMOVE(&a->entries, e, link);
		free(e);
	}
}

static struct share_entry *alloc_find(const struct share_alloc *a, const char *vm)
{
	return g_hash_table_lookup(a->by_vm, vm);
}

static struct share_entry *alloc_get(struct share_alloc *a, const char *vm)
{
	struct share_entry *e = alloc_find(a, vm);

	if (e != NULL)
		return e;
	e = calloc(1, sizeof(*e));
	if (e == NULL)
		abort();
	snprintf(e->vm, sizeof(e->vm), "%s", vm);
	g_hash_table_insert(a->by_vm, e->vm, e);
	TAILQ_INSERT_TAIL(&a->entries, e, link);
	return e;
}

/** Nothing that this holder has is known any more. */
static void entry_unbind(struct share_entry *e)
{
	e->bound = false;
	e->held = 0;
	e->ordered = 0;
	e->seq = 0;
	e->acked = 0;
}

/** Forget a holder; before the census is complete, what it had is not this allocator's to give. */
static void alloc_remove(struct share_alloc *a, struct share_entry *e)
{
	if (e->bound && !a->whole)
		a->budget -= e->held < a->budget ? e->held : a->budget;
	g_hash_table_remove(a->by_vm, e->vm);
	TAILQ_REMOVE(&a->entries, e, link);
	free(e);
}

/** Whether units that this VM may hold must still be counted. */
static bool entry_counts(const struct share_alloc *a, const struct share_entry *e, int64_t now_us)
{
	return e->listed || now_us - e->gone_us < a->gone_us;
}

/** Once every VM that may hold units is bound, all that is not held is this allocator's to give. */
static void alloc_census(struct share_alloc *a, int64_t now_us)
{
	struct share_entry *e, *next;

	TAILQ_FOREACH_SAFE(e, &a->entries, link, next) {
		if (entry_counts(a, e, now_us))
			continue;
		alloc_remove(a, e);
	}
	if (a->whole)
		return;
	TAILQ_FOREACH(e, &a->entries, link) {
		if (!e->bound)
			return;
	}
	if (TAILQ_EMPTY(&a->entries))
		return;
	a->whole = true;
	a->budget = SHARE_WHOLE;
}

unsigned share_alloc_unheard(struct share_alloc *a, const char **vms, unsigned max, int64_t now_us)
{
	struct share_entry *e;
	unsigned n = 0;

	if (a->whole)
		return 0;
	TAILQ_FOREACH(e, &a->entries, link) {
		if (n == max)
			break;
		if (e->bound || (e->asked_us != 0 && now_us - e->asked_us < SHARE_ASK_AGAIN_US))
			continue;
		e->asked_us = now_us;
		vms[n++] = e->vm;
	}
	return n;
}

unsigned share_alloc_unbound(const struct share_alloc *a, const char **first)
{
	const struct share_entry *e;
	unsigned n = 0;

	*first = "";
	TAILQ_FOREACH(e, &a->entries, link) {
		if (e->bound)
			continue;
		if (n++ == 0)
			*first = e->vm;
	}
	return n;
}

void share_alloc_listed(struct share_alloc *a, const char *const *vms, unsigned n, int64_t now_us)
{
	struct share_entry *e;
	unsigned i;

	TAILQ_FOREACH(e, &a->entries, link) {
		e->was_listed = e->listed;
		e->listed = false;
	}
	for (i = 0; i < n; i++)
		alloc_get(a, vms[i])->listed = true;
	TAILQ_FOREACH(e, &a->entries, link) {
		if (e->was_listed && !e->listed)
			e->gone_us = now_us;
	}
	alloc_census(a, now_us);
}

void share_alloc_left(struct share_alloc *a, const char *vm, int64_t now_us)
{
	struct share_entry *e = alloc_find(a, vm);

	if (e == NULL)
		return;
	alloc_remove(a, e);
	alloc_census(a, now_us);
}

/** Another allocator of a higher epoch has been heard of: begin again above it. */
static void alloc_restart(struct share_alloc *a, uint64_t above)
{
	struct share_entry *e;

	a->epoch = (((above >> 32) + 1) << 32) | a->salt;
	a->whole = false;
	a->budget = 0;
	TAILQ_FOREACH(e, &a->entries, link) {
		entry_unbind(e);
		e->asked_us = 0;
	}
}

static uint32_t alloc_held(const struct share_alloc *a)
{
	const struct share_entry *e;
	uint64_t sum = 0;

	TAILQ_FOREACH(e, &a->entries, link)
		sum += e->held;
	return (uint32_t)sum;
}

static double entry_demand(const struct share_entry *e, int64_t now_us)
{
	return now_us - e->heard_us > DEMAND_STALE_US ? 0 : e->demand;
}

/**
 * What the team asks for as a whole. The parts follow each VM's latest peak, but the sum of peaks
 * at different moments is more than the team ever sends, and would have requests refused that are
 * within its rate.
 */
static double alloc_average(const struct share_alloc *a, int64_t now_us)
{
	const struct share_entry *e;
	double sum = 0;

	TAILQ_FOREACH(e, &a->entries, link) {
		if (e->bound && now_us - e->heard_us <= DEMAND_STALE_US)
			sum += e->average;
	}
	return sum;
}

/**
 * A VM's weight: what it asked for over a second, or, when that is more, a part of its latest
 * peak.
 */
static double entry_weight(const struct share_entry *e, int64_t now_us)
{
	double peak = entry_demand(e, now_us) * PEAK_PART;

	return e->average > peak ? e->average : peak;
}

/**
 * Part of what moves that a VM with @a part of the team's requests should hold: what its own part
 * lacks, so that own and moved together follow where the requests come.
 */
static double moved_weight(const struct share_alloc *a, double part, double sum, int64_t now_us)
{
	const struct share_entry *e;
	double lacking = 0;

	if (a->own <= 0 || part <= a->own)
		return a->own <= 0 ? part : 0;
	TAILQ_FOREACH(e, &a->entries, link) {
		double other = entry_weight(e, now_us) / sum;

		if (e->bound && other > a->own)
			lacking += other - a->own;
	}
	return lacking > 0 ? (part - a->own) / lacking : part;
}

/**
 * What @a e should hold. Above a floor, each VM has its part by weight; what the team leaves of its
 * rate is split evenly, so that a VM at which requests begin to arrive has tokens for them. The
 * allocator's own VM keeps a reserve besides, out of which it grants single tokens.
 */
static uint32_t alloc_target(const struct share_alloc *a, const struct share_entry *e,
			     int64_t now_us)
{
	const struct share_entry *other;
	double sum = 0, even, weight, rest;
	unsigned bound = 0;

	TAILQ_FOREACH(other, &a->entries, link) {
		if (!other->bound)
			continue;
		bound++;
		sum += entry_weight(other, now_us);
	}
	/*
	 * A VM that the platform does not list could vanish unseen with its units, and be thought
	 * gone while it still spends them. It gets none until it is listed.
	 */
	if (!e->listed)
		return 0;
	/* Split into parts of less than a token, the burst would serve nobody. */
	if (a->burst < SHARE_SPLIT_TOKENS * (double)bound)
		return strcmp(e->vm, a->self) == 0 ? a->budget : 0;
	even = 1.0 / bound;
	weight = entry_weight(e, now_us);
	rest = 1 - SHARE_FLOOR - SHARE_RESERVE;
	if (sum * HEADROOM < a->rate)
		weight = weight * HEADROOM / a->rate + (1 - sum * HEADROOM / a->rate) * even;
	else
		weight = moved_weight(a, weight / sum, sum, now_us);
	weight = SHARE_FLOOR * even + rest * weight;
	if (strcmp(e->vm, a->self) == 0)
		weight += SHARE_RESERVE;
	return (uint32_t)((double)a->budget * weight);
}

static void entry_bind(struct share_alloc *a, struct share_entry *e, const struct share_report *r)
{
	e->bound = true;
	e->held = r->units;
	e->ordered = r->units;
	e->seq = r->seq;
	e->acked = r->seq;
	if (!a->whole)
		a->budget += r->units;
}

static void entry_ack(struct share_entry *e, const struct share_report *r)
{
	/*
	 * A holder that paused may hold less than it was ordered to; it never holds more than it
	 * says.
	 */
	if (r->seq == e->seq) {
		e->acked = r->seq;
		e->held = r->units;
	}
}

static void entry_order(struct share_alloc *a, struct share_entry *e, int64_t now_us)
{
	uint32_t target = alloc_target(a, e, now_us);
	uint32_t held = alloc_held(a);
	uint32_t spare = a->budget > held ? a->budget - held : 0;

	a->wanting = target > e->held + SHARE_STEP && target - e->held > spare;
	if (e->acked != e->seq)
		return;
	if (target > e->held && target - e->held > spare)
		target = e->held + spare;
	if (target == e->ordered && e->ordered == e->held)
		return;
	if (target + SHARE_STEP > e->held && target < e->held + SHARE_STEP && spare < SHARE_STEP &&
	    e->seq > 0)
		return;
	e->seq++;
	e->ordered = target;
	/*
	 * Raised units count from the order on; lowered ones are free only when the holder says
	 * that it obeyed.
	 */
	if (target > e->held)
		e->held = target;
}

unsigned share_alloc_overfull(struct share_alloc *a, const char **vms, unsigned max, int64_t now_us)
{
	struct share_entry *e;
	unsigned n = 0;

	if (!a->wanting)
		return 0;
	TAILQ_FOREACH(e, &a->entries, link) {
		if (n == max)
			break;
		if (!e->bound || e->held < alloc_target(a, e, now_us) + SHARE_STEP)
			continue;
		if (now_us - e->poked_us < SHARE_REPORT_FAST_US)
			continue;
		e->poked_us = now_us;
		vms[n++] = e->vm;
	}
	return n;
}

bool share_alloc_self_short(const struct share_alloc *a, int64_t now_us)
{
	const struct share_entry *e = alloc_find(a, a->self);

	if (e == NULL || !e->bound || alloc_held(a) + SHARE_STEP > a->budget)
		return false;
	return alloc_target(a, e, now_us) > e->held + SHARE_STEP;
}

/**
 * Note which process of the VM reports. A restarted one holds nothing.
 * @return false for a late report of a process that has ended.
 */
static bool entry_incarnation(struct share_entry *e, const struct share_report *r)
{
	if (r->incarnation == e->incarnation)
		return true;
	if (r->incarnation == e->former)
		return false;
	e->former = e->incarnation;
	e->incarnation = r->incarnation;
	entry_unbind(e);
	return true;
}

struct share_order share_alloc_report(struct share_alloc *a, const char *vm,
				      const struct share_report *r, int64_t now_us)
{
	struct share_order o = {0};
	struct share_entry *e = alloc_get(a, vm);

	if (!entry_incarnation(e, r))
		return o;
	e->heard_us = now_us;
	e->demand = r->demand;
	e->average = r->average;
	if (!e->listed)
		e->gone_us = now_us;
	if (r->epoch > a->epoch)
		alloc_restart(a, r->epoch);
	o.epoch = a->epoch;
	if (r->epoch < a->epoch)
		return o;
	if (!e->bound)
		entry_bind(a, e, r);
	else
		entry_ack(e, r);
	alloc_census(a, now_us);
	entry_order(a, e, now_us);
	o.seq = e->seq;
	o.units = e->ordered;
	o.over = alloc_average(a, now_us) >
		 a->rate + OVER_SLACK * (a->burst < a->rate ? a->burst : a->rate);
	return o;
}
