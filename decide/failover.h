/**
 * @file failover.h
 * State machine of a promoter, a VM that carries out a failover. Its inputs are member reports and
 * answers to orders; its outputs are the orders to send next. Terms are stored in the databases, so
 * safety depends neither on the platform nor on clocks.
 */
#ifndef DECIDE_FAILOVER_H
#define DECIDE_FAILOVER_H

#include "group.h"

enum failover_phase {
	FAILOVER_IDLE,
	FAILOVER_FENCING,   /**< sent follow(term, none) to every member */
	FAILOVER_PROMOTING, /**< sent promote(term) to the chosen member */
};

enum failover_act {
	FAILOVER_NOTHING,
	FAILOVER_FENCE,	  /**< send follow(term, none) to every member */
	FAILOVER_PROMOTE, /**< send promote(term) to @a member */
	FAILOVER_ATTACH,  /**< failover done: send follow(term, member) to every other member */
};

struct failover_order {
	enum failover_act act;
	uint64_t term;
	int member;
};

struct failover {
	enum failover_phase phase;
	uint64_t term;
	int64_t since_us;      /**< start of the phase */
	int64_t not_before_us; /**< earliest start of the next attempt */
	unsigned granted;      /**< members that pledged to @a term */
	unsigned refused;
	bool grant[GROUP_MEMBERS_MAX];
	struct pos received[GROUP_MEMBERS_MAX];
	int chosen;	/**< member to promote, or -1 */
	unsigned tries; /**< attempts since the group last had a working primary */
};

/** How long a primary must have been down before a failover begins. */
#define FAILOVER_DOWN_TIMEOUT_US (100 * USEC_PER_MSEC)
/** Timeout of one phase: how long to wait for its answers. */
#define FAILOVER_PHASE_TIMEOUT_US (400 * USEC_PER_MSEC)

/**
 * Advances the state machine to @a now_us. Begins a failover when the group has had no primary for
 * FAILOVER_DOWN_TIMEOUT_US, and gives up a phase that has timed out.
 * @param rank this VM's rank among the promoters of the group, 0 first
 * @param random random number that spreads the attempts of competing promoters
 */
struct failover_order failover_tick(struct failover *f, const struct group_view *g, unsigned rank,
				    uint64_t random, int64_t now_us);

/**
 * Handles the answer of @a member to follow(@a term, none).
 * @param pledged whether the member has moved to @a term; false: it refused
 * @param received end of the member's log, if it pledged
 */
struct failover_order failover_fenced(struct failover *f, const struct group_view *g, int member,
				      uint64_t term, bool pledged, struct pos received,
				      int64_t now_us);

/** Handles the answer of the chosen member to promote(@a term); @a ok if it was promoted. */
struct failover_order failover_promoted(struct failover *f, uint64_t term, bool ok, int64_t now_us);

#endif
