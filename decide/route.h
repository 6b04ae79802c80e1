/**
 * @file route.h
 * Routing of a request: chooses the member to send it to, or to wait and try again. The rules are
 * described in docs/DESIGN.md, "Session reads". The entry is the daemon that a caller is connected
 * to; the home is the daemon that holds a member's connections and queue.
 */
#ifndef DECIDE_ROUTE_H
#define DECIDE_ROUTE_H

#include "token.h"
#include "types.h"

/** State of a member as the entry knows it from answers. */
struct route_member {
	char name[NAME_SIZE];
	bool leaving;		 /**< being taken out of service: receives no new requests */
	int64_t avoid_until_us;	 /**< could not serve recently; not used before this time */
	struct pos applied;	 /**< applied position from its last answer */
	int64_t behind_until_us; /**< lacked records for a session; avoided before this time */
	bool near;		 /**< in the data centre of this VM */
};

struct route_view {
	unsigned n;
	struct route_member member[GROUP_MEMBERS_MAX];
	int primary;	       /**< index of the last known primary, or -1 */
	uint64_t primary_term; /**< term of the last known primary */
};

struct route_request {
	bool write;
	bool has_token;
	struct pos token;
	int64_t max_age_us; /**< maximum age of the data; 0: must include all acknowledged writes */
	unsigned attempt;   /**< 0 for the first attempt */
	uint64_t random;    /**< random number that spreads reads over the replicas */
};

enum route_verdict { ROUTE_MEMBER, ROUTE_WAIT };

enum route_cause {
	ROUTE_CAUSE_WRITE,
	ROUTE_CAUSE_REPLICA_FITS,    /**< a replica may satisfy the token and the maximum age */
	ROUTE_CAUSE_NEEDS_PRIMARY,   /**< a read without a token and without a maximum age */
	ROUTE_CAUSE_REPLICAS_BEHIND, /**< no replica is expected to have the session's write */
	ROUTE_CAUSE_PRIMARY_UNKNOWN, /**< sent to any member to find out the primary */
	ROUTE_CAUSE_NONE_USABLE,     /**< every member is leaving or avoided */
};

struct route_outcome {
	enum route_verdict verdict;
	enum route_cause cause;
	int member;
	bool as_replica; /**< the member serves the read as a replica, within the maximum age */
	int64_t retry_after_us; /**< for ROUTE_WAIT */
};

/** Chooses the member for @a req. */
struct route_outcome route_choose(const struct route_view *v, const struct route_request *req,
				  int64_t now_us);

/** Records from an answer that @a primary is the primary of @a term. Earlier terms are ignored. */
void route_update_primary(struct route_view *v, const char *primary, uint64_t term);

/** @return index of the member, or -1. */
int route_find(const struct route_view *v, const char *member);

const char *route_cause_name(enum route_cause cause);

#endif
