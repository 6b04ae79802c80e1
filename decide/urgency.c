/** @file urgency.c Tokens of a team over its rate, by class of its requests. */
#include "urgency.h"

#include <math.h>
#include <string.h>

/** Tolerance, in tokens, for rounding errors of the balance. */
#define ROUNDING_TOLERANCE_TOKENS 1e-6
/**
 * Fraction of the more urgent demand that is assumed to take tokens before a bucket is full. With
 * 1, buckets of one token stood full while promised (0.965 of the tokens were used at 3 times the
 * rate); with 0, less urgent requests took each token as it came, and 0.76 of the urgent ones were
 * in time (test-urgency: 8 holders, 54 tokens per second).
 */
#define FULL_OVERTAKEN 0.5
/**
 * A class may be promised the tokens that more urgent ones leave while their demand is below this
 * multiple of the rate: demand is an average over a few requests. With 1, buckets of one token and
 * 2 per second lost 4% of their tokens at 1.5 times the rate; without a limit, requests waited
 * 400 ms for tokens that never came.
 */
#define DEMAND_NOISE 1.25
/**
 * Fraction of the latency target that the work is assumed to take at most. Times that were measured
 * under overload would otherwise leave no time to wait for a token.
 */
#define WORK_OF_AIM_MAX 0.5

/**
 * Most times that a request waits for a promised token, which more urgent requests may take.
 * Without a limit, requests were refused only when their latency target had expired. With 1,
 * buckets of one token lost 13% of their tokens at 7.5 times the rate (test-urgency). The most
 * urgent class needs no limit.
 */
#define WAITS_MAX 2

void urgency_init(struct urgency *u, int64_t now_us)
{
	memset(u, 0, sizeof(*u));
	u->updated_us = now_us;
	u->demand_us = now_us;
}

unsigned urgency_class(unsigned priority)
{
	return priority < URGENCY_CLASSES ? priority : URGENCY_CLASSES - 1;
}

/** @return demand of the classes that are more urgent than @a cls */
static double demand_before(const struct urgency *u, unsigned cls)
{
	double demand = 0;
	unsigned i;

	for (i = 0; i < cls; i++)
		demand += u->demand[i];
	return demand;
}

double urgency_rate(const struct urgency *u, const struct bucket *b, unsigned cls)
{
	double rate = b->rate - demand_before(u, cls);

	return rate > 0 ? rate : 0;
}

/** Let demand fall with the time that has passed. */
static void demand_decay(struct urgency *u, int64_t now_us)
{
	double factor = exp((double)(u->demand_us - now_us) / (double)URGENCY_DEMAND_US);
	unsigned i;

	if (now_us <= u->demand_us)
		return;
	for (i = 0; i < URGENCY_CLASSES; i++)
		u->demand[i] *= factor;
	u->demand_us = now_us;
}

/** Add allowances for the time that has passed, and drop promises that nobody returned for. */
static void update(struct urgency *u, const struct bucket *b, int64_t now_us)
{
	double passed_us = (double)(now_us - u->updated_us);
	double burst = b->burst > 1 ? b->burst : 1;
	unsigned i, kept = 0;

	for (i = 0; i < u->n_promises; i++) {
		if (now_us <= u->promise[i].due_us + URGENCY_KEEP_US)
			u->promise[kept++] = u->promise[i];
	}
	u->n_promises = kept;
	if (passed_us <= 0)
		return;
	for (i = 0; i < URGENCY_CLASSES; i++) {
		u->allowance[i] += urgency_rate(u, b, i) * passed_us / (double)USEC_PER_SEC;
		if (u->allowance[i] > burst)
			u->allowance[i] = burst;
	}
	demand_decay(u, now_us);
	u->updated_us = now_us;
}

void urgency_seen(struct urgency *u, unsigned cls, int64_t now_us)
{
	u->seen_us[cls] = now_us;
}

/** Count @a n requests of the class; a negative @a n takes back what was counted before. */
static void demand_add(struct urgency *u, unsigned cls, double n, int64_t now_us)
{
	demand_decay(u, now_us);
	u->demand[cls] += n * ((double)USEC_PER_SEC / (double)URGENCY_DEMAND_US);
	if (u->demand[cls] < 0)
		u->demand[cls] = 0;
}

void urgency_arrival(struct urgency *u, unsigned cls, int64_t now_us)
{
	urgency_seen(u, cls, now_us);
	demand_add(u, cls, 1, now_us);
}

/** @return whether requests that are more urgent than @a cls were seen recently */
static bool more_urgent_seen(const struct urgency *u, unsigned cls, int64_t now_us)
{
	unsigned i;

	for (i = 0; i < cls; i++) {
		if (u->seen_us[i] != 0 && now_us - u->seen_us[i] < URGENCY_SEEN_US)
			return true;
	}
	return false;
}

