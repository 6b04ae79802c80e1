/** @file share.c Division of a team's rate over VMs: holders and the allocator. */
#include "share.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Window over which arrivals are counted. */
#define DEMAND_WINDOW_US (100 * USEC_PER_MSEC)
/** Weight of the newest window in the moving average of falling demand; a rise applies at once. */
#define DEMAND_FALL_ALPHA 0.3
/** Weight of the newest window in the longer moving average, which covers about a second. */
#define AVERAGE_ALPHA 0.1
/** Fraction of the latest peak that counts as demand. */
#define PEAK_WEIGHT 1.0
/**
 * Fraction of the burst, or of one second of the rate if that is less, by which a team's demand may
 * exceed its rate before the team counts as over its rate. Random arrivals at three quarters of a
 * rate of 40 per second exceed that rate for a second now and then; the burst covers this.
 */
#define OVER_RATE_SLACK 0.5
/** Factor on demand, as room for growth, before the unused rate is split evenly. */
#define DEMAND_HEADROOM 1.3
/** Fraction of all units that the allocator's own VM keeps in order to grant single tokens. */
#define ALLOCATOR_RESERVE 0.1
/**
 * Fraction of the units that is split evenly among all holders, regardless of demand, so that a
 * first request finds a token.
 */
#define EVEN_FLOOR 0.05
/** Smaller changes of a holder's units are not ordered. */
#define SHARE_STEP_UNITS (SHARE_TOTAL_UNITS / 200)
/** Fraction of the burst that is handed out when a rate is split into own and dynamic parts. */
#define SPLIT_BURST_FRACTION 0.5
/**
 * Fraction of the tolerance that is used: the users count requests on arrival, which is later than
 * this VM counts them.
 */
#define SPLIT_SAFETY 0.93
/** A burst of fewer tokens per holder is not split. */
#define SPLIT_TOKENS_MIN 2
/** A holder with fewer requests per second counts as idle and reports less often. */
#define IDLE_RATE_PER_S 0.05
/** A holder whose last report is older counts as having no demand. */
#define DEMAND_STALE_US (5 * USEC_PER_SEC)

double share_tolerated(double rate, double burst, const struct share_tolerance *t)
{
	return ((rate * t->window_s + burst) * (1 + t->overshoot) + t->slack) * SPLIT_SAFETY;
}

struct share_split share_split(double rate, double burst, unsigned vms,
			       const struct share_tolerance *t)
{
	struct share_split s = {.dynamic_rate = rate, .dynamic_burst = burst};
	double handed_out, m;

	if (t->window_s <= 0 || vms == 0 || rate <= 0)
		return s;
	handed_out = burst * SPLIT_BURST_FRACTION;
	/* Requests tolerated in a window, less the burst handed out, as a multiple of the rate. */
	m = (share_tolerated(rate, burst, t) - handed_out) / (rate * t->window_s);
	if (m > SHARE_RATE_MAX)
		m = SHARE_RATE_MAX;
	/* Own parts of less than one token would admit no request. */
	if (m < 1 || handed_out / 2 < vms)
		return s;
	s.own_rate = rate * m / 2 / vms;
	s.own_burst = handed_out / 2 / vms;
	s.dynamic_rate = rate * m / 2;
	s.dynamic_burst = handed_out / 2;
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

static void holder_close_window(struct share_holder *h, int64_t now_us)
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
	holder_close_window(h, now_us);
	h->arrivals++;
	if (!admitted)
		h->short_of_tokens = true;
}

int64_t share_holder_due_us(const struct share_holder *h)
{
	if (h->short_of_tokens)
		return h->reported_us + (h->units == 0 && h->answered ? SHARE_REPORT_NO_UNITS_US
								      : SHARE_REPORT_FAST_US);
	/*
	 * A holder without units whose report was answered is bound as well and needs no frequent
	 * reports: these were four fifths of the control traffic of a large fleet.
	 */
	if (h->epoch == 0 || !h->answered)
		return h->reported_us + SHARE_REPORT_FAST_US * 4;
	if (h->average < IDLE_RATE_PER_S && h->demand < IDLE_RATE_PER_S)
		return h->reported_us + SHARE_REPORT_IDLE_US;
	return h->reported_us + SHARE_REPORT_SLOW_US;
}

