/**
 * @file promoter.h
 * The call that makes a member the primary of its group, carried out by whoever runs the databases.
 * Nothing can be read back; the members themselves tell who leads.
 */
#ifndef PROMOTER_H
#define PROMOTER_H

#include "kernel.h"

enum promoter_result {
	PROMOTER_ACCEPTED,
	PROMOTER_REFUSED, /**< nothing will happen: the member does not run, or the token is old */
	PROMOTER_UNKNOWN, /**< no answer: it may happen */
};

typedef void (*promoter_done)(enum promoter_result result, int code, void *arg);

struct promoter_ops {
	/**
	 * Order the promotion of @a member of @a pool under the fencing @a token of @a holder.
	 */
	void (*promote)(struct kernel *k, const char *address, const char *pool, const char *member,
			const char *holder, uint64_t token, int64_t timeout_us, promoter_done cb,
			void *arg);
};

#endif
