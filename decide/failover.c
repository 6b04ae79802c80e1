/** @file failover.c State machine of a promoter. */
#include "failover.h"

#include <string.h>

/** Additional delay before the first attempt, per rank of the promoter. */
#define FAILOVER_RANK_DELAY_US (300 * USEC_PER_MSEC)
/** Maximum random delay before the next attempt, so that two promoters stop fencing each other. */
#define FAILOVER_JITTER_MAX_US (200 * USEC_PER_MSEC)
/** Delay from a promotion to the next failover; by then, reports show the new primary. */
#define FAILOVER_SETTLE_DELAY_US (500 * USEC_PER_MSEC)

static const struct failover_order no_order = {.act = FAILOVER_NOTHING, .member = -1};

static bool group_has_live_primary(const struct group_view *g)
{
	int primary = group_primary(g);

	if (primary < 0 || g->member[primary].state != MEMBER_UP)
		return false;
	return g->member[primary].report.seen_term >= group_highest_term(g);
}

/** @return since when the group has had no primary; INT64_MAX while no member has reported */
static int64_t primary_missing_since(const struct group_view *g, int64_t now_us)
{
	int primary = group_primary(g);

	/*
	 * This process has just started and has no report yet, which does not mean that the primary
	 * has failed.
	 */
	if (group_highest_term(g) == 0)
		return INT64_MAX;
	/* There is no primary, or only one of an earlier term: the timeout counts as elapsed. */
	if (primary < 0 || g->member[primary].state == MEMBER_UP)
		return now_us - FAILOVER_DOWN_TIMEOUT_US;
	return g->member[primary].down_since_us;
}

static void failover_reset(struct failover *f, int64_t not_before_us)
{
	f->phase = FAILOVER_IDLE;
	f->not_before_us = not_before_us;
}

static struct failover_order failover_begin(struct failover *f, const struct group_view *g,
					    int64_t now_us)
{
	uint64_t term = group_highest_term(g) + 1;

	if (term <= f->term)
		term = f->term + 1;
	memset(f->grant, 0, sizeof(f->grant));
	f->term = term;
	f->phase = FAILOVER_FENCING;
	f->since_us = now_us;
	f->granted = 0;
	f->refused = 0;
	f->chosen = -1;
	f->tries++;
	return (struct failover_order){.act = FAILOVER_FENCE, .term = term, .member = -1};
}

struct failover_order failover_tick(struct failover *f, const struct group_view *g, unsigned rank,
				    uint64_t random, int64_t now_us)
{
	int64_t since, start;

	if (f->phase != FAILOVER_IDLE) {
		if (now_us - f->since_us > FAILOVER_PHASE_TIMEOUT_US)
			failover_reset(f, now_us + (int64_t)(random % FAILOVER_JITTER_MAX_US));
		return no_order;
	}
	if (group_has_live_primary(g)) {
		f->tries = 0;
		f->not_before_us = 0;
		return no_order;
	}
	since = primary_missing_since(g, now_us);
	if (since == INT64_MAX)
		return no_order;
	start = since + FAILOVER_DOWN_TIMEOUT_US + (int64_t)rank * FAILOVER_RANK_DELAY_US;
	if (now_us < start || now_us < f->not_before_us)
		return no_order;
	return failover_begin(f, g, now_us);
}

static int failover_newest_log(const struct failover *f, const struct group_view *g)
{
	int best = -1;
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if (!f->grant[i])
			continue;
		if (best < 0 || pos_cmp(f->received[i], f->received[best]) > 0)
			best = (int)i;
	}
	return best;
}

/**
 * Returns how many pledges a promotion needs: a majority, so that two promoters share a member, and
 * enough that one of them stored each acknowledged write, which its primary and g->sync replicas
 * did.
 */
static unsigned pledges_needed(const struct group_view *g)
{
	unsigned majority = g->n / 2 + 1;
	unsigned shared = g->sync > 0 && g->sync < g->n ? g->n - g->sync : 0;

	return shared > majority ? shared : majority;
}

struct failover_order failover_fenced(struct failover *f, const struct group_view *g, int member,
				      uint64_t term, bool pledged, struct pos received,
				      int64_t now_us)
{
	unsigned needed = pledges_needed(g);

	/* Ignore answers to an earlier attempt, which carry its term, and repeated pledges. */
	if (f->phase != FAILOVER_FENCING || term != f->term || f->grant[member])
		return no_order;
	if (!pledged) {
		f->refused++;
		if (f->refused > g->n - needed)
			failover_reset(f, now_us + FAILOVER_JITTER_MAX_US);
		return no_order;
	}
	f->grant[member] = true;
	f->received[member] = received;
	f->granted++;
	if (f->granted < needed)
		return no_order;
	/*
	 * An acknowledged write was stored by a majority of members, or by the primary and its
	 * synchronous replicas, while they were in its term. These and the members that pledged now
	 * share at least one, which had the record before it pledged. The newest log among the
	 * pledged members therefore contains every acknowledged write.
	 */
	f->chosen = failover_newest_log(f, g);
	f->phase = FAILOVER_PROMOTING;
	f->since_us = now_us;
	return (struct failover_order){.act = FAILOVER_PROMOTE, .term = term, .member = f->chosen};
}

struct failover_order failover_promoted(struct failover *f, uint64_t term, bool ok, int64_t now_us)
{
	if (f->phase != FAILOVER_PROMOTING || term != f->term)
		return no_order;
	/*
	 * Until the first report of the new primary arrives, the group seems to have no primary; a
	 * failover begun now would fence the primary that has just been promoted.
	 */
	failover_reset(f, now_us + (ok ? FAILOVER_SETTLE_DELAY_US : FAILOVER_JITTER_MAX_US));
	if (!ok)
		return no_order;
	return (struct failover_order){.act = FAILOVER_ATTACH, .term = term, .member = f->chosen};
}
