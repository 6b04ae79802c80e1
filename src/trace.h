/**
 * @file trace.h
 * Records what the failover decisions were given and what they decided, so that tests/test-replay.c
 * can run them again. One line an input, one for its outcome; the format is in docs/OPERATIONS.md.
 */
#ifndef TRACE_H
#define TRACE_H

#include "failover.h"
#include "group.h"

struct home_member;

/** Record to @a path; nothing when it is empty. @return false when it cannot be opened. */
bool trace_open(const char *path);
void trace_report(const struct home_member *m, int i, const struct member_report *r,
		  int64_t asked_us);
void trace_unreachable(const struct home_member *m, int i, enum member_state state, int64_t now);
void trace_tick(const struct home_member *m, unsigned rank, uint64_t random, int64_t now);
void trace_fenced(const struct home_member *m, int i, uint64_t term, bool ok, struct pos received,
		  int64_t now);
void trace_promoted(const struct home_member *m, uint64_t term, bool ok, int64_t now);
void trace_outcome(const struct home_member *m, const struct failover_order *o);

#endif
