/** @file part.c Fixed parts of a team's rate, and choice of the VM to ask for tokens. */
#include "part.h"

#include <string.h>
#include <xxhash.h>

/** Fraction of the burst that all parts hold together, as in share_split(). */
#define PART_BURST_FRACTION 0.5
/** Minimum burst of a part: with less than one token it would admit no request. */
#define PART_BURST_MIN_TOKENS 1.0
/** Burst that each part should have before a team is given a further part in each data centre. */
#define PART_BURST_TARGET_TOKENS 2.0
/**
 * Parts that a team should have in each data centre, so that a partitioned data centre does not
 * lose all of its tokens with one VM.
 */
#define PARTS_PER_DC_PREFERRED 2
/** PARTS_PER_DC_PREFERRED applies if the parts' total is at least this multiple of the rate. */
#define PARTS_RATE_MULTIPLE_MIN 1.2
/** Interval of requests to other data centres for a team that is over its rate. */
#define REMOTE_RETRY_INTERVAL_US (300 * USEC_PER_MSEC)
/** Tokens per second that the holder of a part can serve, each with an RPC of its own. */
#define PART_CALLS_MAX_PER_S 1000.0

/** Divide into @a per_dc parts per data centre. @return the total, as a multiple of @a rate */
static double divide(double rate, double burst, unsigned data_centers, unsigned per_dc,
		     const struct share_tolerance *t, struct part_split *out)
{
	unsigned n = per_dc * data_centers;
	double handed_out = burst * PART_BURST_FRACTION;
	double m;

	out->per_dc = per_dc;
	out->burst =
		handed_out / n > PART_BURST_MIN_TOKENS ? handed_out / n : PART_BURST_MIN_TOKENS;
	m = (share_tolerated(rate, burst, t) - out->burst * n) / (rate * t->window_s);
	if (m > SHARE_RATE_MAX)
		m = SHARE_RATE_MAX;
	out->rate = rate * m / n;
	return m;
}

bool part_split(double rate, double burst, const struct part_fleet *f,
		const struct share_tolerance *t, struct part_split *out)
{
	unsigned data_centers = f->data_centers;
	double handed_out = burst * PART_BURST_FRACTION;
	unsigned n;

	if (t->window_s <= 0 || rate <= 0 || data_centers == 0)
		return false;
	/*
	 * If the holders of parts can't serve the operations of all teams, give each VM a part of
	 * its own, provided that the rate is high enough.
	 */
	if (f->all_rates > PART_CALLS_MAX_PER_S * PARTS_PER_DC * data_centers &&
	    share_split(rate, burst, f->vms, t).own_rate > 0)
		return false;
	n = (unsigned)(handed_out / PART_BURST_TARGET_TOKENS / data_centers);
	n = n > PARTS_PER_DC ? PARTS_PER_DC : n;
	if (n < PARTS_PER_DC_PREFERRED)
		n = divide(rate, burst, data_centers, PARTS_PER_DC_PREFERRED, t, out) >=
				    PARTS_RATE_MULTIPLE_MIN
			    ? PARTS_PER_DC_PREFERRED
			    : 1;
	return divide(rate, burst, data_centers, n, t, out) > 0;
}

bool part_has_team(const struct part_split *s, const char *team, unsigned index)
{
	unsigned first = (unsigned)(XXH64(team, strlen(team), 0) % PARTS_PER_DC);

	return (index + PARTS_PER_DC - first) % PARTS_PER_DC < s->per_dc;
}

bool part_may_ask_remote(bool mostly_granted, int64_t tried_us, int64_t now_us)
{
	return mostly_granted || now_us - tried_us >= REMOTE_RETRY_INTERVAL_US;
}

int part_choose(const struct part_candidate *p, unsigned n, unsigned salt, bool allow_remote)
{
	int remote = -1;
	unsigned i;

	for (i = 0; i < n; i++) {
		unsigned at = (i + salt) % n;

		if (p[at].address == NULL || p[at].tried)
			continue;
		if (p[at].near)
			return (int)at;
		if (remote < 0 && allow_remote)
			remote = (int)at;
	}
	return remote;
}
