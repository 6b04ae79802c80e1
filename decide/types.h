/**
 * @file types.h
 * Types that every decision module shares. Nothing here does I/O or reads a clock: times are
 * monotonic microseconds handed in by the caller.
 */
#ifndef DECIDE_TYPES_H
#define DECIDE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/** Longest name of a team, pool, database member, VM or data centre, with its end byte. */
#define NAME_SIZE 64
/** Longest "ip:port", with its end byte. */
#define ADDRESS_SIZE 64
/** Most members that one database group may have. */
#define GROUP_MEMBERS_MAX 7

#define USEC_PER_MSEC INT64_C(1000)
#define USEC_PER_SEC INT64_C(1000000)

#ifndef TAILQ_FOREACH_SAFE
#define TAILQ_FOREACH_SAFE(var, head, field, next)                                                 \
	for ((var) = TAILQ_FIRST(head); (var) && ((next) = TAILQ_NEXT(var, field), 1);             \
	     (var) = (next))
#endif

/** A place in a database group's log: the term that wrote the record, and the record's number. */
struct pos {
	uint64_t term;
	uint64_t lsn;
};

/** Order of two positions; a higher term wins. Negative, zero or positive, as in strcmp(). */
static inline int pos_cmp(struct pos a, struct pos b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.lsn != b.lsn)
		return a.lsn < b.lsn ? -1 : 1;
	return 0;
}

#endif
