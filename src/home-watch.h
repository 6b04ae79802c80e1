/**
 * @file home-watch.h
 * The state of one member's watch, shared by the files that make it up.
 *
 * home-watch.c     probes, reports, waiting for positions, the watch's life
 * home-silent.c    connections that went silent under a job
 * home-ask.c       reports of the homes of the group's other members
 * home-failover.c  the change of primary: orders out, orders in
 */
#ifndef HOME_WATCH_H
#define HOME_WATCH_H

#include "home.h"

/** A control connection and what it is doing. */
struct watch_link {
	struct home_watch *w;
	struct db_conn *db;
	bool open;
	bool busy;
	int64_t asked_us;
};

/** Another home's request to be answered when the member has a position. */
struct watch_waiter {
	TAILQ_ENTRY(watch_waiter) link;
	struct rpc_request *rq;
	struct pos wait_for;
	int64_t until_us;
};
TAILQ_HEAD(watch_waiters, watch_waiter);

struct home_watch {
	struct home_member *m;
	struct event *tick;
	struct watch_link probe; /**< kept */
	struct watch_link fresh; /**< opened when the kept one fails */
	struct watch_link wait;	 /**< waits for positions */
	struct watch_link work;	 /**< asks for the member's list of work */
	int64_t probed_us;
	bool hint; /**< probe at the next tick */
	struct watch_waiters waiters;
	struct failover failover;
	struct {
		bool out;
		int64_t asked_us;
		int64_t failing_us; /**< since when its homes do not answer; 0 for none */
		bool again;	    /**< a commit waits for this member's next answer */
		int64_t unmet_us;   /**< when it last answered without what a commit waits for */
	} ask[GROUP_MEMBERS_MAX];
};

/** RPC address of the home of member @a i; NULL when none is known. */
const char *watch_address_of(struct home_watch *w, int i);
void watch_link_close(struct watch_link *l);
int64_t watch_timeout_us(const struct home_watch *w);
/** Take in a report of member @a i for which the request was sent at @a asked_us. */
void watch_report(struct home_watch *w, int i, const struct member_report *r, int64_t asked_us);
void watch_unreachable(struct home_watch *w, int i, enum member_state state);
/**
 * A call is out for a watch; what it points to begins with a pointer to that watch, which is
 * cleared when the watch ends before the call does.
 */
void watch_call_out(void *call);
void watch_call_in(void *call);

/* home-silent.c */
void watch_silent_check(struct home_watch *w, int64_t now);

/* home-ask.c */
/** Ask the other homes that are due. */
void watch_ask_round(struct home_watch *w, int64_t now);

/* home-failover.c */
void watch_failover_check(struct home_watch *w, int64_t now);

#endif
