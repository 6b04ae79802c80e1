/**
 * @file confirm.h
 * When a commit may be acknowledged: later than the commit, a majority of the group, the primary
 * included, has been seen at the commit's term with the record in its log.
 */
#ifndef DECIDE_CONFIRM_H
#define DECIDE_CONFIRM_H

#include "group.h"
#include "types.h"

enum confirm_mode {
	CONFIRM_REPLICA, /**< acknowledged when a majority has the record */
	CONFIRM_PRIMARY, /**< acknowledged on the primary's word; a failover can lose the last
			    writes */
};

enum confirm_verdict {
	CONFIRM_WAIT,
	CONFIRM_YES,
	CONFIRM_LOST, /**< a later term began before the record: it is discarded for good */
};

/** Replicas that must have the record besides the primary, in a group of @a members. */
unsigned confirm_needed(unsigned members);

/**
 * Judge one replica's report, asked for after the commit, for the record at @a commit.
 * @return CONFIRM_YES when this replica has it, CONFIRM_WAIT when it does not (yet).
 */
enum confirm_verdict confirm_replica(struct pos commit, const struct member_report *r);

/**
 * Judge by a later primary's log whether the record at @a commit lasts. Its term must be settled:
 * before that, another promotion could still choose a log that differs.
 */
enum confirm_verdict confirm_by_primary(struct pos commit, const struct group_view *g);

#endif
