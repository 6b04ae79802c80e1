/** @file place.c Choice of the member that serves a read. */
#include "place.h"

/**
 * A read is sent to another data centre only if it is served sooner there by this time. With a
 * lower value, noise in the members' moving averages sends reads to other data centres; with a
 * higher one, reads wait for busy local slots while remote ones are idle.
 */
#define REMOTE_PENALTY_US (15.0 * USEC_PER_MSEC)
/** Slots of the primary that are reserved for writes while a replica can serve the read. */
#define PRIMARY_RESERVED_SLOTS 1
/**
 * A statement is slow if it takes longer than this many times the time on the fastest peer, plus
 * the margin. A statement that waits for one other on a full member takes twice as long; times of
 * one class differ by less than the margin between kinds of statements.
 */
#define SLOW_FACTOR 3.0
#define SLOW_MARGIN_US (10.0 * USEC_PER_MSEC)
/** Slow statements in a row that make a member unsteady. */
#define SLOW_MAX 3
/** Failures, each within FAILURE_WINDOW_US of the one before, that make a member unsteady. */
#define FAILURES_MAX 3
#define FAILURE_WINDOW_US (1 * USEC_PER_SEC)
/** Fast probe statements in a row after which a member is steady. */
#define FAST_MIN 3
/** Pause between probe statements; it doubles with each that is slow or fails. */
#define PROBE_PAUSE_MIN_US (100 * USEC_PER_MSEC)
#define PROBE_PAUSE_MAX_US (2 * USEC_PER_SEC)
/**
 * A member that becomes unsteady again within this time flaps: the pauses between probe statements
 * go on doubling from where they were.
 */
#define FLAP_WINDOW_US (10 * USEC_PER_SEC)
/**
 * Longest time that a probe statement is waited for. A read without an answer is tried elsewhere
 * after 250 ms; one with another result, such as a log position not reached, tells nothing.
 */
#define PROBE_TIMEOUT_US (1 * USEC_PER_SEC)
/** The pause of a VM lies between this fraction of the nominal pause, and the rest above it. */
#define SPREAD_MIN 0.75
#define SPREAD_RANGE 0.5

#define MIN_US(a, b) ((a) < (b) ? (a) : (b))

/** @return the number of statements up to which the member may be given a further read */
static unsigned read_limit(const struct place_member *m, bool replica_fits)
{
	if (!m->primary || !replica_fits)
		return m->slots + PLACE_PIPELINE_DEPTH;
	if (m->last)
		return 0;
	return m->slots > PRIMARY_RESERVED_SLOTS ? m->slots - PRIMARY_RESERVED_SLOTS : 0;
}

/** @return expected time to the answer, plus the penalty of another data centre */
static double cost_us(const struct place_member *m)
{
	unsigned out = m->out + m->others;
	unsigned beyond_slots = out + 1 > m->slots ? out + 1 - m->slots : 0;
	double cost = m->service_us * (1 + (double)beyond_slots / m->slots);

	/* Opening a connection occupies a slot, for as long as a statement if it was not measured.
	 */
	if (!m->ready)
		cost += m->opening_us > 0 ? m->opening_us : m->service_us;
	/* A hop to another data centre also costs bytes, so that it counts at least as much. */
	return m->near || m->hop_us > REMOTE_PENALTY_US ? cost + m->hop_us
							: cost + REMOTE_PENALTY_US;
}

/** @return whether the member has room for the read */
static bool has_room(const struct place_member *m, bool replica_fits)
{
	return m->fits && m->free && m->out < read_limit(m, replica_fits);
}

/** @return the unsteady member that a probe statement is to be sent to, or -1 */
static int probe_target(const struct place_member *m, unsigned n, bool replica_fits)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		if (m[i].unsteady && m[i].probe_due && !m[i].last && has_room(&m[i], replica_fits))
			return (int)i;
	}
	return -1;
}

struct place_outcome place_read(const struct place_member *m, unsigned n)
{
	struct place_outcome best = {.verdict = PLACE_NONE};
	bool replica_fits = false, steady_fits = false;
	double best_us = 0;
	unsigned i;
	int probed;