struct share_report share_holder_report(struct share_holder *h, int64_t now_us)
{
	struct share_report r;

	holder_close_window(h, now_us);
	r.incarnation = h->incarnation;
	r.epoch = h->epoch;
	r.seq = h->seq;
	r.units = h->units;
	r.demand = h->demand;
	r.average = h->average;
	/* A holder short of tokens has demand, even if its current window is still open. */
	if (h->short_of_tokens && r.demand < 1)
		r.demand = 1;
	h->reported_us = now_us;
	h->short_of_tokens = false;
	return r;
}

bool share_holder_order(struct share_holder *h, const struct share_order *o, int64_t now_us)
{
	uint32_t before = h->units;

	if (o->epoch < h->epoch)
		return false;
	if (o->epoch > h->epoch) {
		/*
		 * Binding changes no units: the new allocator first needs a report of those held.
		 */
		h->epoch = o->epoch;
		h->seq = 0;
		h->answered = false;
		h->over = false;
		h->reported_us = now_us - SHARE_REPORT_SLOW_US;
		return false;
	}
	h->over = o->over;
	h->answered = true;
	/*
	 * An order that arrives after a newer one would restore units that were given to other
	 * holders since.
	 */
	if (o->seq <= h->seq)
		return false;
	h->seq = o->seq;
	h->units = h->leaving ? 0 : o->units;
	if (h->units < before) {
		/* Other holders wait for the released units: report to the allocator at once. */
		h->reported_us = now_us - SHARE_REPORT_SLOW_US;
	}
	return h->units != before;
}

bool share_holder_paused(struct share_holder *h, int64_t gap_us)
{
	/*
	 * During a long pause the VM may have been removed from the platform's list and its units
	 * given to others; using them as well would exceed the team's rate. After a pause shorter
	 * than SHARE_PAUSE_MAX_US this can't be, since allocators wait SHARE_DELIST_GRACE_US before
	 * they reassign units.
	 */
	if (gap_us < SHARE_PAUSE_MAX_US || h->units == 0)
		return false;
	h->units = 0;
	h->short_of_tokens = true;
	return true;
}

void share_holder_report_now(struct share_holder *h)
{
	h->reported_us -= SHARE_REPORT_IDLE_US;
}

void share_holder_leave(struct share_holder *h)
{
	h->leaving = true;
	h->units = 0;
	h->short_of_tokens = true;
}

bool share_holder_within_rate(const struct share_holder *h)
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
	a->delist_grace_us = SHARE_DELIST_GRACE_US;
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

/** Discard the state of a holder until it reports under the current epoch. */
static void entry_unbind(struct share_entry *e)
{
	e->bound = false;
	e->held = 0;
	e->ordered = 0;
	e->seq = 0;
	e->acked = 0;
}

/** Remove a holder. Until the census is complete, its units leave the budget with it. */
static void alloc_remove(struct share_alloc *a, struct share_entry *e)
{
	if (e->bound && !a->whole)
		a->budget -= e->held < a->budget ? e->held : a->budget;
	g_hash_table_remove(a->by_vm, e->vm);
	TAILQ_REMOVE(&a->entries, e, link);
	free(e);
}

/** @return whether the VM may still use units, so that they must be counted */
static bool entry_may_hold_units(const struct share_alloc *a, const struct share_entry *e,
				 int64_t now_us)
{
	return e->listed || now_us - e->delisted_us < a->delist_grace_us;
}

/** Removes the holders that hold no units any more. */
static void alloc_drop_ended(struct share_alloc *a, int64_t now_us)
{
	struct share_entry *e, *next;

	TAILQ_FOREACH_SAFE(e, &a->entries, link, next) {
		if (!entry_may_hold_units(a, e, now_us))
			alloc_remove(a, e);
	}
}

