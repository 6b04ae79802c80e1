/**
 * @file place.h
 * Choice of the member (a database server of a group) that serves a read, for a VM that can send it
 * to several. Made for mixed reads and writes over data centres whose links add latency and cost
 * money: a read stays in its data centre unless it is served notably sooner in another one, the
 * primary keeps a slot free for writes, and a busy or slow member is given fewer reads. Several
 * VMs send to the same members, which may be loaded unevenly (2.4 to 3.5 times the mean), become
 * slow, or flap: the load that other senders cause is counted, and a member that is slow or fails
 * is given single probe statements only, until it is as fast as its peers again.
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
	unsigned others; /**< statements of other senders in progress on it; 0 if not known */
	unsigned slots;
	double service_us; /**< time of a statement like this read, less @a hop_us */
	double opening_us; /**< time to open a connection; 0: not known, as a statement */
	double hop_us;	   /**< round trip to it; 0: not known */
	bool unsteady;	   /**< slow, failing or flapping: only probe statements */
	bool probe_due;	   /**< a probe statement may be sent to it now */
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

/** Whether a member is steady, as judged by one sender from its own statements. */
struct place_health {
	bool unsteady;
	bool probing;	       /**< a probe statement is in progress */
	unsigned fast;	       /**< probe statements in a row that were fast */
	unsigned slow;	       /**< statements in a row that were slow, while steady */
	unsigned failures;     /**< recent failures, while steady */
	int64_t failed_us;     /**< time of the last failure */
	int64_t pause_us;      /**< between probe statements */
	int64_t next_probe_us; /**< no probe statement before this time */
	int64_t unsteady_us;   /**< when it last became or was last found unsteady; 0: never */
};

/** Result of a statement on a member. */
struct place_sample {
	int64_t us;	/**< from sending it to its answer */
	double peer_us; /**< time of the same class on the fastest other member; 0: not known */
	bool failed;	/**< the member did not run it, or its connection was lost */
};

/**
 * Records a result. @param spread fraction in [0, 1) that differs between VMs, so that they do not
 * all send a probe statement at the same time
 * @return whether the member has just become steady or unsteady
 */
bool place_health_record(struct place_health *h, const struct place_sample *s, double spread,
			 int64_t now_us);
/**
 * Makes the member unsteady: it was down, or another VM reports that it is unsteady.
 * @return whether it was steady
 */
bool place_health_suspect(struct place_health *h, double spread, int64_t now_us);
/** Records that a statement was sent, which is a probe if the member is unsteady. */
void place_health_sent(struct place_health *h, double spread, int64_t now_us);
/** @return whether a probe statement may be sent to an unsteady member now */
bool place_health_probe_due(const struct place_health *h, int64_t now_us);

#endif