	for (i = 0; i < n; i++) {
		replica_fits = replica_fits || (m[i].fits && !m[i].primary);
		steady_fits = steady_fits || (m[i].fits && !m[i].unsteady);
	}
	probed = steady_fits ? probe_target(m, n, replica_fits) : -1;
	if (probed >= 0)
		return (struct place_outcome){.verdict = PLACE_MEMBER, .member = (unsigned)probed};
	for (i = 0; i < n; i++) {
		double us;

		if (!m[i].fits)
			continue;
		if (best.verdict == PLACE_NONE)
			best.verdict = PLACE_WAIT;
		/* If no member is steady, avoiding the unsteady ones would serve nothing. */
		if ((m[i].unsteady && steady_fits) || !has_room(&m[i], replica_fits))
			continue;
		us = cost_us(&m[i]);
		if (best.verdict == PLACE_MEMBER && us >= best_us)
			continue;
		best = (struct place_outcome){.verdict = PLACE_MEMBER, .member = i};
		best_us = us;
	}
	return best;
}

/* Health of a member */

static int64_t spread_pause_us(const struct place_health *h, double spread)
{
	return (int64_t)((double)h->pause_us * (SPREAD_MIN + SPREAD_RANGE * spread));
}

bool place_health_suspect(struct place_health *h, double spread, int64_t now_us)
{
	if (h->unsteady)
		return false;
	if (h->unsteady_us == 0 || now_us - h->unsteady_us > FLAP_WINDOW_US || h->pause_us == 0)
		h->pause_us = PROBE_PAUSE_MIN_US;
	else
		h->pause_us = MIN_US(h->pause_us * 2, PROBE_PAUSE_MAX_US);
	h->unsteady = true;
	h->probing = false;
	h->fast = h->slow = h->failures = 0;
	h->unsteady_us = now_us;
	h->next_probe_us = now_us + spread_pause_us(h, spread);
	return true;
}

void place_health_sent(struct place_health *h, double spread, int64_t now_us)
{
	if (!h->unsteady)
		return;
	h->probing = true;
	h->next_probe_us = now_us + spread_pause_us(h, spread);
}

bool place_health_probe_due(const struct place_health *h, int64_t now_us)
{
	if (!h->unsteady || now_us < h->next_probe_us)
		return false;
	return !h->probing || now_us - h->next_probe_us > PROBE_TIMEOUT_US;
}

/** Records a result on an unsteady member. @return whether it is steady now */
static bool record_probe(struct place_health *h, bool bad, double spread, int64_t now_us)
{
	h->probing = false;
	if (bad) {
		h->fast = 0;
		h->unsteady_us = now_us;
		h->pause_us = MIN_US(h->pause_us * 2, PROBE_PAUSE_MAX_US);
		h->next_probe_us = now_us + spread_pause_us(h, spread);
		return false;
	}
	h->fast++;
	/* The last pauses may have been long, and the member seems to be back. */
	h->next_probe_us =
		MIN_US(h->next_probe_us, now_us + (int64_t)((double)PROBE_PAUSE_MIN_US *
							    (SPREAD_MIN + SPREAD_RANGE * spread)));
	if (h->fast < FAST_MIN)
		return false;
	h->unsteady = false;
	h->unsteady_us = now_us;
	return true;
}

bool place_health_record(struct place_health *h, const struct place_sample *s, double spread,
			 int64_t now_us)
{
	bool slow = s->peer_us > 0 && (double)s->us > s->peer_us * SLOW_FACTOR + SLOW_MARGIN_US;

	/* A result of a statement that was sent while the member was steady is no news. */
	if (h->unsteady)
		return h->probing && record_probe(h, s->failed || slow, spread, now_us);
	if (s->failed) {
		h->failures = now_us - h->failed_us > FAILURE_WINDOW_US ? 1 : h->failures + 1;
		h->failed_us = now_us;
	} else {
		h->slow = slow ? h->slow + 1 : 0;
	}
	if (h->slow < SLOW_MAX && h->failures < FAILURES_MAX)
		return false;
	return place_health_suspect(h, spread, now_us);
}