/** Complete the census when every VM that may hold units is bound; the budget then is all units. */
static void alloc_census(struct share_alloc *a)
{
	const struct share_entry *e;

	if (a->whole)
		return;
	TAILQ_FOREACH(e, &a->entries, link) {
		if (!e->bound)
			return;
	}
	if (TAILQ_EMPTY(&a->entries))
		return;
	a->whole = true;
	a->budget = SHARE_TOTAL_UNITS;
}

unsigned share_alloc_unbound_to_ask(struct share_alloc *a, const char **vms, unsigned max,
				    int64_t now_us)
{
	struct share_entry *e;
	unsigned n = 0;

	if (a->whole)
		return 0;
	TAILQ_FOREACH(e, &a->entries, link) {
		if (n == max)
			break;
		if (e->bound || (e->census_asked_us != 0 &&
				 now_us - e->census_asked_us < SHARE_ASK_INTERVAL_US))
			continue;
		e->census_asked_us = now_us;
		vms[n++] = e->vm;
	}
	return n;
}

unsigned share_alloc_count_unbound(const struct share_alloc *a, const char **first)
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

void share_alloc_apply_list(struct share_alloc *a, const char *const *vms, unsigned n,
			    int64_t now_us)
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
			e->delisted_us = now_us;
	}
	alloc_drop_ended(a, now_us);
	alloc_census(a);
}

void share_alloc_remove_vm(struct share_alloc *a, const char *vm, int64_t now_us)
{
	struct share_entry *e = alloc_find(a, vm);

	if (e == NULL)
		return;
	alloc_remove(a, e);
	alloc_drop_ended(a, now_us);
	alloc_census(a);
}

/** Start a new epoch above the one of another allocator that a holder has reported. */
static void alloc_begin_epoch(struct share_alloc *a, uint64_t above)
{
	struct share_entry *e;

	a->epoch = (((above >> 32) + 1) << 32) | a->salt;
	a->whole = false;
	a->budget = 0;
	TAILQ_FOREACH(e, &a->entries, link) {
		entry_unbind(e);
		e->census_asked_us = 0;
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
	return now_us - e->last_report_us > DEMAND_STALE_US ? 0 : e->demand;
}

/**
 * @return the demand of the whole team, as the sum of the VMs' averages. The VMs' peaks, which
 * determine the split, occur at different times: their sum exceeds what the team ever sends, and
 * requests within its rate would be refused.
 */
static double alloc_average(const struct share_alloc *a, int64_t now_us)
{
	const struct share_entry *e;
	double sum = 0;

	TAILQ_FOREACH(e, &a->entries, link) {
		if (e->bound && now_us - e->last_report_us <= DEMAND_STALE_US)
			sum += e->average;
	}
	return sum;
}

/**
 * @return a VM's weight in the split: its average demand over about a second, or the fraction
 * PEAK_WEIGHT of its latest peak if that is higher
 */
static double entry_weight(const struct share_entry *e, int64_t now_us)
{
	double peak = entry_demand(e, now_us) * PEAK_WEIGHT;

	return e->average > peak ? e->average : peak;
}

/**
 * @return the fraction of the dynamic part that a VM with the fraction @a part of the team's
 * requests should hold. The dynamic part supplements the VMs' own parts where these are too small,
 * so that own and dynamic part together match the distribution of requests.
 */
static double dynamic_part(const struct share_alloc *a, double part, double sum, int64_t now_us)
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
 * @return the units that @a e should hold. Each VM gets an equal part of EVEN_FLOOR and more by its
 * weight. The unused part of the rate is split evenly, so that a VM at which requests start to
 * arrive has tokens for them. The allocator's own VM also gets a reserve, from which it grants
 * single tokens.
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
	 * If a VM that is not on the platform's list disappears, nothing shows when its units can
	 * be reassigned, and it might still spend them. It gets none until it is listed.
	 */
	if (!e->listed)
		return 0;
	/* A burst that is split into parts of less than a token would admit no request. */
	if (a->burst < SPLIT_TOKENS_MIN * (double)bound)
		return strcmp(e->vm, a->self) == 0 ? a->budget : 0;
	even = 1.0 / bound;
	weight = entry_weight(e, now_us);
	rest = 1 - EVEN_FLOOR - ALLOCATOR_RESERVE;
	if (sum * DEMAND_HEADROOM < a->rate)
		weight = weight * DEMAND_HEADROOM / a->rate +
			 (1 - sum * DEMAND_HEADROOM / a->rate) * even;
	else
		weight = dynamic_part(a, weight / sum, sum, now_us);
	weight = EVEN_FLOOR * even + rest * weight;
	if (strcmp(e->vm, a->self) == 0)
		weight += ALLOCATOR_RESERVE;
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
	 * A holder that gave up its units after a pause holds less than was ordered; no holder has
	 * more units than it reports.
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

	a->short_of_units = target > e->held + SHARE_STEP_UNITS && target - e->held > spare;
	if (e->acked != e->seq)
		return;
	if (target > e->held && target - e->held > spare)
		target = e->held + spare;
	if (target == e->ordered && e->ordered == e->held)
		return;
	if (target + SHARE_STEP_UNITS > e->held && target < e->held + SHARE_STEP_UNITS &&
	    spare < SHARE_STEP_UNITS && e->seq > 0)
		return;
	e->seq++;
	e->ordered = target;
	/*
	 * An increase counts as held as soon as it is ordered; a decrease is free for others only
	 * when the holder has reported it as carried out.
	 */
	if (target > e->held)
		e->held = target;
}

