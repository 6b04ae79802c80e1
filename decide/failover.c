/** @file failover.c The promoter's state machine. */
#include "failover.h"

#include <string.h>

/** Head start of each better-placed promoter. */
#define FAILOVER_RANK_US (300 * USEC_PER_MSEC)
/** Longest random pause before a further try, so that two promoters do not duel for long. */
#define FAILOVER_JITTER_US (200 * USEC_PER_MSEC)

/** Time for the news of a change to come back as reports, before another one may begin. */
#define FAILOVER_SETTLE_US (500 * USEC_PER_MSEC)

static const struct failover_order nothing = {.act = FAILOVER_NOTHING, .member = -1};

static bool group_led(const struct group_view *g)
{
	int primary = group_primary(g);

	if (primary < 0 || g->member[primary].state != MEMBER_UP)
		return false;
	return g->member[primary].report.seen_term >= group_highest_term(g);
}

/** Since when the group has been without a primary; INT64_MAX while nothing is known of it. */
static int64_t leaderless_since(const struct group_view *g, int64_t now_us)
{
	int primary = group_primary(g);

	/*
	 * Just started: until a first report from each reachable member, silence is ignorance and
	 * not a failure.
	 */
	if (group_highest_term(g) == 0)
		return INT64_MAX;
	if (primary < 0 || g->member[primary].state == MEMBER_UP)
		return now_us - FAILOVER_PATIENCE_US;
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
		if (now_us - f->since_us > FAILOVER_PHASE_US)
			failover_reset(f, now_us + (int64_t)(random % FAILOVER_JITTER_US));
		return nothing;
	}
	if (group_led(g)) {
		f->tries = 0;
		f->not_before_us = 0;
		return nothing;
	}
	since = leaderless_since(g, now_us);
	if (since == INT64_MAX)
		return nothing;
	start = since + FAILOVER_PATIENCE_US + (int64_t)rank * FAILOVER_RANK_US;
	if (now_us < start || now_us < f->not_before_us)
		return nothing;
	return failover_begin(f, g, now_us);
}

static int failover_best(const struct failover *f, const struct group_view *g)
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

struct failover_order failover_fenced(struct failover *f, const struct group_view *g, int member,
				      uint64_t term, bool pledged, struct pos received,
				      int64_t now_us)
{
	unsigned majority = g->n / 2 + 1;

	/* An answer to an earlier try names an earlier term and says nothing of this one. */
	if (f->phase != FAILOVER_FENCING || term != f->term || f->grant[member])
		return nothing;
	if (!pledged) {
		f->refused++;
		if (f->refused > g->n - majority)
			failover_reset(f, now_us + FAILOVER_JITTER_US);
		return nothing;
	}
	f->grant[member] = true;
	f->received[member] = received;
	f->granted++;
	if (f->granted < majority)
		return nothing;
	/*
	 * An acknowledged write is on a majority at its term, and this majority meets it in one
	 * member at least, which pledged only after it had the record. The highest log of this
	 * majority therefore has every such write.
	 */
	f->chosen = failover_best(f, g);
	f->phase = FAILOVER_PROMOTING;
	f->since_us = now_us;
	return (struct failover_order){.act = FAILOVER_PROMOTE, .term = term, .member = f->chosen};
}

struct failover_order failover_promoted(struct failover *f, uint64_t term, bool ok, int64_t now_us)
{
	if (f->phase != FAILOVER_PROMOTING || term != f->term)
		return nothing;
	/*
	 * Until the new primary's first report is here, the group still looks leaderless, and the
	 * promoter would depose the primary that it has just made.
	 */
	failover_reset(f, now_us + (ok ? FAILOVER_SETTLE_US : FAILOVER_JITTER_US));
	if (!ok)
		return nothing;
	return (struct failover_order){.act = FAILOVER_ATTACH, .term = term, .member = f->chosen};
}
