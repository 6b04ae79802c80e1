/**
 * @file group.h
 * One VM's view of a database group: the last report of each member, from which the group's primary
 * and the age of a replica's data are derived. The home of a member is the daemon that holds its
 * connections and queue.
 */
#ifndef DECIDE_GROUP_H
#define DECIDE_GROUP_H

#include "token.h"
#include "types.h"

/** Status that a member reported. */
struct member_report {
	bool primary;	     /**< accepts writes */
	uint64_t seen_term;  /**< highest term in which it was ordered to follow or to be primary */
	struct pos received; /**< last record in its log; persists over a restart */
	uint64_t applied_lsn;	   /**< last record visible to reads */
	struct term_history terms; /**< start positions of the terms in its log */
	char upstream[NAME_SIZE];  /**< member it replicates from; empty for none */
};

enum member_state {
	MEMBER_UNKNOWN, /**< no report yet */
	MEMBER_UP,
	MEMBER_DOWN,		 /**< its home cannot reach it over an open or a new connection */
	MEMBER_HOME_UNREACHABLE, /**< its home cannot be reached */
};

struct member_view {
	char name[NAME_SIZE];
	enum member_state state;
	int64_t reported_us; /**< when the request for the report was sent */
	int64_t down_since_us;
	struct member_report report;
};

/** Number of samples of the primary's log position that are kept to compute the age of data. */
#define AGE_SAMPLES 64

/** Sample of the primary's log position: at @a at_us it was at @a lsn or earlier. */
struct age_sample {
	uint64_t lsn;
	int64_t at_us;
};

struct group_view {
	char pool[NAME_SIZE];
	unsigned n;
	unsigned sync; /**< replicas that store a write before the primary acknowledges it; 0 where
			  acknowledgements wait for a majority, or for none */
	struct member_view member[GROUP_MEMBERS_MAX];
	struct age_sample sample[AGE_SAMPLES]; /**< ring buffer, in order of arrival */
	unsigned samples;		       /**< number added since the last reset */
	uint64_t sample_term;		       /**< term of the samples */
};

void group_init(struct group_view *g, const char *pool);
/** Sets the members of the view to @a names; members that were in the view keep their reports. */
void group_set_members(struct group_view *g, const char *const *names, unsigned n);
/** @return index of the member, or -1. */
int group_find(const struct group_view *g, const char *member);
/**
 * Records a report of @a member. A report requested before the last recorded one is ignored.
 * @param asked_us when the request for the report was sent
 */
void group_report(struct group_view *g, int member, const struct member_report *r,
		  int64_t asked_us);
/** Records that @a member cannot be reached; @a state is MEMBER_DOWN or MEMBER_HOME_UNREACHABLE. */
void group_unreachable(struct group_view *g, int member, enum member_state state, int64_t now_us);

/**
 * @return index of the member that last reported to be primary, with the highest term among these,
 * or -1
 */
int group_primary(const struct group_view *g);
/**
 * @return index of the primary if a majority has a record of its term, or -1. From then on every
 * later promotion chooses a log that contains the start of that term.
 */
int group_settled_primary(const struct group_view *g);
/** @return the highest term that any member has reported */
uint64_t group_highest_term(const struct group_view *g);
/**
 * Computes an upper bound of the age, in microseconds, of data that contains all records up to
 * @a lsn in the primary's term. Of the requests for the primary's position that were answered with
 * @a lsn or less, the latest one is taken; the bound is the time since it was sent. Only this VM's
 * clock is used.
 * @return INT64_MAX if there is no such sample
 */
int64_t group_age_us(const struct group_view *g, uint64_t lsn, int64_t now_us);

#endif
