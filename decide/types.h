/**
 * @file types.h
 * Types shared by the decision modules. A decision module does no I/O and reads no clock: times are
 * monotonic microseconds passed in by the caller. A member is a database server of a group; a data
 * centre is a site that holds several VMs; a pool is a database group as configured.
 */
#ifndef DECIDE_TYPES_H
#define DECIDE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/** Size of the name of a team, pool, member, VM or data centre, with the terminating NUL. */
#define NAME_SIZE 64
/** Size of an "ip:port" string, with the terminating NUL. */
#define ADDRESS_SIZE 64
/** Maximum number of members of a database group. */
#define GROUP_MEMBERS_MAX 7

#define USEC_PER_MSEC INT64_C(1000)
#define USEC_PER_SEC INT64_C(1000000)

#ifndef TAILQ_FOREACH_SAFE
#define TAILQ_FOREACH_SAFE(var, head, field, next)                                                 \
	for ((var) = TAILQ_FIRST(head); (var) && ((next) = TAILQ_NEXT(var, field), 1);             \
	     (var) = (next))
#endif

/** Log position: the term in which the record was written, and the record's number (LSN). */
struct pos {
	uint64_t term;
	uint64_t lsn;
};

/** Compares two log positions, by term first. Negative, zero or positive, as with strcmp(). */
static inline int pos_cmp(struct pos a, struct pos b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.lsn != b.lsn)
		return a.lsn < b.lsn ? -1 : 1;
	return 0;
}

#endif
