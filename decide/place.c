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
	unsigned beyond_slots = m->out + 1 > m->slots ? m->out + 1 - m->slots : 0;
	double cost = m->service_us * (1 + (double)beyond_slots / m->slots);

	/* Opening a connection occupies a slot for as long as a statement does. */
	if (!m->ready)
		cost += m->service_us;
	return m->near ? cost : cost + REMOTE_PENALTY_US;
}

struct place_outcome place_read(const struct place_member *m, unsigned n)
{
	struct place_outcome best = {.verdict = PLACE_NONE};
	bool replica_fits = false;
	double best_us = 0;
	unsigned i;

	for (i = 0; i < n; i++)
		replica_fits = replica_fits || (m[i].fits && !m[i].primary);
	for (i = 0; i < n; i++) {
		double us;

		if (!m[i].fits)
			continue;
		if (best.verdict == PLACE_NONE)
			best.verdict = PLACE_WAIT;
		if (!m[i].free || m[i].out >= read_limit(&m[i], replica_fits))
			continue;
		us = cost_us(&m[i]);
		if (best.verdict == PLACE_MEMBER && us >= best_us)
			continue;
		best = (struct place_outcome){.verdict = PLACE_MEMBER, .member = i};
		best_us = us;
	}
	return best;
}
