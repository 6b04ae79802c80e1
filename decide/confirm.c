/** @file confirm.c Decides when a commit may be acknowledged. */
#include "confirm.h"

unsigned confirm_replicas_needed(unsigned members)
{
	return members / 2;
}

enum confirm_verdict confirm_replica(struct pos commit, const struct member_report *r)
{
	/*
	 * A home (the daemon that holds a member's connections) may be paused across a promotion
	 * and resume with the old primary's answer to the commit in its socket; acknowledging it
	 * would lose a write. Each replica of the promotion's majority moves to a higher term
	 * before the new primary is chosen. A replica that is still in the commit's term and has
	 * the record therefore guarantees that every later promotion keeps it.
	 */
	if (r->seen_term != commit.term)
		return CONFIRM_WAIT;
	if (r->received.term != commit.term || r->received.lsn < commit.lsn)
		return CONFIRM_WAIT;
	return CONFIRM_YES;
}

enum confirm_verdict confirm_by_primary(struct pos commit, const struct group_view *g)
{
	int primary = group_settled_primary(g);
	const struct member_report *r;

	if (primary < 0)
		return CONFIRM_WAIT;
	r = &g->member[primary].report;
	if (r->seen_term <= commit.term)
		return CONFIRM_WAIT;
	return token_status(commit, &r->terms) == TOKEN_KEPT ? CONFIRM_YES : CONFIRM_LOST;
}
