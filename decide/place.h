/**
 * @file place.h
 * Choice of the member (a database server of a group) that serves a read, for a VM that can send it
 * to several. Made for mixed reads and writes over data centres whose links add latency and cost
 * money: a read stays in its data centre unless it is served notably sooner in another one, the
 * primary keeps a slot free for writes, and a busy or slow member is given fewer reads.
 */
#ifndef DECIDE_PLACE_H
#define DECIDE_PLACE_H

#include "types.h"

/** Statements sent to a member beyond its slots, so that no slot is idle for a round trip. */
#define PLACE_PIPELINE_DEPTH 1

/** State of a member, as known to the sender of the read. */
struct place_member {
	bool fits; /**< it is up and, as far as known, has replayed the position that the read needs
		    */
	bool free; /**< a connection to it is available or can be opened */
	bool ready;   /**< a connection is open and idle */
	bool primary; /**< it is the primary, which also serves writes */
	bool last;    /**< a primary that is given reads only when no replica fits: it is about to
			   leave, or its writes come from another VM */
	bool near;    /**< in the sender's data centre */
	unsigned out; /**< statements of this sender in progress on it */
	unsigned slots;
	double service_us; /**< moving average of a statement's duration on it */
};

enum place_verdict {
	PLACE_MEMBER, /**< send the read to the chosen member */
	PLACE_WAIT,   /**< a member fits, but none can take the read now */
	PLACE_NONE,   /**< no member fits */
};

struct place_outcome {
	enum place_verdict verdict;
	unsigned member;
};

/** Choose the member for a read among the @a n given. */
struct place_outcome place_read(const struct place_member *m, unsigned n);

#endif
