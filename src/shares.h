/**
 * @file shares.h
 * Admission control by team rate. A request takes a token from this VM's part of its team's rate,
 * waits a short time for one, or is refused with the time after which to retry. decide/share.h
 * describes how parts move between VMs, decide/part.h the parts that stay in place.
 *
 * A team is the tenant that a caller's credentials belong to; its rate and burst (token bucket)
 * hold for the whole fleet of VMs.
 */
#ifndef SHARES_H
#define SHARES_H

#include "kernel.h"

#include <json-glib/json-glib.h>

struct shares;

/** What a request asks for. Times are monotonic microseconds. */
struct admission_want {
	const char *team;
	unsigned priority;   /**< of its route; 0 is the most urgent */
	int64_t aim_us;	     /**< expiry of its latency target; 0: none */
	int64_t deadline_us; /**< its deadline */
};

/** A request for one token; embedded in the object that waits for admission. */
struct admission {
	TAILQ_ENTRY(admission) link;
	struct shares_team *team; /**< NULL while it does not wait */
	unsigned priority;
	unsigned cls;	     /**< class that it waits in; 0 unless admission is by priority */
	int64_t until_us;    /**< end of the wait */
	int64_t useful_us;   /**< a later token is of no use; only if admission is by priority */
	int64_t due_us;	     /**< other VMs are not asked before; 0: now */
	unsigned waits;	     /**< times that it waited for a promised token, or one of this VM */
	int place;	     /**< place that promised a token at @a due_us, or -1 */
	int64_t admitted_us; /**< 0 unless it was admitted and not settled */
	bool will_settle;    /**< set by the embedding object: it will call shares_settle() */
	bool checked_out;    /**< its token is checked out of this VM's bucket, not yet settled */
	/** Called once, from the loop: admitted, or refused with the time until a token is likely.
	 */
	void (*done)(struct admission *a, bool admitted, int64_t retry_after_us);
};
TAILQ_HEAD(admissions, admission);

struct service *shares_service_create(struct kernel *k);
struct shares *shares_of(struct kernel *k);
/**
 * Asks for a token of a team.
 * @return 1 when admitted now, 0 when a->done will be called with the result, -1 when refused now,
 * with *retry_after_us set
 */
int shares_admit(struct shares *s, const struct admission_want *want, struct admission *a,
		 int64_t *retry_after_us);
/** Stops waiting; a->done is not called. */
void shares_cancel(struct admission *a);
/**
 * Settles the token of @a a once its operation has ended or begun to run. With @a ran false the
 * token returns to the bucket for the next request: while a group has no primary its callers retry,
 * each attempt takes a token, and without the return these attempts would use up the team's rate
 * for operations on other groups too.
 */
void shares_settle(struct shares *s, const char *team, struct admission *a, bool ran);
/** Returns the team's weight in fair queues, which is its rate. */
double shares_weight(struct shares *s, const char *team);
/** Returns whether the team's demand over the whole fleet is believed to be within its rate. */
bool shares_within_rate(struct shares *s, const char *team);
/** Logs the state that led to refusing @a request of @a team for lack of a token. */
void shares_log_refusal(struct shares *s, const char *team, const char *request,
			const struct admission *a, int64_t retry_after_us);
/** Writes the teams for `mangoloom status`. */
void shares_json(struct shares *s, JsonBuilder *b);

#endif
