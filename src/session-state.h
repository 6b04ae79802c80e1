/**
 * @file session-state.h
 * A session's state, which session.c (its statements' steps), session-remote.c (tries at the
 * group's owner and readers) and session-leave.c (sessions that should go on elsewhere) share.
 */
#ifndef SESSION_STATE_H
#define SESSION_STATE_H

#include "session.h"

#include "fleet.h"
#include "owner.h"
#include "ready.h"
#include "shares.h"

/**
 * When to come back to a group that has had no owner for over a second: networks that are cut stay
 * so for seconds, and a caller that comes back each 250 ms has used up its tries before.
 */
#define OWNER_GONE_RETRY_US (1 * USEC_PER_SEC)

struct prepared {
	bool write;
	char *shape;
};

struct session {
	struct admission admission;
	TAILQ_ENTRY(session) link;
	struct sessions *owner;
	const struct session_ops *ops;
	void *arg;
	char database[NAME_SIZE];
	char key_id[NAME_SIZE];
	char team[NAME_SIZE];
	uint64_t checked_version; /**< of the configuration that the key was checked against */
	struct conf_route route;  /**< as of the present operation's begin */
	GPtrArray *values;	  /**< of ml_value, in the order in which they were first set */
	GHashTable *prepared;

	enum tx_state tx;
	bool tx_read_only;
	uint64_t tx_id; /**< 0 while its first statement was not sent */
	char tx_address[ADDRESS_SIZE];
	struct pos pos;	 /**< of the newest own write */
	struct pos last; /**< as the last answer told */

	bool busy;
	bool closed; /**< the caller is gone; freed when the statement has ended */
	struct statement st;
	bool begins; /**< the statement is the first of an operation */
	int64_t started_us;
	int64_t deadline_us;
	unsigned tries;
	char address[ADDRESS_SIZE];
	int64_t sent_us;
	enum owner_reader reader; /**< who serves this try */
	bool near_failed;	  /**< the reader of this data centre could not serve it */
	int64_t wrote_us;	  /**< when a write of the session was last acknowledged */
	struct rpc_call *call;
	struct event *timer;
};
TAILQ_HEAD(session_list, session);

struct sessions {
	struct service service;
	struct session_list sessions;
	struct event *tick;
	int64_t left_us;
	int64_t heard_us;	       /**< when a VM of another data centre was last heard */
	char heard_from[ADDRESS_SIZE]; /**< VM of another data centre that was heard then */
	struct ready ready;
};

/* session.c */

struct sessions *sessions_of(struct kernel *k);
struct kernel *session_kernel(const struct session *s);
/** The statement has ended. */
void session_finish(struct session *s, struct session_answer *a);
/** It ends here, before any member had it. */
void session_answer_here(struct session *s, enum outcome o, int64_t retry_after_us);
void session_tx_end(struct session *s);
/** Roll back at the owner what nobody will end any more. */
void session_tx_abandon(struct session *s);
void session_free(struct session *s);

/* session-leave.c */

/** Whether the session is to end with its next answer outside of a transaction. */
bool session_leaving(const struct session *s);
/** Count a statement's end as served or not. */
void session_note(struct session *s, enum outcome o);
void sessions_leave_start(struct sessions *all);
/** Whether nothing keeps this VM, which leaves, from ending. */
bool sessions_left(const struct sessions *all);

/* session-remote.c */

/** Send the statement to the group's owner, or to a reader. */
void session_run_remote(struct session *s);
/** Whether this VM itself could serve the statement from replicas in reach. */
bool session_may_read_here(const struct session *s);
/** Whether a wait for a token of the rate would end with a refusal for want of an owner. */
bool session_waits_in_vain(struct session *s);
/** For the session's timer: the next try, or a look at one that is out. */
void session_on_timer(evutil_socket_t fd, short what, void *arg);
#endif
