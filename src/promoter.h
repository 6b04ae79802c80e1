/**
 * @file promoter.h
 * Promotion of a member to primary of its group by the service that operates the databases. The
 * call returns no state; the members' own status shows which one is the primary. A fencing token
 * orders the promotions of a group: one with an older token is refused.
 */
#ifndef PROMOTER_H
#define PROMOTER_H

#include "kernel.h"

enum promoter_result {
	PROMOTER_ACCEPTED,
	PROMOTER_REFUSED, /**< no effect: the member is down, or the fencing token is outdated */
	PROMOTER_UNKNOWN, /**< no answer: the promotion may still take place */
};

/** @param code HTTP status; 0 without an answer */
typedef void (*promoter_done)(enum promoter_result result, int code, void *arg);

struct promoter_ops {
	/**
	 * Promotes @a member of @a pool on behalf of the VM @a holder, the pool's owner, with its
	 * fencing @a token.
	 */
	void (*promote)(struct kernel *k, const char *address, const char *pool, const char *member,
			const char *holder, uint64_t token, int64_t timeout_us, promoter_done cb,
			void *arg);
	/**
	 * Takes back the order that was given with @a arg and has no answer yet. Its connection is
	 * reset, so that bytes held up on the way are dropped and the order can't arrive any more.
	 * It may have arrived before. Its callback is not called.
	 */
	void (*take_back)(void *arg);
};

#endif
