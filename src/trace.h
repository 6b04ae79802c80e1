/**
 * @file trace.h
 * Records the inputs and the results of the failover decisions in a file, so that
 * tests/test-replay.c can replay them. Each input is one line, followed by a line for its result if
 * there is one; the format is in docs/OPERATIONS.md. The home is the daemon that holds the
 * connections and the queue of a member; @a m is the member whose home decides, and @a i is the
 * index of a member of the group.
 */
#ifndef TRACE_H
#define TRACE_H

#include "failover.h"
#include "group.h"

struct home_member;

/** Starts recording to the file @a path, unless it is empty. @return false on failure */
bool trace_open(const char *path);
/** Records a member's report, requested at @a asked_us. */
void trace_report(const struct home_member *m, int i, const struct member_report *r,
		  int64_t asked_us);
/** Records that a member did not answer. */
void trace_unreachable(const struct home_member *m, int i, enum member_state state, int64_t now);
/**
 * Records a periodic check of the group.
 * @param rank this VM's rank among the promoters of the group, 0 first
 * @param random random number that spreads the attempts of competing promoters
 */
void trace_tick(const struct home_member *m, unsigned rank, uint64_t random, int64_t now);
/** Records a member's answer to the order to accept @a term. */
void trace_fenced(const struct home_member *m, int i, uint64_t term, bool ok, struct pos received,
		  int64_t now);
/** Records the answer to the order to promote a member in @a term. */
void trace_promoted(const struct home_member *m, uint64_t term, bool ok, int64_t now);
/** Records the decision that followed an input, unless it is FAILOVER_NOTHING. */
void trace_outcome(const struct home_member *m, const struct failover_order *o);

#endif
