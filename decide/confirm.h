/**
 * @file confirm.h
 * Decides when a commit may be acknowledged: once a majority of the group, including the primary,
 * has reported, after the commit, that it is in the commit's term and has the record in its log.
 */
#ifndef DECIDE_CONFIRM_H
#define DECIDE_CONFIRM_H

#include "group.h"
#include "types.h"

enum confirm_mode {
	CONFIRM_REPLICA, /**< acknowledge when a majority has the record */
	CONFIRM_PRIMARY, /**< acknowledge after the primary's commit; a failover can lose writes */
};

enum confirm_verdict {
	CONFIRM_WAIT,
	CONFIRM_YES,
	CONFIRM_LOST, /**< discarded: a later term starts before the record's position */
};

/** @return how many replicas must have the record besides the primary in a group of @a members */
unsigned confirm_replicas_needed(unsigned members);

/**
 * Checks whether a replica has the record at @a commit.
 * @param r report of the replica, requested after the commit
 * @return CONFIRM_YES if the replica has the record, CONFIRM_WAIT if it does not have it yet
 */
enum confirm_verdict confirm_replica(struct pos commit, const struct member_report *r);

/**
 * Checks in the log of a later primary whether the record at @a commit was kept. Waits until a
 * majority has records of that primary's term: before that, another promotion could still choose a
 * different log.
 */
enum confirm_verdict confirm_by_primary(struct pos commit, const struct group_view *g);

#endif
