/**
 * @file route.h
 * Where one request goes: the member to send it to, or to wait, or to refuse. Source:
 * docs/DESIGN.md, "Session reads".
 */
#ifndef DECIDE_ROUTE_H
#define DECIDE_ROUTE_H

#include "token.h"
#include "types.h"

/** What an entry VM knows of a member, from the answers it got. */
struct route_member {
	char name[NAME_SIZE];
	bool leaving;		 /**< gets no new work */
	int64_t avoid_until_us;	 /**< it could not serve lately */
	struct pos applied;	 /**< last position seen in an answer */
	int64_t behind_until_us; /**< it lacked what a session needed; not asked again before */
	bool near;		 /**< in this VM's data centre */
};

struct route_view {
	unsigned n;
	struct route_member member[GROUP_MEMBERS_MAX];
	int primary;	       /**< believed primary, or -1 */
	uint64_t primary_term; /**< term of that belief */
};

struct route_request {
	bool write;
	bool has_token;
	struct pos token;
	int64_t max_age_us; /**< 0: only data that includes all acknowledged writes */
	unsigned attempt;   /**< 0 for the first try */
	uint64_t random;    /**< spreads reads */
};

enum route_verdict { ROUTE_MEMBER, ROUTE_WAIT };

enum route_cause {
	ROUTE_CAUSE_WRITE,
	ROUTE_CAUSE_REPLICA_FITS,    /**< a replica may cover the token and the age */
	ROUTE_CAUSE_NEEDS_PRIMARY,   /**< a read with no token and no stated age */
	ROUTE_CAUSE_REPLICAS_BEHIND, /**< no replica is thought to have the session's write */
	ROUTE_CAUSE_PRIMARY_UNKNOWN, /**< asking a member to learn of the primary */
	ROUTE_CAUSE_NONE_USABLE,
};

struct route_outcome {
	enum route_verdict verdict;
	enum route_cause cause;
	int member;
	bool as_replica;	/**< the member is asked as a replica, with a bound on age */
	int64_t retry_after_us; /**< for ROUTE_WAIT */
};

/** Choose the member for @a req. */
struct route_outcome route_choose(const struct route_view *v, const struct route_request *req,
				  int64_t now_us);

/** Learn from an answer that @a primary led @a term. An older term changes nothing. */
void route_learn_primary(struct route_view *v, const char *primary, uint64_t term);

/** @return index of the member, or -1. */
int route_find(const struct route_view *v, const char *member);

const char *route_cause_name(enum route_cause cause);

#endif
