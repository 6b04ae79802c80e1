/**
 * @file urgency.h
 * Which requests of a team get the tokens of one token bucket when the team asks for more than its
 * rate: those of more urgent routes first. Kept by the VM that holds the bucket.
 *
 * Load that it is made for: one team over its rate (1.5 to 7.5 times) whose routes differ in
 * priority. The bucket may hold as little as one token and gain a few tokens per second. The
 * requests come from many VMs, each of which asks for a token or two at a time and returns at the
 * time that it was told.
 *
 * Terms: class 0 is the most urgent. A promise reserves a coming token for a VM that returns for
 * it.
 */
#ifndef DECIDE_URGENCY_H
#define DECIDE_URGENCY_H

#include "bucket.h"

/** Number of priority classes. */
#define URGENCY_CLASSES 4
/** Time constant of the moving average of demand. */
#define URGENCY_DEMAND_US (2 * USEC_PER_SEC)
/** A class without requests for longer does not count as seen. */
#define URGENCY_SEEN_US (10 * USEC_PER_SEC)
/** Longest time ahead in the schedule of retries. */
#define URGENCY_AHEAD_MAX_US (2 * USEC_PER_SEC)
/**
 * Time for which a promised token is kept after it became available. The answer and the request of
 * the VM that returns for it each take up to 4 ms between data centres.
 */
#define URGENCY_KEEP_US (15 * USEC_PER_MSEC)
/** Most promises at a time; a further one replaces a less urgent one, or is not made. */
#define URGENCY_PROMISES_MAX 32

struct urgency_promise {
	unsigned cls;
	uint64_t to; /**< the VM that it was made to, as known to the caller */
	int64_t due_us;
};

struct urgency {
	/**
	 * Requests per second, as of @a demand_us. A request asks several holders; it counts fully
	 * where it got a token or the promise of one, and a refusal counts in part at each.
	 */
	double demand[URGENCY_CLASSES];
	double allowance[URGENCY_CLASSES]; /**< tokens that the class may take */
	int64_t seen_us[URGENCY_CLASSES];  /**< last request; 0: none */
	int64_t place_us[URGENCY_CLASSES]; /**< next free place in the schedule of retries */
	int64_t demand_us;
	int64_t updated_us; /**< when allowances were last added */
	double last_share;  /**< fraction of the rate that the last class in use gets at least */
	unsigned n_promises;
	struct urgency_promise promise[URGENCY_PROMISES_MAX];
};

/** A request for a token, as seen by the holder of the bucket. */
struct urgency_request {
	unsigned cls;
	uint64_t to;	/**< identifies the VM that asks; 0: the holder itself */
	unsigned ahead; /**< requests that wait at the holder and come first */
};

void urgency_init(struct urgency *u, int64_t now_us);
/** @return the class of a route's priority; the last class for higher numbers */
unsigned urgency_class(unsigned priority);
/** Record that a request of a class was seen, without counting it in the demand. */
void urgency_seen(struct urgency *u, unsigned cls, int64_t now_us);
/** Count a request that is neither granted nor answered here, since the bucket has no rate. */
void urgency_arrival(struct urgency *u, unsigned cls, int64_t now_us);
/** @return whether @a to returns for a promised token: it precedes later requests of its class */
bool urgency_promised(const struct urgency *u, unsigned cls, uint64_t to, int64_t now_us);
/**
 * Whether the request may take a token of @a b now. A class takes a token if the bucket holds more
 * than was promised to requests that come first, and the class has an allowance, which accrues at
 * the rate less the demand of more urgent classes. A full bucket serves any class, since tokens
 * would be lost otherwise. No allowance is needed while no more urgent request was seen recently:
 * a bucket whose holder has restarted serves in order of arrival.
 */
bool urgency_may_take(struct urgency *u, struct bucket *b, const struct urgency_request *r,
		      int64_t now_us);
/** Record that the request took a token. */
void urgency_taken(struct urgency *u, const struct urgency_request *r, int64_t now_us);
/** @return time until the request could get a token, if no more urgent one arrives; INT64_MAX:
 * never */
int64_t urgency_next_us(struct urgency *u, struct bucket *b, const struct urgency_request *r,
			int64_t now_us);
/**
 * Answer a request that got no token. When a token will be available within @a patience_us it is
 * promised to the request. Otherwise the request gets the next place in the schedule of retries of
 * its class, so that refused callers do not return together.
 * @param holders number of holders that a request asks, so that a place is not counted at each
 * @return time until the promised token, at most @a patience_us, or until the retry; never 0
 */
int64_t urgency_answer_us(struct urgency *u, struct bucket *b, const struct urgency_request *r,
			  int64_t patience_us, unsigned holders, int64_t now_us);
/**
 * @param waits times that a request of the class has waited for a promised token
 * @return whether it may wait for another one; else it is refused at once
 */
bool urgency_may_wait(unsigned cls, unsigned waits);
/** Withdraw the latest promise to @a to, which will get a token elsewhere. */
void urgency_release(struct urgency *u, unsigned cls, uint64_t to, int64_t now_us);
/** @return tokens of @a b that are promised to nobody; may be negative */
double urgency_unpromised(struct urgency *u, struct bucket *b, int64_t now_us);
/** @return rate at which the allowance of the class accrues, tokens per second */
double urgency_rate(const struct urgency *u, const struct bucket *b, unsigned cls);

/** Times of a request that bound its wait for a token. */
struct urgency_limits {
	int64_t aim_us;	     /**< expiry of its latency target; 0: none */
	int64_t deadline_us; /**< its deadline */
	int64_t work_us;     /**< expected time of the work after admission */
};

/**
 * @return until when the request may wait: a token is of use only if the work can be done
 * afterwards within the latency target, or by the deadline when the target is missed anyway
 */
int64_t urgency_wait_until_us(const struct urgency_limits *l, int64_t now_us);

#endif
