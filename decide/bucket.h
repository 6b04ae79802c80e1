/**
 * @file bucket.h
 * Token bucket: tokens accrue at a rate, up to the burst, and each operation takes some. Rate and
 * burst may change at run time; a change never creates tokens.
 */
#ifndef DECIDE_BUCKET_H
#define DECIDE_BUCKET_H

#include "types.h"

struct bucket {
	double rate;	    /**< tokens per second */
	double burst;	    /**< maximum number of tokens held */
	double tokens;	    /**< tokens held at @a updated_us */
	double reserved;    /**< tokens reserved and not settled yet */
	int64_t updated_us; /**< when tokens were last added for elapsed time */
};

/** Initialise the bucket with @a tokens held. */
void bucket_init(struct bucket *b, double rate, double burst, double tokens, int64_t now_us);

/** Change rate and burst. Tokens above the new burst are dropped; raising the burst adds none. */
void bucket_resize(struct bucket *b, double rate, double burst, int64_t now_us);

/**
 * Add @a n tokens, up to the burst. A negative @a n takes tokens without a check, so that the
 * balance may become negative.
 */
void bucket_credit(struct bucket *b, double n, int64_t now_us);

/** Take @a n tokens. @return false, with none taken, when fewer are held. */
bool bucket_take(struct bucket *b, double n, int64_t now_us);

/**
 * Reserve a token for an operation that may turn out not to run; bucket_settle() must follow.
 * Reserved tokens count towards the burst, since all of them may be refunded at once: otherwise the
 * refund would be added to a burst that has refilled in the meantime.
 * @return false when no token is held
 */
bool bucket_reserve(struct bucket *b, int64_t now_us);
/** Settle a reserved token. With @a refund the operation did not run, and the token is returned. */
void bucket_settle(struct bucket *b, bool refund, int64_t now_us);

/** @return microseconds until @a n tokens are held; INT64_MAX when that never happens */
int64_t bucket_wait_us(struct bucket *b, double n, int64_t now_us);

#endif