unsigned share_alloc_over_target(struct share_alloc *a, const char **vms, unsigned max,
				 int64_t now_us)
{
	struct share_entry *e;
	unsigned n = 0;

	if (!a->short_of_units)
		return 0;
	TAILQ_FOREACH(e, &a->entries, link) {
		if (n == max)
			break;
		if (!e->bound || e->held < alloc_target(a, e, now_us) + SHARE_STEP_UNITS)
			continue;
		if (now_us - e->reclaim_asked_us < SHARE_REPORT_FAST_US)
			continue;
		e->reclaim_asked_us = now_us;
		vms[n++] = e->vm;
	}
	return n;
}

bool share_alloc_self_below_target(const struct share_alloc *a, int64_t now_us)
{
	const struct share_entry *e = alloc_find(a, a->self);

	if (e == NULL || !e->bound || alloc_held(a) + SHARE_STEP_UNITS > a->budget)
		return false;
	return alloc_target(a, e, now_us) > e->held + SHARE_STEP_UNITS;
}

/**
 * Record which process of the VM reports. A restarted process holds no units.
 * @return false for a late report of the previous process
 */
static bool entry_check_incarnation(struct share_entry *e, const struct share_report *r)
{
	if (r->incarnation == e->incarnation)
		return true;
	if (r->incarnation == e->previous_incarnation)
		return false;
	e->previous_incarnation = e->incarnation;
	e->incarnation = r->incarnation;
	entry_unbind(e);
	return true;
}

struct share_order share_alloc_report(struct share_alloc *a, const char *vm,
				      const struct share_report *r, int64_t now_us)
{
	struct share_order o = {0};
	struct share_entry *e;

	alloc_drop_ended(a, now_us);
	e = alloc_get(a, vm);
	if (!entry_check_incarnation(e, r))
		return o;
	e->last_report_us = now_us;
	e->demand = r->demand;
	e->average = r->average;
	if (!e->listed)
		e->delisted_us = now_us;
	if (r->epoch > a->epoch)
		alloc_begin_epoch(a, r->epoch);
	o.epoch = a->epoch;
	if (r->epoch < a->epoch)
		return o;
	if (!e->bound)
		entry_bind(a, e, r);
	else
		entry_ack(e, r);
	alloc_census(a);
	entry_order(a, e, now_us);
	o.seq = e->seq;
	o.units = e->ordered;
	o.over = alloc_average(a, now_us) >
		 a->rate + OVER_RATE_SLACK * (a->burst < a->rate ? a->burst : a->rate);
	return o;
}
