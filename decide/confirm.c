/** @file confirm.c Acknowledgement of commits. */
#include "confirm.h"

unsigned confirm_needed(unsigned members)
{
	return members / 2;
}

enum confirm_verdict confirm_replica(struct pos commit, const struct member_report *r)
{
	/*
	 * A paused home may wake after a promotion with the commit's answer in its socket;
	 * acknowledging then loses an order. Each replica of the promotion's majority has pledged
	 * to a higher term before the new primary was chosen, so a replica seen at the commit's own
	 * term with the record makes every later choice include it.
	 */
	if (r->seen_term != commit.term)
		return CONFIRM_WAIT;
	if (r->received.term != commit.term || r->received.lsn < commit.lsn)
		return CONFIRM_WAIT;
	return CONFIRM_YES;
}

enum confirm_verdict confirm_by_primary(struct pos commit, const struct group_view *g)
{
	int leader = group_settled(g);
	const struct member_report *r;

	if (leader < 0)
		return CONFIRM_WAIT;
	r = &g->member[leader].report;
	if (r->seen_term <= commit.term)
		return CONFIRM_WAIT;
	return token_fate(commit, &r->terms) == TOKEN_KEPT ? CONFIRM_YES : CONFIRM_LOST;
}
