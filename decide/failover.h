/**
 * @file failover.h
 * The change of primary: one promoter's state machine. It takes reports and answers, and gives the
 * orders to send next. Terms live in the databases, so neither the platform nor a clock is needed
 * for safety.
 */
#ifndef DECIDE_FAILOVER_H
#define DECIDE_FAILOVER_H

#include "group.h"

enum failover_phase {
	FAILOVER_IDLE,
	FAILOVER_FENCING,   /**< follow(term, none) is out to every member */
	FAILOVER_PROMOTING, /**< promote(term) is out to one member */
};

enum failover_act {
	FAILOVER_NOTHING,
	FAILOVER_FENCE,	  /**< order follow(term, none) on every member */
	FAILOVER_PROMOTE, /**< order promote(term) on @a member */
	FAILOVER_ATTACH,  /**< order follow(term, member) on every other member: the change is done
			   */
};

struct failover_order {
	enum failover_act act;
	uint64_t term;
	int member;
};

struct failover {
	enum failover_phase phase;
	uint64_t term;
	int64_t since_us; /**< start of the phase */
	int64_t not_before_us;
	unsigned granted; /**< members that pledged to @a term */
	unsigned refused;
	bool grant[GROUP_MEMBERS_MAX];
	struct pos received[GROUP_MEMBERS_MAX];
	int chosen;
	unsigned tries; /**< changes begun since the last good primary */
};

/** How long a primary must have been found down before a change begins. */
#define FAILOVER_PATIENCE_US (100 * USEC_PER_MSEC)
/** Time for the answers of one phase. */
#define FAILOVER_PHASE_US (400 * USEC_PER_MSEC)

/**
 * A moment has passed. @a rank is this VM's place among the promoters of the group (0 first) and @a
 * random spreads duels. Begins a change when the group has had no primary for long enough.
 */
struct failover_order failover_tick(struct failover *f, const struct group_view *g, unsigned rank,
				    uint64_t random, int64_t now_us);

/**
 * @a member answered follow(@a term, none): pledged with its log at @a received, or refused having
 * @a seen_term.
 */
struct failover_order failover_fenced(struct failover *f, const struct group_view *g, int member,
				      uint64_t term, bool pledged, struct pos received,
				      int64_t now_us);

/** The chosen member answered promote(@a term). */
struct failover_order failover_promoted(struct failover *f, uint64_t term, bool ok, int64_t now_us);

#endif
