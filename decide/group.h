/**
 * @file group.h
 * What one VM knows of a database group: each member's last report, and from these the group's
 * primary and the age of a replica's data.
 */
#ifndef DECIDE_GROUP_H
#define DECIDE_GROUP_H

#include "token.h"
#include "types.h"

/** What a member told of itself. */
struct member_report {
	bool primary;		   /**< takes writes */
	uint64_t seen_term;	   /**< highest term it was ordered to follow or lead */
	struct pos received;	   /**< last record in its log; lasts through its restart */
	uint64_t applied_lsn;	   /**< last record that its reads show */
	struct term_history terms; /**< where the terms of its log began */
	char upstream[NAME_SIZE];  /**< whom it replicates from; empty for none */
};

enum member_state {
	MEMBER_UNKNOWN, /**< no report yet */
	MEMBER_UP,
	MEMBER_DOWN, /**< its home cannot reach it, over an open or a fresh connection */
	MEMBER_CUT,  /**< its home cannot be reached */
};

struct member_view {
	char name[NAME_SIZE];
	enum member_state state;
	int64_t reported_us; /**< when the request was sent that brought the report */
	int64_t down_since_us;
	struct member_report report;
};

/** Samples of the primary's position kept to measure the age of data. */
#define AGE_SAMPLES 64

/** The primary was at @a lsn, or later, at @a at_us. */
struct age_sample {
	uint64_t lsn;
	int64_t at_us;
};

struct group_view {
	char pool[NAME_SIZE];
	unsigned n;
	struct member_view member[GROUP_MEMBERS_MAX];
	struct age_sample sample[AGE_SAMPLES]; /**< a ring, by time */
	unsigned samples;		       /**< written so far */
	uint64_t sample_term;
};

void group_init(struct group_view *g, const char *pool);
/** Make the view's members those of @a names; a member that stays keeps its report. */
void group_set_members(struct group_view *g, const char *const *names, unsigned n);
/** @return index of the member, or -1. */
int group_find(const struct group_view *g, const char *member);
/**
 * Take in a report for which the request was sent at @a asked_us. A report asked for earlier
 * changes nothing.
 */
void group_report(struct group_view *g, int member, const struct member_report *r,
		  int64_t asked_us);
/** Note that @a member cannot be used; @a state is MEMBER_DOWN or MEMBER_CUT. */
void group_unreachable(struct group_view *g, int member, enum member_state state, int64_t now_us);

/**
 * The member that leads the highest term known, or -1. A leader that a member has seen a higher
 * term after is none.
 */
int group_primary(const struct group_view *g);
/**
 * The primary whose term cannot be undone any more: a majority has a record of it, so that no later
 * promotion can choose a log without it. -1 when there is none.
 */
int group_settled(const struct group_view *g);
/** The highest term that any member has seen. */
uint64_t group_highest_term(const struct group_view *g);
/**
 * Upper bound of the age, in microseconds, of data that holds all records to @a lsn in the
 * primary's term. It is the time since a request for the primary's position was sent that brought a
 * position of at most @a lsn, in this VM's own clock, so no two clocks are compared. INT64_MAX when
 * nothing is known.
 */
int64_t group_age_us(const struct group_view *g, uint64_t lsn, int64_t now_us);

#endif