/**
 * @return index of the earliest promise that @a to may return for, or -1. A VM returns when the
 * promised time has come; what it asks before is a further request.
 */
static int promise_find(const struct urgency *u, unsigned cls, uint64_t to, int64_t now_us)
{
	int found = -1;
	unsigned i;

	for (i = 0; i < u->n_promises; i++) {
		const struct urgency_promise *p = &u->promise[i];

		if (p->cls == cls && p->to == to && p->due_us <= now_us &&
		    (found < 0 || p->due_us < u->promise[found].due_us))
			found = (int)i;
	}
	return found;
}

bool urgency_promised(const struct urgency *u, unsigned cls, uint64_t to, int64_t now_us)
{
	int i = promise_find(u, cls, to, now_us);

	return i >= 0 && now_us <= u->promise[i].due_us + URGENCY_KEEP_US;
}

/** @return whether the promise @a p comes before @a r, which returns for the promise @a own or -1
 */
static bool comes_before(const struct urgency *u, const struct urgency_promise *p,
			 const struct urgency_request *r, int own)
{
	if (p->cls != r->cls || own < 0)
		return p->cls <= r->cls;
	return p->due_us <= u->promise[own].due_us;
}

/** @return tokens that the promises of @a r's class and more urgent ones take until @a until_us */
static unsigned promised_until(const struct urgency *u, unsigned cls, int own, int64_t until_us)
{
	unsigned i, n = 0;

	for (i = 0; i < u->n_promises; i++)
		n += (int)i != own && u->promise[i].cls <= cls && u->promise[i].due_us <= until_us
			     ? 1
			     : 0;
	return n;
}

/**
 * @return tokens that the bucket must hold for @a r to take one, such that those promised to
 * requests that come before it are still there in time. If it had to hold all promised tokens, a
 * bucket of one would stand full until a promise is due that was made after @a r began to wait.
 */
static double tokens_needed(const struct urgency *u, const struct bucket *b,
			    const struct urgency_request *r, int64_t now_us)
{
	int own = promise_find(u, r->cls, r->to, now_us);
	double needed = 1 + (double)r->ahead, most = needed;
	unsigned i;

	for (i = 0; i < u->n_promises; i++) {
		const struct urgency_promise *p = &u->promise[i];
		double gained = b->rate * (double)(p->due_us - now_us) / (double)USEC_PER_SEC;
		double with;

		if ((int)i == own || !comes_before(u, p, r, own))
			continue;
		with = needed + promised_until(u, r->cls, own, p->due_us);
		if (b->tokens + fmax(gained, 0) + ROUNDING_TOLERANCE_TOKENS < with)
			most = fmax(most, with);
	}
	return most;
}

/**
 * @return tokens that the bucket lacks to be full before the next request can be expected; 0 or
 * less: tokens would be lost, which matters for a bucket of one or two
 */
static double lacks_to_full(const struct urgency *u, const struct bucket *b)
{
	double demand = 0, gained = 1;
	unsigned i;

	for (i = 0; i < URGENCY_CLASSES; i++)
		demand += u->demand[i];
	if (demand > b->rate)
		gained = b->rate / demand;
	return b->burst - b->reserved - gained - b->tokens;
}

bool urgency_may_take(struct urgency *u, struct bucket *b, const struct urgency_request *r,
		      int64_t now_us)
{
	if (bucket_wait_us(b, 1, now_us) > 0)
		return false;
	update(u, b, now_us);
	if (b->tokens + ROUNDING_TOLERANCE_TOKENS < tokens_needed(u, b, r, now_us))
		return false;
	if (!more_urgent_seen(u, r->cls, now_us) || promise_find(u, r->cls, r->to, now_us) >= 0)
		return true;
	return lacks_to_full(u, b) <= ROUNDING_TOLERANCE_TOKENS ||
	       u->allowance[r->cls] + ROUNDING_TOLERANCE_TOKENS >= 1;
}

void urgency_taken(struct urgency *u, const struct urgency_request *r, int64_t now_us)
{
	int own = promise_find(u, r->cls, r->to, now_us);

	if (own >= 0)
		u->promise[own] = u->promise[--u->n_promises];
	else
		demand_add(u, r->cls, 1, now_us);
	u->allowance[r->cls] -= 1;
	/* A full bucket serves a class without an allowance, which must not become indebted. */
	if (u->allowance[r->cls] < 0)
		u->allowance[r->cls] = 0;
}

double urgency_unpromised(struct urgency *u, struct bucket *b, int64_t now_us)
{
	(void)bucket_wait_us(b, 1, now_us);
	update(u, b, now_us);
	return b->tokens - u->n_promises;
}

