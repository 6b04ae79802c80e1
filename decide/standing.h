/**
 * @file standing.h
 * Plans in which data centre the primary of each group stands. Made for writers that move between
 * data centres, and for primaries that pile up in one after failovers. A move pauses the group's
 * writes for as long as a promotion takes (600 ms on the prepared platform), so that few are made:
 * one at a time, none that a later one takes back, and none while anything fails.
 */
#ifndef DECIDE_STANDING_H
#define DECIDE_STANDING_H

#include "types.h"

/** Data centres that are told apart. */
#define STANDING_CENTERS_MAX 16
/** No move within this time of a change of primary, a partition, an evacuation or a lost member. */
#define STANDING_QUIET_US (15 * USEC_PER_SEC)
/** A primary is moved to the data centre that this share of its statements comes from. */
#define STANDING_SHARE 0.6
/** Most primaries that a data centre has above another that has members of theirs. */
#define STANDING_EXCESS_MAX 2

/** Most moves of one plan; with more groups to move, the next plan goes on. */
#define STANDING_MOVES_MAX 32

/** Statements for one primary from one data centre. */
struct standing_origin {
	char data_center[NAME_SIZE];
	double per_s; /**< moving average over 10 s, as of the time of the last count */
};

struct standing_origins {
	struct standing_origin origin[STANDING_CENTERS_MAX];
	unsigned n;
	int64_t updated_us;
};

/** Counts a statement for the primary. One from beyond STANDING_CENTERS_MAX is left out. */
void standing_count(struct standing_origins *o, const char *data_center, int64_t now_us);
/** Brings the averages up to @a now_us. */
void standing_decay(struct standing_origins *o, int64_t now_us);

/** What the planner knows of a group. */
struct standing_group {
	const char *pool;
	bool known;		 /**< its owner has answered, and serves */
	const char *data_center; /**< of the primary */
	int64_t moved_age_us;	 /**< since the primary was last moved; 0: not known */
	int64_t changes_age_us;	 /**< since the last change of primary or fault; 0: not known */
	const char *member[GROUP_MEMBERS_MAX]; /**< data centres of members that may lead */
	unsigned n;
	const struct standing_origins *origins;
};

struct standing_limits {
	int64_t pause_us; /**< a group is not moved again within this time */
	int64_t quiet_us; /**< since the last partition, evacuation or lost VM known */
};

enum standing_verdict {
	STANDING_STAYS,	    /**< no move improves anything */
	STANDING_MOVE,	    /**< there are moves to make */
	STANDING_UNSETTLED, /**< something fails, or did lately, or a group is not known */
};

struct standing_move {
	unsigned group;
	const char *data_center; /**< that its primary moves to */
	const char *why;
};

struct standing_plan {
	enum standing_verdict verdict;
	struct standing_move move[STANDING_MOVES_MAX];
	unsigned n;
};

/**
 * Plans the next moves, at most one of each group. Primaries are evened out first; then they move
 * to where their statements come from, if that leaves them even. In a tie a primary stays. After a
 * complete plan the next one is empty, unless the writers have moved.
 */
void standing_plan(const struct standing_group *g, unsigned n, const struct standing_limits *l,
		   struct standing_plan *plan);
/** @return whether @a age_us, of something that must be long past, is known and long enough */
bool standing_is_past(int64_t age_us, int64_t least_us);

#endif
