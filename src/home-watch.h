/**
 * @file home-watch.h
 * State of the monitoring of one member, shared by the files that implement it.
 *
 * home-watch.c     probes, reports, waiting for log positions, start and stop
 * home-silent.c    connections that went silent while a job runs
 * home-ask.c       reports from the homes of the group's other members
 * home-failover.c  failover: orders sent to other homes and received from them
 */
#ifndef HOME_WATCH_H
#define HOME_WATCH_H

#include "home.h"

/** A monitoring connection and its state. */
struct watch_link {
	struct home_watch *w;
	struct db_conn *db;
	bool open;
	bool busy;
	int64_t asked_us;
};

/** A request of another home that is answered once the member has a log position. */
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
	struct watch_link probe;    /**< kept connection for probes */
	struct watch_link fresh;    /**< opened for a probe when the kept connection fails */
	struct watch_link wait;	    /**< waits for log positions */
	struct watch_link activity; /**< queries the member's active backends */
	int64_t probed_us;
	bool probe_now; /**< probe at the next tick */
	struct watch_waiters waiters;
	struct failover failover;
	struct {
		bool in_flight; /**< an RPC is in flight */
		int64_t asked_us;
		int64_t failing_since_us; /**< since when its homes do not answer; 0 if they do */
		bool recheck;		  /**< a commit waits for this member's next answer */
		int64_t behind_us;	  /**< when its last answer lacked the commit waited for */
	} ask[GROUP_MEMBERS_MAX];	  /**< requests for reports, by member */
};

/** Returns the RPC address of the home of member @a i; NULL if none is known. */
const char *watch_address_of(struct home_watch *w, int i);
void watch_link_close(struct watch_link *l);
/** Whether @a list, process IDs separated by commas, has @a pid. */
bool watch_backend_listed(const char *list, int pid);
int64_t watch_timeout_us(const struct home_watch *w);
/** Processes a report of member @a i whose request was sent at @a asked_us. */
void watch_report(struct home_watch *w, int i, const struct member_report *r, int64_t asked_us);
/** Records that member @a i is not reachable, with its new state. */
void watch_unreachable(struct home_watch *w, int i, enum member_state state);
/**
 * Registers an RPC made for a watch. @a call points to a struct whose first member is the pointer
 * to the watch; that pointer is set to NULL if the watch ends before the RPC does.
 */
void watch_call_started(void *call);
/** Unregisters an RPC that has ended. */
void watch_call_ended(void *call);

/* home-silent.c */
void watch_silent_check(struct home_watch *w, int64_t now);

/* home-ask.c */
/** Requests a report from each other home that is due to be asked. */
void watch_request_reports(struct home_watch *w, int64_t now);

/* home-failover.c */
void watch_failover_check(struct home_watch *w, int64_t now);

#endif