int64_t urgency_next_us(struct urgency *u, struct bucket *b, const struct urgency_request *r,
			int64_t now_us)
{
	double wait_s, allowance_s, rate, before;

	(void)bucket_wait_us(b, 1, now_us);
	update(u, b, now_us);
	if (b->rate <= 0)
		return INT64_MAX;
	wait_s = (tokens_needed(u, b, r, now_us) - b->tokens) / b->rate;
	rate = urgency_rate(u, b, r->cls);
	if (u->allowance[r->cls] < 1 && more_urgent_seen(u, r->cls, now_us)) {
		before = demand_before(u, r->cls);
		if (before > DEMAND_NOISE * b->rate)
			return INT64_MAX;
		allowance_s = fmax(lacks_to_full(u, b), 0) /
			      (b->rate - FULL_OVERTAKEN * fmin(before, b->rate));
		if (rate > 0)
			allowance_s = fmin(allowance_s, (1 - u->allowance[r->cls]) / rate);
		wait_s = allowance_s > wait_s ? allowance_s : wait_s;
	}
	if (wait_s * (double)USEC_PER_SEC > 1e15)
		return INT64_MAX;
	return wait_s > 0 ? (int64_t)(wait_s * (double)USEC_PER_SEC) + 1 : 1;
}

/** @return time until the next free place in the schedule of the class, which is then taken */
static int64_t place_take(struct urgency *u, const struct bucket *b, unsigned cls, unsigned holders,
			  int64_t next_us, int64_t now_us)
{
	double rate = urgency_rate(u, b, cls) * (holders > 0 ? holders : 1);
	int64_t latest = now_us + URGENCY_AHEAD_MAX_US;
	int64_t place = u->place_us[cls];

	if (rate <= 0 || next_us >= URGENCY_AHEAD_MAX_US)
		return URGENCY_AHEAD_MAX_US;
	if (place < now_us + next_us)
		place = now_us + next_us;
	if (place >= latest)
		return URGENCY_AHEAD_MAX_US;
	u->place_us[cls] = place + (int64_t)((double)USEC_PER_SEC / rate);
	return place - now_us;
}

bool urgency_may_wait(unsigned cls, unsigned waits)
{
	return cls == 0 || waits < WAITS_MAX;
}

void urgency_release(struct urgency *u, unsigned cls, uint64_t to, int64_t now_us)
{
	int found = -1;
	unsigned i;

	for (i = 0; i < u->n_promises; i++) {
		const struct urgency_promise *p = &u->promise[i];

		if (p->cls == cls && p->to == to &&
		    (found < 0 || p->due_us > u->promise[found].due_us))
			found = (int)i;
	}
	if (found < 0)
		return;
	u->promise[found] = u->promise[--u->n_promises];
	demand_add(u, cls, -1, now_us);
}

/**
 * @return index for a new promise to the class: a free one, or that of the latest promise of a less
 * urgent class; -1 if there is none
 */
static int promise_slot(struct urgency *u, unsigned cls)
{
	int found = -1;
	unsigned i;

	if (u->n_promises < URGENCY_PROMISES_MAX)
		return (int)u->n_promises++;
	for (i = 0; i < u->n_promises; i++) {
		const struct urgency_promise *p = &u->promise[i];
		const struct urgency_promise *q = found >= 0 ? &u->promise[found] : NULL;

		if (p->cls > cls &&
		    (q == NULL || p->cls > q->cls || (p->cls == q->cls && p->due_us > q->due_us)))
			found = (int)i;
	}
	return found;
}

int64_t urgency_answer_us(struct urgency *u, struct bucket *b, const struct urgency_request *r,
			  int64_t patience_us, unsigned holders, int64_t now_us)
{
	int64_t next = urgency_next_us(u, b, r, now_us);
	int own = promise_find(u, r->cls, r->to, now_us);

	urgency_seen(u, r->cls, now_us);
	if (own < 0 && next <= patience_us) {
		own = promise_slot(u, r->cls);
		demand_add(u, r->cls, own >= 0 ? 1 : 0, now_us);
	}
	/* A promise that a more urgent request has overtaken is renewed for a later time. */
	if (own >= 0 && next <= patience_us) {
		u->promise[own] = (struct urgency_promise){r->cls, r->to, now_us + next};
		return next;
	}
	if (own >= 0)
		u->promise[own] = u->promise[--u->n_promises];
	else
		demand_add(u, r->cls, 1.0 / (holders > 0 ? holders : 1), now_us);
	if (next <= patience_us)
		next = patience_us + 1;
	return place_take(u, b, r->cls, holders, next, now_us);
}

int64_t urgency_wait_until_us(const struct urgency_limits *l, int64_t now_us)
{
	double left = (double)(l->aim_us - now_us);
	int64_t work = l->work_us;

	if (l->aim_us > now_us && l->aim_us < l->deadline_us) {
		if ((double)work > left * WORK_OF_AIM_MAX)
			work = (int64_t)(left * WORK_OF_AIM_MAX);
		return l->aim_us - work;
	}
	return l->deadline_us - work > now_us ? l->deadline_us - work : now_us;
}
